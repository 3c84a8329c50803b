/* What is learned of endpoints, against the truth and against naive twins. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "model/svc.h"
#include "support/unit.h"

static double uniform(struct rnd *rnd, double lo, double hi)
{
	return lo + (hi - lo) * rnd_below(rnd, 1000000) / 1e6;
}

/* Evenly over orders of magnitude. */
static double log_uniform(struct rnd *rnd, double lo, double hi)
{
	return exp(uniform(rnd, log(lo), log(hi)));
}

/* ---- Least squares ---- */

/* The naive reference: all samples kept, the normal equations solved. */
#define KEPT 120
#define COEFS 3

static void solve(double a[COEFS][COEFS + 1], double *out)
{
	int i, j, k;

	for (i = 0; i < COEFS; i++) {
		for (j = i + 1; j < COEFS; j++) {
			const double f = a[j][i] / a[i][i];

			for (k = i; k <= COEFS; k++)
				a[j][k] -= f * a[i][k];
		}
	}
	for (i = COEFS - 1; i >= 0; i--) {
		out[i] = a[i][COEFS];
		for (j = i + 1; j < COEFS; j++)
			out[i] -= a[i][j] * out[j];
		out[i] /= a[i][i];
	}
}

static void fit_batch(double x[][COEFS], const double *y, int n, double *out)
{
	double a[COEFS][COEFS + 1] = { { 0 } };
	int s, i, j;

	for (s = 0; s < n; s++) {
		for (i = 0; i < COEFS; i++) {
			for (j = 0; j < COEFS; j++)
				a[i][j] += x[s][i] * x[s][j];
			a[i][COEFS] += x[s][i] * y[s];
		}
	}
	solve(a, out);
}

static void agrees_with_least_squares_over_all_samples(void)
{
	static const double prior[COEFS] = { 0, 0, 0 };
	static const double spread[COEFS] = { 300, 300, 300 };
	double x[KEPT][COEFS], y[KEPT], truth[COEFS], batch[COEFS];
	struct rnd rnd;
	struct rls m;
	int round, s, i;

	rnd_seed(&rnd, 5);
	for (round = 0; round < 50; round++) {
		rls_init(&m, COEFS, prior, spread);
		for (i = 0; i < COEFS; i++)
			truth[i] = uniform(&rnd, -50, 50);
		for (s = 0; s < KEPT; s++) {
			x[s][0] = 1;
			x[s][1] = uniform(&rnd, 0, 10);
			x[s][2] = uniform(&rnd, 0, 5);
			y[s] = uniform(&rnd, -4, 4);
			for (i = 0; i < COEFS; i++)
				y[s] += truth[i] * x[s][i];
			rls_learn(&m, x[s], y[s], 1);
		}
		fit_batch(x, y, KEPT, batch);
		for (i = 0; i < COEFS; i++)
			CU_ASSERT_DOUBLE_EQUAL(m.coef[i], batch[i], 1.5);
	}
}

/*
 * Symptom: after one endpoint's crash all requests went to another zone.
 * Sequence: a stream that stood for thirty seconds ends, and its time is
 * learned. Cause: one sample moved the model as far as a hundred others.
 */
static void one_bad_sample_does_not_tip_the_model(void)
{
	const struct svc_state at = { .tokens_to_prefill = 2000, .slots = 64 };
	struct svc s;
	double before;
	int i;

	svc_init(&s, "llm");
	for (i = 0; i < 100; i++) {
		const struct svc_state some = { .tokens_to_prefill =
							500.0 + i * 40,
						.running = i % 10,
						.slots = 64 };

		svc_on_ttft(&s, &some, 20 + some.tokens_to_prefill / 50 + i % 7,
			    true);
	}
	before = svc_ttft_ms(&s, &at);
	CU_ASSERT_DOUBLE_EQUAL(before, 63, 6);
	svc_on_ttft(&s, &at, 30000, true);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&s, &at), before, 5);
	svc_on_ttft(&s, &at, NAN, true);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&s, &at), before, 5);
}

/* The pattern: new weights, half as fast, replace the old ones. */
static void follows_an_engine_that_changes(void)
{
	const struct svc_state at = { .tokens_to_prefill = 4000, .slots = 64 };
	struct svc s;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 9);
	svc_init(&s, "llm");
	for (i = 0; i < 900; i++) {
		const double tokens = uniform(&rnd, 200, 8000);
		const struct svc_state some = { .tokens_to_prefill = tokens,
						.slots = 64 };

		svc_on_ttft(&s, &some,
			    30 + tokens / (i < 400 ? 60 : 30) +
				    uniform(&rnd, -5, 5),
			    true);
		if (i == 399)
			CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&s, &at), 97, 10);
	}
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&s, &at), 163, 16);
}

