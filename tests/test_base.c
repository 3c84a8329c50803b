/*
 * JSON errors with positions, configuration documents, settings, rings,
 * server-sent events, messages of the engine, metrics, compression.
 */
#include <pthread.h>
#include <string.h>

#include "base/jsn.h"
#include "base/met.h"
#include "base/ring.h"
#include "base/rnd.h"
#include "config/doc.h"
#include "config/set.h"
#include "net/sse.h"
#include "platform/engine.h"
#include "base/zip.h"
#include "support/unit.h"

struct sample {
	int64_t count;
	char name[8];
	double share;
};

static const struct jsn_field sample_fields[] = {
	{ .name = "count",
	  .type = JSN_INT,
	  .at = offsetof(struct sample, count),
	  .min = 1,
	  .max = 9,
	  .unit = "apples" },
	{ .name = "name",
	  .type = JSN_STR,
	  .at = offsetof(struct sample, name),
	  .size = 8,
	  .pattern = JSN_NAME },
	{ .name = "share",
	  .type = JSN_DBL,
	  .at = offsetof(struct sample, share),
	  .min = 0,
	  .max = 1,
	  .optional = true },
	JSN_END,
};

static void expect_error(const char *text, const char *error)
{
	struct err e = ERR_INIT;
	struct sample s;

	CU_ASSERT_EQUAL(jsn_read("f", text, sample_fields, &s, &e), -1);
	CU_ASSERT_STRING_EQUAL(e.text, error);
	if (strcmp(e.text, error))
		printf("  got: %s\n", e.text);
}

static void json_errors(void)
{
	expect_error("{\n \"count\": 10, \"name\": \"a\"}",
		     "f:2:11: count: 10 is out of range: 1 to 9 apples");
	expect_error("{\"count\": 1.5, \"name\": \"a\"}",
		     "f:1:11: count: a whole number is expected");
	expect_error("{\"count\": 1, \"name\": \"A\"}",
		     "f:1:22: name: a name of a-z 0-9 - . _ is expected");
	expect_error("{\"count\": 1,\n// more\n \"nam\": \"a\"}",
		     "f:3:9: nam: no such field");
	expect_error("{\"count\": 1}", "f:1:1: \"name\" is missing");
	expect_error("{\"count\": 1, \"name\": \"a\"} x",
		     "f:1:27: text after the end of the object");
	expect_error("{\"count\": 1, \"count\": 2, \"name\": \"a\"}",
		     "f:1:14: duplicate name in its object");
	expect_error("{\"count\": 1, ", "f:1:14: unexpected end of text");
	expect_error("", "f:1:1: unexpected end of text");
	expect_error("[]", "f:1:1: an object is expected");
}

static void json_comments(void)
{
	struct sample s = { .share = 0.5 };
	struct err e = ERR_INIT;

	CU_ASSERT_EQUAL(jsn_read("f",
				 "/* a */ { // b\n\"count\": 3, /* \"x\": */ "
				 "\"name\": \"b-1\" } // end",
				 sample_fields, &s, &e),
			0);
	CU_ASSERT_EQUAL(s.count, 3);
	CU_ASSERT_EQUAL(s.share, 0.5);
}

static char *edit_example(const char *from, const char *to)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text =
		set_read_file("examples/kvotebors-nord.json", DOC_MAX_TEXT, &e);
	BUF_AUTO b = BUF_INIT;
	const char *at = strstr(text, from);

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	buf_add(&b, text, (size_t)(at - text));
	buf_str(&b, to);
	buf_str(&b, at + strlen(from));
	return mem_dup(b.data);
}

static void expect_doc_error(const char *from, const char *to, const char *part)
{
	MEM_AUTO char *text = edit_example(from, to);
	struct err e = ERR_INIT;
	struct doc *d = doc_parse("doc", text, &e);

	CU_ASSERT_PTR_NULL(d);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, part));
	CU_ASSERT(!strncmp(e.text, "doc:", 4));
	if (!strstr(e.text, part))
		printf("  got: %s\n", e.text);
	doc_free(d);
}

static void document_errors(void)
{
	expect_doc_error("\"tromso\"", "\"bodo\"", "stands here twice");
	expect_doc_error("\"min_replicas\": 8", "\"min_replicas\": 80",
			 "more than max_replicas (24)");
	expect_doc_error("\"method\": \"GET\"", "\"method\": \"get\"",
			 "GET, POST, PUT, PATCH or DELETE is expected");
	expect_doc_error("\"urgency\": \"batch\"", "\"urgency\": \"soon\"",
			 "is not one of: interactive, batch");
	expect_doc_error("\"first_token_ms\": 520", "\"first_token_ms\": 0",
			 "out of range: 1 to 600000 milliseconds");
	expect_doc_error("\"cost_weight\": 0.8,",
			 "\"cost_weight\": 0.8, "
			 "\"colour\": 1,",
			 "colour: no such field");
	expect_doc_error("\"key_sha256\": \"", "\"key_sha256\": \"0",
			 "longer than 64");
}

