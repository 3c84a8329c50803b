/* The mirror of the store under seeded schedules: pages that are no snapshot,
 * lost calls, lost history; in the end it holds what the store holds. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "store/feed.h"
#include "store/mir.h"
#include "support/unit.h"

#define KEYS 12
#define HISTORY 400
#define PAGE 4

/* A store: what stands, and what happened. */
struct store {
	int64_t rev[KEYS]; /* 0: not there */
	int64_t revision;
	struct {
		int key;
		int64_t rev;
		bool gone;
	} log[HISTORY];
	size_t nr_log;
	int64_t forgotten; /* history up to here is lost */
};

struct view {
	int64_t rev[KEYS];
	unsigned doubled; /* told what was known */
};

static int key_of(const char *key)
{
	return atoi(key + 1);
}

static void on_put(void *arg, const char *key, const char *value, size_t len,
		   int64_t revision)
{
	struct view *v = arg;
	const int k = key_of(key);

	(void)value;
	(void)len;
	v->doubled += revision <= v->rev[k];
	v->rev[k] = revision;
}

static void on_gone(void *arg, const char *key, int64_t revision)
{
	struct view *v = arg;

	(void)revision;
	v->rev[key_of(key)] = 0;
}

static const struct mir_vtable vtable = { on_put, on_gone };

static void change(struct store *s, struct rnd *rnd)
{
	const int k = (int)rnd_below(rnd, KEYS);
	const bool gone = s->rev[k] && !rnd_below(rnd, 3);

	if (s->nr_log == HISTORY)
		return;
	s->revision++;
	s->rev[k] = gone ? 0 : s->revision;
	s->log[s->nr_log].key = k;
	s->log[s->nr_log].rev = s->revision;
	s->log[s->nr_log++].gone = gone;
}

static void answer_list(struct mir *m, struct store *s, int64_t now)
{
	const int from = m->after[0] ? key_of(m->after) + 1 : 0;
	char last[16] = "";
	int n = 0, k;

	for (k = from; k < KEYS && n < PAGE; k++) {
		if (!s->rev[k])
			continue;
		snprintf(last, sizeof(last), "k%02d", k);
		mir_item(m, last, "v", 1, s->rev[k]);
		n++;
	}
	mir_page_end(m, n ? last : NULL, n == PAGE && k < KEYS, s->revision,
		     now);
}

static void answer_watch(struct mir *m, struct store *s, int64_t now)
{
	char key[16];
	bool any = false;
	size_t i;

	if (m->revision < s->forgotten) {
		mir_history_lost(m, now);
		return;
	}
	for (i = 0; i < s->nr_log; i++) {
		if (s->log[i].rev <= m->revision)
			continue;
		snprintf(key, sizeof(key), "k%02d", s->log[i].key);
		mir_event(m, key, s->log[i].gone ? NULL : "v", 1,
			  s->log[i].rev);
		any = true;
	}
	mir_watch_end(m, any, s->revision, now);
}

static bool play(uint64_t seed)
{
	struct store s;
	struct view v;
	struct mir m;
	struct rnd rnd;
	int64_t now = 1;
	int step;
	bool same;

	memset(&s, 0, sizeof(s));
	memset(&v, 0, sizeof(v));
	rnd_seed(&rnd, seed);
	mir_init(&m, &vtable, &v);
	for (step = 0; step < 400; step++) {
		const bool calm = step > 340;
		enum mir_call call;

		now += 1 + rnd_below(&rnd, 300);
		if (!calm && rnd_below(&rnd, 2))
			change(&s, &rnd);
		if (!calm && !rnd_below(&rnd, 20))
			s.forgotten = s.revision;
		call = mir_next(&m, now);
		if (call == MIR_NONE)
			continue;
		if (!calm && !rnd_below(&rnd, 5))
			mir_failed(&m, now);
		else if (call == MIR_LIST)
			answer_list(&m, &s, now);
		else
			answer_watch(&m, &s, now);
	}
	same = !memcmp(s.rev, v.rev, sizeof(s.rev)) && !v.doubled;
	mir_free(&m);
	return same;
}

static void schedules_end_with_the_store(void)
{
	uint64_t seed;
	unsigned wrong = 0;

	for (seed = 1; seed <= unit_seeds(2000); seed++)
		wrong += !play(seed) + !play(unit_seed(seed));
	unit_report("mirror of the store", 2 * unit_seeds(2000), wrong);
	CU_ASSERT_EQUAL(wrong, 0);
}

/*
 * Symptom: an endpoint that had left stayed in use. Sequence: a key on the
 * first page is deleted while the second page is read; the watch began after
 * the last page. Cause: the watch must begin at the first page's revision.
 */
