/* Tests plan and rescue against exhaustive reference solvers, and duty. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "place/duty.h"
#include "place/plan.h"
#include "place/rescue.h"
#include "support/unit.h"

/* ---- Plan ---- */

#define OFFERS 4
#define MAX_EACH 5

static void random_offers(struct rnd *rnd, struct plan_offer *o)
{
	unsigned i;

	memset(o, 0, OFFERS * sizeof(*o));
	for (i = 0; i < OFFERS; i++) {
		snprintf(o[i].zone, sizeof(o[i].zone), "z%u", i % 3);
		strcpy(o[i].class_name, "c");
		o[i].reclaimable = i & 1;
		o[i].price_per_h = 0.2 + rnd_unit(rnd);
		o[i].capacity = 400;
	}
}

/* Reference solver: returns the lowest price over all mixes. */
static double brute_force(struct plan_offer *o, const struct plan_need *need)
{
	double best = INFINITY;
	unsigned n, i;

	for (n = 0; n < 1296; n++) { /* 6^4 mixes */
		unsigned rest = n;
		double price = 0;

		for (i = 0; i < OFFERS; i++) {
			o[i].want = rest % (MAX_EACH + 1);
			rest /= MAX_EACH + 1;
			price += (double)o[i].want * o[i].price_per_h;
		}
		if (price < best && plan_capacity(o, OFFERS, PLAN_WANT, true) >=
					    need->demand - 1e-9)
			best = price;
	}
	return best;
}

static void plan_matches_brute_force(void)
{
	struct rnd rnd;
	unsigned round;

	rnd_seed(&rnd, 6);
	for (round = 0; round < 200; round++) {
		const struct plan_need need = {
			.demand = 400.0 * (1 + rnd_below(&rnd, 5)),
			.min_replicas = 1,
			.max_replicas = 40,
			.survive_zone_loss = true,
			.allow_reclaimable = true,
		};
		struct plan_offer o[OFFERS], p[OFFERS];
		struct plan_result r;
		double best;

		random_offers(&rnd, o);
		memcpy(p, o, sizeof(p));
		r = plan_solve(&need, o, OFFERS, 0);
		best = brute_force(p, &need);
		CU_ASSERT(r.feasible);
		CU_ASSERT(r.capacity >= need.demand - 1e-9);
		CU_ASSERT_DOUBLE_EQUAL(r.price, best, 1e-9);
	}
}

/*
 * Instances must not be launched and retired on every price change. When the
 * prices of two zones repeatedly cross by a few per cent, each change makes
 * another zone the cheapest; a move must pay for itself.
 */
static void prices_do_not_flap(void)
{
	struct plan_need need = { .demand = 1200,
				  .min_replicas = 1,
				  .max_replicas = 20,
				  .allow_reclaimable = true,
				  .incumbent_discount = 0.15 };
	struct plan_offer o[2] = {
		{ .zone = "a", .capacity = 400, .price_per_h = 0.30 },
		{ .zone = "b", .capacity = 400, .price_per_h = 0.31 }
	};
	unsigned moves = 0, i;

	for (i = 0; i < 100; i++) {
		o[i & 1].price_per_h = 0.29;
		o[!(i & 1)].price_per_h = 0.31;
		plan_solve(&need, o, 2, 0);
		if (i)
			moves += o[0].have != o[0].want;
		o[0].have = o[0].want;
		o[1].have = o[1].want;
	}
	CU_ASSERT_EQUAL(moves, 0);
	o[1].price_per_h = 0.10;
	plan_solve(&need, o, 2, 0);
	CU_ASSERT_EQUAL(o[1].want, 3);
}

static void refused_starts_back_off(void)
{
	struct plan_need need = { .demand = 400,
				  .min_replicas = 1,
				  .max_replicas = 20,
				  .allow_reclaimable = true };
	struct plan_offer o[2] = {
		{ .zone = "a", .capacity = 400, .price_per_h = 0.1 },
		{ .zone = "b", .capacity = 400, .price_per_h = 0.2 }
	};
	struct plan_step s;

	plan_solve(&need, o, 2, 0);
	s = plan_next(&need, o, 2, 0);
	CU_ASSERT(s.kind == PLAN_LAUNCH && s.offer == 0);
	plan_launch_refused(&o[0], 0);
	plan_solve(&need, o, 2, 1);
	s = plan_next(&need, o, 2, 1);
	/* The next step uses another offer, not the refused one. */
	CU_ASSERT(s.kind == PLAN_LAUNCH && s.offer == 1);
	plan_launch_refused(&o[0], 0);
	CU_ASSERT_EQUAL(o[0].backoff_ms, 10000);
	plan_launch_succeeded(&o[0]);
	CU_ASSERT_EQUAL(o[0].blocked_until_ms, 0);
}

