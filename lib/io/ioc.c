#include "io/ioc.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "io/inp.h"

/*
 * Bytes read from a connection per iteration of the event loop. Bounded, so
 * that a fast peer does not delay the other connections. One event of a stream
 * has less than 300 bytes.
 */
#define READ_BYTES 32768

/*
 * Connections that wait for accept. If the queue is full, SYN packets are
 * dropped and the client waits seconds until it retransmits.
 */
#define LISTEN_BACKLOG 1024

/* Between two keep-alive probes. */
#define KEEPALIVE_INTERVAL_S 1

/* Unanswered keep-alive probes, without ack_timeout_ms. */
#define KEEPALIVE_PROBES 2

int ioc_address(const char *text, struct sockaddr_in *out, struct err *e)
{
	char host[64];
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return err_set(e, ERR_INVALID, "'%s' is not IP:PORT", text);
	memcpy(host, text, colon - text);
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 0 || port > 65535)
		return err_set(e, ERR_INVALID, "'%s': bad port", text);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, host, &out->sin_addr) != 1)
		return err_set(e, ERR_INVALID, "'%s': bad IP", text);
	return 0;
}

int ioc_remote_address(const char *text, struct sockaddr_in *out, struct err *e)
{
	char host[INET_ADDRSTRLEN], usual[32];
	uint32_t ip;

	if (ioc_address(text, out, e))
		return -1;
	inet_ntop(AF_INET, &out->sin_addr, host, sizeof(host));
	snprintf(usual, sizeof(usual), "%s:%u", host, ntohs(out->sin_port));
	ip = ntohl(out->sin_addr.s_addr);
	if (strcmp(text, usual) != 0 || !out->sin_port || !(ip >> 24) ||
	    IN_MULTICAST(ip) || IN_BADCLASS(ip))
		return err_set(e, ERR_INVALID,
			       "'%s' is not the address of a machine", text);
	return 0;
}

/* ---- The queue ---- */

/* Bytes that the kernel has not accepted yet. */
struct ioc_piece {
	struct cds_list_head node; /* in ioc.queue */
	struct shb *bytes;
	size_t written;
};

static void piece_free(struct ioc *c, struct ioc_piece *p)
{
	if (c->tail == p)
		c->tail = NULL;
	cds_list_del(&p->node);
	shb_put(p->bytes);
	free(p);
}

static struct ioc_piece *add_piece(struct ioc *c, struct shb *bytes)
{
	struct ioc_piece *p = mem_new(sizeof(*p));

	p->bytes = bytes;
	cds_list_add_tail(&p->node, &c->queue);
	return p;
}

/*
 * Pieces are not appended to beyond this size: what was written of a piece is freed with
 * it, and a queue that never empties would keep all of it.
 */
#define MAX_PIECE_BYTES 65536

/* Appends a copy. */
static void queue_bytes(struct ioc *c, const char *data, size_t len)
{
	struct buf bytes = BUF_INIT;

	if (c->tail && c->tail->bytes->bytes.len < MAX_PIECE_BYTES) {
		buf_add(&c->tail->bytes->bytes, data, len);
		return;
	}
	buf_add(&bytes, data, len);
	c->tail = add_piece(c, shb_new(&bytes));
}

static void release(struct ioc *c)
{
	struct ioc_piece *p, *next;

	cds_list_for_each_entry_safe(p, next, &c->queue, node) {
		piece_free(c, p);
	}
	free(c);
}

void ioc_close(struct ioc *c)
{
	if (c->closed)
		return;
	c->closed = true;
	ev_io_stop(c->loop, &c->reader);
	ev_io_stop(c->loop, &c->writer);
	ev_timer_stop(c->loop, &c->ack_timer);
	close(c->fd);
	if (!c->in_callback)
		release(c);
}

static void reset_on_close(struct ioc *c)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void ioc_abort(struct ioc *c)
{
	if (!c->closed)
		reset_on_close(c);
	ioc_close(c);
}

/*
 * Ends a callback. Frees the connection and returns true if the owner closed it
 * meanwhile.
 */
static bool finish_callback(struct ioc *c)
{
	c->in_callback = false;
	if (!c->closed)
		return false;
	release(c);
	return true;
}

static void notify_ended(struct ioc *c, enum ioc_end how)
{
	c->in_callback = true;
	c->vt->ended(c, how);
	c->in_callback = false;
	if (c->closed) {
		release(c);
		return;
	}
	ioc_close(c);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ioc *c = w->data;
	static char chunk[READ_BYTES];
	ssize_t n;

	(void)revents;
	n = recv(c->fd, chunk, sizeof(chunk), 0);
	inp_event(loop, n == (ssize_t)sizeof(chunk));
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		notify_ended(c, n == 0 && !c->write_failed ? IOC_END_CLOSED
							   : IOC_END_RESET);
		return;
	}
	c->in_callback = true;
	c->vt->data(c, chunk, (size_t)n);
	finish_callback(c);
}

