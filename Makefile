# Every target works in a fresh clone with Go alone.

MODULES := ./... ./testbed/...
TOOL := go tool -modfile=$(CURDIR)/tools/go.mod

.PHONY: build soak demo bench bench-rollouts bench-latency test race format lint generate generated faults faults-page capacity

build:
	go build -o bin/ ./cmd/... ./testbed/cmd/...

demo: build
	bin/demo

bench:
	go run ./testbed/cmd/bench

# How costs grow with the fleet, the targets and the configuration; just under 4 minutes.
capacity:
	go run ./testbed/cmd/capacity

# Share of good rollouts done in time and of bad ones taken back; several minutes.
bench-rollouts:
	go run ./testbed/cmd/benchrollouts

# Latency that a node adds to a call, against the same target called directly.
bench-latency: build
	bin/benchlatency

test:
	go test $(MODULES)

race:
	go test -race $(MODULES)

# Faults over separate processes with real signals, on loopback ports from 23000.
faults: build
	FAULTS_BIN=$(CURDIR)/bin go test -count=1 -timeout 5m -v ./testbed/processes

# Random faults, by seed, over real nodes of the users' platform with stand-ins of its store and instances.
SEED ?= 1
SEEDS ?= 3
SECONDS ?= 8
PARALLEL ?= 2
soak: build
	bin/soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --parallel $(PARALLEL)

# Renders docs/FAULTS.md from a run of all tests; a failed test leaves its cells red.
faults-page: build
	@records=$$(mktemp) && trap 'rm -f "$$records"' EXIT && verdict=0; \
	FAULT_MATRIX_FILE=$$records FAULTS_BIN=$(CURDIR)/bin go test -count=1 $(MODULES) || verdict=1; \
	go run ./testbed/cmd/faultspage --records "$$records" --output docs/FAULTS.md && exit $$verdict

format:
	GOWORK=off $(TOOL) gofumpt -w cmd internal pkg platform testbed

lint:
	@unformatted=$$(GOWORK=off $(TOOL) gofumpt -l cmd internal pkg platform testbed); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(MODULES)
	staticcheck=$$(GOWORK=off $(TOOL) -n staticcheck) && $$staticcheck -checks all,-ST1005,-ST1016 $(MODULES)

generate:
	GOWORK=off go generate ./...

# Fails when the committed generated code is not what the schemas give.
generated: generate
	git diff --exit-code -- '*_gen.go' docs/settings.md docs/metrics.md
