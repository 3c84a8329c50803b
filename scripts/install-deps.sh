#!/bin/sh
# Installs what is missing of the libraries and tools (Debian): what the build
# of the deploy file needs is listed there.
set -e
cd "$(dirname "$0")/.."
EDGE=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
PROGRAMS="libcivetweb-dev liblog4c-dev libcurl4-openssl-dev"
TESTS="libcunit1-dev clang-format clang-tidy curl git python3 strace"
missing=
for p in $EDGE $PROGRAMS $TESTS; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
SUDO=
[ "$(id -u)" = 0 ] || SUDO=sudo
export DEBIAN_FRONTEND=noninteractive
$SUDO apt-get update -q
# shellcheck disable=SC2086
$SUDO apt-get install -y -q --no-install-recommends $missing
