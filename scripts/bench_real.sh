#!/bin/bash
# Measurements with the real processes: what an entry adds to a call, memory
# with 300 answers in flight, and what idle processes cost. Usage:
# bench_real.sh BUILD [latency] [memory] [kept] [idle]
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
shift
WHAT=${*:-latency memory kept idle}
BIN=$BUILD/bin
. scripts/cluster.sh
trap cluster_stop EXIT

quiet_cluster() {
	cluster_stop
	DIR=$(mktemp -d)
	LOG_LEVEL=warn
	deployment kvotebors-nord
	start_platform && start_entries &&
		$CTL apply "$DOCUMENT" --base 0 --wait >/dev/null && wait_ready
}

# cpu_ms PID: user and system time so far.
cpu_ms() {
	awk -v t="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / t}' "/proc/$1/stat"
}

value() {
	curl -s "http://$(cat "$DIR/$1.http")/metrics" |
		awk -v m="marldock_$2" '$1 == m {print $2}'
}

latency() {
	TPOT=1 SLOTS=8 quiet_cluster || exit 1
	sleep 4 # until the account's shares are given out
	echo
	echo "### What an entry adds to a call"
	echo
	echo "The engine makes a token each millisecond; the calls go in turn."
	echo
	"$BUILD/bench/bench_direct" pairs "$ENTRY" "$(ready engine-bodo-1)" \
		nord-quay-key nord-7b 600
}

memory() {
	local before after hwm
	SLOTS=40 TPOT=50 quiet_cluster || exit 1
	before=$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of entry-1)/status")
	sed 's/"in_flight": [0-9]*/"in_flight": 400/; s/"tokens_per_s": [0-9]*\(.*"in_flight"\)/"tokens_per_s": 1000000\1/' "$DOCUMENT" >"$DIR/wide.json"
	$CTL apply "$DIR/wide.json" --wait >/dev/null || exit 1
	sleep 3
	"$BUILD/bench/bench_direct" flight "$ENTRY" nord-quay-key nord-7b 300 244 >"$DIR/flight.txt" || exit 1
	hwm=$(awk '/VmHWM/ {print $2}' "/proc/$(pid_of entry-1)/status")
	echo
	echo "### Memory of an entry"
	echo
	echo "| | resident |"
	echo "|---|---|"
	echo "| idle | $((before / 1024)) MB |"
	echo "| highest with 300 answers of 244 tokens in flight ($(cat "$DIR/flight.txt")) | $((hwm / 1024)) MB |"
	echo "| limit | 256 MB |"
}

# What a finished request holds: growth per request, owner and copies apart.
kept() {
	local e1 e2 i
	SLOTS=40 TPOT=5 quiet_cluster || exit 1
	sed 's/"in_flight": [0-9]*/"in_flight": 400/; s/"tokens_per_s": [0-9]*\(.*"in_flight"\)/"tokens_per_s": 1000000\1/' "$DOCUMENT" >"$DIR/wide.json"
	$CTL apply "$DIR/wide.json" --wait >/dev/null || exit 1
	sleep 3
	"$BUILD/bench/bench_direct" flight "$ENTRY" nord-quay-key nord-7b 300 244 >/dev/null || exit 1
	sleep 1
	e1=$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of entry-1)/status")
	for i in 1 2 3 4 5; do
		"$BUILD/bench/bench_direct" flight "$ENTRY" nord-quay-key nord-7b 300 244 >/dev/null || exit 1
	done
	sleep 1
	e2=$(awk '/VmRSS/ {print $2}' "/proc/$(pid_of entry-1)/status")
	echo
	echo "### A finished request that is kept for replay"
	echo
	echo "1,500 answers of 244 tokens of 25 bytes on one entry: $(((e2 - e1) / 1500)) KB each at the owner."
}

idle_row() {
	local e0 c0 b0 n0 e1 c1 b1 n1 k0 k1 reads0 reads1
	ENTRIES=$1 quiet_cluster || exit 1
	sleep 12
	e0=$(cpu_ms "$(pid_of entry-2)") c0=$(cpu_ms "$(pid_of entry-2-control)")
	b0=$(value entry-2 peer_bytes_total) n0=$(value entry-2 peer_calls_total)
	k0=$(curl -s "http://$KV/standin/counts")
	sleep 20
	e1=$(cpu_ms "$(pid_of entry-2)") c1=$(cpu_ms "$(pid_of entry-2-control)")
	b1=$(value entry-2 peer_bytes_total) n1=$(value entry-2 peer_calls_total)
	k1=$(curl -s "http://$KV/standin/counts")
	reads0=$(echo "$k0" | grep -oE '"(ranges|lease_calls|watches)":[0-9]+' | awk -F: '{s += $2} END {print s}')
	reads1=$(echo "$k1" | grep -oE '"(ranges|lease_calls|watches)":[0-9]+' | awk -F: '{s += $2} END {print s}')
	echo "$1 $e0 $e1 $c0 $c1 $b0 $b1 $n0 $n1 $reads0 $reads1" |
		awk '{printf "| %d | %.2f %% | %.2f %% | %.0f | %.2f | %.2f |\n", $1,
			($3 - $2) / 20000 * 100, ($5 - $4) / 20000 * 100,
			($7 - $6) / 20, ($9 - $8) / 20, ($11 - $10) / 20}'
}

idle() {
	echo
	echo "### Idle processes"
	echo
	echo "One entry and its control over 20 s, 28 engines and 4 plain services known."
	echo "Limit: 1.2 % of a core, 6,000 bytes a second."
	echo
	echo "| entries | entry, core | control, core | bytes of its calls to peers a second | its calls a second | calls on the key-value service a second, all |"
	echo "|---|---|---|---|---|---|"
	idle_row 4
	idle_row 8
	idle_row 16
}

for w in $WHAT; do $w; done
