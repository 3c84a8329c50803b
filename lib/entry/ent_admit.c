/*
 * Admission of requests, and each model's wait queue for requests that no
 * endpoint has room for. The decisions are made by limit/admit and limit/wfq.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/pub.h"

/*
 * Maximum time to first token that admission accepts, as a multiple of the
 * model's target. An interactive request that would miss the target is refused
 * at once; a batch request can wait longer. See docs/design/limits.md.
 */
#define MAX_WAIT_FACTOR_INTERACTIVE 1
#define MAX_WAIT_FACTOR_BATCH 8

/* Factor on the queue weight of interactive requests. */
#define INTERACTIVE_WEIGHT_FACTOR 2.0

/*
 * Number of prompt tokens that cost as much as one generated token. Prefill is
 * parallel and about this many times faster than decoding.
 */
#define PROMPT_TOKENS_PER_GENERATED 8.0

/* ---- Admission ---- */

/*
 * Estimates how long the new request `rq` would be queued, in ms; 0 if the
 * throughput is unknown. The throughput of the tracked subset of endpoints is
 * extrapolated to all endpoints, and `entries` entries are assumed to use equal
 * parts of it. The model's lock is held.
 */
static double queue_wait_ms(const struct ent_req *rq, size_t entries)
{
	const struct ent_model *m = rq->mod;
	const double cost_ahead = wfq_ahead(m->queue, rq->item.flow,
					    rq->item.weight, rq->item.cost);
	struct route_endpoint *const *subset;
	const size_t n = route_subset(m->table, &subset);
	double rate = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (subset[i]->ready && !subset[i]->leaving)
			rate += subset[i]->tokens_per_s;
	}
	if (n)
		rate *= (double)route_count(m->table) / (double)n;
	return rate > 0 ? cost_ahead / (rate / (double)entries) * 1000.0 : 0;
}

/* Sets the flow, weight and cost by which the request is queued. */
static void fill_queue_item(struct ent_req *rq)
{
	rq->item.flow = hsh_str(rq->account, 0);
	rq->item.weight =
		rq->weight * (rq->batch ? 1.0 : INTERACTIVE_WEIGHT_FACTOR);
	rq->item.cost = rq->prompt_tokens / PROMPT_TOKENS_PER_GENERATED +
			rq->max_tokens;
	rq->item.batch = rq->batch;
}

static size_t live_entries(struct entry *en)
{
	size_t n;

	pub_read_lock();
	n = ent_snap(en)->nr_members;
	pub_read_unlock();
	return n ? n : 1;
}

static void fill_admit_facts(struct entry *en, struct ent_req *rq,
			     const struct route_choice *c,
			     struct admit_facts *f)
{
	const size_t entries = live_entries(en);

	memset(f, 0, sizeof(*f));
	f->cut_off = ent_is_cut_off(en);
	f->draining = atomic_load(&en->releasing);
	f->in_flight = atomic_load(&en->nr_open);
	f->max_in_flight = (size_t)en->set.in_flight;
	f->account_in_flight = atomic_load(&rq->acct->in_flight);
	f->account_max_in_flight = rq->acct_max;
	f->has_endpoint = c->endpoint != 0;
	f->has_room = c->has_room;
	f->predicted_ms = c->score_ms;
	pthread_mutex_lock(&rq->mod->lock);
	f->wait_limit_ms = (rq->batch ? MAX_WAIT_FACTOR_BATCH
				      : MAX_WAIT_FACTOR_INTERACTIVE) *
			   rq->mod->first_token_ms;
	f->queued = wfq_count(rq->mod->queue);
	f->queue_wait_ms = c->has_room ? 0 : queue_wait_ms(rq, entries);
	pthread_mutex_unlock(&rq->mod->lock);
	f->max_queued = 1024;
	if (rq->flow.deadline_ms - ent_now(en) < f->wait_limit_ms)
		f->wait_limit_ms = rq->flow.deadline_ms - ent_now(en);
}

/* Returns the choice that routing would make now, without reserving a slot. */
static struct route_choice preview_route(struct ent_req *rq)
{
	struct ent_model *m = rq->mod;
	struct route_choice c;
	struct route_query query;

	pthread_mutex_lock(&m->lock);
	ent_fill_query(rq, &query);
	c = route_choose(m->table, m->prefix, &query, &m->rnd, ent_now(rq->en),
			 NULL, NULL);
	pthread_mutex_unlock(&m->lock);
	return c;
}

