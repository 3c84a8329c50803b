#!/bin/bash
# Kills an entry at a chosen step of a request that it owns; the client then
# reconnects and must get one complete answer. Steps are detected by the
# entries' logs and by the tokens that the client has received, never by elapsed
# time.
# Usage: takeover_test.sh [REPEATS]
# The variables STEPS, ENGINES, BACKS and GROUPS_OF_CASES select fewer cases.
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap cluster_stop EXIT
BASE=$DIR
REPEATS=${1:-1}
ENTRIES=6
ACCOUNT=nord-quay-key
TOKENS=12

# Prompt tokens per second of the stand-in engines: with prompts of 400
# characters, the first token takes a quarter of a second.
PREFILL=400

NR=0

# fresh COPY_MS: starts a new cluster, in which copies are sent every COPY_MS.
fresh() {
	cluster_stop
	DEAD=
	COPY_MS=$1 DIR=$(mktemp -d "$BASE/XXXX")
	deployment kvotebors-nord
	start_platform && start_entries &&
		$CTL apply "$DOCUMENT" --base 0 --wait >/dev/null && wait_ready
}

# await FILE PATTERN: waits about 10 s for a matching line of the log, and
# prints the last one.
await() {
	local i
	for i in $(seq 1 1000); do
		grep -E "$2" "$1" 2>/dev/null | tail -1 | grep . && return 0
		sleep 0.01
	done
	echo "takeover: no line '$2' in $1" >&2
	return 1
}

address_of() {
	cat "$DIR/$1.http"
}

# entry_at PEER_ADDRESS: prints the name of the entry with this address.
entry_at() {
	grep -l "peer=$1\$" "$DIR"/entry-*.out | sed 's/.*\/\(entry-[0-9]*\)\.out/\1/'
}

# another NAME...: prints a running entry that is none of these.
another() {
	local i
	for i in $(seq 1 "$ENTRIES"); do
		case " $* $DEAD " in
		*" entry-$i "*) ;;
		*) echo "entry-$i" && return ;;
		esac
	done
}

# engine_of KEY ENTRY: prints the stand-in engine that runs the request.
engine_of() {
	local name address
	name=$(grep -E "key=$1 .*choose endpoint=" "$DIR/$2.log" | tail -1 |
		sed 's/.*choose endpoint=\([^ ]*\).*/\1/')
	address=$($CTL endpoints | grep -E "(^| )$name " | grep -oE '127\.0\.0\.1:[0-9]+')
	grep -l "^ready $address\$" "$DIR"/engine-*.out | sed 's/.*\/\(.*\)\.out/\1/'
}

# open_caller NAME OPTIONS...: starts a stand-in client that is controlled by
# two pipes.
open_caller() {
	local name=$1
	shift
	mkfifo "$DIR/$name.in" "$DIR/$name.answer"
	$BIN/standin-caller --key $ACCOUNT --model "$MODEL" --tokens $TOKENS \
		"$@" <"$DIR/$name.in" >"$DIR/$name.answer" 2>"$DIR/$name.err" &
}

# new_request [OPTIONS...]: starts two clients with the same request: `one` on
# the descriptors 3 and 4, `two` on 5 and 6.
new_request() {
	local g
	NR=$((NR + 1))
	g=$(curl -s -H "Authorization: Bearer $ACCOUNT" "http://$(address_of "$OWNER")/v1/entries" |
		sed -n 's/.*"grant":"\([^"]*\)".*/\1/p')
	REQUEST=$g.t$NR
	NONCE=$(printf '%016x' $((4096 + NR)))
	open_caller "one-$NR" --request "$REQUEST" --nonce "$NONCE" "$@"
	open_caller "two-$NR" --request "$REQUEST" --nonce "$NONCE" "$@"
	exec 3>"$DIR/one-$NR.in" 4<"$DIR/one-$NR.answer"
	exec 5>"$DIR/two-$NR.in" 6<"$DIR/two-$NR.answer"
}

