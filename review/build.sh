#!/bin/bash
# Builds the stand-ins that the cases start. Needs a C compiler and nothing else.
cd "$(dirname "$0")" || exit 1
mkdir -p bin
exec cc -std=c11 -Wall -Wextra -O1 -pthread -o bin/standin standin.c
