#!/bin/bash
# End-to-end tests of entries as processes, on a stand-in of the platform that
# injects faults. The checks compare counts and states, never durations.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

# wait_for_status STATUS N ID PATH [CURL OPTION...]: repeats a request to entry N
# until it gets this status; 400 times at most.
wait_for_status() {
	local want=$1 n=$2 id=$3 path=$4 i
	shift 4
	for i in $(seq 1 400); do
		is "$(request "$n" "$id-$i" "$path" "$@")" "$want" && return 0
		sleep 0.05
	done
	return 1
}

# stream_complete: the last body has all 20 events, once each and in order.
stream_complete() {
	is "$(grep -c '^id: ' "$DIR/body")" 20 &&
		is "$(grep '^id: ' "$DIR/body" | sort -k2n | uniq | wc -l)" 20 &&
		is "$(tail -3 "$DIR/body" | grep -c 'piece 20')" 1
}

# listed N M: look-ups at entry N return the address of entry M.
listed() {
	curl -s "http://$(address "$1" lookup)/v1/resolve?name=t.example" |
		grep -q "$(address "$2" callers)"
}

not_listed() { ! listed "$1" "$2"; }

# readiness_is N STATUS
readiness_is() {
	is "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$(address "$1" ready)/v1/readyz")" "$2"
}

process_gone() { ! kill -0 "$1" 2>/dev/null; }

# ---- Settings ----
expect "the example settings are valid" \
	"$BIN/marldock-edge" --check-settings -s examples/edge.json >/dev/null
echo '{"name": "x"' >"$DIR/wrong.json"
"$BIN/marldock-edge" -s "$DIR/wrong.json" >"$DIR/wrong.out" 2>&1
expect "invalid settings: exit code 2" is $? 2
expect "invalid settings: one line of output" is "$(wc -l <"$DIR/wrong.out")" 1

# ---- The path of a request ----
start_edges || exit 1
expect "503 without a configuration" \
	is "$(request 1 early-1 /l/x)" 503
expect "not ready without a configuration" readiness_is 1 503
put_document 2 '"k1","k2"'
expect "the first version is put into force" wait_for_status 200 1 first /l/x
expect "ready with a configuration" wait_for readiness_is 1 200
expect "the endpoint receives the account's name" grep -q 'for one' "$DIR/body"
# Entries list the endpoints one after the other, and refuse requests before.
expect "all entries get ready" wait_for everywhere readiness_is 200
expect "a stream is served" is "$(request 2 stream-1 /s/x -d hello)" 200
expect "the stream is complete and in order" stream_complete
expect "401 for an unknown key" is "$(KEY=zz request 2 key-1 /l/x)" 401
expect "404 for an unknown route" is "$(request 2 route-1 /none/x)" 404
# heads_and_next N PATH: a HEAD of the path and the next request on one connection;
# prints the number of status lines that begin a line.
heads_and_next() {
	local at=$(address "$1" callers)
	(
		exec 3<>"/dev/tcp/${at%:*}/${at#*:}"
		printf 'HEAD %s HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: head-1\r\nAuthorization: Bearer k1\r\n\r\nGET /none/y HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: head-2\r\nAuthorization: Bearer k1\r\nConnection: close\r\n\r\n' "$2" >&3
		timeout 5 cat <&3
	) | grep -c '^HTTP/1.1 '
}
expect "a refusal of a HEAD request has no body" is "$(heads_and_next 2 /none/x)" 2
expect "400 without an attempt id" is "$(request 2 '' /l/x)" 400
expect "413 for a body over the limit" \
	is "$(head -c 200000 /dev/zero | request 2 large-1 /u/x --data-binary @-)" 413
expect "a look-up at an entry returns another entry" wait_for listed 1 3
expect "metrics count the answers" eval \
	"curl -s http://$(address 1 peers)/metrics | grep -q '^marldock_answers_passed_total [1-9]'"
