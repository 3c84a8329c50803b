/*
 * Claims: requests votes of a key's judges and votes as a judge. The protocol
 * is in lib/claim; this file does the I/O. Also the choice of holders, grants,
 * and the transfer of votes at a drain.
 */
#include "entry/entry_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"

/*
 * Time-out of calls to a judge; a later reply counts as lost. A judge answers
 * within a round trip, and waiting for a second would already miss the target
 * time to the first token.
 */
#define JUDGE_TIMEOUT_MS 300

/* Random slots tried in the search for one whose judges are all alive. */
#define MAX_GRANT_TRIES 64

#define VOTE_TRANSFER_TIMEOUT_MS 1000

/* ---- Voting as a judge ---- */

struct judge_reply ent_judge_decide(struct entry *en,
				    const struct judge_request *ask)
{
	struct judge_reply r;

	pub_read_lock();
	pthread_mutex_lock(&en->judge_lock);
	r = judge_decide(en->judge, ent_snap_view(ent_snap(en), ask->view), ask,
			 clk_wall_ms(en->clk));
	pthread_mutex_unlock(&en->judge_lock);
	pub_read_unlock();
	met_inc(en->m.judge_reasons[r.reason]);
	return r;
}

/* ---- Requesting votes ---- */

struct judge_target {
	struct view_member member;
	bool alive;	 /* by the membership, and not suspect */
	bool other_zone; /* not in the zone of this entry */
};

/* The vote on one claim. Shared with the callbacks of its calls. */
struct ballot {
	struct entry *en;
	struct ent_req *rq;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int refs;
	struct claim claim;
	struct judge_target judge[VIEW_JUDGES];
	struct judge_target reserve;
	bool has_reserve;
	unsigned nr;
	bool pending[VIEW_JUDGES];  /* a reply is outstanding */
	bool held;		    /* a judge accepted the copy */
	unsigned held_place;	    /* its index */
	char held_by[SET_ADDR_MAX]; /* its peer address */
};

/* A call to a judge, or to the reserve in its place. */
struct vote_request {
	struct ballot *b;
	unsigned place;	  /* index of the judge */
	bool with_record; /* asks the judge to hold the copy, too */
	bool to_reserve;
};

static void ballot_put(struct ballot *b)
{
	int left;

	pthread_mutex_lock(&b->lock);
	left = --b->refs;
	pthread_mutex_unlock(&b->lock);
	if (left)
		return;
	ent_req_put(b->rq);
	pthread_cond_destroy(&b->changed);
	pthread_mutex_destroy(&b->lock);
	free(b);
}

static void fill_target(struct entry *en, const struct ent_snap *s,
			const struct view_member *m, struct judge_target *t)
{
	const struct ent_member *known = ent_snap_member(s, m->id);

	t->member = *m;
	t->alive = known && known->state != SWIM_SUSPECT;
	t->other_zone = strcmp(m->zone, en->self.zone) != 0;
}

/* Fills in the judges of the request's slot; false if its view is unknown. */
static bool find_judges(struct entry *en, const struct ent_req *rq,
			struct ballot *b)
{
	const struct ent_snap *s;
	const struct view *v;
	unsigned i;

	pub_read_lock();
	s = ent_snap(en);
	v = ent_snap_view(s, rq->slot_view);
	if (v) {
		const struct view_slot *slot = &v->slots[rq->slot];

		b->nr = slot->nr_judges;
		for (i = 0; i < b->nr; i++)
			fill_target(en, s, &v->members[slot->judge[i]],
				    &b->judge[i]);
		b->has_reserve = slot->has_reserve;
		if (b->has_reserve)
			fill_target(en, s, &v->members[slot->reserve],
				    &b->reserve);
	}
	pub_read_unlock();
	return v && b->nr;
}

static void send_vote_request(struct ballot *b, unsigned place,
			      bool with_record, bool to_reserve);

/* Records the reply of a judge; NULL: none. Called with the lock held. */
static void record_reply(struct ballot *b, unsigned place,
			 const struct judge_reply *reply)
{
	if (reply)
		claim_answer(&b->claim, place, reply);
	else
		claim_no_answer(&b->claim, place);
	b->pending[place] = false;
	pthread_cond_broadcast(&b->changed);
}

