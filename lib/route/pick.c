#include "route/pick.h"

#include <string.h>

#include "base/hsh.h"
#include "route/ramp.h"

/*
 * Prefill of a long prompt delays the requests in the same batch, since the
 * engine processes a chunk of it between two decoding steps. Each running
 * request costs this fraction of the prefill time of a typical prompt.
 */
#define RUNNING_PREFILL_FRACTION 0.115

/*
 * Repeated prefill of a shared part takes time from all requests of the
 * endpoint: it costs this fraction of its duration in addition to the wait.
 */
#define REPEATED_PREFILL_PENALTY 0.5

/* Cost of a failure to a caller, as an equivalent waiting time. */
#define FAILURE_COST_MS 2500.0

/* Cost of another zone: an additional round trip, and charges per byte. */
#define OTHER_ZONE_COST_MS 2.0

/*
 * A stream can only be continued at the version that began it. A new one at a
 * version with few endpoints takes places that such streams need, and finds none
 * itself if they leave. Cost of a version with a single endpoint, divided by the
 * number of its endpoints.
 */
#define RARE_VERSION_COST_MS 100.0

/* Versions of a service that are told apart; others count as rare. */
#define MAX_VERSIONS 8

/*
 * Probability that the first choice by hash has a shared part cached although
 * this entry did not send it there recently: other entries may have done so.
 */
#define FIRST_CHOICE_CACHED_PROBABILITY 0.7

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

static bool is_asked_for(const struct pick_query *q,
			 const struct flt_endpoint *e)
{
	if (q->bound)
		return flt_continues(e, q->service, q->version);
	return flt_begins(e, q->service, q->use, q->stream);
}

static bool is_candidate(const struct pick_query *q,
			 const struct flt_endpoint *e)
{
	return is_asked_for(q, e) && flt_usable(e, q->now_ms) &&
	       !excluded(q, e);
}

/* Returns the first choice for the shared part, by rendezvous hashing. */
static const struct flt_endpoint *first_choice(struct flt *f,
					       const struct pick_query *q)
{
	const struct flt_endpoint *best = NULL;
	struct flt_endpoint *e;
	uint64_t weight, most = 0;

	if (!q->prefix)
		return NULL;
	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!is_candidate(q, e))
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

static double cached_probability(const struct pick_query *q,
				 const struct flt_endpoint *e,
				 bool is_first_choice)
{
	if (!q->prefix)
		return 0;
	if (q->parts &&
	    parts_likely_cached(q->parts, q->prefix, e->hash, q->now_ms))
		return 1;
	return is_first_choice ? FIRST_CHOICE_CACHED_PROBABILITY : 0;
}

/*
 * Cost in ms of an endpoint that runs a request suspected to crash it. If the
 * request to be sent is suspected, each request that runs there costs as much.
 * The cost exceeds any wait, but does not exclude the endpoint: it is chosen if
 * there is no other one.
 */
#define SUSPECT_COST_MS 1e6

static double crash_risk_cost(const struct pick_query *q,
			      const struct flt_endpoint *e)
{
	double at_risk = e->suspect_runs > 0;

	if (q->isolate)
		at_risk += e->running + e->peer_running;
	return at_risk * SUSPECT_COST_MS;
}

/*
 * Part of a predicted pause by which it may differ, in addition to the typical
 * error of the model: the events of a stream come some time after the last
 * chunk of a prefill, and prompts that are sent meanwhile extend the pause.
 */
#define PAUSE_SPREAD 0.25

/*
 * Cost of a pause to a stream, ms: a pause beyond the bound costs as much as
 * the bound, and the excess. The real pause is taken to be evenly distributed
 * within `error` of `pause`.
 */
static double late_pause_cost(double pause, double bound, double error)
{
	const double most = pause + error - bound;

	if (most <= 0)
		return 0;
	if (most >= 2 * error)
		return pause;
	return most / (2 * error) * (bound + most / 2);
}

/*
 * Cost of the pauses that the prompt's prefill, beside what is queued before
 * it, causes to the requests that run there.
 */
static double pause_cost(const struct pick_query *q,
			 const struct flt_endpoint *e,
			 const struct svc_state *at)
{
	const double factor = spd_last_factor(&e->speed);
	const double own =
		factor * svc_prefill_ms(q->model, at->tokens_to_prefill);
	const double pause =
		own + factor * svc_prefill_ms(q->model, at->queued_tokens);
	const double error =
		factor * q->model->ttft.typical_error + PAUSE_SPREAD * pause;

	return at->running * (late_pause_cost(pause, q->pause_ms, error) +
			      e->speed.pause_rate * own);
}

