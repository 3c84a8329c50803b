/* Endpoints' answers: passes them on to callers, or takes the next step. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_rollout.h"
#include "edge/explain.h"

/* A request is not sent again with less time than this left. */
#define MIN_RETRY_TIME_MS 40

/* Refusals by brittle endpoints before a last one ends the request. */
#define MAX_BRITTLE_REFUSALS 1

/* Bytes that a caller has not received, beyond which its stream is not read. */
#define MAX_UNREAD_BYTES (256u << 10)

/* ---- End of a send ---- */

void edge_prefill_done(struct edge_req *r)
{
	r->endpoint->prefill_tokens -= r->prefill_tokens;
	r->prefill_tokens = 0;
}

/*
 * Cancels a call that is still in flight: a stream whose run was stopped may be
 * abandoned before its connection closed, and the call would then refer to a
 * request that was freed.
 */
void edge_send_stop(struct edge_req *r)
{
	if (!r->endpoint)
		return;
	if (r->call)
		htc_cancel(r->call);
	r->call = NULL;
	edge_verify_cancel(r);
	edge_move_cancel(r);
	memset(&r->hand, 0, sizeof(r->hand));
	edge_prefill_done(r);
	r->endpoint->running--;
	if (r->reply.status && !r->reply.not_run)
		edge_place_freed(r->en, r->endpoint);
	edge_admit_freed(r->en, r->service->name);
	flt_unref(&r->en->fleet, r->endpoint);
	r->endpoint = NULL;
	edge_fatal_stopped(r);
}

void edge_log_send_ended(struct edge_req *r, const char *outcome, int status)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	met_observe(en->m.endpoint_ms, now - r->sent_ms);
	jlog_begin(en->log, JLOG_INFO, "send_ended");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "endpoint", r->endpoint->info.id);
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "status", status);
	jlog_bool(en->log, "unframed", r->unframed);
	jlog_str(en->log, "connection", r->conn_end);
	jlog_int(en->log, "unacked_bytes", (int64_t)r->request_unacked);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "first_ms",
		 r->first_event_ms ? r->first_event_ms - r->sent_ms : -1);
	jlog_int(en->log, "took_ms", now - r->sent_ms);
	jlog_str(en->log, "service", r->service->name);
	jlog_end(en->log);
}

/* Counts the run once in the account's usage. */
static void count_usage(struct edge_req *r, int64_t true_ms)
{
	if (r->usage_counted || !r->account)
		return;
	r->usage_counted = true;
	edge_duty_count_run(r, true_ms);
}

/* ---- The next step ---- */

bool edge_has_time(const struct edge_req *r)
{
	return r->deadline_at_ms - edge_now(r->en) > MIN_RETRY_TIME_MS;
}

/* True if time and the retry budget allow another send. */
static bool may_retry(struct edge_req *r)
{
	return edge_has_time(r) &&
	       (!r->sends_reached || edge_may_retry(r, false));
}

/* Closes the caller's connection before the answer is complete. */
static void cut_answer(struct edge_req *r, const char *why)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;

	met_inc(en->m.streams_cut);
	jlog_begin(en->log, JLOG_WARN, "cut");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "why", why);
	edge_cut_log(r);
	jlog_end(en->log);
	edge_req_free(r);
	hsc_disconnect(c);
}

void edge_step(struct edge_req *r, enum rq_step step, const char *why)
{
	switch (step) {
	case RQ_SEND:
	case RQ_RESUME:
		edge_send(r);
		break;
	case RQ_PASS:
		break; /* done by the caller of rq_answered */
	case RQ_NOT_RUN:
		edge_req_answer(r, 503, why, EDGE_FULL_RETRY_MS);
		break;
	case RQ_BAD_GATEWAY:
		edge_send_stop(r);
		edge_req_answer(r, 502, why, -1);
		break;
	case RQ_TIMED_OUT:
		edge_send_stop(r);
		edge_req_answer(r, 504, why, -1);
		break;
	case RQ_CUT:
		cut_answer(r, why);
		break;
	case RQ_DROP:
		edge_req_free(r);
		break;
	}
}

