#!/bin/bash
# Streams of a resumable route without length or chunks, at a reclaimable replica
# that leaves (TROUBLE=0: it stays). Exit code 1: a stream ended as complete before
# its last piece; 0: none did; 2: the case could not run.
# Usage: review/3/run.sh
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh

STREAMS=12 EVENTS=40 LEAVES_MS=2500

start_store
put_manifest
start_entry edge-bodo-1 bodo-hall
start_entry edge-tromso-1 tromso-hall
options="--gap 100 --events $EVENTS --unframed 1"
start_replica llm-1 marldock-kvote-llm bodo-hall $options --spot 1 \
	--leaves "$LEAVES_MS"
start_replica llm-2 marldock-kvote-llm bodo-hall $options
start_replica llm-3 marldock-kvote-llm tromso-hall $options
for n in 1 2 3; do
	address_of "llm-$n" >/dev/null || exit 2
done
settled edge-bodo-1 edge-tromso-1

clients=
for k in $(seq 1 $STREAMS); do
	e=edge-bodo-1
	[ $((k % 2)) = 0 ] && e=edge-tromso-1
	start "client-$k" "$STANDIN" stream "$(listens $e callers)" "s$k" $EVENTS
	clients="$clients ${PIDS[client-$k]}"
	sleep 0.05
done
sleep 1
if [ "$TROUBLE" != 0 ]; then
	note "llm-1 is told that its instance is reclaimed"
	kill -USR1 "${PIDS[llm-1]}"
	sleep "$((LEAVES_MS / 1000)).5"
	note "llm-1 is gone"
	kill -9 "${PIDS[llm-1]}"
fi
early=0
for p in $clients; do
	wait "$p" || early=$((early + 1))
done
write_record edge-bodo-1 edge-tromso-1
echo "streams that ended as complete before their last piece: $early of $STREAMS" |
	tee -a "$RECORD"
[ "$early" = 0 ]
