#include "member/swim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "base/rnd.h"

struct peer {
	struct view_member member;
	enum swim_state state;
	uint32_t refutations;
	int64_t since_ms; /* when it entered the state */
	unsigned sends_left;
	struct cds_list_head gossip; /* in swim.gossip while queued */
	bool gossip_queued;
	struct cds_list_head bucket; /* by id */
};

/* Of the hash table by id: short chains up to a few thousand peers. */
#define NR_BUCKETS 1024

enum probe_phase {
	PROBE_IDLE,
	PROBE_DIRECT,
	PROBE_INDIRECT
};

struct swim {
	struct view_member self;
	enum swim_state self_state;
	uint32_t self_refutations;
	unsigned self_sends_left;
	struct swim_config cfg;
	struct rnd rnd;
	struct cds_list_head buckets[NR_BUCKETS];
	bool no_gossip;	     /* changes made now are not gossiped */
	struct peer **peers; /* in random probe order */
	size_t nr;
	size_t cap;
	size_t next; /* index of the next peer to probe */
	enum probe_phase phase;
	uint64_t probing; /* id of the probed peer */
	int64_t probe_at; /* when that probe was started */
	int64_t next_period;
	int64_t ticked_at; /* -1: never */
	/* Lifeguard; 0: healthy. Time-outs are multiplied by 1 + this. */
	unsigned health_penalty;
	struct cds_list_head gossip; /* peers whose state is to be sent */
	char seeds[16][VIEW_ADDR_MAX];
	size_t nr_seeds;
	size_t next_seed;
	uint64_t epoch;
	int64_t last_contact;
};

/* Time-outs are multiplied by at most 1 + this (Lifeguard). */
#define MAX_HEALTH_PENALTY 8

struct swim_config swim_default_config(void)
{
	const struct swim_config c = {
		.period_ms = 1000,
		.ack_ms = 300,
		.helpers = 3,
		.suspect_mult = 1,
		.spread_mult = 3,
		.keep_dead_ms = 120000,
	};

	return c;
}

struct swim *swim_create(const struct view_member *self,
			 const struct swim_config *cfg, uint64_t seed)
{
	struct swim *s = mem_new(sizeof(*s));
	size_t i;

	s->self = *self;
	s->self.id = view_instance_id(self->name, self->boot);
	s->cfg = *cfg;
	s->last_contact = -1;
	s->ticked_at = -1;
	rnd_seed(&s->rnd, seed);
	CDS_INIT_LIST_HEAD(&s->gossip);
	for (i = 0; i < NR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&s->buckets[i]);
	return s;
}

void swim_free(struct swim *s)
{
	size_t i;

	if (!s)
		return;
	for (i = 0; i < s->nr; i++)
		free(s->peers[i]);
	free(s->peers);
	free(s);
}

void swim_seed(struct swim *s, const char *peer_address)
{
	if (s->nr_seeds == sizeof(s->seeds) / sizeof(s->seeds[0]) ||
	    !strcmp(peer_address, s->self.peer))
		return;
	str_copy(s->seeds[s->nr_seeds++], peer_address, VIEW_ADDR_MAX);
}

/* ---- The table of peers ---- */

static struct peer *find(const struct swim *s, uint64_t id)
{
	const struct cds_list_head *head = &s->buckets[id % NR_BUCKETS];
	struct peer *p;

	cds_list_for_each_entry(p, head, bucket) {
		if (p->member.id == id)
			return p;
	}
	return NULL;
}

/* log2(n + 1), rounded up. */
static unsigned log2_up(size_t n)
{
	unsigned k = 0;

	while (n) {
		k++;
		n >>= 1;
	}
	return k;
}

static void queue_gossip(struct swim *s, struct peer *p)
{
	s->epoch++;
	if (s->no_gossip)
		return;
	p->sends_left = s->cfg.spread_mult * log2_up(s->nr + 1);
	if (p->gossip_queued)
		cds_list_del(&p->gossip);
	cds_list_add(&p->gossip, &s->gossip);
	p->gossip_queued = true;
}

static void set_state(struct swim *s, struct peer *p, enum swim_state state,
		      uint32_t refutations, int64_t now_ms)
{
	p->state = state;
	p->refutations = refutations;
	p->since_ms = now_ms;
	queue_gossip(s, p);
}

