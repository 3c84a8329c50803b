#!/bin/bash
# A randomized soak of the entry as real processes: entries reach the store
# and callers the entries through proxies that delay, hold and reset; entries
# are killed, frozen, stopped in order and started again; the store goes away;
# it comes back from an older copy; endpoints fail, break off and leave; large
# versions come while the way to the store is slow. Faults overlap. What callers and the stand-ins saw is checked
# against the promises.
#
# With STATEMENTS=1 endpoints also state limits, waits and their leaving in
# their answers, at any moment, alone and together.
# With CUTS=1 entries are also cut off from all endpoints, in each of the ways of
# tests/preload/cut.c, and services are brittle at times.
# With VERSIONS=1 endpoints of several software versions come and go, and callers
# continue streams that break off, at any entry. With odd seeds a version without an
# order is withheld at first.
# With POISON=1 parts of prompts crash endpoints, at any place of the answer, which
# has no framing at times; endpoints come back after a while, some under the same id.
# Usage: fault_soak.sh SECONDS SEED...
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
SECONDS_EACH=$1
shift
EDGES=${EDGES:-3}
CALLERS=${CALLERS:-4}
STATEMENTS=${STATEMENTS:-}
CUTS=${CUTS:-}
CUTTABLE=$CUTS
NR_FAULTS=11
[ -n "$CUTS" ] && NR_FAULTS=15
VERSIONS=${VERSIONS:-}
POISON=${POISON:-}
BASE=$DIR

# Each caller asks entry after entry, by way of the proxies, and notes what
# it was told: ID PATH STATUS EVENTS LAST. The id names the entry, for the
# stand-in.
caller() {
	local k=$1 n=0 id path at status to leave body parts ms
	RANDOM=$((SEED * 100 + k))
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		case $((RANDOM % 4)) in
		0) path=/l/x ;;
		1) path=/u/x ;;
		2) path=/s/x ;;
		3) path=/o/x ;;
		esac
		to=$((RANDOM % EDGES + 1))
		id=e$to-c$k-$n
		if [ -n "$VERSIONS" ] && [ "$path" != /u/x ]; then
			leave=8
			[ $((RANDOM % 2)) = 0 ] && leave=0.$((RANDOM % 3 + 2))
			stream "c$k-$n" 3 "$leave" any_entry
			continue
		fi
		at=$(cat "$DIR/front-$to" 2>/dev/null)
		body=hello parts=()
		# Or the same request is in all crashes.
		[ -n "$POISON" ] && body="hello $id" &&
			parts=(-H "Prefix-Hash: f1:100,a$((RANDOM % 12)):50,$k$n:9")
		ms=$((${EPOCHREALTIME/./} / 1000))
		status=$(curl -s -m 8 -o "$DIR/body-$k" -w '%{http_code}' \
			-H 'Host: t.example' -H "Attempt-Id: $id" \
			-H 'Deadline-Ms: 6000' -H 'Authorization: Bearer k1' \
			"${parts[@]}" -d "$body" "http://$at$path"; echo ":$?")
		printf '%s %s %s %s %s %s\n' "$id" "$path" "$status" \
			"$(grep -c '^id: ' "$DIR/body-$k" 2>/dev/null)" \
			"$(grep '^id: ' "$DIR/body-$k" 2>/dev/null | sort -u | wc -l)" \
			"$ms" >>"$DIR/told-$k"
		rm -f "$DIR/body-$k"
	done
}

# A version comes, and an endpoint of any version leaves or crashes.
change_version() {
	local e=i-$((RANDOM % $(platform_test seen | grep -c '^i-') + 1)) v=v$((RANDOM % 3 + 1))
	echo "version $v, and $e leaves"
	platform_test "start?service=llm&version=$v&n=1" >/dev/null
	[ "$(platform_test seen | grep -c "^$e llm ")" = 1 ] || return 0
	platform_test "drain?id=$e" >/dev/null
	platform_test "end?id=$e&ms=$((RANDOM % 2 * 2500))" >/dev/null
}

versions() {
	RANDOM=$((SEED * 100 + 98))
	while [ ! -e "$DIR/stop" ]; do
		change_version >>"$DIR/versions"
		sleep "0.$((RANDOM % 9 + 1))"
	done
}

