#!/bin/bash
# A randomized soak of the shutdown of entries, as real processes: entries get SIGTERM
# in series that overlap, are killed when the grace period is over, and start again;
# around it they are frozen, get SIGHUP, a second SIGTERM and new documents; endpoints
# are slow, silent for a while, or leave while streams run; the store is slow or away.
# Callers keep their connections, and some read slowly.
#
# Failure: requests that entries had accepted and passed on ended without a whole
# answer around the SIGTERM of their entry.
#
# Such an end is allowed only if the endpoint broke off, if the caller's deadline or
# the route's time-out was reached, or if the endpoint was still at work in the last
# sixth of the grace period on a request that was sent no later than 3 s after the
# signal. One that was not passed on may cross the close of its connection.
# Usage: shutdown_soak.sh SECONDS SEED...
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
GRACE_MS=8000
# Time after the SIGTERM of an entry in which callers still open connections to it.
OFF_LIST_MS=5000
DEADLINE_MS=${DEADLINE_MS:-11000}
BASE=$DIR

# list_entries: the addresses that callers go to.
list_entries() {
	local n
	for n in $(seq 1 "$EDGES"); do
		[ -z "${LEFT[$n]}" ] && echo "$n $(address "$n" callers)"
	done >"$DIR/entries.new"
	mv "$DIR/entries.new" "$DIR/entries"
}

# starts_again: entries go off the callers' list, and start again at other ports once
# their grace period is over.
starts_again() {
	local n
	for n in $(seq 1 "$EDGES"); do
		[ -n "${LEFT[$n]}" ] || continue
		if [ -z "${OFF_LIST[$n]}" ] &&
			[ "$(now_ms)" -ge $((${LEFT[$n]} + OFF_LIST_MS)) ]; then
			OFF_LIST[$n]=1
			list_entries
		fi
		[ "$(now_ms)" -ge $((${LEFT[$n]} + GRACE_MS + 300)) ] || continue
		PLATFORM=${STORE_OF[$n]}
		start_edge "$n" false
		PLATFORM=$STORE
		note START "$n"
		LEFT[$n]= OFF_LIST[$n]=
		list_entries
	done
}

# terminate N: as the platform ends a process: SIGTERM, and SIGKILL at the end of
# the grace period. At times it is frozen at that moment, or before and after it.
terminate() {
	local n=$1 pid how=$((RANDOM % 6)) ms=$((RANDOM % 1200 + 300)) s
	[ -n "${LEFT[$n]}" ] && return
	pid=$(pid_of "edge-$n")
	printf -v s '%d.%03d' $((ms / 1000)) $((ms % 1000))
	[ -n "$NO_FREEZE" ] && how=$((how % 3 + 3))
	case $how in
	0) signal_entry STOP "$n" "$pid"; later "$s" signal_entry CONT "$n" "$pid"
		sleep "0.$((RANDOM % 3))" ;;
	1) signal_entry STOP "$n" "$pid"; later "$s" signal_entry CONT "$n" "$pid" ;;
	2) later 0.2 signal_entry STOP "$n" "$pid"
		later "1.$((RANDOM % 4))" signal_entry CONT "$n" "$pid" ;;
	3) later "$s" signal_entry TERM "$n" "$pid" ;;
	4) later "$s" signal_entry HUP "$n" "$pid" ;;
	esac
	LEFT[$n]=$(now_ms)
	signal_entry TERM "$n" "$pid"
	later $((GRACE_MS / 1000)) signal_entry KILL "$n" "$pid"
}

freeze() {
	local n=$1 pid
	[ -n "${LEFT[$n]}$NO_FREEZE" ] && return
	pid=$(pid_of "edge-$n")
	signal_entry STOP "$n" "$pid"
	sleep "0.$((RANDOM % 6 + 3))"
	signal_entry CONT "$n" "$pid"
}

# One event; most are the SIGTERM of an entry.
event() {
	local n=$((RANDOM % EDGES + 1)) e=i-${LLM[$((RANDOM % ENDPOINTS))]}
	case $((RANDOM % 12)) in
	0 | 1 | 2 | 3) terminate "$n" ;;
	4) freeze "$n" ;;
	5) signal_entry HUP "$n" "$(pid_of "edge-$n")" ;;
	6 | 7) note SILENT "$e"
		platform_test "silent?id=$e&ms=$((RANDOM % 1500 + 500))" ;;
	8) replace_endpoint ;;
	9) note DOCUMENT "$((VERSION + 1))"
		VERSION=$((VERSION + 1))
		put_document $VERSION '"k1","k2"' ;;
	10) note DELAY "$n"; mode "store-$n" delay; later 1 mode "store-$n" pass ;;
	11) note DOWN store; platform_test 'down?ms=1000' ;;
	esac
}

check() {
	judge_soak "$SEED"
	expect "$SEED: something was served" \
		[ "$(whole_answers)" -gt 20 ]
	expect "$SEED: no answer is cut around a SIGTERM" none cut
	expect "$SEED: no answer is cut around a stall" none stalled
	expect "$SEED: no answer is cut with no signal near" none apart
	expect "$SEED: no answer to a caller that reads slowly is cut" none slow
	expect "$SEED: answers that look whole are whole" none torn
	expect "$SEED: told not run, and not run" [ -z "$(ran_though_refused)" ]
	expect "$SEED: nothing ran twice that may run once" [ "$(seen once_twice)" = 0 ]
	expect "$SEED: no entry ended by itself" \
		[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]
}

soak() {
	local i end failed=$FAILED
	DIR=$BASE/$SEED
	mkdir "$DIR"
	VERSION=2 NEWEST=$((2 * ENDPOINTS))
	mapfile -t LLM < <(seq 1 2 $NEWEST)
	STORE_OF=() LEFT=() OFF_LIST=()
	RANDOM=$SEED
	: >"$DIR/signals"
	echo "0 12000 1500" >"$DIR/time-outs"
	start platform "$BIN/standin-platform" --endpoints "$ENDPOINTS" --gap 60
	STORE=$(ready platform) || return 1
	for i in $(seq 1 "$EDGES"); do
		proxy "store-$i" "$STORE"
		PLATFORM=$PROXY
		start_edge "$i"
		STORE_OF[$i]=$PROXY
	done
	PLATFORM=$STORE
	put_document $VERSION '"k1","k2"'
	wait_for everywhere begins
	for i in "${LLM[@]}"; do pace "$i" >/dev/null; done
	list_entries
	start callers "$BIN/standin-held_callers" --entries "$DIR/entries" \
		--stop "$DIR/stop" --callers "$CALLERS" --slow "$SLOW" \
		--seed "$SEED" --deadline "$DEADLINE_MS"
	end=$((SECONDS + SECONDS_EACH))
	while [ $SECONDS -lt $end ]; do
		event >/dev/null
		starts_again
		sleep "0.$((RANDOM % 5 + 1))"
	done
	: >"$DIR/stop"
	wait "$(pid_of callers)"
	check
	cluster_stop
	[ "$FAILED" = "$failed" ] && rm -rf "$DIR"
}

declare -A STORE_OF LEFT OFF_LIST
for SEED in "$@"; do soak; done
echo "shutdown_soak: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
