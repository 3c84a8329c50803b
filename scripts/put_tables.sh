#!/bin/sh
# put_tables.sh PAGE FILE: puts FILE between the marks of PAGE.
awk -v file="$2" '
	/^<!-- measured: end -->/ {skip = 0}
	!skip {print}
	/^<!-- measured: begin -->/ {
		while ((getline line < file) > 0) print line
		print ""
		skip = 1
	}' "$1" >"$1.new" && mv "$1.new" "$1"
