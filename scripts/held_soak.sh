# Functions that a soak with held_callers needs: signals to entries, endpoints that leave,
# and the judgement of each request; sourced by the soaks. Builds on edge_cluster.sh.
#
# Files in $DIR: callers.out, of held_callers; signals, lines "MS WHAT N"; time-outs, lines
# "MS STREAM_MS PLAIN_MS", of the routes from that time on.

note() { echo "$(now_ms) $*" >>"$DIR/signals"; }

# is_entry N PID: the process is still that of entry N.
is_entry() {
	local args
	mapfile -d '' -t args 2>/dev/null <"/proc/$2/cmdline"
	[[ "${args[*]}" == *"edge-$1.json"* ]]
}

# signal_entry NAME N PID
signal_entry() {
	is_entry "$2" "$3" || return 0
	note "$1" "$2"
	kill "-$1" "$3"
}

# later SECONDS COMMAND...: in the background.
later() {
	local wait=$1
	shift
	{ sleep "$wait"; "$@"; } >/dev/null 2>&1 &
}

# pace N: most endpoints need 3 to 7 s for a stream.
pace() {
	[ $((RANDOM % 6)) = 0 ] && return
	platform_test "pace?id=i-$1&first=$((RANDOM % 900 + 100))&gap=$((RANDOM % 180 + 140))"
}

# replace_endpoint: the oldest leaves while streams run, and another one comes.
replace_endpoint() {
	local i=i-${LLM[0]} ms=$((RANDOM % 2500 + 1500))
	[ -n "$NO_LEAVING" ] && return
	note LEAVES "$i" $(($(now_ms) + ms))
	NEWEST=$((NEWEST + 1))
	LLM=("${LLM[@]:1}" $NEWEST)
	platform_test "start?service=llm&version=v1&n=1"
	pace $NEWEST
	platform_test "drain?id=$i"
	platform_test "end?id=$i&ms=$ms"
}

# Judges each request that ended without a whole answer:
# VERDICT WHY ID ENTRY PATH RESULT SENT END TERM_AGE HOW ENDPOINT
# VERDICT: allowed; cut (around a SIGTERM); stalled (the same, of an entry that was
# frozen near it); apart (with no SIGTERM near); slow (any of them, of a caller that
# reads slowly); unread (with UNREAD=1: out of time, though the endpoint had ended its
# answer in time); torn.
judge() {
	awk -v grace="$GRACE_MS" -v deadline="$DEADLINE_MS" -v slow="$SLOW" \
		-v unread="${UNREAD:-0}" -v late="${LATE_MS:-0}" \
		-v unframed="${UNFRAMED:-0}" '
	BEGIN { CROSSING_MS = 200 }
	FILENAME ~ /signals$/ {
		if ($2 == "TERM") { terms[$3] = terms[$3] " " $1 }
		if ($2 == "STOP") { stops[$3] = stops[$3] " " $1 }
		if ($2 == "LEAVES") { gone[$3] = $4 }
		if ($2 == "CONT") { thaws[$3] = thaws[$3] " " $1 }
		next
	}
	FILENAME ~ /time-outs$/ {
		since[++nr_time_outs] = $1
		streams[nr_time_outs] = $2
		plain[nr_time_outs] = $3
		next
	}
	FILENAME ~ /run-times$/ { ran[$1]++; how[$1] = $5; at[$1] = $2; until[$1] = $4; next }
	# The first SIGTERM of the process that got the request, if it is near.
	function term_of(entry, from, to,   i, n, list) {
		n = split(terms[entry], list, " ")
		for (i = 1; i <= n; i++)
			if (from < list[i] + grace + 300 && to >= list[i] &&
			    to <= list[i] + grace + 1000) return list[i]
		return 0
	}
	function frozen(entry, from, to,   i, n, list) {
		n = split(stops[entry], list, " ")
		for (i = 1; i <= n; i++)
			if (list[i] >= from && list[i] <= to) return 1
		return 0
	}
	# How long the entry was suspended in that time.
	function suspended(entry, from, to,   i, k, n, m, stop, thaw, list, ends, sum) {
		n = split(stops[entry], list, " ")
		m = split(thaws[entry], ends, " ")
		for (i = 1; i <= n; i++) {
			stop = list[i] > from ? list[i] : from
			thaw = to
			for (k = i < m ? i : m; k > 1 && ends[k - 1] > list[i]; k--)
				;
			if (k > 0 && ends[k] > list[i] && ends[k] < to)
				thaw = ends[k]
			if (thaw > stop) sum += thaw - stop
		}
		return sum + 0
	}
	# The shortest time-out of the documents that may be in force for what was sent
	# at `from` and read by `to`.
	function time_out(stream, from, to,   i, ms, min) {
		min = deadline
		for (i = 1; i <= nr_time_outs; i++) {
			if (since[i] > to || (i < nr_time_outs &&
			    since[i + 1] < from - late))
				continue
			ms = stream ? streams[i] : plain[i]
			if (ms < min) min = ms
		}
		return min
	}
	function is_slow(id,   part) {
		split(id, part, "-")
		return substr(part[3], 2) + 0 < slow
	}
	function say(verdict, why) {
		if (verdict != "allowed" && verdict != "torn" && is_slow($1)) {
			why = verdict "-" why
			verdict = "slow"
		}
		print verdict, why, $1, $2, $3, $7 "/" $8, $4, $6,
			term ? $4 - term : "-", term ? $6 - term : "-",
			($1 in ran) ? how[$1] : "none",
			($1 in ran) ? at[$1] : "-"
	}
	$7 == "torn" { term = 0; say("torn", "body"); next }
	$7 != "cut" && $7 != "closed" { next }
	{
		# A caller that reads slowly sees the end later than the endpoint.
		ended = how[$1] == "left" && until[$1] < $6 ? until[$1] : $6
		term = term_of($2, $4, ended)
		timeout = time_out(($3 ~ /^\/[so]/), $4,
			($5 ? $5 : $4) + CROSSING_MS + suspended($2, $4, $6))
		# Once the process is gone nothing proves that its answer was whole.
		if (unframed && how[$1] == "whole" && (at[$1] in gone) &&
		    gone[at[$1]] <= $6) say("allowed", "unproved")
		else if (unread && how[$1] == "whole" && until[$1] <= $4 + timeout &&
		    !is_slow($1)) say("unread", $6 - $4 >= timeout ? "time" : "early")
		else if ($6 - $4 >= timeout) say("allowed", "time")
		else if (how[$1] == "broke") say("allowed", "endpoint")
		else if (!($1 in ran) &&
			 ($5 == 0 || $6 - $5 - suspended($2, $5, $6) <= CROSSING_MS))
			say("allowed", "crossed")
		else if (term && ($1 in ran) && $4 <= term + 3000 &&
			 (until[$1] == 0 || until[$1] >= term + grace * 5 / 6))
			say("allowed", "late")
		else {
			why = ($1 in ran) ? "run-" how[$1] : "held"
			if (frozen($2, $4 - 4000, ended)) say("stalled", why)
			else if (term) say("cut", why)
			else say("apart", why)
		}
	}' "$DIR/signals" "$DIR/time-outs" "$DIR/run-times" "$DIR/told"
}

