/*
 * Tests of the service model: against the true figures, and against a learner
 * that never changes and one that follows the last sample only.
 */
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

/* Uniform on a logarithmic scale. */
static double log_uniform(struct rnd *rnd, double lo, double hi)
{
	return exp(uniform(rnd, log(lo), log(hi)));
}

/* ---- Least squares ---- */

/* Reference: keeps all samples and solves the normal equations. */
#define BATCH 120
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

static void agrees_with_batch_least_squares(void)
{
	static const double prior[COEFS] = { 0, 0, 0 };
	static const double spread[COEFS] = { 300, 300, 300 };
	double x[BATCH][COEFS], y[BATCH], truth[COEFS], batch[COEFS];
	struct rnd rnd;
	struct rls m;
	int round, s, i;

	rnd_seed(&rnd, 5);
	for (round = 0; round < 50; round++) {
		rls_init(&m, COEFS, prior, spread);
		for (i = 0; i < COEFS; i++)
			truth[i] = uniform(&rnd, -50, 50);
		for (s = 0; s < BATCH; s++) {
			x[s][0] = 1;
			x[s][1] = uniform(&rnd, 0, 10);
			x[s][2] = uniform(&rnd, 0, 5);
			y[s] = uniform(&rnd, -4, 4);
			for (i = 0; i < COEFS; i++)
				y[s] += truth[i] * x[s][i];
			rls_learn(&m, x[s], y[s], 1);
		}
		fit_batch(x, y, BATCH, batch);
		for (i = 0; i < COEFS; i++)
			CU_ASSERT_DOUBLE_EQUAL(m.coef[i], batch[i], 1.5);
	}
}

/*
 * One outlier must not change the model much. When an endpoint crashed, a
 * stream that had stalled for thirty seconds ended; that one sample moved the
 * model as far as a hundred others, and all requests went to another zone.
 */
static void outlier_moves_the_model_little(void)
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

/* New model weights replace the old ones and run at half the speed. */
static void follows_a_change_of_the_engine(void)
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

/* ---- Random engines ---- */

#define ENGINES 200
#define ENDPOINTS 6
#define REQUESTS 600

/*
 * True figures of an engine, drawn at random: constant time, time per thousand
 * prompt tokens and per ten running requests.
 */
struct truth {
	double fixed_ms, read_ms, running_ms;
};

/* A simulated endpoint, which prefills one prompt after the other. */
struct sim_endpoint {
	double free_ms; /* all prompts are prefilled by then */
	double ends[64];
	uint64_t prefix; /* the shared prefix in its cache */
};

/* A way to predict and learn. */
struct learner {
	double (*predict)(struct learner *t, const struct svc_state *at);
	void (*learn)(struct learner *t, const struct svc_state *at, double ms);
	const struct truth *truth;
	struct svc svc;
	double factor;
};

static double predict_truth(struct learner *t, const struct svc_state *at)
{
	return t->truth->fixed_ms +
	       t->truth->read_ms * (at->tokens_to_prefill + at->queued_tokens) /
		       1000 +
	       t->truth->running_ms * at->running / 10;
}

static double predict_learned(struct learner *t, const struct svc_state *at)
{
	return svc_ttft_ms(&t->svc, at);
}

static void learn_all(struct learner *t, const struct svc_state *at, double ms)
{
	svc_on_ttft(&t->svc, at, ms, true);
}

static void learn_nothing(struct learner *t, const struct svc_state *at,
			  double ms)
{
	(void)t;
	(void)at;
	(void)ms;
}

/* Scales all predictions by the error of the last sample. */
static double predict_last(struct learner *t, const struct svc_state *at)
{
	return svc_ttft_ms(&t->svc, at) * t->factor;
}

static void learn_last(struct learner *t, const struct svc_state *at, double ms)
{
	t->factor = ms / (svc_ttft_ms(&t->svc, at) + 1);
}

struct outcome {
	double mean_ms;	 /* to the first event */
	double error_ms; /* mean prediction error after the first fifty */
};

static double running_at(const struct sim_endpoint *p, double now)
{
	double n = 0;
	int i;

	for (i = 0; i < 64; i++)
		n += p->ends[i] > now;
	return n;
}

