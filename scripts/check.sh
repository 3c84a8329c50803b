#!/bin/bash
# Runs every test program and the process tests; adds up their results.
# Usage: check.sh BUILD [unit|process]
cd "$(dirname "$0")/.." || exit 1
BUILD=${1:-build}
WHAT=${2:-all}
OUT=$(mktemp)
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

# add: takes the program's line "NAME: N passed, N failed"; a program that
# ended without one has failed.
add() {
	local name=$1 code=$2 line
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

if [ "$WHAT" != process ]; then
	for t in "$BUILD"/tests/test_* "$BUILD"/tests/fuzz_*; do
		[ -x "$t" ] && [ -f "$t" ] || continue
		"$t" >"$OUT" 2>&1
		add "$(basename "$t")" $?
	done
fi
if [ "$WHAT" != unit ]; then
	scripts/packages_test.sh >"$OUT" 2>&1
	add packages_test $?
	BIN=$BUILD/bin scripts/process_test.sh >"$OUT" 2>&1
	add process_test $?
	# The other returns of the caller take longer: run by hand.
	BIN=$BUILD/bin BACKS="at_another after_second_kill" \
		scripts/takeover_test.sh >"$OUT" 2>/dev/null
	add takeover_test $?
	BIN=$BUILD/bin scripts/edge_test.sh >"$OUT" 2>&1
	add edge_test $?
	# The same in the overlay of gossip, where all three are the core.
	BIN=$BUILD/bin MAX_MESH=1 scripts/edge_test.sh >"$OUT" 2>&1
	add edge_test_overlay $?
	BIN=$BUILD/bin scripts/overlay_test.sh >"$OUT" 2>/dev/null
	add overlay_test $?
	BIN=$BUILD/bin scripts/slow_link_test.sh >"$OUT" 2>&1
	add slow_link_test $?
	BIN=$BUILD/bin scripts/ending_test.sh >"$OUT" 2>/dev/null
	add ending_test $?
	# Each of many entries has a small part of the budget of repeats.
	BIN=$BUILD/bin EDGES=16 scripts/ending_test.sh >"$OUT" 2>/dev/null
	add ending_test_16 $?
	BIN=$BUILD/bin scripts/parts_test.sh 3 >"$OUT" 2>/dev/null
	add parts_test $?
	BIN=$BUILD/bin scripts/limit_test.sh >"$OUT" 2>/dev/null
	add limit_test $?
	BIN=$BUILD/bin scripts/leaving_test.sh >"$OUT" 2>/dev/null
	add leaving_test $?
	BIN=$BUILD/bin scripts/wait_test.sh >"$OUT" 2>/dev/null
	add wait_test $?
	BIN=$BUILD/bin scripts/cut_test.sh >"$OUT" 2>/dev/null
	add cut_test $?
	BIN=$BUILD/bin scripts/silence_test.sh 2 >"$OUT" 2>/dev/null
	add silence_test $?
	BIN=$BUILD/bin scripts/slow_reader_test.sh >"$OUT" 2>/dev/null
	add slow_reader_test $?
	BIN=$BUILD/bin scripts/brittle_test.sh 4 >"$OUT" 2>/dev/null
	add brittle_test $?
	BIN=$BUILD/bin scripts/order_test.sh 3 >"$OUT" 2>/dev/null
	add order_test $?
	BIN=$BUILD/bin scripts/whole_test.sh >"$OUT" 2>/dev/null
	add whole_test $?
	BIN=$BUILD/bin scripts/migration_test.sh >"$OUT" 2>/dev/null
	add migration_test $?
	BIN=$BUILD/bin scripts/grace_test.sh >"$OUT" 2>/dev/null
	add grace_test $?
	BIN=$BUILD/bin scripts/endless_test.sh 1 >"$OUT" 2>/dev/null
	add endless_test $?
	BIN=$BUILD/bin scripts/power_test.sh >"$OUT" 2>/dev/null
	add power_test $?
	BIN=$BUILD/bin scripts/older_copy_test.sh >"$OUT" 2>/dev/null
	add older_copy_test $?
	BIN=$BUILD/bin scripts/rollout_test.sh >"$OUT" 2>/dev/null
	add rollout_test $?
	# A short run; seeds that ever failed are to be added here.
	BIN=$BUILD/bin scripts/fault_soak.sh 4 1 2 175523 228304 >"$OUT" 2>&1
	add fault_soak $?
	BIN=$BUILD/bin STATEMENTS=1 scripts/fault_soak.sh 8 1 2 >"$OUT" 2>&1
	add statement_soak $?
	BIN=$BUILD/bin CUTS=1 scripts/fault_soak.sh 6 1 2 3 >"$OUT" 2>&1
	add cut_soak $?
	BIN=$BUILD/bin VERSIONS=1 scripts/fault_soak.sh 6 1 2 3 4 >"$OUT" 2>&1
	add version_soak $?
	BIN=$BUILD/bin POISON=1 scripts/fault_soak.sh 6 1 2 3 134 >"$OUT" 2>&1
	add poison_soak $?
	BIN=$BUILD/bin scripts/shutdown_soak.sh 20 301 312 >"$OUT" 2>/dev/null
	add shutdown_soak $?
fi
rm -f "$OUT"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