static void watch_begins_at_the_first_page(void)
{
	struct view v;
	struct mir m;

	memset(&v, 0, sizeof(v));
	mir_init(&m, &vtable, &v);
	CU_ASSERT_EQUAL(mir_next(&m, 1), MIR_LIST);
	mir_item(&m, "k00", "v", 1, 5);
	mir_page_end(&m, "k00", true, 10, 1);
	CU_ASSERT_EQUAL(mir_next(&m, 2), MIR_LIST);
	CU_ASSERT_STRING_EQUAL(m.after, "k00");
	mir_page_end(&m, NULL, false, 11, 2);
	CU_ASSERT_EQUAL(mir_next(&m, 3), MIR_WATCH);
	CU_ASSERT_EQUAL(m.revision, 10);
	mir_event(&m, "k00", NULL, 0, 11);
	CU_ASSERT_EQUAL(v.rev[0], 0);
	mir_free(&m);
}

static void failures_wait_longer_and_bounded(void)
{
	struct view v;
	struct mir m;
	int64_t now = 1;
	int i;

	memset(&v, 0, sizeof(v));
	mir_init(&m, &vtable, &v);
	for (i = 0; i < 10; i++) {
		CU_ASSERT_EQUAL(mir_next(&m, now), MIR_LIST);
		CU_ASSERT_EQUAL(mir_next(&m, now), MIR_NONE);
		mir_failed(&m, now);
		CU_ASSERT(m.due_ms - now <= MIR_RETRY_MAX_MS);
		now = m.due_ms;
	}
	mir_free(&m);
}

/* ---- Passing changes on ---- */

static void followers_get_all_changes_or_none(void)
{
	const struct feed_batch *part;
	struct feed f;
	int64_t rev;
	int i;

	feed_init(&f);
	CU_ASSERT_EQUAL(feed_after(&f, 0, &part), FEED_GAP);
	feed_add(&f, 10, 12, true, "a", 1);
	feed_add(&f, 12, 12, false, "", 0);
	feed_add(&f, 12, 15, true, "b", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 9, &part), FEED_GAP);
	CU_ASSERT_EQUAL(feed_after(&f, 10, &part), FEED_CHANGES);
	CU_ASSERT_STRING_EQUAL(part->body.data, "a");
	CU_ASSERT_EQUAL(feed_after(&f, 11, &part), FEED_CHANGES);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_CHANGES);
	CU_ASSERT_STRING_EQUAL(part->body.data, "b");
	CU_ASSERT_EQUAL(feed_after(&f, 15, &part), FEED_UNCHANGED);
	CU_ASSERT_EQUAL(feed_after(&f, 20, &part), FEED_UNCHANGED);
	/* The ring turns: what fell out is a gap, never skipped. */
	for (i = 0; i < FEED_MAX_BATCHES; i++)
		feed_add(&f, 15 + i, 16 + i, true, "c", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_GAP);
	for (rev = 15; rev < 15 + FEED_MAX_BATCHES; rev++) {
		CU_ASSERT_EQUAL(feed_after(&f, rev, &part), FEED_CHANGES);
		CU_ASSERT(part->from <= rev && part->to == rev + 1);
	}
	feed_free(&f);
}

/*
 * Symptom: an entry did not see a document for eight seconds. Sequence: it
 * followed an entry that had itself begun to follow another one; that one's
 * feed stood still, which read as "nothing new". Cause: a feed that is not
 * fed any more must not answer.
 */
static void feed_that_stands_still_is_a_gap(void)
{
	const struct feed_batch *part;
	struct feed f;

	feed_init(&f);
	feed_add(&f, 10, 12, true, "a", 1);
	feed_clear(&f);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_GAP);
	/* Fed again later: what lies between is not known here. */
	feed_add(&f, 30, 31, true, "b", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_GAP);
	CU_ASSERT_EQUAL(feed_after(&f, 30, &part), FEED_CHANGES);
	feed_free(&f);
}

/*
 * Symptom: of 83 entries each asked the store every two seconds beside the
 * entry that it followed; 1,300 calls more in a minute.
 * Sequence: a change of a watched key; changes of other keys, by which the
 * store's revision rises; one of a watched key again. A follower that had the
 * first one was told that what it lacks is not known here.
 * Cause: a part was taken to begin where the last empty answer ended.
 */
static void other_keys_make_no_gap(void)
{
	const struct feed_batch *part;
	struct feed f;

	feed_init(&f);
	feed_add(&f, 10, 14, false, "", 0);
	CU_ASSERT_EQUAL(feed_after(&f, 10, &part), FEED_UNCHANGED);
	CU_ASSERT_EQUAL(feed_after(&f, 9, &part), FEED_GAP);
	feed_add(&f, 14, 20, true, "a", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 10, &part), FEED_CHANGES);
	feed_add(&f, 20, 30, false, "", 0);
	feed_add(&f, 30, 33, true, "b", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 20, &part), FEED_CHANGES);
	CU_ASSERT_EQUAL(part->to, 33);
	CU_ASSERT_EQUAL(feed_after(&f, 25, &part), FEED_CHANGES);
	CU_ASSERT_EQUAL(feed_after(&f, 33, &part), FEED_UNCHANGED);
	CU_ASSERT_EQUAL(feed_after(&f, 9, &part), FEED_GAP);
	feed_free(&f);
}

