/*
 * HTTP: the parser, with input that clients and endpoints may send, and client
 * and server over loopback, with peers that violate the protocol.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "io/hsc.h"
#include "io/htc.h"
#include "io/inp.h"
#include "support/unit.h"

/* ---- Parsing ---- */

struct parsed {
	int heads, ends;
	struct buf body;
};

static int p_head(struct hparse *p)
{
	((struct parsed *)p->owner)->heads++;
	return 0;
}

static void p_body(struct hparse *p, const char *data, size_t len)
{
	buf_add(&((struct parsed *)p->owner)->body, data, len);
}

static void p_end(struct hparse *p)
{
	((struct parsed *)p->owner)->ends++;
	p->stop = true;
}

static const struct hparse_vtable parse_vtable = { p_head, p_body, p_end };

/* Feeds the text in pieces of `step` bytes until the parser stops or fails. */
static enum hparse_result feed(struct hparse *p, const char *text, size_t step,
			       size_t *used)
{
	enum hparse_result r = HPARSE_MORE;
	const size_t len = strlen(text);
	size_t n, took;

	*used = 0;
	while (r == HPARSE_MORE && *used < len) {
		n = len - *used < step ? len - *used : step;
		r = hparse_feed(p, text + *used, n, &took);
		*used += took;
		if (r == HPARSE_MORE && took < n)
			break;
	}
	return r;
}

static void request_is_parsed_in_pieces_of_any_size(void)
{
	static const char text[] =
		"POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\nEmpty:\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nGET /next";
	size_t step, used;

	for (step = 1; step < sizeof(text); step++) {
		struct parsed got = { 0, 0, BUF_INIT };
		struct hparse p;

		hparse_init(&p, true, 16384, &parse_vtable, &got);
		CU_ASSERT_EQUAL(feed(&p, text, step, &used), HPARSE_STOPPED);
		CU_ASSERT_STRING_EQUAL(text + used, "GET /next");
		CU_ASSERT_STRING_EQUAL(hmsg_url(&p.msg), "/a/b?c=1");
		CU_ASSERT_STRING_EQUAL(hmsg_find(&p.msg, "host"), "x.example");
		CU_ASSERT_STRING_EQUAL(hmsg_find(&p.msg, "Empty"), "");
		CU_ASSERT_STRING_EQUAL(buf_cstr(&got.body), "hello world");
		hparse_free(&p);
		buf_free(&got.body);
	}
}

/*
 * Request smuggling: an endpoint processed a request that no client had sent.
 * If two servers frame a message differently, the body of one request can hide
 * another. All messages with ambiguous framing must be rejected.
 */
static void ambiguous_framing_is_rejected(void)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		"Content-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n"
		"\r\nabcd",
		"POST / HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked, identity\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		"zz\r\nhello\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
		"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n",
		"nonsense\r\n\r\n",
	};
	size_t i, used;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct parsed got = { 0, 0, BUF_INIT };
		struct hparse p;
		enum hparse_result r;

		hparse_init(&p, true, 16384, &parse_vtable, &got);
		r = feed(&p, bad[i], strlen(bad[i]), &used);
		if (r != HPARSE_MALFORMED && r != HPARSE_HEAD_TOO_LARGE)
			printf("  not rejected: %zu\n", i);
		CU_ASSERT(r == HPARSE_MALFORMED || r == HPARSE_HEAD_TOO_LARGE);
		hparse_free(&p);
		buf_free(&got.body);
	}
}

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED_5 "\r\n5\r\nhello\r\n0\r\n\r\n"

/* Guards against a response whose head has a line that recipients read differently. */
static void malformed_response_heads_are_rejected(void)
{
	static const struct {
		const char *text;
		bool rejected;
	} cases[] = {
		{ STATUS_LINE "Transfer-Encoding: chunked\r\n" CHUNKED_5,
		  false },
		{ STATUS_LINE "Transfer-Encoding: Chunked \r\nX:\r\n" CHUNKED_5,
		  false },
		{ STATUS_LINE "Content-Length: 5\r\nX: a\tb c\r\n\r\n hell",
		  false },
		{ STATUS_LINE
		  "Transfer-Encoding: chunked\r\n X: y\r\n" CHUNKED_5,
		  true },
		{ STATUS_LINE "Transfer-Encoding:\r\n\tchunked\r\n" CHUNKED_5,
		  true },
		{ STATUS_LINE " X: y\r\nContent-Length: 5\r\n\r\nhello", true },
		{ STATUS_LINE "X: y\n z\r\nContent-Length: 5\r\n\r\nhello",
		  true },
		{ STATUS_LINE "Content-Length: 5\r\n \r\n\r\nhello", true },
		{ STATUS_LINE "Transfer-Encoding: gzip\r\n\r\nhello", true },
		{ STATUS_LINE "Transfer-Encoding: gzip, chunked\r\n" CHUNKED_5,
		  true },
		{ STATUS_LINE "Transfer-Encoding: chunked\r\n"
			      "Transfer-Encoding: chunked\r\n" CHUNKED_5,
		  true },
		{ "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello", true },
		{ "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nhello", true },
		{ "HTTP/1.1 599 X\r\nContent-Length: 5\r\n\r\nhello", false },
	};
	size_t i, step, used;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (step = 1; step <= strlen(cases[i].text); step++) {
			struct parsed got = { 0, 0, BUF_INIT };
			struct hparse p;

			hparse_init(&p, false, 0, &parse_vtable, &got);
			CU_ASSERT_EQUAL(feed(&p, cases[i].text, step, &used),
					cases[i].rejected ? HPARSE_MALFORMED
							  : HPARSE_STOPPED);
			CU_ASSERT_EQUAL(got.heads, !cases[i].rejected);
			hparse_free(&p);
			buf_free(&got.body);
		}
	}
}

static void oversized_head_is_rejected(void)
{
	struct parsed got = { 0, 0, BUF_INIT };
	BUF_AUTO text = BUF_INIT;
	struct hparse p;
	size_t used;
	int i;

	buf_str(&text, "GET / HTTP/1.1\r\n");
	for (i = 0; i < 60; i++)
		buf_fmt(&text, "X-%d: %0100d\r\n", i, i);
	buf_str(&text, "\r\n");
	hparse_init(&p, true, 2000, &parse_vtable, &got);
	CU_ASSERT_EQUAL(feed(&p, text.data, 100, &used), HPARSE_HEAD_TOO_LARGE);
	hparse_free(&p);
	hparse_init(&p, true, 20000, &parse_vtable, &got);
	CU_ASSERT_EQUAL(feed(&p, text.data, 100, &used), HPARSE_STOPPED);
	hparse_free(&p);
}

static void hop_by_hop_headers_are_recognized(void)
{
	struct parsed got = { 0, 0, BUF_INIT };
	struct hparse p;
	unsigned i, hops = 0;
	size_t used;

	hparse_init(&p, true, 0, &parse_vtable, &got);
	feed(&p,
	     "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Mine\r\n"
	     "X-Mine: 1\r\nTE: trailers\r\nX-Other: 2\r\n\r\n",
	     500, &used);
	for (i = 0; i < p.msg.nr_headers; i++)
		hops += hmsg_is_hop_by_hop(&p.msg, i);
	CU_ASSERT_EQUAL(hops, 3);
	CU_ASSERT(hmsg_has_token(&p.msg, "connection", "x-mine"));
	CU_ASSERT_FALSE(hmsg_has_token(&p.msg, "connection", "mine"));
	hparse_free(&p);
}

