/* Tests how many requests an entry may have at a brittle endpoint (brittle). */
#include <string.h>

#include "base/rnd.h"
#include "fleet/brittle.h"
#include "support/unit.h"

static void statement_begins_and_ends_with_answers(void)
{
	struct brittle b = { 0 };
	const struct brittle_load busy = { .slots = 4, .running = 9 };

	CU_ASSERT_EQUAL(brittle_open_ms(&b, &busy, 1000), 1000);
	CU_ASSERT(brittle_answered(&b, 3, 990, 1000));
	CU_ASSERT_FALSE(brittle_answered(&b, 3, 995, 1001));
	CU_ASSERT(brittle_open_ms(&b, &busy, 1002) > 1002);
	/* An answer to an earlier request, which arrived late. */
	CU_ASSERT_FALSE(brittle_answered(&b, -1, 980, 1010));
	CU_ASSERT(b.stated);
	CU_ASSERT(brittle_answered(&b, -1, 1011, 1020));
	CU_ASSERT_EQUAL(brittle_open_ms(&b, &busy, 1020), 1020);
}

/* Guards against entries that together have more requests than slots there. */
static void shares_add_up_to_the_slots(void)
{
	struct brittle b = { 0 };
	int senders, rank, slots, sum;

	brittle_answered(&b, 3, 0, 1);
	for (senders = 1; senders <= 40; senders++) {
		for (slots = 1; slots <= 70; slots += 3) {
			sum = 0;
			for (rank = 0; rank < senders; rank++) {
				brittle_set_rank(&b, rank, senders);
				sum += brittle_share(&b, slots, 1);
			}
			CU_ASSERT_EQUAL(sum, slots);
		}
	}
}

static void refusal_halves_the_share_and_holds(void)
{
	struct brittle b = { 0 };
	const struct brittle_load idle = { .slots = 8 };

	brittle_answered(&b, 10, 0, 1000);
	brittle_set_rank(&b, 0, 2);
	CU_ASSERT_EQUAL(brittle_share(&b, 8, 1000), 4);
	brittle_refused(&b, 2000);
	/* One of the same moment is no other sign. */
	brittle_refused(&b, 2010);
	CU_ASSERT_EQUAL(brittle_share(&b, 8, 2010), 2);
	CU_ASSERT_EQUAL(brittle_open_ms(&b, &idle, 2500),
			2010 + BRITTLE_HOLD_MS);
	CU_ASSERT_EQUAL(brittle_open_ms(&b, &idle, 3010), 3010);
	CU_ASSERT_EQUAL(brittle_share(&b, 8, 22000), 4);
}

/* Guards against an endpoint that falls over each time its share has risen. */
static void share_of_an_endpoint_that_tolerates_no_refusal_does_not_rise(void)
{
	struct brittle b = { 0 };

	brittle_answered(&b, 0, 0, 1000);
	brittle_set_rank(&b, 0, 1);
	brittle_refused(&b, 2000);
	CU_ASSERT_EQUAL(brittle_share(&b, 8, 60000), 4);
}

/*
 * Guards against endpoints that stay brittle at entries without a share of
 * them, which get no answers.
 */
static void newest_statement_holds_at_all_entries(void)
{
	struct brittle b = { 0 };
	struct brittle_report r = { .max_refusals = 3,
				    .stated_ms = 900,
				    .factor = 0.5,
				    .refused_ms = 950 };

	/* The refusal was in a time before this one. */
	CU_ASSERT(brittle_reported(&b, &r, 1000));
	CU_ASSERT_EQUAL(b.max_refusals, 3);
	CU_ASSERT_DOUBLE_EQUAL(brittle_factor(&b, 1000), 1, 0.001);
	r.refused_ms = 1010;
	CU_ASSERT_FALSE(brittle_reported(&b, &r, 1011));
	CU_ASSERT_DOUBLE_EQUAL(brittle_factor(&b, 1011), 0.5, 0.001);
	r = (struct brittle_report){ .max_refusals = -1, .stated_ms = 800 };
	CU_ASSERT_FALSE(brittle_reported(&b, &r, 1001));
	r.stated_ms = 1100;
	CU_ASSERT(brittle_reported(&b, &r, 1200));
	CU_ASSERT_FALSE(b.stated);
	/* What this entry's own answer says is newer. */
	brittle_answered(&b, -1, 1300, 1310);
	r = (struct brittle_report){ .max_refusals = 3, .stated_ms = 1305 };
	CU_ASSERT_FALSE(brittle_reported(&b, &r, 1320));
	r.stated_ms = 1400;
	CU_ASSERT(brittle_reported(&b, &r, 1420));
	CU_ASSERT_FALSE(brittle_expire(&b, 5000));
	CU_ASSERT(brittle_expire(&b, 12000));
}