close_request() {
	exec 3>&- 4<&- 5>&- 6<&-
}

# told: reads client one's result of the last command into ANSWER.
told() {
	read -r ANSWER <&4
}

# one COMMAND...: has client one execute a command.
one() {
	echo "$*" >&3
	told
}

kill_entry() {
	kill -9 "$(pid_of "$1")" "$(pid_of "$1-control")"
	DEAD="$DEAD $1"
}

# holder_of: prints the entry that holds the copy of the request.
holder_of() {
	local line
	line=$(await "$DIR/$OWNER.log" "key=$REQUEST .*claim outcome=won") || return 1
	entry_at "${line##*holder=}"
}

# answer FIELD: prints a field of ANSWER.
answer() {
	echo "$ANSWER" | tr ' ' '\n' | sed -n "s/^$1=//p"
}

# whole NAME: checks that client one has a complete answer, and that client two,
# which has the same key, gets the same answer from every entry.
whole() {
	local first result i same=true
	expect "$1: complete answer" [ "${ANSWER%% *} $(answer held) $(answer bad)" = "done $TOKENS 0" ]
	[ "${ANSWER%% *} $(answer held) $(answer bad)" = "done $TOKENS 0" ] ||
		echo "$1: $ANSWER: $(tr '\n' '|' <"$DIR/one-$NR.err")"
	first=$(answer hash)
	for i in $(seq 1 "$ENTRIES"); do
		case " $DEAD " in *" entry-$i "*) continue ;; esac
		[ -e "$DIR/entry-$i.http" ] || continue
		echo forget >&5
		read -r ANSWER <&6
		echo "ask $(address_of "entry-$i")" >&5
		read -r ANSWER <&6
		result="${ANSWER%% *} $(answer held) $(answer bad) $(answer hash)"
		[ "$result" = "done $TOKENS 0 $first" ] && continue
		same=false
		echo "$1: replay at entry-$i: $ANSWER, first $first"
	done
	expect "$1: same answer from every entry" $same
}

# ---- Steps: each kills the owner at its end ----

# The claim is won. The client has no token, and only the record was copied.
step_claim() {
	echo "ask $(address_of "$OWNER")" >&3
	HOLDER=$(holder_of)
	kill_entry "$OWNER"
	told
}

# The client has tokens; the holder has only the record, since copies are rare.
step_first() {
	one ask "$(address_of "$OWNER")" "$HELD"
	HOLDER=$(holder_of)
	kill_entry "$OWNER"
}

# Copies were sent, but the holder is stopped and has not read them.
step_sent() {
	echo "ask $(address_of "$OWNER") $HELD" >&3
	HOLDER=$(holder_of)
	kill -STOP "$(pid_of "$HOLDER")"
	told
	kill_entry "$OWNER"
	kill -CONT "$(pid_of "$HOLDER")"
}

# The holder has some of the tokens.
step_copied() {
	one ask "$(address_of "$OWNER")" "$HELD"
	HOLDER=$(holder_of)
	await_copy
	kill_entry "$OWNER"
}

# The client has the complete answer; the holder does not know that it ended.
step_whole() {
	one ask "$(address_of "$OWNER")"
	HOLDER=$(holder_of)
	kill_entry "$OWNER"
}

# Waits about 2 s until the owner has sent tokens to its holder.
await_copy() {
	local i
	for i in $(seq 1 400); do
		curl -s -m 1 "http://$(address_of "$OWNER")/metrics" |
			grep -qE '^marldock_copy_tokens_total [1-9]' && return
		sleep 0.005
	done
}

# ---- The engine's run: continues, or is killed too ----

with_engine() {
	:
}

without_engine() {
	local engine
	engine=$(engine_of "$REQUEST" "$OWNER")
	[ -n "$engine" ] && kill -9 "$(pid_of "$engine")"
}

# ---- How the client reconnects ----

back_at_another() {
	one ask "$(address_of "$(another "$OWNER" "$HOLDER")")"
}

back_at_holder() {
	one ask "$(address_of "$HOLDER")"
}

