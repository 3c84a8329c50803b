/*
 * Feeds: sources of the tokens and the outcome of a request, either in this
 * entry or fetched from the entry that owns it.
 */
#include "entry/ent_answer.h"

#include <stdlib.h>
#include <string.h>

/* Interval of fetches from the entry that owns the request. */
#define FETCH_INTERVAL_MS 20

/* Maximum wait for new tokens of a local request before the feed returns. */
#define LOCAL_WAIT_MS 500

/*
 * Time without an owner after which the copy in this entry is taken over. It is
 * less than the pause between two searches for the owner (5 *
 * FETCH_INTERVAL_MS), so that the second failed search leads to the takeover.
 */
#define LOCAL_TAKEOVER_MS 50

/* Time without an owner after which the request is reported as lost. */
#define LOCATE_TIMEOUT_MS 8000

/* Timeout of one fetch call. */
#define FETCH_TIMEOUT_MS 800

/* ---- Local and remote feeds ---- */

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

static bool has_update(const struct ent_req *rq, uint32_t gen, uint32_t offset)
{
	return rq->flow.phase == FLOW_DONE || rq->flow.tokens > offset ||
	       rq->released || !flow_can_continue(&rq->flow, gen, offset);
}

static void local_next(struct ent_feed *f, uint32_t gen, uint32_t offset,
		       struct ent_batch *out)
{
	struct ent_req *rq = ((struct ent_local_feed *)f)->rq;
	const struct timespec until = clk_deadline(LOCAL_WAIT_MS);

	memset(out, 0, sizeof(*out));
	pthread_mutex_lock(&rq->lock);
	while (!has_update(rq, gen, offset)) {
		if (pthread_cond_timedwait(&rq->changed, &rq->lock, &until))
			break;
	}
	fill_batch(rq, gen, offset, out);
	/* A request handed over to another entry continues there. */
	out->lost = rq->released && rq->flow.phase != FLOW_DONE;
	pthread_mutex_unlock(&rq->lock);
}

const struct ent_feed_vtable ent_local_feed_vtable = { local_next };

/*
 * Fetches the outcome and the tokens after the first `offset` ones of
 * generation `gen` from the entry at `address`. `owner_lost` reports the owner
 * as lost, so that the holder of the copy takes over. Returns true if the entry
 * replied; `out` is then to be freed with xdr_free().
 */
static bool fetch(struct ent_remote_feed *r, const char *address,
		  bool owner_lost, uint32_t gen, uint32_t offset,
		  peer_fetch_reply *out)
{
	peer_fetch_args *a = mem_new(sizeof(*a));
	struct err e = ERR_INIT;
	struct link_call c;

	ent_fill_head(r->feed.en, &a->head);
	a->key = mem_dup(r->key);
	a->account = mem_dup(r->account);
	a->gen = gen;
	a->from = offset;
	a->owner_lost = owner_lost;
	c = ent_prepare_call(address, PEER_FETCH,
			     (xdrproc_t)xdr_peer_fetch_args, a,
			     (xdrproc_t)xdr_peer_fetch_reply, sizeof(*out),
			     FETCH_TIMEOUT_MS);
	return !links_call(r->feed.en->links, &c, out, &e);
}

/* Fills `out`, with strings moved out of the reply. The caller frees `p`. */
static void fill_from_reply(peer_fetch_reply *p, struct ent_batch *out)
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

/*
 * Takes over the request if this entry holds its copy. Sets r->local and
 * returns true if this entry now owns the request or has its outcome.
 */
static bool take_over_local_copy(struct ent_remote_feed *r)
{
	struct ent_req *rq = ent_req_find(r->feed.en, r->key);

	if (!rq)
		return false;
	if (strcmp(rq->account, r->account) == 0 &&
	    ent_take_over_if_lost(r->feed.en, rq)) {
		r->local = rq;
		return true;
	}
	ent_req_put(rq);
	return false;
}

/* Entries to query for a request, and whether its winner replied. */
struct owner_search {
	char addresses[5][SET_ADDR_MAX];
	size_t nr;
	bool winner_first; /* the first address is the claim's winner's */
	bool winner_replied;
};

