/*
 * Migrates streams off endpoints that leave (hand-over, hand.h): the endpoint
 * stops the run and copies its KV cache to another one, where the stream
 * continues.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * Delay from the notice that an endpoint leaves to the migration of its
 * streams. Some streams end within this time by themselves. An endpoint may be
 * reclaimed as early as 0.5 s after the notice, so the rest of that time is
 * left for the copies, which are made one after the other: each takes 7 to
 * 13 ms for a prompt of 17,000 tokens.
 */
#define MOVE_DELAY_MS 250

/* Timeout of the call: the endpoint is gone by then, so a copy is too late. */
#define MOVE_CALL_TIMEOUT_MS 900

/* The migration of one stream. */
struct edge_move {
	struct edge_req *r;
	struct flt_endpoint *to; /* the target; referenced */
	struct htc_call *call;
	int status; /* HTTP status of the answer; 0: none */
	struct buf body;
	struct wire_move_result moved;
};

static void log_move(const struct edge_move *m, const char *outcome)
{
	struct edge_req *r = m->r;
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO, "move");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "from", r->endpoint->info.id);
	jlog_str(en->log, "to", m->to->info.id);
	jlog_str(en->log, "from_version", r->endpoint->info.version);
	jlog_str(en->log, "to_version", m->to->info.version);
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "status", m->status);
	jlog_int(en->log, "made", m->moved.created);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_end(en->log);
}

void edge_move_cancel(struct edge_req *r)
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

/* ---- Answer of the endpoint ---- */

void edge_move_continue(struct edge_req *r)
{
	edge_send_moved(r, r->move->to, r->move->moved.handle);
}

/*
 * No copy was made: the stream goes on where it is, or ends. `may_have_stopped`:
 * the endpoint may have stopped the run before.
 */
static void move_failed(struct edge_move *m, const char *why,
			bool may_have_stopped)
{
	struct edge_req *r = m->r;

	met_inc(r->en->m.moves_failed);
	log_move(m, why);
	switch (hand_on_refused(&r->hand, may_have_stopped)) {
	case HAND_ENDED:
		edge_move_cancel(r);
		edge_answer_end(r, WHOLE_PROCESS_UNKNOWN);
		break;
	case HAND_LOST:
		edge_send_lost(r, EDGE_WHY_STOPPED);
		break;
	case HAND_NO_CHANGE:
	case HAND_WAIT:
	case HAND_CONTINUE:
		edge_move_cancel(r);
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
		/* 404: there is no such run to stop. */
		move_failed(m, "refused", m->status != 404);
		return;
	}
	if (r->en->wire->decode_move_result(buf_cstr(&m->body), m->body.len,
					    &m->moved, &e)) {
		move_failed(m, e.text, true);
		return;
	}
	met_inc(r->en->m.moves);
	log_move(m, "copied");
	if (hand_on_granted(&r->hand, m->moved.created, r->events.last_id) ==
	    HAND_CONTINUE)
		edge_move_continue(r);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	struct edge_move *m = htc_owner(call);

	m->call = NULL;
	if (why == HTC_NOT_SENT)
		move_failed(m, "endpoint not reached", false);
	else
		move_failed(m, "no answer", true);
}

static const struct htc_vtable move_vtable = { on_head, on_body, on_end,
					       on_failed };

/* ---- Start ---- */

static struct flt_endpoint *pick_target(struct edge_req *r)
{
	struct edge *en = r->en;
	struct pick_query q = {
		.service = r->service->name,
		.model = edge_service_model(en, r->service->name),
		.zone = en->conf->zone,
		.engine = true,
		.bound = true,
		.speeds = en->conf->policy.speeds,
		.version = r->version,
		.now_ms = edge_now(en),
		.nr_excluded = 1,
		.excluded = { r->endpoint },
		.parts = &en->parts,
	};

	return pick_endpoint(&en->fleet, &q).endpoint;
}

static void start_move(struct edge_req *r)
{
	struct flt_endpoint *to = pick_target(r);
	struct htc_peer *from =
		edge_way_to(r->en, r->endpoint, r->relay[0]).pool;
	struct buf wire = BUF_INIT;
	struct edge_move *m;

	if (!to && !r->move_untargeted) {
		r->move_untargeted = true;
		met_inc(r->en->m.moves_untargeted);
	}
	/*
	 * Charged as a retry. If the budget does not allow one, the run is not
	 * stopped, since it could not be sent again.
	 */
	if (!to || !from || !edge_may_retry(r, true))
		return;
	m = calloc(1, sizeof(*m));
	assert(m);
	m->r = r;
	m->to = to;
	flt_ref(to);
	gate_pass(&to->gate, edge_now(r->en));
	/* So that the next pick takes this stream into account. */
	to->running++;
	r->move = m;
	hand_on_requested(&r->hand);
	r->en->wire->encode_move(r->attempt.id, to->info.address, &wire);
	m->call = htc_start(from, &wire, 0, false, MOVE_CALL_TIMEOUT_MS,
			    &move_vtable, m);
	if (m->call) {
		htc_set_max_body(m->call, HTC_SMALL_BODY_BYTES);
		return;
	}
	buf_free(&wire);
	move_failed(m, "no connection to the endpoint", false);
}

static bool should_move(const struct edge_req *r, int64_t now)
{
	const struct flt_endpoint *e = r->endpoint;

	if (!e || !r->call || !r->streaming || !r->rq.started ||
	    r->hand.state != HAND_NONE || !r->service->engine.kv_movable)
		return false;
	/* A suspect may crash the target, too. */
	return flt_leaving_ms(e, now) >= MOVE_DELAY_MS &&
	       !edge_fatal_is_suspect(r);
}

void edge_move_tick(struct edge *en, int64_t now)
{
	struct edge_req *r, *next;

	if (!en->conf->policy.moves)
		return;
	cds_list_for_each_entry_safe(r, next, &en->requests, node) {
		if (should_move(r, now))
			start_move(r);
	}
}
