#include "route/ramp.h"

#include <math.h>

/*
 * An endpoint that states an earlier start is not new. Clocks differ, and some
 * seconds pass from the start to the first listing.
 */
#define OLD_MS 30000

/* The entries together begin with this part of the slots. */
#define FIRST_SHARE 0.5

/* The part is doubled in this time. */
#define DOUBLING_MS 1000.0

#define MAX_FIRST_BOUND 2.0

/* An endpoint that has answered up to this bound has answered well. */
#define MAX_BOUND 8

int64_t rmp_age(const struct rmp_start *s, int64_t now, int64_t true_now)
{
	if (s->started_ms > 0 && true_now - s->started_ms >= OLD_MS)
		return true_now - s->started_ms;
	return now - s->first_seen_ms;
}

/* The bound before any answer. */
static unsigned first_bound(const struct rmp_input *in)
{
	const double growth = exp2((double)in->age_ms / DOUBLING_MS);
	double bound = 1;

	if (in->slots > 0)
		bound = FIRST_SHARE * in->slots / in->senders * growth;
	if (bound >= MAX_FIRST_BOUND)
		return (unsigned)MAX_FIRST_BOUND;
	return (unsigned)bound + (in->draw < bound - floor(bound));
}

unsigned rmp_bound(const struct rmp_input *in)
{
	unsigned bound, left = in->answers;

	if (in->senders < RMP_MIN_SENDERS || in->age_ms >= RMP_NEW_MS ||
	    in->age_ms < 0)
		return RMP_UNBOUNDED;
	bound = first_bound(in);
	/* It may have got a request although others were preferred. */
	if (!bound && left)
		bound = 1;
	while (bound && left >= bound && bound < MAX_BOUND) {
		left -= bound;
		bound *= 2;
	}
	return bound < MAX_BOUND ? bound : RMP_UNBOUNDED;
}
