/* Configuration: look-ups against a naive scan; versions and freshness. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "config/cfg.h"
#include "config/force.h"
#include "support/unit.h"

static struct cfg *make(int64_t version, size_t routes, struct rnd *rnd)
{
	static const char *const hosts[] = { "a.example", "b.example" };
	struct cfg *c = cfg_create();
	size_t i;

	c->version = version;
	c->routes = calloc(routes + 1, sizeof(*c->routes));
	for (i = 0; i < routes; i++) {
		BUF_AUTO prefix = BUF_INIT;
		unsigned parts = rnd ? rnd_below(rnd, 4) : 1;

		buf_str(&prefix, "/");
		while (parts--)
			buf_fmt(&prefix, "%c/",
				'a' + (rnd ? rnd_below(rnd, 4) : 0));
		c->routes[i].host = mem_dup(hosts[i % 2]);
		c->routes[i].prefix = mem_dup(buf_cstr(&prefix));
		c->routes[i].name = mem_dup("r");
	}
	c->nr_routes = routes;
	c->accounts = calloc(2, sizeof(*c->accounts));
	c->accounts[0].name = mem_dup("one");
	c->accounts[1].name = mem_dup("two");
	c->nr_accounts = 2;
	c->keys = calloc(3, sizeof(*c->keys));
	c->keys[0] = (struct cfg_key){ mem_dup("zz"), 1 };
	c->keys[1] = (struct cfg_key){ mem_dup("aa"), 0 };
	c->keys[2] = (struct cfg_key){ mem_dup("mm"), 1 };
	c->nr_keys = 3;
	cfg_finalize(c);
	return c;
}

static size_t naive_best(const struct cfg *c, const char *host,
			 const char *path)
{
	size_t best = 0, i, n;

	for (i = 0; i < c->nr_routes; i++) {
		n = strlen(c->routes[i].prefix);
		if (!strcmp(c->routes[i].host, host) &&
		    !strncmp(c->routes[i].prefix, path, n) && n > best)
			best = n;
	}
	return best;
}

static void longest_prefix_like_the_naive_scan(void)
{
	struct rnd rnd;
	int round, k;

	rnd_seed(&rnd, 3);
	for (round = 0; round < 60; round++) {
		struct cfg *c = make(1, 1 + rnd_below(&rnd, 60), &rnd);

		for (k = 0; k < 60; k++) {
			BUF_AUTO path = BUF_INIT;
			unsigned parts = rnd_below(&rnd, 6);
			const struct cfg_route *r;

			buf_str(&path, "/");
			while (parts--)
				buf_fmt(&path, "%c%s", 'a' + rnd_below(&rnd, 4),
					rnd_below(&rnd, 4) ? "/" : "");
			if (rnd_below(&rnd, 2))
				buf_str(&path, "?x=/a/b/");
			r = cfg_route(c, "a.example", path.data);
			CU_ASSERT_EQUAL(r ? strlen(r->prefix) : 0,
					naive_best(c, "a.example", path.data));
		}
		CU_ASSERT_PTR_NULL(cfg_route(c, "c.example", "/a/"));
		cfg_put(c);
	}
}

static void keys_name_their_account(void)
{
	struct cfg *c = make(1, 1, NULL);

	CU_ASSERT_STRING_EQUAL(cfg_account(c, "aa")->name, "one");
	CU_ASSERT_STRING_EQUAL(cfg_account(c, "mm")->name, "two");
	CU_ASSERT_PTR_NULL(cfg_account(c, "a"));
	CU_ASSERT_PTR_NULL(cfg_account(c, "aaa"));
	CU_ASSERT_PTR_NULL(cfg_account(c, ""));
	cfg_put(c);
}

/*
 * Symptom: a route that was just removed served again. Sequence: version 7
 * came by the watch, then the late answer of a reading with version 5.
 */
static struct cfg_share *share_of(const char *service)
{
	struct cfg_share *s = calloc(1, sizeof(*s));

	s->service = mem_dup(service);
	s->weight = 1;
	return s;
}