static void document_lookups(void)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text =
		set_read_file("examples/kvotebors-nord.json", DOC_MAX_TEXT, &e);
	struct doc *d = doc_parse("doc", text, &e);
	const struct doc_plain *p;

	CU_ASSERT_PTR_NOT_NULL_FATAL(d);
	CU_ASSERT_STRING_EQUAL(doc_authenticate(d, "nord-quay-key")->name,
			       "quay");
	CU_ASSERT_PTR_NULL(doc_authenticate(d, "nord-quay-kez"));
	CU_ASSERT_PTR_NULL(doc_authenticate(d, ""));
	p = doc_find_plain(d, "quota");
	CU_ASSERT(doc_repeatable(p, "GET", "/balance"));
	CU_ASSERT(!doc_repeatable(p, "POST", "/transfer"));
	/* Only calls that the document lists are safe to repeat. */
	CU_ASSERT(!doc_repeatable(p, "GET", "/other"));
	CU_ASSERT(!doc_repeatable(p, "POST", "/balance"));
	doc_free(d);
}

static void settings_errors(void)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text =
		set_read_file("examples/settings-bayt-tayar.json", 65536, &e);
	BUF_AUTO b = BUF_INIT;
	struct set s;
	char *at;

	CU_ASSERT_EQUAL(set_parse("s", text, &s, &e), 0);
	CU_ASSERT_STRING_EQUAL(s.zone, "casa-a");
	at = strstr(text, "127.0.0.1:8301");
	memcpy(at, "localhost:8301", 14);
	CU_ASSERT_EQUAL(set_parse("s", text, &s, &e), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "an IP number and port"));
	CU_ASSERT_EQUAL(set_load("no-such-file", &s, &e), -1);
	CU_ASSERT_EQUAL(e.code, ERR_NOT_FOUND);
}

/* ---- Rings ---- */

static void ring_bounds(void)
{
	struct ring *r = ring_create(2);
	int a, b;

	CU_ASSERT(ring_push(r, &a));
	CU_ASSERT(ring_push(r, &b));
	/* A push on a full ring fails without waiting. */
	CU_ASSERT(!ring_push(r, &a));
	CU_ASSERT_PTR_EQUAL(ring_pop(r, 0), &a);
	ring_close(r);
	CU_ASSERT(!ring_push(r, &a));
	CU_ASSERT_PTR_EQUAL(ring_pop(r, 1000), &b);
	CU_ASSERT_PTR_NULL(ring_pop(r, 1000));
	ring_free(r);
}

/* ---- Events ---- */

struct event_log {
	char text[256];
};

static bool log_event(const struct sse_event *ev, void *arg)
{
	struct event_log *s = arg;
	const size_t n = strlen(s->text);

	snprintf(s->text + n, sizeof(s->text) - n, "[%s|%s|%s]", ev->id,
		 ev->name, ev->data);
	return strcmp(ev->data, "stop") != 0;
}

/* Guards against an event of many lines that never ends, kept in memory. */
static void sse_events_are_bounded(void)
{
	static const char line[] = "data: 0123456789\n";
	struct event_log s = { "" };
	size_t fed = 0;
	struct sse p;

	sse_init(&p);
	while (fed < 4u * SSE_MAX_DATA &&
	       sse_feed(&p, line, strlen(line), log_event, &s))
		fed += strlen(line);
	CU_ASSERT(fed > SSE_MAX_DATA);
	CU_ASSERT(fed < 2u * SSE_MAX_DATA);
	CU_ASSERT_STRING_EQUAL(s.text, "");
	sse_free(&p);
}

/* The events are the same for every size of the pieces that arrive. */
static void sse_pieces(void)
{
	static const char text[] = "id: 1\ndata: a\n\n: note\r\nevent: x\r\n"
				   "data: b\ndata: c\n\ndata: stop\n\ndata: "
				   "never\n\n";
	const size_t len = strlen(text);
	size_t piece, at;

	for (piece = 1; piece <= len; piece++) {
		struct event_log s = { "" };
		struct sse p;
		bool go = true;

		sse_init(&p);
		for (at = 0; at < len && go; at += piece)
			go = sse_feed(&p, text + at,
				      len - at < piece ? len - at : piece,
				      log_event, &s);
		CU_ASSERT(!go);
		CU_ASSERT_STRING_EQUAL(s.text, "[1|message|a][1|x|b\nc]"
					       "[1|message|stop]");
		sse_free(&p);
	}
}

