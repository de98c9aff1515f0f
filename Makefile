VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1
DURATION ?= 20
FAULT ?=
QUICK ?=

.PHONY: install demo test lint unit bench soak fault-soak capacity clean

install: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --upgrade pip
	$(PY) -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	bash scripts/demo.sh

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy

unit: $(STAMP)
	$(PY) -m tests

test: lint unit

bench: $(STAMP)
	bash scripts/bench.sh $(if $(QUICK),--quick)

soak: $(STAMP)
	PYTHONHASHSEED=0 $(PY) -m crocusward.devtools.soak --seed $(SEED) --duration $(DURATION) $(if $(FAULT),--fault $(FAULT))

capacity: $(STAMP)
	$(PY) -m crocusward.devtools.capacity

clean:
	rm -rf $(VENV) build dist .hypothesis .mypy_cache .ruff_cache

fault-soak: $(STAMP)
	$(PY) -m crocusward.devtools.fault_soak --seed $(SEED) --duration $(DURATION)