static void on_vote_reply(enum err_code why, const void *result, void *arg)
{
	const peer_claim_reply *r = result;
	struct vote_request *a = arg;
	struct ballot *b = a->b;
	bool try_reserve = false;
	struct judge_reply reply;

	pthread_mutex_lock(&b->lock);
	if (why == ERR_NONE) {
		reply.verdict = r->verdict <= JUDGE_REFUSED
					? (enum judge_verdict)r->verdict
					: JUDGE_REFUSED;
		reply.reason = (enum judge_reason)r->reason;
		reply.voted_for = r->taken_by;
		if (r->held && a->with_record && !b->held) {
			b->held = true;
			b->held_place = a->place;
			str_copy(b->held_by,
				 a->to_reserve ? b->reserve.member.peer
					       : b->judge[a->place].member.peer,
				 sizeof(b->held_by));
		}
	}
	/*
	 * A judge that has left may have transferred its votes to the reserve,
	 * so ask the reserve. A judge that merely did not reply may still vote;
	 * the reserve has then not adopted its votes and refuses, so that no
	 * vote is counted twice.
	 */
	if (!a->to_reserve && b->has_reserve &&
	    (why != ERR_NONE ||
	     (reply.verdict == JUDGE_REFUSED && reply.reason != JUDGE_EXPIRED)))
		try_reserve = true;
	if (!try_reserve)
		record_reply(b, a->place, why == ERR_NONE ? &reply : NULL);
	pthread_mutex_unlock(&b->lock);
	if (try_reserve)
		send_vote_request(b, a->place, a->with_record, true);
	ballot_put(b);
	free(a);
}

static void vote_locally(struct ballot *b, unsigned place,
			 const struct judge_request *ask)
{
	const struct judge_reply r = ent_judge_decide(b->en, ask);

	pthread_mutex_lock(&b->lock);
	record_reply(b, place, &r);
	pthread_mutex_unlock(&b->lock);
}

static void send_vote_request(struct ballot *b, unsigned place,
			      bool with_record, bool to_reserve)
{
	const struct judge_target *t = to_reserve ? &b->reserve
						  : &b->judge[place];
	struct entry *en = b->en;
	struct judge_request local = {
		.view = b->rq->slot_view,
		.slot = b->rq->slot,
		.judge_index = place,
		.claimant = en->self.id,
		.issued_ms = b->rq->birth_ms,
	};
	peer_claim_args *args;
	struct link_call c;
	struct vote_request *a;

	str_copy(local.key, b->rq->key, sizeof(local.key));
	if (t->member.id == en->self.id) {
		vote_locally(b, place, &local);
		return;
	}
	args = mem_new(sizeof(*args));
	ent_fill_head(en, &args->head);
	args->key = mem_dup(b->rq->key);
	args->view = local.view;
	args->slot = local.slot;
	args->place = place;
	args->claimant = local.claimant;
	args->birth_ms = local.issued_ms;
	if (with_record) {
		args->record = mem_new(sizeof(*args->record));
		ent_fill_record(b->rq, args->record);
	}
	a = mem_new(sizeof(*a));
	a->b = b;
	a->place = place;
	a->with_record = with_record;
	a->to_reserve = to_reserve;
	c = ent_prepare_call(t->member.peer, PEER_CLAIM,
			     (xdrproc_t)xdr_peer_claim_args, args,
			     (xdrproc_t)xdr_peer_claim_reply,
			     sizeof(peer_claim_reply), JUDGE_TIMEOUT_MS);
	c.done = on_vote_reply;
	c.arg = a;
	pthread_mutex_lock(&b->lock);
	b->refs++;
	pthread_mutex_unlock(&b->lock);
	if (links_send(en->links, &c))
		return;
	pthread_mutex_lock(&b->lock);
	b->refs--;
	record_reply(b, place, NULL);
	pthread_mutex_unlock(&b->lock);
	free(a);
}

/*
 * Chooses the judge that is to hold the copy: alive, not this entry, and in
 * another availability zone if possible. Returns its index, or -1. `excluded`:
 * bit mask of indexes.
 */
static int choose_holder(struct entry *en, const struct ballot *b,
			 unsigned excluded)
{
	int best = -1;
	unsigned i;

	for (i = 0; i < b->nr; i++) {
		if ((excluded >> i) & 1 || !b->judge[i].alive ||
		    b->judge[i].member.id == en->self.id)
			continue;
		if (best < 0 ||
		    (b->judge[i].other_zone && !b->judge[best].other_zone))
			best = (int)i;
	}
	return best;
}

static bool any_pending(const struct ballot *b)
{
	unsigned i;

	for (i = 0; i < b->nr; i++) {
		if (b->pending[i])
			return true;
	}
	return false;
}

/*
 * Waits until the outcome is final and, if the claim is won and `need_held` is
 * set, until the copy is held. Returns earlier if no reply is outstanding or
 * after a time-out. Called with the lock held.
 */
