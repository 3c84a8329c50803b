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

note() { echo "$(now_ms) $*" >>"$DIR/signals"; }

# is_entry N PID: the process is still that of entry N.
is_entry() { grep -qsz "edge-$1.json" "/proc/$2/cmdline"; }

# signal_entry NAME N PID
signal_entry() {
	is_entry "$2" "$3" || return 0
	note "$1" "$2"
	kill "-$1" "$3"
}

# later SECONDS COMMAND...: in the background.
later() {
	local wait=$1
	shift
	{ sleep "$wait"; "$@"; } >/dev/null 2>&1 &
}

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

# pace N: most endpoints need 3 to 7 s for a stream.
pace() {
	[ $((RANDOM % 6)) = 0 ] && return
	platform_test "pace?id=i-$1&first=$((RANDOM % 900 + 100))&gap=$((RANDOM % 180 + 140))"
}

# replace_endpoint: the oldest leaves while streams run, and another one comes.
replace_endpoint() {
	local i=i-${LLM[0]}
	[ -n "$NO_LEAVING" ] && return
	note LEAVES "$i"
	NEWEST=$((NEWEST + 1))
	LLM=("${LLM[@]:1}" $NEWEST)
	platform_test "start?service=llm&version=v1&n=1"
	pace $NEWEST
	platform_test "drain?id=$i"
	platform_test "end?id=$i&ms=$((RANDOM % 2500 + 1500))"
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

# Judges each request that ended without a whole answer:
# VERDICT WHY ID ENTRY PATH RESULT SENT END TERM_AGE HOW ENDPOINT
# VERDICT: allowed; cut (around a SIGTERM); stalled (the same, of an entry that was
# frozen near it); apart (with no SIGTERM near); slow (any of them, of a caller that
# reads slowly); torn.
judge() {
	awk -v grace=$GRACE_MS -v deadline="$DEADLINE_MS" -v slow="$SLOW" '
	FILENAME ~ /signals$/ {
		if ($2 == "TERM") { terms[$3] = terms[$3] " " $1 }
		if ($2 == "STOP") { stops[$3] = stops[$3] " " $1 }
		if ($2 == "CONT") { thaws[$3] = thaws[$3] " " $1 }
		next
	}
	FILENAME ~ /run-times$/ { ran[$1]++; how[$1] = $5; at[$1] = $2; until[$1] = $4; next }
	# The first SIGTERM of the process that got the request, if it is near.
	function term_of(entry, from, to,   i, n, list) {
		n = split(terms[entry], list, " ")
		for (i = 1; i <= n; i++)
			if (from < list[i] + grace + 300 && to >= list[i] &&
			    to <= list[i] + grace + 1000) return list[i]
		return 0
	}
	function frozen(entry, from, to,   i, n, list) {
		n = split(stops[entry], list, " ")
		for (i = 1; i <= n; i++)
			if (list[i] >= from && list[i] <= to) return 1
		return 0
	}
	# From when on the entry could read what was sent by `from`.
	function readable(entry, from, to,   i, n, list) {
		n = split(thaws[entry], list, " ")
		for (i = 1; i <= n; i++)
			if (list[i] > from && list[i] <= to) from = list[i]
		return from
	}
	function say(verdict, why,   part) {
		split($1, part, "-")
		if (verdict != "allowed" && verdict != "torn" &&
		    substr(part[3], 2) + 0 < slow) {
			why = verdict "-" why
			verdict = "slow"
		}
		print verdict, why, $1, $2, $3, $7 "/" $8, $4, $6,
			term ? $4 - term : "-", term ? $6 - term : "-",
			($1 in ran) ? how[$1] : "none",
			($1 in ran) ? at[$1] : "-"
	}
	$7 == "torn" { term = 0; say("torn", "body"); next }
	$7 != "cut" && $7 != "closed" { next }
	{
		# A caller that reads slowly sees the end later than the endpoint.
		ended = how[$1] == "left" && until[$1] < $6 ? until[$1] : $6
		term = term_of($2, $4, ended)
		timeout = $3 ~ /^\/[so]/ ? 12000 : 1500
		if (deadline < timeout) timeout = deadline
		if ($6 - $4 >= timeout) say("allowed", "time")
		else if (how[$1] == "broke") say("allowed", "endpoint")
		else if (!($1 in ran) &&
			 ($5 == 0 || $6 - readable($2, $5, $6) <= 200))
			say("allowed", "crossed")
		else if (term && ($1 in ran) && $4 <= term + 3000 &&
			 (until[$1] == 0 || until[$1] >= term + grace * 5 / 6))
			say("allowed", "late")
		else {
			why = ($1 in ran) ? "run-" how[$1] : "held"
			if (frozen($2, $4 - 4000, ended)) say("stalled", why)
			else if (term) say("cut", why)
			else say("apart", why)
		}
	}' "$DIR/signals" "$DIR/run-times" "$DIR/told"
}

# last_lines: what the entries logged last of each request that was not allowed to end.
last_lines() {
	local verdict why id entry rest
	grep -v ^allowed "$DIR/judged" | while read -r verdict why id entry rest; do
		echo "$verdict $why $id $entry $rest :: $(
			grep -h "\"id\":\"$id\"" "$DIR/edge-$entry"*.out | tail -1 |
				sed 's/.*"event":"\([^"]*\)".*"id":"[^"]*",*\(.*\)}/\1 \2/' |
				cut -c1-150)"
	done
}

# ran_though_refused: ids of requests that must not be repeated, answered with a
# status that promises that they did not run.
ran_though_refused() {
	awk 'FILENAME ~ /run-times$/ { ran[$1] = 1; next }
		$3 ~ /^\/[uo]/ && $7 ~ /^(503|429|408|421)$/ && ($1 in ran) { print $1 }' \
		"$DIR/run-times" "$DIR/told"
}

none() { ! grep -q "^$1 " "$DIR/judged"; }

check() {
	platform_test "runs?times" >"$DIR/run-times"
	cp "$DIR/callers.out" "$DIR/told"
	judge >"$DIR/judged"
	last_lines >"$DIR/cuts"
	echo "seed $SEED: $(wc -l <"$DIR/told") requests," \
		"$(awk '$7 == "whole"' "$DIR/told" | wc -l) whole," \
		"$(awk '$7 ~ /^[0-9]/' "$DIR/told" | wc -l) refused or failed," \
		"$(awk '$7 == "left"' "$DIR/told" | wc -l) left," \
		"$(grep -c ' TERM ' "$DIR/signals") SIGTERM;" \
		"$(awk '{ n[$1 " " $2]++ } END { for (k in n) printf "%s %d; ", k, n[k] }' \
			"$DIR/judged")"
	cat "$DIR/cuts"
	expect "$SEED: something was served" \
		[ "$(awk '$7 == "whole"' "$DIR/told" | wc -l)" -gt 20 ]
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
