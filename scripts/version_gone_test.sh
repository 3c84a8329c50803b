#!/bin/bash
# The version that an entry established leaves while the entry is suspended; real
# entries on a stand-in of the platform. Checks that requests are served, never times.
#
# Failure: an entry withheld the only version that was left, for good: the holder of
# the duties had started later, had never listed another version, and wrote no record.
# Usage: version_gone_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=2
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
VERSION_1="i-1 i-3 i-5"

version_2_begins() {
	begins "$1" && grep -q ' of v2$' "$DIR/body"
}

listed() { grep -q "\"event\":\"endpoint\".*\"endpoint\":\"$2\"" "$DIR/edge-$1.out"; }

start platform "$BIN/standin-platform" --endpoints "$EDGE_SERVICES_EACH"
PLATFORM=$(ready platform) || exit 1
put_document 2 '"k1"'
start_edge 1 || exit 1
expect "entry 1 serves the first version" wait_for begins 1
# Suspended before it decides about the second version, which it lists.
platform_test "start?service=llm&version=v2&n=3" >/dev/null
expect "entry 1 lists the second version" wait_for listed 1 i-7
kill -STOP "$(pid_of edge-1)"
for id in $VERSION_1; do platform_test "unlist?id=$id" >/dev/null; done
start_edge 2 false || exit 1
expect "entry 2 serves the second version" wait_for version_2_begins 2
is_holder_2() { is "$(holder)" 2; }
expect "entry 2 holds the duties" wait_for is_holder_2
kill -CONT "$(pid_of edge-1)"
expect "entry 1 serves the second version" wait_for version_2_begins 1

echo "version_gone_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
