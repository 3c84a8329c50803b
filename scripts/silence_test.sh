#!/bin/bash
# Endpoints that are sound, but silent for a second or so and then go on, with
# real entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: an endpoint was silent for 1.3 s, and the entries had given up their
# connections to it after 1 s, and with them requests that may not be repeated.
# Usage: silence_test.sh [ROUNDS] (default 4)
cd "$(dirname "$0")/.." || exit 1
EDGES=2
CUTTABLE=1
LOADS=6
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/edge_load.sh
trap cluster_stop EXIT
ROUNDS=${1:-4}
SILENCE_S=1.3

# A route whose requests may not be repeated, with time for a silence.
PATIENT=',{"name":"patient","host":"t.example","prefix":"/p/","routeKind":"unsafe","timeoutMs":6000,"service":"app","maxAttempts":1}'

silent_in_turn() {
	local round
	for round in $(seq 1 "$ROUNDS"); do
		cut_off "hang $(port_of "i-$((2 * (round % 3) + 2))")" 1
		sleep $SILENCE_S
		cut_off pass 1
		sleep 3
	done
}

start_edges || exit 1
put_document 2 '"k1"' "$PATIENT"
expect "all entries serve" wait_for everywhere serves
expect "the endpoints' ports are known" [ "$(port_of i-2)" -gt 0 ]

for path in /p/x /l/x /s/x /o/x; do
	load $path silent_in_turn
	expect "$path: requests outlast a silence of their endpoint" \
		is "$(others_than 200)" 0
	echo "$path:" $(sort "$DIR/statuses" | uniq -c)
done
expect "no stream is broken off by a silence of its endpoint" \
	[ -z "$(grep -l '"event":"cut"' "$DIR"/edge-*.out)" ]
expect "an entry with one silent endpoint is not cut off" \
	[ -z "$(grep -l '"event":"cut_off"' "$DIR"/edge-*.out)" ]
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "silence_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