static bool enqueue(struct ent_req *rq, int64_t give_up_ms)
{
	bool ok;

	rq->item.give_up_ms = give_up_ms;
	pthread_mutex_lock(&rq->mod->lock);
	ok = wfq_push(rq->mod->queue, &rq->item);
	rq->queued = ok;
	pthread_mutex_unlock(&rq->mod->lock);
	if (ok)
		ent_req_get(rq); /* reference of the queue */
	return ok;
}

struct admit_result ent_admit(struct entry *en, struct ent_req *rq)
{
	const int64_t now = ent_now(en);
	struct route_choice c = preview_route(rq);
	struct admit_result r;
	struct admit_facts f;

	ent_poll_for_request(en, rq->mod);
	fill_queue_item(rq);
	fill_admit_facts(en, rq, &c, &f);
	/* Takes from the account's share only if no other check refuses. */
	f.share_ok = true;
	r = admit_decide(&f);
	if (r.verdict != ADMIT_REFUSE) {
		rq->charged_tokens = rq->prompt_tokens + (double)rq->max_tokens;
		pthread_mutex_lock(&rq->acct->lock);
		f.share_ok = share_take(&rq->acct->share, rq->charged_tokens,
					now, &f.share_retry_ms);
		retry_budget_earn(&rq->acct->retries);
		pthread_mutex_unlock(&rq->acct->lock);
		ent_share_ask_now(en, rq->acct, !f.share_ok);
		if (!f.share_ok)
			rq->charged_tokens = 0;
		r = admit_decide(&f);
	}
	if (r.verdict == ADMIT_REFUSE) {
		met_inc(en->m.refused[r.reason]);
		ent_req_log(rq, "refuse reason=%s retry_ms=%lld",
			    admit_reason_name(r.reason),
			    (long long)r.retry_after_ms);
		return r;
	}
	ent_req_open(rq);
	atomic_fetch_add(&rq->acct->in_flight, 1);
	pthread_mutex_lock(&rq->lock);
	rq->start_by_ms = now + MAX_WAIT_FACTOR_BATCH * f.wait_limit_ms;
	/* The queue drops it when its first token could not be in time. */
	if (r.verdict == ADMIT_GO) {
		ent_route_and_call(rq);
	} else if (!enqueue(rq,
			    now + f.wait_limit_ms - (int64_t)f.predicted_ms)) {
		ent_give_up(rq, "queue-full");
	} else {
		ent_req_log(rq, "queue depth=%zu wait_ms=%.0f", f.queued,
			    f.queue_wait_ms);
	}
	pthread_mutex_unlock(&rq->lock);
	return r;
}

/* ---- The queue ---- */

static struct ent_req *req_of(struct wfq_item *it)
{
	return (struct ent_req *)((char *)it - offsetof(struct ent_req, item));
}

static void drop_expired(struct entry *en, struct ent_model *m)
{
	struct wfq_item *it;

	for (;;) {
		struct ent_req *rq;

		pthread_mutex_lock(&m->lock);
		it = wfq_expired(m->queue, ent_now(en));
		pthread_mutex_unlock(&m->lock);
		if (!it)
			return;
		rq = req_of(it);
		pthread_mutex_lock(&rq->lock);
		rq->queued = false;
		ent_give_up(rq, "waited-too-long");
		pthread_mutex_unlock(&rq->lock);
		ent_req_put(rq);
	}
}

/*
 * True if requests are queued and an endpoint has room for at least a small
 * one (64 prompt tokens, 64 to generate).
 */
static bool can_dispatch(struct entry *en, struct ent_model *m)
{
	struct route_query query = { .max_tokens = 64, .prompt_tokens = 64 };
	bool room;

	pthread_mutex_lock(&m->lock);
	room = wfq_count(m->queue) > 0 &&
	       route_choose(m->table, m->prefix, &query, &m->rnd, ent_now(en),
			    NULL, NULL)
		       .has_room;
	pthread_mutex_unlock(&m->lock);
	return room;
}

void ent_dispatch_queue(struct entry *en, struct ent_model *m)
{
	drop_expired(en, m);
	while (can_dispatch(en, m)) {
		struct wfq_item *it;
		struct ent_req *rq;

		pthread_mutex_lock(&m->lock);
		it = wfq_pop(m->queue);
		pthread_mutex_unlock(&m->lock);
		if (!it)
			return;
		rq = req_of(it);
		pthread_mutex_lock(&rq->lock);
		rq->queued = false;
		ent_route_and_call(rq);
		pthread_mutex_unlock(&rq->lock);
		ent_req_put(rq);
	}
}
