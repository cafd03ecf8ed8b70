#!/usr/bin/env bash
# Runs each fuzz test of the module for a fixed number of inputs, in addition to the corpus in
# testdata/fuzz. Usage: tools/fuzz.sh [COUNT]
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-3000}
grep -rl --include='*_test.go' '^func Fuzz' internal platform | sort | while read -r file; do
  for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file"); do
    go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${count}x"
  done
done
