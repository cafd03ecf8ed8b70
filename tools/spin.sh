#!/usr/bin/env bash
# Ensures that the model checker spin is installed. Installs it with apt-get if
# possible; otherwise prints what to install and fails.
set -euo pipefail
if command -v spin >/dev/null; then
  exit 0
fi
if command -v apt-get >/dev/null && [ "$(id -u)" = 0 ]; then
  echo "installing spin"
  apt-get install -y -q spin >/dev/null || { apt-get update -q >/dev/null && apt-get install -y -q spin >/dev/null; }
fi
command -v spin >/dev/null || {
  echo "spin is missing; install it (Debian: apt-get install spin)" >&2
  exit 1
}