/* Excludes the current endpoint from further sends of the request. */
static void exclude_endpoint(struct edge_req *r)
{
	if (r->nr_tried == EDGE_MAX_EXCLUDED)
		return;
	/* Referenced so that its address is not reused for another endpoint. */
	flt_ref(r->endpoint);
	r->tried[r->nr_tried++] = r->endpoint;
}

/* Ends a send that the endpoint did not run. */
static void end_not_run(struct edge_req *r, enum flt_outcome o, const char *why,
			bool exclude)
{
	met_inc(r->en->m.sends_not_run);
	flt_record_outcome(r->endpoint, o, edge_now(r->en));
	edge_log_send_ended(r, why, r->reply.status);
	if (exclude)
		exclude_endpoint(r);
	edge_send_stop(r);
}

/* A request that goes from one brittle endpoint to the next ends them all. */
static bool refused_enough(const struct edge_req *r)
{
	return r->rq.refusals >= MAX_BRITTLE_REFUSALS &&
	       edge_statement_is_brittle(r->en, r->service->name);
}

/*
 * The few endpoints that can continue a stream are tried with pauses: their
 * places are free in a moment, and the retry budget covers few refusals.
 */
#define REFUSALS_BETWEEN_WAITS 2

void edge_send_not_run(struct edge_req *r, enum flt_outcome o, const char *why)
{
	const bool again = may_retry(r);
	const bool pause =
		edge_bind_comes_first(r) &&
		(!again || (r->rq.refusals + 1) % REFUSALS_BETWEEN_WAITS == 0);
	enum rq_step step;

	end_not_run(r, o, why, true);
	if (edge_send_copy_again(r, true))
		return;
	step = rq_refused(&r->rq, (again || (pause && edge_has_time(r))) &&
					  !refused_enough(r));
	if (pause && (step == RQ_SEND || step == RQ_RESUME) &&
	    edge_place_wait(r))
		return;
	edge_step(r, step, why);
}

/* Continues after a send that reached no endpoint and has been stopped. */
static void step_unreached(struct edge_req *r, const char *why)
{
	r->sends_reached--;
	edge_retry_refund(r);
	if (edge_send_copy_again(r, false))
		return;
	edge_step(r, rq_unreached(&r->rq, may_retry(r)), why);
}

void edge_send_unreached(struct edge_req *r, const char *why)
{
	/* A relay may reach the endpoint that this entry does not. */
	const bool relay_next = !r->relay[0] &&
				edge_has_relay(r->en, edge_now(r->en));

	met_inc(r->en->m.sends_unreached);
	if (!r->relay[0])
		edge_reach_suspect(r->en, REACH_UNREACHED, r->endpoint);
	if (relay_next)
		r->avoid_direct = true;
	end_not_run(r, FLT_UNREACHABLE, why, !relay_next);
	step_unreached(r, why);
}

int64_t edge_endpoint_age(const struct edge *en, int64_t now)
{
	return en->endpoint_received_ms ? now - en->endpoint_received_ms : -1;
}

unsigned edge_count_unreached(const struct edge *en, int64_t now)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += now < e->unreached_until_ms;
	return n;
}

void edge_send_relay_failed(struct edge_req *r)
{
	edge_relay_failed(r->en, r->relay);
	edge_log_send_ended(r, "relay failed", 0);
	edge_send_stop(r);
	step_unreached(r, "relay failed");
}

/* Logs a failed connection, and what else speaks of the way to endpoints. */
static void log_unreached(const struct edge_req *r, const char *cause)
{
	struct edge *en = r->en;
	const struct flt_endpoint *e = r->endpoint;
	const int64_t now = edge_now(en);

	jlog_begin(en->log, JLOG_INFO, "endpoint_unreached");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_str(en->log, "zone", e->info.zone);
	jlog_str(en->log, "relay", r->relay);
	jlog_str(en->log, "cause", cause);
	jlog_int(en->log, "failures", e->connect_failures);
	jlog_int(en->log, "unreached", edge_count_unreached(en, now));
	jlog_int(en->log, "endpoints", (int64_t)en->fleet.count);
	jlog_int(en->log, "endpoint_age_ms", edge_endpoint_age(en, now));
	jlog_end(en->log);
}