static size_t unacked_in_kernel(const struct ioc *c)
{
	int bytes = 0;

	if (ioctl(c->fd, SIOCOUTQ, &bytes) || bytes < 0)
		return 0;
	return (size_t)bytes;
}

static struct ack_facts get_ack_facts(const struct ioc *c)
{
	const size_t in_kernel = unacked_in_kernel(c);
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len);
	return (struct ack_facts){
		.acked = c->sent - in_kernel,
		.unacked = in_kernel + ioc_pending(c),
		.retransmits = info.tcpi_retransmits,
		.probes = info.tcpi_probes,
		.silence_ms = info.tcpi_last_ack_recv,
		.in_flight = info.tcpi_unacked,
	};
}

static void set_ack_timer(struct ioc *c)
{
	const int64_t ms = ack_interval(c->ack_timeout_ms);

	ev_timer_stop(c->loop, &c->ack_timer);
	ev_timer_set(&c->ack_timer, (double)ms / 1000, 0);
	ev_timer_start(c->loop, &c->ack_timer);
}

static void on_ack_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct ioc *c = t->data;
	const struct ack_facts f = get_ack_facts(c);

	(void)loop;
	(void)revents;
	switch (ack_check(&c->ack, &f, c->ack_timeout_ms, clk_ms(clk_real()))) {
	case ACK_DONE:
		break;
	case ACK_WAIT:
		set_ack_timer(c);
		break;
	case ACK_SILENT:
		reset_on_close(c);
		notify_ended(c, IOC_END_SILENT);
		break;
	}
}

/* Checks acknowledgements until none is missing. */
static void watch_acks(struct ioc *c)
{
	struct ack_facts f;

	if (!c->ack_timeout_ms || ev_is_active(&c->ack_timer))
		return;
	f = get_ack_facts(c);
	ack_begin(&c->ack, &f, clk_ms(clk_real()));
	set_ack_timer(c);
}

/*
 * Sends what the socket accepts of the bytes, which count in `queued`; *done: how many
 * those are. False: the connection broke.
 */
static bool send_bytes(struct ioc *c, const char *data, size_t len,
		       size_t *done)
{
	ssize_t n;

	*done = 0;
	while (*done < len) {
		n = send(c->fd, data + *done, len - *done, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return true;
		if (n < 0) {
			c->write_failed = true;
			return false;
		}
		c->sent += (uint64_t)n;
		c->queued -= (size_t)n;
		*done += (size_t)n;
	}
	return true;
}

/* Writes queued bytes until the socket is full. False: the connection broke. */
static bool write_pending(struct ioc *c)
{
	struct ioc_piece *p, *next;
	size_t done;
	bool sound;

	if (c->queued)
		watch_acks(c);
	cds_list_for_each_entry_safe(p, next, &c->queue, node) {
		const struct buf *b = &p->bytes->bytes;

		sound = send_bytes(c, b->data + p->written, b->len - p->written,
				   &done);
		p->written += done;
		if (p->written < b->len)
			return sound;
		piece_free(c, p);
	}
	return true;
}

/* Returns 0, or the errno with which connect failed. */
static int finish_connect(struct ioc *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len))
		error = errno;
	if (error)
		return error;
	c->connecting = false;
	ev_io_start(c->loop, &c->reader);
	return 0;
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct ioc *c = w->data;
	const bool was_connecting = c->connecting;
	const int error = was_connecting ? finish_connect(c) : 0;

	(void)revents;
	inp_event(loop, false);
	if (error) {
		notify_ended(c, error == ECONNREFUSED || error == ECONNRESET
					? IOC_END_REFUSED
					: IOC_END_UNREACHABLE);
		return;
	}
	if (was_connecting && c->vt->connected) {
		c->in_callback = true;
		c->vt->connected(c);
		if (finish_callback(c))
			return;
	}
	/* The end is reported once all received bytes have been read. */
	if (!write_pending(c)) {
		ev_io_stop(loop, &c->writer);
		return;
	}
	if (c->queued)
		return;
	ev_io_stop(loop, &c->writer);
	if (!c->vt->drained)
		return;
	c->in_callback = true;
	c->vt->drained(c);
	finish_callback(c);
}

/*
 * The kernel probes only while nothing is unacknowledged, so keep-alive and
 * the checks of acknowledgements complement each other.
 */
