/*
 * The store is restored from an older copy: seeded schedules of its keys as
 * seen by a mirror, and of the holder of the duties.
 *
 * A restore sets the store's revision back, so revisions are issued again; the
 * era is incremented instead. When revisions were compared without the era, an
 * endpoint that was written again was not used, and a duty's call had a lower
 * fencing token than the previous one, or the token of another holder.
 */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "duty/lead.h"
#include "store/mir.h"
#include "store/ver.h"
#include "support/unit.h"

static void eras_order_before_revisions(void)
{
	CU_ASSERT(ver_of(1, 900) < ver_of(2, 3));
	CU_ASSERT(ver_of(2, 3) < ver_of(2, 4));
	CU_ASSERT_EQUAL(ver_revision(ver_of(7, 900)), 900);
	CU_ASSERT_EQUAL(ver_era(ver_of(7, 900)), 7);
	/* A store without eras; no revision. */
	CU_ASSERT_EQUAL(ver_of(0, 900), 900);
	CU_ASSERT_EQUAL(ver_of(5, 0), 0);
}

/* ---- The keys ---- */

#define KEYS 10
#define LOG 2000

struct keys {
	int64_t rev[KEYS]; /* 0: key doesn't exist */
	int64_t revision;
};

struct store {
	struct keys now, copy;
	int64_t era;
	struct {
		int key;
		int64_t rev;
		bool deleted;
	} log[LOG];
	int nr_log;
};

struct view {
	int64_t version[KEYS];
};

static void on_put(void *arg, const char *key, const char *value, size_t len,
		   int64_t version)
{
	(void)value;
	(void)len;
	((struct view *)arg)->version[key[0] - 'a'] = version;
}

static void on_delete(void *arg, const char *key, int64_t version)
{
	(void)version;
	((struct view *)arg)->version[key[0] - 'a'] = 0;
}

static const struct mir_vtable vtable = { on_put, on_delete };

static void write_key(struct store *s, int key, bool deleted)
{
	s->now.revision++;
	s->now.rev[key] = deleted ? 0 : s->now.revision;
	s->log[s->nr_log % LOG].key = key;
	s->log[s->nr_log % LOG].rev = s->now.revision;
	s->log[s->nr_log++ % LOG].deleted = deleted;
}

/*
 * Restores the copy. Operators and endpoints then write again, so the revision
 * soon reaches its former value.
 */
static void restore(struct store *s, struct rnd *rnd)
{
	int writes = (int)rnd_below(rnd, 20);

	s->now = s->copy;
	s->nr_log = 0;
	s->era++;
	while (writes--)
		write_key(s, (int)rnd_below(rnd, KEYS), !rnd_below(rnd, 3));
}

/*
 * Broken variants: one compares revisions without the era; one lists the keys
 * again only when the store refuses the revision, which it may have issued
 * again.
 */
static bool ignores_era, waits_for_refusal;

static int64_t version_of(const struct store *s, int64_t rev)
{
	return ignores_era ? rev : ver_of(s->era, rev);
}

/* Handles an answer of another era as lib/edge does. */
static bool handle_new_era(struct mir *m, const struct store *s, int64_t *era,
			   int64_t now)
{
	if (*era == s->era || ignores_era || waits_for_refusal)
		return false;
	*era = s->era;
	mir_history_lost(m, now);
	return true;
}

static void answer_list(struct mir *m, struct store *s, int64_t now)
{
	char key[2] = "a";
	int k;

	for (k = 0; k < KEYS; k++) {
		key[0] = (char)('a' + k);
		if (s->now.rev[k])
			mir_item(m, key, "", 0, version_of(s, s->now.rev[k]));
	}
	mir_page_end(m, NULL, false, version_of(s, s->now.revision), now);
}

static void answer_watch(struct mir *m, struct store *s, int64_t now)
{
	const int64_t after = ver_revision(m->revision);
	char key[2] = "a";
	bool any = false;
	int i;

	if (after > s->now.revision || after < s->copy.revision) {
		mir_history_lost(m, now);
		return;
	}
	for (i = 0; i < s->nr_log; i++) {
		if (s->log[i].rev <= after)
			continue;
		any = true;
		key[0] = (char)('a' + s->log[i].key);
		mir_event(m, key, s->log[i].deleted ? NULL : "", 0,
			  version_of(s, s->log[i].rev));
	}
	mir_watch_end(m, any, version_of(s, s->now.revision), now);
}

