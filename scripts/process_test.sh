#!/bin/bash
# Tests the real processes under faults. The checks assert counts, never times.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_stop EXIT
BASE=$DIR

# fresh DEPLOYMENT: starts a new cluster with its document in force.
fresh() {
	cluster_stop
	DIR=$(mktemp -d "$BASE/XXXX")
	deployment "$1"
	start_platform && start_entries &&
		$CTL apply "$DOCUMENT" --base 0 --wait >/dev/null && wait_ready
}

# field NAME: prints a count from the load generator's report.
field() {
	grep -o "\"$1\":[0-9]*" "$DIR/report.json" | head -1 | cut -d: -f2
}

# run_load SECONDS SEED: starts the load generator in the background.
run_load() {
	load "$1" "$2" --report "$DIR/report.json" >"$DIR/load.txt" 2>"$DIR/load.err" &
	LOAD=$!
}

# await_load NAME: waits for run_load and checks its report.
await_load() {
	local name=$1
	wait $LOAD
	cat "$DIR/load.txt" >>"$BASE/loads.txt"
	expect "$name: more than 20 requests accepted" [ "$(field accepted)" -gt 20 ]
	expect "$name: all accepted requests complete" [ "$(field accepted)" = "$(field whole)" ]
	expect "$name: no doubled run and no wrong token" [ "$(field doubled)" = 0 ]
	expect "$name: no request lost" [ "$(field lost)" = 0 ]
	expect "$name: no request that ran was reported as not-run" [ "$(field false_not_run)" = 0 ]
}

# metric NAME: prints a metric's sum over all entries.
metric() {
	local i
	for i in $(seq 1 "$ENTRIES"); do
		curl -s -m 2 "http://$(cat "$DIR/entry-$i.http")/metrics"
	done | awk -v m="marldock_$1" '$1 == m {s += $2} END {print s + 0}'
}

# status_of CURL-ARGUMENT...: prints the HTTP status; the body is in DIR/body.
status_of() {
	curl -s -o "$DIR/body" -w '%{http_code}' -m 10 "$@"
}

AUTH="Authorization: Bearer nord-quay-key"

# grant: prints a new grant for request keys.
grant() {
	curl -s -H "$AUTH" "http://$ENTRY/v1/entries" |
		sed -n 's/.*"grant":"\([^"]*\)".*/\1/p'
}

