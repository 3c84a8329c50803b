#include "route/pick.h"

#include <string.h>

#include "base/hsh.h"

/*
 * Of the engines: prompt tokens read in a millisecond, the time from
 * admission to the first event beside that, and what each running request
 * adds to a step. From the deployments' sheets.
 */
#define PREFILL_TOKENS_PER_MS 61.4
#define FIRST_EVENT_MS 95.0
#define STEP_MS_PER_RUN 0.181

/*
 * A long prompt delays those that run beside it: the engine reads a chunk
 * between two steps. Each running request pays for tokens that are read.
 */
#define RUN_COST_MS 6.0

/*
 * Reading a shared part anew takes the endpoint's time from all others: it
 * counts for so much more than the wait that it causes. Of 0, 0.5 and 1 (with
 * 2, 4 and 10 ms for a running request) the second gave callers the most on
 * both of today's deployments, by 0.01 of a day's worth.
 */
#define REREAD_EXTRA 0.5

/* Plain services: the work of one request, shared over the slots. */
#define PLAIN_WORK_MS 45.0

/* What one failure costs a caller, against which waiting is weighed. */
#define FAILURE_COST_MS 2500.0

/* Beyond its zone: a round trip more, and priced bytes. */
#define OTHER_ZONE_MS 2.0

/*
 * A first choice by hash that nobody of us has used is taken to hold the
 * part with this chance: other entries send their requests there.
 */
#define HASHED_CHANCE 0.7

static bool excluded(const struct pick_query *q, const struct flt_endpoint *e)
{
	unsigned i;

	for (i = 0; i < q->nr_excluded; i++) {
		if (q->excluded[i] == e)
			return true;
	}
	return false;
}

static bool candidate(const struct pick_query *q, const struct flt_endpoint *e)
{
	return !strcmp(e->info.service, q->service) &&
	       flt_usable(e, q->now_ms) && !excluded(q, e);
}

/* The first choice by hash among the candidates. */
static const struct flt_endpoint *home(struct flt *f,
				       const struct pick_query *q)
{
	const struct flt_endpoint *best = NULL;
	struct flt_endpoint *e;
	uint64_t weight, most = 0;

	if (!q->prefix)
		return NULL;
	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!candidate(q, e))
			continue;
		weight = hsh_rendezvous(q->prefix, e->hash);
		if (!best || weight > most) {
			best = e;
			most = weight;
		}
	}
	return best;
}

static double engine_wait(const struct flt_endpoint *e, double tokens)
{
	const double ahead = e->prefill_tokens + e->peer_prefill_tokens;
	const double running = e->running + e->peer_running;

	return (ahead + tokens) / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS +
	       running * STEP_MS_PER_RUN * 3;
}

static double plain_wait(const struct flt_endpoint *e)
{
	const double slots = e->info.slots > 0 ? e->info.slots : 1;
	const double running = e->running + e->peer_running;
	const double over = running + 1 - slots;
	double wait = PLAIN_WORK_MS * (1 + 0.2 * running / slots);

	if (over > 0)
		wait += over * PLAIN_WORK_MS / slots;
	return wait;
}

static double chance_cached(const struct pick_query *q,
			    const struct flt_endpoint *e, bool is_home)
{
	if (!q->prefix)
		return 0;
	if (q->parts && parts_held(q->parts, q->prefix, e->hash, q->now_ms))
		return 1;
	return is_home ? HASHED_CHANCE : 0;
}

static double cost_of(const struct pick_query *q, const struct flt_endpoint *e,
		      double cached, double *wait)
{
	double cost;

	if (q->engine) {
		const double read =
			q->own_tokens + q->shared_tokens * (1 - cached);

		*wait = engine_wait(e, read);
		cost = *wait + (e->running + e->peer_running) * RUN_COST_MS +
		       REREAD_EXTRA * q->shared_tokens * (1 - cached) /
			       PREFILL_TOKENS_PER_MS;
	} else {
		*wait = plain_wait(e);
		cost = *wait;
	}
	cost += flt_fail_rate(e, q->now_ms) * FAILURE_COST_MS;
	if (strcmp(e->info.zone, q->zone))
		cost += OTHER_ZONE_MS;
	return cost;
}

struct pick_result pick_endpoint(struct flt *f, const struct pick_query *q)
{
	const struct flt_endpoint *first = home(f, q);
	struct pick_result best = { NULL, 0, 0, false, 0 };
	struct flt_endpoint *e;
	double cost, wait, cached;

	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!candidate(q, e))
			continue;
		best.candidates++;
		cached = chance_cached(q, e, e == first);
		cost = cost_of(q, e, cached, &wait);
		if (best.endpoint && cost >= best.cost_ms)
			continue;
		best.endpoint = e;
		best.cost_ms = cost;
		best.wait_ms = wait;
		best.cached = cached > 0;
	}
	return best;
}
