"""Global traffic routing: from callers through entry instances to endpoints."""

__version__ = "0.1.0"
