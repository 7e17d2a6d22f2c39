# `make demo` and `make test` do all set-up on a fresh machine.
.PHONY: demo up down test bench slopes lint build build-release

demo: build-release
	scripts/demo.sh

up: build-release
	scripts/up.sh

down:
	scripts/down.sh

test: lint build
	scripts/run_tests.sh

lint: set-up
	cargo fmt --check
	cargo clippy --workspace --all-targets --quiet -- -D warnings

bench: build-release
	cargo bench --quiet -p cherrystand_core --bench repair --bench routing --bench node_costs
	cargo bench --quiet -p cherrystandd --bench latency --bench overload

slopes: build-release
	cargo bench --quiet -p cherrystandd --bench slopes

build: set-up
	cargo build --workspace --quiet

build-release: set-up
	cargo build --workspace --release --quiet

.PHONY: set-up
set-up:
	scripts/set_up.sh
