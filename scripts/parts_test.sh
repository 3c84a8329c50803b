#!/bin/bash
# One part of a prompt crashes each endpoint that begins to write an answer on it,
# whatever else the request holds. Real entries on a stand-in of the platform.
# Checks counts, never times.
#
# Failure: endpoints crashed one after the other, 120 in a minute: the requests had
# one shared part in common, no two had the same content, and sound requests shared
# their account and their other parts.
# Usage: parts_test.sh [SECONDS] (of the measured load in each case; default 4)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
EDGE_SERVICES_EACH=${EDGE_SERVICES_EACH:-12}
PLATFORM_ARGS="--gap 20"
EXPOSURE=0
CUTTABLE=1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-4}
CALLERS_EACH=${CALLERS_EACH:-2}
CASES=${CASES:-reset within unframed torn relay head first two both crashes killed relayed moved carried ended again versions}

# The rule: of such requests, those that reach endpoints from 3 s after the fifth
# crash on; and from 6 s after it, sound requests begin half as often as before.
MAX_LATE=3
LOST_MS=6000

# Places of the parts: sound requests share the first one and a few of the pool.
sound_parts() { echo "f1:100,a$((RANDOM % 12)):50,b$((RANDOM % 40)):20,$1:9"; }
poison_parts() {
	local one=$BAD
	[ $((RANDOM % 3)) = 0 ] && one=$WORSE
	case $CASE in
	first) echo "$BAD:70,f1:100,a$((RANDOM % 12)):50,$1:9" ;;
	two) echo "f1:100,$one:70,b$((RANDOM % 40)):20,$1:9" ;;
	both) echo "f1:100,$BAD:70,$WORSE:30,$1:9" ;;
	*) echo "f1:100,a$((RANDOM % 12)):50,$BAD:70,$1:9" ;;
	esac
}

# send N ID PARTS [CURL OPTION...]: a stream; "MS STATUS:EXIT EVENTS ID".
send() {
	local n=$1 id=$2 parts=$3 at=${EPOCHREALTIME/./} out=$DIR/body-$2 status
	shift 3
	status=$(curl -s -m 8 -o "$out" -w '%{http_code}' \
		-H 'Host: t.example' -H "Attempt-Id: e$n-$id" \
		-H 'Deadline-Ms: 6000' -H 'Authorization: Bearer k1' \
		-H 'Token-Count: 300,20' -H "Prefix-Hash: $parts" "$@" \
		-d "body of $id" "http://$(cat "$DIR/front-$n")/s/x"; echo ":$?")
	echo "$((at / 1000)) $status $(whole_events "$out" 2>/dev/null |
		wc -l) $id"
	rm -f "$out"
}

# sound N K: sound requests one after the other.
sound() {
	local i=0
	RANDOM=$(($1 * 10 + $2))
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		send "$1" "$CASE-$1-$2-$i" "$(sound_parts "c$1$2$i")" \
			>>"$DIR/sound-$1-$2"
	done
}

# poison_request I: at any entry, and once more at another one.
poison_request() {
	local try
	RANDOM=$1
	for try in 1 2; do
		send "$(any_entry)" "$CASE-p$1-$try" \
			"$(poison_parts "d$1$try")" >>"$DIR/poisoned"
	done
}

# Three requests a second.
poison() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		poison_request "$i" &
		sleep 0.33
	done
	wait
}

poisonous() { platform_test "poison?$1" >/dev/null; }

# after_fifth_crash: waits for it; where the parts are found out before, for a while.
after_fifth_crash() {
	local i
	for i in $(seq 1 12); do
		[ "$(seen poison_known)" -ge "$NR_PARTS" ] && return
		sleep 0.25
	done
}

# while_poisoned: calm, then poison, until well after the fifth crash.
while_poisoned() {
	local query pids
	sleep 3
	CALM_MS=$((${EPOCHREALTIME/./} / 1000))
	for query in $POISON; do poisonous "$query"; done
	NR_PARTS=$(echo "$POISON" | wc -w)
	poison &
	pids=$!
	[ -z "$BESIDE" ] || { $BESIDE & pids="$pids $!"; }
	# Not in the background: the entries that it starts are children of the test.
	[ "$CASE" != killed ] || kill_entries
	after_fifth_crash
	AGE=$(seen poison_known_age)
	KNOWN_MS=$((${EPOCHREALTIME/./} / 1000 - AGE))
	sleep "$((LOST_MS / 1000 + SECONDS_EACH))"
	: >"$DIR/stop"
	wait $pids
}

# begun FROM TO: "BEGUN ALL" of the sound requests sent then.
begun() {
	cat "$DIR"/sound-* | awk -v from="$1" -v to="$2" \
		'$1 >= from && $1 < to { n++; begun += $3 > 0 }
		END { print begun + 0, n + 0 }'
}

torn() { cat "$DIR"/sound-* | awk '$2 == "200:0" && $3 != 20'; }

front() { address "$1" callers >"$DIR/front-$1"; }

