# Load on all entries while endpoints state something of themselves in their
# answers; sourced by the tests of these statements, after edge_cluster.sh.

# Requests in flight at each entry.
LOADS=${LOADS:-1}
# Not empty: no two requests have the same body.
UNIQUE=${UNIQUE:-}

# serves N: entry N has the configuration and knows endpoints.
serves() {
	is "$(request "$1" "e$1-$RANDOM" /l/x)" 200 &&
		is "$(request "$1" "e$1-$RANDOM" /s/x -d hello)" 200
}

# load_entry N: sends to $LOAD_PATH of entry N until $DIR/stop exists, and notes the
# statuses. The attempt's id names the entry, for the stand-in.
load_entry() {
	local n=$1 i=0 at head=$DIR/head-$1-$BASHPID
	at=$(address "$n" callers)
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		curl -s -m 8 -o /dev/null -D "$head" -w '%{http_code}\n' \
			-H 'Host: t.example' -H 'Deadline-Ms: 6000' \
			-H "Attempt-Id: e$n-$BASHPID-$i" \
			-H 'Authorization: Bearer k1' \
			-d "hello${UNIQUE:+ $n-$BASHPID-$i}" \
			"http://$at$LOAD_PATH" >>"$DIR/statuses"
		grep -i '^retry-after' "$head" >>"$DIR/retries"
		sleep 0.03
	done
}

# load PATH COMMAND...: sends to all entries while the command runs.
load() {
	LOAD_PATH=$1
	shift
	rm -f "$DIR/statuses" "$DIR/retries"
	with_callers load_entry "$LOADS" after_seen "$@"
}

# after_seen COMMAND...: runs it after what the stand-in saw until then was noted.
after_seen() {
	platform_test seen >"$DIR/before"
	"$@"
}

# unchanged NAME: a count of the stand-in is what it was when the load began.
unchanged() { is "$(seen "$1")" "$(count_of "$1" <"$DIR/before")"; }

# each_app CALL [QUERY]: makes the call for each endpoint of the plain service.
each_app() {
	local i
	for i in $(seq 2 2 $((2 * EDGE_SERVICES_EACH))); do
		platform_test "$1?id=i-$i${2:+&$2}" >/dev/null
	done
}

# reached ID: the requests that ran at the endpoint.
reached() { platform_test seen | sed -n "s/^$1 [a-z]* //p"; }

at_least() { [ "$1" -ge "$2" ]; }

# reached_by ID N: N requests ran there.
reached_by() { at_least "$(reached "$1")" "$2"; }

# others_than PATTERN: the number of answers with another status.
others_than() { grep -vc "$1" "$DIR/statuses"; }
