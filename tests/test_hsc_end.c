/*
 * The end of a server's connections, with clients that read slowly: no byte of a
 * response that was written is lost as long as the client reads.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/hsc.h"
#include "support/unit.h"

/* More than the socket buffers of both sides hold. */
#define RESPONSE_BYTES (16u << 20)

static struct ev_loop *loop;

struct served {
	struct hsc_server server;
	struct sockaddr_in addr;
	bool waits; /* the response is ended by the test */
	struct hsc *conn;
	unsigned requests, gone;
};

static void respond(struct hsc *c)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: ";
	char text[64];
	char *body = calloc(1, RESPONSE_BYTES);

	snprintf(text, sizeof(text), "%s%u\r\n\r\n", head, RESPONSE_BYTES);
	hsc_write(c, text, strlen(text));
	hsc_write(c, body, RESPONSE_BYTES);
	free(body);
}

static void on_request(struct hsc *c)
{
	struct served *s = c->server->owner;

	s->requests++;
	s->conn = c;
	respond(c);
	if (!s->waits)
		hsc_done(c, false);
}

static void on_gone(struct hsc *c)
{
	struct served *s = c->server->owner;

	s->gone++;
	s->conn = NULL;
}

static void on_read_error(struct hsc *c, enum hsc_read_error e, struct buf *out)
{
	(void)c;
	(void)e;
	buf_str(out, "HTTP/1.1 400 X\r\nConnection: close\r\n\r\n");
}

static int idle_ms;

static void set_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 16384, 16384, 1000, 1000, idle_ms };
}

static const struct hsc_vtable vtable = { on_request, on_gone, on_read_error,
					  set_limits, NULL,    NULL };

static void on_time(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_loop(double s)
{
	ev_timer t;

	ev_timer_init(&t, on_time, s, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
	ev_timer_stop(loop, &t);
}

static void open_server(struct served *s)
{
	char at[32];

	if (!loop)
		loop = ev_default_loop(EVFLAG_AUTO);
	memset(s, 0, sizeof(*s));
	CU_ASSERT_EQUAL_FATAL(ioc_address("127.0.0.1:0", &s->addr, NULL), 0);
	CU_ASSERT_EQUAL_FATAL(hsc_server_open(&s->server, loop, &s->addr,
					      &vtable, s, NULL),
			      0);
	hsc_server_address(&s->server, at, sizeof(at));
	ioc_address(at, &s->addr, NULL);
}

static int connect_to(const struct served *s)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(connect(fd, (const struct sockaddr *)&s->addr,
				      sizeof(s->addr)),
			      0);
	return fd;
}

/* A client that has sent a request and reads nothing yet. */
static int request(struct served *s)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	const int fd = connect_to(s);

	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	run_loop(0.05);
	CU_ASSERT_EQUAL(s->requests, 1);
	return fd;
}

/* Reads until nothing comes for some iterations; returns the number of bytes. */
static size_t read_on(int fd)
{
	static char data[1u << 16];
	size_t n = 0;
	ssize_t r = 1;
	int quiet = 0;

	while (r != 0 && quiet < 20) {
		r = recv(fd, data, sizeof(data), 0);
		if (r > 0) {
			n += (size_t)r;
			quiet = 0;
			continue;
		}
		quiet++;
		run_loop(0.005);
	}
	return n;
}

static void end(struct served *s, int fd)
{
	CU_ASSERT(read_on(fd) >= RESPONSE_BYTES);
	close(fd);
	run_loop(0.05);
	CU_ASSERT_EQUAL(s->server.nr_conns, 0);
	hsc_server_close(&s->server);
}

/* Guards against responses cut off when a leaving entry closed idle connections. */
static void closing_idle_connections_keeps_unsent_responses(void)
{
	struct served s;
	int fd;

	idle_ms = 60000;
	open_server(&s);
	fd = request(&s);
	hsc_server_drain(&s.server);
	hsc_server_close_idle(&s.server);
	hsc_server_close_idle(&s.server);
	CU_ASSERT_EQUAL(s.server.nr_conns, 1);
	end(&s, fd);
}

/* Guards against responses cut off by the time-out of idle connections. */
static void idle_timeout_keeps_unsent_responses(void)
{
	struct served s;
	int fd;

	idle_ms = 20;
	open_server(&s);
	fd = request(&s);
	run_loop(0.1);
	CU_ASSERT_EQUAL(s.server.nr_conns, 1);
	end(&s, fd);
}

/* Guards against last responses cut off a second after they were written. */
static void lingering_keeps_unsent_responses(void)
{
	struct served s;
	int fd;

	idle_ms = 60000;
	open_server(&s);
	hsc_server_drain(&s.server);
	fd = request(&s);
	run_loop(1.2);
	CU_ASSERT_EQUAL(s.server.nr_conns, 1);
	end(&s, fd);
}

/* A client that never reads is not waited for. */
static void unread_responses_are_dropped(void)
{
	struct served s;
	int fd;

	idle_ms = 60000;
	open_server(&s);
	fd = request(&s);
	hsc_server_close(&s.server);
	CU_ASSERT_EQUAL(s.server.nr_conns, 0);
	close(fd);
}

/* Guards against a part of a request that counts as whole, however its client ends. */
static void request_that_is_cut_off_is_not_served(void)
{
	static const char *const parts[] = {
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
		"Content-Length: 10\r\n\r\nhello",
		"GET / HTTP/1.1\r\nHost: x\r\n",
	};
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	struct served s;
	size_t i;
	int fd;

	open_server(&s);
	for (i = 0; i < 2 * sizeof(parts) / sizeof(parts[0]); i++) {
		fd = connect_to(&s);
		send(fd, parts[i / 2], strlen(parts[i / 2]), MSG_NOSIGNAL);
		if (i % 2)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(fd);
		run_loop(0.02);
	}
	CU_ASSERT_EQUAL(s.requests, 0);
	CU_ASSERT_EQUAL(s.server.nr_conns, 0);
	hsc_server_close(&s.server);
}

static const struct unit_test tests[] = {
	{ "a request that is cut off is not served",
	  request_that_is_cut_off_is_not_served },
	{ "closing idle connections keeps unsent responses",
	  closing_idle_connections_keeps_unsent_responses },
	{ "the idle time-out keeps unsent responses",
	  idle_timeout_keeps_unsent_responses },
	{ "lingering keeps unsent responses",
	  lingering_keeps_unsent_responses },
	{ "a closed server waits for no client", unread_responses_are_dropped },
};

UNIT_MAIN("hsc_end", tests)
