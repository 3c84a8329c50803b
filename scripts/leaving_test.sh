#!/bin/bash
# Endpoints that state in their answers that they are shutting down, with real
# entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: while the store was away, endpoints got requests for ten seconds
# after their answers had stated that they leave.
# Usage: leaving_test.sh [SECONDS] (of load in each case; default 6)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/edge_load.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-6}

leaving() { platform_test "leaving?id=$1" >/dev/null; }

# leaves ID: the endpoint states that it leaves; its list entry does not.
leaves() {
	leaving "$1"
	sleep "$SECONDS_EACH"
	expect "an endpoint that states its leaving gets no more requests" \
		unchanged to_stated_leaving
}

store_is_back() {
	is "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$PLATFORM/v1/kv-range?prefix=md/")" 200
}

# Keys stay confirmed for the whole outage.
leaves_while_the_store_is_away() {
	platform_test 'down?ms=3500' >/dev/null
	leaves "$1"
	wait_for store_is_back
}

# The list entry lapses, and an older copy of it returns.
leaves_and_is_listed_again() {
	leaving "$1"
	sleep 3
	platform_test "unlist?id=$1" >/dev/null
	sleep 1
	platform_test "relist?id=$1" >/dev/null
	sleep "$SECONDS_EACH"
	expect "an older list entry does not undo a stated leaving" \
		unchanged to_stated_leaving
}

all_leave() {
	each_app leaving
	sleep "$SECONDS_EACH"
	expect "no leaving endpoint of a service gets more requests" \
		unchanged to_stated_leaving
}

EDGE_SERVICES_EACH=4
start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves

load /l/x leaves i-2
expect "other endpoints serve what a leaving one does not" \
	is "$(others_than 200)" 0
load /s/x leaves_while_the_store_is_away i-1
expect "other endpoints serve the streams that a leaving one does not" \
	is "$(others_than 200)" 0
load /l/x leaves_and_is_listed_again i-4
expect "no request fails as an endpoint leaves and is listed again" \
	is "$(others_than 200)" 0
load /u/x all_leave
expect "without endpoints requests are refused, and none fails" \
	is "$(others_than '200\|503')" 0
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "leaving_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