static void start_run(struct sim_endpoint *p, double now, double till)
{
	int i;

	for (i = 0; i < 64; i++) {
		if (p->ends[i] <= now) {
			p->ends[i] = till;
			return;
		}
	}
}

static struct svc_state state_at(const struct sim_endpoint *p,
				 const struct truth *t, double now, double own,
				 double shared, uint64_t prefix)
{
	return (struct svc_state){
		.tokens_to_prefill = own + (p->prefix == prefix ? 0 : shared),
		.queued_tokens = p->free_ms > now ? (p->free_ms - now) * 1000 /
							    t->read_ms
						  : 0,
		.running = running_at(p, now),
		.slots = 64,
	};
}

static struct outcome simulate(struct learner *t, const struct truth *truth,
			       uint64_t seed)
{
	struct sim_endpoint endpoints[ENDPOINTS];
	struct outcome out = { 0 };
	struct rnd rnd;
	double now = 0;
	int i, k, best;

	memset(endpoints, 0, sizeof(endpoints));
	rnd_seed(&rnd, seed);
	for (i = 0; i < REQUESTS; i++) {
		const double own = log_uniform(&rnd, 100, 8000);
		const double shared = uniform(&rnd, 0, 6000);
		const uint64_t prefix = 1 + rnd_below(&rnd, 12);
		const double noise = uniform(&rnd, 0.9, 1.1);
		struct svc_state at = { 0 }, some;
		double lowest = INFINITY, predicted, took;

		/* The endpoints prefill for half of the time. */
		now += uniform(&rnd, 0, 2) * truth->read_ms * 5 / ENDPOINTS /
		       0.5;
		best = 0;
		for (k = 0; k < ENDPOINTS; k++) {
			some = state_at(&endpoints[k], truth, now, own, shared,
					prefix);
			predicted = t->predict(t, &some);
			if (predicted < lowest) {
				lowest = predicted;
				best = k;
				at = some;
			}
		}
		t->truth = truth;
		took = predict_truth(t, &at) * noise;
		endpoints[best].free_ms =
			now + (at.queued_tokens + at.tokens_to_prefill) / 1000 *
				      truth->read_ms;
		start_run(&endpoints[best], now,
			  now + took + uniform(&rnd, 0, 2000));
		endpoints[best].prefix = prefix;
		t->learn(t, &at, took);
		out.mean_ms += took / REQUESTS;
		if (i >= 50)
			out.error_ms += fabs(took - lowest) / (REQUESTS - 50);
	}
	return out;
}

static int compare_double(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

struct spread {
	double median, p95;
};

static struct spread spread_of(double *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_double);
	return (struct spread){ v[n / 2], v[n * 95 / 100] };
}

struct table {
	struct spread regret; /* TTFT above that of exact figures, relative */
	struct spread error;  /* of the prediction, relative to the mean TTFT */
};

static struct table compare_with_exact(
	double (*predict)(struct learner *, const struct svc_state *),
	void (*learn)(struct learner *, const struct svc_state *, double))
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
		struct learner exact = { .predict = predict_truth,
					 .learn = learn_nothing,
					 .truth = &truth,
					 .factor = 1 };
		struct learner learning = { .predict = predict,
					    .learn = learn,
					    .truth = &truth,
					    .factor = 1 };
		struct outcome best, own;

		svc_init(&learning.svc, "llm");
		best = simulate(&exact, &truth, (uint64_t)i + 1);
		own = simulate(&learning, &truth, (uint64_t)i + 1);
		regret[i] = own.mean_ms / best.mean_ms - 1;
		error[i] = own.error_ms / own.mean_ms;
	}
	return (struct table){ spread_of(regret, ENGINES),
			       spread_of(error, ENGINES) };
}

static bool is_good(const struct table *t)
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
 * Engines up to five times slower or faster than any observed one, with prompt
 * prefixes that some endpoints have cached. The model must come close to exact
 * figures; a learner that never changes, and one that follows the last sample,
 * must fail the same check.
 */
static void comes_close_to_exact_on_random_engines(void)
{
	const struct table own = compare_with_exact(predict_learned, learn_all);
	const struct table never =
		compare_with_exact(predict_learned, learn_nothing);
	const struct table last = compare_with_exact(predict_last, learn_last);

	show("learned", &own);
	show("never changes", &never);
	show("last sample", &last);
	CU_ASSERT(is_good(&own));
	CU_ASSERT_FALSE(is_good(&never));
	CU_ASSERT_FALSE(is_good(&last));
}

