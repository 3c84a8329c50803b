/*
 * The decisions under load and faults, naive and current side by side, in
 * virtual time on fake engines: the same seeds, the same arrivals. Prints the
 * tables of docs/RESULTS.md.
 *
 *   naive    round robin over live endpoints, first come first served at the
 *            engines, nothing refused, broken answers begun again from nothing
 *   current  route + admit + wfq + rescue, as the entries call them
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "place/plan.h"
#include "policy_world.h"

/* ---- Figures ---- */

static int by_value(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* In place of an account: all that are interactive. */
#define INTERACTIVE (-1)

/* A percentile of the time to the first token. */
static double first_token(const struct world *w, int account, double p,
			  int64_t from, int64_t to)
{
	double *v = mem_new(w->nr * sizeof(*v)), out = 0;
	size_t n = 0, i;

	for (i = 0; i < w->nr; i++) {
		const struct req *r = &w->reqs[i];

		if (r->first && r->born >= from && r->born < to &&
		    (account == INTERACTIVE ? !w->d->a[r->account].batch
					    : r->account == (unsigned)account))
			v[n++] = (double)(r->first - r->born);
	}
	if (n) {
		qsort(v, n, sizeof(*v), by_value);
		out = v[(size_t)(p * (double)(n - 1))];
	}
	free(v);
	return out;
}

/* Tokens per second of answers whose first token came within the target. */
static double goodput(const struct world *w, int64_t from, int64_t to)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < w->nr; i++) {
		const struct req *r = &w->reqs[i];
		const double limit = w->d->a[r->account].batch
					     ? TARGET_MS * WAIT_BATCH
					     : TARGET_MS;

		if (r->done && r->born >= from && r->born < to &&
		    (double)(r->first - r->born) <= limit)
			sum += r->answer;
	}
	return sum / (double)(to - from) * 1000.0;
}

static double part_refused(const struct world *w)
{
	size_t n = 0, i;

	for (i = 0; i < w->nr; i++)
		n += w->reqs[i].refused;
	return (double)n / (double)w->nr;
}

static double prefilled(const struct world *w)
{
	double sum = 0;
	size_t k;

	for (k = 0; k < w->fleet.nr; k++)
		sum += w->fleet.e[k].prefilled;
	return sum;
}

/* ---- Tables ---- */

static void table_calm(const struct deployment *d)
{
	const struct scenario s = { .ms = 60000, .scale = 1, .surge = 1 };
	struct world *n = make_world(d, NAIVE, WFQ_FIFO);
	struct world *c = make_world(d, CURRENT, WFQ_FAIR);
	int a;

	run(n, &s, 1);
	run(c, &s, 1);
	printf("\n### %s: calm\n\n| account | naive p50 | naive p95 | current "
	       "p50 | current p95 |\n|---|---|---|---|---|\n",
	       d->name);
	for (a = 0; a < ACCOUNTS; a++)
		printf("| %s | %.0f ms | %.0f ms | %.0f ms | %.0f ms |\n",
		       d->a[a].name, first_token(n, a, 0.5, 0, s.ms),
		       first_token(n, a, 0.95, 0, s.ms),
		       first_token(c, a, 0.5, 0, s.ms),
		       first_token(c, a, 0.95, 0, s.ms));
	printf("\nPrompt tokens read: naive %.0f, current %.0f (%.2f). Refused "
	       "by current: %.4f.\n",
	       prefilled(n), prefilled(c), prefilled(c) / prefilled(n),
	       part_refused(c));
	free_world(n);
	free_world(c);
}

