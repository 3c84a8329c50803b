#!/bin/bash
# Entries that are cut off from all endpoints while callers, the store and the
# other entries reach them; real entries on a stand-in of the platform. Checks
# counts, never times.
#
# Failure: callers of two entries that had lost their links to all endpoints
# were refused each request for the whole 12 s, while four other entries served.
# Usage: cut_test.sh [SECONDS] (of load in each case; default 4)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
CUTTABLE=1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-4}
MODES=${MODES:-hang reset refuse}
# Time after which callers must be served in spite of a cut, s.
STABLE_S=3

serves() {
	is "$(request "$1" "e$1-$RANDOM-$RANDOM" /l/x)" 200 &&
		is "$(request "$1" "e$1-$RANDOM-$RANDOM" /s/x -d hello)" 200
}

# caller N K: sends to entry N, one request after the other, each of them once.
# Notes PHASE N ID PATH STATUS:EXIT_CODE EVENTS. The phase is read before the request is
# sent.
caller() {
	local n=$1 k=$2 i=0 at phase status id path body=$DIR/body-$1-$2
	local paths=(/l/x /u/x /s/x /o/x)
	at=$(address "$n" callers)
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		id=e$n-$CASE-$k-$i
		path=${paths[$(((i + k) % 4))]}
		phase=$(cat "$DIR/phase")
		status=$(curl -s -m 8 -o "$body" -w '%{http_code}' \
			-H 'Host: t.example' -H "Attempt-Id: $id" \
			-H 'Deadline-Ms: 6000' -H 'Authorization: Bearer k1' \
			-d hello "http://$at$path"; echo ":$?")
		echo "$phase $n $id $path $status $(grep -c '^id: ' "$body")" \
			>>"$DIR/told-$n-$k"
		rm -f "$body"
		sleep 0.02
	done
}

phase() { echo "$1" >"$DIR/phase.new"; mv "$DIR/phase.new" "$DIR/phase"; }

# load COMMAND...: sends to all entries while the command runs; leaves what
# callers got in $DIR/told.
load() {
	rm -f "$DIR"/told-*
	phase before
	with_callers caller 3 "$@"
	cat "$DIR"/told-* >"$DIR/told"
}

# counted PHASE IN|OUT N...: "SERVED SENT" of the entries N, or of all others.
counted() {
	local phase=$1 which=$2
	shift 2
	awk -v phase="$phase" -v which="$which" -v list=" $* " '
		$1 == phase && (index(list, " " $2 " ") > 0) == (which == "in") {
			sent++; served += $5 == "200:0"
		}
		END { print served + 0, sent + 0 }' "$DIR/told"
}

# served_in PHASE N...: the first attempts at the entries N were served as often
# as the rule demands: two thirds as often as the others', or all but 10 and one
# in 50 of all.
served_in() {
	local phase=$1 here=() there=()
	shift
	here=($(counted "$phase" in "$@"))
	there=($(counted "$phase" out "$@"))
	echo "$CASE, $phase: served ${here[*]} at $*, ${there[*]} at the others"
	[ "${here[1]}" -gt 0 ] || return 1
	[ $((here[1] - here[0])) -le \
		$((10 + (here[1] + there[1]) / 50)) ] && return 0
	[ "${there[1]}" -gt 0 ] &&
		[ $((3 * here[0] * there[1])) -ge $((2 * there[0] * here[1])) ]
}

# No request that may run once ran twice, and none that was refused ran.
truthful() {
	platform_test runs >"$DIR/runs"
	awk 'NR == FNR { ran[$1] = 1; next }
		$5 ~ /^(503|429|408|421):/ && ($3 in ran)' \
		"$DIR/runs" <(grep -E ' /[uo]/x ' "$DIR/told") >"$DIR/false"
	is "$(seen once_twice)" 0 && [ ! -s "$DIR/false" ]
}

whole_streams() {
	awk '$5 == "200:0" && $4 ~ /[so]\/x/ && $6 != 20' "$DIR/told" >"$DIR/torn"
	[ ! -s "$DIR/torn" ]
}

# cut_for_a_while HOW N...
cut_for_a_while() {
	local how=$1
	shift
	phase begin
	cut_off "$how" "$@"
	sleep $STABLE_S
	phase cut
	sleep "$SECONDS_EACH"
	phase back
	cut_off pass "$@"
	sleep 1
	phase after
	sleep 2
}

# The cut begins and ends every second.
cut_on_and_off() {
	local how=$1 i
	shift
	phase begin
	for i in $(seq 1 8); do
		[ "$i" = 5 ] && phase cut
		cut_off "$how" "$@"
		sleep 0.7
		cut_off pass "$@"
		sleep 0.3
	done
	phase back
	sleep 1
	phase after
	sleep 1
}

# case_of NAME COMMAND N...: the command gets the entries N.
case_of() {
	CASE=$1
	shift
	load "$@"
}

checked() {
	expect "$CASE: nothing ran twice, and what was refused never ran" truthful
	expect "$CASE: streams that ended are whole" whole_streams
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves

for MODE in $MODES; do
	case_of "$MODE" cut_for_a_while "$MODE" 1 2
	expect "$CASE: entries cut off from all endpoints serve their callers" \
		served_in cut 1 2
	expect "$CASE: and so they do a second after the cut" served_in after 1 2
	checked
done
case_of most cut_for_a_while reset 1 2 3 4 5
expect "$CASE: one entry is enough to serve the callers of five" \
	served_in cut 1 2 3 4 5
checked
case_of flapping cut_on_and_off reset 1 2
expect "$CASE: a cut that comes each second is a cut" served_in cut 1 2
checked
case_of all cut_for_a_while reset $(seq 1 "$EDGES")
expect "$CASE: a cut of all ends like others" served_in after 1 2 3
checked
expect "no entry counts endpoints as ended that it lost its links to" \
	[ -z "$(grep -l '"found":"ended"' "$DIR"/edge-*.out)" ]
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "cut_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