static void service_keeps_the_pace_of_its_most_demanding_route(void)
{
	static const char *const services[] = { "llm", "llm", "llm", "app" };
	static const int gaps[] = { 600, 400, 0, 0 };
	struct cfg *c = make(1, 4, NULL);
	size_t i;

	c->services = calloc(2, sizeof(*c->services));
	c->services[0].name = mem_dup("llm");
	c->services[1].name = mem_dup("app");
	c->nr_services = 2;
	for (i = 0; i < 4; i++) {
		c->routes[i].shares = share_of(services[i]);
		c->routes[i].nr_shares = 1;
		c->routes[i].gap_ms = gaps[i];
	}
	cfg_finalize(c);
	CU_ASSERT_EQUAL(cfg_service(c, "llm")->gap_ms, 400);
	CU_ASSERT_EQUAL(cfg_service(c, "app")->gap_ms, 0);
	cfg_put(c);
}

static void version_never_goes_back(void)
{
	struct force f;

	force_init(&f);
	CU_ASSERT(force_offer(&f, make(5, 1, NULL), 100));
	CU_ASSERT(force_offer(&f, make(7, 1, NULL), 0));
	CU_ASSERT_FALSE(force_offer(&f, make(5, 1, NULL), 300));
	CU_ASSERT_EQUAL(f.cfg->version, 7);
	/* An old version confirms nothing of the new one. */
	CU_ASSERT_EQUAL(f.confirmed_ms, 100);
	CU_ASSERT_FALSE(force_offer(&f, make(7, 1, NULL), 400));
	CU_ASSERT_EQUAL(f.confirmed_ms, 400);
	force_free(&f);
}

/*
 * Symptom: a key that was taken away still worked on an entry that was cut
 * off. Sequence: the entry had read version 5 four seconds ago; a peer says
 * that 5 was the newest a moment ago, another one that 6 is. Cause: taking
 * any word of a peer for freshness, whatever version it speaks of.
 */
static void freshness_is_of_the_version_in_force(void)
{
	struct force f;

	force_init(&f);
	CU_ASSERT_FALSE(force_can_check_key(&f, 100, 5000));
	force_offer(&f, make(5, 1, NULL), 1000);
	force_confirm(&f, 5, 3000);
	CU_ASSERT_EQUAL(force_age(&f, 3500), 500);
	force_confirm(&f, 6, 9000);
	CU_ASSERT_EQUAL(force_age(&f, 9000), 6000);
	CU_ASSERT(force_behind(&f));
	CU_ASSERT(force_can_check_key(&f, 7900, 5000));
	CU_ASSERT_FALSE(force_can_check_key(&f, 8000, 5000));
	force_confirm(&f, 5, 2000);
	CU_ASSERT_EQUAL(f.confirmed_ms, 3000);
	force_free(&f);
}

/* A request keeps the version under which it was admitted. */
static void versions_live_as_long_as_their_requests(void)
{
	struct force f;
	struct cfg *mine;

	force_init(&f);
	force_offer(&f, make(1, 2, NULL), 1);
	mine = cfg_ref(f.cfg);
	force_offer(&f, make(2, 0, NULL), 2);
	CU_ASSERT_EQUAL(mine->version, 1);
	CU_ASSERT_EQUAL(mine->nr_routes, 2);
	cfg_put(mine);
	force_free(&f);
}

/* ---- Keys taken away, on schedules ---- */

#define NODES 4
#define REVOKE 5000

/* Each version has exactly one key: its own number. */
struct entry {
	struct force f;
	int64_t stamp[NODES];	 /* our stamp that the peer echoes */
	int64_t stamp_at[NODES]; /* when the peer got it */
	int64_t frozen_till;
	bool cut; /* from the store */
};

struct sched {
	struct entry e[NODES];
	int64_t acked[64]; /* when each version was accepted */
	int version;
	struct rnd rnd;
	unsigned broken;
};

