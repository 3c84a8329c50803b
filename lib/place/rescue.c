#include "place/rescue.h"

#include <stdlib.h>

/*
 * Part of the notice that is not planned for: the notice itself was late by
 * the time it was heard, and the last transfer must end before the end.
 */
#define MARGIN_PART 0.1
#define MARGIN_MIN_MS 150

static double saved_tokens(const struct rescue_stream *s)
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

/* The densest first: tokens saved per millisecond of transfer, weighted. */
struct rank {
	double density;
	struct rescue_stream *s;
};

static int denser(const void *a, const void *b)
{
	const struct rank *x = a, *y = b;

	return x->density > y->density ? -1 : x->density < y->density;
}

static int sooner(const void *a, const void *b)
{
	const struct rescue_stream *x = a, *y = b;

	return x->deadline_ms < y->deadline_ms
		       ? -1
		       : x->deadline_ms > y->deadline_ms;
}

/* Greedy by density; a later, smaller one may still fill what is left. */
static void choose_moves(const struct rescue_notice *n, struct rank *r,
			 size_t nr, double room_ms)
{
	size_t i;

	qsort(r, nr, sizeof(*r), denser);
	for (i = 0; i < nr; i++) {
		const double ms = move_ms(n, r[i].s);

		if (ms > room_ms)
			continue;
		room_ms -= ms;
		r[i].s->choice = RESCUE_MOVE;
	}
}

/* Moves run one after another, those with the nearest deadline first. */
static void schedule_moves(const struct rescue_notice *n,
			   struct rescue_stream *s, size_t nr)
{
	double at = (double)n->now_ms;
	size_t i;

	qsort(s, nr, sizeof(*s), sooner);
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
	int64_t margin = (int64_t)((double)left * MARGIN_PART);
	int64_t usable;
	struct rank *r = malloc((nr ? nr : 1) * sizeof(*r));
	size_t nr_rank = 0, i;

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
		r[nr_rank].s = &s[i];
		r[nr_rank++].density = saved_tokens(&s[i]) * s[i].weight /
				       (move_ms(n, &s[i]) + 1e-6);
	}
	choose_moves(n, r, nr_rank, (double)usable);
	free(r);
	schedule_moves(n, s, nr);
}

double rescue_recomputed(const struct rescue_stream *s, size_t nr)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < nr; i++) {
		if (s[i].choice == RESCUE_CONTINUE)
			sum += saved_tokens(&s[i]);
	}
	return sum;
}