/* ---- Engines drawn at random ---- */

#define ENGINES 200
#define ENDPOINTS 6
#define REQUESTS 600

/* What is true of an engine; no deployment's figures. */
struct truth {
	double fixed_ms, read_ms, running_ms;
};

/* An endpoint of the naive world: reads one prompt after the other. */
struct place {
	double free_ms; /* it has read all by then */
	double ends[64];
	uint64_t part; /* the shared part it holds */
};

/* How a twin predicts and learns. */
struct twin {
	double (*predict)(struct twin *t, const struct svc_state *at);
	void (*learn)(struct twin *t, const struct svc_state *at, double ms);
	const struct truth *truth;
	struct svc svc;
	double factor;
};

static double predict_truth(struct twin *t, const struct svc_state *at)
{
	return t->truth->fixed_ms +
	       t->truth->read_ms * (at->tokens_to_prefill + at->queued_tokens) /
		       1000 +
	       t->truth->running_ms * at->running / 10;
}

static double predict_learned(struct twin *t, const struct svc_state *at)
{
	return svc_ttft_ms(&t->svc, at);
}

static void learn_all(struct twin *t, const struct svc_state *at, double ms)
{
	svc_on_ttft(&t->svc, at, ms, true);
}

static void learn_nothing(struct twin *t, const struct svc_state *at, double ms)
{
	(void)t;
	(void)at;
	(void)ms;
}

/* Takes the last sample for the whole truth. */
static double predict_last(struct twin *t, const struct svc_state *at)
{
	return svc_ttft_ms(&t->svc, at) * t->factor;
}

static void learn_last(struct twin *t, const struct svc_state *at, double ms)
{
	t->factor = ms / (svc_ttft_ms(&t->svc, at) + 1);
}

struct outcome {
	double mean_ms;	 /* to the first event */
	double error_ms; /* of the prediction, mean after the first fifty */
};

static double running_at(const struct place *p, double now)
{
	double n = 0;
	int i;

	for (i = 0; i < 64; i++)
		n += p->ends[i] > now;
	return n;
}

static void run_there(struct place *p, double now, double till)
{
	int i;

	for (i = 0; i < 64; i++) {
		if (p->ends[i] <= now) {
			p->ends[i] = till;
			return;
		}
	}
}

static struct svc_state state_at(const struct place *p, const struct truth *t,
				 double now, double own, double shared,
				 uint64_t part)
{
	return (struct svc_state){
		.tokens_to_prefill = own + (p->part == part ? 0 : shared),
		.queued_tokens = p->free_ms > now ? (p->free_ms - now) * 1000 /
							    t->read_ms
						  : 0,
		.running = running_at(p, now),
		.slots = 64,
	};
}

static struct outcome play(struct twin *t, const struct truth *truth,
			   uint64_t seed)
{
	struct place places[ENDPOINTS];
	struct outcome out = { 0 };
	struct rnd rnd;
	double now = 0;
	int i, k, best;

	memset(places, 0, sizeof(places));
	rnd_seed(&rnd, seed);
	for (i = 0; i < REQUESTS; i++) {
		const double own = log_uniform(&rnd, 100, 8000);
		const double shared = uniform(&rnd, 0, 6000);
		const uint64_t part = 1 + rnd_below(&rnd, 12);
		const double noise = uniform(&rnd, 0.9, 1.1);
		struct svc_state at = { 0 }, some;
		double least = INFINITY, told, took;

		/* The endpoints read for half of the time. */
		now += uniform(&rnd, 0, 2) * truth->read_ms * 5 / ENDPOINTS /
		       0.5;
		best = 0;
		for (k = 0; k < ENDPOINTS; k++) {
			some = state_at(&places[k], truth, now, own, shared,
					part);
			told = t->predict(t, &some);
			if (told < least) {
				least = told;
				best = k;
				at = some;
			}
		}
		t->truth = truth;
		took = predict_truth(t, &at) * noise;
		places[best].free_ms =
			now + (at.queued_tokens + at.tokens_to_prefill) / 1000 *
				      truth->read_ms;
		run_there(&places[best], now,
			  now + took + uniform(&rnd, 0, 2000));
		places[best].part = part;
		t->learn(t, &at, took);
		out.mean_ms += took / REQUESTS;
		if (i >= 50)
			out.error_ms += fabs(took - least) / (REQUESTS - 50);
	}
	return out;
}

