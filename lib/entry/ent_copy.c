/*
 * Replication of requests: a second entry, in another availability zone if
 * there is one, holds a copy of each request's record and tokens.
 *
 * The owner sends changes to each holder in batches, every copy_ms. If the
 * owner is lost, the holder takes over: it resumes reading the engine's run, or
 * continues from the prompt and the tokens that it has.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"
#include "base/jsn.h"

#define UPDATE_TIMEOUT_MS 1000

/* Requests per batch to a holder; limits a message to about 100 KB. */
#define MAX_BATCH_REQUESTS 256

/* ---- The record ---- */

/* Called with the request's lock held. */
static void fill_record(struct ent_req *rq, peer_record *r)
{
	r->key = mem_dup(rq->key);
	r->account = mem_dup(rq->account);
	r->service = mem_dup(rq->service);
	r->model = mem_dup(rq->model);
	r->model_version = mem_dup(rq->version);
	r->route = mem_dup(rq->route);
	r->owner = rq->owner;
	r->endpoint = rq->flow.endpoint;
	r->attempt = rq->flow.attempt;
	r->prompt_tokens = rq->prompt_tokens;
	r->max_tokens = rq->max_tokens;
	r->left_ms = rq->flow.deadline_ms - ent_now(rq->en);
	r->chat = rq->chat;
	if (rq->body) {
		r->body.body_len = (u_int)strlen(rq->body);
		r->body.body_val = mem_dup(rq->body);
	}
}

void ent_fill_record(struct ent_req *rq, peer_record *r)
{
	pthread_mutex_lock(&rq->lock);
	fill_record(rq, r);
	pthread_mutex_unlock(&rq->lock);
}

/* True if `owner` owns the request: its record was merely sent again. */
static bool is_owned_by(struct ent_req *rq, uint64_t owner)
{
	bool same;

	pthread_mutex_lock(&rq->lock);
	same = rq->owner == owner;
	pthread_mutex_unlock(&rq->lock);
	return same;
}

/* Creates a copy that is not in the table yet; NULL if the key is malformed. */
static struct ent_req *create_copy(struct entry *en, const peer_record *r,
				   uint64_t view, unsigned slot,
				   int64_t birth_ms)
{
	struct ent_req *rq;

	if (!*r->key || strlen(r->key) >= GRANT_KEY_MAX)
		return NULL;
	rq = ent_req_create(en, r->key);
	str_copy(rq->account, r->account, sizeof(rq->account));
	str_copy(rq->service, r->service, sizeof(rq->service));
	str_copy(rq->model, r->model, sizeof(rq->model));
	str_copy(rq->version, r->model_version, sizeof(rq->version));
	str_copy(rq->route, r->route, sizeof(rq->route));
	rq->plain = *rq->route != '\0';
	rq->chat = r->chat;
	rq->role = ENT_HOLDER;
	rq->owner = r->owner;
	rq->slot_view = view;
	rq->slot = slot;
	rq->birth_ms = birth_ms;
	rq->prompt_tokens = r->prompt_tokens;
	rq->max_tokens = r->max_tokens;
	flow_init(&rq->flow, rnd_secret(), r->prompt_tokens,
		  ent_now(en) + r->left_ms);
	rq->flow.endpoint = r->endpoint;
	rq->flow.attempt = r->attempt;
	rq->body = mem_new(r->body.body_len + 1);
	memcpy(rq->body, r->body.body_val, r->body.body_len);
	return rq;
}

/*
 * Adds a copy to the table, and drops the caller's reference. False if the key
 * is there for another owner.
 */
static bool add_copy(struct entry *en, struct ent_req *rq)
{
	struct ent_req *found = ent_req_add(en, rq);
	const bool accepted = found == rq || is_owned_by(found, rq->owner);

	ent_req_put(found);
	ent_req_put(rq);
	if (accepted)
		met_inc(en->m.copies);
	return accepted;
}

bool ent_store_record(struct entry *en, const peer_record *r, uint64_t view,
		      unsigned slot, int64_t birth_ms)
{
	struct ent_req *rq = create_copy(en, r, view, slot, birth_ms);

	return rq && add_copy(en, rq);
}

/* ---- Sending ---- */

