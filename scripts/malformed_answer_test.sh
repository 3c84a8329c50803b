#!/bin/bash
# Endpoints whose answers have a status that is none, or a head that is none, on connections
# that stay open; real entries on a stand-in of the platform, one of which reaches endpoints
# through the other one's tunnels. Checks counts, never times: a request that would wait for
# the rest of such an answer gets 504 at its deadline.
#
# Failure: an answer with status 000 reached callers, or was awaited until the deadline.
# Failure: an answer in whose head a field's name held a blank or a control byte reached
# callers, with that line or with another body.
# Usage: malformed_answer_test.sh
cd "$(dirname "$0")/.." || exit 1
. scripts/scripted_answers.sh

# try_of KIND FRAMING STATUS_LINE LINE: an answer with another status line, and one more
# line in its head.
try_of() {
	local type=text/plain body=whole head
	[ "$1" = plain ] || { type=text/event-stream body='data: x||'; }
	head=$(head_of "$2" "$type")
	head=${head/Content-Length: 5/Content-Length: ${#body}}
	head=$3${head#HTTP/1.1 200 OK}
	head=${head/X-Other: something/$4}
	case $2 in
	chunked) body=$(printf '%x~%s~0~~' "${#body}" "$body") ;;
	esac
	echo "$head$body"
}

# add_case CASE HOW STATUS_LINE LINE: of each framing, HOW if there is one; the second
# try is answered whole.
add_case() {
	local framing how
	for framing in length chunked unframed; do
		how=$2
		[ $framing = unframed ] && how=fin
		answer "$1-$framing-plain" 1 $how "$(try_of plain $framing "$3" "$4")"
		answer "$1-$framing-stream" 1 $how "$(try_of stream $framing "$3" "$4")"
		answer "$1-$framing-plain" 2 kept "$(whole_plain)"
		answer "$1-$framing-stream" 2 kept "$(whole_stream)"
		CASES="$CASES $1-$framing"
	done
}

# expect_refused NAME: no answer of the first try was passed on or awaited.
expect_refused() {
	local n way=direct
	for n in 1 2; do
		ended "$way: $1: a plain call is sent again" $n l 200:0 2
		ended "$way: $1: a stream is sent again" $n s 200:0 2
		ended "$way: $1: a plain call that may run once gets 502" $n u 502:0 1
		ended "$way: $1: a stream that may run once gets 502" $n o 502:0 1
		way=tunnel
	done
}

# after_head N METHOD CASE: what follows on the head of the answer to a stream's request.
after_head() {
	local at
	at=$(address "$1" callers)
	exec 3<>"/dev/tcp/${at%:*}/${at#*:}" || return
	printf '%s /s/x?case=%s-stream HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: raw-%s-%s-%s\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n' \
		"$2" "$3" "$1" "$2" "$3" >&3
	timeout 9 cat <&3 | sed '1,/^\r$/d'
	exec 3>&-
}

# ---- Test ----

start_scripted

CASES=
for STATUS in 000 001 099 101 20 600 999; do
	add_case "status-$STATUS" kept "HTTP/1.1 $STATUS X" 'X-Other: something'
done
run $CASES
expect_refused "not a status"

CASES=
I=0
for LINE in 'X Other: y' $'X\tOther: y' $'X\x01Other: y' $'X\x0bOther: y' $'X\x1fOther: y' \
	$'X\x7fOther: y' $'X\x80Other: y' 'X-Other : y' $'X-Other\t: y' ' X-Other: y' \
	': y' 'X-Other' 'X(Other): y' 'Content-Length : 3' 'Transfer-Encoding : chunked' \
	'Transfer-Encoding: gzip' 'Transfer-Encoding: chunked, gzip' 'Transfer-Encoding: gzip, chunked' \
	$'X-Other: a\x01b' $'X-Other: a\x7fb' 'X-Other: a^b'; do
	I=$((I + 1))
	add_case "line-$I" fin 'HTTP/1.1 200 OK' "$LINE"
done
add_case "status-line" fin ' HTTP/1.1 200 OK' 'X-Other: something'
run $CASES
expect_refused "not a field"

# Answers that end with their head, whatever that says of a body.
answer whole-stream 1 fin "$(head_of chunked text/event-stream)"
for N in 1 2; do
	expect "entry $N: the answer to HEAD ends with its head" \
		[ -z "$(after_head $N HEAD whole)" ]
done
for STATUS in 204 304; do
	for I in $(seq 1 10); do
		answer "empty-$STATUS-$I-plain" 1 kept \
			"$(head_of length text/plain | sed "s/200 OK/$STATUS X/")"
		answer "empty-$STATUS-$I-stream" 1 kept \
			"$(head_of chunked text/event-stream | sed "s/200 OK/$STATUS X/")"
	done
	run $(printf "empty-$STATUS-%s " $(seq 1 10))
	for N in 1 2; do
		for KIND in $KINDS; do
			ended "entry $N: $STATUS is passed on at once ($KIND)" $N $KIND "$STATUS:0" 1
		done
		expect "entry $N: $STATUS ends with its head" \
			[ -z "$(after_head $N POST "empty-$STATUS-1")" ]
	done
done

CASES=
for STATUS in 100 103; do
	START="HTTP/1.1 $STATUS X~Content-Length: 5~~"
	answer "after-$STATUS-plain" 1 kept "$START$(whole_plain)"
	answer "after-$STATUS-stream" 1 kept "$START$(whole_stream)"
	CASES="$CASES after-$STATUS"
done
run $CASES
for N in 1 2; do
	for KIND in $KINDS; do
		ended "entry $N: the answer after an informational one ($KIND)" $N $KIND 200:0 1
	done
done

expect "no entry ended by itself" [ -z "$(grep -lE 'Sanitizer|Assertion' "$DIR"/*.log)" ]

echo "malformed_answer_test: $PASSED passed, $FAILED failed"
[ "$FAILED" = 0 ]