/* ---- Capacity ---- */

static void busy_endpoints_grow_with_load(void)
{
	const struct svc_load many_running = { 1000, 100, 10, 0 };
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
	/* With few slots these are the limit, not prefill. */
	CU_ASSERT(svc_busy_endpoints(&s, &many_running,
				     svc_max_running(&s, 12, 0)) >= 100 / 12.0);
	CU_ASSERT(svc_max_running(&s, 1, 0) >= 1);
}

/*
 * The slope under load must not be taken for the time that prefill alone takes.
 * Slow engines prefill for most of the time, so one more token takes three
 * times as long. The need rose with it, and twice the needed endpoints were
 * ordered.
 */
static void load_does_not_inflate_busy_endpoints(void)
{
	/*
	 * 50 tokens/ms; at utilization u, one more token takes 1 / (1 - u)
	 * times as long.
	 */
	const double rate = 50000, utilization = 0.7;
	const struct svc_load light = { rate * 4 * 0.05, 0, 4, 0 };
	const struct svc_load heavy = { rate * 4 * utilization, 0, 4, 0 };
	struct svc s;
	double idle, busy;

	svc_init(&s, "llm");
	s.ttft.coef[SVC_PREFILL_MS] = 20 / (1 - 0.05);
	idle = svc_busy_endpoints(&s, &light, 64) / light.prefill_tokens_per_s;
	s.ttft.coef[SVC_PREFILL_MS] = 20 / (1 - utilization);
	busy = svc_busy_endpoints(&s, &heavy, 64) / heavy.prefill_tokens_per_s;
	CU_ASSERT_DOUBLE_EQUAL(busy / idle, 1, 0.02);
}

/* One entry of many: thirty answers, with the noise of a mixed load. */
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

/* The few answers of a single entry give half or twice the true need. */
static void mean_slope_of_all_entries_is_accurate(void)
{
	const double read_ms = 16;
	struct svc_load load = { 1000000, 0, 80, read_ms };
	double truth, lowest = 1e9, highest = 0;
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
		lowest = busy < lowest ? busy : lowest;
		highest = busy > highest ? busy : highest;
		svc_slope_add(&mean, s.ttft.coef[SVC_PREFILL_MS],
			      s.ttft.samples);
	}
	CU_ASSERT(highest > 1.5 * lowest);
	load.prefill_ms = svc_slope_mean(&mean);
	printf("  need: truth %.1f, by one entry %.1f to %.1f, by all %.1f\n",
	       truth, lowest, highest, svc_busy_endpoints(&s, &load, 64));
	CU_ASSERT_DOUBLE_EQUAL(svc_busy_endpoints(&s, &load, 64) / truth, 1,
			       0.15);
}

static void invalid_slopes_are_ignored(void)
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

/* With slow steps a full batch would exceed the permitted pause. */
static void slow_steps_limit_running_requests(void)
{
	struct svc s;
	int i;

	svc_init(&s, "llm");
	for (i = 0; i < 400; i++)
		svc_on_itl(&s, &(struct svc_state){ .running = i % 40 },
			   50 + 10 * (i % 40));
	CU_ASSERT(svc_max_running(&s, 64, 0) > 40);
	CU_ASSERT_DOUBLE_EQUAL(svc_max_running(&s, 64, 400), 15, 2);
	CU_ASSERT(svc_max_running(&s, 64, 60) >= 1);
}

/* A wait for a slot is predicted, and isn't learned as prefill time. */
static void wait_for_slot_is_predicted(void)
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

/* ---- Snapshots of other entries ---- */

