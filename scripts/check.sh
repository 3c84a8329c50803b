#!/bin/bash
# Runs every test program and the process tests, LANES of them side by side; adds
# up their results. Usage: [LANES=N] check.sh BUILD [unit|process]
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
WHAT=${2:-all}
LANES=${LANES:-4}
RESULTS=$(mktemp -d)
export BIN=$BUILD/bin
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp"
passed=0 failed=0

# known_red NAME: its line in KNOWN-RED.txt ("TEST | CAUSE | ISSUE"), if any.
known_red() { grep "^$1 | " KNOWN-RED.txt 2>/dev/null; }

# add_red NAME CODE LINE: of a listed program the failures are passed over and
# printed; one that passes must come off the list.
add_red() {
	if [ "$2" = 0 ]; then
		echo "$1 passes: to be taken off KNOWN-RED.txt"
		failed=$((failed + 1))
		return
	fi
	echo "$3"
	echo "known red: $(known_red "$1")"
	[ -z "$3" ] ||
		passed=$((passed + $(echo "$3" | sed 's/.*: \([0-9]*\) passed.*/\1/')))
}

# pass_over NAME: prints those of the program's failed checks that are listed
# one by one ("TEST: CHECK | CAUSE | ISSUE"), and leaves their number in
# passed_over. Such a fault shows seldom: a run without it does not fail.
pass_over() {
	local name=$1 check entry
	passed_over=0
	while read -r check; do
		entry=$(grep -F "$name: $check | " KNOWN-RED.txt 2>/dev/null) ||
			continue
		echo "known red: $entry"
		passed_over=$((passed_over + 1))
	done < <(sed -n -e 's/^FAILED: \(.*\) ([^()]*)$/\1/p' \
		-e 's/^ *FAILED "\(.*\)" .*/\1/p' "$OUT" | sort -u)
}

# add NAME CODE: takes the program's line "NAME: N passed, N failed" from its
# output; a program that ended without one has failed.
add() {
	local name=$1 code=$2 line
	OUT=$RESULTS/$name
	line=$(grep -E ': [0-9]+ passed, [0-9]+ failed$' "$OUT" | tail -1)
	grep -vE ': [0-9]+ passed, [0-9]+ failed$' "$OUT"
	if known_red "$name" >/dev/null; then
		add_red "$name" "$code" "$line"
		return
	fi
	if [ -z "$line" ]; then
		echo "$name: ended with $code and no result"
		failed=$((failed + 1))
		return
	fi
	echo "$line"
	passed=$((passed + $(echo "$line" | sed 's/.*: \([0-9]*\) passed.*/\1/')))
	pass_over "$name"
	failed=$((failed - passed_over + $(echo "$line" | sed 's/.*, \([0-9]*\) failed/\1/')))
	if [ "$code" != 0 ] && ! echo "$line" | grep -qv ' 0 failed$'; then
		echo "$name: ended with $code"
		failed=$((failed + 1))
	fi
}

# run_lanes LINE...: each line is a test's name and its command. Leaves the output
# in RESULTS/NAME, and the exit code and the seconds it took in RESULTS/NAME.end.
run_lanes() {
	printf '%s\0' "$@" | RESULTS=$RESULTS xargs -0 -n 1 -P "$LANES" bash -c '
		read -r name command <<<"$0"
		eval "$command" >"$RESULTS/$name" 2>/dev/null
		code=$?
		echo "$code $SECONDS" >"$RESULTS/running-$name"
		mv "$RESULTS/running-$name" "$RESULTS/$name.end"'
}

# add_all LINE...: runs the tests and adds each up, in the order of the lines.
add_all() {
	local line name code lanes
	run_lanes "$@" </dev/null &
	lanes=$!
	for line in "$@"; do
		name=${line%% *}
		while [ ! -e "$RESULTS/$name.end" ] && kill -0 $lanes 2>/dev/null; do
			sleep 0.2
		done
		code="no exit code"
		[ ! -e "$RESULTS/$name.end" ] || read -r code _ <"$RESULTS/$name.end"
		touch "$RESULTS/$name"
		add "$name" "$code"
	done
	wait $lanes
}

