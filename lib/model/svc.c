#include "model/svc.h"

#include <math.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

/*
 * Priors: an engine of medium size, and the plausible distance of others from
 * it, ms. After some ten answers they have no influence.
 */
static const double ttft_prior[SVC_TTFT_COEFS] = { 40, 20, 20, 2 };
static const double ttft_spread[SVC_TTFT_COEFS] = { 60, 60, 30, 10 };
static const double itl_prior[SVC_ITL_COEFS] = { 25, 2 };
static const double itl_spread[SVC_ITL_COEFS] = { 60, 20 };
#define RUN_MS_PRIOR 100.0

/* Units of the features; see enum svc_ttft_coef and svc_itl_coef. */
#define TOKENS_UNIT 1000.0
#define RUNNING_UNIT 10.0

/* Lower bound per thousand tokens; no engine prefills 2 million tokens/s. */
#define MIN_PREFILL_MS 0.5

/* Weight of a sample whose number of tokens to prefill was uncertain. */
#define UNSURE_WEIGHT 0.2

/* Smoothing factor of mean values: about the last fifty answers. */
#define MEAN_SMOOTHING 0.02

/* Run times are clipped to this multiple of the mean. */
#define MEAN_CLIP 4.0

/* Fraction of an endpoint's slots that a normal load may use. */
#define SLOT_UTILIZATION 1.0

/* Target ITL as a fraction of the longest pause that counts as on time. */
#define TARGET_ITL_RATIO 0.5

/* Fraction of an endpoint's time for prefill; the rest is kept for peaks. */
#define PREFILL_UTILIZATION 0.7

/* Upper bound of the weight of an entry's slope, in answers. */
#define MAX_SLOPE_WEIGHT 50.0

/* Time constant of rates, ms; a fleet gets some hundred requests in it. */
#define RATE_MS 3000.0

/* Relative increase of a plain service's answer time with all slots taken. */
#define FULL_SLOWDOWN 0.2

void svc_init(struct svc *s, const char *name)
{
	memset(s, 0, sizeof(*s));
	str_copy(s->name, name, sizeof(s->name));
	s->hash = hsh_str(name, 0);
	rls_init(&s->ttft, SVC_TTFT_COEFS, ttft_prior, ttft_spread);
	rls_init(&s->itl, SVC_ITL_COEFS, itl_prior, itl_spread);
	s->run_ms = RUN_MS_PRIOR;
}

/* ---- Predictions ---- */

static void features(const struct svc_state *at, double *x)
{
	x[SVC_FIXED_MS] = 1;
	x[SVC_PREFILL_MS] = at->tokens_to_prefill / TOKENS_UNIT;
	x[SVC_QUEUE_MS] = at->queued_tokens / TOKENS_UNIT;
	x[SVC_RUNNING_MS] = at->running / RUNNING_UNIT;
}

/* Requests that have to end before one more gets a slot. */
static double waiting_for_slot(const struct svc_state *at)
{
	const double over = at->running + 1 - at->slots;

	return at->slots > 0 && over > 0 ? over : 0;
}

double svc_ttft_ms(const struct svc *s, const struct svc_state *at)
{
	double x[SVC_TTFT_COEFS], ms;

	features(at, x);
	ms = rls_predict(&s->ttft, x);
	if (ms < 0)
		ms = 0;
	if (at->slots > 0)
		ms += waiting_for_slot(at) * s->run_ms / at->slots;
	return ms;
}

double svc_itl_ms(const struct svc *s, const struct svc_state *at)
{
	const double x[SVC_ITL_COEFS] = { 1, at->running / RUNNING_UNIT };

	return rls_predict(&s->itl, x);
}

double svc_prefill_ms(const struct svc *s, double tokens)
{
	const double rate = s->ttft.coef[SVC_PREFILL_MS];

	return tokens / TOKENS_UNIT *
	       (rate > MIN_PREFILL_MS ? rate : MIN_PREFILL_MS);
}

double svc_answer_ms(const struct svc *s, const struct svc_state *at)
{
	const double slots = at->slots > 0 ? at->slots : 1;

	return s->run_ms * (1 + FULL_SLOWDOWN * at->running / slots +
			    waiting_for_slot(at) / slots);
}

double svc_max_running(const struct svc *s, double slots, double pause_ms)
{
	const double step = s->itl.coef[SVC_STEP_MS];
	const double more = s->itl.coef[SVC_STEP_RUNNING_MS] / RUNNING_UNIT;
	double max_running = slots * SLOT_UTILIZATION, by_pause;

	if (max_running < 1)
		max_running = 1;
	if (pause_ms <= 0 || more <= 0)
		return max_running;
	by_pause = (pause_ms * TARGET_ITL_RATIO - step) / more;
	if (by_pause < 1)
		by_pause = 1;
	return by_pause < max_running ? by_pause : max_running;
}

