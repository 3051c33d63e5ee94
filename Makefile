GO ?= go
# KNOWN_RED is a pattern for -skip that matches the tests and subtests listed in KNOWN-RED.txt.
KNOWN_RED := $(shell grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt 2>/dev/null | sed 's:/:$$/^:g; s:.*:^&$$:' | paste -sd'|' -)
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo unknown)

.PHONY: all build demo demo-edge test lint fmt

all: build

build:
	$(GO) build -ldflags "-X main.version=$(VERSION)" -o bin/ ./cmd/...

demo-edge: build
	./scripts/demo-edge.sh

demo: build
	./scripts/demo.sh
	./scripts/demo-edge.sh

test:
	@if [ -n "$(KNOWN_RED)" ]; then echo "skipped because they are known to fail:"; cat KNOWN-RED.txt; fi
	$(GO) test -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...

lint:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

fmt:
	gofmt -w cmd internal platform
