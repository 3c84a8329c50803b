#include "io/ioc.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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

static void release(struct ioc *c)
{
	buf_free(&c->out);
	free(c);
}

void ioc_close(struct ioc *c)
{
	if (c->closed)
		return;
	c->closed = true;
	ev_io_stop(c->loop, &c->reader);
	ev_io_stop(c->loop, &c->writer);
	close(c->fd);
	if (!c->in_callback)
		release(c);
}

void ioc_abort(struct ioc *c)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };

	if (!c->closed)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
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

	(void)loop;
	(void)revents;
	n = recv(c->fd, chunk, sizeof(chunk), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		notify_ended(c, n == 0 ? IOC_END_CLOSED : IOC_END_RESET);
		return;
	}
	c->in_callback = true;
	c->vt->data(c, chunk, (size_t)n);
	finish_callback(c);
}

/* Writes queued bytes until the socket is full. False: the connection broke. */
static bool write_pending(struct ioc *c)
{
	ssize_t n;

	while (c->out_written < c->out.len) {
		n = send(c->fd, c->out.data + c->out_written,
			 c->out.len - c->out_written, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return true;
		if (n < 0)
			return false;
		c->sent += (uint64_t)n;
		c->out_written += (size_t)n;
	}
	buf_free(&c->out);
	c->out_written = 0;
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
	/* After a write error, the next read reports the end. */
	if (!write_pending(c)) {
		ev_io_stop(loop, &c->writer);
		return;
	}
	if (c->out.len)
		return;
	ev_io_stop(loop, &c->writer);
	if (!c->vt->drained)
		return;
	c->in_callback = true;
	c->vt->drained(c);
	finish_callback(c);
}

static void set_tcp_options(int fd, const struct ioc_timeouts *t)
{
	const int on = 1, probes = 2, interval_s = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!t)
		return;
	if (t->user_timeout_ms)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   &t->user_timeout_ms, sizeof(t->user_timeout_ms));
	if (!t->keepalive_s)
		return;
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &t->keepalive_s,
		   sizeof(t->keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static struct ioc *create(struct ev_loop *loop, int fd,
			  const struct ioc_vtable *vt, void *owner)
{
	struct ioc *c = calloc(1, sizeof(*c));

	assert(c);
	c->vt = vt;
	c->owner = owner;
	c->loop = loop;
	c->fd = fd;
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	c->reader.data = c;
	c->writer.data = c;
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
	set_tcp_options(fd, t);
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) &&
	    errno != EINPROGRESS) {
		err_set(e, ERR_REFUSED, "connect: %s", strerror(errno));
		close(fd);
		return NULL;
	}
	c = create(loop, fd, vt, owner);
	c->connecting = true;
	ev_io_start(loop, &c->writer);
	return c;
}

struct ioc *ioc_adopt(struct ev_loop *loop, int fd,
		      const struct ioc_timeouts *t, const struct ioc_vtable *vt,
		      void *owner)
{
	struct ioc *c = create(loop, fd, vt, owner);

	set_tcp_options(fd, t);
	ev_io_start(loop, &c->reader);
	return c;
}

void ioc_write(struct ioc *c, const void *data, size_t len)
{
	if (c->closed || !len)
		return;
	buf_add(&c->out, data, len);
	if (c->connecting)
		return;
	if (!write_pending(c) || c->out.len)
		ev_io_start(c->loop, &c->writer);
}

void ioc_set_user_timeout(struct ioc *c, int ms)
{
	setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

size_t ioc_pending(const struct ioc *c)
{
	return c->out.len - c->out_written;
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