/*
 * Queries the entries in order until one owns the request or has its outcome,
 * and fills `out` from its reply. False if none does. `owner_lost`: as for
 * fetch(), but it is not sent to the winner, because a winner that replies
 * without owning the request has yet to begin it.
 */
static bool query_entries(struct ent_remote_feed *r, struct owner_search *s,
			  bool owner_lost, uint32_t gen, uint32_t offset,
			  struct ent_batch *out)
{
	peer_fetch_reply p;
	size_t i;

	for (i = 0; i < s->nr; i++) {
		const bool is_winner = s->winner_first && i == 0;
		bool found;

		if (!fetch(r, s->addresses[i], owner_lost && !is_winner, gen,
			   offset, &p))
			continue;
		s->winner_replied |= is_winner;
		found = p.found && (p.owned || p.outcome != FLOW_OPEN);
		if (found) {
			str_copy(r->address, s->addresses[i],
				 sizeof(r->address));
			fill_from_reply(&p, out);
		}
		xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
		if (found)
			return true;
	}
	return false;
}

/*
 * Searches for the owner of the request at the winner of the claim and at the
 * key's judges, first without a takeover: the winner may have crashed and
 * another entry may have taken over already, and the holder that is queried
 * first may not have that information. Only if none of them owns the request or
 * has its outcome does a second round request a takeover, which the holder
 * refuses unless it finds its owner lost. There is none while the winner replies.
 * The winner may be unknown: too few of the key's judges may be left.
 */
static bool find_owner(struct ent_remote_feed *r, uint32_t gen, uint32_t offset,
		       struct ent_batch *out)
{
	struct owner_search s = { .nr = 0 };

	s.nr = ent_key_addresses(r->feed.en, r->view, r->slot, r->winner,
				 s.addresses, &s.winner_first);
	if (query_entries(r, &s, false, gen, offset, out))
		return true;
	if (s.winner_replied)
		return false;
	return query_entries(r, &s, true, gen, offset, out);
}

bool ent_find_remote(struct entry *en, const struct ent_req *rq)
{
	struct ent_remote_feed f = { .feed = { &ent_remote_feed_vtable, en },
				     .view = rq->slot_view,
				     .slot = rq->slot };
	struct ent_batch batch = { .nr = 0 };
	bool found;

	str_copy(f.key, rq->key, sizeof(f.key));
	str_copy(f.account, rq->account, sizeof(f.account));
	found = find_owner(&f, 0, 0, &batch);
	ent_free_batch(&batch);
	return found;
}

static void remote_next(struct ent_feed *f, uint32_t gen, uint32_t offset,
			struct ent_batch *out)
{
	struct ent_remote_feed *r = (struct ent_remote_feed *)f;
	struct ent_local_feed local_feed = { { &ent_local_feed_vtable, f->en },
					     r->local };
	const int64_t now = ent_now(f->en);
	peer_fetch_reply p;

	memset(out, 0, sizeof(*out));
	if (r->local) {
		local_next(&local_feed.feed, gen, offset, out);
		return;
	}
	if (r->seen)
		clk_sleep_ms(FETCH_INTERVAL_MS);
	if (*r->address && fetch(r, r->address, false, gen, offset, &p)) {
		if (p.found && (p.owned || p.outcome != FLOW_OPEN)) {
			fill_from_reply(&p, out);
			xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
			r->lost_since = 0;
			return;
		}
		xdr_free((xdrproc_t)xdr_peer_fetch_reply, &p);
	}
	r->address[0] = '\0';
	if (find_owner(r, gen, offset, out)) {
		r->seen = true;
		r->lost_since = 0;
		return;
	}
	if (!r->lost_since)
		r->lost_since = now;
	/* The owner is unreachable, and this entry may hold the copy. */
	if (now - r->lost_since > LOCAL_TAKEOVER_MS &&
	    take_over_local_copy(r)) {
		local_feed.rq = r->local;
		local_next(&local_feed.feed, gen, offset, out);
		return;
	}
	out->lost = now - r->lost_since > LOCATE_TIMEOUT_MS;
	out->from = offset;
	out->gen = gen;
	clk_sleep_ms(5 * FETCH_INTERVAL_MS);
}

const struct ent_feed_vtable ent_remote_feed_vtable = { remote_next };
