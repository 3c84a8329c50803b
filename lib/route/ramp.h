/*
 * rmp (ramp): slow start of endpoints. An endpoint that has just started has no
 * load and so appears to be the best choice to each entry at once. Load reports
 * of other entries are up to 0.6 s old: by the time they show the load, it has
 * got twenty requests, and prefills the same shared prompts for each of them.
 *
 * While it is new, each entry has a bounded number of requests in flight there.
 * The bound begins with one or two, and with one at some of the entries only if
 * there are more entries than slots. It doubles each time that as many requests
 * have been answered, and the number of entries that begin with one doubles each
 * second. With few entries that send there is no bound: their reports cover the
 * load.
 *
 * Pure functions: no I/O, the clock is passed in. Times in ms.
 */
#ifndef RAMP_H
#define RAMP_H

#include <limits.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Endpoints count as new for this long: by then their load is known, and some
 * answers have come even if each takes seconds.
 */
#define RMP_NEW_MS 5000

/* There is no bound if fewer entries send. */
#define RMP_MIN_SENDERS 10

#define RMP_UNBOUNDED UINT_MAX

struct rmp_start {
	int64_t first_seen_ms; /* by this entry, monotonic */
	int64_t started_ms;    /* Unix time; 0: unknown */
};

/*
 * Returns the endpoint's age. An entry that has just started sees all endpoints
 * for the first time: one that states a start long ago is not new. `true_now`:
 * Unix time; 0: unknown.
 */
int64_t rmp_age(const struct rmp_start *s, int64_t now, int64_t true_now);

struct rmp_input {
	int64_t age_ms;
	unsigned answers; /* good ones to this entry */
	unsigned senders; /* entries that send requests, with this one */
	int slots;	  /* 0: unknown */
	double draw;	  /* 0 to 1, random by entry and endpoint */
};

/*
 * Returns the number of requests that this entry may have in flight at the
 * endpoint, or RMP_UNBOUNDED.
 */
unsigned rmp_bound(const struct rmp_input *in);

#endif
