GO ?= go

.PHONY: all build demo test lint fmt

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	$(GO) test ./...

lint:
	@unformatted=$$(gofmt -l cmd internal); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	gofmt -w cmd internal
