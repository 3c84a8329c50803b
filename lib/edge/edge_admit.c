/*
 * Admission of requests under congestion (shed.h): the state of each service,
 * requests that wait at this entry, and rejections.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "edge/edge_internal.h"
#include "edge/explain.h"

/*
 * Requests that may wait at the same time; further ones are rejected. Each is
 * picked an endpoint for every SHD_WAIT_STEP_MS, which takes some ten us.
 */
#define MAX_WAITS 128

/* An endpoint that fails more often gets no requests as the one with a slot. */
#define MAX_FAIL_RATE 0.1

/* The state of one service. Made on first use and never freed. */
struct edge_admission {
	struct cds_list_head node; /* in edge.admissions */
	char service[FLT_NAME];
	struct shd shd;
};

static struct shd *find_state(struct edge *en, const char *service)
{
	struct edge_admission *a;

	cds_list_for_each_entry(a, &en->admissions, node) {
		if (!strcmp(a->service, service))
			return &a->shd;
	}
	a = calloc(1, sizeof(*a));
	assert(a);
	str_copy(a->service, service, sizeof(a->service));
	cds_list_add_tail(&a->node, &en->admissions);
	return &a->shd;
}

/* ---- Inputs of the decision ---- */

/* Requests that were sent before, and parts of streams, are not decided on. */
static bool is_decided_on(const struct edge_req *r)
{
	return r->en->conf->policy.admission && r->route->objective_ms > 0 &&
	       !r->sends && !r->rq.started && !r->bound &&
	       !*r->attempt.resumes && r->attempt.resume_after < 0 &&
	       !edge_fatal_is_suspect(r);
}

static bool leads_to(const struct cfg_route *route, const char *service)
{
	size_t i;

	for (i = 0; i < route->nr_shares; i++) {
		if (!strcmp(route->shares[i].service, service))
			return true;
	}
	return false;
}

static unsigned rank_of(int priority)
{
	return priority < 0	       ? 0
	       : priority >= SHD_RANKS ? SHD_RANKS - 1
				       : (unsigned)priority;
}

static void fill_objectives(const struct edge_req *r, struct shd_request *q)
{
	const struct cfg_route *route;
	unsigned rank;
	size_t i;

	for (rank = 0; rank < SHD_RANKS; rank++)
		q->least_objective_ms[rank] = r->route->objective_ms;
	for (i = 0; i < r->cfg->nr_routes; i++) {
		route = &r->cfg->routes[i];
		if (route->objective_ms <= 0 ||
		    !leads_to(route, r->service->name))
			continue;
		for (rank = rank_of(route->priority); rank < SHD_RANKS; rank++)
			if (route->objective_ms < q->least_objective_ms[rank])
				q->least_objective_ms[rank] =
					route->objective_ms;
	}
}

/* An endpoint that does not state its slots is taken to have a free one. */
static bool has_free_slot(const struct svc_state *at)
{
	return at->slots <= 0 || at->running + 1 <= at->slots;
}

/* The predicted time at this endpoint that other requests cause, ms. */
static double queueing_ms(const struct edge_req *r, const struct pick_result *p)
{
	const struct svc *model = edge_service_model(r->en, r->service->name);
	struct svc_state idle = p->state;
	double ms;

	idle.queued_tokens = 0;
	idle.running = 0;
	ms = p->wait_ms - (r->service->has_engine
				   ? svc_ttft_ms(model, &idle)
				   : svc_answer_ms(model, &idle));
	return ms > 0 ? ms : 0;
}

static void fill_request(const struct edge_req *r, const struct pick_result *p,
			 struct shd_request *q)
{
	const int64_t now = edge_now(r->en);
	const struct cfg_account *a = r->account;

	*q = (struct shd_request){
		.wait_ms = p->wait_ms,
		.queue_ms = queueing_ms(r, p),
		.free_slot = has_free_slot(&p->state),
		.can_wait = r->en->nr_admit_waits < MAX_WAITS,
		.left_ms = (double)(r->deadline_at_ms - now),
		.objective_ms = r->route->objective_ms,
		.held_ms = (double)(now - r->arrived_ms),
		.rank = rank_of(a && a->has_priority ? a->priority
						     : r->route->priority),
		.tokens = r->attempt.has_token_counts
				  ? r->attempt.prompt_tokens +
					    r->attempt.output_tokens
				  : 0,
		.account = hsh_str(a ? a->name : "", 0),
		.hash = hsh_str(r->attempt.id, 0),
	};
	fill_objectives(r, q);
}