# Invalid requests, plain calls and their repeats, and garbage on the sockets.
bad_input() {
	local url=http://$ENTRY g big
	expect "unknown account" [ "$(status_of "$url/v1/entries")" = 401 ]
	expect "wrong account key" [ "$(status_of -H 'Authorization: Bearer x' "$url/v1/entries")" = 401 ]
	expect "no such path" [ "$(status_of "$url/nothing")" = 404 ]
	expect "body is not JSON" [ "$(status_of -H "$AUTH" -d '{' "$url/v1/completions")" = 400 ]
	expect "no prompt" [ "$(status_of -H "$AUTH" -d '{"model":"nord-7b"}' "$url/v1/completions")" = 400 ]
	expect "unknown model" [ "$(status_of -H "$AUTH" -d '{"model":"x","prompt":"a"}' "$url/v1/completions")" = 404 ]
	expect "unknown adapter" [ "$(status_of -H "$AUTH" -d '{"model":"nord-7b:x","prompt":"a"}' "$url/v1/completions")" = 404 ]
	expect "an error response has a body" grep -q . "$DIR/body"
	big=$DIR/big
	head -c 1200000 /dev/zero | tr '\0' a >"$big"
	expect "body too large" [ "$(status_of -H "$AUTH" --data-binary @"$big" "$url/v1/completions")" = 413 ]
	expect "plain call without a grant" [ "$(status_of -H "$AUTH" -H 'Idempotency-Key: mine' -d '{"nonce":"a1"}' "$url/v1/services/quota/transfer")" = 400 ]
	expect "unknown plain service" [ "$(status_of -H "$AUTH" -d '{}' "$url/v1/services/none/x")" = 404 ]
	g=$(grant)
	# Changes the last digit: a fixed one would be right once in sixteen times.
	case $g in
	*0) forged=${g%?}1 ;;
	*) forged=${g%?}0 ;;
	esac
	expect "forged grant" [ "$(status_of -H "$AUTH" -H "Idempotency-Key: $forged.k" -d '{"nonce":"a2"}' "$url/v1/services/quota/transfer")" = 403 ]
	expect "another account's grant" [ "$(status_of -H 'Authorization: Bearer nord-auction-key' -H "Idempotency-Key: $g.k" -d '{"nonce":"a3"}' "$url/v1/services/quota/transfer")" = 403 ]
	expect "non-repeatable call" [ "$(status_of -H "$AUTH" -H "Idempotency-Key: $g.t1" -d '{"nonce":"b1"}' "$url/v1/services/quota/transfer")" = 200 ]
	expect "non-repeatable call is answered by its first run" grep -q '"run":1' "$DIR/body"
	expect "repeat at another entry" [ "$(status_of -H "$AUTH" -H "Idempotency-Key: $g.t1" -d '{"nonce":"b1"}' "http://$(cat "$DIR/entry-4.http")/v1/services/quota/transfer")" = 200 ]
	expect "repeat at another entry gets the first answer" grep -q '"run":1' "$DIR/body"
	expect "state of a request at another entry" [ "$(status_of -H "$AUTH" "http://$(cat "$DIR/entry-5.http")/v1/requests/$g.t1")" = 200 ]
	expect "no state of a request for another account" [ "$(status_of -H 'Authorization: Bearer nord-auction-key' "$url/v1/requests/$g.t1")" != 200 ]
	expect "chat" [ "$(status_of -H "$AUTH" -d '{"model":"nord-7b:bulletins","messages":[{"role":"user","content":"hello"}],"max_tokens":3}' "$url/v1/chat/completions")" = 200 ]
	expect "chat response has a message" grep -q '"message"' "$DIR/body"
	expect "explain shows the claim" sh -c "$CTL explain $g.t1 | grep -q 'claim outcome=won'"
	# A client that sends half a request and disconnects.
	timeout 1 bash -c "printf 'GET /v1/entries HTTP/1.1\r\nHost' >/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
	printf '\x00\x01garbage' >"$DIR/garbage"
	timeout 1 bash -c "cat '$DIR/garbage' >/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
	peer=$(sed -n 's/.*peer=//p' "$DIR/entry-1.out")
	timeout 1 bash -c "cat '$DIR/garbage' '$big' >/dev/tcp/${peer%:*}/${peer#*:}" 2>/dev/null
	expect "entry is healthy after garbage" [ "$(status_of "$url/healthz")" = 200 ]
}

# Operator commands: invalid edits, conflicting edits, key-value service faults.
operators() {
	sed 's/"first_token_ms": 520/"first_token_ms": 0/' "$DOCUMENT" >"$DIR/bad.json"
	$CTL apply "$DIR/bad.json" >"$DIR/out" 2>&1
	expect "invalid document is rejected" [ $? = 65 ]
	expect "error has line and column" grep -qE 'bad.json:[0-9]+:[0-9]+: first_token_ms' "$DIR/out"
	sed 's/"first_token_ms": 520/"first_token_ms": 530/' "$DOCUMENT" >"$DIR/a.json"
	sed 's/"first_token_ms": 520/"first_token_ms": 540/' "$DOCUMENT" >"$DIR/b.json"
	$CTL apply "$DIR/a.json" --base 1 --wait >"$DIR/out" 2>&1
	expect "first of two edits is accepted" [ $? = 0 ]
	$CTL apply "$DIR/b.json" --base 1 >"$DIR/out" 2>&1
	expect "second edit gets a conflict" [ $? = 2 ]
	expect "conflict shows the difference" grep -q '^+.*540' "$DIR/out"
	kv_fault lose
	$CTL apply "$DIR/b.json" --base 2 >"$DIR/out" 2>&1
	expect "lost response: the revision is read back" grep -q 'accepted revision 3' "$DIR/out"
	kv_fault down
	$CTL apply "$DIR/a.json" --base 3 >"$DIR/out" 2>&1
	expect "key-value service down: nothing written" [ $? = 69 ]
	kv_fault up
	expect "history has three revisions" [ "$($CTL history "$DEPLOYMENT" --json | wc -l)" = 3 ]
	$CTL apply "$DIR/b.json" --wait >/dev/null
	$CTL status >"$DIR/out"
	expect "revision 3 in force in all entries" [ "$(grep -c '"kvotebors-nord":3' "$DIR/out")" = "$ENTRIES" ]
}

# Guards against the loss of an accepted edit in all entries. The key-value
# service is restored from a backup with revision 1 while revision 3 is in force,
# and the older document looks like the service's current one. The revision in
# force must stay and be written back, and an alarm must be raised.
restored_backup() {
	local key old i
	key=$(printf /marldock/doc/$DEPLOYMENT | base64 -w0)
	old=$(curl -s "http://$KV/v3/kv/range" -d "{\"key\":\"$(printf /marldock/hist/$DEPLOYMENT/00000001 | base64 -w0)\"}" |
		sed -n 's/.*"value":"\([^"]*\)".*/\1/p')
	curl -s -o /dev/null "http://$KV/v3/kv/txn" -d "{\"compare\":[],\"success\":[{\"request_put\":{\"key\":\"$key\",\"value\":\"$old\"}}]}"
	expect "document is readable after the restore" sh -c "$CTL get $DEPLOYMENT 2>&1 >/dev/null | grep -q 'revision'"
	for i in $(seq 1 100); do
		$CTL get "$DEPLOYMENT" 2>&1 >/dev/null | grep -qx 'revision 3' && break
		sleep 0.1
	done
	expect "revision in force is written back" sh -c "$CTL get $DEPLOYMENT 2>&1 >/dev/null | grep -qx 'revision 3'"
	expect "revision in force stays in all entries" [ "$($CTL status | grep -c '"kvotebors-nord":3')" = "$ENTRIES" ]
	expect "restored backup raises an alarm" grep -q 'alarm=service-went-back' "$DIR"/entry-*-control.log
}

# -- The example settings are valid and start; only the ports are changed --
DIR=$(mktemp -d "$BASE/XXXX")
for d in kvotebors-nord bayt-tayar; do
	expect "example settings of $d are valid" $BIN/marldock-entry --check --settings examples/settings-$d.json
	sed 's/127.0.0.1:8[12]01"\(,\)\{0,1\}$/127.0.0.1:0"\1/' examples/settings-$d.json >"$DIR/$d.json"
	start "example-$d" $BIN/marldock-entry --settings "$DIR/$d.json"
	line=$(ready "example-$d")
	http=${line#http=}
	http=${http%% *}
	expect "example settings of $d start" [ -n "$http" ]
	expect "entry without key-value service and peers is not ready" [ "$(status_of "http://$http/healthz")" = 503 ]
	expect "entry that is not ready refuses requests" [ "$(status_of -H 'Authorization: Bearer x' -d '{}' "http://$http/v1/completions")" = 503 ]
done
cluster_stop

# -- Without faults: bad input and operators; then a reclaim --
fresh kvotebors-nord || exit 1
expect "six entries are alive" [ "$($CTL entries | grep -c ' alive ')" = 6 ]
bad_input 2>/dev/null
operators
restored_backup
run_load 6 11
sleep 2
# An entry is frozen for longer than its peers' timeouts, and resumes.
reclaim_zone tromso 1500
kill -STOP "$(pid_of entry-4)"
sleep 3
kill -CONT "$(pid_of entry-4)"
await_load "reclaim and a frozen entry"

# -- Entries and control processes are killed or drained under load --
fresh kvotebors-nord || exit 1
run_load 8 12
sleep 3
kill -9 "$(pid_of entry-2)" "$(pid_of entry-2-control)" "$(pid_of entry-1-control)"
kill -TERM "$(pid_of entry-3)"
await_load "SIGKILL and SIGTERM"
sed 's/"deadline_ms": 60000/"deadline_ms": 50000/' "$DOCUMENT" >"$DIR/edited.json"
$CTL apply "$DIR/edited.json" --base 1 --wait >/dev/null
expect "edit is in force in all entries with two control processes killed" [ $? = 0 ]
for i in $(seq 1 150); do
	kill -0 "$(pid_of entry-3)" 2>/dev/null || break
	sleep 0.1
done
wait "$(pid_of entry-3)" 2>/dev/null
expect "SIGTERM: exit code 0 after the drain" [ $? = 0 ]

# -- The key-value service is down while an entry starts --
fresh kvotebors-nord || exit 1
run_load 8 13
sleep 2
kv_fault down
kill -9 "$(pid_of entry-5)"
start_entry entry-5b narvik >/dev/null
sleep 3
expect "new entry gets its documents from peers and serves" [ "$(status_of "http://$(cat "$DIR/entry-5b.http")/healthz")" = 200 ]
kv_fault up
await_load "key-value service down"

# -- Bayt Tayar: engines that ignore fencing tokens, reclaims in two zones one
# after the other, a new model version --
fresh bayt-tayar || exit 1
run_load 10 14
sleep 2
reclaim_zone casa-a 1500
sleep 1
reclaim_zone casa-b 1500
sed 's/"version": "v1"/"version": "v2"/' "$DOCUMENT" >"$DIR/v2.json"
$CTL apply "$DIR/v2.json" --base 1 --wait >/dev/null
expect "new version is accepted" [ $? = 0 ]
await_load "two zones and a new version"
kv_fault lapse
expect "no entry raised an alarm" [ "$(metric alarms_total)" = 0 ]

# -- Responses are kept for REPLAY_MS, outcomes for longer --
REPLAY_MS=500 ENTRIES=3
fresh kvotebors-nord || exit 1
g=$(grant)
status_of -H "$AUTH" -H "Idempotency-Key: $g.r1" -d '{"nonce":"c1"}' "http://$ENTRY/v1/services/quota/transfer" >/dev/null
expect "plain call is answered" grep -q '"run":1' "$DIR/body"
for i in $(seq 1 60); do
	code=$(status_of -H "$AUTH" -H "Idempotency-Key: $g.r1" -d '{"nonce":"c1"}' "http://$ENTRY/v1/services/quota/transfer")
	[ "$code" = 410 ] && break
	sleep 0.5
done
expect "response expires, outcome stays" [ "$code" = 410 ]
expect "repeat after expiry did not run again" sh -c "for a in $PLAIN_ADDRESSES; do curl -s http://\$a/standin/runs; done | grep -o '\"c1\":[0-9]*' | grep -qx '\"c1\":1'"

# -- A plain service that closes within the head of its reply --
# Guards against a reply that counts as whole, with an empty body.
plain_fault() {
	local a
	for a in $PLAIN_ADDRESSES; do
		curl -s -o /dev/null "http://$a/standin/fault" -d "{\"mode\":\"$1\",\"text\":\"${2:-}\"}"
	done
}
plain_fault cut
cut_call() { status_of -H "$AUTH" -H "Idempotency-Key: $g.cut" -d '{"nonce":"d1"}' "http://$ENTRY/v1/services/quota/transfer"; }
expect "reply cut within its head is no success" [ "$(cut_call)" = 504 ]
expect "nor is it when the call is repeated" [ "$(cut_call)" != 200 ]
# Guards against a reply that is none but is passed on: a status that is none, lines that
# are no fields, chunk sizes as a part of the body.
RAW_LENGTH='Content-Length: 5\r\n\r\nhello'
RAW_CHUNKS='\r\n5\r\nhello\r\n0\r\n\r\n'
RAW_CASE=0
for RAW in "000 X\r\n$RAW_LENGTH" "099 X\r\n$RAW_LENGTH" "600 X\r\n$RAW_LENGTH" \
	"200 OK\r\nX Other: y\r\n$RAW_LENGTH" "200 OK\r\nX\u0001: y\r\n$RAW_LENGTH" \
	"200 OK\r\n X: y\r\n$RAW_LENGTH" "200 OK\r\nX-Other\r\n$RAW_LENGTH" \
	"200 OK\r\nTransfer-Encoding : chunked\r\n$RAW_CHUNKS" \
	"200 OK\r\nTransfer-Encoding: chunked\r\n X: y\r\n$RAW_CHUNKS"; do
	RAW_CASE=$((RAW_CASE + 1))
	plain_fault raw "HTTP/1.1 $RAW"
	# An endpoint is not used for a while after each of them: 503.
	for i in $(seq 1 60); do
		code=$(status_of -H "$AUTH" -H "Idempotency-Key: $g.raw$RAW_CASE-$i" -d '{"nonce":"e1"}' "http://$ENTRY/v1/services/quota/transfer")
		[ "$code" = 503 ] || break
		sleep 0.1
	done
	[ "$code" = 504 ] || echo "$RAW: $code $(cat "$DIR/body")"
	expect "malformed reply $RAW_CASE is not passed on" [ "$code" = 504 ]
done
plain_fault up
expect "call with a cut reply ran once" sh -c "for a in $PLAIN_ADDRESSES; do curl -s http://\$a/standin/runs; done | grep -o '\"d1\":[0-9]*' | grep -qx '\"d1\":1'"

# Sanitizer builds write their reports into the logs.
cluster_stop
expect "no sanitizer report" [ -z "$(grep -lE '(Thread|Address|Leak)Sanitizer|runtime error' "$BASE"/*/*.log)" ]

[ $FAILED = 0 ] || cat "$BASE/loads.txt"
echo "process: $PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
