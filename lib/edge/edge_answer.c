/* What comes back of a send: its answer, its end, and what is done next. */
#include <stdlib.h>
#include <string.h>

#include "edge/edge_rollout.h"

/* No new send with less time than this left. */
#define MIN_TIME_MS 40

/* Bytes of an answer that is not streamed. */
#define MAX_ANSWER (16u << 20)

/* ---- Bookkeeping of a send ---- */

void edge_first_event_seen(struct edge_req *r)
{
	r->endpoint->prefill_tokens -= r->prefill_tokens;
	r->prefill_tokens = 0;
}

/*
 * The send under way is over, however it ended. A call that is still open is
 * cancelled: a stream whose run was stopped may be given up before it closed,
 * and its call would go on to a request that is gone.
 */
void edge_send_stop(struct edge_req *r)
{
	if (!r->endpoint)
		return;
	if (r->call)
		htc_cancel(r->call);
	r->call = NULL;
	edge_move_stop(r);
	memset(&r->hand, 0, sizeof(r->hand));
	edge_first_event_seen(r);
	r->endpoint->running--;
	flt_unref(&r->en->fleet, r->endpoint);
	r->endpoint = NULL;
	edge_fatal_stopped(r);
}

void edge_log_outcome(struct edge_req *r, const char *outcome, int status)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	met_observe(en->m.endpoint_ms, now - r->sent_ms);
	jlog_begin(en->log, JLOG_INFO, "send_ended");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "endpoint", r->endpoint->info.id);
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "status", status);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "first_ms",
		 r->first_ms ? r->first_ms - r->sent_ms : -1);
	jlog_int(en->log, "took_ms", now - r->sent_ms);
	jlog_end(en->log);
}

static void count_run(struct edge_req *r, int64_t true_ms)
{
	if (r->counted || !r->account)
		return;
	r->counted = true;
	edge_duty_count(r, true_ms);
}

/* ---- Steps ---- */

/* Time and another endpoint for one more send? */
static bool may_send_again(struct edge_req *r)
{
	return r->until_ms - edge_now(r->en) > MIN_TIME_MS &&
	       (!r->reached || edge_may_repeat(r, false));
}

static void cut(struct edge_req *r, const char *why)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;

	met_inc(en->m.cut);
	jlog_begin(en->log, JLOG_WARN, "cut");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "why", why);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "held_ms", edge_now(en) - r->arrived_ms);
	jlog_end(en->log);
	edge_req_free(r);
	hsc_cut(c);
}

void edge_step(struct edge_req *r, enum rq_step step, const char *why)
{
	switch (step) {
	case RQ_SEND:
	case RQ_RESUME:
		edge_send(r);
		break;
	case RQ_PASS:
		break; /* the caller of rq_answered does that */
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
		cut(r, why);
		break;
	case RQ_DROP:
		edge_req_free(r);
		break;
	}
}

static void tried(struct edge_req *r)
{
	if (r->nr_tried == EDGE_EXCLUDED)
		return;
	/* Another endpoint in its memory must not count as tried. */
	flt_ref(r->endpoint);
	r->tried[r->nr_tried++] = r->endpoint;
}

static void not_run(struct edge_req *r, enum flt_outcome o, const char *why)
{
	met_inc(r->en->m.not_run);
	flt_note(r->endpoint, o, edge_now(r->en));
	edge_log_outcome(r, why, r->reply.status);
	tried(r);
	edge_send_stop(r);
}

void edge_not_run(struct edge_req *r, enum flt_outcome o, const char *why)
{
	not_run(r, o, why);
	edge_step(r, rq_refused(&r->rq, may_send_again(r)), why);
}

void edge_unreached(struct edge_req *r, const char *why)
{
	not_run(r, FLT_UNREACHABLE, why);
	r->reached--;
	edge_unpay(r);
	edge_step(r, rq_unreached(&r->rq, may_send_again(r)), why);
}

static void lost(struct edge_req *r, enum flt_outcome o, const char *why)
{
	met_inc(r->en->m.lost);
	flt_note(r->endpoint, o, edge_now(r->en));
	edge_log_outcome(r, why, r->reply.status);
	if (!r->streaming)
		count_run(r, r->sent_true_ms);
	tried(r);
	edge_send_stop(r);
	edge_step(r, rq_lost(&r->rq, may_send_again(r)), why);
}

/* ---- The answer ---- */

