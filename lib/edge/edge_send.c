/* Sending a request: selects the endpoint and starts the call. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_rollout.h"
#include "edge/explain.h"

/* A request that must not be repeated uses only connections idle for less. */
#define FRESH_CONN_MS 9000

/*
 * How long the machine of an endpoint may acknowledge nothing of a request that
 * may run twice: it is repeated elsewhere before its endpoint counts as gone.
 */
#define REPEAT_AFTER_MS 1000

/*
 * Time for which endpoints that this entry did not reach get requests through
 * relays, if the service has no other ones.
 */
#define RELAY_INSTEAD_MS 2000

/* Retry-After when no endpoint is known. */
#define NO_ENDPOINT_RETRY_MS 1000

/* Retry-After while the store has not recorded the only versions left. */
#define UNRECORDED_RETRY_MS 300

/* ---- Sending ---- */

/*
 * Priority for the engine, by the account or else the route: 0 is the most
 * urgent, 9 the least; -1: not sent.
 */
static int urgency_of(const struct edge_req *r)
{
	const int p = r->account && r->account->has_priority
			      ? r->account->priority
			      : r->route->priority;
	const int urgency = p < 0 ? 0 : p > 4 ? 9 : 1 + 2 * p;

	if (!r->service->has_engine || !r->en->conf->policy.urgency)
		return -1;
	return urgency && edge_bind_comes_first(r) ? urgency - 1 : urgency;
}

/* Picks among the endpoints with this use, without those already tried. */
static struct pick_result pick_among(struct edge_req *r, enum flt_use use,
				     bool leaving)
{
	struct edge *en = r->en;
	struct pick_query q = {
		.service = r->service->name,
		.model = edge_service_model(en, r->service->name),
		.zone = en->conf->zone,
		.engine = r->service->has_engine,
		.prefix = en->conf->policy.affinity && r->route->cached
				  ? r->attempt.prefix_hash
				  : 0,
		.ignore_failures = !en->conf->policy.avoid_failing,
		.stream = r->route->kind == CFG_STREAM,
		.isolate = r->isolated,
		.speeds = en->conf->policy.speeds,
		.slow_start = en->conf->policy.slow_start,
		.entry = en->source,
		.true_ms = walltime_now(&en->walltime, edge_now(en)),
		.pause_ms = r->service->gap_ms,
		.sending_peers = en->sending_peers,
		.sample_seed = en->conf->policy.sample
				       ? hsh_str(r->attempt.id,
						 r->sends + r->admit.waits) |
						 1
				       : 0,
		.use = use,
		.bound = r->bound,
		.version = r->version,
		.shared_tokens = r->attempt.prefix_tokens,
		.unshared_tokens =
			r->attempt.prompt_tokens - r->attempt.prefix_tokens,
		.now_ms = edge_now(en),
		.nr_excluded = r->nr_tried,
		.parts = &en->parts,
	};

	memcpy(q.excluded, r->tried, sizeof(q.excluded));
	if (leaving)
		q.nr_excluded += edge_stop_avoided(
			en, q.service, q.excluded + q.nr_excluded,
			PICK_MAX_EXCLUDED - q.nr_excluded);
	return pick_endpoint(&en->fleet, &q);
}

static struct pick_result pick_for(struct edge_req *r, enum flt_use use)
{
	struct pick_result p = pick_among(r, use, r->en->stopping);

	if (!p.endpoint && r->en->stopping)
		p = pick_among(r, use, false);
	return p;
}

/* Adds the ids of the prompt's shared parts, separated by commas. */
static void log_parts(struct edge *en, const struct attempt *a)
{
	BUF_AUTO ids = BUF_INIT;
	unsigned i;

	for (i = 0; i < a->nr_parts; i++)
		buf_fmt(&ids, "%s%s", i ? "," : "", a->parts[i].id);
	jlog_str(en->log, "parts", buf_cstr(&ids));
}

