# Functions that start the stand-in platform and entries on it; sourced by the
# tests and the demo of the platform's path. Builds on cluster.sh.

EDGES=${EDGES:-3}
EDGE_SERVICES_EACH=${EDGE_SERVICES_EACH:-3}
# Entries up to which there is no overlay of gossip.
MAX_MESH=${MAX_MESH:-128}
# Share of the requests that a new version gets before it is decided about; 0: no
# version is withheld.
EXPOSURE=${EXPOSURE:-0.1}
# More settings of an entry, each with a comma before it.
EDGE_SETTINGS=${EDGE_SETTINGS:-}
# More bounds, in the same way.
EDGE_BOUNDS=${EDGE_BOUNDS:-}
# A command that runs an entry, such as prlimit.
EDGE_RUN=${EDGE_RUN:-}
# Not empty: entries can be cut off from all endpoints, see cut_off().
CUTTABLE=${CUTTABLE:-}

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# mode NAME MODE: how the proxy treats what passes, see tests/standin/proxy.c.
mode() { echo "$2" >"$DIR/$1.mode"; }

# proxy NAME TO: starts a proxy; leaves its address in PROXY.
proxy() {
	mode "$1" pass
	start "$1" "$BIN/standin-proxy" --to "$2" --mode "$DIR/$1.mode"
	PROXY=$(ready "$1")
}

any_entry() { echo $((RANDOM % EDGES + 1)); }

edge_settings() {
	cat <<-END
	{
		"name": "edge-$1", "zone": "north", "region": "here",
		"ip": "127.0.0.1", "first_start": ${2:-true},
		"listen": { "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
			"lookup": "127.0.0.1:0" },
		"first_internal_port": 0,
		"store": { "address": "$PLATFORM" },
		"cloud": { "address": "$PLATFORM", "duties": ["usage"] },
		"bounds": { "usage_window_s": 1, "usage_late_s": 10,
			"exposure_share": $EXPOSURE, "exposure_slack": 50$EDGE_BOUNDS },
		"policy": { "max_mesh": $MAX_MESH }$EDGE_SETTINGS
	}
	END
}

# launch_edge N [FIRST_START]: does not wait until it has started.
launch_edge() {
	edge_settings "$1" "$2" >"$DIR/edge-$1.json"
	# The lines of the process before are kept.
	[ -s "$DIR/edge-$1.out" ] &&
		mv "$DIR/edge-$1.out" "$DIR/edge-$1-before-$(date +%s%N).out"
	[ -s "$DIR/edge-$1.log" ] &&
		mv "$DIR/edge-$1.log" "$DIR/edge-$1-before-$(date +%s%N).log"
	: >"$DIR/edge-$1.out"
	if [ -n "${CUTTABLE:-}" ]; then
		[ -e "$DIR/cut-$1" ] || echo pass >"$DIR/cut-$1"
		start "edge-$1" tests/preload/run.sh "$BIN/cut.so" \
			"$DIR/cut-$1" "$BIN/marldock-edge" -s "$DIR/edge-$1.json"
	else
		start "edge-$1" $EDGE_RUN "$BIN/marldock-edge" \
			-s "$DIR/edge-$1.json"
	fi
}

has_started() { grep -q '"event":"start"' "$DIR/edge-$1.out"; }

# start_edge N [FIRST_START]
start_edge() {
	launch_edge "$@"
	wait_for has_started "$1"
}

start_edges() {
	local i
	start platform "$BIN/standin-platform" \
		--endpoints "$EDGE_SERVICES_EACH" ${PLATFORM_ARGS:-}
	PLATFORM=$(ready platform) || return 1
	for i in $(seq 1 "$EDGES"); do start_edge "$i" || return 1; done
}

# cut_off HOW N...: cuts the entries off from all endpoints; HOW as in
# tests/preload/cut.c, pass: not any more.
cut_off() {
	local how=$1 n
	shift
	for n in "$@"; do echo "$how" >"$DIR/cut-$n"; done
}

# address N WHAT: callers, lookup, ready or peers, of the newest start.
address() {
	grep '"event":"start"' "$DIR/edge-$1.out" | tail -1 |
		sed "s/.*\"$2\":\"\([^\"]*\)\".*/\1/"
}

