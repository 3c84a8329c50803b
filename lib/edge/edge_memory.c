/* What connections hold: its bounds, and what is given up when memory is short. */
#include <stdlib.h>
#include <sys/resource.h>

#include "edge/edge_internal.h"
#include "edge/rsc.h"

/* The settings may allow more than the system. */
static size_t descriptor_limit(const struct edge *en)
{
	const size_t n = (size_t)en->conf->limits.descriptors;
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) || r.rlim_cur >= n)
		return n;
	return (size_t)r.rlim_cur;
}

void edge_memory_open(struct edge *en)
{
	struct hsc_server *servers[RSC_SERVERS] = {
		[RSC_CALLERS] = &en->callers,
		[RSC_PEERS] = &en->peers,
		[RSC_LOOKUP] = &en->lookup,
		[RSC_READY] = &en->ready,
	};
	const struct rsc r = rsc_share((size_t)en->conf->limits.memory_mb << 20,
				       descriptor_limit(en));
	int i;

	mem_init(&en->mem, en->clk, r.held_bytes);
	for (i = 0; i < RSC_SERVERS; i++) {
		hsc_server_bound(
			servers[i],
			&(struct hsc_bounds){ &en->mem, r.servers[i].max_conns,
					      r.servers[i].window_bytes });
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

unsigned long edge_memory_closed(const struct edge *en)
{
	return en->callers.nr_closed_for_others +
	       en->peers.nr_closed_for_others +
	       en->lookup.nr_closed_for_others + en->ready.nr_closed_for_others;
}

void edge_memory_set_metrics(struct edge *en)
{
	int i;

	met_set(en->m.held_bytes, (long long)en->mem.bytes);
	met_set(en->m.large_held_bytes, (long long)en->mem.large_bytes);
	for (i = 0; i < MEM_RANKS; i++)
		met_set(en->m.memory_shed[i], (long long)en->mem.shed[i]);
	met_set(en->m.connections, en->callers.nr_conns + en->peers.nr_conns +
					   en->lookup.nr_conns +
					   en->ready.nr_conns);
	met_set(en->m.connections_closed, (long long)edge_memory_closed(en));
}

void edge_req_hold(struct edge_req *r)
{
	const bool may_run = r->endpoint || r->rq.runs || r->rq.started;
	/* The head is copied for the endpoint. */
	const size_t sent = r->call ? r->conn->parse.msg.text.cap : 0;

	hsc_hold(r->conn, may_run ? MEM_RUNNING : MEM_WAITING,
		 sent + r->answer_head.cap + r->answer_body.cap +
			 r->events.partial.cap +
			 (r->unread ? EDGE_WINDOW_BYTES : 0));
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