static double engine_cost(const struct pick_query *q,
			  const struct svc_state *at, double repeated_tokens,
			  double wait_ms)
{
	return wait_ms +
	       at->running * RUNNING_PREFILL_FRACTION *
		       svc_prefill_ms(q->model,
				      q->model->typical_prefill_tokens) +
	       REPEATED_PREFILL_PENALTY *
		       svc_prefill_ms(q->model, repeated_tokens);
}

/* Costs that do not depend on the endpoint's speed. */
static double other_costs(const struct pick_query *q,
			  const struct flt_endpoint *e)
{
	double cost = crash_risk_cost(q, e);

	if (!q->ignore_failures)
		cost += flt_fail_rate(e, q->now_ms) * FAILURE_COST_MS;
	if (strcmp(e->info.zone, q->zone))
		cost += OTHER_ZONE_COST_MS;
	return cost;
}

/* Sets the predictions, the cost, and the cost at the service's usual speed. */
static void predict(const struct pick_query *q, const struct flt_endpoint *e,
		    double p_cached, bool uneven, struct pick_result *r,
		    double *usual_cost)
{
	const double repeated_tokens = q->shared_tokens * (1 - p_cached);
	const double factor = q->speeds ? spd_factor(&e->speed) : 1;
	const double other = other_costs(q, e);

	r->state = state_of(e, q->unshared_tokens + repeated_tokens);
	if (!q->engine) {
		r->wait_ms = svc_answer_ms(q->model, &r->state);
		r->cost_ms = *usual_cost = r->wait_ms + other;
		return;
	}
	r->wait_ms = svc_ttft_ms(q->model, &r->state);
	r->cost_ms = engine_cost(q, &r->state, repeated_tokens, r->wait_ms);
	*usual_cost = r->cost_ms + other;
	r->wait_ms *= factor;
	r->cost_ms = r->cost_ms * factor + other;
	if (uneven)
		r->cost_ms += pause_cost(q, e, &r->state);
}

/*
 * The versions among the endpoints of the service that take requests; none if it
 * does not matter which one the request goes to.
 */
struct versions {
	unsigned n;
	struct {
		uint64_t version;
		unsigned endpoints;
	} all[MAX_VERSIONS];
};

static void count_versions(struct flt *f, const struct pick_query *q,
			   struct versions *v)
{
	const struct flt_endpoint *e;
	unsigned i;

	v->n = 0;
	if (!q->stream || q->bound)
		return;
	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!is_asked_for(q, e) || !flt_in_service(e, q->now_ms))
			continue;
		for (i = 0; i < v->n && v->all[i].version != e->version; i++)
			;
		if (i == MAX_VERSIONS)
			continue;
		if (i == v->n) {
			v->n++;
			v->all[i].version = e->version;
			v->all[i].endpoints = 0;
		}
		v->all[i].endpoints++;
	}
}

static double rare_version_cost(const struct versions *v,
				const struct flt_endpoint *e)
{
	unsigned i;

	if (v->n < 2)
		return 0;
	for (i = 0; i < v->n; i++) {
		if (v->all[i].version == e->version)
			return RARE_VERSION_COST_MS / v->all[i].endpoints;
	}
	return RARE_VERSION_COST_MS;
}

/* What count_candidates() learns of all candidates. */
struct counts {
	struct pick_result numbers;
	/*
	 * Some are slow. Among endpoints of one speed, even waits are all that
	 * keeps the bound of pauses, and pauses have no cost.
	 */
	bool uneven;
};

/* Counts the candidates, and the endpoints that are withheld. */
static void count_candidates(struct flt *f, const struct pick_query *q,
			     struct counts *c)
{
	struct pick_result *r = &c->numbers;
	struct flt_endpoint *e;
	int64_t at;

	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!is_asked_for(q, e) || !flt_in_service(e, q->now_ms))
			continue;
		at = flt_open_ms(e, q->now_ms);
		if (at <= q->now_ms) {
			if (excluded(q, e))
				continue;
			r->candidates++;
			c->uneven |= spd_last_factor(&e->speed) > SPD_NORMAL;
			continue;
		}
		r->waiting += gate_waits(&e->gate, q->now_ms);
		if (!r->withheld++ || at < r->open_ms)
			r->open_ms = at;
	}
}

/* Returns the probability that a candidate is in the sample; may exceed 1. */
static double sampling_probability(const struct pick_query *q,
				   unsigned candidates)
{
	if (!q->sample_seed || q->sending_peers < MIN_SENDING_PEERS)
		return 1;
	return candidates > 0 ? MEAN_SAMPLE_SIZE / candidates : 1;
}