# put_document VERSION KEYS [MORE_ROUTES [MORE_SERVICES]]; DOCUMENT_EDITS: sed commands for
# the rest.
put_document() {
	# As a script file: many routes are too long for an argument.
	printf 's|%%VERSION%%|%s|; s|%%KEYS%%|%s|; s|%%ROUTES%%|%s|\n' \
		"$1" "$2" "$3" >"$DIR/document.sed"
	printf 's|"services":\[|&%s|\n' "$4" >>"$DIR/document.sed"
	[ -z "${MAX_BODY_BYTES:-}" ] ||
		echo "s|\(\"maxBodyBytes\":\)[0-9]*|\1$MAX_BODY_BYTES|" \
			>>"$DIR/document.sed"
	[ -z "${DOCUMENT_EDITS:-}" ] || echo "$DOCUMENT_EDITS" >>"$DIR/document.sed"
	sed -f "$DIR/document.sed" tests/standin/document.json \
		>"$DIR/document.json"
	curl -s -o /dev/null --data-binary @"$DIR/document.json" \
		"http://$PLATFORM/test/put?key=op/config"
}

# many_routes N: for put_document; 1,600 of them are some 300 KB as the store
# gives them.
many_routes() {
	local i
	for i in $(seq 1 "$1"); do
		printf ',{"name":"more-%s","host":"t.example","prefix":"/more-%s/","routeKind":"safe","timeoutMs":1500,"service":"app","maxAttempts":2}' "$i" "$i"
	done
}

platform_test() {
	curl -s "http://$PLATFORM/test/$1"
}

# stored_value KEY: prints the value of a key in the store.
stored_value() {
	curl -s "http://$PLATFORM/v1/kv-key?key=$1" |
		sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null
}

# port_of ID: the port of the endpoint, as it is listed.
port_of() { stored_value "servers/$1" | sed 's/.*"address":"[^:]*:\([0-9]*\)".*/\1/'; }

# holder: prints the number of the entry that last took the duty lease.
holder() {
	grep -h '"event":"duty"' "$DIR"/edge-*.out | grep '"holding":true' |
		sort | tail -1 | sed 's/.*"instance":"edge-\([0-9]*\)".*/\1/'
}

# count_of NAME: picks a count from what the stand-in saw, on standard input.
count_of() { head -1 | tr ' ' '\n' | grep -A1 "^$1$" | tail -1; }

# seen NAME: a count of what the stand-in saw.
seen() { platform_test seen | count_of "$1"; }

# request N ID PATH [CURL OPTION...]: to entry N; body in $DIR/body, prints
# the status.
request() {
	local n=$1 id=$2 path=$3
	shift 3
	curl -s -m 20 -o "$DIR/body" -w '%{http_code}' -H 'Host: t.example' \
		-H "Attempt-Id: $id" -H 'Deadline-Ms: 10000' \
		-H "Authorization: Bearer ${KEY:-k1}" "$@" \
		"http://$(address "$n" callers)$path"
}

# begins N: entry N serves a stream.
begins() { is "$(request "$1" "first-$1-$RANDOM" /s/x -d hello)" 200; }

# everywhere COMMAND [ARG...]: it holds for each entry, given as first argument.
everywhere() {
	local n
	for n in $(seq 1 "$EDGES"); do "$1" "$n" "${@:2}" || return 1; done
}

# in_force N VERSION: entry N has had it in force.
in_force() { grep -q "\"event\":\"config_in_force\",\"config\":$2," "$DIR/edge-$1.out"; }

# start_endless NAME SERVICE SLOTS: starts an endpoint in trouble and lists it; $DIR/mode
# and the files in $DIR/answers say what it answers, see tests/standin/endless.c.
# ENDLESS_WINDOW: size of its receive buffer, bytes.
start_endless() {
	start "$1" "$BIN/standin-endless" --mode "$DIR/mode" \
		--answers "$DIR/answers" --window "${ENDLESS_WINDOW:-0}"
	printf '{"service":"%s","address":"%s","zone":"north","version":"v1","slots":%s,"state":"ready","coldLeftMs":0,"seqNo":1}' \
		"$2" "$(ready "$1")" "$3" >"$DIR/entry"
	curl -s -o /dev/null --data-binary @"$DIR/entry" \
		"http://$PLATFORM/test/put?key=servers/$1"
}

