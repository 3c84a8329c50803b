/* Tests routing and the prefix index against reference implementations. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "route/route.h"
#include "support/unit.h"

static struct route_endpoint endpoint(uint64_t id)
{
	struct route_endpoint ep = {
		.id = id,
		.ready = true,
		.tokens_per_s = 400,
		.prefill_per_s = 8000,
		.slots = 8,
		.zone = "z",
	};

	return ep;
}

static void random_text(struct rnd *rnd, char *out, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		out[i] = (char)('a' + rnd_below(rnd, 4));
	out[n] = '\0';
}

/* ---- The prefix index ---- */

/* Reference implementation: keeps all texts and compares each character. */
static size_t reference_match(char texts[][2049], const uint64_t *holders,
			      size_t n, const char *text, uint64_t endpoint_id)
{
	size_t best = 0, i, k;

	for (i = 0; i < n; i++) {
		for (k = 0; text[k] && texts[i][k] == text[k]; k++)
			;
		k = k / PREFIX_BLOCK_CHARS * PREFIX_BLOCK_CHARS;
		if (holders[i] == endpoint_id && k > best)
			best = k;
	}
	return best;
}

static void prefix_index_matches_reference(void)
{
	static char texts[60][2049];
	struct prefix *p = prefix_create(65536);
	struct prefix_key k;
	uint64_t holders[60];
	struct rnd rnd;
	size_t i;

	rnd_seed(&rnd, 8);
	for (i = 0; i < 60; i++) {
		const size_t keep = 128 * rnd_below(&rnd, 17);

		random_text(&rnd, texts[i], 2048);
		if (i)
			memcpy(texts[i], texts[rnd_below(&rnd, (uint32_t)i)],
			       keep);
		holders[i] = 1 + rnd_below(&rnd, 3);
		prefix_key_init(&k, texts[i], 2048, 1);
		CU_ASSERT_EQUAL(prefix_match(p, &k, holders[i], 0),
				reference_match(texts, holders, i, texts[i],
						holders[i]));
		prefix_insert(p, &k, holders[i], (int64_t)i + 1);
	}
	prefix_free(p);
}

static void prefix_gap_and_salt(void)
{
	struct prefix *p = prefix_create(1024);
	struct prefix_key k, other;
	char text[513];
	struct rnd rnd;
	uint64_t out[4];

	rnd_seed(&rnd, 1);
	random_text(&rnd, text, 512);
	prefix_key_init(&k, text, 512, 1);
	prefix_key_init(&other, text, 512, 2);
	prefix_insert(p, &k, 7, 100);
	CU_ASSERT_EQUAL(prefix_match(p, &k, 7, 100), 512);
	/* A gap in the engine's events invalidates earlier records. */
	CU_ASSERT_EQUAL(prefix_match(p, &k, 7, 101), 0);
	/* Another model has a separate cache. */
	CU_ASSERT_EQUAL(prefix_match(p, &other, 7, 0), 0);
	CU_ASSERT_EQUAL(prefix_holders(p, &k, out, 4), 1);
	CU_ASSERT_EQUAL(out[0], 7);
	prefix_free(p);
}

/* ---- Choice of an endpoint ---- */

/* Reference implementation: the best score of all endpoints, same formula. */
static double reference_best(struct route_endpoint *eps, size_t n,
			     const struct prefix *px,
			     const struct route_query *query, int64_t now)
{
	double best = INFINITY, mean = 0, usable = 0;
	size_t i, cached;

	for (i = 0; i < n; i++) {
		if (!eps[i].ready || eps[i].leaving)
			continue;
		mean += (double)(eps[i].running + eps[i].waiting);
		usable++;
	}
	mean = usable > 0 ? mean / usable : 0;
	for (i = 0; i < n; i++) {
		if (eps[i].ready && !eps[i].leaving &&
		    eps[i].id != query->avoid && now >= eps[i].avoid_until_ms)
			best = fmin(best, route_predict(&eps[i], px, query,
							mean, now, &cached));
	}
	return best;
}

static void choice_matches_reference(void)
{
	struct prefix *px = prefix_create(1024);
	struct rnd rnd;
	unsigned round;

	rnd_seed(&rnd, 4);
	for (round = 0; round < 2000; round++) {
		struct route_table *t = route_create(round, 32);
		struct route_endpoint eps[12];
		const size_t n = 1 + rnd_below(&rnd, 12);
		struct prefix_key key;
		char text[1025];
		struct route_query query = { .prefix = &key,
					     .prompt_tokens = 256,
					     .max_tokens = 64,
					     .recompute_weight = 0.5 };
		struct route_choice c;
		double best;
		size_t i;

		random_text(&rnd, text, 1024);
		prefix_key_init(&key, text, 1024, 1);
		for (i = 0; i < n; i++) {
			eps[i] = endpoint(i + 1);
			eps[i].leaving = rnd_below(&rnd, 5) == 0;
			eps[i].ready = rnd_below(&rnd, 5) != 0;
			eps[i].running = rnd_below(&rnd, 12);
			eps[i].waiting = rnd_below(&rnd, 3);
			eps[i].report_ms = 1000;
			eps[i].risk_per_s = rnd_below(&rnd, 2) / 100.0;
			*route_put(t, &eps[i]) = eps[i];
		}
		prefix_insert(px, &key, 1 + rnd_below(&rnd, (uint32_t)n), 1000);
		route_refresh(t);
		c = route_choose(t, px, &query, &rnd, 1200, NULL, NULL);
		best = reference_best(eps, n, px, &query, 1200);
		CU_ASSERT_EQUAL(c.endpoint != 0, isfinite(best));
		if (c.endpoint)
			CU_ASSERT(c.score_ms <=
				  best + fmax(15.0, best * 0.1) + 1e-6);
		route_free(t);
	}
	prefix_free(px);
}