static void wait_for_outcome(struct ballot *b, bool need_held)
{
	const struct timespec until = clk_deadline(2 * JUDGE_TIMEOUT_MS + 100);

	for (;;) {
		const enum claim_outcome o = claim_outcome(&b->claim);

		if (o != CLAIM_PENDING && o != CLAIM_WON)
			return;
		if (o == CLAIM_WON && (!need_held || b->held))
			return;
		if (!any_pending(b))
			return;
		if (pthread_cond_timedwait(&b->changed, &b->lock, &until))
			return;
	}
}

static struct ballot *ballot_new(struct entry *en, struct ent_req *rq)
{
	struct ballot *b = mem_new(sizeof(*b));
	pthread_condattr_t attr;

	pthread_mutex_init(&b->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&b->changed, &attr);
	pthread_condattr_destroy(&attr);
	b->refs = 1;
	b->en = en;
	b->rq = rq;
	ent_req_get(rq);
	return b;
}

static void count_outcome(struct entry *en, enum claim_outcome o)
{
	met_value *const rows[] = {
		[CLAIM_PENDING] = en->m.claims_unknown,
		[CLAIM_WON] = en->m.claims_won,
		[CLAIM_JOIN] = en->m.claims_join,
		[CLAIM_BURNED] = en->m.claims_burned,
		[CLAIM_EXPIRED] = en->m.claims_unknown,
		[CLAIM_UNKNOWN] = en->m.claims_unknown,
	};

	met_inc(rows[o]);
}

/* Asks one more judge to hold the copy, after the first one did not accept. */
static void try_other_holder(struct entry *en, struct ballot *b, unsigned tried)
{
	const int other = choose_holder(en, b, tried);

	if (other < 0)
		return;
	pthread_mutex_lock(&b->lock);
	b->pending[other] = true;
	pthread_mutex_unlock(&b->lock);
	send_vote_request(b, (unsigned)other, true, false);
	pthread_mutex_lock(&b->lock);
	wait_for_outcome(b, true);
	pthread_mutex_unlock(&b->lock);
}

struct ent_claim_result ent_claim(struct entry *en, struct ent_req *rq)
{
	struct ent_claim_result r = { .outcome = CLAIM_UNKNOWN };
	struct ballot *b = ballot_new(en, rq);
	int holder;
	unsigned i;

	if (!find_judges(en, rq, b)) {
		count_outcome(en, r.outcome);
		ballot_put(b);
		return r;
	}
	claim_start(&b->claim, en->self.id, b->nr);
	holder = choose_holder(en, b, 0);
	for (i = 0; i < b->nr; i++)
		b->pending[i] = true;
	for (i = 0; i < b->nr; i++)
		send_vote_request(b, i, (int)i == holder, false);
	pthread_mutex_lock(&b->lock);
	wait_for_outcome(b, holder >= 0);
	r.outcome = claim_outcome(&b->claim);
	r.winner = claim_winner(&b->claim);
	pthread_mutex_unlock(&b->lock);
	if (r.outcome == CLAIM_PENDING)
		r.outcome = CLAIM_UNKNOWN;
	if (r.outcome == CLAIM_WON && !b->held && holder >= 0)
		try_other_holder(en, b, 1u << holder);
	pthread_mutex_lock(&b->lock);
	if (b->held) {
		str_copy(r.holder, b->held_by, sizeof(r.holder));
		r.holder_place = b->held_place;
	}
	pthread_mutex_unlock(&b->lock);
	count_outcome(en, r.outcome);
	ballot_put(b);
	return r;
}

/* ---- Replacing the holder ---- */

/* Interval of searches for a holder of the same request. */
#define REHOME_RETRY_MS 500

struct rehome_call {
	struct entry *en;
	struct ent_req *rq;
	unsigned place;
	char address[SET_ADDR_MAX];
};

static void on_rehome_reply(enum err_code why, const void *result, void *arg)
{
	const bool_t *held = result;
	struct rehome_call *h = arg;
	const bool ok = why == ERR_NONE && *held;

	pthread_mutex_lock(&h->rq->lock);
	ent_req_log(h->rq, "rehome holder=%s held=%s tokens=%u", h->address,
		    ok ? "yes" : "no", h->rq->flow.tokens);
	if (ok) {
		str_copy(h->rq->holder, h->address, sizeof(h->rq->holder));
		h->rq->holder_place = h->place;
		h->rq->tried_places = 0;
		h->rq->copied_tokens = 0;
		ent_queue_copy(h->rq);
	} else {
		h->rq->tried_places |= 1u << h->place;
	}
	pthread_mutex_unlock(&h->rq->lock);
	if (!ok)
		ent_rehome(h->en, h->rq);
	ent_req_put(h->rq);
	free(h);
}

