PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed.stamp

.PHONY: demo test lint format clean

demo: $(STAMP)
	$(BIN)/python scripts/demo.py

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

lint: $(STAMP)
	$(BIN)/black --check --quiet src testing bench scripts
	$(BIN)/ruff check --quiet src testing bench scripts

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet src testing bench scripts
	$(BIN)/black --quiet src testing bench scripts

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

clean:
	rm -rf $(VENV) build dist src/*.egg-info
