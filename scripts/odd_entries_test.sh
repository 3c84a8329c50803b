#!/bin/bash
# Another program writes odd entries beside those of the endpoints and of the
# entries, with real entries on a stand-in of the platform. Checks counts, never
# times.
#
# Guards against entries that end, or that stop following the list, because of one
# entry in it: very deeply nested, with a number or a port out of range, huge, or no
# JSON; or because of an item of the store's answer that has no valid value.
# Usage: odd_entries_test.sh [SECONDS] (of load in each case; default 3)
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-4}
EDGE_SERVICES_EACH=4
PLATFORM_ARGS="--era 1"
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/edge_load.sh
trap cluster_stop EXIT
SECONDS_EACH=${1:-3}
ODD=$DIR/odd

# repeat TEXT N
repeat() { printf "%${2}s" | sed "s/ /$1/g"; }

NO_SERVICE=$(repeat a 150)

# put KEY: writes the value on standard input.
put() {
	curl -s -o /dev/null --data-binary @- "http://$PLATFORM/test/put?key=$1"
	echo "$1" >>"$ODD"
}

# put_odd_item KEY MEMBERS: an item with these members, in JSON, for its value.
put_odd_item() {
	curl -s -o /dev/null -d "$2" "http://$PLATFORM/test/odd?key=$1"
	echo "$1" >>"$ODD"
}

# entry [MEMBER]: an endpoint's entry; the last one of equal members counts.
entry() {
	printf '%s%s}' '{"service":"app","address":"127.0.0.1:9","zone":"north","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seqNo":1' "${1:+,$1}"
}

deep() { printf '%s1%s' "$(repeat "$1" "$3")" "$(repeat "$2" "$3")"; }

put_odd_entries() {
	local i=0 long
	long=$(repeat a 300000)
	while read -r member; do
		i=$((i + 1))
		entry "$member" | put "servers/odd-$i"
	done <<-END
		"slots":2147483648
		"slots":4294967296
		"slots":1000000000000000000000000000000
		"slots":-1
		"slots":1e400
		"slots":NaN
		"slots":[8]
		"address":"127.0.0.1:0"
		"address":"127.0.0.1:65536"
		"address":"127.0.0.1:-9"
		"address":"127.0.0.1:99999999999999999999"
		"address":"0.0.0.0:9"
		"address":"127.0.0.1:9\\u0000x"
		"address":{}
		"born":9223372036854775807
		"born":-9223372036854775808
		"state":"ready\\u0000x","slots":0
		"service":["app"]
		"zone":null
		"more":$(deep '[' ']' 100)
		"more":$(deep '{"a":' '}' 100)
	END
	deep '[' ']' 100000 | put servers/odd-deep-1
	deep '{"a":' '}' 100000 | put servers/odd-deep-2
	repeat '[' 100000 | put servers/odd-deep-3
	entry "\"service\":\"$long\"" | put servers/odd-long-1
	entry "\"zone\":\"$long\"" | put servers/odd-long-2
	entry "\"$long\":1,\"slots\":0" | put servers/odd-long-3
	printf '%s' "$long" | put servers/odd-long-4
	printf '"%s' "$long" | put servers/odd-long-5
	printf '' | put servers/odd-text-1
	printf 'no JSON' | put servers/odd-text-2
	printf '[1,2' | put servers/odd-text-3
	printf '\377\376\001' | put servers/odd-text-4
	printf '7' | put servers/odd-text-5
	printf 'null' | put servers/odd-text-6
	entry | put "servers/"
	entry | put "servers/$(repeat a 150)"
	put_odd_item servers/odd-item-1 '"value":7'
	put_odd_item servers/odd-item-2 '"value":null'
	put_odd_item servers/odd-item-3 '"value":"%%%"'
	put_odd_item servers/odd-item-4 '"value":"bm9"'
	put_odd_item servers/odd-item-5 '"other":1'
	put_odd_item servers/odd-item-6 '"value":{"a":["b"]}'
}

# The keys of the entries themselves.
put_odd_system_keys() {
	local key n=9223372036854775807
	for key in entry/odd fatal/odd fatal/00000000000000000000000000000001 \
		plan rollout/app rollout/odd usage/1; do
		deep '[' ']' 100000 | put "md/$key"
		printf '{"at_ms":%s,"era":%s,"service":"app","order":%s,"began_ms":%s,"changed_ms":%s,"within_ms":%s,"share":1e400,"callers":"1.2.3.4:0","peers":"1.2.3.4:99999","services":[{"name":"app","need":1e400}]}' \
			$n $n $n $n $n $n | put "md/$key"
		printf '[]' | put "md/$key"
		put_odd_item "md/$key" '"value":7'
		platform_test "delete?key=md/$key" >/dev/null
	done
	put_odd_item op/rollout/odd '"value":"%%%"'
	printf '{"target":"v9","withinS":1e400}' | put op/rollout/odd
	printf '{"target":"v9","withinS":20}' | put "op/rollout/$NO_SERVICE"
}