# begins_half_as_often CALM LATER: "BEGUN ALL" each.
begins_half_as_often() {
	local calm=($1) later=($2)
	[ "${later[1]}" -ge 20 ] &&
		[ $((2 * later[0] * calm[1])) -ge $((calm[0] * later[1])) ]
}

# case_of NAME POISON [BESIDE]: POISON: queries of the parts BAD and WORSE.
case_of() {
	local calm later late
	case " $CASES " in *" $1 "*) ;; *) return ;; esac
	CASE=$1 BESIDE=$3
	# Entries still quarantine the parts of earlier cases.
	NR_CASE=$((NR_CASE + 1))
	BAD=bad$NR_CASE WORSE=e$NR_CASE
	POISON=${2//BAD/$BAD} POISON=${POISON//WORSE/$WORSE}
	rm -f "$DIR"/sound-* "$DIR/poisoned"
	with_callers sound "$CALLERS_EACH" while_poisoned
	calm=$(begun 0 "$CALM_MS")
	later=$(begun $((KNOWN_MS + LOST_MS)) $((KNOWN_MS + 600000)))
	late=$(seen poison_late)
	echo "$CASE: $(seen poison_sends) sends with the part," \
		"$(seen poison_crashes) crashes, $late sends late;" \
		"sound ones begun: $calm, later $later;" \
		"$(cat "$DIR"/sound-* | grep -c ' 200:0 20 ') whole," \
		"$(torn | wc -l) torn"
	expect "$CASE: requests with the part are not sent once five endpoints crashed" \
		[ "$late" -le $MAX_LATE ]
	expect "$CASE: sound requests begin as before" \
		begins_half_as_often "$calm" "$later"
	expect "$CASE: no stream that is cut short is passed on as whole" \
		[ -z "$(torn)" ]
	platform_test antidote >/dev/null
	sleep 3
}

# Endpoints crash by themselves beside it, one each second.
crash_some() {
	local id
	while [ ! -e "$DIR/stop" ]; do
		id=$((RANDOM % $(platform_test seen | grep -c '^i-') + 1))
		[ "$(platform_test seen | grep -c "^i-$id llm ")" = 1 ] &&
			platform_test "end?id=i-$id&ms=0" >/dev/null &&
			platform_test "start?service=llm&version=v1&n=1" >/dev/null
		sleep 1
	done
}

# Entries are killed in turn, also around the fifth crash.
kill_entries() {
	local n
	for n in 1 2 3 4; do
		kill -9 "$(pid_of "edge-$n")"
		platform_test "excuse?entry=$n" >/dev/null
		sleep 0.3
		start_edge "$n" false
		platform_test "excuse?entry=$n" >/dev/null
		front "$n"
	done
}

# Two entries have no way to endpoints but through others.
cut_some() {
	cut_off reset 1 2
	while [ ! -e "$DIR/stop" ]; do sleep 0.2; done
	cut_off pass 1 2
}

# Endpoints leave, and what runs there is moved, also when it has the part.
drain_some() {
	local id n=0
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		id=$(platform_test seen | sed -n 's/^\(i-[0-9]*\) llm .*/\1/p' |
			tail -$((EDGE_SERVICES_EACH - n % 6)) | head -1)
		platform_test "drain?id=$id" >/dev/null
		platform_test "end?id=$id&ms=2500" >/dev/null
		platform_test "start?service=llm&version=v1&n=1" >/dev/null
		sleep 0.7
	done
}

start_versions() { platform_test 'start?service=llm&version=v2&n=6' >/dev/null; }

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere begins
for N in $(seq 1 "$EDGES"); do front "$N"; done
# Endpoints that crashed are back after some seconds.
platform_test 'again?ms=3000' >/dev/null

case_of reset 'part=BAD&events=0&reset=1'
case_of within 'part=BAD&events=2&within=1'
# A crash between two events looks like the end of the answer.
platform_test 'unframed?n=1' >/dev/null
case_of unframed 'part=BAD&events=2'
# whole I: the answer to attempt whole-I of a plain service.
whole() {
	is "$(request $(($1 % EDGES + 1)) "whole-$1" "$2")" 200 &&
		grep -q "ran whole-$1 for one$" "$DIR/body"
}
# Guards against the beginning of a plain answer that is passed on as all of it.
case " $CASES " in *" torn "*)
	WHOLE=0
	for I in $(seq 1 12); do
		whole "$I" /l/x && WHOLE=$((WHOLE + 1))
		whole "$I" /u/x && WHOLE=$((WHOLE + 1))
	done
	expect "torn: answers without framing are passed on" is $WHOLE 24
	for I in 1 2 3 4 5 6; do
		echo "$(request "$I" "torn-$I" /l/x -d "torn $I")"
		echo "$(request "$I" "once-$I" /u/x -d "torn once $I")"
	done >"$DIR/statuses"
	expect "torn: one that is cut short by a crash is not" \
		is "$(grep -c 200 "$DIR/statuses")" 0
	sleep 3 ;;
