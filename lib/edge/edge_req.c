/*
 * Admission of callers' requests: configuration, keys, account limits and retry
 * budgets; and the responses of the entry itself.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "edge/edge_rollout.h"

/*
 * A request with an unknown key or route is refused only if the configuration
 * was confirmed as the newest within bounds.apply_ms, less this margin, before
 * the request arrived. A caller may rely on a change only bounds.apply_ms after
 * it was accepted, and such a change is in that configuration. The margin
 * covers timers that fire late. With a fixed second instead of the bound, 84
 * entries read the configuration about 1,500 times in 50 s for 1,500 requests
 * without a route.
 */
#define VERIFY_MARGIN_MS 300

/* Maximum wait of a request for a check of the configuration; then 503. */
#define VERIFY_WAIT_MS 900

/* The part of bounds.revoke_ms that sending to an endpoint may take. */
#define REVOKE_MARGIN_MS 500

/* Time from a request's deadline to the timeout response. */
#define DEADLINE_GRACE_MS 30

/* Timeout of a request without a deadline on a route without a timeout. */
#define DEFAULT_TIMEOUT_MS 30000

/*
 * Retry-After for waits of unknown length, such as until the store is reachable
 * again.
 */
#define RETRY_LATER_MS 1000

/* ---- End of a request ---- */

void edge_req_free(struct edge_req *r)
{
	struct edge *en = r->en;

	ev_timer_stop(en->loop, &r->deadline_timer);
	ev_timer_stop(en->loop, &r->verify_timer);
	edge_bind_cancel(r);
	edge_place_cancel(r);
	edge_admit_cancel(r);
	edge_send_stop(r);
	while (r->nr_tried)
		flt_unref(&en->fleet, r->tried[--r->nr_tried]);
	edge_move_exclude(r, NULL);
	edge_send_forget_copy(r);
	if (r->awaiting_config || r->parked)
		cds_list_del(&r->wait_node);
	cds_list_del(&r->node);
	cfg_put(r->cfg);
	buf_free(&r->answer_head);
	buf_free(&r->answer_body);
	evs_free(&r->events);
	if (r->conn)
		r->conn->request = NULL;
	free(r);
}

/* Refunds the account's limit, unless the request may have run. */
static void refund(struct edge_req *r)
{
	if (!r->charged || !r->account || r->rq.runs || r->rq.sending)
		return;
	acct_refund(acct_get(&r->en->accounts, r->account->name,
			     edge_now(r->en)),
		    r->charged);
	r->charged = 0;
}

static void count_own_answer(struct edge *en, int status)
{
	if (status == 503 || status == 429)
		met_inc(en->m.answers_refused);
	else if (status >= 500)
		met_inc(en->m.answers_failed);
	else
		met_inc(en->m.requests_denied);
}

void edge_req_answer(struct edge_req *r, int status, const char *why,
		     int64_t retry_ms)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;
	const bool last = hsc_must_close(c);
	BUF_AUTO out = BUF_INIT;

	refund(r);
	count_own_answer(en, status);
	jlog_begin(en->log, JLOG_INFO, "answer");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_int(en->log, "status", status);
	jlog_str(en->log, "why", why);
	jlog_int(en->log, "runs", r->rq.runs);
	jlog_int(en->log, "refusals", r->rq.refusals);
	jlog_int(en->log, "retry_ms", retry_ms);
	jlog_int(en->log, "held_ms", edge_now(en) - r->arrived_ms);
	jlog_int(en->log, "sends", r->sends);
	if (r->cfg) {
		jlog_str(en->log, "route", r->route ? r->route->name : "");
		jlog_str(en->log, "service",
			 r->service ? r->service->name : "");
		jlog_str(en->log, "account",
			 r->account ? r->account->name : "");
		edge_log_content(en, r->content);
		jlog_int(en->log, "config", r->cfg->version);
		jlog_int(en->log, "config_age_ms",
			 force_age(&en->force, edge_now(en)));
	}
	jlog_end(en->log);
	en->wire->encode_own_answer(status,
				    r->attempt.id[0] ? r->attempt.id : NULL,
				    why, retry_ms, last, &out);
	hsc_write(c, out.data, out.len);
	edge_req_free(r);
	hsc_done(c, last);
}