knows_endpoint() {
	grep -q "\"endpoint\":\"$2\",\"change\":\"$3\"" "$DIR/edge-$1.out"
}

runs() { kill -0 "$(pid_of "edge-$1")"; }

# names_all_odd N: entry N has logged each odd entry of an endpoint.
names_all_odd() {
	grep '"event":"store_value_unreadable"' "$DIR/edge-$1.out" |
		sed -n 's/.*"key":"\(servers[^"]*\)".*/\1/p' | sort -u >"$DIR/named"
	is "$(grep '^servers' "$ODD" | sort -u | comm -23 - "$DIR/named" | wc -l)" 0
}

# follows NEW FORMER...: an endpoint joins and the former ones drain. It gets all
# requests, and these no new ones.
follows() {
	local new=$1 before id
	shift
	platform_test add >/dev/null
	expect "all entries know $new, which joins" \
		wait_for everywhere knows_endpoint "$new" new
	for id in "$@"; do platform_test "drain?id=$id" >/dev/null; done
	for id in "$@"; do
		expect "all entries know that $id drains" \
			wait_for everywhere knows_endpoint "$id" draining
	done
	before=$(seen to_leaving)
	sleep "$SECONDS_EACH"
	expect "$new gets requests" reached_by "$new" "$EDGES"
	expect "endpoints that drain get none" is "$(seen to_leaving)" "$before"
}

odd_entries_arrive() {
	put_odd_entries
	put_odd_system_keys
	follows i-9 i-2 i-4 i-6 i-8
}

record_names_era() { stored_value md/era | grep -q '"era":1,'; }

# odd_era VALUE: in the place of the record of the store's era.
odd_era() {
	printf '%s' "$1" | put md/era
	expect "the record of the era is written again" wait_for record_names_era
}

odd_eras() {
	odd_era 'no JSON'
	odd_era '{"era":[],"at_ms":1e400}'
	# Begins after any time that is reached.
	printf '{"era":1,"at_ms":99999999999999}' | put md/era
}

entries_start_among_them() {
	platform_test "delete?key=op/rollout/$NO_SERVICE" >/dev/null
	odd_eras
	end_child "$(pid_of edge-1)"
	start_edge 1 false
	EDGES=$((EDGES + 1))
	start_edge "$EDGES" false
	expect "entries that start serve" wait_for everywhere serves
	load /l/x follows i-10 i-9
	expect "callers are served by them too" is "$(others_than 200)" 0
}

record_names_target() {
	stored_value md/rollout/app | grep -q '"target":"v2"'
}

# An odd record is there when a roll-out begins, and in its place afterwards.
rollout_among_them() {
	printf 'no JSON' | put md/rollout/app
	platform_test 'start?service=app&version=v2&n=2' >/dev/null
	curl -s -o /dev/null -d '{"service":"app","target":"v2","withinS":20}' \
		"http://$PLATFORM/test/put?key=op/rollout/app"
	expect "a roll-out begins" wait_for record_names_target
	printf '{"service":"app","target":"v3"}' | put md/rollout/app
	expect "its record is written again" wait_for record_names_target
}

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere serves
load /l/x odd_entries_arrive
expect "callers are served" is "$(others_than 200)" 0
expect "no entry has ended" everywhere runs
entries_start_among_them
rollout_among_them
expect "no entry has ended" everywhere runs
expect "the store counted as reachable" \
	[ -z "$(grep -l '"event":"store_away"' "$DIR"/edge-*.out)" ]
expect "all entries name the odd entries in their logs" everywhere names_all_odd
expect "no roll-out is ordered for a name that is cut" \
	[ -z "$(grep -h '"event":"rollout_ordered","service":"aaa' "$DIR"/edge-*.out)" ]
expect "no sanitizer or assertion spoke" \
	[ -z "$(grep -lE 'Sanitizer|runtime error|Assertion' "$DIR"/*.log)" ]

echo "  odd values written: $(wc -l <"$ODD")"
echo "odd_entries_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
