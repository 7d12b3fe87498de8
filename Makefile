GO ?= go
BIN := bin
PACKAGES := ./...

.PHONY: all build test lint demo bench bench-grants faults soak clean

all: lint test

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./standins/cmd/...

# test passes over exactly the tests that KNOWN-RED.txt lists and prints them.
test:
	$(GO) run ./standins/cmd/testrunner $(PACKAGES)

lint:
	@unformatted="$$(gofmt -l $$(git ls-files --cached --others --exclude-standard '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt: run gofmt -w on:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) vet -tags bench ./bench/...
	$(GO) tool staticcheck $(PACKAGES)
	$(GO) vet -tags processes ./test/...
	$(GO) tool staticcheck -tags processes ./test/...

clean:
	rm -rf $(BIN) tmp

demo: build
	$(BIN)/demo --bin $(BIN)

# The figures in bench/ depend on the machine and its load at the time of the run.
bench: build
	$(GO) test -tags bench -timeout 8m -parallel 8 ./bench/policy -args -rate 8 -out $(CURDIR)/bench/policy.json
	@cat bench/policy.txt
	$(GO) run ./bench/routing -out bench/routing.json
	@cat bench/routing.txt
	$(GO) run ./bench/placement -out bench/placement.json
	@cat bench/placement.txt
	$(GO) test -run '^$$' -bench . -benchtime 0.3s ./pkg/ledger ./pkg/shard ./pkg/routing ./pkg/config | tee bench/hotpaths.txt
	$(BIN)/bench --bin $(BIN) --out bench/cost.json | tee bench/cost.txt

# Compares grant policies; see docs/decisions/grant-policy.md.
bench-grants:
	$(GO) test -tags bench -timeout 5m -parallel 8 ./bench/policy -run 'TestPolicy/A/(end|demand|10_min_cut_of)' -args -variants -rate 4 -out $(CURDIR)/bench/grants.json
	@cat bench/grants.txt

# soak injects random faults into processes of clementinerack-entry. FIRST is the first
# seed, SEEDS the number of seeds, and DURATION the time with faults for each seed.
FIRST ?= 1
SEEDS ?= 50
DURATION ?= 10s
soak:
	$(GO) test -count=1 -timeout 60m -v ./test/soak -args -first $(FIRST) -seeds $(SEEDS) -duration $(DURATION)

# faults runs the fault tests, in memory and over processes, and counts
# violations by invariant.
faults: build
	$(BIN)/faultreport
