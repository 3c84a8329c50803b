/*
 * Declarations shared by the duties of the duty holder: edge_duty.c (usage
 * reports), edge_scale.c (scaling) and edge_rollout_duty.c (roll-outs).
 *
 * The duty holder is the one entry that may report usage to the platform and
 * order endpoints from it. Each call carries its fencing token, by which the
 * platform can reject calls of a former holder.
 */
#ifndef EDGE_DUTY_INTERNAL_H
#define EDGE_DUTY_INTERNAL_H

#include "edge/edge_internal.h"

/*
 * Timeout of a call to the platform. Shorter than LEAD_SETTLE_MS, which a new
 * holder waits before it acts, so that calls of two holders do not overlap.
 */
#define EDGE_DUTY_CALL_MS 600
/* Delay before a failed call or write is retried. */
#define EDGE_DUTY_RETRY_MS 300

/* State of the current usage report. */
enum edge_report_state {
	REPORT_IDLE,
	REPORT_WRITING, /* being written to the store */
	REPORT_SENDING, /* being sent to the platform, as stored */
};

/* The orders for one kind of endpoints of a service in a zone. */
struct edge_scale_order {
	char service[FLT_NAME];
	char zone[FLT_NAME];
	bool reclaimable;	/* spot; false: on-demand */
	int accepted_number;	/* of the last accepted order; -1: none */
	int64_t accepted_ms;	/* when that was */
	int64_t retry_after_ms; /* after a refusal: no order before this time */
};

/* State of a service's scaling plan, kept from one evaluation to the next. */
struct edge_plan {
	char service[FLT_NAME];
	struct scale_need need;
	/* Inputs of the last evaluation, for the log. */
	struct ofd_sum offered; /* all zero: not measured by all entries */
	double load;		/* endpoints that the load keeps busy */
	int usable;		/* endpoints that get new requests */
	/* Lower bound of on-demand endpoints, see scale_limit_drain(). */
	double on_demand_held;
	int64_t on_demand_held_ms; /* when it was last updated */
};

struct edge_duty {
	struct edge *en;
	struct htc_peer cloud; /* connections to the platform */
	bool call_in_flight;   /* at most one call to the platform at a time */

	enum edge_report_state report_state;
	int64_t report_window;	  /* usage window of the current report */
	int64_t report_fence;	  /* when its write was sent */
	struct buf report_counts; /* its encoded counts */
	int64_t next_window;	  /* to be reported next; 0: not yet set */
	int64_t next_attempt_ms;  /* no report is written or sent before */
	int64_t counted_window;	  /* the current one at the last tick */

	struct edge_scale_order *orders;
	size_t nr_orders;
	bool call_is_order; /* the call in flight is an order */
	/* That order; NULL: none, or orders were reset after it was sent. */
	struct edge_scale_order *order_in_flight;
	int ordered_number;	 /* endpoints that it asks for */
	struct edge_plan *plans; /* one per service */
	size_t nr_plans;
	bool plan_write_in_flight;
	int64_t plan_written_ms; /* start of the last write of EDGE_PLAN_KEY */
	int status;		 /* HTTP status of the call; 0: no answer yet */
};

/* ---- edge_duty.c ---- */

/*
 * True if a call of a duty may be sent now: this entry has held the duties for
 * LEAD_SETTLE_MS, its lease is certain to run for LEAD_MARGIN_MS more, and the
 * wait after a restore of the store is over.
 */
bool edge_duty_may_act(const struct edge *en);

/*
 * Starts a call to the platform. `wire`: the whole HTTP request; ownership
 * passes and it is left empty, also on failure. Call it right after
 * edge_duty_may_act, whose result soon expires, and only while no call is in
 * flight. Returns false if no socket could be opened; nothing was sent then.
 */
bool edge_duty_call(struct edge_duty *d, struct buf *wire);

/* This entry's name and fencing token, which each call carries. */
struct wire_duty edge_duty_wire(const struct edge *en);

/* ---- edge_scale.c ---- */

/* Evaluates the plans of all services, and sends at most one order. */
void edge_scale_tick(struct edge_duty *d, int64_t now);

/* The call of the order in flight ended. `status`: HTTP; 0: no answer. */
void edge_scale_order_ended(struct edge_duty *d, int status);

/*
 * Discards all plans and orders. A new holder orders what its plan demands,
 * regardless of what was ordered before.
 */
void edge_scale_reset(struct edge_duty *d);

/*
 * Discards the accepted orders of a service, so that its plan is ordered anew.
 * To be called after its endpoints were replaced by those of another version.
 */
void edge_scale_reset_orders(struct edge_duty *d, const char *service);

/* Number of endpoints that the service needs by its plan; 0: no plan yet. */
double edge_scale_need(const struct edge_duty *d, const char *service);

/* Requests per second that clients offer to the service; 0: not known. */
double edge_scale_offered(const struct edge_duty *d, const char *service);

#endif
