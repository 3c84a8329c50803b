/* A request's way to an endpoint: which one, and the call. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_rollout.h"

/*
 * To endpoints: a round trip is below 3 ms, and a request is late after some
 * hundred. An opening packet that was lost is sent again after a second.
 */
#define CONNECT_MS 250
/* Bytes that the endpoint's machine does not acknowledge. */
#define USER_TIMEOUT_MS 1000
/* A connection that went silent is probed after that, and given up 2 s later. */
#define KEEPALIVE_S 1
/* Idle connections are kept so long unless the endpoint says less. */
#define IDLE_MS 30000
/* A call that must not be repeated goes on a connection used this lately. */
#define FRESH_MS 9000

/* When to come back after no endpoint was known. */
#define NONE_RETRY_MS 1000

/* ---- Endpoints' connections ---- */

void edge_unlink(struct flt_endpoint *e)
{
	struct htc_peer *p = e->link;

	if (!p)
		return;
	htc_peer_close(p);
	free(p);
	e->link = NULL;
}

struct htc_peer *edge_link(struct edge *en, struct flt_endpoint *e)
{
	static const struct htc_limits limits = {
		.connect_ms = CONNECT_MS,
		.user_timeout_ms = USER_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.idle_ms = IDLE_MS,
	};
	struct sockaddr_in addr;
	struct htc_peer *p;

	if (e->link)
		return e->link;
	if (ioc_address(e->info.address, &addr, NULL))
		return NULL;
	p = malloc(sizeof(*p));
	assert(p);
	htc_peer_init(p, en->loop, en->clk, &addr, &limits);
	e->link = p;
	return p;
}

/* ---- Sending ---- */

/* The more urgent the account or else the route, the lower the figure. */
static int urgency_of(const struct edge_req *r)
{
	const int p = r->account && r->account->has_priority
			      ? r->account->priority
			      : r->route->priority;

	if (!r->service->has_engine || !r->en->conf->policy.urgency)
		return -1;
	return p < 0 ? 0 : p > 4 ? 9 : 1 + 2 * p;
}

static struct pick_result choose(struct edge_req *r, enum flt_use use)
{
	struct edge *en = r->en;
	struct pick_query q = {
		.service = r->service->name,
		.model = edge_model(en, r->service->name),
		.zone = en->conf->zone,
		.engine = r->service->has_engine,
		.prefix = en->conf->policy.affinity && r->route->cached
				  ? r->a.prefix_hash
				  : 0,
		.ignore_failures = !en->conf->policy.avoid_failing,
		.apart = r->apart,
		.sending_peers = en->sending_peers,
		.sample_seed = en->conf->policy.sample
				       ? hsh_str(r->a.id, r->sends) | 1
				       : 0,
		.use = use,
		.shared_tokens = r->a.prefix_tokens,
		.own_tokens = r->a.prompt_tokens - r->a.prefix_tokens,
		.now_ms = edge_now(en),
		.nr_excluded = r->nr_tried,
		.parts = &en->parts,
	};

	memcpy(q.excluded, r->tried, sizeof(q.excluded));
	return pick_endpoint(&en->fleet, &q);
}

static void log_send(struct edge_req *r, const struct pick_result *p,
		     const struct forward *f)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	jlog_begin(en->log, JLOG_INFO, "send");
	jlog_str(en->log, "id", r->a.id);
	edge_log_content(en, r->content);
	jlog_str(en->log, "route", r->route->name);
	jlog_str(en->log, "account", r->account ? r->account->name : "");
	jlog_int(en->log, "config", r->cfg->version);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, now));
	jlog_str(en->log, "endpoint", p->endpoint->info.id);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, now));
	jlog_str(en->log, "zone", p->endpoint->info.zone);
	jlog_int(en->log, "candidates", p->candidates);
	jlog_int(en->log, "wait_ms", (int64_t)p->wait_ms);
	jlog_bool(en->log, "cached", p->cached);
	jlog_int(en->log, "running", p->endpoint->running);
	jlog_int(en->log, "peer_running", (int64_t)p->endpoint->peer_running);
	jlog_str(en->log, "version", p->endpoint->info.version);
	jlog_int(en->log, "send", r->sends);
	jlog_bool(en->log, "apart", r->apart);
	jlog_int(en->log, "resume_after", f->resume_after);
	jlog_int(en->log, "left_ms", f->deadline_ms);
	jlog_end(en->log);
}

