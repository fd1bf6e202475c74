# Targets for a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo demo-up test test-long soak lint format generate clean

$(VENV)/installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m marigoldramp_standins.demo

demo-up: $(VENV)/installed
	$(BIN)/python -m marigoldramp_standins.demo --stay

# Tests run in WORKERS processes; those of a file in the same one.  Those of
# CROWDS check the memory of processes, and run one at a time after the others.
WORKERS ?= 4
CROWDS := tests/crowds
PYTEST := $(BIN)/python -m pytest --numprocesses $(WORKERS) --dist loadfile \
    --ignore $(CROWDS)

test: $(VENV)/installed
	$(PYTEST)
	$(BIN)/python -m pytest $(CROWDS)

test-long: $(VENV)/installed
	HYPOTHESIS_PROFILE=long $(PYTEST)

# SEEDS and FIRST choose the seeds: make soak SEEDS=50 FIRST=1 MORE=--ends
SEEDS ?= 5
FIRST ?= 1
soak: $(VENV)/installed
	$(BIN)/python -m marigoldramp_soak --seeds $(SEEDS) --first $(FIRST) \
	    $(MORE)

lint: $(VENV)/installed
	$(BIN)/black --check --quiet . || $(BIN)/black --check .
	$(BIN)/isort --check-only .
	$(BIN)/flake8
	$(BIN)/mypy

format: $(VENV)/installed
	$(BIN)/isort .
	$(BIN)/black --quiet .

generate: $(VENV)/installed
	$(BIN)/python -m grpc_tools.protoc --proto_path=. --python_out=. \
	    --pyi_out=. marigoldramp/peers.proto

clean:
	rm -rf $(VENV) build *.egg-info out
