/* Tests of losses.h on log lines as entries write them. */
#include <stdbool.h>
#include <string.h>

#include "edge/losses.h"
#include "support/unit.h"

#define AT(second, event, rest)                                              \
	"{\"time\":\"2026-01-11T12:26:" second ".100Z\",\"level\":\"info\"," \
	"\"instance\":\"edge-1\",\"event\":\"" event "\"," rest "}"
#define SEND(second, id, endpoint)                                        \
	AT(second, "send",                                                \
	   "\"id\":\"" id "\",\"route\":\"ask\",\"endpoint\":\"" endpoint \
	   "\"")
#define PASSED(second, id, first, took, pause)                              \
	AT(second, "passed",                                                \
	   "\"id\":\"" id                                                   \
	   "\",\"route\":\"ask\",\"status\":200,\"first_ms\":" first        \
	   ",\"took_ms\":" took ",\"objective_ms\":500,\"pause_ms\":" pause \
	   ",\"pause_bound_ms\":400")

static const char *const lines[] = {
	SEND("01", "a", "i-1"),
	"collector | " PASSED("01", "a", "90", "900", "399"),
	SEND("01", "b", "i-1"),
	PASSED("02", "b", "501", "900", "20"),
	SEND("01", "c", "i-2"),
	PASSED("02", "c", "90", "900", "401"),
	SEND("01", "d", "i-2"),
	PASSED("02", "d", "-1", "600", "0"), /* not a stream */
	SEND("02", "e", "i-2"),
	SEND("02", "e", "i-1"),
	AT("03", "answer", "\"id\":\"e\",\"status\":502,\"why\":\"broke\""),
	AT("03", "answer",
	   "\"id\":\"f\",\"status\":429,\"why\":\"account over its limit\","
	   "\"route\":\"ask\""),
	AT("03", "answer",
	   "\"id\":\"g\",\"status\":404,\"why\":\"no route\",\"route\":\"\""),
	SEND("04", "h", "i-1"), /* its entry exited */
	SEND("04", "i", "i-1"),
	AT("05", "cut", "\"id\":\"i\",\"why\":\"broke\""),
	SEND("04", "j", "i-1"),
	AT("05", "caller_gone", "\"id\":\"j\""),
	AT("05", "endpoint", "\"endpoint\":\"i-1\",\"change\":\"draining\""),
	"not a line of ours",
	"",
};

static void report(struct buf *out)
{
	struct losses *l = losses_create();
	size_t i;

	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		losses_line(l, lines[i]);
	CU_ASSERT_EQUAL(losses_unparsed(l), 1);
	CU_ASSERT_EQUAL(losses_report(l, out), 10);
	losses_free(l);
}

static bool has(const struct buf *out, const char *text)
{
	return strstr(buf_cstr(out), text) != NULL;
}

static void requests_are_counted_once(void)
{
	BUF_AUTO out = BUF_INIT;

	report(&out);
	/* a; b, c, d late; f refused; e failed; i cut; h no end; j left. */
	CU_ASSERT(has(&out, "ask                              9       1     "
			    "3        1       1    1                     1  "
			    "     0               1\n"));
	CU_ASSERT(has(&out, "(none)                           1       0"));
}

static void reasons_name_the_worst_endpoint(void)
{
	BUF_AUTO out = BUF_INIT;

	report(&out);
	CU_ASSERT(has(&out, "        1  late: first event "));
	CU_ASSERT(has(&out, "        1  late: pause "));
	CU_ASSERT(has(&out, "        1  late: answer "));
	CU_ASSERT(has(&out, "        1  refused: account over its limit "));
	CU_ASSERT(has(&out, "        1  ended with its entry "));
	CU_ASSERT(has(&out, " i-1 (1)\n"));
	CU_ASSERT_FALSE(has(&out, "no route"));
	CU_ASSERT_FALSE(has(&out, "left by caller:"));
}

static void seconds_are_ranked(void)
{
	BUF_AUTO out = BUF_INIT;
	const char *worst, *next;

	report(&out);
	worst = strstr(out.data, "        3  of 3         2026-01-11T12:26:02");
	next = strstr(out.data, "        2  of 3         2026-01-11T12:26:03");
	CU_ASSERT(worst && next && worst < next);
	CU_ASSERT_FALSE(has(&out, "2026-01-11T12:26:01\n"));
}

static void report_of_no_lines(void)
{
	struct losses *l = losses_create();
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT_EQUAL(losses_report(l, &out), 0);
	losses_free(l);
}

static const struct unit_test tests[] = {
	{ "requests are counted once", requests_are_counted_once },
	{ "reasons name the worst endpoint", reasons_name_the_worst_endpoint },
	{ "seconds are ranked", seconds_are_ranked },
	{ "a report of no lines", report_of_no_lines },
};

UNIT_MAIN("losses", tests)