static void occupy(struct edge_req *r, const struct pick_result *p)
{
	struct edge *en = r->en;

	r->endpoint = p->endpoint;
	flt_ref(r->endpoint);
	r->endpoint->running++;
	edge_rollout_sent(r);
	r->model = edge_model(en, r->service->name);
	r->at = p->at;
	r->expected_ms = p->wait_ms;
	r->sure = p->sure;
	r->prefill_tokens =
		r->a.prompt_tokens - (p->cached ? r->a.prefix_tokens : 0);
	r->endpoint->prefill_tokens += r->prefill_tokens;
	if (r->service->has_engine)
		svc_sent(r->model, r->at.read_tokens, edge_now(en));
	if (r->route->cached && r->a.prefix_hash)
		parts_used(&en->parts, r->a.prefix_hash, r->endpoint->hash,
			   edge_now(en));
}

static void start(struct edge_req *r, const struct pick_result *p,
		  const char *copy_at)
{
	struct edge *en = r->en;
	struct hsc *c = r->conn;
	const int64_t now = edge_now(en);
	const struct forward f = {
		.endpoint_id = p->endpoint->info.id,
		.account = r->account ? r->account->name : NULL,
		.deadline_ms = r->until_ms - now,
		.urgency = urgency_of(r),
		.resume_after = r->rq.started ? r->events.last_id : -1,
		.copy_at = copy_at,
	};
	struct htc_peer *link = edge_link(en, p->endpoint);
	struct buf wire = BUF_INIT;

	occupy(r, p);
	if (copy_at)
		edge_first_event_seen(r); /* nothing is left to be read */
	r->sends++;
	r->reached++;
	met_inc(en->m.sends);
	if (p->endpoint->use == FLT_ON_TRIAL)
		met_inc(en->m.sent_on_trial);
	if (r->sends > 1)
		met_inc(r->rq.started ? en->m.resumes : en->m.resends);
	r->sent_ms = now;
	r->sent_true_ms = truth_now(&en->truth, now);
	memset(&r->reply, 0, sizeof(r->reply));
	evs_restart(&r->events);
	log_send(r, p, &f);
	en->wire->forward(&c->parse.msg, &c->body, &r->a, &f, &wire);
	rq_sent(&r->rq);
	edge_fatal_sent(r);
	if (link)
		r->call = htc_start(link, &wire,
				    r->rq.kind == CFG_IDEMPOTENT ? 0 : FRESH_MS,
				    c->parse.msg.method == HTTP_HEAD, 0,
				    &edge_answer_vtable, r);
	if (r->call)
		return;
	buf_free(&wire);
	edge_unreached(r, "no connection to be had");
}

void edge_send(struct edge_req *r)
{
	struct pick_result p;
	enum flt_use use;

	if (!edge_fatal_may_send(r))
		return;
	use = edge_rollout_use(r);
	p = choose(r, use);
	if (!p.endpoint && use != FLT_IN_USE)
		p = choose(r, FLT_IN_USE);
	if (!p.endpoint) {
		if (r->rq.runs || r->rq.started) {
			edge_step(r, rq_no_endpoint(&r->rq), "no endpoint");
			return;
		}
		rq_no_endpoint(&r->rq);
		edge_req_answer(
			r, 503,
			r->nr_tried ? "endpoints are full" : "no endpoint",
			r->nr_tried ? EDGE_FULL_RETRY_MS : NONE_RETRY_MS);
		return;
	}
	/*
	 * The budget is of what endpoints are sent once more. Charged for
	 * connections that were refused, it turned callers away after one
	 * endpoint that had ended, while the others were well.
	 */
	r->paid = r->reached > 0;
	if (r->paid && !edge_may_repeat(r, true)) {
		edge_step(r, rq_no_endpoint(&r->rq), "no repeats left");
		return;
	}
	start(r, &p, NULL);
}

void edge_send_moved(struct edge_req *r, struct flt_endpoint *to,
		     const char *handle)
{
	const struct pick_result p = { .endpoint = to, .cached = true };
	char copy_at[sizeof(r->endpoint->info.address) + 64];

	if (!flt_usable(to, edge_now(r->en))) {
		edge_send_lost(r, "no way to the copy");
		return;
	}
	snprintf(copy_at, sizeof(copy_at), "%s/%s", r->endpoint->info.address,
		 handle);
	edge_log_outcome(r, "moved", r->reply.status);
	rq_moved(&r->rq);
	flt_ref(to); /* the hand-over's own goes with it */
	edge_send_stop(r);
	r->paid = false; /* the hand-over was, by itself */
	start(r, &p, copy_at);
	flt_unref(&r->en->fleet, to);
}
