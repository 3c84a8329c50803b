#include "place/rescue.h"

#include <stdlib.h>

/*
 * Share of the notice time that is left unplanned, and its minimum: the notice
 * arrives with a delay, and the last transfer must finish before the reclaim.
 */
#define MARGIN_FRACTION 0.1
#define MARGIN_MIN_MS 150

static double cached_tokens(const struct rescue_stream *s)
{
	return (double)s->prompt_tokens + s->generated_tokens;
}

static double move_ms(const struct rescue_notice *n,
		      const struct rescue_stream *s)
{
	return n->move_fixed_ms + s->kv_mb / n->kv_mb_per_s * 1000.0;
}

static bool can_finish(const struct rescue_notice *n,
		       const struct rescue_stream *s, int64_t usable_ms)
{
	return s->max_remaining_tokens * n->inter_token_ms <= (double)usable_ms;
}

/* A candidate for a move. */
struct candidate {
	double density; /* weighted tokens saved per ms of transfer */
	struct rescue_stream *s;
};

static int compare_density(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->density > y->density ? -1 : x->density < y->density;
}

static int compare_deadline(const void *a, const void *b)
{
	const struct rescue_stream *x = a, *y = b;

	return x->deadline_ms < y->deadline_ms
		       ? -1
		       : x->deadline_ms > y->deadline_ms;
}

/*
 * Greedy knapsack by density. A stream that doesn't fit is skipped; a later,
 * smaller one may still use the remaining time.
 */
static void choose_moves(const struct rescue_notice *n, struct candidate *r,
			 size_t nr, double available_ms)
{
	size_t i;

	qsort(r, nr, sizeof(*r), compare_density);
	for (i = 0; i < nr; i++) {
		const double ms = move_ms(n, r[i].s);

		if (ms > available_ms)
			continue;
		available_ms -= ms;
		r[i].s->choice = RESCUE_MOVE;
	}
}

/* Schedules the moves one after another, earliest deadline first. */
static void schedule_moves(const struct rescue_notice *n,
			   struct rescue_stream *s, size_t nr)
{
	double at = (double)n->now_ms;
	size_t i;

	qsort(s, nr, sizeof(*s), compare_deadline);
	for (i = 0; i < nr; i++) {
		s[i].start_ms = n->now_ms;
		if (s[i].choice != RESCUE_MOVE)
			continue;
		s[i].start_ms = (int64_t)at;
		at += move_ms(n, &s[i]);
	}
}

void rescue_plan(const struct rescue_notice *n, struct rescue_stream *s,
		 size_t nr)
{
	const int64_t left = n->end_ms - n->now_ms;
	int64_t margin = (int64_t)((double)left * MARGIN_FRACTION);
	int64_t usable;
	struct candidate *r = malloc((nr ? nr : 1) * sizeof(*r));
	size_t nr_candidates = 0, i;

	if (!r)
		abort();
	if (margin < MARGIN_MIN_MS)
		margin = MARGIN_MIN_MS;
	usable = left > margin ? left - margin : 0;
	for (i = 0; i < nr; i++) {
		s[i].choice = RESCUE_CONTINUE;
		if (can_finish(n, &s[i], usable)) {
			s[i].choice = RESCUE_FINISH;
			continue;
		}
		if (n->kv_mb_per_s <= 0 || usable <= 0)
			continue;
		r[nr_candidates].s = &s[i];
		r[nr_candidates++].density = cached_tokens(&s[i]) *
					     s[i].weight /
					     (move_ms(n, &s[i]) + 1e-6);
	}
	choose_moves(n, r, nr_candidates, (double)usable);
	free(r);
	schedule_moves(n, s, nr);
}

double rescue_recomputed(const struct rescue_stream *s, size_t nr)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < nr; i++) {
		if (s[i].choice == RESCUE_CONTINUE)
			sum += cached_tokens(&s[i]);
	}
	return sum;
}