/* Guards against a new start that gets the requests which ended the others. */
static void endpoint_without_answers_is_like_the_others(void)
{
	struct brittle b = { 0 }, other = { 0 };

	brittle_answered(&other, 2, 0, 1000);
	brittle_refused(&other, 1100);
	CU_ASSERT(brittle_inherit(&b, &other, 1200));
	CU_ASSERT(b.stated);
	CU_ASSERT(brittle_factor(&b, 1200) < 0.6);
	b = (struct brittle){ 0 };
	brittle_answered(&b, -1, 1190, 1200);
	CU_ASSERT_FALSE(brittle_inherit(&b, &other, 1210));
}

#define MAX_SENDERS 12
#define MAX_RUNNING 512

/* An endpoint with room for `slots`, and the entries that send to it. */
struct world {
	struct brittle at[MAX_SENDERS];
	int running[MAX_SENDERS], all, senders, slots;
	struct {
		int sender;
		int64_t end_ms;
	} runs[MAX_RUNNING];
	struct rnd rnd;
	int refused; /* in this second */
	int falls;
};

static void end_runs(struct world *w, int64_t now)
{
	int i;

	for (i = 0; i < w->all;) {
		if (now < w->runs[i].end_ms) {
			i++;
			continue;
		}
		w->running[w->runs[i].sender]--;
		w->runs[i] = w->runs[--w->all];
	}
}

static void send_one(struct world *w, int s, int elsewhere, int64_t now)
{
	const struct brittle_load load = { w->slots, w->running[s], elsewhere };

	if (brittle_open_ms(&w->at[s], &load, now) > now)
		return;
	if (w->all >= w->slots) {
		w->refused++;
		brittle_refused(&w->at[s], now);
		return;
	}
	w->runs[w->all].sender = s;
	w->runs[w->all++].end_ms = now + 50 + rnd_below(&w->rnd, 1000);
	w->running[s]++;
}

/* 20 s of demand beyond the room; reports of other entries are 300 ms old. */
static int play(uint64_t seed)
{
	struct world w = { .senders = 1 };
	int64_t now;
	int s, reported = 0, max_refusals, n;

	rnd_seed(&w.rnd, seed);
	w.senders = 2 + (int)rnd_below(&w.rnd, MAX_SENDERS - 1);
	w.slots = 4 + (int)rnd_below(&w.rnd, 60);
	max_refusals = (int)rnd_below(&w.rnd, 6);
	for (s = 0; s < w.senders; s++) {
		brittle_answered(&w.at[s], max_refusals, 0, 1);
		brittle_set_rank(&w.at[s], s, w.senders);
	}
	for (now = 1000; now < 21000; now += 5) {
		end_runs(&w, now);
		if (now % 300 == 0)
			reported = w.all;
		if (now % 1000 == 0)
			w.refused = 0;
		for (n = 0; n < 3; n++) {
			s = (int)rnd_below(&w.rnd, (uint32_t)w.senders);
			send_one(&w, s, reported - w.running[s], now);
		}
		if (w.refused > max_refusals) {
			w.falls++;
			w.refused = 0;
		}
	}
	return w.falls;
}

/*
 * Guards against entries that make a brittle endpoint fall over more than twice
 * in one time. Even without reports of refusals by others.
 */
static void endpoint_falls_at_most_twice(void)
{
	const unsigned long schedules = unit_seeds(1000);
	unsigned long n, bad = 0;

	for (n = 0; n < schedules; n++)
		bad += play(unit_seed(n)) > 2;
	CU_ASSERT_EQUAL(bad, 0);
	unit_report("brittle endpoints", schedules, bad);
}

static const struct unit_test tests[] = {
	{ "a statement begins and ends with answers",
	  statement_begins_and_ends_with_answers },
	{ "shares add up to the slots", shares_add_up_to_the_slots },
	{ "a refusal halves the share, and holds",
	  refusal_halves_the_share_and_holds },
	{ "the share of an endpoint that tolerates no refusal does not rise",
	  share_of_an_endpoint_that_tolerates_no_refusal_does_not_rise },
	{ "the newest statement holds at all entries",
	  newest_statement_holds_at_all_entries },
	{ "an endpoint without answers is like the others",
	  endpoint_without_answers_is_like_the_others },
	{ "an endpoint falls at most twice", endpoint_falls_at_most_twice },
};

UNIT_MAIN("brittle", tests)
