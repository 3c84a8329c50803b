#!/bin/bash
# Streams of a resumable route without length or chunks, at a replica that is cut
# off for 2 s, crashes behind the cut and starts again under its id (TROUBLE=0:
# nothing happens). Exit code 1: a stream ended as complete before its last piece;
# 0: none did; 2: the case could not run.
# Usage: review/3/run.sh
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh

STREAMS=15 EVENTS=40

start_store
put_manifest
start_entry edge-bodo-1 bodo-hall
start_entry edge-tromso-1 tromso-hall
options="--gap 100 --events $EVENTS --unframed 1"
for n in 2 3 4 5; do
	start_replica "llm-$n" marldock-kvote-llm bodo-hall $options
	address_of "llm-$n" >/dev/null || exit 2
done
# The link of llm-1: the entries reach it at the link's address. It is first
# started to get a port of its own, which it keeps.
start port "$STANDIN" replica --id none --service none --zone none \
	--store "$STORE"
own=$(address_of port) || exit 2
kill -9 "${PIDS[port]}"
wait "${PIDS[port]}" 2>/dev/null
rm "$DIR/port.out"
echo pass >"$DIR/link"
start link "$STANDIN" proxy "$own" "$DIR/link"
registered=$(address_of link) || exit 2
start_llm_1() {
	start_replica llm-1 marldock-kvote-llm bodo-hall $options --listen "$own" \
		--registered "$registered"
	address_of llm-1 >/dev/null || exit 2
}
start_llm_1
settled edge-bodo-1 edge-tromso-1

clients=
for k in $(seq 1 $STREAMS); do
	e=edge-bodo-1
	[ $((k % 2)) = 0 ] && e=edge-tromso-1
	start "client-$k" "$STANDIN" stream "$(listens $e callers)" "s$k" $EVENTS
	clients="$clients ${PIDS[client-$k]}"
	sleep 0.02
done
sleep 1
if [ "$TROUBLE" != 0 ]; then
	note "llm-1 is cut off from the entries"
	echo cut >"$DIR/link"
	sleep 0.3
	note "llm-1 crashes behind the cut"
	kill -9 "${PIDS[llm-1]}"
	wait "${PIDS[llm-1]}" 2>/dev/null
	mv "$DIR/llm-1.out" "$DIR/llm-1-before.out"
	sleep 1.4
	start_llm_1
	note "llm-1 has started again"
	sleep 0.1
	note "the cut ends"
	echo pass >"$DIR/link"
fi
early=0
for p in $clients; do
	wait "$p" || early=$((early + 1))
done
write_record edge-bodo-1 edge-tromso-1
echo "streams that ended as complete before their last piece: $early of $STREAMS" |
	tee -a "$RECORD"
[ "$early" = 0 ]