/* ---- Admission ---- */

/*
 * Queues the request until the configuration has been checked, and starts a
 * check. Responds with 503 and `why` at once if it was checked before, or if
 * a configuration is in force and the store is unreachable.
 */
static void wait_for_config(struct edge_req *r, const char *why)
{
	struct edge *en = r->en;

	if (r->config_checked || (en->force.cfg && !sto_reachable(en->store))) {
		edge_req_answer(r, 503, why, RETRY_LATER_MS);
		return;
	}
	jlog_begin(en->log, JLOG_INFO, "confirming");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "else", why);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, edge_now(en)));
	jlog_end(en->log);
	r->awaiting_config = true;
	cds_list_add_tail(&r->wait_node, &en->awaiting_config);
	ev_timer_stop(en->loop, &r->verify_timer);
	ev_timer_set(&r->verify_timer, (double)VERIFY_WAIT_MS / 1000, 0);
	ev_timer_start(en->loop, &r->verify_timer);
	edge_config_tick(en, edge_now(en));
}

/* True if the configuration was confirmed recently enough for a refusal. */
static bool config_confirmed(const struct edge_req *r)
{
	const struct force *f = &r->en->force;

	const int64_t bound = (int64_t)r->en->conf->bounds.apply_ms;

	return !force_behind(f) &&
	       f->confirmed_ms >= r->arrived_ms - bound + VERIFY_MARGIN_MS;
}

/*
 * Refuses a request that the configuration does not allow. Unless the
 * configuration is known to be the newest, it is checked first: the key or
 * route may just have been added.
 */
static void deny(struct edge_req *r, int status, const char *why)
{
	if (config_confirmed(r))
		edge_req_answer(r, status, why, -1);
	else
		wait_for_config(r, "configuration not confirmed");
}

/* True if the keys were confirmed recently enough (bounds.revoke_ms). */
static bool key_confirmed(const struct edge_req *r)
{
	const struct conf *conf = r->en->conf;

	if (!conf->bounds.strict_revoke || r->route->anonymous)
		return true;
	return force_can_check_key(&r->en->force, r->arrived_ms,
				   (int)conf->bounds.revoke_ms -
					   REVOKE_MARGIN_MS);
}

/* False if the route needs an account and the request's key is unknown. */
static bool find_account(struct edge_req *r)
{
	if (!r->cfg->nr_accounts || r->route->anonymous)
		return true;
	r->account = r->attempt.key[0] ? cfg_account(r->cfg, r->attempt.key)
				       : NULL;
	return r->account != NULL;
}

/*
 * Hashes what all attempts of the same request have in common: callers retry
 * under a new id, and at any entry.
 */
static void hash_content(struct edge_req *r)
{
	const struct hmsg *m = &r->conn->parse.msg;
	const struct buf *body = &r->conn->body;
	BUF_AUTO head = BUF_INIT;

	buf_fmt(&head, "%s\n%s\n%s", r->account ? r->account->name : "",
		r->attempt.host, hmsg_url(m));
	r->content = hsh128_combine(hsh128(head.data, head.len),
				    hsh128(buf_cstr(body), body->len));
	fatal_request_init(&r->fatal, r->content, &r->attempt);
	r->fatal.route = r->route->name;
	r->fatal.account = r->account ? r->account->name : "";
}

/* The request's charge to its account's limit, in requests or tokens. */
static double charge_of(const struct edge_req *r)
{
	if (!r->account->rate_in_tokens)
		return 1;
	if (!r->attempt.has_token_counts)
		return r->account->default_tokens;
	return r->attempt.prompt_tokens + r->attempt.output_tokens;
}

