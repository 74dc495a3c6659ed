#!/usr/bin/env bash
# Plays the case once; exit 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. exec python3 case.py
