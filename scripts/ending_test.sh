#!/bin/bash
# Requests that end the endpoints which run them, as real processes on a
# stand-in of the platform. Counts are asserted, never times.
#
# Symptom: endpoints of a service ended in series, forty in ten seconds; others'
# requests broke off with them, and callers were turned away since an endpoint
# was not reached.
# Sequence: a request ends the endpoint that begins to run it. Its attempt is
# sent to a second one, which ends; the caller comes again, at another entry,
# under a new id, and so on.
# Cause: ends were counted by attempt and by service, never by what was sent, and
# no entry knew what another had seen. What proved it: lines on sends with a
# digest of their content, and on endpoints that have ended. Counted by content
# in all entries, each such request ends three.
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
EDGE_SERVICES_EACH=8
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

# Ends that a request may cost; more than that is known of it by then.
ENDS=3

at_most() { [ "$1" -le "$2" ]; }

# settled: endpoints that ended have started again and are off the list.
listed_endpoints() { platform_test keys | grep -c '^servers/'; }
settled() { is "$(listed_endpoints)" $((2 * EDGE_SERVICES_EACH)); }
settle() {
	sleep 0.8
	wait_for settled
	sleep 0.3
}

ended_since() { echo $(($(seen ended) - $1)); }

# ask COUNT PATH BODY: each time at the next entry, one after the other.
ask() {
	local i
	for i in $(seq 1 "$1"); do
		request $((i % EDGES + 1)) "ask-$RANDOM-$i" "$2" -d "$3"
		echo
	done
}

# ask_at_once PATH BODY: at all entries.
ask_at_once() {
	local n
	for n in $(seq 1 "$EDGES"); do
		curl -s -m 20 -o /dev/null -H 'Host: t.example' \
			-H "Attempt-Id: once-$RANDOM-$n" -H 'Deadline-Ms: 10000' \
			-H 'Authorization: Bearer k1' -d "$2" \
			"http://$(address "$n" callers)$1" &
	done
	wait $(jobs -p | tail -n "$EDGES")
}

# beside: look-ups that have nothing to do with it, until DIR/stop is there.
beside() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		curl -s -m 20 -o "$DIR/body-beside" -w '%{http_code} ' \
			-H 'Host: t.example' -H "Attempt-Id: beside-$i" \
			-H 'Deadline-Ms: 1400' -H 'Authorization: Bearer k1' \
			"http://$(address $((i % EDGES + 1)) callers)/l/$i"
		cat "$DIR/body-beside"
		echo
	done >"$DIR/beside"
}

start_edges || exit 1
put_document 2 '"k1"'
expect "a version is in force" wait_for everywhere in_force 2
beside &

ask 24 /s/x "one that is fatal" >"$DIR/told"
expect "a stream ends three endpoints at most" at_most "$(seen ended)" $ENDS
expect "then it is told that it was not run" \
	is "$(tail -12 "$DIR/told" | sort | uniq -c | tr -s ' ')" " 12 503"

settle
BEFORE=$(seen ended)
ask 24 /u/x "a call that is fatal" >"$DIR/told"
expect "a call that may not be repeated, the same" \
	at_most "$(ended_since "$BEFORE")" $ENDS
expect "and is told so as well" \
	is "$(tail -12 "$DIR/told" | sort | uniq -c | tr -s ' ')" " 12 503"

settle
BEFORE=$(seen ended)
for i in 1 2 3 4; do ask_at_once /s/x "many that are fatal"; done
expect "asked at all entries at once: one endpoint each at most" \
	at_most "$(ended_since "$BEFORE")" "$EDGES"

# Streams with one body, some of them where an endpoint ends.
settle
BEFORE=$(seen ended)
for i in 1 2 3; do
	ask 6 /s/x "a neighbour" >>"$DIR/neighbours" &
	ask 2 /s/x "another that is fatal" >/dev/null
	wait $!
done
expect "one that was under way at ends is served on" \
	is "$(ask 6 /s/x "a neighbour" | sort | uniq -c | tr -s ' ')" " 6 200"
expect "and the guilty one ends three at most" \
	at_most "$(ended_since "$BEFORE")" $ENDS

: >"$DIR/stop"
sleep 0.5
expect "nobody else is turned away for an endpoint that has ended" \
	is "$(grep -c 'endpoint not reached' "$DIR/beside")" 0
expect "and all of those that may be repeated are served" \
	is "$(grep -vc '^200 ' "$DIR/beside")" 0

# All that the entries know dies with them.
for n in $(seq 1 "$EDGES"); do kill -9 "$(pid_of "edge-$n")"; done
for n in $(seq 1 "$EDGES"); do start_edge "$n" false; done
expect "in force again" wait_for everywhere in_force 2
BEFORE=$(seen ended)
ask 12 /s/x "one that is fatal" >/dev/null
expect "after all entries were killed it ends no more" \
	at_most "$(ended_since "$BEFORE")" 0

platform_test mended >/dev/null
for key in $(platform_test keys | grep '^md/fatal/'); do
	platform_test "delete?key=$key" >/dev/null
done
served() { is "$(request "$1" "lifted-$RANDOM" /s/x -d "one that is fatal")" 200; }
expect "an operator lifts it" wait_for everywhere served

echo "ending_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
