#!/usr/bin/env bash
# Runs the tests of one preset: those without processes or benchmarks in
# parallel. Tests listed in KNOWN-RED.txt run last and do not decide the result.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=$1
known_red=$(grep -oE '^test: [A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | cut -d' ' -f2 | paste -sd'|' || true)
exclude=()
if [ -n "$known_red" ]; then
  exclude=(-E "^(${known_red})\$")
fi
ctest --preset "$preset" -j "$(nproc)" "${exclude[@]}"
if [ -n "$known_red" ]; then
  echo "== known red: ${known_red}"
  ctest --preset "$preset" -R "^(${known_red})\$" || echo "known red tests failed, as recorded in KNOWN-RED.txt"
fi
