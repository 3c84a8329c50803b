/* Tests whether entries may send to an endpoint that stated a limit (gate). */
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/rnd.h"
#include "fleet/gate.h"
#include "support/unit.h"

static void limit_begins_empty_and_fills_at_the_share(void)
{
	struct gate g = { 0 };

	CU_ASSERT_EQUAL(gate_open_ms(&g, 1000), 1000);
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 4, 990, 1000), GATE_LIMITED);
	gate_set_share(&g, 2, 1000);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 1000), 1500);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 1500), 1500);
	gate_pass(&g, 1500);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 1500), 2000);
	/* What was not used does not add up. */
	CU_ASSERT_EQUAL(gate_open_ms(&g, 9000), 9000);
	gate_pass(&g, 9000);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 9000), 9500);
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 0, 9000, 9010), GATE_LIFTED);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 9010), 9010);
}

/* Guards against a limit that an older answer, which arrived late, lifts. */
static void answer_to_an_earlier_request_does_not_relax_the_limit(void)
{
	struct gate g = { 0 };

	gate_limit_answered(&g, 1, 990, 1000);
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 0, 995, 1010), GATE_UNCHANGED);
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 5, 995, 1010), GATE_UNCHANGED);
	CU_ASSERT_EQUAL(g.limit_per_s, 1);
	/* A lower limit holds at once. */
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 0.5, 995, 1020), GATE_LIMITED);
	CU_ASSERT_EQUAL(g.limit_per_s, 0.5);
	CU_ASSERT_EQUAL(gate_limit_answered(&g, 5, 1020, 1040), GATE_LIMITED);
	CU_ASSERT_EQUAL(g.limit_per_s, 5);
}

static void newest_of_the_reported_statements_holds(void)
{
	struct gate g = { 0 };

	CU_ASSERT_EQUAL(gate_limit_reported(&g, 2, 900, 1000), GATE_LIMITED);
	CU_ASSERT_EQUAL(gate_limit_reported(&g, 0, 899, 1000), GATE_UNCHANGED);
	CU_ASSERT_EQUAL(gate_limit_reported(&g, 2, 950, 1010), GATE_UNCHANGED);
	CU_ASSERT_EQUAL(g.stated_ms, 950);
	CU_ASSERT_EQUAL(gate_limit_reported(&g, 0, 960, 1020), GATE_LIFTED);
	CU_ASSERT_EQUAL(gate_limit_reported(&g, 2, 955, 1030), GATE_UNCHANGED);
	CU_ASSERT_EQUAL(g.limit_per_s, 0);
}

/* Guards against an entry that never learns that a limit was lifted. */
static void entry_without_a_share_sends_a_request_now_and_then(void)
{
	struct gate g = { 0 };
	int64_t at;

	gate_limit_answered(&g, 1, 990, 1000);
	at = gate_open_ms(&g, 1000);
	CU_ASSERT(at > 10000 && at <= 60000);
	/* Not while others report that the limit holds. */
	gate_limit_reported(&g, 1, 5000, 5000);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 5000), at + 4000);
	at += 4000;
	CU_ASSERT_EQUAL(gate_open_ms(&g, at), at);
	gate_pass(&g, at);
	CU_ASSERT(gate_open_ms(&g, at) > at + 10000);
}

static void shares_add_up_to_the_limit(void)
{
	static const double limits[] = { 0.01, 0.3, 1, 2.5, 7, 60, 1e9 };
	unsigned i, senders, rank, selected;
	double sum;

	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		for (senders = 1; senders < 40; senders++) {
			sum = 0;
			selected = 0;
			for (rank = 0; rank < senders; rank++) {
				sum += gate_share(limits[i], rank, senders);
				selected += gate_share(limits[i], rank,
						       senders) > 0;
			}
			CU_ASSERT_DOUBLE_EQUAL(sum / limits[i], 1, 1e-9);
			CU_ASSERT(selected <= 2 + limits[i]);
		}
	}
}

