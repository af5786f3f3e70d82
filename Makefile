# Every target builds in build/ through CMake.
BUILD ?= build
JOBS ?= $(shell nproc)
C_FILES = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h')

.PHONY: all packages check format format-check lint demo bench capacity clean

all:
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

packages:
	@test/install-packages

check: all
	@test/run $(BUILD)

format:
	@clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run --Werror $(C_FILES)

lint: all
	@printf '%s\n' $(filter %.c,$(C_FILES)) | grep -v '^test/fuzz/' \
	  | xargs -P $(JOBS) -n 1 clang-tidy -quiet -p $(BUILD)

demo: packages all
	@test/demo $(BUILD)

bench: all
	@bench/run --build $(BUILD)

capacity: all
	@bench/capacity $(BUILD)

clean:
	@rm -rf $(BUILD)