/* Ends a send whose outcome is unknown: the endpoint may have run it. */
static void handle_lost(struct edge_req *r, enum flt_outcome o, const char *why)
{
	met_inc(r->en->m.sends_lost);
	flt_record_outcome(r->endpoint, o, edge_now(r->en));
	edge_log_send_ended(r, why, r->reply.status);
	if (!r->streaming)
		count_usage(r, r->sent_true_ms);
	exclude_endpoint(r);
	edge_send_stop(r);
	edge_step(r, rq_lost(&r->rq, may_retry(r)), why);
}

/* ---- Answers ---- */

static void note_received(struct edge_req *r)
{
	struct edge *en = r->en;

	edge_verify_received(r);
	en->endpoint_received_ms = edge_now(en);
	if (!r->relay[0])
		en->direct_received_ms = en->endpoint_received_ms;
}

/*
 * True for status codes from which a caller would conclude that the request did
 * not run. Without the endpoint's explicit "not run" it may have run, so such a
 * status must not be passed on.
 */
static bool claims_not_run(const struct reply *p)
{
	return p->status == 408 || p->status == 421 || p->status == 429 ||
	       p->status == 503;
}

/* Why an answer with this head is not passed on, whatever follows; NULL: it may be. */
static const char *find_fault(const struct reply *p)
{
	if (p->not_run)
		return NULL;
	if (p->status / 100 == 2 &&
	    (!p->sealed || p->encoded || !(p->echoed || p->events)))
		return "answer without proof";
	if (claims_not_run(p))
		return "refusal that does not say not run";
	return NULL;
}

/* Ends a send as failed by the head of its answer; the rest is not read. */
static void give_up_answer(struct edge_req *r, const char *why)
{
	edge_rollout_failed(r, false);
	handle_lost(r, FLT_FAILED, why);
}

/* A caller would take the last chunk of a stream for its next response. */
static bool answer_has_no_body(const struct edge_req *r)
{
	return r->conn->parse.msg.method == HTTP_HEAD ||
	       hmsg_has_no_body(r->reply.status);
}

static bool on_head(struct htc_call *call, const struct hmsg *m)
{
	struct edge_req *r = htc_owner(call);
	struct edge *en = r->en;
	struct reply reply;
	const char *fault;

	note_received(r);
	en->wire->decode_answer(m, &r->attempt, &reply);
	if (reply.other_attempt) {
		jlog_begin(en->log, JLOG_WARN, "foreign_answer");
		jlog_str(en->log, "id", r->attempt.id);
		jlog_str(en->log, "endpoint", r->endpoint->info.id);
		jlog_end(en->log);
		return false;
	}
	r->reply = reply;
	edge_statement_answered(r);
	fault = find_fault(&r->reply);
	if (fault) {
		give_up_answer(r, fault);
		return true;
	}
	buf_free(&r->answer_body);
	r->streaming = r->reply.events && r->reply.status / 100 == 2 &&
		       !r->reply.not_run && !answer_has_no_body(r);
	if (!r->reply.not_run)
		edge_send_forget_copy(r);
	if (r->streaming)
		htc_set_max_body(call, 0); /* its events are bounded */
	else if (r->reply.not_run)
		htc_set_max_body(call, HTC_SMALL_BODY_BYTES);
	/* Of a resumed stream the caller already has the head. */
	if (!r->streaming || !r->rq.started) {
		buf_reset(&r->answer_head);
		en->wire->encode_answer_head(m, &r->answer_head);
	}
	return true;
}

static void put_stream_head(struct edge_req *r, struct buf *out)
{
	rq_started(&r->rq);
	edge_bind_started(r);
	buf_add(out, r->answer_head.data, r->answer_head.len);
	hmsg_put(out, "Transfer-Encoding", "chunked");
	r->announced_close = hsc_must_close(r->conn);
	if (r->announced_close)
		hmsg_put(out, "Connection", "close");
	hmsg_put_end(out);
	buf_free(&r->answer_head);
}

/* A pause as the caller sees it: a resumption does not end it. */
static void update_max_pause(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);

	if (r->last_event_ms && now - r->last_event_ms > r->max_pause_ms)
		r->max_pause_ms = now - r->last_event_ms;
	r->last_event_ms = now;
}

