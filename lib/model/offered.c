#include "model/offered.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TOKENS_UNIT 1000.0

/*
 * Time constant of the rates: the part of an entry that exited decays within a
 * second, and the sum over all entries still has some hundred requests in it.
 */
#define RATE_MS 1000.0

/*
 * Prompts with fewer tokens to prefill are not measured: the round trip and the
 * first step, some 20 ms, would be a large part of their time.
 */
#define MIN_PREFILL_TOKENS 2000.0

/*
 * The quantile of the measured times. Under normal load, more than one answer
 * in ten is of an endpoint that prefilled nothing else.
 */
#define QUANTILE 0.1

/* Fraction of an endpoint's time for prefill; the rest is kept for peaks. */
#define PREFILL_UTILIZATION 0.7

void ofd_arrived(struct ofd *o, double prefill_tokens, int64_t now)
{
	decay_sum_add(&o->requests, 1000 / RATE_MS, RATE_MS, now);
	decay_sum_add(&o->prefill, prefill_tokens * 1000 / RATE_MS, RATE_MS,
		      now);
}

void ofd_prefilled(struct ofd *o, double prefill_tokens, double took_ms)
{
	const double ms = took_ms * TOKENS_UNIT / prefill_tokens;

	if (prefill_tokens >= MIN_PREFILL_TOKENS && took_ms > 0 && isfinite(ms))
		o->prefill_ms[o->nr_samples++ % OFD_SAMPLES] = ms;
}

static int by_size(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The quantile of the samples kept; 0: there are none. */
static double quantile(const struct ofd *o, unsigned n)
{
	double sorted[OFD_SAMPLES];

	if (!n)
		return 0;
	memcpy(sorted, o->prefill_ms, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), by_size);
	return sorted[(unsigned)(n * QUANTILE)];
}

void ofd_export(const struct ofd *o, int64_t now, struct ofd_report *out)
{
	const unsigned n = o->nr_samples < OFD_SAMPLES ? o->nr_samples
						       : OFD_SAMPLES;

	out->requests_per_s = decay_sum_at(&o->requests, RATE_MS, now);
	out->prefill_per_s = decay_sum_at(&o->prefill, RATE_MS, now);
	out->prefill_ms = quantile(o, n);
	out->samples = n;
}

void ofd_add(struct ofd_sum *s, const struct ofd_report *r)
{
	const double weight = r->samples < OFD_SAMPLES ? r->samples
						       : OFD_SAMPLES;

	s->requests_per_s += r->requests_per_s;
	s->prefill_per_s += r->prefill_per_s;
	if (!(r->prefill_ms > 0) || !(weight > 0))
		return;
	s->weighted_ms += weight * r->prefill_ms;
	s->weight += weight;
}

double ofd_prefill_ms(const struct ofd_sum *s)
{
	return s->weight > 0 ? s->weighted_ms / s->weight : 0;
}

double ofd_busy_endpoints(const struct ofd_sum *s, double prefill_ms,
			  double run_ms, double max_running)
{
	const double prefilling = s->prefill_per_s * prefill_ms /
				  (TOKENS_UNIT * 1000) / PREFILL_UTILIZATION;
	const double running = s->requests_per_s * run_ms / 1000 / max_running;

	return prefilling > running ? prefilling : running;
}
