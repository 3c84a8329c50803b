/*
 * plan: how many instances of which offer a model should have. Pure.
 *
 * An offer is (zone, class, market) at a price. The plan is the cheapest mix
 * whose capacity covers the demand even after the loss of any one zone.
 * Offers in use count as a little cheaper than they are, so that a price must
 * move enough to pay for a move; otherwise prices would make the plan flap.
 */
#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLAN_MAX_OFFERS 128
#define PLAN_NAME_MAX 48

struct plan_offer {
	char zone[PLAN_NAME_MAX];
	char class_name[PLAN_NAME_MAX];
	bool reclaimable;
	double price_per_h;
	double capacity;	  /* tokens per second of one replica */
	double reclaims_per_h;	  /* expected, of one instance */
	int64_t blocked_until_ms; /* refused starts back off; ms */
	int64_t backoff_ms;	  /* of the last refusal */

	int64_t have;  /* instances now, leaving ones not counted */
	int64_t ready; /* of these, ready to serve */
	int64_t want;  /* set by plan_solve */
};

struct plan_need {
	double demand; /* tokens per second at the latency target */
	int64_t min_replicas;
	int64_t max_replicas;
	bool survive_zone_loss;
	bool allow_reclaimable;
	double recompute_cost;	   /* price of one reclaim, in price units */
	double incumbent_discount; /* 0.15: a move must save 15% */
};

struct plan_result {
	bool feasible;	 /* demand is covered with a zone lost */
	double price;	 /* per hour of what is wanted */
	double capacity; /* of what is wanted, worst zone lost */
};

/* Fills `want` of each offer. */
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
	size_t offer;
};

/*
 * The next single step towards `want`: launches first; one instance is
 * retired only if what is ready without it still covers the need.
 */
struct plan_step plan_next(const struct plan_need *need,
			   const struct plan_offer *offers, size_t nr,
			   int64_t now_ms);

/* A start was refused: the offer backs off, doubling up to ten minutes. */
void plan_launch_refused(struct plan_offer *o, int64_t now_ms);
void plan_launch_succeeded(struct plan_offer *o);

/* Capacity of `counts` (`have`, `ready` or `want`) with the worst zone lost. */
enum plan_count {
	PLAN_HAVE,
	PLAN_READY,
	PLAN_WANT
};
double plan_capacity(const struct plan_offer *offers, size_t nr,
		     enum plan_count which, bool lose_zone);

#endif
