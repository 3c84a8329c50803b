/*
 * The bounds of a server's connections together (hsc_bounds), over loopback: what is
 * given up when they hold too much, and which are closed when there are too many.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/hsc.h"
#include "support/unit.h"

#define BODY_BYTES 200000
/* More than the socket buffers of both sides hold, all together. */
#define ANSWER_BYTES (2u << 20)
#define REQUESTS 20
#define CLIENTS 8
#define WINDOW_BYTES ((size_t)64 << 20)

static struct ev_loop *loop;
static struct mem account;

static struct {
	struct hsc_server server;
	struct sockaddr_in addr;
	struct hsc *conn; /* of the last request */
	bool waits;	  /* it is not answered */
	size_t answer_bytes;
	unsigned requests, shed;
} w;

static void on_request(struct hsc *c)
{
	struct buf body = BUF_INIT;
	struct shb *shared;
	char head[64];
	size_t i;

	w.requests++;
	w.conn = c;
	if (w.waits)
		return;
	for (i = 0; i < w.answer_bytes; i++)
		buf_add(&body, &"0123456789"[i % 10], 1);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", body.len);
	hsc_write(c, head, strlen(head));
	shared = shb_new(&body);
	hsc_write_shared(c, shared);
	shb_put(shared);
	hsc_done(c, false);
}

static void on_gone(struct hsc *c)
{
	(void)c;
}

static void on_read_error(struct hsc *c, enum hsc_read_error e, struct buf *out)
{
	(void)c;
	buf_fmt(out, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n",
		500 + (int)e);
}

static void set_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 16384, BODY_BYTES, 5000, 5000, 5000 };
}

static void on_shed(struct hsc *c)
{
	static const char answer[] =
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

	w.shed++;
	hsc_write(c, answer, strlen(answer));
	hsc_done(c, false);
}

static const struct hsc_vtable vtable = { on_request, on_gone, on_read_error,
					  set_limits, NULL,    on_shed };

static void on_time(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_loop(void)
{
	ev_timer t;

	ev_timer_init(&t, on_time, 0.05, 0);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
	ev_timer_stop(loop, &t);
}

static void open_server(size_t limit, unsigned max_conns)
{
	char at[32];

	if (!loop)
		loop = ev_default_loop(EVFLAG_AUTO);
	memset(&w, 0, sizeof(w));
	w.answer_bytes = 10;
	mem_init(&account, clk_real(), limit);
	ioc_address("127.0.0.1:0", &w.addr, NULL);
	CU_ASSERT_EQUAL_FATAL(hsc_server_open(&w.server, loop, &w.addr, &vtable,
					      NULL, NULL),
			      0);
	hsc_server_bound(&w.server, &(struct hsc_bounds){ &account, max_conns,
							  WINDOW_BYTES });
	hsc_server_address(&w.server, at, sizeof(at));
	ioc_address(at, &w.addr, NULL);
}

/* Nothing is counted for connections that are gone. */
static void close_server(int *fds, int n)
{
	while (n)
		close(fds[--n]);
	run_loop();
	hsc_server_close(&w.server);
	CU_ASSERT_EQUAL(account.bytes, 0);
	CU_ASSERT_EQUAL(account.large_bytes, 0);
	CU_ASSERT_EQUAL(w.server.windows, 0);
}

static int connect_client(void)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(connect(fd, (const struct sockaddr *)&w.addr,
				      sizeof(w.addr)),
			      0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	run_loop();
	return fd;
}

/* Sends as fast as the server reads. */
static void send_all(int fd, const struct buf *out)
{
	size_t sent = 0;
	int turns;

	for (turns = 0; sent < out->len && turns < 200; turns++) {
		const ssize_t n = send(fd, out->data + sent, out->len - sent,
				       MSG_NOSIGNAL);

		sent += n > 0 ? (size_t)n : 0;
		run_loop();
	}
}

/* Sends the head of a request with a body, and `bytes` of it. */
static void send_body(int fd, size_t bytes)
{
	BUF_AUTO out = BUF_INIT;
	size_t end;

	buf_fmt(&out,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
		BODY_BYTES);
	end = out.len + bytes;
	while (out.len < end)
		buf_str(&out, "x");
	send_all(fd, &out);
}

static void send_small(int fd)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

	send(fd, text, strlen(text), MSG_NOSIGNAL);
	run_loop();
}

/* The status of what was received; 0: nothing, -1: the connection is closed. */
static int status_of(int fd)
{
	char text[64];
	const ssize_t n = recv(fd, text, sizeof(text) - 1, 0);

	if (n <= 0)
		return n == 0 ? -1 : 0;
	text[n] = '\0';
	return atoi(text + strlen("HTTP/1.1 "));
}

