#include "model/svc.h"

#include <math.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

/*
 * Before the first answers: an engine of middling size, and how far from it
 * one may well be. After some ten answers nothing is left of it.
 */
static const double first_prior[SVC_TTFT_COEFS] = { 40, 20, 20, 2 };
static const double first_spread[SVC_TTFT_COEFS] = { 60, 60, 30, 10 };
static const double pace_prior[SVC_ITL_COEFS] = { 25, 2 };
static const double pace_spread[SVC_ITL_COEFS] = { 60, 20 };
#define RUN_MS_PRIOR 100.0

/* Units of the features; see enum svc_ttft_coef. */
#define TOKENS_UNIT 1000.0
#define RUNNING_UNIT 10.0

/* Reading a thousand tokens takes no less: no engine reads 2 million a s. */
#define LEAST_READ_MS 0.5

/* What was to be read is doubtful: such a sample counts less. */
#define DOUBTFUL 0.2

/* Mean times follow the last fifty answers or so. */
#define MEAN_PART 0.02

/* An answer that took more than so many usual ones counts as that many. */
#define MEAN_EDGE 4.0

/* Part of an endpoint's slots that a usual load may take. */
#define SLOTS_PART 1.0

/* The usual pause between events, as part of the longest one on time. */
#define PAUSE_PART 0.5

/* Part of an endpoint's time that reading may take; the rest is for peaks. */
#define READ_PART 0.7

/* Beyond this number of answers an entry's slope gets no more weight. */
#define SLOPE_SAMPLES 50.0

/* Rates are taken over about this time: some hundred requests of a fleet. */
#define RATE_MS 3000.0

/* With its slots nearly full an endpoint is slower by up to so much. */
#define FULL_EXTRA 0.2

void svc_init(struct svc *s, const char *name)
{
	memset(s, 0, sizeof(*s));
	str_copy(s->name, name, sizeof(s->name));
	s->hash = hsh_str(name, 0);
	rls_init(&s->ttft, SVC_TTFT_COEFS, first_prior, first_spread);
	rls_init(&s->itl, SVC_ITL_COEFS, pace_prior, pace_spread);
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

/* Requests that would have to end before one more finds a slot. */
static double beyond_slots(const struct svc_state *at)
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
		ms += beyond_slots(at) * s->run_ms / at->slots;
	return ms;
}

double svc_prefill_ms(const struct svc *s, double tokens)
{
	const double rate = s->ttft.coef[SVC_PREFILL_MS];

	return tokens / TOKENS_UNIT *
	       (rate > LEAST_READ_MS ? rate : LEAST_READ_MS);
}

double svc_answer_ms(const struct svc *s, const struct svc_state *at)
{
	const double slots = at->slots > 0 ? at->slots : 1;

	return s->run_ms * (1 + FULL_EXTRA * at->running / slots +
			    beyond_slots(at) / slots);
}

double svc_max_running(const struct svc *s, double slots, double pause_ms)
{
	const double step = s->itl.coef[SVC_STEP_MS];
	const double more = s->itl.coef[SVC_STEP_RUNNING_MS] / RUNNING_UNIT;
	double fit = slots * SLOTS_PART, by_pause;

	if (fit < 1)
		fit = 1;
	if (pause_ms <= 0 || more <= 0)
		return fit;
	by_pause = (pause_ms * PAUSE_PART - step) / more;
	if (by_pause < 1)
		by_pause = 1;
	return by_pause < fit ? by_pause : fit;
}

void svc_slope_add(struct svc_slope *s, double read_ms, double samples)
{
	const double weight = samples < SLOPE_SAMPLES ? samples : SLOPE_SAMPLES;

	if (!(read_ms > 0) || !(samples > 0) || !isfinite(read_ms))
		return;
	s->sum += weight * read_ms;
	s->weight += weight;
}

double svc_slope_mean(const struct svc_slope *s)
{
	return s->weight > 0 ? s->sum / s->weight : 0;
}

double svc_busy_endpoints(const struct svc *s, const struct svc_load *l,
			  double fit)
{
	const double read_ms = l->prefill_ms > 0
				       ? l->prefill_ms
				       : svc_prefill_ms(s, TOKENS_UNIT);
	const double alone = TOKENS_UNIT * 1000 / read_ms;
	const double now =
		l->endpoints > 0 ? l->prefill_tokens_per_s / l->endpoints : 0;
	const double reading =
		l->prefill_tokens_per_s / (alone + now) / READ_PART;
	const double running = l->running / fit;

	return reading > running ? reading : running;
}

/* ---- Learning ---- */

void svc_on_sent(struct svc *s, double tokens_to_prefill, int64_t now)
{
	fade_add(&s->prefill_rate, tokens_to_prefill * 1000 / RATE_MS, RATE_MS,
		 now);
}

double svc_prefill_tokens_per_s(const struct svc *s, int64_t now)
{
	return fade_at(&s->prefill_rate, RATE_MS, now);
}

void svc_on_ttft(struct svc *s, const struct svc_state *at, double took_ms,
		 bool sure)
{
	double x[SVC_TTFT_COEFS];

	/* One that waited for a slot tells of the slots, not of reading. */
	if (beyond_slots(at) > 0)
		return;
	features(at, x);
	rls_learn(&s->ttft, x, took_ms, sure ? 1 : DOUBTFUL);
	s->typical_prefill_tokens +=
		(at->tokens_to_prefill - s->typical_prefill_tokens) *
		(s->typical_prefill_tokens > 0 ? MEAN_PART : 1);
}

void svc_on_itl(struct svc *s, double running, double between_ms)
{
	const double x[SVC_ITL_COEFS] = { 1, running / RUNNING_UNIT };

	rls_learn(&s->itl, x, between_ms, 1);
}

void svc_on_run_end(struct svc *s, const struct svc_state *at, double took_ms)
{
	double part = 1 / (s->run_samples + 1);

	if (beyond_slots(at) > 0)
		return;
	if (s->run_samples > 0 && took_ms > MEAN_EDGE * s->run_ms)
		took_ms = MEAN_EDGE * s->run_ms;
	if (part < MEAN_PART)
		part = MEAN_PART;
	else
		s->run_samples += 1;
	s->run_ms += (took_ms - s->run_ms) * part;
}

/* A belief that moved by so much is told. */
#define MOVED_PART 0.25

static bool far_from(double now, double told)
{
	return fabs(now - told) > MOVED_PART * fabs(told) + 0.1;
}

bool svc_should_log(struct svc *s)
{
	const double read_ms = svc_prefill_ms(s, TOKENS_UNIT);

	if (!far_from(read_ms, s->logged_prefill_ms) &&
	    !far_from(s->run_ms, s->logged_run_ms))
		return false;
	s->logged_prefill_ms = read_ms;
	s->logged_run_ms = s->run_ms;
	return true;
}

/* ---- Telling others ---- */

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

void svc_adopt(struct svc *s, const struct svc_snapshot *told)
{
	rls_adopt(&s->ttft, told->ttft, told->ttft_error, told->ttft_samples);
	rls_adopt(&s->itl, told->itl, told->itl_error, told->itl_samples);
	if (told->run_samples > s->run_samples && isfinite(told->run_ms) &&
	    told->run_ms > 0) {
		s->run_ms = told->run_ms;
		s->run_samples = told->run_samples;
	}
}
