/* Handing a stream on: every order of the two ends. */
#include <string.h>

#include "stream/hand.h"
#include "support/unit.h"

/* What happens to the stream of the first endpoint. */
enum stream {
	GOES_ON,
	BREAKS,
	ENDS,
	STREAMS
};

static enum hand_step end_stream(struct hand *h, enum stream s)
{
	if (s == BREAKS)
		return hand_on_stream_broken(h);
	if (s == ENDS)
		return hand_on_stream_closed(h);
	return HAND_NO_CHANGE;
}

/*
 * Symptom: the caller got events twice, or a stream that we had stopped was
 * told to be lost. Sequence: the stream closed before the call's answer, or
 * after it. Cause: one of the two ends was taken for both.
 */
static void both_ends_are_waited_for(void)
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

/* A refusal leaves the stream as it would have been without the call. */
static void refused_call_changes_nothing(void)
{
	static const enum hand_step want[STREAMS] = { HAND_NO_CHANGE, HAND_LOST,
						      HAND_DONE };
	struct hand h;
	int s;

	for (s = 0; s < STREAMS; s++) {
		memset(&h, 0, sizeof(h));
		hand_on_requested(&h);
		CU_ASSERT_EQUAL(hand_on_refused(&h), HAND_NO_CHANGE);
		CU_ASSERT_EQUAL(end_stream(&h, (enum stream)s), want[s]);

		memset(&h, 0, sizeof(h));
		hand_on_requested(&h);
		end_stream(&h, (enum stream)s);
		CU_ASSERT_EQUAL(hand_on_refused(&h), want[s]);
	}
}

/*
 * Symptom: a stream was told whole that had been stopped half-way. Sequence:
 * an endpoint that states no length was asked to stop, and closed. Cause: the
 * close of a stopped run looks like the end of a whole one.
 */
static void stopped_run_is_not_taken_for_whole(void)
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

static void without_a_call_streams_end_as_ever(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_event(&h, 3), HAND_NO_CHANGE);
	CU_ASSERT_EQUAL(hand_on_stream_broken(&h), HAND_LOST);
	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_stream_closed(&h), HAND_DONE);
}

static const struct unit_test tests[] = {
	{ "both ends are waited for", both_ends_are_waited_for },
	{ "a refused call changes nothing", refused_call_changes_nothing },
	{ "a stopped run is not taken for whole",
	  stopped_run_is_not_taken_for_whole },
	{ "without a call streams end as ever",
	  without_a_call_streams_end_as_ever },
};

UNIT_MAIN("hand", tests)