static void log_send(struct edge_req *r, const struct pick_result *p,
		     const struct forward *f)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	jlog_begin(en->log, JLOG_INFO, "send");
	jlog_str(en->log, "id", r->attempt.id);
	edge_log_content(en, r->content);
	log_parts(en, &r->attempt);
	jlog_str(en->log, "route", r->route->name);
	jlog_str(en->log, "account", r->account ? r->account->name : "");
	jlog_int(en->log, "config", r->cfg->version);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, now));
	jlog_str(en->log, "endpoint", p->endpoint->info.id);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, now));
	jlog_str(en->log, "zone", p->endpoint->info.zone);
	jlog_str(en->log, "relay", r->relay);
	jlog_int(en->log, "candidates", p->candidates);
	jlog_int(en->log, "withheld", p->withheld);
	jlog_int(en->log, "wait_ms", (int64_t)p->wait_ms);
	jlog_num(en->log, "factor", edge_speed_factor(r));
	jlog_str(en->log, "held", p->held ? p->held->info.id : "");
	jlog_str(en->log, "avoided", p->avoided ? p->avoided->info.id : "");
	jlog_bool(en->log, "cached", p->cached);
	jlog_int(en->log, "running", p->endpoint->running);
	jlog_int(en->log, "peer_running", (int64_t)p->endpoint->peer_running);
	jlog_str(en->log, "version", p->endpoint->info.version);
	jlog_str(en->log, "began_version", r->began_version);
	jlog_int(en->log, "send", r->sends);
	jlog_bool(en->log, "apart", r->isolated);
	jlog_str(en->log, "resumes", r->attempt.resumes);
	jlog_int(en->log, "resume_after",
		 f->resume_after >= 0 ? f->resume_after
				      : r->attempt.resume_after);
	jlog_int(en->log, "left_ms", f->deadline_ms);
	jlog_str(en->log, "service", r->service->name);
	jlog_end(en->log);
}

/* Counts the request at the endpoint, and keeps the endpoint's state. */
static void assign_endpoint(struct edge_req *r, const struct pick_result *p)
{
	struct edge *en = r->en;

	r->endpoint = p->endpoint;
	flt_ref(r->endpoint);
	r->endpoint->running++;
	edge_rollout_sent(r);
	r->model = edge_service_model(en, r->service->name);
	r->endpoint_state = p->state;
	r->predicted_ms = p->wait_ms;
	r->prefill_known = p->cache_certain;
	r->prefill_tokens = r->attempt.prompt_tokens -
			    (p->cached ? r->attempt.prefix_tokens : 0);
	r->endpoint->prefill_tokens += r->prefill_tokens;
	if (r->service->has_engine)
		svc_on_sent(r->model, r->endpoint_state.tokens_to_prefill,
			    edge_now(en));
	if (r->route->cached && r->attempt.prefix_hash)
		parts_record(&en->parts, r->attempt.prefix_hash,
			     r->endpoint->hash, edge_now(en));
}

/* `copy_at`: IP:PORT/HANDLE of a copy of the run's KV cache; NULL: none. */
static void start_send(struct edge_req *r, const struct pick_result *p,
		       const char *copy_at)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;
	const int64_t now = edge_now(en);
	const struct forward f = {
		.endpoint_id = p->endpoint->info.id,
		.account = r->account ? r->account->name : NULL,
		.deadline_ms = r->deadline_at_ms - now,
		.urgency = urgency_of(r),
		.resume_after = r->rq.started ? r->events.last_id : -1,
		.copy_at = copy_at,
	};
	const struct edge_way way =
		edge_way_to(en, p->endpoint, r->avoid_direct);
	struct buf wire = BUF_INIT;
	struct shb *body = NULL;

	str_copy(r->relay, way.relay ? way.relay : "", sizeof(r->relay));
	assign_endpoint(r, p);
	if (copy_at)
		edge_prefill_done(r); /* the copy has the prompt's KV cache */
	r->sends++;
	r->sends_reached++;
	met_inc(en->m.sends);
	if (way.relay)
		met_inc(en->m.sends_relayed);
	if (p->avoided)
		met_inc(en->m.sends_off_slow);
	if (p->endpoint->use == FLT_ON_TRIAL)
		met_inc(en->m.sends_on_trial);
	edge_statement_count_send(en, p->endpoint);
	if (r->sends > 1)
		met_inc(r->rq.started ? en->m.resumes : en->m.resends);
	else if (r->attempt.resume_after >= 0)
		met_inc(en->m.streams_taken_up);
	if (r->bound && r->version != p->endpoint->version)
		met_inc(en->m.streams_mixed);
	r->sent_ms = now;
	r->sent_true_ms = walltime_now(&en->walltime, now);
	memset(&r->reply, 0, sizeof(r->reply));
	r->unframed = false;
	r->conn_end = "";
	r->request_unacked = 0;
	r->unread = false;
	evs_drop_partial(&r->events);
	r->events_before_send = r->events.events;
	log_send(r, p, &f);
	en->wire->encode_request(&c->parse.msg, c->body.len, &r->attempt, &f,
				 &wire);
	if (c->body.len <= EDGE_COPY_BYTES)
		buf_add(&wire, c->body.data, c->body.len);
	else
		body = hsc_share_body(c);
	rq_sent(&r->rq);
	edge_req_hold(r);
	if (edge_fatal_is_quarantined(r))
		met_inc(en->m.sends_quarantined);
	edge_fatal_sent(r);
	if (way.pool)
		r->call = htc_start_with(
			way.pool, &wire, body,
			r->rq.kind == CFG_IDEMPOTENT ? 0 : FRESH_CONN_MS,
			c->parse.msg.method == HTTP_HEAD, 0,
			&edge_answer_vtable, r);
	if (r->call && r->rq.kind == CFG_IDEMPOTENT)
		htc_set_ack_timeout(r->call, REPEAT_AFTER_MS);
	if (r->call)
		return;
	buf_free(&wire);
	edge_send_unreached(r, "no connection to be had");
}

