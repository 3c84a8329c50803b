/* HTTP: parsing of what callers and endpoints may send, and calls and
 * answers over loopback, with peers that misbehave. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "io/hsc.h"
#include "io/htc.h"
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

/* Feeds the text in pieces of `step` bytes until something is decided. */
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

static void request_is_read_however_it_is_cut(void)
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
 * Symptom: an endpoint ran a request that no caller had sent. Sequence: a
 * head that two readers frame differently hides a second request in the body
 * of the first. All of these are refused, not guessed at.
 */
static void framing_with_two_meanings_is_refused(void)
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
			printf("  not refused: %zu\n", i);
		CU_ASSERT(r == HPARSE_MALFORMED || r == HPARSE_HEAD_TOO_LARGE);
		hparse_free(&p);
		buf_free(&got.body);
	}
}

static void large_head_is_refused(void)
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

static void hop_headers_are_known(void)
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

static void queries_are_taken_apart(void)
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

/* ---- A peer on loopback that answers as told ---- */

struct peer {
	struct hsc_server server;
	struct sockaddr_in addr;
	const char *raw; /* what it answers; NULL: nothing */
	bool cut;	 /* closes after it */
	int requests;
	struct hsc *held; /* the connection that waits for an answer */
};

static void peer_request(struct hsc *c)
{
	struct peer *p = c->server->owner;

	p->requests++;
	p->held = c;
	if (!p->raw)
		return;
	hsc_write(c, p->raw, strlen(p->raw));
	if (p->cut)
		hsc_disconnect(c);
	else
		hsc_done(c, false);
}

static int gone;

static void peer_gone(struct hsc *c)
{
	(void)c;
	gone++;
}

static void peer_fault(struct hsc *c, enum hsc_read_error f, struct buf *out)
{
	(void)c;
	buf_fmt(out,
		"HTTP/1.1 4%02d X\r\nContent-Length: 0\r\n"
		"Connection: close\r\n\r\n",
		f);
}

static void peer_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 4096, 10000, 200, 200, 5000 };
}

static const struct hsc_vtable peer_vtable = { peer_request, peer_gone,
					       peer_fault, peer_limits };

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

