#!/bin/bash
# One entry is out of step while replicas of a new version join: cut off from the
# store and its peers, or suspended. Streams that began at the new version through
# other entries are continued there. Real entries on a stand-in of the platform.
# Checks counts, never times.
#
# Failure: during a release, an entry that was out of step for seconds continued
# streams of the new version at a replica of the former one.
# Usage: out_of_step_test.sh [SECONDS] (out of step, in each round; default 3)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-4}
EDGE_SERVICES_EACH=4
PLATFORM_ARGS="--gap 80"
EXPOSURE=0
CUTTABLE=1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-3}
CALLERS_EACH=${CALLERS_EACH:-3}
CASES=${CASES:-alone stopped deaf mute no_store}
# Joins in each case. Each is of another service: an entry that knows of two
# versions refuses what it does not know.
ROUNDS=${ROUNDS:-2}
# Of the entry that gets out of step.
OUT=1

# ---- Callers ----

front() { address "$1" callers >"$DIR/front-$1"; }

# Where the caller of one entry continues: every other time at the entry that is
# out of step, else at an entry in step. A caller of that entry stays there.
pick_out_of_step() {
	if [ "$1" = 1 ] || [ "$CALLER_AT" = $OUT ]; then
		echo "$CALLER_AT"
	elif [ $((RANDOM % 2)) = 0 ]; then
		echo $OUT
	else
		echo $(((CALLER_AT + RANDOM) % (EDGES - 1) + 2))
	fi
}

# caller N K: streams one after the other, which are left after a few events. One
# caller stays at the entry that gets out of step; it leaves its streams later, so
# that its first one begins before that and is continued after.
caller() {
	CALLER_AT=$1
	local i=0 leave
	[ "$1" = $OUT ] && [ "$2" -gt 1 ] && CALLER_AT=$2
	RANDOM=$(($1 * 10 + $2))
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		leave=0.$((RANDOM % 4 + 3))
		[ "$CALLER_AT" = $OUT ] && leave=1.2
		stream "$SERVICE-$1-$2-$i" 2 "$leave" pick_out_of_step
	done
}

# ---- Services ----

# put_services N: a document with N services beside the usual ones, with a stream
# route each.
put_services() {
	local i routes= services=
	for i in $(seq 1 "$1"); do
		routes="$routes,$(sed -n 's/,$//; /"name":"stream",/p' \
			tests/standin/document.json |
			sed "s|\"stream\"|\"stream-$i\"|; s|/s/|/s$i/|
				s|\"llm\"|\"llm-$i\"|")"
		services="$services{\"name\":\"llm-$i\",\"maxConns\":300,\"engine\":{\"slots\":8,\"kvCapacity\":500000,\"moves\":true}},"
		start_version "llm-$i" v1
	done
	put_document 2 '"k1"' "$routes" "$services"
}

start_version() {
	platform_test "start?service=$1&version=$2&n=4" >/dev/null
}

# serves N SERVICE: entry N begins a stream of it.
serves() {
	is "$(request "$1" "first-$1-$RANDOM-$RANDOM" "/s${2#llm-}/x" -d hello \
		-m 0.5)" 200
}

# ---- Out of step ----

cut_round() {
	cut_off "$HOW" $OUT
	# It reads the word with its next event or tick; the version must not be that.
	sleep 0.3
	start_version "$SERVICE" v2
	sleep "$SECONDS_EACH"
	cut_off pass $OUT
}

# Continuations arrive while it is suspended, and just after. The version joins
# during the first suspension, which is a short one in every other round.
stop_round() {
	local s order=(1.2 "$SECONDS_EACH") pid=$(pid_of "edge-$OUT")
	[ $((NR_JOINED % 2)) = 0 ] && order=("$SECONDS_EACH" 1.2)
	for s in "${order[@]}"; do
		kill -STOP "$pid"
		[ "$s" = "${order[0]}" ] && start_version "$SERVICE" v2
		sleep "$s"
		kill -CONT "$pid"
		sleep 0.3
	done
}

