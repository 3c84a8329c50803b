/*
 * Reclaim notices: each stream on a reclaimed endpoint finishes there, is moved
 * with its KV cache, or is continued elsewhere from its prompt and tokens.
 * place/rescue chooses, for all of this entry's streams there at once.
 */
#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time of a transfer that does not depend on its size: set-up and import. */
#define MOVE_OVERHEAD_MS 30

/* Larger KV caches are not worth the transfer time. */
#define MAX_KV_BYTES (512u * 1024 * 1024)

#define MOVE_CALL_TIMEOUT_MS 10000 /* each for export and import */

/* A KV cache transfer to be done by the mover thread. */
struct move {
	struct entry *en;
	struct ent_req *rq;
	uint64_t from;	  /* id of the endpoint */
	int64_t start_ms; /* as planned */
	int64_t end_ms;	  /* end of the instance */
};

/* ---- The mover thread ---- */

/* Copies the KV cache of run `id` between two addresses. Returns 0 or -1. */
static int copy_kv(struct entry *en, const char *from, const char *to,
		   const char *id, int64_t left_ms, struct err *e)
{
	HCL_REPLY_AUTO got = HCL_REPLY_INIT;
	HCL_REPLY_AUTO put = HCL_REPLY_INIT;
	char path[GRANT_KEY_MAX + 64];
	struct hcl_request rq = {
		.method = "GET",
		.address = from,
		.path = path,
		.total_ms = left_ms < MOVE_CALL_TIMEOUT_MS
				    ? left_ms
				    : MOVE_CALL_TIMEOUT_MS,
		.max_body = MAX_KV_BYTES,
	};

	snprintf(path, sizeof(path), "/v1/streams/%s/kv", id);
	if (hcl_call(en->hcl, &rq, &got, e))
		return -1;
	if (got.status != 200)
		return err_set(e, ERR_NOT_FOUND, "export: status %d",
			       got.status);
	rq.method = "PUT";
	rq.address = to;
	rq.body = got.body.data;
	rq.body_len = got.body.len;
	if (hcl_call(en->hcl, &rq, &put, e))
		return -1;
	if (put.status != 200)
		return err_set(e, ERR_FULL, "import: status %d", put.status);
	return 0;
}

/* Looks up both endpoints' addresses; false if one is unknown. */
static bool find_addresses(struct move *m, uint64_t to, char from_addr[64],
			   char to_addr[64])
{
	struct ent_model *mod = m->rq->mod;
	const struct route_endpoint *a, *b;

	pthread_mutex_lock(&mod->lock);
	a = route_find(mod->table, m->from);
	b = route_find(mod->table, to);
	if (a)
		str_copy(from_addr, a->address, 64);
	if (b)
		str_copy(to_addr, b->address, 64);
	pthread_mutex_unlock(&mod->lock);
	return a && b;
}

/* Continues from the prompt and the tokens so far, which is always possible. */
static void continue_elsewhere(struct ent_req *rq, uint32_t attempt)
{
	const struct flow_event ev = { FLOW_EV_MOVE, attempt, 0 };
	const uint64_t old = rq->stream;
	struct flow_action a;
	bool fresh;

	a = flow_event(&rq->flow, &ev, &fresh, ent_now(rq->en));
	if (a.kind == FLOW_WAIT)
		return;
	ent_do_action(rq, a);
	mux_cancel(rq->en->mux, old);
}

/* True if this entry owns the request and runs it on `endpoint`. Lock held. */
static bool is_running_at(const struct ent_req *rq, uint64_t endpoint)
{
	return rq->role == ENT_OWNER && !rq->released &&
	       rq->flow.endpoint == endpoint &&
	       (rq->flow.phase == FLOW_CALLING ||
		rq->flow.phase == FLOW_STREAMING);
}

static void run_move(struct move *m)
{
	struct ent_req *rq = m->rq;
	char id[GRANT_KEY_MAX + 16], from[64], to[64];
	struct err e = ERR_INIT;
	struct route_choice c = { 0 };
	uint32_t attempt;
	bool ok = false;

	pthread_mutex_lock(&rq->lock);
	if (!is_running_at(rq, m->from)) {
		rq->kv_move_pending = false;
		pthread_mutex_unlock(&rq->lock);
		return;
	}
	attempt = rq->flow.attempt;
	ent_stream_id(rq, id, sizeof(id));
	c = ent_choose_endpoint(rq, true);
	pthread_mutex_unlock(&rq->lock);
	if (c.endpoint && c.has_room && find_addresses(m, c.endpoint, from, to))
		ok = !copy_kv(m->en, from, to, id, m->end_ms - ent_now(m->en),
			      &e);
	pthread_mutex_lock(&rq->lock);
	rq->kv_move_pending = false;
	ent_req_log(rq, "move kv=%s reason=\"%s\"", ok ? "moved" : "failed",
		    e.text);
	if (rq->flow.attempt != attempt || !is_running_at(rq, m->from)) {
		if (c.endpoint && c.has_room)
			ent_release_endpoint(rq->mod, c.endpoint, false,
					     ent_now(m->en));
	} else if (ok) {
		met_inc(m->en->m.moved_kv);
		ent_move_to(rq, c.endpoint, id);
	} else {
		if (c.endpoint && c.has_room)
			ent_release_endpoint(rq->mod, c.endpoint, false,
					     ent_now(m->en));
		continue_elsewhere(rq, attempt);
	}
	pthread_mutex_unlock(&rq->lock);
}

