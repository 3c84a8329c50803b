#include "stream/hand.h"

#include <assert.h>

/*
 * Events that arrive this long after the end of a call for a copy were made after
 * it, ms. Until then they may have been in flight on a connection of their own.
 */
#define IN_FLIGHT_MS 500

void hand_on_requested(struct hand *h)
{
	assert(h->state == HAND_NONE);
	h->state = HAND_REQUESTED;
}

enum hand_step hand_on_granted(struct hand *h, int64_t events_at_stop,
			       int64_t last_id)
{
	assert(h->state == HAND_REQUESTED);
	h->state = HAND_GRANTED;
	h->events_at_stop = events_at_stop;
	if (h->stream_broken || h->stream_closed)
		return HAND_CONTINUE;
	return hand_on_event(h, last_id);
}

enum hand_step hand_on_refused(struct hand *h, bool may_have_stopped)
{
	assert(h->state == HAND_REQUESTED);
	h->state = HAND_REFUSED;
	h->refused_stopped = may_have_stopped;
	if (h->stream_closed)
		return HAND_ENDED;
	return h->stream_broken ? HAND_LOST : HAND_NO_CHANGE;
}

/* The stream is over; `without_call`: the step if no call is pending. */
static enum hand_step on_stream_end(const struct hand *h,
				    enum hand_step without_call)
{
	switch (h->state) {
	case HAND_REQUESTED:
		return HAND_WAIT;
	case HAND_GRANTED:
		return HAND_CONTINUE;
	case HAND_NONE:
	case HAND_REFUSED:
		break;
	}
	return without_call;
}

enum hand_step hand_on_stream_broken(struct hand *h)
{
	h->stream_broken = true;
	return on_stream_end(h, HAND_LOST);
}

enum hand_step hand_on_stream_closed(struct hand *h)
{
	h->stream_closed = true;
	return on_stream_end(h, HAND_ENDED);
}

bool hand_may_have_stopped(const struct hand *h)
{
	if (h->state == HAND_REFUSED)
		return h->refused_stopped;
	return h->state != HAND_NONE;
}

void hand_on_copy_requested(struct hand *h)
{
	assert(h->state == HAND_NONE);
	h->copy_ended_ms = HAND_COPY_PENDING;
}

void hand_on_copy_ended(struct hand *h, int64_t now_ms)
{
	h->copy_ended_ms = now_ms;
}

bool hand_may_have_stopped_early(const struct hand *h, int64_t last_event_ms)
{
	if (h->copy_ended_ms == HAND_COPY_PENDING)
		return true;
	return h->copy_ended_ms &&
	       last_event_ms < h->copy_ended_ms + IN_FLIGHT_MS;
}

enum hand_step hand_on_event(const struct hand *h, int64_t last_id)
{
	if (h->state != HAND_GRANTED)
		return HAND_NO_CHANGE;
	return last_id >= h->events_at_stop ? HAND_CONTINUE : HAND_WAIT;
}