static void on_end_of_turn(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void turn(double s)
{
	ev_timer t;

	ev_timer_init(&t, on_end_of_turn, s, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
	ev_timer_stop(loop, &t);
}

/* ---- Calls ---- */

struct call {
	int heads, ends, failures;
	enum htc_failure why;
	int status;
	bool sent;
	struct buf body;
	const char *skip; /* answers with this header value are passed over */
	int extend_ms; /* each piece of the body bounds the call anew; 0: not */
};

static bool c_head(struct htc_call *h, const struct hmsg *m)
{
	struct call *c = htc_owner(h);
	const char *id = hmsg_find(m, "Id");

	if (c->skip && id && !strcmp(id, c->skip))
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
	((struct call *)htc_owner(h))->ends++;
}

static void c_failed(struct htc_call *h, enum htc_failure why)
{
	struct call *c = htc_owner(h);

	c->failures++;
	c->why = why;
}

static const struct htc_vtable call_vtable = { c_head, c_body, c_end,
					       c_failed };

static const struct htc_limits call_limits = {
	.connect_ms = 300,
	.user_timeout_ms = 1000,
	.keepalive_s = 1,
	.idle_ms = 5000,
};

static struct htc_call *start(struct htc_peer *to, struct call *c, int total)
{
	struct buf wire = BUF_INIT;

	memset(c, 0, sizeof(*c));
	buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	return htc_start(to, &wire, 0, false, total, &call_vtable, c);
}

#define OK(body_len, body) \
	"HTTP/1.1 200 OK\r\nContent-Length: " #body_len "\r\n\r\n" body

static void connections_are_kept(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int i;

	open_peer(&p, OK(2, "hi"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	for (i = 0; i < 3; i++) {
		start(&to, &c, 0);
		turn(0.02);
		CU_ASSERT_EQUAL(c.ends, 1);
		CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
		buf_free(&c.body);
	}
	CU_ASSERT_EQUAL(to.opened, 1);
	CU_ASSERT_EQUAL(to.reused, 2);
	htc_peer_close(&to);
	turn(0.01);
	hsc_server_close(&p.server);
}

/*
 * Symptom: a caller got the answer to somebody else's request. Sequence: an
 * endpoint sends a second answer; it lies in the kept connection and is read
 * as the answer to the next request. Cause: the connection was used again.
 */
static void connection_with_a_second_answer_is_not_kept(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, OK(2, "hi") OK(3, "bad"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	turn(0.02);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "hi");
	buf_free(&c.body);
	CU_ASSERT_EQUAL(to.nr_idle, 0);
	hsc_server_close(&p.server);
}

/* The second answer comes late, when the connection is idle. */
static void late_bytes_close_an_idle_connection(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, OK(2, "hi"));
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	turn(0.02);
	buf_free(&c.body);
	CU_ASSERT_EQUAL(to.nr_idle, 1);
	ioc_write(p.held->io, "HTTP/1.1 200 OK\r\n\r\n", 19);
	turn(0.02);
	CU_ASSERT_EQUAL(to.nr_idle, 0);
	hsc_server_close(&p.server);
}

/* An answer of another request at the point of ours is passed over. */
static void foreign_answer_is_passed_over(void)
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
	c.skip = "old";
	buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	htc_start(&to, &wire, 0, false, 0, &call_vtable, &c);
	turn(0.02);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "new");
	CU_ASSERT_EQUAL(to.nr_idle, 0); /* that connection is not trusted */
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

static void broken_answers_fail(void)
{
	static const struct {
		const char *raw;
		bool cut;
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
		p.cut = cases[i].cut;
		htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
		start(&to, &c, 0);
		turn(0.03);
		CU_ASSERT_EQUAL(c.ends, 0);
		CU_ASSERT_EQUAL(c.failures, 1);
		CU_ASSERT_EQUAL(c.why, cases[i].why);
		CU_ASSERT_EQUAL(to.nr_open, 0);
		buf_free(&c.body);
		hsc_server_close(&p.server);
	}
}

/* No length: the end of the connection is the end of the answer. */
static void unframed_answer_ends_with_its_connection(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, "HTTP/1.1 200 OK\r\n\r\nall of it");
	p.cut = true;
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	turn(0.03);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&c.body), "all of it");
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

static void refused_connection_is_not_sent(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, NULL);
	hsc_server_close(&p.server);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 0);
	turn(0.03);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_NOT_SENT);
}

static void note_found(void *arg, enum htc_probe_result found)
{
	*(int *)arg = found;
}

/* The connection of a probe serves the next call. */
static void probe_of_a_peer_that_is_there(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int found = -1;

	open_peer(&p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	CU_ASSERT(htc_probe(&to, note_found, &found));
	CU_ASSERT_EQUAL(found, -1);
	turn(0.03);
	CU_ASSERT_EQUAL(found, HTC_PROBE_CONNECTED);
	CU_ASSERT_EQUAL(to.nr_idle, 1);
	start(&to, &c, 0);
	turn(0.03);
	CU_ASSERT_EQUAL(c.ends, 1);
	CU_ASSERT_EQUAL(to.opened, 1);
	buf_free(&c.body);
	htc_peer_close(&to);
	hsc_server_close(&p.server);
}

static void probe_of_a_peer_that_has_ended(void)
{
	struct htc_peer to;
	struct peer p;
	int found = -1;

	open_peer(&p, NULL);
	hsc_server_close(&p.server);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	CU_ASSERT(htc_probe(&to, note_found, &found));
	turn(0.03);
	CU_ASSERT_EQUAL(found, HTC_PROBE_REFUSED);
	CU_ASSERT_EQUAL(to.nr_open, 0);
}

static void silent_peer_is_given_up(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	gone = 0;
	start(&to, &c, 50);
	turn(0.12);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_TIMEOUT);
	CU_ASSERT_EQUAL(gone, 1);
	hsc_server_close(&p.server);
}