static bool on_head(struct htc_call *call, const struct hmsg *m)
{
	struct edge_req *r = htc_owner(call);
	struct edge *en = r->en;

	en->wire->reply(m, &r->a, &r->reply);
	if (r->reply.other_attempt) {
		jlog_begin(en->log, JLOG_WARN, "foreign_answer");
		jlog_str(en->log, "id", r->a.id);
		jlog_str(en->log, "endpoint", r->endpoint->info.id);
		jlog_end(en->log);
		return false;
	}
	buf_reset(&r->body);
	r->streaming = r->reply.events && r->reply.status / 100 == 2 &&
		       r->reply.sealed && !r->reply.encoded;
	/* Of a resumed stream the caller has the first endpoint's head. */
	if (!r->streaming || !r->rq.started) {
		buf_reset(&r->head);
		en->wire->reply_head(m, &r->head);
	}
	return true;
}

static void put_stream_head(struct edge_req *r, struct buf *out)
{
	rq_started(&r->rq);
	buf_add(out, r->head.data, r->head.len);
	hmsg_put(out, "Transfer-Encoding", "chunked");
	r->said_last = hsc_last(r->conn);
	if (r->said_last)
		hmsg_put(out, "Connection", "close");
	hmsg_put_end(out);
	buf_free(&r->head);
}

/* The longest pause between events, also across a resumption. */
static void note_pause(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);

	if (r->event_ms && now - r->event_ms > r->pause_ms)
		r->pause_ms = now - r->event_ms;
	r->event_ms = now;
}

static void pass_events(struct edge_req *r, const char *data, size_t len)
{
	struct edge *en = r->en;
	BUF_AUTO events = BUF_INIT;
	BUF_AUTO out = BUF_INIT;
	size_t n;

	n = evs_feed(&r->events, data, len,
		     r->rq.started ? r->events.last_id : -1, &events);
	if (!n)
		return;
	edge_rollout_answered(r);
	if (!r->first_ms || r->prefill_tokens > 0) {
		if (!r->first_ms) {
			r->first_ms = edge_now(en);
			met_observe(en->m.first_event_ms,
				    r->first_ms - r->arrived_ms);
		}
		if (r->prefill_tokens > 0)
			edge_learn_first(r);
		edge_first_event_seen(r);
		count_run(r, truth_now(&en->truth, edge_now(en)));
	}
	note_pause(r);
	if (!r->rq.started)
		put_stream_head(r, &out);
	hmsg_put_chunk(&out, events.data, events.len);
	hsc_write(r->conn, out.data, out.len);
	/* All events that the stopped run made are there: it goes on. */
	if (hand_event(&r->hand, r->events.last_id) == HAND_CONTINUE)
		edge_move_on(r);
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	struct edge_req *r = htc_owner(call);

	if (r->streaming) {
		pass_events(r, data, len);
		return;
	}
	if (r->body.len + len <= MAX_ANSWER)
		buf_add(&r->body, data, len);
}

static void log_passed(struct edge_req *r)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	met_inc(en->m.passed);
	met_observe(en->m.answer_ms, now - r->arrived_ms);
	jlog_begin(en->log, JLOG_INFO, "passed");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "route", r->route->name);
	jlog_int(en->log, "objective_ms", r->route->objective_ms);
	jlog_int(en->log, "pause_ms", r->pause_ms);
	jlog_int(en->log, "pause_bound_ms", r->route->gap_ms);
	jlog_int(en->log, "status", r->reply.status);
	jlog_int(en->log, "runs", r->rq.runs);
	jlog_int(en->log, "first_ms",
		 r->first_ms ? r->first_ms - r->arrived_ms : -1);
	jlog_int(en->log, "took_ms", now - r->arrived_ms);
	jlog_end(en->log);
}

static void finish_stream(struct edge_req *r)
{
	struct hsc *c = r->conn;
	bool last;
	BUF_AUTO out = BUF_INIT;

	if (!r->rq.started)
		put_stream_head(r, &out);
	last = r->said_last;
	hmsg_put_chunk(&out, "", 0);
	rq_answered(&r->rq, true, false);
	flt_note(r->endpoint, FLT_GOOD, edge_now(r->en));
	edge_fatal_whole(r);
	edge_learn_end(r);
	edge_log_outcome(r, "complete", r->reply.status);
	log_passed(r);
	edge_send_stop(r);
	hsc_write(c, out.data, out.len);
	edge_req_free(r);
	hsc_done(c, last);
}