/* Inserts a peer at a random position, so that entries' probe orders differ. */
static struct peer *add_peer(struct swim *s, const struct view_member *member,
			     int64_t now_ms)
{
	struct peer *p = mem_new(sizeof(*p));
	size_t at;

	if (s->nr == s->cap) {
		s->cap = s->cap ? 2 * s->cap : 16;
		s->peers = realloc(s->peers, s->cap * sizeof(*s->peers));
		if (!s->peers)
			abort();
	}
	p->member = *member;
	p->since_ms = now_ms;
	cds_list_add(&p->bucket, &s->buckets[member->id % NR_BUCKETS]);
	at = rnd_below(&s->rnd, (uint32_t)s->nr + 1);
	s->peers[s->nr] = s->peers[at];
	s->peers[at] = p;
	s->nr++;
	return p;
}

static void drop_peer(struct swim *s, size_t i)
{
	struct peer *p = s->peers[i];

	if (p->gossip_queued)
		cds_list_del(&p->gossip);
	cds_list_del(&p->bucket);
	free(p);
	s->peers[i] = s->peers[--s->nr];
}

/* Marks older incarnations of the same name as dead. */
static void mark_older_dead(struct swim *s, const struct view_member *member,
			    int64_t now_ms)
{
	size_t i;

	for (i = 0; i < s->nr; i++) {
		struct peer *p = s->peers[i];

		if (strcmp(p->member.name, member->name) ||
		    p->member.id == member->id || p->state == SWIM_DEAD ||
		    p->member.boot >= member->boot)
			continue;
		set_state(s, p, SWIM_DEAD, p->refutations, now_ms);
	}
}

/* ---- Deltas ---- */

/*
 * Order of deltas about one incarnation: dead is final unless the incarnation
 * refutes it (a process that was wrongly declared dead refutes that, or
 * restarts as a new incarnation); else the higher refutation number wins; else
 * the worse state wins.
 */
static bool is_newer(const struct peer *p, const struct swim_delta *d)
{
	if (p->state == SWIM_DEAD)
		return d->state != SWIM_DEAD && d->refutations > p->refutations;
	if (d->refutations != p->refutations)
		return d->refutations > p->refutations;
	return d->state > p->state;
}

static bool apply_to_self(struct swim *s, const struct swim_delta *d)
{
	if (d->state != SWIM_SUSPECT && d->state != SWIM_DEAD)
		return false;
	if (d->refutations < s->self_refutations)
		return false;
	s->self_refutations = d->refutations + 1;
	s->self_sends_left = s->cfg.spread_mult * log2_up(s->nr + 1);
	if (s->health_penalty < MAX_HEALTH_PENALTY)
		s->health_penalty++;
	return true;
}

bool swim_apply(struct swim *s, const struct swim_delta *d, int64_t now_ms)
{
	struct view_member member = d->member;
	struct peer *p;

	if (!*member.name || d->state > SWIM_DEAD)
		return false;
	member.id = view_instance_id(member.name, member.boot);
	if (member.id == s->self.id)
		return apply_to_self(s, d);
	p = find(s, member.id);
	if (!p) {
		/* An unknown peer that is dead need not be gossiped. */
		if (d->state == SWIM_DEAD || s->nr >= VIEW_MAX_MEMBERS)
			return false;
		p = add_peer(s, &member, now_ms);
		mark_older_dead(s, &member, now_ms);
		set_state(s, p, d->state, d->refutations, now_ms);
		return true;
	}
	if (!is_newer(p, d))
		return false;
	set_state(s, p, d->state, d->refutations, now_ms);
	return true;
}

bool swim_apply_quietly(struct swim *s, const struct swim_delta *d,
			int64_t now_ms)
{
	bool changed;

	s->no_gossip = true;
	changed = swim_apply(s, d, now_ms);
	s->no_gossip = false;
	return changed;
}

void swim_leave(struct swim *s)
{
	s->self_state = SWIM_LEAVING;
	s->self_refutations++;
	s->self_sends_left = s->cfg.spread_mult * log2_up(s->nr + 1);
	s->epoch++;
}

static struct swim_delta self_delta(const struct swim *s)
{
	const struct swim_delta d = { s->self, s->self_state,
				      s->self_refutations };

