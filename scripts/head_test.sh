#!/bin/bash
# Endpoints that close in the middle of an answer's head; real entries on a stand-in of
# the platform, one of which reaches endpoints through the other one's tunnels. Checks
# counts, never times.
#
# Failure: an endpoint stopped in the middle of its answer's head and closed; callers
# got a 200 with an empty or short body, framed as whole.
# Usage: head_test.sh
cd "$(dirname "$0")/.." || exit 1
. scripts/scripted_answers.sh
# Of requests: which may be repeated (l, s, and HEAD of l), and which may not.
KINDS='l head s u o'

# ---- Answers ----

# cut_at PLACE HEAD
cut_at() {
	case $1 in
	nothing) ;;
	status) echo "${2:0:10}" ;;
	line) echo "${2%%\~*}~" ;;
	framing) echo "${2%%??\~X-Other*}" ;;
	between) echo "${2%%X-Other*}" ;;
	name) echo "${2%%ther: *}" ;;
	value) echo "${2%%thing*}" ;;
	last) echo "${2%\~}" ;;
	crlf) echo "${2%\~}^" ;;
	head) echo "$2" ;;
	esac
}

before() {
	local other='Attempt-Id: other~Replica-Seal: seal~'
	case $1 in
	informational) echo 'HTTP/1.1 100 Continue~~' ;;
	foreign) echo "HTTP/1.1 200 OK~${other}Content-Length: 3~~abc" ;;
	foreign_refusal) echo "HTTP/1.1 503 X~${other}Not-Executed: 1~Content-Length: 0~~" ;;
	esac
}

# add_case CASE HOW BEFORE PLACE FRAMING: the first try of a request is cut, the second
# one is answered whole.
add_case() {
	local start
	start=$(before "$3")
	answer "$1-plain" 1 "$2" "$start$(cut_at "$4" "$(head_of "$5" text/plain)")"
	answer "$1-plain" 2 kept "$(whole_plain)"
	answer "$1-stream" 1 "$2" "$start$(cut_at "$4" "$(head_of "$5" text/event-stream)")"
	answer "$1-stream" 2 kept "$(whole_stream)"
	CASES="$CASES $1"
}

# is_whole PLACE HOW FRAMING: an answer that ends so after its head is a whole one.
is_whole() {
	[ "$1" = head ] || return 1
	[ "$3" = bodiless ] || { [ "$2" = fin ] && [[ $3 = unframed || $3 = old ]]; }
}

add_cases() {
	local how place framing start
	for how in fin reset; do
		for place in status line framing between name value last crlf head; do
			for framing in length chunked unframed old old_length bodiless; do
				is_whole $place $how $framing ||
					add_case "$how-$place-$framing" $how none $place $framing
			done
		done
		for start in informational foreign foreign_refusal; do
			for place in nothing status line value crlf; do
				for framing in length unframed; do
					add_case "$how-$start-$place-$framing" $how $start $place $framing
				done
			done
		done
	done
}

# ---- Test ----

start_scripted

add_cases
run $CASES
for N in 1 2; do
	WAY=direct
	[ "$N" = 2 ] && WAY=tunnel
	ended "$WAY: a plain call is sent again" "$N" l 200:0 2
	ended "$WAY: a HEAD request is sent again" "$N" head 200:0 2
	ended "$WAY: a stream is sent again" "$N" s 200:0 2
	ended "$WAY: a plain call that may run once gets 502" "$N" u 502:0 1
	ended "$WAY: a stream that may run once gets 502" "$N" o 502:0 1
done

# The answer before on the connection was whole; the second try of each pair's second
# request is.
PAIRS=
for I in $(seq 1 20); do
	add_case "after-$I" fin none value length
	answer "first-$I-plain" 1 kept "$(whole_plain)"
	PAIRS="$PAIRS first-$I after-$I"
done
for N in 1 2; do
	send_all "$N" l $PAIRS
	expect "on kept connections, entry $N: all are answered whole" \
		is "$(grep -c ' 200:0$' "$DIR/told-$N-l")" 40
	expect "on kept connections, entry $N: each cut answer is replaced" \
		is "$(cat $(printf "$DIR/got/$N-l-after-%s " $(seq 1 20)) | grep -o whole | wc -l)" 20
done
expect "some cut answers came on kept connections" \
	[ -n "$(awk '$1 == "sent" && $2 ~ /^after-/ && $3 == 1 && $4 > 1' "$DIR"/bad-*.out)" ]

# A second try is cut, of which there is no third one.
for PLACE in status line value crlf; do
	answer "resend-$PLACE-plain" 1 kept "$(head_of length text/plain | sed 's/200 OK/500 X/')wrong"
	answer "resend-$PLACE-plain" 2 fin "$(cut_at $PLACE "$(head_of length text/plain)")"
	answer "resume-$PLACE-stream" 1 fin "$(head_of chunked text/event-stream)$(events 2)"
	answer "resume-$PLACE-stream" 2 fin "$(cut_at $PLACE "$(head_of chunked text/event-stream)")"
done
for N in 1 2; do
	send_all "$N" l resend-{status,line,value,crlf}
	ended "entry $N: a call whose second answer is cut gets 502" "$N" l 502:0 2
	send_all "$N" s resume-{status,line,value,crlf}
	expect "entry $N: a stream whose continuation is cut is broken off" \
		is "$(grep -cE ' 200:(18|56)$' "$DIR/told-$N-s")" 4
	expect "entry $N: after the events that had come" \
		is "$(cat "$DIR"/got/"$N"-s-resume-* | grep -c '^id: ')" 8
done
expect "no entry ended by itself" [ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "head_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
