#!/bin/bash
# The store is restored from an older copy, with real processes on a stand-in of
# the platform. Order and counts are asserted, never times.
#
# Guards against entries that rely on the store's state before a restore:
# endpoints written after it were not used, an entry that had just started
# served a version that was no longer in force, two holders acted under one
# generation number (the fencing token of the duties), and a usage window was
# reported twice with different counts.
#
# How it comes about: a copy is made; a version, an endpoint, entries, duties
# and reports are written after it; the store is down for a moment and is
# restored from the copy. Revisions are used again, and operators and endpoints
# write their changes again a little later. "A higher revision is newer" and "an
# acknowledged write is kept" then no longer hold. None of this happens if each
# comparison includes the store's era, and if the store's answers confirm
# nothing until operators and endpoints have had time to write again. If
# revisions alone are compared, the generation number goes back in this test.
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
	stored_value op/config | grep -qE "\"version\": *$1\b"
}

registered_all() {
	is "$(platform_test keys | grep -c '^md/entry/')" "$EDGES"
}

holder_is_known() { platform_test keys | grep -q '^md/duty$'; }

reports_at_least() { [ "$(seen usage)" -ge "$1" ]; }

# versions_rise N: the versions in force at entry N never decrease.
versions_rise() {
	grep -ho '"event":"config_in_force","config":[0-9]*' \
		"$DIR/edge-$1.out" | sed 's/.*://' >"$DIR/versions"
	sort -cn "$DIR/versions"
}

# background_load: sends requests to entries that are not killed, until DIR/stop
# exists, and writes their status codes to DIR/beside.
background_load() {
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
background_load &
expect "a duty holder reports usage" wait_for reports_at_least 1

platform_test copy >/dev/null
put_document 3 '"k2"'
expect "an API key is revoked" wait_for everywhere in_force 3
platform_test add >/dev/null
ADDED=i-$((2 * EDGE_SERVICES_EACH + 1))
expect "an endpoint starts" wait_for everywhere knows_endpoint "$ADDED" new
platform_test 'drain?id=i-2' >/dev/null
expect "another endpoint drains" wait_for everywhere knows_endpoint i-2 draining
platform_test 'unlist?id=i-2' >/dev/null
expect "and is unlisted" wait_for everywhere knows_endpoint i-2 gone
# The duty holder changes, and with it the generation number.
kill -9 "$(pid_of edge-1)"
BEFORE=$(seen usage)
expect "another entry becomes duty holder and reports" \
	wait_for reports_at_least $((BEFORE + 2))
start_edge 1 false
expect "all entries are registered" wait_for registered_all

BEFORE=$(seen to_leaving)
platform_test 'return?ms=400' >/dev/null
start_edge 6 false
expect "all entries know that the store was restored" \
	wait_for everywhere era_known 2
EDGES=6
expect "all entries are registered again" wait_for registered_all
expect "there is a duty holder" wait_for holder_is_known
expect "the revoked API key stays revoked" eval \
	'for n in 1 2 3 4 5; do KEY=k1 request $n "taken-$n" /l/x; echo; done |
		grep -v 401 | grep -v 503 | wc -l | grep -qx 0'
expect "the newest version is in force everywhere" wait_for everywhere in_force 3
never() { ! in_force "$@"; }
expect "an entry that started meanwhile had no older version" never 6 2
KEY=k2
for i in $(seq 1 60); do request $((i % 5 + 1)) "again-$i" /u/x >/dev/null; done
expect "a drained endpoint gets no new requests" is "$(seen to_leaving)" "$BEFORE"
for i in 4 6 8; do platform_test "drain?id=i-$i" >/dev/null; done
for i in 4 6 8; do wait_for everywhere knows_endpoint i-$i draining; done
expect "an endpoint that is listed again is used, alone" \
	is "$(request 2 alone-1 /u/x)" 200
expect "the background requests were served" is "$(grep -vc '^200$' "$DIR/beside")" 0

# Two more restores under load. An entry cannot know whether the store has lost
# the revocation of an API key, so requests may be refused with 503, but must
# not fail otherwise.
platform_test copy >/dev/null
sleep 0.5
platform_test 'return?ms=300' >/dev/null
sleep 0.6
platform_test 'return?ms=300' >/dev/null
expect "a second and a third restore are known" wait_for everywhere era_known 4
expect "all entries are registered once more" wait_for registered_all
BEFORE=$(seen usage)
expect "and further usage windows are reported" wait_for reports_at_least $((BEFORE + 3))
put_document 5 '"k2","k5"'
expect "the next version is in force" wait_for everywhere in_force 5
# The second restore comes before operators have written their changes again.
platform_test copy >/dev/null
put_document 7 '"k2","k5"'
platform_test 'return?ms=0' >/dev/null
platform_test 'return?ms=0' >/dev/null
expect "a version lost twice is written again" wait_for store_has_version 7
expect "and is in force" wait_for everywhere in_force 7
expect "versions never decrease" everywhere versions_rise

# Guards against duties under a key that ends with a lease that nobody renews. The
# copy's leases last, so that the key of before does not lapse at once.
platform_test copy >/dev/null
platform_test 'return?ms=300&leases=20000' >/dev/null
expect "a restore with lasting leases is known" wait_for everywhere era_known 7
BEFORE=$(seen usage)
expect "and usage windows are reported" wait_for reports_at_least $((BEFORE + 2))
# Guards against a holder that is frozen when the lease of the copy ends, under which
# it held the duties before, and that goes by a later lease when it wakes.
for ERA in 8 9; do
	platform_test copy >/dev/null
	sleep 1
	platform_test 'return?ms=200' >/dev/null
	expect "restore $ERA is known" wait_for everywhere era_known "$ERA"
	sleep 2.5
	FROZEN=$(pid_of "edge-$(holder)")
	BEFORE=$(seen usage)
	kill -STOP "$FROZEN"
	sleep 1.7
	kill -CONT "$FROZEN"
	expect "after restore $ERA usage windows are reported" \
		wait_for reports_at_least $((BEFORE + 2))
done
expect "no generation number decreased" is "$(seen wrong_fence)" 0
expect "each call was made under a key bound to its caller's lease" \
	is "$(seen not_bound)" 0
expect "no usage window was reported with two contents" is "$(seen usage_twice)" 0
: >"$DIR/stop"
sleep 0.5
expect "background requests were served, or refused as not run" \
	is "$(grep -vcE '^(200|503)$' "$DIR/beside")" 0

echo "older_copy_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
