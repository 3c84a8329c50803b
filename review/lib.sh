# Functions that the cases' scripts share; sourced by them in the repository's
# root. The entries are those of the deploy file, each with a settings file in the
# form of platform/settings.json and the bounds of kvotebors-nord; all addresses
# are on loopback, at free ports.

ROOT=$PWD
STANDIN=$ROOT/review/bin/standin
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
RECORD=$CASE/record.txt
DEADLINE_S=110
declare -A PIDS
: >"$RECORD"

# note TEXT: a line of the record, in the form of the stand-ins' lines.
note() { echo "$(date +%s.%3N) $*" >>"$RECORD"; }

# Only children are ended, by their ids.
finish() {
	local p
	[ -n "$WATCHDOG" ] && kill "$WATCHDOG" 2>/dev/null
	for p in $(jobs -rp) $(jobs -sp); do
		kill -CONT "$p" 2>/dev/null
		kill -9 "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap finish EXIT

could_not_run() {
	note "could not run: $*"
	echo "could not run: $*" >&2
	exit 2
}
trap 'could_not_run "took too long"' USR2
# A read that times out: an external sleep would be left behind.
mkfifo "$DIR/never"
{ read -r -t "$DEADLINE_S" <>"$DIR/never"; kill -USR2 $$; } >/dev/null 2>&1 &
WATCHDOG=$!

[ -x "$STANDIN" ] || could_not_run "review/build.sh was not run"
[ -x target/bin/marldock-edge ] || could_not_run "the deploy file was not built"

# start NAME COMMAND...: in the background; its output goes to DIR/NAME.out.
start() {
	local name=$1
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.err" &
	PIDS[$name]=$!
}

# wait_for COMMAND...: until it holds; 20 s at most.
wait_for() {
	local i
	for i in $(seq 1 400); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	return 1
}

# address_of NAME: of a stand-in, once it is ready.
address_of() {
	wait_for grep -q '^ready ' "$DIR/$1.out" || could_not_run "$1 did not start"
	sed -n 's/^ready //p' "$DIR/$1.out" | tail -1
}

# start_store [ERA]: the platform's store; it is the cloud API as well, unless
# CLOUD is set.
start_store() {
	start store "$STANDIN" store $1
	STORE=$(address_of store) || exit 2
}

put() { "$STANDIN" put "$STORE" "$1" || could_not_run "no write of $1"; }

# put_manifest: a streaming, resumable route to marldock-kvote (an engine whose
# runs can be moved) and a safe one to kvote-app, as of kvotebors-nord.
put_manifest() {
	put op/config <<-END
	{"version": 3, "routes": [
	{"name": "landing-reconcile", "host": "review.example",
	"prefix": "/stream/", "routeKind": "streaming", "timeoutMs": 12000,
	"goalMs": 1200, "priority": 1, "service": "marldock-kvote-llm",
	"maxAttempts": 2, "affinity": true, "resumable": true,
	"gapTargetMs": 500},
	{"name": "quay-slot", "host": "review.example", "prefix": "/read/",
	"routeKind": "safe", "timeoutMs": 6000, "goalMs": 300, "priority": 2,
	"service": "kvote-app", "maxAttempts": 2}],
	"services": [{"name": "marldock-kvote-llm", "maxConns": 370,
	"engine": {"slots": 64, "kvCapacity": 536091, "moves": true}},
	{"name": "kvote-app", "maxConns": 110}],
	"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000,
	"headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	"tenants": [{"name": "one", "apiKeys": ["key-one"], "unit": "tokens",
	"uncachedTokens": 200, "ratePerS": 1000000, "burst": 1000000}]}
	END
}

# start_entry NAME ZONE: with the command of the deploy file.
start_entry() {
	cat >"$DIR/$1.json" <<-END
	{
		"name": "$1", "zone": "$2", "region": "nord-norge",
		"ip": "127.0.0.1", "first_start": true,
		"listen": { "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
			"lookup": "127.0.0.1:0" },
		"first_internal_port": 0,
		"store": { "address": "$STORE", "writes_per_s": 400,
			"reads_per_s": 2000, "min_lease_ms": 1000 },
		"cloud": { "address": "${CLOUD:-$STORE}", "duties": ["usage"],
			"duty_calls_per_s": 50.0 },
		"limits": { "memory_mb": 260, "link_mbps": 1000.0,
			"descriptors": 4100 },
		"bounds": { "drain_ms": 2000, "grace_s": 8, "apply_ms": 2000,
			"revoke_ms": 5000, "retry_ratio": 0.2,
			"retry_window_s": 10, "retry_slack": 56,
			"limit_overrun": 0.1, "limit_slack": 190000,
			"lease_ms": 3000, "usage_window_s": 5,
			"usage_late_s": 10, "strict_revoke": true },
		"list_ttl_s": 5
	}
	END
	MARLDOCK_SETTINGS=$DIR/$1.json start "$1" target/bin/marldock-edge
	wait_for grep -q '"event":"start"' "$DIR/$1.out" ||
		could_not_run "$1 did not start"
	note "entry $1 in $2: callers at $(listens "$1" callers)"
}

# listens NAME WHAT: callers or ready.
listens() {
	sed -n "s/.*\"event\":\"start\".*\"$2\":\"\([^\"]*\)\".*/\1/p" \
		"$DIR/$1.out" | tail -1
}

is_ready() { [ "$("$STANDIN" ready "$(listens "$1" ready)")" = 200 ]; }

# settled ENTRY...: they are ready, and have seen each other and all replicas.
settled() {
	local e
	for e in "$@"; do
		wait_for is_ready "$e" || could_not_run "$e is not ready"
	done
	sleep 3
}

# start_replica NAME SERVICE ZONE [OPTION VALUE]...
start_replica() {
	local name=$1
	start "$name" "$STANDIN" replica --id "$name" --service "$2" \
		--zone "$3" --store "$STORE" "${@:4}"
}

# write_record ENTRY...: adds the lines of the stand-ins, in order of time, and
# those of the entries about requests and replicas.
write_record() {
	local e
	for e in "$DIR"/*.out; do
		grep -E '^[0-9]+\.[0-9]{3} ' "$e"
	done >>"$RECORD"
	sort -n -o "$RECORD" "$RECORD"
	for e in "$@"; do
		echo "--- $e"
		grep -E '"event":"(send|send_ended|move|passed|cut|endpoint|answer)"' \
			"$DIR/$e.out"
	done >>"$RECORD"
}
