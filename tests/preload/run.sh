#!/bin/bash
# Runs a command that can be cut off from the endpoints (cut.c).
# Usage: run.sh LIBRARY CUT_FILE COMMAND...
export CUT_FILE=$2
export LD_PRELOAD=$1
# The sanitizer's library is not the first one then.
export ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}verify_asan_link_order=0
shift 2
exec "$@"
