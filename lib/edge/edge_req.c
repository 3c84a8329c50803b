/* Admission: what may run, under which configuration, and what is told. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "edge/edge_rollout.h"

/*
 * A key or route that we do not know is refused only if the configuration was
 * the newest at some moment since the bound on changes less this before the
 * request came: a change that the caller may count on was accepted earlier.
 * The margin is for timers that fire late. With a fixed second instead of the
 * bound, 84 entries read the configuration some 1,500 times in 50 s for 1,500
 * requests without a route.
 */
#define VERIFY_MARGIN_MS 300

/* A request waits so long for that reading, then it is told to come back. */
#define VERIFY_WAIT_MS 900

/* Of the bound on revoked keys, what is left for the way to an endpoint. */
#define REVOKE_MARGIN_MS 500

/* The answer to a timed-out request leaves so long after its time. */
#define TIME_UP_GRACE_MS 30

/* A caller that states no deadline and has a route without a time-out. */
#define DEFAULT_TIME_MS 30000

/*
 * When to come back: after a refresh of the configuration; after the store's
 * return, of which nobody knows the time; when endpoints are full, about the
 * time in which one request ends.
 */
#define COME_BACK_SOON_MS 300
#define COME_BACK_LATER_MS 1000

/* After SIGTERM new requests are served for so long. */
#define SERVE_ON_MS 3000

/* ---- The end of a request ---- */

void edge_req_free(struct edge_req *r)
{
	struct edge *en = r->en;

	ev_timer_stop(en->loop, &r->timer);
	ev_timer_stop(en->loop, &r->again);
	edge_send_stop(r);
	while (r->nr_tried)
		flt_unref(&en->fleet, r->tried[--r->nr_tried]);
	if (r->waiting || r->parked)
		cds_list_del(&r->wait_node);
	cds_list_del(&r->node);
	cfg_put(r->cfg);
	buf_free(&r->head);
	buf_free(&r->body);
	evs_free(&r->events);
	if (r->conn)
		r->conn->request = NULL;
	free(r);
}

static void refund(struct edge_req *r)
{
	if (!r->charged || !r->account || r->rq.runs || r->rq.sending)
		return;
	acct_refund(acct_get(&r->en->accounts, r->account->name,
			     edge_now(r->en)),
		    r->charged);
	r->charged = 0;
}

static void count_answer(struct edge *en, int status)
{
	if (status == 503 || status == 429)
		met_inc(en->m.refused);
	else if (status >= 500)
		met_inc(en->m.failed);
	else
		met_inc(en->m.denied);
}

void edge_req_answer(struct edge_req *r, int status, const char *why,
		     int64_t retry_ms)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;
	const bool last = hsc_last(c);
	BUF_AUTO out = BUF_INIT;

	refund(r);
	count_answer(en, status);
	jlog_begin(en->log, JLOG_INFO, "answer");
	jlog_str(en->log, "id", r->a.id);
	jlog_int(en->log, "status", status);
	jlog_str(en->log, "why", why);
	jlog_int(en->log, "runs", r->rq.runs);
	jlog_int(en->log, "refusals", r->rq.refusals);
	jlog_int(en->log, "retry_ms", retry_ms);
	jlog_int(en->log, "held_ms", edge_now(en) - r->arrived_ms);
	if (r->cfg) {
		jlog_str(en->log, "route", r->route ? r->route->name : "");
		jlog_str(en->log, "account",
			 r->account ? r->account->name : "");
		edge_log_content(en, r->content);
		jlog_int(en->log, "config", r->cfg->version);
		jlog_int(en->log, "config_age_ms",
			 force_age(&en->force, edge_now(en)));
	}
	jlog_end(en->log);
	en->wire->own_answer(status, r->a.id[0] ? r->a.id : NULL, why, retry_ms,
			     last, &out);
	hsc_write(c, out.data, out.len);
	edge_req_free(r);
	hsc_done(c, last);
}

/* ---- Admission ---- */

/*
 * Waits for a reading of the configuration, if one may come: while the store
 * is known to be away the answer is given at once.
 */
static void wait_verified(struct edge_req *r, const char *otherwise)
{
	struct edge *en = r->en;

	if (r->verified || (en->force.cfg && !sto_reachable(en->store))) {
		edge_req_answer(r, 503, otherwise, COME_BACK_LATER_MS);
		return;
	}
	jlog_begin(en->log, JLOG_INFO, "confirming");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "else", otherwise);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, edge_now(en)));
	jlog_end(en->log);
	r->waiting = true;
	cds_list_add_tail(&r->wait_node, &en->verifying);
	ev_timer_stop(en->loop, &r->again);
	ev_timer_set(&r->again, (double)VERIFY_WAIT_MS / 1000, 0);
	ev_timer_start(en->loop, &r->again);
	edge_config_tick(en, edge_now(en));
}

/* True if the configuration was the newest shortly before the request. */
static bool verified(const struct edge_req *r)
{
	const struct force *f = &r->en->force;

	const int64_t bound = (int64_t)r->en->conf->bounds.apply_ms;

	return !force_behind(f) &&
	       f->confirmed_ms >= r->arrived_ms - bound + VERIFY_MARGIN_MS;
}

