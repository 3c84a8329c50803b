/*
 * Tests of the offered load: a queue is no load, congestion does not make
 * endpoints appear slow.
 */
#include <math.h>
#include <string.h>

#include "base/rnd.h"
#include "model/offered.h"
#include "model/svc.h"
#include "support/unit.h"

static double uniform(struct rnd *rnd, double lo, double hi)
{
	return lo + (hi - lo) * rnd_below(rnd, 1000000) / 1e6;
}

/* The engine of the tests: ms per thousand tokens, and of a whole run. */
#define PREFILL_MS 20.0
#define RUN_MS 1000.0
#define SLOTS 16.0

/* Feeds `n` answers, of which one in `idle` met an endpoint without others. */
static void measure(struct ofd *o, struct rnd *rnd, int n, unsigned idle)
{
	double tokens, ms;
	int i;

	for (i = 0; i < n; i++) {
		tokens = uniform(rnd, 2500, 17000);
		ms = 15 + tokens / 1000 * PREFILL_MS;
		if (rnd_below(rnd, idle))
			ms *= uniform(rnd, 1, 10);
		ofd_prefilled(o, tokens, ms);
	}
}

/*
 * Guards against a plan for three to ten times the endpoints needed: the mean
 * response times of a shortage were taken for the speed of the engine.
 */
static void congestion_does_not_make_endpoints_slow(void)
{
	struct ofd_sum sum = { 0 };
	struct ofd_report r;
	struct svc mean;
	struct rnd rnd;
	int entry, i;

	rnd_seed(&rnd, 3);
	for (entry = 0; entry < 24; entry++) {
		struct ofd o = { 0 };

		measure(&o, &rnd, 200, 4);
		ofd_export(&o, 0, &r);
		ofd_add(&sum, &r);
	}
	CU_ASSERT_DOUBLE_EQUAL(ofd_prefill_ms(&sum), PREFILL_MS,
			       0.25 * PREFILL_MS);
	/* The model of all answers, for comparison. */
	svc_init(&mean, "llm");
	for (i = 0; i < 400; i++) {
		const double tokens = uniform(&rnd, 2500, 17000);
		const struct svc_state at = { .tokens_to_prefill = tokens,
					      .slots = SLOTS };

		svc_on_ttft(&mean, &at,
			    (15 + tokens / 1000 * PREFILL_MS) *
				    (i % 4 ? uniform(&rnd, 1, 10) : 1),
			    true);
	}
	CU_ASSERT(svc_prefill_ms(&mean, 1000) > 2 * PREFILL_MS);
}

/*
 * Guards against orders for a queue: the endpoints lost a third of their number,
 * and the requests in flight grew fivefold at the same rate of arrivals.
 */
static void queue_is_not_load(void)
{
	struct ofd o = { 0 };
	struct ofd_sum sum = { 0 };
	struct ofd_report r;
	struct svc model;
	struct svc_load queued = { .prefill_tokens_per_s = 1e6,
				   .running = 5 * 320,
				   .endpoints = 27,
				   .prefill_ms = PREFILL_MS };
	double busy;
	int64_t now;

	svc_init(&model, "llm");
	/* 320 requests a second for ten seconds, 3000 tokens each. */
	for (now = 0; now < 10000; now += 25) {
		int i;

		for (i = 0; i < 8; i++)
			ofd_arrived(&o, 3000, now);
	}
	ofd_export(&o, now, &r);
	ofd_add(&sum, &r);
	CU_ASSERT_DOUBLE_EQUAL(r.requests_per_s, 320, 20);
	busy = ofd_busy_endpoints(&sum, PREFILL_MS, RUN_MS, SLOTS);
	/* 960,000 tokens a second at 50,000 and 0.7 of the time. */
	CU_ASSERT_DOUBLE_EQUAL(busy, 27.4, 2.5);
	CU_ASSERT(svc_busy_endpoints(&model, &queued, SLOTS) > 2 * busy);
}

/* Guards against endpoints ordered for the clients of an entry that exited. */
static void load_of_an_exited_entry_decays(void)
{
	struct ofd o = { 0 };
	struct ofd_report before, after;
	int64_t now;

	for (now = 0; now < 5000; now += 20)
		ofd_arrived(&o, 1000, now);
	ofd_export(&o, now, &before);
	ofd_export(&o, now + 1000, &after);
	CU_ASSERT(after.requests_per_s < 0.4 * before.requests_per_s);
	CU_ASSERT(after.prefill_per_s < 0.4 * before.prefill_per_s);
}

/* Guards against a NaN or a short prompt in the estimate. */
static void invalid_measurements_are_ignored(void)
{
	struct ofd o = { 0 };
	struct ofd_report r;

	ofd_export(&o, 0, &r);
	CU_ASSERT_EQUAL(r.prefill_ms, 0);
	ofd_prefilled(&o, 100, 30);
	ofd_prefilled(&o, NAN, 30);
	ofd_prefilled(&o, 5000, NAN);
	ofd_prefilled(&o, 5000, -1);
	ofd_export(&o, 0, &r);
	CU_ASSERT_EQUAL(r.samples, 0);
	ofd_prefilled(&o, 5000, 100);
	ofd_export(&o, 0, &r);
	CU_ASSERT_DOUBLE_EQUAL(r.prefill_ms, 20, 1e-9);
}

/* More load never needs fewer endpoints; slots are the limit without prefill. */
static void busy_endpoints_grow_with_offered_load(void)
{
	struct ofd_sum sum = { 0 };
	double last = 0, busy;
	int i;

	for (i = 0; i < 50; i++) {
		sum.requests_per_s = i * 10;
		sum.prefill_per_s = i * 20000;
		busy = ofd_busy_endpoints(&sum, PREFILL_MS, RUN_MS, SLOTS);
		CU_ASSERT(busy >= last);
		last = busy;
	}
	sum.prefill_per_s = 0;
	CU_ASSERT_DOUBLE_EQUAL(ofd_busy_endpoints(&sum, PREFILL_MS, RUN_MS,
						  SLOTS),
			       490 * RUN_MS / 1000 / SLOTS, 1e-6);
}

static const struct unit_test tests[] = {
	{ "congestion does not make endpoints slow",
	  congestion_does_not_make_endpoints_slow },
	{ "a queue is not load", queue_is_not_load },
	{ "the load of an exited entry decays",
	  load_of_an_exited_entry_decays },
	{ "invalid measurements are ignored",
	  invalid_measurements_are_ignored },
	{ "busy endpoints grow with the offered load",
	  busy_endpoints_grow_with_offered_load },
};

UNIT_MAIN("offered", tests)
