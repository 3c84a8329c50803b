# Functions that start stand-ins, entries and control processes on loopback
# and end them again; sourced by demo.sh, the process tests and bench.sh.
# Only processes started here are ended, by their ids.

BIN=${BIN:-build/bin}
DIR=${DIR:-$(mktemp -d)}
LOG_LEVEL=${LOG_LEVEL:-info}
ENTRIES=${ENTRIES:-6}
SLOTS=${SLOTS:-8}
TPOT=${TPOT:-20}
DRAIN_MS=${DRAIN_MS:-8000}

PASSED=0 FAILED=0

# expect NAME CONDITION...: the condition is a command.
expect() {
	local name=$1
	shift
	if "$@"; then
		PASSED=$((PASSED + 1))
	else
		FAILED=$((FAILED + 1))
		echo "FAILED: $name ($DIR)"
	fi
}

is() { [ "$1" = "$2" ]; }

# wait_for COMMAND...: until it holds; half a minute at most.
wait_for() {
	local i
	for i in $(seq 1 600); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	return 1
}

# within_tries COMMAND...: it holds in one of a few tries, which may take long.
within_tries() {
	local try
	for try in $(seq 1 20); do
		"$@" && return 0
		sleep 0.2
	done
	return 1
}

# start NAME COMMAND...: runs it in the background, log in DIR/NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
	LAST_PID=$!
	echo "$LAST_PID" >"$DIR/$name.pid"
}

# ready NAME: waits for the line "ready ..." and prints its rest.
ready() {
	local i
	for i in $(seq 1 400); do
		if grep -q '^ready' "$DIR/$1.out" 2>/dev/null; then
			sed -n 's/^ready *//p' "$DIR/$1.out"
			return 0
		fi
		sleep 0.025
	done
	echo "cluster: $1 did not start" >&2
	tail -3 "$DIR/$1.log" >&2
	return 1
}

pid_of() {
	cat "$DIR/$1.pid"
}

# end_child PID: kills it if it still runs. The id of a child that has ended may
# be that of another process by now.
end_child() {
	jobs -rp | grep -qx "$1" && kill -9 "$1"
}

# cluster_stop: ends the children that still run.
cluster_stop() {
	local p
	for p in $(jobs -rp); do
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
}

# deployment NAME: zones, class, model, plain service of an example.
deployment() {
	DEPLOYMENT=$1
	case $1 in
	kvotebors-nord)
		ZONES="bodo tromso svolvaer narvik"
		CLASS=a10 MODEL=nord-7b PLAIN=quota REGION=north UP=3 FENCE=1
		;;
	bayt-tayar)
		ZONES="casa-a casa-b casa-c casa-d"
		CLASS=l4 MODEL=tayar-9b PLAIN=switch REGION=casablanca UP=2
		FENCE=0
		;;
	esac
	DOCUMENT=examples/$1.json
	WORKLOAD=examples/workload-$1.json
}

# slot ADDRESS ZONE MARKET KIND ROLE UP: one line of the cloud's slots.
slot() {
	printf '%s{"address":"%s","zone":"%s","class":"%s","market":"%s","kind":"%s","service":"%s","role":"%s","up":%s}\n' \
		"$SEP" "$1" "$2" "$CLASS" "$3" "$4" "$DEPLOYMENT" "$5" "$6"
	SEP=,
}

# start_platform: key-value service, engines, plain services, cloud.
start_platform() {
	local z i n=0 price=0.30
	start kv $BIN/standin-kv
	KV=$(ready kv) || return 1
	WEIGHTS=
	for z in $ZONES; do
		for i in $(seq 1 $((UP + 4))); do
			local model= version=
			[ "$i" -le "$UP" ] && model=$MODEL version=v1
			start "engine-$z-$i" $BIN/standin-engine \
				--slots "$SLOTS" --tpot-ms "$TPOT" \
				--checks-fence $FENCE --model "$model" \
				--version "$version" --lag-ms 200 \
				--prefill "${PREFILL:-8000}"
		done
		start "plain-$z" $BIN/standin-plain --delay-ms "${PLAIN_DELAY:-20}"
	done
	SEP=
	PLAIN_ADDRESSES=
	{
		echo '{"weights_mb_s": 400, "offers": ['
		local sep=
		for z in $ZONES; do
			printf '%s{"zone":"%s","class":"%s","market":"reclaimable","price_per_h":%s,"reclaims_per_h":0.05}\n' \
				"$sep" "$z" "$CLASS" "$price"
			printf ',{"zone":"%s","class":"%s","market":"on-demand","price_per_h":1.0,"reclaims_per_h":0}\n' \
				"$z" "$CLASS"
			sep=,
			price=$(echo "$price" | awk '{print $1 + 0.02}')
		done
		echo '], "slots": ['
		for z in $ZONES; do
			for i in $(seq 1 $((UP + 4))); do
				local market=reclaimable up=false a
				[ "$i" -gt $((UP + 2)) ] && market=on-demand
				[ "$i" -le "$UP" ] && up=true
				a=$(ready "engine-$z-$i") || return 1
				slot "$a" "$z" $market engine "$MODEL" $up
			done
			a=$(ready "plain-$z") || return 1
			PLAIN_ADDRESSES="$PLAIN_ADDRESSES $a"
			slot "$a" "$z" on-demand plain "$PLAIN" true
		done
		echo ']}'
	} >"$DIR/slots.json"
	start cloud $BIN/standin-cloud --slots "$DIR/slots.json" --lag-ms 200
	CLOUD=$(ready cloud) || return 1
	# The engines' weight store is the cloud's, which started after them;
	# loads then take no time, which the load staggering does not need.
}

