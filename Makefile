# quinceroute: every target sets up what it needs. Build files live in build/.
BUILD ?= build
SANITIZE_BUILD ?= build-sanitize
PYTHONDONTWRITEBYTECODE = 1

.PHONY: all setup build check check-sanitize demo soak format lint clean

all: build

setup:
	@scripts/setup.sh

build: setup
	@scripts/build.sh $(BUILD)

check: build
	@scripts/check.sh $(BUILD)

check-sanitize: setup
	@scripts/build.sh $(SANITIZE_BUILD) -Db_sanitize=address,undefined -Db_lundef=false
	@scripts/check.sh $(SANITIZE_BUILD)

demo: build
	@scripts/demo.sh $(BUILD)

# Fronts and replicas under seeded faults: make soak SEED=7.  More seeds of the losses of power, on one core:
# SOAK_SEED=7 SOAK_STEPS=10 SOAK_CORES=1 SOAK_READ_MS=30000 meson test -C build -t 10 platform-power-loss-soak
soak: build
	@SOAK_SEED=$(or $(SEED),1) meson test -C $(BUILD) --no-rebuild --num-processes 1 --print-errorlogs \
	    platform-evacuation-soak platform-quarantine-soak platform-warmup-soak platform-zone-loss-soak \
	    platform-power-loss-soak

format:
	@scripts/sources.sh | xargs clang-format -i

lint:
	@scripts/lint.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(SANITIZE_BUILD) out
