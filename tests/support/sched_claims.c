/*
 * Claims among entries: lost, late and doubled messages, pauses, restarts,
 * departures with hand-over, views that change, one key at several entries.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "claim/claim.h"
#include "support/schedules.h"

#define ENTRIES 6
#define MAX_MSGS 512
#define NR_KEYS 4
#define KEY_LIFE 100000
#define UNIVERSES 24
#define VIEWS 3

/* Views cost time to make, so each universe's are made once. */
struct universe {
	struct view *views[VIEWS];
	uint64_t boots[ENTRIES];
};

static struct universe universes[UNIVERSES];

struct node {
	uint64_t id;
	uint64_t boot;
	struct judge *judge;
	int64_t paused_until;
	bool dead;
	bool leaving;
	bool handed[ENTRIES];
};

struct attempt {
	unsigned node;
	uint64_t id; /* incarnation that claims */
	unsigned key;
	struct claim claim;
	bool called, told, asked_reserves;
};

enum msg_kind {
	MSG_ASK,
	MSG_REPLY,
	MSG_ADOPT,
	MSG_TIMEOUT,
	MSG_CALL
};

struct msg {
	enum msg_kind kind;
	int64_t at;
	unsigned to;
	unsigned attempt;
	unsigned place;
	bool at_reserve;
	uint64_t from_id;
	struct judge_reply reply;
	struct judge_vote *votes;
	size_t nr_votes;
	unsigned view;
};

struct world {
	struct check *c;
	struct rnd rnd;
	enum bug bug;
	struct universe *u;
	struct node nodes[ENTRIES];
	struct attempt attempts[NR_KEYS * 3];
	unsigned nr_attempts;
	struct msg msgs[MAX_MSGS];
	size_t nr_msgs;
	int64_t now;
	char keys[NR_KEYS][GRANT_KEY_MAX];
	unsigned slots[NR_KEYS], views[NR_KEYS];
};

static void make_members(struct universe *u, unsigned which, unsigned drop,
			 struct view_member *m, size_t *n)
{
	static const char *const zones[] = { "a", "b", "c" };
	unsigned i;

	*n = 0;
	for (i = 0; i < ENTRIES; i++) {
		struct view_member *v = &m[*n];

		/* Later views miss one entry, or hold it restarted. */
		if (which == 1 && i == drop)
			continue;
		memset(v, 0, sizeof(*v));
		v->name[0] = (char)('a' + i);
		strcpy(v->zone, zones[i % 3]);
		strcpy(v->peer, "127.0.0.1:1");
		v->boot = u->boots[i] + (which == 2 && i == drop);
		(*n)++;
	}
}

static struct universe *universe(uint64_t seed)
{
	struct universe *u = &universes[seed % UNIVERSES];
	struct view_member m[ENTRIES];
	unsigned i;
	size_t n;

	if (u->views[0])
		return u;
	for (i = 0; i < ENTRIES; i++)
		u->boots[i] = 1000 * (seed % UNIVERSES) + 10 * i;
	for (i = 0; i < VIEWS; i++) {
		make_members(u, i, (unsigned)(seed % ENTRIES), m, &n);
		u->views[i] = view_create(i + 1, m, n);
	}
	return u;
}

void schedules_end(void)
{
	size_t i, v;

	for (i = 0; i < UNIVERSES; i++) {
		for (v = 0; v < VIEWS; v++) {
			view_free(universes[i].views[v]);
			universes[i].views[v] = NULL;
		}
	}
}

/* ---- The network ---- */

static struct msg *post(struct world *w, enum msg_kind kind, unsigned to,
			int64_t delay)
{
	struct msg *m;

	if (w->nr_msgs == MAX_MSGS)
		return NULL;
	m = &w->msgs[w->nr_msgs++];
	memset(m, 0, sizeof(*m));
	m->kind = kind;
	m->to = to;
	m->at = w->now + delay;
	return m;
}

