#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in this folder into
# review/bin. Needs only packages that the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
  number=${source%%/*}
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/case-$number"
done
