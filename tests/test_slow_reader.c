/*
 * An HTTP server whose clients read slowly, over loopback: a response that is
 * complete here is not yet with its client.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/hsc.h"
#include "support/unit.h"

/* More than the buffers of both sides hold. */
#define BODY_BYTES (8u << 20)
#define IDLE_MS 400

static struct ev_loop *loop;
static bool close_after;

static void on_request(struct hsc *c)
{
	BUF_AUTO out = BUF_INIT;

	buf_fmt(&out, "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n%*s",
		BODY_BYTES, (int)BODY_BYTES, "");
	hsc_write(c, out.data, out.len);
	hsc_done(c, close_after);
}

static void on_disconnected(struct hsc *c)
{
	(void)c;
}

static void on_read_error(struct hsc *c, enum hsc_read_error error,
			  struct buf *out)
{
	(void)c;
	(void)error;
	(void)out;
}

static void get_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){
		.header_bytes = 8192,
		.body_bytes = 1000,
		.header_ms = 1000,
		.body_ms = 1000,
		.idle_ms = IDLE_MS,
	};
}

static const struct hsc_vtable vtable = {
	.request = on_request,
	.disconnected = on_disconnected,
	.read_error = on_read_error,
	.limits = get_limits,
};

static void stop_loop(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_loop(double seconds)
{
	ev_timer t;

	ev_timer_init(&t, stop_loop, seconds, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
	ev_timer_stop(loop, &t);
}

/* Sends a request over a new connection with a small receive buffer. */
static int ask(struct hsc_server *s, bool close)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	const int buffer_bytes = 4096;
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	close_after = close;
	CU_ASSERT_FATAL(!hsc_server_open(s, loop, &at, &vtable, NULL, NULL));
	getsockname(s->fd, (struct sockaddr *)&at, &len);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	CU_ASSERT_FATAL(!connect(fd, (struct sockaddr *)&at, sizeof(at)));
	CU_ASSERT_EQUAL(send(fd, request, strlen(request), MSG_NOSIGNAL),
			(ssize_t)strlen(request));
	run_loop(0.1);
	return fd;
}

/*
 * Reads until the connection ends or the body is complete: at first `pauses`
 * small pieces with a pause after each. Returns true if it is complete.
 */
static bool read_body(int fd, int pauses)
{
	static char chunk[65536];
	size_t got = 0;
	ssize_t n;

	while (got < BODY_BYTES) {
		n = recv(fd, chunk, pauses > 0 ? 2048 : sizeof(chunk),
			 MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			return false;
		if (n > 0)
			got += (size_t)n;
		run_loop(pauses-- > 0 ? 0.1 : 0.0005);
	}
	return true;
}

/*
 * Callers lost the ends of answers: connections counted as idle, or were closed
 * one second after the last byte was queued, while the client still received it.
 */
static void response_is_delivered_to_a_client_that_reads_slowly(void)
{
	static const bool closes[] = { false, true };
	struct hsc_server s;
	size_t i;
	int fd;

	for (i = 0; i < 2; i++) {
		fd = ask(&s, closes[i]);
		CU_ASSERT_EQUAL(s.nr_responding, 0);
		CU_ASSERT(read_body(fd, 20));
		close(fd);
		run_loop(0.05);
		CU_ASSERT_EQUAL(s.nr_conns, 0);
		hsc_server_close(&s);
	}
}

/*
 * At a shutdown, answers whose last byte was queued before were cut off: their
 * connections counted as idle.
 */
static void response_is_delivered_though_idle_connections_are_closed(void)
{
	struct hsc_server s;
	const int fd = ask(&s, false);

	hsc_server_close_idle(&s);
	CU_ASSERT_EQUAL(s.nr_conns, 1);
	CU_ASSERT(read_body(fd, 5));
	run_loop(0.05);
	close(fd);
	run_loop(0.05);
	CU_ASSERT_EQUAL(s.nr_conns, 0);
	hsc_server_close(&s);
}

/* A client that never reads must not keep the memory of its response. */
static void client_that_never_reads_is_disconnected(void)
{
	static const bool closes[] = { false, true };
	struct hsc_server s;
	size_t i;
	int fd;

	for (i = 0; i < 2; i++) {
		fd = ask(&s, closes[i]);
		CU_ASSERT_EQUAL(s.nr_conns, 1);
		run_loop(2.5);
		CU_ASSERT_EQUAL(s.nr_conns, 0);
		close(fd);
		hsc_server_close(&s);
	}
}

static const struct unit_test tests[] = {
	{ "a response is delivered to a client that reads slowly",
	  response_is_delivered_to_a_client_that_reads_slowly },
	{ "a response is delivered though idle connections are closed",
	  response_is_delivered_though_idle_connections_are_closed },
	{ "a client that never reads is disconnected",
	  client_that_never_reads_is_disconnected },
};

int main(void)
{
	loop = ev_default_loop(EVFLAG_AUTO);
	return unit_run("slow_reader", tests, sizeof(tests) / sizeof(tests[0]));
}