static void new_entry_adopts_a_snapshot(void)
{
	const struct svc_state at = { .tokens_to_prefill = 3000, .slots = 64 };
	struct svc old, new;
	struct svc_snapshot snapshot, wrong;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 3);
	svc_init(&old, "llm");
	svc_init(&new, "llm");
	for (i = 0; i < 200; i++) {
		const struct svc_state sample = { .tokens_to_prefill = uniform(
							  &rnd, 100, 6000),
						  .slots = 64 };

		svc_on_ttft(&old, &sample, 10 + sample.tokens_to_prefill / 10,
			    true);
		svc_on_run_end(&old, &sample, 1500);
	}
	svc_export(&old, &snapshot);
	wrong = snapshot;
	wrong.ttft[SVC_PREFILL_MS] = NAN;
	wrong.run_ms = -1;
	svc_adopt(&new, &wrong);
	CU_ASSERT(isfinite(svc_ttft_ms(&new, &at)));
	CU_ASSERT(new.run_ms > 0);
	svc_adopt(&new, &snapshot);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&new, &at), 310, 15);
	CU_ASSERT_DOUBLE_EQUAL(new.run_ms, 1500, 1);
	/* An entry with enough samples of its own ignores snapshots. */
	wrong = snapshot;
	wrong.ttft[SVC_PREFILL_MS] = 1;
	wrong.ttft_samples = 1e6;
	svc_adopt(&old, &wrong);
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&old, &at), 310, 15);
}

/*
 * Repeated adoption must not make a model immutable. All entries start together
 * and exchange their first few samples, taken with cold caches; each adopts
 * models with a few more samples than its own, again and again. Each adoption
 * reduced the variance, until no sample could correct the model: entries
 * expected twice the time that endpoints took, for a whole day.
 */
static void repeated_adoption_can_be_corrected(void)
{
	const struct svc_state at = { .tokens_to_prefill = 3000, .slots = 64 };
	struct svc cold, new;
	struct svc_snapshot snapshot;
	struct rnd rnd;
	int i;

	rnd_seed(&rnd, 12);
	svc_init(&cold, "llm");
	svc_init(&new, "llm");
	for (i = 0; i < 15; i++) {
		const struct svc_state sample = { .tokens_to_prefill = uniform(
							  &rnd, 100, 6000),
						  .slots = 64 };

		svc_on_ttft(&cold, &sample, 10 + sample.tokens_to_prefill / 10,
			    true);
		svc_on_itl(&cold, &(struct svc_state){ .running = 3 }, 80);
		svc_export(&cold, &snapshot);
		snapshot.ttft_samples += 1;
		snapshot.itl_samples += 1;
		svc_adopt(&new, &snapshot);
		svc_adopt(&new, &snapshot);
	}
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&new, &at), 310, 30);
	for (i = 0; i < 250; i++) {
		const struct svc_state sample = { .tokens_to_prefill = uniform(
							  &rnd, 100, 6000),
						  .slots = 64 };

		svc_on_ttft(&new, &sample, 10 + sample.tokens_to_prefill / 50,
			    true);
		svc_on_itl(&new, &(struct svc_state){ .running = 3 }, 20);
	}
	CU_ASSERT_DOUBLE_EQUAL(svc_ttft_ms(&new, &at), 70, 20);
}

static void large_change_is_logged_once(void)
{
	const struct svc_state at = { .slots = 64 };
	struct svc s;
	int i, logged = 0;

	svc_init(&s, "llm");
	CU_ASSERT(svc_should_log(&s));
	CU_ASSERT_FALSE(svc_should_log(&s));
	for (i = 0; i < 100; i++) {
		svc_on_run_end(&s, &at, 1000);
		logged += svc_should_log(&s);
	}
	CU_ASSERT(logged >= 1 && logged <= 3);
}

static const struct unit_test tests[] = {
	{ "agrees with batch least squares", agrees_with_batch_least_squares },
	{ "an outlier moves the model little", outlier_moves_the_model_little },
	{ "follows a change of the engine", follows_a_change_of_the_engine },
	{ "comes close to exact figures on random engines",
	  comes_close_to_exact_on_random_engines },
	{ "busy endpoints grow with load", busy_endpoints_grow_with_load },
	{ "slow steps limit running requests",
	  slow_steps_limit_running_requests },
	{ "the wait for a slot is predicted", wait_for_slot_is_predicted },
	{ "a new entry adopts a snapshot", new_entry_adopts_a_snapshot },
	{ "a large change is logged once", large_change_is_logged_once },
	{ "the mean slope of all entries is accurate",
	  mean_slope_of_all_entries_is_accurate },
	{ "invalid slopes are ignored", invalid_slopes_are_ignored },
	{ "load does not inflate busy endpoints",
	  load_does_not_inflate_busy_endpoints },
	{ "repeated adoption can be corrected",
	  repeated_adoption_can_be_corrected },
};

UNIT_MAIN("model", tests)
