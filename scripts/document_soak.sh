#!/bin/bash
# A randomized soak of changes of the document, as real processes: documents in series, of
# 4 to 1,404 routes, with other time-outs, limits, keys and services, several at once. Around
# them entries are suspended or have a part of a core, the store's answers are slow,
# endpoints leave while streams run, or are silent for a while; in some seeds answers have
# neither a length nor chunks. Callers keep their connections, send bodies in pieces, leave
# streams and continue them elsewhere; some read slowly.
#
# Failure: requests that entries had read ended without a whole answer beside a change of the
# document, or while the entry that decoded it did not run.
#
# Such an end is allowed only if the endpoint broke off, or if the caller's deadline or the
# route's time-out was reached before the endpoint ended its answer, or if that answer had
# no framing and the endpoint was gone. One that was not passed on may cross the close of
# its connection.
# Usage: document_soak.sh SECONDS SEED...
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/held_soak.sh
trap cluster_stop EXIT
SECONDS_EACH=$1
shift
EDGES=${EDGES:-3}
CALLERS=${CALLERS:-$((EDGES * 12))}
SLOW=${SLOW:-$((CALLERS / 12))}
ENDPOINTS=${ENDPOINTS:-6}
# Not empty: without these kinds of trouble.
NO_FREEZE=${NO_FREEZE:-}
NO_LEAVING=${NO_LEAVING:-}
DEADLINE_MS=${DEADLINE_MS:-14000}
GRACE_MS=0 # no entry is told to leave
UNREAD=1
# A document waits behind a slow link and a suspended entry.
LATE_MS=15000
# The smallest of the documents' header time-outs, which is what a caller may take to send.
HEADER_MS=2000
PIECE_PAUSE_MS=300
BASE=$DIR

soak_is_over() { [ -e "$DIR/stop" ]; }

# pause SECONDS: without a process of its own.
exec {NEVER}<> <(:)
pause() { read -rt "$1" -u "$NEVER"; }

# suspend N SECONDS: the entry stands still.
suspend() {
	local pid
	pid=$(pid_of "edge-$1")
	signal_entry STOP "$1" "$pid"
	pause "$2"
	signal_entry CONT "$1" "$pid"
}

# hold N MS_OF_100 TIMES: the entry runs a part of each 100 ms.
hold() {
	local pid i
	pid=$(pid_of "edge-$1")
	for i in $(seq 1 "$3"); do
		soak_is_over && return
		signal_entry STOP "$1" "$pid"
		pause "0.0$((100 - $2))"
		signal_entry CONT "$1" "$pid"
		pause "0.0$2"
	done
}

# slow_down N: one kind of it at a time.
slow_down() {
	local ms
	[ -n "$NO_FREEZE" ] && return
	[ "$(now_ms)" -ge "${HELD_UNTIL[$1]:-0}" ] || return
	if [ $((RANDOM % 2)) = 0 ]; then
		ms=$((RANDOM % 2500 + 1500))
		HELD_UNTIL[$1]=$(($(now_ms) + ms))
		suspend "$1" "$((ms / 1000)).$(printf %03d $((ms % 1000)))" &
	else
		HELD_UNTIL[$1]=$(($(now_ms) + 4000))
		hold "$1" $((RANDOM % 3 * 10 + 10)) 35 &
	fi
}

# change WHAT: of the next document.
change() {
	case $1 in
	large) ROUTES=$(many_routes $((RANDOM % 700 + 700))) ;;
	routes) ROUTES=$(many_routes $((RANDOM % 40 + 1))) ;;
	small) ROUTES= ;;
	time-outs)
		STREAM_MS=$((RANDOM % 7 * 1000 + 5000))
		PLAIN_MS=$((RANDOM % 4 * 500 + 1500))
		;;
	limits)
		IDLE_MS=$((RANDOM % 3 * 4000 + 4000))
		LIMIT_HEADER_MS=$((RANDOM % 3 * 500 + HEADER_MS))
		;;
	key) KEYS='"k1","k2"' ;;
	no-key) KEYS='"k1"' ;;
	rate) RATE=$((RANDOM % 3 * 300000 + 100000)) ;;
	service)
		SERVICES='{"name":"other","maxConns":50},'
		SERVICE_ROUTES=',{"name":"other","host":"t.example","prefix":"/other/","routeKind":"safe","timeoutMs":1500,"service":"other","maxAttempts":2}'
		;;
	no-service) SERVICES= SERVICE_ROUTES= ;;
	esac
}