# ---- Checks ----

none() { [ -z "$("$@")" ]; }

# tries AT KIND...: "SERVED SENT REFUSED" at the entry that was out of step, or at
# the others (AT: out, in).
tries() {
	local at=$1
	shift
	awk -v at="$at" -v kinds=" $* " -v out=$OUT '
		index(kinds, " " $1 " ") && ($2 == out) == (at == "out") {
			n++; served += $4 > 0; refused += $3 ~ /^503:/
		}
		END { print served + 0, n + 0, refused + 0 }' "$DIR"/tries-*
}

# Streams of the entry's own that were continued there: "SERVED SENT REFUSED".
own_tries() {
	awk -v out=$OUT '
		FNR == 1 { own = $1 == "new" && $2 == out }
		own && $1 == "continued" {
			n++; served += $4 > 0; refused += $3 ~ /^503:/
		}
		END { print served + 0, n + 0, refused + 0 }' "$DIR"/tries-*
}

others_continued() {
	local all=($(tries out continued)) own=($(own_tries))
	[ $((all[1] - own[1])) -ge 12 ]
}

refused_or_served() {
	local c=($(tries out continued))
	[ $((c[0] + c[2])) = "${c[1]}" ]
}

own_go_on() {
	local c=($(own_tries))
	[ "${c[1]}" -gt 0 ] && [ "${c[0]}" = "${c[1]}" ]
}

# At the entries in step, half as large a share of continued streams goes on as of
# new ones begins.
go_on_like_new() {
	local begun=($(tries in new again)) continued=($(tries in continued))
	[ "${continued[1]}" -ge 12 ] &&
		[ $((2 * continued[0] * begun[1])) -ge \
			$((begun[0] * continued[1])) ]
}

# case_of NAME ROUND [HOW]
case_of() {
	local round=$2 i
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1 HOW=$3
	rm -f "$DIR"/events-* "$DIR"/tries-*
	for i in $(seq 1 "$ROUNDS"); do
		NR_JOINED=$((NR_JOINED + 1))
		SERVICE=llm-$NR_JOINED STREAM_PATH=/s$NR_JOINED/x
		wait_for serves $OUT "$SERVICE"
		with_callers caller "$CALLERS_EACH" "$round"
	done
	echo "$CASE: (served, sent, refused)" \
		"continued there $(tries out continued)," \
		"of its own $(own_tries), elsewhere $(tries in continued)," \
		"begun there $(tries out new again)," \
		"elsewhere $(tries in new again);" \
		"$(versions_mixed | wc -l) of two versions"
	expect "$CASE: a stream goes on only at the version that began it" \
		none versions_mixed
	expect "$CASE: no piece is missing or comes twice" none pieces_wrong
	expect "$CASE: callers continued streams of other entries there" \
		others_continued
	expect "$CASE: what is not continued there is refused" refused_or_served
	expect "$CASE: streams that it began go on there" own_go_on
	expect "$CASE: at entries in step they go on as often as new ones begin" \
		go_on_like_new
}

NR_JOINED=0
start_edges || exit 1
put_services $(($(wc -w <<<"$CASES") * ROUNDS))
expect "all entries serve" wait_for everywhere serves llm-1
for N in $(seq 1 "$EDGES"); do front "$N"; done
STORE_PORT=${PLATFORM##*:}

# Guards against a list without the new version, and peers that do not answer, being
# taken for proof that there is one version.
case_of alone cut_round alone
# Guards against a decision made before what arrived during a suspension was read.
case_of stopped stop_round
# Guards against the same as alone, while its peers count the entry as alive.
case_of deaf cut_round deaf
# Guards against queries that never leave and are taken for unknown streams.
case_of mute cut_round mute
# Guards against a list that is old, while its peers know better.
case_of no_store cut_round "alone $STORE_PORT"
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "out_of_step_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
