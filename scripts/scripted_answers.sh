# Functions for tests whose endpoints answer from files (tests/standin/endless.c): the
# answers, requests for them, and how these end. Sourced instead of edge_cluster.sh.
EDGES=2
CUTTABLE=1
EDGE_SERVICES_EACH=2
# A request of each case may be repeated.
EDGE_BOUNDS=', "retry_slack": 100000'
. scripts/cluster.sh
. scripts/edge_cluster.sh
trap cluster_stop EXIT
# Of requests: which may be repeated (l, s), and which may not.
KINDS='l s u o'

# ---- Answers; ~ stands for CRLF, ^ for CR, | for LF ----

# answer CASE N HOW TEXT: what the Nth try of a request gets.
answer() {
	{
		echo "$3"
		printf '%s' "$4" | sed -e 's/~/\r\n/g; s/\^/\r/g; s/|/\n/g'
	} >"$DIR/answers/$1.$2"
}

# head_of FRAMING TYPE: a head whose first lines prove where the answer comes from.
head_of() {
	local status='HTTP/1.1 200 OK' framing=
	case $1 in
	length) framing='Content-Length: 5~' ;;
	chunked) framing='Transfer-Encoding: chunked~' ;;
	old) status='HTTP/1.0 200 OK' ;;
	old_length) status='HTTP/1.0 200 OK' framing='Content-Length: 5~' ;;
	bodiless) status='HTTP/1.1 204 No Content' ;;
	esac
	echo "$status~Attempt-Id: %ID%~Replica-Seal: seal~Content-Type: $2~${framing}X-Other: something~~"
}

# events N: as one chunk.
events() {
	local i text=
	for i in $(seq 1 "$1"); do text="${text}id: $i|data: piece $i||"; done
	printf '%x~%s~' ${#text} "$text"
}

whole_plain() { echo "$(head_of length text/plain)whole"; }
whole_stream() { echo "$(head_of chunked text/event-stream)$(events 3)0~~"; }

# ---- Requests ----

# send_all N KIND CASE...: a request of each case, to entry N, with the file UPLOAD as its
# body if that is set; the attempt's id is N-KIND-CASE. Notes ID STATUS:EXIT_CODE.
send_all() {
	local n=$1 kind=$2 at path answers case
	shift 2
	# In answer to HEAD, a whole head is a whole answer.
	[ "$kind" != head ] || set -- $(printf '%s\n' "$@" | grep -v -e -head-)
	at=$(address "$n" callers)
	case $kind in
	s | o) path=$kind answers=stream ;;
	head) path=l answers=plain ;;
	*) path=$kind answers=plain ;;
	esac
	for case in "$@"; do
		cat <<-END
			url = "http://$at/$path/x?case=$case-$answers"
			header = "Host: t.example"
			header = "Attempt-Id: $n-$kind-$case"
			header = "Deadline-Ms: 8000"
			header = "Authorization: Bearer k1"
			max-time = 9
			output = "$DIR/got/$n-$kind-$case"
			write-out = "$n-$kind-$case %{http_code}:%{exitcode}\n"
		END
		case $kind in
		head) echo head ;;
		l) ;;
		*) echo 'request = "POST"' ;;
		esac
		[ -z "${UPLOAD:-}" ] ||
			printf 'data-binary = "@%s"\nheader = "Expect:"\n' "$UPLOAD"
		echo next
	done | sed '$d' >"$DIR/requests-$n-$kind"
	curl -s -K "$DIR/requests-$n-$kind" >"$DIR/told-$n-$kind"
}

# run CASE...: requests of all KINDS, through both entries.
run() {
	local n kind pids
	for n in 1 2; do
		pids=
		for kind in $KINDS; do
			send_all "$n" "$kind" "$@" &
			pids="$pids $!"
		done
		wait $pids
	done
}

# tries ID: that the stand-ins got.
tries() { cat "$DIR"/bad-*.out | awk -v id="$1" '$1 == "sent" && $5 == id' | wc -l; }

# body_is ID KIND: the whole one.
body_is() {
	case $2 in
	l | u) is "$(cat "$DIR/got/$1")" whole ;;
	s | o) is "$(whole_events "$DIR/got/$1" | cut -d' ' -f1 | paste -sd' ')" "1 2 3" ;;
	esac
}

# wrong N KIND STATUS TRIES: requests that ended otherwise.
wrong() {
	local n=$1 kind=$2 id status
	while read -r id status; do
		[ "$status" = "$3" ] && is "$(tries "$id")" "$4" &&
			{ [ "$3" != 200:0 ] || [ "$kind" = head ] || body_is "$id" "$kind"; } ||
			echo "$id: $status, $(tries "$id") tries"
	done <"$DIR/told-$n-$kind"
}

# ended NAME N KIND STATUS TRIES: all requests did so.
ended() {
	local list
	list=$(wrong "$2" "$3" "$4" "$5")
	[ -z "$list" ] || echo "$list" | head -5
	expect "$1" [ -z "$list" ]
	expect "$1: all were sent" is "$(wc -l <"$DIR/told-$2-$3")" \
		"$(grep -c '^url' "$DIR/requests-$2-$3")"
}

is_relayed() { grep -q '"event":"send".*"relay":"edge-1"' "$DIR/edge-2.out"; }

is_gone() { grep -q "\"endpoint\":\"$2\",\"change\":\"gone\"" "$DIR/edge-$1.out"; }

relayed_once() {
	send_all 2 l sound
	is_relayed
}

# start_scripted: two entries, of which the second one reaches endpoints through the
# first one's tunnels, and two endpoints of each service that answer from files.
start_scripted() {
	local i
	start_edges || exit 1
	put_document 2 '"k1"'
	expect "all entries serve" wait_for everywhere begins
	mkdir "$DIR/answers" "$DIR/got"
	for i in 1 2; do
		start_endless "bad-llm-$i" llm 64
		start_endless "bad-app-$i" app 64
	done
	for i in $(seq 1 $((2 * EDGE_SERVICES_EACH))); do
		platform_test "unlist?id=i-$i" >/dev/null
		expect "endpoint $i is gone" wait_for everywhere is_gone "i-$i"
	done
	answer sound-plain 1 kept "$(whole_plain)"
	cut_off refuse 2
	expect "the second entry uses the first one's tunnels" wait_for relayed_once
}
