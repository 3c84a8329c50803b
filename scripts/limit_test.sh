#!/bin/bash
# Request limits that endpoints state in their answers, with real entries on a
# stand-in of the platform. Checks counts, never times.
#
# Failure: an endpoint in need stated that it accepts one request per second,
# and the entries together went on sending it as many as before.
# Usage: limit_test.sh [SECONDS] (of load in each case; default 8)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/edge_load.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-8}

# within_limits: no endpoint got more than its limit in this case.
within_limits() { unchanged over_limit; }

limit() { platform_test "limit?id=$1&per_s=$2" >/dev/null; }

for_a_while() { sleep "$SECONDS_EACH"; }

# limited ID PER_S: the endpoint states a limit for a while. Leaves in REACHED
# the requests that it got after the first three seconds.
limited() {
	limit "$1" "$2"
	sleep 3
	REACHED=$(reached "$1")
	for_a_while
	REACHED=$(($(reached "$1") - REACHED))
}

# limit_ends ID: the endpoint states none any more, and gets its part again.
limit_ends() {
	limit "$1" 0
	expect "an endpoint without its limit gets its part again" \
		wait_for reached_by "$1" $(($(reached "$1") + 40))
}

one_limited() {
	limited "$1" 1
	expect "a limited endpoint gets no more than its limit" \
		within_limits
	expect "a limited endpoint is still used" at_least "$REACHED" 2
	limit_ends "$1"
}

# The endpoints' list entries lapse and return, and an entry is restarted.
limited_in_trouble() {
	local round
	each_app limit per_s=1
	sleep 3
	for round in 1 2 3; do
		each_app unlist
		sleep 0.$((RANDOM % 9 + 1))
		each_app relist
		sleep 1
	done
	end_child "$(pid_of edge-1)"
	start_edge 1 false
	for_a_while
	expect "a limit outlasts the endpoint's list entry" \
		within_limits
	each_app limit per_s=0
}

all_limited() {
	each_app limit per_s=2
	sleep 3
	for_a_while
	expect "no endpoint of a limited service gets more than its limit" \
		within_limits
	each_app limit per_s=0
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves

load /l/x one_limited i-2
expect "other endpoints serve what a limited one does not" \
	is "$(others_than 200)" 0
load /s/x one_limited i-3
expect "other endpoints serve the streams that a limited one does not" \
	is "$(others_than 200)" 0
load /l/x limited_in_trouble
load /u/x all_limited
expect "requests beyond the limits are refused, and none fails" \
	is "$(others_than '200\|503')" 0
expect "some requests are served within the limits" \
	at_least "$(grep -c 200 "$DIR/statuses")" $((SECONDS_EACH * 3))
expect "each refusal states when to return" \
	is "$(grep -c 503 "$DIR/statuses")" "$(wc -l <"$DIR/retries")"
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "limit_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
