#!/usr/bin/env bash
# Builds the project's own programs, stand-ins included, and the harness of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -tags review -o target/review-harness ./review/harness