expect "metrics have histograms" eval \
	"curl -s http://$(address 1 peers)/metrics | grep -q '^marldock_answer_ms_count [1-9]'"

# ---- Configuration ----
put_document 3 '"k2"'
expect "401 for a removed key" wait_for_status 401 3 taken /l/x
KEY=k2
expect "the remaining key is accepted" is "$(request 3 kept-1 /l/x)" 200
put_document 4 '"k2"' ',{"name":"more","host":"t.example","prefix":"/m/","routeKind":"safe","timeoutMs":1500,"service":"app","maxAttempts":2}'
expect "an added route is served" wait_for_status 200 1 more /m/x
# The next version replaces this one, so entry 2 must have read it before.
expect "an added route is served at another entry" wait_for_status 200 2 more-too /m/x
put_document 5 'broken'
expect "a version that cannot be decoded is logged" \
	wait_for grep -q '"event":"store_value_unreadable"' "$DIR/edge-2.out"
expect "the last good version stays in force" is "$(request 2 good-1 /m/x)" 200
platform_test forget >/dev/null
put_document 6 '"k2","k6"'
expect "after lost history, the next version is put into force" \
	eval 'KEY=k6 wait_for_status 200 2 after-forget /l/x'

# ---- Endpoints ----
platform_test 'fail?id=i-2' >/dev/null
for i in $(seq 1 12); do request 1 "safe-$i" /l/x; echo; done |
	grep -vc 200 >"$DIR/count"
expect "errors of one endpoint do not reach callers" \
	is "$(cat "$DIR/count")" 0
platform_test 'heal?id=i-2' >/dev/null
platform_test 'drain?id=i-4' >/dev/null
expect "a draining endpoint is logged" \
	wait_for grep -q '"endpoint":"i-4","change":"draining"' "$DIR/edge-1.out"
wait_for grep -q '"endpoint":"i-4","change":"draining"' "$DIR/edge-2.out"
BEFORE=$(seen to_leaving)
for i in $(seq 1 20); do request $((i % 2 + 1)) "leave-$i" /u/x; done >/dev/null
expect "a draining endpoint gets no new requests" is "$(seen to_leaving)" "$BEFORE"
for i in 2 6; do platform_test "mute?id=i-$i" >/dev/null; done
expect "504 if no endpoint answers: the request may have run" \
	is "$(request 1 mute-1 /u/x)" 504
for i in 2 6; do platform_test "heal?id=i-$i" >/dev/null; done
for i in 1 3 5; do platform_test "break?id=i-$i" >/dev/null; done
request 1 cut-1 /o/x -d hello >/dev/null
expect "a stream that cannot be resumed is cut" eval '! stream_complete'
expect "a cut stream does not look complete" eval '! grep -q "piece 20" "$DIR/body"'
for i in 3 5; do platform_test "heal?id=i-$i" >/dev/null; done
for i in 1 2 3 4 5 6; do
	request 1 "resume-$i" /s/x -d hello >/dev/null
	stream_complete || echo "$i"
done >"$DIR/torn"
expect "resumed streams are complete and in order" is "$(wc -l <"$DIR/torn")" 0
platform_test 'heal?id=i-1' >/dev/null

# Failure: a caller could not parse a stream, since a chunk size was not a
# number. The stream's connection broke, the endpoint where it was resumed
# answered with an error, and that answer was passed on, with its head, in the
# middle of the stream.
for i in 1 3 5; do platform_test "break?id=i-$i" >/dev/null; done
for i in 1 3 5; do platform_test "fail?id=i-$i" >/dev/null; done
request 1 error-1 /s/x -d hello >/dev/null
expect "a stream is cut if resuming it gets an error" is $? 18
expect "the events before the cut are complete" \
	is "$(grep -c 'piece' "$DIR/body")" 9
for i in 1 3 5; do platform_test "heal?id=i-$i" >/dev/null; done

