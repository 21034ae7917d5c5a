VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install run test format lint bench soak clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

run: install
	dev/run.sh

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

test: lint
	$(PY) -m pytest

bench: install
	$(PY) -m bench

soak: install
	$(PY) -m bench.soak
	$(PY) -m bench.edge_soak --seeds 3
	$(PY) -m bench.edge_soak --seeds 3 --no-accounts
	$(PY) -m bench.edge_soak --seeds 3 --planned-only

clean:
	rm -rf $(VENV) build *.egg-info
