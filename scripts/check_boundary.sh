#!/usr/bin/env bash
# Fails if a source file outside platform/ contains a name of the platform's wire
# protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
wire_names='shallotbank/(run-start|run-stop|hold|pace|advise|log-|machine)'
wire_names+='|pathPrefix|apiKeys|lastCheckpoint|ackCursor|holdMaxMs|coldLeftMs|maxCount'
wire_names+='|targetLatencyMs|antiAffinity|dependsOn|keyed\.(op|servers)'
if git grep -nE "$wire_names" -- '*.cc' '*.h' ':!platform/'; then
  echo "check_boundary: the files above use names of the platform's wire protocol outside platform/" >&2
  exit 1
fi
