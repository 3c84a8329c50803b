#!/bin/bash
# Calls that may not be repeated, and whatever else is under way late in the grace
# period of an entry; real entries on a stand-in of the platform, each stopped while
# its callers keep their connections. Checks counts, never times.
#
# Failure: requests that came late in the grace period were passed on to endpoints
# that needed longer than the process had left, and ended without a known outcome;
# requests that were behind an answer or still being read ended without any.
# Usage: late_grace_test.sh
cd "$(dirname "$0")/.." || exit 1
CASES=(unlearned slower pieces starting behind)
EDGES=${#CASES[@]}
. scripts/cluster.sh
. scripts/edge_cluster.sh
. scripts/stop_cluster.sh
trap cluster_stop EXIT

# head_of ID PATH HEADER: of a request, for printf %b.
head_of() {
	printf 'POST %s HTTP/1.1\\r\\nHost: t.example\\r\\nAttempt-Id: %s\\r\\nDeadline-Ms: 12000\\r\\nAuthorization: Bearer k1\\r\\n%s\\r\\n\\r\\n' \
		"$2" "$1" "$3"
}

# call ID PATH: a whole request, for printf %b.
call() { echo "$(head_of "$1" "$2" 'Content-Length: 5')hello"; }

# say N ID [AT BYTES]...: opens a connection to entry N and sends these bytes at these
# times after its signal; AT -: before it. Notes ID SENT, the time of the last of them.
say() {
	local n=$1 id=$2 address at sent=-1
	shift 2
	trap '' PIPE # the entry may have closed the connection
	address=$(address "$n" callers)
	exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return
	timeout 12 cat <&3 >"$DIR/answers-$id" 2>/dev/null &
	SIGNAL_MS=
	while [ $# -gt 0 ]; do
		at=$1
		if [ "$at" != - ]; then
			while [ ! -e "$DIR/signal-$n" ]; do sleep 0.1; done
			read -r SIGNAL_MS <"$DIR/signal-$n"
			sleep_until "$at"
			read_clock
			sent=$((NOW_MS - SIGNAL_MS))
		fi
		printf %b "$2" 2>/dev/null >&3
		shift 2
	done
	echo "$id $sent" >>"$DIR/sent-$n"
	wait $!
}

# learn N PATH: an entry gets some answers of a route at the endpoints' pace.
learn() {
	local k
	for k in 1 2 3 4 5; do
		request "$1" "learn-$1-$k" "$2" -d hello >/dev/null
	done
}

# statuses: ID STATUS of each answer.
statuses() {
	cat "$DIR"/answers-* | tr -d '\r' | awk '
		# A body before it may have no end of line.
		match($0, /HTTP\/1\.1 [2-5]/) { status = substr($0, RSTART + 9, 3) }
		/^Attempt-Id: / { print $2, status }'
}

# judge N: of the requests of entry N. LATE: sent 3 s after the signal, and ran.
judge() {
	local id sent status name=${CASES[$1 - 1]}
	SERVED=0 NONE=0 UNTRUE=0 REFUSED=0 UNKNOWN=0 LATE=0 RAN=0
	while read -r id sent; do
		status=$(grep "^$id " "$DIR/statuses" | cut -d' ' -f2)
		if grep -q "^$id " "$DIR/runs"; then
			RAN=$((RAN + 1))
			[ "$sent" -gt 3000 ] && LATE=$((LATE + 1))
			[ "$status" = 503 ] && UNTRUE=$((UNTRUE + 1))
		fi
		case ${status:-none} in
		200) SERVED=$((SERVED + 1)) ;;
		503) REFUSED=$((REFUSED + 1)) ;;
		none) NONE=$((NONE + 1)) ;;
		*) UNKNOWN=$((UNKNOWN + 1)) ;;
		esac
	done <"$DIR/sent-$1"
	echo "$name: $(wc -l <"$DIR/sent-$1") requests, $RAN ran, $SERVED served," \
		"$REFUSED refused, $UNKNOWN of unknown outcome, $NONE without an answer"
	expect "$name: each request that was read is answered" [ $NONE = 0 ]
	expect "$name: nothing refused as not run has run" [ $UNTRUE = 0 ]
	expect "$name: nothing sent 3 s after the signal is accepted" [ $LATE = 0 ]
}

