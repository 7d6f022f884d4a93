PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# The soak of each run: one seed, some two minutes with its start, its recovery and its judgement.
SOAK_SEED := 1203
SOAK_SECONDS := 40

.PHONY: setup test demo format lint types fuzz soak mutants bench clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e . || $(BIN)/pip install -q --no-deps -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

test: lint types
	$(BIN)/python -m tests.soak --seconds 1 --round-seconds $(SOAK_SECONDS) --seed $(SOAK_SEED)
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/stileloom demo --deployment corrib --report report-corrib.json
	$(BIN)/stileloom demo --deployment cartas --report report-cartas.json

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

fuzz: setup
	$(BIN)/python -m tests.fuzz --seconds $(or $(SECONDS_LIMIT),$(SECONDS),60) --seed $(or $(SEED),1)

soak: setup
	$(BIN)/python -m tests.soak --seconds $(or $(SECONDS_LIMIT),$(SECONDS),120) $(if $(SEED),--seed $(SEED))

mutants: setup
	$(BIN)/python -m tests.mutants

bench: setup
	$(BIN)/stileloom bench --deployment cartas --scheduler default --seed 1

clean:
	rm -rf $(VENV) build *.egg-info
