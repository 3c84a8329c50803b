#!/bin/bash
# The store comes back from an older copy, as real processes on a stand-in of
# the platform. Order and counts are asserted, never times.
#
# Symptom: after the store had come back entries stood on what it had said
# before: endpoints written anew were not used, an entry that had just started
# served a version that was no longer in force, two holders acted under one
# generation number, a window was reported twice with other counts.
# Sequence: a copy is made; a version, an endpoint, entries, duties and reports
# come after it; the store is away for a moment and comes back from the copy.
# Revisions are given out again, and what operators and endpoints had written
# is written again a little later.
# Cause: "a higher revision is newer" and "what was acknowledged is kept". With
# the era in each comparison, and doubt for as long as it takes others to write
# again, none of it is seen; compared by revisions alone the generation number
# goes back in this test.
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-5}
EDGE_SERVICES_EACH=4
PLATFORM_ARGS="--era 1"
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

knows_endpoint() { grep -q "\"endpoint\":\"$2\",\"change\":\"$3\"" "$DIR/edge-$1.out"; }

era_known() {
	grep -q "\"event\":\"store_era\",.*\"era\":$2," "$DIR/edge-$1.out"
}

store_has_version() {
	curl -s "http://$PLATFORM/v1/kv-key?key=op/config" |
		sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d |
		grep -qE "\"version\": *$1\b"
}

registered_all() {
	is "$(platform_test keys | grep -c '^md/entry/')" "$EDGES"
}

holder_is_known() { platform_test keys | grep -q '^md/duty$'; }

reports_at_least() { [ "$(seen usage)" -ge "$1" ]; }

# never_back N: the versions in force at an entry only rise.
never_back() {
	grep -ho '"event":"config_in_force","config":[0-9]*' \
		"$DIR/edge-$1.out" | sed 's/.*://' >"$DIR/versions"
	sort -cn "$DIR/versions"
}

# beside: calls at entries that are not killed, until DIR/stop is there.
beside() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		curl -s -m 20 -o /dev/null -w '%{http_code}\n' \
			-H 'Host: t.example' -H "Attempt-Id: beside-$i" \
			-H 'Deadline-Ms: 1400' -H 'Authorization: Bearer k2' \
			"http://$(address $((i % 4 + 2)) callers)/l/$i"
		sleep 0.02
	done >>"$DIR/beside"
}

start_edges || exit 1
put_document 2 '"k1","k2"'
expect "a version is in force" wait_for everywhere in_force 2
beside &
expect "a holder reports" wait_for reports_at_least 1

platform_test copy >/dev/null
put_document 3 '"k2"'
expect "a key is taken away" wait_for everywhere in_force 3
platform_test add >/dev/null
ADDED=i-$((2 * EDGE_SERVICES_EACH + 1))
expect "an endpoint starts" wait_for everywhere knows_endpoint "$ADDED" new
platform_test 'drain?id=i-2' >/dev/null
expect "another one leaves" wait_for everywhere knows_endpoint i-2 draining
platform_test 'unlist?id=i-2' >/dev/null
expect "and is off the list" wait_for everywhere knows_endpoint i-2 gone
# The holder of the duties changes, and with it the generation.
kill -9 "$(pid_of edge-1)"
BEFORE=$(seen usage)
expect "another one holds the duties and reports" \
	wait_for reports_at_least $((BEFORE + 2))
start_edge 1 false
expect "all are registered" wait_for registered_all

BEFORE=$(seen to_leaving)
platform_test 'return?ms=400' >/dev/null
start_edge 6 false
expect "all know that the store came back from a copy" \
	wait_for everywhere era_known 2
expect "all are registered again" wait_for registered_all
expect "somebody holds the duties" wait_for holder_is_known
expect "the key that was taken away stays so" eval \
	'for n in 1 2 3 4 5; do KEY=k1 request $n "taken-$n" /l/x; echo; done |
		grep -v 401 | grep -v 503 | wc -l | grep -qx 0'
EDGES=6
expect "the newest version is in force everywhere" wait_for everywhere in_force 3
never() { ! in_force "$@"; }
expect "an entry that started meanwhile had no older one" never 6 2
KEY=k2
for i in $(seq 1 60); do request $((i % 5 + 1)) "again-$i" /u/x >/dev/null; done
expect "an endpoint that left gets no new work" is "$(seen to_leaving)" "$BEFORE"
for i in 4 6 8; do platform_test "drain?id=i-$i" >/dev/null; done
for i in 4 6 8; do wait_for everywhere knows_endpoint i-$i draining; done
expect "one that is listed again is used, alone" \
	is "$(request 2 alone-1 /u/x)" 200
expect "callers beside it were served" is "$(grep -vc '^200$' "$DIR/beside")" 0

# Twice more while all are at it. Nobody can say whether a key was taken away in
# what the store lost, so callers may be told to come back, and nothing else.
platform_test copy >/dev/null
sleep 0.5
platform_test 'return?ms=300' >/dev/null
sleep 0.6
platform_test 'return?ms=300' >/dev/null
expect "a second and a third return are known" wait_for everywhere era_known 4
expect "all are registered once more" wait_for registered_all
BEFORE=$(seen usage)
expect "and windows are reported on" wait_for reports_at_least $((BEFORE + 3))
put_document 5 '"k2","k5"'
expect "a next version is in force" wait_for everywhere in_force 5
# The second return comes before operators have written again.
platform_test copy >/dev/null
put_document 7 '"k2","k5"'
platform_test 'return?ms=0' >/dev/null
platform_test 'return?ms=0' >/dev/null
expect "a version lost twice is written again" wait_for store_has_version 7
expect "and in force" wait_for everywhere in_force 7
expect "versions never go back" everywhere never_back
expect "no generation went back" is "$(seen wrong_fence)" 0
expect "no window was reported in two ways" is "$(seen usage_twice)" 0
: >"$DIR/stop"
sleep 0.5
expect "callers were served, or told that they were not run" \
	is "$(grep -vcE '^(200|503)$' "$DIR/beside")" 0

echo "older_copy_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
