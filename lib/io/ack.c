#include "io/ack.h"

#include <string.h>

/*
 * Checks within the time-out. A check that comes late counts as one interval,
 * so that a stall of this process does not count as silence of the peer.
 */
#define CHECKS 8

int64_t ack_interval(int64_t timeout_ms)
{
	return timeout_ms / CHECKS > 0 ? timeout_ms / CHECKS : 1;
}

void ack_begin(struct ack_watch *w, const struct ack_facts *f, int64_t now_ms)
{
	memset(w, 0, sizeof(*w));
	w->checked_ms = now_ms;
	w->acked = f->acked;
}

/*
 * True if a segment is in flight, or the window was probed without an answer.
 * Other segments from the peer don't answer one in flight: its direction may be
 * the only one that works. A peer that does not read answers probes, though at
 * most one in 500 ms (tcp_invalid_ratelimit of Linux).
 */
static bool is_unanswered(const struct ack_watch *w, const struct ack_facts *f,
			  int64_t elapsed_ms)
{
	if (f->acked != w->acked)
		return false;
	return f->in_flight || (f->probes && f->silence_ms >= elapsed_ms);
}

enum ack_verdict ack_check(struct ack_watch *w, const struct ack_facts *f,
			   int64_t timeout_ms, int64_t now_ms)
{
	const int64_t elapsed = now_ms - w->checked_ms;
	const int64_t interval = ack_interval(timeout_ms);
	const bool unanswered = is_unanswered(w, f, elapsed);

	w->checked_ms = now_ms;
	w->acked = f->acked;
	if (!f->unacked)
		return ACK_DONE;
	if (!unanswered || !(w->waiting || f->in_flight))
		w->silent_ms = 0;
	else
		w->silent_ms += elapsed < interval ? elapsed : interval;
	w->waiting = unanswered;
	/* A segment that was not sent again may still be on its way. */
	if (!f->retransmits && !f->probes)
		return ACK_WAIT;
	return w->silent_ms >= timeout_ms ? ACK_SILENT : ACK_WAIT;
}
