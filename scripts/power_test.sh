#!/bin/bash
# All entries lose power at the same moment, with all that they have written
# anywhere but in the store, right after a change was accepted; real entries on a
# stand-in of the platform. Checks counts, never times.
#
# Failure to guard against: what was accepted is lost with the last process that
# had it, or a duty is done twice by holders that do not remember each other.
# Usage: power_test.sh [ROUNDS] (default 3)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-5}
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
ROUNDS=${1:-3}

serves() { is "$(request "$1" "r$1-$RANDOM-$RANDOM" /u/x)" 200; }
refuses_key() { is "$(KEY=$2 request "$1" "k$1-$RANDOM-$RANDOM" /u/x)" 401; }

all_lose_power() {
	local n
	for n in $(seq 1 "$EDGES"); do kill -9 "$(pid_of "edge-$n")"; done
	sleep 0.3
	for n in $(seq 1 "$EDGES"); do start_edge "$n" false; done
}

start_edges || exit 1
put_document 2 '"k1","k0"'
expect "all entries serve" wait_for everywhere serves
sleep 2
for ROUND in $(seq 1 "$ROUNDS"); do
	VERSION=$((2 + 2 * ROUND))
	# The change takes a key away.
	put_document $VERSION "\"k1\",\"new-$ROUND\""
	all_lose_power
	expect "$ROUND: the last accepted change is in force everywhere" \
		wait_for everywhere in_force $VERSION
	expect "$ROUND: all entries serve again" wait_for everywhere serves
	expect "$ROUND: a key that was taken away stays so" \
		everywhere refuses_key k0
	sleep 3
done
expect "no duty went back to a holder before" is "$(seen wrong_fence)" 0
expect "no usage window was reported in two ways" is "$(seen usage_twice)" 0
expect "usage is reported again" [ "$(seen usage)" -gt 0 ]
expect "nothing ran twice that may run once" is "$(seen once_twice)" 0

echo "power_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
