.PHONY: env run test lint measure dist clean

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

env: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	touch $@

run: env
	$(BIN)/python -m flamingotiller run $(ARGS)

test: env
	$(BIN)/python -m pytest

lint: env
	$(BIN)/black --quiet --check flamingotiller tests tools soak
	$(BIN)/ruff check flamingotiller tests tools soak
	$(BIN)/mypy

measure: env
	$(BIN)/python -m tools.measure $(ARGS)

dist: env
	$(BIN)/python tools/build_dist.py dist/flamingotiller

clean:
	rm -rf build dist
