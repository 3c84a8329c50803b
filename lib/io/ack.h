/*
 * ack: detects that a peer's machine no longer answers, by what the kernel
 * states about a TCP connection on which bytes wait for the peer.
 *
 * TCP_USER_TIMEOUT does not serve for this. It also ends a connection whose
 * peer answers each window probe but does not read (RFC 9293 3.8.6.1 keeps it
 * open), and Linux adds up the pauses of such a peer until all of a segment
 * fits into its window.
 */
#ifndef ACK_H
#define ACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Source: SIOCOUTQ and TCP_INFO. */
struct ack_facts {
	uint64_t acked; /* bytes acknowledged since the connection began */
	size_t unacked; /* bytes that were sent, or wait in the kernel */
	unsigned retransmits; /* of the first unacknowledged segment */
	unsigned probes;    /* window probes since the last segment received */
	int64_t silence_ms; /* since the last segment received */
	unsigned in_flight; /* segments sent and not acknowledged */
};

struct ack_watch {
	int64_t checked_ms;
	int64_t silent_ms; /* the peer left segments unanswered for so long */
	uint64_t acked;
	bool waiting; /* at the last check, a segment was unanswered */
};

enum ack_verdict {
	ACK_DONE,   /* nothing waits for the peer */
	ACK_WAIT,   /* check again after ack_interval() */
	ACK_SILENT, /* the peer answered nothing for the time-out */
};

/* Time between two checks, ms. */
int64_t ack_interval(int64_t timeout_ms);

/* Bytes were written while none were unacknowledged. */
void ack_begin(struct ack_watch *w, const struct ack_facts *f, int64_t now_ms);

enum ack_verdict ack_check(struct ack_watch *w, const struct ack_facts *f,
			   int64_t timeout_ms, int64_t now_ms);

#endif
