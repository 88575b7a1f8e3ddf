.PHONY: setup build demo test bench bench-quick matrix matrix-pairs soak lint \
	format clean

setup:
	scripts/setup

build: setup
	cmake --preset default >/dev/null
	cmake --build --preset default

test: build
	ctest --preset default

lint: setup
	scripts/lint

format:
	scripts/lint --fix

demo: build
	scripts/demo

bench: build
	scripts/bench

bench-quick: build
	scripts/bench --quick

matrix: build
	build/default/fault_matrix_test --print

matrix-pairs: build
	build/default/fault_matrix_test --print --pairs 20000

SEEDS ?= 50
soak: build
	soak/soak.py --bin build/default/trefoilwick --seeds $(SEEDS)

clean:
	rm -rf build
