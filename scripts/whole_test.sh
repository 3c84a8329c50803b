#!/bin/bash
# Streams without length or chunks, which end with their connection, at endpoints
# that leave; real entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: a leaving endpoint stopped a run for a copy that it then refused, and the
# half of a stream that its caller had got was ended as a complete answer.
# Usage: whole_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-2}
EDGE_SERVICES_EACH=6
PLATFORM_ARGS="--gap 50"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CASES=${CASES:-refused silent unknown}
EVENTS=20

# caller N K: one stream; notes STATUS:EXIT_CODE EVENTS.
caller() {
	local n=$1 k=$2 part=$DIR/part-$CASE-$1-$2 status
	status=$(curl -s -m 10 -o "$part" -w '%{http_code}' -H 'Host: t.example' \
		-H "Attempt-Id: $CASE-$n-$k" -H 'Deadline-Ms: 8000' \
		-H 'Authorization: Bearer k1' -d hello \
		"http://$(address "$n" callers)/s/x"; echo ":$?")
	echo "$status $(whole_events "$part" | wc -l)" >>"$DIR/told-$CASE"
}

early() { awk -v all=$EVENTS '$1 == "200:0" && $2 < all' "$DIR/told-$CASE" | wc -l; }
whole() { awk -v all=$EVENTS '$1 == "200:0" && $2 == all' "$DIR/told-$CASE" | wc -l; }

# case_of NAME COPY_MODE ENDPOINT: the endpoint leaves while streams run there.
case_of() {
	local n k pids= stopped
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1
	stopped=$(seen stopped)
	platform_test "copies?mode=$2" >/dev/null
	for n in $(seq 1 "$EDGES"); do
		for k in $(seq 1 6); do
			caller "$n" "$k" &
			pids="$pids $!"
		done
	done
	sleep 0.3
	platform_test "drain?id=$3" >/dev/null
	platform_test "end?id=$3&ms=3000" >/dev/null
	wait $pids
	echo "$CASE: $(($(seen stopped) - stopped)) runs stopped," \
		"$(whole) of $((EDGES * 6)) whole, $(early) ended early as complete"
	[ "$2" = 3 ] || expect "$CASE: runs were stopped" \
		[ "$(seen stopped)" -gt "$stopped" ]
	expect "$CASE: no stream ends as complete before its last event" \
		is "$(early)" 0
	expect "$CASE: the streams are whole" is "$(whole)" $((EDGES * 6))
}

serves() { is "$(request "$1" "first-$1-$RANDOM" /s/x -d hello)" 200; }

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves
platform_test "unframed?n=1" >/dev/null
case_of refused 1 i-1
case_of silent 2 i-3
case_of unknown 3 i-5

echo "whole_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