static int ascending(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

struct spread {
	double median, p95;
};

static struct spread spread_of(double *v, size_t n)
{
	qsort(v, n, sizeof(*v), ascending);
	return (struct spread){ v[n / 2], v[n * 95 / 100] };
}

struct table {
	struct spread regret; /* more than who knows the truth, a part */
	struct spread error;  /* of the prediction, a part of the mean */
};

static struct table
against_truth(double (*predict)(struct twin *, const struct svc_state *),
	      void (*learn)(struct twin *, const struct svc_state *, double))
{
	static double regret[ENGINES], error[ENGINES];
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 77);
	for (i = 0; i < ENGINES; i++) {
		const struct truth truth = {
			.fixed_ms = log_uniform(&rnd, 5, 200),
			.read_ms = log_uniform(&rnd, 3, 200),
			.running_ms = log_uniform(&rnd, 0.2, 40),
		};
		struct twin knows = { .predict = predict_truth,
				      .learn = learn_nothing,
				      .truth = &truth,
				      .factor = 1 };
		struct twin learns = { .predict = predict,
				       .learn = learn,
				       .truth = &truth,
				       .factor = 1 };
		struct outcome best, own;

		svc_init(&learns.svc, "llm");
		best = play(&knows, &truth, (uint64_t)i + 1);
		own = play(&learns, &truth, (uint64_t)i + 1);
		regret[i] = own.mean_ms / best.mean_ms - 1;
		error[i] = own.error_ms / own.mean_ms;
	}
	return (struct table){ spread_of(regret, ENGINES),
			       spread_of(error, ENGINES) };
}

static bool good_enough(const struct table *t)
{
	return t->regret.median < 0.03 && t->regret.p95 < 0.15 &&
	       t->error.median < 0.10 && t->error.p95 < 0.25;
}

static void show(const char *what, const struct table *t)
{
	printf("  %s: regret median %.3f, 95 in 100 %.3f; "
	       "error median %.3f, 95 in 100 %.3f\n",
	       what, t->regret.median, t->regret.p95, t->error.median,
	       t->error.p95);
}

/*
 * The pattern: engines five times slower or faster than any that was seen,
 * with prompt parts that some endpoints hold. Who learns must come close to
 * who is told the truth; a learner that never moves, and one that believes
 * the last sample, must not.
 */
static void comes_close_to_the_truth_on_drawn_engines(void)
{
	const struct table own = against_truth(predict_learned, learn_all);
	const struct table never =
		against_truth(predict_learned, learn_nothing);
	const struct table last = against_truth(predict_last, learn_last);

	show("learned", &own);
	show("never moves", &never);
	show("last sample", &last);
	CU_ASSERT(good_enough(&own));
	CU_ASSERT_FALSE(good_enough(&never));
	CU_ASSERT_FALSE(good_enough(&last));
}

/* ---- Capacity ---- */

static void load_keeps_more_endpoints_busy_the_more_it_is(void)
{
	const struct svc_load many_runs = { 1000, 100, 10, 0 };
	struct svc s;
	double fit, last = 0;
	int i;

	svc_init(&s, "llm");
	fit = svc_max_running(&s, 64, 0);
	CU_ASSERT(fit > 1 && fit <= 64);
	for (i = 0; i < 100; i++) {
		const struct svc_load load = { i * 5000.0, i * 2.0, 10, 0 };
		const double busy = svc_busy_endpoints(&s, &load, fit);

		CU_ASSERT(busy >= last);
		last = busy;
	}
	/* Few slots bind before reading does. */
	CU_ASSERT(svc_busy_endpoints(&s, &many_runs,
				     svc_max_running(&s, 12, 0)) >= 100 / 12.0);
	CU_ASSERT(svc_max_running(&s, 1, 0) >= 1);
}

/*
 * Symptom: twice the endpoints that a load needed were ordered on slow
 * engines. Sequence: the endpoints read for most of their time, so each more
 * token takes three times as long; the need rises, and with it the fleet.
 * Cause: the slope under load was taken for the time of reading alone.
 */
static void busy_endpoints_are_not_found_slow(void)
{
	/* 50 tokens a ms; at a part of use u one more takes 1 / (1 - u). */
	const double rate = 50000, part = 0.7;
	const struct svc_load light = { rate * 4 * 0.05, 0, 4, 0 };
	const struct svc_load heavy = { rate * 4 * part, 0, 4, 0 };
	struct svc s;
	double idle, busy;

	svc_init(&s, "llm");
	s.ttft.coef[SVC_PREFILL_MS] = 20 / (1 - 0.05);
	idle = svc_busy_endpoints(&s, &light, 64) / light.prefill_tokens_per_s;
	s.ttft.coef[SVC_PREFILL_MS] = 20 / (1 - part);
	busy = svc_busy_endpoints(&s, &heavy, 64) / heavy.prefill_tokens_per_s;
	CU_ASSERT_DOUBLE_EQUAL(busy / idle, 1, 0.02);
}

