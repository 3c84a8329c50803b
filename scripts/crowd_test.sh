#!/bin/bash
# Clients that do not keep to the limits, many at once, with real entries on a
# stand-in of the platform. Checks that no process ends, that memory and descriptors
# stay within those of the settings, and that ordinary requests are answered; no times
# and no shares of answered requests. Memory is resident memory and what the kernel has
# received for the process. To be run without other load, and not with a sanitizer,
# which has memory of its own.
#
# Failure: clients that sent all but the end of large bodies and stayed open ended an
# entry, which ran out of memory.
# Failure: silent clients took all descriptors; none was left for endpoints and store.
# Usage: [CASES="..."] crowd_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=2
EDGE_SERVICES_EACH=4
MEMORY_MB=64
DESCRIPTORS=${DESCRIPTORS:-300}
BODY_BYTES=4194304
MAX_BODY_BYTES=$BODY_BYTES
# Clients an entry; with few descriptors, of which there are more than those.
CLIENTS=50
MANY_CLIENTS=350
EDGE_SETTINGS=",\"limits\":{\"memory_mb\":$MEMORY_MB,\"descriptors\":$DESCRIPTORS}"
EDGE_RUN="prlimit --nofile=$DESCRIPTORS"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CASES=${CASES:-large_chunks small_chunks length announced announced_unread endless
	endless_unread endless_small extension trailers head behind whole mute deaf
	series_unread lookup_chunks silent lookup_silent peer_silent returning}
# A route with time for large bodies on a busy machine.
PATIENT=',{"name":"patient","host":"t.example","prefix":"/p/","routeKind":"safe","timeoutMs":12000,"service":"app","maxAttempts":2}'

# crowd FORM WHAT CLIENTS [OPTION...]: at the address (as for address()) of each entry.
crowd() {
	local form=$1 what=$2 clients=$3 n at
	shift 3
	for n in $(seq 1 "$EDGES"); do
		at=$(address "$n" "$what")
		start "usage-$n" "$BIN/standin-usage" --pid "$(pid_of "edge-$n")" \
			--port "${at##*:}"
		ready "usage-$n" >/dev/null
		start "crowd-$n" "$BIN/standin-crowd" --address "$at" \
			--form "$form" --connections "$clients" --path /p/x \
			--bytes "$BODY_BYTES" "$@"
	done
}

settled() { grep -q '^settled' "$DIR/crowd-$1.out"; }

# served N: an endpoint answers a request to the entry.
served() {
	is "$(request "$1" "$CASE-$1-$RANDOM$RANDOM" /l/x -d hello -m 5)" 200
}

answered() { within_tries served "$1"; }

# called N WHAT CALL: the entry answers a look-up or a readiness check.
called() {
	within_tries curl -s -m 5 -f -o /dev/null "http://$(address "$1" "$2")$3"
}

looked_up() {
	called "$1" lookup "/v1/resolve?name=t.example&region=here&zone=north"
}

is_ready() { called "$1" ready /v1/readyz; }

lives() { kill -0 "$(pid_of "edge-$1")" 2>/dev/null; }

# below_limit N FIELD LIMIT: of what standin-usage has printed.
below_limit() {
	local value
	value=$(sed -n "s/.*$2 \([0-9]*\).*/\1/p" "$DIR/usage-$1.out")
	[ -n "$value" ] && [ "$value" -lt "$3" ]
}

# replace_endpoints MODE: app's endpoints do not answer; see endless.c.
replace_endpoints() {
	local i
	echo "$1" >"$DIR/mode"
	for i in 1 2; do start_endless "mute-$CASE-$i" app 1000; done
	for i in 2 4 6 8; do platform_test "unlist?id=i-$i" >/dev/null; done
	wait_for everywhere knows_mute
}

knows_mute() { grep -q "\"endpoint\":\"mute-$CASE-2\"" "$DIR/edge-$1.out"; }

restore_endpoints() {
	local i
	end_endless "mute-$CASE-1" "mute-$CASE-2"
	for i in 2 4 6 8; do platform_test "relist?id=i-$i" >/dev/null; done
}

start_crowd() {
	case $1 in
	mute | deaf) replace_endpoints "$1" && crowd whole callers "$CLIENTS" ;;
	whole) crowd whole callers "$CLIENTS" --returns 2 ;;
	lookup_chunks) crowd large_chunks lookup "$CLIENTS" ;;
	silent) crowd silent callers "$MANY_CLIENTS" ;;
	lookup_silent) crowd silent lookup "$MANY_CLIENTS" ;;
	peer_silent) crowd silent peers "$MANY_CLIENTS" ;;
	returning) crowd large_chunks callers "$MANY_CLIENTS" --returns 4 ;;
	*) crowd "$1" callers "$CLIENTS" ;;
	esac
}

# serves_all: a request, a look-up and a readiness check are answered everywhere.
serves_all() {
	everywhere answered && everywhere looked_up && everywhere is_ready
}

case_of() {
	local n
	CASE=$1
	for n in $(seq 1 "$EDGES"); do start_edge "$n" false || return 1; done
	wait_for everywhere begins || return 1
	start_crowd "$1" || return 1
	expect "$CASE: the crowd has sent what it can" wait_for everywhere settled
	case $CASE in
	# Of the service whose endpoints do not answer, nothing is.
	mute | deaf)
		expect "$CASE: ordinary requests are answered beside the crowd" \
			wait_for everywhere begins
		;;
	*)
		expect "$CASE: ordinary requests are answered beside the crowd" \
			serves_all
		;;
	esac
	for n in $(seq 1 "$EDGES"); do end_child "$(pid_of "crowd-$n")"; done
	case $CASE in mute | deaf) restore_endpoints ;; esac
	expect "$CASE: ordinary requests are answered after the crowd" serves_all
	for n in $(seq 1 "$EDGES"); do
		kill -TERM "$(pid_of "usage-$n")"
		wait "$(pid_of "usage-$n")"
		echo "$CASE: crowd $(tail -1 "$DIR/crowd-$n.out"), entry $(tail -1 "$DIR/usage-$n.out")"
	done
	expect "$CASE: no entry ends" everywhere lives
	expect "$CASE: memory stays within the settings" \
		everywhere below_limit memory_kb $((MEMORY_MB * 1024))
	expect "$CASE: descriptors stay within the settings" \
		everywhere below_limit descriptors "$DESCRIPTORS"
	for n in $(seq 1 "$EDGES"); do end_child "$(pid_of "edge-$n")"; done
}

start platform "$BIN/standin-platform" --endpoints "$EDGE_SERVICES_EACH"
PLATFORM=$(ready platform) || exit 1
put_document 2 '"k1"' "$PATIENT"
platform_test "pad?event=0&answer=200000" >/dev/null
for C in $CASES; do
	case_of "$C" || expect "$C: the case is set up" false
done

echo "crowd_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