	return d;
}

size_t swim_take_deltas(struct swim *s, struct swim_delta *out, size_t max)
{
	struct peer *p, *tmp;
	size_t n = 0;

	if (n < max && s->self_sends_left) {
		out[n++] = self_delta(s);
		s->self_sends_left--;
	}
	cds_list_for_each_entry_safe(p, tmp, &s->gossip, gossip) {
		if (n == max)
			break;
		out[n].member = p->member;
		out[n].state = p->state;
		out[n++].refutations = p->refutations;
		cds_list_del(&p->gossip);
		p->gossip_queued = false;
		if (--p->sends_left) {
			cds_list_add_tail(&p->gossip, &s->gossip);
			p->gossip_queued = true;
		}
		/* Sent deltas go to the tail: one pass is enough. */
		if (p->gossip_queued && s->gossip.next == &p->gossip)
			break;
	}
	return n;
}

size_t swim_snapshot(const struct swim *s, struct swim_delta *out, size_t max)
{
	size_t n = 0, i;

	if (max)
		out[n++] = self_delta(s);
	for (i = 0; i < s->nr && n < max; i++) {
		if (s->peers[i]->state == SWIM_DEAD)
			continue;
		out[n].member = s->peers[i]->member;
		out[n].state = s->peers[i]->state;
		out[n++].refutations = s->peers[i]->refutations;
	}
	return n;
}

/* ---- Probing ---- */

static int64_t suspect_timeout(const struct swim *s)
{
	return (int64_t)s->cfg.suspect_mult * log2_up(s->nr + 1) *
	       s->cfg.period_ms;
}

static void expire(struct swim *s, int64_t now_ms)
{
	const int64_t bound = suspect_timeout(s);
	size_t i = 0;

	while (i < s->nr) {
		struct peer *p = s->peers[i];
		const int64_t age = now_ms - p->since_ms;

		if (p->state == SWIM_SUSPECT && age >= bound) {
			set_state(s, p, SWIM_DEAD, p->refutations, now_ms);
		} else if (p->state == SWIM_DEAD &&
			   age >= s->cfg.keep_dead_ms) {
			drop_peer(s, i);
			continue;
		}
		i++;
	}
}

static void shuffle(struct swim *s)
{
	size_t i;

	for (i = s->nr; i > 1; i--) {
		const size_t j = rnd_below(&s->rnd, (uint32_t)i);
		struct peer *tmp = s->peers[i - 1];

		s->peers[i - 1] = s->peers[j];
		s->peers[j] = tmp;
	}
}

/*
 * Round robin over a shuffled list, which bounds the time until every peer is
 * probed.
 */
static struct peer *next_target(struct swim *s)
{
	size_t tries;

	for (tries = 0; tries < s->nr; tries++) {
		struct peer *p;

		if (s->next >= s->nr) {
			s->next = 0;
			shuffle(s);
		}
		p = s->peers[s->next++];
		if (p->state != SWIM_DEAD)
			return p;
	}
	return NULL;
}

static struct swim_action probe_seed(struct swim *s)
{
	struct swim_action a = { .kind = SWIM_DO_NOTHING };

	if (!s->nr_seeds)
		return a;
	a.kind = SWIM_DO_PROBE;
	str_copy(a.target.peer, s->seeds[s->next_seed++ % s->nr_seeds],
		 VIEW_ADDR_MAX);
	return a;
}

static struct swim_action probe_indirectly(struct swim *s, const struct peer *p)
{
	struct swim_action a = { .kind = SWIM_DO_INDIRECT_PROBE,
				 .target = p->member };
	struct view_member picked[4];
	const size_t n = swim_pick(s, picked,
				   s->cfg.helpers < 4 ? s->cfg.helpers + 1 : 4);
	size_t i;

	for (i = 0; i < n && a.nr_helpers < s->cfg.helpers; i++) {
		if (picked[i].id != p->member.id)
			a.helpers[a.nr_helpers++] = picked[i];
	}
	return a;
}

static void probe_failed(struct swim *s, int64_t now_ms)
{
	struct peer *p = find(s, s->probing);

	s->phase = PROBE_IDLE;
	/* This entry itself may be slow: be slower to suspect others. */
	if (s->health_penalty < MAX_HEALTH_PENALTY)
		s->health_penalty++;
	if (p && (p->state == SWIM_ALIVE || p->state == SWIM_LEAVING))
		set_state(s, p, SWIM_SUSPECT, p->refutations, now_ms);
}

