#include "route/route.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

/* Typical characters per token of the served texts, to estimate prompts. */
#define CHARS_PER_TOKEN 4.0

/*
 * Decay rate of a load report: after the duration of an answer divided by this,
 * its weight is about a third (1/e). Of the values from 0 (no decay) to 16, 4
 * and 8 give the best choices: see docs/design/routing.md.
 */
#define REPORT_DECAY 4.0

/* Cost of another zone: about 1 ms of latency in each direction. */
#define OTHER_ZONE_MS 2.0

/* Older load reports are ignored, and half of the slots assumed in use. */
#define MAX_REPORT_AGE_MS 15000

/* Minimum variance of a load: even a new report may be off by a sequence. */
#define MIN_VARIANCE 0.25
#define INV_SQRT_2PI 0.3989422804014327

/* Endpoints with the prompt's prefix, considered also outside the subset. */
#define EXTRA_HOLDERS 4
#define MAX_CANDIDATES ROUTE_MAX_SCORES

struct node {
	struct route_endpoint ep;
	uint64_t weight;
};

struct route_table {
	uint64_t self;
	size_t max;
	size_t nr;
	struct node **nodes;
	size_t index_mask;
	uint16_t *index; /* open addressing by id; 0: empty, else i + 1 */
	struct route_endpoint *subset[ROUTE_SUBSET];
	size_t nr_subset;
};

/* ---- The table ---- */

struct route_table *route_create(uint64_t self, size_t max)
{
	struct route_table *t = mem_new(sizeof(*t));
	size_t n = 16;

	assert(max < 65535);
	while (n < 2 * max)
		n *= 2;
	t->self = self;
	t->max = max;
	t->nodes = mem_new(max * sizeof(*t->nodes));
	t->index_mask = n - 1;
	t->index = mem_new(n * sizeof(*t->index));
	return t;
}

void route_free(struct route_table *t)
{
	size_t i;

	if (!t)
		return;
	for (i = 0; i < t->nr; i++)
		free(t->nodes[i]);
	free(t->nodes);
	free(t->index);
	free(t);
}

static size_t index_start(const struct route_table *t, uint64_t id)
{
	return hsh_bytes(&id, sizeof(id), 5) & t->index_mask;
}

static void index_add(struct route_table *t, size_t i)
{
	size_t at = index_start(t, t->nodes[i]->ep.id);

	while (t->index[at])
		at = (at + 1) & t->index_mask;
	t->index[at] = (uint16_t)(i + 1);
}

static struct node *find_node(const struct route_table *t, uint64_t id)
{
	size_t at = index_start(t, id);

	while (t->index[at]) {
		struct node *n = t->nodes[t->index[at] - 1];

		if (n->ep.id == id)
			return n;
		at = (at + 1) & t->index_mask;
	}
	return NULL;
}

struct route_endpoint *route_find(const struct route_table *t, uint64_t id)
{
	struct node *n = find_node(t, id);

	return n ? &n->ep : NULL;
}

size_t route_count(const struct route_table *t)
{
	return t->nr;
}

static void update_endpoint(struct route_endpoint *dst,
			    const struct route_endpoint *src)
{
	const struct route_endpoint old = *dst;

	*dst = *src;
	dst->report_ms = old.report_ms;
	dst->running = old.running;
	dst->waiting = old.waiting;
	dst->cache_gap_ms = old.cache_gap_ms;
	dst->cache_seq = old.cache_seq;
	dst->streams = old.streams;
	dst->own_open = old.own_open;
	dst->own_at_report = old.own_at_report;
	memcpy(dst->load_changes, old.load_changes, sizeof(dst->load_changes));
	dst->nr_load_changes = old.nr_load_changes;
	dst->avoid_until_ms = old.avoid_until_ms;
	dst->polled_ms = old.polled_ms;
}

struct route_endpoint *route_put(struct route_table *t,
				 const struct route_endpoint *ep)
{
	struct node *n = find_node(t, ep->id);

	if (n) {
		update_endpoint(&n->ep, ep);
		return &n->ep;
	}
	if (t->nr == t->max)
		return NULL;
	n = mem_new(sizeof(*n));
	n->ep = *ep;
	n->weight = hsh_rendezvous(t->self, ep->id);
	t->nodes[t->nr] = n;
	index_add(t, t->nr);
	t->nr++;
	return &n->ep;
}

void route_remove(struct route_table *t, uint64_t id)
{
	size_t i;

	for (i = 0; i < t->nr; i++) {
		if (t->nodes[i]->ep.id == id)
			break;
	}
	if (i == t->nr)
		return;
	free(t->nodes[i]);
	t->nodes[i] = t->nodes[--t->nr];
	memset(t->index, 0, (t->index_mask + 1) * sizeof(*t->index));
	for (i = 0; i < t->nr; i++)
		index_add(t, i);
	route_refresh(t);
}

/*
 * Reduces the weight of endpoints that accept no requests, so that others take
 * their places in the subset.
 */