/* An instance is retired only if the remaining ready ones cover the need. */
static void retire_only_spare_instances(void)
{
	const struct plan_need need = { .demand = 400,
					.min_replicas = 1,
					.max_replicas = 9,
					.allow_reclaimable = true };
	struct plan_offer o[2] = { { .zone = "a",
				     .capacity = 400,
				     .have = 1,
				     .ready = 1,
				     .want = 0 },
				   { .zone = "b",
				     .capacity = 400,
				     .have = 1,
				     .ready = 0,
				     .want = 1 } };

	CU_ASSERT_EQUAL(plan_next(&need, o, 2, 0).kind, PLAN_NONE);
	o[1].ready = 1;
	CU_ASSERT_EQUAL(plan_next(&need, o, 2, 0).kind, PLAN_RETIRE);
}

static void best_effort_when_infeasible(void)
{
	struct plan_need need = { .demand = 4000,
				  .min_replicas = 1,
				  .max_replicas = 3,
				  .survive_zone_loss = true,
				  .allow_reclaimable = true };
	struct plan_offer o[1] = {
		{ .zone = "a", .capacity = 400, .price_per_h = 1 }
	};
	const struct plan_result r = plan_solve(&need, o, 1, 0);

	CU_ASSERT(!r.feasible);
	CU_ASSERT_EQUAL(o[0].want, 3);
}

/* ---- Rescue ---- */

/* Reference solver: returns the most tokens saved over all subsets of moves. */
static double exact_saved(const struct rescue_notice *n,
			  const struct rescue_stream *s, size_t nr,
			  double available_ms)
{
	double best = 0;
	unsigned mask;
	size_t i;

	for (mask = 0; mask < 1u << nr; mask++) {
		double ms = 0, saved = 0;

		for (i = 0; i < nr; i++) {
			if (!(mask >> i & 1))
				continue;
			ms += n->move_fixed_ms +
			      s[i].kv_mb / n->kv_mb_per_s * 1000;
			saved += s[i].prompt_tokens + s[i].generated_tokens;
		}
		if (ms <= available_ms && saved > best)
			best = saved;
	}
	return best;
}

static void rescue_near_exact(void)
{
	const struct rescue_notice n = { .now_ms = 0,
					 .end_ms = 2000,
					 .inter_token_ms = 36,
					 .kv_mb_per_s = 400,
					 .move_fixed_ms = 30 };
	double sum = 0, sum_exact = 0;
	struct rnd rnd;
	unsigned round;

	rnd_seed(&rnd, 9);
	for (round = 0; round < 300; round++) {
		struct rescue_stream s[10] = { 0 }, copy[10];
		double saved = 0, ms = 0, exact;
		size_t i;

		for (i = 0; i < 10; i++) {
			s[i].tag = i;
			s[i].prompt_tokens = 50 + rnd_below(&rnd, 3000);
			s[i].generated_tokens = rnd_below(&rnd, 500);
			s[i].max_remaining_tokens = 100;
			s[i].kv_mb =
				(s[i].prompt_tokens + s[i].generated_tokens) *
				0.125;
			s[i].weight = 1;
			s[i].deadline_ms = rnd_below(&rnd, 1000);
		}
		memcpy(copy, s, sizeof(copy));
		rescue_plan(&n, s, 10);
		for (i = 0; i < 10; i++) {
			if (s[i].choice != RESCUE_MOVE)
				continue;
			saved += s[i].prompt_tokens + s[i].generated_tokens;
			ms += 30 + s[i].kv_mb / 400 * 1000;
		}
		CU_ASSERT(ms <= 1800.001);
		exact = exact_saved(&n, copy, 10, 1800);
		/* Density grows with size here, so that greedy selection saves
		 * at least half of the optimum; 0.7 is the bound for the worst
		 * of these rounds. */
		CU_ASSERT(saved >= exact * 0.7);
		sum += saved;
		sum_exact += exact;
	}
	CU_ASSERT(sum >= 0.95 * sum_exact);
}