/*
 * Returns the bit mask of judges that cannot hold the copy now. The request's
 * lock is held.
 */
static unsigned excluded_places(const struct ent_req *rq,
				const struct ballot *b)
{
	unsigned places = rq->tried_places, i;

	if (*rq->holder)
		places |= 1u << rq->holder_place;
	/* The previous owner may have crashed and not be marked dead yet. */
	for (i = 0; i < b->nr; i++) {
		if (b->judge[i].member.id == rq->previous_owner)
			places |= 1u << i;
	}
	return places;
}

/* Chooses the next judge to hold the copy; false if there is none. */
static bool next_holder(struct entry *en, struct ent_req *rq,
			struct rehome_call *h)
{
	struct ballot *b = ballot_new(en, rq);
	int place = -1;

	if (find_judges(en, rq, b)) {
		pthread_mutex_lock(&rq->lock);
		place = choose_holder(en, b, excluded_places(rq, b));
		if (place < 0)
			rq->tried_places = 0;
		rq->next_rehome_ms = ent_now(en) + REHOME_RETRY_MS;
		pthread_mutex_unlock(&rq->lock);
	}
	if (place >= 0) {
		h->place = (unsigned)place;
		str_copy(h->address, b->judge[place].member.peer,
			 sizeof(h->address));
	}
	ballot_put(b);
	return place >= 0;
}

void ent_rehome(struct entry *en, struct ent_req *rq)
{
	struct rehome_call *h = mem_new(sizeof(*h));
	peer_hold_args *args;
	struct link_call c;

	h->en = en;
	h->rq = rq;
	if (!next_holder(en, rq, h)) {
		met_inc(en->m.unprotected);
		free(h);
		return;
	}
	args = mem_new(sizeof(*args));
	ent_fill_head(en, &args->head);
	ent_fill_hold(rq, args);
	ent_req_get(rq);
	c = ent_prepare_call(h->address, PEER_HOLD,
			     (xdrproc_t)xdr_peer_hold_args, args,
			     (xdrproc_t)xdr_bool, sizeof(bool_t),
			     JUDGE_TIMEOUT_MS);
	c.done = on_rehome_reply;
	c.arg = h;
	if (!links_send(en->links, &c)) {
		ent_req_put(rq);
		free(h);
	}
}

/* ---- Finding the owner of a key ---- */

size_t ent_key_addresses(struct entry *en, uint64_t view, unsigned slot,
			 uint64_t winner, char out[5][SET_ADDR_MAX],
			 bool *winner_first)
{
	const struct ent_member *w;
	const struct ent_snap *s;
	const struct view *v;
	size_t n = 0;
	unsigned i;

	pub_read_lock();
	s = ent_snap(en);
	v = ent_snap_view(s, view);
	w = ent_snap_member(s, winner);
	*winner_first = w && winner != en->self.id;
	if (*winner_first)
		str_copy(out[n++], w->info.peer, SET_ADDR_MAX);
	for (i = 0; v && i < v->slots[slot].nr_judges; i++) {
		const struct view_member *m =
			&v->members[v->slots[slot].judge[i]];

		if (m->id != en->self.id && m->id != winner)
			str_copy(out[n++], m->peer, SET_ADDR_MAX);
	}
	if (v && v->slots[slot].has_reserve) {
		const struct view_member *m =
			&v->members[v->slots[slot].reserve];

		if (m->id != en->self.id && m->id != winner)
			str_copy(out[n++], m->peer, SET_ADDR_MAX);
	}
	pub_read_unlock();
	return n;
}

/* ---- Grants ---- */

static unsigned live_judges(const struct ent_snap *s, const struct view *v,
			    const struct view_slot *slot)
{
	unsigned n = 0, i;

	for (i = 0; i < slot->nr_judges; i++) {
		const struct ent_member *m =
			ent_snap_member(s, v->members[slot->judge[i]].id);

		n += m && m->state == SWIM_ALIVE;
	}
	return n;
}

/*
 * During an outage of the key-value service the view cannot change, so some of
 * its judges may stay dead for long. The choice of the slot avoids them for new
 * keys.
 */
