/*
 * pick: chooses the endpoint for a request.
 *
 * Each usable endpoint has a cost in ms: the predicted time to the first event,
 * given the requests that run and wait there, plus penalties for prompt tokens
 * that it has to prefill although another endpoint has them cached, and for its
 * recent failures. The time is scaled by the endpoint's time factor (speed.h),
 * and prompts that delay running streams for too long cost more at endpoints
 * that are slow or have shown such pauses. The endpoint with the lowest cost is
 * chosen. If many peers
 * send requests, only endpoints that may have the prompt's shared part cached
 * and a random sample are considered.
 *
 * An endpoint that has just started and has its bound of requests (ramp.h) is
 * chosen only if no other one can take the request.
 *
 * The first choice for a shared part is determined by rendezvous hashing. All
 * entries agree on it without communication, and under load they go on to other
 * endpoints in the same order.
 */
#ifndef PICK_H
#define PICK_H

#include <stdint.h>

#include "fleet/flt.h"
#include "model/svc.h"
#include "route/parts.h"

#define PICK_MAX_EXCLUDED 8

/* Describes the request. Pointers are borrowed for the call. */
struct pick_query {
	const char *service;
	const struct svc *model; /* learned latency model of the service */
	const char *zone;	 /* of this entry */
	bool engine;		 /* model engine: batches, caches prompts */
	uint64_t prefix;	 /* hash of the shared part; 0: none */
	double shared_tokens;	 /* of the shared part */
	double unshared_tokens;	 /* of the rest, cached nowhere */
	int64_t now_ms;
	const struct flt_endpoint *excluded[PICK_MAX_EXCLUDED];
	unsigned nr_excluded;
	bool ignore_failures;	/* no penalty for recent failures */
	uint64_t sample_seed;	/* differs for each send; 0 disables sampling */
	unsigned sending_peers; /* other entries that send requests */
	bool stream;		/* may have to be continued at its version */
	bool isolate;		/* may crash its endpoint: avoid busy ones */
	bool slow_start;	/* prefer others to new endpoints (ramp.h) */
	uint64_t entry;		/* this one, for slow start */
	int64_t true_ms;	/* Unix time, for slow start; 0: unknown */
	bool speeds;		/* consider what is known of endpoints' speed */
	double pause_ms;     /* shortest pause bound of the service; 0: none */
	enum flt_use use;    /* endpoints that may be picked, unless `bound` */
	bool bound;	     /* continues a stream: `version` only */
	uint64_t version;    /* that began it, flt_version() */
	struct parts *parts; /* where shared parts were sent; may be NULL */
};

struct pick_result {
	struct flt_endpoint *endpoint; /* NULL: none is usable */
	struct svc_state state; /* assumed load and prefill of the endpoint */
	double cost_ms;
	/*
	 * A slow endpoint that would have been chosen if all had the same speed;
	 * NULL: none.
	 */
	struct flt_endpoint *avoided;
	/* A new one with a lower cost that has its bound of requests. */
	struct flt_endpoint *held;
	double wait_ms;	     /* predicted time to the first event or answer */
	bool cached;	     /* the endpoint may have the shared part cached */
	bool cache_certain;  /* it was sent there recently, or is empty */
	unsigned candidates; /* usable endpoints, sampled or not */
	/*
	 * Endpoints in service, excluded or not, to which nothing may be sent at
	 * the moment (gate.h), those of them that asked for a wait, and the earliest time
	 * at which something may be sent to one of them.
	 */
	unsigned withheld, waiting;
	int64_t open_ms;
};

/*
 * Returns the endpoint with the lowest cost. The result is owned by `f`; take a
 * reference to keep it.
 */
struct pick_result pick_endpoint(struct flt *f, const struct pick_query *q);

#endif
