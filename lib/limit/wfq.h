/*
 * wfq (weighted fair queuing): the queue of one model's requests that wait for
 * room. Pure.
 *
 * Fair by cost in tokens, as in the paper the design follows:
 * finish = max(flow_finish, virtual_time) + cost / weight, smallest first. A
 * flow is a client account, so that no account gains from more keys or
 * connections. FIFO and strict priority are alternatives, to compare it with
 * (see docs/design/limits.md). The length is bounded; items past their deadline
 * are returned by wfq_expired() at once, not only once they reach the head.
 */
#ifndef WFQ_H
#define WFQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

enum wfq_policy {
	WFQ_FAIR,
	WFQ_FIFO,
	WFQ_STRICT /* batch items last, FIFO otherwise */
};

struct wfq_item {
	struct cds_list_head node;
	uint64_t flow;	    /* id of the client account */
	double weight;	    /* 0 or less counts as 1 */
	double cost;	    /* tokens */
	bool batch;	    /* WFQ_STRICT serves others first */
	int64_t give_up_ms; /* when it expires */
	double finish;	    /* set by the queue */
	uint64_t seq;	    /* set by the queue */
};

struct wfq;

/*
 * `max`: maximum number of items. To be freed with wfq_free(), which leaves the
 * items to their owner.
 */
struct wfq *wfq_create(enum wfq_policy policy, size_t max);
void wfq_free(struct wfq *q);

/*
 * Queues `it`, which stays owned by the caller and must stay valid while it is
 * queued. Returns false if the queue is full or has too many accounts.
 */
bool wfq_push(struct wfq *q, struct wfq_item *it);

/* Removes and returns the next item to serve; NULL if empty. */
struct wfq_item *wfq_pop(struct wfq *q);

/* Removes and returns an item that has expired; NULL if there is none. */
struct wfq_item *wfq_expired(struct wfq *q, int64_t now_ms);

/* Removes an item (its client is gone). */
void wfq_remove(struct wfq *q, struct wfq_item *it);

size_t wfq_count(const struct wfq *q);

/* Total cost of the queued items. */
double wfq_backlog(const struct wfq *q);

/* Estimates the cost to be served before a new item of `flow`. */
double wfq_ahead(const struct wfq *q, uint64_t flow, double weight,
		 double cost);

#endif