/*
 * Symptom: a large configuration was in force late at entries with narrow
 * links. Sequence: it came by the watch of one entry, which sent it to each
 * of its followers. Cause: what is large must come from the store itself.
 */
static void large_changes_are_not_passed_on(void)
{
	static char large[FEED_MAX_BYTES + 1];
	const struct feed_batch *part;
	struct feed f;

	memset(large, 'x', sizeof(large));
	feed_init(&f);
	feed_add(&f, 10, 12, true, "a", 1);
	feed_add(&f, 12, 14, true, large, sizeof(large));
	CU_ASSERT_EQUAL(feed_after(&f, 10, &part), FEED_GAP);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_GAP);
	/* Who has read it from the store follows again. */
	CU_ASSERT_EQUAL(feed_after(&f, 14, &part), FEED_UNCHANGED);
	feed_add(&f, 14, 15, true, "b", 1);
	CU_ASSERT_EQUAL(feed_after(&f, 14, &part), FEED_CHANGES);
	CU_ASSERT_EQUAL(feed_after(&f, 12, &part), FEED_GAP);
	feed_free(&f);
}

/*
 * Symptom: all followers of one entry learn late that an endpoint leaves.
 * Sequence: its watch is held up, and it answers them "nothing new" meanwhile.
 * Cause: it relied on other calls of its own that succeeded. A leaving that is
 * written when the watch stops must be known to followers within two seconds:
 * they are turned away in time to ask the store itself.
 */
static void a_feed_that_is_held_up_leads_nobody(void)
{
	const int64_t answered = 5000;
	const int wait_ms = 667; /* a third of two seconds */
	const int64_t tick_ms = 200, ask_ms = 50;
	int64_t now = answered;

	while (feed_is_current(answered, wait_ms, now))
		now += tick_ms;
	CU_ASSERT(now + ask_ms - answered < 2000);
	/* In its usual pace it is relied on. */
	CU_ASSERT(feed_is_current(answered, wait_ms,
				  answered + MIR_PACE_MS + wait_ms + 200));
	CU_ASSERT_FALSE(feed_is_current(0, wait_ms, 100));
}

/*
 * Symptom: 295 entries that started together made 16 calls to the store each.
 * Sequence: each registers, and watches who else does; the store answers each
 * of them for every few registrations. Cause: an entry that has heard of
 * nobody yet took itself for one of those that watch for the others.
 */
static void entries_that_start_together_meet_first(void)
{
	struct feed_startup s = { .known_entries = 294, .entry_keys = true };

	s.since_ms = FEED_REGISTER_MS - 1;
	CU_ASSERT_FALSE(feed_may_watch(&s));
	s.since_ms = FEED_REGISTER_MS;
	CU_ASSERT(feed_may_watch(&s));
	s.has_watched = true;
	CU_ASSERT_FALSE(feed_may_watch(&s));
	s.entry_keys = s.has_watched = false;
	CU_ASSERT_FALSE(feed_may_watch(&s));
	s.since_ms = FEED_SETTLE_MS;
	CU_ASSERT(feed_may_watch(&s));
	s.has_watched = true;
	CU_ASSERT(feed_may_watch(&s));
	/* Alone, it has nobody to wait for; at the very first start it has. */
	s = (struct feed_startup){ .entry_keys = true };
	CU_ASSERT(feed_may_watch(&s));
	s.first_start = true;
	CU_ASSERT_FALSE(feed_may_watch(&s));
}

static void watchers_are_few(void)
{
	CU_ASSERT_EQUAL(feed_watcher_count(1), 2);
	CU_ASSERT_EQUAL(feed_watcher_count(8), 2);
	CU_ASSERT_EQUAL(feed_watcher_count(84), 3);
	CU_ASSERT_EQUAL(feed_watcher_count(900), 29);
}

static const struct unit_test tests[] = {
	{ "large changes are not passed on", large_changes_are_not_passed_on },
	{ "followers get all changes or none",
	  followers_get_all_changes_or_none },
	{ "a feed that stands still is a gap",
	  feed_that_stands_still_is_a_gap },
	{ "other keys make no gap", other_keys_make_no_gap },
	{ "a feed that is held up leads nobody",
	  a_feed_that_is_held_up_leads_nobody },
	{ "entries that start together meet first",
	  entries_that_start_together_meet_first },
	{ "watchers are few", watchers_are_few },
	{ "schedules end with the store", schedules_end_with_the_store },
	{ "the watch begins at the first page",
	  watch_begins_at_the_first_page },
	{ "failures wait longer, bounded", failures_wait_longer_and_bounded },
};

UNIT_MAIN("mir", tests)
