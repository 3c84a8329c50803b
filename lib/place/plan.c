#include "place/plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"

/* Launch backoff of an offer: doubles from MIN to MAX on each refusal. */
#define BACKOFF_MIN_MS 5000
#define BACKOFF_MAX_MS 600000

static int64_t count_of(const struct plan_offer *o, enum plan_count which)
{
	switch (which) {
	case PLAN_HAVE:
		return o->have;
	case PLAN_READY:
		return o->ready;
	case PLAN_WANT:
		return o->want;
	}
	return 0;
}

double plan_capacity(const struct plan_offer *offers, size_t nr,
		     enum plan_count which, bool lose_zone)
{
	double sum = 0, worst = 0;
	size_t i, j;

	for (i = 0; i < nr; i++) {
		double zone = 0;

		sum += (double)count_of(&offers[i], which) * offers[i].capacity;
		for (j = 0; j < nr; j++) {
			if (!strcmp(offers[i].zone, offers[j].zone))
				zone += (double)count_of(&offers[j], which) *
					offers[j].capacity;
		}
		if (zone > worst)
			worst = zone;
	}
	return lose_zone ? sum - worst : sum;
}

/* ---- Solving ---- */

/* A source of instances for the solver: one offer at one cost. */
struct unit {
	double cost; /* per hour and token per second, with expected reclaims */
	size_t offer; /* index of the offer */
	size_t zone;  /* zone number */
};

struct solver {
	const struct plan_need *need;
	struct plan_offer *offers;
	size_t nr;
	struct unit *units; /* sorted by cost; see list_units */
	size_t nr_units;
	size_t zone_of[PLAN_MAX_OFFERS]; /* zone number of each offer */
	size_t nr_zones;
	int64_t trial[PLAN_MAX_OFFERS];	   /* instances of each offer */
	double zone_load[PLAN_MAX_OFFERS]; /* capacity in each zone */
};

/*
 * An offer is usable if the need allows its market and it has instances or may
 * launch new ones.
 */
static bool is_offer_usable(const struct plan_need *need,
			    const struct plan_offer *o, int64_t now_ms)
{
	if (o->reclaimable && !need->allow_reclaimable)
		return false;
	return o->capacity > 0 && o->price_per_h >= 0 &&
	       (now_ms >= o->blocked_until_ms || o->have > 0);
}

static double unit_cost(const struct plan_need *need,
			const struct plan_offer *o)
{
	return (o->price_per_h + o->reclaims_per_h * need->recompute_cost) /
	       o->capacity;
}

static int compare_unit_cost(const void *a, const void *b)
{
	const struct unit *x = a, *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->offer < y->offer ? -1 : x->offer > y->offer;
}

static void number_zones(struct solver *w)
{
	size_t i, j;

	for (i = 0; i < w->nr; i++) {
		for (j = 0; j < i; j++) {
			if (!strcmp(w->offers[i].zone, w->offers[j].zone))
				break;
		}
		w->zone_of[i] = j < i ? w->zone_of[j] : w->nr_zones++;
	}
}

/*
 * Lists each usable offer up to twice: its current instances at the discounted
 * cost, and new instances at the full cost.
 */
static void list_units(struct solver *w, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < w->nr; i++) {
		const struct plan_offer *o = &w->offers[i];
		const double cost = unit_cost(w->need, o);

		if (!is_offer_usable(w->need, o, now_ms))
			continue;
		if (o->have > 0)
			w->units[w->nr_units++] = (struct unit){
				cost * (1.0 - w->need->incumbent_discount), i,
				w->zone_of[i]
			};
		if (now_ms >= o->blocked_until_ms)
			w->units[w->nr_units++] =
				(struct unit){ cost, i, w->zone_of[i] };
	}
	qsort(w->units, w->nr_units, sizeof(*w->units), compare_unit_cost);
}

/* Units of current instances are recognized by their discounted cost. */
static bool is_running_unit(const struct solver *w, const struct unit *u)
{
	return u->cost < unit_cost(w->need, &w->offers[u->offer]) - 1e-12;
}

/*
 * Adds instances to `trial`, cheapest unit first, until `target` capacity and
 * `min_replicas` are reached, with no zone above `zone_max` capacity. The
 * result is optimal when all classes have the same capacity, since greedy
 * selection under per-zone bounds is then a matroid problem; otherwise it is
 * within one instance per zone of the optimum. Returns the cost, or INFINITY if
 * the target cannot be reached.
 */
static double fill(struct solver *w, double target, double zone_max)
{
	double sum = 0, cost = 0;
	int64_t replicas = 0;
	size_t i;

	memset(w->trial, 0, sizeof(w->trial));
	memset(w->zone_load, 0, sizeof(w->zone_load));
	for (i = 0; i < w->nr_units; i++) {
		const struct unit *u = &w->units[i];
		const struct plan_offer *o = &w->offers[u->offer];
		const bool running = is_running_unit(w, u);

		while (sum < target - 1e-9 ||
		       replicas < w->need->min_replicas) {
			if (w->zone_load[u->zone] + o->capacity >
			    zone_max + 1e-9)
				break;
			if (running && w->trial[u->offer] >= o->have)
				break;
			if (replicas >= w->need->max_replicas)
				return INFINITY;
			w->trial[u->offer]++;
			w->zone_load[u->zone] += o->capacity;
			sum += o->capacity;
			cost += u->cost * o->capacity;
			replicas++;
		}
	}
	if (sum < target - 1e-9 || replicas < w->need->min_replicas)
		return INFINITY;
	return cost;
}