# stop N: with a second signal in the middle of the grace period.
stop() {
	stop_entry "$1" 0 0 &
	sleep 3.2
	kill -TERM "$(pid_of "edge-$1")" 2>/dev/null
	wait
}

# Route NAME to endpoints of its own that may need longer than the grace period.
long_route() {
	printf ',{"name":"%s","host":"t.example","prefix":"/%s/","routeKind":"unsafe","timeoutMs":12000,"goalMs":300,"priority":2,"service":"%s","maxAttempts":1}' \
		"$1" "$1" "$1"
}

start_edges || exit 1
platform_test "start?service=unlearned&version=v1&n=2" >/dev/null
platform_test "start?service=slower&version=v1&n=2" >/dev/null
put_document 2 '"k1"' "$(long_route unlearned)$(long_route slower)" \
	'{"name":"unlearned","maxConns":100},{"name":"slower","maxConns":100},'
expect "all entries serve" wait_for everywhere begins
for i in 7 8; do platform_test "answer?id=i-$i&ms=9000" >/dev/null; done
for i in 9 10; do platform_test "answer?id=i-$i&ms=60" >/dev/null; done
# The stream behind which requests wait.
for i in 1 3 5; do platform_test "pace?id=i-$i&first=200&gap=260" >/dev/null; done
learn 2 /slower/x
for i in 9 10; do platform_test "answer?id=i-$i&ms=9000" >/dev/null; done

# Idle connections are kept for at least 2.5 s.
for at in $(seq 100 300 2300); do
	say 1 "unlearned-$at" "$at" "$(call "unlearned-$at" /unlearned/x)" &
	say 1 "short-$at" "$at" "$(call "short-$at" /u/x)" &
done
for at in 100 200 300; do
	say 2 "first-$at" "$at" "$(call "first-$at" /slower/x)" &
done
for at in 1700 1800 1900 2000 2100 2200; do
	say 2 "then-$at" "$at" "$(call "then-$at" /slower/x)" &
done
# Of each pair, the first answer has begun before the signal, and has announced no
# close of the connection.
for k in 1 2 3 4 5 6; do
	echo "behind-$k -1" >>"$DIR/sent-5"
	say 5 "stream-$k" - "$(call "stream-$k" /o/x)" \
		$((k * 200)) "$(call "behind-$k" /u/x)" &
done
for at in 1000 2000 3200 4000 6000 7000; do
	say 3 "chunked-$at" \
		- "$(head_of "chunked-$at" /u/x 'Transfer-Encoding: chunked')2\r\nhe\r\n" \
		$((at / 2)) '1\r\nl\r\n' "$at" '2\r\nlo\r\n0\r\n\r\n' &
	say 3 "length-$at" \
		- "$(head_of "length-$at" /u/x 'Content-Length: 5')he" "$at" llo &
done
sleep 1.5
# Not longer than the document gives a head.
for at in 300 1000 2000; do
	say 3 "head-$at" - 'POST /u/x HTTP/1.1\r\nHost: t.exa' \
		"$at" "$(call "head-$at" /u/x | sed 's/.*Host: t.exa//')" &
done
for n in 3 1 2 5; do sleep 0.2; stop "$n" & done

# Told to stop as soon as it listens, before it has read a document.
platform_test "down?ms=3000" >/dev/null
end_child "$(pid_of edge-4)"
start_edge 4 false
stop 4 &
for at in 50 300 900 1500 2000; do
	say 4 "starting-$at" "$at" "$(call "starting-$at" /u/x)" &
done
wait $(jobs -p | grep -vx "$(pid_of platform)")
platform_test runs >"$DIR/runs"
statuses >"$DIR/statuses"

judge 1
expect "unlearned: only what must end in time is passed on" [ $UNKNOWN = 0 ]
expect "unlearned: short calls are served" [ $SERVED -ge 6 ]
judge 2
expect "slower: no more calls to endpoints that fell silent" \
	[ "$(grep -c '^then-' "$DIR/runs")" = 0 ]
judge 3
expect "pieces: what was read soon enough is served" [ $SERVED -ge 4 ]
judge 4
judge 5

echo "late_grace_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
