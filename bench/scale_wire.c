/*
 * Messages, spreading and probing for bench_scale.
 */
#include "scale_wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "member/swim.h"
#include "net/peer.h"

void member(struct view_member *m, unsigned i)
{
	memset(m, 0, sizeof(*m));
	snprintf(m->name, sizeof(m->name), "entry-%u", i);
	snprintf(m->zone, sizeof(m->zone), "zone-%u", i % 8);
	snprintf(m->region, sizeof(m->region), "region-%u", i % 8 / 4);
	snprintf(m->http, sizeof(m->http), "10.0.%u.%u:8101", i / 250, i % 250);
	snprintf(m->peer, sizeof(m->peer), "10.0.%u.%u:8201", i / 250, i % 250);
	m->boot = 1700000000000ULL + i;
	m->id = view_instance_id(m->name, m->boot);
}

/* ---- Messages ---- */

static peer_member wire_member(const struct view_member *m)
{
	const peer_member p = { (char *)m->name,   (char *)m->zone,
				(char *)m->region, (char *)m->http,
				(char *)m->peer,   m->boot };

	return p;
}

static peer_head wire_head(const struct view_member *m)
{
	const peer_head h = { "0123456789abcdef", (char *)m->name, m->boot };

	return h;
}

double ping_bytes(unsigned deltas)
{
	static peer_delta d[16];
	struct view_member m;
	peer_ping_args a;
	peer_ping_reply r;
	unsigned i;

	member(&m, 700);
	memset(&a, 0, sizeof(a));
	memset(&r, 0, sizeof(r));
	a.head = wire_head(&m);
	a.who = r.who = wire_member(&m);
	for (i = 0; i < deltas; i++)
		d[i].who = wire_member(&m);
	a.deltas.deltas_len = r.deltas.deltas_len = deltas;
	a.deltas.deltas_val = r.deltas.deltas_val = d;
	return (double)xdr_sizeof((xdrproc_t)xdr_peer_ping_args, &a) +
	       (double)xdr_sizeof((xdrproc_t)xdr_peer_ping_reply, &r) +
	       2 * FRAME;
}

double claim_bytes(bool record, unsigned body)
{
	struct view_member m;
	peer_record rec;
	peer_claim_args a;
	peer_claim_reply r;

	member(&m, 700);
	memset(&rec, 0, sizeof(rec));
	memset(&a, 0, sizeof(a));
	memset(&r, 0, sizeof(r));
	rec.key = rec.account = rec.service = rec.model = rec.model_version =
		rec.route = "0123456789012345678901234567890123456789012345";
	rec.body.body_val = mem_new(body);
	rec.body.body_len = body;
	a.head = wire_head(&m);
	a.key = rec.key;
	a.record = record ? &rec : NULL;
	return (double)xdr_sizeof((xdrproc_t)xdr_peer_claim_args, &a) +
	       (double)xdr_sizeof((xdrproc_t)xdr_peer_claim_reply, &r) +
	       2 * FRAME;
}

double offer_bytes(unsigned names)
{
	static peer_name n[64];
	struct view_member m;
	peer_offer_args a;
	unsigned i;

	member(&m, 700);
	memset(&a, 0, sizeof(a));
	a.head = wire_head(&m);
	for (i = 0; i < names; i++)
		n[i].name = "doc/kvotebors-nord";
	a.names.names_len = names;
	a.names.names_val = n;
	return (double)xdr_sizeof((xdrproc_t)xdr_peer_offer_args, &a) + 24 +
	       2 * FRAME;
}

double share_bytes(void)
{
	struct view_member m;
	peer_share_args a;

	member(&m, 700);
	memset(&a, 0, sizeof(a));
	a.head = wire_head(&m);
	a.account = "kvotebors-nord/cooperatives";
	return (double)xdr_sizeof((xdrproc_t)xdr_peer_share_args, &a) + 12 +
	       2 * FRAME;
}

/* ---- Spreading of one change ---- */

#define ROUNDS 2
#define PEERS 3
#define MAX_NODES 900

/* Offers as ent_member makes them: each node, once it has the item, offers
 * it in two rounds to three random peers, and then names it on its probes, one
 * a second; one in fifty messages is lost. */
static struct spreading spread_change(unsigned n, uint64_t seed)
{
	static unsigned left[MAX_NODES], at[MAX_NODES];
	struct spreading s = { 0 };
	unsigned have = 1, step, i, k;
	struct rnd rnd;

