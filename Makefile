# Every target sets itself up in .venv from the committed lock.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

.PHONY: setup format lint types layers unit doctests test demo bench soak fault-soak stop-soak slopes clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

setup: $(STAMP)

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup
	$(PYTHON) -m mypy

layers: setup
	$(VENV)/bin/lint-imports

doctests: setup
	$(PYTHON) -m pytest --doctest-modules src

unit: setup
	$(PYTHON) tests/run_suite.py

test: lint types layers doctests unit

demo: setup
	$(PYTHON) examples/demo.py

bench: setup
	$(PYTHON) -m bench
	$(PYTHON) -m bench.process

soak: setup
	$(PYTHON) tests/soak.py --seeds $(or $(SEEDS),200)

fault-soak: setup
	$(PYTHON) -m tests.fault_soak --seeds $(or $(SEEDS),50)

stop-soak: setup
	$(PYTHON) -m tests.stop_soak --seeds $(or $(SEEDS),50)

slopes: setup
	$(PYTHON) -m bench.slopes

clean:
	rm -rf $(VENV) out build