static void one_step(struct sched *s, int64_t now, bool twin)
{
	const int a = (int)rnd_below(&s->rnd, NODES);
	const int b = (int)rnd_below(&s->rnd, NODES);
	struct entry *x = &s->e[a];
	int64_t delay;

	if (now < x->frozen_till)
		return;
	/* A reading that is answered late, as of a moment on the way. */
	if (!x->cut && !rnd_below(&s->rnd, 20)) {
		delay = rnd_below(&s->rnd, 300);
		force_offer(&x->f, make(s->version, 0, NULL), now - delay);
	}
	if (a == b || now < s->e[b].frozen_till || !s->e[b].f.cfg)
		return;
	/* We tell b our stamp; its word with our stamp comes back. */
	if (rnd_below(&s->rnd, 2)) {
		x->stamp[b] = now;
		x->stamp_at[b] = now;
	} else if (x->stamp[b]) {
		const int64_t age = force_age(&s->e[b].f, now);
		const int64_t at =
			twin ? now : x->stamp[b] + (now - x->stamp_at[b]) - age;

		if (age != INT64_MAX)
			force_confirm(&x->f, s->e[b].f.cfg->version, at);
	}
	/* A request with the key of the version in force arrives. */
	if (x->f.cfg && force_can_check_key(&x->f, now, REVOKE)) {
		const int64_t next = x->f.cfg->version + 1;

		s->broken += next <= s->version &&
			     now - s->acked[next] > REVOKE;
	}
}

static unsigned revocations(uint64_t seed, bool twin)
{
	struct sched s;
	int64_t now;
	int i;

	memset(&s, 0, sizeof(s));
	rnd_seed(&s.rnd, seed);
	s.version = 1;
	for (now = 1000; now < 60000; now += 10) {
		if (!rnd_below(&s.rnd, 400) && s.version < 63)
			s.acked[++s.version] = now;
		i = (int)rnd_below(&s.rnd, NODES);
		if (!rnd_below(&s.rnd, 300))
			s.e[i].cut = !s.e[i].cut;
		if (!rnd_below(&s.rnd, 500))
			s.e[i].frozen_till =
				now + 500 + rnd_below(&s.rnd, 7000);
		for (i = 0; i < 3; i++)
			one_step(&s, now, twin);
	}
	for (i = 0; i < NODES; i++)
		force_free(&s.e[i].f);
	return s.broken;
}

static void revoked_keys_stop_on_every_schedule(void)
{
	unsigned broken = 0;
	uint64_t seed;

	for (seed = 1; seed <= unit_seeds(200); seed++)
		broken += revocations(seed, false) +
			  revocations(unit_seed(seed), false);
	unit_report("keys taken away", 2 * unit_seeds(200), broken);
	CU_ASSERT_EQUAL(broken, 0);
}

/* The twin takes a peer's word as fresh whatever its age. */
static void twin_without_ages_is_caught(void)
{
	unsigned broken = 0;
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++)
		broken += revocations(seed, true) > 0;
	CU_ASSERT(broken > 0);
}

/*
 * Symptom: a key that was taken away worked again. Sequence: the store came
 * back from a copy without the version that took it away, and said of the one
 * before that nothing had changed. Cause: that word taken for freshness, while
 * operators had not yet written again.
 */
static void nothing_is_confirmed_while_the_store_may_lack_it(void)
{
	struct force f;

	force_init(&f);
	force_offer(&f, make(5, 1, NULL), 1000);
	force_reject_confirmations(&f, 4000);
	force_confirm(&f, 5, 3000);
	CU_ASSERT_EQUAL(f.confirmed_ms, 1000);
	CU_ASSERT_FALSE(force_can_check_key(&f, 6000, 5000));
	force_confirm(&f, 5, 4100);
	CU_ASSERT_EQUAL(f.confirmed_ms, 4100);
	force_free(&f);

	/* An entry that starts is given an older one than others named. */
	force_init(&f);
	force_confirm(&f, 7, 500);
	CU_ASSERT(force_offer(&f, make(5, 1, NULL), 1000));
	CU_ASSERT_FALSE(force_can_check_key(&f, 1000, 5000));
	force_free(&f);
}

static const struct unit_test tests[] = {
	{ "nothing is confirmed while the store may lack it",
	  nothing_is_confirmed_while_the_store_may_lack_it },
	{ "revoked keys stop on every schedule",
	  revoked_keys_stop_on_every_schedule },
	{ "the twin without ages is caught", twin_without_ages_is_caught },
	{ "longest prefix like the naive scan",
	  longest_prefix_like_the_naive_scan },
	{ "keys name their account", keys_name_their_account },
	{ "a service keeps the pace of its most demanding route",
	  service_keeps_the_pace_of_its_most_demanding_route },
	{ "the version never goes back", version_never_goes_back },
	{ "freshness is of the version in force",
	  freshness_is_of_the_version_in_force },
	{ "versions live as long as their requests",
	  versions_live_as_long_as_their_requests },
};

UNIT_MAIN("cfg", tests)
