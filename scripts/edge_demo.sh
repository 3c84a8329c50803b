#!/bin/bash
# Shows the entry on a stand-in of the platform: three entries, callers, an
# entry that leaves, one that is killed, an endpoint that breaks its streams,
# a new version of the configuration. Ends with a line of counts.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

start_edges 2>/dev/null || exit 1
put_document 2 '"k1"'
wait_for grep -q '"event":"config_in_force"' "$DIR/edge-3.out"
echo "three entries on a stand-in of the platform: $PLATFORM"

# calls N FROM TO: requests of all kinds to entry N, statuses to a file.
calls() {
	local i path
	for i in $(seq "$2" "$3"); do
		for path in /s/x /l/x /u/x; do
			request "$1" "demo-$1-$i-${path:1:1}" "$path" -d hello
			echo
		done
	done >>"$DIR/statuses-$1" 2>/dev/null
}

calls 1 1 15 &
A=$!
calls 2 1 5 &
B=$!
platform_test 'break?id=i-1' >/dev/null
echo "an endpoint breaks its streams in the middle of an event"
wait $B
echo "entry 2 ends by SIGTERM, entry 3 by SIGKILL"
kill -TERM "$(pid_of edge-2)"
kill -9 "$(pid_of edge-3)"
put_document 3 '"k1"' ',{"name":"more","host":"t.example","prefix":"/m/","routeKind":"safe","timeoutMs":1500,"service":"app","maxAttempts":2}'
wait $A
wait_for grep -q '"config":3' "$DIR/edge-1.out"
echo "a route of version 3 answers $(request 1 demo-more /m/x)"
cat "$DIR"/statuses-* >"$DIR/statuses"
echo "demo: requests $(wc -l <"$DIR/statuses"), answered $(grep -c 200 "$DIR/statuses")," \
	"resumed $(grep -h '"event":"send"' "$DIR"/edge-*.out | grep -vc '"resume_after":-1')," \
	"run twice that may run once $(seen once_twice)"
