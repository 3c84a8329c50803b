/*
 * Replies that hcl and mux receive over loopback: cut at any place, without end, malformed,
 * or reset while the request is being sent.
 */
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/ioc.h"
#include "net/hcl.h"
#include "net/mux.h"
#include "net/rhead.h"
#include "support/unit.h"

/* ---- A server that sends a part of a text and ends the connection ---- */

struct server {
	pthread_mutex_t lock;
	pthread_t thread;
	int listener;
	char address[32];
	const char *text;
	size_t len;	   /* bytes of it that are sent */
	const char *again; /* sent on and on after them; NULL: nothing */
	bool reset;
	bool kept;    /* the connection stays open until the client closes */
	bool orderly; /* a shutdown before the close */
	bool unread; /* closed once a part of the body has come, which is not read */
};

static void read_request(int fd)
{
	char got[4096];
	size_t len = 0;
	ssize_t n;

	do {
		n = recv(fd, got + len, sizeof(got) - 1 - len, 0);
		if (n <= 0)
			return;
		len += (size_t)n;
		got[len] = '\0';
	} while (!strstr(got, "\r\n\r\n"));
}

static void answer(struct server *s, int fd)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };
	struct pollfd input = { .fd = fd, .events = POLLIN };
	char rest[4096];

	pthread_mutex_lock(&s->lock);
	if (s->unread)
		poll(&input, 1, -1);
	send(fd, s->text, s->len, MSG_NOSIGNAL);
	while (s->again &&
	       send(fd, s->again, strlen(s->again), MSG_NOSIGNAL) > 0)
		;
	if (s->reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	if (s->orderly)
		shutdown(fd, SHUT_WR);
	while (s->kept && recv(fd, rest, sizeof(rest), 0) > 0)
		;
	pthread_mutex_unlock(&s->lock);
}

static void *serve(void *arg)
{
	struct server *s = arg;
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		read_request(fd);
		answer(s, fd);
		close(fd);
	}
	return NULL;
}

static void open_server(struct server *s)
{
	struct sockaddr_in at;
	socklen_t len = sizeof(at);

	memset(s, 0, sizeof(*s));
	pthread_mutex_init(&s->lock, NULL);
	ioc_address("127.0.0.1:0", &at, NULL);
	s->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	CU_ASSERT_EQUAL_FATAL(
		bind(s->listener, (struct sockaddr *)&at, sizeof(at)), 0);
	CU_ASSERT_EQUAL_FATAL(listen(s->listener, 16), 0);
	getsockname(s->listener, (struct sockaddr *)&at, &len);
	snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		 ntohs(at.sin_port));
	CU_ASSERT_EQUAL_FATAL(pthread_create(&s->thread, NULL, serve, s), 0);
}

static void close_server(struct server *s)
{
	shutdown(s->listener, SHUT_RDWR);
	pthread_join(s->thread, NULL);
	close(s->listener);
	pthread_mutex_destroy(&s->lock);
}

static void set_answer(struct server *s, const char *text, size_t len,
		       bool reset, const char *again)
{
	pthread_mutex_lock(&s->lock);
	s->text = text;
	s->len = len;
	s->reset = reset;
	s->again = again;
	pthread_mutex_unlock(&s->lock);
}

/* ---- hcl ---- */

static int call(struct hcl *h, const struct server *s, struct hcl_reply *out,
		struct err *e)
{
	const struct hcl_request rq = {
		.method = "POST",
		.address = s->address,
		.path = "/",
		.total_ms = 5000,
		.once = true,
	};

	return hcl_call(h, &rq, out, e);
}

/* Replies without their bodies; `whole`: nothing follows on the head. */
static const struct reply_head {
	const char *text;
	bool whole;
} heads[] = {
	{ "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 10\r\n\r\n", false },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n", true },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false },
	{ "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", true },
	{ "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n", true },
	{ "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\n", false },
	{ "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n", true },
	{ "HTTP/1.1 503 Busy\r\nX: y\r\n\r\n", true },
	{ "HTTP/1.1 404 Not Found\r\nX: y\r\n\r\n", true },
	{ "HTTP/1.1 400 Bad Request\r\nX: y\r\n\r\n", true },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	  true },
	{ "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
	  "HTTP/1.1 503 Busy\r\nX: y\r\n\r\n",
	  true },
};

#define NR_HEADS (sizeof(heads) / sizeof(heads[0]))