# end_endless NAME...: they end, and are off the list.
end_endless() {
	local name
	for name in "$@"; do
		curl -s -o /dev/null "http://$PLATFORM/test/delete?key=servers/$name"
		end_child "$(pid_of "$name")"
	done
}

# with_callers CALLER EACH COMMAND...: runs `CALLER N K` for each entry N and for K
# from 1 to EACH, in the background, while the command runs. They end when
# $DIR/stop exists.
with_callers() {
	local caller=$1 each=$2 n k pids=
	shift 2
	rm -f "$DIR/stop"
	for n in $(seq 1 "$EDGES"); do
		for k in $(seq 1 "$each"); do
			"$caller" "$n" "$k" &
			pids="$pids $!"
		done
	done
	sleep 1
	"$@"
	: >"$DIR/stop"
	wait $pids
}

# whole_events FILE: "ID piece N of VERSION" for each event that is whole.
whole_events() {
	awk '/^id: / { id = $2 } /^data: / { data = substr($0, 7) }
		/^$/ { if (id != "" && data != "") print id, data
			id = data = "" }' "$1" 2>/dev/null
}

# stream ID TRIES LEAVE_S PICK: reads a stream; PICK prints the entry for each try.
# Leaves a try after LEAVE_S, as a client does that goes elsewhere; the last one is
# read to its end. A stream that breaks off is continued where it ended. Notes its
# events in $DIR/events-ID, and for each try in $DIR/tries-ID (of STREAM_PATH):
# KIND ENTRY STATUS:EXIT_CODE EVENTS TRY_ID; KIND: new, again (without an event
# before) or continued.
stream() {
	local id=$1 tries=$2 leave=$3 pick=$4 first= last=0 try n status got kind
	local events=$DIR/events-$id args
	: >"$events"
	for try in $(seq 1 "$tries"); do
		n=$($pick "$try")
		args=() kind=new
		[ "$try" -gt 1 ] && kind=again
		[ -n "$first" ] && kind=continued &&
			args=(-H "Last-Event-Id: $last" -H "Resumes: $first")
		[ "$try" = "$tries" ] && leave=8
		# One process for a try: tests have many callers.
		status=$(exec curl -s -m "$leave" -o "$DIR/part-$id" \
			-w '%{http_code}' -H 'Host: t.example' \
			-H "Attempt-Id: e$n-$id-$try" -H 'Deadline-Ms: 8000' \
			-H 'Authorization: Bearer k1' "${args[@]}" -d "$id" \
			"http://$(<"$DIR/front-$n")${STREAM_PATH:-/s/x}")
		status=$status:$?
		whole_events "$DIR/part-$id" >"$DIR/got-$id"
		rm -f "$DIR/part-$id"
		got=$(wc -l <"$DIR/got-$id")
		cat "$DIR/got-$id" >>"$events"
		echo "$kind $n $status $got e$n-$id-$try" >>"$DIR/tries-$id"
		[ "$got" -gt 0 ] && last=$(tail -1 "$events" | cut -d' ' -f1) &&
			[ -z "$first" ] && first=e$n-$id-$try
		[ "$status" = 200:0 ] || [ "$last" -ge 20 ] && break
		sleep "0.$((RANDOM % 3))"
	done
	rm -f "$DIR/got-$id"
}

# versions_mixed: the streams with events of more than one version.
versions_mixed() {
	local f
	for f in "$DIR"/events-*; do
		[ "$(cut -d' ' -f5 "$f" | sort -u | wc -l)" -gt 1 ] && echo "$f"
	done
}

# pieces_wrong: the streams in which a piece is missing, doubled or out of order.
pieces_wrong() {
	awk 'FNR == 1 { next_id = 1 } $1 != next_id++ || $1 != $3 { print FILENAME }' \
		"$DIR"/events-* | sort -u
}

# went_on KIND...: "SERVED TRIES": tries of these kinds that brought an event.
went_on() {
	awk -v kinds=" $* " 'index(kinds, " " $1 " ") { n++; served += $4 > 0 }
		END { print served + 0, n + 0 }' "$DIR"/tries-* 2>/dev/null
}