static void table_flood(const struct deployment *d, unsigned who, double times)
{
	const struct scenario calm = { .ms = 60000, .scale = 1, .surge = 1 };
	const struct scenario flood = { .ms = 60000,
					.scale = 1,
					.surge = times,
					.surge_account = who,
					.surge_from = 0,
					.surge_to = 60000 };
	static const char *const names[] = { "weighted fair", "FIFO",
					     "strict priority" };
	struct world *base = make_world(d, CURRENT, WFQ_FAIR);
	struct world *naive = make_world(d, NAIVE, WFQ_FIFO);
	const double from = 5000;
	double calm95;
	int p;

	run(base, &calm, 2);
	run(naive, &flood, 2);
	calm95 = first_token(base, 0, 0.95, (int64_t)from, calm.ms);
	printf("\n### %s: %s at %.0f times its share\n\nThe quiet account is "
	       "%s; calm p95 %.0f ms.\n\n| policy | quiet p95 | against calm | "
	       "quiet refused | flood's tokens/s |\n|---|---|---|---|---|\n",
	       d->name, d->a[who].name, times, d->a[0].name, calm95);
	printf("| naive | %.0f ms | %.1f | 0 | |\n",
	       first_token(naive, 0, 0.95, (int64_t)from, flood.ms),
	       first_token(naive, 0, 0.95, (int64_t)from, flood.ms) / calm95);
	for (p = WFQ_FAIR; p <= WFQ_STRICT; p++) {
		struct world *w = make_world(d, CURRENT, (enum wfq_policy)p);
		size_t refused = 0, quiet = 0, i;
		double tokens = 0;

		run(w, &flood, 2);
		for (i = 0; i < w->nr; i++) {
			quiet += w->reqs[i].account == 0;
			refused += w->reqs[i].account == 0 &&
				   w->reqs[i].refused;
			if (w->reqs[i].account == who && w->reqs[i].done)
				tokens += w->reqs[i].answer;
		}
		printf("| %s | %.0f ms | %.2f | %.3f | %.0f |\n", names[p],
		       first_token(w, 0, 0.95, (int64_t)from, flood.ms),
		       first_token(w, 0, 0.95, (int64_t)from, flood.ms) /
			       calm95,
		       (double)refused / (double)quiet, tokens / 60);
		free_world(w);
	}
	free_world(base);
	free_world(naive);
}

/* The highest goodput over a ramp of loads is the peak. */
static void table_overload(const struct deployment *d)
{
	static const double scales[] = { 1.0, 2.0, 3.0, 4.0, 5.0, 6.0 };
	double peak[2] = { 0 }, at[2] = { 0 };
	size_t i;
	int p;

	printf("\n### %s: overload\n\nGoodput: generated tokens per second of "
	       "answers whose first token came in time.\n\n| load | naive | "
	       "current | current refused |\n|---|---|---|---|\n",
	       d->name);
	for (i = 0; i < sizeof(scales) / sizeof(scales[0]); i++) {
		const struct scenario s = { .ms = 40000,
					    .scale = scales[i],
					    .surge = 1 };
		double g[2], refused = 0;

		for (p = NAIVE; p <= CURRENT; p++) {
			struct world *w =
				make_world(d, (enum policy)p,
					   p == NAIVE ? WFQ_FIFO : WFQ_FAIR);

			run(w, &s, 3);
			g[p] = goodput(w, 5000, s.ms);
			refused = part_refused(w);
			if (g[p] > peak[p]) {
				peak[p] = g[p];
				at[p] = scales[i];
			}
			free_world(w);
		}
		printf("| %.1fx | %.0f | %.0f | %.3f |\n", scales[i], g[0],
		       g[1], refused);
	}
	/* Twice the load at which current peaks. */
	for (p = NAIVE; p <= CURRENT; p++) {
		const struct scenario s = { .ms = 40000,
					    .scale = 2 * at[CURRENT],
					    .surge = 1 };
		struct world *w = make_world(d, (enum policy)p,
					     p == NAIVE ? WFQ_FIFO : WFQ_FAIR);

		run(w, &s, 3);
		printf("\n%s at 2x the load of the peak (%.1fx): %.0f tokens/s, "
		       "%.2f of its peak %.0f.\n",
		       p == NAIVE ? "Naive" : "Current", s.scale,
		       goodput(w, 5000, s.ms), goodput(w, 5000, s.ms) / peak[p],
		       peak[p]);
		free_world(w);
	}
}

