#!/bin/bash
# A store that answers with bytes that are no answer, without end, while other entries
# call it through one entry; a real entry. Checks counts and the entry's memory, never
# times.
#
# Failure: each answer was bounded, their sum was not, and calls of entries that had
# left went on: the entry that relayed them took many times what its machine has.
# Usage: endless_store_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=1
# What a machine has.
MEMORY_MB=64
EDGE_SETTINGS=", \"limits\": { \"memory_mb\": $MEMORY_MB, \"descriptors\": 300 }"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
# Modes of tests/standin/endless.c.
CASES=${CASES:-body body_chunked long headers informational}
CALLS=60

grown_mb() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/$(pid_of edge-1)/status"; }

# served: the entry answers other entries.
served() { curl -s -m 5 "http://$PEERS/metrics" | grep -q marldock; }

below() { [ "$1" -le "$2" ]; }

# call_store: many calls that are relayed; entries leave after LEAVE_S.
call_store() {
	local i pids=
	for i in $(seq 1 $CALLS); do
		curl -s -m "$LEAVE_S" -o /dev/null \
			"http://$PEERS/v1/kv-key?key=$CASE-$i" &
		pids="$pids $!"
	done
	wait $pids
}

start store "$BIN/standin-endless" --mode "$DIR/mode" --address 127.0.0.2:0
PLATFORM=$(ready store) || exit 1
for CASE in $CASES; do
	echo "$CASE" >"$DIR/mode"
	start_edge 1 || exit 1
	PEERS=$(address 1 peers)
	: >"$DIR/store.out"
	for LEAVE_S in 0.5 3; do call_store; done
	echo "$CASE: $(grep -c "^closed $CASE " "$DIR/store.out") calls, grown to $(grown_mb) MB"
	expect "$CASE: the store got calls" grep -q "^closed $CASE " "$DIR/store.out"
	expect "$CASE: the entry keeps to its memory" below "$(grown_mb)" "$MEMORY_MB"
	expect "$CASE: the entry answers other entries" wait_for served
	end_child "$(pid_of edge-1)"
done
expect "no entry ended by itself" [ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "endless_store_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