static void longest_of_the_stated_waits_holds(void)
{
	struct gate g = { 0 };

	CU_ASSERT_FALSE(gate_states_anything(&g, 1000));
	gate_wait(&g, 4000);
	gate_wait(&g, 1500);
	CU_ASSERT(gate_waits(&g, 3999));
	CU_ASSERT(gate_states_anything(&g, 3999));
	CU_ASSERT_EQUAL(gate_open_ms(&g, 1000), 4000);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 4000), 4000);
	CU_ASSERT_FALSE(gate_waits(&g, 4000));
	CU_ASSERT_FALSE(gate_states_anything(&g, 4000));
}

/* A wait and a limit at the same time: the later one decides. */
static void wait_and_limit_both_hold(void)
{
	struct gate g = { 0 };

	gate_limit_answered(&g, 1, 990, 1000);
	gate_set_share(&g, 1, 1000);
	gate_wait(&g, 1500);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 1000), 2000);
	gate_wait(&g, 3000);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 2500), 3000);
	gate_limit_answered(&g, 0, 2500, 2500);
	CU_ASSERT_EQUAL(gate_open_ms(&g, 2500), 3000);
}

/* ---- Schedules ---- */

#define MAX_ENTRIES 30
#define STEP_MS 10
#define LENGTH_MS 40000
#define WINDOW_MS 4000
#define KNOWN_MS 500   /* from an answer until the entry must act on it */
#define STABLE_MS 3000 /* from the first answer until the limit is checked */
#define GOSSIP_MS 600
#define TICK_MS 200 /* interval at which shares are computed */

/* Entries that send to one endpoint, which limits its requests. */
struct schedule {
	struct rnd rnd;
	unsigned nr_entries;
	struct gate gates[MAX_ENTRIES];
	int64_t told_ms[MAX_ENTRIES];
	int64_t alive_from_ms[MAX_ENTRIES]; /* restarted then */
	double demand_per_s;		    /* of each entry */
	int64_t stated_ms;
	bool broken;  /* each entry takes the whole limit */
	double limit; /* 0: stated no more */
	unsigned sent[LENGTH_MS / STEP_MS]; /* by entries that were told */
	unsigned nr_sent;
};

/*
 * The entry's share. It learns of a restart by gossip: until then it counts the
 * entry as before.
 */
static double view_of(const struct schedule *s, unsigned entry, int64_t now)
{
	unsigned i, rank = 0, senders = 1;

	if (s->broken)
		return s->limit;
	for (i = 0; i < s->nr_entries; i++) {
		const int64_t since = s->alive_from_ms[i];
		const int64_t lag = (entry * 31 + i * 17) % GOSSIP_MS;

		if (i == entry ||
		    (since && now > since - 1000 + lag && now < since + lag))
			continue;
		senders++;
		rank += hsh_rendezvous(7, i) > hsh_rendezvous(7, entry);
	}
	return gate_share(s->gates[entry].limit_per_s, rank, senders);
}

static void arrive(struct schedule *s, unsigned entry, int64_t now)
{
	struct gate *g = &s->gates[entry];

	if (gate_open_ms(g, now) > now)
		return;
	gate_pass(g, now);
	s->nr_sent++;
	if (s->told_ms[entry] && now - s->told_ms[entry] >= KNOWN_MS &&
	    now - s->stated_ms >= STABLE_MS)
		s->sent[now / STEP_MS]++;
	gate_limit_answered(g, s->limit, now, now);
	gate_set_share(g, view_of(s, entry, now), now);
	if (!s->told_ms[entry])
		s->told_ms[entry] = now;
}

static void gossip(struct schedule *s, int64_t now)
{
	unsigned from = rnd_below(&s->rnd, s->nr_entries), i;
	const struct gate *g = &s->gates[from];

	for (i = 0; i < s->nr_entries; i++) {
		if (i == from || !g->stated_ms || !rnd_below(&s->rnd, 5))
			continue;
		gate_limit_reported(&s->gates[i], g->limit_per_s,
				    g->stated_ms - rnd_below(&s->rnd, 300),
				    now);
	}
}

