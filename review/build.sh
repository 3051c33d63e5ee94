#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: store, routers, targets and clients, one
# program of the standard library alone. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