# Name and command of each process test, the longest first. A short run of each
# soak; seeds that ever failed are to be added here. Of the takeovers, the other
# returns of the caller take longer: run by hand. In edge_test_overlay all three
# entries are the core of the overlay; in ending_test_16 each of many entries has
# a small part of the budget of repeats.
PROCESS_TESTS='
parts_test scripts/parts_test.sh 3
rejoin_test scripts/rejoin_test.sh
takeover_test BACKS="at_another after_second_kill" scripts/takeover_test.sh
process_test scripts/process_test.sh 2>&1
edge_test scripts/edge_test.sh 2>&1
edge_test_overlay MAX_MESH=1 scripts/edge_test.sh 2>&1
overlay_test scripts/overlay_test.sh
slow_link_test scripts/slow_link_test.sh 2>&1
ending_test scripts/ending_test.sh
ending_test_16 EDGES=16 scripts/ending_test.sh
limit_test scripts/limit_test.sh
leaving_test scripts/leaving_test.sh
wait_test scripts/wait_test.sh
cut_test scripts/cut_test.sh
silence_test scripts/silence_test.sh 2
slow_reader_test scripts/slow_reader_test.sh
brittle_test scripts/brittle_test.sh 4
order_test scripts/order_test.sh 3
out_of_step_test scripts/out_of_step_test.sh
whole_test scripts/whole_test.sh
whole_test_copies CASES="no_room silent_first busy unknown_stop" scripts/whole_test.sh
whole_test_framed FRAMED=1 EDGE_SERVICES_EACH=11 CASES="refused silent unknown early no_room silent_first busy unknown_stop" scripts/whole_test.sh
migration_test scripts/migration_test.sh
grace_test scripts/grace_test.sh
late_grace_test scripts/late_grace_test.sh
relay_grace_test scripts/relay_grace_test.sh
stall_test scripts/stall_test.sh
endless_test scripts/endless_test.sh 1
endless_test_tunnel TUNNEL=1 CASES="event body_chunked foreign header" scripts/endless_test.sh 1
head_test scripts/head_test.sh
malformed_answer_test scripts/malformed_answer_test.sh
early_answer_test scripts/early_answer_test.sh
endless_store_test scripts/endless_store_test.sh
power_test scripts/power_test.sh
older_copy_test scripts/older_copy_test.sh
odd_entries_test scripts/odd_entries_test.sh 2>&1
odd_entries_test_overlay MAX_MESH=1 scripts/odd_entries_test.sh 2>&1
rollout_test scripts/rollout_test.sh
version_gone_test scripts/version_gone_test.sh
fault_soak scripts/fault_soak.sh 4 1 2 175523 228304 2>&1
statement_soak STATEMENTS=1 scripts/fault_soak.sh 8 1 2 2>&1
cut_soak CUTS=1 scripts/fault_soak.sh 6 1 2 3 2>&1
version_soak VERSIONS=1 scripts/fault_soak.sh 6 1 2 3 4 2>&1
poison_soak POISON=1 scripts/fault_soak.sh 6 1 2 3 134 2>&1
shutdown_soak scripts/shutdown_soak.sh 20 301 312
document_soak scripts/document_soak.sh 14 6 11
rejoin_soak scripts/rejoin_soak.sh 5 1 2 3 4 2>&1
packages_test scripts/packages_test.sh 2>&1
check_test scripts/check_test.sh 2>&1
'
# Tests that measure a process, one after the other when nothing else runs.
ALONE='
crowd_test scripts/crowd_test.sh
entry_crowd_test scripts/entry_crowd_test.sh
crowd_test_many DESCRIPTORS=1000 CASES=returning scripts/crowd_test.sh
'
lines=()
if [ "$WHAT" != process ]; then
	for t in "$BUILD"/tests/test_* "$BUILD"/tests/fuzz_*; do
		[ -x "$t" ] && [ -f "$t" ] || continue
		lines+=("$(basename "$t") $t 2>&1")
	done
fi
if [ "$WHAT" != unit ]; then
	while read -r line; do
		[ -z "$line" ] || lines+=("$line")
	done <<<"$PROCESS_TESTS"
fi
add_all "${lines[@]}"
if [ "$WHAT" != unit ]; then
	while read -r line; do
		[ -z "$line" ] || LANES=1 add_all "$line"
	done <<<"$ALONE"
fi
echo "the longest: $(cd "$RESULTS" && awk '{ print $2, FILENAME }' ./*.end |
	sort -rn | head -8 | sed 's|\(.*\) ./\(.*\).end|\2 \1 s|' | paste -sd,)"
rm -rf "$RESULTS"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
