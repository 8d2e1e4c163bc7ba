PYTHON ?= python3
VENV := .venv
RUN := PYTHONPATH=src:. $(VENV)/bin/python

.PHONY: demo test test-only bench binary lock search soak soak-fleet clean

$(VENV)/.installed: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(RUN) -m standins.demo

test: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) -m tests.known_red

bench: $(VENV)/.installed
	$(RUN) -m bench run all --json out/bench.json

search: $(VENV)/.installed
	$(RUN) -m tests.proof teeth
	$(RUN) -m tests.proof search

SEEDS ?= 50
soak: $(VENV)/.installed
	$(RUN) -m soak --seeds $(SEEDS)

soak-fleet: $(VENV)/.installed
	$(RUN) -m soak.fleet --seeds $(SEEDS)

binary: $(VENV)/.installed
	$(RUN) -m packing

lock:
	rm -rf $(VENV)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.in
	$(VENV)/bin/pip freeze > requirements.txt
	$(VENV)/bin/pip install -q -r requirements-dev.in
	$(VENV)/bin/pip freeze > requirements-dev.txt

clean:
	rm -rf $(VENV) dist out
