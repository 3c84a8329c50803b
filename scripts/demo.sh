#!/bin/bash
# Shows the whole: stand-ins and six entries of Kvotebors Nord on loopback,
# load, a zone reclaimed and a document edited half-way.
#
# FAULTS (for more than the demo): any of "sigkill sigterm kv-down", and SEED,
# SECONDS_LOAD, DEPLOYMENT.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
SEED=${SEED:-1}
SECONDS_LOAD=${SECONDS_LOAD:-18}
trap cluster_stop EXIT

deployment "${DEPLOYMENT:-kvotebors-nord}"
start_platform || exit 1
start_entries || exit 1
$CTL apply "$DOCUMENT" --base 0 --wait || exit 1
wait_ready || exit 1
echo "entries ready, load for $SECONDS_LOAD s, seed $SEED"

load "$SECONDS_LOAD" "$SEED" --report "$DIR/report.json" ${VERBOSE:+--verbose} >"$DIR/load.txt" 2>"$DIR/load.err" &
LOAD=$!
third=$(echo "$SECONDS_LOAD" | awk '{print $1 / 3}')
sleep "$third"
case " $FAULTS " in *" kv-down "*)
	echo "key-value service down for the middle third"
	kv_fault down
	;;
esac
zone=${ZONES%% *}
echo "zone $zone reclaimed on 2 s notice"
reclaim_zone "$zone" 2000
sed 's/"deadline_ms": 60000/"deadline_ms": 50000/' "$DOCUMENT" >"$DIR/edited.json"
case " $FAULTS " in *" kv-down "*) ;; *)
	$CTL apply "$DIR/edited.json" --base 1 --wait || exit 1
	;;
esac
sleep 1
case " $FAULTS " in *" sigkill "*)
	echo "entry-2 ended by SIGKILL"
	kill -9 "$(pid_of entry-2)"
	;;
esac
case " $FAULTS " in *" sigterm "*)
	echo "entry-3 ended by SIGTERM"
	kill -TERM "$(pid_of entry-3)"
	;;
esac
sleep "$(echo "$third" | awk '{print $1 - 1}')"
case " $FAULTS " in *" kv-down "*)
	echo "key-value service up again"
	kv_fault up
	;;
esac
wait $LOAD
CODE=$?
cat "$DIR/load.txt" "$DIR/load.err"
curl -s "http://$CLOUD/standin/cost"
echo
for i in $(seq 1 "$ENTRIES"); do
	curl -s -m 2 "http://$(cat "$DIR/entry-$i.http")/metrics"
done | awk '!/^#/ {sum[$1] += $2} END {
	for (k in sum)
		if (k ~ /claims|takeovers|moved|continued|restarts|recomputed|alarms|denied|attempts|unprotected|copy_failed|stale/)
			printf "%s %d\n", k, sum[k]}' | sort
[ -n "$KEEP_LOGS" ] && echo "logs in $DIR"
sed -n 's/^load: accepted/demo: accepted/p' "$DIR/load.txt" | tail -1
exit $CODE