static void query_parameters_are_parsed(void)
{
	char v[8];

	CU_ASSERT(hmsg_query("/p?name=a.b&zone=z1", "zone", v, sizeof(v)));
	CU_ASSERT_STRING_EQUAL(v, "z1");
	CU_ASSERT(hmsg_query("/p?name=a.b&zone=z1", "name", v, sizeof(v)));
	CU_ASSERT_FALSE(hmsg_query("/p?names=a", "name", v, sizeof(v)));
	CU_ASSERT_FALSE(
		hmsg_query("/p?name=much-too-long", "name", v, sizeof(v)));
	CU_ASSERT_FALSE(hmsg_query("/p", "name", v, sizeof(v)));
}

/* ---- A server on loopback with a fixed response ---- */

struct peer {
	struct hsc_server server;
	struct sockaddr_in addr;
	const char *raw; /* bytes of each response; NULL: no response */
	bool disconnect; /* disconnect after `raw` */
	int requests;
	int idle_ms;	       /* of its limits; 0: long */
	struct hsc *last_conn; /* the connection of the last request */
};

static void peer_request(struct hsc *c)
{
	struct peer *p = c->server->owner;

	p->requests++;
	p->last_conn = c;
	if (!p->raw)
		return;
	hsc_write(c, p->raw, strlen(p->raw));
	if (p->disconnect)
		hsc_disconnect(c);
	else
		hsc_done(c, false);
}

static int disconnects;

static void peer_disconnected(struct hsc *c)
{
	(void)c;
	disconnects++;
}

static void peer_read_error(struct hsc *c, enum hsc_read_error error,
			    struct buf *out)
{
	(void)c;
	buf_fmt(out,
		"HTTP/1.1 4%02d X\r\nContent-Length: 0\r\n"
		"Connection: close\r\n\r\n",
		error);
}

static void peer_limits(struct hsc_server *s, struct hsc_limits *out)
{
	const struct peer *p = s->owner;

	*out = (struct hsc_limits){ 4096, 10000, 200, 200,
				    p->idle_ms ? p->idle_ms : 5000 };
}

static const struct hsc_vtable peer_vtable = {
	peer_request, peer_disconnected, peer_read_error, peer_limits, NULL,
	NULL
};

static struct ev_loop *loop;

static void open_peer(struct peer *p, const char *raw)
{
	socklen_t len = sizeof(p->addr);

	memset(p, 0, sizeof(*p));
	ioc_address("127.0.0.1:0", &p->addr, NULL);
	CU_ASSERT_EQUAL_FATAL(hsc_server_open(&p->server, loop, &p->addr,
					      &peer_vtable, p, NULL),
			      0);
	getsockname(p->server.fd, (struct sockaddr *)&p->addr, &len);
	p->raw = raw;
}

static void on_loop_timeout(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_loop(double s)
{
	ev_timer t;

	ev_timer_init(&t, on_loop_timeout, s, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
	ev_timer_stop(loop, &t);
}

/* ---- Calls ---- */

struct call {
	int heads, ends, failures;
	enum htc_failure why;
	enum htc_unreached cause;
	int status;
	bool sent;
	bool by_close; /* htc_ended_by_close */
	struct buf body;
	const char *skip_id; /* skip responses with this Id header */
	int extend_ms; /* htc_extend at each piece of the body; 0: do not */
};

static bool c_head(struct htc_call *h, const struct hmsg *m)
{
	struct call *c = htc_owner(h);
	const char *id = hmsg_find(m, "Id");

	if (c->skip_id && id && !strcmp(id, c->skip_id))
		return false;
	c->heads++;
	c->status = m->status;
	return true;
}

static void c_body(struct htc_call *h, const char *data, size_t len)
{
	struct call *c = htc_owner(h);

	buf_add(&c->body, data, len);
	if (c->extend_ms)
		htc_extend(h, c->extend_ms);
}

static void c_end(struct htc_call *h)
{
	struct call *c = htc_owner(h);

	c->ends++;
	c->by_close = htc_ended_by_close(h);
}

static void c_failed(struct htc_call *h, enum htc_failure why)
{
	struct call *c = htc_owner(h);

	c->failures++;
	c->why = why;
	if (why == HTC_NOT_SENT)
		c->cause = htc_unreached(h);
}

static const struct htc_vtable call_vtable = { c_head, c_body, c_end,
					       c_failed };

static const struct htc_limits call_limits = {
	.connect_ms = 300,
	.ack_timeout_ms = 1000,
	.keepalive_s = 1,
	.idle_ms = 5000,
};

static struct htc_call *start_as(const char *method, struct htc_peer *to,
				 struct call *c, int total)
{
	struct buf wire = BUF_INIT;

	memset(c, 0, sizeof(*c));
	buf_fmt(&wire, "%s / HTTP/1.1\r\nHost: x\r\n\r\n", method);
	return htc_start(to, &wire, 0, !strcmp(method, "HEAD"), total,
			 &call_vtable, c);
}

static struct htc_call *start(struct htc_peer *to, struct call *c, int total)
{
	return start_as("GET", to, c, total);
}

#define OK(body_len, body) \
	"HTTP/1.1 200 OK\r\nContent-Length: " #body_len "\r\n\r\n" body

static void connections_are_reused(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int i;

	open_peer(&p, OK(2, "hi"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	for (i = 0; i < 3; i++) {
		start(&to, &c, 0);
		run_loop(0.02);
		CU_ASSERT_EQUAL(c.ends, 1);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
		buf_free(&c.body);
	}
	CU_ASSERT_EQUAL(to.opened, 1);
	CU_ASSERT_EQUAL(to.reused, 2);
	htc_peer_close(&to);
	run_loop(0.01);
	hsc_server_close(&p.server);
}

/*
 * A client got the response to another client's request. An endpoint had sent a
 * second response, the connection was reused, and the second response was taken
 * for the response to the next request.
 */
static void connection_with_a_second_response_is_not_reused(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, OK(2, "hi") OK(3, "bad"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	run_loop(0.02);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
	buf_free(&c.body);
	CU_ASSERT_EQUAL(to.nr_idle, 0);
	hsc_server_close(&p.server);
}

/* As above, but the second response arrives while the connection is idle. */
static void bytes_on_an_idle_connection_close_it(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, OK(2, "hi"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	run_loop(0.02);
	buf_free(&c.body);
	CU_ASSERT_EQUAL(to.nr_idle, 1);
	ioc_write(p.last_conn->io, "HTTP/1.1 200 OK\r\n\r\n", 19);
	run_loop(0.02);
	CU_ASSERT_EQUAL(to.nr_idle, 0);
	hsc_server_close(&p.server);
}

/*
 * A response that the owner does not accept is skipped; the next one is used.
 */
static void response_to_another_request_is_skipped(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	struct buf wire = BUF_INIT;

	open_peer(&p,
		  "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
		  "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	memset(&c, 0, sizeof(c));
	c.skip_id = "old";
	buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	htc_start(&to, &wire, 0, false, 0, &call_vtable, &c);
	run_loop(0.02);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "new");
	CU_ASSERT_EQUAL(to.nr_idle, 0); /* not reused after that */
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

static void truncated_and_malformed_responses_fail(void)
{
	static const struct {
		const char *raw;
		bool disconnect;
		enum htc_failure why;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true,
		  HTC_CONNECTION_LOST },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
		  true, HTC_CONNECTION_LOST },
		{ "\x01\x02 rubbish\r\n\r\n", false, HTC_MALFORMED },
		{ "", true, HTC_CONNECTION_LOST },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct htc_peer to;
		struct peer p;
		struct call c;

		open_peer(&p, cases[i].raw);
		p.disconnect = cases[i].disconnect;
		htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
		start(&to, &c, 0);
		run_loop(0.03);
		CU_ASSERT_EQUAL(c.ends, 0);
		CU_ASSERT_EQUAL(c.failures, 1);
		CU_ASSERT_EQUAL(c.why, cases[i].why);
		CU_ASSERT_EQUAL(to.nr_open, 0);
		buf_free(&c.body);
		hsc_server_close(&p.server);
	}
}

/* Guards against a wait for a body that never comes. */
static void responses_without_a_body_end_with_their_head(void)
{
	static const struct {
		const char *raw;
		bool ends, reused;
		const char *body;
	} cases[] = {
		{ "HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\n", true, true,
		  "" },
		{ "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n", true, true,
		  "" },
		{ "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n", true,
		  true, "" },
		{ "HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\nhello", true,
		  false, "" },
		{ "HTTP/1.1 100 X\r\nContent-Length: 5\r\n\r\n" OK(4, "body"),
		  true, true, "body" },
		{ "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" OK(
			  4, "body"),
		  true, true, "body" },
		/* It is no answer, and not a part of one. */
		{ "HTTP/1.1 100 X\r\nContent-Length: 5\r\n\r\nhello" OK(4,
									"body"),
		  false, false, "" },
		/* This side did not ask for another protocol. */
		{ "HTTP/1.1 101 X\r\n\r\n" OK(4, "body"), false, false, "" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct htc_peer to;
		struct peer p;
		struct call c;

		open_peer(&p, cases[i].raw);
		htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
		start(&to, &c, 0);
		run_loop(0.03);
		CU_ASSERT_EQUAL(c.ends, cases[i].ends);
		CU_ASSERT_EQUAL(c.failures, !cases[i].ends);
		CU_ASSERT(cases[i].ends || c.why == HTC_MALFORMED);
		CU_ASSERT_EQUAL(to.nr_idle, cases[i].reused);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), cases[i].body);
		buf_free(&c.body);
		htc_peer_close(&to);
		hsc_server_close(&p.server);
	}
}

/* Appends `text` until there are `len` bytes at least. */
static void fill(struct buf *out, const char *text, size_t len)
{
	while (out->len < len)
		buf_str(out, text);
}

/* Guards against responses without end that are read into memory. */
static void responses_beyond_a_limit_fail(void)
{
	enum {
		LIMIT = 1000,
		MUCH = 300000
	};
	static const struct {
		const char *start, *repeated;
		size_t len;
		bool fails;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "x",
		  LIMIT + 41, false },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", "x",
		  LIMIT + 42, true },
		{ "HTTP/1.1 200 OK\r\n\r\n", "x", 2 * LIMIT, true },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "1\r\nx\r\n", 10 * LIMIT, true },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n", MUCH, true },
		{ "", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n",
		  MUCH, true },
		{ "HTTP/1.1 200 OK\r\nX: ", "x", MUCH, true },
	};
	struct htc_limits limits = call_limits;
	size_t i;

	limits.max_body_bytes = LIMIT;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		BUF_AUTO raw = BUF_INIT;
		struct htc_peer to;
		struct peer p;
		struct call c;

		buf_str(&raw, cases[i].start);
		fill(&raw, cases[i].repeated, cases[i].len);
		open_peer(&p, buf_cstr(&raw));
		htc_peer_init(&to, loop, clk_real(), &p.addr, &limits);
		start(&to, &c, 0);
		c.skip_id = "old";
		run_loop(0.05);
		CU_ASSERT_EQUAL(c.ends, !cases[i].fails);
		CU_ASSERT_EQUAL(c.failures, cases[i].fails);
		if (cases[i].fails)
			CU_ASSERT_EQUAL(c.why, HTC_TOO_LARGE);
		CU_ASSERT(c.body.len <= LIMIT);
		CU_ASSERT_EQUAL(to.nr_open, !cases[i].fails);
		buf_free(&c.body);
		htc_peer_close(&to);
		hsc_server_close(&p.server);
	}
}