static void step(struct schedule *s, int64_t now)
{
	const bool burst = !rnd_below(&s->rnd, 200);
	unsigned i, k;

	if (!rnd_below(&s->rnd, 10))
		gossip(s, now);
	for (i = 0; i < s->nr_entries; i++) {
		if (!rnd_below(&s->rnd, 300 * s->nr_entries)) {
			memset(&s->gates[i], 0, sizeof(s->gates[i]));
			s->told_ms[i] = 0; /* a restart excuses the entry */
			s->alive_from_ms[i] = now;
		}
		if (!(now % TICK_MS))
			gate_set_share(&s->gates[i], view_of(s, i, now), now);
		for (k = 0; k < (burst ? 20u : 1u); k++) {
			if (burst || rnd_below(&s->rnd, 1000) <
					     s->demand_per_s * STEP_MS)
				arrive(s, i, now);
		}
	}
}

/* The most requests in any window. */
static unsigned worst_window(const struct schedule *s)
{
	const int n = WINDOW_MS / STEP_MS;
	unsigned sum = 0, most = 0;
	int i;

	for (i = 0; i < LENGTH_MS / STEP_MS; i++) {
		sum += s->sent[i];
		if (i >= n)
			sum -= s->sent[i - n];
		if (sum > most)
			most = sum;
	}
	return most;
}

static bool play(uint64_t seed, bool broken, unsigned *sent, double *limit)
{
	static const double limits[] = { 0.2, 1, 1, 1, 2, 3.5, 10, 40 };
	struct schedule *s = calloc(1, sizeof(*s));
	bool kept;
	int64_t now;

	rnd_seed(&s->rnd, seed);
	s->broken = broken;
	s->nr_entries = 1 + rnd_below(&s->rnd, MAX_ENTRIES);
	s->limit = limits[rnd_below(&s->rnd, 8)];
	s->demand_per_s = 1 + rnd_below(&s->rnd, 20);
	s->stated_ms = STEP_MS;
	for (now = STEP_MS; now < LENGTH_MS; now += STEP_MS)
		step(s, now);
	kept = worst_window(s) <= 1.5 * s->limit * WINDOW_MS / 1000 + 5;
	*sent = s->nr_sent;
	*limit = s->limit;
	free(s);
	return kept;
}

/*
 * Guards against an endpoint that gets more requests than it accepts from all
 * entries together, while entries are restarted, gossip is lost, and requests
 * come in bursts at all entries at once.
 */
static void entries_together_keep_the_limit(void)
{
	const unsigned long n = unit_seeds(200);
	unsigned long i, violations = 0, used = 0;
	unsigned sent;
	double limit;

	for (i = 0; i < n; i++) {
		violations += !play(unit_seed(i), false, &sent, &limit);
		used += sent > limit * LENGTH_MS / 1000 / 4;
	}
	CU_ASSERT_EQUAL(violations, 0);
	/* It is not kept by sending nothing. */
	CU_ASSERT(used > n * 9 / 10);
	unit_report("requests beyond a limit", n, violations);
}

/* The check fails if each entry takes the whole limit for its own. */
static void check_sees_a_limit_that_is_not_shared(void)
{
	unsigned long i, violations = 0;
	unsigned sent;
	double limit;

	for (i = 0; i < 50; i++)
		violations += !play(unit_seed(i), true, &sent, &limit);
	CU_ASSERT(violations > 25);
}

static const struct unit_test tests[] = {
	{ "a limit begins empty and fills at the share",
	  limit_begins_empty_and_fills_at_the_share },
	{ "an answer to an earlier request does not relax the limit",
	  answer_to_an_earlier_request_does_not_relax_the_limit },
	{ "the newest of the reported statements holds",
	  newest_of_the_reported_statements_holds },
	{ "an entry without a share sends a request now and then",
	  entry_without_a_share_sends_a_request_now_and_then },
	{ "shares add up to the limit", shares_add_up_to_the_limit },
	{ "the longest of the stated waits holds",
	  longest_of_the_stated_waits_holds },
	{ "a wait and a limit both hold", wait_and_limit_both_hold },
	{ "entries together keep the limit", entries_together_keep_the_limit },
	{ "the check sees a limit that is not shared",
	  check_sees_a_limit_that_is_not_shared },
};

UNIT_MAIN("gate", tests)