static void engine_events(void)
{
	struct engine_event ev;

	CU_ASSERT_EQUAL(engine_read_event("7",
					  "{\"model\":\"m\","
					  "\"system_fingerprint\":\"v\","
					  "\"choices\":[{\"text\":\"x\","
					  "\"finish_reason\":null}]}",
					  3, &ev),
			0);
	CU_ASSERT(ev.is_token && ev.offset == 7 && !strcmp(ev.version, "v"));
	CU_ASSERT_EQUAL(engine_read_event("",
					  "{\"choices\":[{\"delta\":{"
					  "\"content\":\"y\"}}]}",
					  3, &ev),
			0);
	CU_ASSERT(ev.is_token && ev.offset == 3 && !strcmp(ev.text, "y"));
	CU_ASSERT_EQUAL(engine_read_event("", "[DONE]", 3, &ev), 0);
	CU_ASSERT(ev.done);
	CU_ASSERT_EQUAL(engine_read_event("", "{\"choices\":[]}", 3, &ev), -1);
	CU_ASSERT_EQUAL(engine_read_event("", "nonsense", 3, &ev), -1);
}

static void engine_orders(void)
{
	struct engine_order o = { .model = "m",
				  .version = "v",
				  .role = "serve",
				  .adapters = { "a" },
				  .nr_adapters = 1 };
	struct engine_state s;
	const char *text = "{\"model\":\"m\",\"version\":\"v\",\"role\":"
			   "\"serve\",\"adapters\":[\"b\",\"a\"]}";

	CU_ASSERT_EQUAL(engine_read_state(text, strlen(text), &s), 0);
	CU_ASSERT(engine_matches_order(&s, &o));
	strcpy(o.version, "w");
	CU_ASSERT(!engine_matches_order(&s, &o));
	CU_ASSERT_EQUAL(engine_read_state("[1", 2, &s), -1);
}

static void metrics_text(void)
{
	static struct met m;
	BUF_AUTO b = BUF_INIT;
	met_value *v = met_counter(&m, "x_total", "things");

	met_inc(v);
	met_add(v, 2);
	met_print(&m, &b);
	CU_ASSERT_STRING_EQUAL(b.data, "# HELP marldock_x_total things\n# TYPE "
				       "marldock_x_total counter\n"
				       "marldock_x_total 3\n");
}

static void histogram_buckets_are_cumulative(void)
{
	static struct met m;
	struct met_histogram *h = met_histogram(&m, "t_ms", "a time");
	BUF_AUTO out = BUF_INIT;

	met_observe(h, 5);
	met_observe(h, 6);
	met_observe(h, 99999);
	met_print(&m, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "marldock_t_ms histogram\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "t_ms_bucket{le=\"5\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "t_ms_bucket{le=\"10\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "t_ms_bucket{le=\"12000\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "t_ms_bucket{le=\"+Inf\"} 3\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "t_ms_sum 100010\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "t_ms_count 3\n"));
}

/* Decompression restores the bytes, and fails for corrupt or too long data. */
static void compressed_bytes_are_restored(void)
{
	BUF_AUTO plain = BUF_INIT;
	BUF_AUTO packed = BUF_INIT;
	BUF_AUTO restored = BUF_INIT;
	int i;

	for (i = 0; i < 60; i++)
		buf_fmt(&plain, "{\"key\":\"e%d\",\"state\":\"ready\"},", i);
	CU_ASSERT_FALSE(zip_is_packed(plain.data, plain.len));
	CU_ASSERT_FALSE(zip_is_packed("", 0));
	CU_ASSERT_FATAL(zip_pack(plain.data, plain.len, &packed));
	CU_ASSERT(packed.len < plain.len / 4);
	CU_ASSERT(zip_is_packed(packed.data, packed.len));
	CU_ASSERT(zip_unpack(packed.data, packed.len, plain.len, &restored));
	CU_ASSERT_EQUAL(restored.len, plain.len);
	CU_ASSERT_FALSE(memcmp(restored.data, plain.data, plain.len));
	buf_reset(&restored);
	CU_ASSERT_FALSE(
		zip_unpack(packed.data, packed.len, plain.len - 1, &restored));
	CU_ASSERT_FALSE(
		zip_unpack(packed.data, packed.len / 2, plain.len, &restored));
	packed.data[packed.len / 2] ^= 0x55;
	CU_ASSERT_FALSE(
		zip_unpack(packed.data, packed.len, plain.len, &restored));
	CU_ASSERT_EQUAL(restored.len, 0);
	/* Data that would grow is not compressed. */
	CU_ASSERT_FALSE(zip_pack("ab", 2, &restored));
}

static const struct unit_test tests[] = {
	{ "histogram buckets are cumulative",
	  histogram_buckets_are_cumulative },
	{ "json errors have positions", json_errors },
	{ "json comments and defaults", json_comments },
	{ "document errors", document_errors },
	{ "document look-ups", document_lookups },
	{ "settings", settings_errors },
	{ "a ring is bounded", ring_bounds },
	{ "server-sent events in pieces of any size", sse_pieces },
	{ "events of a stream are bounded", sse_events_are_bounded },
	{ "engine events", engine_events },
	{ "engine orders", engine_orders },
	{ "metrics text", metrics_text },
	{ "compressed bytes are restored", compressed_bytes_are_restored },
};

UNIT_MAIN("base", tests)