/* Guards against a reply cut within its head that counts as whole, with an empty body. */
static void call_fails_if_the_head_is_cut(void)
{
	struct hcl *h = hcl_create();
	struct server s;
	size_t i, n;

	open_server(&s);
	for (i = 0; i < 2 * NR_HEADS; i++) {
		const struct reply_head *head = &heads[i / 2];
		const size_t len = strlen(head->text);

		for (n = 0; n <= len; n++) {
			HCL_REPLY_AUTO r = HCL_REPLY_INIT;
			struct err e = ERR_INIT;
			const bool whole = head->whole && n == len;

			set_answer(&s, head->text, n, i % 2, NULL);
			/* A reset may overtake the last bytes. */
			if (!call(h, &s, &r, &e)) {
				CU_ASSERT(whole);
				CU_ASSERT_EQUAL(r.body.len, 0);
			} else {
				CU_ASSERT(!whole || i % 2);
				CU_ASSERT_EQUAL(e.code, ERR_IO);
			}
		}
	}
	hcl_free(h);
	close_server(&s);
}

/* Guards against headers without end, which libcurl would store. */
static void head_without_end_fails(void)
{
	static const struct {
		const char *start, *again;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n", "X-Other: something\r\n" },
		{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		  "X-Other: something\r\n" },
	};
	struct hcl *h = hcl_create();
	struct server s;
	size_t i;

	open_server(&s);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		HCL_REPLY_AUTO r = HCL_REPLY_INIT;
		struct err e = ERR_INIT;

		set_answer(&s, cases[i].start, strlen(cases[i].start), false,
			   cases[i].again);
		CU_ASSERT_EQUAL(call(h, &s, &r, &e), -1);
		CU_ASSERT_EQUAL(e.code, ERR_FULL);
		CU_ASSERT(r.headers.len < RHEAD_MAX_BYTES);
	}
	hcl_free(h);
	close_server(&s);
}

/* Guards against a process that ends by a reply: libcurl used a header it had freed. */
static void first_line_with_a_blank_is_harmless(void)
{
	static const char sound[] =
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 5\r\n\r\nhello";
	static const char folded[] =
		"HTTP/1.1 200 OK\r\n X: y\r\nContent-Length: 5\r\n\r\nhello";
	struct hcl *h = hcl_create();
	struct server s;
	int i;

	open_server(&s);
	for (i = 0; i < 20; i++) {
		const char *text = i % 2 ? folded : sound;
		HCL_REPLY_AUTO r = HCL_REPLY_INIT;
		struct err e = ERR_INIT;

		set_answer(&s, text, strlen(text), false, NULL);
		CU_ASSERT(!call(h, &s, &r, &e) || i % 2);
	}
	hcl_free(h);
	close_server(&s);
}

#define STATUS_LINE "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 5\r\n\r\nhello"
#define CHUNKS "\r\n5\r\nhello\r\n0\r\n\r\n"

/* Replies that are none, with a length, chunks, or to the end of the connection. */
static const char *const malformed[] = {
	"HTTP/1.1 000 X\r\n" LENGTH,
	"HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n" CHUNKS,
	"HTTP/1.1 000 X\r\n\r\nhello",
	"HTTP/1.1 099 X\r\n" LENGTH,
	"HTTP/1.1 600 X\r\n" LENGTH,
	"HTTP/1.1 999 X\r\n" LENGTH,
	" HTTP/1.1 200 OK\r\n" LENGTH,
	STATUS_LINE "X Other: y\r\n" LENGTH,
	STATUS_LINE "X\tOther: y\r\n" LENGTH,
	STATUS_LINE "X\x01Other: y\r\n" LENGTH,
	STATUS_LINE "X\x7fOther: y\r\n" LENGTH,
	STATUS_LINE "X\x80Other: y\r\n" LENGTH,
	STATUS_LINE "X-Other : y\r\n" LENGTH,
	STATUS_LINE " X-Other: y\r\n" LENGTH,
	STATUS_LINE ": y\r\n" LENGTH,
	STATUS_LINE "X-Other\r\n" LENGTH,
	STATUS_LINE "X-Other: a\x01z\r\n" LENGTH,
	STATUS_LINE "X-Other: a\rb\r\n" LENGTH,
	STATUS_LINE "Content-Length : 3\r\n\r\nhello",
	STATUS_LINE "Transfer-Encoding : chunked\r\n" CHUNKS,
	STATUS_LINE "Transfer-Encoding: chunked\r\n X: y\r\n" CHUNKS,
	STATUS_LINE "Transfer-Encoding: gzip\r\n\r\nhello",
	STATUS_LINE "Transfer-Encoding: gzip, chunked\r\n" CHUNKS,
	STATUS_LINE "Transfer-Encoding: chunked\r\n"
		    "Transfer-Encoding: chunked\r\n" CHUNKS,
	STATUS_LINE "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
		    "0\r\nX Other: y\r\n\r\n",
};

