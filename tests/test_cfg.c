/*
 * Tests of cfg (look-ups compared with a linear scan) and force (version in
 * force, time of its confirmation).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "config/cfg.h"
#include "config/force.h"
#include "support/unit.h"

static struct cfg *make_config(int64_t version, size_t routes, struct rnd *rnd)
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

static size_t scan_longest_prefix(const struct cfg *c, const char *host,
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

static void longest_prefix_matches_linear_scan(void)
{
	struct rnd rnd;
	int round, k;

	rnd_seed(&rnd, 3);
	for (round = 0; round < 60; round++) {
		struct cfg *c = make_config(1, 1 + rnd_below(&rnd, 60), &rnd);

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
					scan_longest_prefix(c, "a.example",
							    path.data));
		}
		CU_ASSERT_PTR_NULL(cfg_route(c, "c.example", "/a/"));
		cfg_put(c);
	}
}

static void account_is_found_by_key(void)
{
	struct cfg *c = make_config(1, 1, NULL);

	CU_ASSERT_STRING_EQUAL(cfg_account(c, "aa")->name, "one");
	CU_ASSERT_STRING_EQUAL(cfg_account(c, "mm")->name, "two");
	CU_ASSERT_PTR_NULL(cfg_account(c, "a"));
	CU_ASSERT_PTR_NULL(cfg_account(c, "aaa"));
	CU_ASSERT_PTR_NULL(cfg_account(c, ""));
	cfg_put(c);
}

static struct cfg_share *share_of(const char *service)
{
	struct cfg_share *s = calloc(1, sizeof(*s));

	s->service = mem_dup(service);
	s->weight = 1;
	return s;
}

static void service_gets_shortest_gap_of_its_routes(void)
{
	static const char *const services[] = { "llm", "llm", "llm", "app" };
	static const int gaps[] = { 600, 400, 0, 0 };
	struct cfg *c = make_config(1, 4, NULL);
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

/*
 * A removed route must not be served again when version 7 arrives by the watch
 * and a delayed read then returns version 5.
 */
static void version_never_decreases(void)
{
	struct force f;

	force_init(&f);
	CU_ASSERT(force_offer(&f, make_config(5, 1, NULL), 100));
	CU_ASSERT(force_offer(&f, make_config(7, 1, NULL), 0));
	CU_ASSERT_FALSE(force_offer(&f, make_config(5, 1, NULL), 300));
	CU_ASSERT_EQUAL(f.cfg->version, 7);
	/* An older version does not confirm the newer one. */
	CU_ASSERT_EQUAL(f.confirmed_ms, 100);
	CU_ASSERT_FALSE(force_offer(&f, make_config(7, 1, NULL), 400));
	CU_ASSERT_EQUAL(f.confirmed_ms, 400);
	force_free(&f);
}

/*
 * A revoked key must not stay valid on an entry without contact to the store:
 * only a confirmation of the version in force counts. The entry has version 5;
 * one peer confirms 5, another one confirms 6. The failure was that a peer's
 * confirmation counted whatever its version.
 */
