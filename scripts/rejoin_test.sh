#!/bin/bash
# All entries of a service are killed at once and start again while callers read
# streams, and the callers continue them: at the version that began them, or not at
# all. Real entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: entries that had just started took the versions that they saw for all
# that there had been: streams of a version that had left went on at another one,
# and where two versions stayed no stream went on.
# Usage: [CASES="one leaves ..."] [CALLERS_EACH=N] rejoin_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-3}
EDGE_SERVICES_EACH=6
# Between two events of the streams of callers: they last for 2 s, so that most are
# open at a kill.
GAP_MS=100
EXPOSURE=0
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
CALLERS_EACH=${CALLERS_EACH:-4}
CASES=${CASES:-one other stay leaves drained twice starting}
# The callers come back until the entries are there.
TRIES=12
# From a start until the entries are in touch with each other and the store.
SETTLE_S=3.2

# ---- Callers ----

# Waits without a process of its own: there are many callers.
pause() { read -rt "$1" <>"$DIR/never"; }
mkfifo "$DIR/never"

# pick TRY: any entry. A caller that waits comes back to settled entries only.
# Notes a try that begins while the entries are settled, by the id of the try.
pick() {
	local n=$((RANDOM % EDGES + 1))
	if [ "$1" -gt 1 ]; then
		pause 0.25
		while [ -n "$WAITS" ] && [ -e "$DIR/unsettled" ]; do
			pause 0.1
		done
	fi
	[ -e "$DIR/unsettled" ] ||
		echo "e$n-$STREAM-$1" >>"$DIR/settled-$STREAM"
	echo "$n"
}

# pick_other TRY: entry 1, and after that entry 2, together with all other callers.
pick_other() {
	[ "$1" -gt 1 ] || { echo 1; return; }
	while [ ! -e "$DIR/together" ]; do pause 0.02; done
	echo 2
}

# caller N K: streams one after the other. Where callers wait, the first one of each
# entry does not.
caller() {
	local i=0 WAITS=
	[ -n "$SOME_WAIT" ] && [ "$2" -gt 1 ] && WAITS=yes
	RANDOM=$(($1 * 10 + $2))
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		STREAM=$CASE-$1-$2-$i
		stream "$STREAM" "$TRIES" 8 "$PICK"
	done
}

# ---- Versions ----

NEWEST=1

# ids_of VERSION: all endpoints of it that were ever started.
ids_of() {
	local id
	for id in $(platform_test seen | grep -o '^i-[0-9]*'); do
		[ "$(platform_test "version?id=$id")" = "$1" ] && echo "$id"
	done
}

# at_endpoints CALL ID...: a call for each of them, by one process.
at_endpoints() {
	local call=$1 id urls=()
	shift
	for id in "$@"; do
		urls+=("http://$PLATFORM/test/${call/ID/$id}")
	done
	[ -z "$1" ] || curl -s "${urls[@]}" >/dev/null
}

# starts VERSION N: endpoints of it.
starts() { platform_test "start?service=llm&version=$1&n=$2" >/dev/null; }

# Endpoints of a new version start, which stays; the one before it is left beside
# it, and none else. It has more of them, so that most streams begin at it.
two_versions() {
	unlist_former
	end_former
	FORMER=v$NEWEST
	NEWEST=$((NEWEST + 1))
	STAYS=v$NEWEST
	starts "$FORMER" 6
	FORMER_IDS=($(ids_of "$FORMER"))
	starts "$STAYS" 3
	expect "$CASE: all entries know of two versions" wait_for everywhere reports
}

unlist_former() { at_endpoints "unlist?id=ID" "${FORMER_IDS[@]}"; }
end_former() { at_endpoints "end?id=ID&ms=0" "${FORMER_IDS[@]}"; }

# ---- Entries ----

kill_all() {
	local n pids=
	: >"$DIR/unsettled"
	for n in $(seq 1 "$EDGES"); do pids="$pids $(pid_of "edge-$n")"; done
	# Not one that ended by itself: its id may be that of another process by now.
	kill -9 $(jobs -rp | grep -xF "${pids// /$'\n'}")
}

start_all() {
	local n
	for n in $(seq 1 "$EDGES"); do
		start_edge "$n" false
		front "$n"
	done
}

front() { address "$1" callers >"$DIR/front-$1"; }

settle() {
	sleep "$SETTLE_S"
	rm -f "$DIR/unsettled"
	sleep 1
}

# datagrams N: those of entry N about versions of streams.
datagrams() {
	curl -s "http://$(address "$1" peers)/metrics" |
		awk '/^marldock_binding_datagrams_total/ { n += $2 } END { print n + 0 }'
}
reports() { begins "$1" && [ "$(datagrams "$1")" -gt 0 ]; }

# ---- Checks ----

# share [settled]: "CONTINUED OF BEGUN OF": tries that brought an event, of those
# that reached an entry; continued ones only of streams whose version stays. With
# "settled" only tries to settled entries.
share() {
	touch "$DIR/settled-none"
	awk -v stays=" $STAYS " -v only="$1" -v dir="$DIR/" '
		{ name = substr(FILENAME, length(dir) + 1)
		  kind = name; sub(/-.*/, "", kind)
		  id = substr(name, length(kind) + 2) }
		kind == "settled" { settled[$1] = 1 }
		kind == "events" && FNR == 1 { version[id] = $5 }
		kind != "tries" || $3 == "000:7" { next }
		only && !($5 in settled) { next }
		$1 == "continued" && index(stays, " " version[id] " ") {
			c++; c_served += $4 > 0 }
		$1 != "continued" { n++; n_served += $4 > 0 }
		END { print c_served + 0, c + 0, n_served + 0, n + 0 }' \
		"$DIR"/settled-* "$DIR"/events-* "$DIR"/tries-*
}

