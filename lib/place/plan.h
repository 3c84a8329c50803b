/*
 * plan: the prefix is the word itself. Decides how many instances of each
 * offer a model should have. No I/O.
 *
 * An offer is a (zone, class, market) combination at a price. The plan is the
 * cheapest mix whose capacity covers the demand; with survive_zone_loss, it
 * covers the demand even after the loss of any one zone. Current instances are
 * priced at a discount (incumbent_discount), so that a price change causes a
 * move only if the saving pays for it; otherwise the plan would flap.
 */
#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLAN_MAX_OFFERS 128 /* offers per model; others get `want` 0 */
#define PLAN_NAME_MAX 48    /* bytes of a name, with the terminating NUL */

/* One offer, its launch backoff and its instance counts. Times are in
 * milliseconds on the clock of the `now_ms` parameters. */
struct plan_offer {
	char zone[PLAN_NAME_MAX];
	char class_name[PLAN_NAME_MAX];
	bool reclaimable;	  /* spot market; else on-demand */
	double price_per_h;	  /* of one instance */
	double capacity;	  /* tokens per second of one replica */
	double reclaims_per_h;	  /* expected, of one instance */
	int64_t blocked_until_ms; /* no launches before this time */
	int64_t backoff_ms;	  /* after the last refused launch; 0: none */

	int64_t have;  /* current instances, without draining ones */
	int64_t ready; /* of these, ready to serve */
	int64_t want;  /* set by plan_solve */
};

struct plan_need {
	double demand; /* tokens per second at the latency target */
	int64_t min_replicas;
	int64_t max_replicas;
	bool survive_zone_loss; /* cover the demand with any one zone lost */
	bool allow_reclaimable;
	double recompute_cost;	   /* of one reclaim, in units of the price */
	double incumbent_discount; /* fraction; 0.15: a move must save 15% */
};

struct plan_result {
	bool feasible;	 /* `want` covers the need */
	double price;	 /* of all wanted instances, per hour */
	double capacity; /* tokens per second of all wanted instances; with
			    survive_zone_loss, without the largest zone */
};

/*
 * Computes the cheapest plan and sets `want` of each of the `nr` offers. If the
 * need cannot be met, returns `feasible` as false and plans as much of the
 * demand as is available, ignoring min_replicas and survive_zone_loss.
 * Aborts if out of memory.
 */
struct plan_result plan_solve(const struct plan_need *need,
			      struct plan_offer *offers, size_t nr,
			      int64_t now_ms);

enum plan_step_kind {
	PLAN_NONE,
	PLAN_LAUNCH,
	PLAN_RETIRE
};

struct plan_step {
	enum plan_step_kind kind;
	size_t offer; /* index of the offer */
};

/*
 * Returns the next single step from `have` towards `want`. Launches come first.
 * A ready instance is retired only if the ready instances without it still
 * cover the need. Returns PLAN_NONE if no step is possible now. Aborts if out
 * of memory.
 */
struct plan_step plan_next(const struct plan_need *need,
			   const struct plan_offer *offers, size_t nr,
			   int64_t now_ms);

/*
 * Records a refused launch: blocks launches of the offer for 5 s, doubled on
 * each further refusal up to 10 minutes.
 */
void plan_launch_refused(struct plan_offer *o, int64_t now_ms);

/* Records a successful launch: clears the backoff. */
void plan_launch_succeeded(struct plan_offer *o);

/* The instance count that plan_capacity sums up. */
enum plan_count {
	PLAN_HAVE,
	PLAN_READY,
	PLAN_WANT
};

/*
 * Returns the capacity in tokens per second of the instances counted by
 * `which`; if `lose_zone`, without the zone that has the most capacity.
 */
double plan_capacity(const struct plan_offer *offers, size_t nr,
		     enum plan_count which, bool lose_zone);

#endif
