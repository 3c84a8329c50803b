/* Tests of explain.h on log lines as entries write them. */
#include <stdio.h>
#include <string.h>

#include "edge/explain.h"
#include "support/unit.h"

#define AT(ms, instance, event, rest)                                   \
	"{\"time\":\"2026-01-11T12:26:50." ms "Z\",\"level\":\"info\"," \
	"\"instance\":\"" instance "\",\"event\":\"" event "\"," rest "}"

static const char *const lines[] = {
	/* Out of order and partly with a prefix, as from a log collector. */
	"edge-2 | " AT("900", "edge-2", "cut",
		       "\"id\":\"r2\",\"why\":\"endpoint broke off\","
		       "\"events\":7,\"held_ms\":800"),
	AT("100", "edge-2", "send", "\"id\":\"r2\",\"endpoint\":\"i-7\""),
	AT("850", "edge-2", "endpoint",
	   "\"endpoint\":\"i-7\",\"change\":\"draining\""),
	AT("890", "edge-2", "send_ended",
	   "\"id\":\"r2\",\"endpoint\":\"i-7\",\"outcome\":\"endpoint broke "
	   "off\",\"status\":200"),
	AT("300", "edge-1", "store_away", "\"why\":\"unknown\""),
	AT("400", "edge-1", "answer",
	   "\"id\":\"r1\",\"status\":503,\"why\":\"keys not confirmed\","
	   "\"config_age_ms\":5100"),
	AT("450", "edge-3", "store_back", "\"why\":\"ok\""),
	AT("500", "edge-1", "send_ended",
	   "\"id\":\"r3\",\"endpoint\":\"i-9\",\"outcome\":\"endpoint silent\""),
	AT("510", "edge-1", "answer",
	   "\"id\":\"r3\",\"status\":504,\"why\":\"out of time\""),
	AT("520", "edge-1", "passed", "\"id\":\"r4\",\"status\":200"),
	AT("530", "edge-1", "send", "\"id\":\"r5\",\"endpoint\":\"i-9\""),
	AT("540", "edge-1", "endpoint_wait",
	   "\"endpoint\":\"i-9\",\"wait_ms\":3000,\"id\":\"r5\""),
	AT("545", "edge-2", "endpoint_wait",
	   "\"endpoint\":\"i-8\",\"wait_ms\":3000,\"id\":\"r8\""),
	AT("550", "edge-1", "answer",
	   "\"id\":\"r6\",\"status\":503,\"why\":\"endpoints take no more for "
	   "now\",\"retry_ms\":2900"),
	AT("560", "edge-1", "send", "\"id\":\"r10\",\"resumes\":\"\""),
	AT("570", "edge-2", "send", "\"id\":\"r11\",\"resumes\":\"r10\""),
	AT("580", "edge-2", "passed", "\"id\":\"r11\",\"status\":200"),
	AT("590", "edge-1", "admission_reject",
	   "\"id\":\"r12\",\"why\":\"congested\",\"queue_ms\":900,"
	   "\"bound_ms\":250"),
	AT("591", "edge-1", "answer",
	   "\"id\":\"r12\",\"status\":503,\"why\":\"" EDGE_WHY_CONGESTED
	   "\",\"retry_ms\":700"),
	"not a line of ours",
	"",
};

static bool explain(const char *id, struct buf *out)
{
	struct explain *x = explain_create(id);
	bool found;
	size_t i;

	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		explain_line(x, lines[i]);
	CU_ASSERT_EQUAL(explain_unparsed(x), 1);
	found = explain_report(x, out);
	explain_free(x);
	return found;
}

static void refused_request(void)
{
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT(explain("r1", &out));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "cause: keys not confirmed\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "store_away why=unknown"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "store_back"));
}

static void request_that_no_endpoint_takes(void)
{
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT(explain("r6", &out));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "cause: endpoints take no more for now\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "edge-1 endpoint_wait endpoint=i-9"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "i-8"));
}

static void cut_stream(void)
{
	BUF_AUTO out = BUF_INIT;
	const char *send, *end;

	CU_ASSERT(explain("r2", &out));
	send = strstr(out.data, "edge-2 send endpoint=i-7");
	end = strstr(out.data, "edge-2 cut");
	CU_ASSERT(send && end && send < end);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "deciding: "));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "cause: endpoint i-7: endpoint broke off\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "change=draining"));
}

static void timed_out_request(void)
{
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT(explain("r3", &out));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "cause: endpoint i-9: endpoint silent\n"));
}

static void passed_unknown_and_unfinished(void)
{
	BUF_AUTO out = BUF_INIT;
	BUF_AUTO none = BUF_INIT;
	BUF_AUTO open = BUF_INIT;

	CU_ASSERT(explain("r4", &out));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "the answer was passed"));
	CU_ASSERT_FALSE(explain("r9", &none));
	CU_ASSERT(explain("r5", &open));
	CU_ASSERT_PTR_NOT_NULL(strstr(open.data, "no end: "));
}

static void continued_by_the_caller(void)
{
	BUF_AUTO out = BUF_INIT;
	const char *rest;

	CU_ASSERT(explain("r10", &out));
	rest = strstr(buf_cstr(&out), "continued by the caller:\n");
	CU_ASSERT_PTR_NOT_NULL(rest);
	CU_ASSERT(rest && strstr(rest, "r11 "));
	CU_ASSERT(rest && strstr(rest, "edge-2 passed"));
}

/* Guards against a rejection whose cause is named without its inputs. */
static void rejected_under_congestion(void)
{
	BUF_AUTO out = BUF_INIT;
	const char *cause;

	CU_ASSERT(explain("r12", &out));
	cause = strstr(buf_cstr(&out), "cause: endpoints are congested\n");
	CU_ASSERT_PTR_NOT_NULL(cause);
	CU_ASSERT(cause &&
		  strstr(cause, "admission_reject why=congested queue_ms=900 "
				"bound_ms=250"));
}

static const struct unit_test tests[] = {
	{ "a refused request", refused_request },
	{ "a request that no endpoint takes", request_that_no_endpoint_takes },
	{ "a rejection under congestion", rejected_under_congestion },
	{ "a cut stream", cut_stream },
	{ "a timed-out request", timed_out_request },
	{ "passed, unknown and unfinished", passed_unknown_and_unfinished },
	{ "a stream continued by the caller", continued_by_the_caller },
};

UNIT_MAIN("explain", tests)
