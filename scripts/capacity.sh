#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md and writes them as CSV files to
# docs/capacity (or to the folder given). Takes about three minutes after the
# build of the release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-docs/capacity}
mkdir -p "$out"
cmake --preset release >/dev/null
cmake --build --preset release --target scheduling_benchmark placement_benchmark \
  queueing_benchmark routing_benchmark journal_benchmark rpc_benchmark
bin=build/release/libs
"$bin"/scheduling/scheduling_benchmark --csv "$out/scheduling.csv"
"$bin"/rpc/rpc_benchmark --csv "$out/rpc.csv"
"$bin"/journal/journal_benchmark --csv "$out/journal.csv"
"$bin"/placement/placement_benchmark --csv "$out/placement.csv"
"$bin"/queueing/queueing_benchmark --csv "$out/queueing.csv"
"$bin"/routing/routing_benchmark --csv "$out/routing.csv"

# fit FILE X Y NAME: least squares of the column Y times X over X.
fit() {
  awk -F, -v xcol="$2" -v ycol="$3" -v name="$4" '
    NR == 1 { next }
    { x = $xcol; y = $ycol * x; n++; sx += x; sy += y; sxx += x * x; sxy += x * y; xs[n] = x; ys[n] = y }
    END {
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
      base = (sy - slope * sx) / n
      for (i = 1; i <= n; i++) {
        r = (ys[i] - base - slope * xs[i]) / ys[i]
        if (r < 0) r = -r
        if (r > worst) worst = r
      }
      printf "%-28s %10.2f a worker, %12.1f fixed, worst residual %5.1f%%\n", name, slope, base, 100 * worst
    }' "$1"
}
echo "== fits over the number of workers (16 tasks on each)"
fit "$out/scheduling.csv" 1 3 "heartbeat round, CPU us"
fit "$out/scheduling.csv" 1 4 "heartbeat round, bytes"
fit "$out/scheduling.csv" 1 5 "memory, bytes"
