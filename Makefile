.PHONY: setup build demo test bench bench-quick matrix soak lint format clean

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

soak: build
	build/default/fault_matrix_test --print --pairs 20000

clean:
	rm -rf build
