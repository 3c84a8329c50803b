#!/bin/bash
# Streams without length or chunks, which end with their connection, at endpoints
# that leave, or that crash and start again before that is seen; real entries on a
# stand-in of the platform. Checks counts, never times.
#
# Failures: a leaving endpoint stopped a run for a copy that it then refused, and the
# half of a stream that its caller had got was ended as a complete answer. The same
# when an endpoint had started again by the time at which its connections closed, and
# when one stopped runs that it was to copy while they went on.
#
# Failure: a whole answer was cut off 2 s after its end, since no newer list of
# endpoints came from a store that was away or slow.
#
# Failure: a whole answer was cut off at its end, since the entry could open no new
# connections for a moment.
# Usage: [FRAMED=1] [CASES="..."] whole_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-2}
EDGE_SERVICES_EACH=${EDGE_SERVICES_EACH:-7}
PLATFORM_ARGS="--gap 60"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CUTTABLE=1
CASES=${CASES:-away unreached leaving leaving_away refused silent unknown early frozen cut}
EVENTS=20
STREAMS=8 # at each entry
ENDPOINT=1

STREAM_PATH=/s/x # resumable
DEADLINE_MS=8000

# caller N K: one stream; notes STATUS:EXIT_CODE EVENTS.
caller() {
	local n=$1 k=$2 part=$DIR/part-$CASE-$1-$2 status
	status=$(curl -s -m 14 -o "$part" -w '%{http_code}' -H 'Host: t.example' \
		-H "Attempt-Id: $CASE-$n-$k" -H "Deadline-Ms: $DEADLINE_MS" \
		-H 'Authorization: Bearer k1' -d hello \
		"http://$(address "$n" callers)$STREAM_PATH"; echo ":$?")
	echo "$status $(whole_events "$part" | wc -l)" >>"$DIR/told-$CASE"
}

early() { awk -v all=$EVENTS '$1 == "200:0" && $2 < all' "$DIR/told-$CASE" | wc -l; }
whole() { awk -v all=$EVENTS '$1 == "200:0" && $2 == all' "$DIR/told-$CASE" | wc -l; }

# streams COMMAND...: while streams run at all entries.
streams() {
	local n k pids=
	for n in $(seq 1 "$EDGES"); do
		for k in $(seq 1 $STREAMS); do
			caller "$n" "$k" &
			pids="$pids $!"
		done
	done
	sleep 0.3
	"$@"
	wait $pids
}

check() {
	echo "$CASE: $(whole) of $((EDGES * STREAMS)) whole, $(early) ended early as complete"
	expect "$CASE: no stream ends as complete before its last event" \
		is "$(early)" 0
	expect "$CASE: the streams are whole" is "$(whole)" $((EDGES * STREAMS))
}

leave() {
	platform_test "drain?id=$1" >/dev/null
	platform_test "end?id=$1&ms=3000" >/dev/null
}

# next_endpoint: sets ENDPOINT to one that serves streams and was not used.
next_endpoint() { ENDPOINT=$((ENDPOINT + 2)); }

# leaves NAME COPY_MODE [goes_on]: an endpoint leaves while streams run there; it
# stops some of them, or lets them go on.
leaves() {
	local stopped
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1
	stopped=$(seen stopped)
	platform_test "copies?mode=$2" >/dev/null
	streams leave "i-$ENDPOINT"
	next_endpoint
	check
	[ "$3" = goes_on ] || expect "$CASE: runs were stopped" \
		[ "$(seen stopped)" -gt "$stopped" ]
}

# crash ID: it starts again under its id, which the store lists.
crash() {
	local before=$(seen ended)
	platform_test "crash?id=$1" >/dev/null
	wait_for eval '[ "$(seen ended)" -gt '"$before"' ]'
	sleep 0.6
}

frozen() {
	local n
	for n in $(seq 1 "$EDGES"); do kill -STOP "$(pid_of "edge-$n")"; done
	crash "$1"
	for n in $(seq 1 "$EDGES"); do kill -CONT "$(pid_of "edge-$n")"; done
}

cut() {
	cut_off "hang $(port_of "$1")" $(seq 1 "$EDGES")
	sleep 0.1
	crash "$1"
	sleep 0.6
	cut_off pass $(seq 1 "$EDGES")
}

# restarts NAME: an endpoint crashes, unseen by the entries, and is back.
restarts() {
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1
	platform_test 'again?ms=300&how=2' >/dev/null
	streams "$1" "i-$ENDPOINT"
	next_endpoint
	check
}

silence() {
	local i
	for i in 1 3 5 7 9 11; do platform_test "silent?id=i-$i&ms=1500" >/dev/null; done
}

# away: the store is unreachable until long after the last event.
away() {
	silence
	platform_test "down?ms=6000" >/dev/null
}

# unreached: established connections go on, as the streams end.
unreached() {
	sleep 0.4
	cut_off refuse $(seq 1 "$EDGES")
	sleep 1.2
	cut_off pass $(seq 1 "$EDGES")
}

leaving() {
	local n
	silence
	for n in $(seq 1 "$EDGES"); do kill -TERM "$(pid_of "edge-$n")"; done
}

leaving_away() {
	leaving
	platform_test "down?ms=4300" >/dev/null
}

# begin_again: once the entries have left.
begin_again() {
	local n
	for n in $(seq 1 "$EDGES"); do
		wait "$(pid_of "edge-$n")"
		start_edge "$n" false
	done
	expect "all entries serve again" wait_for everywhere begins
}

# verifies NAME: of streams that must not be repeated, the end has to be proved.
verifies() {
	local STREAM_PATH=/o/x DEADLINE_MS=12000
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1
	expect "$CASE: all entries serve" wait_for everywhere begins
	streams "$1"
	check
	case $1 in leaving*) begin_again ;; esac
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere begins
[ -n "$FRAMED" ] || platform_test "unframed?n=1" >/dev/null
verifies away
verifies unreached
verifies leaving
verifies leaving_away
leaves refused 1
leaves silent 2
leaves unknown 3 goes_on
leaves early 6
leaves no_room 4 goes_on
leaves silent_first 7 goes_on
leaves busy 5 goes_on
leaves unknown_stop 8 goes_on
platform_test "copies?mode=0" >/dev/null
restarts frozen
restarts cut

echo "whole_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