static void handle_broken(struct edge_req *r, const char *why,
			  bool by_connection);

void edge_answer_drop(struct edge_req *r, const char *why)
{
	met_inc(r->en->m.answers_oversized);
	htc_cancel(r->call);
	r->call = NULL;
	buf_free(&r->answer_body);
	evs_drop_partial(&r->events);
	edge_req_hold(r);
	handle_broken(r, why, false);
}

static void pass_events(struct edge_req *r, const char *data, size_t len)
{
	struct edge *en = r->en;
	BUF_AUTO events = BUF_INIT;
	BUF_AUTO out = BUF_INIT;
	size_t n;

	n = evs_feed(&r->events, data, len,
		     r->rq.started ? r->events.last_id : -1, &events);
	if (!n) {
		if (r->events.too_large)
			edge_answer_drop(r, "event too large");
		return;
	}
	edge_rollout_answered(r);
	if (!r->first_event_ms || r->prefill_tokens > 0) {
		if (!r->first_event_ms) {
			r->first_event_ms = edge_now(en);
			met_observe(en->m.first_event_ms,
				    r->first_event_ms - r->arrived_ms);
		}
		if (r->prefill_tokens > 0)
			edge_learn_first_event(r);
		edge_prefill_done(r);
		count_usage(r, walltime_now(&en->walltime, edge_now(en)));
	}
	update_max_pause(r);
	/* The next break begins a new wait. */
	r->place.since_ms = r->place.retry_ms = 0;
	if (!r->rq.started)
		put_stream_head(r, &out);
	hmsg_put_chunk(&out, events.data, events.len);
	hsc_write(r->conn, out.data, out.len);
	if (hsc_pending(r->conn) > MAX_UNREAD_BYTES && !r->unread) {
		r->unread = true;
		met_inc(en->m.streams_paused);
		htc_pause(r->call, true);
	}
	edge_req_hold(r);
	/* All events of the stopped run were received: continue at the copy. */
	if (hand_on_event(&r->hand, r->events.last_id) == HAND_CONTINUE)
		edge_move_continue(r);
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	struct edge_req *r = htc_owner(call);
	struct edge *en = r->en;

	note_received(r);
	if (r->streaming) {
		pass_events(r, data, len);
	} else if (!r->reply.not_run) {
		buf_add(&r->answer_body, data, len);
		edge_req_hold(r);
	}
	mem_relieve(&en->mem);
}

void edge_answer_drained(struct hsc *c)
{
	struct edge_req *r = c->request;

	if (!r || !r->unread)
		return;
	r->unread = false;
	edge_req_hold(r);
	if (r->call)
		htc_pause(r->call, false);
}

static void log_passed(struct edge_req *r)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	met_inc(en->m.answers_passed);
	met_observe(en->m.answer_ms, now - r->arrived_ms);
	jlog_begin(en->log, JLOG_INFO, "passed");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "route", r->route->name);
	jlog_int(en->log, "objective_ms", r->route->objective_ms);
	jlog_int(en->log, "pause_ms", r->max_pause_ms);
	jlog_int(en->log, "pause_bound_ms", r->route->gap_ms);
	jlog_int(en->log, "status", r->reply.status);
	jlog_int(en->log, "runs", r->rq.runs);
	jlog_int(en->log, "first_ms",
		 r->first_event_ms ? r->first_event_ms - r->arrived_ms : -1);
	jlog_int(en->log, "took_ms", now - r->arrived_ms);
	jlog_str(en->log, "service", r->service->name);
	jlog_str(en->log, "account", r->account ? r->account->name : "");
	jlog_end(en->log);
}

static void finish_stream(struct edge_req *r)
{
	struct hsc *c = r->conn;
	bool last;
	BUF_AUTO out = BUF_INIT;

	if (!r->rq.started)
		put_stream_head(r, &out);
	last = r->announced_close;
	hmsg_put_chunk(&out, "", 0);
	rq_answered(&r->rq, true, false);
	flt_record_outcome(r->endpoint, FLT_GOOD, edge_now(r->en));
	/* An endpoint that had nothing left to write did not get to a crash. */
	if (r->events.events > r->events_before_send)
		edge_fatal_answered(r);
	edge_learn_completed(r);
	edge_log_send_ended(r, "complete", r->reply.status);
	log_passed(r);
	edge_send_stop(r);
	hsc_write(c, out.data, out.len);
	edge_req_free(r);
	hsc_done(c, last);
}

