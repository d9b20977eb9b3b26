#!/usr/bin/env bash
# Installs packages, builds and runs every test, then checks format and lint.
# SHALLOTBANK_PRESETS names the presets (default: debug asan tsan).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
# Objects are shared between clones in different folders.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
presets=${SHALLOTBANK_PRESETS:-debug asan tsan}
unset SHALLOTBANK_PRESETS
for preset in $presets; do
  echo "== $preset"
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset"
  scripts/run_tests.sh "$preset"
done
echo "== lint"
cmake --preset debug >/dev/null
scripts/lint.sh
