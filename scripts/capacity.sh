#!/bin/bash
# Measures the slopes and rewrites the tables of docs/CAPACITY.md.
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
OUT=$(mktemp)
{
	"$BUILD/bench/bench_scale"
	scripts/bench_real.sh "$BUILD" memory kept idle 2>/dev/null
} >"$OUT" || exit 1
scripts/put_tables.sh docs/CAPACITY.md "$OUT"
cat "$OUT"
rm -f "$OUT"
