/*
 * Tests of the hand-over, each order of stream end and call answer, and of what
 * proves that an answer is whole.
 */
#include <string.h>

#include "stream/hand.h"
#include "stream/whole.h"
#include "support/unit.h"

/* What happens to the stream of the source endpoint. */
enum stream {
	STREAM_CONTINUES,
	STREAM_BREAKS,
	STREAM_CLOSES,
	STREAM_CASES
};

static enum hand_step end_stream(struct hand *h, enum stream s)
{
	if (s == STREAM_BREAKS)
		return hand_on_stream_broken(h);
	if (s == STREAM_CLOSES)
		return hand_on_stream_closed(h);
	return HAND_NO_CHANGE;
}

/*
 * The hand-over waits for both the stream's end and the call's answer, in
 * either order. When one of them was taken for both, the client got events
 * twice, or a stream that we had stopped was reported as lost.
 */
static void waits_for_stream_end_and_answer(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	CU_ASSERT_EQUAL(hand_on_stream_broken(&h), HAND_WAIT);
	CU_ASSERT_EQUAL(hand_on_granted(&h, 12, 9), HAND_CONTINUE);

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	CU_ASSERT_EQUAL(hand_on_granted(&h, 12, 9), HAND_WAIT);
	CU_ASSERT_EQUAL(hand_on_event(&h, 11), HAND_WAIT);
	CU_ASSERT_EQUAL(hand_on_event(&h, 12), HAND_CONTINUE);

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	CU_ASSERT_EQUAL(hand_on_granted(&h, 12, 9), HAND_WAIT);
	CU_ASSERT_EQUAL(hand_on_stream_broken(&h), HAND_CONTINUE);

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	CU_ASSERT_EQUAL(hand_on_granted(&h, 12, 12), HAND_CONTINUE);
}

/* After a refusal the stream proceeds as without the call. */
static void refused_call_changes_nothing(void)
{
	static const enum hand_step want[STREAM_CASES] = { HAND_NO_CHANGE,
							   HAND_LOST,
							   HAND_ENDED };
	struct hand h;
	int s;

	for (s = 0; s < STREAM_CASES; s++) {
		memset(&h, 0, sizeof(h));
		hand_on_requested(&h);
		CU_ASSERT_EQUAL(hand_on_refused(&h, false), HAND_NO_CHANGE);
		CU_ASSERT_EQUAL(end_stream(&h, (enum stream)s), want[s]);

		memset(&h, 0, sizeof(h));
		hand_on_requested(&h);
		end_stream(&h, (enum stream)s);
		CU_ASSERT_EQUAL(hand_on_refused(&h, false), want[s]);
	}
}

/*
 * A stopped run must not be taken for a complete one. Without a stated length,
 * the close of a stopped run looks like the end of a complete one, and a stream
 * that was stopped half-way was reported as complete.
 */
static void stopped_run_is_not_complete(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	CU_ASSERT_EQUAL(hand_on_stream_closed(&h), HAND_WAIT);
	CU_ASSERT_EQUAL(hand_on_granted(&h, 5, 5), HAND_CONTINUE);

	memset(&h, 0, sizeof(h));
	hand_on_requested(&h);
	hand_on_granted(&h, 9, 5);
	CU_ASSERT_EQUAL(hand_on_stream_closed(&h), HAND_CONTINUE);
}

/* Guards against a run that was stopped for a refused copy, taken for complete. */
static void refused_call_may_have_stopped_the_run(void)
{
	struct hand h;
	int s, stopped;

	for (stopped = 0; stopped < 2; stopped++) {
		for (s = 0; s < STREAM_CASES; s++) {
			memset(&h, 0, sizeof(h));
			CU_ASSERT_FALSE(hand_may_have_stopped(&h));
			hand_on_requested(&h);
			CU_ASSERT(hand_may_have_stopped(&h));
			end_stream(&h, (enum stream)s);
			hand_on_refused(&h, stopped);
			CU_ASSERT_EQUAL(hand_may_have_stopped(&h), stopped);

			/* The stream may also end after the refusal. */
			memset(&h, 0, sizeof(h));
			hand_on_requested(&h);
			hand_on_refused(&h, stopped);
			end_stream(&h, (enum stream)s);
			CU_ASSERT_EQUAL(hand_may_have_stopped(&h), stopped);
		}
	}
}

