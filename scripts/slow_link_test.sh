#!/bin/bash
# A large configuration on a slow way to the store, as real processes on a
# stand-in of the platform. Order and counts are asserted, never times.
#
# Symptom: work reached endpoints for over three seconds after they had said
# that they leave; the versions sent meanwhile were in force late.
# Sequence: operators send a version of a megabyte while endpoints are replaced.
# Entries on links of 10 Mbit/s read it for a second and more; what the
# endpoints said in that time they learned with its last byte. A read that
# lasted 0.9 s was given up and begun anew, on the same link.
# Cause: one answer of the store brought all keys, so what is urgent and small
# waited behind what is large; and the bound on a call was on the whole answer,
# not on the store's silence. The record proved it: the late entries, and only
# those on slow links, log the leaving and the version out of one answer.
cd "$(dirname "$0")/.." || exit 1
EDGES=${EDGES:-6}
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

LINK=${LINK:-200000}   # bytes a second, of the store's answers in all
ROUTES=${ROUTES:-1600}
LEAVING=i-4

# line_of N PATTERN: number of the first such line of entry N's log.
line_of() {
	grep -n "$2" "$DIR/edge-$1.out" | head -1 | cut -d: -f1
}

leaving_known() {
	grep -q "\"endpoint\":\"$LEAVING\",\"change\":\"draining\"" "$DIR/edge-$1.out"
}

read_begun() { [ "$(seen config_told)" -gt "$1" ]; }

# known_first N: the leaving was learned before the version was in force.
known_first() {
	local leaving version
	leaving=$(line_of "$1" "\"endpoint\":\"$LEAVING\",\"change\":\"draining\"")
	version=$(line_of "$1" '"event":"config_in_force","config":3,')
	[ -n "$leaving" ] && [ -n "$version" ] && [ "$leaving" -lt "$version" ]
}

start_edges || exit 1
put_document 2 '"k1"'
expect "a small version is in force" wait_for everywhere in_force 2
TOLD=$(seen config_told)

platform_test "link?bytes=$LINK" >/dev/null
put_document 3 '"k1"' "$(many_routes "$ROUTES")"
wait_for read_begun "$TOLD"
platform_test "drain?id=$LEAVING" >/dev/null
expect "the leaving is known everywhere" wait_for everywhere leaving_known
expect "the large version is in force everywhere" wait_for everywhere in_force 3
expect "a leaving is learned while a large version is read" \
	everywhere known_first
expect "a large version is read once, or twice, by each entry" \
	[ "$(seen config_told)" -le $((TOLD + 2 * EDGES)) ]
platform_test 'link?bytes=0' >/dev/null

BEFORE=$(seen to_leaving)
for i in $(seq 1 20); do
	request $((i % EDGES + 1)) "leave-$i" /u/x
done >/dev/null
expect "and the endpoint gets no new work" is "$(seen to_leaving)" "$BEFORE"

echo "slow_link_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
