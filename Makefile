# Two commands do all the set-up: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := lentilmount stand_ins benchmarks soak tests

.PHONY: install test demo bench lint format wire lock

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m stand_ins.demo $(if $(KEEP),--keep)

bench: install
	$(BIN)/python -m benchmarks

lint: install
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/mypy

format: install
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

# Needs the development packages; what it makes is committed.
wire: install
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=. --pyi_out=. --grpclib_python_out=. \
	  lentilmount/wire/peer.proto

lock: install
	$(BIN)/pip install --quiet pip-tools
	$(BIN)/pip-compile --quiet --extra dev --generate-hashes --allow-unsafe \
	  --no-emit-index-url --no-emit-find-links --no-header --strip-extras \
	  -o requirements.lock pyproject.toml
