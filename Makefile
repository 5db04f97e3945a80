# Every target works in a fresh clone with Go alone.

MODULES := ./... ./testbed/...
TOOL := go tool -modfile=$(CURDIR)/tools/go.mod

.PHONY: build bench demo test race format lint generate generated bench-rollouts capacity

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

test:
	go test $(MODULES)

race:
	go test -race $(MODULES)

format:
	GOWORK=off $(TOOL) gofumpt -w cmd pkg testbed

lint:
	@unformatted=$$(GOWORK=off $(TOOL) gofumpt -l cmd pkg testbed); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(MODULES)
	staticcheck=$$(GOWORK=off $(TOOL) -n staticcheck) && $$staticcheck -checks all,-ST1005,-ST1016 $(MODULES)

generate:
	GOWORK=off go generate ./...

# Fails when the committed generated code is not what the schemas give.
generated: generate
	git diff --exit-code -- '*_gen.go' docs/settings.md
