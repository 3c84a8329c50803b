/*
 * svc: service model: the response times of a service's endpoints, learned from
 * their answers to this entry.
 *
 * A model engine prefills the waiting prompts one after the other, in chunks
 * between the decode steps of the running requests, and a step takes longer the
 * more requests run. So the time to first token (TTFT; here: to the first event
 * of the answer) is modelled as linear in the tokens to prefill, the tokens
 * queued before them and the running requests; the inter-token latency (ITL;
 * here: the time between two events) as linear in the running requests. A plain
 * service has a mean answer time, which grows once its slots are taken.
 *
 * This way no figure of an engine is hard-coded. With the figures of one kind
 * of engine, the predicted TTFT of another kind was off by 75 ms, at a median
 * TTFT of 45 to 80 ms.
 *
 * Pure: no I/O, the clock is passed in. Not thread-safe. There is one struct
 * svc for each service that requests are sent to.
 */
#ifndef SVC_H
#define SVC_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/decay.h"
#include "model/offered.h"
#include "model/rls.h"

#define SVC_NAME 64 /* buffer size of a service's name, bytes */

/* Coefficients of the TTFT, ms. */
enum svc_ttft_coef {
	SVC_FIXED_MS,	/* constant part */
	SVC_PREFILL_MS, /* per thousand tokens to prefill */
	SVC_QUEUE_MS,	/* per thousand tokens queued before them */
	SVC_RUNNING_MS, /* per ten running requests */
	SVC_TTFT_COEFS,
};

/* Coefficients of the ITL, ms. */
enum svc_itl_coef {
	SVC_STEP_MS,	     /* constant part */
	SVC_STEP_RUNNING_MS, /* per ten running requests */
	SVC_ITL_COEFS,
};

/* State of an endpoint at the time when a request is sent to it. */
struct svc_state {
	double tokens_to_prefill; /* of this request */
	double queued_tokens;	  /* of others, not prefilled yet */
	double running;		  /* requests at the endpoint */
	double slots;		  /* concurrent requests; 0: unknown */
};

struct svc {
	struct cds_list_head node; /* in the owner's list */
	char name[SVC_NAME];
	uint64_t hash; /* of the name */
	struct rls ttft, itl;
	double run_ms;		       /* mean time from send to end */
	double run_samples;	       /* answers that run_ms is based on */
	double typical_prefill_tokens; /* mean tokens to prefill of a request */
	struct decay_sum prefill_rate; /* of the requests sent, tokens/s */
	struct ofd offered;	       /* by clients */
	/* Values that were logged last, see svc_should_log(). */
	double logged_prefill_ms, logged_run_ms;
};

/* Initializes a model with priors; `name` is copied. */
void svc_init(struct svc *s, const char *name);

/* ---- Predictions ---- */

/* Returns the expected TTFT, ms, including a wait for a slot. */
double svc_ttft_ms(const struct svc *s, const struct svc_state *at);

/* Returns the expected ITL, ms, of an endpoint with a free slot. */
double svc_itl_ms(const struct svc *s, const struct svc_state *at);

/* Returns an engine's time, ms, to prefill `tokens` tokens. */
double svc_prefill_ms(const struct svc *s, double tokens);

/* Returns the expected answer time, ms, of a plain service. */
double svc_answer_ms(const struct svc *s, const struct svc_state *at);

/*
 * Returns how many requests an endpoint can run at once: limited by its slots,
 * and by the ITL that `pause_ms` permits, the longest pause between events that
 * counts as on time (0: no limit).
 */
double svc_max_running(const struct svc *s, double slots, double pause_ms);

/*
 * Weighted mean over several entries of SVC_PREFILL_MS, the slope of the TTFT
 * by tokens. Starts zeroed.
 */
struct svc_slope {
	double sum, weight;
};

/*
 * Adds an entry's slope, based on `samples` answers. Ignores slopes that are
 * not positive and finite.
 */
void svc_slope_add(struct svc_slope *s, double prefill_ms, double samples);

/* Returns the mean, ms per thousand tokens; 0: no entry has a sample. */
double svc_slope_mean(const struct svc_slope *s);

/* Load of a service, summed over all entries. */
struct svc_load {
	double prefill_tokens_per_s; /* of the requests sent */
	double running;		     /* concurrent requests */
	double endpoints;	     /* that share the load */
	double prefill_ms; /* per thousand tokens, mean of all entries; 0: none,
			      this entry's own is used */
};

/*
 * Returns the number of endpoints that the load keeps busy, if each runs at
 * most `max_running` requests (see svc_max_running()) at once.
 *
 * The slope of the TTFT by tokens is the time that one more token takes beside
 * the current prefill load. So an endpoint's total prefill rate is its current
 * one plus the inverse of the slope. The inverse alone would make endpoints
 * appear slower the more load they have.
 */
double svc_busy_endpoints(const struct svc *s, const struct svc_load *l,
			  double max_running);

/* ---- Learning ---- */

/* A request with this many tokens to prefill was sent. */
void svc_on_sent(struct svc *s, double tokens_to_prefill, int64_t now_ms);

/* Returns the prefill load of the requests that this entry sent, tokens/s. */
double svc_prefill_tokens_per_s(const struct svc *s, int64_t now_ms);

/*
 * The first event arrived `took_ms` after the request was sent to an endpoint
 * in state `at`. `sure`: the number of tokens to prefill was known.
 */
void svc_on_ttft(struct svc *s, const struct svc_state *at, double took_ms,
		 bool sure);

/*
 * The events of a stream arrived `between_ms` apart on average, from an
 * endpoint in state `at`. Ignored if the endpoint had no free slot: by the
 * times of endpoints whose slots were all taken, fewer of them seemed to fit.
 */
void svc_on_itl(struct svc *s, const struct svc_state *at, double between_ms);

/*
 * A request succeeded `took_ms` after it was sent to an endpoint in state `at`.
 */
void svc_on_run_end(struct svc *s, const struct svc_state *at, double took_ms);

/*
 * Returns true if the prefill or run time differs by a quarter or more from the
 * value at the last call that returned true.
 */
bool svc_should_log(struct svc *s);

/* ---- Gossip ---- */

/* Learned state, as sent to other entries. */
struct svc_snapshot {
	uint64_t service;    /* hash of the service's name */
	double ttft_samples; /* 0: nothing learned */
	double ttft[SVC_TTFT_COEFS];
	double ttft_error; /* typical error, ms */
	double itl_samples;
	double itl[SVC_ITL_COEFS];
	double itl_error; /* typical error, ms */
	double run_ms, run_samples;
};

/* Copies the learned state to `out`. */
void svc_export(const struct svc *s, struct svc_snapshot *out);

/*
 * Adopts each part of a received snapshot that is based on more samples than
 * our own; see rls_adopt(). Rejects figures that are not finite.
 */
void svc_adopt(struct svc *s, const struct svc_snapshot *snapshot);

#endif