/* Guards against a run stopped by a call for a copy, taken for complete. */
static void events_after_a_copy_show_that_the_run_goes_on(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	CU_ASSERT_FALSE(hand_may_have_stopped_early(&h, 1000));
	hand_on_copy_requested(&h);
	CU_ASSERT(hand_may_have_stopped_early(&h, 1000));
	CU_ASSERT(hand_may_have_stopped_early(&h, 90000));
	hand_on_copy_ended(&h, 2000);
	CU_ASSERT(hand_may_have_stopped_early(&h, 1000));
	CU_ASSERT(hand_may_have_stopped_early(&h, 2100));
	CU_ASSERT_FALSE(hand_may_have_stopped_early(&h, 2600));
	/* Each call may stop the run. */
	hand_on_copy_requested(&h);
	CU_ASSERT(hand_may_have_stopped_early(&h, 2600));
	hand_on_copy_ended(&h, 3000);
	hand_on_requested(&h);
	hand_on_copy_ended(&h, 4000);
	hand_on_refused(&h, false);
	CU_ASSERT_FALSE(hand_may_have_stopped(&h));
	CU_ASSERT(hand_may_have_stopped_early(&h, 4100));
	CU_ASSERT_FALSE(hand_may_have_stopped_early(&h, 4600));
}