void ent_queue_copy(struct ent_req *rq)
{
	if (rq->role != ENT_OWNER || rq->in_copy_queue)
		return;
	ent_req_get(rq);
	if (ring_push(rq->en->copies, rq)) {
		rq->in_copy_queue = true;
		return;
	}
	/* The ring is full: the next token or the end queues it again. */
	ent_req_put(rq);
	met_inc(rq->en->m.copy_failed);
}

static void fill_gens(const struct flow *f, peer_update *u)
{
	size_t i;

	u->gens.gens_len = (u_int)f->nr_gens;
	u->gens.gens_val = mem_new(f->nr_gens * sizeof(peer_gen));
	for (i = 0; i < f->nr_gens; i++) {
		u->gens.gens_val[i].id = f->gens[i].id;
		u->gens.gens_val[i].from = f->gens[i].from;
	}
}

/* Fills in the state with the tokens after the first `from`. Lock held. */
static void fill_state(struct ent_req *rq, uint32_t from, peer_update *u)
{
	const struct flow *f = &rq->flow;

	u->key = mem_dup(rq->key);
	u->model_version = mem_dup(rq->version);
	u->endpoint = f->endpoint;
	u->attempt = f->attempt;
	fill_gens(f, u);
	u->from = from;
	u->tokens.tokens_val = ent_req_tokens(rq, from, &u->tokens.tokens_len);
	met_add(rq->en->m.copy_tokens, u->tokens.tokens_len);
	u->outcome = f->outcome;
	u->status = rq->status;
	u->finish = mem_dup(rq->finish);
	u->release = rq->released;
	if (rq->result && rq->flow.phase == FLOW_DONE) {
		u->result.result_val = mem_new(rq->result_len);
		memcpy(u->result.result_val, rq->result, rq->result_len);
		u->result.result_len = (u_int)rq->result_len;
	}
}

/* Called with the request's lock held. */
static void fill_update(struct ent_req *rq, peer_update *u)
{
	const uint32_t tokens = rq->flow.tokens;

	fill_state(rq, rq->copied_tokens < tokens ? rq->copied_tokens : tokens,
		   u);
	rq->copied_tokens = tokens;
}

void ent_fill_hold(struct ent_req *rq, peer_hold_args *a)
{
	pthread_mutex_lock(&rq->lock);
	a->view = rq->slot_view;
	a->slot = rq->slot;
	a->birth_ms = rq->birth_ms;
	fill_record(rq, &a->record);
	fill_state(rq, 0, &a->state);
	pthread_mutex_unlock(&rq->lock);
}

/* Updates to one holder. */
struct batch {
	struct entry *en;
	size_t nr;
	struct ent_req *rq[MAX_BATCH_REQUESTS];
	char holder[SET_ADDR_MAX];
	peer_update_args *args;
};

static void on_copied(enum err_code why, const void *result, void *arg)
{
	struct batch *b = arg;
	const bool_t *all = result;
	size_t i;

	for (i = 0; i < b->nr; i++) {
		struct ent_req *rq = b->rq[i];
		bool rehome = false;

		pthread_mutex_lock(&rq->lock);
		if (why != ERR_NONE) {
			met_inc(b->en->m.copy_failed);
			rq->copied_tokens = 0;
			rehome = !strcmp(rq->holder, b->holder);
		} else if (!*all) {
			/* A copy lacks earlier tokens: send all. */
			rq->copied_tokens = 0;
		} else if (rq->flow.phase == FLOW_DONE) {
			rq->end_copied = true;
		}
		pthread_mutex_unlock(&rq->lock);
		if (rehome)
			ent_rehome(b->en, rq);
		ent_req_put(rq);
	}
	free(b);
}

static void send_batch(struct batch *b)
{
	struct link_call c = ent_prepare_call(b->holder, PEER_UPDATE,
					      (xdrproc_t)xdr_peer_update_args,
					      b->args, (xdrproc_t)xdr_bool,
					      sizeof(bool_t),
					      UPDATE_TIMEOUT_MS);
	size_t i;

	c.done = on_copied;
	c.arg = b;
	if (links_send(b->en->links, &c))
		return;
	for (i = 0; i < b->nr; i++) {
		pthread_mutex_lock(&b->rq[i]->lock);
		b->rq[i]->copied_tokens = 0;
		pthread_mutex_unlock(&b->rq[i]->lock);
		ent_req_put(b->rq[i]);
	}
	free(b);
}

/*
 * Returns a batch for the holder that is not full, new or from `open`; NULL if
 * there are `max` batches already.
 */
