#include "limit/again.h"

/*
 * Fraction of the slack that may be available at once, fraction of it that is
 * refilled per window, and fraction of the ratio that each request adds. With
 * these, the sum over any window stays below the limit even if one entry more is
 * running than is known.
 */
#define READY_RATIO 0.45
#define REFILL_RATIO 0.3
#define EARN_RATIO 0.65

/*
 * Fraction of what the requests of a window allow that may be saved up, because
 * a reclaim moves all streams of a zone within a second. A window then has at
 * most SAVED_RATIO + EARN_RATIO = 0.95 of what its requests allow. With nothing
 * saved, each of 84 entries could retry only one request at once, and half of
 * the streams that were to be moved were cut.
 */
#define SAVED_RATIO 0.3

static double max_level(const struct again *b, const struct again_limits *l,
			unsigned entries, int64_t now)
{
	const double requests =
		decay_sum_at(&b->requests, (double)l->window_ms, now);

	return l->slack * READY_RATIO / entries +
	       l->ratio * SAVED_RATIO * requests;
}

static void advance(struct again *b, const struct again_limits *l,
		    unsigned entries, int64_t now)
{
	const double most = max_level(b, l, entries, now);

	if (!b->started) {
		b->started = true;
		b->level = most;
		b->at_ms = now;
	}
	b->level += l->slack * REFILL_RATIO / entries *
		    (double)(now - b->at_ms) / (double)l->window_ms;
	b->at_ms = now;
	if (b->level > most)
		b->level = most;
}

void again_earn(struct again *b, const struct again_limits *l, unsigned entries,
		int64_t now)
{
	advance(b, l, entries, now);
	decay_sum_add(&b->requests, 1, (double)l->window_ms, now);
	b->level += l->ratio * EARN_RATIO;
}

bool again_available(struct again *b, const struct again_limits *l,
		     unsigned entries, int64_t now)
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

void again_refund(struct again *b)
{
	/* The next advance() caps the level. */
	b->level += 1;
}