/*
 * Symptom: a large answer on a slow link never arrives, though the peer sends
 * it all the while. Sequence: it takes longer than the bound on the call, is
 * given up and asked for anew. Cause: the bound was on the whole answer. It is
 * on silence: pieces that come keep the call, and it ends when none do.
 */
static void slow_answer_is_not_a_silent_peer(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	int i;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	start(&to, &c, 400);
	c.extend_ms = 400;
	turn(0.03);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p.held);
	hsc_write(p.held, OK(8, "a"), strlen(OK(8, "a")));
	for (i = 0; i < 6; i++) {
		turn(0.1);
		hsc_write(p.held, "b", 1);
	}
	turn(0.03);
	CU_ASSERT_EQUAL(c.failures, 0);
	CU_ASSERT_EQUAL(c.body.len, 7);
	turn(0.6);
	CU_ASSERT_EQUAL(c.failures, 1);
	CU_ASSERT_EQUAL(c.why, HTC_TIMEOUT);
	buf_free(&c.body);
	hsc_server_close(&p.server);
}

/* A caller that leaves stops the work at the endpoint. */
static void cancelled_call_is_seen_by_the_peer(void)
{
	struct htc_peer to;
	struct peer p;
	struct call c;
	struct htc_call *h;

	open_peer(&p, NULL);
	htc_peer_init(&to, loop, clk_real(), &p.addr, &call_limits);
	gone = 0;
	h = start(&to, &c, 0);
	turn(0.02);
	CU_ASSERT_EQUAL(p.requests, 1);
	htc_cancel(h);
	turn(0.02);
	CU_ASSERT_EQUAL(gone, 1);
	CU_ASSERT_EQUAL(c.failures, 0);
	CU_ASSERT_EQUAL(to.nr_open, 0);
	hsc_server_close(&p.server);
}

/*
 * Symptom: a process ended with a fault on memory. Sequence: the last request
 * on an endpoint that had left ends; its owner drops the endpoint, and the
 * endpoint's peer with it, from within the callback; then the connection of
 * that request was put back into the peer. Cause: the order of the two.
 */
struct dropped {
	struct call call;
	struct htc_peer *peer;
};

