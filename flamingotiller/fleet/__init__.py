"""Programs for fleets whose instances are not listed in any settings: gateways and stewards."""
