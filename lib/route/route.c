#include "route/route.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

/* Characters per token of the texts we serve, for prompt estimates. */
#define CHARS_PER_TOKEN 4.0

/*
 * How fast a report fades: after answer / FADE a third of it is left. Of 0
 * (trusted fully) to 16, 4 and 8 were best: docs/design/routing.md.
 */
#define FADE 4.0

/* Extra cost of crossing zones, about twice the millisecond one way. */
#define ZONE_MS 2.0

/* Load reports older than this are worth nothing; assume half full. */
#define STALE_MS 15000

/* Even a fresh report may be wrong by a sequence now and then. */
#define LEAST_VARIANCE 0.25
#define INV_SQRT_2PI 0.3989422804014327

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
	uint16_t *index; /* open addressing by id; 0 is empty, else i + 1 */
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

static void copy_facts(struct route_endpoint *dst,
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
		copy_facts(&n->ep, ep);
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

/* Leaving endpoints make room in the subset for those that take work. */
static uint64_t subset_weight(const struct node *n)
{
	return n->ep.leaving || !n->ep.ready ? n->weight >> 8 : n->weight;
}

static int heavier(const void *a, const void *b)
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
	qsort(order, t->nr, sizeof(*order), heavier);
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

/* This entry's open requests at a moment a little ago. */
static int64_t own_at(const struct route_endpoint *ep, int64_t at_ms)
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
	ep->own_at_report = own_at(ep, as_of);
}

static void change_own(struct route_endpoint *ep, int64_t by, int64_t now_ms)
{
	struct route_load_change *p =
		&ep->load_changes[ep->nr_load_changes++ % ROUTE_MAX_CHANGES];

	p->at_ms = now_ms;
	p->own_before = ep->own_open;
	ep->own_open += by;
}

void route_sent(struct route_endpoint *ep, int64_t now_ms)
{
	change_own(ep, 1, now_ms);
}

void route_done(struct route_endpoint *ep, int64_t now_ms)
{
	if (ep->own_open > 0)
		change_own(ep, -1, now_ms);
}

/* ---- Scores ---- */

/* What others had there when the report was made. */
static double reported_others(const struct route_endpoint *ep, int64_t now_ms)
{
	const double n =
		(double)(ep->running + ep->waiting - ep->own_at_report);

	if (!ep->report_ms || now_ms - ep->report_ms > STALE_MS)
		return (double)ep->slots * 0.5;
	return n > 0 ? n : 0;
}

/*
 * What others have there now. Sequences come and go, and every entry that saw
 * the same report acts on it, so an old report says little of one replica:
 * what it had above or below the mean fades with the report's age. A choice
 * that trusts it fully does worse than round robin (docs/design/routing.md).
 */
static double others_load(const struct route_endpoint *ep, double mean,
			  double answer_ms, int64_t now_ms)
{
	const double age = (double)(now_ms - ep->report_ms);
	const double trust = exp(-FADE * age / answer_ms);

	return mean + trust * (reported_others(ep, now_ms) - mean);
}

/*
 * Sequences beyond the slots that must be expected, if the load is spread
 * around its estimate like a normal variable. Without it a replica filled to
 * its last slot looks as good as an empty one, and is filled.
 */
static double expected_over(double load, double others, double slots)
{
	const double sd = sqrt(others + LEAST_VARIANCE);
	const double d = load + 1.0 - slots;
	const double z = d / sd;

	return sd * exp(-z * z / 2) * INV_SQRT_2PI +
	       d * 0.5 * erfc(-z * M_SQRT1_2);
}

double route_predict(const struct route_endpoint *ep, const struct prefix *px,
		     const struct route_query *ask, double mean_others,
		     int64_t now_ms, size_t *cached)
{
	const double slots = (double)(ep->slots > 0 ? ep->slots : 1);
	const double per_seq = ep->tokens_per_s / slots;
	const double tokens = ask->max_tokens ? ask->max_tokens : 256.0;
	const double answer_ms = tokens / per_seq * 1000.0;
	const double others = others_load(ep, mean_others, answer_ms, now_ms);
	const double load = others + (double)ep->own_open;
	double uncached, ms = 0;

	*cached = ask->prefix ? prefix_match(px, ask->prefix, ep->id,
					     ep->cache_gap_ms)
			      : 0;
	uncached = ask->prompt_tokens - (double)*cached / CHARS_PER_TOKEN;
	if (uncached < 0)
		uncached = 0;
	uncached += ask->kept_tokens;
	/* Each place in the queue waits for a 1/slots part of an answer. */
	ms += expected_over(load, others, slots) * answer_ms / slots;
	ms += uncached / ep->prefill_per_s * 1000.0;
	/* A busy batch shares its prefill among those that arrive. */
	if (load < slots)
		ms += load / slots * 1000.0 / per_seq;
	ms += ep->risk_per_s * (tokens / per_seq) * ask->recompute_weight *
	      (ask->prompt_tokens + tokens / 2) / ep->prefill_per_s * 1000.0;
	if (ask->zone && strcmp(ask->zone, ep->zone))
		ms += ZONE_MS;
	return ms;
}

