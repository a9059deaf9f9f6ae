PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Number of parallel pytest workers. Tests that start processes spend most of
# their time waiting.
WORKERS ?= 6

.PHONY: setup run demo test check format bench bench-control \
    bench-policy capacity fuzz clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps \
	    --no-build-isolation -e .
	touch $@

test: setup
	$(BIN)/pytest -n $(WORKERS) --dist worksteal -m "not serial"
	$(BIN)/pytest -m serial

check: setup
	$(BIN)/black --check -q src tests bench scripts deploy
	$(BIN)/flake8 src tests bench scripts deploy
	$(BIN)/mypy

format: setup
	$(BIN)/black -q src tests bench scripts deploy

clean:
	rm -rf $(VENV) run

run: setup
	@scripts/run.sh casablanca

demo: setup
	@scripts/run.sh casablanca $(BIN)/python scripts/demo.py

bench: setup
	$(BIN)/python bench/gateway.py

bench-control: setup
	$(BIN)/python bench/control.py

capacity: setup
	$(BIN)/python bench/capacity.py

# Runs the state machine tests for longer, e.g. make fuzz SEED=3 SECONDS=600
# (the time is a limit for the whole run; status 124 means that it was reached).
SEED ?= 1
SECONDS ?= 300
fuzz: setup
	FUZZ_PROFILE=fuzz FUZZ_EXAMPLES=1000000 FUZZ_STEPS=60 \
	    timeout $(SECONDS) $(BIN)/pytest --hypothesis-seed=$(SEED) \
	    tests/test_orders.py tests/test_claims.py \
	    tests/test_configuration.py tests/test_usage.py \
	    tests/test_crashing_parts.py tests/test_rate_limits.py \
	    tests/test_stream_versions.py tests/test_path_choice.py \
	    tests/test_announcements.py tests/test_leases.py \
	    tests/test_usage_eras.py tests/test_caller_budget.py \
	    -k "not faulty" || test $$? -eq 124

bench-policy: setup
	$(BIN)/python bench/policy.py
