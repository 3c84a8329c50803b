/*
 * pick: which endpoint gets a request.
 *
 * Each usable endpoint is given a cost in milliseconds: the time until the
 * first event as predicted from what is running and waiting there, the part
 * of the prompt that it would have to read anew, and what failures there
 * have cost lately. The lowest cost wins. With many sending peers, only the
 * endpoints that may hold the prompt's shared part and a random sample are
 * considered.
 *
 * Which endpoint holds a shared part of a prompt follows from rendezvous
 * hashing of that part: all entries expect it at the same place without a
 * word between them, and spill along the same order under load.
 */
#ifndef PICK_H
#define PICK_H

#include <stdint.h>

#include "fleet/flt.h"
#include "model/svc.h"
#include "route/parts.h"

#define PICK_MAX_EXCLUDED 8

struct pick_query {
	const char *service;
	const struct svc *model; /* what its answers showed */
	const char *zone;	 /* of this entry */
	bool engine;		 /* batches, caches prompts */
	uint64_t prefix;	 /* hash of the shared part; 0: none */
	double shared_tokens;	 /* of the prompt, that others may have read */
	double unshared_tokens;	 /* of the prompt, that nobody has read */
	int64_t now_ms;
	const struct flt_endpoint *excluded[PICK_MAX_EXCLUDED];
	unsigned nr_excluded;
	bool ignore_failures;
	uint64_t sample_seed;	/* differs for each send; 0 disables sampling */
	unsigned sending_peers; /* other entries that send requests */
	bool isolate; /* it may end the endpoint: away from other requests */
	enum flt_use use;    /* endpoints that may be picked */
	struct parts *parts; /* where shared parts were sent lately */
};

struct pick_result {
	struct flt_endpoint *endpoint; /* NULL: none is usable */
	struct svc_state state; /* the endpoint, and what it has to read */
	double cost_ms;
	double wait_ms;	    /* predicted time to the first event or answer */
	bool cached;	    /* the shared part is expected there */
	bool cache_certain; /* and was sent there lately, or there is none */
	unsigned candidates;
};

struct pick_result pick_endpoint(struct flt *f, const struct pick_query *q);

#endif
