/*
 * Runs of requests: calls to engines, their streams, and retries. The modules
 * route (endpoints) and flow (retries, generations) decide; ent_rescue.c
 * handles reclaims.
 */
#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"

/* An engine that sends nothing for this long has probably lost the run. */
#define STREAM_IDLE_MS 8000

/* Backoff after the failure of an endpoint. */
#define ENDPOINT_BACKOFF_MS 1000

/* Fraction of an endpoint's slots that batch requests leave free for
 * interactive ones. */
#define BATCH_RESERVED_FRACTION 0.25

/* ---- Streams ---- */

/* An open stream of an engine. */
struct stream {
	struct entry *en;
	struct ent_req *rq;
	uint64_t endpoint;
	uint32_t attempt;
	bool resumed; /* reads an existing run again */
	struct sse sse;
	uint32_t next; /* offset of the next token */
	bool done;     /* the engine's end mark was read */
	int status;    /* HTTP; 0: none yet */
};

void ent_release_endpoint(struct ent_model *m, uint64_t id, bool failed,
			  int64_t now)
{
	struct route_endpoint *ep;

	pthread_mutex_lock(&m->lock);
	ep = route_find(m->table, id);
	if (ep) {
		route_done(ep, now);
		if (failed)
			ep->avoid_until_ms = now + ENDPOINT_BACKOFF_MS;
	}
	pthread_mutex_unlock(&m->lock);
}

static void log_engine(struct ent_req *rq, const char *what)
{
	ent_req_log(rq, "engine event=%s attempt=%u tokens=%u", what,
		    rq->flow.attempt, rq->flow.tokens);
}

/*
 * Passes an event to the flow and executes the resulting action. True if it is
 * a new token. Lock held.
 */
static bool handle_flow_event(struct ent_req *rq, enum flow_event_kind kind,
			      uint32_t attempt, uint32_t offset)
{
	const struct flow_event ev = { kind, attempt, offset };
	struct flow_action a;
	bool fresh;

	a = flow_event(&rq->flow, &ev, &fresh, ent_now(rq->en));
	if (kind == FLOW_EV_TOKEN && !fresh)
		met_inc(rq->en->m.tokens_dropped);
	if (!fresh || kind != FLOW_EV_TOKEN)
		ent_do_action(rq, a);
	return fresh;
}

static bool on_status(int status, void *arg)
{
	struct stream *s = arg;

	s->status = status;
	return status == 200;
}

/*
 * True if the answer is by the requested model, and by the version of the
 * tokens so far. Checked on each event: a stale order of a lease holder that
 * was paused may have changed what the endpoint runs.
 */
static bool is_expected_version(struct ent_req *rq,
				const struct engine_event *ev)
{
	if (*ev->model && strcmp(ev->model, rq->model))
		return false;
	if (!*ev->version)
		return true;
	if (!*rq->version)
		str_copy(rq->version, ev->version, sizeof(rq->version));
	return !strcmp(rq->version, ev->version);
}

static bool on_token(struct stream *s, const struct engine_event *ev)
{
	struct ent_req *rq = s->rq;

	if (!is_expected_version(rq, ev)) {
		met_inc(rq->en->m.stale_versions);
		log_engine(rq, "other-version");
		handle_flow_event(rq, FLOW_EV_MISMATCH, s->attempt, 0);
		return false;
	}
	if (*ev->finish)
		str_copy(rq->finish, ev->finish, sizeof(rq->finish));
	if (ev->is_token) {
		if (handle_flow_event(rq, FLOW_EV_TOKEN, s->attempt,
				      ev->offset)) {
			ent_req_append(rq, ev->text);
			ent_queue_copy(rq);
			pthread_cond_broadcast(&rq->changed);
		}
		s->next = ev->offset + 1;
	}
	return true;
}

static bool on_event(const struct sse_event *e, void *arg)
{
	struct stream *s = arg;
	struct engine_event ev;
	bool keep_reading;

	if (engine_read_event(e->id, e->data, s->next, &ev))
		return false;
	if (ev.done) {
		s->done = true;
		return true;
	}
	pthread_mutex_lock(&s->rq->lock);
	/* Events of an earlier attempt may still arrive. */
	keep_reading = s->attempt == s->rq->flow.attempt && on_token(s, &ev);
	pthread_mutex_unlock(&s->rq->lock);
	return keep_reading;
}

static bool on_data(const char *data, size_t len, void *arg)
{
	struct stream *s = arg;

	return sse_feed(&s->sse, data, len, on_event, s);
}