esac
# Guards against an answer that ends as its relay is killed, and is taken for whole.
relays() {
	grep -h '"event":"send"' "$DIR/edge-1.out" | grep '"id":"e1-relay-' |
		sed -n 's/.*"relay":"edge-\([0-9]*\)".*/\1/p' | sort -u
}
case " $CASES " in *" relay "*)
	rm -f "$DIR"/sound-*
	platform_test 'gap?ms=250' >/dev/null
	cut_off refuse 1
	sleep 1
	for I in $(seq 1 8); do
		send 1 "relay-$I" "f$I:100,r$I:9" >"$DIR/sound-$I" &
	done
	# The entry reaches endpoints again, while the streams still come by the relay.
	sleep 0.5
	cut_off pass 1
	sleep 2.5
	for N in $(relays); do kill -9 "$(pid_of "edge-$N")"; done
	sleep 2
	expect "relay: no stream that is cut short is passed on as whole" \
		[ -z "$(torn)" ]
	for N in $(relays); do start_edge "$N" false; front "$N"; done
	platform_test 'gap?ms=20' >/dev/null
	sleep 1
	wait_for everywhere begins ;;
esac
platform_test 'unframed?n=0' >/dev/null
case_of head 'part=BAD&events=-1&reset=1'
case_of first 'part=BAD&events=1'
case_of two 'part=BAD&events=0&reset=1 part=WORSE&events=3'
case_of both 'part=BAD&events=0 part=WORSE&events=0'
case_of crashes 'part=BAD&events=0&reset=1' crash_some
case_of killed 'part=BAD&events=0&reset=1'
case_of relayed 'part=BAD&events=0&reset=1' cut_some
case_of moved 'part=BAD&events=16&reset=1' drain_some
# digest: of the part, in the key of its record.
digest() {
	grep -h '"event":"request_suspect"' "$DIR"/edge-*.out |
		grep "\"part\":\"$BAD\"" | head -1 |
		sed 's/.*"feature":"\([0-9a-f]*\)".*/\1/'
}
has_digest() { [ -n "$(digest)" ]; }
# convicted N: entry N knows that the part crashes endpoints.
convicted() {
	grep -h '"event":"request_suspect"' "$DIR/edge-$1.out" |
		grep "\"feature\":\"$(digest)\"" |
		grep -q '"change":"convicted"'
}
llm_endpoints() {
	platform_test seen | sed -n 's/^\(i-[0-9]*\) llm .*/\1/p' |
		tail -$((EDGE_SERVICES_EACH + 8))
}
# Guards against a run whose part is convicted meanwhile, and which is moved off an
# endpoint that drains.
case " $CASES " in *" carried "*)
	BAD=bad99 CASE=carried
	platform_test 'gap?ms=400' >/dev/null
	for N in $(seq 1 "$EDGES"); do
		send "$N" "long-$N" "f$N:100,c$N:50,$BAD:70,l$N:9" >>"$DIR/long" &
	done
	sleep 0.5
	# Runs that began before stay sound in the stand-in.
	poisonous "part=$BAD&events=0&reset=1"
	poison_request 1
	wait_for has_digest
	curl -s -o /dev/null -d "{\"at_ms\":$(date +%s)000}" \
		"http://$PLATFORM/test/put?key=md/fatal/$(digest)"
	expect "carried: the part is convicted" wait_for everywhere convicted
	SENDS=$(seen poison_sends) RUN=$(llm_endpoints)
	platform_test "start?service=llm&version=v1&n=$EDGE_SERVICES_EACH" >/dev/null
	sleep 0.5
	for I in $RUN; do platform_test "drain?id=$I" >/dev/null; done
	sleep 2
	expect "carried: no run with the part is moved to another endpoint" \
		is "$(seen poison_sends)" "$SENDS"
	for I in $RUN; do platform_test "end?id=$I&ms=0" >/dev/null; done
	platform_test antidote >/dev/null
	platform_test 'gap?ms=20' >/dev/null
	sleep 3
	wait_for everywhere begins ;;
esac

# Callers that have all events of a stream continue it: such answers are complete
# without one. Guards against a part that they clear.
continue_after_end() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		send "$(any_entry)" "$CASE-over-$i" "$(poison_parts "o$i")" \
			-H 'Last-Event-Id: 20' >>"$DIR/over"
		sleep 0.1
	done
}
case_of ended 'part=BAD&events=0&reset=1' continue_after_end

# They come back under the same id, at the same address, born later.
platform_test 'again?ms=3000&how=2' >/dev/null
case_of again 'part=BAD&events=0&reset=1'
case_of versions 'part=BAD&events=1&reset=1' start_versions
# Guards against a way to endpoints that does not ask whether a request may be sent.
quarantined_sends() {
	local n
	for n in $(seq 1 "$EDGES"); do
		curl -s "http://$(address "$n" peers)/metrics"
	done | awk '/^marldock_sends_quarantined_total/ { n++; sent += $2 }
		END { print n + 0, sent + 0 }'
}
expect "no request is sent that is quarantined" \
	is "$(quarantined_sends)" "$EDGES 0"
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "parts_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
