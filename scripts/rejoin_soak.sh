#!/bin/bash
# A randomized soak of streams that are continued, with endpoints of several software
# versions, as real processes: versions come, go and come back within seconds, while
# all entries are killed at once (also again, and during their start), single ones are
# killed, stopped in order, frozen, cut off from the endpoints or from the store, and
# the store is away or comes back from an older copy. Faults overlap. Callers leave
# streams and continue them at any entry, and each event of each try is checked.
#
# Failure: streams taken up after all entries were killed, or at an entry out of step,
# joined the text of two versions.
#
# Seeds that divide by 3 have one version only. With seeds that divide by 4 a version
# without an order is withheld at first. The last fault of each seed is the kill of all
# entries, after which streams go on.
# Usage: rejoin_soak.sh SECONDS SEED... (of faults for each seed; calm ones follow)
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
SECONDS_EACH=$1
shift
EDGES=${EDGES:-3}
CALLERS=${CALLERS:-$((EDGES * 8))}
# Of a version.
ENDPOINTS=${ENDPOINTS:-$((CALLERS / 6))}
CUTTABLE=1
CALM_S=5
# Time after the last start of an entry, within the calm phase.
SETTLE_MS=1000
# A try that is sent later may not have its first event before the end.
TOO_LATE_MS=500
BASE=$DIR

# seconds MS
seconds() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); }

note() { echo "$(now_ms) $*" >>"$DIR/faults"; }

# later MS COMMAND...: in the background, so that faults overlap.
later() {
	local wait
	wait=$(seconds "$1")
	shift
	{ sleep "$wait"; "$@"; } >/dev/null 2>&1 &
	LATER="$LATER $!"
}

later_is_over() { ! jobs -rp | grep -qxF "$(printf '%s\n' $LATER)"; }

# ---- Entries ----

# is_entry N PID: the process is still that of entry N.
is_entry() { grep -qsz "edge-$1.json" "/proc/$2/cmdline"; }

# signal_entry NAME N PID
signal_entry() { is_entry "$2" "$3" && kill "-$1" "$3"; }

is_child() { jobs -rp | grep -qx "$1"; }

# list_entries: the addresses that callers go to; a process that has ended keeps its
# place until the next one has started.
list_entries() {
	local n
	for n in $(seq 1 "$EDGES"); do
		echo "$n ${ADDRESS[$n]}"
	done >"$DIR/entries.new"
	mv "$DIR/entries.new" "$DIR/entries"
}

# has_address N: callers find the newest start of entry N.
has_address() {
	has_started "$1" || return 1
	ADDRESS[$1]=$(address "$1" callers)
	STARTING[$1]=
}

launch() {
	PLATFORM=${STORE_OF[$1]} launch_edge "$1" "$2"
	PID[$1]=$LAST_PID STARTING[$1]=1 DUE[$1]=
}

# kill_entry N MS: it starts again MS later.
kill_entry() {
	end_child "${PID[$1]}"
	DUE[$1]=$(($(now_ms) + $2)) STARTING[$1]=
}

# kill_all MS [JITTER_MS]: at once; they start again MS later, each up to JITTER_MS
# later than that.
kill_all() {
	local n pids now
	pids=$(jobs -rp | grep -xF "$(printf '%s\n' "${PID[@]}")")
	[ -z "$pids" ] || kill -9 $pids
	note kill all, back after "$1 to $(($1 + ${2:-1})) ms"
	now=$(now_ms)
	for n in $(seq 1 "$EDGES"); do
		DUE[$n]=$((now + $1 + RANDOM % ${2:-1})) STARTING[$n]=
	done
}

# Starts what is to start again; an entry that ended by itself too.
tick() {
	local n now listed=1
	now=$(now_ms)
	for n in $(seq 1 "$EDGES"); do
		if [ -n "${DUE[$n]}" ]; then
			[ "$now" -ge "${DUE[$n]}" ] || continue
			end_child "${PID[$n]}"
			launch "$n" false
		elif ! is_child "${PID[$n]}"; then
			echo "$now edge-$n ${PID[$n]}" >>"$DIR/ended"
			DUE[$n]=$now
		elif [ -n "${STARTING[$n]}" ]; then
			has_address "$n" && listed=
		fi
	done
	[ -n "$listed" ] || list_entries
	if [ -n "$KILL_AGAIN" ] && [ "$now" -ge "$KILL_AGAIN" ]; then
		KILL_AGAIN=
		kill_all $((RANDOM % 600 + 300))
	fi
	if [ -e "$DIR/now" ]; then
		rm "$DIR/now"
		! all_are_back || kill_all_beside
	fi
}

all_are_back() {
	local left="${DUE[*]}${STARTING[*]}$KILL_AGAIN"
	[ -z "${left// /}" ]
}

