/* Tests whether an entry counts as cut off from all endpoints (reach). */
#include <string.h>

#include "base/rnd.h"
#include "route/reach.h"
#include "support/unit.h"

/* A check whose probes all end in the same way. */
static enum reach_change check(struct reach *r, bool connected, int64_t now)
{
	enum reach_change change = REACH_UNCHANGED;
	enum reach_step step;
	unsigned i;

	reach_check_begun(r, REACH_PROBES, false, now);
	for (i = 0; i < REACH_PROBES; i++)
		change = reach_probed(r, connected, true, now, &step);
	CU_ASSERT_EQUAL(step, REACH_NOTHING);
	return change;
}

/* Guards against an entry that relays all since one endpoint has exited. */
static void one_reached_endpoint_speaks_against_a_cut(void)
{
	struct reach r = { 0 };
	enum reach_step step;

	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_UNREACHED, 1, 1000),
			REACH_CHECK);
	reach_check_begun(&r, 3, false, 1000);
	/* One check at a time. */
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_UNREACHED, 2, 1010),
			REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_probed(&r, false, true, 1250, &step),
			REACH_UNCHANGED);
	CU_ASSERT_EQUAL(reach_probed(&r, true, true, 1250, &step),
			REACH_UNCHANGED);
	CU_ASSERT_EQUAL(reach_probed(&r, false, true, 1250, &step),
			REACH_UNCHANGED);
	CU_ASSERT_FALSE(r.cut_off);
}

static void connections_of_one_endpoint_are_lost_as_it_exits(void)
{
	struct reach r = { 0 };

	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_LOST_CONNECTION, 1, 1000),
			REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_LOST_CONNECTION, 1, 1001),
			REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_LOST_CONNECTION, 2, 5000),
			REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_LOST_CONNECTION, 1, 5001),
			REACH_CHECK);
}

/* Guards against a cut that is found out only when the connections time out. */
static void silence_is_tried_with_one_probe_first(void)
{
	struct reach r = { 0 };
	enum reach_step step;

	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_SILENCE, 1, 1000), REACH_TRY);
	reach_check_begun(&r, 1, true, 1000);
	CU_ASSERT_EQUAL(reach_probed(&r, true, true, 1001, &step),
			REACH_UNCHANGED);
	CU_ASSERT_EQUAL(step, REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_SILENCE, 1, 1500),
			REACH_NOTHING);
	CU_ASSERT_EQUAL(reach_suspect(&r, REACH_SILENCE, 1, 3100), REACH_TRY);
	reach_check_begun(&r, 1, true, 3100);
	CU_ASSERT_EQUAL(reach_probed(&r, false, true, 3350, &step),
			REACH_UNCHANGED);
	CU_ASSERT_EQUAL(step, REACH_CHECK);
	CU_ASSERT_FALSE(r.cut_off);
	CU_ASSERT_EQUAL(check(&r, false, 3350), REACH_CUT_OFF);
}

static void cut_ends_after_good_checks_in_a_row(void)
{
	struct reach r = { 0 };

	CU_ASSERT_EQUAL(check(&r, false, 1000), REACH_CUT_OFF);
	CU_ASSERT_FALSE(reach_check_due(&r, 1400));
	CU_ASSERT(reach_check_due(&r, 1500));
	CU_ASSERT_EQUAL(check(&r, true, 1500), REACH_UNCHANGED);
	CU_ASSERT_EQUAL(check(&r, false, 2000), REACH_UNCHANGED);
	CU_ASSERT_EQUAL(check(&r, true, 2500), REACH_UNCHANGED);
	CU_ASSERT_EQUAL(check(&r, true, 3000), REACH_UNCHANGED);
	CU_ASSERT_EQUAL(check(&r, true, 3500), REACH_BACK);
	CU_ASSERT_FALSE(reach_check_due(&r, 9000));
}

/* Without a relay nothing is gained by waiting. */
static void cut_without_relays_ends_with_the_first_good_check(void)
{
	struct reach r = { 0 };
	enum reach_step step;

	CU_ASSERT_EQUAL(check(&r, false, 1000), REACH_CUT_OFF);
	reach_check_begun(&r, 1, false, 1500);
	CU_ASSERT_EQUAL(reach_probed(&r, true, false, 1501, &step), REACH_BACK);
}

/*
 * Guards against an entry that follows a cut which comes and goes each second,
 * and loses requests each time. Seeded schedules: links that hold for less than
 * a second between cuts for 30 s change the way at most six times.
 */
static void cut_that_comes_and_goes_does_not_flap(void)
{
	const unsigned long schedules = unit_seeds(2000);
	unsigned long n, bad = 0;

	for (n = 0; n < schedules; n++) {
		struct reach r = { 0 };
		struct rnd rnd;
		int64_t now = 1000, turn = 1000;
		unsigned changes = 0;
		bool up = true;

		rnd_seed(&rnd, unit_seed(n));
		for (; now < 31000; now += 50) {
			if (now >= turn) {
				up = !up;
				turn = now + 200 + rnd_below(&rnd, 700);
			}
			if (reach_check_due(&r, now) ||
			    (!up && reach_suspect(&r, REACH_UNREACHED, 1,
						  now) == REACH_CHECK))
				changes += check(&r, up, now) !=
					   REACH_UNCHANGED;
		}
		bad += changes > 6;
	}
	CU_ASSERT_EQUAL(bad, 0);
	unit_report("cuts that come and go", schedules, bad);
}

static const struct unit_test tests[] = {
	{ "one reached endpoint speaks against a cut",
	  one_reached_endpoint_speaks_against_a_cut },
	{ "connections of one endpoint are lost as it exits",
	  connections_of_one_endpoint_are_lost_as_it_exits },
	{ "silence is tried with one probe first",
	  silence_is_tried_with_one_probe_first },
	{ "a cut ends after good checks in a row",
	  cut_ends_after_good_checks_in_a_row },
	{ "a cut without relays ends with the first good check",
	  cut_without_relays_ends_with_the_first_good_check },
	{ "a cut that comes and goes does not flap",
	  cut_that_comes_and_goes_does_not_flap },
};

UNIT_MAIN("reach", tests)
