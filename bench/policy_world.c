/*
 * Arrivals, the two policies, reclaims and the clock of bench_policy.
 */
#include "policy_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "limit/admit.h"
#include "place/rescue.h"

const struct deployment deployments[2] = {
	{ "Kvotebors Nord",
	  12,
	  8,
	  20,
	  8000,
	  { { "quay", 8, 4, 250, 32, 64, false },
	    { "auction", 6, 4, 200, 28, 64, false },
	    { "cooperatives", 4, 2, 350, 40, 128, false },
	    { "history", 3, 1, 1500, 80, 512, true },
	    { "bulletins", 2, 1, 600, 110, 128, true } } },
	{ "Bayt Tayar",
	  9,
	  8,
	  20,
	  8000,
	  { { "shops", 5, 4, 900, 40, 256, false },
	    { "agents", 4, 4, 900, 40, 256, false },
	    { "homes", 3, 2, 475, 32, 128, false },
	    { "meters", 1.5, 1, 3500, 60, 512, true },
	    { "archive", 0.5, 1, 4000, 110, 1024, true } } },
};

/* ---- Arrivals: the same for both policies ---- */

static void make_key(struct world *w, struct req *r, struct rnd *rnd)
{
	const struct account_shape *a = &w->d->a[r->account];
	const unsigned blocks = r->prompt * 4 / PREFIX_BLOCK_CHARS;
	const unsigned shared = a->shared * 4 / PREFIX_BLOCK_CHARS;
	unsigned i;

	r->key.nr = blocks < PREFIX_MAX_BLOCKS ? blocks : PREFIX_MAX_BLOCKS;
	for (i = 0; i < r->key.nr; i++)
		r->key.block[i] = i < shared ? 1000 * (r->account + 1) + i
					     : rnd_next(rnd);
}

static void add_arrivals(struct world *w, const struct scenario *s,
			 uint64_t seed)
{
	struct rnd rnd;
	unsigned a;

	rnd_seed(&rnd, seed);
	for (a = 0; a < ACCOUNTS; a++) {
		const struct account_shape *sh = &w->d->a[a];
		double t = 0;

		while (w->nr < MAX_REQS) {
			double rate = sh->rate * s->scale;
			struct req *r = &w->reqs[w->nr];

			if (a == s->surge_account &&
			    t >= (double)s->surge_from &&
			    t < (double)s->surge_to)
				rate *= s->surge;
			t += rnd_exp(&rnd, 1000.0 / rate);
			if (t >= (double)s->ms)
				break;
			memset(r, 0, sizeof(*r));
			r->tag = w->nr++;
			r->account = a;
			r->entry = rnd_below(&rnd, ENTRIES);
			r->born = (int64_t)t;
			r->prompt = sh->prompt / 2 +
				    rnd_below(&rnd, sh->prompt + 1);
			r->answer = sh->answer / 2 +
				    rnd_below(&rnd, sh->answer + 1) + 1;
			make_key(w, r, &rnd);
		}
	}
}

/* ---- Both policies' hands ---- */

static void send(struct world *w, struct req *r, uint64_t engine)
{
	const struct fleet_run run = { .tag = r->tag,
				       .prompt_tokens = r->prompt,
				       .kept = r->have,
				       .max = r->answer,
				       .key = r->key,
				       .warm = r->warm,
				       .batch = w->d->a[r->account].batch };

	r->engine = engine;
	r->warm = false;
	fleet_send(&w->fleet, engine, &run);
}

static void naive_send(struct world *w, struct req *r)
{
	struct node *n = &w->nodes[r->entry];
	unsigned tries;

	for (tries = 0; tries < w->fleet.nr; tries++) {
		struct fleet_engine *e = &w->fleet.e[n->next++ % w->fleet.nr];

		if (!e->gone) {
			send(w, r, e->id);
			return;
		}
	}
}

static struct route_choice choose(struct world *w, struct req *r, bool take)
{
	struct node *n = &w->nodes[r->entry];
	const struct route_query ask = {
		.prefix = &r->key,
		.prompt_tokens = r->prompt,
		.kept_tokens = r->have,
		.max_tokens = r->answer,
		.avoid = r->engine,
		.recompute_weight = 0.5,
		.reserve = w->d->a[r->account].batch ? RESERVE : 0,
	};
	const struct route_choice c = route_choose(n->table, n->prefix, &ask,
						   &n->rnd, w->now, NULL, NULL);

	if (take && c.endpoint) {
		route_sent(route_find(n->table, c.endpoint), w->now);
		prefix_insert(n->prefix, &r->key, c.endpoint, w->now);
	}
	return c;
}

static void current_send(struct world *w, struct req *r)
{
	const struct route_choice c = choose(w, r, true);

	if (c.endpoint)
		send(w, r, c.endpoint);
}

static void refuse(struct req *r)
{
	r->refused = true;
}