/*
 * Time in which this process did not run is no silence of others: their messages may
 * not have been read yet.
 */
static void allow_for_stall(struct swim *s, int64_t now_ms)
{
	const int64_t stall = s->ticked_at < 0 ? 0 : now_ms - s->ticked_at;
	size_t i;

	s->ticked_at = now_ms;
	if (stall <= s->cfg.period_ms)
		return;
	s->probe_at += stall;
	for (i = 0; i < s->nr; i++) {
		struct peer *p = s->peers[i];

		if (p->state != SWIM_SUSPECT)
			continue;
		p->since_ms += stall;
		if (p->since_ms > now_ms)
			p->since_ms = now_ms;
	}
}

struct swim_action swim_tick(struct swim *s, int64_t now_ms)
{
	const struct swim_action none = { .kind = SWIM_DO_NOTHING };
	const int64_t time_factor = 1 + s->health_penalty;
	struct swim_action a = none;
	struct peer *p;

	allow_for_stall(s, now_ms);
	if (s->phase == PROBE_DIRECT &&
	    now_ms - s->probe_at >= s->cfg.ack_ms * time_factor) {
		p = find(s, s->probing);
		s->phase = PROBE_INDIRECT;
		if (p)
			return probe_indirectly(s, p);
	}
	if (s->phase == PROBE_INDIRECT &&
	    now_ms - s->probe_at >= 3 * s->cfg.ack_ms * time_factor)
		probe_failed(s, now_ms);
	if (now_ms < s->next_period || s->phase != PROBE_IDLE)
		return none;
	s->next_period = now_ms + s->cfg.period_ms;
	expire(s, now_ms);
	p = next_target(s);
	if (!p)
		return probe_seed(s);
	a.kind = SWIM_DO_PROBE;
	a.target = p->member;
	s->phase = PROBE_DIRECT;
	s->probing = p->member.id;
	s->probe_at = now_ms;
	return a;
}

void swim_ack(struct swim *s, uint64_t id, int64_t now_ms)
{
	struct peer *p = find(s, id);

	s->last_contact = now_ms;
	/*
	 * Only the suspected entry may refute the suspicion for others. Here
	 * the ack clears it locally and is not gossiped.
	 */
	if (p && p->state == SWIM_SUSPECT) {
		p->state = SWIM_ALIVE;
		p->since_ms = now_ms;
		s->epoch++;
	}
	if (s->phase == PROBE_IDLE || s->probing != id)
		return;
	s->phase = PROBE_IDLE;
	if (s->health_penalty)
		s->health_penalty--;
}

/* ---- Look-ups ---- */

enum swim_state swim_state_of(const struct swim *s, uint64_t id)
{
	const struct peer *p;

	if (id == s->self.id)
		return s->self_state;
	p = find(s, id);
	return p ? p->state : SWIM_DEAD;
}

bool swim_lookup(const struct swim *s, uint64_t id, struct swim_delta *out)
{
	const struct peer *p = find(s, id);

	if (!p)
		return false;
	out->member = p->member;
	out->state = p->state;
	out->refutations = p->refutations;
	return true;
}

bool swim_knows(const struct swim *s, uint64_t id)
{
	return id == s->self.id || find(s, id);
}

size_t swim_count(const struct swim *s)
{
	size_t n = 1, i;

	for (i = 0; i < s->nr; i++)
		n += s->peers[i]->state != SWIM_DEAD;
	return n;
}

size_t swim_pick(struct swim *s, struct view_member *out, size_t max)
{
	const size_t start = s->nr ? rnd_below(&s->rnd, (uint32_t)s->nr) : 0;
	size_t n = 0, i;

	for (i = 0; i < s->nr && n < max; i++) {
		const struct peer *p = s->peers[(start + i) % s->nr];

		if (p->state == SWIM_ALIVE)
			out[n++] = p->member;
	}
	return n;
}

uint64_t swim_epoch(const struct swim *s)
{
	return s->epoch;
}

int64_t swim_last_contact(const struct swim *s)
{
	return s->last_contact;
}