static void rescue_choices(void)
{
	struct rescue_notice n = { .now_ms = 0,
				   .end_ms = 2000,
				   .inter_token_ms = 20 };
	struct rescue_stream s[2] = {
		{ .tag = 1, .max_remaining_tokens = 10, .prompt_tokens = 100 },
		{ .tag = 2,
		  .max_remaining_tokens = 1000,
		  .prompt_tokens = 100,
		  .kv_mb = 10,
		  .weight = 1 },
	};

	rescue_plan(&n, s, 2);
	CU_ASSERT_EQUAL(s[0].tag == 1 ? s[0].choice : s[1].choice,
			RESCUE_FINISH);
	/* Without KV transfer the stream continues elsewhere. */
	CU_ASSERT_EQUAL(s[0].tag == 2 ? s[0].choice : s[1].choice,
			RESCUE_CONTINUE);
	n.kv_mb_per_s = 400;
	rescue_plan(&n, s, 2);
	CU_ASSERT_EQUAL(s[0].tag == 2 ? s[0].choice : s[1].choice, RESCUE_MOVE);
	/* The instance is already gone: nothing can be moved. */
	n.end_ms = 0;
	rescue_plan(&n, s, 2);
	CU_ASSERT_EQUAL(s[0].choice, RESCUE_CONTINUE);
	CU_ASSERT_EQUAL(s[1].choice, RESCUE_CONTINUE);
}

/* ---- Duties ---- */

/*
 * Two planners must not send commands at the same time. If the response to a
 * lease request takes 3 s of a 4 s lease and the lease were counted from the
 * response, the holder would act for 3 s after the lease had expired.
 */
static void lease_counts_from_the_request(void)
{
	struct duty d;

	duty_init(&d, 4000);
	CU_ASSERT_EQUAL(duty_tick(&d, 10000), DUTY_ACQUIRE);
	duty_acquired(&d, 5, true, 13000);
	CU_ASSERT(duty_may_act(&d, 13000));
	CU_ASSERT(duty_may_act(&d, 13599));
	CU_ASSERT(!duty_may_act(&d, 13600));
}

static void unfenced_commands_wait_for_old_lease(void)
{
	struct duty d;

	duty_init(&d, 4000);
	duty_tick(&d, 10000);
	duty_acquired(&d, 6, false, 10010);
	CU_ASSERT(duty_may_act(&d, 10010));
	CU_ASSERT(!duty_may_act_unfenced(&d, 10010));
	CU_ASSERT_EQUAL(duty_tick(&d, 11400), DUTY_RENEW);
	duty_renewed(&d, 11410);
	CU_ASSERT_EQUAL(duty_tick(&d, 12800), DUTY_RENEW);
	duty_renewed(&d, 12810);
	CU_ASSERT(!duty_may_act_unfenced(&d, 14400));
	CU_ASSERT(duty_may_act_unfenced(&d, 14410));
}

static void failed_renewals_are_retried(void)
{
	struct duty d;

	duty_init(&d, 4000);
	duty_tick(&d, 0);
	duty_acquired(&d, 6, true, 0);
	CU_ASSERT_EQUAL(duty_tick(&d, 1400), DUTY_RENEW);
	duty_failed(&d, 2000);
	/* Renewal is retried until valid_until_ms; then the state is idle. */
	CU_ASSERT_EQUAL(duty_tick(&d, 2400), DUTY_RENEW);
	duty_failed(&d, 3000);
	duty_tick(&d, 3600);
	CU_ASSERT_EQUAL(d.state == DUTY_HELD, false);
	CU_ASSERT(!duty_may_act(&d, 3600));
	duty_lost(&d, 3700);
	CU_ASSERT_EQUAL(d.fence, 0);
}

static const struct unit_test tests[] = {
	{ "plan matches brute force", plan_matches_brute_force },
	{ "prices do not flap", prices_do_not_flap },
	{ "refused starts back off", refused_starts_back_off },
	{ "retire only spare instances", retire_only_spare_instances },
	{ "best effort when infeasible", best_effort_when_infeasible },
	{ "rescue near the exact knapsack", rescue_near_exact },
	{ "rescue choices", rescue_choices },
	{ "a lease counts from the request", lease_counts_from_the_request },
	{ "unfenced commands wait for the old lease",
	  unfenced_commands_wait_for_old_lease },
	{ "failed renewals are retried", failed_renewals_are_retried },
};

UNIT_MAIN("place", tests)
