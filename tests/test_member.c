/*
 * Views against a naive reference implementation; the failure detector on a
 * simulated network of 8 entries.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/rnd.h"
#include "member/swim.h"
#include "member/view.h"
#include "support/unit.h"

static void fill(struct view_member *m, unsigned i, unsigned zones)
{
	memset(m, 0, sizeof(*m));
	snprintf(m->name, sizeof(m->name), "e%03u", i);
	snprintf(m->zone, sizeof(m->zone), "z%u", i % zones);
	snprintf(m->peer, sizeof(m->peer), "127.0.0.1:%u", 1000 + i);
	m->boot = 5 + i;
	m->id = view_instance_id(m->name, m->boot);
}

/* ---- Views ---- */

/*
 * The reference implementation: sorts all members by weight, then takes them in
 * order, first with distinct zones.
 */
struct weighted {
	uint64_t w;
	unsigned i;
};

static int by_weight_descending(const void *a, const void *b)
{
	const struct weighted *x = a, *y = b;

	return x->w > y->w ? -1 : x->w < y->w;
}

static void reference_judges(const struct view *v, unsigned slot, int out[3])
{
	const uint64_t key = hsh_bytes(&slot, sizeof(slot), 1);
	struct weighted w[64] = { { 0, 0 } };
	unsigned n = 0, i, j, pass;

	for (i = 0; i < v->nr; i++)
		w[i] = (struct weighted){ hsh_rendezvous(key, v->members[i].id),
					  i };
	qsort(w, v->nr, sizeof(w[0]), by_weight_descending);
	out[0] = out[1] = out[2] = -1;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < v->nr && n < 3; i++) {
			const char *zone = v->members[w[i].i].zone;
			bool skip = false;

			for (j = 0; j < n; j++)
				skip |= out[j] == (int)w[i].i ||
					(!pass &&
					 !strcmp(v->members[out[j]].zone,
						 zone));
			if (!skip)
				out[n++] = (int)w[i].i;
		}
	}
}

static void view_matches_reference(void)
{
	static const struct {
		unsigned nr, zones;
	} cases[] = { { 1, 1 }, { 2, 2 }, { 6, 4 },
		      { 8, 4 }, { 9, 2 }, { 40, 8 } };
	struct view_member m[64];
	unsigned c, slot, i;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		struct view *v;

		for (i = 0; i < cases[c].nr; i++)
			fill(&m[i], i, cases[c].zones);
		v = view_create(1, m, cases[c].nr);
		for (slot = 0; slot < VIEW_SLOTS; slot += 7) {
			const struct view_slot *s = &v->slots[slot];
			int want[3];
			bool same = true;

			reference_judges(v, slot, want);
			for (i = 0; i < 3 && i < s->nr_judges; i++)
				same &= s->judge[i] == want[i];
			CU_ASSERT(same);
			CU_ASSERT_EQUAL(s->nr_judges,
					cases[c].nr < 3 ? cases[c].nr : 3);
			CU_ASSERT_EQUAL(s->has_reserve, cases[c].nr > 3);
		}
		view_free(v);
	}
}