# write_settings NAME ZONE PEER: settings of one entry.
write_settings() {
	cat >"$DIR/$1.json" <<-EOF
	{
		"name": "$1", "zone": "$2", "region": "$REGION",
		"http_address": "127.0.0.1:0", "peer_address": "$3",
		"key_value": "$KV", "cloud": "$CLOUD",
		"seeds": [$SEEDS],
		"peer_secret": "demo-peer-secret-0001",
		"grant_secret": "demo-grant-secret-0001",
		"log_level": "$LOG_LEVEL",
		"entry_list_ms": 2000, "drain_ms": $DRAIN_MS,
		"lease_s": 4, "copy_ms": ${COPY_MS:-40}, "replay_ms": ${REPLAY_MS:-120000}
	}
	EOF
}

# start_entry NAME ZONE: an entry and the control process beside it.
start_entry() {
	local line peer
	write_settings "$1" "$2" "127.0.0.1:0"
	start "$1" $BIN/marldock-entry --settings "$DIR/$1.json"
	line=$(ready "$1") || return 1
	peer=${line##*peer=}
	HTTP=${line#http=}
	HTTP=${HTTP%% *}
	echo "$HTTP" >"$DIR/$1.http"
	write_settings "$1" "$2" "$peer"
	[ -z "$SEEDS" ] && SEEDS="\"$peer\""
	start "$1-control" $BIN/marldock-control --settings "$DIR/$1.json"
}

# start_entries: the entries, spread over the zones.
start_entries() {
	local i z
	set -- $ZONES
	SEEDS=
	for i in $(seq 1 "$ENTRIES"); do
		z=$(echo "$ZONES" | cut -d' ' -f $(((i - 1) % 4 + 1)))
		start_entry "entry-$i" "$z" || return 1
	done
	ENTRY=$(cat "$DIR/entry-1.http")
	CTL="$BIN/marldockctl --settings $DIR/entry-1.json"
}

# wait_ready: until all entries are in one view, and engines are known.
wait_ready() {
	local i
	for i in $(seq 1 200); do
		if [ "$($CTL status 2>/dev/null | grep -c ' alive ')" = "$ENTRIES" ] &&
			[ "$($CTL status --json 2>/dev/null | grep -c '"view":[1-9]')" = "$ENTRIES" ] &&
			$CTL endpoints 2>/dev/null | grep -q ' yes '; then
			view_is_whole && return 0
		fi
		sleep 0.1
	done
	echo "cluster: not ready" >&2
	$CTL status >&2
	return 1
}

# view_is_whole: the newest view has every entry.
view_is_whole() {
	curl -s "http://$KV/v3/kv/range" -d "{\"key\":\"$(printf /marldock/view | base64)\"}" |
		sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null |
		grep -o '"name"' | wc -l | grep -qx "$ENTRIES"
}

kv_fault() {
	curl -s -o /dev/null "http://$KV/standin/fault" -d "{\"mode\":\"$1\",\"ms\":${2:-0}}"
}

reclaim_zone() {
	curl -s -o /dev/null "http://$CLOUD/standin/reclaim" -d "{\"zone\":\"$1\",\"notice_ms\":$2}"
}

# load SECONDS SEED [OPTIONS...]
load() {
	local seconds=$1 seed=$2 a runs= e= i
	shift 2
	for a in $PLAIN_ADDRESSES; do runs="$runs --runs $a"; done
	for i in $(seq 1 "$ENTRIES"); do
		e="$e --entry $(cat "$DIR/entry-$i.http")"
	done
	$BIN/marldock-load --workload "$WORKLOAD" $e $runs \
		--seconds "$seconds" --seed "$seed" "$@"
}
