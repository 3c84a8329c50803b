/* Replies that hcl and mux receive over loopback, cut at any place or without end. */
#include <pthread.h>
#include <stdio.h>
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

	pthread_mutex_lock(&s->lock);
	send(fd, s->text, s->len, MSG_NOSIGNAL);
	while (s->again &&
	       send(fd, s->again, strlen(s->again), MSG_NOSIGNAL) > 0)
		;
	if (s->reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
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
static void stream(struct mux *m, const struct server *s, struct sunk *g)
{
	static const struct mux_sink sink = { on_status, on_data, on_end };
	const struct mux_request rq = { .method = "POST",
					.address = s->address,
					.path = "/",
					.body = "{}",
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
			stream(m, &s, &g);
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
		stream(m, &s, &g);
		CU_ASSERT_EQUAL(g.why, heads[i].whole ? ERR_NONE : ERR_IO);
		CU_ASSERT(g.status >= 200);
	}
	set_answer(&s, "HTTP/1.1 200 OK\r\n", strlen("HTTP/1.1 200 OK\r\n"),
		   false, "X-Other: something\r\n");
	stream(m, &s, &g);
	CU_ASSERT_EQUAL(g.why, ERR_IO);
	CU_ASSERT_EQUAL(g.status, 0);
	mux_free(m);
	close_server(&s);
}

static const struct unit_test tests[] = {
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
