#!/bin/bash
# Tests of the entry as real processes on a stand-in of the platform, under
# faults. Counts are asserted, never times.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT

# answers STATUS N ID PATH...: waits until a request gets this status.
answers() {
	local want=$1 n=$2 id=$3 path=$4 i
	shift 4
	for i in $(seq 1 400); do
		is "$(request "$n" "$id-$i" "$path" "$@")" "$want" && return 0
		sleep 0.05
	done
	return 1
}

whole_stream() {
	is "$(grep -c '^id: ' "$DIR/body")" 20 &&
		is "$(grep '^id: ' "$DIR/body" | sort -k2n | uniq | wc -l)" 20 &&
		is "$(tail -3 "$DIR/body" | grep -c 'piece 20')" 1
}

listed() {
	curl -s "http://$(address "$1" lookup)/v1/resolve?name=t.example" |
		grep -q "$(address "$2" callers)"
}

not_listed() { ! listed "$1" "$2"; }

ready_is() {
	is "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$(address "$1" ready)/v1/readyz")" "$2"
}

gone_process() { ! kill -0 "$1" 2>/dev/null; }

# ---- Settings ----
expect "the example's settings are right" \
	"$BIN/marldock-edge" --check-settings -s examples/edge.json >/dev/null
echo '{"name": "x"' >"$DIR/wrong.json"
"$BIN/marldock-edge" -s "$DIR/wrong.json" >"$DIR/wrong.out" 2>&1
expect "wrong settings end with 2" is $? 2
expect "and with one line" is "$(wc -l <"$DIR/wrong.out")" 1

# ---- The path ----
start_edges || exit 1
expect "without a configuration: not run, come back" \
	is "$(request 1 early-1 /l/x)" 503
expect "not ready without a configuration" ready_is 1 503
put_document 2 '"k1","k2"'
expect "the first version is in force" answers 200 1 first /l/x
expect "ready" wait_for ready_is 1 200
expect "the account is named to the endpoint" grep -q 'for one' "$DIR/body"
expect "a stream is served" is "$(request 2 stream-1 /s/x -d hello)" 200
expect "whole and in order" whole_stream
expect "an unknown key" is "$(KEY=zz request 2 key-1 /l/x)" 401
expect "an unknown route" is "$(request 2 route-1 /none/x)" 404
expect "no attempt id" is "$(request 2 '' /l/x)" 400
expect "a body over the limit" \
	is "$(head -c 200000 /dev/zero | request 2 large-1 /u/x --data-binary @-)" 413
expect "look-ups name all entries" wait_for listed 1 3
expect "metrics" eval \
	"curl -s http://$(address 1 peers)/metrics | grep -q '^marldock_answers_passed_total [1-9]'"

expect "histograms of times" eval \
	"curl -s http://$(address 1 peers)/metrics | grep -q '^marldock_answer_ms_count [1-9]'"

# ---- Configuration ----
put_document 3 '"k2"'
expect "a key that was taken away is refused" answers 401 3 taken /l/x
KEY=k2
expect "the other one works" is "$(request 3 kept-1 /l/x)" 200
put_document 4 '"k2"' ',{"name":"more","host":"t.example","prefix":"/m/","routeKind":"safe","timeoutMs":1500,"service":"app","maxAttempts":2}'
expect "a route that was added is served" answers 200 1 more /m/x
# The next version overwrites this one: entry 2 must have seen it before.
expect "at the other entries too" answers 200 2 more-too /m/x
put_document 5 'broken'
expect "a version that cannot be read is logged" \
	wait_for grep -q '"event":"store_value_unreadable"' "$DIR/edge-2.out"
expect "and the last good one stays" is "$(request 2 good-1 /m/x)" 200
platform_test forget >/dev/null
put_document 6 '"k2","k6"'
expect "the history is lost, the next version is in force" \
	eval 'KEY=k6 answers 200 2 after-forget /l/x'

# ---- Endpoints ----
platform_test 'fail?id=i-2' >/dev/null
for i in $(seq 1 12); do request 1 "safe-$i" /l/x; echo; done |
	grep -vc 200 >"$DIR/count"
expect "errors of one endpoint are not callers' errors" \
	is "$(cat "$DIR/count")" 0
platform_test 'heal?id=i-2' >/dev/null
platform_test 'drain?id=i-4' >/dev/null
expect "the leaving is known" \
	wait_for grep -q '"endpoint":"i-4","change":"draining"' "$DIR/edge-1.out"
wait_for grep -q '"endpoint":"i-4","change":"draining"' "$DIR/edge-2.out"
BEFORE=$(seen to_leaving)
for i in $(seq 1 20); do request $((i % 2 + 1)) "leave-$i" /u/x; done >/dev/null
expect "a leaving endpoint gets no new work" is "$(seen to_leaving)" "$BEFORE"
for i in 2 6; do platform_test "mute?id=i-$i" >/dev/null; done
expect "no answer at all: time out, not 'not run'" \
	is "$(request 1 mute-1 /u/x)" 504
