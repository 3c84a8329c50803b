/* Tests the time factors of endpoints (speed.h). */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "model/speed.h"
#include "support/unit.h"

/* Takes a sample every `step` ms from `from` to `to`, of ratio `ratio`. */
static void sample(struct spd *s, double ratio, int64_t from, int64_t to,
		   int64_t step)
{
	int64_t now;

	for (now = from; now < to; now += step)
		spd_took(s, ratio * 100, 100, now);
}

/* The factor at `now` in a fleet of which most run at the usual speed. */
static double factor_at(struct spd *s, int64_t now)
{
	spd_update(s, now);
	spd_set_usual(s, 1, now);
	return spd_factor(s);
}

/* Guards against a slow endpoint that is recognized only after many answers. */
static void few_samples_are_enough(void)
{
	struct spd s = { .factor = 0 };

	CU_ASSERT_EQUAL(factor_at(&s, 20000), 1);
	sample(&s, 2, 20000, 22000, 700);
	CU_ASSERT_DOUBLE_EQUAL(factor_at(&s, 22000), 2, 0.01);
	CU_ASSERT(spd_is_slow(&s));
	memset(&s, 0, sizeof(s));
	sample(&s, 0.5, 20000, 22000, 700);
	CU_ASSERT_DOUBLE_EQUAL(factor_at(&s, 22000), 0.5, 0.01);
	CU_ASSERT_FALSE(spd_is_slow(&s));
}

/*
 * Guards against a stall that counts as a new speed: all answers of half a
 * second are late, at an endpoint with and without earlier samples.
 */
static void half_a_second_of_noise_changes_nothing(void)
{
	struct spd s = { .factor = 0 }, fresh = s;
	int64_t now, start;

	for (start = 30000; start < 30500; start += 50) {
		memset(&s, 0, sizeof(s));
		memset(&fresh, 0, sizeof(fresh));
		sample(&s, 1.05, 20000, start, 300);
		for (now = start; now < start + 500; now += 5) {
			spd_took(&s, 900, 100, now);
			spd_took(&fresh, 900, 100, now);
			spd_stream_ended(&s, true, now);
			spd_stream_ended(&fresh, true, now);
		}
		for (now = start; now < start + 12000; now += 100) {
			if ((now - start) % 300 == 0 && now >= start + 500)
				spd_took(&s, 105, 100, now);
			CU_ASSERT_EQUAL(factor_at(&s, now), 1);
			CU_ASSERT_EQUAL(s.pause_rate, 0);
			CU_ASSERT_EQUAL(factor_at(&fresh, now), 1);
			CU_ASSERT_EQUAL(fresh.pause_rate, 0);
		}
	}
}

/* Guards against single late answers that shift the factor. */
static void outliers_are_clipped(void)
{
	struct spd s = { .factor = 0 };
	int64_t now;
	int i = 0;

	for (now = 20000; now < 26000; now += 150)
		spd_took(&s, i++ % 10 ? 200 : 1e9, 100, now);
	CU_ASSERT_DOUBLE_EQUAL(factor_at(&s, 26000), 2, 0.2);
}

/* Guards against an endpoint that stays slow since it gets no requests. */
static void expires_without_samples(void)
{
	struct spd s = { .factor = 0 };

	sample(&s, 2, 20000, 26000, 200);
	CU_ASSERT(factor_at(&s, 26500) > 1.9);
	CU_ASSERT(factor_at(&s, 28000) < 1.9);
	CU_ASSERT(factor_at(&s, 29000) > 1);
	CU_ASSERT_EQUAL(factor_at(&s, 25800 + SPD_EXPIRE_MS), 1);
	CU_ASSERT_EQUAL(s.measured, 0);
}

static void recovers_within_seconds(void)
{
	struct spd s = { .factor = 0 };
	int64_t now = 30000;

	sample(&s, 2, 20000, now, 200);
	CU_ASSERT(factor_at(&s, now) > 1.9);
	while (factor_at(&s, now) != 1 && now < 40000) {
		spd_took(&s, 100, 100, now);
		now += 200;
	}
	CU_ASSERT(now <= 34000);
}

/* A tenth of the streams paused, then half of them. */
static void rate_of_pauses(void)
{
	struct spd s = { .factor = 0 };
	int64_t now;
	int i = 0;

	for (now = 20000; now < 30000; now += 50)
		spd_stream_ended(&s, i++ % 10 == 0, now);
	factor_at(&s, 30000);
	CU_ASSERT_EQUAL(s.pause_rate, 0);
	for (; now < 40000; now += 50)
		spd_stream_ended(&s, i++ % 2 == 0, now);
	factor_at(&s, 40000);
	CU_ASSERT(s.pause_rate > 0.2 && s.pause_rate < 0.5);
	factor_at(&s, 50000);
	CU_ASSERT_EQUAL(s.pause_rate, 0);
}

