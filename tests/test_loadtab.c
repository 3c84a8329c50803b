/*
 * Tests of loadtab.h on log lines as entries write them.
 *
 * Guards against an operator who cannot see, while capacity is short, whether
 * requests wait at endpoints, are refused, or are sent too late to be answered,
 * nor whether endpoints were ordered for them.
 */
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "edge/loadtab.h"
#include "support/unit.h"

#define AT(second, event, rest)                                              \
	"{\"time\":\"2026-01-11T12:26:" second ".100Z\",\"level\":\"info\"," \
	"\"instance\":\"edge-1\",\"event\":\"" event "\"," rest "}"

#define PARTY(route, service, account)                         \
	"\"route\":\"" route "\",\"service\":\"" service "\"," \
	"\"account\":\"" account "\""

/* `nth`: which send of the request. */
#define SEND(second, nth, endpoint, version, wait, left, running, elsewhere,   \
	     party)                                                            \
	AT(second, "send",                                                     \
	   "\"id\":\"a\",\"endpoint\":\"" endpoint "\",\"version\":\"" version \
	   "\",\"send\":" nth ",\"wait_ms\":" wait ",\"left_ms\":" left        \
	   ",\"running\":" running ",\"peer_running\":" elsewhere "," party)

#define SEND_ENDED(second, outcome, service)                          \
	AT(second, "send_ended",                                      \
	   "\"id\":\"a\",\"endpoint\":\"i-1\",\"outcome\":\"" outcome \
	   "\",\"status\":503,\"service\":\"" service "\"")

#define PASSED(second, status, first, took, pause, party)                   \
	AT(second, "passed",                                                \
	   "\"id\":\"a\",\"status\":" status ",\"first_ms\":" first         \
	   ",\"took_ms\":" took ",\"objective_ms\":500,\"pause_ms\":" pause \
	   ",\"pause_bound_ms\":400," party)

#define ANSWER(second, status, why, sends, party)              \
	AT(second, "answer",                                   \
	   "\"id\":\"a\",\"status\":" status ",\"why\":\"" why \
	   "\",\"runs\":0,\"refusals\":" sends ",\"sends\":" sends "," party)

#define ORDER(second, before, number, need)                         \
	AT(second, "order",                                         \
	   "\"service\":\"llm\",\"zone\":\"z1\",\"before\":" before \
	   ",\"number\":" number ",\"need\":" need                  \
	   ",\"load\":5.2,\"usable\":3,\"offered_per_s\":115")

#define CHAT PARTY("chat", "llm", "acme")
#define REVIEW PARTY("review", "llm", "bolt")
#define PLAIN PARTY("status", "core", "acme")

/*
 * A shortage of `llm`: sufficient room at 12:26:00, little from 12:26:02 on. At
 * 12:26:04 v2 is on trial and endpoints are ordered. `core` has enough.
 */
static const char *const shortage[] = {
	SEND("00", "1", "i-1", "v1", "20", "15000", "2", "3", CHAT),
	SEND("01", "1", "i-2", "v1", "30", "12000", "3", "4", REVIEW),
	PASSED("01", "200", "90", "900", "20", CHAT),
	"collector | " SEND("00", "1", "c-1", "v7", "5", "3000", "0", "1",
			    PLAIN),
	PASSED("00", "200", "-1", "60", "0", PLAIN),
	SEND("02", "1", "i-1", "v1", "4000", "15000", "20", "20", CHAT),
	SEND("02", "1", "i-1", "v1", "13000", "12000", "22", "20", REVIEW),
	SEND_ENDED("02", "refused by endpoint", "llm"),
	SEND("03", "2", "i-2", "v1", "9000", "8000", "30", "22", REVIEW),
	SEND_ENDED("03", "refused by endpoint", "llm"),
	SEND_ENDED("03", "complete", "llm"),
	ANSWER("03", "503", "refused by endpoint", "2", REVIEW),
	ANSWER("03", "429", "account over its limit", "0", REVIEW),
	PASSED("03", "200", "501", "900", "20", CHAT),
	AT("04", "admission_reject",
	   "\"id\":\"a\",\"why\":\"queue full\","
	   "\"waited_ms\":40," REVIEW),
	ANSWER("04", "503", "queue full", "0", REVIEW),
	AT("05", "admission_wait", "\"id\":\"a\",\"why\":\"queue full\"," CHAT),
	SEND("05", "1", "j-1", "v2", "100", "15000", "0", "0", CHAT),
	PASSED("05", "200", "90", "900", "401", CHAT),
	ORDER("04", "3", "7", "6.5"),
	ORDER("05", "7", "6", "5.5"),
	AT("05", "rollout_step",
	   "\"service\":\"llm\",\"target\":\"v2\",\"stage\":\"trial\","
	   "\"share\":0.1,\"why\":\"enough endpoints\""),
	AT("05", "totals", "\"requests\":7"),
};

