#include "stream/whole.h"

#include "fleet/flt.h"

/* Time from the start of an endpoint to its registration, ms. */
#define REGISTERED_MS 100

/* A request that may be sent again waits no longer for a proof, ms. */
#define MAX_WAIT_MS 2000

enum whole_verdict whole_judge(const struct whole_facts *f)
{
	if (f->partial_event)
		return WHOLE_CUT_OFF;
	if (f->framed)
		return WHOLE_COMPLETE;
	if (f->stopped || f->early_success || f->process == WHOLE_PROCESS_OTHER)
		return WHOLE_CUT_OFF;
	if (f->stopped_early && f->resumable)
		return WHOLE_CUT_OFF;
	return f->process == WHOLE_PROCESS_SAME ? WHOLE_COMPLETE
						: WHOLE_UNVERIFIED;
}

int64_t whole_as_of(const struct whole_reading *t)
{
	if (!t->stall_ended_ms ||
	    t->read_ms - t->stall_ended_ms >= WHOLE_STALL_KEPT_MS)
		return t->read_ms;
	return t->asked_ms > t->stall_began_ms ? t->asked_ms
					       : t->stall_began_ms;
}

bool whole_is_registered(int64_t connected_ms, int64_t store_back_ms,
			 int64_t as_of_ms)
{
	return as_of_ms > connected_ms + REGISTERED_MS &&
	       (!store_back_ms ||
		as_of_ms > store_back_ms + FLT_LAPSE_GRACE_MS);
}

bool whole_has_waited(int64_t since_ms, int64_t stalled_ms, int64_t now_ms)
{
	const int64_t since = stalled_ms > since_ms ? stalled_ms : since_ms;

	return now_ms > since + MAX_WAIT_MS;
}