static bool usable(const struct route_endpoint *ep,
		   const struct route_query *ask, int64_t now_ms)
{
	if (!ep->ready || ep->leaving || now_ms < ep->avoid_until_ms)
		return false;
	return !ask->version || !*ask->version ||
	       !strcmp(ask->version, ep->version);
}

static size_t usable_subset(struct route_table *t,
			    const struct route_query *ask, int64_t now_ms,
			    struct route_endpoint **out)
{
	size_t n = 0, i;

	for (i = 0; i < t->nr_subset; i++) {
		if (usable(t->subset[i], ask, now_ms))
			out[n++] = t->subset[i];
	}
	return n;
}

static size_t add_holders(struct route_table *t, const struct prefix *px,
			  const struct route_query *ask, int64_t now_ms,
			  struct route_endpoint **out, size_t n)
{
	uint64_t holders[EXTRA_HOLDERS];
	const size_t nr =
		prefix_holders(px, ask->prefix, holders, EXTRA_HOLDERS);
	size_t i, j;

	for (i = 0; i < nr; i++) {
		struct route_endpoint *ep = route_find(t, holders[i]);

		if (!ep || !usable(ep, ask, now_ms))
			continue;
		for (j = 0; j < n && out[j] != ep; j++)
			;
		if (j == n)
			out[n++] = ep;
	}
	return n;
}

/* The mean load that others have at an endpoint, as far as known. */
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

static bool room_at(const struct route_score *s, const struct route_query *ask)
{
	return s->load + 1.0 <= (double)s->ep->slots * (1.0 - ask->reserve);
}

/*
 * The lowest score; a place with room goes before one without. Equal ones are
 * taken in an order that differs from entry to entry and call to call.
 */
static size_t pick(const struct route_score *s, size_t n, size_t start,
		   const struct route_query *ask)
{
	size_t best = start, i;

	for (i = 1; i < n; i++) {
		const size_t k = (start + i) % n;
		const bool room = room_at(&s[k], ask);
		const bool best_room = room_at(&s[best], ask);

		if (room != best_room ? room : s[k].ms < s[best].ms)
			best = k;
	}
	return best;
}

struct route_choice route_choose(struct route_table *t, const struct prefix *px,
				 const struct route_query *ask, struct rnd *rnd,
				 int64_t now_ms, struct route_score *scores,
				 size_t *nr_scores)
{
	struct route_endpoint *cand[MAX_CANDIDATES];
	struct route_score own[MAX_CANDIDATES];
	struct route_score *s = scores ? scores : own;
	const double mean = mean_others(t, now_ms);
	struct route_choice c = { 0 };
	size_t n = usable_subset(t, ask, now_ms, cand), i, k = 0;

	if (ask->prefix)
		n = add_holders(t, px, ask, now_ms, cand, n);

	for (i = 0; i < n; i++) {
		/* The one that just failed is kept as the last resort. */
		if (cand[i]->id == ask->avoid && n > 1)
			continue;
		s[k].ep = cand[i];
		s[k].ms = route_predict(cand[i], px, ask, mean, now_ms,
					&s[k].cached_chars);
		s[k].load = mean + (double)cand[i]->own_open;
		k++;
	}
	if (nr_scores)
		*nr_scores = k;
	c.considered = (unsigned)k;
	if (!k)
		return c;
	i = pick(s, k, rnd_below(rnd, (uint32_t)k), ask);
	c.endpoint = s[i].ep->id;
	c.score_ms = s[i].ms;
	c.cached_chars = s[i].cached_chars;
	c.has_room = room_at(&s[i], ask);
	return c;
}
