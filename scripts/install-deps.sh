#!/bin/sh
# Installs what is missing of the libraries and tools (Debian).
set -e
PKGS="gcc make pkg-config liburcu-dev libcivetweb-dev liblog4c-dev
libcunit1-dev libtirpc-dev libjson-c-dev libxxhash-dev libssl-dev
libcurl4-openssl-dev libev-dev libhttp-parser-dev uthash-dev zlib1g-dev clang-format clang-tidy curl"
missing=
for p in $PKGS; do
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
