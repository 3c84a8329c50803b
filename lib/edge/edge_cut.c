/* Requests that end without a whole answer: what is logged of them. */
#include "edge/edge_internal.h"

static const char *progress_of(const struct edge_req *r)
{
	if (r->awaiting_config)
		return "waits for the configuration";
	if (r->query.active)
		return "waits for its version";
	if (!r->endpoint)
		return "waits for an endpoint";
	if (r->verify)
		return "waits for a proof of its end";
	if (r->move)
		return "is being moved";
	if (!r->reply.status)
		return "no answer yet";
	return r->unread ? "caller reads too slowly" : "answer not complete";
}

static int64_t age(int64_t event_ms, int64_t now)
{
	return event_ms ? now - event_ms : -1;
}

void edge_cut_log(struct edge_req *r)
{
	struct edge *en = r->en;
	const struct flt_endpoint *e = r->endpoint;
	const int64_t now = edge_now(en);

	jlog_str(en->log, "progress", progress_of(r));
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "held_ms", now - r->arrived_ms);
	jlog_int(en->log, "left_ms",
		 r->deadline_at_ms ? r->deadline_at_ms - now : -1);
	jlog_str(en->log, "endpoint", e ? e->info.id : "");
	jlog_str(en->log, "relay", e ? r->relay : "");
	jlog_int(en->log, "sent_ago_ms", e ? now - r->sent_ms : -1);
	jlog_int(en->log, "event_ago_ms", age(r->last_event_ms, now));
	jlog_str(en->log, "connection", e ? r->conn_end : "");
	jlog_int(en->log, "unacked_bytes", e ? (int64_t)r->request_unacked : 0);
	jlog_int(en->log, "endpoint_age_ms", e ? age(e->received_ms, now) : -1);
	jlog_int(en->log, "unread_bytes",
		 r->call ? (int64_t)htc_unread(r->call) : 0);
	jlog_int(en->log, "unsent_bytes", (int64_t)hsc_pending(r->conn));
	jlog_int(en->log, "stalled_ago_ms", age(en->stalled_ms, now));
	jlog_int(en->log, "stall_ms", en->stall_length_ms);
	jlog_int(en->log, "config", r->cfg ? r->cfg->version : -1);
	jlog_int(en->log, "config_in_force",
		 en->force.cfg ? en->force.cfg->version : -1);
	jlog_int(en->log, "config_ago_ms", age(en->config_since_ms, now));
}