static uint64_t subset_weight(const struct node *n)
{
	return n->ep.leaving || !n->ep.ready ? n->weight >> 8 : n->weight;
}

static int compare_weights(const void *a, const void *b)
{
	const uint64_t x = subset_weight(*(struct node *const *)a);
	const uint64_t y = subset_weight(*(struct node *const *)b);

	return x > y ? -1 : x < y;
}

void route_refresh(struct route_table *t)
{
	MEM_AUTO struct node **order = mem_new(t->nr * sizeof(*order));
	size_t i;

	if (t->nr)
		memcpy(order, t->nodes, t->nr * sizeof(*order));
	qsort(order, t->nr, sizeof(*order), compare_weights);
	t->nr_subset = t->nr < ROUTE_SUBSET ? t->nr : ROUTE_SUBSET;
	for (i = 0; i < t->nr_subset; i++)
		t->subset[i] = &order[i]->ep;
}

size_t route_subset(const struct route_table *t,
		    struct route_endpoint *const **out)
{
	*out = (struct route_endpoint *const *)t->subset;
	return t->nr_subset;
}

/* ---- Load ---- */

/* Returns this entry's open requests at a recent time, from the changes. */
static int64_t own_open_at(const struct route_endpoint *ep, int64_t at_ms)
{
	const unsigned kept = ep->nr_load_changes < ROUTE_MAX_CHANGES
				      ? ep->nr_load_changes
				      : ROUTE_MAX_CHANGES;
	int64_t own = ep->own_open;
	unsigned i;

	for (i = 1; i <= kept; i++) {
		const struct route_load_change *p =
			&ep->load_changes[(ep->nr_load_changes - i) %
					  ROUTE_MAX_CHANGES];

		if (p->at_ms <= at_ms)
			break;
		own = p->own_before;
	}
	return own;
}

void route_report(struct route_endpoint *ep, int64_t running, int64_t waiting,
		  int64_t lag_ms, int64_t now_ms)
{
	const int64_t as_of = now_ms - (lag_ms > 0 ? lag_ms : 0);

	if (as_of < ep->report_ms || running < 0 || waiting < 0)
		return;
	ep->report_ms = as_of;
	ep->running = running;
	ep->waiting = waiting;
	ep->own_at_report = own_open_at(ep, as_of);
}

static void change_own_open(struct route_endpoint *ep, int64_t by,
			    int64_t now_ms)
{
	struct route_load_change *p =
		&ep->load_changes[ep->nr_load_changes++ % ROUTE_MAX_CHANGES];

	p->at_ms = now_ms;
	p->own_before = ep->own_open;
	ep->own_open += by;
}

void route_sent(struct route_endpoint *ep, int64_t now_ms)
{
	change_own_open(ep, 1, now_ms);
}

void route_done(struct route_endpoint *ep, int64_t now_ms)
{
	if (ep->own_open > 0)
		change_own_open(ep, -1, now_ms);
}

/* ---- Scores ---- */

/* Load of other entries at the time of the report, in sequences. */
static double reported_others(const struct route_endpoint *ep, int64_t now_ms)
{
	const double n =
		(double)(ep->running + ep->waiting - ep->own_at_report);

	if (!ep->report_ms || now_ms - ep->report_ms > MAX_REPORT_AGE_MS)
		return (double)ep->slots * 0.5;
	return n > 0 ? n : 0;
}

/*
 * Estimates the current load of other entries, in sequences. Sequences start
 * and end, and all entries react to the same report, so that an old report says
 * little about a single replica: its deviation from the mean decays with the
 * age of the report. Without decay, the choice is worse than round robin
 * (docs/design/routing.md).
 */
static double others_load(const struct route_endpoint *ep, double mean,
			  double answer_ms, int64_t now_ms)
{
	const double age = (double)(now_ms - ep->report_ms);
	const double weight = exp(-REPORT_DECAY * age / answer_ms);

	return mean + weight * (reported_others(ep, now_ms) - mean);
}

/*
 * Expected number of sequences beyond the slots, if the load is normally
 * distributed around its estimate. Without this, a replica with one free slot
 * would look as good as an empty one, and would be filled.
 */
static double expected_overload(double load, double others, double slots)
{
	const double sd = sqrt(others + MIN_VARIANCE);
	const double d = load + 1.0 - slots;
	const double z = d / sd;

	return sd * exp(-z * z / 2) * INV_SQRT_2PI +
	       d * 0.5 * erfc(-z * M_SQRT1_2);
}

