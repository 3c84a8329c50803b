/*
 * Feeds: what there is of an answer, from this entry or from another.
 */
#include "entry/ent_answer.h"

#include <stdlib.h>
#include <string.h>

/* Poll of another entry that runs the request. */
#define FETCH_GAP_MS 20

/* A worker looks up from an idle answer this often. */
#define WAIT_SLICE_MS 500

/* One failed round over owner and judges; then the copy here goes on. */
#define LOCAL_AFTER_MS 50

/* How long an answer of a lost entry is looked for. */
#define LOCATE_MS 8000

#define FETCH_MS 800

/* ---- Where an answer is read from: here, or another entry ---- */

void ent_free_batch(struct ent_batch *b)
{
	uint32_t i;

	for (i = 0; i < b->nr; i++)
		free(b->tokens[i]);
	free(b->tokens);
	free(b->result);
	memset(b, 0, sizeof(*b));
}

static void fill_batch(const struct ent_req *rq, uint32_t gen, uint32_t offset,
		       struct ent_batch *out)
{
	out->restart = !flow_can_continue(&rq->flow, gen, offset);
	out->from = out->restart ? 0 : offset;
	out->gen = flow_gen(&rq->flow);
	out->tokens = ent_req_tokens(rq, out->from, &out->nr);
	out->outcome = rq->flow.phase == FLOW_DONE ? rq->flow.outcome
						   : FLOW_OPEN;
	out->status = rq->status;
	out->plain = rq->plain;
	out->stripped = rq->stripped;
	str_copy(out->finish, rq->finish, sizeof(out->finish));
	str_copy(out->model, rq->model, sizeof(out->model));
	str_copy(out->version, rq->version, sizeof(out->version));
	str_copy(out->result_type, rq->result_type, sizeof(out->result_type));
	if (rq->flow.phase == FLOW_DONE && rq->result) {
		out->result = mem_new(rq->result_len + 1);
		memcpy(out->result, rq->result, rq->result_len);
		out->result_len = rq->result_len;
	}
}

static bool has_news(const struct ent_req *rq, uint32_t gen, uint32_t offset)
{
	return rq->flow.phase == FLOW_DONE || rq->flow.tokens > offset ||
	       rq->released || !flow_can_continue(&rq->flow, gen, offset);
}

static void local_next(struct ent_feed *f, uint32_t gen, uint32_t offset,
		       struct ent_batch *out)
{
	struct ent_req *rq = ((struct ent_local_feed *)f)->rq;
	const struct timespec until = clk_deadline(WAIT_SLICE_MS);

	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&rq->lock);
	while (!has_news(rq, gen, offset)) {
		if (pthread_cond_timedwait(&rq->changed, &rq->lock, &until))
			break;
	}
	fill_batch(rq, gen, offset, out);
	/* What was handed to another entry goes on there. */
	out->lost = rq->released && rq->flow.phase != FLOW_DONE;
	pthread_mutex_unlock(&rq->lock);
}

const struct ent_feed_vtable ent_local_feed_vtable = { local_next };

static bool fetch(struct ent_remote_feed *r, const char *address, bool lost,
		  uint32_t gen, uint32_t offset, peer_fetch_reply *out)
{
	peer_fetch_args *a = mem_new(sizeof(*a));
	struct err e = ERR_INIT;
	struct link_call c;

	ent_fill_head(r->feed.en, &a->head);
	a->key = mem_dup(r->key);
	a->account = mem_dup(r->account);
	a->gen = gen;
	a->from = offset;
	a->owner_lost = lost;
	c = ent_prepare_call(address, PEER_FETCH,
			     (xdrproc_t)xdr_peer_fetch_args, a,
			     (xdrproc_t)xdr_peer_fetch_reply, sizeof(*out),
			     FETCH_MS);
	return !links_call(r->feed.en->links, &c, out, &e);
}

/* Moves the strings out of the reply, which is then freed. */
static void take_reply(peer_fetch_reply *p, struct ent_batch *out)
{
	u_int i;

	out->restart = p->restart;
	out->gen = p->gen;
	out->from = p->from;
	out->nr = p->tokens.tokens_len;
	out->tokens = mem_new(out->nr * sizeof(*out->tokens));
	for (i = 0; i < out->nr; i++) {
		out->tokens[i] = p->tokens.tokens_val[i];
		p->tokens.tokens_val[i] = NULL;
	}
	out->outcome = p->outcome <= FLOW_FAILED ? (enum flow_outcome)p->outcome
						 : FLOW_FAILED;
	out->status = p->status;
	out->plain = p->plain;
	out->stripped = p->stripped;
	str_copy(out->finish, p->finish, sizeof(out->finish));
	str_copy(out->model, p->model, sizeof(out->model));
	str_copy(out->version, p->model_version, sizeof(out->version));
	out->result = mem_new(p->result.result_len + 1);
	memcpy(out->result, p->result.result_val, p->result.result_len);
	out->result_len = p->result.result_len;
	str_copy(out->result_type, "application/json",
		 sizeof(out->result_type));
}

