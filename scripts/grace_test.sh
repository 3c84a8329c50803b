#!/bin/bash
# The grace period of an entry that gets SIGTERM and is killed at its end, while
# callers send requests on connections that they kept; real entries on a stand-in of
# the platform with slow endpoints. Checks counts, never times.
#
# Failure: an entry that did not run as its SIGTERM was sent counted the grace period
# from when it noticed the signal; entries accepted requests that could not end before
# the process did; and an entry that ran again at the end of the grace period did not
# read answers that were there. They cut the requests off.
# Usage: grace_test.sh
cd "$(dirname "$0")/.." || exit 1
CASES=(running stalled ending)
EDGES=${#CASES[@]}
EDGE_SERVICES_EACH=8
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/stop_cluster.sh
trap cluster_stop EXIT

# head_of ID: a request without its body, on file descriptor 3.
head_of() {
	printf 'POST /o/x HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\n' \
		"$1" >&3
}

# caller N ID HEAD_AT AT: opens a connection to entry N before the signal. Sends the
# head of a request at HEAD_AT after it, and its body at AT. Notes ID SENT STATUS WHOLE.
caller() {
	local n=$1 id=$2 address status whole=0 sent
	trap '' PIPE # the entry may have closed the connection
	address=$(address "$n" callers)
	exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return
	while [ ! -e "$DIR/signal-$n" ]; do sleep 0.1; done
	read -r SIGNAL_MS <"$DIR/signal-$n"
	sleep_until "$3"
	head_of "$id" 2>/dev/null
	sleep_until "$4"
	read_clock
	sent=$((NOW_MS - SIGNAL_MS))
	printf hello 2>/dev/null >&3
	timeout 9 cat <&3 >"$DIR/answer-$id" 2>/dev/null
	status=$(head -1 "$DIR/answer-$id" | cut -d' ' -f2)
	tail -c 5 "$DIR/answer-$id" | tr -d '\r\n' | grep -qx 0 && whole=1
	echo "$id $sent ${status:-none} $whole" >>"$DIR/told-$n"
}

# learn N K: an entry gets a stream at the endpoints' pace.
learn() { request "$1" "learn-$1-$2" /o/x -d hello >/dev/null; }

# play N STALL_FROM STALL_TO FROM TO STEP: streams at these times after the signal, and
# some of which the entry has read a part when it closes idle connections.
play() {
	local n=$1 at
	for at in $(seq "$4" "$6" "$5"); do caller "$n" "$n-$at" "$at" "$at" & done
	for at in 2700 2850 2950 3020 3060 3150; do
		caller "$n" "$n-late-$at" 2100 "$at" &
	done
	sleep 1
	stop_entry "$n" "$2" "$3"
	wait
}

at_least() { [ "$1" -ge "$2" ]; }

# ran ID: true if an endpoint ran the request.
ran() { grep -q "^$1 " "$DIR/runs"; }

# judge N: of the requests of entry N.
judge() {
	local id sent status whole name=${CASES[$1 - 1]}
	SERVED=0 CUT=0 LATE=0 UNTRUE=0 REFUSED=0
	while read -r id sent status whole; do
		[ "$status" = 503 ] && REFUSED=$((REFUSED + 1))
		ran "$id" || continue
		[ "$status" = 503 ] && UNTRUE=$((UNTRUE + 1))
		[ "$status" = 200 ] && [ "$whole" = 1 ] && SERVED=$((SERVED + 1))
		[ "$status" = 200 ] && [ "$whole" = 1 ] || CUT=$((CUT + 1))
		[ "$sent" -gt 3000 ] && LATE=$((LATE + 1))
	done <"$DIR/told-$1"
	echo "$name: $(wc -l <"$DIR/told-$1") requests, $SERVED served, $REFUSED refused," \
		"$CUT cut off, $LATE accepted late"
	expect "$name: nothing accepted is cut off" [ $CUT = 0 ]
	expect "$name: nothing sent 3 s after the signal is accepted" [ $LATE = 0 ]
	expect "$name: nothing refused as not run has run" [ $UNTRUE = 0 ]
}

start_edges || exit 1
put_document 2 '"k1"'
for i in $(seq 1 2 $((2 * EDGE_SERVICES_EACH))); do
	platform_test "pace?id=i-$i&first=500&gap=260" >/dev/null
done
expect "all entries serve" wait_for everywhere begins
pids=
for n in $(seq 1 $EDGES); do
	for k in 1 2 3 4 5; do
		learn "$n" "$k" &
		pids="$pids $!"
	done
done
wait $pids

play 1 0 0 500 2400 150 &
pids=$!
play 2 -100 1000 2300 4000 150 &
pids="$pids $!"
# The endpoints end these answers while the entry is suspended.
play 3 6900 7800 1500 1900 40 &
wait $pids $!
platform_test runs >"$DIR/runs"
judge 1
expect "running: requests that end in time are served" [ $SERVED -ge 6 ]
judge 2
# However many connections were ready before the event loop reported the signal.
expect "stalled: the grace period includes the suspension" at_least \
	"$(sed -n 's/.*"stopping".*"signal_age_ms":\([0-9]*\).*/\1/p' "$DIR/edge-2.out")" 1000
judge 3
expect "ending: what endpoints completed is passed on" [ $SERVED -ge 1 ]

# Half of the endpoints run requests and never answer; the others are fast.
start_edge 1 false
expect "silent: the entry serves" wait_for begins 1
for i in $(seq 1 2 $((2 * EDGE_SERVICES_EACH))); do
	platform_test "pace?id=i-$i&first=50&gap=50" >/dev/null
done
# What it knows nothing of, it would refuse.
for k in 6 7 8 9; do learn 1 "$k"; done
for i in $(seq 1 2 $EDGE_SERVICES_EACH); do
	platform_test "mute?id=i-$i" >/dev/null
done
rm -f "$DIR"/signal-1 "$DIR/told-1"
for k in $(seq 1 8); do caller 1 "first-$k" 100 100 & done
for k in $(seq 1 16); do caller 1 "second-$k" 1800 1800 & done
sleep 1
stop_entry 1 0 0
wait $(jobs -p | grep -vx "$(pid_of platform)")
first=$(grep -c '^first-.* 504 ' "$DIR/told-1")
second=$(grep -c '^second-.* 504 ' "$DIR/told-1")
echo "silent: $(grep -c ' none ' "$DIR/told-1") of $(wc -l <"$DIR/told-1") requests" \
	"without an answer, $first at first and $second later of unknown outcome"
expect "silent: callers of endpoints that never answer get an answer" \
	[ "$first" -gt 0 ]
expect "silent: no closed connection" [ "$(grep -c ' none ' "$DIR/told-1")" = 0 ]
expect "silent: no more requests go to silent endpoints" [ "$second" = 0 ]

echo "grace_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
