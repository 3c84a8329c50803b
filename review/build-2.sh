#!/bin/bash
# Builds what the scripts in review/4 to review/8 start, beside the build of the deploy
# file. Their stand-ins are in Python and use its standard library only.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for f in review/[4-8]/*.py; do
	[ -e "$f" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f" || exit 1
done
