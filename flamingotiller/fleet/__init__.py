"""Gateways and stewards: programs for fleets whose instances are not listed in the settings."""
