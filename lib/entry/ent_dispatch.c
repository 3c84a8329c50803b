/*
 * The dispatch thread: runs commands that are due, dispatches queued requests,
 * polls endpoints for their load and checks deadlines.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

/* Interval between calls of ent_poll_model() for a model. */
#define POLL_INTERVAL_MS 250
/* Maximum wait for a command, and so the interval of the dispatch loop. */
#define TICK_MS 20

/* ---- The dispatch thread ---- */

void ent_send_command(struct entry *en, enum ent_command_kind kind,
		      struct ent_req *rq, uint64_t instance, int64_t at_ms,
		      int64_t end_ms)
{
	struct ent_command *c = mem_new(sizeof(*c));

	c->kind = kind;
	c->rq = rq;
	c->instance = instance;
	c->at_ms = at_ms;
	c->end_ms = end_ms;
	if (rq)
		ent_req_get(rq);
	if (ring_push(en->commands, c))
		return;
	/*
	 * A lost wake-up does no harm: the thread checks the wait queues every
	 * TICK_MS anyway. A request whose route command is lost is ended at its
	 * deadline by the sweep over open requests.
	 */
	if (kind != ENT_CMD_WAKE)
		ent_alarm(en, "dispatch-ring-full", rq ? rq->key : "rescue");
	if (rq)
		ent_req_put(rq);
	free(c);
}

static void run_command(struct entry *en, struct ent_command *c)
{
	if (c->kind == ENT_CMD_ROUTE) {
		pthread_mutex_lock(&c->rq->lock);
		ent_route_and_call(c->rq);
		pthread_mutex_unlock(&c->rq->lock);
		ent_req_put(c->rq);
	} else if (c->kind == ENT_CMD_RESCUE) {
		ent_rescue(en, c->instance, c->end_ms);
	}
	free(c);
}

static void run_due_commands(struct entry *en, struct cds_list_head *waiting)
{
	const int64_t now = ent_now(en);
	struct ent_command *c, *tmp;

	cds_list_for_each_entry_safe(c, tmp, waiting, node) {
		if (now < c->at_ms)
			continue;
		cds_list_del(&c->node);
		run_command(en, c);
	}
}

static void for_each_model(struct entry *en,
			   void (*fn)(struct entry *en, struct ent_model *m))
{
	MEM_AUTO struct ent_model **all = NULL;
	struct ent_model *m;
	size_t n = 0, i = 0;

	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(m, &en->models, node)
		n++;
	all = mem_new(n * sizeof(*all));
	cds_list_for_each_entry(m, &en->models, node)
		all[i++] = m;
	pthread_mutex_unlock(&en->list_lock);
	/* Models are never freed before the process ends. */
	for (i = 0; i < n; i++)
		fn(en, all[i]);
}

static void count_queued(struct entry *en, struct ent_model *m)
{
	size_t n;

	pthread_mutex_lock(&m->lock);
	n = wfq_count(m->queue);
	pthread_mutex_unlock(&m->lock);
	met_add(en->m.queued, (long long)n);
}

static void check_deadline(struct ent_req *rq, void *arg)
{
	struct entry *en = arg;

	pthread_mutex_lock(&rq->lock);
	if (rq->role == ENT_OWNER && !rq->plain && rq->mod)
		ent_do_action(rq, flow_tick(&rq->flow, ent_now(en)));
	pthread_mutex_unlock(&rq->lock);
}

void *ent_dispatch_run(void *arg)
{
	struct entry *en = arg;
	struct cds_list_head waiting;
	struct ent_command *c, *tmp;
	int64_t last_poll_ms = 0, last_sweep_ms = 0;

	CDS_INIT_LIST_HEAD(&waiting);
	while (!atomic_load(&en->stopping)) {
		int64_t now;

		c = ring_pop(en->commands, TICK_MS);
		for (; c; c = ring_pop(en->commands, 0))
			cds_list_add_tail(&c->node, &waiting);
		run_due_commands(en, &waiting);
		for_each_model(en, ent_dispatch_queue);
		now = ent_now(en);
		if (now - last_poll_ms >= POLL_INTERVAL_MS) {
			last_poll_ms = now;
			for_each_model(en, ent_poll_model);
		}
		if (now - last_sweep_ms >= 1000) {
			last_sweep_ms = now;
			ent_req_each_open(en, check_deadline, en);
			met_set(en->m.queued, 0);
			for_each_model(en, count_queued);
		}
	}
	cds_list_for_each_entry_safe(c, tmp, &waiting, node) {
		if (c->rq)
			ent_req_put(c->rq);
		free(c);
	}
	return NULL;
}