#define NR_SHORTAGE (sizeof(shortage) / sizeof(shortage[0]))

/* The example in docs/OPERATIONS.md, "Too little room". */
static const char example[] =
	"service core\n"
	"time                arrived   sent refused failed  sends declined too_late wait_p50 wait_p90 in_flight   max on_time   late errors  endpoints\n"
	"2026-01-11T12:26:00       1      1       0      0      1        0        0        5        5       1.0     1       1      0      0  v7:1\n"
	"\n"
	"service llm\n"
	"time                arrived   sent refused failed  sends declined too_late wait_p50 wait_p90 in_flight   max on_time   late errors  endpoints\n"
	"2026-01-11T12:26:00       2      2       0      0      2        0        0       20       30       6.0     7       1      0      0  v1:2\n"
	"2026-01-11T12:26:02       3      2       2      0      3        2        2     4095    13311      44.7    52       0      1      0  v1:2\n"
	"2026-01-11T12:26:04       2      1       1      0      1        0        0      103      103       0.0     0       0      1      0  v2:1\n"
	"\n"
	"time                  count  own answers, admission\n"
	"2026-01-11T12:26:02       1  429 account over its limit\n"
	"2026-01-11T12:26:02       1  503 refused by endpoint\n"
	"2026-01-11T12:26:04       1  503 queue full\n"
	"2026-01-11T12:26:04       1  admission_reject: queue full\n"
	"2026-01-11T12:26:04       1  admission_wait: queue full\n"
	"\n"
	"time                 orders   added removed    need    load  usable offered/s\n"
	"2026-01-11T12:26:04       2       4       1     5.5     5.2       3     115.0\n"
	"\n"
	"time                last step of a roll-out\n"
	"2026-01-11T12:26:04 v2 trial share=0.1: enough endpoints\n"
	"\n"
	"account                     sent on_time    late  errors refused  failed  own answers by reason\n"
	"acme                           4       2       2       0       0       0\n"
	"bolt                           2       0       0       0       3       0  429 account over its limit: 1; 503 queue full: 1; 503 refused by endpoint: 1\n"
	"\n"
	"route                       sent on_time    late  errors refused  failed  own answers by reason\n"
	"chat                           3       1       2       0       0       0\n"
	"review                         2       0       0       0       3       0  429 account over its limit: 1; 503 queue full: 1; 503 refused by endpoint: 1\n"
	"status                         1       1       0       0       0       0\n";

static bool has(const struct buf *out, const char *text)
{
	return strstr(buf_cstr(out), text) != NULL;
}

static size_t report(const char *const *lines, size_t n, struct buf *out)
{
	struct ltb *t = ltb_create();
	size_t i, used;

	for (i = 0; i < n; i++)
		ltb_line(t, lines[i]);
	CU_ASSERT_EQUAL(ltb_unparsed(t), 0);
	used = ltb_report(t, out);
	ltb_free(t);
	return used;
}

/* Failure: waits, refusals and hopeless sends do not show in the table. */
static void shortage_is_visible(void)
{
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT_EQUAL(report(shortage, NR_SHORTAGE, &out), NR_SHORTAGE - 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&out), example);
}

/* Failure: the logs of entries, read one after the other, add up wrongly. */
static void order_of_lines_is_irrelevant(void)
{
	const char *lines[NR_SHORTAGE];
	unsigned long i, n;
	struct rnd r;

	for (n = 0; n < unit_seeds(200); n++) {
		BUF_AUTO out = BUF_INIT;

		memcpy(lines, shortage, sizeof(lines));
		rnd_seed(&r, unit_seed(n));
		for (i = NR_SHORTAGE - 1; i > 0; i--) {
			const unsigned long j = rnd_below(&r, (uint32_t)i + 1);
			const char *line = lines[i];

			lines[i] = lines[j];
			lines[j] = line;
		}
		report(lines, NR_SHORTAGE, &out);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&out), example);
	}
}