/*
 * The configuration does not allow the request. Says so only if it is the
 * newest one, so that a key or route which was just added is not refused.
 */
static void deny(struct edge_req *r, int status, const char *why)
{
	if (verified(r))
		edge_req_answer(r, status, why, -1);
	else
		wait_verified(r, "configuration not confirmed");
}

static bool key_covered(const struct edge_req *r)
{
	const struct conf *conf = r->en->conf;

	if (!conf->bounds.strict_revoke || r->route->anonymous)
		return true;
	return force_can_check_key(&r->en->force, r->arrived_ms,
				   (int)conf->bounds.revoke_ms -
					   REVOKE_MARGIN_MS);
}

static bool find_account(struct edge_req *r)
{
	if (!r->cfg->nr_accounts || r->route->anonymous)
		return true;
	r->account = r->a.key[0] ? cfg_account(r->cfg, r->a.key) : NULL;
	return r->account != NULL;
}

/*
 * What an attempt has in common with others that ask the same: callers come
 * again under a new id, at any entry.
 */
static void identify(struct edge_req *r)
{
	const struct hmsg *m = &r->conn->parse.msg;
	const struct buf *body = &r->conn->body;
	BUF_AUTO head = BUF_INIT;

	buf_fmt(&head, "%s\n%s\n%s", r->account ? r->account->name : "",
		r->a.host, hmsg_url(m));
	r->content = hsh_wide_join(hsh_wide(head.data, head.len),
				   hsh_wide(buf_cstr(body), body->len));
}

static double charge_of(const struct edge_req *r)
{
	if (!r->account->rate_in_tokens)
		return 1;
	if (!r->a.counted)
		return r->account->default_tokens;
	return r->a.prompt_tokens + r->a.output_tokens;
}

/* What decided that a request is over its account's limit here. */
static void log_over_limit(const struct edge_req *r, const struct acct *a,
			   double amount, int64_t after_ms)
{
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO, "over_limit");
	jlog_str(en->log, "id", r->a.id);
	jlog_str(en->log, "account", a->name);
	jlog_num(en->log, "amount", amount);
	jlog_num(en->log, "level", a->level);
	jlog_num(en->log, "share", acct_share(&en->accounts, a));
	jlog_num(en->log, "rate", a->rate);
	jlog_num(en->log, "demand", a->demand);
	jlog_num(en->log, "demand_elsewhere", a->others);
	jlog_int(en->log, "told_ms", en->accounts.told_ms);
	jlog_int(en->log, "after_ms", after_ms);
	jlog_end(en->log);
}

/* True if the account's limit has room, and is charged. */
static bool within_limit(struct edge_req *r, int64_t *after_ms)
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

static struct edge_budget *budget_of(struct edge *en, const char *service)
{
	unsigned i;

	for (i = 0; i < en->nr_budgets; i++) {
		if (!strcmp(en->budgets[i].service, service))
			return &en->budgets[i];
	}
	if (en->nr_budgets == EDGE_SERVICES)
		return &en->budgets[0];
	str_copy(en->budgets[i].service, service, FLT_NAME);
	en->nr_budgets++;
	return &en->budgets[i];
}

static struct again_limits again_limits(const struct edge *en)
{
	return (struct again_limits){
		.ratio = en->conf->bounds.retry_ratio,
		.slack = en->conf->bounds.retry_slack,
		.window_ms = (int64_t)(en->conf->bounds.retry_window_s * 1000),
	};
}

static struct again *budget_for(struct edge_req *r)
{
	return &budget_of(r->en, r->service->name)->again;
}

bool edge_may_repeat(struct edge_req *r, bool spend)
{
	struct edge *en = r->en;
	const struct again_limits l = again_limits(en);
	const int64_t now = edge_now(en);
	const unsigned n = prs_sharing(&en->prs, now);

	if (!spend)
		return again_has(budget_for(r), &l, n, now);
	return again_spend(budget_for(r), &l, n, now);
}

void edge_unpay(struct edge_req *r)
{
	if (r->paid)
		again_return(budget_for(r));
	r->paid = false;
}

/* Of a route's services one, by weight; the same for the same attempt. */
static const struct cfg_service *choose_service(const struct edge_req *r)
{
	const struct cfg_route *route = r->route;
	double sum = 0, at;
	size_t i;

	for (i = 0; i < route->nr_shares; i++)
		sum += route->shares[i].weight;
	at = (double)(hsh_str(r->a.id, 7) >> 11) / (double)(1ull << 53) * sum;
	for (i = 0; i + 1 < route->nr_shares; i++) {
		at -= route->shares[i].weight;
		if (at < 0)
			break;
	}
	return cfg_service(r->cfg, route->shares[i].service);
}

