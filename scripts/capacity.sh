#!/usr/bin/env bash
# Runs the benchmarks behind docs/CAPACITY.md and writes their results as CSV
# files to docs/capacity or to the given directory. Takes about three minutes
# after the build of the release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
output_dir=${1:-docs/capacity}
mkdir -p "$output_dir"
cmake --preset release >/dev/null
cmake --build --preset release --target scheduling_benchmark placement_benchmark \
  queueing_benchmark routing_benchmark journal_benchmark rpc_benchmark
benchmarks=build/release/libs
"$benchmarks"/scheduling/scheduling_benchmark --csv "$output_dir/scheduling.csv"
"$benchmarks"/rpc/rpc_benchmark --csv "$output_dir/rpc.csv"
"$benchmarks"/journal/journal_benchmark --csv "$output_dir/journal.csv"
"$benchmarks"/placement/placement_benchmark --csv "$output_dir/placement.csv"
"$benchmarks"/queueing/queueing_benchmark --csv "$output_dir/queueing.csv"
"$benchmarks"/routing/routing_benchmark --csv "$output_dir/routing.csv"

# fit_line FILE X Y NAME: least-squares line through the total of a quantity
# (column Y times column X, because column Y holds it per unit of X) over X.
fit_line() {
  awk -F, -v xcol="$2" -v ycol="$3" -v name="$4" '
    NR == 1 { next }
    { x = $xcol; y = $ycol * x; n++; sx += x; sy += y; sxx += x * x; sxy += x * y; xs[n] = x; ys[n] = y }
    END {
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
      base = (sy - slope * sx) / n
      for (i = 1; i <= n; i++) {
        r = (ys[i] - base - slope * xs[i]) / ys[i]
        if (r < 0) r = -r
        if (r > largest) largest = r
      }
      printf "%-28s %10.2f per worker, %12.1f fixed, largest residual %5.1f%%\n", name, slope, base, 100 * largest
    }' "$1"
}
echo "== fits over the number of workers (16 tasks per worker)"
fit_line "$output_dir/scheduling.csv" 1 3 "heartbeat round, CPU us"
fit_line "$output_dir/scheduling.csv" 1 4 "heartbeat round, bytes"
fit_line "$output_dir/scheduling.csv" 1 5 "memory, bytes"
