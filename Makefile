BUILD ?= build
SEEDS ?= 1000
FROM ?= 1

.PHONY: all check build packages demo bench soak capacity format

all: build

packages:
	support/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

# Fixed seeds keep the verdict the same in every run.
check: build
	RC_PARAMS="seed=1" support/run-tests $(BUILD)
	support/run-process-soak $(BUILD)

demo: build
	$(BUILD)/jasminelead-demo

bench: build
	$(BUILD)/jasminelead-load

soak: build
	$(BUILD)/jasminelead-soak --seeds $(SEEDS) --from $(FROM)

# Exits 1 where a figure is over its limit.
capacity: build
	$(BUILD)/jasminelead-capacity

format:
	git ls-files -- '*.h' '*.cc' | xargs clang-format -i