static struct batch *batch_for(struct entry *en, struct batch **open,
			       size_t *nr, size_t max, const char *holder)
{
	struct batch *b;
	size_t i;

	for (i = 0; i < *nr; i++) {
		if (!strcmp(open[i]->holder, holder) &&
		    open[i]->nr < MAX_BATCH_REQUESTS)
			return open[i];
	}
	if (*nr == max)
		return NULL;
	b = mem_new(sizeof(*b));
	b->en = en;
	str_copy(b->holder, holder, sizeof(b->holder));
	b->args = mem_new(sizeof(*b->args));
	ent_fill_head(en, &b->args->head);
	b->args->updates.updates_val =
		mem_new(MAX_BATCH_REQUESTS * sizeof(peer_update));
	open[(*nr)++] = b;
	return b;
}

#define MAX_BATCHES 64 /* per call of send_copies() */

/* True if the request has no holder; starts a search that is due. */
static bool lacks_holder(struct entry *en, struct ent_req *rq)
{
	const int64_t now = ent_now(en);
	bool lacks, due;

	pthread_mutex_lock(&rq->lock);
	lacks = !*rq->holder;
	due = lacks && now >= rq->next_rehome_ms;
	if (lacks)
		rq->in_copy_queue = false;
	pthread_mutex_unlock(&rq->lock);
	if (due)
		ent_rehome(en, rq);
	return lacks;
}

static void send_copies(struct entry *en)
{
	struct batch *open[MAX_BATCHES];
	size_t nr = 0, i;
	struct ent_req *rq;

	while (nr < MAX_BATCHES && (rq = ring_pop(en->copies, 0))) {
		struct batch *b;

		if (lacks_holder(en, rq)) {
			ent_req_put(rq);
			continue;
		}
		pthread_mutex_lock(&rq->lock);
		rq->in_copy_queue = false;
		b = batch_for(en, open, &nr, MAX_BATCHES, rq->holder);
		if (b) {
			fill_update(rq, &b->args->updates.updates_val[b->nr]);
			b->args->updates.updates_len = (u_int)b->nr + 1;
			b->rq[b->nr++] = rq;
		}
		pthread_mutex_unlock(&rq->lock);
		if (!b)
			ent_req_put(rq);
	}
	for (i = 0; i < nr; i++)
		send_batch(open[i]);
}

void *ent_copier_run(void *arg)
{
	struct entry *en = arg;

	while (!atomic_load(&en->stopping)) {
		clk_sleep_ms(en->set.copy_ms);
		send_copies(en);
	}
	send_copies(en);
	return NULL;
}

/* ---- Receiving ---- */

static void apply_tokens(struct ent_req *rq, const peer_update *u)
{
	u_int i;

	ent_req_truncate(rq, u->from);
	rq->flow.tokens = u->from;
	for (i = 0; i < u->tokens.tokens_len; i++) {
		rq->flow.tokens++;
		ent_req_append(rq, u->tokens.tokens_val[i]);
	}
}

static void apply_gens(struct ent_req *rq, const peer_update *u)
{
	u_int i;

	rq->flow.nr_gens = u->gens.gens_len;
	for (i = 0; i < u->gens.gens_len; i++) {
		rq->flow.gens[i].id = u->gens.gens_val[i].id;
		rq->flow.gens[i].from = u->gens.gens_val[i].from;
	}
}

static void apply_end(struct ent_req *rq, const peer_update *u)
{
	if (u->outcome == FLOW_OPEN || u->outcome > FLOW_FAILED)
		return;
	rq->flow.outcome = (enum flow_outcome)u->outcome;
	rq->flow.phase = FLOW_DONE;
	free(rq->result);
	rq->result = mem_new(u->result.result_len + 1);
	memcpy(rq->result, u->result.result_val, u->result.result_len);
	rq->result_len = u->result.result_len;
	free(rq->body);
	rq->body = NULL;
	rq->ended_ms = ent_now(rq->en);
	pthread_cond_broadcast(&rq->changed);
}

/* Called with the request's lock held, or before the request is in the table. */
static void apply_state(struct ent_req *rq, const peer_update *u)
{
	apply_tokens(rq, u);
	apply_gens(rq, u);
	rq->flow.endpoint = u->endpoint;
	rq->flow.attempt = u->attempt;
	rq->status = u->status;
	str_copy(rq->version, u->model_version, sizeof(rq->version));
	str_copy(rq->finish, u->finish, sizeof(rq->finish));
	apply_end(rq, u);
}

