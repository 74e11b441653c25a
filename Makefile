PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check bench soak fuzz binary

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m scripts.demo

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Process tests run four at a time; each uses about ten processes. Those of crowds of
# callers run after them, one at a time.
test: check
	$(BIN)/python -m pytest -m "not process"
	$(BIN)/python -m pytest -m "process and not crowd" -n 4 tests soak
	$(BIN)/python -m pytest -m crowd tests soak

bench: $(VENV)/.installed
	$(BIN)/python -m bench

# For example: make soak SEED=7, or make soak MINUTES=5
soak: $(VENV)/.installed
	$(BIN)/python -m soak $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES)) \
	  --report soak-report.html

fuzz: $(VENV)/.installed
	HYPOTHESIS_PROFILE=soak $(BIN)/python -m pytest -m fuzz

binary: $(VENV)/.installed
	$(BIN)/python -m scripts.build_binary