/* Guards against bodies that stop short of their end, whose sum had no bound. */
static void the_oldest_incomplete_body_is_refused(void)
{
	int fds[4], i;

	open_server(2 * BODY_BYTES + BODY_BYTES / 2, 0);
	for (i = 0; i < 3; i++) {
		fds[i] = connect_client();
		send_body(fds[i], BODY_BYTES - 1);
	}
	CU_ASSERT_EQUAL(status_of(fds[0]), 500 + HSC_NO_ROOM);
	CU_ASSERT_EQUAL(status_of(fds[1]), 0);
	CU_ASSERT_EQUAL(status_of(fds[2]), 0);
	fds[3] = connect_client();
	send_small(fds[3]);
	CU_ASSERT_EQUAL(status_of(fds[3]), 200);
	CU_ASSERT_EQUAL(account.shed[MEM_INCOMPLETE], 1);
	close_server(fds, 4);
}

static void a_complete_request_goes_after_incomplete_ones(void)
{
	int fds[3];

	open_server(2 * BODY_BYTES + BODY_BYTES / 2, 0);
	w.waits = true;
	fds[0] = connect_client();
	send_body(fds[0], BODY_BYTES);
	fds[1] = connect_client();
	send_body(fds[1], BODY_BYTES - 1);
	fds[2] = connect_client();
	send_body(fds[2], BODY_BYTES - 1);
	CU_ASSERT_EQUAL(status_of(fds[0]), 0);
	CU_ASSERT_EQUAL(status_of(fds[1]), 500 + HSC_NO_ROOM);
	CU_ASSERT_EQUAL(w.shed, 0);
	/* The owner's part belongs to the same request. */
	hsc_hold(w.conn, MEM_WAITING, 2 * BODY_BYTES);
	mem_relieve(&account);
	CU_ASSERT_EQUAL(status_of(fds[2]), 500 + HSC_NO_ROOM);
	CU_ASSERT_EQUAL(w.shed, 1);
	CU_ASSERT_EQUAL(status_of(fds[0]), 503);
	close_server(fds, 3);
}

/* Guards against answers queued without a bound for a client that does not read. */
static void a_client_that_does_not_read_is_not_answered_on(void)
{
	int fd, i;
	unsigned answered;

	open_server((size_t)64 << 20, 0);
	w.answer_bytes = ANSWER_BYTES;
	fd = connect_client();
	for (i = 0; i < REQUESTS; i++)
		send_small(fd);
	answered = w.requests;
	CU_ASSERT(answered < REQUESTS / 2);
	CU_ASSERT(account.bytes < 2 * ANSWER_BYTES);
	/* It goes on when the client reads. */
	for (i = 0; i < 100 && w.requests < REQUESTS; i++) {
		static char data[1 << 20];

		while (recv(fd, data, sizeof(data), 0) > 0)
			;
		run_loop();
	}
	CU_ASSERT_EQUAL(w.requests, REQUESTS);
	close_server(&fd, 1);
}

/* A request with chunks of one byte, each of them `chunk`. */
static void send_chunks(int fd, const char *chunk, int n)
{
	BUF_AUTO out = BUF_INIT;

	buf_str(&out, "POST / HTTP/1.1\r\nHost: x\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n");
	while (n--)
		buf_str(&out, chunk);
	buf_str(&out, "0\r\n\r\n");
	send_all(fd, &out);
}

/* Guards against bytes kept after they were sent, while a queue never empties. */
static void sent_bytes_of_a_full_queue_are_freed(void)
{
	static char data[1 << 16];
	size_t before, held;
	int fd, i;

	open_server((size_t)64 << 20, 0);
	w.waits = true;
	fd = connect_client();
	send_small(fd);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.conn);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	for (i = 0; i < 256; i++)
		hsc_write(w.conn, data, sizeof(data));
	for (i = 0; i < 256; i++) {
		while (recv(fd, data, sizeof(data), 0) < 0)
			ev_run(loop, EVRUN_NOWAIT);
		hsc_write(w.conn, data, sizeof(data));
	}
	held = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	CU_ASSERT(hsc_pending(w.conn) > (1u << 20));
	/* Buffers have up to an eighth to spare. */
	CU_ASSERT(held < hsc_pending(w.conn) / 4 * 5 + (1u << 20));
	close_server(&fd, 1);
}

