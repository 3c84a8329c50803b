/*
 * svc: what a service's endpoints take for a request, learned from their
 * answers to us.
 *
 * An engine reads the prompts that wait one after the other, in pieces
 * between the steps of what runs; a step takes longer the more run. So the
 * time to the first event is taken to be linear in the tokens to be read, the
 * tokens that wait before them and the requests that run; the time between
 * two events linear in the requests that run. A plain service takes its work,
 * longer once its slots are taken.
 *
 * What it buys: no figure of an engine is written down. With the figures of
 * one kind of engine the first event was predicted 75 ms off at a median of
 * 45 to 80 ms on another one.
 *
 * Pure: the clock is passed in, no network. One for each service that requests are sent to.
 */
#ifndef SVC_H
#define SVC_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/fade.h"
#include "model/rls.h"

#define SVC_NAME 64

/* The coefficients of the time to the first event. */
enum svc_ttft_coef {
	SVC_FIXED_MS,	/* of any request */
	SVC_PREFILL_MS, /* for each thousand tokens to be read */
	SVC_QUEUE_MS,	/* for each thousand tokens that wait before */
	SVC_RUNNING_MS, /* for ten requests that run */
	SVC_TTFT_COEFS,
};

/* The coefficients of the time between two events. */
enum svc_itl_coef {
	SVC_STEP_MS,
	SVC_STEP_RUNNING_MS, /* for ten requests that run */
	SVC_ITL_COEFS,
};

/* An endpoint as it is, or was, when a request is sent there. */
struct svc_state {
	double tokens_to_prefill; /* of the request, that must be read */
	double queued_tokens;	  /* of others, not read yet */
	double running;		  /* requests there */
	double slots;		  /* requests at once; 0: not known */
};

struct svc {
	struct cds_list_head node; /* of whoever keeps it */
	char name[SVC_NAME];
	uint64_t hash; /* of the name */
	struct rls ttft, itl;
	double run_ms;		       /* from send to end, a usual one */
	double run_samples;	       /* answers that it rests on */
	double typical_prefill_tokens; /* tokens to be read, of a usual request */
	struct fade
		prefill_rate; /* tokens to be read, a second, of what was sent */
	/* Said last in the log, so that a change of belief can be told. */
	double logged_prefill_ms, logged_run_ms;
};

void svc_init(struct svc *s, const char *name);

/* The time to the first event that is to be expected, ms. */
double svc_ttft_ms(const struct svc *s, const struct svc_state *at);

/* An engine's time to read so many tokens, ms. */
double svc_prefill_ms(const struct svc *s, double tokens);

/* The time of an endpoint without events to its answer, ms. */
double svc_answer_ms(const struct svc *s, const struct svc_state *at);

/*
 * Requests that may run at once on an endpoint: by its slots, and by the
 * longest pause between events that callers take for on time (0: none).
 */
double svc_max_running(const struct svc *s, double slots, double pause_ms);

/* The time to read a thousand tokens, as several entries learned it. */
struct svc_slope {
	double sum, weight;
};

/* Adds what one entry learned from `samples` answers. */
void svc_slope_add(struct svc_slope *s, double read_ms, double samples);

/* The mean, ms; 0: nobody has learned anything. */
double svc_slope_mean(const struct svc_slope *s);

/* The load of a service, over all entries. */
struct svc_load {
	double prefill_tokens_per_s; /* tokens to be read a second */
	double running;		     /* requests that run at once */
	double endpoints;	     /* that it is spread over */
	double prefill_ms; /* a thousand tokens, by all entries; 0: not told */
};

/*
 * Endpoints that a load keeps busy, with `fit` requests (svc_max_running) on
 * each at once.
 *
 * The slope of the first event by tokens is the time that one more token
 * takes beside all that is being read: what an endpoint can read in all is
 * what it reads now and, beyond that, the slope's inverse. Taking the slope
 * alone would find endpoints the slower the more they have to do.
 */
double svc_busy_endpoints(const struct svc *s, const struct svc_load *l,
			  double fit);

/* ---- Learning ---- */

/* A request was sent of which so many tokens are to be read. */
void svc_on_sent(struct svc *s, double tokens_to_prefill, int64_t now_ms);

/* What is to be read of our own requests, tokens a second. */
double svc_prefill_tokens_per_s(const struct svc *s, int64_t now_ms);

/*
 * The first event came `took_ms` after the request was sent to an endpoint
 * that was as `at` says. `sure`: what had to be read was known.
 */
void svc_on_ttft(struct svc *s, const struct svc_state *at, double took_ms,
		 bool sure);

/* A stream's events came so far apart, on average. */
void svc_on_itl(struct svc *s, double running, double between_ms);

/* A run ended well, so long after it was sent to such an endpoint. */
void svc_on_run_end(struct svc *s, const struct svc_state *at, double took_ms);

/*
 * True if a belief moved by a quarter since this last said so: worth a line
 * in the log.
 */
bool svc_should_log(struct svc *s);

/* ---- Telling others ---- */

/* What was learned, as told to an entry that has just started. */
struct svc_snapshot {
	uint64_t service;    /* hash of its name */
	double ttft_samples; /* of the first event; 0: nothing learned */
	double ttft[SVC_TTFT_COEFS];
	double ttft_error;
	double itl_samples;
	double itl[SVC_ITL_COEFS];
	double itl_error;
	double run_ms, run_samples;
};

void svc_export(const struct svc *s, struct svc_snapshot *out);

/* Takes over what rests on more answers than our own. */
void svc_adopt(struct svc *s, const struct svc_snapshot *told);

#endif