bool ent_new_grant(struct entry *en, struct grant *g)
{
	const struct ent_snap *s;
	const struct view *v;
	unsigned best = 0, tries;
	bool found = false;

	pub_read_lock();
	s = ent_snap(en);
	v = ent_snap_current(s);
	for (tries = 0; v && tries < MAX_GRANT_TRIES; tries++) {
		char nonce[9];
		const struct view_slot *slot;
		unsigned live;

		snprintf(nonce, sizeof(nonce), "%08x", (unsigned)rnd_secret());
		slot = &v->slots[view_slot_of(nonce)];
		live = live_judges(s, v, slot);
		if (found && live <= best)
			continue;
		best = live;
		found = true;
		strcpy(g->nonce, nonce);
		if (live == slot->nr_judges)
			break;
	}
	if (found) {
		g->view = v->number;
		g->issued_ms = clk_wall_ms(en->clk);
	}
	pub_read_unlock();
	return found;
}

/* ---- Transferring votes at a drain ---- */

static void fill_votes(peer_adopt_args *a, const struct judge_vote *v, size_t n)
{
	size_t i;

	a->votes.votes_val = mem_new(n * sizeof(peer_vote));
	a->votes.votes_len = (u_int)n;
	for (i = 0; i < n; i++) {
		a->votes.votes_val[i].key = mem_dup(v[i].key);
		a->votes.votes_val[i].claimant = v[i].claimant;
		a->votes.votes_val[i].birth_ms = v[i].issued_ms;
		a->votes.votes_val[i].slot = v[i].slot;
		a->votes.votes_val[i].place = v[i].judge_index;
	}
}

/*
 * Transfers the votes of a view to one of its reserves. False if no reply came;
 * a retry sends the same votes.
 */
static bool transfer_votes_to(struct entry *en, const struct view *v,
			      const struct view_member *reserve)
{
	peer_adopt_args *a = mem_new(sizeof(*a));
	MEM_AUTO struct judge_vote *votes = NULL;
	struct err e = ERR_INIT;
	struct link_call c;
	bool_t ok = FALSE;
	size_t n;

	pthread_mutex_lock(&en->judge_lock);
	votes = judge_export(en->judge, v, reserve->id, &n);
	pthread_mutex_unlock(&en->judge_lock);
	ent_fill_head(en, &a->head);
	a->view = v->number;
	fill_votes(a, votes, n);
	c = ent_prepare_call(reserve->peer, PEER_ADOPT,
			     (xdrproc_t)xdr_peer_adopt_args, a,
			     (xdrproc_t)xdr_bool, sizeof(bool_t),
			     VOTE_TRANSFER_TIMEOUT_MS);
	if (links_call(en->links, &c, &ok, &e))
		return false;
	log_line(LOG_LEVEL_INFO, "claim",
		 "handed-on view=%llu votes=%zu to=%s "
		 "taken=%s",
		 (unsigned long long)v->number, n, reserve->name,
		 ok ? "yes" : "no");
	return true;
}

/* Marks the reserves of the slots that this entry judges. */
static void mark_reserves(const struct view *v, uint64_t self, bool *marked)
{
	unsigned slot, i;

	for (slot = 0; slot < VIEW_SLOTS; slot++) {
		const struct view_slot *s = &v->slots[slot];

		for (i = 0; i < s->nr_judges && s->has_reserve; i++) {
			if (v->members[s->judge[i]].id == self)
				marked[s->reserve] = true;
		}
	}
}

/*
 * Copies the views that have this entry as a member, since no lock may be held
 * during the calls. Returns their number.
 */
static size_t copy_own_views(struct entry *en, struct view *out[ENT_MAX_VIEWS])
{
	const struct ent_snap *s;
	size_t n = 0, i;

	pub_read_lock();
	s = ent_snap(en);
	for (i = 0; i < s->nr_views; i++) {
		const struct view *v = s->views[i];

		if (view_find(v, en->self.id))
			out[n++] = view_create(v->number, v->members, v->nr);
	}
	pub_read_unlock();
	return n;
}

void ent_transfer_votes(struct entry *en)
{
	struct view *views[ENT_MAX_VIEWS];
	size_t n, i, m;
	int tries;

	pthread_mutex_lock(&en->judge_lock);
	judge_stop(en->judge);
	pthread_mutex_unlock(&en->judge_lock);
	n = copy_own_views(en, views);
	for (i = 0; i < n; i++) {
		bool marked[VIEW_MAX_MEMBERS] = { false };

		mark_reserves(views[i], en->self.id, marked);
		for (m = 0; m < views[i]->nr; m++) {
			for (tries = 0; marked[m] && tries < 3; tries++) {
				if (transfer_votes_to(en, views[i],
						      &views[i]->members[m]))
					break;
			}
		}
		view_free(views[i]);
	}
}
