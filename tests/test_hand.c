/* Tests of the hand-over: each order of stream end and call answer. */
#include <string.h>

#include "stream/hand.h"
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
							   HAND_DONE };
	struct hand h;
	int s;

	for (s = 0; s < STREAM_CASES; s++) {
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

static void without_a_call_streams_end_normally(void)
{
	struct hand h;

	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_event(&h, 3), HAND_NO_CHANGE);
	CU_ASSERT_EQUAL(hand_on_stream_broken(&h), HAND_LOST);
	memset(&h, 0, sizeof(h));
	CU_ASSERT_EQUAL(hand_on_stream_closed(&h), HAND_DONE);
}

static const struct unit_test tests[] = {
	{ "waits for stream end and answer", waits_for_stream_end_and_answer },
	{ "a refused call changes nothing", refused_call_changes_nothing },
	{ "a stopped run is not complete", stopped_run_is_not_complete },
	{ "without a call streams end normally",
	  without_a_call_streams_end_normally },
};

UNIT_MAIN("hand", tests)