static int cancelled;

static bool cancel_in_head(struct htc_call *h, const struct hmsg *m)
{
	(void)m;
	cancelled++;
	htc_cancel(h);
	return true;
}

static void cancel_in_body(struct htc_call *h, const char *data, size_t len)
{
	(void)data;
	(void)len;
	cancelled++;
	htc_cancel(h);
}

/* Guards against a call that is used after its owner has given up the response. */
static void calls_can_be_cancelled_from_within(void)
{
	static const struct htc_vtable vtables[] = {
		{ cancel_in_head, c_body, c_end, c_failed },
		{ c_head, cancel_in_body, c_end, c_failed },
	};
	size_t i;

	for (i = 0; i < 2; i++) {
		struct buf wire = BUF_INIT;
		struct htc_peer to;
		struct peer p;
		struct call c;

		open_peer(&p, "HTTP/1.1 200 OK\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
		htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
		memset(&c, 0, sizeof(c));
		cancelled = 0;
		buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
		htc_start(&to, &wire, 0, false, 0, &vtables[i], &c);
		run_loop(0.03);
		CU_ASSERT_EQUAL(cancelled, 1);
		CU_ASSERT_EQUAL(c.ends + c.failures, 0);
		CU_ASSERT_EQUAL(to.nr_open, 0);
		hsc_server_close(&p.server);
	}
}

/* Without length and chunks, closing the connection ends the response. */
static void unframed_response_ends_with_its_connection(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, "HTTP/1.1 200 OK\r\n\r\nall of it");
	p.disconnect = true;
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	run_loop(0.03);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "all of it");
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

/* Guards against responses that may be cut short and are taken for complete. */
static void responses_that_may_be_cut_short(void)
{
	static const struct {
		const char *method, *raw;
		bool by_close;
	} cases[] = {
		{ "GET", "HTTP/1.1 200 OK\r\n\r\nbody", true },
		{ "GET", "HTTP/1.1 200 OK\r\n\r\n", true },
		{ "GET", "HTTP/1.0 200 OK\r\n\r\nbody", true },
		{ "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nb",
		  true },
		{ "GET", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nb",
		  true },
		{ "GET", "HTTP/1.1 503 X\r\n\r\nbody", true },
		{ "GET", "HTTP/1.1 421 X\r\n\r\n", true },
		{ "GET", "HTTP/1.1 204 X\r\n\r\n", false },
		{ "GET", "HTTP/1.1 304 X\r\n\r\n", false },
		{ "HEAD", "HTTP/1.1 200 OK\r\n\r\n", false },
		{ "GET", OK(4, "body"), false },
		{ "GET",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "1\r\na\r\n0\r\n\r\n",
		  false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct htc_peer to;
		struct peer p;
		struct call c;

		open_peer(&p, cases[i].raw);
		p.disconnect = true;
		htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
		start_as(cases[i].method, &to, &c, 0);
		run_loop(0.03);
		CU_ASSERT_EQUAL(c.ends, 1);
		CU_ASSERT_EQUAL(c.by_close, cases[i].by_close);
		/* Nothing that follows may be taken for another response. */
		CU_ASSERT(!cases[i].by_close || !to.nr_open);
		buf_free(&c.body);
		htc_peer_close(&to);
		hsc_server_close(&p.server);
	}
}

static void call_on_refused_connection_is_not_sent(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, NULL);
	hsc_server_close(&p.server);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	run_loop(0.03);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_NOT_SENT);
}

