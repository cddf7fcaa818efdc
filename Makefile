.PHONY: build test lint sanitize deploy soak demo stats packages

packages:
	tools/install-packages

build: packages
	cmake --preset release
	cmake --build --preset release

test: build
	ctest --test-dir build/release --output-on-failure --no-tests=error -j 4
	tools/known-red

lint: packages
	tools/lint

# AddressSanitizer for the modules that parse external input; ThreadSanitizer
# for the modules that share tables between threads.
sanitize: packages
	tools/sanitize asan global world transport peer entry query once store report \
	  route account placement gateway fleet admission platformadapter
	tools/sanitize tsan transport peer report store

# The build as on the users' platform, without tests.
deploy: packages
	cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DTARRAGON_ENTRY_ONLY=ON
	cmake --build target --target tarragon-entry

# Runs real entry processes under random faults: make soak SEEDS=50 FIRST=1000
SEEDS ?= 10
FIRST ?= 1
soak: build
	build/release/platform/tarragon-soak --seeds $(SEEDS) --first $(FIRST) \
	  --again platform/tests/soak/seeds.txt
	build/release/platform/tarragon-soak --accounts --seeds $(SEEDS) \
	  --first $(FIRST)

demo: build
	tools/demo

stats:
	tools/stats