# ---- Versions ----

# The next functions run in a process of their own. IDS: the endpoints of each version.

start_version() {
	local i
	note version "$1" comes
	platform_test "start?service=llm&version=$1&n=$ENDPOINTS"
	for i in $(seq 1 "$ENDPOINTS"); do
		NEWEST=$((NEWEST + 1))
		IDS[$1]="${IDS[$1]} $NEWEST"
	done
}

end_ids() {
	local i
	sleep "$(seconds "$1")"
	for i in "${@:2}"; do
		platform_test "unlist?id=i-$i"
		platform_test "end?id=i-$i&ms=0"
	done
}

# leave_version VERSION HOW MS: all its endpoints drain, or are just taken off the
# list, and end MS later.
leave_version() {
	local i
	[ -n "${IDS[$1]}" ] || return
	note version "$1" leaves: "$2, $3 ms"
	for i in ${IDS[$1]}; do platform_test "$2?id=i-$i"; done
	end_ids "$3" ${IDS[$1]} &
	IDS[$1]=
}

leave_others() {
	local v
	for v in v1 v2 v3; do
		[ "$v" = "$1" ] || leave_version "$v" "$2" "$3"
	done
}

# At times all entries are killed at that moment.
and_now() {
	[ $((RANDOM % 2)) = 0 ] || [ -e "$DIR/finish" ] || : >"$DIR/now"
}

a_while() { sleep "$(seconds $((RANDOM % 1200 + 100)))"; }

# One roll-out: forward, and back within seconds, or both versions stay for a while.
roll_out() {
	local how=drain next=v$((RANDOM % 3 + 1))
	[ $((RANDOM % 3)) = 0 ] && how=unlist
	[ "$next" = "$CURRENT" ] && return
	[ -n "${IDS[$next]}" ] || start_version "$next"
	and_now
	a_while
	case $((RANDOM % 4)) in
	0) leave_version "$next" $how $((RANDOM % 1500)) ;;
	1) return ;;
	*) leave_others "$next" $how $((RANDOM % 1500))
		CURRENT=$next ;;
	esac
	and_now
}

# The last one: all entries are killed as the other versions leave, or while all are
# in service, as when the one that stays may be withheld.
last_roll_out() {
	local next=v1
	[ "$CURRENT" = v1 ] && next=v2
	while [ ! -e "$DIR/back" ]; do sleep 0.05; done
	[ -n "${IDS[$next]}" ] || start_version "$next"
	sleep 2
	[ "$EXPOSURE" != 0 ] || [ $((RANDOM % 2)) = 0 ] ||
		leave_others "$next" drain 300
	: >"$DIR/last"
	wait
}

versions() {
	local CURRENT=v1 NEWEST=$((2 * ENDPOINTS))
	declare -A IDS
	RANDOM=$((SEED * 100 + 98))
	IDS[v1]=$(seq 1 2 $NEWEST | paste -sd' ')
	while [ ! -e "$DIR/finish" ]; do
		roll_out
		a_while
	done
	last_roll_out
}

# ---- Faults ----

# All entries are killed; at times the store is away or set back at that moment, or
# they are killed again, before or after they have started.
kill_all_beside() {
	local after=$((RANDOM % 700 + 300))
	kill_all $after $((RANDOM % 2 * 400 + 1))
	case $((RANDOM % 7)) in
	0) note store down; platform_test "down?ms=$((RANDOM % 1200 + 300))" ;;
	1) note store set back; platform_test "return?ms=$((RANDOM % 800))" ;;
	2) KILL_AGAIN=$(($(now_ms) + after + RANDOM % 150)) ;;
	3) KILL_AGAIN=$(($(now_ms) + after + 300 + RANDOM % 1200)) ;;
	esac
}

freeze() {
	local n
	for n in "$@"; do
		signal_entry STOP "$n" "${PID[$n]}" || continue
		note freeze "$n"
		later $((RANDOM % 2200 + 300)) signal_entry CONT "$n" "${PID[$n]}"
	done
}

terminate() {
	[ -z "${DUE[$1]}${STARTING[$1]}" ] || return
	note terminate "$1"
	signal_entry TERM "$1" "${PID[$1]}"
	DUE[$1]=$(($(now_ms) + RANDOM % 2500 + 300))
}

# cut_entry N MODE
cut_entry() {
	note cut off "$1: $2"
	cut_off "$2" "$1"
	later $((RANDOM % 1500 + 1000)) cut_off pass "$1"
}

store_fault() {
	local modes=(delay up down silent reset)
	local m=${modes[$((RANDOM % 5))]}
	note store "$m" at "$1"
	mode "store-$1" "$m"
	later $((RANDOM % 2000 + 500)) mode "store-$1" pass
}

