/*
 * admit: admission control. Decides whether a request is admitted, queued or
 * refused. Pure.
 *
 * Checks in this order: is the entry draining, partitioned or at its maximum in
 * flight; is there an endpoint; can the deadline be met; has the account a
 * share left; is there room at an endpoint, or else in the queue. A refusal is
 * returned at once, guarantees that the request was not run, and says when to
 * retry.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum admit_verdict {
	ADMIT_GO,   /* run now */
	ADMIT_WAIT, /* queue */
	ADMIT_REFUSE
};

enum admit_reason {
	ADMIT_OK,
	ADMIT_DRAINING,	   /* this entry is shutting down; use another */
	ADMIT_CUT_OFF,	   /* partitioned from all others for too long */
	ADMIT_TOO_MANY,	   /* the entry's or account's maximum in flight */
	ADMIT_OVER_LIMIT,  /* the account's limit of tokens per second */
	ADMIT_TOO_LATE,	   /* the first token would come after the deadline */
	ADMIT_NO_ENDPOINT, /* no endpoint runs the model now */
	ADMIT_QUEUE_FULL,
};

/* The inputs of the decision. */
struct admit_facts {
	bool draining;
	bool cut_off; /* partitioned from all other entries */
	size_t in_flight;
	size_t max_in_flight;
	size_t account_in_flight;
	size_t account_max_in_flight;
	bool share_ok;		/* the account's share has room */
	int64_t share_retry_ms; /* time until it has, otherwise */
	bool has_endpoint;
	bool has_room;	     /* at an endpoint */
	double predicted_ms; /* time to first token, best endpoint */
	double queue_wait_ms;
	size_t queued;
	size_t max_queued;
	int64_t wait_limit_ms; /* maximum time to first token */
};

struct admit_result {
	enum admit_verdict verdict;
	enum admit_reason reason;
	int64_t retry_after_ms; /* if refused */
	int http_status;	/* if refused: 429 or 503 */
};

/* Decides on one request, by the checks above in their order. */
struct admit_result admit_decide(const struct admit_facts *f);

/* The name of a reason in responses and logs; a static string. */
const char *admit_reason_name(enum admit_reason r);

/*
 * Retry budget of an account: a bucket to which each request adds a tenth of a
 * retry. Without it, a fault would multiply the load.
 */
struct retry_budget {
	double level; /* retries available */
};

/* Starts with a full budget. */
void retry_budget_init(struct retry_budget *b);

/* To be called for each request. */
void retry_budget_earn(struct retry_budget *b);

/* Takes a retry from the budget; false if there is none. */
bool retry_budget_spend(struct retry_budget *b);

#endif
