#!/bin/bash
# Clients that do not keep to the limits at the entry with the product's own interface:
# large bodies, all but the end, and then open. Checks that the process lives, that its
# memory stays below that of an instance, and that ordinary calls are answered. To be run
# without other load, and not with a sanitizer.
#
# Failure: each of the workers held a body, and the sum had no bound.
# Usage: entry_crowd_test.sh
cd "$(dirname "$0")/.." || exit 1
ENTRIES=1
# What an instance has, see docs/CAPACITY.md.
MEMORY_MB=256
BODY_BYTES=1048576
CLIENTS=300
. scripts/cluster.sh
trap cluster_stop EXIT

status() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@"; }

answered() {
	is "$(status "http://$ENTRY/healthz")" 200 &&
		is "$(status -H 'Authorization: Bearer nord-quay-key' \
			"http://$ENTRY/v1/entries")" 200
}

settled() { grep -q '^settled' "$DIR/crowd.out"; }

deployment kvotebors-nord
start_platform && start_entries &&
	$CTL apply "$DOCUMENT" --base 0 --wait >/dev/null || exit 1
expect "the entry serves" within_tries answered
start usage "$BIN/standin-usage" --pid "$(pid_of entry-1)" --port "${ENTRY##*:}"
start crowd "$BIN/standin-crowd" --address "$ENTRY" --form large_chunks \
	--connections "$CLIENTS" --bytes "$BODY_BYTES" --path /v1/x
expect "the crowd has sent what it can" wait_for settled
expect "ordinary calls are answered beside the crowd" within_tries answered
end_child "$(pid_of crowd)"
expect "ordinary calls are answered after the crowd" within_tries answered
kill -TERM "$(pid_of usage)"
wait "$(pid_of usage)"
echo "crowd $(tail -1 "$DIR/crowd.out"), entry $(tail -1 "$DIR/usage.out")"
memory_kb=$(sed -n 's/.*memory_kb \([0-9]*\).*/\1/p' "$DIR/usage.out")
expect "the entry lives" kill -0 "$(pid_of entry-1)"
expect "memory stays below that of an instance" \
	[ "${memory_kb:-$((MEMORY_MB * 1024))}" -lt $((MEMORY_MB * 1024)) ]

echo "entry_crowd_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
