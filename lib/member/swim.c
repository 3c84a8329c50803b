#include "member/swim.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "base/rnd.h"

struct peer {
	struct view_member who;
	enum swim_state state;
	uint32_t refute;
	int64_t since_ms; /* of the state */
	unsigned sends_left;
	struct cds_list_head news; /* in swim.news while sends_left > 0 */
	bool in_news;
	struct cds_list_head bucket; /* by id */
};

/* Look-ups cost the same up to a few thousand peers. */
#define NR_BUCKETS 1024

enum probe_phase {
	PROBE_IDLE,
	PROBE_DIRECT,
	PROBE_HELPED
};

struct swim {
	struct view_member self;
	enum swim_state self_state;
	uint32_t self_refute;
	unsigned self_sends;
	struct swim_config cfg;
	struct rnd rnd;
	struct cds_list_head buckets[NR_BUCKETS];
	bool quiet;	     /* what is learned now is not passed on */
	struct peer **peers; /* in random probe order */
	size_t nr;
	size_t cap;
	size_t next;
	enum probe_phase phase;
	uint64_t probing;
	int64_t probe_at;
	int64_t next_period;
	unsigned health; /* 0 is good; stretches our time-outs */
	struct cds_list_head news;
	char seeds[16][VIEW_ADDR_MAX];
	size_t nr_seeds;
	size_t next_seed;
	uint64_t epoch;
	int64_t last_contact;
};

/* A bad spell stretches time-outs at most this much (Lifeguard). */
#define MAX_HEALTH 8

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
	rnd_seed(&s->rnd, seed);
	CDS_INIT_LIST_HEAD(&s->news);
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
		if (p->who.id == id)
			return p;
	}
	return NULL;
}

static unsigned log2_up(size_t n)
{
	unsigned k = 0;

	while (n) {
		k++;
		n >>= 1;
	}
	return k;
}

static void announce(struct swim *s, struct peer *p)
{
	s->epoch++;
	if (s->quiet)
		return;
	p->sends_left = s->cfg.spread_mult * log2_up(s->nr + 1);
	if (p->in_news)
		cds_list_del(&p->news);
	cds_list_add(&p->news, &s->news);
	p->in_news = true;
}

static void set_state(struct swim *s, struct peer *p, enum swim_state state,
		      uint32_t refute, int64_t now_ms)
{
	p->state = state;
	p->refute = refute;
	p->since_ms = now_ms;
	announce(s, p);
}

/* A new peer goes to a random place, so that probe orders differ. */
static struct peer *add_peer(struct swim *s, const struct view_member *who,
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
	p->who = *who;
	p->since_ms = now_ms;
	cds_list_add(&p->bucket, &s->buckets[who->id % NR_BUCKETS]);
	at = rnd_below(&s->rnd, (uint32_t)s->nr + 1);
	s->peers[s->nr] = s->peers[at];
	s->peers[at] = p;
	s->nr++;
	return p;
}

static void drop_peer(struct swim *s, size_t i)
{
	struct peer *p = s->peers[i];

	if (p->in_news)
		cds_list_del(&p->news);
	cds_list_del(&p->bucket);
	free(p);
	s->peers[i] = s->peers[--s->nr];
}

/* An older incarnation at the same name ends with the younger one's news. */
static void bury_older(struct swim *s, const struct view_member *who,
		       int64_t now_ms)
{
	size_t i;

	for (i = 0; i < s->nr; i++) {
		struct peer *p = s->peers[i];

		if (strcmp(p->who.name, who->name) || p->who.id == who->id ||
		    p->state == SWIM_DEAD || p->who.boot >= who->boot)
			continue;
		set_state(s, p, SWIM_DEAD, p->refute, now_ms);
	}
}

/* ---- News ---- */

/*
 * Order of news about one incarnation: dead is final (a process that was
 * buried wrongly comes back as a new incarnation or refutes before); else a
 * higher refutation wins; else the worse state wins.
 */
static bool is_newer(const struct peer *p, const struct swim_delta *d)
{
	if (p->state == SWIM_DEAD)
		return d->state != SWIM_DEAD && d->refutations > p->refute;
	if (d->refutations != p->refute)
		return d->refutations > p->refute;
	return d->state > p->state;
}

static bool apply_to_self(struct swim *s, const struct swim_delta *d)
{
	if (d->state != SWIM_SUSPECT && d->state != SWIM_DEAD)
		return false;
	if (d->refutations < s->self_refute)
		return false;
	s->self_refute = d->refutations + 1;
	s->self_sends = s->cfg.spread_mult * log2_up(s->nr + 1);
	if (s->health < MAX_HEALTH)
		s->health++;
	return true;
}

