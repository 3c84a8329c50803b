#!/bin/bash
# The grace period of an entry that gets SIGTERM and is killed at its end, while
# callers send requests on connections that they kept; one real entry on a stand-in
# of the platform with slow endpoints. Checks counts, never times.
#
# Failure: an entry that did not run as its SIGTERM was sent counted the grace period
# from when it noticed the signal, accepted requests that could not end before it was
# killed, and cut them off.
# Usage: grace_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=1
EDGE_SERVICES_EACH=3
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CASES=${CASES:-stalled running}
GRACE_MS=8000

now_ms() { date +%s%3N; }

# sleep_until MS: to this time after the signal.
sleep_until() {
	local left=$((SIGNAL_MS + $1 - $(now_ms)))
	[ $left -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# ask ID PATH: a request on file descriptor 3.
ask() {
	printf 'POST %s HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello' \
		"$2" "$1" >&3
}

# caller ID AT_MS: opens a connection before the signal, and sends a stream on it at
# that time after the signal. Notes ID AT_MS STATUS WHOLE.
caller() {
	local id=$1 at=$2 address status whole=0 sent
	trap '' PIPE # the entry may have closed the connection
	address=$(address 1 callers)
	exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return
	while [ ! -e "$DIR/signal-$CASE" ]; do sleep 0.02; done
	SIGNAL_MS=$(cat "$DIR/signal-$CASE")
	sleep_until "$at"
	sent=$(($(now_ms) - SIGNAL_MS))
	ask "$id" /o/x 2>/dev/null
	timeout 9 cat <&3 >"$DIR/answer-$id" 2>/dev/null
	status=$(head -1 "$DIR/answer-$id" | cut -d' ' -f2)
	tail -c 5 "$DIR/answer-$id" | tr -d '\r\n' | grep -qx 0 && whole=1
	echo "$id $sent ${status:-none} $whole" >>"$DIR/told-$CASE"
}

# ran ID: true if an endpoint ran the request.
ran() { grep -q "^$1 " "$DIR/runs"; }

# count_ends: sets WHOLE, REFUSED, CUT (ran, no whole answer), LATE (ran, sent later
# than 3 s after the signal).
count_ends() {
	local id sent status whole
	WHOLE=0 REFUSED=0 CUT=0 LATE=0
	platform_test runs >"$DIR/runs"
	while read -r id sent status whole; do
		[ "$whole" = 1 ] && [ "$status" = 200 ] && WHOLE=$((WHOLE + 1))
		[ "$status" = 503 ] && REFUSED=$((REFUSED + 1))
		ran "$id" || continue
		[ "$status" = 200 ] && [ "$whole" = 1 ] || CUT=$((CUT + 1))
		[ "$sent" -gt 3000 ] && LATE=$((LATE + 1))
	done <"$DIR/told-$CASE"
}

# stop_entry PID STALL_AT STALL_MS: SIGTERM, and SIGKILL at the end of the grace
# period; meanwhile the process is suspended from STALL_AT for STALL_MS.
stop_entry() {
	local pid=$1
	[ "$2" -lt 0 ] && kill -STOP "$pid" && sleep 0.1
	SIGNAL_MS=$(now_ms)
	kill -TERM "$pid"
	echo "$SIGNAL_MS" >"$DIR/signal.new"
	mv "$DIR/signal.new" "$DIR/signal-$CASE"
	if [ "$3" -gt 0 ]; then
		[ "$2" -ge 0 ] && sleep_until "$2" && kill -STOP "$pid"
		sleep_until $(($2 + $3))
		kill -CONT "$pid"
	fi
	sleep_until $GRACE_MS
	kill -9 "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
}

# slow FIRST GAP: the pace of all endpoints' streams.
slow() {
	local i
	for i in 1 3 5; do platform_test "pace?id=i-$i&first=$1&gap=$2" >/dev/null; done
}

# learns N: the entry gets N whole streams at the endpoints' pace.
learns() {
	local k pids=
	for k in $(seq 1 "$1"); do
		request 1 "learn-$CASE-$k" /o/x -d hello >/dev/null &
		pids="$pids $!"
	done
	wait $pids
}

# grace NAME STALL_AT STALL_MS FROM TO STEP: an entry is stopped while callers send
# streams between FROM and TO after the signal.
grace() {
	local at pids=
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1
	start_edge 1 false || return 1
	expect "$CASE: the entry serves" wait_for begins 1
	learns "${LEARN:-8}"
	for at in $(seq "$4" "$6" "$5"); do
		caller "$CASE-$at" "$at" &
		pids="$pids $!"
	done
	sleep 0.7
	stop_entry "$(pid_of edge-1)" "$2" "$3"
	wait $pids
	count_ends
	echo "$CASE: $(wc -l <"$DIR/told-$CASE") requests, $WHOLE whole, $REFUSED refused," \
		"$CUT cut off, $LATE accepted late"
	expect "$CASE: nothing accepted is cut off" [ "$CUT" = 0 ]
	expect "$CASE: nothing sent 3 s after the signal is accepted" [ "$LATE" = 0 ]
}

start platform "$BIN/standin-platform" --endpoints $EDGE_SERVICES_EACH
PLATFORM=$(ready platform) || exit 1
put_document 2 '"k1"'
slow 530 230

# The entry runs, and requests come just before and after 3 s.
grace running 0 0 2200 3200 50
expect "running: requests in time are served" [ "$WHOLE" -gt 0 ]
# It does not run as the signal is sent.
grace stalled -100 1000 2500 4200 100

echo "grace_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