/* Logs the state that led to the refusal. */
static void log_over_limit(const struct edge_req *r, const struct acct *a,
			   double amount, int64_t after_ms)
{
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO, "over_limit");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "account", a->name);
	jlog_num(en->log, "amount", amount);
	jlog_num(en->log, "level", a->level);
	jlog_num(en->log, "share", acct_share(&en->accounts, a));
	jlog_num(en->log, "rate", a->rate);
	jlog_num(en->log, "demand", a->demand);
	jlog_num(en->log, "demand_elsewhere", a->demand_elsewhere);
	jlog_int(en->log, "told_ms", en->accounts.gossip_delay_ms);
	jlog_int(en->log, "after_ms", after_ms);
	jlog_end(en->log);
}

/*
 * Charges the account's limit. False: the request exceeds it; *after_ms is the
 * Retry-After.
 */
static bool charge_limit(struct edge_req *r, int64_t *after_ms)
{
	struct edge *en = r->en;
	struct acct *a;
	const double amount = r->account ? charge_of(r) : 0;

	if (!r->account)
		return true;
	a = acct_get(&en->accounts, r->account->name, edge_now(en));
	if (!acct_admit(&en->accounts, a, r->account->rate, r->account->burst,
			amount, edge_now(en), after_ms)) {
		log_over_limit(r, a, amount, *after_ms);
		return false;
	}
	if (r->account->rate > 0)
		r->charged = amount;
	return true;
}

/* Made on first use. Services beyond the maximum share the first budget. */
static struct edge_retry_budget *find_budget(struct edge *en,
					     const char *service)
{
	unsigned i;

	for (i = 0; i < en->nr_budgets; i++) {
		if (!strcmp(en->budgets[i].service, service))
			return &en->budgets[i];
	}
	if (en->nr_budgets == EDGE_MAX_RETRY_BUDGETS)
		return &en->budgets[0];
	str_copy(en->budgets[i].service, service, FLT_NAME);
	en->nr_budgets++;
	return &en->budgets[i];
}

static struct again_limits retry_limits(const struct edge *en)
{
	return (struct again_limits){
		.ratio = en->conf->bounds.retry_ratio,
		.slack = en->conf->bounds.retry_slack,
		.window_ms = (int64_t)(en->conf->bounds.retry_window_s * 1000),
	};
}

static struct again *retry_budget(struct edge_req *r)
{
	return &find_budget(r->en, r->service->name)->budget;
}

bool edge_may_retry(struct edge_req *r, bool spend)
{
	struct edge *en = r->en;
	const struct again_limits l = retry_limits(en);
	const int64_t now = edge_now(en);
	const unsigned n = en->nr_running;

	if (!spend)
		return again_available(retry_budget(r), &l, n, now);
	return again_spend(retry_budget(r), &l, n, now);
}

void edge_retry_put_back(struct edge_req *r)
{
	again_refund(retry_budget(r));
}

void edge_retry_refund(struct edge_req *r)
{
	if (r->retry_charged)
		edge_retry_put_back(r);
	r->retry_charged = false;
}

/*
 * Selects one of the route's services by weight, from a hash of the id: of the
 * first attempt, if the request continues its stream.
 */
static const struct cfg_service *choose_service(const struct edge_req *r)
{
	const struct cfg_route *route = r->route;
	const char *id = *r->attempt.resumes ? r->attempt.resumes
					     : r->attempt.id;
	double sum = 0, at;
	size_t i;

	for (i = 0; i < route->nr_shares; i++)
		sum += route->shares[i].weight;
	at = (double)(hsh_str(id, 7) >> 11) / (double)(1ull << 53) * sum;
	for (i = 0; i + 1 < route->nr_shares; i++) {
		at -= route->shares[i].weight;
		if (at < 0)
			break;
	}
	return cfg_service(r->cfg, route->shares[i].service);
}

static void set_deadline_timer(struct edge_req *r, int64_t ms)
{
	ev_timer_stop(r->en->loop, &r->deadline_timer);
	ev_timer_set(&r->deadline_timer, ms > 0 ? (double)ms / 1000 : 0.001, 0);
	ev_timer_start(r->en->loop, &r->deadline_timer);
}