void *ent_mover_run(void *arg)
{
	struct entry *en = arg;

	while (!atomic_load(&en->stopping)) {
		struct move *m = ring_pop(en->moves, 200);

		if (!m)
			continue;
		run_move(m);
		ent_req_put(m->rq);
		free(m);
	}
	return NULL;
}

/* ---- Planning ---- */

/* Referenced requests that run on `instance`. */
struct stream_list {
	struct entry *en;
	uint64_t instance;
	struct ent_req **rows;
	size_t nr, cap;
};

static void collect_stream(struct ent_req *rq, void *arg)
{
	struct stream_list *g = arg;
	bool there;

	pthread_mutex_lock(&rq->lock);
	there = is_running_at(rq, g->instance) && !rq->kv_move_pending;
	pthread_mutex_unlock(&rq->lock);
	if (!there)
		return;
	if (g->nr == g->cap) {
		g->cap = g->cap ? 2 * g->cap : 32;
		g->rows = realloc(g->rows, g->cap * sizeof(*g->rows));
		if (!g->rows)
			abort();
	}
	ent_req_get(rq);
	g->rows[g->nr++] = rq;
}

static void describe_stream(const struct ent_req *rq, double mb_per_token,
			    struct rescue_stream *s)
{
	const struct flow *f = &rq->flow;

	memset(s, 0, sizeof(*s));
	s->prompt_tokens = rq->prompt_tokens;
	s->generated_tokens = f->tokens;
	s->max_remaining_tokens =
		rq->max_tokens > f->tokens ? rq->max_tokens - f->tokens : 1;
	s->kv_mb = (rq->prompt_tokens + f->tokens) * mb_per_token;
	s->deadline_ms = f->deadline_ms;
	s->weight = rq->weight * (rq->batch ? 0.5 : 1.0);
}

static void apply_choice(struct entry *en, uint64_t instance, int64_t end_ms,
			 struct ent_req *rq, const struct rescue_stream *s)
{
	static const char *const names[] = { "finish", "move", "continue" };

	pthread_mutex_lock(&rq->lock);
	ent_req_log(rq,
		    "rescue choice=%s tokens=%u left_tokens=%u "
		    "notice_ms=%lld",
		    names[s->choice], s->generated_tokens,
		    s->max_remaining_tokens, (long long)(end_ms - ent_now(en)));
	if (s->choice == RESCUE_CONTINUE && is_running_at(rq, instance)) {
		continue_elsewhere(rq, rq->flow.attempt);
	} else if (s->choice == RESCUE_MOVE && is_running_at(rq, instance)) {
		struct move *m = mem_new(sizeof(*m));

		m->en = en;
		m->rq = rq;
		m->from = instance;
		m->start_ms = s->start_ms;
		m->end_ms = end_ms;
		ent_req_get(rq);
		rq->kv_move_pending = true;
		if (!ring_push(en->moves, m)) {
			rq->kv_move_pending = false;
			ent_req_put(rq);
			free(m);
			continue_elsewhere(rq, rq->flow.attempt);
		}
	}
	pthread_mutex_unlock(&rq->lock);
}

static int by_start(const void *a, const void *b)
{
	const struct rescue_stream *x = a, *y = b;

	return x->start_ms < y->start_ms ? -1 : x->start_ms > y->start_ms;
}

static void plan_streams(struct entry *en, struct stream_list *g,
			 int64_t end_ms)
{
	MEM_AUTO struct rescue_stream *s = mem_new(g->nr * sizeof(*s));
	struct ent_model *m = g->rows[0]->mod;
	const struct route_endpoint *ep;
	struct rescue_notice n = {
		.now_ms = ent_now(en),
		.end_ms = end_ms,
		.move_fixed_ms = MOVE_OVERHEAD_MS,
	};
	double mb_per_token = 0.125;
	size_t i;

	pthread_mutex_lock(&m->lock);
	n.inter_token_ms = (double)m->between_tokens_ms;
	ep = route_find(m->table, g->instance);
	if (ep) {
		/* Streams of other entries share the endpoint's bandwidth. */
		const double all = ep->streams > (int64_t)g->nr
					   ? (double)ep->streams
					   : (double)g->nr;

		n.kv_mb_per_s = ep->kv_mb_per_s * (double)g->nr / all;
		mb_per_token = ep->kv_mb_per_token;
	}
	pthread_mutex_unlock(&m->lock);
	for (i = 0; i < g->nr; i++) {
		pthread_mutex_lock(&g->rows[i]->lock);
		describe_stream(g->rows[i], mb_per_token, &s[i]);
		s[i].tag = i;
		pthread_mutex_unlock(&g->rows[i]->lock);
	}
	rescue_plan(&n, s, g->nr);
	qsort(s, g->nr, sizeof(*s), by_start);
	for (i = 0; i < g->nr; i++)
		apply_choice(en, g->instance, end_ms, g->rows[s[i].tag], &s[i]);
}

void ent_rescue(struct entry *en, uint64_t instance, int64_t end_ms)
{
	struct stream_list g = { .en = en, .instance = instance };
	size_t i;

	ent_req_each_open(en, collect_stream, &g);
	if (g.nr)
		plan_streams(en, &g, end_ms);
	for (i = 0; i < g.nr; i++)
		ent_req_put(g.rows[i]);
	free(g.rows);
}