/*
 * Guards against herding: all entries send to one replica until its next load
 * report. One replica reports no load, nine report a few sequences each; six
 * entries see these reports and route twenty requests each before the next
 * ones. An entry has to count its own requests at once and to let the weight of
 * the reports decay.
 */
static void no_herding(void)
{
	unsigned got[11] = { 0 }, most = 0, e, i;
	const struct route_query query = { .prompt_tokens = 64,
					   .max_tokens = 32 };
	struct rnd rnd;

	for (e = 0; e < 6; e++) {
		struct route_table *t = route_create(e, 32);

		rnd_seed(&rnd, e);
		for (i = 1; i <= 10; i++) {
			struct route_endpoint ep = endpoint(i);

			*route_put(t, &ep) = ep;
			route_report(route_find(t, i), i == 1 ? 0 : 4, 0, 0,
				     1000);
		}
		route_refresh(t);
		for (i = 0; i < 20; i++) {
			const struct route_choice c = route_choose(
				t, NULL, &query, &rnd, 1200 + i, NULL, NULL);

			got[c.endpoint]++;
			route_sent(route_find(t, c.endpoint), 1200 + i);
		}
		route_free(t);
	}
	for (i = 1; i <= 10; i++)
		most = got[i] > most ? got[i] : most;
	/* An even share is 12. */
	CU_ASSERT(most <= 20);
}

/* Requests of this entry since the last report count at once. */
static void own_requests_count_at_once(void)
{
	struct route_table *t = route_create(1, 8);
	const struct route_query query = { .prompt_tokens = 64,
					   .max_tokens = 64 };
	struct route_endpoint a = endpoint(1), b = endpoint(2);
	struct rnd rnd;
	unsigned to[3] = { 0 }, i;

	rnd_seed(&rnd, 1);
	route_put(t, &a);
	route_put(t, &b);
	route_refresh(t);
	route_report(route_find(t, 1), 0, 0, 0, 1000);
	route_report(route_find(t, 2), 0, 0, 0, 1000);
	for (i = 0; i < 16; i++) {
		const struct route_choice c =
			route_choose(t, NULL, &query, &rnd, 1010, NULL, NULL);

		to[c.endpoint]++;
		route_sent(route_find(t, c.endpoint), 1010);
	}
	CU_ASSERT(to[1] >= 5 && to[2] >= 5);
	route_free(t);
}

static void older_reports_are_dropped(void)
{
	struct route_endpoint ep = endpoint(1);

	route_report(&ep, 5, 1, 0, 1000);
	route_report(&ep, 0, 0, 500, 1200); /* as of 700: older */
	CU_ASSERT_EQUAL(ep.running, 5);
	route_report(&ep, -1, 0, 0, 2000);
	CU_ASSERT_EQUAL(ep.running, 5);
	route_report(&ep, 2, 0, 0, 2000);
	CU_ASSERT_EQUAL(ep.running, 2);
}

static void required_version_and_last_resort(void)
{
	struct route_table *t = route_create(1, 8);
	struct route_endpoint a = endpoint(1);
	struct route_query query = { .prompt_tokens = 1, .avoid = 1 };
	struct rnd rnd;

	rnd_seed(&rnd, 1);
	strcpy(a.version, "v1");
	route_put(t, &a);
	route_refresh(t);
	/* The endpoint that failed is used if there is no other one. */
	CU_ASSERT_EQUAL(
		route_choose(t, NULL, &query, &rnd, 1, NULL, NULL).endpoint, 1);
	query.version = "v2";
	CU_ASSERT_EQUAL(
		route_choose(t, NULL, &query, &rnd, 1, NULL, NULL).endpoint, 0);
	route_remove(t, 1);
	CU_ASSERT_EQUAL(route_count(t), 0);
	CU_ASSERT_PTR_NULL(route_find(t, 1));
	route_free(t);
}

/* The subsets of all entries cover the replicas evenly. */
static void subsets_are_even(void)
{
	static unsigned tracked[300];
	unsigned e, i, least = ~0u, most = 0;

	for (e = 0; e < 300; e++) {
		struct route_table *t = route_create(e * 7919 + 1, 300);
		struct route_endpoint *const *sub;
		size_t n;

		for (i = 0; i < 270; i++) {
			const struct route_endpoint ep = endpoint(i + 1);

			route_put(t, &ep);
		}
		route_refresh(t);
		n = route_subset(t, &sub);
		CU_ASSERT_EQUAL(n, ROUTE_SUBSET);
		for (i = 0; i < n; i++)
			tracked[sub[i]->id]++;
		route_free(t);
	}
	for (i = 1; i <= 270; i++) {
		least = tracked[i] < least ? tracked[i] : least;
		most = tracked[i] > most ? tracked[i] : most;
	}
	/* The mean is 17.8. */
	CU_ASSERT(least >= 4 && most <= 40);
}

static const struct unit_test tests[] = {
	{ "prefix index matches the reference",
	  prefix_index_matches_reference },
	{ "prefix index: gaps and salts", prefix_gap_and_salt },
	{ "choice matches the reference", choice_matches_reference },
	{ "no herding on a stale report", no_herding },
	{ "own requests count at once", own_requests_count_at_once },
	{ "older reports are dropped", older_reports_are_dropped },
	{ "required version and last resort",
	  required_version_and_last_resort },
	{ "subsets are even", subsets_are_even },
};

UNIT_MAIN("route", tests)