/* Mostly quick, at times lost, at times very late. */
static int64_t delay(struct world *w)
{
	const uint32_t r = rnd_below(&w->rnd, 20);

	if (r == 0)
		return -1;
	if (r == 1)
		return 200 + rnd_below(&w->rnd, 2000);
	return 1 + rnd_below(&w->rnd, 20);
}

static int node_of(struct world *w, uint64_t id)
{
	unsigned i;

	for (i = 0; i < ENTRIES; i++) {
		if (w->nodes[i].id == id)
			return (int)i;
	}
	return -1;
}

static const struct view_slot *slot_of(struct world *w, unsigned key)
{
	return &w->u->views[w->views[key]]->slots[w->slots[key]];
}

static void ask(struct world *w, unsigned a, unsigned place, bool reserve)
{
	const struct attempt *at = &w->attempts[a];
	const struct view *v = w->u->views[w->views[at->key]];
	const struct view_slot *s = slot_of(w, at->key);
	const uint64_t id =
		v->members[reserve ? s->reserve : s->judge[place]].id;
	const int to = node_of(w, id);
	unsigned copies = 1 + (rnd_below(&w->rnd, 10) == 0);

	while (copies--) {
		const int64_t d = delay(w);
		struct msg *m;

		if (d < 0 || to < 0)
			continue;
		m = post(w, MSG_ASK, (unsigned)to, d);
		if (!m)
			return;
		m->attempt = a;
		m->place = place;
		m->at_reserve = reserve;
		m->from_id = id;
	}
}

/* ---- Events ---- */

static void start_attempt(struct world *w, unsigned node, unsigned key)
{
	struct attempt *a;
	struct msg *m;
	unsigned i;

	if (w->nodes[node].dead || w->nr_attempts == NR_KEYS * 3)
		return;
	/* The same key twice on one entry joins the first. */
	for (i = 0; i < w->nr_attempts; i++) {
		if (w->attempts[i].key == key &&
		    w->attempts[i].id == w->nodes[node].id)
			return;
	}
	a = &w->attempts[w->nr_attempts];
	memset(a, 0, sizeof(*a));
	a->node = node;
	a->id = w->nodes[node].id;
	a->key = key;
	claim_start(&a->claim, a->id, slot_of(w, key)->nr_judges);
	for (i = 0; i < a->claim.nr_judges; i++)
		ask(w, w->nr_attempts, i, false);
	m = post(w, MSG_TIMEOUT, node, 400);
	if (m)
		m->attempt = w->nr_attempts;
	w->nr_attempts++;
}

static void on_ask(struct world *w, const struct msg *m)
{
	struct node *n = &w->nodes[m->to];
	const struct attempt *a = &w->attempts[m->attempt];
	struct judge_request q = {
		.view = w->views[a->key] + 1,
		.slot = w->slots[a->key],
		.judge_index = m->place,
		.claimant = a->id,
		.issued_ms = 1,
	};
	struct msg *r;
	int64_t d;

	if (n->dead || (n->id != m->from_id && w->bug != BUG_OLD_VIEW_ACCEPTED))
		return;
	if (w->bug == BUG_VOTE_TAKEN_BACK && rnd_below(&w->rnd, 4) == 0) {
		judge_free(n->judge);
		n->judge = judge_create(n->id, KEY_LIFE, 64);
	}
	strcpy(q.key, w->keys[a->key]);
	d = delay(w);
	r = d < 0 ? NULL : post(w, MSG_REPLY, a->node, d);
	if (r) {
		r->attempt = m->attempt;
		r->place = m->place;
		r->at_reserve = m->at_reserve;
	}
	/* The vote is cast whether or not its answer arrives. */
	{
		const struct judge_reply got = judge_decide(
			n->judge, w->u->views[w->views[a->key]], &q, w->now);

		if (r)
			r->reply = got;
	}
}