# last_lines: what the entries logged last of each request that was not allowed to end.
last_lines() {
	local verdict why id entry rest
	grep -v ^allowed "$DIR/judged" | while read -r verdict why id entry rest; do
		echo "$verdict $why $id $entry $rest :: $(
			grep -h "\"id\":\"$id\"" "$DIR/edge-$entry"*.out | tail -1 |
				sed 's/.*"event":"\([^"]*\)".*"id":"[^"]*",*\(.*\)}/\1 \2/' |
				cut -c1-600)"
	done
}

# ran_though_refused: ids of requests that must not be repeated, answered with a
# status that promises that they did not run.
ran_though_refused() {
	awk 'FILENAME ~ /run-times$/ { ran[$1] = 1; next }
		$3 ~ /^\/[uo]/ && $7 ~ /^(503|429|408|421)$/ && ($1 in ran) { print $1 }' \
		"$DIR/run-times" "$DIR/told"
}

none() { ! grep -q "^$1 " "$DIR/judged"; }

judged() { judge >"$DIR/judged"; }

# judge_soak SEED: judges what callers were told, and prints counts and each failure.
judge_soak() {
	platform_test "runs?times" >"$DIR/run-times"
	cp "$DIR/callers.out" "$DIR/told"
	expect "$1: requests are judged" judged
	last_lines >"$DIR/cuts"
	echo "seed $1: $(wc -l <"$DIR/told") requests," \
		"$(whole_answers) whole," \
		"$(awk '$7 ~ /^[0-9]/' "$DIR/told" | wc -l) refused or failed," \
		"$(awk '$7 == "left"' "$DIR/told" | wc -l) left," \
		"$(awk '$2 != "CONT" { n[$2]++ } END { for (k in n) printf "%d %s, ", n[k], k }' \
			"$DIR/signals")" \
		"$(awk '{ n[$1 " " $2]++ } END { for (k in n) printf "%s %d; ", k, n[k] }' \
			"$DIR/judged")"
	cat "$DIR/cuts"
}

whole_answers() { awk '$7 == "whole"' "$DIR/told" | wc -l; }