fault() {
	local n=$((RANDOM % EDGES + 1)) cuts=(hang reset refuse)
	[ $((RANDOM % 3)) = 0 ] && platform_test copy
	case $((RANDOM % 14)) in
	0 | 1) kill_all_beside ;;
	2 | 3 | 4) note kill "$n"; kill_entry "$n" $((RANDOM % 1200 + 200)) ;;
	5) note kill "$n and the next"
		kill_entry "$n" $((RANDOM % 800 + 200))
		kill_entry $((n % EDGES + 1)) $((RANDOM % 800 + 200)) ;;
	6 | 7) terminate "$n" ;;
	8) freeze "$n" ;;
	9) freeze $(seq 1 "$EDGES" | grep -vx "$n") ;;
	10) cut_entry "$n" "${cuts[$((RANDOM % 3))]}" ;;
	11) store_fault "$n" ;;
	12) note store down; platform_test "down?ms=$((RANDOM % 1500 + 300))" ;;
	13) note store set back; platform_test "return?ms=$((RANDOM % 800))" ;;
	esac
}

# tick_until COMMAND...: a minute at most.
tick_until() {
	local i
	for i in $(seq 1 1200); do
		"$@" && return
		tick
		sleep 0.05
	done
	return 1
}

is_over() { [ "$(now_ms)" -ge "$1" ]; }

faults() {
	local end next=0
	end=$(($(now_ms) + SECONDS_EACH * 1000))
	while ! is_over $end; do
		if is_over $next; then
			fault >/dev/null
			next=$(($(now_ms) + RANDOM % 1100 + 300))
		fi
		tick
		sleep 0.05
	done
}

# All that was begun comes to its end; then all entries are killed once more.
last_kill() {
	: >"$DIR/finish"
	tick_until later_is_over
	tick_until all_are_back
	expect "$SEED: all entries serve again" wait_for everywhere begins
	: >"$DIR/back"
	if [ -n "$VERSIONS" ]; then
		tick_until [ -e "$DIR/last" ]
		wait "$VERSIONS"
	fi
	tick_until all_are_back
	[ -n "$VERSIONS" ] || sleep 1.5
	KILL_MS=$(now_ms)
	kill_all $((RANDOM % 500 + 500)) $((RANDOM % 2 * 300 + 1))
	tick_until all_are_back
	CALM_MS=$(($(now_ms) + SETTLE_MS))
}

# ---- Checks ----

# judge: a line for each fault that a caller saw: WHAT STREAM KIND LINE
judge() {
	awk '
	function say(what) { print what, $1, $2, NR }
	{ n = split($9 == "-" ? "" : $9, runs, ",")
	pos = $2 == "zero" ? 0 : last[$1] + 0
	for (i = 1; i <= n; i++) {
		split(runs[i], part, ":")
		if (($1 in version) && version[$1] != part[1]) say("mixed")
		version[$1] = part[1]
		if (split(part[2], ids, "-") != 2 || ids[1] != pos + 1) {
			say("pieces")
			ids[2] = part[2] + 0
		}
		pos = ids[2] + 0
	}
	if ($2 == "past" || $2 == "own") { if (n) say("pieces") }
	else if ($6 == "whole" && $7 == 200 && pos != 20) say("short")
	if ($2 == "own" && $7 == 200) say("odd")
	if ($2 == "zero" && $7 == 200 && n && pos > 20) say("odd")
	if ($7 != 0 && $7 != 200 && ($7 < 400 || $7 > 599)) say("odd")
	if ($2 != "zero" && n) last[$1] = pos }' "$DIR/told"
}

# unanswered FROM TO: tries of streams that had ended, without a whole answer.
unanswered() {
	awk -v from="$1" -v to="$2" '$4 >= from && $4 <= to &&
		$2 ~ /^(past|zero|own)$/ && $6 != "whole"' "$DIR/told"
}

# begun FROM TO: "BEGUN TRIES" of new streams sent in this time.
begun() {
	awk -v from="$1" -v to="$2" '$4 >= from && $4 <= to && $2 ~ /^(new|again)$/ {
		n++; begun += $9 != "-" }
		END { print begun + 0, n + 0 }' "$DIR/told"
}

# continued FROM TO: "WENT_ON STREAMS" of those that began in this time and were
# continued after the last kill of all entries; those that went on did so at their
# version. Two endpoints of it serve at the end.
continued() {
	awk -v from="$1" -v to="$2" -v kill="$KILL_MS" \
		-v stop=$((STOP_MS - TOO_LATE_MS)) '
	FILENAME ~ /serving$/ { if ($1 == "llm" && $4 >= 2) serves[$2] = 1; next }
	$9 != "-" && !($1 in version) {
		version[$1] = substr($9, 1, index($9, ":") - 1)
		began[$1] = $4 }
	$2 == "continued" && $4 >= kill && $4 <= stop && began[$1] >= from &&
		began[$1] < to && (version[$1] in serves) {
		n += !($1 in asked); asked[$1] = 1
		if (index($9, version[$1] ":") == 1 && !($1 in went)) {
			on++; went[$1] = 1 } }
	END { print on + 0, n + 0 }' "$DIR/serving" "$DIR/told"
}