static double queue_wait(struct world *w, struct node *n, const struct req *r)
{
	double rate = 0;
	size_t i;

	for (i = 0; i < w->fleet.nr; i++) {
		if (!w->fleet.e[i].gone)
			rate += w->fleet.e[i].slots * 1000.0 /
				w->fleet.e[i].tpot_ms;
	}
	/* The engines are shared by all entries. */
	return wfq_ahead(n->queue, r->item.flow, r->item.weight, r->item.cost) /
	       (rate / ENTRIES) * 1000.0;
}

static void fill_item(struct world *w, struct req *r)
{
	const struct account_shape *a = &w->d->a[r->account];

	r->item.flow = r->account;
	r->item.weight = a->weight * (a->batch ? 1 : 2);
	r->item.cost = r->prompt / 8.0 + r->answer;
	r->item.batch = a->batch;
}

static void current_arrival(struct world *w, struct req *r)
{
	const struct account_shape *a = &w->d->a[r->account];
	struct node *n = &w->nodes[r->entry];
	const struct route_choice c = choose(w, r, false);
	const double factor = a->batch ? WAIT_BATCH : WAIT_INTERACTIVE;
	struct admit_facts f = {
		.max_in_flight = 100000,
		.account_max_in_flight = 100000,
		.share_ok = true,
		.has_endpoint = c.endpoint != 0,
		.has_room = c.has_room,
		.predicted_ms = c.score_ms,
		.queued = wfq_count(n->queue),
		.max_queued = 1024,
		.wait_limit_ms = (int64_t)(TARGET_MS * factor),
	};
	struct admit_result res;

	fill_item(w, r);
	f.queue_wait_ms = c.has_room ? 0 : queue_wait(w, n, r);
	res = admit_decide(&f);

	if (res.verdict == ADMIT_REFUSE) {
		refuse(r);
	} else if (res.verdict == ADMIT_GO) {
		current_send(w, r);
	} else {
		r->item.give_up_ms =
			r->born + f.wait_limit_ms - (int64_t)f.predicted_ms;
		if (!wfq_push(n->queue, &r->item))
			refuse(r);
	}
}

static void drain_queues(struct world *w)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		struct node *n = &w->nodes[i];
		struct wfq_item *it;

		while ((it = wfq_expired(n->queue, w->now)))
			refuse((struct req *)it);
		while (wfq_count(n->queue)) {
			const struct route_query ask = { .max_tokens = 64,
							 .prompt_tokens = 64 };

			if (!route_choose(n->table, n->prefix, &ask, &n->rnd,
					  w->now, NULL, NULL)
				     .has_room)
				break;
			current_send(w, (struct req *)wfq_pop(n->queue));
		}
	}
}

/* What engines publish is as old as their lag. */
static void keep_loads(struct world *w)
{
	size_t k;

	for (k = 0; k < w->fleet.nr; k++) {
		const struct fleet_engine *e = &w->fleet.e[k];

		w->past[k][w->now / PAST_MS % PAST][0] = e->nr_run;
		w->past[k][w->now / PAST_MS % PAST][1] = e->nr_wait;
	}
}

static void report_loads(struct world *w, unsigned i)
{
	const int64_t slot = w->now / PAST_MS - REPORT_LAG_MS / PAST_MS;
	size_t k;

	for (k = 0; k < w->fleet.nr; k++) {
		const struct fleet_engine *e = &w->fleet.e[k];
		struct route_endpoint *ep =
			route_find(w->nodes[i].table, e->id);

		ep->ready = !e->gone;
		ep->leaving = e->end_ms != 0;
		if (slot >= 0)
			route_report(ep, w->past[k][slot % PAST][0],
				     w->past[k][slot % PAST][1], REPORT_LAG_MS,
				     w->now);
	}
}

/* ---- Engines' news ---- */

static void on_engine(void *arg, struct fleet_engine *e, uint64_t tag,
		      uint32_t made, bool end, bool lost, int64_t now)
{
	struct world *w = arg;
	struct req *r = &w->reqs[tag];

	(void)made;
	if (!lost) {
		r->have++;
		if (!r->first)
			r->first = now;
	}
	if (!end)
		return;
	if (w->policy == CURRENT)
		route_done(route_find(w->nodes[r->entry].table, e->id), now);
	if (!lost) {
		r->done = true;
		r->end = now;
		return;
	}
	/* The engine went away under it. */
	w->recomputed += r->prompt + r->have;
	if (w->policy == NAIVE) {
		r->have = 0;
		naive_send(w, r);
	} else {
		current_send(w, r);
	}
}

/* ---- Reclaims ---- */