static void set_keepalive_probes(int fd, int ack_timeout_ms, int keepalive_s)
{
	const int interval_ms = KEEPALIVE_INTERVAL_S * 1000;
	const int left_ms = ack_timeout_ms - keepalive_s * 1000;
	int probes = KEEPALIVE_PROBES;

	if (ack_timeout_ms)
		probes = left_ms > interval_ms
				 ? (left_ms + interval_ms - 1) / interval_ms
				 : 1;
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void set_tcp_options(int fd, const struct ioc_timeouts *t)
{
	const int on = 1, interval_s = KEEPALIVE_INTERVAL_S;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!t)
		return;
	if (!t->keepalive_s)
		return;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &t->keepalive_s,
		   sizeof(t->keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	set_keepalive_probes(fd, t->ack_timeout_ms, t->keepalive_s);
}

static struct ioc *create(struct ev_loop *loop, int fd,
			  const struct ioc_timeouts *t,
			  const struct ioc_vtable *vt, void *owner)
{
	struct ioc *c = calloc(1, sizeof(*c));

	assert(c);
	c->vt = vt;
	c->owner = owner;
	c->loop = loop;
	c->fd = fd;
	CDS_INIT_LIST_HEAD(&c->queue);
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	ev_set_priority(&c->reader, INP_PRIORITY);
	ev_set_priority(&c->writer, INP_PRIORITY);
	ev_timer_init(&c->ack_timer, on_ack_timer, 0, 0);
	c->reader.data = c;
	c->writer.data = c;
	c->ack_timer.data = c;
	if (t) {
		c->ack_timeout_ms = t->ack_timeout_ms;
		c->keepalive_s = t->keepalive_s;
	}
	set_tcp_options(fd, t);
	return c;
}

struct ioc *ioc_connect(struct ev_loop *loop, const struct sockaddr_in *to,
			const struct ioc_timeouts *t,
			const struct ioc_vtable *vt, void *owner, struct err *e)
{
	const int fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct ioc *c;

	if (fd < 0) {
		err_set(e, ERR_REFUSED, "cannot open a socket: %s",
			strerror(errno));
		return NULL;
	}
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) &&
	    errno != EINPROGRESS) {
		err_set(e, ERR_REFUSED, "connect: %s", strerror(errno));
		close(fd);
		return NULL;
	}
	c = create(loop, fd, t, vt, owner);
	c->connecting = true;
	ev_io_start(loop, &c->writer);
	return c;
}

struct ioc *ioc_adopt(struct ev_loop *loop, int fd,
		      const struct ioc_timeouts *t, const struct ioc_vtable *vt,
		      void *owner)
{
	struct ioc *c = create(loop, fd, t, vt, owner);

	ev_io_start(loop, &c->reader);
	return c;
}

void ioc_write(struct ioc *c, const void *data, size_t len)
{
	size_t done = 0;

	if (c->closed || !len)
		return;
	c->queued += len;
	if (!c->connecting && cds_list_empty(&c->queue)) {
		watch_acks(c);
		send_bytes(c, data, len, &done);
		if (done == len)
			return;
	}
	queue_bytes(c, (const char *)data + done, len - done);
	if (!c->connecting)
		ev_io_start(c->loop, &c->writer);
}

void ioc_write_shared(struct ioc *c, struct shb *bytes)
{
	if (c->closed || !bytes->bytes.len)
		return;
	c->queued += bytes->bytes.len;
	add_piece(c, shb_ref(bytes));
	c->tail = NULL;
	if (c->connecting)
		return;
	if (!write_pending(c) || c->queued)
		ev_io_start(c->loop, &c->writer);
}

void ioc_set_window(struct ioc *c, int bytes)
{
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void ioc_set_ack_timeout(struct ioc *c, int ms)
{
	c->ack_timeout_ms = ms;
	if (c->keepalive_s)
		set_keepalive_probes(c->fd, ms, c->keepalive_s);
	if (!ev_is_active(&c->ack_timer))
		return;
	ev_timer_stop(c->loop, &c->ack_timer);
	watch_acks(c);
}

const char *ioc_end_name(enum ioc_end how)
{
	static const char *const names[] = {
		[IOC_END_CLOSED] = "closed",
		[IOC_END_RESET] = "reset",
		[IOC_END_SILENT] = "silent",
		[IOC_END_REFUSED] = "refused",
		[IOC_END_UNREACHABLE] = "unreachable",
	};

	return names[how];
}

size_t ioc_unread(const struct ioc *c)
{
	int bytes = 0;

	if (ioctl(c->fd, SIOCINQ, &bytes) || bytes < 0)
		return 0;
	return (size_t)bytes;
}

bool ioc_has_input(const struct ioc *c)
{
	struct pollfd p = { .fd = c->fd, .events = POLLIN };

	/* Unlike a read, this keeps the error of a reset for the reader. */
	return poll(&p, 1, 0) > 0;
}

size_t ioc_pending(const struct ioc *c)
{
	return c->queued;
}

size_t ioc_unacked(const struct ioc *c)
{
	return ioc_pending(c) + unacked_in_kernel(c);
}

void ioc_pause(struct ioc *c, bool paused)
{
	if (c->closed || c->connecting || c->paused == paused)
		return;
	c->paused = paused;
	if (paused)
		ev_io_stop(c->loop, &c->reader);
	else
		ev_io_start(c->loop, &c->reader);
}

int ioc_listen(const struct sockaddr_in *at, struct err *e)
{
	const int fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	const int on = 1;

	if (fd < 0)
		return err_set(e, ERR_IO, "cannot open a socket: %s",
			       strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		err_set(e, ERR_IO, "listen on port %u: %s", ntohs(at->sin_port),
			strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}