/* ---- Reports ---- */

static struct spd_row row(double factor, double samples, int64_t age)
{
	return (struct spd_row){ factor, 0, samples, age };
}

/* Three entries with a few samples each know more together than each alone. */
static void reports_are_merged(void)
{
	struct spd s = { .factor = 0 };
	struct spd_row r;
	uint64_t entry;

	sample(&s, 2, 20000, 20100, 100);
	CU_ASSERT_EQUAL(factor_at(&s, 22500), 1);
	for (entry = 1; entry <= 3; entry++) {
		r = row(2, 1, (int64_t)entry * 600);
		spd_reported(&s, entry, &r, 22500, 22500);
	}
	CU_ASSERT_DOUBLE_EQUAL(factor_at(&s, 22500), 2, 0.01);
}

/*
 * Guards against samples that are counted again with each datagram: reports of
 * one sample, repeated for seconds, weigh as much as that sample.
 */
static void repeated_reports_count_once(void)
{
	struct spd s = { .factor = 0 };
	struct spd_row r, own;
	int64_t now;

	for (now = 20000; now < 26000; now += 100) {
		r = row(3, 100, now - 20000);
		spd_reported(&s, 7, &r, now, now);
		CU_ASSERT_EQUAL(factor_at(&s, now), 1);
		/* What others reported is not reported again. */
		CU_ASSERT_FALSE(spd_export(&s, &own, now));
	}
}

static void reports_own_measurements(void)
{
	struct spd s = { .factor = 0 };
	struct spd_row out, r;
	uint64_t entry;

	sample(&s, 1, 20000, 22000, 500);
	factor_at(&s, 22000);
	CU_ASSERT_FALSE(spd_export(&s, &out, 22000));
	/* A normal measurement is told if those of others are not. */
	for (entry = 1; entry <= 12; entry++) {
		r = row(2, 4, (int64_t)entry * 500);
		spd_reported(&s, entry, &r, 22500, 22500);
	}
	CU_ASSERT(factor_at(&s, 22500) > 1.2);
	CU_ASSERT_TRUE(spd_export(&s, &out, 22500));
	CU_ASSERT_DOUBLE_EQUAL(out.factor, 1, 0.01);
	CU_ASSERT_EQUAL(out.age_ms, 1000);
	CU_ASSERT(out.samples > 3 && out.samples <= 4);
	CU_ASSERT_FALSE(spd_export(&s, &out, 27000));
}

static bool same(const struct spd *a, const struct spd *b)
{
	return a->measured == b->measured && a->factor == b->factor &&
	       a->pause_rate == b->pause_rate;
}

/* Guards against one entry with wrong figures that misleads all others. */
static void invalid_or_extreme_reports_change_nothing(void)
{
	const double bad[] = { NAN, INFINITY, -INFINITY, 0, -1, 1e300, 1e-300 };
	struct spd s = { .factor = 0 }, before;
	struct spd_row r;
	unsigned i;

	sample(&s, 1, 20000, 26000, 400);
	factor_at(&s, 26000);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		before = s;
		r = row(bad[i], 1e9, 100);
		spd_reported(&s, 5, &r, 26000, 26000);
		r = row(2, bad[i], 100);
		spd_reported(&s, 5, &r, 26000, 26000);
		r = row(2, 5, 100);
		r.pause_rate = bad[i];
		spd_reported(&s, 5, &r, 26000, 26000);
		r = row(2, 5, -5);
		spd_reported(&s, 5, &r, 26000, 26000);
		r = row(2, 5, INT64_MAX);
		spd_reported(&s, 5, &r, 26000, 26000);
		spd_took(&s, bad[i], 100, 25990);
		CU_ASSERT(isfinite(factor_at(&s, 26000)));
		CU_ASSERT_EQUAL(s.factor, 1);
		CU_ASSERT_EQUAL(s.pause_rate, 0);
		if (!isfinite(bad[i]))
			CU_ASSERT(same(&s, &before));
		s = before;
	}
	/* A clock that is ahead: not newer than now. */
	r = row(2, 5, 0);
	spd_reported(&s, 6, &r, 90000, 26000);
	CU_ASSERT_EQUAL(s.newest_ms, 26000);
}

/* More entries report than are kept: the newest ones count. */
static void newest_reports_are_kept(void)
{
	struct spd s = { .factor = 0 };
	struct spd_row r;
	uint64_t entry;

	for (entry = 1; entry <= 80; entry++) {
		r = row(entry > 40 ? 2 : 1, 1, 9000 - (int64_t)entry * 100);
		spd_reported(&s, entry, &r, 30000, 30000);
	}
	CU_ASSERT_DOUBLE_EQUAL(factor_at(&s, 30000), 2, 0.01);
}

/* ---- Many entries ---- */