static void decide(struct world *w, unsigned index)
{
	struct attempt *a = &w->attempts[index];
	enum claim_outcome o = claim_outcome(&a->claim);
	struct msg *m;
	unsigned i;

	if (a->called || a->told)
		return;
	if (w->bug == BUG_PERMIT_NOT_CHECKED) {
		for (i = 0; i < a->claim.nr_judges; i++) {
			if (a->claim.state[i] == CLAIM_VOTED &&
			    a->claim.voted_for[i] == a->id)
				o = CLAIM_WON;
		}
	}
	if (w->bug == BUG_NOT_RUN_TOO_EARLY && o == CLAIM_UNKNOWN)
		o = CLAIM_BURNED;
	if (o == CLAIM_BURNED) {
		a->told = true;
		check_told_not_run(w->c, a->key);
	} else if (o == CLAIM_WON) {
		/* Some that have won refuse for want of room: not run. */
		a->called = true;
		if (rnd_below(&w->rnd, 5) == 0) {
			check_told_not_run(w->c, a->key);
			return;
		}
		/* Paused between the decision and the call, for long. */
		m = post(w, MSG_CALL, a->node,
			 rnd_below(&w->rnd, 4) ? 1 : 3000);
		if (m)
			m->attempt = index;
	}
}

static void on_reply(struct world *w, const struct msg *m)
{
	struct attempt *a = &w->attempts[m->attempt];

	if (w->nodes[a->node].dead || w->nodes[a->node].id != a->id)
		return;
	if (m->reply.verdict == JUDGE_REFUSED && !m->at_reserve) {
		ask(w, m->attempt, m->place, true);
		return;
	}
	claim_answer(&a->claim, m->place, &m->reply);
	decide(w, m->attempt);
}

static void on_timeout(struct world *w, const struct msg *m)
{
	struct attempt *a = &w->attempts[m->attempt];
	struct msg *again;
	unsigned i;

	if (w->nodes[a->node].dead || w->nodes[a->node].id != a->id)
		return;
	/* A silent judge's reserve is asked, then what is silent is lost. */
	for (i = 0; i < a->claim.nr_judges; i++) {
		if (a->claim.state[i] == CLAIM_VOTED)
			continue;
		if (a->asked_reserves)
			claim_no_answer(&a->claim, i);
		else
			ask(w, m->attempt, i, true);
	}
	if (a->asked_reserves) {
		decide(w, m->attempt);
		return;
	}
	a->asked_reserves = true;
	again = post(w, MSG_TIMEOUT, a->node, 400);
	if (again)
		again->attempt = m->attempt;
}

static void on_call(struct world *w, const struct msg *m)
{
	const struct attempt *a = &w->attempts[m->attempt];

	if (!w->nodes[a->node].dead && w->nodes[a->node].id == a->id)
		check_call(w->c, a->key);
}

/* A judge leaves: it stops, then hands on, again if no answer came. */
static void hand_on(struct world *w, unsigned i)
{
	struct node *n = &w->nodes[i];
	unsigned v, r;

	n->leaving = true;
	if (w->bug != BUG_VOTES_AFTER_LEAVING)
		judge_stop(n->judge);
	for (v = 0; v < VIEWS; v++) {
		const struct view *view = w->u->views[v];

		if (!view_find(view, n->id))
			continue;
		for (r = 0; r < view->nr; r++) {
			const int to = node_of(w, view->members[r].id);
			const int64_t d = delay(w);
			struct msg *m;

			if (to < 0 || to == (int)i || d < 0)
				continue;
			m = post(w, MSG_ADOPT, (unsigned)to, d);
			if (!m)
				return;
			m->from_id = n->id;
			m->view = v;
			if (w->bug == BUG_VOTES_AFTER_LEAVING)
				m->votes = mem_new(1);
			else
				m->votes = judge_export(n->judge, view,
							view->members[r].id,
							&m->nr_votes);
		}
	}
}

static void on_adopt(struct world *w, struct msg *m)
{
	struct node *n = &w->nodes[m->to];

	if (!n->dead)
		judge_import(n->judge, w->u->views[m->view], m->from_id,
			     m->votes, m->nr_votes, w->now);
	free(m->votes);
	m->votes = NULL;
}