#define NR_MALFORMED (sizeof(malformed) / sizeof(malformed[0]))

/* Guards against a reply that is none but is given to the caller, or awaited. */
static void call_fails_if_the_reply_is_malformed(void)
{
	struct hcl *h = hcl_create();
	struct server s;
	size_t i;

	open_server(&s);
	for (i = 0; i < 2 * NR_MALFORMED; i++) {
		const char *text = malformed[i / 2];
		HCL_REPLY_AUTO r = HCL_REPLY_INIT;
		struct err e = ERR_INIT;
		int ret;

		set_answer(&s, text, strlen(text), false, NULL);
		s.kept = i % 2;
		ret = call(h, &s, &r, &e);
		/* Its end would come with that of the connection. */
		if (s.kept && e.code == ERR_TIMEOUT && strstr(text, "\n\r\nh"))
			continue;
		if (!ret || e.code != ERR_IO)
			printf("  not refused: %zu\n", i);
		CU_ASSERT_EQUAL(ret, -1);
		CU_ASSERT_EQUAL(e.code, ERR_IO);
	}
	s.kept = false;
	hcl_free(h);
	close_server(&s);
}

/* More than the sockets of both sides hold. */
#define UPLOAD_BYTES (8u << 20)
#define UPLOADS 40

static void limit_window(struct server *s)
{
	const int window = 8192;

	setsockopt(s->listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
}

/* Guards against a part of a reply that counts as whole, if the request is cut off. */
static void call_fails_if_it_is_cut_off_while_it_is_sent(void)
{
	static const char part[] = STATUS_LINE "X: y\r\n\r\npart";
	struct hcl *h = hcl_create();
	char *upload = calloc(1, UPLOAD_BYTES);
	struct server s;
	int i;

	open_server(&s);
	limit_window(&s);
	set_answer(&s, part, strlen(part), false, NULL);
	s.unread = true;
	for (i = 0; i < UPLOADS; i++) {
		const struct hcl_request rq = { .method = "POST",
						.address = s.address,
						.path = "/",
						.body = upload,
						.body_len = UPLOAD_BYTES,
						.total_ms = 5000,
						.once = true };
		HCL_REPLY_AUTO r = HCL_REPLY_INIT;
		struct err e = ERR_INIT;

		s.reset = i % 3 == 1;
		s.orderly = i % 3 == 2;
		CU_ASSERT_EQUAL(hcl_call(h, &rq, &r, &e), -1);
		CU_ASSERT_EQUAL(e.code, ERR_IO);
	}
	free(upload);
	hcl_free(h);
	close_server(&s);
}

/* ---- mux ---- */

struct sunk {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int ends, statuses, status;
	enum err_code why;
};

static bool on_status(int status, void *arg)
{
	struct sunk *g = arg;

	(void)status;
	pthread_mutex_lock(&g->lock);
	g->statuses++;
	pthread_mutex_unlock(&g->lock);
	return true;
}

static bool on_data(const char *data, size_t len, void *arg)
{
	(void)data;
	(void)len;
	(void)arg;
	return true;
}

static void on_end(enum err_code why, int status, void *arg)
{
	struct sunk *g = arg;

	pthread_mutex_lock(&g->lock);
	g->ends++;
	g->why = why;
	g->status = status;
	pthread_cond_signal(&g->changed);
	pthread_mutex_unlock(&g->lock);
}

/* Opens a stream and waits for its end. */
static void stream(struct mux *m, const struct server *s, struct sunk *g,
		   const char *body)
{
	static const struct mux_sink sink = { on_status, on_data, on_end };
	const struct mux_request rq = { .method = "POST",
					.address = s->address,
					.path = "/",
					.body = body,
					.total_ms = 5000 };

	g->ends = g->statuses = 0;
	CU_ASSERT_FATAL(mux_open(m, &rq, &sink, g) != 0);
	pthread_mutex_lock(&g->lock);
	while (!g->ends)
		pthread_cond_wait(&g->changed, &g->lock);
	pthread_mutex_unlock(&g->lock);
}

/* Guards against a status that is concluded from before its head is complete. */
static void stream_has_no_status_if_the_head_is_cut(void)
{
	struct sunk g = { .lock = PTHREAD_MUTEX_INITIALIZER,
			  .changed = PTHREAD_COND_INITIALIZER };
	struct mux *m = mux_create(4);
	struct server s;
	size_t i, n;

	open_server(&s);
	for (i = 0; i < 2 * NR_HEADS; i++) {
		const size_t len = strlen(heads[i / 2].text);

		for (n = 0; n < len; n++) {
			set_answer(&s, heads[i / 2].text, n, i % 2, NULL);
			stream(m, &s, &g, "{}");
			CU_ASSERT_EQUAL(g.why, ERR_IO);
			CU_ASSERT_EQUAL(g.status, 0);
			CU_ASSERT_EQUAL(g.statuses, 0);
		}
	}
	mux_free(m);
	close_server(&s);
}

static void stream_of_a_whole_head_has_its_status(void)
{
	struct sunk g = { .lock = PTHREAD_MUTEX_INITIALIZER,
			  .changed = PTHREAD_COND_INITIALIZER };
	struct mux *m = mux_create(4);
	struct server s;
	size_t i;

	open_server(&s);
	for (i = 0; i < NR_HEADS; i++) {
		set_answer(&s, heads[i].text, strlen(heads[i].text), false,
			   NULL);
		stream(m, &s, &g, "{}");
		CU_ASSERT_EQUAL(g.why, heads[i].whole ? ERR_NONE : ERR_IO);
		CU_ASSERT(g.status >= 200);
	}
	set_answer(&s, "HTTP/1.1 200 OK\r\n", strlen("HTTP/1.1 200 OK\r\n"),
		   false, "X-Other: something\r\n");
	stream(m, &s, &g, "{}");
	CU_ASSERT_EQUAL(g.why, ERR_IO);
	CU_ASSERT_EQUAL(g.status, 0);
	mux_free(m);
	close_server(&s);
}

/* Guards against the same in a stream, and against a status that is none. */
static void stream_fails_if_the_reply_is_malformed(void)
{
	struct sunk g = { .lock = PTHREAD_MUTEX_INITIALIZER,
			  .changed = PTHREAD_COND_INITIALIZER };
	struct mux *m = mux_create(4);
	struct server s;
	size_t i;

	open_server(&s);
	for (i = 0; i < NR_MALFORMED; i++) {
		set_answer(&s, malformed[i], strlen(malformed[i]), false, NULL);
		stream(m, &s, &g, "{}");
		if (g.why != ERR_IO || g.status)
			printf("  not refused: %zu\n", i);
		CU_ASSERT_EQUAL(g.why, ERR_IO);
	}
	mux_free(m);
	close_server(&s);
}

static void stream_fails_if_it_is_reset_while_it_is_sent(void)
{
	static const char part[] = STATUS_LINE "X: y\r\n\r\npart";
	struct sunk g = { .lock = PTHREAD_MUTEX_INITIALIZER,
			  .changed = PTHREAD_COND_INITIALIZER };
	struct mux *m = mux_create(4);
	char *upload = malloc(UPLOAD_BYTES + 1);
	struct server s;
	int i;

	memset(upload, 'x', UPLOAD_BYTES);
	upload[UPLOAD_BYTES] = '\0';
	open_server(&s);
	limit_window(&s);
	set_answer(&s, part, strlen(part), false, NULL);
	s.unread = true;
	for (i = 0; i < UPLOADS; i++) {
		s.reset = i % 2;
		stream(m, &s, &g, upload);
		CU_ASSERT_EQUAL(g.why, ERR_IO);
	}
	free(upload);
	mux_free(m);
	close_server(&s);
}

static const struct unit_test tests[] = {
	{ "a call fails if the reply is malformed",
	  call_fails_if_the_reply_is_malformed },
	{ "a call fails if it is cut off while it is sent",
	  call_fails_if_it_is_cut_off_while_it_is_sent },
	{ "a stream fails if the reply is malformed",
	  stream_fails_if_the_reply_is_malformed },
	{ "a stream fails if it is reset while it is sent",
	  stream_fails_if_it_is_reset_while_it_is_sent },
	{ "a call fails if the head of its reply is cut",
	  call_fails_if_the_head_is_cut },
	{ "a head without end fails", head_without_end_fails },
	{ "a first line with a blank is harmless",
	  first_line_with_a_blank_is_harmless },
	{ "a stream has no status if the head is cut",
	  stream_has_no_status_if_the_head_is_cut },
	{ "a stream of a whole head has its status",
	  stream_of_a_whole_head_has_its_status },
};

UNIT_MAIN("rhead", tests)
