/* Tests of the splitting of event streams into whole events. */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "stream/evs.h"
#include "support/unit.h"

static void make_stream(struct buf *out, int from, int events, bool crlf)
{
	const char *nl = crlf ? "\r\n" : "\n";
	int i;

	for (i = from; i < from + events; i++)
		buf_fmt(out, "id: %d%sdata: piece %d of some length%s%s", i, nl,
			i * 7, nl, nl);
}

static void any_split_gives_whole_events(void)
{
	struct rnd rnd;
	int round;

	rnd_seed(&rnd, 11);
	for (round = 0; round < 400; round++) {
		BUF_AUTO all = BUF_INIT;
		BUF_AUTO out = BUF_INIT;
		struct evs s;
		size_t at = 0, n;

		evs_init(&s);
		make_stream(&all, 1, 12, round % 2);
		while (at < all.len) {
			n = 1 + rnd_below(&rnd, 40);
			if (n > all.len - at)
				n = all.len - at;
			evs_feed(&s, all.data + at, n, -1, &out);
			at += n;
			/* The output always ends with a whole event. */
			if (out.len)
				CU_ASSERT_EQUAL(out.data[out.len - 1], '\n');
		}
		CU_ASSERT_EQUAL(s.events, 12);
		CU_ASSERT_EQUAL(s.last_id, 12);
		CU_ASSERT_FALSE(evs_has_partial(&s));
		CU_ASSERT_EQUAL(out.len, all.len);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&out), buf_cstr(&all));
		evs_free(&s);
	}
}

/*
 * An incomplete event must not be passed on. An endpoint crashed within an
 * event, and the stream was resumed at another one: the client got half a
 * sentence twice.
 */
static void partial_event_is_not_passed_on(void)
{
	BUF_AUTO out = BUF_INIT;
	BUF_AUTO first = BUF_INIT;
	BUF_AUTO second = BUF_INIT;
	BUF_AUTO want = BUF_INIT;
	struct evs s;

	evs_init(&s);
	make_stream(&first, 1, 4, false);
	evs_feed(&s, first.data, first.len - 9, -1, &out);
	CU_ASSERT_EQUAL(s.last_id, 3);
	CU_ASSERT(evs_has_partial(&s));
	evs_drop_partial(&s);
	make_stream(&second, 4, 3, false);
	evs_feed(&s, second.data, second.len, s.last_id, &out);
	make_stream(&want, 1, 6, false);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&out), buf_cstr(&want));
	CU_ASSERT(s.ordered);
	evs_free(&s);
}

/* An endpoint that starts before the requested event repeats some. */
static void repeated_events_are_skipped(void)
{
	BUF_AUTO out = BUF_INIT;
	BUF_AUTO again = BUF_INIT;
	struct evs s;

	evs_init(&s);
	make_stream(&again, 1, 6, false);
	s.last_id = 4;
	CU_ASSERT_EQUAL(evs_feed(&s, again.data, again.len, 4, &out), 2);
	CU_ASSERT_EQUAL(s.last_id, 6);
	CU_ASSERT_PTR_NULL(strstr(buf_cstr(&out), "id: 4"));
	evs_free(&s);
}

static void oversized_event_is_detected(void)
{
	BUF_AUTO out = BUF_INIT;
	char line[1024];
	struct evs s;
	int i;

	evs_init(&s);
	memset(line, 'x', sizeof(line));
	for (i = 0; i <= EVS_MAX_EVENT_BYTES / 1024; i++)
		evs_feed(&s, line, sizeof(line), -1, &out);
	CU_ASSERT(s.too_large);
	CU_ASSERT_EQUAL(out.len, 0);
	evs_free(&s);
}

static const struct unit_test tests[] = {
	{ "any split gives whole events", any_split_gives_whole_events },
	{ "a partial event is not passed on", partial_event_is_not_passed_on },
	{ "repeated events are skipped", repeated_events_are_skipped },
	{ "an oversized event is detected", oversized_event_is_detected },
};

UNIT_MAIN("evs", tests)