send_document() {
	VERSION=$((VERSION + 1))
	DOCUMENT_EDITS="s|\"timeoutMs\":12000|\"timeoutMs\":$STREAM_MS|
s|\"timeoutMs\":1500,\"goalMs\"|\"timeoutMs\":$PLAIN_MS,\"goalMs\"|
s|\"headerTimeoutMs\":[0-9]*|\"headerTimeoutMs\":$LIMIT_HEADER_MS|
s|\"idleTimeoutMs\":[0-9]*|\"idleTimeoutMs\":$IDLE_MS|
s|\"ratePerS\":[0-9]*|\"ratePerS\":$RATE|"
	echo "$(now_ms) $STREAM_MS $PLAIN_MS" >>"$DIR/time-outs"
	note DOCUMENT "$VERSION" "$1"
	put_document $VERSION "$KEYS" "$SERVICE_ROUTES$ROUTES" "$SERVICES"
}

change_document() {
	local all=(large large small routes time-outs time-outs limits key no-key rate
		service no-service) what
	what=${all[$((RANDOM % ${#all[@]}))]}
	change "$what"
	[ $((RANDOM % 3)) = 0 ] && change "${all[$((RANDOM % ${#all[@]}))]}"
	send_document "$what"
}

# One event beside the documents.
event() {
	local e=i-${LLM[$((RANDOM % ENDPOINTS))]}
	case $((RANDOM % 8)) in
	0 | 1 | 2) slow_down "$(any_entry)" ;;
	3) note SILENT "$e"
		platform_test "silent?id=$e&ms=$((RANDOM % 1500 + 500))" ;;
	4 | 5) replace_endpoint ;;
	6) note LINK slow; platform_test "link?bytes=$((RANDOM % 8 * 100000 + 200000))" ;;
	7) note LINK fast; platform_test 'link?bytes=0' ;;
	esac
}

# timed_out_though_sent: requests that were answered 408, though they had been sent
# within the time that any document allows.
timed_out_though_sent() {
	awk -v max=$HEADER_MS '$7 == 408 && $5 && $5 - $4 < max' "$DIR/told"
}

# is_running N
is_running() { is_entry "$1" "$(pid_of "edge-$1")"; }

check() {
	judge_soak "$SEED"
	expect "$SEED: something was served" [ "$(whole_answers)" -gt 20 ]
	expect "$SEED: no answer is cut of an entry that runs" none apart
	expect "$SEED: no answer is cut around a stall" none stalled
	expect "$SEED: no answer that the endpoint ended in time is cut" none unread
	expect "$SEED: no answer to a caller that reads slowly is cut" none slow
	expect "$SEED: answers that look whole are whole" none torn
	expect "$SEED: what was sent in time is read in time" \
		[ -z "$(timed_out_though_sent)" ]
	expect "$SEED: told not run, and not run" [ -z "$(ran_though_refused)" ]
	expect "$SEED: nothing ran twice that may run once" [ "$(seen once_twice)" = 0 ]
	expect "$SEED: no entry ended by itself" everywhere is_running
}

soak() {
	local i end failed=$FAILED next=0
	DIR=$BASE/$SEED
	mkdir "$DIR"
	VERSION=2 NEWEST=$((2 * ENDPOINTS))
	mapfile -t LLM < <(seq 1 2 $NEWEST)
	STREAM_MS=12000 PLAIN_MS=1500 IDLE_MS=15000 LIMIT_HEADER_MS=3000 RATE=1000000
	KEYS='"k1"' ROUTES= SERVICES= SERVICE_ROUTES= DOCUMENT_EDITS=
	HELD_UNTIL=()
	UNFRAMED=$((SEED % 3 == 0))
	RANDOM=$SEED
	: >"$DIR/signals"
	echo "0 $STREAM_MS $PLAIN_MS" >"$DIR/time-outs"
	EDGE_SERVICES_EACH=$ENDPOINTS PLATFORM_ARGS="--gap 60" start_edges || return 1
	put_document $VERSION "$KEYS"
	wait_for everywhere begins
	for i in "${LLM[@]}"; do pace "$i" >/dev/null; done
	platform_test "unframed?n=$UNFRAMED" >/dev/null
	for i in $(seq 1 "$EDGES"); do echo "$i $(address "$i" callers)"; done \
		>"$DIR/entries"
	start callers "$BIN/standin-held_callers" --entries "$DIR/entries" \
		--stop "$DIR/stop" --callers "$CALLERS" --slow "$SLOW" \
		--seed "$SEED" --deadline "$DEADLINE_MS" --chunked 60 \
		--piece_pause $PIECE_PAUSE_MS --leave 30
	end=$((SECONDS + SECONDS_EACH))
	while [ $SECONDS -lt $end ]; do
		event >/dev/null
		if [ "$(now_ms)" -ge $next ]; then
			change_document
			[ $((RANDOM % 4)) = 0 ] && change_document
			next=$(($(now_ms) + RANDOM % 2000 + 1000))
		fi
		pause "0.$((RANDOM % 5 + 1))"
	done
	: >"$DIR/stop"
	wait "$(pid_of callers)"
	check
	cluster_stop
	[ "$FAILED" = "$failed" ] && rm -rf "$DIR"
}

declare -a HELD_UNTIL
for SEED in "$@"; do soak; done
echo "document_soak: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