# After the membership has marked the owner dead, the holder has taken over, and
# the run has ended.
back_late() {
	await "$DIR/$HOLDER.log" "key=$REQUEST .*takeover" >/dev/null
	await "$DIR/$HOLDER.log" "key=$REQUEST .*end outcome" >/dev/null
	back_at_another
}

# With an earlier event id: the client has lost the tokens after it.
back_with_old_id() {
	one restore
	back_at_another
}

# The entry that took over is killed, too, once a third one holds the copy.
back_after_second_kill() {
	echo "ask $(address_of "$(another "$OWNER" "$HOLDER")")" >&3
	await "$DIR/$HOLDER.log" "key=$REQUEST .*takeover" >/dev/null
	await "$DIR/$HOLDER.log" "key=$REQUEST .*rehome .*held=yes" >/dev/null
	kill_entry "$HOLDER"
	told
	back_anywhere
}

# Tries the remaining entries in turn, as clients do.
back_anywhere() {
	local i tries
	for tries in $(seq 1 10); do
		for i in $(seq 1 "$ENTRIES"); do
			case " $DEAD " in *" entry-$i "*) continue ;; esac
			one ask "$(address_of "entry-$i")"
			[ "${ANSWER%% *}" = again ] || return
		done
		sleep 0.1
	done
}

# case_of STEP ENGINE BACK [OPTIONS...]: tests one request on the running
# cluster.
case_of() {
	local step=$1 engine=$2 back=$3 name="$1 $2 $3"
	shift 3
	OWNER=$(another)
	new_request "$@"
	if [ "$back" = back_with_old_id ]; then
		one ask "$(address_of "$OWNER")" 1
		one save
	fi
	"step_$step"
	"${engine}_engine"
	"$back"
	whole "$name${*:+ $*}"
	close_request
}

# Two of the three judges of the key are dead, and the third one took the
# request over. The client requests the rest from an entry that was started
# after that.
one_judge_left() {
	local third
	ENTRIES=3 fresh 40 || return 1
	OWNER=entry-1
	new_request
	step_copied
	echo "ask $(address_of "$(another "$HOLDER")") $TOKENS" >&3
	await "$DIR/$HOLDER.log" "key=$REQUEST .*rehome .*held=yes" >/dev/null
	third=$(another "$HOLDER")
	kill_entry "$HOLDER"
	told
	SEEDS=$(sed -n 's/.*peer=\(.*\)/"\1"/p' "$DIR/$third.out")
	start_entry entry-4 narvik >/dev/null
	await "$DIR/entry-4.log" "in-force=yes" >/dev/null
	await "$DIR/$third.log" "key=$REQUEST .*end outcome=1" >/dev/null
	one forget
	one ask "$(address_of entry-4)"
	whole "one judge left"
	close_request
}

# The owner and then the entry that took over and answered are killed: of the
# three judges of the key only the one that holds the copy is left. An entry without
# a copy requests its takeover. Guards against a key for which no entry answers until
# the membership has detected the second loss.
only_holder_left() {
	local TOKENS=100 first third
	fresh 1000 || return 1
	OWNER=$(another)
	new_request
	step_copied
	one ask "$(address_of "$(another "$OWNER" "$HOLDER")")"
	first=$(answer hash)
	third=$(await "$DIR/$HOLDER.log" "key=$REQUEST .*rehome .*held=yes" |
		sed 's/.*holder=\([^ ]*\).*/\1/')
	kill_entry "$HOLDER"
	one forget
	one ask "$(address_of "$(another "$OWNER" "$HOLDER" "$(entry_at "$third")")")"
	expect "only the holder left: the first answer again" is "$(answer hash)" "$first"
	whole "only the holder left"
	close_request
}