/* A call of the mirror; `state`: the store's state that the answer shows. */
struct call {
	enum mir_call kind; /* MIR_NONE: no call in flight */
	struct store state;
	int64_t due_ms;
	bool lost;
};

static void begin_call(struct call *c, struct mir *m, const struct store *s,
		       int64_t now, struct rnd *rnd)
{
	c->kind = mir_next(m, now);
	if (c->kind == MIR_NONE)
		return;
	c->state = *s;
	c->due_ms = now + (rnd_below(rnd, 4) ? 0 : rnd_below(rnd, 900));
	c->lost = !rnd_below(rnd, 5);
}

static void end_call(struct call *c, struct mir *m, int64_t *era, int64_t now)
{
	struct store *state = &c->state;
	const enum mir_call kind = c->kind;

	c->kind = MIR_NONE;
	if (c->lost || (state->era < *era && !ignores_era)) {
		mir_failed(m, now);
		return;
	}
	/* The first answer names the era. */
	if (kind == MIR_LIST && !m->complete)
		*era = state->era;
	if (handle_new_era(m, state, era, now))
		return;
	if (kind == MIR_LIST)
		answer_list(m, state, now);
	else
		answer_watch(m, state, now);
}

static void client_tick(struct call *c, struct mir *m, const struct store *s,
			int64_t *era, int64_t now, struct rnd *rnd)
{
	if (c->kind == MIR_NONE)
		begin_call(c, m, s, now, rnd);
	if (c->kind != MIR_NONE && now >= c->due_ms)
		end_call(c, m, era, now);
	/* Answers to other calls name the era, too, but not during a call. */
	if (c->kind == MIR_NONE && m->complete && !rnd_below(rnd, 20))
		handle_new_era(m, s, era, now);
}

#define QUIET_MS 15000 /* no writes or restores from then on */

static unsigned keys_schedule(uint64_t seed)
{
	static struct call c;
	struct store s;
	struct view v;
	struct mir m;
	struct rnd rnd;
	int64_t now, era = 0;
	unsigned wrong = 0;
	int k;

	memset(&c, 0, sizeof(c));
	memset(&s, 0, sizeof(s));
	memset(&v, 0, sizeof(v));
	s.era = 1;
	rnd_seed(&rnd, unit_seed(seed));
	mir_init(&m, &vtable, &v);
	for (now = 10; now < 20000; now += 10) {
		if (now < QUIET_MS && !rnd_below(&rnd, 40))
			write_key(&s, (int)rnd_below(&rnd, KEYS),
				  !rnd_below(&rnd, 3));
		if (now < QUIET_MS && !rnd_below(&rnd, 300)) {
			s.copy = s.now;
			s.nr_log = 0;
		}
		if (now < QUIET_MS && !rnd_below(&rnd, 400))
			restore(&s, &rnd);
		client_tick(&c, &m, &s, &era, now, &rnd);
	}
	for (k = 0; k < KEYS; k++)
		wrong += v.version[k] != version_of(&s, s.now.rev[k]);
	mir_free(&m);
	return wrong;
}

static unsigned run_keys(unsigned long seeds)
{
	unsigned wrong = 0;
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++)
		wrong += keys_schedule(seed) > 0;
	return wrong;
}

#define SEEDS 300

static void mirrors_match_the_store(void)
{
	const unsigned long seeds = unit_seeds(SEEDS);
	const unsigned wrong = run_keys(seeds);

	unit_report("keys of a store that is restored", seeds, wrong);
	CU_ASSERT_EQUAL(wrong, 0);
}

static void mirror_without_era_is_caught(void)
{
	ignores_era = true;
	CU_ASSERT(run_keys(SEEDS) > 0);
	ignores_era = false;
}

static void mirror_waiting_for_refusal_is_caught(void)
{
	waits_for_refusal = true;
	CU_ASSERT(run_keys(SEEDS) > 0);
	waits_for_refusal = false;
}

/* ---- Holder of the duties ---- */

#define NODES 4
#define LEASE_MS 3000
#define STEP_MS 10

enum variant {
	CORRECT,
	IGNORES_ERA,
	ACTS_WITHOUT_DELAY,
	TRUSTS_LATE_ANSWERS,
	TRUSTS_FORMER_LEASES
};