# as_often WENT_ON OF BEGUN OF LEAST: half as large a share goes on as of new ones
# begins, and there are LEAST of them.
as_often() { [ "$2" -ge "$5" ] && [ $((2 * $1 * $4)) -ge $(($3 * $2)) ]; }

none() { ! grep -q "^$1 " "$DIR/judged"; }

count() { cut -d' ' -f2 <(grep "^$1 " "$DIR/judged") | sort -u | wc -l; }

check() {
	local end=$((STOP_MS - TOO_LATE_MS)) new on after
	cp "$DIR/callers.out" "$DIR/told"
	platform_test versions >"$DIR/serving"
	judge >"$DIR/judged"
	new=($(begun "$CALM_MS" "$end"))
	on=($(continued "$KILL_MS" 9e15))
	after=($(continued 0 "$KILL_MS"))
	echo "seed $SEED: $(wc -l <"$DIR/faults") faults," \
		"$(awk '{ print $1 }' "$DIR/told" | sort -u | wc -l) streams," \
		"$(grep -c ' continued ' "$DIR/told") continued tries;" \
		"streams $(count mixed) mixed, $(count pieces) with wrong pieces;" \
		"calm: ${new[*]} began, ${on[*]} went on;" \
		"after the last kill of all: ${after[*]} went on"
	expect "$SEED: something was served" \
		[ "$(awk '$6 == "whole" && $7 == 200' "$DIR/told" | wc -l)" -gt 20 ]
	expect "$SEED: a stream goes on only at the version that began it" none mixed
	expect "$SEED: no piece of a stream is missing or comes twice" none pieces
	expect "$SEED: streams that end as complete have all pieces" none short
	expect "$SEED: take-ups of streams that ended are answered as such" none odd
	expect "$SEED: in the calm phase they are answered" \
		[ -z "$(unanswered "$CALM_MS" "$end")" ]
	expect "$SEED: in the calm phase new streams begin" \
		[ "${new[1]}" -gt 0 -a $((2 * ${new[0]})) -ge "${new[1]}" ]
	expect "$SEED: in the calm phase continued streams go on" \
		as_often "${on[@]}" "${new[@]}" 6
	expect "$SEED: streams go on after all entries were killed" \
		as_often "${after[@]}" "${new[@]}" 1
	expect "$SEED: every start of an entry succeeded" \
		[ -z "$(cat "$DIR"/edge-*.log)" ]
	expect "$SEED: no entry ended by itself" [ ! -s "$DIR/ended" ]
}

soak() {
	local i failed=$FAILED
	DIR=$BASE/$SEED
	mkdir "$DIR"
	STORE_OF=() ADDRESS=() PID=() DUE=() STARTING=() LATER= KILL_AGAIN= VERSIONS=
	RANDOM=$SEED
	: >"$DIR/faults"
	[ $((SEED % 4)) = 0 ] && EXPOSURE=0.1 || EXPOSURE=0
	start platform "$BIN/standin-platform" --endpoints "$ENDPOINTS" --era 1 --gap 40
	STORE=$(ready platform) || return 1
	for i in $(seq 1 "$EDGES"); do
		proxy "store-$i" "$STORE"
		STORE_OF[$i]=$PROXY
		launch "$i" true
	done
	PLATFORM=$STORE
	for i in $(seq 1 "$EDGES"); do wait_for has_address "$i"; done
	put_document 2 '"k1"'
	expect "$SEED: all entries serve" wait_for everywhere begins
	platform_test copy >/dev/null
	list_entries
	start callers "$BIN/standin-rejoiners" --entries "$DIR/entries" \
		--stop "$DIR/stop" --callers "$CALLERS" --seed "$SEED"
	if [ $((SEED % 3)) != 0 ]; then
		versions >/dev/null &
		VERSIONS=$!
	fi
	faults
	last_kill
	sleep $CALM_S
	STOP_MS=$(now_ms)
	: >"$DIR/stop"
	wait "$(pid_of callers)"
	check
	cluster_stop
	[ "$FAILED" != "$failed" ] || [ -n "$KEEP" ] || rm -rf "$DIR"
}

declare -A STORE_OF ADDRESS PID DUE STARTING
for SEED in "$@"; do soak; done
echo "rejoin_soak: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