/* One entry of many: thirty answers, as far off as under a mixed load. */
static void learn_few(struct svc *s, struct rnd *rnd, double read_ms)
{
	int i;

	svc_init(s, "llm");
	for (i = 0; i < 30; i++) {
		const struct svc_state at = {
			.tokens_to_prefill = uniform(rnd, 500, 17000),
			.queued_tokens = uniform(rnd, 0, 20000),
			.running = uniform(rnd, 0, 40),
			.slots = 64,
		};
		const double ms =
			30 + (at.tokens_to_prefill + at.queued_tokens) / 1000 *
				     read_ms;

		svc_on_ttft(s, &at, ms * uniform(rnd, 0.2, 1.8), true);
	}
}

/* A plan that rests on the few answers of one entry asks for half or twice. */
static void need_rests_on_what_all_entries_learned(void)
{
	const double read_ms = 16;
	struct svc_load load = { 1000000, 0, 80, read_ms };
	double truth, least = 1e9, most = 0;
	struct svc_slope mean = { 0 };
	struct svc s;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 11);
	svc_init(&s, "llm");
	truth = svc_busy_endpoints(&s, &load, 64);
	load.prefill_ms = 0;
	for (i = 0; i < 80; i++) {
		double busy;

		learn_few(&s, &rnd, read_ms);
		busy = svc_busy_endpoints(&s, &load, 64);
		least = busy < least ? busy : least;
		most = busy > most ? busy : most;
		svc_slope_add(&mean, s.ttft.coef[SVC_PREFILL_MS],
			      s.ttft.samples);
	}
	CU_ASSERT(most > 1.5 * least);
	load.prefill_ms = svc_slope_mean(&mean);
	printf("  need: truth %.1f, by one entry %.1f to %.1f, by all %.1f\n",
	       truth, least, most, svc_busy_endpoints(&s, &load, 64));
	CU_ASSERT_DOUBLE_EQUAL(svc_busy_endpoints(&s, &load, 64) / truth, 1,
			       0.15);
}

static void useless_slopes_are_left_out(void)
{
	struct svc_slope mean = { 0 };

	CU_ASSERT_EQUAL(svc_slope_mean(&mean), 0);
	svc_slope_add(&mean, 20, 0);
	svc_slope_add(&mean, -3, 10);
	svc_slope_add(&mean, NAN, 10);
	svc_slope_add(&mean, 20, NAN);
	CU_ASSERT_EQUAL(svc_slope_mean(&mean), 0);
	svc_slope_add(&mean, 10, 1000000);
	svc_slope_add(&mean, 20, 1000000);
	CU_ASSERT_DOUBLE_EQUAL(svc_slope_mean(&mean), 15, 0.001);
}

/* The pattern: slow steps; a full batch would pause beyond the objective. */
static void slow_steps_leave_slots_unused(void)
{
	struct svc s;
	int i;

	svc_init(&s, "llm");
	for (i = 0; i < 400; i++)
		svc_on_itl(&s, i % 40, 50 + 10 * (i % 40));
	CU_ASSERT(svc_max_running(&s, 64, 0) > 40);
	CU_ASSERT_DOUBLE_EQUAL(svc_max_running(&s, 64, 400), 15, 2);
	CU_ASSERT(svc_max_running(&s, 64, 60) >= 1);
}

/* Who waits for a slot is told so, and does not spoil what reading takes. */
static void full_endpoints_cost_a_run(void)
{
	const struct svc_state room = { .running = 3, .slots = 4 };
	const struct svc_state full = { .running = 4, .slots = 4 };
	struct svc s;
	double before;
	int i;

	svc_init(&s, "llm");
	for (i = 0; i < 50; i++)
		svc_on_run_end(&s, &room, 800);
	CU_ASSERT_DOUBLE_EQUAL(s.run_ms, 800, 1);
	CU_ASSERT(svc_ttft_ms(&s, &full) - svc_ttft_ms(&s, &room) > 150);
	before = svc_ttft_ms(&s, &room);
	for (i = 0; i < 50; i++)
		svc_on_ttft(&s, &full, 5000, true);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&s, &room), before, 0.001);
}

/* ---- Told by others ---- */

