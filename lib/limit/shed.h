/*
 * shd (shed): admission control and load shedding for one service at one entry.
 *
 * Without it, requests beyond the capacity queue at the endpoints until all of
 * them are late, those of the most urgent routes as well. So the queueing delay
 * at the endpoint that was picked is bounded by a share of the smallest
 * objective among the routes that are as urgent or more. The share falls with
 * the rank: the least urgent requests are stopped first, and shedding ends as
 * soon as the queue is short again. There is no estimate of the capacity.
 *
 * While the endpoint has a free slot, every request is sent.
 *
 * Pure: no I/O, the clock is passed in. Not thread-safe. The size of the state
 * does not depend on the number of endpoints, entries or accounts.
 */
#ifndef SHED_H
#define SHED_H

#include <stdbool.h>
#include <stdint.h>

/* Ranks that are told apart: 0 is the most urgent; higher ones share the last. */
#define SHD_RANKS 5

/* Accounts that are told apart; further ones share one more row. */
#define SHD_ACCOUNTS 64

/* Classes of sizes: up to 1,000, 4,000, 16,000 tokens, and above. */
#define SHD_SIZES 4

/* A waiting request is decided on again after this long at the latest. */
#define SHD_WAIT_STEP_MS 40

/* Recent requests, with exponential decay. */
struct shd_counts {
	double arrived, admitted;
};

struct shd_account {
	uint64_t hash; /* 0: the row is not in use */
	struct shd_counts counts;
	double asked, taken; /* recent tokens: of arrivals, of admissions */
	double usual;	     /* mean of `asked` over about a minute */
	int64_t first_ms;    /* first arrival */
	/* The longest time left at an arrival of each rank, about. */
	double longest_ms[SHD_RANKS];
};

/* The state for one service. All zero: no requests so far. */
struct shd {
	int64_t at_ms; /* time as of which the sums are decayed */
	struct shd_counts ranks[SHD_RANKS];
	struct shd_counts sizes[SHD_SIZES];
	struct shd_counts late; /* requests whose objective has passed */
	struct shd_account accounts[SHD_ACCOUNTS + 1]; /* last: shared */
	/* Tokens rejected by rank that are expected to be sent again. */
	double returning[SHD_RANKS];
};

/* What a request has in the module. All zero before its first decision. */
struct shd_entry {
	bool counted; /* as an arrival */
	bool demoted; /* the account takes more than its fair share */
	bool late;    /* its objective has passed */
	unsigned rank, size, account;
	double tokens;
};

/* A request and the endpoint that was picked for it. */
struct shd_request {
	double wait_ms;	 /* predicted time to the first event or the answer */
	double queue_ms; /* its part that is due to other requests */
	bool free_slot;	 /* the endpoint has one */
	bool can_wait;	 /* the entry can hold one more request */
	double left_ms;	 /* until the deadline */
	double objective_ms; /* of the route */
	double held_ms;	     /* since the arrival at this entry */
	/* The smallest objective of the routes of each rank or a lower one. */
	double least_objective_ms[SHD_RANKS];
	unsigned rank;
	double tokens;	  /* of prompt and answer; 0: unknown */
	uint64_t account; /* hash of its name; 0: none */
	uint64_t hash;	  /* of the attempt */
};

enum shd_step {
	SHD_SEND,
	SHD_WAIT,
	SHD_REJECT
};

enum shd_reason {
	SHD_FREE_SLOT, /* sent: the endpoint has a free slot */
	SHD_IN_BOUND,  /* sent: the queueing delay is within the bound */
	SHD_MIN_SHARE, /* sent: few of its rank, account or size were */
	SHD_CONGESTED, /* waits or rejected: the delay is beyond the bound */
	SHD_NO_TIME,   /* rejected: cannot begin before its deadline */
};

struct shd_decision {
	enum shd_step step;
	enum shd_reason reason;
	int64_t ms;	 /* SHD_WAIT: to the next decision; SHD_REJECT:
			    Retry-After */
	double bound_ms; /* on the queueing delay */
};

/*
 * Decides on the request. `e` is kept by the caller with the request: at the
 * first decision the request is counted as an arrival, and not at those after a
 * wait. A decision has no effect on others until shd_commit() is called.
 */
struct shd_decision shd_decide(struct shd *s, const struct shd_request *q,
			       struct shd_entry *e, int64_t now_ms);

/* The request is handled as `d` says. */
void shd_commit(struct shd *s, const struct shd_entry *e,
		const struct shd_decision *d, int64_t now_ms);

#endif
