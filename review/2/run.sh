#!/bin/bash
# A drill (the store comes back from a copy some seconds old); then the holder of
# the duties is cut off from the store for a few seconds. TROUBLE=0: neither. Exit
# code 1: the platform gets a call of the usage duty with a lower generation number
# than it has seen; 0: it does not; 2: the case could not run.
# Usage: review/2/run.sh
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
. review/lib.sh

ENTRIES="edge-bodo-1 edge-tromso-1 edge-narvik-1"
# CUT_AFTER, REPORT_AT: seconds since the store's return, of the cut and of the next
# report. The leases that the copy has end 3 s after the return.
ROUNDS=8 CUT_AFTER=3.08 REPORT_AT=4.9 CUT_FOR=3

# The platform's store and its API for duties are two addresses.
start_store 1
DIRECT_STORE=$STORE
start cloud "$STANDIN" store
CLOUD=$(address_of cloud) || exit 2
put_manifest
start_replica app-1 kvote-app bodo-hall
start_replica app-2 kvote-app tromso-hall
for e in $ENTRIES; do
	echo pass >"$DIR/link-$e"
	start "link-$e" "$STANDIN" proxy "$DIRECT_STORE" "$DIR/link-$e"
	STORE=$(address_of "link-$e") || exit 2
	start_entry "$e" "${e#edge-}"
done
settled $ENTRIES
sleep 3
for e in $ENTRIES; do
	start "load-$e" "$STANDIN" load "$(listens "$e" callers)" "$e" 100
done

# holder: the entry that took the duties last.
holder() {
	local e
	for e in $ENTRIES; do
		grep '"event":"duty","holding":true' "$DIR/$e.out"
	done | sort | tail -1 | sed 's/.*"instance":"\([^"]*\)".*/\1/'
}
has_holder() { [ -n "$(holder)" ]; }

# sleep_until SECONDS: of a window of 5 s of the wall clock.
sleep_until() { sleep "$(date +%s.%N | awk -v at="$1" '{
	t = at - ($1 % 5); if (t < 0) t += 5; print t }')"; }

for round in $(seq 1 "$ROUNDS"); do
	wait_for has_holder || could_not_run "no holder of the duties"
	sleep 0.8
	h=$(holder)
	if [ "$TROUBLE" = 0 ]; then
		sleep 9.2
		continue
	fi
	# The reports of a window are due 1.2 s after it.
	sleep_until "$(awk -v r="$REPORT_AT" 'BEGIN { print 6.2 - r + 5 - 2.4 }')"
	"$STANDIN" call "$DIRECT_STORE" /test/copy >/dev/null
	sleep 2
	note "drill $round: the store comes back from a copy; $h holds the duties"
	"$STANDIN" call "$DIRECT_STORE" "/test/return?ms=400" >/dev/null
	sleep 0.4
	sleep "$CUT_AFTER"
	note "$h is cut off from the store"
	echo cut >"$DIR/link-$h"
	sleep "$CUT_FOR"
	note "$h is no longer cut off"
	echo pass >"$DIR/link-$h"
done
write_record
for e in $ENTRIES; do
	echo "--- $e"
	grep -E '"event":"(duty|usage_report|store_era|store_away|store_back|lease_lost)"' \
		"$DIR/$e.out"
done >>"$RECORD"
lower=$(awk '/ cloud: usage by / { for (i = 1; i < NF; i++) if ($i == "Fencing-Token")
	f = $(i + 1) + 0; if (f < most) n++; if (f > most) most = f }
	END { print n + 0 }' "$RECORD")
echo "usage calls with a lower generation number than the platform had seen: $lower" |
	tee -a "$RECORD"
[ "$lower" = 0 ]