# One more part that crashes endpoints, two at most, and how they answer.
poison_fault() {
	local n=$((RANDOM % 4))
	if [ $n = 0 ] && [ "$(wc -l <"$DIR/parts")" -lt 2 ]; then
		echo "bad$SEED$RANDOM" >>"$DIR/parts"
		echo "part $(tail -1 "$DIR/parts") crashes endpoints"
		platform_test "poison?part=$(tail -1 "$DIR/parts")&events=$((RANDOM % 6 - 1))&within=$((RANDOM % 2))&reset=$((RANDOM % 2))"
	fi
	[ $n = 1 ] && platform_test "unframed?n=$((RANDOM % 2))"
	[ $n = 2 ] && platform_test "again?ms=$((RANDOM % 2500 + 300))&how=$((RANDOM % 3))"
}

# Requests with one of these parts, at random places, or both; no two alike.
poisoned_request() {
	local part="$(shuf -n 1 "$DIR/parts"):70" list
	[ $((RANDOM % 5)) = 0 ] && part=$(sed 's/$/:70/' "$DIR/parts" | paste -sd,)
	list="f1:100,a$((RANDOM % 12)):50,$part"
	[ $((RANDOM % 3)) = 0 ] && list="$part,f1:100"
	[ $((RANDOM % 3)) = 0 ] && list="f1:100,$part,a$((RANDOM % 12)):50"
	curl -s -m 4 -o /dev/null -H 'Host: t.example' \
		-H "Attempt-Id: e$1-p$2" -H 'Deadline-Ms: 3000' \
		-H 'Authorization: Bearer k1' -H "Prefix-Hash: $list,p$2:9" \
		-d "poison $2" "http://$(cat "$DIR/front-$1")/s/x"
}

poison() {
	local n=0
	RANDOM=$((SEED * 100 + 97))
	: >"$DIR/parts"
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		[ -e "$DIR/calm" ] || poison_fault >>"$DIR/poisons"
		[ -s "$DIR/parts" ] &&
			{ poisoned_request $((RANDOM % EDGES + 1)) "$n" & }
		sleep 0.2
	done
	wait
}

# Some seconds without other faults.
calm() {
	: >"$DIR/calm"
	sleep 6
	CALM_MS=$((${EPOCHREALTIME/./} / 1000))
	sleep 4
}

# begins_again: sound streams begin as long as some parts crash endpoints.
begins_again() {
	awk -v from="$CALM_MS" '$6 >= from && $2 ~ /[so]\/x/ { n++; begun += $4 > 0 }
		END { print "begun", begun + 0, "of", n + 0; exit 2 * begun < n }' \
		"$DIR/told"
}

# front N: callers reach entry N by this proxy, also after its next start.
front() {
	FRONT_OF[$1]=front-$1-$(date +%s%N)
	proxy "${FRONT_OF[$1]}" "$(address "$1" callers)"
	echo "$PROXY" >"$DIR/front-$1"
}

again() {
	PLATFORM=${STORE_OF[$1]} start_edge "$1" false
	front "$1"
}

# excuse N: what endpoints stated to entry N does not bind it: it was restarted
# or frozen.
excuse() { platform_test "excuse?entry=$1" >/dev/null; }

thaw() { kill -CONT "$2"; excuse "$1"; }

# for_a_while SECONDS COMMAND...: ends what was begun, in the background, so
# that faults overlap.
for_a_while() {
	local wait=$1
	shift
	{ sleep "$wait"; "$@"; } >/dev/null 2>&1 &
}

cut_for() {
	cut_off "$2" "$3"
	excuse "$3"
	for_a_while "$1" heal_cut "$3"
}

heal_cut() { cut_off pass "$1"; excuse "$1"; }

next_version() {
	VERSION=$((VERSION + 2))
	put_document $VERSION '"k1","k2"' "$1"
}

# The newest version is the last one that came into force at entry N.
newest_in_force() {
	is "$(grep -o '"event":"config_in_force","config":[0-9]*' \
		"$DIR/edge-$1.out" | tail -1 | sed 's/.*://')" "$VERSION"
}