static void restart(struct world *w, unsigned i)
{
	struct node *n = &w->nodes[i];

	if (w->bug == BUG_OLD_VIEW_ACCEPTED) {
		/* Same identity, empty memory. */
		judge_free(n->judge);
		n->judge = judge_create(n->id, KEY_LIFE, 64);
		return;
	}
	n->boot++;
	n->id = view_instance_id((char[]){ (char)('a' + i), 0 }, n->boot);
	judge_free(n->judge);
	n->judge = judge_create(n->id, KEY_LIFE, 64);
	n->leaving = false;
}

static void disturb(struct world *w)
{
	const unsigned i = rnd_below(&w->rnd, ENTRIES);
	struct node *n = &w->nodes[i];

	switch (rnd_below(&w->rnd, 8)) {
	case 0:
		n->paused_until = w->now + rnd_below(&w->rnd, 2500);
		break;
	case 1:
		restart(w, i);
		break;
	case 2:
		if (!n->leaving)
			hand_on(w, i);
		break;
	case 3:
		n->dead = true;
		break;
	default:
		start_attempt(w, i, rnd_below(&w->rnd, NR_KEYS));
		break;
	}
}

/* ---- Running ---- */

static void deliver(struct world *w, struct msg *m)
{
	switch (m->kind) {
	case MSG_ASK:
		on_ask(w, m);
		break;
	case MSG_REPLY:
		on_reply(w, m);
		break;
	case MSG_TIMEOUT:
		on_timeout(w, m);
		break;
	case MSG_CALL:
		on_call(w, m);
		break;
	case MSG_ADOPT:
		on_adopt(w, m);
		break;
	}
}

/* The earliest message whose receiver is not paused just then. */
static bool step(struct world *w)
{
	size_t best = w->nr_msgs, i;
	struct msg m;

	for (i = 0; i < w->nr_msgs; i++) {
		struct msg *x = &w->msgs[i];
		const int64_t until = w->nodes[x->to].paused_until;

		if (x->at < until)
			x->at = until;
		if (best == w->nr_msgs || x->at < w->msgs[best].at)
			best = i;
	}
	if (best == w->nr_msgs)
		return false;
	m = w->msgs[best];
	w->msgs[best] = w->msgs[--w->nr_msgs];
	if (m.at > w->now)
		w->now = m.at;
	deliver(w, &m);
	return true;
}

static void init_world(struct world *w, struct check *c, uint64_t seed,
		       enum bug bug)
{
	unsigned i;

	memset(w, 0, sizeof(*w));
	w->c = c;
	w->bug = bug;
	w->now = 10;
	w->u = universe(seed);
	rnd_seed(&w->rnd, seed);
	for (i = 0; i < ENTRIES; i++) {
		w->nodes[i].boot = w->u->boots[i];
		w->nodes[i].id = view_instance_id(
			(char[]){ (char)('a' + i), 0 }, w->u->boots[i]);
		w->nodes[i].judge = judge_create(w->nodes[i].id, KEY_LIFE, 64);
	}
	for (i = 0; i < NR_KEYS; i++) {
		snprintf(w->keys[i], GRANT_KEY_MAX, "key-%u", i);
		w->slots[i] = rnd_below(&w->rnd, VIEW_SLOTS);
		w->views[i] = rnd_below(&w->rnd, VIEWS);
	}
}

unsigned schedule_claims(struct check *c, uint64_t seed, enum bug bug)
{
	struct world *w = mem_new(sizeof(*w));
	unsigned i, requests;

	init_world(w, c, seed, bug);
	for (i = 0; i < 24; i++) {
		unsigned steps = rnd_below(&w->rnd, 8);

		disturb(w);
		w->now += rnd_below(&w->rnd, 50);
		while (steps-- && step(w))
			;
	}
	while (step(w))
		;
	for (i = 0; i < ENTRIES; i++)
		judge_free(w->nodes[i].judge);
	requests = w->nr_attempts;
	free(w);
	return requests;
}