/* When the first-token p95 of a second's arrivals is back under target. */
static void table_recovery(const struct deployment *d)
{
	const struct scenario s = { .ms = 60000,
				    .scale = 1,
				    .surge = 30,
				    .surge_account = 0,
				    .surge_from = 10000,
				    .surge_to = 20000 };
	int p;

	printf("\n### %s: recovery after ten seconds of overload\n\n", d->name);
	for (p = NAIVE; p <= CURRENT; p++) {
		struct world *w = make_world(d, (enum policy)p,
					     p == NAIVE ? WFQ_FIFO : WFQ_FAIR);
		int64_t t, last = s.surge_to;

		run(w, &s, 4);
		for (t = s.surge_to; t < s.ms; t += 1000) {
			if (first_token(w, INTERACTIVE, 0.95, t, t + 1000) >
			    TARGET_MS)
				last = t + 1000;
		}
		printf("- %s: first token of interactive work within %d ms for 95 in 100 again "
		       "%s%lld s after the end.\n",
		       p == NAIVE ? "naive" : "current", TARGET_MS,
		       last >= s.ms ? "not within " : "",
		       (long long)(last - s.surge_to) / 1000);
		free_world(w);
	}
}

static void row_reclaim(const struct deployment *d, unsigned zones,
			int64_t notice_ms, bool kv)
{
	const struct scenario s = { .ms = 40000,
				    .scale = 1,
				    .surge = 1,
				    .reclaim_at = 20000,
				    .reclaim_zones = zones,
				    .notice_ms = notice_ms };
	double again[2], moved = 0;
	size_t whole[2] = { 0 }, all = 0, i;
	uint64_t seed;
	int p;

	for (p = NAIVE; p <= CURRENT; p++) {
		again[p] = 0;
		for (seed = 10; seed < 20; seed++) {
			struct world *w =
				make_world(d, (enum policy)p,
					   p == NAIVE ? WFQ_FIFO : WFQ_FAIR);

			w->kv_moves = kv;
			run(w, &s, seed);
			again[p] += w->recomputed;
			moved += w->moved;
			for (i = 0; i < w->nr; i++) {
				whole[p] += w->reqs[i].done;
				all += p == CURRENT && !w->reqs[i].refused;
			}
			free_world(w);
		}
	}
	printf("| %u | %.1f s | %s | %.0f | %.0f | %.3f | %.0f | %zu of %zu |\n",
	       zones, (double)notice_ms / 1000, kv ? "yes" : "no", again[0],
	       again[1], again[0] > 0 ? again[1] / again[0] : 0, moved,
	       whole[1], all);
}

static void table_reclaim(const struct deployment *d)
{
	printf("\n### %s: reclaim waves\n\nTokens computed a second time, ten "
	       "seeds each.\n\n| zones | notice | KV moves | naive | current | "
	       "ratio | streams moved | accepted answered whole |\n"
	       "|---|---|---|---|---|---|---|---|\n",
	       d->name);
	row_reclaim(d, 1, 2000, true);
	row_reclaim(d, 1, 2000, false);
	row_reclaim(d, 1, 5000, true);
	row_reclaim(d, 1, 500, true);
	row_reclaim(d, 2, 2000, true);
}

/* ---- Cost ---- */

#define HOURS 24
#define STEPS_PER_H 60

/* Prices wander by zone; demand follows the day. Both from the seed. */
static double day_demand(int step)
{
	const double x = (double)step / (HOURS * STEPS_PER_H) * 2 * 3.14159265;

	return 1800 + 1400 * sin(x - 1.6);
}

struct market {
	double price[2 * ZONES];
	struct rnd rnd;
};

static void move_prices(struct market *m, struct plan_offer *o)
{
	unsigned i;

	for (i = 0; i < 2 * ZONES; i++) {
		if (o[i].reclaimable) {
			m->price[i] *= 1 + 0.04 * (rnd_unit(&m->rnd) - 0.5);
			if (m->price[i] < 0.2)
				m->price[i] = 0.2;
			if (m->price[i] > 0.7)
				m->price[i] = 0.7;
		}
		o[i].price_per_h = m->price[i];
	}
}