/* Client errors, which every endpoint would report. */
static bool is_client_error(int status)
{
	return status == 400 || status == 413 || status == 422;
}

static void end_client_error(struct ent_req *rq, int status)
{
	rq->status = status;
	ent_do_action(rq, flow_give_up(&rq->flow, ent_now(rq->en)));
}

/* Reports the end of a stream to the flow. Lock held. */
static void classify_end(struct stream *s, enum err_code why)
{
	struct ent_req *rq = s->rq;

	if (why == ERR_NONE && s->status == 200 && s->done) {
		handle_flow_event(rq, FLOW_EV_END, s->attempt, s->next);
	} else if (why == ERR_REFUSED && !s->resumed) {
		log_engine(rq, "no-connection");
		handle_flow_event(rq, FLOW_EV_REFUSED, s->attempt, 0);
	} else if (s->status == 429 || s->status == 503) {
		log_engine(rq, "busy");
		handle_flow_event(rq, FLOW_EV_REFUSED, s->attempt, 0);
	} else if (s->status == 404) {
		log_engine(rq, "gone");
		handle_flow_event(rq,
				  s->resumed ? FLOW_EV_GONE : FLOW_EV_REFUSED,
				  s->attempt, 0);
	} else if (!s->resumed && is_client_error(s->status)) {
		log_engine(rq, "bad-request");
		end_client_error(rq, s->status);
	} else {
		log_engine(rq, "broken");
		handle_flow_event(rq, FLOW_EV_BROKEN, s->attempt, 0);
	}
}

static void on_end(enum err_code why, int status, void *arg)
{
	struct stream *s = arg;
	struct ent_req *rq = s->rq;
	const bool failed = !s->done && why != ERR_NONE;

	if (status)
		s->status = status;
	ent_release_endpoint(rq->mod, s->endpoint, failed, ent_now(s->en));
	pthread_mutex_lock(&rq->lock);
	if (s->attempt == rq->flow.attempt && rq->flow.phase != FLOW_QUEUED &&
	    !rq->released)
		classify_end(s, why);
	pthread_mutex_unlock(&rq->lock);
	/* A slot became free: check the wait queue. */
	ent_send_command(s->en, ENT_CMD_WAKE, NULL, 0, 0, 0);
	sse_free(&s->sse);
	ent_req_put(rq);
	free(s);
}

/* ---- Opening streams; the request's lock is held ---- */

static bool endpoint_address(struct ent_model *m, uint64_t id, char *out,
			     size_t size)
{
	const struct route_endpoint *ep;

	pthread_mutex_lock(&m->lock);
	ep = route_find(m->table, id);
	if (ep)
		str_copy(out, ep->address, size);
	pthread_mutex_unlock(&m->lock);
	return ep != NULL;
}

void ent_stream_id(const struct ent_req *rq, char *out, size_t size)
{
	snprintf(out, size, "%s~%08x", rq->key, flow_gen(&rq->flow));
}

static void open_stream(struct ent_req *rq, const struct mux_request *mr,
			uint64_t endpoint, bool resumed)
{
	static const struct mux_sink sink = { on_status, on_data, on_end };
	struct stream *s = mem_new(sizeof(*s));

	s->en = rq->en;
	s->rq = rq;
	s->endpoint = endpoint;
	s->attempt = rq->flow.attempt;
	s->resumed = resumed;
	s->next = rq->flow.tokens;
	sse_init(&s->sse);
	ent_req_get(rq);
	rq->stream = mux_open(rq->en->mux, mr, &sink, s);
	if (rq->stream)
		return;
	sse_free(&s->sse);
	ent_req_put(rq);
	free(s);
	ent_release_endpoint(rq->mod, endpoint, false, ent_now(rq->en));
	handle_flow_event(rq, FLOW_EV_REFUSED, rq->flow.attempt, 0);
}