static void arm_deadline_timer(struct edge_req *r)
{
	int64_t ms = r->route->timeout_ms > 0 ? r->route->timeout_ms
					      : DEFAULT_TIMEOUT_MS;
	const int64_t now = edge_now(r->en);

	if (r->attempt.deadline_ms >= 0 && r->attempt.deadline_ms < ms)
		ms = r->attempt.deadline_ms;
	r->deadline_at_ms = r->arrived_ms + ms;
	set_deadline_timer(r, r->deadline_at_ms - now + DEADLINE_GRACE_MS);
}

/* Assigns the configuration in force to the request. */
static void use_current_config(struct edge_req *r)
{
	cfg_put(r->cfg);
	r->cfg = cfg_ref(r->en->force.cfg);
}

static void admit(struct edge_req *r)
{
	struct edge *en = r->en;
	const struct again_limits l = retry_limits(en);
	const int64_t now = edge_now(en);
	int64_t after_ms;

	if (!en->force.cfg) {
		/* Just started: the first read takes about ten milliseconds. */
		wait_for_config(r, "no configuration yet");
		return;
	}
	use_current_config(r);
	r->route = cfg_route(r->cfg, r->attempt.host,
			     hmsg_url(&r->conn->parse.msg));
	if (!r->route) {
		deny(r, 404, "no route");
		return;
	}
	if (!find_account(r)) {
		deny(r, 401, "unknown key");
		return;
	}
	if (!key_confirmed(r)) {
		wait_for_config(r, "keys not confirmed");
		return;
	}
	r->service = choose_service(r);
	if (!r->service) {
		edge_req_answer(r, 503, "no such service", RETRY_LATER_MS);
		return;
	}
	hash_content(r);
	if (!charge_limit(r, &after_ms)) {
		edge_req_answer(r, 429, "account over its limit", after_ms);
		return;
	}
	rq_init(&r->rq, r->route);
	evs_init(&r->events);
	again_earn(retry_budget(r), &l, en->nr_running, now);
	arm_deadline_timer(r);
	if (edge_bind_ready(r))
		edge_send(r);
}

void edge_req_resume_waiting(struct edge *en)
{
	struct edge_req *r, *next;
	struct cds_list_head all;

	CDS_INIT_LIST_HEAD(&all);
	cds_list_splice(&en->awaiting_config, &all);
	CDS_INIT_LIST_HEAD(&en->awaiting_config);
	cds_list_for_each_entry_safe(r, next, &all, wait_node) {
		cds_list_del(&r->wait_node);
		r->awaiting_config = false;
		r->config_checked = true;
		ev_timer_stop(en->loop, &r->verify_timer);
		admit(r);
	}
}

static void on_verify_timeout(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)revents;
	if (inp_defers(loop, t))
		return;
	cds_list_del(&r->wait_node);
	r->awaiting_config = false;
	r->config_checked = true;
	admit(r);
}

static void on_deadline(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;
	int verify_ms;

	(void)revents;
	if (inp_defers(loop, t))
		return;
	verify_ms = edge_verify_last(r);
	if (verify_ms) {
		set_deadline_timer(r, verify_ms);
		return;
	}
	if (r->endpoint)
		edge_rollout_failed(r, false);
	edge_step(r, rq_timed_out(&r->rq), "out of time");
}

/* ---- Callers' connections ---- */

