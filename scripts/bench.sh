#!/bin/bash
# All measurements; rewrites the tables of docs/RESULTS.md. Usage: bench.sh BUILD
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
OUT=$(mktemp)
{
	"$BUILD/bench/bench_policy"
	"$BUILD/bench/bench_scale" | sed '/^### Memory by size/,$d'
	scripts/bench_real.sh "$BUILD" latency memory kept idle 2>/dev/null
} >"$OUT" || exit 1
scripts/put_tables.sh docs/RESULTS.md "$OUT"
cat "$OUT"
rm -f "$OUT"