bool ent_apply_update(struct entry *en, const peer_update *u)
{
	struct ent_req *rq = ent_req_find(en, u->key);
	bool ok = false, release = false;

	if (!rq)
		return false;
	pthread_mutex_lock(&rq->lock);
	/* After a takeover or the end, updates of the old owner are stale. */
	if (rq->role != ENT_HOLDER || rq->flow.phase == FLOW_DONE) {
		ok = true;
	} else if (u->from <= rq->flow.tokens) {
		ok = true;
		apply_state(rq, u);
		release = u->release && rq->flow.phase != FLOW_DONE;
	}
	pthread_mutex_unlock(&rq->lock);
	if (release)
		ent_take_over(en, rq);
	ent_req_put(rq);
	return ok;
}

bool ent_become_holder(struct entry *en, const peer_hold_args *a)
{
	struct ent_req *rq;
	bool held;

	if (a->state.from)
		return false;
	rq = ent_req_find(en, a->record.key);
	if (!rq) {
		rq = create_copy(en, &a->record, a->view, a->slot, a->birth_ms);
		if (!rq)
			return false;
		/* Complete before another thread can take it over. */
		apply_state(rq, &a->state);
		return add_copy(en, rq);
	}
	pthread_mutex_lock(&rq->lock);
	held = rq->role == ENT_HOLDER && rq->flow.phase != FLOW_DONE &&
	       !strcmp(rq->account, a->record.account);
	if (held) {
		rq->owner = a->record.owner;
		apply_state(rq, &a->state);
	}
	pthread_mutex_unlock(&rq->lock);
	ent_req_put(rq);
	return held;
}

/* ---- Taking over ---- */

/* Ends a plain call of a lost owner: it is unknown whether it ran. */
static void end_plain_unknown(struct ent_req *rq)
{
	rq->flow.outcome = FLOW_FAILED;
	rq->flow.phase = FLOW_DONE;
	rq->status = 504;
	ent_req_end(rq);
}

static void end_prompt_missing(struct ent_req *rq)
{
	rq->status = 502;
	ent_do_action(rq, flow_give_up(&rq->flow, ent_now(rq->en)));
}

static char *copy_prompt(const char *body)
{
	JSN_AUTO *o = jsn_parse(body, strlen(body));
	struct json_object *p = jsn_get(o, "prompt");

	if (!p)
		p = jsn_get(o, "messages");
	return mem_dup(p ? json_object_get_string(p) : "");
}

static void continue_run(struct ent_req *rq)
{
	struct flow_gen gens[FLOW_MAX_GENS];
	const struct flow old = rq->flow;
	struct flow_action a;

	memcpy(gens, old.gens, sizeof(gens));
	/* With another seed than the owner's, generations stay distinct. */
	flow_init(&rq->flow, rnd_secret(), rq->prompt_tokens, old.deadline_ms);
	flow_adopt(&rq->flow, gens, old.nr_gens, old.tokens, old.attempt,
		   old.endpoint);
	a.kind = old.endpoint ? FLOW_RESUME : FLOW_ROUTE;
	a.endpoint = old.endpoint;
	a.attempt = old.attempt;
	a.from = old.tokens;
	a.at_ms = ent_now(rq->en);
	ent_do_action(rq, a);
}

void ent_take_over(struct entry *en, struct ent_req *rq)
{
	pthread_mutex_lock(&rq->lock);
	if (rq->role != ENT_HOLDER || rq->flow.phase == FLOW_DONE) {
		pthread_mutex_unlock(&rq->lock);
		return;
	}
	rq->role = ENT_OWNER;
	rq->previous_owner = rq->owner;
	rq->owner = en->self.id;
	ent_req_open(rq);
	met_inc(en->m.takeovers);
	ent_req_log(rq, "takeover tokens=%u attempt=%u", rq->flow.tokens,
		    rq->flow.attempt);
	if (rq->plain) {
		end_plain_unknown(rq);
	} else if (!rq->body) {
		end_prompt_missing(rq);
	} else {
		rq->mod = ent_model_get(en, rq->service, rq->model, true);
		rq->prompt = copy_prompt(rq->body);
		rq->prefix = mem_new(sizeof(*rq->prefix));
		prefix_key_init(rq->prefix, rq->prompt, strlen(rq->prompt),
				hsh_str(rq->model, 0));
		continue_run(rq);
	}
	pthread_mutex_unlock(&rq->lock);
	/* This is the only copy now: find another holder. */
	ent_rehome(en, rq);
}

