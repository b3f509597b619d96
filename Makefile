VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH = src
SEED ?= 1
SECONDS ?= 60
SEEDS ?= 100

.PHONY: demo test check soak soak-gateway simulate measure capacity clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m heathermount.runner.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

check: $(VENV)/.installed
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy

soak: $(VENV)/.installed
	$(BIN)/python -m heathermount.soak.soak --seed=$(SEED) --seconds=$(SECONDS)

soak-gateway: $(VENV)/.installed
	$(BIN)/python -m heathermount.soak.gateway --seed=$(SEED) --seconds=$(SECONDS)

simulate: $(VENV)/.installed
	DEPARTURE_SEEDS=$(SEEDS) QUOTA_SEEDS=$(SEEDS) PROPAGATION_SEEDS=$(SEEDS) \
	$(BIN)/python -m pytest tests/test_gateway_departure_faults.py \
		tests/test_gateway_quota_faults.py tests/test_gateway_propagation.py

measure: $(VENV)/.installed
	$(BIN)/python -m heathermount.measurement.measure

capacity: $(VENV)/.installed
	$(BIN)/python -m heathermount.capacity.capacity

clean:
	rm -rf $(VENV) build src/*.egg-info
