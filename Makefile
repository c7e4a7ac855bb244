# Entry points for people and CI; the build itself is CMake's.
BUILD ?= build

.PHONY: test demo build lint format packages bench slopes

packages:
	@scripts/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/test.sh $(BUILD)

lint: build
	@BUILD_DIR=$(BUILD) scripts/lint.sh

format:
	@scripts/lint.sh --fix

bench: build
	@$(BUILD)/bin/policy_bench $(or $(SCENE),all) $(SEEDS)

demo:
	@BUILD=$(BUILD) scripts/demo.sh
	@BUILD=$(BUILD) scripts/demo_platform.sh

# `make slopes` measures every dimension; ARGS=base only the two-year size, ARGS=faults the
# traffic of faults. Not part of CI.
slopes: build
	@$(BUILD)/bin/slopes $(ARGS)