#define NR_ENTRIES 74
#define ROUND_MS 300
#define SAMPLES_PER_S 5

static struct spd all[NR_ENTRIES];

/* Each entry tells each other what it measured. */
static void exchange(int64_t now)
{
	struct spd_row r;
	unsigned from, to;

	for (from = 0; from < NR_ENTRIES; from++) {
		if (!spd_export(&all[from], &r, now))
			continue;
		for (to = 0; to < NR_ENTRIES; to++) {
			if (to != from)
				spd_reported(&all[to], from + 1, &r, now, now);
		}
	}
}

/*
 * Entries measure an endpoint that takes `ratio` times as long, with times that
 * vary by half. Returns the part of the entries, over some seconds, that take it
 * for slow; `*known_ms`: the time until nine in ten did.
 */
static double part_that_sees_slow(double ratio, uint64_t seed,
				  int64_t *known_ms)
{
	double slow = 0, now_slow;
	struct rnd rnd;
	int64_t now;
	unsigned i;

	memset(all, 0, sizeof(all));
	rnd_seed(&rnd, seed);
	*known_ms = -1;
	for (now = 20000; now < 80000; now++) {
		if (rnd_unit(&rnd) < SAMPLES_PER_S / 1000.0)
			spd_took(&all[rnd_below(&rnd, NR_ENTRIES)],
				 ratio * 100 * (0.5 + rnd_unit(&rnd)), 100,
				 now);
		if (now % ROUND_MS)
			continue;
		exchange(now);
		now_slow = 0;
		for (i = 0; i < NR_ENTRIES; i++)
			now_slow += factor_at(&all[i], now) > SPD_NORMAL;
		now_slow /= NR_ENTRIES;
		slow += now_slow / (60000.0 / ROUND_MS);
		if (*known_ms < 0 && now_slow > 0.9)
			*known_ms = now - 20000;
	}
	return slow;
}

/*
 * Guards against a speed that no entry knows, as each has a sample in ten
 * seconds, and against reports of exceptional times only.
 */
static void many_entries_agree(void)
{
	const unsigned sequences = 6;
	double slow, equal, sum = 0;
	int64_t known, never;
	unsigned i;

	for (i = 0; i < sequences; i++) {
		slow = part_that_sees_slow(2.2, unit_seed(i), &known);
		equal = part_that_sees_slow(1, unit_seed(i), &never);
		printf("  slow: known after %lld ms, by %.3f of entries; "
		       "usual: by %.3f\n",
		       (long long)known, slow, equal);
		CU_ASSERT(known >= 0 && known < 5000);
		CU_ASSERT(slow > 0.8);
		sum += equal;
	}
	CU_ASSERT(sum / sequences < 0.01);
}

/* ---- The service ---- */

/* All endpoints became slower: the model has to learn it, not the factors. */
static void factor_is_relative_to_the_usual(void)
{
	double measured[] = { 2, 0, 2, 2, 4 }, none[1];
	struct spd s = { .factor = 0 };
	double usual = spd_usual(measured, 5);

	CU_ASSERT_EQUAL(usual, 2);
	CU_ASSERT_EQUAL(spd_usual(none, 0), 1);
	sample(&s, 2, 20000, 24000, 200);
	spd_update(&s, 24000);
	spd_set_usual(&s, usual, 24000);
	CU_ASSERT_EQUAL(s.factor, 1);
	spd_set_usual(&s, 1, 24000);
	CU_ASSERT_DOUBLE_EQUAL(s.factor, 2, 0.01);
}

static void logs_considerable_changes(void)
{
	struct spd s = { .factor = 1.2 };

	CU_ASSERT_FALSE(spd_should_log(&s));
	s.factor = 1.3;
	CU_ASSERT_TRUE(spd_should_log(&s));
	CU_ASSERT_FALSE(spd_should_log(&s));
	s.factor = 0;
	CU_ASSERT_TRUE(spd_should_log(&s));
}

static const struct unit_test tests[] = {
	{ "few samples are enough", few_samples_are_enough },
	{ "half a second of noise changes nothing",
	  half_a_second_of_noise_changes_nothing },
	{ "outliers are clipped", outliers_are_clipped },
	{ "expires without samples", expires_without_samples },
	{ "recovers within seconds", recovers_within_seconds },
	{ "rate of pauses", rate_of_pauses },
	{ "reports are merged", reports_are_merged },
	{ "repeated reports count once", repeated_reports_count_once },
	{ "reports own measurements", reports_own_measurements },
	{ "invalid or extreme reports change nothing",
	  invalid_or_extreme_reports_change_nothing },
	{ "newest reports are kept", newest_reports_are_kept },
	{ "many entries agree", many_entries_agree },
	{ "factor is relative to the usual", factor_is_relative_to_the_usual },
	{ "logs considerable changes", logs_considerable_changes },
};

UNIT_MAIN("speed", tests)
