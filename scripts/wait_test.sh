#!/bin/bash
# Endpoints that refuse requests and state for how long they want no other one,
# with real entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: an endpoint refused a request and asked its sender for a wait of 3 s,
# and the sender went on sending it requests, all of which it refused.
# Usage: wait_test.sh [SECONDS] (of load in each case; default 7)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
LOADS=${LOADS:-2}
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/edge_load.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-7}

# wait_stated ID MS; 0: the endpoint refuses no requests any more.
wait_stated() { platform_test "wait?id=$1&ms=$2" >/dev/null; }

# asks_for_wait ID: the endpoint refuses all requests for a while.
asks_for_wait() {
	wait_stated "$1" 3000
	sleep "$SECONDS_EACH"
	expect "an endpoint that asked for a wait gets no requests in it" \
		unchanged in_wait
	wait_stated "$1" 0
	expect "after its wait an endpoint gets its part again" \
		wait_for reached_by "$1" $(($(reached "$1") + 20))
}

all_ask_for_wait() {
	each_app wait ms=3000
	sleep "$SECONDS_EACH"
	expect "no endpoint of a service gets requests in its wait" \
		unchanged in_wait
	each_app wait ms=0
}

# It is listed again meanwhile, as after an outage of the store.
asks_and_is_listed_again() {
	each_app wait ms=4000
	sleep 1
	each_app unlist
	sleep 0.3
	each_app relist
	sleep "$SECONDS_EACH"
	expect "a wait outlasts the endpoint's list entry" unchanged in_wait
	each_app wait ms=0
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves

load /l/x asks_for_wait i-2
expect "other endpoints serve what a waiting one does not" \
	is "$(others_than 200)" 0
load /s/x asks_for_wait i-3
expect "other endpoints serve the streams that a waiting one does not" \
	is "$(others_than 200)" 0
load /u/x all_ask_for_wait
expect "if all endpoints wait requests are refused, and none fails" \
	is "$(others_than '200\|503')" 0
expect "each refusal states when to return" \
	is "$(grep -c 503 "$DIR/statuses")" "$(wc -l <"$DIR/retries")"
load /l/x asks_and_is_listed_again
expect "no entry ended by itself" \
	[ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "wait_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