/* True if the service has endpoints that get no requests as not reached. */
static bool any_unreached(const struct edge_req *r)
{
	const int64_t now = edge_now(r->en);
	const struct flt_endpoint *e;

	cds_list_for_each_entry(e, &r->en->fleet.endpoints, node) {
		if (now < e->unreached_until_ms && !e->draining_since_ms &&
		    !strcmp(e->info.service, r->service->name))
			return true;
	}
	return false;
}

/*
 * Refuses a request for which there is no endpoint. If endpoints only take no
 * more requests for now, Retry-After is the time until the first one does.
 * Where a limit is among the reasons it is short, since another entry may have
 * a share of it.
 */
static void refuse(struct edge_req *r, const struct pick_result *p)
{
	const int64_t now = edge_now(r->en);
	const char *why = "no endpoint";
	int64_t retry_ms = NO_ENDPOINT_RETRY_MS;

	if (p->withheld) {
		met_inc(r->en->m.answers_withheld);
		why = EDGE_WHY_WITHHELD;
		if (p->waiting == p->withheld || p->open_ms - now < retry_ms)
			retry_ms = p->open_ms - now;
	} else if (r->route->kind == CFG_STREAM && !r->bound &&
		   edge_versions_withholds(r->en, r->service->name)) {
		why = "version not recorded yet";
		retry_ms = UNRECORDED_RETRY_MS;
	} else if (r->rq.refusals) {
		why = "endpoints are full";
		retry_ms = EDGE_FULL_RETRY_MS;
	} else if (r->bound) {
		why = EDGE_WHY_NO_VERSION;
	} else if (any_unreached(r)) {
		why = "endpoints not reached";
		retry_ms = EDGE_FULL_RETRY_MS;
	}
	edge_req_answer(r, 503, why, retry_ms);
}

/*
 * The endpoints that this entry did not reach get requests through relays
 * instead. False: there are none, or no relay. An endpoint that a relay did not
 * reach either stays in backoff.
 */
static bool relay_to_unreached(const struct edge_req *r)
{
	const int64_t now = edge_now(r->en);
	struct flt_endpoint *e;
	bool any = false;

	if (!edge_has_relay(r->en, now))
		return false;
	cds_list_for_each_entry(e, &r->en->fleet.endpoints, node) {
		if (now >= e->unreached_until_ms || now < e->relay_until_ms ||
		    strcmp(e->info.service, r->service->name))
			continue;
		e->relay_until_ms = now + RELAY_INSTEAD_MS;
		flt_clear_unreached(e, now);
		any = true;
	}
	return any;
}

/* Cut off from all endpoints, without an entry that relays. */
static bool has_no_way(const struct edge *en)
{
	return en->reach.cut_off && !edge_has_relay(en, edge_now(en));
}

void edge_send(struct edge_req *r)
{
	struct pick_result p;
	enum flt_use use;

	if (!edge_fatal_may_send(r))
		return;
	if (has_no_way(r->en)) {
		edge_step(r, rq_no_endpoint(&r->rq), EDGE_WHY_CUT_OFF);
		return;
	}
	use = edge_rollout_use(r);
	p = pick_for(r, use);
	if (!p.endpoint && use != FLT_IN_USE)
		p = pick_for(r, FLT_IN_USE);
	if (!p.endpoint && relay_to_unreached(r))
		p = pick_for(r, FLT_IN_USE);
	edge_learn_offered(r, &p);
	if (!p.endpoint && edge_place_wait(r))
		return;
	if (!p.endpoint) {
		if (r->rq.runs || r->rq.started) {
			edge_step(r, rq_no_endpoint(&r->rq),
				  r->bound ? EDGE_WHY_NO_VERSION
					   : "no endpoint");
			return;
		}
		rq_no_endpoint(&r->rq);
		refuse(r, &p);
		return;
	}
	if (!edge_stop_may_send(r, &p))
		return;
	/*
	 * Only requests that reached an endpoint count as retries. When refused
	 * connections were charged too, one crashed endpoint exhausted the
	 * budget, and callers were refused while other endpoints were healthy.
	 */
	r->retry_charged = r->sends_reached > 0;
	if (r->retry_charged && !edge_may_retry(r, true)) {
		if (edge_bind_comes_first(r) && edge_place_wait(r))
			return;
		edge_step(r, rq_no_endpoint(&r->rq), "no repeats left");
		return;
	}
	if (!edge_admit(r, &p))
		return;
	gate_pass(&p.endpoint->gate, edge_now(r->en));
	r->move_tries = 0;
	start_send(r, &p, NULL);
}

