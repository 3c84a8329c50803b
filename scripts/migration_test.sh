#!/bin/bash
# Streams that must not be repeated, at an endpoint that leaves, when their copies
# are made late or not at all; real entries on a stand-in of the platform. Checks
# counts, never times.
#
# Failure: entries stopped runs before there was a copy of them, and cut off their
# streams when it was late or refused, while the endpoint could still have ended them.
#
# Failure: a run was stopped once its copy was made, and its stream cut off, since the
# endpoint with the copy had begun to leave before the stop was answered.
#
# Failure: the endpoint with the copy refused to continue a run, or was not reached, and
# its stream was cut off, though the endpoint that had stopped the run kept it.
# Usage: migration_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-2}
EDGE_SERVICES_EACH=10
PLATFORM_ARGS="--gap 150"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CASES=${CASES:-made late no_room kept silent unknown ended busy target unreached full lost}
EVENTS=20
STREAMS=8

# caller N K: one stream; notes STATUS:EXIT_CODE EVENTS.
caller() {
	local n=$1 k=$2 part=$DIR/part-$CASE-$1-$2 status
	status=$(curl -s -m 10 -o "$part" -w '%{http_code}' -H 'Host: t.example' \
		-H "Attempt-Id: $CASE-$n-$k" -H 'Deadline-Ms: 8000' \
		-H 'Authorization: Bearer k1' -d hello \
		"http://$(address "$n" callers)/o/x"; echo ":$?")
	echo "$status $(whole_events "$part" | wc -l)" >>"$DIR/told-$CASE"
}

whole() { awk -v all=$EVENTS '$1 == "200:0" && $2 == all' "$DIR/told-$CASE" | wc -l; }

selected() { case " $CASES " in *" $1 "*) ;; *) false ;; esac }

# drain_later SECONDS ENDPOINT...: they leave as well.
drain_later() {
	local i
	sleep "$1"
	shift
	for i in "$@"; do platform_test "drain?id=$i" >/dev/null; done
}

# leaves NAME ENDPOINT COPIES [ALIVE_MS [BEFORE_S]]: the endpoint leaves while streams
# run at all entries.
leaves() {
	local n k pids=
	selected "$1" || return
	CASE=$1
	platform_test "copies?$3" >/dev/null
	for n in $(seq 1 "$EDGES"); do
		for k in $(seq 1 $STREAMS); do
			caller "$n" "$k" &
			pids="$pids $!"
		done
	done
	sleep "${5:-0.4}"
	platform_test "drain?id=$2" >/dev/null
	platform_test "end?id=$2&ms=${4:-4000}" >/dev/null
	wait $pids
	echo "$CASE: $(whole) of $((EDGES * STREAMS)) whole"
	expect "$CASE: the streams are whole" is "$(whole)" $((EDGES * STREAMS))
	expect "$CASE: nothing ran twice" [ "$(seen once_twice)" = 0 ]
}

moved() { grep -l "\"event\":\"move\",\"id\":\"$1-.*\"outcome\":\"copied\"" "$DIR"/edge-*.out; }

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere begins
leaves made i-1 "mode=0" 1000
selected made &&
	expect "made: streams went on at their copies" [ -n "$(moved made)" ]
leaves late i-3 "mode=0&ms=1100" 4000
selected late &&
	expect "late: streams went on at their copies" [ -n "$(moved late)" ]
leaves no_room i-5 "mode=4"
leaves kept i-7 "mode=1"
leaves silent i-11 "mode=2"
leaves unknown i-9 "mode=3"
# The copy is gone as its stream is to go on there; the source keeps the run's memory.
leaves lost i-17 "mode=9"
leaves ended i-13 "mode=0&ms=1100" 4000 2.3
leaves busy i-15 "mode=5"
expect "copies that are not used are freed" wait_for eval '[ "$(seen copies_held)" = 0 ]'
selected ended &&
	expect "ended: there were such copies" [ "$(seen copies_freed)" -gt 0 ]
# The endpoints with the copies leave between the answers to copies and to stops.
if selected target; then
	cluster_stop
	start_edges || exit 1
	put_document 2 '"k1"'
	expect "target: all entries serve" wait_for everywhere begins
	drain_later 0.4 i-3 i-5 &
	drain_later 1.55 i-7 i-9 i-11 i-13 i-15 i-17 i-19 &
	leaves target i-1 "mode=0&ms=600" 4000
	expect "target: streams went on at their copies" [ -n "$(moved target)" ]
fi
# New connections of the entries are refused for a moment as the stops are answered.
if selected unreached; then
	cluster_stop
	CUTTABLE=1
	start_edges || exit 1
	put_document 2 '"k1"'
	expect "unreached: all entries serve" wait_for everywhere begins
	{
		sleep 1.55
		cut_off refuse $(seq 1 "$EDGES")
		sleep 1
		cut_off pass $(seq 1 "$EDGES")
	} &
	leaves unreached i-1 "mode=0&ms=600" 6000
	expect "unreached: streams went on at their copies" [ -n "$(moved unreached)" ]
fi
# The same, as the entries can open no descriptors.
limit_descriptors() {
	local n
	for n in $(seq 1 "$EDGES"); do prlimit "--nofile=$1:" -p "$(pid_of "edge-$n")"; done
}
if selected full; then
	cluster_stop
	start_edges || exit 1
	put_document 2 '"k1"'
	expect "full: all entries serve" wait_for everywhere begins
	{
		sleep 1.55
		limit_descriptors 4
		sleep 1
		limit_descriptors 1024
	} &
	leaves full i-1 "mode=0&ms=600" 6000
	expect "full: streams went on at their copies" [ -n "$(moved full)" ]
fi
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "migration_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
