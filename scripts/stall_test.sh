#!/bin/bash
# An entry does not run for a while (SIGSTOP) and then finds a time-out elapsed, and the
# bytes that would have prevented it in its sockets; real entries on a stand-in of the
# platform. Checks counts, never times.
#
# Failure: after a stall an entry ran its timers before it read its sockets. It cut off
# streams whose last events had arrived, and answered requests with 408 that had arrived
# whole; streams without framing were cut off while the proof of their end was awaited.
# Usage: [CASES="..."] stall_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=1
EDGE_SERVICES_EACH=11
PLATFORM_ARGS="--gap 50"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CASES=${CASES:-framed unframed again request}
# More than one poll of the event loop reports at first.
CALLERS=90
DEADLINE_MS=2500
EVENTS=20 # one in 50 ms

# pieces FILE: the events of a stream, or 1 for a plain answer.
pieces() {
	case $CALL_PATH in
	/o/*) whole_events "$1" | wc -l ;;
	*) grep -c '^i-[0-9]* ran ' "$1" ;;
	esac
}

# caller K: notes STATUS:EXIT_CODE PIECES of one request, which may not be repeated.
caller() {
	local part=$DIR/part-$CASE-$1 status
	status=$(curl -s -m 9 -o "$part" -w '%{http_code}' -H 'Host: t.example' \
		-H "Attempt-Id: $CASE-$1" -H "Deadline-Ms: $DEADLINE_MS" \
		-H 'Authorization: Bearer k1' -H 'Transfer-Encoding: chunked' \
		-d "hello $1" "http://$(address 1 callers)$CALL_PATH"; echo ":$?")
	echo "$status $(pieces "$part")" >>"$DIR/told-$CASE"
}

# slow_caller K: sends a part of its head before the stall, and the rest during it.
slow_caller() {
	local address
	address=$(address 1 callers)
	exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return
	printf 'POST /u/x HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\n' \
		"$CASE-$1" >&3
	while [ ! -e "$DIR/stalled" ]; do sleep 0.1; done
	printf 'Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n' >&3
	timeout 9 head -1 <&3 | cut -d' ' -f2 >>"$DIR/told-$CASE"
}

# all_callers COMMAND: starts all of them.
all_callers() {
	local k
	for k in $(seq 1 $CALLERS); do "$1" "$k" & done
}

# stall SECONDS
stall() {
	kill -STOP "$(pid_of edge-1)"
	: >"$DIR/stalled"
	sleep "$1"
	kill -CONT "$(pid_of edge-1)"
}

# count STATUS PIECES
count() { awk -v s="$1" -v n="$2" '$1 == s && $2 == n' "$DIR/told-$CASE" | wc -l; }

# play NAME: the endpoints end the answers within the stall, the deadline does as well.
play() {
	CASE=$1
	rm -f "$DIR/stalled"
	all_callers caller
	sleep 0.7
	case $CASE in
	again) # as it waits for a proof of what it has read
		stall 1.2
		sleep 0.1
		stall 1.5
		;;
	*) stall 2.5 ;;
	esac
	wait $(jobs -p | grep -vxF -e "$(pid_of platform)" -e "$(pid_of edge-1)")
	echo "$CASE: $(sort "$DIR/told-$CASE" | uniq -c | paste -sd,)"
}

selected() { case " $CASES " in *" $1 "*) ;; *) false ;; esac }

start_edges || exit 1
put_document 2 '"k1"'
expect "the entry serves" wait_for begins 1

CALL_PATH=/o/x
for c in framed unframed again; do
	selected $c || continue
	platform_test "unframed?n=$([ $c = framed ] && echo 0 || echo 1)" >/dev/null
	play $c
	expect "$c: streams whose end has arrived are passed on" \
		is "$(count 200:0 $EVENTS)" $CALLERS
done
if selected request; then
	CASE=request
	platform_test "unframed?n=0" >/dev/null
	rm -f "$DIR/stalled"
	all_callers slow_caller
	sleep 0.5
	stall 3.5
	wait $(jobs -p | grep -vxF -e "$(pid_of platform)" -e "$(pid_of edge-1)")
	echo "$CASE: $(sort "$DIR/told-$CASE" | uniq -c | paste -sd,)"
	expect "$CASE: requests that have arrived are answered" \
		is "$(grep -cx 200 "$DIR/told-$CASE")" $CALLERS
fi

echo "stall_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
