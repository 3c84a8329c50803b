#include "route/pick.h"

#include <string.h>

#include "base/hsh.h"

/*
 * A long prompt delays the requests that run beside it: the engine reads a chunk
 * between two steps. Each running request counts for this part of the time in
 * which a usual prompt is read.
 */
#define RUN_PART 0.115

/*
 * Reading a shared prefix again takes the endpoint's time from all others: it
 * counts for this much more than the wait that it causes.
 */
#define REREAD_EXTRA 0.5

/* What one failure costs a caller, against which waiting is weighed. */
#define FAILURE_COST_MS 2500.0

/* Beyond its zone: a round trip more, and priced bytes. */
#define OTHER_ZONE_MS 2.0

/*
 * A first choice by hash that nobody of us has used is taken to hold the
 * part with this chance: other entries send their requests there.
 */
#define HASHED_CHANCE 0.7

/*
 * Load reports from other entries arrive with a delay; without sampling, many
 * entries would pick the same cheapest endpoint and overload it. With fewer
 * sending peers than MIN_SENDING_PEERS, all endpoints are considered.
 */
#define MEAN_SAMPLE_SIZE 8.0
#define MIN_SENDING_PEERS 10

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
	return e->use == q->use && !strcmp(e->info.service, q->service) &&
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

static struct svc_state state_of(const struct flt_endpoint *e,
				 double tokens_to_prefill)
{
	return (struct svc_state){
		.tokens_to_prefill = tokens_to_prefill,
		.queued_tokens = e->prefill_tokens + e->peer_prefill_tokens,
		.running = e->running + e->peer_running,
		.slots = e->info.slots,
	};
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

/*
 * An endpoint with a request that may end it costs this much, and in the
 * choice for such a request so does each one that runs there: more than any
 * wait, and not out of the question where nothing else is left.
 */
#define SUSPECT_COST_MS 1e6

static double risk_of(const struct pick_query *q, const struct flt_endpoint *e)
{
	double at_risk = e->suspects > 0;

	if (q->apart)
		at_risk += e->running + e->peer_running;
	return at_risk * SUSPECT_COST_MS;
}

static double cost_of(const struct pick_query *q, const struct flt_endpoint *e,
		      double cached, struct pick_result *r)
{
	const double again = q->shared_tokens * (1 - cached);
	double cost;

	r->at = state_of(e, q->own_tokens + again);
	if (q->engine) {
		r->wait_ms = svc_ttft_ms(q->model, &r->at);
		cost = r->wait_ms +
		       r->at.running * RUN_PART *
			       svc_prefill_ms(
				       q->model,
				       q->model->typical_prefill_tokens) +
		       REREAD_EXTRA * svc_prefill_ms(q->model, again);
	} else {
		r->wait_ms = svc_answer_ms(q->model, &r->at);
		cost = r->wait_ms;
	}
	if (!q->ignore_failures)
		cost += flt_fail_rate(e, q->now_ms) * FAILURE_COST_MS;
	if (strcmp(e->info.zone, q->zone))
		cost += OTHER_ZONE_MS;
	return cost + risk_of(q, e);
}

static unsigned count_candidates(struct flt *f, const struct pick_query *q)
{
	struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &f->endpoints, node)
		n += candidate(q, e);
	return n;
}

/* Returns the probability that a candidate is in the sample; may exceed 1. */
static double sampling_probability(const struct pick_query *q,
				   unsigned candidates)
{
	if (!q->sample_seed || q->sending_peers < MIN_SENDING_PEERS)
		return 1;
	return candidates > 0 ? MEAN_SAMPLE_SIZE / candidates : 1;
}

static bool in_sample(const struct pick_query *q, const struct flt_endpoint *e,
		      double probability)
{
	const uint64_t h = hsh_rendezvous(q->sample_seed, e->hash);

	return (double)(h >> 11) / (double)(1ull << 53) < probability;
}

struct pick_result pick_endpoint(struct flt *f, const struct pick_query *q)
{
	const struct flt_endpoint *first = home(f, q);
	struct pick_result best = { .endpoint = NULL }, r;
	struct flt_endpoint *e;
	const unsigned candidates = count_candidates(f, q);
	const double probability = sampling_probability(q, candidates);
	unsigned remaining = candidates;
	double cached;

	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!candidate(q, e))
			continue;
		remaining--;
		cached = chance_cached(q, e, e == first);
		/* Falls back to the last candidate if the sample is empty. */
		if (!cached && !in_sample(q, e, probability) &&
		    (best.endpoint || remaining))
			continue;
		r.cost_ms = cost_of(q, e, cached, &r);
		if (best.endpoint && r.cost_ms >= best.cost_ms)
			continue;
		best = r;
		best.endpoint = e;
		best.cached = cached > 0;
		best.sure = cached >= 1 || !q->shared_tokens;
	}
	best.candidates = candidates;
	return best;
}