void svc_slope_add(struct svc_slope *s, double prefill_ms, double samples)
{
	const double weight = samples < MAX_SLOPE_WEIGHT ? samples
							 : MAX_SLOPE_WEIGHT;

	if (!(prefill_ms > 0) || !(samples > 0) || !isfinite(prefill_ms))
		return;
	s->sum += weight * prefill_ms;
	s->weight += weight;
}

double svc_slope_mean(const struct svc_slope *s)
{
	return s->weight > 0 ? s->sum / s->weight : 0;
}

double svc_busy_endpoints(const struct svc *s, const struct svc_load *l,
			  double max_running)
{
	const double prefill_ms = l->prefill_ms > 0
					  ? l->prefill_ms
					  : svc_prefill_ms(s, TOKENS_UNIT);
	const double spare = TOKENS_UNIT * 1000 / prefill_ms;
	const double current =
		l->endpoints > 0 ? l->prefill_tokens_per_s / l->endpoints : 0;
	const double prefilling = l->prefill_tokens_per_s / (spare + current) /
				  PREFILL_UTILIZATION;
	const double running = l->running / max_running;

	return prefilling > running ? prefilling : running;
}

/* ---- Learning ---- */

void svc_on_sent(struct svc *s, double tokens_to_prefill, int64_t now)
{
	decay_sum_add(&s->prefill_rate, tokens_to_prefill * 1000 / RATE_MS,
		      RATE_MS, now);
}

double svc_prefill_tokens_per_s(const struct svc *s, int64_t now)
{
	return decay_sum_at(&s->prefill_rate, RATE_MS, now);
}

void svc_on_ttft(struct svc *s, const struct svc_state *at, double took_ms,
		 bool sure)
{
	double x[SVC_TTFT_COEFS];

	/* The linear model excludes the wait for a slot. */
	if (waiting_for_slot(at) > 0)
		return;
	features(at, x);
	rls_learn(&s->ttft, x, took_ms, sure ? 1 : UNSURE_WEIGHT);
	s->typical_prefill_tokens +=
		(at->tokens_to_prefill - s->typical_prefill_tokens) *
		(s->typical_prefill_tokens > 0 ? MEAN_SMOOTHING : 1);
}

void svc_on_itl(struct svc *s, const struct svc_state *at, double between_ms)
{
	const double x[SVC_ITL_COEFS] = { 1, at->running / RUNNING_UNIT };

	if (waiting_for_slot(at) > 0)
		return;
	rls_learn(&s->itl, x, between_ms, 1);
}

void svc_on_run_end(struct svc *s, const struct svc_state *at, double took_ms)
{
	double smoothing = 1 / (s->run_samples + 1);

	if (waiting_for_slot(at) > 0)
		return;
	if (s->run_samples > 0 && took_ms > MEAN_CLIP * s->run_ms)
		took_ms = MEAN_CLIP * s->run_ms;
	if (smoothing < MEAN_SMOOTHING)
		smoothing = MEAN_SMOOTHING;
	else
		s->run_samples += 1;
	s->run_ms += (took_ms - s->run_ms) * smoothing;
}

/* Relative change that is worth a log line. */
#define LOG_CHANGE 0.25

static bool changed(double now, double logged)
{
	return fabs(now - logged) > LOG_CHANGE * fabs(logged) + 0.1;
}

bool svc_should_log(struct svc *s)
{
	const double prefill_ms = svc_prefill_ms(s, TOKENS_UNIT);

	if (!changed(prefill_ms, s->logged_prefill_ms) &&
	    !changed(s->run_ms, s->logged_run_ms))
		return false;
	s->logged_prefill_ms = prefill_ms;
	s->logged_run_ms = s->run_ms;
	return true;
}

/* ---- Gossip ---- */

void svc_export(const struct svc *s, struct svc_snapshot *out)
{
	memset(out, 0, sizeof(*out));
	out->service = s->hash;
	out->ttft_samples = s->ttft.samples;
	memcpy(out->ttft, s->ttft.coef, sizeof(out->ttft));
	out->ttft_error = s->ttft.typical_error;
	out->itl_samples = s->itl.samples;
	memcpy(out->itl, s->itl.coef, sizeof(out->itl));
	out->itl_error = s->itl.typical_error;
	out->run_ms = s->run_ms;
	out->run_samples = s->run_samples;
}

void svc_adopt(struct svc *s, const struct svc_snapshot *snapshot)
{
	rls_adopt(&s->ttft, snapshot->ttft, snapshot->ttft_error,
		  snapshot->ttft_samples);
	rls_adopt(&s->itl, snapshot->itl, snapshot->itl_error,
		  snapshot->itl_samples);
	if (snapshot->run_samples > s->run_samples &&
	    isfinite(snapshot->run_ms) && snapshot->run_ms > 0) {
		s->run_ms = snapshot->run_ms;
		s->run_samples = snapshot->run_samples;
	}
}
