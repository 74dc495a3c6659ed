"""Randomized soak test: runs the programs as separate processes on loopback, injects faults from
outside and checks the guarantees against what callers, operators and endpoints observe.

See ``docs/SOAK.md``."""