for i in 2 6; do platform_test "heal?id=i-$i" >/dev/null; done
for i in 1 3 5; do platform_test "break?id=i-$i" >/dev/null; done
request 1 cut-1 /o/x -d hello >/dev/null
expect "a stream that cannot be resumed is cut" eval '! whole_stream'
expect "and not ended as whole" eval '! grep -q "piece 20" "$DIR/body"'
for i in 3 5; do platform_test "heal?id=i-$i" >/dev/null; done
for i in 1 2 3 4 5 6; do
	request 1 "resume-$i" /s/x -d hello >/dev/null
	whole_stream || echo "$i"
done >"$DIR/torn"
expect "resumed streams are whole and in order" is "$(wc -l <"$DIR/torn")" 0
platform_test 'heal?id=i-1' >/dev/null

# Symptom: a caller of a stream that broke off could not read its answer: the
# size of a chunk was no number.
# Sequence: the stream is resumed at another endpoint, which answers an error.
# Cause: the error was passed on, head and all, in the middle of the stream.
for i in 1 3 5; do platform_test "break?id=i-$i" >/dev/null; done
for i in 1 3 5; do platform_test "fail?id=i-$i" >/dev/null; done
request 1 error-1 /s/x -d hello >/dev/null
expect "an error does not enter a stream, which ends cut" is $? 18
expect "what was passed on of it is whole" \
	is "$(grep -c 'piece' "$DIR/body")" 9
for i in 1 3 5; do platform_test "heal?id=i-$i" >/dev/null; done

# Symptom: a stream that may run once is cut when its endpoint is taken away.
# Sequence: the endpoint leaves, and breaks off in the middle of the answer.
# Cause: nothing but its own end was waited for. It is handed to another one.
platform_test 'gap?ms=150' >/dev/null
request 1 move-1 /o/x -d hello >"$DIR/move.status" &
CALL=$!
wait_for grep -q '"event":"send","id":"move-1"' "$DIR/edge-1.out"
FROM=$(grep '"event":"send","id":"move-1"' "$DIR/edge-1.out" |
	sed 's/.*"endpoint":"\([^"]*\)".*/\1/')
sleep 0.3 # it begins
platform_test "drain?id=$FROM" >/dev/null
platform_test "break?id=$FROM" >/dev/null
wait $CALL
expect "a stream on a leaving endpoint is finished" \
	is "$(cat "$DIR/move.status")" 200
expect "whole and in order, too" whole_stream
expect "its run was copied to another one" \
	grep -q '"event":"move","id":"move-1".*"outcome":"copied"' "$DIR/edge-1.out"
platform_test 'gap?ms=10' >/dev/null

# ---- Leaving, dying ----
request 2 term-1 /s/x -d hello >"$DIR/term.status" &
CALL=$!
wait_for grep -q '"id":"term-1"' "$DIR/edge-2.out"
TERM_PID=$(pid_of edge-2)
kill -TERM "$TERM_PID"
expect "a leaving entry is not ready" ready_is 2 503
wait $CALL
expect "its stream is finished" is "$(cat "$DIR/term.status")" 200
expect "and whole" whole_stream
expect "others do not name it" wait_for not_listed 1 2
expect "it ends by itself" wait_for gone_process "$TERM_PID"
start_edge 2 false
expect "and is back" wait_for listed 1 2
kill -9 "$(pid_of edge-3)"
expect "a killed entry is not named" wait_for not_listed 1 3
start_edge 3 false
expect "and is back after its start" wait_for listed 1 3

# ---- The store away ----
wait_for grep -q '"event":"config_in_force"' "$DIR/edge-3.out"
platform_test 'down?ms=9000' >/dev/null
expect "served while the store is away" is "$(request 1 away-1 /l/x)" 200
expect "keys are not honoured longer than allowed" answers 503 1 stale /l/x
expect "and again after its return" answers 200 1 back /l/x
expect "all entries are named again" wait_for listed 1 3

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
expect "another one goes on" wait_for more_usage
expect "no window reported twice with other counts" is "$(seen usage_twice)" 0
expect "no fence went back" is "$(seen wrong_fence)" 0
expect "nothing ran twice that may run once" is "$(seen once_twice)" 0
expect "though some of it ran" [ "$(seen once)" -gt 10 ]
grep -h '"event":"send"' "$DIR"/edge-*.out >"$DIR/sends"
expect "calls that may not be repeated were sent once" \
	is "$(grep '"route":"submit"' "$DIR/sends" | sed 's/.*"id":"\([^"]*\)".*/\1/' | sort | uniq -d | wc -l)" 0
expect "every log line is a JSON object" \
	is "$(cat "$DIR"/edge-*.out | grep -vc '^{"time":.*}$')" 0

echo "edge_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
