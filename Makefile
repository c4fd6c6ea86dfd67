PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin
ARGS ?=

.PHONY: setup serve test check scenarios generate binary bench capacity replay soak

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(RUN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

setup: $(VENV)/.installed

serve: setup
	$(RUN)/python -m local.serve $(ARGS)

check: setup
	$(RUN)/black --check --quiet src stand_ins local measure soak tests
	$(RUN)/ruff check --quiet .
	$(RUN)/mypy

scenarios: setup
	$(RUN)/behave tests $(ARGS)

test: check
	$(RUN)/behave tests $(ARGS) ; status=$$? ; cat .failed-tests/report.txt .test-counts ; exit $$status

generate: setup
	$(RUN)/python -W ignore -m cactusshunt.schema.generate
	$(RUN)/python -m cactusshunt.schema.generate_events
	$(RUN)/black --quiet src/cactusshunt/schema/generated

binary: setup
	mkdir -p dist
	$(RUN)/shiv --compressed --output-file dist/cactusshunt --python "/usr/bin/env python3" \
		--entry-point cactusshunt.console.application:main . --constraint requirements.txt

bench: setup
	$(RUN)/python -m measure.bench

capacity: setup
	$(RUN)/python -m measure.capacity
	$(RUN)/python -m measure.capacity.page

replay: setup
	$(RUN)/python -m measure.replay $(ARGS)

soak: setup
	$(RUN)/python -m soak $(ARGS)