bool swim_apply(struct swim *s, const struct swim_delta *d, int64_t now_ms)
{
	struct view_member who = d->member;
	struct peer *p;

	if (!*who.name || d->state > SWIM_DEAD)
		return false;
	who.id = view_instance_id(who.name, who.boot);
	if (who.id == s->self.id)
		return apply_to_self(s, d);
	p = find(s, who.id);
	if (!p) {
		/* News of a death of one never known need not travel. */
		if (d->state == SWIM_DEAD || s->nr >= VIEW_MAX_MEMBERS)
			return false;
		p = add_peer(s, &who, now_ms);
		bury_older(s, &who, now_ms);
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

	s->quiet = true;
	changed = swim_apply(s, d, now_ms);
	s->quiet = false;
	return changed;
}

void swim_leave(struct swim *s)
{
	s->self_state = SWIM_LEAVING;
	s->self_refute++;
	s->self_sends = s->cfg.spread_mult * log2_up(s->nr + 1);
	s->epoch++;
}

static struct swim_delta self_delta(const struct swim *s)
{
	const struct swim_delta d = { s->self, s->self_state, s->self_refute };

	return d;
}

size_t swim_take_deltas(struct swim *s, struct swim_delta *out, size_t max)
{
	struct peer *p, *tmp;
	size_t n = 0;

	if (n < max && s->self_sends) {
		out[n++] = self_delta(s);
		s->self_sends--;
	}
	cds_list_for_each_entry_safe(p, tmp, &s->news, news) {
		if (n == max)
			break;
		out[n].member = p->who;
		out[n].state = p->state;
		out[n++].refutations = p->refute;
		cds_list_del(&p->news);
		p->in_news = false;
		if (--p->sends_left) {
			cds_list_add_tail(&p->news, &s->news);
			p->in_news = true;
		}
		/* Once round is enough: the list turns as it is sent. */
		if (p->in_news && s->news.next == &p->news)
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
		out[n].member = s->peers[i]->who;
		out[n].state = s->peers[i]->state;
		out[n++].refutations = s->peers[i]->refute;
	}
	return n;
}

/* ---- Probing ---- */

static int64_t suspect_bound(const struct swim *s)
{
	return (int64_t)s->cfg.suspect_mult * log2_up(s->nr + 1) *
	       s->cfg.period_ms;
}

static void expire(struct swim *s, int64_t now_ms)
{
	const int64_t bound = suspect_bound(s);
	size_t i = 0;

	while (i < s->nr) {
		struct peer *p = s->peers[i];
		const int64_t age = now_ms - p->since_ms;

		if (p->state == SWIM_SUSPECT && age >= bound) {
			set_state(s, p, SWIM_DEAD, p->refute, now_ms);
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

/* Round robin over a shuffled list bounds the time until each is probed. */
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

static struct swim_action ask_helpers(struct swim *s, const struct peer *p)
{
	struct swim_action a = { .kind = SWIM_DO_INDIRECT_PROBE,
				 .target = p->who };
	struct view_member picked[4];
	const size_t n = swim_pick(s, picked,
				   s->cfg.helpers < 4 ? s->cfg.helpers + 1 : 4);
	size_t i;

	for (i = 0; i < n && a.nr_helpers < s->cfg.helpers; i++) {
		if (picked[i].id != p->who.id)
			a.helpers[a.nr_helpers++] = picked[i];
	}
	return a;
}

static void probe_failed(struct swim *s, int64_t now_ms)
{
	struct peer *p = find(s, s->probing);

	s->phase = PROBE_IDLE;
	/* A missed answer may be our own slowness: be slower to accuse. */
	if (s->health < MAX_HEALTH)
		s->health++;
	if (p && (p->state == SWIM_ALIVE || p->state == SWIM_LEAVING))
		set_state(s, p, SWIM_SUSPECT, p->refute, now_ms);
}

struct swim_action swim_tick(struct swim *s, int64_t now_ms)
{
	const struct swim_action none = { .kind = SWIM_DO_NOTHING };
	const int64_t stretch = 1 + s->health;
	struct swim_action a = none;
	struct peer *p;

	if (s->phase == PROBE_DIRECT &&
	    now_ms - s->probe_at >= s->cfg.ack_ms * stretch) {
		p = find(s, s->probing);
		s->phase = PROBE_HELPED;
		if (p)
			return ask_helpers(s, p);
	}
	if (s->phase == PROBE_HELPED &&
	    now_ms - s->probe_at >= 3 * s->cfg.ack_ms * stretch)
		probe_failed(s, now_ms);
	if (now_ms < s->next_period || s->phase != PROBE_IDLE)
		return none;
	s->next_period = now_ms + s->cfg.period_ms;
	expire(s, now_ms);
	p = next_target(s);
	if (!p)
		return probe_seed(s);
	a.kind = SWIM_DO_PROBE;
	a.target = p->who;
	s->phase = PROBE_DIRECT;
	s->probing = p->who.id;
	s->probe_at = now_ms;
	return a;
}

void swim_ack(struct swim *s, uint64_t id, int64_t now_ms)
{
	struct peer *p = find(s, id);

	s->last_contact = now_ms;
	/*
	 * Only the suspected entry may clear its name for others; here the
	 * answer just restarts our own clock on it.
	 */
	if (p && p->state == SWIM_SUSPECT) {
		p->state = SWIM_ALIVE;
		p->since_ms = now_ms;
		s->epoch++;
	}
	if (s->phase == PROBE_IDLE || s->probing != id)
		return;
	s->phase = PROBE_IDLE;
	if (s->health)
		s->health--;
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
	out->member = p->who;
	out->state = p->state;
	out->refutations = p->refute;
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
			out[n++] = p->who;
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
