/* What connections hold: its bounds, and what is given up when memory is short. */
#include <stdlib.h>

#include "edge/edge_internal.h"

/* What requests and answers may hold of the memory, in sixteenths. */
#define HELD_PARTS 5

void edge_memory_open(struct edge *en)
{
	struct hsc_server *servers[] = {
		&en->callers,
		&en->peers,
		&en->lookup,
		&en->ready,
	};
	const size_t memory = (size_t)en->conf->limits.memory_mb << 20;
	size_t i;

	mem_init(&en->mem, en->clk, memory / 16 * HELD_PARTS);
	for (i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
		hsc_server_bound(servers[i], &(struct hsc_bounds){ &en->mem });
	}
}

void edge_memory_check_config(struct edge *en, const struct cfg *c)
{
	if ((size_t)c->limits.body_bytes <= en->mem.limit)
		return;
	jlog_begin(en->log, JLOG_WARN, "body_limit_over_memory");
	jlog_int(en->log, "config", c->version);
	jlog_int(en->log, "body_bytes", c->limits.body_bytes);
	jlog_int(en->log, "memory_bytes", (int64_t)en->mem.limit);
	jlog_end(en->log);
}

void edge_memory_set_metrics(struct edge *en)
{
	int i;

	met_set(en->m.held_bytes, (long long)en->mem.bytes);
	met_set(en->m.large_held_bytes, (long long)en->mem.large_bytes);
	for (i = 0; i < MEM_RANKS; i++)
		met_set(en->m.memory_shed[i], (long long)en->mem.shed[i]);
}

void edge_req_hold(struct edge_req *r)
{
	const bool may_run = r->endpoint || r->rq.runs || r->rq.started;
	/* The head is copied for the endpoint. */
	const size_t sent = r->call ? r->conn->parse.msg.text.cap : 0;

	hsc_hold(r->conn, may_run ? MEM_RUNNING : MEM_WAITING,
		 sent + r->answer_head.cap + r->answer_body.cap +
			 r->events.partial.cap);
}

void edge_req_shed(struct hsc *c)
{
	struct edge_req *r = c->request;

	if (r->call && r->answer_body.len > c->body.len) {
		edge_answer_drop(r, EDGE_WHY_NO_MEMORY);
		return;
	}
	if (r->endpoint)
		edge_log_send_ended(r, EDGE_WHY_NO_MEMORY, r->reply.status);
	edge_send_stop(r);
	edge_step(r,
		  r->rq.sending ? rq_lost(&r->rq, false)
				: rq_no_endpoint(&r->rq),
		  EDGE_WHY_NO_MEMORY);
}