	rnd_seed(&rnd, seed);
	memset(left, 0, sizeof(left));
	memset(at, 0, sizeof(at));
	left[0] = ROUNDS;
	at[0] = 1;
	for (step = 1; step < 60; step++) {
		for (i = 0; i < n; i++) {
			if (!at[i] || at[i] > step)
				continue;
			/* A step is 0.2 s; a probe tells both sides. */
			if (!left[i] && (step + i) % 5 == 0) {
				const unsigned to = rnd_below(&rnd, n);

				if (!at[to] && rnd_below(&rnd, 50)) {
					s.gives++;
					at[to] = step + 1;
					left[to] = ROUNDS;
					have++;
				}
			}
			if (!left[i])
				continue;
			left[i]--;
			for (k = 0; k < PEERS; k++) {
				const unsigned to = rnd_below(&rnd, n);

				s.offers++;
				if (at[to] || rnd_below(&rnd, 50) == 0)
					continue;
				s.gives++;
				at[to] = step + 1;
				left[to] = ROUNDS;
				have++;
			}
		}
		if (!s.steps_95 && have >= n * 0.95)
			s.steps_95 = step;
		if (!s.steps_all && have == n)
			s.steps_all = step;
	}
	s.missed = n - have;
	s.offers /= n;
	s.gives /= n;
	return s;
}

struct spreading spread_mean(unsigned n)
{
	struct spreading sum = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= 100; seed++) {
		const struct spreading s = spread_change(n, seed);

		sum.offers += s.offers / 100;
		sum.gives += s.gives / 100;
		sum.missed += s.missed;
		if (s.steps_95 > sum.steps_95)
			sum.steps_95 = s.steps_95;
		if (s.steps_all > sum.steps_all)
			sum.steps_all = s.steps_all;
	}
	return sum;
}

/* ---- Probing ---- */

struct net {
	struct swim **s;
	struct view_member *m;
	unsigned n, dead;
	int64_t now;
	double probes, deltas;
};

static unsigned node_of(const char *name)
{
	return (unsigned)strtoul(name + strlen("entry-"), NULL, 10);
}

static void exchange(struct net *t, unsigned a, unsigned b)
{
	struct swim_delta d[9];
	size_t k, i;

	t->probes++;
	if (b == t->dead)
		return;
	k = swim_take_deltas(t->s[a], d, 8);
	if (swim_lookup(t->s[a], t->m[b].id, &d[k]) &&
	    d[k].state == SWIM_SUSPECT)
		k++;
	t->deltas += (double)k;
	for (i = 0; i < k; i++)
		swim_apply(t->s[b], &d[i], t->now);
	k = swim_take_deltas(t->s[b], d, 8);
	t->deltas += (double)k;
	for (i = 0; i < k; i++)
		swim_apply(t->s[a], &d[i], t->now);
	swim_ack(t->s[a], t->m[b].id, t->now);
}

static void step_node(struct net *t, unsigned i)
{
	const struct swim_action a = swim_tick(t->s[i], t->now);
	size_t h;

	if (a.kind == SWIM_DO_PROBE)
		exchange(t, i, node_of(a.target.name));
	for (h = 0; a.kind == SWIM_DO_INDIRECT_PROBE && h < a.nr_helpers; h++) {
		const unsigned helper = node_of(a.helpers[h].name);

		exchange(t, i, helper);
		if (node_of(a.target.name) != t->dead)
			swim_ack(t->s[i], a.target.id, t->now);
	}
}

static void open_net(struct net *t, unsigned n)
{
	const struct swim_config cfg = swim_default_config();
	struct swim_delta d = { .state = SWIM_ALIVE };
	unsigned i, k;

	memset(t, 0, sizeof(*t));
	t->n = n;
	t->dead = ~0u;
	t->s = mem_new(n * sizeof(*t->s));
	t->m = mem_new(n * sizeof(*t->m));
	for (i = 0; i < n; i++)
		member(&t->m[i], i);
	for (i = 0; i < n; i++) {
		t->s[i] = swim_create(&t->m[i], &cfg, i + 1);
		for (k = 0; k < n; k++) {
			d.member = t->m[k];
			if (k != i)
				swim_apply_quietly(t->s[i], &d, 0);
		}
	}
}

static void run_net(struct net *t, int64_t ms)
{
	const int64_t until = t->now + ms;
	unsigned i;

	for (; t->now < until; t->now += 100) {
		for (i = 0; i < t->n; i++) {
			if (i != t->dead)
				step_node(t, i);
		}
	}
}

struct probing probe_net(unsigned n)
{
	struct probing p = { 0 };
	struct net t;
	unsigned i, seen;
	int64_t start;

	open_net(&t, n);
	run_net(&t, 40000); /* news of the start die down */
	t.probes = t.deltas = 0;
	run_net(&t, 20000);
	p.probes = t.probes / n / 20;
	p.deltas = t.deltas / n / 20;
	t.dead = n / 2;
	start = t.now;
	do {
		run_net(&t, 500);
		for (i = seen = 0; i < n; i++)
			seen += i != t.dead &&
				swim_state_of(t.s[i], t.m[t.dead].id) ==
					SWIM_DEAD;
	} while (seen < n - 1 && t.now - start < 120000);
	p.detect_s = (double)(t.now - start) / 1000;
	for (i = 0; i < n; i++)
		p.false_dead += i != t.dead &&
				swim_state_of(t.s[0], t.m[i].id) == SWIM_DEAD;
	for (i = 0; i < n; i++)
		swim_free(t.s[i]);
	free(t.s);
	free(t.m);
	return p;
}