/* Failure: the shortage of one service is seen as that of another. */
static void services_are_separate(void)
{
	static const char *const lines[] = {
		SEND("00", "1", "i-1", "v1", "4000", "90", "9", "0", CHAT),
		SEND("00", "1", "c-1", "v7", "5", "3000", "0", "1", PLAIN),
		SEND_ENDED("00", "refused by endpoint", "llm"),
	};
	const char *core, *llm;
	BUF_AUTO out = BUF_INIT;

	report(lines, 3, &out);
	core = strstr(buf_cstr(&out),
		      "1      1       0      0      1        0        0        "
		      "5        5       1.0     1       0      0      0  v7:1");
	llm = strstr(buf_cstr(&out),
		     "1      1       0      0      1        1        1     4095"
		     "     4095       9.0     9       0      0      0  v1:1");
	CU_ASSERT(core && llm && core < llm);
}

/* Failure: errors of endpoints look like service. */
static void errors_are_not_on_time(void)
{
	static const char *const lines[] = {
		PASSED("05", "500", "-1", "40", "0", CHAT),
		ANSWER("05", "502", "endpoint broke off", "1", CHAT),
		ANSWER("05", "404", "no route", "0", CHAT),
	};
	BUF_AUTO out = BUF_INIT;

	report(lines, 3, &out);
	CU_ASSERT(has(&out, "chat                           0       0       0 "
			    "      1       0       1  404 no route: 1; "
			    "502 endpoint broke off: 1\n"));
}

/* Failure: the quantiles are those of other waits. */
static void waits_have_quantiles(void)
{
	struct ltb *t = ltb_create();
	BUF_AUTO out = BUF_INIT;
	char line[512];
	int i;

	for (i = 100; i > 0; i--) {
		snprintf(line, sizeof(line),
			 AT("00", "send",
			    "\"send\":1,\"wait_ms\":%d,\"left_ms\":99," CHAT),
			 i);
		ltb_line(t, line);
	}
	ltb_line(t, AT("02", "send", "\"wait_ms\":9223372036854775807," CHAT));
	ltb_line(t, AT("04", "send", "\"wait_ms\":-5," CHAT));
	ltb_report(t, &out);
	/* 50 and 90, at most a sixteenth higher; 100 is beyond the time left. */
	CU_ASSERT(has(&out, " 100        0        1       51       91 "));
	CU_ASSERT(has(&out, " 1        0        0  1048575  1048575 "));
	CU_ASSERT(has(&out, " 1        0        0        0        0 "));
	ltb_free(t);
}

/* Failure: the logs of entries of an earlier release are not usable. */
static void lines_without_a_service(void)
{
	static const char *const lines[] = {
		AT("00", "endpoint",
		   "\"endpoint\":\"i-1\",\"change\":\"new\","
		   "\"service\":\"llm\""),
		AT("00", "send",
		   "\"endpoint\":\"i-1\",\"route\":\"chat\",\"send\":1"),
		AT("00", "passed", "\"route\":\"chat\",\"took_ms\":5"),
		AT("00", "answer",
		   "\"route\":\"chat\",\"status\":503,\"why\":\"full\","
		   "\"runs\":0,\"refusals\":1"),
		AT("00", "answer",
		   "\"route\":\"chat\",\"status\":429,\"why\":\"limit\","
		   "\"runs\":0,\"refusals\":0"),
	};
	BUF_AUTO out = BUF_INIT;

	report(lines, 5, &out);
	/* Two requests: one sent, one answered without a send. */
	CU_ASSERT(has(&out, "service llm\n"));
	CU_ASSERT(has(&out, ":00       2      1       2      0      1 "));
	CU_ASSERT_FALSE(has(&out, "service (none)"));
}

/* Failure: the end of a log file, or of a foreign one, adds to the table. */
static void unusable_lines_are_counted(void)
{
	static const char *const foreign[] = {
		"not a line of ours",
		"{\"time\":\"2026-01-11T12:26:00Z\"}",
		"{\"event\":\"send\"}",
		"{\"event\":\"send\",\"time\":\"yesterday\"}",
		"{\"event\":\"send\",\"time\":\"1926-01-11T12:26:00Z\"}",
		"[{\"event\":\"send\"}]",
	};
	static const char whole[] =
		SEND("00", "1", "i-1", "v1", "20", "15000", "2", "3", CHAT);
	const size_t nr_foreign = sizeof(foreign) / sizeof(foreign[0]);
	struct ltb *t = ltb_create();
	BUF_AUTO out = BUF_INIT;
	char line[sizeof(whole)];
	size_t i;

	for (i = 0; i < nr_foreign; i++)
		ltb_line(t, foreign[i]);
	for (i = 1; i < strlen(whole); i++) {
		str_copy(line, whole, i + 1);
		ltb_line(t, line);
	}
	ltb_line(t, "");
	ltb_line(t, "\n");
	CU_ASSERT_EQUAL(ltb_unparsed(t), nr_foreign + strlen(whole) - 1);
	CU_ASSERT_EQUAL(ltb_rows(t), 0);
	CU_ASSERT_EQUAL(ltb_report(t, &out), 0);
	ltb_free(t);
}

