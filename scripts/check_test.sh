#!/bin/bash
# What check.sh makes of the results of test programs.
#
# Failure: a test program that printed its result and then crashed counted as
# passed, since its exit code was lost.
# Usage: check_test.sh
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap 'rm -rf "$DIR"' EXIT

# program NAME LINE...: a test program of these lines of bash.
program() {
	mkdir -p "$DIR/tests"
	{ echo '#!/bin/bash' && printf '%s\n' "${@:2}"; } >"$DIR/tests/test_$1"
	chmod +x "$DIR/tests/test_$1"
}

# said LINE: the output has it.
said() { grep -qxF "$1" "$DIR/output"; }

program sound 'sleep 0.5' 'echo "sound: 3 passed, 0 failed"'
scripts/check.sh "$DIR" unit >"$DIR/output" 2>&1
expect "a sound program passes" is $? 0
expect "its checks are counted" is "$(tail -1 "$DIR/output")" "3 passed, 0 failed"

program crashed 'echo "crashed: 4 passed, 0 failed"' 'exit 139'
program failed 'echo "FAILED: a check"' 'echo "failed: 5 passed, 2 failed"' 'exit 1'
program killed 'kill -9 $$'
program silent 'exit 0'
scripts/check.sh "$DIR" unit >"$DIR/output" 2>&1
expect "programs that do not pass fail the run" is $? 1
expect "a crash after the result" said "test_crashed: ended with 139"
expect "failed checks are printed" said "FAILED: a check"
expect "a program that is killed" said "test_killed: ended with 137 and no result"
expect "a program without a result" said "test_silent: ended with 0 and no result"
expect "all are counted" is "$(tail -1 "$DIR/output")" "12 passed, 5 failed"

echo "check_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