static void arm_time_up(struct edge_req *r)
{
	int64_t ms = r->route->timeout_ms > 0 ? r->route->timeout_ms
					      : DEFAULT_TIME_MS;
	const int64_t now = edge_now(r->en);

	if (r->a.deadline_ms >= 0 && r->a.deadline_ms < ms)
		ms = r->a.deadline_ms;
	r->until_ms = r->arrived_ms + ms;
	ms = r->until_ms - now + TIME_UP_GRACE_MS;
	ev_timer_stop(r->en->loop, &r->timer);
	ev_timer_set(&r->timer, ms > 0 ? (double)ms / 1000 : 0.001, 0);
	ev_timer_start(r->en->loop, &r->timer);
}

/* Under the configuration in force now. */
static void take_config(struct edge_req *r)
{
	cfg_put(r->cfg);
	r->cfg = cfg_ref(r->en->force.cfg);
}

static void admit(struct edge_req *r)
{
	struct edge *en = r->en;
	const struct again_limits l = again_limits(en);
	const int64_t now = edge_now(en);
	int64_t after_ms;

	if (!en->force.cfg) {
		/* Just started: the first reading takes some ten milliseconds. */
		wait_verified(r, "no configuration yet");
		return;
	}
	take_config(r);
	r->route = cfg_route(r->cfg, r->a.host, hmsg_url(&r->conn->parse.msg));
	if (!r->route) {
		deny(r, 404, "no route");
		return;
	}
	if (!find_account(r)) {
		deny(r, 401, "unknown key");
		return;
	}
	if (!key_covered(r)) {
		wait_verified(r, "keys not confirmed");
		return;
	}
	r->service = choose_service(r);
	if (!r->service) {
		edge_req_answer(r, 503, "no such service", COME_BACK_LATER_MS);
		return;
	}
	identify(r);
	if (!within_limit(r, &after_ms)) {
		edge_req_answer(r, 429, "account over its limit", after_ms);
		return;
	}
	rq_init(&r->rq, r->route);
	evs_init(&r->events);
	again_earn(budget_for(r), &l, prs_sharing(&en->prs, now), now);
	arm_time_up(r);
	edge_send(r);
}

void edge_req_verified(struct edge *en)
{
	struct edge_req *r, *next;
	struct cds_list_head all;

	CDS_INIT_LIST_HEAD(&all);
	cds_list_splice(&en->verifying, &all);
	CDS_INIT_LIST_HEAD(&en->verifying);
	cds_list_for_each_entry_safe(r, next, &all, wait_node) {
		cds_list_del(&r->wait_node);
		r->waiting = false;
		r->verified = true;
		ev_timer_stop(en->loop, &r->again);
		admit(r);
	}
}

static void on_again(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)revents;
	ev_timer_stop(loop, t);
	cds_list_del(&r->wait_node);
	r->waiting = false;
	r->verified = true;
	admit(r);
}

static void on_time_up(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)revents;
	ev_timer_stop(loop, t);
	if (r->endpoint)
		edge_rollout_failed(r, false);
	edge_step(r, rq_time_up(&r->rq), "out of time");
}

/* ---- The callers' connections ---- */

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
	ev_timer_init(&r->timer, on_time_up, 0, 0);
	ev_timer_init(&r->again, on_again, 0, 0);
	r->timer.data = r;
	r->again.data = r;
	cds_list_add_tail(&r->node, &en->requests);
	met_inc(en->m.requests);
	fade_add(&en->arrivals, 1000.0 / EDGE_ARRIVALS_MS, EDGE_ARRIVALS_MS,
		 r->arrived_ms);
	if (en->wire->attempt(&c->parse.msg, &r->a, &e)) {
		edge_req_answer(r, 400, e.text, -1);
		return;
	}
	if (en->stopping && r->arrived_ms - en->stop_ms > SERVE_ON_MS) {
		edge_req_answer(r, 503, "this entry is leaving",
				COME_BACK_SOON_MS);
		return;
	}
	admit(r);
}

static void on_gone(struct hsc *c)
{
	struct edge_req *r = c->request;
	struct edge *en = c->server->owner;

	if (!r)
		return;
	met_inc(en->m.gone);
	jlog_begin(en->log, JLOG_INFO, "caller_gone");
	jlog_str(en->log, "id", r->a.id);
	jlog_int(en->log, "runs", r->rq.runs + r->rq.sending);
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "held_ms", edge_now(en) - r->arrived_ms);
	jlog_end(en->log);
	refund(r);
	edge_req_free(r);
}

static void on_fault(struct hsc *c, enum hsc_fault f, struct buf *out)
{
	static const struct {
		int status;
		const char *why;
	} answers[] = {
		[HSC_BAD] = { 400, "malformed request" },
		[HSC_LARGE_HEAD] = { 431, "head too large" },
		[HSC_LARGE_BODY] = { 413, "body too large" },
		[HSC_SLOW] = { 408, "request took too long" },
	};
	struct edge *en = c->server->owner;

	met_inc(en->m.denied);
	jlog_begin(en->log, JLOG_INFO, "request_refused");
	jlog_int(en->log, "status", answers[f].status);
	jlog_str(en->log, "why", answers[f].why);
	jlog_end(en->log);
	en->wire->own_answer(answers[f].status, NULL, answers[f].why, -1, true,
			     out);
}

/* Until a configuration is known: the usual figures. */
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
	.gone = on_gone,
	.fault = on_fault,
	.limits = caller_limits,
};
