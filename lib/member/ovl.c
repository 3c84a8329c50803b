#include "member/ovl.h"

#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "member/named.h"

/*
 * Entries selected in addition to those needed: a quarter of the need, and at
 * least MIN_SPARE. With them, a role stays filled when a zone is lost, until
 * the registrations of its entries have expired.
 */
#define SPARE_DIVISOR 4
#define MIN_SPARE 8

/*
 * The number of entries for clients is rounded up to a multiple of this, so
 * that the core does not change with each change of load.
 */
#define SERVING_STEP 8

/* Entries that collect usage counts (edge_rank.c), with two spare ones. */
#define COUNT_KEEPERS 5

void ovl_init(struct ovl *o, const struct ovl_self *self)
{
	memset(o, 0, sizeof(*o));
	o->self = *self;
	o->mesh = o->hub = o->selected = o->core = true;
}

void ovl_free(struct ovl *o)
{
	rank_free(&o->ranking);
}

/* ---- Selection ---- */

static size_t with_spare(size_t n)
{
	const size_t spare = n / SPARE_DIVISOR;

	return n + (spare > MIN_SPARE ? spare : MIN_SPARE);
}

/* Ranks all peers and, with `self`, this entry. */
static void rank_all(struct ovl *o, const struct prs *p, bool self,
		     enum rank_purpose purpose)
{
	struct prs_peer *peer;

	rank_init(&o->ranking, purpose);
	if (self)
		rank_add(&o->ranking, o->self.name, o->self.zone, NULL);
	cds_list_for_each_entry(peer, &p->peers, node)
		rank_add(&o->ranking, peer->info.name, peer->info.zone, peer);
}

/* Selects the first `n` rows of the ranking. */
static void select_first(struct ovl *o, size_t n, enum rank_purpose purpose)
{
	const bool hubs = purpose == RANK_WATCH;
	struct prs_peer *peer;
	size_t i;

	for (i = 0; i < n && i < o->ranking.n; i++) {
		peer = o->ranking.rows[i].entry;
		if (!peer) {
			o->selected = true;
			o->hub |= hubs;
			continue;
		}
		peer->selected = true;
		peer->hub |= hubs;
		peer->serves |= purpose == RANK_ADVERTISE;
	}
}

static void select_core(struct ovl *o, struct prs *p)
{
	const size_t hubs = with_spare(ovl_watcher_count(p->count + 1));
	struct prs_peer *peer;

	o->mesh = p->count + 1 <= o->self.max_mesh;
	o->selected = o->hub = o->mesh;
	cds_list_for_each_entry(peer, &p->peers, node) {
		peer->selected = peer->hub = peer->serves = o->mesh;
		peer->silence_ms = o->mesh ? PRS_ALIVE_MS : OVL_ALIVE_MS;
		peer->relay_ms = o->mesh ? 0 : OVL_SEND_INTERVAL_MS;
	}
	if (o->mesh)
		return;
	rank_all(o, p, true, RANK_WATCH);
	rank_select(&o->ranking, hubs);
	select_first(o, hubs, RANK_WATCH);
	rank_all(o, p, true, RANK_ADVERTISE);
	rank_interleave_zones(&o->ranking);
	select_first(o, with_spare(o->nr_serving), RANK_ADVERTISE);
	rank_all(o, p, true, RANK_USAGE);
	rank_select(&o->ranking, COUNT_KEEPERS);
	select_first(o, COUNT_KEEPERS, RANK_USAGE);
	if (!strcmp(o->self.name, o->duty_holder))
		o->selected = true;
	peer = prs_find(p, o->duty_holder);
	if (peer)
		peer->selected = true;
}

static size_t nr_serving(const struct prs *p, const struct ovl_input *in)
{
	const size_t n = named_count(in->requests_per_s, p->count + 1);

	return (n + SERVING_STEP - 1) / SERVING_STEP * SERVING_STEP;
}

/* ---- Lists ---- */

static enum prs_list list_of(const struct ovl *o, const struct prs_peer *peer,
			     int64_t now)
{
	if (o->mesh || peer->selected)
		return PRS_CORE;
	if (!peer->received_ms)
		return PRS_NO_LIST;
	if (peer->role == GSP_LEAF)
		return peer->wants_members && prs_heard(peer, now)
			       ? PRS_LEAVES
			       : PRS_NO_LIST;
	/* It may only be cut off: its demand still counts. */
	return now - peer->received_ms < PRS_EXPIRE_MS ? PRS_CORE : PRS_NO_LIST;
}

bool ovl_sort_in(const struct ovl *o, struct prs *p, struct prs_peer *peer,
		 int64_t now)
{
	const enum prs_list before = peer->list;

	prs_set_list(p, peer, list_of(o, peer, now));
	return peer->list == PRS_LEAVES && before != PRS_LEAVES;
}

