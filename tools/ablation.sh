#!/usr/bin/env bash
# Measures the effect of each mechanism of the gateway: scores deployments in a
# scratch copy of the repository with one mechanism disabled at a time.
#
#   tools/ablation.sh BENCH OUT "SITE..." [MECHANISM...]
#
# BENCH is the path of the benchmark program, OUT a folder for its output and the
# copy, SITE the site files. By default all mechanisms are measured. Prints the
# score of each day.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$(realpath "$1") out=$(realpath "$2")
read -ra sites <<<"$3"
shift 3
mechanisms=("$@")
if [ ${#mechanisms[@]} = 0 ]; then
  mechanisms=(none $(grep -oP 'Mechanism = "\K[a-z_]+' internal/gateway/mechanism.go))
fi
for i in "${!sites[@]}"; do sites[i]=$(realpath "${sites[i]}"); done
rm -rf "$out/copy"
git clone -q . "$out/copy"
cd "$out/copy"
template=$(cat deploy/gateway.jsonc.tmpl)
for m in "${mechanisms[@]}"; do
  printf '%s\n' "$template" >deploy/gateway.jsonc.tmpl
  [ "$m" = none ] || sed -i "s/\"gateway\": {/&\n    \"without\": [\"$m\"],/" deploy/gateway.jsonc.tmpl
  for site in "${sites[@]}"; do
    name=$(basename "$site" .toml)
    "$bench" score "$site" --no-cpu --jobs 4 --why "ablation: without $m" >"$out/$name-$m.txt" 2>&1 || true
    printf '%s without %s:' "$name" "$m"
    grep -E '^(quiet|trouble|scale)-[0-9]+ +[0-9]+/' "$out/$name-$m.txt" | awk '{printf " %s", $4}'
    grep -qE '^GATE passed' "$out/$name-$m.txt" && echo || echo " (gate failed)"
  done
done