/* Guards against bytes between chunks that cost time without a bound. */
static void framing_is_bounded(void)
{
	BUF_AUTO extended = BUF_INIT;
	int fds[2];

	open_server((size_t)64 << 20, 0);
	buf_fmt(&extended, "1;%1000s\r\nx\r\n", "x");
	fds[0] = connect_client();
	send_chunks(fds[0], buf_cstr(&extended), 200);
	CU_ASSERT_EQUAL(status_of(fds[0]), 500 + HSC_FRAMING_TOO_LARGE);
	/* Chunks of one byte are within the bound. */
	fds[1] = connect_client();
	send_chunks(fds[1], "1\r\nx\r\n", 20000);
	CU_ASSERT_EQUAL(status_of(fds[1]), 200);
	close_server(fds, 2);
}

/* Guards against silent clients that keep others out. */
static void the_longest_silent_connection_makes_room(void)
{
	int fds[4], i;

	open_server((size_t)64 << 20, 3);
	for (i = 0; i < 3; i++)
		fds[i] = connect_client();
	/* The first one is not silent any more. */
	send_small(fds[0]);
	CU_ASSERT_EQUAL(status_of(fds[0]), 200);
	fds[3] = connect_client();
	CU_ASSERT_EQUAL(w.server.nr_conns, 3);
	CU_ASSERT_EQUAL(status_of(fds[0]), 0);
	CU_ASSERT_EQUAL(status_of(fds[1]), -1);
	CU_ASSERT_EQUAL(status_of(fds[2]), 0);
	send_small(fds[3]);
	CU_ASSERT_EQUAL(status_of(fds[3]), 200);
	close_server(fds, 4);
}

static void a_request_in_progress_is_not_closed_for_others(void)
{
	int fds[3];

	open_server((size_t)64 << 20, 2);
	w.waits = true;
	fds[0] = connect_client();
	send_small(fds[0]);
	fds[1] = connect_client();
	send_small(fds[1]);
	fds[2] = connect_client();
	CU_ASSERT_EQUAL(status_of(fds[0]), 0);
	CU_ASSERT_EQUAL(status_of(fds[1]), 0);
	CU_ASSERT_EQUAL(status_of(fds[2]), -1);
	close_server(fds, 3);
}

/* Guards against a loop that spins while accept() fails for want of a descriptor. */
static void without_a_descriptor_the_listener_rests(void)
{
	struct rlimit before, none;
	unsigned turns = 0;
	int fd;

	open_server((size_t)64 << 20, 0);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	getrlimit(RLIMIT_NOFILE, &before);
	none = before;
	none.rlim_cur = 0;
	setrlimit(RLIMIT_NOFILE, &none);
	CU_ASSERT(connect(fd, (const struct sockaddr *)&w.addr,
			  sizeof(w.addr)) < 0);
	while (turns < 20 && !ev_is_active(&w.server.rest)) {
		ev_run(loop, EVRUN_NOWAIT);
		turns++;
	}
	CU_ASSERT(ev_is_active(&w.server.rest));
	CU_ASSERT_FALSE(ev_is_active(&w.server.acceptor));
	setrlimit(RLIMIT_NOFILE, &before);
	while (w.server.nr_conns == 0 && turns++ < 200)
		run_loop();
	CU_ASSERT_EQUAL(w.server.nr_conns, 1);
	close_server(&fd, 1);
}

static void windows_fit_into_their_memory(void)
{
	int fds[CLIENTS], i;
	size_t last = SIZE_MAX;

	open_server((size_t)64 << 20, 0);
	for (i = 0; i < CLIENTS; i++) {
		const struct hsc *c;

		fds[i] = connect_client();
		c = cds_list_entry(w.server.conns.prev, struct hsc, node);
		CU_ASSERT(c->window > 0 && c->window <= last);
		last = c->window;
	}
	CU_ASSERT(w.server.windows <= w.server.bounds.window_bytes);
	close_server(fds, CLIENTS);
}

static const struct unit_test tests[] = {
	{ "the oldest incomplete body is refused",
	  the_oldest_incomplete_body_is_refused },
	{ "a complete request goes after incomplete ones",
	  a_complete_request_goes_after_incomplete_ones },
	{ "a client that does not read is not answered on",
	  a_client_that_does_not_read_is_not_answered_on },
	{ "sent bytes of a full queue are freed",
	  sent_bytes_of_a_full_queue_are_freed },
	{ "framing is bounded", framing_is_bounded },
	{ "the longest silent connection makes room",
	  the_longest_silent_connection_makes_room },
	{ "a request in progress is not closed for others",
	  a_request_in_progress_is_not_closed_for_others },
	{ "without a descriptor the listener rests",
	  without_a_descriptor_the_listener_rests },
	{ "windows fit into their memory", windows_fit_into_their_memory },
};

UNIT_MAIN("hsc_bounds", tests)