static void expire_members(const struct ovl *o, struct prs *p, int64_t now)
{
	struct prs_peer *peer, *next;

	cds_list_for_each_entry_safe(peer, next, &p->core, role_node)
		prs_set_list(p, peer, list_of(o, peer, now));
	cds_list_for_each_entry_safe(peer, next, &p->leaves, role_node)
		prs_set_list(p, peer, list_of(o, peer, now));
}

void ovl_update(struct ovl *o, struct prs *p, const struct ovl_input *in,
		int64_t now)
{
	const size_t serving = nr_serving(p, in);
	const bool was_core = o->core;
	struct prs_peer *peer;

	if (p->changed || serving != o->nr_serving ||
	    strcmp(in->duty_holder, o->duty_holder) != 0) {
		p->changed = false;
		o->nr_serving = serving;
		str_copy(o->duty_holder, in->duty_holder,
			 sizeof(o->duty_holder));
		select_core(o, p);
		cds_list_for_each_entry(peer, &p->peers, node)
			prs_set_list(p, peer, list_of(o, peer, now));
	} else {
		expire_members(o, p, now);
	}
	o->core = o->selected || in->active;
	if (o->core && !was_core)
		o->core_since_ms = now;
}

/* ---- Watching the store ---- */

size_t ovl_watcher_count(size_t n)
{
	const size_t k =
		(n + OVL_ENTRIES_PER_WATCHER - 1) / OVL_ENTRIES_PER_WATCHER;

	return k < 2 ? 2 : k;
}

/*
 * Sorts the entries that can reach the store into o->ranking; returns how many
 * of them watch it. An entry that cannot be a hub ranks itself only if it knows
 * no other one: while most hubs are dead, each leaf would take itself for the
 * next best.
 */
static size_t rank_watchers(struct ovl *o, const struct prs *p, int64_t now)
{
	struct rank *r = &o->ranking;
	struct prs_peer *peer;
	size_t need;

	rank_init(r, RANK_WATCH);
	if (o->hub)
		rank_add(r, o->self.name, o->self.zone, NULL);
	cds_list_for_each_entry(peer, &p->core, role_node) {
		if (prs_alive(peer, now) && peer->store_ok && peer->accepting)
			rank_add(r, peer->info.name, peer->info.zone, peer);
	}
	if (!r->n)
		rank_add(r, o->self.name, o->self.zone, NULL);
	need = ovl_watcher_count(o->mesh ? r->n : p->count + 1);
	if (need > r->n)
		need = r->n;
	rank_select(r, need);
	return need;
}

static int own_rank(const struct rank *r, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!r->rows[i].entry)
			return (int)i;
	}
	return -1;
}

int ovl_watch_rank(struct ovl *o, const struct prs *p, int64_t now)
{
	const size_t n = rank_watchers(o, p, now);

	return own_rank(&o->ranking, n);
}

static bool answers(const struct prs_peer *p, int64_t now)
{
	const int64_t waited = p->unanswered_ms ? now - p->unanswered_ms : 0;

	return waited < OVL_UNANSWERED_MS || waited >= PRS_ASK_AGAIN_MS;
}

/* Moves the rows of peers that answer to the front; returns their number. */
static size_t keep_answering(struct rank *r, size_t n, int64_t now)
{
	size_t i, kept = 0;

	for (i = 0; i < n; i++) {
		if (answers(r->rows[i].entry, now))
			r->rows[kept++] = r->rows[i];
	}
	return kept;
}

/*
 * The watchers that this entry, not one of them, may follow; 0 if it is one or
 * knows of none.
 */
static size_t rank_leaders(struct ovl *o, const struct prs *p, int64_t now)
{
	const size_t n = rank_watchers(o, p, now);

	if (own_rank(&o->ranking, n) >= 0)
		return 0;
	return keep_answering(&o->ranking, n, now);
}

struct prs_peer *ovl_leader(struct ovl *o, const struct prs *p, int64_t now)
{
	const size_t n = rank_leaders(o, p, now);

	return n ? rank_for_key(&o->ranking, n, o->self.key)->entry : NULL;
}

struct prs_peer *ovl_provider(struct ovl *o, const struct prs *p, int64_t now)
{
	size_t n = rank_watchers(o, p, now);

	if (n > OVL_NR_PROVIDERS)
		n = OVL_NR_PROVIDERS;
	if (own_rank(&o->ranking, n) >= 0)
		return NULL;
	n = keep_answering(&o->ranking, n, now);
	return n ? rank_for_key(&o->ranking, n, o->self.key)->entry : NULL;
}

