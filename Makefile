# make demo: run the demo on stand-ins.  make test: run the tests.  Both run setup first.

PYTHON ?= python3
BIN := .venv/bin
PACKAGES := schema policy platform router cli standin

.PHONY: setup demo test lint measure soak generate

setup: .venv/.installed

.venv/.installed: requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-build-isolation --no-deps \
		$(foreach name,$(PACKAGES),-e packages/rampwick-$(name)) -e platform
	touch $@

demo: setup
	$(BIN)/python -m tools.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python tools/generate_schema.py --check

generate: setup
	$(BIN)/python tools/generate_schema.py

measure: setup
	$(BIN)/python -m measure

# Random seeds for five minutes; `python -m soak --seed N` repeats one.
soak: setup
	$(BIN)/python -m soak --minutes 5
