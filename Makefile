.PHONY: build test lint demo stats packages

packages:
	tools/install-packages

build: packages
	cmake --preset release
	cmake --build --preset release

test: build
	ctest --test-dir build/release --output-on-failure --no-tests=error -j 4

lint: packages
	tools/lint

demo: build
	tools/demo

stats:
	tools/stats