static void pass_answer(struct edge_req *r)
{
	struct hsc *c = r->conn;
	const bool last = hsc_must_close(c);
	const bool no_body = answer_has_no_body(r);
	BUF_AUTO out = BUF_INIT;
	struct shb *body = NULL;

	buf_add(&out, r->answer_head.data, r->answer_head.len);
	if (!no_body)
		hmsg_put_int(&out, "Content-Length",
			     (int64_t)r->answer_body.len);
	if (last)
		hmsg_put(&out, "Connection", "close");
	hmsg_put_end(&out);
	if (!no_body && r->answer_body.len <= EDGE_COPY_BYTES)
		buf_add(&out, r->answer_body.data, r->answer_body.len);
	else if (!no_body)
		body = shb_new(&r->answer_body);
	log_passed(r);
	edge_send_stop(r);
	hsc_write(c, out.data, out.len);
	if (body)
		hsc_write_shared(c, body);
	shb_put(body);
	edge_req_free(r);
	hsc_done(c, last);
}

static void finish_answer(struct edge_req *r)
{
	/* After a stream has started, only a stream can continue it. */
	const bool good = !r->rq.started && r->reply.status < 500;
	struct edge *en = r->en;
	enum rq_step step;

	count_usage(r, r->sent_true_ms);
	flt_record_outcome(r->endpoint, good ? FLT_GOOD : FLT_FAILED,
			   edge_now(en));
	if (good) {
		edge_rollout_answered(r);
		edge_learn_completed(r);
	} else {
		edge_rollout_failed(r, false);
	}
	if (r->reply.status / 100 == 2 && good)
		edge_fatal_answered(r);
	edge_log_send_ended(r, good ? "answered" : "error", r->reply.status);
	exclude_endpoint(r);
	step = rq_answered(&r->rq, good, may_retry(r));
	if (step == RQ_PASS) {
		pass_answer(r);
		return;
	}
	edge_send_stop(r);
	edge_step(r, step, "endpoint failed");
}

/* True if the stream ended because of its migration, which goes on. */
static bool migration_continues(struct edge_req *r, enum hand_step step)
{
	if (step == HAND_CONTINUE)
		edge_move_continue(r);
	return step == HAND_CONTINUE || step == HAND_WAIT;
}

static void handle_broken(struct edge_req *r, const char *why,
			  bool by_connection)
{
	if (migration_continues(r, hand_on_stream_broken(&r->hand)))
		return;
	edge_rollout_failed(r, by_connection);
	edge_fatal_send_broken(r);
	handle_lost(r, FLT_FAILED, why);
}

/* ---- The end of an answer ---- */

static void finish(struct edge_req *r)
{
	if (r->streaming)
		finish_stream(r);
	else
		finish_answer(r);
}

/* A run that was stopped for its migration is no sign of a crash. */
static bool is_stop(const struct whole_facts *facts)
{
	return facts->stopped ||
	       (facts->stopped_early && facts->process != WHOLE_PROCESS_OTHER);
}

static void handle_cut_off(struct edge_req *r, const struct whole_facts *facts)
{
	if (migration_continues(r, hand_on_stream_broken(&r->hand)))
		return;
	if (is_stop(facts))
		handle_lost(r, FLT_FAILED, EDGE_WHY_STOPPED);
	else if (facts->partial_event)
		handle_broken(r, "stream ended within an event", true);
	else if (facts->early_success)
		handle_broken(r, "answer without framing, and request not read",
			      true);
	else
		handle_broken(r, "answer without framing, and endpoint gone",
			      true);
}

