/*
 * Migrates streams off endpoints that leave (hand-over, hand.h), in two steps: the
 * endpoint copies the run's KV cache to another one while the run goes on; then it
 * stops the run and copies what is new, and the stream continues at the copy.
 *
 * A run that was stopped cannot go on without a copy. So nothing is stopped before a
 * copy of it exists, which serves if the second one is not made: the target then reads
 * again what the run has generated in between.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "edge/edge_internal.h"

/*
 * Delay from the notice that an endpoint leaves to the migration of its
 * streams. Some streams end within this time by themselves. An endpoint may be
 * reclaimed as early as 0.5 s after the notice, so the rest of that time is
 * left for the copies, which are made one after the other: each takes 7 to
 * 13 ms for a prompt of 17,000 tokens.
 */
#define MOVE_DELAY_MS 250

/*
 * Time-out of the call that stops the run, if the stream can be resumed without any
 * copy. Other streams wait: a target that still receives the second copy may refuse
 * to continue from the first one.
 */
#define STOP_CALL_TIMEOUT_MS 900

/* Copies that are tried, each at another target, and the delay between two. */
#define MAX_TRIES 3
#define RETRY_MS 100

/* Time-out of the call that frees a copy, ms. */
#define FREE_CALL_TIMEOUT_MS 1000

/* Part of bounds.drain_ms after which no run continues at a leaving endpoint. */
#define CONTINUE_TIME_DIVISOR 2

enum move_step {
	MOVE_COPY, /* the run goes on meanwhile */
	MOVE_STOP, /* the run is stopped, and what is new is copied */
};

/* The migration of one stream. */
struct edge_move {
	struct edge *en;
	struct edge_req *r;	   /* NULL: its copy is not used any more */
	struct flt_endpoint *from; /* referenced */
	struct flt_endpoint *to;   /* the target; referenced while `r` is set */
	bool relayed;		   /* calls go through a relay */
	struct htc_call *call;
	enum move_step step;
	int64_t began_ms;
	int status; /* HTTP status of the answer; 0: none */
	struct buf body;
	struct wire_move_result copy;	  /* the last one; handle "": none */
	struct wire_move_result prepared; /* the one made in MOVE_COPY */
};

static void log_move(const struct edge_move *m, const char *outcome)
{
	struct edge_req *r = m->r;
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	jlog_begin(en->log, JLOG_INFO, "move");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "from", r->endpoint->info.id);
	jlog_str(en->log, "to", m->to->info.id);
	jlog_str(en->log, "from_version", r->endpoint->info.version);
	jlog_str(en->log, "to_version", m->to->info.version);
	jlog_str(en->log, "step", m->step == MOVE_STOP ? "stop" : "copy");
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "status", m->status);
	jlog_int(en->log, "made", m->copy.created);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "took_ms", now - m->began_ms);
	jlog_int(en->log, "leaving_ms", flt_leaving_ms(r->endpoint, now));
	jlog_end(en->log);
}

/* ---- End of a migration ---- */

static void move_free(struct edge_move *m)
{
	flt_unref(&m->en->fleet, m->from);
	buf_free(&m->body);
	free(m);
}

static bool on_free_head(struct htc_call *call, const struct hmsg *msg)
{
	(void)call;
	(void)msg;
	return true;
}

static void on_free_body(struct htc_call *call, const char *data, size_t len)
{
	(void)call;
	(void)data;
	(void)len;
}

static void on_free_end(struct htc_call *call)
{
	move_free(htc_owner(call));
}

/* The target then keeps the copy until it expires. */
static void on_free_failed(struct htc_call *call, enum htc_failure why)
{
	(void)why;
	move_free(htc_owner(call));
}

static const struct htc_vtable free_vtable = { on_free_head, on_free_body,
					       on_free_end, on_free_failed };

static struct htc_peer *way_to_source(struct edge_move *m)
{
	return edge_way_to(m->en, m->from, m->relayed).pool;
}

/* Ends a migration whose copy, if there is one, takes a slot at the target. */
static void release_copy(struct edge_move *m)
{
	struct htc_peer *from = way_to_source(m);
	struct buf wire = BUF_INIT;
	struct htc_call *call;

	if (!m->copy.handle[0] || !from || m->from->exited) {
		move_free(m);
		return;
	}
	met_inc(m->en->m.copies_unused);
	m->en->wire->encode_copy_free(m->copy.handle, &wire);
	call = htc_start(from, &wire, 0, false, FREE_CALL_TIMEOUT_MS,
			 &free_vtable, m);
	if (call) {
		htc_set_max_body(call, HTC_SMALL_BODY_BYTES);
		return;
	}
	buf_free(&wire);
	move_free(m);
}

