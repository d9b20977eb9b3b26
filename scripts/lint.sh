#!/usr/bin/env bash
# Checks the formatting of all C++ files except generated ones and runs clang-tidy
# on the sources, or only on those given as arguments. Then checks the scripts, the
# platform boundary and the reference pages. The debug preset must be configured,
# because clang-tidy reads its compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${sources[@]}"
if [ "$#" -gt 0 ]; then
  units=("$@")
else
  mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
fi
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build/debug \
  --extra-arg=-Wno-unknown-warning-option 2>/dev/null
shellcheck scripts/*.sh .ci/run
scripts/check_boundary.sh
scripts/check_docs.sh
