#!/bin/sh
# Stops the build where a library or tool is missing, with the Debian package
# that has it. Usage: CC=gcc require.sh NAME...
# A NAME that ends in .h is a header, any other a module of pkg-config.

# package_of NAME: the Debian package of a header, module or tool.
package_of() {
	case $1 in
	stdio.h) echo libc6-dev ;;
	ev.h) echo libev-dev ;;
	http_parser.h) echo libhttp-parser-dev ;;
	uthash.h) echo uthash-dev ;;
	xxhash.h) echo libxxhash-dev ;;
	zlib.h) echo zlib1g-dev ;;
	civetweb.h) echo libcivetweb-dev ;;
	json-c) echo libjson-c-dev ;;
	libtirpc) echo libtirpc-dev ;;
	libcrypto) echo libssl-dev ;;
	liburcu-bp) echo liburcu-dev ;;
	libcurl) echo libcurl4-openssl-dev ;;
	log4c) echo liblog4c-dev ;;
	cunit) echo libcunit1-dev ;;
	pkg-config) echo pkgconf ;;
	*) echo "$1" ;;
	esac
}

# require NAME COMMAND...: the command fails where NAME is missing.
missing=0
require() {
	name=$1
	shift
	"$@" >/dev/null 2>&1 && return
	echo "$name not found: install $(package_of "$name")" >&2
	missing=1
}

has_header() { echo "#include <stdio.h>
#include <$1>" | $CC -E -x c -; } # CC may have arguments

CC=${CC:-gcc}
require "${CC%% *}" command -v "${CC%% *}"
require pkg-config command -v pkg-config
[ "$missing" = 0 ] || exit 1
for name in stdio.h "$@"; do
	case $name in
	*.h) require "$name" has_header "$name" ;;
	*) require "$name" pkg-config --exists "$name" ;;
	esac
done
exit "$missing"
