#!/bin/bash
# Plays the days of tests/days/kinds.txt, one kind of trouble each, on each
# deployment and prints a line a day that broke a rule or ended badly.
# Usage: days.sh PLAYER JOBS WHY DEPLOYMENT...
cd "$(dirname "$0")/.." || exit 1
player=$1 jobs=$2 why=$3
shift 3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# write_day NAME ENTRIES: the day as the player reads it.
write_day() {
	local plan="" faults="" entry text word list=$2
	while [ -n "$list" ]; do
		entry=${list%%;*}
		[ "$entry" = "$list" ] && list="" || list=${list#*;}
		text=""
		local planned=
		# Words may be quoted, so the shell splits them.
		eval "set -- $entry"
		for word in "$@"; do
			case $word in
			plan) planned=1 ;;
			*=*[!0-9.]*) text="$text, ${word%%=*} = \"${word#*=}\"" ;;
			*) text="$text, ${word%%=*} = ${word#*=}" ;;
			esac
		done
		if [ -n "$planned" ]; then
			plan="$plan { ${text#, } },"
		else
			faults="$faults { ${text#, } },"
		fi
	done
	printf 'name = "%s"\nslot = "trouble"\nseed = %s\n' "$name" "$seed"
	printf 'plan = [%s]\nfaults = [%s]\n' "$plan" "$faults"
}

play() {
	local site=$1 name=$2 out=$dir/$3.$2.out
	"$player" run "$site" "$dir/$name.toml" --why "$why: $name" \
		>"$out" 2>&1
	grep -E "^$name +[0-9]" "$out" | head -1 | sed "s|^|$(basename "$site" .toml) |"
	grep -A12 -iE 'wrong, on|broken:' "$out" | head -14 >"$out.why"
	# A day whose trouble found no target shows nothing.
	sed -n '/^what happened/,/^$/p' "$out" |
		grep -E '(node_|herd_|core_|kill_|replace_|roll_|srv_|release|scale_|reset_|after_)' |
		grep -E '(_[a-z]+|release)( \([a-z_ ]*\))? *$' |
		sed "s|^|$(basename "$site" .toml) $name: NO TARGET |" >>"$out.why"
}

seed=7
while read -r name entries; do
	case $name in '' | '#'*) continue ;; esac
	seed=$((seed + 1))
	write_day "$name" "$entries" >"$dir/$name.toml"
done <tests/days/kinds.txt

results=$dir/results
for site in "$@"; do
	for day in "$dir"/*.toml; do
		while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
		play "$site" "$(basename "$day" .toml)" \
			"$(basename "$site" .toml)" >>"$results" &
	done
done
wait
grep -E 'BROKEN|failed:|fault' "$results"
for why in "$dir"/*.why; do [ -s "$why" ] && cat "$why"; done
echo "least worth:"
sort -k5,5n "$results" | head -8 | cut -c1-150
awk '{ n++; for (i = 4; i <= 5; i++) v[i] = $i; w += $5 }
	/BROKEN/ { b++ }
	END { printf "days: %d played, %d broken, worth mean %.3f\n", n, b, w / n }' \
	"$results"