# One fault.
fault() {
	local n=$((RANDOM % EDGES + 1)) e=$((RANDOM % 6 + 1)) pid
	local modes=(delay up down silent reset)
	local m=${modes[$((RANDOM % 5))]}
	pid=$(pid_of "edge-$n")
	case $((RANDOM % NR_FAULTS)) in
	0) echo "kill edge-$n"; kill -9 "$pid"; excuse "$n"; sleep 0.3; again "$n" ;;
	1) echo "stop edge-$n, and kill it while it leaves"; kill -TERM "$pid"
		sleep 1.5; end_child "$pid"; excuse "$n"; sleep 0.3; again "$n" ;;
	2) echo "freeze edge-$n"; kill -STOP "$pid"; excuse "$n"
		for_a_while 2 thaw "$n" "$pid" ;;
	3) echo "store $m edge-$n"; mode "store-$n" "$m"
		for_a_while 1.5 mode "store-$n" pass ;;
	4) echo "front $m edge-$n"; mode "${FRONT_OF[$n]}" "$m"
		for_a_while 1 mode "${FRONT_OF[$n]}" pass ;;
	5) echo "store down"; platform_test 'down?ms=1500' >/dev/null ;;
	6) echo "fail i-$e"; platform_test "fail?id=i-$e" >/dev/null
		for_a_while 1 platform_test "heal?id=i-$e" ;;
	7) echo "break i-$e"; platform_test "break?id=i-$e" >/dev/null
		for_a_while 1 platform_test "heal?id=i-$e" ;;
	8) echo "forget history"; platform_test forget >/dev/null
		next_version ;;
	9) echo "large version on a slow link"
		platform_test 'link?bytes=200000' >/dev/null
		next_version "$(many_routes 800)"
		for_a_while 3 platform_test 'link?bytes=0' ;;
	10) echo "the store comes back from an older copy"
		platform_test copy >/dev/null
		for_a_while "0.$((RANDOM % 9))" platform_test "return?ms=$((RANDOM % 800))" ;;
	11) echo "cut off edge-$n: hang"; cut_for 1.7 hang "$n" ;;
	12) echo "cut off edge-$n: reset"; cut_for 1.7 reset "$n" ;;
	13) echo "cut off edge-$n: refuse"; cut_for 2.5 refuse "$n" ;;
	14) echo "brittle llm"
		platform_test "brittle?service=llm&n=$((RANDOM % 4))&room=8" >/dev/null
		for_a_while 4 platform_test "brittle?service=llm&n=-1" ;;
	esac
}

