"""Prints that the stand-ins can be imported; ``build-3.sh`` runs it."""

from stand_ins_3 import http, machines, parties

print("stand-ins ready:", http.__name__, machines.__name__, parties.__name__)