static void view_order_and_json(void)
{
	struct view_member m[8], back[8];
	BUF_AUTO b = BUF_INIT;
	struct err e = ERR_INIT;
	struct view *v, *w, *x;
	unsigned i;

	for (i = 0; i < 8; i++) {
		fill(&m[i], i, 4);
		back[7 - i] = m[i];
	}
	v = view_create(3, m, 8);
	w = view_create(3, back, 8);
	CU_ASSERT(view_same_members(v, w));
	CU_ASSERT_EQUAL(memcmp(v->slots, w->slots, sizeof(v->slots)), 0);
	view_print(v, &b);
	x = view_parse(b.data, b.len, &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(x);
	CU_ASSERT_EQUAL(memcmp(v->slots, x->slots, sizeof(v->slots)), 0);
	CU_ASSERT_PTR_NOT_NULL(view_find_name(x, "e003"));
	CU_ASSERT_PTR_NULL(view_find_name(x, "e008"));
	CU_ASSERT_PTR_NULL(view_parse("{}", 2, &e));
	CU_ASSERT_PTR_NULL(
		view_parse("{\"number\":1,\"members\":[{}]}", 27, &e));
	view_free(v);
	view_free(w);
	view_free(x);
}

/* Of two incarnations of one name the view keeps the younger. */
static void view_incarnations(void)
{
	struct view_member m[2];
	struct view *v;

	fill(&m[0], 1, 1);
	m[1] = m[0];
	m[1].boot = 99;
	v = view_create(1, m, 2);
	CU_ASSERT_EQUAL(v->nr, 1);
	CU_ASSERT_EQUAL(v->members[0].boot, 99);
	view_free(v);
}

/* ---- Probes ---- */

#define NODES 8

struct net {
	struct swim *s[NODES];
	struct view_member m[NODES];
	bool dead[NODES];
	bool cut[NODES][NODES];
	int64_t now;
	unsigned messages, deltas;
};

static int index_of(const struct net *n, const char *peer)
{
	int i;

	for (i = 0; i < NODES; i++) {
		if (!strcmp(n->m[i].peer, peer))
			return i;
	}
	return -1;
}

/* A probe and its ack, each with the sender's deltas. False if it is lost. */
static bool exchange(struct net *n, int a, int b)
{
	struct swim_delta d[64];
	size_t k, i;

	n->messages++;
	if (b < 0 || n->dead[b] || n->cut[a][b] || n->cut[b][a])
		return false;
	k = swim_take_deltas(n->s[a], d, 6);
	if (swim_lookup(n->s[a], n->m[b].id, &d[k]) &&
	    d[k].state == SWIM_SUSPECT)
		k++;
	n->deltas += (unsigned)k;
	for (i = 0; i < k; i++)
		swim_apply(n->s[b], &d[i], n->now);
	k = swim_knows(n->s[b], n->m[a].id) ? swim_take_deltas(n->s[b], d, 6)
					    : swim_snapshot(n->s[b], d, 64);
	d[k].member = n->m[a];
	d[k].state = SWIM_ALIVE;
	d[k].refutations = 0;
	swim_apply(n->s[b], &d[k], n->now);
	for (i = 0; i < k; i++)
		swim_apply(n->s[a], &d[i], n->now);
	d[0].member = n->m[b];
	d[0].state = SWIM_ALIVE;
	d[0].refutations = 0;
	swim_apply(n->s[a], &d[0], n->now);
	swim_ack(n->s[a], n->m[b].id, n->now);
	return true;
}

static void tick(struct net *n, int i)
{
	const struct swim_action a = swim_tick(n->s[i], n->now);
	size_t h;

	if (a.kind == SWIM_DO_PROBE)
		exchange(n, i, index_of(n, a.target.peer));
	for (h = 0; a.kind == SWIM_DO_INDIRECT_PROBE && h < a.nr_helpers; h++) {
		const int helper = index_of(n, a.helpers[h].peer);
		const int target = index_of(n, a.target.peer);

		if (helper >= 0 && !n->dead[helper] && !n->cut[i][helper] &&
		    exchange(n, helper, target))
			swim_ack(n->s[i], a.target.id, n->now);
	}
}

static void run(struct net *n, int64_t ms)
{
	const int64_t until = n->now + ms;
	int i;

	for (; n->now < until; n->now += 50) {
		for (i = 0; i < NODES; i++) {
			if (!n->dead[i])
				tick(n, i);
		}
	}
}

static void open_net(struct net *n)
{
	const struct swim_config cfg = swim_default_config();
	int i;

	memset(n, 0, sizeof(*n));
	for (i = 0; i < NODES; i++) {
		fill(&n->m[i], (unsigned)i, 4);
		n->s[i] = swim_create(&n->m[i], &cfg, (uint64_t)i + 1);
		if (i)
			swim_seed(n->s[i], n->m[0].peer);
	}
	run(n, 15000);
}

static void close_net(struct net *n)
{
	int i;

	for (i = 0; i < NODES; i++)
		swim_free(n->s[i]);
}

static void all_join_through_one_seed(void)
{
	struct net n;
	int i, j;

	open_net(&n);
	for (i = 0; i < NODES; i++) {
		for (j = 0; j < NODES; j++)
			CU_ASSERT_EQUAL(swim_state_of(n.s[i], n.m[j].id),
					SWIM_ALIVE);
		CU_ASSERT_EQUAL(swim_count(n.s[i]), NODES);
	}
	close_net(&n);
}

/*
 * Guards against requests that are still sent to a lost instance: entry 3
 * crashes, and every other entry must consider it dead within the time-out.
 */
static void crash_is_detected(void)
{
	struct net n;
	int i;

	open_net(&n);
	n.dead[3] = true;
	run(&n, 25000);
	for (i = 0; i < NODES; i++) {
		if (i != 3)
			CU_ASSERT_EQUAL(swim_state_of(n.s[i], n.m[3].id),
					SWIM_DEAD);
	}
	close_net(&n);
}

/*
 * Guards against a healthy entry that is declared dead because only its link to
 * one peer is broken: indirect probes must still reach it.
 */
static void broken_link_is_no_crash(void)
{
	struct net n;
	int i;

	open_net(&n);
	n.cut[2][5] = n.cut[5][2] = true;
	run(&n, 60000);
	for (i = 0; i < NODES; i++) {
		CU_ASSERT(swim_state_of(n.s[i], n.m[5].id) != SWIM_DEAD);
		CU_ASSERT(swim_state_of(n.s[i], n.m[2].id) != SWIM_DEAD);
	}
	close_net(&n);
}

static void suspected_entry_refutes(void)
{
	struct swim_delta d = { .state = SWIM_SUSPECT };
	struct net n;
	int i;

	open_net(&n);
	d.member = n.m[4];
	swim_apply(n.s[0], &d, n.now);
	CU_ASSERT_EQUAL(swim_state_of(n.s[0], n.m[4].id), SWIM_SUSPECT);
	run(&n, 20000);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(swim_state_of(n.s[i], n.m[4].id), SWIM_ALIVE);
	close_net(&n);
}

#define PROCESS_STALL_MS 8000

/* An entry that had not run for a while declared another one dead before it read its refutation. */
static void stall_is_not_silence_of_a_suspect(void)
{
	struct swim_delta d = { .state = SWIM_SUSPECT };
	struct net n;
	int i;

	open_net(&n);
	d.member = n.m[4];
	swim_apply(n.s[0], &d, n.now);
	n.now += PROCESS_STALL_MS;
	for (i = 0; i < 20; i++, n.now += 50) {
		tick(&n, 0);
		CU_ASSERT(swim_state_of(n.s[0], n.m[4].id) != SWIM_DEAD);
	}
	run(&n, 20000);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(swim_state_of(n.s[i], n.m[4].id), SWIM_ALIVE);
	close_net(&n);
}

/* The same, with a probe that was not answered before: others were not asked either. */
static void stall_is_not_silence_of_a_probed_entry(void)
{
	const struct swim_config cfg = swim_default_config();
	struct swim_action a;
	struct net n;
	int64_t began;

	open_net(&n);
	do {
		n.now += 50;
		a = swim_tick(n.s[0], n.now);
	} while (a.kind != SWIM_DO_PROBE);
	n.now += PROCESS_STALL_MS;
	for (began = n.now; n.now < began + cfg.ack_ms; n.now += 50) {
		swim_tick(n.s[0], n.now);
		CU_ASSERT_EQUAL(swim_state_of(n.s[0], a.target.id), SWIM_ALIVE);
	}
	/* Neither it nor those asked to probe it answer. */
	while (n.now < began + PROCESS_STALL_MS) {
		n.now += 50;
		swim_tick(n.s[0], n.now);
	}
	CU_ASSERT(swim_state_of(n.s[0], a.target.id) != SWIM_ALIVE);
	close_net(&n);
}

/* A restart at the same address is a new incarnation; the old one is dead. */
static void restart_marks_old_incarnation_dead(void)
{
	struct swim_delta d = { .state = SWIM_ALIVE };
	struct net n;

	open_net(&n);
	d.member = n.m[6];
	d.member.boot += 1000;
	CU_ASSERT(swim_apply(n.s[0], &d, n.now));
	CU_ASSERT_EQUAL(swim_state_of(n.s[0], n.m[6].id), SWIM_DEAD);
	/* A delta of a still older incarnation changes nothing. */
	d.member.boot = 1;
	swim_apply(n.s[0], &d, n.now);
	d.member = n.m[6];
	d.member.boot += 1000;
	d.member.id = view_instance_id(d.member.name, d.member.boot);
	CU_ASSERT_EQUAL(swim_state_of(n.s[0], d.member.id), SWIM_ALIVE);
	close_net(&n);
}

static void leaving_is_gossiped(void)
{
	struct net n;
	int i;

	open_net(&n);
	swim_leave(n.s[1]);
	run(&n, 6000);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(swim_state_of(n.s[i], n.m[1].id), SWIM_LEAVING);
	close_net(&n);
}

/*
 * A delta without a name, with an invalid state, or of the death of an unknown
 * peer is rejected.
 */
static void invalid_deltas_are_ignored(void)
{
	struct swim_delta d = { .state = SWIM_ALIVE };
	struct net n;

	open_net(&n);
	CU_ASSERT(!swim_apply(n.s[0], &d, n.now));
	d.member = n.m[1];
	d.state = (enum swim_state)77;
	CU_ASSERT(!swim_apply(n.s[0], &d, n.now));
	d.state = SWIM_DEAD;
	strcpy(d.member.name, "stranger");
	CU_ASSERT(!swim_apply(n.s[0], &d, n.now));
	close_net(&n);
}

static const struct unit_test tests[] = {
	{ "view table matches the reference implementation",
	  view_matches_reference },
	{ "view: independent of order, survives JSON", view_order_and_json },
	{ "view: the younger incarnation is kept", view_incarnations },
	{ "all join through one seed", all_join_through_one_seed },
	{ "a crash is detected by all", crash_is_detected },
	{ "one broken link is no crash", broken_link_is_no_crash },
	{ "a suspected entry refutes", suspected_entry_refutes },
	{ "a stall is not silence of a suspect",
	  stall_is_not_silence_of_a_suspect },
	{ "a stall is not silence of a probed entry",
	  stall_is_not_silence_of_a_probed_entry },
	{ "a restart marks the old incarnation dead",
	  restart_marks_old_incarnation_dead },
	{ "leaving is gossiped", leaving_is_gossiped },
	{ "invalid deltas are ignored", invalid_deltas_are_ignored },
};

UNIT_MAIN("member", tests)