bool ovl_hears_core(const struct prs *p, int64_t now)
{
	const struct prs_peer *peer;
	size_t heard = 0;

	cds_list_for_each_entry(peer, &p->core, role_node)
		heard += prs_heard(peer, now);
	return 2 * heard >= p->nr_core;
}

static size_t rank_seeds(struct ovl *o, const struct prs *p, bool self,
			 size_t n)
{
	rank_all(o, p, self, RANK_SEED);
	if (n > o->ranking.n)
		n = o->ranking.n;
	rank_select(&o->ranking, n);
	return n;
}

bool ovl_is_seed(struct ovl *o, const struct prs *p, size_t n)
{
	n = rank_seeds(o, p, true, n);
	return own_rank(&o->ranking, n) >= 0;
}

struct prs_peer *ovl_seed(struct ovl *o, const struct prs *p, size_t n,
			  uint64_t attempt)
{
	n = rank_seeds(o, p, false, n);
	return n ? rank_for_key(&o->ranking, n, o->self.key + attempt)->entry
		 : NULL;
}

/* ---- Rounds of gossip ---- */

/* Peers that are sent a datagram in each round, however few there are. */
#define MIN_PEERS_PER_ROUND 8

int ovl_send_interval_ms(size_t n)
{
	return n > MIN_PEERS_PER_ROUND ? OVL_SEND_INTERVAL_MS : OVL_ROUND_MS;
}

struct ovl_turn ovl_begin_turn(size_t n, unsigned *next)
{
	struct ovl_turn t = { .n = n, .want = MIN_PEERS_PER_ROUND };

	if (!n)
		return t;
	if (n * OVL_ROUND_MS > t.want * OVL_SEND_INTERVAL_MS)
		t.want = (n * OVL_ROUND_MS + OVL_SEND_INTERVAL_MS - 1) /
			 OVL_SEND_INTERVAL_MS;
	t.first = *next % n;
	*next = (unsigned)((t.first + t.want) % n);
	return t;
}

bool ovl_is_turn(struct ovl_turn *t)
{
	return (t->i++ + t->n - t->first) % t->n < t->want;
}

/* Samples candidates (reservoir sampling), whether they are alive or not. */
static size_t random_hubs(const struct prs *p, struct rnd *rnd,
			  struct prs_peer *out[OVL_NR_HUBS])
{
	struct prs_peer *peer;
	unsigned n = 0, at;

	cds_list_for_each_entry(peer, &p->core, role_node) {
		if (!peer->hub)
			continue;
		at = n < OVL_NR_HUBS ? n : rnd_below(rnd, n + 1);
		if (at < OVL_NR_HUBS)
			out[at] = peer;
		n++;
	}
	return n < OVL_NR_HUBS ? n : OVL_NR_HUBS;
}

size_t ovl_leaf_round(struct ovl *o, const struct prs *p, struct rnd *rnd,
		      struct prs_peer *out[OVL_NR_HUBS], int64_t now)
{
	const struct rank_row *best;
	size_t n, count = 0;

	if (o->leaf_sent_ms && now - o->leaf_sent_ms < OVL_SEND_INTERVAL_MS)
		return 0;
	o->leaf_sent_ms = now;
	n = rank_leaders(o, p, now);
	if (!n)
		return random_hubs(p, rnd, out);
	while (n && count < OVL_NR_HUBS) {
		best = rank_for_key(&o->ranking, n, o->self.key);
		out[count++] = best->entry;
		o->ranking.rows[best - o->ranking.rows] = o->ranking.rows[--n];
	}
	return count;
}

static size_t add_members(const struct prs *p, struct gsp_record *r, bool hubs,
			  int64_t now)
{
	const struct prs_peer *peer;
	size_t cut = 0;

	cds_list_for_each_entry(peer, &p->core, role_node) {
		if (peer->hub != hubs || !prs_heard(peer, now))
			continue;
		if (r->nr_members == GSP_MAX_MEMBERS) {
			cut++;
			continue;
		}
		if (peer->relays)
			gsp_set_member(r->members_relay, r->nr_members);
		if (peer->cut_off)
			gsp_set_member(r->members_cut_off, r->nr_members);
		r->members[r->nr_members++] = (struct gsp_member){
			.entry = peer->id,
			.age_ms = (uint32_t)(now - peer->received_ms),
			.accepting = peer->accepting,
			.store_ok = peer->store_ok,
		};
	}
	return cut;
}

size_t ovl_fill_members(const struct prs *p, struct gsp_record *r, int64_t now)
{
	r->nr_members = 0;
	memset(r->members_relay, 0, sizeof(r->members_relay));
	memset(r->members_cut_off, 0, sizeof(r->members_cut_off));
	return add_members(p, r, true, now) + add_members(p, r, false, now);
}
