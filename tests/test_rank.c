/* The ranking of entries by purpose, and how many are advertised. */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "member/named.h"
#include "member/rank.h"
#include "support/unit.h"

#define ENTRIES 84
#define ZONES 4
#define LARGE_FLEET 1970

static struct rank one, other;
static char names[ENTRIES][16];
static char zones[ZONES][8];

static void fill_names(void)
{
	int i;

	for (i = 0; i < ZONES; i++)
		snprintf(zones[i], sizeof(zones[i]), "z%d", i);
	for (i = 0; i < ENTRIES; i++)
		snprintf(names[i], sizeof(names[i]), "entry-%d", i);
}

static const char *zone_of(int i)
{
	return zones[i / 3 % ZONES];
}

static void add(struct rank *r, int i)
{
	rank_add(r, names[i], zone_of(i), names[i]);
}

/*
 * Guards against two entries that follow each other, because they learned of
 * the fleet in different orders and so disagree about which ones watch the
 * store.
 */
static void ranking_is_independent_of_order(void)
{
	struct rnd rnd;
	int i, round, at[ENTRIES];

	fill_names();
	rnd_seed(&rnd, 3);
	rank_init(&one, RANK_WATCH);
	for (i = 0; i < ENTRIES; i++) {
		at[i] = i;
		add(&one, i);
	}
	rank_sort(&one);
	for (round = 0; round < 20; round++) {
		for (i = ENTRIES - 1; i > 0; i--) {
			const int j = (int)rnd_below(&rnd, (uint32_t)i + 1);
			const int t = at[i];

			at[i] = at[j];
			at[j] = t;
		}
		rank_init(&other, RANK_WATCH);
		for (i = 0; i < ENTRIES; i++)
			add(&other, at[i]);
		rank_sort(&other);
		for (i = 0; i < ENTRIES; i++)
			CU_ASSERT_PTR_EQUAL(one.rows[i].entry,
					    other.rows[i].entry);
	}
}

/* rank_select() puts the same rows in front as rank_sort(). */
static void select_matches_sort(void)
{
	static const size_t firsts[] = { 0, 1, 3, 10, ENTRIES, ENTRIES + 5 };
	size_t i, k;

	fill_names();
	for (k = 0; k < sizeof(firsts) / sizeof(firsts[0]); k++) {
		rank_init(&one, RANK_USAGE);
		rank_init(&other, RANK_USAGE);
		for (i = 0; i < ENTRIES; i++) {
			add(&one, (int)i);
			add(&other, (int)i);
		}
		rank_sort(&one);
		rank_select(&other, firsts[k]);
		CU_ASSERT_EQUAL(other.n, one.n);
		for (i = 0; i < firsts[k] && i < one.n; i++)
			CU_ASSERT_PTR_EQUAL(one.rows[i].entry,
					    other.rows[i].entry);
	}
}

/* When an entry leaves, the others keep their order and so their tasks. */
static void removal_keeps_the_order(void)
{
	size_t i, k;

	fill_names();
	rank_init(&one, RANK_ADVERTISE);
	rank_init(&other, RANK_ADVERTISE);
	for (i = 0; i < ENTRIES; i++) {
		add(&one, (int)i);
		if (i != 17)
			add(&other, (int)i);
	}
	rank_sort(&one);
	rank_sort(&other);
	for (i = k = 0; i < one.n; i++) {
		if (one.rows[i].entry == names[17])
			continue;
		CU_ASSERT_PTR_EQUAL(one.rows[i].entry, other.rows[k++].entry);
	}
	CU_ASSERT_EQUAL(k, other.n);
}

static void purposes_rank_differently(void)
{
	size_t i, same = 0;

	fill_names();
	rank_init(&one, RANK_WATCH);
	rank_init(&other, RANK_USAGE);
	for (i = 0; i < ENTRIES; i++) {
		add(&one, (int)i);
		add(&other, (int)i);
	}
	rank_sort(&one);
	rank_sort(&other);
	for (i = 0; i < ENTRIES; i++)
		same += one.rows[i].entry == other.rows[i].entry;
	CU_ASSERT(same < ENTRIES / 4);
}

/*
 * Guards against the loss of most advertised entries with one zone, which a
 * choice regardless of zones allows.
 */