void edge_move_cancel(struct edge_req *r)
{
	struct edge_move *m = r->move;

	if (!m)
		return;
	r->move = NULL;
	m->r = NULL;
	m->to->running--;
	flt_unref(&m->en->fleet, m->to);
	if (m->step == MOVE_COPY)
		edge_retry_put_back(r);
	/* The copy in progress is released once its handle is known. */
	if (m->call && m->step == MOVE_COPY)
		return;
	if (m->call)
		htc_cancel(m->call);
	if (!m->copy.handle[0])
		m->copy = m->prepared;
	release_copy(m);
}

void edge_move_stream_ended(struct edge_req *r)
{
	if (r->move && r->move->step == MOVE_COPY)
		edge_move_cancel(r);
}

bool edge_move_is_in_time(const struct edge *en, const struct flt_endpoint *e)
{
	return !e->exited &&
	       (double)flt_leaving_ms(e, edge_now(en)) <
		       en->conf->bounds.drain_ms / CONTINUE_TIME_DIVISOR;
}

void edge_move_continue(struct edge_req *r)
{
	struct edge_move *m = r->move;
	char handle[sizeof(m->copy.handle)];

	str_copy(handle, m->copy.handle, sizeof(handle));
	/* Used from now on. */
	m->copy.handle[0] = m->prepared.handle[0] = '\0';
	edge_send_moved(r, m->to, handle);
}

void edge_move_exclude(struct edge_req *r, struct flt_endpoint *target)
{
	if (target)
		flt_ref(target);
	if (r->move_refused)
		flt_unref(&r->en->fleet, r->move_refused);
	r->move_refused = target;
}

/* No copy was made, and the run goes on. */
static void copy_failed(struct edge_move *m, const char *why)
{
	struct edge_req *r = m->r;
	struct edge *en = r->en;

	met_inc(en->m.moves_failed);
	log_move(m, why);
	hand_on_copy_ended(&r->hand, edge_now(en));
	edge_move_exclude(r, m->to);
	r->move_after_ms = edge_now(en) + RETRY_MS;
	edge_move_cancel(r);
}

/* The run is stopped, and can go on at m->to. */
static void stopped(struct edge_move *m, const char *outcome)
{
	struct edge_req *r = m->r;
	/* Not stated: it is known when the stream closes. */
	const int64_t events = m->copy.created >= 0 ? m->copy.created
						    : INT64_MAX;

	met_inc(r->en->m.moves);
	log_move(m, outcome);
	if (hand_on_granted(&r->hand, events, r->events.last_id) ==
	    HAND_CONTINUE)
		edge_move_continue(r);
}

/* The stream continues at the first copy, once it has ended at the source. */
static void continue_as_prepared(struct edge_move *m)
{
	m->copy = m->prepared;
	m->copy.created = -1; /* by the time of the stop */
	stopped(m, "continued as prepared");
}

/*
 * The call that stops the run was refused, or not sent: the stream goes on where
 * it is. `may_have_stopped`: the endpoint may have stopped the run all the same.
 */
static void stop_refused(struct edge_move *m, const char *why,
			 bool may_have_stopped)
{
	struct edge_req *r = m->r;
	enum hand_step next;

	met_inc(r->en->m.moves_failed);
	log_move(m, why);
	if (r->hand.stream_broken) {
		continue_as_prepared(m);
		return;
	}
	hand_on_copy_ended(&r->hand, edge_now(r->en));
	next = hand_on_refused(&r->hand, may_have_stopped);
	edge_move_cancel(r);
	if (next == HAND_ENDED)
		edge_answer_end(r, WHOLE_PROCESS_UNKNOWN);
}

/* ---- Answers of the endpoint ---- */

static void start_step(struct edge_move *m, enum move_step step);

/* The source keeps a run that it stopped and could not copy. */
static void continue_at_source(struct edge_move *m)
{
	struct edge_req *r = m->r;

	m->to->running--;
	flt_unref(&r->en->fleet, m->to);
	m->to = r->endpoint;
	flt_ref(m->to);
	m->to->running++;
	stopped(m, "kept by the source");
}

static void handle_copy_answer(struct edge_move *m)
{
	if (m->status != 200) {
		copy_failed(m, "refused");
	} else if (!m->copy.handle[0]) {
		copy_failed(m, "no handle");
	} else if (!edge_send_can_move(m->r, m->to)) {
		copy_failed(m, "target not usable");
	} else {
		m->prepared = m->copy;
		log_move(m, "prepared");
		start_step(m, MOVE_STOP);
	}
}