static void init_market(struct market *m, struct plan_offer *o, uint64_t seed)
{
	unsigned i;

	memset(o, 0, 2 * ZONES * sizeof(*o));
	rnd_seed(&m->rnd, seed);
	for (i = 0; i < 2 * ZONES; i++) {
		snprintf(o[i].zone, sizeof(o[i].zone), "z%u", i / 2);
		strcpy(o[i].class_name, "c");
		o[i].reclaimable = i & 1;
		o[i].capacity = 400;
		m->price[i] = 1.0;
		if (i & 1) {
			const unsigned zone = i / 2;

			m->price[i] = 0.3 + 0.03 * zone;
		}
	}
}

struct bill {
	double spent, short_steps, moves;
};

/* Demand a little ahead, as a placement needs time to start instances. */
static double planned_for(int step)
{
	const double a = day_demand(step), b = day_demand(step + 5);

	return a > b ? a : b;
}

static struct bill pay(uint64_t seed, int how)
{
	struct plan_offer o[2 * ZONES];
	struct bill b = { 0 };
	struct market m;
	int step;
	unsigned i;

	init_market(&m, o, seed);
	for (step = 0; step < HOURS * STEPS_PER_H; step++) {
		struct plan_need need = { .demand = planned_for(step),
					  .min_replicas = 1,
					  .max_replicas = 60,
					  .survive_zone_loss = true,
					  .allow_reclaimable = true,
					  .incumbent_discount = 0.15 };
		double price = 0;

		move_prices(&m, o);
		if (how == 0) {
			/* Naive: on demand, for the day's peak, evenly. */
			for (i = 0; i < 2 * ZONES; i++)
				o[i].want = i & 1 ? 0 : 3;
		} else if (how == 1) {
			plan_solve(&need, o, 2 * ZONES, step);
		} else {
			/* Hindsight: the best mix each minute, moves free. */
			need.incumbent_discount = 0;
			need.demand = day_demand(step);
			for (i = 0; i < 2 * ZONES; i++)
				o[i].have = 0;
			plan_solve(&need, o, 2 * ZONES, step);
		}
		for (i = 0; i < 2 * ZONES; i++) {
			price += (double)o[i].want * o[i].price_per_h;
			b.moves += llabs(o[i].want - o[i].have);
			/* A started instance is paid for a minute of loading. */
			if (how == 1 && o[i].want > o[i].have)
				price += (double)(o[i].want - o[i].have) *
					 o[i].price_per_h;
			o[i].have = o[i].want;
			o[i].ready = o[i].want;
		}
		b.spent += price / STEPS_PER_H;
		b.short_steps += plan_capacity(o, 2 * ZONES, PLAN_WANT, true) <
				 day_demand(step) - 1e-6;
	}
	return b;
}

static void table_cost(void)
{
	double spent[3] = { 0 }, moves[3] = { 0 }, shorts[3] = { 0 };
	uint64_t seed;
	int how;

	for (seed = 1; seed <= 20; seed++) {
		for (how = 0; how < 3; how++) {
			const struct bill b = pay(seed, how);

			spent[how] += b.spent / 20;
			moves[how] += b.moves / 20;
			shorts[how] += b.short_steps / 20;
		}
	}
	printf("\n### Cost of a day, at capacity for the target with the worst "
	       "zone lost\n\nTwenty seeds of prices, one-minute steps; the "
	       "current policy pays a minute of loading per start.\n\n"
	       "| policy | price units a day | against hindsight | starts and "
	       "stops | minutes short of capacity |\n|---|---|---|---|---|\n");
	printf("| naive: on demand for the peak, evenly | %.1f | %.2f | %.0f | "
	       "%.1f |\n",
	       spent[0], spent[0] / spent[2], moves[0], shorts[0]);
	printf("| current | %.1f | %.3f | %.0f | %.1f |\n", spent[1],
	       spent[1] / spent[2], moves[1], shorts[1]);
	printf("| lower bound with hindsight, moves free | %.1f | 1 | %.0f | "
	       "%.1f |\n",
	       spent[2], moves[2], shorts[2]);
}

int main(void)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		table_calm(&deployments[i]);
		table_flood(&deployments[i], 3, 10);
		table_flood(&deployments[i], 1, i ? 20 : 25);
		table_overload(&deployments[i]);
		table_recovery(&deployments[i]);
		table_reclaim(&deployments[i]);
	}
	table_cost();
	return 0;
}