/* ---- An endpoint with a free slot ---- */

static struct svc_state state_of(const struct edge_req *r,
				 const struct flt_endpoint *e)
{
	return (struct svc_state){
		.tokens_to_prefill = r->attempt.prompt_tokens,
		.queued_tokens = e->prefill_tokens + e->peer_prefill_tokens,
		.running = e->running + e->peer_running,
		.slots = e->info.slots,
	};
}

/*
 * True if the endpoint has a slot for a request of this entry. All entries see
 * the slot until the next load reports, so each has only its part of the free
 * slots, which the request's hash rounds.
 */
static bool has_slot_for(const struct edge_req *r, const struct flt_endpoint *e,
			 uint64_t hash)
{
	const double fraction = (double)(hsh_rendezvous(hash, e->hash) >> 11) /
				(double)(1ull << 53);
	const struct svc_state at = state_of(r, e);

	return has_free_slot(&at) &&
	       (r->en->sending_peers == 0 ||
		e->running + fraction < (e->info.slots - e->peer_running) /
						(r->en->sending_peers + 1));
}

/*
 * Replaces the endpoint of `p`, which has no free slot, by one that has: the
 * pick may have preferred another one for its cached prompt, or not have had
 * it in its sample. False: there is none.
 */
static bool find_free_slot(const struct edge_req *r, struct pick_result *p)
{
	const int64_t now = edge_now(r->en);
	const uint64_t hash = hsh_str(r->attempt.id, 0);
	struct flt_endpoint *e, *best = NULL;
	const struct svc *model;

	cds_list_for_each_entry(e, &r->en->fleet.endpoints, node) {
		if (!flt_begins(e, r->service->name, p->endpoint->use,
				r->route->kind == CFG_STREAM) ||
		    !flt_usable(e, now) || e->suspect_runs ||
		    !has_slot_for(r, e, hash) ||
		    flt_fail_rate(e, now) > MAX_FAIL_RATE)
			continue;
		if (!best || hsh_rendezvous(hash, e->hash) >
				     hsh_rendezvous(hash, best->hash))
			best = e;
	}
	if (!best)
		return false;
	model = edge_service_model(r->en, r->service->name);
	p->endpoint = best;
	p->state = state_of(r, best);
	p->wait_ms = r->service->has_engine ? svc_ttft_ms(model, &p->state)
					    : svc_answer_ms(model, &p->state);
	p->cached = false;
	p->cache_certain = false;
	return true;
}

/* ---- Waiting ---- */

static void end_wait(struct edge_req *r)
{
	ev_timer_stop(r->en->loop, &r->admit.timer);
	r->admit.waiting = false;
	r->en->nr_admit_waits--;
}

/* The request waits no more, whatever follows. */
static void observe_wait(struct edge_req *r)
{
	if (r->admit.since_ms)
		met_observe(r->en->m.admission_wait_ms,
			    edge_now(r->en) - r->admit.since_ms);
	r->admit.since_ms = 0;
}

void edge_admit_cancel(struct edge_req *r)
{
	if (r->admit.waiting)
		end_wait(r);
	observe_wait(r);
}

static void on_admit_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)loop;
	(void)revents;
	end_wait(r);
	edge_send(r);
}

static void decide_in(struct edge_req *r, int64_t ms)
{
	ev_timer_stop(r->en->loop, &r->admit.timer);
	ev_timer_set(&r->admit.timer, (double)ms / 1000, 0);
	ev_timer_start(r->en->loop, &r->admit.timer);
}

static void wait_for(struct edge_req *r, int64_t ms)
{
	struct edge *en = r->en;

	if (!r->admit.since_ms) {
		r->admit.since_ms = edge_now(en);
		met_inc(en->m.admission_waits);
	}
	r->admit.waiting = true;
	r->admit.woken = false;
	r->admit.waits++;
	en->nr_admit_waits++;
	ev_timer_init(&r->admit.timer, on_admit_timer, 0, 0);
	r->admit.timer.data = r;
	decide_in(r, ms > 0 ? ms : 1);
}

/* The lower, the more urgent; as the bound on the queueing delay. */
static unsigned order_of(const struct shd_entry *e)
{
	return e->late ? SHD_RANKS : e->rank + e->demoted;
}

