GO ?= go
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unknown)

.PHONY: all build demo test lint fmt

all: build

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	$(GO) test -timeout 30m ./...

lint:
	@unformatted=$$(gofmt -l cmd internal); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	gofmt -w cmd internal