static void zones_are_interleaved(void)
{
	size_t i, k, count[ZONES];

	fill_names();
	rank_init(&one, RANK_ADVERTISE);
	for (i = 0; i < ENTRIES; i++)
		add(&one, (int)i);
	rank_interleave_zones(&one);
	for (k = ZONES; k <= 24; k += ZONES) {
		memset(count, 0, sizeof(count));
		for (i = 0; i < k; i++)
			count[one.rows[i].zone[1] - '0']++;
		for (i = 0; i < ZONES; i++)
			CU_ASSERT_EQUAL(count[i], k / ZONES);
	}
}

/* Guards against entries of a large fleet that have no role at all. */
static void a_ranking_holds_a_fleet_of_any_size(void)
{
	char name[16];
	int i;

	rank_init(&one, RANK_ADVERTISE);
	for (i = 0; i < LARGE_FLEET; i++) {
		snprintf(name, sizeof(name), "edge-%d", i);
		rank_add(&one, name, "z", NULL);
	}
	CU_ASSERT_EQUAL(one.n, LARGE_FLEET);
	rank_select(&one, LARGE_FLEET);
	for (i = 1; i < LARGE_FLEET; i++)
		CU_ASSERT(one.rows[i - 1].weight < one.rows[i].weight);
	rank_free(&one);
	CU_ASSERT_EQUAL(one.n, 0);
}

/*
 * Guards against nearly all of 285 entries calling the store each time one of
 * ten watchers leaves. The watcher was chosen by the remainder of a hash, so
 * that most entries then followed another watcher, which had not kept the
 * changes that they lacked.
 */
static void removal_moves_only_its_keys(void)
{
	enum {
		WATCHERS = 10,
		KEYS = 1000
	};
	const struct rank_row *before;
	unsigned moved = 0, had = 0;
	uint64_t key;
	size_t i;

	fill_names();
	rank_init(&one, RANK_WATCH);
	rank_init(&other, RANK_WATCH);
	for (i = 0; i < WATCHERS; i++)
		add(&one, (int)i);
	rank_sort(&one);
	for (i = 1; i < one.n; i++)
		rank_add(&other, one.rows[i].entry, "z", one.rows[i].entry);
	for (key = 1; key <= KEYS; key++) {
		before = rank_for_key(&one, one.n, key);
		if (before == &one.rows[0])
			had++;
		else
			moved += before->entry !=
				 rank_for_key(&other, other.n, key)->entry;
	}
	CU_ASSERT_EQUAL(moved, 0);
	CU_ASSERT(had > KEYS / WATCHERS / 2 && had < KEYS * 2 / WATCHERS);
}

/* Guards against a null pointer that is passed to qsort() (SAN=undefined). */
static void empty_ranking_is_sorted(void)
{
	struct rank r = { 0 };

	rank_init(&r, RANK_WATCH);
	rank_sort(&r);
	rank_interleave_zones(&r);
	CU_ASSERT_EQUAL(r.n, 0);
	rank_free(&r);
}

/* A small fleet, a large one at low load, and the targeted peak load. */
static void advertised_entries_follow_the_load(void)
{
	CU_ASSERT_EQUAL(named_count(0, 0), 0);
	CU_ASSERT_EQUAL(named_count(50, 8), 8);
	CU_ASSERT_EQUAL(named_count(0, 84), 24);
	CU_ASSERT_EQUAL(named_count(330, 84), 24);
	CU_ASSERT_EQUAL(named_count(800, 84), 34);
	CU_ASSERT_EQUAL(named_count(1e9, 84), 84);
	CU_ASSERT_EQUAL(named_count(27000, 900), 900);
	CU_ASSERT_EQUAL(named_count(8000, 900), 334);
}

static const struct unit_test tests[] = {
	{ "the ranking is independent of order",
	  ranking_is_independent_of_order },
	{ "select matches sort", select_matches_sort },
	{ "a removal keeps the order", removal_keeps_the_order },
	{ "purposes rank differently", purposes_rank_differently },
	{ "zones are interleaved", zones_are_interleaved },
	{ "a ranking holds a fleet of any size",
	  a_ranking_holds_a_fleet_of_any_size },
	{ "a removal moves only its keys", removal_moves_only_its_keys },
	{ "an empty ranking is sorted", empty_ranking_is_sorted },
	{ "advertised entries follow the load",
	  advertised_entries_follow_the_load },
};

UNIT_MAIN("rank", tests)