/*
 * A word that promises "not run", from an endpoint that does not say so of
 * this request: it may have run, and the caller must not read the promise.
 */
static bool false_promise(const struct reply *p)
{
	return p->status == 408 || p->status == 421 || p->status == 429 ||
	       p->status == 503;
}

static void pass_answer(struct edge_req *r)
{
	struct hsc *c = r->conn;
	const struct hmsg *m = &c->parse.msg;
	const bool last = hsc_last(c);
	const bool no_body = m->method == HTTP_HEAD || r->reply.status == 204 ||
			     r->reply.status == 304;
	BUF_AUTO out = BUF_INIT;

	buf_add(&out, r->head.data, r->head.len);
	if (!no_body)
		hmsg_put_int(&out, "Content-Length", (int64_t)r->body.len);
	if (last)
		hmsg_put(&out, "Connection", "close");
	hmsg_put_end(&out);
	if (!no_body)
		buf_add(&out, r->body.data, r->body.len);
	log_passed(r);
	edge_send_stop(r);
	hsc_write(c, out.data, out.len);
	edge_req_free(r);
	hsc_done(c, last);
}

static void finish_answer(struct edge_req *r)
{
	/* The rest of a stream is a stream. */
	const bool good = !r->rq.started && r->reply.status < 500;
	struct edge *en = r->en;
	enum rq_step step;

	if (r->reply.status / 100 == 2 &&
	    (!r->reply.sealed || !r->reply.echoed || r->reply.encoded)) {
		edge_rollout_failed(r, false);
		lost(r, FLT_FAILED, "answer without proof");
		return;
	}
	if (false_promise(&r->reply)) {
		edge_rollout_failed(r, false);
		lost(r, FLT_FAILED, "refusal that does not say not run");
		return;
	}
	count_run(r, r->sent_true_ms);
	flt_note(r->endpoint, good ? FLT_GOOD : FLT_FAILED, edge_now(en));
	if (good) {
		edge_rollout_answered(r);
		edge_learn_end(r);
	} else {
		edge_rollout_failed(r, false);
	}
	if (r->reply.status / 100 == 2 && good)
		edge_fatal_whole(r);
	edge_log_outcome(r, good ? "answered" : "error", r->reply.status);
	tried(r);
	step = rq_answered(&r->rq, good, may_send_again(r));
	if (step == RQ_PASS) {
		pass_answer(r);
		return;
	}
	edge_send_stop(r);
	edge_step(r, step, "endpoint failed");
}

/* True if the stream had been stopped for its copy, which takes over. */
static bool handed_on(struct edge_req *r, enum hand_step step)
{
	if (step == HAND_CONTINUE)
		edge_move_on(r);
	return step == HAND_CONTINUE || step == HAND_WAIT;
}

static void broke(struct edge_req *r, const char *why, bool by_connection)
{
	if (handed_on(r, hand_broke(&r->hand)))
		return;
	edge_rollout_failed(r, by_connection);
	edge_fatal_broke(r);
	lost(r, FLT_FAILED, why);
}

static void on_end(struct htc_call *call)
{
	struct edge_req *r = htc_owner(call);

	r->call = NULL;
	if (r->reply.not_run) {
		edge_not_run(r, r->reply.misdirected ? FLT_WRONG : FLT_BUSY,
			     "refused by endpoint");
		return;
	}
	if (!r->streaming) {
		finish_answer(r);
		return;
	}
	if (evs_torn(&r->events))
		broke(r, "stream ended within an event", true);
	else if (!handed_on(r, hand_ended(&r->hand)))
		finish_stream(r);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	static const char *const words[] = {
		[HTC_NOT_SENT] = "endpoint not reached",
		[HTC_BROKEN] = "endpoint broke off",
		[HTC_GARBLED] = "endpoint's answer is no HTTP",
		[HTC_LATE] = "endpoint silent",
	};
	struct edge_req *r = htc_owner(call);

	r->call = NULL;
	if (why == HTC_NOT_SENT)
		edge_unreached(r, words[why]);
	else
		broke(r, words[why], why == HTC_BROKEN);
}

const struct htc_vtable edge_answer_vtable = { on_head, on_body, on_end,
					       on_failed };

void edge_send_lost(struct edge_req *r, const char *why)
{
	lost(r, FLT_FAILED, why);
}

void edge_send_finished(struct edge_req *r)
{
	finish_stream(r);
}