struct node {
	struct lead lead;
	int64_t until;	      /* proven end of its lease */
	int64_t lease_end;    /* in the store */
	int64_t era;	      /* last one received */
	int64_t next_read_ms; /* its watch answers next */
	int64_t frozen_until;
	/* A renewal whose answer is in flight; 0: none. */
	int64_t renewal_asked, renewal_due, renewal_era;
	/* A write of the duty key that is in flight; 0: none. */
	int64_t write_due, write_expected, write_lease;
};

struct duty_key {
	int holder; /* -1: none */
	int64_t rev, lease, lease_end;
};

static struct {
	enum variant variant;
	struct node nodes[NODES];
	struct duty_key key, copy;
	int64_t revision, copy_revision, era, unreachable_until, leases;
	struct rnd rnd;
	int64_t now;
	/* Calls that the platform received. */
	int64_t last_fence, last_ms, previous_ms;
	int last, previous; /* holders */
	unsigned violations;
} w;

static int64_t fence_version(int64_t rev)
{
	return w.variant == IGNORES_ERA ? rev : ver_of(w.era, rev);
}

static void act(int n)
{
	const int64_t fence = w.nodes[n].lead.fence;

	w.violations += fence < w.last_fence;
	w.violations += fence == w.last_fence && w.last_ms && n != w.last;
	w.violations += n != w.last && n == w.previous && w.previous_ms &&
			w.now - w.previous_ms < LEASE_MS;
	if (n != w.last) {
		w.previous = w.last;
		w.previous_ms = w.last_ms;
	}
	w.last = n;
	w.last_ms = w.now;
	w.last_fence = fence;
}

/* The node has no lease: it is granted another one. */
static void grant_lease(struct node *x)
{
	x->until = 0;
	x->lease_end = w.now + LEASE_MS;
	lead_on_lease_granted(&x->lead, ++w.leases);
}

/* An answer of the store, or gossip of another entry, names the era. */
static void learn_era(struct node *x)
{
	if (x->era == w.era)
		return;
	x->era = w.era;
	if (w.variant == IGNORES_ERA)
		return;
	if (w.variant != ACTS_WITHOUT_DELAY)
		lead_on_store_restored(&x->lead, LEASE_MS, w.now);
	grant_lease(x);
}

static void read_key(struct node *x, int n)
{
	struct lead_key key = { 0 };

	learn_era(x);
	key.revision = fence_version(w.key.rev);
	if (w.key.holder < 0) {
		lead_on_key_deleted(&x->lead, fence_version(w.revision), w.now);
		return;
	}
	key.owner = w.key.holder == n ? LEAD_OWNER_SELF : LEAD_OWNER_OTHER;
	key.lease = w.variant == TRUSTS_FORMER_LEASES ? x->lead.lease
						      : w.key.lease;
	lead_on_key(&x->lead, &key, w.now);
}

static void write_arrives(struct node *x, int n)
{
	const int64_t key_revision = w.key.holder < 0 ? 0 : w.key.rev;
	/* A lease that was lost with the store's writes does not exist. */
	const bool done = key_revision == x->write_expected &&
			  x->write_lease == x->lead.lease;

	x->write_due = 0;
	if (done) {
		w.key = (struct duty_key){ n, ++w.revision, x->write_lease,
					   w.now + LEASE_MS };
		x->until = w.now + LEASE_MS;
	}
	learn_era(x);
	if (rnd_below(&w.rnd, 4))
		lead_end_acquire(&x->lead, done, fence_version(w.key.rev),
				 w.now);
	else
		lead_end_acquire(&x->lead, false, 0, w.now);
}

/* Renews the node's lease in the store; the answer may be late. */
static void renew(struct node *x, int n)
{
	if (w.now >= x->lease_end) {
		lead_on_lease_lost(&x->lead, w.now);
		grant_lease(x);
		return;
	}
	x->lease_end = w.now + LEASE_MS;
	if (w.key.holder == n && w.key.lease == x->lead.lease)
		w.key.lease_end = x->lease_end;
	x->renewal_asked = w.now;
	x->renewal_due =
		w.now + 4 + (rnd_below(&w.rnd, 4) ? 0 : rnd_below(&w.rnd, 900));
	x->renewal_era = w.era;
}

static void renewal_answered(struct node *x)
{
	const bool late = x->renewal_era < x->era;

	x->renewal_due = 0;
	if (!late || w.variant == IGNORES_ERA)
		x->until = x->renewal_asked + LEASE_MS;
	if (!late)
		learn_era(x);
}

