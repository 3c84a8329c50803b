/*
 * rq: one attempt of a caller: what may be sent again, and which answer is
 * true.
 *
 * The attempt reaches one entry only, so "at most once" is decided here and
 * nowhere else. Events go in, the next step comes out; no I/O, no clock.
 *
 * What goes wrong without it: a call that may not be repeated runs twice
 * (the caller sees a doubled transfer), or a caller is told that a request
 * was not run, sends it again, and it had run.
 */
#ifndef RQ_H
#define RQ_H

#include <stdbool.h>

#include "config/cfg.h"

/*
 * Endpoints may refuse truthfully any number of times; so often we ask. Each
 * refusal costs a round trip and counts against the retry budget.
 */
#define RQ_MAX_REFUSALS 3

/*
 * A connection that is not established costs the endpoints nothing: when
 * several have ended the next one is tried until one that lives is found.
 */
#define RQ_MAX_UNREACHED 8

enum rq_step {
	RQ_SEND,    /* send to an endpoint, from the beginning */
	RQ_RESUME,  /* send to an endpoint, after the last event passed on */
	RQ_PASS,    /* give the endpoint's answer to the caller */
	RQ_NOT_RUN, /* tell: not run, and never will be */
	RQ_BAD_GATEWAY, /* tell: no answer came, it may have run */
	RQ_TIMED_OUT,	/* tell: out of time, it may have run */
	RQ_CUT,		/* close the connection: the answer stays incomplete */
	RQ_DROP,	/* nobody waits: stop */
};

struct rq {
	enum cfg_kind kind;
	bool resumable;
	int max_endpoints;
	int runs;      /* sends that ran or may have run */
	int refusals;  /* sends that were truthfully not run */
	int unreached; /* sends for which there was no connection */
	bool sending;  /* a send is under way; it may run any moment */
	bool started;  /* part of an answer went to the caller */
	bool at_copy;  /* the send under way goes on from a copy of the run */
	bool over;
};

void rq_init(struct rq *r, const struct cfg_route *route);

/* A send begins. The one before it must have ended. */
void rq_sent(struct rq *r);

/* The first part of an answer goes to the caller. */
void rq_started(struct rq *r);

/*
 * The send was not run, beyond doubt. `again`: there is time, budget and an
 * endpoint for another one.
 */
enum rq_step rq_refused(struct rq *r, bool again);

/* There was no connection, so nothing reached the endpoint. */
enum rq_step rq_unreached(struct rq *r, bool again);

/* The send broke off after bytes had left: it may have run. */
enum rq_step rq_lost(struct rq *r, bool again);

/*
 * The run was stopped and its memory copied: the request may be sent to the
 * copy, whatever its kind, and is the same run there.
 */
void rq_moved(struct rq *r);

/*
 * The endpoint ran it and answered; `good`: with success. To a stream that has
 * started only the rest of it is one: after anything else it is resumed or cut.
 */
enum rq_step rq_answered(struct rq *r, bool good, bool again);

/* No endpoint can be asked (any more). */
enum rq_step rq_no_endpoint(struct rq *r);

/* The deadline, or the route's time-out, is reached. */
enum rq_step rq_timed_out(struct rq *r);

/* The caller left. */
enum rq_step rq_caller_gone(struct rq *r);

#endif
