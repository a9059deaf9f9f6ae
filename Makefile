PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup run demo test check format bench clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/pytest

check: setup
	$(BIN)/black --check -q src tests bench scripts
	$(BIN)/flake8 src tests bench scripts
	$(BIN)/mypy

format: setup
	$(BIN)/black -q src tests bench scripts

clean:
	rm -rf $(VENV) run

run: setup
	@scripts/run.sh casablanca

demo: setup
	@scripts/run.sh casablanca $(BIN)/python scripts/demo.py
