#!/bin/bash
# clang-tidy over all sources, a few at a time. Usage: lint.sh CFLAGS FILE...
cd "$(dirname "$0")/.." || exit 1
flags=$1
shift
# gcc's flag list is what make builds with; clang does not know all of it.
printf '%s\n' "$@" | xargs -P 8 -n 6 sh -c '
	clang-tidy --quiet "$@" -- '"$flags"' 2>/dev/null' sh >/tmp/lint.$$
if grep -E 'warning:|error:' /tmp/lint.$$; then
	rm -f /tmp/lint.$$
	exit 1
fi
rm -f /tmp/lint.$$
echo "lint: clean"