# goes_on CONTINUED OF BEGUN OF: of 12 or more continued streams, half as large a
# share goes on as of new ones begins.
goes_on() { [ "$2" -lt 12 ] || [ $((2 * $1 * $4)) -ge $(($3 * $2)) ]; }

# Streams whose callers came back with an event of them.
continued_streams() { grep -l '^continued' "$DIR"/tries-* | wc -l; }
none() { [ -z "$("$@")" ]; }

print_counts() {
	local all=($(share)) settled=($(share settled))
	echo "$CASE: $(cat "$DIR"/events-* | wc -l) events of" \
		"$(ls "$DIR"/events-* | wc -l) streams," \
		"$(continued_streams) continued," \
		"$(versions_mixed | wc -l) of two versions," \
		"$(pieces_wrong | wc -l) with wrong pieces;" \
		"tries that went on/began: ${all[0]}/${all[1]} ${all[2]}/${all[3]}," \
		"settled: ${settled[0]}/${settled[1]} ${settled[2]}/${settled[3]}"
}

# case_of NAME SOME_WAIT COMMAND: streams at all entries while the command runs.
case_of() {
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1 SOME_WAIT=$2 PICK=pick
	[ "$CASE" != other ] || PICK=pick_other
	rm -f "$DIR"/events-* "$DIR"/tries-* "$DIR"/settled-* "$DIR/unsettled"
	case $CASE in one | other) ;; *) two_versions ;; esac
	[ "$CASE" != stay ] || STAYS="$FORMER $STAYS"
	platform_test "gap?ms=$GAP_MS" >/dev/null
	with_callers caller "$CALLERS_EACH" "$3"
	platform_test "gap?ms=10" >/dev/null
	print_counts
	expect "$CASE: a stream goes on only at the version that began it" \
		none versions_mixed
	expect "$CASE: no piece is missing or comes twice" none pieces_wrong
	expect "$CASE: callers continued streams" [ "$(continued_streams)" -ge 8 ]
	[ -z "$SOME_WAIT" ] || settled_go_on
}

settled_go_on() {
	local s=($(share settled))
	expect "$CASE: settled entries were asked to continue streams" \
		[ "${s[1]}" -ge 12 ]
	expect "$CASE: settled entries continue streams as often as they begin new ones" \
		goes_on "${s[@]}"
}

refused() { awk '$1 == "continued" && $3 == "503:0" { print $5 }' "$DIR"/tries-*; }

# ---- Cases ----

# lines_of EVENT [ENTRY]: their number in the logs of the running entries, or this one.
lines_of() { cat "$DIR"/edge-${2:-?}.out | grep -c "\"event\":\"$1\""; }
most_are_open() {
	[ $(($(lines_of send "$1") - $(lines_of send_ended "$1"))) -ge 10 ]
}
# in_mid_stream [ENTRY]: the streams of most callers have had some events.
in_mid_stream() {
	wait_for most_are_open "$1"
	sleep 0.4
}

kill_twice_settled() {
	local i
	for i in 1 2; do
		in_mid_stream
		kill_all
		sleep 0.6
		start_all
		settle
	done
}

# The callers of entry 1 all come to entry 2, once that counts entry 1 as dead.
kill_one() {
	rm -f "$DIR/together"
	in_mid_stream 1
	end_child "$(pid_of edge-1)"
	sleep 1.6
	: >"$DIR/together"
	sleep 2
	start_edge 1 false
	front 1
}

kill_as_former_leaves() {
	in_mid_stream
	unlist_former
	kill_all
	sleep 0.6
	start_all
	end_former
}

former_leaves() {
	kill_as_former_leaves
	sleep 2
}

former_drained() {
	in_mid_stream
	at_endpoints "drain?id=ID" "${FORMER_IDS[@]}"
	sleep 0.3
	kill_all
	sleep 0.3
	unlist_former
	end_former
	sleep 0.5
	start_all
	sleep 2
}

two_kills() {
	kill_as_former_leaves
	sleep 0.7
	kill_all
	sleep 0.6
	start_all
	sleep 2
}

kill_at_start() {
	local n
	in_mid_stream
	unlist_former
	kill_all
	sleep 0.5
	for n in $(seq 1 "$EDGES"); do start_edge "$n" false; done
	kill_all
	sleep 0.5
	start_all
	end_former
	sleep 2
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere begins
for N in $(seq 1 "$EDGES"); do front "$N"; done
STAYS=v1

# Guards against entries that refuse all continued streams after a start, although
# there was never more than one version.
case_of one yes kill_twice_settled
# Guards against a burst of continued streams of which only the first ones wait for
# the store's answer.
case_of other "" kill_one
case " $CASES " in *" other "*)
	expect "other: streams of the only version are not refused" none refused ;;
esac
# Guards against entries that refuse all continued streams after a start, as two
# versions are in service.
case_of stay yes kill_twice_settled
# Guards against entries that take the one version that they list after a start for
# the one that began the stream: its endpoints left at the moment of the kill.
case_of leaves "" former_leaves
# The same, of endpoints that drained and ended while no entry ran.
case_of drained "" former_drained
# Guards against a second loss of all that entries know, before what they learned
# since the first one is kept anywhere.
case_of twice "" two_kills
# Guards against entries that are killed before they have read what is kept.
case_of starting "" kill_at_start
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "rejoin_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