static void a_new_entry_begins_with_what_others_learned(void)
{
	const struct svc_state at = { .tokens_to_prefill = 3000, .slots = 64 };
	struct svc old, fresh;
	struct svc_snapshot told, wrong;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 3);
	svc_init(&old, "llm");
	svc_init(&fresh, "llm");
	for (i = 0; i < 200; i++) {
		const struct svc_state some = { .tokens_to_prefill = uniform(
							&rnd, 100, 6000),
						.slots = 64 };

		svc_on_ttft(&old, &some, 10 + some.tokens_to_prefill / 10,
			    true);
		svc_on_run_end(&old, &some, 1500);
	}
	svc_export(&old, &told);
	wrong = told;
	wrong.ttft[SVC_PREFILL_MS] = NAN;
	wrong.run_ms = -1;
	svc_adopt(&fresh, &wrong);
	CU_ASSERT(isfinite(svc_ttft_ms(&fresh, &at)));
	CU_ASSERT(fresh.run_ms > 0);
	svc_adopt(&fresh, &told);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&fresh, &at), 310, 15);
	CU_ASSERT_DOUBLE_EQUAL(fresh.run_ms, 1500, 1);
	/* Who learned enough itself goes on with that. */
	wrong = told;
	wrong.ttft[SVC_PREFILL_MS] = 1;
	wrong.ttft_samples = 1e6;
	svc_adopt(&old, &wrong);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&old, &at), 310, 15);
}

/*
 * Symptom: entries expected twice the time that endpoints took, for a whole
 * day. Sequence: all entries start together and tell each other of their few
 * first samples, taken with cold caches; each takes over what rests on a few
 * more samples than its own, again and again. Cause: each taking over made
 * the belief more certain, until nothing could move it.
 */
static void what_was_adopted_many_times_is_still_corrected(void)
{
	const struct svc_state at = { .tokens_to_prefill = 3000, .slots = 64 };
	struct svc cold, fresh;
	struct svc_snapshot told;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 12);
	svc_init(&cold, "llm");
	svc_init(&fresh, "llm");
	for (i = 0; i < 15; i++) {
		const struct svc_state some = { .tokens_to_prefill = uniform(
							&rnd, 100, 6000),
						.slots = 64 };

		svc_on_ttft(&cold, &some, 10 + some.tokens_to_prefill / 10,
			    true);
		svc_on_itl(&cold, 3, 80);
		svc_export(&cold, &told);
		told.ttft_samples += 1;
		told.itl_samples += 1;
		svc_adopt(&fresh, &told);
		svc_adopt(&fresh, &told);
	}
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&fresh, &at), 310, 30);
	for (i = 0; i < 250; i++) {
		const struct svc_state some = { .tokens_to_prefill = uniform(
							&rnd, 100, 6000),
						.slots = 64 };

		svc_on_ttft(&fresh, &some, 10 + some.tokens_to_prefill / 50,
			    true);
		svc_on_itl(&fresh, 3, 20);
	}
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&fresh, &at), 70, 20);
}

static void a_moved_belief_is_told_once(void)
{
	const struct svc_state at = { .slots = 64 };
	struct svc s;
	int i, told = 0;

	svc_init(&s, "llm");
	CU_ASSERT(svc_should_log(&s));
	CU_ASSERT_FALSE(svc_should_log(&s));
	for (i = 0; i < 100; i++) {
		svc_on_run_end(&s, &at, 1000);
		told += svc_should_log(&s);
	}
	CU_ASSERT(told >= 1 && told <= 3);
}

static const struct unit_test tests[] = {
	{ "agrees with least squares over all samples",
	  agrees_with_least_squares_over_all_samples },
	{ "one bad sample does not tip the model",
	  one_bad_sample_does_not_tip_the_model },
	{ "follows an engine that changes", follows_an_engine_that_changes },
	{ "comes close to the truth on drawn engines",
	  comes_close_to_the_truth_on_drawn_engines },
	{ "load keeps more endpoints busy the more it is",
	  load_keeps_more_endpoints_busy_the_more_it_is },
	{ "slow steps leave slots unused", slow_steps_leave_slots_unused },
	{ "full endpoints cost a run", full_endpoints_cost_a_run },
	{ "a new entry begins with what others learned",
	  a_new_entry_begins_with_what_others_learned },
	{ "a moved belief is told once", a_moved_belief_is_told_once },
	{ "the need rests on what all entries learned",
	  need_rests_on_what_all_entries_learned },
	{ "useless slopes are left out", useless_slopes_are_left_out },
	{ "busy endpoints are not found slow",
	  busy_endpoints_are_not_found_slow },
	{ "what was adopted many times is still corrected",
	  what_was_adopted_many_times_is_still_corrected },
};

UNIT_MAIN("model", tests)