#define MANY_LINES 1000000
#define MANY_SECONDS 600
#define MANY_NAMES 1000
#define MANY_ENDPOINTS 10000

/* A send, or each fourth time an own answer, with names at random. */
static void add_random_line(struct ltb *t, struct rnd *r)
{
	const unsigned s = rnd_below(r, MANY_SECONDS);
	const bool answer = !rnd_below(r, 4);
	char line[512];

	snprintf(line, sizeof(line),
		 "{\"time\":\"2026-01-11T12:%02u:%02u.5Z\",\"event\":\"%s\","
		 "\"service\":\"s-%u\",\"account\":\"a-%u\",\"route\":\"r-%u\","
		 "\"endpoint\":\"i-%u\",\"version\":\"v-%u\",\"status\":503,"
		 "\"why\":\"w-%u\",\"wait_ms\":%u}",
		 s / 60, s % 60, answer ? "answer" : "send", rnd_below(r, 2),
		 rnd_below(r, MANY_NAMES), rnd_below(r, MANY_NAMES),
		 rnd_below(r, MANY_ENDPOINTS), rnd_below(r, MANY_NAMES),
		 rnd_below(r, MANY_NAMES), rnd_below(r, 20000));
	ltb_line(t, line);
}

/* Failure: the logs of a day need more memory than the operator has. */
static void rows_are_bounded(void)
{
	/* A row "other" for each kind of name. */
	const size_t steps = 2 * MANY_SECONDS / LTB_STEP_S;
	const size_t bound =
		2 + steps * (1 + LTB_REASONS + 1 + LTB_VERSIONS + 1) +
		(LTB_ACCOUNTS + 1 + LTB_ROUTES + 1) * (1 + LTB_REASONS + 1) +
		LTB_ENDPOINTS + 1;
	struct ltb *t = ltb_create();
	BUF_AUTO out = BUF_INIT;
	size_t i, half;
	struct rnd r;

	rnd_seed(&r, unit_seed(1));
	for (i = 0; i < MANY_LINES / 2; i++)
		add_random_line(t, &r);
	half = ltb_rows(t);
	for (; i < MANY_LINES; i++)
		add_random_line(t, &r);
	CU_ASSERT(ltb_rows(t) <= bound);
	/* The lines are not kept: the second half adds hardly a row. */
	CU_ASSERT(ltb_rows(t) - half < half / 100);
	CU_ASSERT_EQUAL(ltb_report(t, &out), MANY_LINES);
	CU_ASSERT(has(&out, "\nother "));
	ltb_free(t);
}

/* Failure: lines of a clock that jumps, or of many days, fill the memory. */
static void steps_are_bounded(void)
{
	struct ltb *t = ltb_create();
	BUF_AUTO out = BUF_INIT;
	char line[128];
	int i;

	for (i = 0; i < LTB_STEPS + 1000; i++) {
		snprintf(line, sizeof(line),
			 "{\"time\":\"2026-01-%02dT%02d:%02d:%02dZ\","
			 "\"event\":\"send_ended\",\"service\":\"s\"}",
			 1 + i / 43200, i / 1800 % 24, i / 30 % 60, i % 30 * 2);
		ltb_line(t, line);
	}
	/* The steps, that of other times, and the services "s" and "other". */
	CU_ASSERT_EQUAL(ltb_rows(t), LTB_STEPS + 1 + 2);
	CU_ASSERT_EQUAL(ltb_report(t, &out), LTB_STEPS + 1000);
	CU_ASSERT(has(&out, "\nother times "));
	ltb_free(t);
}

static void report_of_no_lines(void)
{
	struct ltb *t = ltb_create();
	BUF_AUTO out = BUF_INIT;

	CU_ASSERT_EQUAL(ltb_report(t, &out), 0);
	ltb_free(t);
}

static const struct unit_test tests[] = {
	{ "a shortage is visible", shortage_is_visible },
	{ "the order of lines is irrelevant", order_of_lines_is_irrelevant },
	{ "services are separate", services_are_separate },
	{ "errors are not on time", errors_are_not_on_time },
	{ "waits have quantiles", waits_have_quantiles },
	{ "lines without a service", lines_without_a_service },
	{ "unusable lines are counted", unusable_lines_are_counted },
	{ "rows are bounded", rows_are_bounded },
	{ "steps are bounded", steps_are_bounded },
	{ "a report of no lines", report_of_no_lines },
};

UNIT_MAIN("loadtab", tests)
