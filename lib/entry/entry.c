#include "entry/entry.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "entry/entry_internal.h"

/* Threads that call peers: up to this many peers can hang without delaying
 * calls to the others. */
#define LINK_THREADS 24

#define RING_CAP 8192 /* queued pointers */

/* Votes kept as a judge. The target load needs 54,000 (docs/CAPACITY.md). */
#define MAX_VOTES 262144

/* Streams for the run and the load reports of a request, with a margin for
 * their overlap. */
#define MUX_STREAMS_PER_REQUEST 3

/* ---- Metrics ---- */

static void register_metrics(struct entry *en)
{
	struct met *m = &en->met;
	struct ent_metrics *x = &en->m;
	static const char *const refused[] = {
		"refused_none",	       "refused_draining",   "refused_cut_off",
		"refused_too_many",    "refused_over_limit", "refused_too_late",
		"refused_no_endpoint", "refused_queue_full",
	};
	static const char *const reasons[JUDGE_REASONS] = {
		"judge_votes_total",	"judge_unknown_view_total",
		"judge_not_mine_total", "judge_expired_total",
		"judge_full_total",	"judge_leaving_total",
		"judge_bad_ask_total",
	};
	const struct {
		met_value **at;
		const char *name;
		const char *help;
	} rows[] = {
		{ &x->requests, "requests_total", "requests that came in" },
		{ &x->accepted, "accepted_total", "answers begun" },
		{ &x->whole, "whole_total", "requests answered whole" },
		{ &x->not_run, "not_run_total", "told as not run" },
		{ &x->unknown, "unknown_total", "told as unknown" },
		{ &x->failed, "failed_total", "ran but not completed" },
		{ &x->claims_won, "claims_won_total", "claims won" },
		{ &x->claims_join, "claims_join_total", "claims joined" },
		{ &x->claims_burned, "claims_burned_total", "split votes" },
		{ &x->claims_unknown, "claims_unknown_total",
		  "claims not decided" },
		{ &x->attempts, "attempts_total", "calls to endpoints" },
		{ &x->resumes, "resumes_total", "runs read again" },
		{ &x->moved_kv, "moved_kv_total", "streams moved with KV" },
		{ &x->continued, "continued_total",
		  "streams continued elsewhere" },
		{ &x->restarts, "restarts_total", "answers begun anew" },
		{ &x->recomputed, "recomputed_tokens_total",
		  "tokens computed again" },
		{ &x->generated, "generated_tokens_total", "tokens made" },
		{ &x->takeovers, "takeovers_total", "records taken over" },
		{ &x->unprotected, "unprotected_total",
		  "records with no second copy" },
		{ &x->copies, "copies_total", "records held for others" },
		{ &x->copy_tokens, "copy_tokens_total", "tokens copied" },
		{ &x->copy_failed, "copy_failed_total", "copies that failed" },
		{ &x->items_new, "items_new_total", "items come in force" },
		{ &x->items_old, "items_old_total", "older items refused" },
		{ &x->items_conflict, "items_conflict_total",
		  "one revision, two bodies" },
		{ &x->items_invalid, "items_invalid_total", "bad items" },
		{ &x->denied, "denied_total", "callers or peers refused" },
		{ &x->stale_versions, "stale_versions_total",
		  "answers of another version" },
		{ &x->tokens_dropped, "tokens_dropped_total",
		  "tokens of older attempts" },
		{ &x->peer_calls, "peer_calls_total", "calls to peers" },
		{ &x->peer_bytes, "peer_bytes_total",
		  "bytes of calls to peers, both ways" },
		{ &x->no_room, "refused_no_room_total",
		  "requests refused as bodies together were too large" },
		{ &x->alarms, "alarms_total", "alarms raised" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		*rows[i].at = met_counter(m, rows[i].name, rows[i].help);
	for (i = 0; i < 8; i++)
		x->refused[i] = met_counter(m, refused[i], "refused at once");
	for (i = 0; i < JUDGE_REASONS; i++)
		x->judge_reasons[i] =
			met_counter(m, reasons[i], "answers as a judge");
	x->in_flight = met_gauge(m, "in_flight", "callers being answered");
	x->queued = met_gauge(m, "queued", "requests that wait");
	x->votes = met_gauge(m, "votes", "votes held");
	x->view = met_gauge(m, "view", "number of the view");
	x->members = met_gauge(m, "members", "entries believed alive");
	x->drain = met_gauge(m, "draining", "1 while leaving");
}

/* ---- Starting ---- */

static void init_self(struct entry *en)
{
	char text[128];

	str_copy(en->self.name, en->set.name, sizeof(en->self.name));
	str_copy(en->self.zone, en->set.zone, sizeof(en->self.zone));
	str_copy(en->self.region, en->set.region, sizeof(en->self.region));
	str_copy(en->self.http, hsv_address(en->hsv), sizeof(en->self.http));
	str_copy(en->self.peer, en->peer_address, sizeof(en->self.peer));
	en->self.boot = (uint64_t)clk_wall_ms(en->clk);
	en->self.id = view_instance_id(en->self.name, en->self.boot);
	snprintf(text, sizeof(text), "peer|%s|%llu", en->self.name,
		 (unsigned long long)en->self.boot);
	hsh_mac16(en->set.peer_secret, text, en->peer_mac);
}

static void init_rings(struct entry *en)
{
	size_t i;

	en->wake = ring_create(64);
	en->changed_items = ring_create(RING_CAP);
	en->commands = ring_create(RING_CAP);
	en->moves = ring_create(1024);
	en->copies = ring_create(RING_CAP);
	CDS_INIT_LIST_HEAD(&en->recent_items);
	CDS_INIT_LIST_HEAD(&en->open);
	for (i = 0; i < ENT_REQ_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&en->table[i]);
	pthread_mutex_init(&en->member_lock, NULL);
	pthread_mutex_init(&en->judge_lock, NULL);
	pthread_mutex_init(&en->table_lock, NULL);
}

static void init_parts(struct entry *en)
{
	const struct swim_config cfg = swim_default_config();

	en->hcl = hcl_create();
	en->kv = kv_etcd_create(en->hcl, en->set.key_value);
	en->links = links_create(LINK_THREADS);
	en->mux = mux_create(
		(size_t)en->set.in_flight * MUX_STREAMS_PER_REQUEST + 128);
	en->swim = swim_create(&en->self, &cfg, rnd_secret());
	en->spread = spread_create();
	en->judge = judge_create(en->self.id, en->set.key_life_ms, MAX_VOTES);
	ent_state_init(en);
}

static void start_threads(struct entry *en)
{
	const struct {
		pthread_t *t;
		void *(*fn)(void *);
	} rows[] = {
		{ &en->rpc_thread, ent_rpc_run },
		{ &en->member_thread, ent_member_run },
		{ &en->dispatch_thread, ent_dispatch_run },
		{ &en->mover_thread, ent_mover_run },
		{ &en->copier_thread, ent_copier_run },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (pthread_create(rows[i].t, NULL, rows[i].fn, en))
			abort();
	}
}

struct entry *entry_start(const struct set *s, struct err *e)
{
	struct entry *en = mem_new(sizeof(*en));
	struct hsv_config cfg;

	/* Writing to a closed connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	en->set = *s;
	en->clk = clk_real();
	register_metrics(en);
	init_rings(en);
	if (ent_rpc_open(en, e)) {
		free(en);
		return NULL;
	}
	cfg.address = en->set.http_address;
	cfg.workers = (int)en->set.workers;
	cfg.max_body = (size_t)en->set.body_bytes;
	cfg.max_bodies = (size_t)en->set.bodies_bytes;
	en->hsv = hsv_start(&cfg, ent_http_handle, en, e);
	if (!en->hsv) {
		free(en);
		return NULL;
	}
	init_self(en);
	init_parts(en);
	start_threads(en);
	return en;
}

const char *entry_http_address(const struct entry *en)
{
	return en->self.http;
}

const char *entry_peer_address(const struct entry *en)
{
	return en->self.peer;
}

/* ---- Draining ---- */

/*
 * At the end of the drain: hands an open model request over to its holder, if
 * it has one, which takes it over. The client receives a reconnect event after
 * a whole event.
 */
static void release_to_holder(struct ent_req *rq, void *arg)
{
	struct entry *en = arg;

	pthread_mutex_lock(&rq->lock);
	if (rq->role == ENT_OWNER && rq->flow.phase != FLOW_DONE &&
	    !rq->plain && *rq->holder) {
		rq->released = true;
		ent_queue_copy(rq);
		mux_cancel(en->mux, rq->stream);
		pthread_cond_broadcast(&rq->changed);
	}
	pthread_mutex_unlock(&rq->lock);
}

static void queue_final_copy(struct ent_req *rq, void *arg)
{
	(void)arg;
	pthread_mutex_lock(&rq->lock);
	if (rq->role == ENT_OWNER && rq->flow.phase == FLOW_DONE &&
	    !rq->end_copied)
		ent_queue_copy(rq);
	pthread_mutex_unlock(&rq->lock);
}

/*
 * Waits until the time `until`. Returns earlier when the entry stops or, with
 * `for_idle`, when no request is open.
 */
static void wait_until(struct entry *en, int64_t until, bool for_idle)
{
	while (ent_now(en) < until && !atomic_load(&en->stopping)) {
		if (for_idle && !atomic_load(&en->nr_open) &&
		    !atomic_load(&en->in_flight))
			return;
		clk_sleep_ms(20);
	}
}

static void *run_drain(void *arg)
{
	struct entry *en = arg;
	const int64_t start = ent_now(en);

	/* Clients may use a cached list that has this entry. */
	wait_until(en, start + en->set.entry_list_ms, false);
	wait_until(en, start + en->set.drain_ms, true);
	atomic_store(&en->releasing, true);
	ent_req_each(en, queue_final_copy, en);
	ent_req_each_open(en, release_to_holder, en);
	wait_until(en, ent_now(en) + 2000, true);
	/* Last, since this entry votes as a judge until then. */
	ent_transfer_votes(en);
	clk_sleep_ms(2 * en->set.copy_ms);
	atomic_store(&en->drained, true);
	log_line(LOG_LEVEL_INFO, "drain", "drained ms=%lld",
		 (long long)(ent_now(en) - start));
	return NULL;
}

void entry_drain(struct entry *en)
{
	if (atomic_exchange(&en->draining, true))
		return;
	met_set(en->m.drain, 1);
	log_line(LOG_LEVEL_INFO, "drain", "begun in_flight=%zu",
		 atomic_load(&en->in_flight));
	pthread_mutex_lock(&en->member_lock);
	swim_leave(en->swim);
	pthread_mutex_unlock(&en->member_lock);
	if (pthread_create(&en->drain_thread, NULL, run_drain, en))
		abort();
}

bool entry_drained(struct entry *en)
{
	return atomic_load(&en->drained);
}

/* ---- Stopping ---- */

static void end_request(struct ent_req *rq, void *arg)
{
	(void)arg;
	pthread_mutex_lock(&rq->lock);
	ent_req_end(rq);
	pthread_mutex_unlock(&rq->lock);
}

static void remove_request(struct ent_req *rq, void *arg)
{
	ent_req_remove(arg, rq);
}

static void free_rings(struct entry *en)
{
	struct ent_command *c;
	void *p;

	ent_member_free(en);

	while ((p = ring_pop(en->changed_items, 0)))
		free(p);
	while ((c = ring_pop(en->commands, 0))) {
		if (c->rq)
			ent_req_put(c->rq);
		free(c);
	}
	while ((p = ring_pop(en->copies, 0)))
		ent_req_put(p);
	ring_free(en->wake);
	ring_free(en->changed_items);
	ring_free(en->commands);
	ring_free(en->moves);
	ring_free(en->copies);
}

void entry_stop(struct entry *en)
{
	atomic_store(&en->stopping, true);
	if (atomic_load(&en->draining))
		pthread_join(en->drain_thread, NULL);
	hsv_stop(en->hsv);
	ent_rpc_stop(en);
	pthread_join(en->rpc_thread, NULL);
	pthread_join(en->dispatch_thread, NULL);
	pthread_join(en->mover_thread, NULL);
	pthread_join(en->copier_thread, NULL);
	pthread_join(en->member_thread, NULL);
	mux_free(en->mux);
	links_free(en->links);
	ent_req_each_open(en, end_request, en);
	ent_req_each(en, remove_request, en);
	free_rings(en);
	ent_state_free(en);
	judge_free(en->judge);
	swim_free(en->swim);
	spread_free(en->spread);
	en->kv->vt->free(en->kv);
	hcl_free(en->hcl);
	free(en);
}
