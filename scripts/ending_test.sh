#!/bin/bash
# Poison requests, which crash the endpoints that run them, with real processes
# on a platform stand-in. Checks counts, never times.
#
# Failure: endpoints of a service crashed in series, forty in ten seconds. Other
# requests running there were aborted, and clients were refused because an
# endpoint was not reached.
# Sequence: a request crashes the endpoint that begins to run it. Its attempt is
# sent to a second one, which crashes; the client retries at another entry,
# under a new id, and so on.
# Cause: crashes were counted per attempt and per service, never per content,
# and no entry knew what another had seen. Log lines on sends, with a
# digest of the content, and on crashed endpoints proved it. Counted by content
# across all entries, each such request crashes three.
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
EDGE_SERVICES_EACH=8
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

# Maximum number of crashes by one request; then it is convicted.
MAX_CRASHES=3

at_most() { [ "$1" -le "$2" ]; }

# settled: crashed endpoints have restarted, and their old keys are deleted.
listed_endpoints() { platform_test keys | grep -c '^servers/'; }
settled() { is "$(listed_endpoints)" $((2 * EDGE_SERVICES_EACH)); }
settle() {
	sleep 0.8
	wait_for settled
	sleep 0.3
}

crashes_since() { echo $(($(seen ended) - $1)); }

# send_requests COUNT PATH BODY: sequentially, each to the next entry; prints
# the statuses.
send_requests() {
	local i
	for i in $(seq 1 "$1"); do
		request $((i % EDGES + 1)) "request-$RANDOM-$i" "$2" -d "$3"
		echo
	done
}

# send_to_all PATH BODY: to all entries at once.
send_to_all() {
	local n pids=
	for n in $(seq 1 "$EDGES"); do
		curl -s -m 20 -o /dev/null -H 'Host: t.example' \
			-H "Attempt-Id: once-$RANDOM-$n" -H 'Deadline-Ms: 10000' \
			-H 'Authorization: Bearer k1' -d "$2" \
			"http://$(address "$n" callers)$1" &
		pids="$pids $!"
	done
	wait $pids
}

# background_load: unrelated idempotent requests, until DIR/stop exists.
background_load() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		curl -s -m 20 -o "$DIR/background-body" -w '%{http_code} ' \
			-H 'Host: t.example' -H "Attempt-Id: background-$i" \
			-H 'Deadline-Ms: 1400' -H 'Authorization: Bearer k1' \
			"http://$(address $((i % EDGES + 1)) callers)/l/$i"
		cat "$DIR/background-body"
		echo
	done >"$DIR/background"
}

start_edges || exit 1
put_document 2 '"k1"'
expect "a configuration is in force" wait_for everywhere in_force 2
background_load &

send_requests 24 /s/x "one that is fatal" >"$DIR/statuses"
expect "a stream crashes three endpoints at most" \
	at_most "$(seen ended)" $MAX_CRASHES
expect "further attempts are answered 503" \
	is "$(tail -12 "$DIR/statuses" | sort | uniq -c | tr -s ' ')" " 12 503"

settle
CRASHES_BEFORE=$(seen ended)
send_requests 24 /u/x "a call that is fatal" >"$DIR/statuses"
expect "a non-repeatable request crashes three endpoints at most" \
	at_most "$(crashes_since "$CRASHES_BEFORE")" $MAX_CRASHES
expect "its further attempts are answered 503" \
	is "$(tail -12 "$DIR/statuses" | sort | uniq -c | tr -s ' ')" " 12 503"

settle
CRASHES_BEFORE=$(seen ended)
for i in 1 2 3 4; do send_to_all /s/x "many that are fatal"; done
expect "sent to all entries at once, it crashes one endpoint per entry at most" \
	at_most "$(crashes_since "$CRASHES_BEFORE")" "$EDGES"

# Harmless streams of one content, some of them on endpoints that crash.
settle
CRASHES_BEFORE=$(seen ended)
for i in 1 2 3; do
	send_requests 6 /s/x "a harmless request" >>"$DIR/harmless" &
	send_requests 2 /s/x "another that is fatal" >/dev/null
	wait $!
done
expect "a harmless request that met crashes is still served" \
	is "$(send_requests 6 /s/x "a harmless request" | sort | uniq -c | tr -s ' ')" " 6 200"
expect "the poison request crashes three endpoints at most" \
	at_most "$(crashes_since "$CRASHES_BEFORE")" $MAX_CRASHES

: >"$DIR/stop"
sleep 0.5
expect "no unrelated request is refused because of a crashed endpoint" \
	is "$(grep -c 'endpoint not reached' "$DIR/background")" 0
expect "all unrelated requests are served" \
	is "$(grep -vc '^200 ' "$DIR/background")" 0

# Kills all entries, and with them all that is not in the store.
for n in $(seq 1 "$EDGES"); do kill -9 "$(pid_of "edge-$n")"; done
for n in $(seq 1 "$EDGES"); do start_edge "$n" false; done
expect "a configuration is in force after the restart" \
	wait_for everywhere in_force 2
CRASHES_BEFORE=$(seen ended)
send_requests 12 /s/x "one that is fatal" >/dev/null
expect "after a restart of all entries it crashes no endpoint" \
	at_most "$(crashes_since "$CRASHES_BEFORE")" 0

platform_test mended >/dev/null
for key in $(platform_test keys | grep '^md/fatal/'); do
	platform_test "delete?key=$key" >/dev/null
done
served() { is "$(request "$1" "released-$RANDOM" /s/x -d "one that is fatal")" 200; }
expect "an operator ends the quarantine" wait_for everywhere served

echo "ending_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
