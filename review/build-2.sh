#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network: they
# use Go's standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/standin2 .
