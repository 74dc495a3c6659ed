"""Global traffic steering: callers are led to entry instances, entry instances to endpoints."""

__version__ = "0.1.0"