static void save_result(void *arg, enum htc_probe_result result)
{
	*(int *)arg = result;
}

/* The connection of a probe is reused by the next call. */
static void connection_of_a_probe_is_reused(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int result = -1;

	open_peer(&p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	CU_ASSERT(htc_probe(&to, save_result, &result));
	CU_ASSERT_EQUAL(result, -1);
	run_loop(0.03);
	CU_ASSERT_EQUAL(result, HTC_PROBE_CONNECTED);
	CU_ASSERT_EQUAL(to.nr_idle, 1);
	start(&to, &c, 0);
	run_loop(0.03);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_EQUAL(to.opened, 1);
	buf_free(&c.body);
	htc_peer_close(&to);
	hsc_server_close(&p.server);
}

static void probe_of_an_exited_peer_is_refused(void)
{
	struct htc_peer to;
	struct peer p;
	int result = -1;

	open_peer(&p, NULL);
	hsc_server_close(&p.server);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	CU_ASSERT(htc_probe(&to, save_result, &result));
	run_loop(0.03);
	CU_ASSERT_EQUAL(result, HTC_PROBE_REFUSED);
	CU_ASSERT_EQUAL(to.nr_open, 0);
}

/* ---- Tunnels ---- */

/* Starts a call to 127.0.0.2:9 through the relay `p`, which answers `raw`. */
static void call_through(struct htc_peer *to, struct peer *p, const char *raw,
			 struct call *c)
{
	open_peer(p, raw);
	htc_peer_init(to, loop, clk_real(), &p->addr, &call_limits);
	htc_peer_tunnel(to, &p->addr, "127.0.0.2:9");
	start(to, c, 0);
	run_loop(0.05);
	hsc_server_close(&p->server);
}

/*
 * Guards against a request that counts as sent, and so as possibly run, although
 * its relay had opened no tunnel for it.
 */
static void call_without_a_tunnel_is_not_sent(void)
{
	static const struct {
		const char *answer;
		enum htc_unreached cause;
	} cases[] = {
		{ "HTTP/1.1 502 X\r\n\r\n", HTC_UNREACHED_REFUSED },
		{ "HTTP/1.1 504 X\r\n\r\n", HTC_UNREACHED_TIMED_OUT },
		{ "HTTP/1.1 503 X\r\n\r\n", HTC_UNREACHED_RELAY },
		{ "HTTP/1.1 404 X\r\n\r\n", HTC_UNREACHED_RELAY },
		{ "no HTTP at all\r\n\r\n", HTC_UNREACHED_RELAY },
		/* Bytes before the request was sent are no answer to it. */
		{ "HTTP/1.1 200 X\r\n\r\nHTTP/1.1 200 X\r\n\r\n",
		  HTC_UNREACHED_RELAY },
	};
	struct htc_peer to;
	struct peer p;
	struct call c;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		call_through(&to, &p, cases[i].answer, &c);
		CU_ASSERT_EQUAL(c.failures, 1);
		CU_ASSERT_EQUAL(c.heads, 0);
		CU_ASSERT_EQUAL(c.why, HTC_NOT_SENT);
		CU_ASSERT_EQUAL(c.cause, cases[i].cause);
		CU_ASSERT_EQUAL(to.nr_open, 0);
	}
}

/*
 * Guards against a call that goes through a former relay, on a connection that was in
 * use when the peer got another one.
 */
static void connections_in_use_at_a_close_are_not_reused(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	run_loop(0.03);
	htc_peer_close(&to);
	hsc_write(p.last_conn, OK(2, "hi"), strlen(OK(2, "hi")));
	hsc_done(p.last_conn, false);
	run_loop(0.03);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_EQUAL(to.nr_open, 0);
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

/* A relay that opens the tunnel, and answers as the endpoint. */
static void tunnel_request(struct hsc *c)
{
	struct peer *p = c->server->owner;
	const char *answer = p->requests++ ? p->raw : "HTTP/1.1 200 X\r\n\r\n";

	if (p->requests == 1)
		CU_ASSERT_STRING_EQUAL(hmsg_url(&c->parse.msg),
				       HTC_TUNNEL_PATH "?to=127.0.0.2:9");
	hsc_write(c, answer, strlen(answer));
	hsc_done(c, false);
}

static const struct hsc_vtable tunnel_vtable = { tunnel_request,
						 peer_disconnected,
						 peer_read_error,
						 peer_limits,
						 NULL,
						 NULL };

static void calls_share_a_tunnel(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int i;

	open_peer(&p, OK(2, "hi"));
	p.server.vt = &tunnel_vtable;
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	htc_peer_tunnel(&to, &p.addr, "127.0.0.2:9");
	for (i = 0; i < 2; i++) {
		start(&to, &c, 0);
		run_loop(0.03);
		CU_ASSERT_EQUAL(c.ends, 1);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
		buf_free(&c.body);
	}
	CU_ASSERT_EQUAL(p.requests, 3);
	CU_ASSERT_EQUAL(to.opened, 1);
	htc_peer_close(&to);
	run_loop(0.01);
	hsc_server_close(&p.server);
}

/* ---- Heads cut in the middle ---- */

/* Heads of responses, with what may come before one. */
static const char *const cut_heads[] = {
	"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 10\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX: y\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\nX: y\r\n\r\n",
	"HTTP/1.0 200 OK\r\nContent-Length: 10\r\nX: y\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
	"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nX: y\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	"HTTP/1.1 204 X\r\nId: old\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
};

#define NR_CUT_HEADS (sizeof(cut_heads) / sizeof(cut_heads[0]))
#define NR_CUT_ALONE (NR_CUT_HEADS - 2) /* those that nothing comes before */
#define MAX_CUTS 128

/* Guards against a part of a head that the parser takes for a message. */
static void end_within_a_head_ends_no_message(void)
{
	size_t i, n, used;

	for (i = 0; i < NR_CUT_ALONE; i++) {
		for (n = 0; n < strlen(cut_heads[i]); n++) {
			struct parsed got = { 0, 0, BUF_INIT };
			struct hparse p;

			hparse_init(&p, false, 0, &parse_vtable, &got);
			CU_ASSERT_EQUAL(hparse_feed(&p, cut_heads[i], n, &used),
					HPARSE_MORE);
			CU_ASSERT_FALSE(hparse_eof(&p));
			CU_ASSERT_EQUAL(got.heads + got.ends, 0);
			hparse_free(&p);
			buf_free(&got.body);
		}
	}
}

/* A server that answers /N with the first N bytes of its text, and ends so. */
struct cutter {
	struct peer peer;
	size_t len;
	bool reset;
	bool cuts_tunnels; /* its answers to requests for tunnels instead */
};

static void end_by(struct hsc *c, bool reset)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		setsockopt(c->io->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	hsc_disconnect(c);
}

static void cutter_request(struct hsc *c)
{
	struct cutter *s = c->server->owner;
	const char *url = hmsg_url(&c->parse.msg);
	const bool tunnel =
		!strncmp(url, HTC_TUNNEL_PATH, strlen(HTC_TUNNEL_PATH));
	const char *whole = tunnel ? "HTTP/1.1 200 X\r\n\r\n" : OK(2, "hi");
	size_t n;

	if (tunnel ? !s->cuts_tunnels : !strcmp(url, "/whole")) {
		hsc_write(c, whole, strlen(whole));
		hsc_done(c, false);
		return;
	}
	n = tunnel ? (size_t)s->peer.requests++ : strtoul(url + 1, NULL, 10);
	hsc_write(c, s->peer.raw, n < s->len ? n : s->len);
	end_by(c, s->reset);
}

static const struct hsc_vtable cutter_vtable = { cutter_request,
						 peer_disconnected,
						 peer_read_error,
						 peer_limits,
						 NULL,
						 NULL };

static void open_cutter(struct cutter *s, const char *text, bool reset)
{
	memset(s, 0, sizeof(*s));
	open_peer(&s->peer, text);
	s->peer.server.vt = &cutter_vtable;
	s->peer.server.owner = s;
	s->len = strlen(text);
	s->reset = reset;
}

/* Starts a call for each cut, or for a whole response each, and awaits their ends. */
static void call_all(struct htc_peer *to, struct call *calls, size_t nr,
		     const char *method, bool whole)
{
	size_t i, ended = 0, turn;

	for (i = 0; i < nr; i++) {
		struct buf wire = BUF_INIT;
		char path[32] = "whole";

		memset(&calls[i], 0, sizeof(calls[i]));
		calls[i].skip_id = "old";
		if (!whole)
			snprintf(path, sizeof(path), "%zu", i);
		buf_fmt(&wire, "%s /%s HTTP/1.1\r\nHost: x\r\n\r\n", method,
			path);
		CU_ASSERT_PTR_NOT_NULL_FATAL(
			htc_start(to, &wire, 0, !strcmp(method, "HEAD"), 0,
				  &call_vtable, &calls[i]));
	}
	for (turn = 0; turn < 500 && ended < nr; turn++) {
		run_loop(0.005);
		for (i = ended = 0; i < nr; i++)
			ended += calls[i].ends + calls[i].failures;
	}
	CU_ASSERT_EQUAL(ended, nr);
}

static void expect_lost(struct call *calls, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		CU_ASSERT_EQUAL(calls[i].heads + calls[i].ends, 0);
		CU_ASSERT_EQUAL(calls[i].failures, 1);
		CU_ASSERT_EQUAL(calls[i].why, HTC_CONNECTION_LOST);
		buf_free(&calls[i].body);
	}
}

