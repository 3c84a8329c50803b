# Functions that stop an entry as the platform does, and act at given times after its
# signal; sourced by the tests of the grace period. Builds on edge_cluster.sh.

GRACE_MS=8000

# Sets NOW_MS, without a process of its own: many callers keep a time each.
read_clock() {
	NOW_MS=${EPOCHREALTIME/[.,]/}
	NOW_MS=${NOW_MS%???}
}

# sleep_until MS: to this time after the signal.
sleep_until() {
	local left
	read_clock
	left=$((SIGNAL_MS + $1 - NOW_MS + 1000))
	[ $left -le 1000 ] || sleep "$((left / 1000 - 1)).${left: -3}"
}

# crowd N: opens connections to entry N that get a byte while it is suspended, more
# than the event loop reports in one turn.
crowd() {
	local address fd
	address=$(address "$1" callers)
	CROWD=()
	for _ in $(seq 1 100); do
		exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}" && CROWD+=("$fd")
	done
	sleep 0.2
}

# stop_entry N FROM TO: SIGTERM, and SIGKILL at the end of the grace period. The
# process is suspended between these times after the signal; FROM below 0: before it.
stop_entry() {
	local n=$1 pid fd CROWD=()
	pid=$(pid_of "edge-$n")
	[ "$2" -lt 0 ] && crowd "$n" && kill -STOP "$pid" && sleep 0.1
	read_clock
	SIGNAL_MS=$NOW_MS
	kill -TERM "$pid"
	echo "$SIGNAL_MS" >"$DIR/signal.new-$n"
	mv "$DIR/signal.new-$n" "$DIR/signal-$n"
	for fd in "${CROWD[@]}"; do printf G >&"$fd"; done
	if [ "$3" -gt 0 ]; then
		sleep_until "$2"
		kill -STOP "$pid"
		sleep_until "$3"
		kill -CONT "$pid"
	fi
	sleep_until $GRACE_MS
	grep -qsz "edge-$n.json" "/proc/$pid/cmdline" && kill -9 "$pid"
}