/* Guards against a close that is taken for the end of an answer. */
static void only_a_proven_answer_is_whole(void)
{
	static const struct {
		struct whole_facts facts;
		enum whole_verdict want;
	} rows[] = {
		/* A length or a last chunk proves it, whatever happened. */
		{ { .framed = true }, WHOLE_COMPLETE },
		{ { .framed = true, .stopped = true }, WHOLE_COMPLETE },
		{ { .framed = true, .process = WHOLE_PROCESS_OTHER },
		  WHOLE_COMPLETE },
		{ { .framed = true, .partial_event = true }, WHOLE_CUT_OFF },
		/* A close does not. */
		{ { .framed = false }, WHOLE_UNVERIFIED },
		{ { .process = WHOLE_PROCESS_SAME }, WHOLE_COMPLETE },
		{ { .process = WHOLE_PROCESS_OTHER }, WHOLE_CUT_OFF },
		{ { .partial_event = true, .process = WHOLE_PROCESS_SAME },
		  WHOLE_CUT_OFF },
		{ { .framed = true, .early_success = true }, WHOLE_COMPLETE },
		{ { .early_success = true, .process = WHOLE_PROCESS_SAME },
		  WHOLE_CUT_OFF },
		{ { .stopped = true }, WHOLE_CUT_OFF },
		{ { .stopped = true, .process = WHOLE_PROCESS_SAME },
		  WHOLE_CUT_OFF },
		{ { .stopped = true, .process = WHOLE_PROCESS_OTHER },
		  WHOLE_CUT_OFF },
		/* A suspected stop counts where the rest can be had. */
		{ { .stopped_early = true,
		    .resumable = true,
		    .process = WHOLE_PROCESS_SAME },
		  WHOLE_CUT_OFF },
		{ { .stopped_early = true, .process = WHOLE_PROCESS_SAME },
		  WHOLE_COMPLETE },
		{ { .resumable = true, .process = WHOLE_PROCESS_SAME },
		  WHOLE_COMPLETE },
		{ { .framed = true, .stopped_early = true, .resumable = true },
		  WHOLE_COMPLETE },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CU_ASSERT_EQUAL(whole_judge(&rows[i].facts), rows[i].want);
}

/* Guards against the half of an answer that passes as whole after a crash. */
static void registrations_before_a_start_prove_nothing(void)
{
	static const struct {
		int64_t connected_ms, store_back_ms, as_of_ms;
		bool want;
	} rows[] = {
		{ 5000, 0, 4000, false }, /* older than the process may be */
		{ 5000, 0, 5050, false }, /* it may not be registered yet */
		{ 5000, 0, 5200, true },
		/* Started while the store was away, it registers later. */
		{ 5000, 6000, 6100, false },
		{ 5000, 6000, 8100, false },
		{ 5000, 6000, 8300, true },
		{ 5000, 4000, 5200, false },
		{ 5000, 4000, 6300, true },
		{ 5000, 1000, 5200, true }, /* an outage long before */
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CU_ASSERT_EQUAL(whole_is_registered(rows[i].connected_ms,
						    rows[i].store_back_ms,
						    rows[i].as_of_ms),
				rows[i].want);
}

/*
 * A list that had been in the socket during a stall counted as made when it was read, so
 * as newer than a process that had started meanwhile: the half of an answer of its
 * predecessor would have been passed on as whole.
 */
static void lists_read_after_a_stall_are_older(void)
{
	static const struct {
		struct whole_reading at;
		int64_t want;
	} rows[] = {
		{ { 5000, 5800, 0, 0 }, 5800 },
		{ { 5000, 5800, 1000, 4000 }, 5800 }, /* asked after it */
		{ { 5000, 8010, 5100, 8000 }, 5100 },
		{ { 5000, 8299, 5100, 8000 }, 5100 },
		{ { 5000, 8300, 5100, 8000 }, 8300 },
		{ { 8005, 8020, 5100, 8000 }, 8005 },
	};
	const int64_t connected_ms = 5200;
	int64_t as_of;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CU_ASSERT_EQUAL(whole_as_of(&rows[i].at), rows[i].want);
	/* Connected within the stall, before which the list was made. */
	as_of = whole_as_of(&rows[2].at);
	CU_ASSERT_FALSE(whole_is_registered(connected_ms, 0, as_of));
}

static void suspended_process_does_not_wait(void)
{
	static const struct {
		int64_t connected_ms, stalled_ms, now_ms;
		bool want;
	} rows[] = {
		{ 5000, 0, 7000, false },    { 5000, 0, 7100, true },
		{ 5000, 1000, 7100, true }, /* before the wait */
		{ 5000, 7900, 7902, false }, { 5000, 7900, 9950, true },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		CU_ASSERT_EQUAL(whole_has_waited(rows[i].connected_ms,
						 rows[i].stalled_ms,
						 rows[i].now_ms),
				rows[i].want);
}

static void without_a_call_streams_end_normally(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_event(&h, 3), HAND_NO_CHANGE);
	CU_ASSERT_EQUAL(hand_on_stream_broken(&h), HAND_LOST);
	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_stream_closed(&h), HAND_ENDED);
}

static const struct unit_test tests[] = {
	{ "waits for stream end and answer", waits_for_stream_end_and_answer },
	{ "a refused call changes nothing", refused_call_changes_nothing },
	{ "a stopped run is not complete", stopped_run_is_not_complete },
	{ "a refused call may have stopped the run",
	  refused_call_may_have_stopped_the_run },
	{ "events after a copy show that the run goes on",
	  events_after_a_copy_show_that_the_run_goes_on },
	{ "only a proven answer is whole", only_a_proven_answer_is_whole },
	{ "registrations before a start prove nothing",
	  registrations_before_a_start_prove_nothing },
	{ "lists read after a stall are older",
	  lists_read_after_a_stall_are_older },
	{ "a suspended process does not wait",
	  suspended_process_does_not_wait },
	{ "without a call streams end normally",
	  without_a_call_streams_end_normally },
};

UNIT_MAIN("hand", tests)