static void save_trial(struct solver *w)
{
	size_t i;

	for (i = 0; i < w->nr; i++)
		w->offers[i].want = w->trial[i];
}

static double largest_capacity(const struct solver *w)
{
	double c = 0;
	size_t i;

	for (i = 0; i < w->nr; i++)
		c = fmax(c, w->offers[i].capacity);
	return c;
}

/*
 * If no zone exceeds capacity m, losing a zone loses at most m, so a total of
 * demand + m suffices. Tries m in steps of the largest instance capacity, up to
 * the most that a zone can usefully hold, and keeps the cheapest result.
 */
static bool solve_with_loss(struct solver *w, double demand)
{
	const double step = largest_capacity(w);
	double best = INFINITY, m;

	if (step <= 0)
		return false;
	for (m = step; m <= demand + 2 * step; m += step) {
		const double cost = fill(w, demand + m, m);

		if (cost < best) {
			best = cost;
			save_trial(w);
		}
	}
	return isfinite(best);
}

/*
 * Plans as much capacity as is available when the need cannot be met, so that
 * an infeasible need doesn't result in an empty plan.
 */
static void solve_best_effort(struct solver *w, double demand)
{
	const struct plan_need relaxed = {
		.demand = demand,
		.min_replicas = 0,
		.max_replicas = w->need->max_replicas,
		.allow_reclaimable = w->need->allow_reclaimable,
	};
	const struct plan_need *const original = w->need;
	double target = demand;

	w->need = &relaxed;
	while (target > 0 && !isfinite(fill(w, target, INFINITY)))
		target -= largest_capacity(w);
	save_trial(w);
	w->need = original;
}

struct plan_result plan_solve(const struct plan_need *need,
			      struct plan_offer *offers, size_t nr,
			      int64_t now_ms)
{
	struct plan_result r = { 0 };
	struct solver *w = mem_new(sizeof(*w));
	size_t i;

	w->need = need;
	w->offers = offers;
	w->nr = nr < PLAN_MAX_OFFERS ? nr : PLAN_MAX_OFFERS;
	w->units = mem_new(2 * w->nr * sizeof(*w->units));
	for (i = 0; i < nr; i++)
		offers[i].want = 0;
	number_zones(w);
	list_units(w, now_ms);
	if (need->survive_zone_loss)
		r.feasible = solve_with_loss(w, need->demand);
	else if (isfinite(fill(w, need->demand, INFINITY))) {
		r.feasible = true;
		save_trial(w);
	}
	if (!r.feasible)
		solve_best_effort(w, need->demand);
	for (i = 0; i < nr; i++)
		r.price += (double)offers[i].want * offers[i].price_per_h;
	r.capacity =
		plan_capacity(offers, nr, PLAN_WANT, need->survive_zone_loss);
	free(w->units);
	free(w);
	return r;
}

/* ---- Steps ---- */

static bool can_retire(const struct plan_need *need,
		       const struct plan_offer *offers, size_t nr, size_t i)
{
	MEM_AUTO struct plan_offer *copy = mem_new(nr * sizeof(*copy));
	int64_t ready = 0;
	size_t k;

	memcpy(copy, offers, nr * sizeof(*copy));
	copy[i].ready--;
	for (k = 0; k < nr; k++)
		ready += copy[k].ready;
	if (ready < need->min_replicas)
		return false;
	return plan_capacity(copy, nr, PLAN_READY, need->survive_zone_loss) >=
	       need->demand - 1e-9;
}

struct plan_step plan_next(const struct plan_need *need,
			   const struct plan_offer *offers, size_t nr,
			   int64_t now_ms)
{
	const struct plan_step none = { PLAN_NONE, 0 };
	size_t i;

	for (i = 0; i < nr; i++) {
		if (offers[i].have < offers[i].want &&
		    now_ms >= offers[i].blocked_until_ms)
			return (struct plan_step){ PLAN_LAUNCH, i };
	}
	for (i = 0; i < nr; i++) {
		if (offers[i].have <= offers[i].want)
			continue;
		/* An instance that is not ready yet serves no requests. */
		if (offers[i].ready < offers[i].have ||
		    can_retire(need, offers, nr, i))
			return (struct plan_step){ PLAN_RETIRE, i };
	}
	return none;
}

void plan_launch_refused(struct plan_offer *o, int64_t now_ms)
{
	o->backoff_ms = o->backoff_ms ? 2 * o->backoff_ms : BACKOFF_MIN_MS;
	if (o->backoff_ms > BACKOFF_MAX_MS)
		o->backoff_ms = BACKOFF_MAX_MS;
	o->blocked_until_ms = now_ms + o->backoff_ms;
}

void plan_launch_succeeded(struct plan_offer *o)
{
	o->backoff_ms = 0;
	o->blocked_until_ms = 0;
}