/* A number in [0, 1) that differs for each seed and endpoint. */
static double draw(uint64_t seed, const struct flt_endpoint *e)
{
	return (double)(hsh_rendezvous(seed, e->hash) >> 11) /
	       (double)(1ull << 53);
}

static bool in_sample(const struct pick_query *q, const struct flt_endpoint *e,
		      double probability)
{
	return draw(q->sample_seed, e) < probability;
}

/* ---- Slow start ---- */

enum readiness {
	SETTLED,
	NEW,  /* with less than its bound of requests of this entry */
	HELD, /* new, with its bound */
};

static enum readiness readiness_of(const struct pick_query *q,
				   const struct flt_endpoint *e)
{
	const struct rmp_start start = { e->first_seen_ms, e->info.started_ms };
	struct rmp_input in = {
		.answers = e->answers,
		.senders = q->sending_peers + 1,
		.slots = e->info.slots,
	};
	unsigned bound;

	if (!q->slow_start || in.senders < RMP_MIN_SENDERS)
		return SETTLED;
	in.age_ms = rmp_age(&start, q->now_ms, q->true_ms);
	if (in.age_ms >= RMP_NEW_MS)
		return SETTLED;
	in.draw = draw(q->entry, e);
	bound = rmp_bound(&in);
	if (bound == RMP_UNBOUNDED)
		return SETTLED;
	return e->running < (int)bound ? NEW : HELD;
}

/* The cheapest endpoints that were considered. */
struct cheapest {
	struct pick_result any;
	struct pick_result open; /* of those that are not held */
	bool settled;		 /* there was one that is not new */
};

static void consider(struct cheapest *c, const struct pick_result *r,
		     enum readiness readiness)
{
	c->settled |= readiness == SETTLED;
	if (!c->any.endpoint || r->cost_ms < c->any.cost_ms)
		c->any = *r;
	if (readiness != HELD &&
	    (!c->open.endpoint || r->cost_ms < c->open.cost_ms))
		c->open = *r;
}

/*
 * Returns the cheapest endpoint, or instead of a held one the cheapest other, if
 * that can take the request: it has a free slot, and neither failures nor the
 * risk of a crash outweigh the wait. If all endpoints are new, none is held.
 */
static struct pick_result choose(const struct cheapest *c)
{
	const struct svc_state *at = &c->open.state;
	struct pick_result r = c->any;

	if (!c->settled || !c->open.endpoint ||
	    c->open.endpoint == c->any.endpoint ||
	    c->open.cost_ms >= c->any.cost_ms + FAILURE_COST_MS ||
	    (at->slots > 0 && at->running >= at->slots))
		return r;
	r = c->open;
	r.held = c->any.endpoint;
	return r;
}

struct pick_result pick_endpoint(struct flt *f, const struct pick_query *q)
{
	const struct flt_endpoint *preferred = first_choice(f, q);
	struct pick_result best, r = { .endpoint = NULL };
	struct counts counts = { .uneven = false };
	struct cheapest cheapest = { .settled = false };
	struct flt_endpoint *e, *usual = NULL;
	struct versions versions;
	double p_cached, probability, usual_cost, rare, least = 0;
	unsigned remaining;
	bool uneven;

	count_candidates(f, q, &counts);
	uneven = counts.uneven && q->speeds && q->pause_ms > 0;
	count_versions(f, q, &versions);
	probability = sampling_probability(q, counts.numbers.candidates);
	remaining = counts.numbers.candidates;
	cds_list_for_each_entry(e, &f->endpoints, node) {
		if (!is_candidate(q, e))
			continue;
		remaining--;
		p_cached = cached_probability(q, e, e == preferred);
		/* Falls back to the last candidate if the sample is empty. */
		if (!p_cached && !in_sample(q, e, probability) &&
		    (cheapest.any.endpoint || remaining))
			continue;
		predict(q, e, p_cached, uneven, &r, &usual_cost);
		rare = rare_version_cost(&versions, e);
		r.cost_ms += rare;
		if (!usual || usual_cost + rare < least) {
			usual = e;
			least = usual_cost + rare;
		}
		r.endpoint = e;
		r.cached = p_cached > 0;
		r.cache_certain = p_cached >= 1 || !q->shared_tokens;
		consider(&cheapest, &r, readiness_of(q, e));
	}
	best = choose(&cheapest);
	if (usual && usual != best.endpoint && spd_is_slow(&usual->speed))
		best.avoided = usual;
	best.candidates = counts.numbers.candidates;
	best.withheld = counts.numbers.withheld;
	best.waiting = counts.numbers.waiting;
	best.open_ms = counts.numbers.open_ms;
	return best;
}