void edge_answer_end(struct edge_req *r, enum whole_process process)
{
	const struct whole_facts facts = {
		.framed = !r->unframed,
		.partial_event = r->streaming && evs_has_partial(&r->events),
		.early_success = r->request_unacked &&
				 r->reply.status / 100 == 2,
		.stopped = hand_may_have_stopped(&r->hand),
		.stopped_early =
			hand_may_have_stopped_early(&r->hand, r->last_event_ms),
		.resumable = r->streaming && r->rq.resumable,
		.process = process,
	};

	switch (whole_judge(&facts)) {
	case WHOLE_COMPLETE:
		finish(r);
		break;
	case WHOLE_UNVERIFIED:
		met_inc(r->en->m.answers_verified);
		if (!edge_verify_start(r))
			edge_answer_end(r, WHOLE_PROCESS_OTHER);
		break;
	case WHOLE_CUT_OFF:
		handle_cut_off(r, &facts);
		break;
	}
}

/* What the connection says of the end of the call. */
static void note_end(struct edge_req *r, const struct htc_call *call)
{
	r->call = NULL;
	r->unframed = htc_ended_by_close(call);
	r->conn_end = htc_end_name(call);
	r->request_unacked = htc_unacked(call);
}

static void end_refused(struct edge_req *r)
{
	edge_send_not_run(r, r->reply.misdirected ? FLT_MISDIRECTED : FLT_BUSY,
			  EDGE_WHY_REFUSED);
}

static void on_end(struct htc_call *call)
{
	struct edge_req *r = htc_owner(call);

	note_end(r, call);
	if (r->reply.not_run) {
		end_refused(r);
		return;
	}
	edge_move_stream_ended(r);
	if (r->streaming && r->unframed && !evs_has_partial(&r->events) &&
	    migration_continues(r, hand_on_stream_closed(&r->hand)))
		return;
	edge_answer_end(r, WHOLE_PROCESS_UNKNOWN);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	static const char *const reasons[] = {
		[HTC_NOT_SENT] = "endpoint not reached",
		[HTC_CONNECTION_LOST] = "endpoint broke off",
		[HTC_MALFORMED] = "endpoint's answer is no HTTP",
		[HTC_TOO_LARGE] = "endpoint's answer is too large",
		[HTC_TIMEOUT] = "endpoint silent",
	};
	static const char *const causes[] = {
		[HTC_UNREACHED_REFUSED] = "refused",
		[HTC_UNREACHED_TIMED_OUT] = "timed out",
		[HTC_UNREACHED_OTHER] = "other",
		[HTC_UNREACHED_RELAY] = "relay",
	};
	struct edge_req *r = htc_owner(call);

	note_end(r, call);
	if (why == HTC_TOO_LARGE)
		met_inc(r->en->m.answers_oversized);
	/* The head has said so, however the rest ends. */
	if (r->reply.not_run) {
		end_refused(r);
		return;
	}
	if (why == HTC_NOT_SENT) {
		log_unreached(r, causes[htc_unreached(call)]);
		if (htc_unreached(call) == HTC_UNREACHED_RELAY)
			edge_send_relay_failed(r);
		else
			edge_send_unreached(r, reasons[why]);
		return;
	}
	if (why == HTC_CONNECTION_LOST && !r->relay[0])
		edge_reach_suspect(r->en, REACH_LOST_CONNECTION, r->endpoint);
	handle_broken(r, reasons[why], why == HTC_CONNECTION_LOST);
}

const struct htc_vtable edge_answer_vtable = { on_head, on_body, on_end,
					       on_failed };

void edge_send_lost(struct edge_req *r, const char *why)
{
	handle_lost(r, FLT_FAILED, why);
}

/* True if the endpoint may never have got the request, and it may be repeated. */
static bool is_silent(const struct edge_req *r, int64_t now)
{
	return r->call && !r->relay[0] && !r->move &&
	       now - r->sent_ms >= REACH_SILENCE_MS && rq_is_repeatable(&r->rq);
}

static struct edge_req *find_silent(struct edge *en, int64_t now)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (is_silent(r, now))
			return r;
	}
	return NULL;
}

void edge_send_abandon_silent(struct edge *en)
{
	const int64_t now = edge_now(en);
	struct edge_req *r;

	if (now - en->direct_received_ms < REACH_SILENCE_MS)
		return;
	/* What ends one request may end others too. */
	while ((r = find_silent(en, now)))
		handle_lost(r, FLT_FAILED, "cut off from endpoint");
}