/* True if this entry holds the copy of a request that has not ended; its owner. */
static bool holds_copy(struct ent_req *rq, uint64_t *owner)
{
	bool held;

	pthread_mutex_lock(&rq->lock);
	*owner = rq->owner;
	held = rq->role == ENT_HOLDER && rq->flow.phase != FLOW_DONE;
	pthread_mutex_unlock(&rq->lock);
	return held;
}

/* True if the membership has declared the owner dead. */
static bool owner_dead(struct entry *en, uint64_t owner)
{
	bool dead;

	pthread_mutex_lock(&en->member_lock);
	dead = swim_knows(en->swim, owner) &&
	       swim_state_of(en->swim, owner) == SWIM_DEAD;
	pthread_mutex_unlock(&en->member_lock);
	return dead;
}

/*
 * True if the owner is suspected by the membership, or its process is gone. A
 * call that failed says neither: an owner that is only slow may have answered
 * the client already. May block for a third of a second.
 */
static bool owner_lost(struct entry *en, uint64_t owner)
{
	struct swim_delta d;
	bool known;

	pthread_mutex_lock(&en->member_lock);
	known = swim_lookup(en->swim, owner, &d);
	pthread_mutex_unlock(&en->member_lock);
	return !known || d.state >= SWIM_SUSPECT ||
	       link_is_refused(d.member.peer);
}

bool ent_take_over_if_lost(struct entry *en, struct ent_req *rq)
{
	uint64_t owner;
	bool owned;

	/*
	 * The outcome of a plain call may still arrive from an owner that is
	 * only suspected; generations distinguish two runs of a model request.
	 */
	if (holds_copy(rq, &owner) &&
	    (rq->plain ? owner_dead(en, owner) : owner_lost(en, owner)))
		ent_take_over(en, rq);
	pthread_mutex_lock(&rq->lock);
	owned = rq->role == ENT_OWNER || rq->flow.phase == FLOW_DONE;
	pthread_mutex_unlock(&rq->lock);
	return owned;
}

static void take_over_if_dead(struct ent_req *rq, void *arg)
{
	struct entry *en = arg;
	uint64_t owner;

	if (holds_copy(rq, &owner) && owner_dead(en, owner))
		ent_take_over(en, rq);
}

void ent_take_over_from_dead(struct entry *en)
{
	ent_req_each(en, take_over_if_dead, en);
}

/* ---- Serving peers that have the client ---- */

void ent_serve_fetch(struct entry *en, const peer_fetch_args *a,
		     peer_fetch_reply *r)
{
	struct ent_req *rq = ent_req_find(en, a->key);
	uint32_t from = a->from;

	if (!rq)
		return;
	if (strcmp(rq->account, a->account)) {
		met_inc(en->m.denied);
		ent_req_put(rq);
		return;
	}
	/* The calling peer may be the only one that cannot reach the owner. */
	if (a->owner_lost)
		ent_take_over_if_lost(en, rq);
	pthread_mutex_lock(&rq->lock);
	r->found = TRUE;
	r->owned = rq->role == ENT_OWNER;
	r->plain = rq->plain;
	r->stripped = rq->stripped;
	if (!flow_can_continue(&rq->flow, a->gen, from)) {
		r->restart = TRUE;
		from = 0;
	}
	r->gen = flow_gen(&rq->flow);
	r->from = from;
	r->tokens.tokens_val = ent_req_tokens(rq, from, &r->tokens.tokens_len);
	r->outcome = rq->flow.phase == FLOW_DONE ? rq->flow.outcome : FLOW_OPEN;
	r->status = rq->status;
	r->finish = mem_dup(rq->finish);
	r->model = mem_dup(rq->model);
	r->model_version = mem_dup(rq->version);
	if (rq->flow.phase == FLOW_DONE && rq->result) {
		r->result.result_val = mem_new(rq->result_len);
		memcpy(r->result.result_val, rq->result, rq->result_len);
		r->result.result_len = (u_int)rq->result_len;
	}
	pthread_mutex_unlock(&rq->lock);
	ent_req_put(rq);
}
