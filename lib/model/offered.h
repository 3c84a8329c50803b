/*
 * ofd (offered): the load that clients offer to a service, and what its
 * endpoints can take, neither of which includes any queue.
 *
 * Requests in flight are no measure of load: when endpoints are lost, requests
 * queue at the remaining ones, and a plan made from that queue orders several
 * times the endpoints needed. The same holds for response times: those of
 * congested endpoints made an engine of 20 ms per thousand prompt tokens appear
 * to need 200 ms.
 *
 * So the load is counted at the arrival of each new request, and the prefill
 * time is a low quantile of the measured ones: an engine is never faster than
 * its idle speed, and queueing only adds to it.
 *
 * Pure: no I/O, the clock is passed in. Not thread-safe.
 */
#ifndef OFFERED_H
#define OFFERED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decay.h"

/* Measured prefill times that are kept. */
#define OFD_SAMPLES 16

/* The load that one entry receives for a service, and its measurements. */
struct ofd {
	struct decay_sum requests;	/* per second */
	struct decay_sum prefill;	/* tokens per second */
	double prefill_ms[OFD_SAMPLES]; /* per thousand tokens; ring buffer */
	unsigned nr_samples; /* total; the next is this modulo the size */
};

/*
 * A new request arrived that needs `prefill_tokens` tokens of its prompt
 * processed. Not to be called for repeats to other endpoints.
 */
void ofd_arrived(struct ofd *o, double prefill_tokens, int64_t now_ms);

/*
 * The first event arrived `took_ms` after a prompt with `prefill_tokens` tokens
 * to prefill was sent. Short prompts are ignored, as their time consists of
 * other things.
 */
void ofd_prefilled(struct ofd *o, double prefill_tokens, double took_ms);

/* What an entry reports to the one that plans. */
struct ofd_report {
	double requests_per_s;
	double prefill_per_s; /* tokens */
	double prefill_ms;    /* per thousand tokens; 0: unknown */
	double samples;	      /* that it is based on, up to OFD_SAMPLES */
};

void ofd_export(const struct ofd *o, int64_t now_ms, struct ofd_report *out);

/* The sum of the reports of all entries. All zero: none. */
struct ofd_sum {
	double requests_per_s, prefill_per_s;
	double weighted_ms, weight; /* of the mean of prefill_ms */
};

void ofd_add(struct ofd_sum *s, const struct ofd_report *r);

/* Mean prefill time per thousand tokens, ms; 0: unknown. */
double ofd_prefill_ms(const struct ofd_sum *s);

/*
 * Returns the number of endpoints that the load keeps busy, by prefill or by
 * the requests that run at the same time, whichever is more. `prefill_ms`: per
 * thousand tokens at an endpoint without congestion; `run_ms`: mean duration of
 * a request there; `max_running`: requests that an endpoint runs at once, above
 * 0.
 */
double ofd_busy_endpoints(const struct ofd_sum *s, double prefill_ms,
			  double run_ms, double max_running);

#endif