bool edge_send_can_move(const struct edge_req *r, const struct flt_endpoint *to)
{
	const int64_t now = edge_now(r->en);

	return !edge_fatal_is_quarantined(r) && flt_in_service(to, now) &&
	       !gate_waits(&to->gate, now);
}

/*
 * The run was stopped and exists nowhere else, so only what makes its continuation
 * impossible or forbidden counts: a failed connection or a limit does not.
 */
static bool can_continue_at(const struct edge_req *r,
			    const struct flt_endpoint *to)
{
	return !edge_fatal_is_quarantined(r) && edge_move_is_in_time(r->en, to);
}

/* Between two tries to reach a copy, ms. */
#define COPY_RETRY_MS 100

void edge_send_forget_copy(struct edge_req *r)
{
	r->copy.at[0] = '\0';
	r->copy.again_ms = 0;
	if (r->copy.to)
		flt_unref(&r->en->fleet, r->copy.to);
	if (r->copy.other)
		flt_unref(&r->en->fleet, r->copy.other);
	r->copy.to = r->copy.other = NULL;
}

/* The source has the run as well: it is tried in turn with the copy. */
static bool take_turns(struct edge_req *r)
{
	struct flt_endpoint *to = r->copy.to;

	if (!r->copy.other || !can_continue_at(r, r->copy.other))
		return false;
	r->copy.to = r->copy.other;
	r->copy.other = to;
	return true;
}

bool edge_send_copy_again(struct edge_req *r, bool refused)
{
	const bool turned = r->rq.at_copy && r->copy.at[0] && take_turns(r);

	if (!r->rq.at_copy || !r->copy.at[0] || !edge_has_time(r) ||
	    (refused && !turned) || !can_continue_at(r, r->copy.to))
		return false;
	if (turned)
		r->move_tries = r->copy.tries;
	if (refused) {
		/* No further copy is made there at once. */
		edge_move_exclude(r, r->copy.other);
		flt_unref(&r->en->fleet, r->copy.other);
		r->copy.other = NULL;
	}
	rq_copy_unused(&r->rq);
	r->copy.again_ms = edge_now(r->en) + (refused ? 0 : COPY_RETRY_MS);
	return true;
}

static void send_again(struct edge_req *r)
{
	const struct pick_result p = { .endpoint = r->copy.to, .cached = true };

	r->copy.again_ms = 0;
	if (can_continue_at(r, r->copy.to))
		start_send(r, &p, r->copy.at);
	else
		edge_step(r, rq_no_endpoint(&r->rq), "no way to the copy");
}

/* A request whose next try is due; NULL: none. */
static struct edge_req *find_due(struct edge *en, int64_t now)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->copy.again_ms && now >= r->copy.again_ms)
			return r;
	}
	return NULL;
}

void edge_send_copies_tick(struct edge *en, int64_t now)
{
	struct edge_req *r;

	/* What ends one request may end others too. */
	while ((r = find_due(en, now)))
		send_again(r);
}

/* Streams that may be repeated are resumed elsewhere instead. */
static void remember_copy(struct edge_req *r, struct flt_endpoint *to,
			  const char *at)
{
	edge_send_forget_copy(r);
	if (rq_is_repeatable(&r->rq))
		return;
	str_copy(r->copy.at, at, sizeof(r->copy.at));
	r->copy.tries = r->move_tries;
	r->copy.to = to;
	flt_ref(to);
	if (to == r->endpoint)
		return;
	r->copy.other = r->endpoint;
	flt_ref(r->endpoint);
}

void edge_send_moved(struct edge_req *r, struct flt_endpoint *to,
		     const char *handle)
{
	const struct pick_result p = { .endpoint = to, .cached = true };
	struct edge *en = r->en;
	char copy_at[sizeof(r->endpoint->info.address) + 64];

	/* Its limit was charged when the copy was requested. */
	if (!can_continue_at(r, to)) {
		edge_send_lost(r, "no way to the copy");
		return;
	}
	snprintf(copy_at, sizeof(copy_at), "%s/%s", r->endpoint->info.address,
		 handle);
	remember_copy(r, to, copy_at);
	edge_log_send_ended(r, "moved", r->reply.status);
	rq_moved(&r->rq);
	if (to != r->endpoint)
		r->move_tries = 0;
	flt_ref(to); /* edge_send_stop drops the migration's reference */
	edge_send_stop(r);
	r->retry_charged = false;   /* the migration was charged on its own */
	start_send(r, &p, copy_at); /* may free `r` */
	flt_unref(&en->fleet, to);
}
