GO ?= go
BIN := bin
PACKAGES := ./...

.PHONY: all build test lint demo bench faults clean

all: lint test

build:
	$(GO) build -o $(BIN)/ ./cmd/... ./standins/cmd/...

test:
	$(GO) test -count=1 -timeout 8m $(PACKAGES)

lint:
	@unformatted="$$(gofmt -l $$(git ls-files --cached --others --exclude-standard '*.go'))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt: run gofmt -w on:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)
	$(GO) vet -tags processes ./test/...
	$(GO) tool staticcheck -tags processes ./test/...

clean:
	rm -rf $(BIN) tmp

demo: build
	$(BIN)/demo --bin $(BIN)

# faults runs the fault tests, in memory and over processes, and counts
# violations by invariant.
faults: build
	$(BIN)/faultreport