/* A text cut at each byte, by an end in order or a reset. */
static void cut_all(const char *text, bool reset, const char *method,
		    bool tunnel, bool kept)
{
	static struct call calls[MAX_CUTS];
	const size_t nr = strlen(text);
	struct htc_peer to;
	struct cutter s;
	size_t i;

	CU_ASSERT_FATAL(nr <= MAX_CUTS);
	open_cutter(&s, text, reset);
	htc_peer_init(&to, loop, clk_real(), &s.peer.addr, &call_limits);
	if (tunnel)
		htc_peer_tunnel(&to, &s.peer.addr, "127.0.0.2:9");
	if (kept) {
		call_all(&to, calls, nr, method, true);
		for (i = 0; i < nr; i++) {
			CU_ASSERT_EQUAL(calls[i].ends, 1);
			buf_free(&calls[i].body);
		}
		CU_ASSERT_EQUAL(to.nr_idle, nr);
	}
	call_all(&to, calls, nr, method, false);
	expect_lost(calls, nr);
	CU_ASSERT_EQUAL(to.opened, nr);
	CU_ASSERT_EQUAL(to.nr_open, 0);
	hsc_server_close(&s.peer.server);
}

/* Guards against a 200 with an empty body for a response cut within its head. */
static void response_cut_within_its_head_fails(void)
{
	size_t i;

	for (i = 0; i < NR_CUT_HEADS; i++) {
		cut_all(cut_heads[i], false, "GET", false, false);
		cut_all(cut_heads[i], true, "GET", false, false);
		cut_all(cut_heads[i], false, "GET", false, true);
		cut_all(cut_heads[i], false, "GET", true, false);
		cut_all(cut_heads[i], true, "GET", true, false);
	}
}

/* The same in answer to HEAD. */
static void response_to_head_cut_within_its_head_fails(void)
{
	size_t i;

	for (i = 0; i < NR_CUT_HEADS; i++) {
		cut_all(cut_heads[i], false, "HEAD", false, false);
		cut_all(cut_heads[i], true, "HEAD", true, false);
	}
}

/* Guards against a request that counts as sent, or refused by its endpoint. */
static void relay_answer_cut_within_its_head_opens_no_tunnel(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
	};
	static struct call calls[MAX_CUTS];
	size_t i, n;

	for (i = 0; i < 2 * sizeof(answers) / sizeof(answers[0]); i++) {
		const size_t nr = strlen(answers[i / 2]);
		struct htc_peer to;
		struct cutter s;

		open_cutter(&s, answers[i / 2], i % 2);
		s.cuts_tunnels = true;
		htc_peer_init(&to, loop, clk_real(), &s.peer.addr,
			      &call_limits);
		htc_peer_tunnel(&to, &s.peer.addr, "127.0.0.2:9");
		call_all(&to, calls, nr, "GET", false);
		for (n = 0; n < nr; n++) {
			CU_ASSERT_EQUAL(calls[n].failures, 1);
			CU_ASSERT_EQUAL(calls[n].why, HTC_NOT_SENT);
			CU_ASSERT_EQUAL(calls[n].cause, HTC_UNREACHED_RELAY);
		}
		CU_ASSERT_EQUAL(to.nr_open, 0);
		hsc_server_close(&s.peer.server);
	}
}

static void call_to_a_silent_peer_times_out(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	disconnects = 0;
	start(&to, &c, 50);
	run_loop(0.12);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_TIMEOUT);
	CU_ASSERT_EQUAL(disconnects, 1);
	hsc_server_close(&p.server);
}

/*
 * A large response over a slow link never completed: it took longer than the
 * time-out of the call, which was cancelled and repeated, although the peer was
 * sending all the time. With htc_extend, each piece restarts the time-out, and
 * the call fails only when no more pieces arrive.
 */
static void slow_response_does_not_time_out(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int i;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 400);
	c.extend_ms = 400;
	run_loop(0.03);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p.last_conn);
	hsc_write(p.last_conn, OK(8, "a"), strlen(OK(8, "a")));
	for (i = 0; i < 6; i++) {
		run_loop(0.1);
		hsc_write(p.last_conn, "b", 1);
	}
	run_loop(0.03);
	CU_ASSERT_EQUAL(c.failures, 0);
	CU_ASSERT_EQUAL(c.body.len, 7);
	run_loop(0.6);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_TIMEOUT);
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

/* The endpoint can stop its work when the client cancels. */
static void peer_detects_a_cancelled_call(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	struct htc_call *h;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	disconnects = 0;
	h = start(&to, &c, 0);
	run_loop(0.02);
	CU_ASSERT_EQUAL(p.requests, 1);
	htc_cancel(h);
	run_loop(0.02);
	CU_ASSERT_EQUAL(disconnects, 1);
	CU_ASSERT_EQUAL(c.failures, 0);
	CU_ASSERT_EQUAL(to.nr_open, 0);
	hsc_server_close(&p.server);
}

/*
 * Use after free: the last request at a removed endpoint ended. Its owner freed
 * the endpoint, and with it the htc_peer, from within the callback; the
 * connection of the request was then returned to the freed peer. It must be
 * returned before the callback.
 */
struct freed_peer_call {
	struct call call;
	struct htc_peer *peer;
};