static void only_version_in_force_is_confirmed(void)
{
	struct force f;

	force_init(&f);
	CU_ASSERT_FALSE(force_can_check_key(&f, 100, 5000));
	force_offer(&f, make_config(5, 1, NULL), 1000);
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

/* The version under which a request was admitted lives until it ends. */
static void requests_keep_their_version(void)
{
	struct force f;
	struct cfg *mine;

	force_init(&f);
	force_offer(&f, make_config(1, 2, NULL), 1);
	mine = cfg_ref(f.cfg);
	force_offer(&f, make_config(2, 0, NULL), 2);
	CU_ASSERT_EQUAL(mine->version, 1);
	CU_ASSERT_EQUAL(mine->nr_routes, 2);
	cfg_put(mine);
	force_free(&f);
}

/* ---- Revoked keys, in random schedules ---- */

#define NR_ENTRIES 4
#define REVOKE_MS 5000

/* A simulated entry. Each version has exactly one API key: its own number. */
struct entry {
	struct force f;
	int64_t stamp[NR_ENTRIES];    /* our timestamp that the peer echoes */
	int64_t stamp_at[NR_ENTRIES]; /* time at which the peer received it */
	int64_t suspended_until;
	bool cut; /* no connection to the store */
};

struct sched {
	struct entry e[NR_ENTRIES];
	int64_t acked[64]; /* time at which each version was accepted */
	int version;	   /* newest version in the store */
	struct rnd rnd;
	unsigned violations;
};

static void step(struct sched *s, int64_t now, bool ignore_age)
{
	const int a = (int)rnd_below(&s->rnd, NR_ENTRIES);
	const int b = (int)rnd_below(&s->rnd, NR_ENTRIES);
	struct entry *x = &s->e[a];
	int64_t delay;

	if (now < x->suspended_until)
		return;
	/* A delayed read, which shows the state of an earlier time. */
	if (!x->cut && !rnd_below(&s->rnd, 20)) {
		delay = rnd_below(&s->rnd, 300);
		force_offer(&x->f, make_config(s->version, 0, NULL),
			    now - delay);
	}
	if (a == b || now < s->e[b].suspended_until || !s->e[b].f.cfg)
		return;
	/* Send b our timestamp, or receive its confirmation with the echo. */
	if (rnd_below(&s->rnd, 2)) {
		x->stamp[b] = now;
		x->stamp_at[b] = now;
	} else if (x->stamp[b]) {
		const int64_t age = force_age(&s->e[b].f, now);
		const int64_t at =
			ignore_age ? now
				   : x->stamp[b] + (now - x->stamp_at[b]) - age;

		if (age != INT64_MAX)
			force_confirm(&x->f, s->e[b].f.cfg->version, at);
	}
	/* A request arrives with the key of the version in force. */
	if (x->f.cfg && force_can_check_key(&x->f, now, REVOKE_MS)) {
		const int64_t next = x->f.cfg->version + 1;

		s->violations += next <= s->version &&
				 now - s->acked[next] > REVOKE_MS;
	}
}

static unsigned run_schedule(uint64_t seed, bool ignore_age)
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
		i = (int)rnd_below(&s.rnd, NR_ENTRIES);
		if (!rnd_below(&s.rnd, 300))
			s.e[i].cut = !s.e[i].cut;
		if (!rnd_below(&s.rnd, 500))
			s.e[i].suspended_until =
				now + 500 + rnd_below(&s.rnd, 7000);
		for (i = 0; i < 3; i++)
			step(&s, now, ignore_age);
	}
	for (i = 0; i < NR_ENTRIES; i++)
		force_free(&s.e[i].f);
	return s.violations;
}

static void revoked_keys_are_refused(void)
{
	unsigned violations = 0;
	uint64_t seed;

	for (seed = 1; seed <= unit_seeds(200); seed++)
		violations += run_schedule(seed, false) +
			      run_schedule(unit_seed(seed), false);
	unit_report("revoked keys", 2 * unit_seeds(200), violations);
	CU_ASSERT_EQUAL(violations, 0);
}

/*
 * The schedules find the violation if the age of a peer's confirmation is
 * ignored, so they can fail.
 */
static void ignored_ages_are_detected(void)
{
	unsigned violations = 0;
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++)
		violations += run_schedule(seed, true) > 0;
	CU_ASSERT(violations > 0);
}

/*
 * A revoked key must not become valid again when the store is restored from a
 * copy without the version that revoked it. The store then reports no change
 * since the version before, which must not count as a confirmation until
 * operators have had time to write the newest version again.
 */
static void restored_store_confirms_nothing(void)
{
	struct force f;

	force_init(&f);
	force_offer(&f, make_config(5, 1, NULL), 1000);
	force_reject_confirmations(&f, 4000);
	force_confirm(&f, 5, 3000);
	CU_ASSERT_EQUAL(f.confirmed_ms, 1000);
	CU_ASSERT_FALSE(force_can_check_key(&f, 6000, 5000));
	force_confirm(&f, 5, 4100);
	CU_ASSERT_EQUAL(f.confirmed_ms, 4100);
	force_free(&f);

	/* A starting entry reads an older version than was announced. */
	force_init(&f);
	force_confirm(&f, 7, 500);
	CU_ASSERT(force_offer(&f, make_config(5, 1, NULL), 1000));
	CU_ASSERT_FALSE(force_can_check_key(&f, 1000, 5000));
	force_free(&f);
}

static const struct unit_test tests[] = {
	{ "a restored store confirms nothing",
	  restored_store_confirms_nothing },
	{ "revoked keys are refused in every schedule",
	  revoked_keys_are_refused },
	{ "ignored ages are detected", ignored_ages_are_detected },
	{ "longest prefix matches a linear scan",
	  longest_prefix_matches_linear_scan },
	{ "an account is found by its key", account_is_found_by_key },
	{ "a service gets the shortest gap of its routes",
	  service_gets_shortest_gap_of_its_routes },
	{ "the version never decreases", version_never_decreases },
	{ "only the version in force is confirmed",
	  only_version_in_force_is_confirmed },
	{ "requests keep their version", requests_keep_their_version },
};

UNIT_MAIN("cfg", tests)
