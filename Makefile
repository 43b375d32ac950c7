PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready
SOURCES := $(wildcard libs/*/pyproject.toml) app/pyproject.toml platform/pyproject.toml standins/pyproject.toml

.PHONY: run run-platform test lint format measure binary clean

$(STAMP): requirements.txt requirements-dev.txt constraints.txt $(SOURCES)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt -c constraints.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach one,$(SOURCES),-e $(dir $(one)))
	touch $@

run: $(STAMP)
	$(BIN)/python tools/demo.py $(if $(KEEP),--keep)

run-platform: $(STAMP)
	$(BIN)/python tools/demo_platform.py $(if $(KEEP),--keep)

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

measure: $(STAMP)
	$(BIN)/python -m measure

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py dist/catkinknot

clean:
	rm -rf build dist