static void d_end(struct htc_call *h)
{
	struct dropped *d = htc_owner(h);

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

static void peer_may_go_with_its_last_call(void)
{
	static const struct htc_vtable vtable = { c_head, c_body, d_end,
						  d_failed };
	int cut;

	for (cut = 0; cut < 2; cut++) {
		struct dropped d;
		struct peer p;
		struct buf wire = BUF_INIT;

		open_peer(&p,
			  cut ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"
			      : OK(2, "hi"));
		p.cut = cut;
		memset(&d, 0, sizeof(d));
		d.peer = malloc(sizeof(*d.peer));
		htc_peer_init(d.peer, loop, clk_real(), &p.addr, &call_limits);
		buf_str(&wire, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
		htc_start(d.peer, &wire, 0, false, 0, &vtable, &d);
		turn(0.03);
		CU_ASSERT_EQUAL(d.call.ends, 1);
		buf_free(&d.call.body);
		hsc_server_close(&p.server);
	}
}

/* ---- The server's side ---- */

/* A blocking caller; the loop turns between its steps. */
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

static void requests_in_a_row_are_answered_in_order(void)
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
	turn(0.05);
	read_all(fd, got, sizeof(got));
	CU_ASSERT_EQUAL(p.requests, 3);
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi") OK(2, "hi") OK(2, "hi"));
	close(fd);
	turn(0.02);
	hsc_server_close(&p.server);
}

static void bad_slow_and_large_requests_are_told_so(void)
{
	static const struct {
		const char *text;
		const char *want;
	} cases[] = {
		{ "BAD\r\n\r\n", "HTTP/1.1 400" },
		{ "GET / HTTP/1.1\r\nHost:", "HTTP/1.1 403" }, /* too slow */
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
		turn(0.3);
		read_all(fd, got, sizeof(got));
		CU_ASSERT_EQUAL(strncmp(got, cases[i].want, 12), 0);
		CU_ASSERT_EQUAL(p.requests, 0);
		close(fd);
		turn(0.02);
		hsc_server_close(&p.server);
	}
}

/*
 * Symptom: after SIGTERM a request that had been read got a closed
 * connection. Sequence: no request is under way, the process decides to end,
 * and reads one more in the same turn. Cause: ending in one step.
 */
static void leaving_keeps_what_was_read(void)
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
	turn(0.03);
	hsc_server_drain(&p.server);
	hsc_server_close_idle(&p.server);
	CU_ASSERT_EQUAL(p.server.nr_conns, 2);
	CU_ASSERT_EQUAL(read_all(idle, got, sizeof(got)), 0);
	CU_ASSERT(hsc_must_close(p.held));
	hsc_write(p.held, OK(2, "hi"), strlen(OK(2, "hi")));
	hsc_done(p.held, false);
	p.raw = OK(2, "yo");
	send_text(half, "st: x\r\n\r\n");
	turn(0.05);
	read_all(busy, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "hi"));
	read_all(half, got, sizeof(got));
	CU_ASSERT_STRING_EQUAL(got, OK(2, "yo"));
	close(busy);
	close(half);
	close(idle);
	turn(0.02);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

static void caller_that_leaves_is_noticed(void)
{
	struct peer p;
	int fd;

	open_peer(&p, NULL);
	gone = 0;
	fd = connect_to(&p);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	turn(0.02);
	close(fd);
	turn(0.02);
	CU_ASSERT_EQUAL(gone, 1);
	CU_ASSERT_EQUAL(p.server.nr_conns, 0);
	hsc_server_close(&p.server);
}

static const struct unit_test tests[] = {
	{ "a request is read however it is cut",
	  request_is_read_however_it_is_cut },
	{ "framing with two meanings is refused",
	  framing_with_two_meanings_is_refused },
	{ "a large head is refused", large_head_is_refused },
	{ "hop headers are known", hop_headers_are_known },
	{ "queries are taken apart", queries_are_taken_apart },
	{ "connections are kept", connections_are_kept },
	{ "a connection with a second answer is not kept",
	  connection_with_a_second_answer_is_not_kept },
	{ "late bytes close an idle connection",
	  late_bytes_close_an_idle_connection },
	{ "a foreign answer is passed over", foreign_answer_is_passed_over },
	{ "broken answers fail", broken_answers_fail },
	{ "an unframed answer ends with its connection",
	  unframed_answer_ends_with_its_connection },
	{ "a refused connection is not sent", refused_connection_is_not_sent },
	{ "slow answer is not a silent peer",
	  slow_answer_is_not_a_silent_peer },
	{ "a probe of a peer that is there is kept",
	  probe_of_a_peer_that_is_there },
	{ "a probe of a peer that has ended", probe_of_a_peer_that_has_ended },
	{ "a silent peer is given up", silent_peer_is_given_up },
	{ "a cancelled call is seen by the peer",
	  cancelled_call_is_seen_by_the_peer },
	{ "a peer may go with its last call", peer_may_go_with_its_last_call },
	{ "requests in a row are answered in order",
	  requests_in_a_row_are_answered_in_order },
	{ "bad, slow and large requests are told so",
	  bad_slow_and_large_requests_are_told_so },
	{ "leaving keeps what was read", leaving_keeps_what_was_read },
	{ "a caller that leaves is noticed", caller_that_leaves_is_noticed },
};

int main(void)
{
	loop = ev_default_loop(EVFLAG_AUTO);
	return unit_run("http", tests, sizeof(tests) / sizeof(tests[0]));
}
