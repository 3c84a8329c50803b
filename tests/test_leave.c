/* Tests which requests an entry sends while it shuts down (leave). */
#include "request/leave.h"
#include "support/unit.h"

/* Guards against requests that are sent although the process ends before them. */
static void request_is_sent_only_if_its_answer_can_end(void)
{
	static const struct {
		const char *name;
		struct leave_query q;
		bool sent;
	} cases[] = {
		{ "ends in time",
		  { 1000, 6600, 9000, 0, 5000, false, false },
		  true },
		{ "ends just in time",
		  { 1000, 5000, 9000, 0, 5000, false, false },
		  true },
		{ "ends too late",
		  { 1000, 4999, 9000, 0, 5000, false, false },
		  false },
		{ "a stall would make it too late",
		  { 1000, 6600, 9000, 1700, 5000, false, false },
		  false },
		{ "in time even with a stall",
		  { 1000, 6600, 9000, 1600, 5000, false, false },
		  true },
		{ "its deadline ends first",
		  { 1000, 6600, 6600, 900, 9000, false, false },
		  true },
		{ "its deadline ends later",
		  { 1000, 6600, 6601, 0, 9000, false, false },
		  false },
		{ "unknown, soon after the signal",
		  { 2999, 4601, 9000, 0, -1, false, true },
		  true },
		{ "unknown, waited too long",
		  { 3000, 4600, 9000, 0, -1, false, true },
		  false },
		{ "unknown, short grace period over",
		  { 2000, 0, 9000, 0, -1, false, true },
		  false },
		{ "unknown, its deadline ends first",
		  { 5000, 2600, 900, 0, -1, false, false },
		  true },
		{ "unknown, must not be repeated",
		  { 0, 7600, 7601, 0, -1, false, false },
		  false },
		{ "endpoint is overdue, must not be repeated",
		  { 1000, 6600, 9000, 0, 100, true, false },
		  false },
		{ "endpoint is overdue, repeatable",
		  { 1000, 6600, 9000, 0, 100, true, true },
		  true },
		{ "endpoint is overdue, its deadline ends first",
		  { 1000, 6600, 6600, 0, 100, true, false },
		  true },
		{ "short, after a wait",
		  { 7000, 600, 9000, 0, 100, false, false },
		  true },
		{ "grace period over",
		  { 8000, -400, 9000, 0, 0, false, false },
		  false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (leave_may_send(&cases[i].q) != cases[i].sent) {
			CU_FAIL(cases[i].name);
		} else {
			CU_PASS(cases[i].name);
		}
	}
}

static void expectation_needs_several_answers(void)
{
	struct leave_times t = { 0 };

	CU_ASSERT(leave_expect(&t, 0) < 0);
	leave_learn(&t, 0, 4000);
	leave_learn(&t, 0, 4000);
	CU_ASSERT(leave_expect(&t, 0) < 0);
	leave_learn(&t, 0, 4000);
	CU_ASSERT_DOUBLE_EQUAL(leave_expect(&t, 0), 4000, 1);
}

/* Guards against a long answer that is taken for one of mean length. */
static void expectation_grows_with_output_tokens(void)
{
	struct leave_times t = { 0 };
	int i;

	for (i = 0; i < 40; i++)
		leave_learn(&t, 100 + 10 * (i % 3),
			    10.0 * (100 + 10 * (i % 3)));
	CU_ASSERT_DOUBLE_EQUAL(leave_expect(&t, 400), 4000, 200);
	CU_ASSERT_DOUBLE_EQUAL(leave_expect(&t, 50), 500, 25);
	/* Not given: as the mean. */
	CU_ASSERT_DOUBLE_EQUAL(leave_expect(&t, 0), 1100, 60);
}

static void uneven_answers_are_expected_longer(void)
{
	struct leave_times t = { 0 };
	int i;

	for (i = 0; i < 60; i++)
		leave_learn(&t, 0, i % 2 ? 1000 : 3000);
	CU_ASSERT(leave_expect(&t, 0) > 2500);
	CU_ASSERT(leave_expect(&t, 0) < 4000);
}

static void senseless_samples_are_ignored(void)
{
	struct leave_times t = { 0 };

	leave_learn(&t, 0, -1);
	leave_learn(&t, -1, 5);
	leave_learn(&t, 0, 1.0 / 0.0);
	leave_learn(&t, 0.0 / 0.0, 5);
	CU_ASSERT_EQUAL(t.samples, 0);
}

static const struct unit_test tests[] = {
	{ "a request is sent only if its answer can end",
	  request_is_sent_only_if_its_answer_can_end },
	{ "the expectation needs several answers",
	  expectation_needs_several_answers },
	{ "the expectation grows with output tokens",
	  expectation_grows_with_output_tokens },
	{ "uneven answers are expected longer",
	  uneven_answers_are_expected_longer },
	{ "senseless samples are ignored", senseless_samples_are_ignored },
};

UNIT_MAIN("leave", tests)
