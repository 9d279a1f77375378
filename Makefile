VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test demo lint format bench soak fault-soak proofs

SEED ?= 1
STEPS ?= 100000
SEEDS ?= 50

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

test: $(STAMP) lint
	$(PYTHON) -m scripts.run_tests

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(STAMP)
	$(PYTHON) -m scripts.demo

bench: $(STAMP)
	$(PYTHON) -m benchmarks

soak: $(STAMP)
	$(PYTHON) -m proofs.soak --seed $(SEED) --steps $(STEPS)

fault-soak: $(STAMP)
	$(PYTHON) -m pimentomill.platform.tests.soak --seed $(SEED) --seeds $(SEEDS)

proofs: $(STAMP)
	$(PYTHON) -m proofs.points
