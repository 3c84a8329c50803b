#include "limit/again.h"

/*
 * Of the slack, so much is held ready, and so much comes back within a
 * window: together with the part of the requests the sum over any window
 * stays below the limit also if an entry more than we know of is running.
 */
#define READY_PART 0.45
#define BACK_PART 0.3
#define RATIO_PART 0.65

/*
 * Of what the requests of a window allow, so much may be saved up for later:
 * a reclaim moves all streams of a zone within a second. A window then has
 * at most this and the part above of it, 0.95 in all. With nothing saved an
 * entry of 84 could repeat one request at once, and half of the streams that
 * were to be moved were cut.
 */
#define SAVED_PART 0.3

static double most_saved(const struct again *b, const struct again_limits *l,
			 unsigned entries, int64_t now)
{
	const double requests =
		decay_sum_at(&b->requests, (double)l->window_ms, now);

	return l->slack * READY_PART / entries +
	       l->ratio * SAVED_PART * requests;
}

static void advance(struct again *b, const struct again_limits *l,
		    unsigned entries, int64_t now)
{
	const double most = most_saved(b, l, entries, now);

	if (!b->started) {
		b->started = true;
		b->level = most;
		b->at_ms = now;
	}
	b->level += l->slack * BACK_PART / entries * (double)(now - b->at_ms) /
		    (double)l->window_ms;
	b->at_ms = now;
	if (b->level > most)
		b->level = most;
}

void again_earn(struct again *b, const struct again_limits *l, unsigned entries,
		int64_t now)
{
	advance(b, l, entries, now);
	decay_sum_add(&b->requests, 1, (double)l->window_ms, now);
	b->level += l->ratio * RATIO_PART;
}

bool again_has(struct again *b, const struct again_limits *l, unsigned entries,
	       int64_t now)
{
	advance(b, l, entries, now);
	return b->level >= 1;
}

bool again_spend(struct again *b, const struct again_limits *l,
		 unsigned entries, int64_t now)
{
	advance(b, l, entries, now);
	if (b->level < 1)
		return false;
	b->level -= 1;
	return true;
}

void again_return(struct again *b)
{
	/* What is beyond the most that may be saved goes with the next look. */
	b->level += 1;
}
