#!/usr/bin/env bash
# Builds the program of the scripted cases review/4 and later, with every stand-in that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/harness-2 ./review/harness-2