static void call_engine(struct ent_req *rq, const struct flow_action *a)
{
	BUF_AUTO body = BUF_INIT;
	char id[GRANT_KEY_MAX + 16], address[64];
	const struct engine_run run = {
		.body = rq->body ? rq->body : "{}",
		.stream_id = id,
		.kept_text = buf_cstr(&rq->text),
		.kept_tokens = a->from,
		.kv_from = *rq->kv_from ? rq->kv_from : NULL,
		.priority = rq->batch ? 1 : 0,
	};
	const struct mux_request mr = {
		.method = "POST",
		.address = address,
		.path = rq->chat ? "/v1/chat/completions" : "/v1/completions",
		.idle_ms = STREAM_IDLE_MS,
	};
	struct mux_request filled = mr;

	ent_stream_id(rq, id, sizeof(id));
	if (!endpoint_address(rq->mod, a->endpoint, address, sizeof(address)) ||
	    engine_print_run(&run, &body)) {
		ent_release_endpoint(rq->mod, a->endpoint, false,
				     ent_now(rq->en));
		handle_flow_event(rq, FLOW_EV_REFUSED, a->attempt, 0);
		return;
	}
	filled.body = body.data;
	rq->kv_from[0] = '\0';
	met_inc(rq->en->m.attempts);
	open_stream(rq, &filled, a->endpoint, false);
}

static void resume_engine(struct ent_req *rq, const struct flow_action *a)
{
	char id[GRANT_KEY_MAX + 16], address[64], path[GRANT_KEY_MAX + 64];
	struct mux_request mr = {
		.method = "GET",
		.address = address,
		.path = path,
		.idle_ms = STREAM_IDLE_MS,
	};
	struct route_endpoint *ep;

	if (!endpoint_address(rq->mod, a->endpoint, address, sizeof(address))) {
		handle_flow_event(rq, FLOW_EV_GONE, a->attempt, 0);
		return;
	}
	ent_stream_id(rq, id, sizeof(id));
	snprintf(path, sizeof(path), "/v1/streams/%s?from=%u", id, a->from);
	met_inc(rq->en->m.resumes);
	pthread_mutex_lock(&rq->mod->lock);
	ep = route_find(rq->mod->table, a->endpoint);
	if (ep)
		route_sent(ep, ent_now(rq->en));
	pthread_mutex_unlock(&rq->mod->lock);
	open_stream(rq, &mr, a->endpoint, true);
}

/* ---- Executing flow actions; the request's lock is held ---- */

void ent_give_up(struct ent_req *rq, const char *why)
{
	ent_req_log(rq, "give-up reason=%s", why);
	ent_do_action(rq, flow_give_up(&rq->flow, ent_now(rq->en)));
}

/*
 * Charges a retry to the account's retry budget; false if it is spent. The
 * first attempt is free. Runs that have tokens, such as those rescued from a
 * reclaim, are continued without a charge.
 */
static bool charge_retry(struct ent_req *rq)
{
	bool ok;

	if (!rq->acct || rq->flow.attempt < 2)
		return true;
	pthread_mutex_lock(&rq->acct->lock);
	ok = retry_budget_spend(&rq->acct->retries);
	pthread_mutex_unlock(&rq->acct->lock);
	return ok;
}

void ent_do_action(struct ent_req *rq, struct flow_action a)
{
	switch (a.kind) {
	case FLOW_WAIT:
		return;
	case FLOW_ROUTE:
		if (rq->flow.tokens)
			met_inc(rq->en->m.continued);
		if (!rq->flow.tokens && !charge_retry(rq)) {
			ent_give_up(rq, "retry-budget");
			return;
		}
		ent_send_command(rq->en, ENT_CMD_ROUTE, rq, 0, a.at_ms, 0);
		return;
	case FLOW_CALL:
		call_engine(rq, &a);
		return;
	case FLOW_RESUME:
		resume_engine(rq, &a);
		return;
	case FLOW_FINISH:
		ent_req_end(rq);
		return;
	}
}

/* ---- Choosing endpoints ---- */

/* Called with the model's lock held. */
void ent_fill_query(const struct ent_req *rq, struct route_query *ask)
{
	memset(ask, 0, sizeof(*ask));
	ask->prefix = rq->prefix;
	ask->prompt_tokens = rq->prompt_tokens;
	ask->kept_tokens = rq->flow.tokens;
	ask->max_tokens = rq->max_tokens;
	ask->version = rq->version;
	ask->zone = rq->en->self.zone;
	ask->avoid = rq->flow.avoid;
	ask->recompute_weight = rq->mod->recompute_weight;
	ask->reserve = rq->batch ? BATCH_RESERVED_FRACTION : 0;
}

