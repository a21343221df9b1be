VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
# An environment of another interpreter or processor is made anew.
MACHINE := $(shell $(PYTHON) -c 'import sys, sysconfig; \
	print(sys.implementation.cache_tag, sysconfig.get_platform(), sep="-")')
STAMP := $(VENV)/.installed-$(MACHINE)
export PYTHONPATH := $(CURDIR)


.PHONY: capacity fast-peers demo log-events test lint format measure soak soak-starts schedules binary thrift clean

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch "$@"

demo: $(STAMP)
	$(BIN)/python -m demo.platform
	$(BIN)/python -m demo.run

test: $(STAMP)
	$(BIN)/python -m pytest $(ARGS)

# Randomised faults on real processes; prints the seed and every violation.
soak: $(STAMP)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --minutes $(or $(MINUTES),5)

# Starts and stops of real processes beside random disturbances.
soak-starts: $(STAMP)
	$(BIN)/python -m soak.starts --first $(or $(FIRST),1) \
		--count $(or $(COUNT),1)

# Random fault schedules in one process on the virtual clock.
schedules: $(STAMP)
	$(BIN)/python -m soak.schedules --first $(or $(FIRST),0) \
		--count $(or $(COUNT),1000)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .

format: $(STAMP)
	$(BIN)/ruff check --fix-only --quiet .
	$(BIN)/ruff format .

# The standard library is patched before anything that holds locks is imported.
capacity: $(STAMP)
	$(BIN)/python -c 'import ivystep, eventlet; eventlet.monkey_patch(); from measure import capacity; capacity.main()'

fast-peers: $(STAMP)
	$(BIN)/python -c 'import ivystep, eventlet; eventlet.monkey_patch(); from measure import fast_peers; fast_peers.main()'

# Renders the page on the gateway's log lines.
log-events: $(STAMP)
	$(BIN)/python -m ivystep log-events > docs/log-events.md

# Needs a C compiler and the interpreter's static library.
binary: $(STAMP)
	$(BIN)/python tools/build_binary.py

measure: $(STAMP)
	$(BIN)/python -m measure.report

# Needs the Thrift compiler; its output is committed, so builds do not.
thrift:
	mkdir -p build/thrift
	thrift --gen py:slots -out build/thrift ivystep/wire/ivystep.thrift
	cp build/thrift/gen/*.py ivystep/wire/gen/

clean:
	rm -rf build dist
