SHELL := /bin/bash
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := kernel config platform policy gateway daemon ctl standins
EDITABLE := $(foreach p,$(PACKAGES),-e packages/cardamom-$(p)) \
	-e platform
SOURCES := packages platform deploy tests tools examples/library
DEPLOYMENT ?= bogota
SEED ?= 1
SECONDS ?= 120
INSTANCES ?= 4
FROM ?=
SEEDS ?= 1
PYTEST_ARGS ?=

.PHONY: check test demo up soak gateway-soak bench slopes format clean

$(VENV)/.ready: requirements.txt $(wildcard packages/*/pyproject.toml) \
		platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check \
		--no-build-isolation --no-deps $(EDITABLE)
	touch $@

check: $(VENV)/.ready
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

test: $(VENV)/.ready
	$(BIN)/pytest -q $(PYTEST_ARGS)

format: $(VENV)/.ready
	$(BIN)/ruff format $(SOURCES)

demo: $(VENV)/.ready
	$(BIN)/python -m tools.demo --deployment $(DEPLOYMENT)

up: $(VENV)/.ready
	$(BIN)/python -m tools.demo --deployment $(DEPLOYMENT) --stay

soak: $(VENV)/.ready
	$(BIN)/python -m tools.soak --seed $(SEED) --seconds $(SECONDS)

gateway-soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak --seed $(SEED) --seconds $(SECONDS) \
		--instances $(INSTANCES) --from-commit "$(FROM)"

bench: $(VENV)/.ready
	$(BIN)/python -m tools.bench --seed $(SEED) --seeds $(SEEDS)

slopes: $(VENV)/.ready
	$(BIN)/python -m tools.slopes

clean:
	rm -rf $(VENV) build
