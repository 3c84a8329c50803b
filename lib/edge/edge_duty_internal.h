/*
 * What the duties' parts share: one call to the platform at a time, the
 * report in work, the orders of this holder.
 */
#ifndef EDGE_DUTY_INTERNAL_H
#define EDGE_DUTY_INTERNAL_H

#include "edge/edge_internal.h"

/* A call to the platform, within the time that a successor leaves for it. */
#define EDGE_DUTY_CALL_MS 600
#define EDGE_DUTY_RETRY_MS 300

enum edge_report_state {
	REPORT_IDLE,
	REPORT_WRITING, /* the report is written to the store */
	REPORT_SENDING, /* and sent as written */
};

struct edge_scale_order {
	char service[FLT_NAME];
	char zone[FLT_NAME];
	bool reclaimable;
	int accepted_number; /* last order_in_flight that was accepted; -1: none */
	int64_t accepted_ms;
	int64_t retry_after_ms;
};

/* What the plan of one service carries from look to look. */
struct edge_plan {
	char service[FLT_NAME];
	struct scale_need need;
	double firm_held; /* of those that stay, see scale_ease */
	int64_t firm_held_ms;
};

struct edge_duty {
	struct edge *en;
	struct htc_peer cloud;
	bool call_in_flight; /* one call to the platform at a time */

	enum edge_report_state report_state;
	int64_t report_window; /* of the report in work */
	struct buf report_counts;
	int64_t next_window; /* the next to report; 0: not known */
	int64_t next_attempt_ms;

	struct edge_scale_order *orders;
	size_t nr_orders;
	bool call_is_order; /* the call under way is an order_in_flight */
	struct edge_scale_order
		*order_in_flight; /* which; NULL: forgotten meanwhile */
	int ordered_number;
	struct edge_plan *plans; /* a row a service */
	size_t nr_plans;
	bool plan_write_in_flight;
	int64_t plan_written_ms;
	int status;
};

/* ---- edge_duty.c ---- */

/* True if a call of a duty may be sent now. */
bool edge_duty_may_act(const struct edge *en);

/* Sends at once: what holds now may not hold a moment later. */
bool edge_duty_call(struct edge_duty *d, struct buf *wire);

/* Holder and fence of a call. */
struct wire_duty edge_duty_wire(const struct edge *en);

/* ---- edge_scale.c ---- */

void edge_scale_tick(struct edge_duty *d, int64_t now);

/* The order_in_flight under way ended with this status; 0: no answer. */
void edge_scale_order_ended(struct edge_duty *d, int status);

/* A new holder orders what is wanted, whatever was ordered before. */
void edge_scale_reset(struct edge_duty *d);

/* The same for one service, after its endpoints were replaced. */
void edge_scale_reset_orders(struct edge_duty *d, const char *service);

/* Number of endpoints that a service needs by its plan; 0: not known. */
double edge_scale_need(const struct edge_duty *d, const char *service);

#endif