static void d_end(struct htc_call *h)
{
	struct freed_peer_call *d = htc_owner(h);

	d->call.ends++;
	htc_peer_close(d->peer);
	memset(d->peer, 0x5a, sizeof(*d->peer));
	free(d->peer);
}

static void d_failed(struct htc_call *h, enum htc_failure why)
{
	(void)why;
	d_end(h);
}

static void peer_can_be_freed_by_its_last_call(void)
{
	static const struct htc_vtable vtable = { c_head, c_body, d_end,
						  d_failed };
	int disconnect;

	for (disconnect = 0; disconnect < 2; disconnect++) {
		struct freed_peer_call d;
		struct peer p;
		struct buf wire = BUF_INIT;

		open_peer(
			&p,
			disconnect
				? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"
				: OK(2, "hi"));
		p.disconnect = disconnect;
		memset(&d, 0, sizeof(d));
		d.peer = malloc(sizeof(*d.peer));
		htc_peer_init(d.peer, loop, clk_real(), &p.addr, &call_limits);
		buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
		htc_start(d.peer, &wire, 0, false, 0, &vtable, &d);
		run_loop(0.03);
		CU_ASSERT_EQUAL(d.call.ends, 1);
		buf_free(&d.call.body);
		hsc_server_close(&p.server);
	}
}

/* ---- Server ---- */

/* A client with a blocking socket; the loop runs between its steps. */
static int connect_to(const struct peer *p)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	const struct timeval tv = { 0, 300000 };

	CU_ASSERT_EQUAL_FATAL(connect(fd, (const struct sockaddr *)&p->addr,
				      sizeof(p->addr)),
			      0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	return fd;
}

static size_t read_all(int fd, char *out, size_t size)
{
	size_t n = 0;
	ssize_t r;

	while (n + 1 < size && (r = recv(fd, out + n, size - 1 - n, 0)) > 0)
		n += (size_t)r;
	out[n] = '\0';
	return n;
}

static void send_text(int fd, const char *text)
{
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
}