# Failure: a stream that must not run twice was cut when its endpoint was
# reclaimed. The endpoint drains, then breaks the connection during the answer;
# the entry had only waited for the end of the stream, and did not migrate it.
platform_test 'gap?ms=150' >/dev/null
request 1 move-1 /o/x -d hello >"$DIR/move.status" &
CALL=$!
wait_for grep -q '"event":"send","id":"move-1"' "$DIR/edge-1.out"
FROM=$(grep '"event":"send","id":"move-1"' "$DIR/edge-1.out" |
	sed 's/.*"endpoint":"\([^"]*\)".*/\1/')
sleep 0.3 # until the stream has begun
platform_test "drain?id=$FROM" >/dev/null
platform_test "break?id=$FROM" >/dev/null
wait $CALL
expect "a stream on a draining endpoint is finished" \
	is "$(cat "$DIR/move.status")" 200
expect "the migrated stream is complete and in order" stream_complete
expect "its run was copied to another endpoint" \
	grep -q '"event":"move","id":"move-1".*"outcome":"copied"' "$DIR/edge-1.out"
platform_test 'gap?ms=10' >/dev/null

# ---- Shutdown and crash of entries ----
request 2 term-1 /s/x -d hello >"$DIR/term.status" &
CALL=$!
wait_for grep -q '"id":"term-1"' "$DIR/edge-2.out"
TERM_PID=$(pid_of edge-2)
kill -TERM "$TERM_PID"
expect "an entry that shuts down is not ready" readiness_is 2 503
wait $CALL
expect "its stream is finished before it exits" is "$(cat "$DIR/term.status")" 200
expect "that stream is complete" stream_complete
expect "other entries do not advertise it" wait_for not_listed 1 2
expect "it exits" wait_for process_gone "$TERM_PID"
start_edge 2 false
expect "it is advertised after a restart" wait_for listed 1 2
kill -9 "$(pid_of edge-3)"
expect "a killed entry is not advertised" wait_for not_listed 1 3
start_edge 3 false
expect "a killed entry is advertised after a restart" wait_for listed 1 3

# ---- Outage of the store ----
wait_for grep -q '"event":"config_in_force"' "$DIR/edge-3.out"
platform_test 'down?ms=9000' >/dev/null
expect "200 during an outage of the store" is "$(request 1 away-1 /l/x)" 200
expect "503 when the keys were not confirmed for too long" wait_for_status 503 1 stale /l/x
expect "200 after the outage" wait_for_status 200 1 back /l/x
expect "another entry is advertised after the outage" wait_for listed 1 3

# ---- Duties ----
RUNS=$(seen usage)
expect "usage is reported" [ "$RUNS" -gt 0 ]
HOLDER=$(grep -l '"event":"usage_report"' "$DIR"/edge-[0-9].out | tail -1)
HOLDER=$(basename "$HOLDER" .out)
kill -9 "$(pid_of "$HOLDER")" 2>/dev/null
start_edge "${HOLDER#edge-}" false
more_usage() {
	request 1 "usage-$RANDOM" /l/x >/dev/null
	[ "$(seen usage)" -gt "$RUNS" ]
}
RUNS=$(seen usage)
expect "another entry reports usage after the holder's crash" wait_for more_usage
expect "no window is reported twice with other counts" is "$(seen usage_twice)" 0
expect "no call has a fencing token lower than one before" is "$(seen wrong_fence)" 0
expect "no request that must run once ran twice" is "$(seen once_twice)" 0
expect "more than 10 such requests ran" [ "$(seen once)" -gt 10 ]
grep -h '"event":"send"' "$DIR"/edge-*.out >"$DIR/sends"
expect "requests that must not be repeated were sent once" \
	is "$(grep '"route":"submit"' "$DIR/sends" | sed 's/.*"id":"\([^"]*\)".*/\1/' | sort | uniq -d | wc -l)" 0
expect "every log line is a JSON object" \
	is "$(cat "$DIR"/edge-*.out | grep -vc '^{"time":.*}$')" 0

echo "edge_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