/* Takes over the copy that this entry holds, if it does. */
static bool take_local(struct ent_remote_feed *r)
{
	struct ent_req *rq = ent_req_find(r->feed.en, r->key);
	bool owned;

	if (!rq)
		return false;
	if (strcmp(rq->account, r->account) == 0) {
		ent_take_over(r->feed.en, rq);
		pthread_mutex_lock(&rq->lock);
		owned = rq->role == ENT_OWNER || rq->flow.phase == FLOW_DONE;
		pthread_mutex_unlock(&rq->lock);
		if (owned) {
			r->local = rq;
			return true;
		}
	}
	ent_req_put(rq);
	return false;
}

/* Who is asked about a request, and what came of it. */
struct search {
	char where[5][SET_ADDR_MAX];
	size_t nr;
	bool winner_first; /* the first one is the winner of the claim */
	bool winner_answers;
};

/*
 * Asks all in turn. With `owner_lost` the one that holds the copy takes over,
 * unless the winner answers: it is yet to begin then.
 */
static bool ask_all(struct ent_remote_feed *r, struct search *s,
		    bool owner_lost, uint32_t gen, uint32_t offset,
		    struct ent_batch *out)
{
	peer_fetch_reply p;
	size_t i;

	for (i = 0; i < s->nr; i++) {
		const bool is_winner = s->winner_first && i == 0;
		bool found;

		if (!fetch(r, s->where[i], owner_lost && !is_winner, gen,
			   offset, &p))
			continue;
		s->winner_answers |= is_winner;
		found = p.found && (p.owned || p.outcome != FLOW_OPEN);
		if (found) {
			str_copy(r->address, s->where[i], sizeof(r->address));
			take_reply(&p, out);
		}
		xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
		if (found)
			return true;
	}
	return false;
}

/*
 * Looks for the request at the entry that won the claim and at the key's
 * judges. Only if none of them runs it or knows its end is the holder of the
 * copy asked to take over: the winner may be dead and a successor alive, which
 * the holder that is asked first need not know. Without a known winner nobody
 * takes over.
 */
static bool look_for(struct ent_remote_feed *r, uint32_t gen, uint32_t offset,
		     struct ent_batch *out)
{
	struct search s = { .nr = 0 };

	s.nr = ent_key_addresses(r->feed.en, r->view, r->slot, r->winner,
				 s.where, &s.winner_first);
	if (ask_all(r, &s, false, gen, offset, out))
		return true;
	if (!r->winner || s.winner_answers)
		return false;
	return ask_all(r, &s, true, gen, offset, out);
}

bool ent_find_remote(struct entry *en, const struct ent_req *rq)
{
	struct ent_remote_feed f = { .feed = { &ent_remote_feed_vtable, en },
				     .view = rq->slot_view,
				     .slot = rq->slot };
	struct ent_batch found = { .nr = 0 };
	bool there;

	str_copy(f.key, rq->key, sizeof(f.key));
	str_copy(f.account, rq->account, sizeof(f.account));
	there = look_for(&f, 0, 0, &found);
	ent_free_batch(&found);
	return there;
}

static void remote_next(struct ent_feed *f, uint32_t gen, uint32_t offset,
			struct ent_batch *out)
{
	struct ent_remote_feed *r = (struct ent_remote_feed *)f;
	struct ent_local_feed here = { { &ent_local_feed_vtable, f->en },
				       r->local };
	const int64_t now = ent_now(f->en);
	peer_fetch_reply p;

	memset(out, 0, sizeof(*out));
	if (r->local) {
		local_next(&here.feed, gen, offset, out);
		return;
	}
	if (r->seen)
		clk_sleep_ms(FETCH_GAP_MS);
	if (*r->address && fetch(r, r->address, false, gen, offset, &p)) {
		if (p.found && (p.owned || p.outcome != FLOW_OPEN)) {
			take_reply(&p, out);
			xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
			r->lost_since = 0;
			return;
		}
		xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
	}
	r->address[0] = '\0';
	if (look_for(r, gen, offset, out)) {
		r->seen = true;
		r->lost_since = 0;
		return;
	}
	if (!r->lost_since)
		r->lost_since = now;
	/* The owner cannot be reached and this entry may hold the copy. */
	if (now - r->lost_since > LOCAL_AFTER_MS && take_local(r)) {
		here.rq = r->local;
		local_next(&here.feed, gen, offset, out);
		return;
	}
	out->lost = now - r->lost_since > LOCATE_MS;
	out->from = offset;
	out->gen = gen;
	clk_sleep_ms(5 * FETCH_GAP_MS);
}

const struct ent_feed_vtable ent_remote_feed_vtable = { remote_next };