# One statement of an endpoint, which overlaps with the next ones. The service
# gets another endpoint in place of one that leaves.
statement() {
	local e=i-$((RANDOM % 6 + 1)) service=llm
	[ $((${e#i-} % 2)) = 0 ] && service=app
	case $((RANDOM % 7)) in
	0 | 1 | 2) echo "$e limits"
		platform_test "limit?id=$e&per_s=$((RANDOM % 3 + 1))"
		for_a_while $((RANDOM % 8 + 2)) platform_test "limit?id=$e&per_s=0" ;;
	3 | 4 | 5) echo "$e waits"
		platform_test "wait?id=$e&ms=$((RANDOM % 3000 + 500))"
		for_a_while $((RANDOM % 3 + 1)) platform_test "wait?id=$e&ms=0" ;;
	6) echo "$e leaves"
		platform_test "leaving?id=$e"
		platform_test "start?service=$service&version=v1&n=1" ;;
	esac
}

statements() {
	RANDOM=$((SEED * 100 + 99))
	while [ ! -e "$DIR/stop" ]; do
		statement >>"$DIR/statements"
		sleep "0.$((RANDOM % 9 + 1))"
	done
}

# Promises, from what callers were told and the endpoints ran.
check() {
	local told=$DIR/told
	cat "$DIR"/told-* >"$told"
	platform_test runs >"$DIR/runs"
	expect "$SEED: every start of an entry succeeded" \
		[ -z "$(cat "$DIR"/edge-*.log)" ]
	expect "$SEED: something was served" \
		[ "$(cat "$told" "$DIR"/tries-* 2>/dev/null |
			grep -c ' 200:0 ')" -gt 10 ]
	expect "$SEED: nothing ran twice that may run once" \
		[ "$(seen once_twice)" = 0 ]
	expect "$SEED: no fence went back" [ "$(seen wrong_fence)" = 0 ]
	expect "$SEED: no window was reported in two ways" \
		[ "$(seen usage_twice)" = 0 ]
	awk '$2 ~ /[so]/ && $2 != "/l/x" && $2 != "/u/x" && $3 == "200:0" &&
		($4 != 20 || $5 != 20)' "$told" >"$DIR/torn"
	expect "$SEED: streams that ended are whole and in order" \
		[ ! -s "$DIR/torn" ]
	awk 'NR == FNR { ran[$1] = 1; next }
		($3 ~ /^(503|429|408|421):/) && ($1 in ran)' \
		"$DIR/runs" <(grep -E ' /[uo]/x ' "$told") >"$DIR/false"
	expect "$SEED: told not run, and not run" [ ! -s "$DIR/false" ]
	expect "$SEED: the newest version is in force everywhere" \
		everywhere newest_in_force
	expect "$SEED: no endpoint got more than its limit" \
		[ "$(seen over_limit)" = 0 ]
	expect "$SEED: no endpoint that stated its leaving got requests" \
		[ "$(seen to_stated_leaving)" = 0 ]
	expect "$SEED: no endpoint got requests in its wait" \
		[ "$(seen in_wait)" = 0 ]
	expect "$SEED: brittle endpoints stay up" \
		[ "$(seen fell)" -le $((2 * $(grep -c brittle "$DIR/faults"))) ]
	if [ -n "$VERSIONS" ]; then
		expect "$SEED: a stream goes on only at the version that began it" \
			[ -z "$(versions_mixed)" ]
		expect "$SEED: no piece of a stream is missing or comes twice" \
			[ -z "$(pieces_wrong)" ]
		echo "seed $SEED: begun $(went_on new again), continued $(went_on continued)"
	fi
	if [ -n "$POISON" ]; then
		expect "$SEED: requests with a part that crashes endpoints are not sent" \
			[ "$(seen poison_late)" -le 3 ]
		expect "$SEED: sound requests begin" begins_again
		echo "seed $SEED: $(seen poison_sends) sends with such a part," \
			"$(seen poison_crashes) crashes, $(seen poison_late) late"
	fi
	expect "$SEED: no entry ended by itself" \
		[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]
}

soak() {
	local i end
	DIR=$BASE/$SEED
	mkdir "$DIR"
	VERSION=2
	STORE_OF=() FRONT_OF=()
	RANDOM=$SEED
	[ -n "$VERSIONS" ] && [ $((SEED % 2)) = 0 ] && EXPOSURE=0 || EXPOSURE=0.1
	start platform "$BIN/standin-platform" --endpoints ${POISON:+1}3 \
		--era 1 ${VERSIONS:+--gap 30}
	STORE=$(ready platform) || return 1
	for i in $(seq 1 $EDGES); do
		proxy "store-$i" "$STORE"
		PLATFORM=$PROXY
		start_edge "$i"
		STORE_OF[$i]=$PROXY
		front "$i"
	done
	PLATFORM=$STORE
	put_document $VERSION '"k1","k2"'
	for i in $(seq 1 $CALLERS); do
		caller "$i" &
		done
	[ -n "$STATEMENTS" ] && { statements & }
	[ -n "$VERSIONS" ] && { versions & }
	[ -n "$POISON" ] && { poison & }
	end=$((SECONDS + SECONDS_EACH))
	while [ $SECONDS -lt $end ]; do
		fault >>"$DIR/faults"
		sleep "0.$((RANDOM % 8))"
	done
	[ -n "$POISON" ] && calm
	: >"$DIR/stop"
	sleep 9
	check
	echo "seed $SEED: $(wc -l <"$DIR/faults") faults," \
		"$(wc -l <"$DIR/told") calls," \
		"$(grep -c ' 200:0 ' "$DIR/told") served"
	cluster_stop
}

declare -A STORE_OF FRONT_OF
for SEED in "$@"; do soak; done
echo "fault_soak: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