static void handle_stop_answer(struct edge_move *m)
{
	const bool has_handle = m->copy.handle[0];

	if (m->status == 200 && has_handle)
		stopped(m, "copied");
	else if (m->status == 503 && has_handle &&
		 edge_move_is_in_time(m->en, m->from))
		continue_at_source(m);
	else if (has_handle || m->status == 200)
		continue_as_prepared(m);
	else /* 404: there is no such run to stop. */
		stop_refused(m, "refused", m->status != 404);
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
	struct wire_move_result copy;
	struct err e = ERR_INIT;

	m->call = NULL;
	if (!m->en->wire->decode_move_result(buf_cstr(&m->body), m->body.len,
					     &copy, &e))
		m->copy = copy;
	if (!m->r)
		release_copy(m);
	else if (m->step == MOVE_COPY)
		handle_copy_answer(m);
	else
		handle_stop_answer(m);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	struct edge_move *m = htc_owner(call);
	const bool sent = why != HTC_NOT_SENT;
	const char *text = sent ? "no answer" : "endpoint not reached";

	m->call = NULL;
	if (!m->r) {
		release_copy(m);
	} else if (m->step == MOVE_COPY) {
		copy_failed(m, text);
	} else if (sent) {
		met_inc(m->en->m.moves_failed);
		log_move(m, text);
		continue_as_prepared(m);
	} else {
		stop_refused(m, text, false);
	}
}

static const struct htc_vtable move_vtable = { on_head, on_body, on_end,
					       on_failed };

/* ---- Start ---- */

/* Entries that pick at the same moment spread over the targets. */
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
		.sending_peers = en->sending_peers,
		.sample_seed = en->conf->policy.sample
				       ? hsh_str(r->attempt.id, r->move_tries) |
						 1
				       : 0,
		.nr_excluded = 1,
		.excluded = { r->endpoint },
		.parts = &en->parts,
	};

	if (r->move_refused)
		q.excluded[q.nr_excluded++] = r->move_refused;
	return pick_endpoint(&en->fleet, &q).endpoint;
}

/* Time-out of a call, ms. It fails earlier if the endpoint exits. */
static int call_timeout(const struct edge_move *m)
{
	const struct edge_req *r = m->r;
	const int64_t left = r->deadline_at_ms - edge_now(r->en);

	if (m->step == MOVE_STOP && r->rq.resumable &&
	    left > STOP_CALL_TIMEOUT_MS)
		return STOP_CALL_TIMEOUT_MS;
	return left > 0 ? (int)left : 1;
}

static void start_step(struct edge_move *m, enum move_step step)
{
	struct edge_req *r = m->r;
	struct htc_peer *from = way_to_source(m);
	struct buf wire = BUF_INIT;

	m->step = step;
	m->status = 0;
	m->copy.handle[0] = '\0';
	buf_reset(&m->body);
	if (step == MOVE_STOP)
		hand_on_requested(&r->hand);
	else
		hand_on_copy_requested(&r->hand);
	r->en->wire->encode_move(r->attempt.id, m->to->info.address,
				 step == MOVE_STOP, &wire);
	if (from)
		m->call = htc_start(from, &wire, 0, false, call_timeout(m),
				    &move_vtable, m);
	if (m->call) {
		htc_set_max_body(m->call, HTC_SMALL_BODY_BYTES);
		return;
	}
	buf_free(&wire);
	if (step == MOVE_COPY)
		copy_failed(m, "no connection to the endpoint");
	else
		stop_refused(m, "no connection to the endpoint", false);
}

static void start_move(struct edge_req *r)
{
	struct flt_endpoint *to = pick_target(r);
	struct edge_move *m;

	if (!to && !r->move_untargeted) {
		r->move_untargeted = true;
		met_inc(r->en->m.moves_untargeted);
	}
	/*
	 * Charged as a retry. If the budget does not allow one, the run is not
	 * stopped, since it could not be sent again.
	 */
	if (!to || !edge_may_retry(r, true))
		return;
	m = calloc(1, sizeof(*m));
	assert(m);
	m->en = r->en;
	m->r = r;
	m->from = r->endpoint;
	m->to = to;
	m->relayed = r->relay[0];
	m->began_ms = edge_now(r->en);
	m->copy.created = -1;
	flt_ref(m->from);
	flt_ref(to);
	gate_pass(&to->gate, edge_now(r->en));
	/* So that the next pick takes this stream into account. */
	to->running++;
	r->move = m;
	r->move_tries++;
	start_step(m, MOVE_COPY);
}

static bool should_move(const struct edge_req *r, int64_t now)
{
	const struct flt_endpoint *e = r->endpoint;

	if (!e || !r->call || !r->streaming || !r->rq.started || r->move ||
	    r->hand.state != HAND_NONE || r->move_tries == MAX_TRIES ||
	    now < r->move_after_ms || !r->service->engine.kv_movable)
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
