"""Randomized soak: real programs as separate processes on loopback, faults from outside them, and
the promises checked from what callers, operators and endpoints see. ``docs/SOAK.md``."""
