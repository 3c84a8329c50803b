#include "limit/wfq.h"

#include <assert.h>
#include <stdlib.h>

#include "base/buf.h"

/* Maximum number of accounts; a configuration has at most 32. */
#define MAX_FLOWS 64

/* The items of one client account. */
struct flow {
	uint64_t id;
	double finish; /* virtual finish time of the last item */
	struct cds_list_head items;
	size_t count;
	double backlog; /* cost queued */
	double weight;	/* of the last item */
};

struct wfq {
	enum wfq_policy policy;
	size_t max;
	size_t count;
	double backlog;
	double vtime; /* virtual time */
	uint64_t next_seq;
	struct flow flows[MAX_FLOWS];
	size_t nr_flows;
};

struct wfq *wfq_create(enum wfq_policy policy, size_t max)
{
	struct wfq *q = mem_new(sizeof(*q));

	q->policy = policy;
	q->max = max;
	return q;
}

void wfq_free(struct wfq *q)
{
	free(q);
}

/*
 * Returns the flow, made if there is none; NULL if there is no room. An empty
 * flow whose finish time has passed has no debt, so its slot is reused.
 */
static struct flow *flow_for(struct wfq *q, uint64_t id)
{
	struct flow *idle = NULL;
	size_t i;

	for (i = 0; i < q->nr_flows; i++) {
		struct flow *f = &q->flows[i];

		if (f->id == id)
			return f;
		if (!f->count && f->finish <= q->vtime)
			idle = f;
	}
	if (!idle && q->nr_flows < MAX_FLOWS)
		idle = &q->flows[q->nr_flows++];
	if (!idle)
		return NULL;
	idle->id = id;
	idle->finish = 0;
	idle->count = 0;
	idle->backlog = 0;
	CDS_INIT_LIST_HEAD(&idle->items);
	return idle;
}

bool wfq_push(struct wfq *q, struct wfq_item *it)
{
	struct flow *f;
	double start;

	if (q->count >= q->max)
		return false;
	f = flow_for(q, it->flow);
	if (!f)
		return false;
	start = f->finish > q->vtime ? f->finish : q->vtime;
	it->finish = start + it->cost / (it->weight > 0 ? it->weight : 1.0);
	it->seq = q->next_seq++;
	f->finish = it->finish;
	f->count++;
	f->backlog += it->cost;
	f->weight = it->weight > 0 ? it->weight : 1.0;
	cds_list_add_tail(&it->node, &f->items);
	q->count++;
	q->backlog += it->cost;
	return true;
}

static bool goes_before(const struct wfq *q, const struct wfq_item *a,
			const struct wfq_item *b)
{
	if (q->policy == WFQ_STRICT && a->batch != b->batch)
		return b->batch;
	if (q->policy != WFQ_FAIR)
		return a->seq < b->seq;
	if (a->finish != b->finish)
		return a->finish < b->finish;
	return a->seq < b->seq;
}

static void take_out(struct wfq *q, struct flow *f, struct wfq_item *it)
{
	cds_list_del(&it->node);
	f->count--;
	f->backlog = f->count ? f->backlog - it->cost : 0;
	q->count--;
	q->backlog -= it->cost;
	if (!q->count)
		q->backlog = 0;
}

struct wfq_item *wfq_pop(struct wfq *q)
{
	struct flow *best_flow = NULL;
	struct wfq_item *best = NULL;
	size_t i;

	for (i = 0; i < q->nr_flows; i++) {
		struct flow *f = &q->flows[i];
		struct wfq_item *head;

		if (!f->count)
			continue;
		head = cds_list_first_entry(&f->items, struct wfq_item, node);
		if (!best || goes_before(q, head, best)) {
			best = head;
			best_flow = f;
		}
	}
	if (!best)
		return NULL;
	take_out(q, best_flow, best);
	if (best->finish > q->vtime)
		q->vtime = best->finish;
	return best;
}

void wfq_remove(struct wfq *q, struct wfq_item *it)
{
	struct flow *f = flow_for(q, it->flow);

	assert(f && f->count);
	/* Refund the virtual time: the account did not use it. */
	f->finish -= it->cost / (it->weight > 0 ? it->weight : 1.0);
	take_out(q, f, it);
}

struct wfq_item *wfq_expired(struct wfq *q, int64_t now_ms)
{
	struct wfq_item *it;
	size_t i;

	for (i = 0; i < q->nr_flows; i++) {
		struct flow *f = &q->flows[i];

		if (!f->count)
			continue;
		cds_list_for_each_entry(it, &f->items, node) {
			if (it->give_up_ms > now_ms)
				continue;
			wfq_remove(q, it);
			return it;
		}
	}
	return NULL;
}

size_t wfq_count(const struct wfq *q)
{
	return q->count;
}

double wfq_backlog(const struct wfq *q)
{
	return q->backlog;
}

/*
 * When the new item is served, each flow has been served up to the item's
 * virtual finish time, as far as it has work. This takes a sum over flows,
 * independent of the number of items.
 */
double wfq_ahead(const struct wfq *q, uint64_t flow, double weight, double cost)
{
	double start = q->vtime, finish, sum = 0;
	size_t i;

	if (q->policy != WFQ_FAIR)
		return q->backlog;
	for (i = 0; i < q->nr_flows; i++) {
		if (q->flows[i].id == flow && q->flows[i].finish > start)
			start = q->flows[i].finish;
	}
	finish = start + cost / (weight > 0 ? weight : 1.0);
	for (i = 0; i < q->nr_flows; i++) {
		const struct flow *f = &q->flows[i];
		const double due = (finish - q->vtime) * f->weight;

		if (f->count)
			sum += f->id == flow || due > f->backlog ? f->backlog
								 : due;
	}
	return sum;
}