void edge_admit_freed(struct edge *en, const char *service)
{
	struct edge_req *r, *first = NULL;

	if (!en->nr_admit_waits)
		return;
	/* The list is in the order of arrival. */
	cds_list_for_each_entry(r, &en->requests, node) {
		if (!r->admit.waiting || r->admit.woken ||
		    strcmp(r->service->name, service))
			continue;
		if (!first ||
		    order_of(&r->admit.entry) < order_of(&first->admit.entry))
			first = r;
	}
	if (!first)
		return;
	first->admit.woken = true;
	decide_in(first, 1);
}

/* ---- Outcomes ---- */

static const char *reason_name(enum shd_reason reason)
{
	static const char *const names[] = {
		[SHD_FREE_SLOT] = "free slot",
		[SHD_IN_BOUND] = "in bound",
		[SHD_MIN_SHARE] = "minimum share",
		[SHD_CONGESTED] = "congested",
		[SHD_NO_TIME] = "no time",
	};

	return names[reason];
}

static void log_decision(struct edge_req *r, const struct pick_result *p,
			 const struct shd_request *q,
			 const struct shd_decision *d)
{
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO,
		   d->step == SHD_WAIT ? "admission_wait" : "admission_reject");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "why", reason_name(d->reason));
	jlog_str(en->log, "service", r->service->name);
	jlog_str(en->log, "route", r->route->name);
	jlog_str(en->log, "account", r->account ? r->account->name : "");
	jlog_str(en->log, "endpoint", p->endpoint->info.id);
	jlog_int(en->log, "wait_ms", (int64_t)q->wait_ms);
	jlog_int(en->log, "queue_ms", (int64_t)q->queue_ms);
	jlog_int(en->log, "bound_ms", (int64_t)d->bound_ms);
	jlog_num(en->log, "running", p->state.running);
	jlog_int(en->log, "slots", p->endpoint->info.slots);
	jlog_int(en->log, "left_ms", (int64_t)q->left_ms);
	jlog_int(en->log, "objective_ms", (int64_t)q->objective_ms);
	jlog_int(en->log, "held_ms", (int64_t)q->held_ms);
	jlog_int(en->log, "rank", q->rank);
	jlog_bool(en->log, "demoted", r->admit.entry.demoted);
	jlog_bool(en->log, "late", r->admit.entry.late);
	jlog_num(en->log, "tokens", q->tokens);
	jlog_int(en->log, "after_ms", d->ms);
	jlog_int(en->log, "waiting", en->nr_admit_waits);
	jlog_end(en->log);
}

static void reject(struct edge_req *r, const struct shd_decision *d)
{
	const bool late = d->reason == SHD_NO_TIME;

	met_inc(late ? r->en->m.rejected_no_time : r->en->m.rejected_congested);
	rq_no_endpoint(&r->rq);
	edge_req_answer(r, 503, late ? EDGE_WHY_NO_TIME : EDGE_WHY_CONGESTED,
			d->ms);
}

static struct shd_decision decide(struct edge_req *r, struct pick_result *p,
				  struct shd_request *q)
{
	struct edge *en = r->en;
	struct shd *s = find_state(en, r->service->name);
	const int64_t now = edge_now(en);
	struct shd_decision d;

	fill_request(r, p, q);
	d = shd_decide(s, q, &r->admit.entry, now);
	if (d.step != SHD_SEND && find_free_slot(r, p)) {
		fill_request(r, p, q);
		d = shd_decide(s, q, &r->admit.entry, now);
	}
	shd_commit(s, &r->admit.entry, &d, now);
	return d;
}

bool edge_admit(struct edge_req *r, struct pick_result *p)
{
	struct shd_request q;
	struct shd_decision d;

	if (!is_decided_on(r)) {
		observe_wait(r);
		return true;
	}
	d = decide(r, p, &q);
	if (d.step == SHD_SEND) {
		if (d.reason != SHD_FREE_SLOT)
			met_inc(r->en->m.admitted_congested);
		observe_wait(r);
		return true;
	}
	/* A wait is logged once, not at each step. */
	if (d.step == SHD_REJECT || !r->admit.since_ms)
		log_decision(r, p, &q, &d);
	if (d.step == SHD_WAIT)
		wait_for(r, d.ms);
	else
		reject(r, &d);
	return false;
}
