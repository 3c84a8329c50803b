/* Tunnels of an entry for other entries, with peers on loopback. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/edge_internal.h"
#include "support/unit.h"

/* More than the small buffers of the tunnel's sockets, less than its queue. */
#define ANSWER_BYTES 49152
#define SMALL_BUFFER_BYTES 4096

static void on_request(struct hsc *c)
{
	const int size = SMALL_BUFFER_BYTES;

	setsockopt(c->io->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	edge_tunnel_request(c->server->owner, c);
}

static void on_gone(struct hsc *c)
{
	edge_tunnel_disconnected(c->server->owner, c);
}

static void on_read_error(struct hsc *c, enum hsc_read_error e, struct buf *out)
{
	(void)c;
	(void)e;
	buf_str(out, "HTTP/1.1 400 X\r\n\r\n");
}

static void set_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 16384, 16384, 1000, 1000, 60000 };
}

static const struct hsc_vtable vtable = { on_request, on_gone, on_read_error,
					  set_limits, NULL,    NULL };

static void on_time(struct ev_loop *l, ev_timer *t, int revents)
{
	(void)t;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_loop(struct edge *en, double s)
{
	ev_timer t;

	ev_timer_init(&t, on_time, s, 0);
	ev_timer_start(en->loop, &t);
	ev_run(en->loop, 0);
	ev_timer_stop(en->loop, &t);
}

/* An entry with one endpoint, of which `listener` is the socket. */
static void open_entry(struct edge *en, int *listener, struct sockaddr_in *at)
{
	const struct sockaddr_in any = {
		.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)
	};
	struct flt_info info = { .id = "i-1", .slots = 1 };
	enum flt_change change;
	socklen_t len = sizeof(*at);

	memset(en, 0, sizeof(*en));
	memset(at, 0, sizeof(*at));
	en->loop = ev_default_loop(EVFLAG_AUTO);
	en->clk = clk_real();
	en->log = jlog_create(en->loop, en->clk, open("/dev/null", O_WRONLY),
			      JLOG_ERROR, "entry");
	en->m.tunnels_opened = met_counter(&en->met, "opened", "");
	en->m.tunnels_refused = met_counter(&en->met, "refused", "");
	CDS_INIT_LIST_HEAD(&en->tunnels);
	mem_init(&en->mem, clk_real(), SIZE_MAX);
	flt_init(&en->fleet, NULL);

	*listener = ioc_listen(&any, NULL);
	CU_ASSERT_FATAL(*listener >= 0);
	getsockname(*listener, (struct sockaddr *)at, &len);
	snprintf(info.address, sizeof(info.address), "127.0.0.1:%u",
		 ntohs(at->sin_port));
	flt_upsert(&en->fleet, &info, edge_now(en), &change);
	CU_ASSERT_EQUAL_FATAL(hsc_server_open(&en->peers, en->loop, &any,
					      &vtable, en, NULL),
			      0);
}

/* A peer that asks for a tunnel to the endpoint and reads nothing yet. */
static int open_tunnel(struct edge *en, const struct sockaddr_in *to)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	const int size = SMALL_BUFFER_BYTES;
	struct sockaddr_in at;
	char address[32], text[128];

	hsc_server_address(&en->peers, address, sizeof(address));
	ioc_address(address, &at, NULL);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (const struct sockaddr *)&at, sizeof(at)), 0);
	snprintf(text, sizeof(text),
		 "GET " HTC_TUNNEL_PATH "?to=127.0.0.1:%u HTTP/1.1\r\n"
		 "Host: x\r\n\r\n",
		 ntohs(to->sin_port));
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
	run_loop(en, 0.05);
	CU_ASSERT_EQUAL(met_get(en->m.tunnels_opened), 1);
	return fd;
}

/* The endpoint answers and closes. */
static void answer(struct edge *en, int listener)
{
	static char bytes[ANSWER_BYTES];
	const int fd = accept(listener, NULL, NULL);

	CU_ASSERT_EQUAL(send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL),
			(ssize_t)sizeof(bytes));
	close(fd);
	run_loop(en, 0.05);
}

/* Reads until the end, or until nothing comes; returns the number of bytes. */
static size_t read_on(struct edge *en, int fd, bool *closed)
{
	char data[1024];
	size_t n = 0;
	ssize_t r;
	int quiet = 0;

	*closed = false;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	while (!*closed && quiet < 40) {
		r = recv(fd, data, sizeof(data), 0);
		*closed = r == 0;
		if (r > 0) {
			n += (size_t)r;
			quiet = 0;
			continue;
		}
		quiet++;
		run_loop(en, 0.005);
	}
	return n;
}

/*
 * Guards against a part of an answer that looks complete: the connection was closed
 * in order a second after the endpoint's, with bytes still queued.
 */
static void tunnel_ends_after_its_last_byte(void)
{
	struct sockaddr_in endpoint;
	struct edge en;
	bool closed;
	int listener, fd;

	open_entry(&en, &listener, &endpoint);
	fd = open_tunnel(&en, &endpoint);
	answer(&en, listener);
	run_loop(&en, 1.2);
	CU_ASSERT(read_on(&en, fd, &closed) > ANSWER_BYTES);
	CU_ASSERT(closed);
	close(fd);
	run_loop(&en, 0.05);
	CU_ASSERT_EQUAL(en.nr_tunnels, 0);
	hsc_server_close(&en.peers);
	close(listener);
}

static const struct unit_test tests[] = {
	{ "a tunnel ends after its last byte",
	  tunnel_ends_after_its_last_byte },
};

UNIT_MAIN("tunnel", tests)
