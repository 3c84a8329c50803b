/*
 * rq (request): the state machine of one client attempt. Decides whether the
 * request may be sent again and which response the client gets.
 *
 * An attempt reaches one entry only, so "at most once" is decided here and
 * nowhere else. Events go in, the next step comes out; no I/O, no clock.
 *
 * Failures this prevents: a request that must not be repeated runs twice (the
 * client sees a doubled transfer), or a request that did run is reported as not
 * run, and the client sends it again.
 */
#ifndef RQ_H
#define RQ_H

#include <stdbool.h>

#include "config/cfg.h"

/*
 * Number of refusals up to which a request is sent again. Each costs a round
 * trip and counts against the retry budget.
 */
#define RQ_MAX_REFUSALS 3

/* The same for a request that can wait only for a place at few endpoints. */
#define RQ_MAX_REFUSALS_BOUND 8

/*
 * Number of failed connections at which a request is given up. A failed
 * connection costs the endpoints nothing, so this is more than RQ_MAX_REFUSALS:
 * a live endpoint is found even if several have crashed.
 */
#define RQ_MAX_UNREACHED 8

enum rq_step {
	RQ_SEND,	/* send to an endpoint, from the beginning */
	RQ_RESUME,	/* send to an endpoint, after the last event relayed */
	RQ_PASS,	/* relay the endpoint's response to the client */
	RQ_NOT_RUN,	/* respond: not run, and never will be */
	RQ_BAD_GATEWAY, /* respond: no answer came, it may have run */
	RQ_TIMED_OUT,	/* respond: out of time, it may have run */
	RQ_CUT,	 /* close the connection: the response stays incomplete */
	RQ_DROP, /* the client is gone: stop */
};

struct rq {
	enum cfg_kind kind;
	bool resumable;
	int max_endpoints; /* on which it may run */
	int runs;	   /* sends that ran or may have run */
	int refusals;	   /* sends known not to have run */
	int unreached;	   /* sends that failed to connect */
	bool sending;	   /* a send is in flight; it may run any moment */
	bool started;	   /* part of a response went to the client */
	bool at_copy; /* the send in flight continues from a copy of the run */
	bool bound;   /* few endpoints can run it */
	bool over;    /* the last step was returned */
};

/* Begins an attempt. Copies what it needs of `route`. */
void rq_init(struct rq *r, const struct cfg_route *route);

/* True if the request may run more than once, or be resumed elsewhere. */
bool rq_is_repeatable(const struct rq *r);

/*
 * The functions below report events; most return the next step. `again`: there
 * is time, retry budget and an endpoint for another send.
 */

/* A send begins. The one before it must have ended. */
void rq_sent(struct rq *r);

/* The first part of a response goes to the client. */
void rq_started(struct rq *r);

/* From now on few endpoints can run the request. */
void rq_bound(struct rq *r);

/* The endpoint refused the send, which therefore did not run. */
enum rq_step rq_refused(struct rq *r, bool again);

/* There was no connection, so nothing reached the endpoint. */
enum rq_step rq_unreached(struct rq *r, bool again);

/* The send broke off after bytes were sent: it may have run. */
enum rq_step rq_lost(struct rq *r, bool again);

/*
 * The run was stopped and its KV cache copied: the next send goes to the copy,
 * whatever the request's kind, and counts as the same run.
 */
void rq_moved(struct rq *r);

/* The send from a copy did not run, and the copy may serve another one. */
void rq_copy_unused(struct rq *r);

/*
 * The endpoint ran the request and responded; `good`: with success. Within a
 * stream that has started, only the rest of the stream is a success; after any
 * other response it is resumed or cut.
 */
enum rq_step rq_answered(struct rq *r, bool good, bool again);

/* There is no endpoint, or none left, to send to. */
enum rq_step rq_no_endpoint(struct rq *r);

/* The deadline or the route's timeout has passed. */
enum rq_step rq_timed_out(struct rq *r);

/* The client closed the connection. */
enum rq_step rq_caller_gone(struct rq *r);

#endif