static void node_tick(int n)
{
	struct node *x = &w.nodes[n];
	const bool unreachable = w.now < w.unreachable_until;

	if (x->write_due && w.now >= x->write_due && !unreachable)
		write_arrives(x, n);
	if (w.now < x->frozen_until)
		return;
	if (x->renewal_due && w.now >= x->renewal_due)
		renewal_answered(x);
	if (!unreachable && w.now >= x->next_read_ms) {
		/* The watch is sometimes late. */
		x->next_read_ms =
			w.now + 20 +
			rnd_below(&w.rnd, rnd_below(&w.rnd, 6) ? 700 : 2800);
		read_key(x, n);
	}
	if (!unreachable && !x->renewal_due &&
	    (w.now + n * 200) % 900 < STEP_MS)
		renew(x, n);
	if (!x->write_due &&
	    lead_begin_acquire(&x->lead, n, w.now + LEASE_MS, w.now)) {
		x->write_lease = x->lead.acquiring_lease;
		x->write_expected =
			ver_revision(lead_expected_revision(&x->lead));
		/* It may be applied seconds later, if its condition holds. */
		x->write_due =
			w.now + 4 +
			(rnd_below(&w.rnd, 6) ? 0 : rnd_below(&w.rnd, 3000));
	}
	if (lead_may_act(&x->lead, x->until, w.now) && !rnd_below(&w.rnd, 5))
		act(n);
}

static void restore_store(void)
{
	w.key = w.copy;
	/* Leases in the copy restart; newer ones are lost. */
	if (w.key.holder >= 0)
		w.key.lease_end = w.now + LEASE_MS;
	w.revision = w.copy_revision;
	w.era++;
	w.unreachable_until = w.now + rnd_below(&w.rnd, 1500);
}

static void store_tick(void)
{
	if (w.key.holder >= 0 && w.now >= w.key.lease_end &&
	    w.now >= w.unreachable_until) {
		w.key.holder = -1;
		w.revision++;
	}
	/* Writes of other keys. */
	w.revision += !rnd_below(&w.rnd, 10);
	if (!rnd_below(&w.rnd, 400)) {
		w.copy = w.key;
		w.copy_revision = w.revision;
	}
	if (!rnd_below(&w.rnd, 700))
		restore_store();
}

static unsigned duty_schedule(uint64_t seed, enum variant variant)
{
	int n;

	memset(&w, 0, sizeof(w));
	w.variant = variant;
	w.era = 1;
	w.key.holder = w.copy.holder = w.last = w.previous = -1;
	rnd_seed(&w.rnd, unit_seed(seed));
	for (n = 0; n < NODES; n++) {
		lead_init(&w.nodes[n].lead, LEASE_MS, 1);
		grant_lease(&w.nodes[n]);
		w.nodes[n].era = 1;
	}
	for (w.now = STEP_MS; w.now < 60000; w.now += STEP_MS) {
		store_tick();
		for (n = 0; n < NODES; n++)
			node_tick(n);
		if (!rnd_below(&w.rnd, 600))
			w.nodes[rnd_below(&w.rnd, NODES)].frozen_until =
				w.now + 500 + rnd_below(&w.rnd, 4000);
	}
	return w.violations;
}

static unsigned run_duties(unsigned long seeds, enum variant variant)
{
	unsigned violations = 0;
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++)
		violations += duty_schedule(seed, variant) > 0;
	return violations;
}

static void at_most_one_holder_across_restores(void)
{
	const unsigned long seeds = unit_seeds(SEEDS);
	const unsigned violations = run_duties(seeds, CORRECT);

	unit_report("duties on a store that is restored", seeds, violations);
	CU_ASSERT_EQUAL(violations, 0);
	CU_ASSERT(w.last_ms > 0);
}

static void broken_variants_are_caught(void)
{
	CU_ASSERT(run_duties(SEEDS, IGNORES_ERA) > 0);
	CU_ASSERT(run_duties(SEEDS, ACTS_WITHOUT_DELAY) > 0);
	CU_ASSERT(run_duties(SEEDS, TRUSTS_FORMER_LEASES) > 0);
}

static const struct unit_test tests[] = {
	{ "eras order before revisions", eras_order_before_revisions },
	{ "mirrors match the store", mirrors_match_the_store },
	{ "a mirror without eras is caught", mirror_without_era_is_caught },
	{ "a mirror waiting for a refusal is caught",
	  mirror_waiting_for_refusal_is_caught },
	{ "at most one holder across restores",
	  at_most_one_holder_across_restores },
	{ "broken variants are caught", broken_variants_are_caught },
};

UNIT_MAIN("era", tests)
