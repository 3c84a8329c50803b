#!/bin/bash
# The check of the packages that the build uses, on this machine, which has more
# than those: that it passes as the tree stands, and each way in which it fails.
#
# Failure: the build asked pkg-config for the modules of all tests and programs;
# it failed on machines that held only the packages of deploy/system.toml.
# Usage: packages_test.sh
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
trap 'rm -rf "$DIR"' EXIT
TREE=$DIR/tree
CHECK=scripts/check_packages.py

# fresh_tree: TREE is a copy of this repository.
fresh_tree() {
	rm -rf "$TREE"
	mkdir "$TREE"
	git ls-files -z -co --exclude-standard -- . ':!journal' |
		xargs -0 cp --parents -t "$TREE" 2>/dev/null
	git -C "$TREE" init -q
}

# small_tree COMMAND: TREE is a project of one source file, which COMMAND builds.
small_tree() {
	rm -rf "$TREE"
	mkdir -p "$TREE/deploy" "$TREE/tests"
	git -C "$TREE" init -q
	echo 'int main(void) { return 0; }' >"$TREE/main.c"
	echo '#define ANSWER 0' >"$TREE/tests/answer.h"
	cat >"$TREE/deploy/system.toml" <<-END
		build = "mkdir -p target && $1"
		packages = ["gcc", "libc6-dev", "make", "pkgconf"]
	END
}

# add_source LINE: a first line of the small project's source file.
add_source() { sed -i "1i $1" "$TREE/main.c"; }

# check STATUS [LINE...]: the check of TREE ends with STATUS, and a line of its
# output has each LINE.
check() {
	local status=$1 line code
	shift
	"$CHECK" "$TREE" >"$DIR/output" 2>&1
	code=$?
	for line in "$@"; do
		grep -qE "$line" "$DIR/output" || code="$code without $line"
	done
	[ "$code" = "$status" ] && return
	echo "ended with $code:" && head -20 "$DIR/output"
	return 1
}

# require_without MODULE...: "make edge" where pkg-config finds only MODULE...
require_without() {
	local folder module
	folder=$(mktemp -d -p "$DIR")
	for module in "$@"; do
		ln -s "$(pkg-config --path "$module")" "$folder/"
	done
	PKG_CONFIG_LIBDIR=$folder make -C "$TREE" -s edge BUILD=target >"$DIR/output" 2>&1
}

CC="gcc -o target/main main.c"

fresh_tree
expect "the tree as it stands passes" check 0
sed -i 's/"libxxhash-dev", //' "$TREE/deploy/system.toml"
expect "a package off the list: its header is in the default path" \
	check 1 '^libxxhash-dev: not listed, and /usr/include/xxhash.h '
fresh_tree
sed -i 's/^EDGE_MODULES = /&cunit libcurl log4c /' "$TREE/Makefile"
expect "pkg-config is asked for the modules of the tests" \
	check 1 '^libcunit1-dev: .*/cunit.pc ' '^libcurl4-openssl-dev: .*/libcurl.pc ' \
	'^liblog4c-dev: .*/log4c.pc '
fresh_tree
sed -i '1i #include <curl/curl.h>' "$TREE/lib/base/hsh.c"
expect "a header of an unlisted package" \
	check 1 '^libcurl4-openssl-dev: .*/curl/curl.h '
fresh_tree
sed -i 's/^build = "/&python3 --version \&\& /' "$TREE/deploy/system.toml"
expect "a tool of an unlisted package, before make" \
	check 1 '^python3-minimal: .*/python3 '
fresh_tree
require_without libtirpc libcrypto liburcu-bp
expect "a missing library stops make, with its package" \
	grep -q '^json-c not found: install libjson-c-dev$' "$DIR/output"
expect "and before the compiler" \
	eval '! grep -q error: "$DIR/output"'

small_tree "$CC"
expect "a small project passes" check 0
small_tree "$CC -lcivetweb"
expect "a library of an unlisted package" \
	check 1 '^libcivetweb-dev: .*/libcivetweb.so '
small_tree "$CC && /usr/bin/python3 --version"
expect "a tool by its path" check 1 '^python3-minimal: .*/usr/bin/python3'
small_tree "./tool && $CC"
printf '#!/usr/bin/python3\n' >"$TREE/tool" && chmod +x "$TREE/tool"
expect "a tool that interprets a script" check 1 '^python3-minimal: '
small_tree "(pkg-config --exists cunit || true) && $CC"
expect "a module that is asked for, and whose answer is not used" \
	check 1 '^libcunit1-dev: .*/cunit.pc '
small_tree "$CC -I$DIR/elsewhere"
mkdir "$DIR/elsewhere" && echo '#define X 1' >"$DIR/elsewhere/own.h"
add_source '#include <own.h>'
expect "a file of no package" check 1 "^no package: $DIR/elsewhere/own.h "
small_tree "$CC"
add_source '#include "tests/answer.h"'
expect "a file of the tests" check 1 '^the tests: tests/answer.h '
small_tree "$CC && if [ ! -d tests ]; then exit 1; fi"
expect "tests that have to be there" check 1 '^the build failed with the listed packages alone'
small_tree "$CC && { ! [ -x /usr/bin/python3 ] || type python3; }"
expect "a tool that is only looked for" \
	check 1 '^the build failed with the listed packages alone'
small_tree "$CC && cp main.c main.copy.c"
expect "a file written outside target/" check 1 '^outside target/: .*/main.copy.c '
small_tree "$CC && mkdir $DIR/made"
expect "a folder made outside the tree" check 1 "^outside target/: $DIR/made "
small_tree "bash -c 'exec 3<>/dev/udp/127.0.0.1/9' && $CC"
expect "a socket" check 1 '^network: socket\(AF_INET'
small_tree "$CC"
sed -i 's/"make"/"make", "no-such-package"/' "$TREE/deploy/system.toml"
expect "a listed package that is not there" check 1 '^no-such-package: listed, but not installed'
small_tree "gcc -o target/main absent.c"
expect "a build that fails" check 1 '^the build failed:' 'absent.c: No such file'
rm "$TREE/deploy/system.toml"
expect "no deploy file" check 2 'system.toml'

echo "packages_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
