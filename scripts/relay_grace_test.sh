#!/bin/bash
# The planned stop of an entry through which another one, cut off from all endpoints,
# reaches them; real entries on a stand-in of the platform. Checks counts, never times.
#
# Failure: a request was sent through the former relay, on a connection that had been in
# use as the relay changed, and cut off as that relay ended; and whole answers without
# framing that came through the relay while it left were taken for cut off, since the
# way to their endpoints had become another one.
# Usage: relay_grace_test.sh
cd "$(dirname "$0")/.." || exit 1
EDGES=3
CUTTABLE=1
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/stop_cluster.sh
trap cluster_stop EXIT

# caller ID PATH: notes ID PATH RESULT, which is whole, refused or cut.
caller() {
	local status result=cut
	status=$(curl -s -m 14 -o "$DIR/body-$1" -w '%{http_code}' \
		-H 'Host: t.example' -H "Attempt-Id: $1" -H 'Deadline-Ms: 12000' \
		-H 'Authorization: Bearer k1' -d hello \
		"http://$(address 1 callers)$2"):$?
	case $status in
	200:0) result=whole ;;
	503:0) result=refused ;;
	esac
	[ "$2" = /o/x ] && [ $result = whole ] &&
		[ "$(grep -c '^id: ' "$DIR/body-$1")" != 20 ] && result=cut
	echo "$1 $2 $result" >>"$DIR/told"
}

# relay_of ID: of the last send of the request.
relay_of() {
	grep '"event":"send"' "$DIR/edge-1.out" | grep "\"id\":\"$1\"" |
		sed -n 's/.*"relay":"edge-\([0-9]*\)".*/\1/p' | tail -1
}

# relays: of the streams begun before, one a line.
relays() {
	local k
	for k in 1 2 3 4 5 6; do relay_of "$CASE-before-$k"; done
}

has_relay() { [ -n "$(relays)" ]; }

# play CASE: the relay of most streams gets SIGTERM while they come.
play() {
	local k pids=
	CASE=$1
	cut_off refuse 1
	for k in 1 2 3 4 5 6; do
		caller "$CASE-before-$k" /o/x &
		pids="$pids $!"
	done
	expect "$CASE: streams come through a relay" wait_for has_relay
	sleep 0.3
	RELAY=$(relays | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }')
	stop_entry "$RELAY" 0 0 &
	pids="$pids $!"
	for k in $(seq 1 20); do
		caller "$CASE-call-$k" /u/x &
		pids="$pids $!"
		[ $((k % 4)) != 0 ] || { caller "$CASE-then-$k" /o/x & pids="$pids $!"; }
		sleep 0.3
	done
	wait $pids
	echo "$CASE: $(grep -c "^$CASE-" "$DIR/told") requests," \
		"$(grep "^$CASE-" "$DIR/told" | grep -c ' whole$') whole," \
		"$(grep "^$CASE-" "$DIR/told" | grep -c ' refused$') refused," \
		"$(grep "^$CASE-" "$DIR/told" | grep -c ' cut$') cut; of those" \
		"that came through the relay $(cut_by_relay | wc -l)"
	start_edge "$RELAY" false
	cut_off pass 1
}

# cut_by_relay: the requests that were cut though their relay was only leaving.
cut_by_relay() {
	local id
	for id in $(grep "^$CASE-.* cut$" "$DIR/told" | cut -d' ' -f1); do
		is "$(relay_of "$id")" "$RELAY" && echo "$id"
	done
}

none_cut() { ! grep -q "^$1.* cut$" "$DIR/told"; }

start_edges || exit 1
put_document 2 '"k1"'
expect "all entries serve" wait_for everywhere begins
for i in 1 3 5; do platform_test "pace?id=i-$i&first=200&gap=200" >/dev/null; done
play framed
expect "framed: what a leaving relay passes on is whole" none_cut framed-
sleep 2
expect "all entries serve again" wait_for everywhere begins
platform_test "unframed?n=1" >/dev/null
play unframed
expect "unframed: what a leaving relay passes on is whole" [ -z "$(cut_by_relay)" ]
expect "unframed: requests after its signal are whole" \
	none_cut 'unframed-\(call\|then\)-'

echo "relay_grace_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
