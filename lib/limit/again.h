/*
 * again: the budget for sending requests a second time, held in sum over all
 * entries: a part of the requests, and each entry's part of a fixed slack.
 *
 * Without it a service that fails half of its requests would get one and a
 * half times the load just when it can bear it least.
 */
#ifndef AGAIN_H
#define AGAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decay.h"

struct again_limits {
	double ratio; /* repeats for each request */
	double slack; /* repeats in a window beyond that, over all entries */
	int64_t window_ms;
};

struct again {
	double level;
	struct decay_sum requests; /* of about the last window */
	int64_t at_ms;
	bool started;
};

/* A request for the service came; `entries` share the slack. */
void again_earn(struct again *b, const struct again_limits *l, unsigned entries,
		int64_t now_ms);

/* True if a repeat could be sent now. */
bool again_has(struct again *b, const struct again_limits *l, unsigned entries,
	       int64_t now_ms);

/* True if a repeat may be sent; it is then counted. */
bool again_spend(struct again *b, const struct again_limits *l,
		 unsigned entries, int64_t now_ms);

/* A repeat that was counted did not reach an endpoint. */
void again_return(struct again *b);

#endif
