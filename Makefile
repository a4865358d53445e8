# Two commands matter: `make serve` and `make test`.
PY ?= .venv/bin/python
export PYTHONPATH := src:.

.PHONY: serve test format bench venv

venv: .venv/.installed

.venv/.installed: pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

serve: venv
	$(PY) -m chervilwing.daemon --embedded --listen 127.0.0.1:8080

test: venv
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m tests

format:
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

# Each writes its own section of docs/MEASUREMENTS.md, the last one docs/CAPACITY.md.
BENCHES := path load decision gossip claims revisions planner capacity

bench:
	for name in $(BENCHES); do $(PY) -m bench.$$name || exit 1; done