static void log_choice(struct ent_req *rq, const struct route_choice *c,
		       const struct route_score *s, size_t n)
{
	char rows[320] = "";
	size_t at = 0, i;

	for (i = 0; i < n && at + 48 < sizeof(rows); i++)
		at += (size_t)snprintf(rows + at, sizeof(rows) - at,
				       "%s%.20s:%.0f/%zu", i ? "," : "",
				       s[i].ep->name, s[i].ms,
				       s[i].cached_chars);
	for (i = 0; i < n; i++) {
		if (s[i].ep->id == c->endpoint)
			break;
	}
	ent_req_log(rq,
		    "choose endpoint=%s score_ms=%.0f cached=%zu "
		    "considered=%u candidates=%s",
		    i < n ? s[i].ep->name : "none", c->score_ms,
		    c->cached_chars, c->considered, rows);
}

struct route_choice ent_choose_endpoint(struct ent_req *rq, bool only_with_room)
{
	struct route_score s[ROUTE_MAX_SCORES];
	struct ent_model *m = rq->mod;
	const int64_t now = ent_now(rq->en);
	struct route_choice c;
	struct route_query ask;
	size_t n = 0;

	pthread_mutex_lock(&m->lock);
	ent_fill_query(rq, &ask);
	c = route_choose(m->table, m->prefix, &ask, &m->rnd, now, s, &n);
	if (c.endpoint && (c.has_room || !only_with_room)) {
		route_sent(route_find(m->table, c.endpoint), now);
		if (rq->prefix)
			prefix_insert(m->prefix, rq->prefix, c.endpoint, now);
	}
	log_choice(rq, &c, s, n);
	pthread_mutex_unlock(&m->lock);
	return c;
}

/*
 * Starts the answer over, after no endpoint has run the model version of the
 * tokens so far for SAME_VERSION_WAIT_MS. The new run uses whatever version the
 * document specifies then. The client receives a restart event.
 */
static void restart_answer(struct ent_req *rq)
{
	met_inc(rq->en->m.restarts);
	ent_req_log(rq, "restart tokens=%u version=%s", rq->flow.tokens,
		    rq->version);
	flow_restart(&rq->flow);
	ent_req_truncate(rq, 0);
	rq->version[0] = '\0';
	rq->finish[0] = '\0';
	rq->copied_tokens = 0;
	pthread_cond_broadcast(&rq->changed);
}

#define ROUTE_RETRY_MS 50 /* interval of attempts without an endpoint */

/*
 * Time to wait for an endpoint that runs the version of the tokens so far
 * before the answer is restarted. Also the time to wait for any endpoint before
 * a request that has not run is given up, unless admission set another.
 */
#define SAME_VERSION_WAIT_MS 1500

static void handle_no_endpoint(struct ent_req *rq, int64_t now)
{
	if (!rq->start_by_ms)
		rq->start_by_ms = now + SAME_VERSION_WAIT_MS;
	if (rq->flow.tokens && now >= rq->start_by_ms)
		restart_answer(rq);
	if (now >= rq->flow.deadline_ms ||
	    (!rq->flow.ran && now >= rq->start_by_ms)) {
		ent_give_up(rq, "no-endpoint");
		return;
	}
	ent_send_command(rq->en, ENT_CMD_ROUTE, rq, 0, now + ROUTE_RETRY_MS, 0);
}

void ent_route_and_call(struct ent_req *rq)
{
	const int64_t now = ent_now(rq->en);
	struct route_choice c;
	struct flow_action a;

	if (rq->flow.phase != FLOW_QUEUED || rq->kv_move_pending)
		return;
	c = ent_choose_endpoint(rq, false);
	if (!c.endpoint) {
		handle_no_endpoint(rq, now);
		return;
	}
	rq->start_by_ms = 0;
	a = flow_routed(&rq->flow, c.endpoint, false, now);
	if (a.kind != FLOW_CALL)
		ent_release_endpoint(rq->mod, c.endpoint, false, now);
	ent_do_action(rq, a);
}

void ent_move_to(struct ent_req *rq, uint64_t endpoint, const char *kv_from)
{
	const struct flow_event ev = { FLOW_EV_MOVE, rq->flow.attempt, 0 };
	const int64_t now = ent_now(rq->en);
	const uint64_t old_stream = rq->stream;
	struct flow_action a;
	bool fresh;

	a = flow_event(&rq->flow, &ev, &fresh, now);
	if (a.kind != FLOW_ROUTE) {
		ent_release_endpoint(rq->mod, endpoint, false, now);
		ent_do_action(rq, a);
		return;
	}
	str_copy(rq->kv_from, kv_from, sizeof(rq->kv_from));
	ent_do_action(rq, flow_routed(&rq->flow, endpoint, true, now));
	mux_cancel(rq->en->mux, old_stream);
}
