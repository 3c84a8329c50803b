/*
 * again: the retry budget of a service, which holds in sum over all entries: a
 * fraction of the requests, plus each entry's part of a fixed slack.
 *
 * Without it a service that fails half of its requests would get 1.5 times the
 * load when it is least able to handle it.
 */
#ifndef AGAIN_H
#define AGAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/decay.h"

struct again_limits {
	double ratio; /* retries per request */
	double slack; /* further retries per window, over all entries */
	int64_t window_ms;
};

struct again {
	double level;		   /* retries available */
	struct decay_sum requests; /* about the number in the last window */
	int64_t at_ms;
	bool started;
};

/*
 * Counts a request for the service, which adds to the budget. `entries`: the
 * number of entries that share the slack.
 */
void again_earn(struct again *b, const struct again_limits *l, unsigned entries,
		int64_t now_ms);

/* True if a retry could be sent now. */
bool again_available(struct again *b, const struct again_limits *l,
		     unsigned entries, int64_t now_ms);

/* Takes a retry from the budget; false if there is none. */
bool again_spend(struct again *b, const struct again_limits *l,
		 unsigned entries, int64_t now_ms);

/* Puts back a retry that was taken but reached no endpoint. */
void again_refund(struct again *b);

#endif
