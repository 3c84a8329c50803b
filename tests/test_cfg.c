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
	cfg_seal(c);
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
static void version_never_goes_back(void)
{
	struct force f;

	force_init(&f);
	CU_ASSERT(force_offer(&f, make(5, 1, NULL), 100));
	CU_ASSERT(force_offer(&f, make(7, 1, NULL), 0));
	CU_ASSERT_FALSE(force_offer(&f, make(5, 1, NULL), 300));
	CU_ASSERT_EQUAL(f.cfg->version, 7);
	/* An old version confirms nothing of the new one. */
	CU_ASSERT_EQUAL(f.fresh_ms, 100);
	CU_ASSERT_FALSE(force_offer(&f, make(7, 1, NULL), 400));
	CU_ASSERT_EQUAL(f.fresh_ms, 400);
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
	CU_ASSERT_FALSE(force_covers(&f, 100, 5000));
	force_offer(&f, make(5, 1, NULL), 1000);
	force_confirm(&f, 5, 3000);
	CU_ASSERT_EQUAL(force_age(&f, 3500), 500);
	force_confirm(&f, 6, 9000);
	CU_ASSERT_EQUAL(force_age(&f, 9000), 6000);
	CU_ASSERT(force_behind(&f));
	CU_ASSERT(force_covers(&f, 7900, 5000));
	CU_ASSERT_FALSE(force_covers(&f, 8000, 5000));
	force_confirm(&f, 5, 2000);
	CU_ASSERT_EQUAL(f.fresh_ms, 3000);
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

static const struct unit_test tests[] = {
	{ "longest prefix like the naive scan",
	  longest_prefix_like_the_naive_scan },
	{ "keys name their account", keys_name_their_account },
	{ "the version never goes back", version_never_goes_back },
	{ "freshness is of the version in force",
	  freshness_is_of_the_version_in_force },
	{ "versions live as long as their requests",
	  versions_live_as_long_as_their_requests },
};

UNIT_MAIN("cfg", tests)
