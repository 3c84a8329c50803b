/* Streams on endpoints that leave: handed to others with their memory. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * A reclaimed endpoint was seen to go from 0.5 s after we knew of it. Some
 * streams end within this time by themselves; what is left has the rest for
 * its copy, which takes 7 to 13 ms for a prompt of 17,000 tokens, one after
 * the other.
 */
#define MOVE_AFTER_MS 250

/* A copy that takes longer comes too late: the endpoint is gone by then. */
#define MOVE_CALL_MS 900

struct edge_move {
	struct edge_req *r;
	struct flt_endpoint *to; /* holds the copy once it is granted */
	struct htc_call *call;
	int status;
	struct buf body;
	struct wire_moved moved;
};

static void log_move(const struct edge_move *m, const char *outcome)
{
	struct edge_req *r = m->r;
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO, "move");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "from", r->endpoint->info.id);
	jlog_str(en->log, "to", m->to->info.id);
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "status", m->status);
	jlog_int(en->log, "made", m->moved.created);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_end(en->log);
}

void edge_move_stop(struct edge_req *r)
{
	struct edge_move *m = r->move;

	if (!m)
		return;
	r->move = NULL;
	if (m->call)
		htc_cancel(m->call);
	m->to->running--;
	flt_unref(&r->en->fleet, m->to);
	buf_free(&m->body);
	free(m);
}

/* ---- The answer ---- */

void edge_move_on(struct edge_req *r)
{
	edge_send_moved(r, r->move->to, r->move->moved.handle);
}

/* The stream goes on without the copy, or ends without it. */
static void refused(struct edge_move *m, const char *why)
{
	struct edge_req *r = m->r;

	met_inc(r->en->m.moves_failed);
	log_move(m, why);
	switch (hand_refused(&r->hand)) {
	case HAND_DONE:
		edge_send_finished(r);
		break;
	case HAND_LOST:
		edge_send_lost(r, "stopped for a copy that failed");
		break;
	case HAND_STAY:
	case HAND_WAIT:
	case HAND_CONTINUE:
		edge_move_stop(r);
		break;
	}
}

static bool on_head(struct htc_call *call, const struct hmsg *msg)
{
	struct edge_move *m = htc_owner(call);

	m->status = msg->status;
	return true;
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	struct edge_move *m = htc_owner(call);

	buf_add(&m->body, data, len);
}

static void on_end(struct htc_call *call)
{
	struct edge_move *m = htc_owner(call);
	struct edge_req *r = m->r;
	struct err e = ERR_INIT;

	m->call = NULL;
	if (m->status != 200) {
		refused(m, "refused");
		return;
	}
	if (r->en->wire->moved(buf_cstr(&m->body), m->body.len, &m->moved,
			       &e)) {
		refused(m, e.text);
		return;
	}
	met_inc(r->en->m.moves);
	log_move(m, "copied");
	if (hand_granted(&r->hand, m->moved.created, r->events.last_id) ==
	    HAND_CONTINUE)
		edge_move_on(r);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	struct edge_move *m = htc_owner(call);

	m->call = NULL;
	refused(m, why == HTC_NOT_SENT ? "endpoint not reached" : "no answer");
}

static const struct htc_vtable move_vtable = { on_head, on_body, on_end,
					       on_failed };

/* ---- The call ---- */

static struct flt_endpoint *target_for(struct edge_req *r)
{
	struct edge *en = r->en;
	struct pick_query q = {
		.service = r->service->name,
		.model = edge_model(en, r->service->name),
		.zone = en->conf->zone,
		.engine = true,
		.now_ms = edge_now(en),
		.nr_excluded = 1,
		.excluded = { r->endpoint },
		.parts = &en->parts,
	};

	return pick_endpoint(&en->fleet, &q).endpoint;
}

static void start(struct edge_req *r)
{
	struct flt_endpoint *to = target_for(r);
	struct htc_peer *from = r->endpoint->link;
	struct buf wire = BUF_INIT;
	struct edge_move *m;

	/* A run is not stopped that could not be sent once more. */
	if (!to || !from || !edge_may_repeat(r, true))
		return;
	m = calloc(1, sizeof(*m));
	assert(m);
	m->r = r;
	m->to = to;
	flt_ref(to);
	/* The next target is chosen with this one in mind. */
	to->running++;
	r->move = m;
	hand_asked(&r->hand);
	r->en->wire->move(r->a.id, to->info.address, &wire);
	m->call =
		htc_start(from, &wire, 0, false, MOVE_CALL_MS, &move_vtable, m);
	if (m->call)
		return;
	buf_free(&wire);
	refused(m, "no connection to be had");
}

static bool should_move(const struct edge_req *r, int64_t now)
{
	const struct flt_endpoint *e = r->endpoint;

	if (!e || !r->call || !r->streaming || !r->rq.started ||
	    r->hand.state != HAND_NONE || !r->service->engine.kv_movable)
		return false;
	return flt_leaving_ms(e, now) >= MOVE_AFTER_MS;
}

void edge_move_tick(struct edge *en, int64_t now)
{
	struct edge_req *r, *next;

	if (!en->conf->policy.moves)
		return;
	cds_list_for_each_entry_safe(r, next, &en->requests, node) {
		if (should_move(r, now))
			start(r);
	}
}