double route_predict(const struct route_endpoint *ep, const struct prefix *px,
		     const struct route_query *q, double mean_others,
		     int64_t now_ms, size_t *cached)
{
	const double slots = (double)(ep->slots > 0 ? ep->slots : 1);
	const double per_seq = ep->tokens_per_s / slots;
	const double tokens = q->max_tokens ? q->max_tokens : 256.0;
	const double answer_ms = tokens / per_seq * 1000.0;
	const double others = others_load(ep, mean_others, answer_ms, now_ms);
	const double load = others + (double)ep->own_open;
	double uncached, ms = 0;

	*cached = q->prefix ? prefix_match(px, q->prefix, ep->id,
					   ep->cache_gap_ms)
			    : 0;
	uncached = q->prompt_tokens - (double)*cached / CHARS_PER_TOKEN;
	if (uncached < 0)
		uncached = 0;
	uncached += q->kept_tokens;
	/* Each queue position waits for 1/slots of an answer's duration. */
	ms += expected_overload(load, others, slots) * answer_ms / slots;
	ms += uncached / ep->prefill_per_s * 1000.0;
	/* In a busy batch, arriving requests share the prefill capacity. */
	if (load < slots)
		ms += load / slots * 1000.0 / per_seq;
	ms += ep->risk_per_s * (tokens / per_seq) * q->recompute_weight *
	      (q->prompt_tokens + tokens / 2) / ep->prefill_per_s * 1000.0;
	if (q->zone && strcmp(q->zone, ep->zone))
		ms += OTHER_ZONE_MS;
	return ms;
}

static bool usable(const struct route_endpoint *ep, const struct route_query *q,
		   int64_t now_ms)
{
	if (!ep->ready || ep->leaving || now_ms < ep->avoid_until_ms)
		return false;
	return !q->version || !*q->version || !strcmp(q->version, ep->version);
}

static size_t usable_subset(struct route_table *t, const struct route_query *q,
			    int64_t now_ms, struct route_endpoint **out)
{
	size_t n = 0, i;

	for (i = 0; i < t->nr_subset; i++) {
		if (usable(t->subset[i], q, now_ms))
			out[n++] = t->subset[i];
	}
	return n;
}

static size_t add_holders(struct route_table *t, const struct prefix *px,
			  const struct route_query *q, int64_t now_ms,
			  struct route_endpoint **out, size_t n)
{
	uint64_t holders[EXTRA_HOLDERS];
	const size_t nr = prefix_holders(px, q->prefix, holders, EXTRA_HOLDERS);
	size_t i, j;

	for (i = 0; i < nr; i++) {
		struct route_endpoint *ep = route_find(t, holders[i]);

		if (!ep || !usable(ep, q, now_ms))
			continue;
		for (j = 0; j < n && out[j] != ep; j++)
			;
		if (j == n)
			out[n++] = ep;
	}
	return n;
}

/* Mean load of other entries on the tracked endpoints, in sequences. */
static double mean_others(const struct route_table *t, int64_t now_ms)
{
	double sum = 0;
	size_t n = 0, i;

	for (i = 0; i < t->nr_subset; i++) {
		if (!t->subset[i]->ready || t->subset[i]->leaving)
			continue;
		sum += reported_others(t->subset[i], now_ms);
		n++;
	}
	return n ? sum / (double)n : 0;
}

static bool has_free_slot(const struct route_score *s,
			  const struct route_query *q)
{
	return s->load + 1.0 <= (double)s->ep->slots * (1.0 - q->reserve);
}

/*
 * Returns the index of the lowest score, among endpoints with room if there are
 * any. `start` is random, so that entries choose differently between equal
 * scores.
 */
static size_t lowest_score(const struct route_score *s, size_t n, size_t start,
			   const struct route_query *q)
{
	size_t best = start, i;

	for (i = 1; i < n; i++) {
		const size_t k = (start + i) % n;
		const bool room = has_free_slot(&s[k], q);
		const bool best_room = has_free_slot(&s[best], q);

		if (room != best_room ? room : s[k].ms < s[best].ms)
			best = k;
	}
	return best;
}

struct route_choice route_choose(struct route_table *t, const struct prefix *px,
				 const struct route_query *q, struct rnd *rnd,
				 int64_t now_ms, struct route_score *scores,
				 size_t *nr_scores)
{
	struct route_endpoint *cand[MAX_CANDIDATES];
	struct route_score own[MAX_CANDIDATES];
	struct route_score *s = scores ? scores : own;
	const double mean = mean_others(t, now_ms);
	struct route_choice c = { 0 };
	size_t n = usable_subset(t, q, now_ms, cand), i, k = 0;

	if (q->prefix)
		n = add_holders(t, px, q, now_ms, cand, n);

	for (i = 0; i < n; i++) {
		/* The endpoint that just failed is only the last resort. */
		if (cand[i]->id == q->avoid && n > 1)
			continue;
		s[k].ep = cand[i];
		s[k].ms = route_predict(cand[i], px, q, mean, now_ms,
					&s[k].cached_chars);
		s[k].load = mean + (double)cand[i]->own_open;
		k++;
	}
	if (nr_scores)
		*nr_scores = k;
	c.considered = (unsigned)k;
	if (!k)
		return c;
	i = lowest_score(s, k, rnd_below(rnd, (uint32_t)k), q);
	c.endpoint = s[i].ep->id;
	c.score_ms = s[i].ms;
	c.cached_chars = s[i].cached_chars;
	c.has_room = has_free_slot(&s[i], q);
	return c;
}