static void rescue_engine(struct world *w, struct fleet_engine *e,
			  unsigned entry, int64_t notice_ms)
{
	struct rescue_stream s[FLEET_SLOTS + 64];
	struct rescue_notice n = {
		.now_ms = w->now,
		.end_ms = w->now + notice_ms,
		.inter_token_ms = e->tpot_ms,
		.move_fixed_ms = 30,
	};
	size_t nr = 0, i;

	for (i = 0; i < w->nr; i++) {
		struct req *r = &w->reqs[i];

		if (r->engine != e->id || r->done || r->entry != entry ||
		    nr == FLEET_SLOTS + 64)
			continue;
		s[nr] = (struct rescue_stream){
			.tag = i,
			.prompt_tokens = r->prompt,
			.generated_tokens = r->have,
			.max_remaining_tokens = r->answer - r->have,
			.kv_mb = (r->prompt + r->have) * 0.125,
			.deadline_ms = r->born + 60000,
			.weight = w->d->a[r->account].weight,
		};
		nr++;
	}
	if (w->kv_moves && e->nr_run + e->nr_wait)
		n.kv_mb_per_s = 400.0 * (double)nr / (e->nr_run + e->nr_wait);
	rescue_plan(&n, s, nr);
	for (i = 0; i < nr; i++) {
		struct req *r = &w->reqs[s[i].tag];

		if (s[i].choice == RESCUE_FINISH)
			continue;
		fleet_cancel(&w->fleet, e->id, r->tag);
		route_done(route_find(w->nodes[entry].table, e->id), w->now);
		if (s[i].choice == RESCUE_MOVE) {
			r->warm = true;
			w->moved++;
		} else {
			w->recomputed += r->prompt + r->have;
		}
		current_send(w, r);
	}
}

static void reclaim(struct world *w, const struct scenario *s)
{
	unsigned i;
	size_t k;

	for (k = 0; k < w->fleet.nr; k++) {
		struct fleet_engine *e = &w->fleet.e[k];

		if (e->zone < s->reclaim_zones)
			e->end_ms = w->now + s->notice_ms;
	}
	if (w->policy == NAIVE)
		return;
	for (i = 0; i < ENTRIES; i++)
		report_loads(w, i);
	for (k = 0; k < w->fleet.nr; k++) {
		for (i = 0; w->fleet.e[k].end_ms && i < ENTRIES; i++)
			rescue_engine(w, &w->fleet.e[k], i, s->notice_ms);
	}
}

/* ---- Running a scenario ---- */

struct world *make_world(const struct deployment *d, enum policy p,
			 enum wfq_policy order)
{
	struct world *w = mem_new(sizeof(*w));
	unsigned i;
	size_t k;

	w->d = d;
	w->policy = p;
	w->order = order;
	w->kv_moves = true;
	w->reqs = mem_new(MAX_REQS * sizeof(*w->reqs));
	fleet_init(&w->fleet, d->engines, ZONES, d->slots, d->tpot_ms,
		   d->prefill_per_s);
	w->fleet.fn = on_engine;
	w->fleet.arg = w;
	for (i = 0; i < ENTRIES; i++) {
		w->nodes[i].table = route_create(i + 1, FLEET_MAX);
		w->nodes[i].prefix = prefix_create(16384);
		w->nodes[i].queue = wfq_create(order, 1024);
		w->nodes[i].next = i;
		rnd_seed(&w->nodes[i].rnd, i + 1);
		for (k = 0; k < w->fleet.nr; k++) {
			const struct route_endpoint ep = {
				.id = k + 1,
				.ready = true,
				.tokens_per_s = d->slots * 1000.0 / d->tpot_ms,
				.prefill_per_s = d->prefill_per_s,
				.slots = d->slots,
			};

			route_put(w->nodes[i].table, &ep);
		}
		route_refresh(w->nodes[i].table);
	}
	return w;
}

void free_world(struct world *w)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		route_free(w->nodes[i].table);
		prefix_free(w->nodes[i].prefix);
		wfq_free(w->nodes[i].queue);
	}
	free(w->reqs);
	free(w);
}

static int by_born(const void *a, const void *b)
{
	const struct req *x = a, *y = b;

	return x->born < y->born ? -1 : x->born > y->born;
}

void run(struct world *w, const struct scenario *s, uint64_t seed)
{
	size_t next = 0;

	add_arrivals(w, s, seed);
	qsort(w->reqs, w->nr, sizeof(w->reqs[0]), by_born);
	for (next = 0; next < w->nr; next++)
		w->reqs[next].tag = next;
	next = 0;
	for (w->now = 1; w->now < s->ms + 30000; w->now++) {
		if (w->now == s->reclaim_at)
			reclaim(w, s);
		while (next < w->nr && w->reqs[next].born <= w->now) {
			if (w->policy == NAIVE)
				naive_send(w, &w->reqs[next]);
			else
				current_arrival(w, &w->reqs[next]);
			next++;
		}
		fleet_tick(&w->fleet, w->now);
		if (w->policy == CURRENT) {
			/* Each entry polls at its own time. */
			if (w->now % (REPORT_MS / ENTRIES) == 0)
				report_loads(w,
					     (unsigned)(w->now /
							(REPORT_MS / ENTRIES) %
							ENTRIES));
			if (w->now % PAST_MS == 0)
				keep_loads(w);
			if (w->now % 5 == 0)
				drain_queues(w);
		}
	}
}