# The entry that took over answers the client, and is killed before its next copy
# is due: the third entry has only what came with the request to hold the copy.
# Guards against a holder that knows a request but not its answer.
killed_before_copy() {
	local TOKENS=100
	fresh 1000 || return 1
	OWNER=$(another)
	new_request
	step_copied
	await "$DIR/$HOLDER.log" "key=$REQUEST .*takeover" >/dev/null
	one ask "$(address_of "$HOLDER")"
	await "$DIR/$HOLDER.log" "key=$REQUEST .*rehome .*held=yes" >/dev/null
	kill_entry "$HOLDER"
	whole "killed before its next copy"
	close_request
}

# pause_owner: the owner does not answer for half a second, in which client two
# asks the holder. The vote on another key makes the holder's calls to the owner
# fail meanwhile. Fails if the pause was so long that the owner may be suspected.
pause_owner() {
	local from=${EPOCHREALTIME/./} paused
	kill -STOP "$(pid_of "$OWNER")"
	echo "ask $(address_of "$HOLDER")" >&7
	sleep 0.32
	echo "ask $(address_of "$HOLDER")" >&5
	sleep 0.2
	kill -CONT "$(pid_of "$OWNER")"
	paused=$(((${EPOCHREALTIME/./} - from) / 1000))
	read -r _ <&6
	read -r _ <&8
	[ $paused -lt 800 ]
}

# An owner that does not answer for less than the membership needs to suspect it
# keeps its request: the holder must not run it again.
paused_owner() {
	local i rounds=0
	fresh 10000 || return 1
	for i in $(seq 1 12); do
		[ $rounds = 6 ] && break
		OWNER=entry-1
		new_request
		one ask "$(address_of "$OWNER")"
		HOLDER=$(holder_of)
		open_caller "other-$NR" --request "$REQUEST.other" --nonce "$NONCE"
		exec 7>"$DIR/other-$NR.in" 8<"$DIR/other-$NR.answer"
		if pause_owner; then
			rounds=$((rounds + 1))
			whole "paused owner $rounds"
		fi
		exec 7>&- 8<&-
		close_request
	done
	expect "paused owner: six pauses" [ $rounds = 6 ]
}

# runs_of: prints how often plain services executed the request's call.
runs_of() {
	local a
	for a in $PLAIN_ADDRESSES; do
		curl -s "http://$a/standin/runs"
	done | grep -o "\"$NONCE\":[0-9]*" | awk -F: '{n += $2} END {print n + 0}'
}

# A call that may not be repeated, whose owner is killed while it runs: it runs
# at most once, and the reported outcome is consistent with that.
plain_calls() {
	local back
	for back in at_another at_holder late; do
		PLAIN_DELAY=300 fresh 40 || return 1
		OWNER=$(another)
		new_request --plain "$PLAIN" --path /transfer
		step_claim
		back_$back
		case "${ANSWER%% *} $(runs_of)" in
		"unknown "[01] | "done 1" | "not-run 0" | "again "[01]) RIGHT=true ;;
		*) RIGHT=false ;;
		esac
		expect "plain call, back $back: at most once, outcome consistent" $RIGHT
		$RIGHT || echo "plain call, back $back: $ANSWER, runs $(runs_of)"
		close_request
	done
}

# Prints the copy interval of a step: some steps need copies to be sent soon,
# the others need them not to be.
copy_ms_of() {
	case $1 in
	copied | sent) echo 40 ;;
	*) echo 10000 ;;
	esac
}

# Tokens that the client has when the owner is killed.
HELD=3

takeovers() {
	local step engine back
	for step in ${STEPS:-claim first sent copied whole}; do
		for engine in ${ENGINES:-with without}; do
			for back in ${BACKS:-at_another at_holder late with_old_id after_second_kill}; do
				# A client without tokens has no earlier event id.
				[ "$step $back" = "claim with_old_id" ] && continue
				fresh "$(copy_ms_of $step)" || exit 1
				case_of $step $engine back_$back
			done
		done
	done
}

for repeat in $(seq 1 "$REPEATS"); do
	for group in ${GROUPS_OF_CASES:-takeovers one_judge_left only_holder_left killed_before_copy paused_owner plain_calls}; do
		$group
	done
done
echo "takeover: $PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