static void pipelined_requests_get_responses_in_order(void)
{
	struct peer p;
	char got[1024];
	int fd;

	open_peer(&p, OK(2, "hi"));
	fd = connect_to(&p);
	send_text(fd,
		  "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
		  "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
		  "GET /3 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	run_loop(0.05);
	read_all(fd, got, sizeof(got));
	CU_ASSERT_EQUAL(p.requests, 3);
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi") OK(2, "hi") OK(2, "hi"));
	close(fd);
	run_loop(0.02);
	hsc_server_close(&p.server);
}

static void write_in_pieces(struct hsc *c)
{
	const struct peer *p = c->server->owner;
	const char *at;

	for (at = p->raw; *at; at++)
		hsc_write(c, at, 1);
	hsc_done(c, false);
}

/* Guards against the body of a refused HEAD request, read as the next response. */
static void responses_to_head_have_no_body(void)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
	static const struct hsc_vtable in_pieces = { write_in_pieces,
						     peer_disconnected,
						     peer_read_error,
						     peer_limits,
						     NULL,
						     NULL };
	BUF_AUTO expected = BUF_INIT;
	char got[1024];
	int fd, pieces;

	buf_str(&expected, head);
	buf_str(&expected, OK(2, "hi"));
	for (pieces = 0; pieces < 2; pieces++) {
		struct peer p;

		open_peer(&p, OK(2, "hi"));
		if (pieces)
			p.server.vt = &in_pieces;
		fd = connect_to(&p);
		send_text(fd, "HEAD /1 HTTP/1.1\r\nHost: x\r\n\r\n"
			      "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
		run_loop(0.03);
		read_all(fd, got, sizeof(got));
		CU_ASSERT_STRING_EQUAL(got, buf_cstr(&expected));
		close(fd);
		run_loop(0.02);
		hsc_server_close(&p.server);
	}
}

static struct hsc *first_request; /* not answered yet; NULL: answered */

/* Answers with the URL, all but the first request at once. */
static void answer_url(struct hsc *c)
{
	const char *url = hmsg_url(&c->parse.msg);
	BUF_AUTO out = BUF_INIT;

	if (!strcmp(url, "/1") && !first_request) {
		first_request = c;
		return;
	}
	buf_fmt(&out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s%s",
		strlen(url) + c->body.len, url, buf_cstr(&c->body));
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void on_first_ready(struct ev_loop *l, ev_io *w, int revents)
{
	(void)revents;
	ev_io_stop(l, w);
	answer_url(first_request);
}

/*
 * Guards against bytes that arrive as a response ends, parsed before those that
 * were set aside during it: clients got each other's answers. The response ends
 * and the bytes arrive in the same iteration of the loop, in either order.
 */
static void bytes_set_aside_are_parsed_first(void)
{
	static const struct hsc_vtable vtable = { answer_url,
						  peer_disconnected,
						  peer_read_error,
						  peer_limits,
						  NULL,
						  NULL };
	/* The second part goes on where the first one ends. */
	static const char *const parts[][2] = {
		{ "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n",
		  "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n" },
		{ "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 28\r\n\r\n",
		  "GET /4 HTTP/1.1\r\nHost: x\r\n\r\n"
		  "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n" },
	};
	static const char *const expected[] = {
		OK(2, "/1") OK(2, "/2") OK(2, "/3"),
		OK(2, "/1") OK(30, "/2GET /4 HTTP/1.1\r\nHost: x\r\n\r\n")
			OK(2, "/3"),
	};
	char got[1024];
	ev_io ready;
	unsigned i;
	int fd, ends[2];

	for (i = 0; i < 4; i++) {
		const char *const *part = parts[i / 2];
		struct peer p;

		open_peer(&p, NULL);
		p.server.vt = &vtable;
		first_request = NULL;
		fd = connect_to(&p);
		send_text(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
		send_text(fd, part[0]);
		run_loop(0.03);
		CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
		ev_io_init(&ready, on_first_ready, ends[0], EV_READ);
		ev_io_start(loop, &ready);
		if (i % 2)
			send_text(fd, part[1]);
		CU_ASSERT_EQUAL(write(ends[1], "x", 1), 1);
		if (!(i % 2))
			send_text(fd, part[1]);
		run_loop(0.05);
		read_all(fd, got, sizeof(got));
		CU_ASSERT_STRING_EQUAL(got, expected[i / 2]);
		close(ends[0]);
		close(ends[1]);
		close(fd);
		run_loop(0.02);
		hsc_server_close(&p.server);
	}
}

static void bad_requests_get_an_error_response(void)
{
	static const struct {
		const char *text;
		const char *expected;
	} cases[] = {
		{ "BAD\r\n\r\n", "HTTP/1.1 400" },
		{ "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 403" }, /* HSC_TIMEOUT */
		{ "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n",
		  "HTTP/1.1 402" },
	};
	char got[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct peer p;
		int fd;

		open_peer(&p, OK(2, "hi"));
		fd = connect_to(&p);
		send_text(fd, cases[i].text);
		run_loop(0.3);
		read_all(fd, got, sizeof(got));
		CU_ASSERT_EQUAL(strncmp(got, cases[i].expected, 12), 0);
		CU_ASSERT_EQUAL(p.requests, 0);
		close(fd);
		run_loop(0.02);
		hsc_server_close(&p.server);
	}
}

/*
 * After SIGTERM, the connection of a request that had been read was closed. The
 * process had no request in progress, decided to exit, and read one more in the
 * same iteration of the loop. Shutdown therefore has two steps: drain, then
 * close the connections on which nothing was read.
 */
static void closing_idle_connections_keeps_read_requests(void)
{
	struct peer p;
	char got[256];
	int busy, idle, half;

	open_peer(&p, NULL);
	busy = connect_to(&p);
	idle = connect_to(&p);
	half = connect_to(&p);
	send_text(busy, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	send_text(half, "GET /2 HTTP/1.1\r\nHo");
	run_loop(0.03);
	hsc_server_drain(&p.server);
	hsc_server_close_idle(&p.server);
	CU_ASSERT_EQUAL(p.server.nr_conns, 2);
	CU_ASSERT_EQUAL(read_all(idle, got, sizeof(got)), 0);
	CU_ASSERT(hsc_must_close(p.last_conn));
	hsc_write(p.last_conn, OK(2, "hi"), strlen(OK(2, "hi")));
	hsc_done(p.last_conn, false);
	p.raw = OK(2, "yo");
	send_text(half, "st: x\r\n\r\n");
	run_loop(0.05);
	read_all(busy, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi"));
	read_all(half, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "yo"));
	close(busy);
	close(half);
	close(idle);
	run_loop(0.02);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

/*
 * Guards against a pipelined request that gets no response because the one before it
 * began, without announcing a close, before the server drained.
 */
static void draining_answers_requests_behind_a_response(void)
{
	struct peer p;
	char got[512];
	int fd;

	open_peer(&p, NULL);
	fd = connect_to(&p);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(0.03);
	CU_ASSERT(!hsc_must_close(p.last_conn));
	hsc_write(p.last_conn, OK(2, "hi"), strlen(OK(2, "hi")));
	hsc_server_drain(&p.server);
	send_text(fd, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(0.03);
	p.raw = OK(2, "yo");
	hsc_done(p.last_conn, false);
	hsc_server_close_idle(&p.server);
	run_loop(0.03);
	read_all(fd, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi") OK(2, "yo"));
	close(fd);
	run_loop(0.02);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

/* The same, for a request that was received and not yet read: input that was late. */
static void draining_answers_requests_that_were_not_read_yet(void)
{
	struct peer p;
	char got[512];
	int fd;

	open_peer(&p, NULL);
	fd = connect_to(&p);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(0.03);
	CU_ASSERT(!hsc_must_close(p.last_conn));
	hsc_write(p.last_conn, OK(2, "hi"), strlen(OK(2, "hi")));
	hsc_server_drain(&p.server);
	send_text(fd, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
	p.raw = OK(2, "yo");
	hsc_done(p.last_conn, false);
	hsc_server_close_idle(&p.server);
	run_loop(0.03);
	read_all(fd, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi") OK(2, "yo"));
	close(fd);
	run_loop(0.02);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

static void client_that_disconnects_is_detected(void)
{
	struct peer p;
	int fd;

	open_peer(&p, NULL);
	disconnects = 0;
	fd = connect_to(&p);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(0.02);
	close(fd);
	run_loop(0.02);
	CU_ASSERT_EQUAL(disconnects, 1);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

/* ---- Stalls of the process ---- */

/* The process does not run for so long; time-outs have elapsed then. */
static void stall(int ms)
{
	clk_sleep_ms(ms);
	ev_now_update(loop);
}

/* An endpoint's whole response was in its socket as the call was ended by its time-out. */
static void response_that_has_arrived_does_not_time_out(void)
{
	const struct sockaddr_in any = { .sin_family = AF_INET };
	const int listener = ioc_listen(&any, NULL);
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	struct htc_peer to;
	struct call c;
	int fd;

	getsockname(listener, (struct sockaddr *)&addr, &len);
	htc_peer_init(&to, loop, clk_real(), &addr, &call_limits);
	start(&to, &c, 100);
	run_loop(0.02);
	fd = accept(listener, NULL, NULL);
	CU_ASSERT(fd >= 0);
	send_text(fd, OK(2, "hi"));
	stall(150);
	run_loop(0.02);
	CU_ASSERT_EQUAL(c.failures, 0);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
	buf_free(&c.body);
	htc_peer_close(&to);
	close(fd);
	close(listener);
}

static void count_lost(void *arg)
{
	++*(int *)arg;
}

/*
 * A call was sent on an idle connection whose end, or a late second response, was unread
 * in its socket: it failed, or got the response to another request.
 */
static void connection_with_unread_input_is_not_reused(void)
{
	static const struct {
		const char *bytes;
		bool closed, reset;
	} cases[] = {
		{ "", true, false },
		{ "", true, true },
		{ OK(3, "bad"), false, false },
		{ OK(3, "bad"), true, false },
	};
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };
	const struct sockaddr_in any = { .sin_family = AF_INET };
	const int listener = ioc_listen(&any, NULL);
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	size_t i;

	getsockname(listener, (struct sockaddr *)&addr, &len);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct htc_peer to;
		struct call c;
		int first, second, lost = 0;
		char request[256];

		htc_peer_init(&to, loop, clk_real(), &addr, &call_limits);
		to.idle_lost = count_lost;
		to.idle_lost_arg = &lost;
		start(&to, &c, 0);
		run_loop(0.02);
		first = accept(listener, NULL, NULL);
		/* Closing it with unread bytes would reset it. */
		CU_ASSERT(recv(first, request, sizeof(request), 0) > 0);
		send_text(first, OK(2, "hi"));
		run_loop(0.02);
		CU_ASSERT_EQUAL(to.nr_idle, 1);
		buf_free(&c.body);

		send_text(first, cases[i].bytes);
		if (cases[i].reset)
			setsockopt(first, SOL_SOCKET, SO_LINGER, &now,
				   sizeof(now));
		if (cases[i].closed)
			close(first);
		start(&to, &c, 0);
		run_loop(0.02);
		second = accept(listener, NULL, NULL);
		CU_ASSERT(second >= 0);
		send_text(second, OK(3, "new"));
		run_loop(0.02);
		CU_ASSERT_EQUAL(c.failures, 0);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "new");
		CU_ASSERT_EQUAL(to.reused, 0);
		CU_ASSERT_EQUAL(to.idle_closed, 1);
		CU_ASSERT_EQUAL(lost, cases[i].reset);
		buf_free(&c.body);
		htc_peer_close(&to);
		if (!cases[i].closed)
			close(first);
		close(second);
	}
	close(listener);
}

/*
 * A connection was established while the process did not run. Its call was sent, and
 * timed out before the peer could answer it; so was a relay given up.
 */
static void connecting_does_not_use_up_the_time_of_a_call(void)
{
	const struct sockaddr_in any = { .sin_family = AF_INET };
	const int listener = ioc_listen(&any, NULL);
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int tunnelled;

	getsockname(listener, (struct sockaddr *)&addr, &len);
	for (tunnelled = 0; tunnelled < 2; tunnelled++) {
		struct htc_peer to;
		struct call c;
		int fd;

		htc_peer_init(&to, loop, clk_real(), &addr, &call_limits);
		if (tunnelled)
			htc_peer_tunnel(&to, &addr, "127.0.0.1:9");
		start(&to, &c, 900);
		stall(1000);
		run_loop(0.05);
		CU_ASSERT_EQUAL_FATAL(c.failures, 0);
		fd = accept(listener, NULL, NULL);
		CU_ASSERT(fd >= 0);
		if (tunnelled) {
			send_text(fd, "HTTP/1.1 200 OK\r\n\r\n");
			run_loop(0.05);
		}
		send_text(fd, OK(2, "hi"));
		run_loop(0.05);
		CU_ASSERT_EQUAL(c.failures, 0);
		CU_ASSERT_EQUAL(c.ends, 1);
		buf_free(&c.body);

		/* A peer that is silent from then on is not waited for without end. */
		htc_peer_close(&to);
		close(fd);
		start(&to, &c, 900);
		stall(1000);
		run_loop(1.2);
		CU_ASSERT_EQUAL(c.failures, 1);
		CU_ASSERT_EQUAL(c.why, tunnelled ? HTC_NOT_SENT : HTC_TIMEOUT);
		fd = accept(listener, NULL, NULL);
		CU_ASSERT(fd >= 0);
		close(fd);
		htc_peer_close(&to);
	}
	close(listener);
}

/* The client of a body that is larger than its window, or one that stops within it. */
static void send_long_body(bool goes_on, const char *want)
{
	const int small = 2048;
	char body[9000], got[256];
	struct inp input;
	struct peer p;
	ssize_t n;
	int fd;

	memset(body, 'x', sizeof(body));
	inp_attach(&input, loop);
	open_peer(&p, OK(2, "hi"));
	setsockopt(p.server.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	fd = connect_to(&p);
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
	send_text(fd, "POST / HTTP/1.1\r\nHost: x\r\n"
		      "Content-Length: 9000\r\n\r\n");
	run_loop(0.02);
	n = send(fd, body, sizeof(body), MSG_DONTWAIT);
	CU_ASSERT(n > 0 && n < (ssize_t)sizeof(body));
	stall(300);
	inp_add_stall(&input, 300);
	run_loop(0.02);
	while (goes_on && n > 0 && n < (ssize_t)sizeof(body)) {
		const ssize_t more =
			send(fd, body + n, sizeof(body) - n, MSG_DONTWAIT);

		n += more > 0 ? more : 0;
		run_loop(0.005);
	}
	run_loop(0.5);
	read_all(fd, got, sizeof(got));
	CU_ASSERT(!strncmp(got, want, strlen(want)));
	close(fd);
	run_loop(0.02);
	hsc_server_close(&p.server);
	ev_set_userdata(loop, NULL);
}

/*
 * A client whose window was full while the process did not run was answered 408 before
 * it could send the rest of its body.
 */
static void stall_does_not_use_up_the_time_of_a_body(void)
{
	send_long_body(true, "HTTP/1.1 200");
	send_long_body(false, "HTTP/1.1 4");
}

/* A request whose last byte had arrived was answered 408, or its connection closed. */
static void request_that_has_arrived_does_not_time_out(void)
{
	static const struct {
		const char *before, *during;
	} cases[] = {
		{ "GET / HTTP/1.1\r\nHo", "st: x\r\n\r\n" },
		{ "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		  "\r\n5\r\nhel",
		  "lo\r\n0\r\n\r\n" },
		{ "", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" },
	};
	char got[256];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct peer p;
		int fd;

		open_peer(&p, OK(2, "hi"));
		p.idle_ms = 200;
		fd = connect_to(&p);
		send_text(fd, cases[i].before);
		run_loop(0.02);
		send_text(fd, cases[i].during);
		stall(250);
		run_loop(0.05);
		read_all(fd, got, sizeof(got));
		CU_ASSERT_STRING_EQUAL(got, OK(2, "hi"));
		CU_ASSERT_EQUAL(p.requests, 1);
		close(fd);
		run_loop(0.02);
		hsc_server_close(&p.server);
	}
}

static const struct unit_test tests[] = {
	{ "a request is parsed in pieces of any size",
	  request_is_parsed_in_pieces_of_any_size },
	{ "ambiguous framing is rejected", ambiguous_framing_is_rejected },
	{ "malformed response heads are rejected",
	  malformed_response_heads_are_rejected },
	{ "an oversized head is rejected", oversized_head_is_rejected },
	{ "hop-by-hop headers are recognized",
	  hop_by_hop_headers_are_recognized },
	{ "query parameters are parsed", query_parameters_are_parsed },
	{ "connections are reused", connections_are_reused },
	{ "a connection with a second response is not reused",
	  connection_with_a_second_response_is_not_reused },
	{ "bytes on an idle connection close it",
	  bytes_on_an_idle_connection_close_it },
	{ "a response to another request is skipped",
	  response_to_another_request_is_skipped },
	{ "truncated and malformed responses fail",
	  truncated_and_malformed_responses_fail },
	{ "responses without a body end with their head",
	  responses_without_a_body_end_with_their_head },
	{ "responses beyond a limit fail", responses_beyond_a_limit_fail },
	{ "calls can be cancelled from within",
	  calls_can_be_cancelled_from_within },
	{ "an unframed response ends with its connection",
	  unframed_response_ends_with_its_connection },
	{ "responses that may be cut short", responses_that_may_be_cut_short },
	{ "a call on a refused connection is not sent",
	  call_on_refused_connection_is_not_sent },
	{ "a slow response does not time out",
	  slow_response_does_not_time_out },
	{ "the connection of a probe is reused",
	  connection_of_a_probe_is_reused },
	{ "a probe of a peer that has exited is refused",
	  probe_of_an_exited_peer_is_refused },
	{ "a call without a tunnel is not sent",
	  call_without_a_tunnel_is_not_sent },
	{ "connections in use at a close are not reused",
	  connections_in_use_at_a_close_are_not_reused },
	{ "calls share a tunnel", calls_share_a_tunnel },
	{ "an end within a head ends no message",
	  end_within_a_head_ends_no_message },
	{ "a response cut within its head fails",
	  response_cut_within_its_head_fails },
	{ "a response to HEAD cut within its head fails",
	  response_to_head_cut_within_its_head_fails },
	{ "a relay's answer cut within its head opens no tunnel",
	  relay_answer_cut_within_its_head_opens_no_tunnel },
	{ "a call to a silent peer times out",
	  call_to_a_silent_peer_times_out },
	{ "the peer detects a cancelled call", peer_detects_a_cancelled_call },
	{ "a peer can be freed by its last call",
	  peer_can_be_freed_by_its_last_call },
	{ "pipelined requests get responses in order",
	  pipelined_requests_get_responses_in_order },
	{ "responses to HEAD have no body", responses_to_head_have_no_body },
	{ "bytes set aside are parsed first",
	  bytes_set_aside_are_parsed_first },
	{ "malformed, slow and large requests get an error response",
	  bad_requests_get_an_error_response },
	{ "closing idle connections keeps requests that were read",
	  closing_idle_connections_keeps_read_requests },
	{ "draining answers requests behind a response",
	  draining_answers_requests_behind_a_response },
	{ "draining answers requests that were not read yet",
	  draining_answers_requests_that_were_not_read_yet },
	{ "a client that disconnects is detected",
	  client_that_disconnects_is_detected },
	{ "a response that has arrived does not time out",
	  response_that_has_arrived_does_not_time_out },
	{ "a stall does not use up the time of a body",
	  stall_does_not_use_up_the_time_of_a_body },
	{ "connection with unread input is not reused",
	  connection_with_unread_input_is_not_reused },
	{ "connecting does not use up the time of a call",
	  connecting_does_not_use_up_the_time_of_a_call },
	{ "a request that has arrived does not time out",
	  request_that_has_arrived_does_not_time_out },
};

int main(void)
{
	loop = ev_default_loop(EVFLAG_AUTO);
	return unit_run("http", tests, sizeof(tests) / sizeof(tests[0]));
}