static void on_request(struct hsc *c)
{
	struct edge *en = c->server->owner;
	struct edge_req *r = calloc(1, sizeof(*r));
	struct err e = ERR_INIT;

	assert(r);
	r->en = en;
	r->conn = c;
	c->request = r;
	r->arrived_ms = edge_now(en);
	ev_timer_init(&r->deadline_timer, on_deadline, 0, 0);
	ev_timer_init(&r->verify_timer, on_verify_timeout, 0, 0);
	r->deadline_timer.data = r;
	r->verify_timer.data = r;
	cds_list_add_tail(&r->node, &en->requests);
	met_inc(en->m.requests);
	decay_sum_add(&en->arrivals, 1000.0 / EDGE_ARRIVAL_RATE_MS,
		      EDGE_ARRIVAL_RATE_MS, r->arrived_ms);
	if (en->wire->decode_request(&c->parse.msg, &r->attempt, &e)) {
		edge_req_answer(r, 400, e.text, -1);
		return;
	}
	if (!edge_stop_accepts(r)) {
		edge_req_answer(r, 503, EDGE_WHY_STOPPING,
				EDGE_STOPPING_RETRY_MS);
		return;
	}
	admit(r);
}

static void on_caller_gone(struct hsc *c)
{
	struct edge_req *r = c->request;
	struct edge *en = c->server->owner;

	if (!r)
		return;
	met_inc(en->m.callers_gone);
	jlog_begin(en->log, JLOG_INFO, "caller_gone");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "how", c->end);
	jlog_int(en->log, "runs", r->rq.runs + r->rq.sending);
	edge_cut_log(r);
	jlog_end(en->log);
	refund(r);
	edge_req_free(r);
}

/* Lines a second of requests that were not read to their end. */
#define MAX_REFUSAL_LINES 10

static void log_refusal(struct edge *en, int status, const char *why)
{
	const int64_t now = edge_now(en);

	if (now - en->refusal_log.since_ms >= 1000) {
		en->refusal_log.since_ms = now;
		en->refusal_log.lines = 0;
	}
	if (en->refusal_log.lines == MAX_REFUSAL_LINES) {
		en->refusal_log.suppressed++;
		return;
	}
	en->refusal_log.lines++;
	jlog_begin(en->log, JLOG_INFO, "request_refused");
	jlog_int(en->log, "status", status);
	jlog_str(en->log, "why", why);
	jlog_int(en->log, "suppressed", en->refusal_log.suppressed);
	jlog_end(en->log);
	en->refusal_log.suppressed = 0;
}

static void on_read_error(struct hsc *c, enum hsc_read_error f, struct buf *out)
{
	static const struct {
		int status;
		const char *why;
		int64_t retry_ms;
	} answers[] = {
		[HSC_MALFORMED] = { 400, "malformed request", -1 },
		[HSC_HEAD_TOO_LARGE] = { 431, "head too large", -1 },
		[HSC_BODY_TOO_LARGE] = { 413, "body too large", -1 },
		[HSC_FRAMING_TOO_LARGE] = { 400, "framing too large", -1 },
		[HSC_TIMEOUT] = { 408, "request took too long", -1 },
		/* Not read to its end, so it has not run. */
		[HSC_NO_ROOM] = { 503, EDGE_WHY_NO_MEMORY, RETRY_LATER_MS },
	};
	struct edge *en = c->server->owner;

	count_own_answer(en, answers[f].status);
	log_refusal(en, answers[f].status, answers[f].why);
	en->wire->encode_own_answer(answers[f].status, NULL, answers[f].why,
				    answers[f].retry_ms, true, out);
}

/* Defaults apply until a configuration is known. */
static void caller_limits(struct hsc_server *s, struct hsc_limits *out)
{
	const struct edge *en = s->owner;
	const struct cfg *c = en->force.cfg;

	out->header_bytes = c ? (size_t)c->limits.header_bytes : 16384;
	out->body_bytes = c ? (size_t)c->limits.body_bytes : 4194304;
	out->header_ms = c ? c->limits.header_ms : 3000;
	out->body_ms = 30000;
	out->idle_ms = c ? c->limits.idle_ms : 15000;
}

const struct hsc_vtable edge_caller_vtable = {
	.request = on_request,
	.disconnected = on_caller_gone,
	.drained = edge_answer_drained,
	.read_error = on_read_error,
	.limits = caller_limits,
	.shed = edge_req_shed,
};
