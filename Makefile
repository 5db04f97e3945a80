# Every target works in a fresh clone with Go alone.

MODULES := ./... ./testbed/...
TOOL := go tool -modfile=$(CURDIR)/tools/go.mod

# The tests that KNOWN-RED.txt lists are passed over.
KNOWN_RED := $(shell sed -n 's/^\* `\(Test[^`]*\)`.*/^\1$$/p' KNOWN-RED.txt | paste -sd '|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

.PHONY: build soak demo bench bench-rollouts bench-latency test race format lint generate generated faults faults-page capacity

build:
	go build -o bin/ ./cmd/... ./testbed/cmd/...

demo: build
	bin/demo

bench:
	go run ./testbed/cmd/bench

# Measures how costs grow with the number of nodes and targets and the size of the configuration;
# takes just under 4 minutes.
capacity:
	go run ./testbed/cmd/capacity

# Measures the share of good rollouts completed in time and of bad ones rolled back; takes several
# minutes.
bench-rollouts:
	go run ./testbed/cmd/benchrollouts

# Measures the latency that a node adds to a call, compared with a direct call to the same target.
bench-latency: build
	bin/benchlatency

test:
	go test $(SKIP) $(MODULES)
	GOWORK=off go -C tools test ./docnames ./publicnames ./rolloutdays

race:
	go test -race $(SKIP) $(MODULES)

# Runs the fault tests with separate processes and real signals, on loopback ports from 23000.
faults: build
	FAULTS_BIN=$(CURDIR)/bin go test -count=1 -timeout 5m -v ./testbed/processes

# Injects random faults, determined by seeds, into real node processes with stand-ins for the users'
# platform's store and instances.
SEED ?= 1
SEEDS ?= 3
SECONDS ?= 8
PARALLEL ?= 2
NODES ?= 4
INSTANCES ?= 5
soak: build
	bin/soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS) --parallel $(PARALLEL) --nodes $(NODES) --instances $(INSTANCES)

# Renders docs/FAULTS.md from a run of all tests; the cells of a failed test are shown in red.
faults-page: build
	@records=$$(mktemp) && trap 'rm -f "$$records"' EXIT && verdict=0; \
	FAULT_MATRIX_FILE=$$records FAULTS_BIN=$(CURDIR)/bin go test -count=1 $(MODULES) || verdict=1; \
	go run ./testbed/cmd/faultspage --records "$$records" --output docs/FAULTS.md && exit $$verdict

format:
	GOWORK=off $(TOOL) gofumpt -w cmd internal pkg platform testbed tools

lint:
	@unformatted=$$(GOWORK=off $(TOOL) gofumpt -l cmd internal pkg platform testbed tools); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(MODULES)
	GOWORK=off go -C tools vet ./docnames ./publicnames ./rolloutdays
	GOWORK=off go -C tools run ./docnames ..
	staticcheck=$$(GOWORK=off $(TOOL) -n staticcheck) && $$staticcheck -checks all,-ST1005 $(MODULES)

generate:
	GOWORK=off go generate ./...

# Fails if the committed generated code and pages differ from what the schemas generate.
generated: generate
	git diff --exit-code -- '*_gen.go' docs/settings.md docs/metrics.md
