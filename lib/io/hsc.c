#include "io/hsc.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/inp.h"

/*
 * Pipelined bytes after which a connection is not read until the response ends.
 */
#define MAX_PIPELINED_BYTES MEM_SMALL_BYTES

/* Unsent bytes of responses beyond which the next request is not read. */
#define MAX_UNSENT_BYTES 65536

/*
 * Bytes that a request may have beside its body: a part of the body, for chunks of one
 * byte and their extensions, and a number beyond that and the head.
 */
#define MAX_FRAMING_RATIO 16
#define MAX_FRAMING_BYTES 65536

/*
 * A connection gets this part of the kernel's memory that is left, within bounds, so
 * that few connections get large windows and many have one each.
 */
#define WINDOW_DIVISOR 512
#define MIN_WINDOW_BYTES 8192
#define MAX_WINDOW_BYTES 65536

/* Pause when there is no descriptor, and no connection to be closed, ms. */
#define REST_MS 100

/*
 * Time for the peer to close after it has received the last response, in
 * milliseconds. Closing a socket that has unread bytes resets the connection,
 * which can discard the response before the peer reads it.
 */
#define LINGER_MS 1000

/* Callers may pause this long while they process what they have read, ms. */
#define MIN_STALL_MS 1000

/* Connections accepted per iteration of the event loop. */
#define ACCEPT_BATCH 32

/* An unreachable client machine is detected after five seconds. */
static const struct ioc_timeouts tcp_timeouts = {
	.ack_timeout_ms = 5000,
	.keepalive_s = 2,
};

/* ---- Memory ---- */

static enum mem_rank rank_of(const struct hsc *c)
{
	switch (c->state) {
	case HSC_READING:
		return MEM_INCOMPLETE;
	case HSC_RESPONDING:
		return c->owner_rank;
	default:
		return MEM_ANSWERED;
	}
}

/* Accounts for what the connection holds now. */
static void update_held(struct hsc *c)
{
	struct mem *m = c->server->bounds.mem;

	if (m)
		mem_hold(m, &c->holder, rank_of(c),
			 c->parse.msg.text.cap + c->body.cap +
				 c->pipelined.cap + ioc_pending(c->io) +
				 c->owner_bytes);
}

static void free_body(struct hsc *c)
{
	if (c->shared)
		shb_put(c->shared);
	else
		buf_free(&c->body);
	c->shared = NULL;
	c->body = (struct buf)BUF_INIT;
}

/* The request is over, or is not read to its end. */
static void free_request(struct hsc *c)
{
	free_body(c);
	hmsg_reset(&c->parse.msg);
	c->owner_bytes = 0;
	c->request = NULL;
}

/* Connections on the stack may be freed: callers must not be in a callback. */
static void relieve(struct hsc_server *s)
{
	if (s->bounds.mem)
		mem_relieve(s->bounds.mem);
}

static void release(struct hsc *c)
{
	hparse_free(&c->parse);
	free_body(c);
	buf_free(&c->pipelined);
	free(c);
}

/* Removes the connection from the server; `close_io` closes the socket. */
static void drop(struct hsc *c, void (*close_io)(struct ioc *))
{
	struct hsc_server *s = c->server;

	assert(!c->free_pending);
	ev_timer_stop(s->loop, &c->timer);
	ev_timer_stop(s->loop, &c->resume);
	if (c->state == HSC_RESPONDING)
		s->nr_responding--;
	cds_list_del(&c->node);
	s->nr_conns--;
	s->windows -= c->window;
	if (s->bounds.mem)
		mem_hold(s->bounds.mem, &c->holder, MEM_ANSWERED, 0);
	close_io(c->io);
	if (c->in_feed)
		c->free_pending = true;
	else
		release(c);
}

static void set_timer(struct hsc *c, int ms)
{
	ev_timer_stop(c->server->loop, &c->timer);
	c->timer_ms = ms;
	c->loop_stalled_ms = inp_stalled_ms(c->server->loop);
	if (ms <= 0)
		return;
	ev_timer_set(&c->timer, (double)ms / 1000, 0);
	ev_timer_start(c->server->loop, &c->timer);
}

static void begin_delivery(struct hsc *c)
{
	c->unacked = ioc_unacked(c->io);
	c->stalled_ms = 0;
}

/*
 * True if the client has not received all of the last response, and received a
 * part of it within the last limits.idle_ms, MIN_STALL_MS at least. `elapsed_ms`:
 * since the last call.
 */
static bool is_delivering(struct hsc *c, int elapsed_ms)
{
	const size_t unacked = ioc_unacked(c->io);
	const int max_ms = c->limits.idle_ms > MIN_STALL_MS ? c->limits.idle_ms
							    : MIN_STALL_MS;

	c->stalled_ms = unacked == c->unacked ? c->stalled_ms + elapsed_ms : 0;
	c->unacked = unacked;
	return unacked && c->stalled_ms < max_ms;
}

static void linger(struct hsc *c)
{
	begin_delivery(c);
	if (c->state == HSC_RESPONDING)
		c->server->nr_responding--;
	c->state = HSC_LINGERING;
	c->dropped = 0;
	c->held_back = false;
	ioc_pause(c->io, false);
	free_request(c);
	buf_free(&c->pipelined);
	update_held(c);
	set_timer(c, LINGER_MS);
	if (!ioc_pending(c->io))
		shutdown(c->io->fd, SHUT_WR);
}

static void reject(struct hsc *c, enum hsc_read_error error)
{
	BUF_AUTO out = BUF_INIT;

	c->server->vt->read_error(c, error, &out);
	ioc_write(c->io, out.data, out.len);
	linger(c);
}

static bool shed(struct mem_holder *h)
{
	struct hsc *c = caa_container_of(h, struct hsc, holder);
	const struct hsc_vtable *vt = c->server->vt;
	const size_t before = h->bytes;

	/* The client may have read a part of what was queued. */
	update_held(c);
	if (h->bytes < before)
		return false;
	if (c->state == HSC_READING) {
		reject(c, HSC_NO_ROOM);
	} else if (c->state == HSC_RESPONDING && vt->shed) {
		vt->shed(c);
	} else {
		c->end = "no memory";
		if (c->state == HSC_RESPONDING)
			vt->disconnected(c);
		/* What is queued is lost: the client must not see an orderly end. */
		drop(c, ioc_abort);
	}
	return true;
}

static const struct mem_vtable holder_vtable = { shed };

/* The part of the time-out that has elapsed while this process did not run, ms. */
static int stalled_part(const struct hsc *c)
{
	const int64_t ms = inp_stalled_ms(c->server->loop) - c->loop_stalled_ms;

	return ms < c->timer_ms ? (int)ms : c->timer_ms;
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct hsc *c = t->data;

	(void)revents;
	if (inp_defers(loop, t))
		return;
	if (c->state == HSC_READING && stalled_part(c) > 0)
		set_timer(c, stalled_part(c));
	else if (c->state == HSC_READING)
		reject(c, HSC_TIMEOUT);
	else if (c->state == HSC_LINGERING && is_delivering(c, LINGER_MS))
		set_timer(c, LINGER_MS);
	else if (c->state == HSC_IDLE && is_delivering(c, c->limits.idle_ms))
		set_timer(c, c->limits.idle_ms);
	else if (c->state != HSC_RESPONDING)
		drop(c, ioc_close);
}

/* ---- Reading ---- */

static int on_head(struct hparse *p)
{
	struct hsc *c = p->owner;
	static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

	set_timer(c, c->limits.body_ms);
	if (p->msg.has_length && p->msg.length > c->limits.body_bytes) {
		c->body_too_large = true;
		return -1;
	}
	if (hmsg_has_token(&p->msg, "Expect", "100-continue"))
		ioc_write(c->io, continue_response, strlen(continue_response));
	return 0;
}

static void on_body(struct hparse *p, const char *data, size_t len)
{
	struct hsc *c = p->owner;

	if (c->body.len + len > c->limits.body_bytes) {
		c->body_too_large = true;
		p->stop = true;
		return;
	}
	buf_add(&c->body, data, len);
}

static void on_end(struct hparse *p)
{
	p->stop = true;
}

static const struct hparse_vtable parse_vtable = { on_head, on_body, on_end };

static void begin_response(struct hsc *c)
{
	ev_timer_stop(c->server->loop, &c->timer);
	c->state = HSC_RESPONDING;
	c->owner_rank = MEM_WAITING;
	c->head_match = 0;
	c->server->nr_responding++;
	if (!c->parse.msg.keep_alive)
		c->close_after = true;
	c->server->vt->request(c);
}

static bool framing_is_too_large(const struct hsc *c)
{
	return c->fed > MAX_FRAMING_BYTES + 2 * c->limits.header_bytes +
				MAX_FRAMING_RATIO * c->body.len;
}

/* Parses bytes until a request is complete. */
static void feed(struct hsc *c, const char *data, size_t len)
{
	enum hparse_result r;
	size_t used;

	if (c->state == HSC_IDLE) {
		c->server->vt->limits(c->server, &c->limits);
		c->parse.max_head_bytes = c->limits.header_bytes;
		c->state = HSC_READING;
		c->fed = 0;
		set_timer(c, c->limits.header_ms);
	}
	r = hparse_feed(&c->parse, data, len, &used);
	c->fed += used;
	if (c->body_too_large) {
		reject(c, HSC_BODY_TOO_LARGE);
		return;
	}
	switch (r) {
	case HPARSE_MORE:
		if (framing_is_too_large(c))
			reject(c, HSC_FRAMING_TOO_LARGE);
		break;
	case HPARSE_STOPPED:
		if (used < len)
			buf_add(&c->pipelined, data + used, len - used);
		begin_response(c);
		break;
	case HPARSE_MALFORMED:
		reject(c, HSC_MALFORMED);
		break;
	case HPARSE_HEAD_TOO_LARGE:
		reject(c, HSC_HEAD_TOO_LARGE);
		break;
	}
}

static void feed_and_relieve(struct hsc *c, const char *data, size_t len)
{
	struct hsc_server *s = c->server;

	c->in_feed = true;
	feed(c, data, len);
	c->in_feed = false;
	if (c->free_pending)
		release(c);
	else
		update_held(c);
	relieve(s);
}

static void on_data(struct ioc *io, const char *data, size_t len)
{
	struct hsc *c = io->owner;

	if (c->state == HSC_LINGERING) {
		c->dropped += len;
		if (c->dropped > c->limits.body_bytes)
			ioc_pause(io, true);
		return;
	}
	/* Behind the bytes that on_resume() has yet to parse, if there are any. */
	if (c->state == HSC_RESPONDING || c->pipelined.len) {
		if (c->pipelined.len + len > MAX_PIPELINED_BYTES)
			ioc_pause(io, true);
		buf_add(&c->pipelined, data, len);
		update_held(c);
		relieve(c->server);
		return;
	}
	feed_and_relieve(c, data, len);
}

/* Parses the requests that were pipelined during the last response. */
static void on_resume(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct hsc *c = t->data;
	struct buf pending = c->pipelined;

	(void)loop;
	(void)revents;
	c->pipelined = (struct buf)BUF_INIT;
	ioc_pause(c->io, false);
	feed_and_relieve(c, pending.data, pending.len);
	buf_free(&pending);
}

/* Between two requests: reads the next one unless the client reads too little. */
static void read_next(struct hsc *c)
{
	c->held_back = ioc_pending(c->io) > MAX_UNSENT_BYTES;
	if (c->held_back)
		ioc_pause(c->io, true);
	else if (c->pipelined.len)
		ev_timer_start(c->server->loop, &c->resume);
	else
		ioc_pause(c->io, false);
}

static void on_ended(struct ioc *io, enum ioc_end how)
{
	struct hsc *c = io->owner;

	c->end = ioc_end_name(how);
	if (c->state == HSC_RESPONDING)
		c->server->vt->disconnected(c);
	drop(c, ioc_close);
}

static void on_drained(struct ioc *io)
{
	struct hsc *c = io->owner;

	update_held(c);
	if (c->state == HSC_LINGERING)
		shutdown(io->fd, SHUT_WR);
	else if (c->state == HSC_IDLE && c->held_back)
		read_next(c);
	else if (c->state == HSC_RESPONDING && c->server->vt->drained)
		c->server->vt->drained(c);
}

static const struct ioc_vtable io_vtable = {
	.data = on_data,
	.ended = on_ended,
	.drained = on_drained,
};

/* ---- The server ---- */

/* The kernel takes twice the size of the receive buffer. */
static void give_window(struct hsc *c)
{
	struct hsc_server *s = c->server;
	size_t bytes;

	if (!s->bounds.window_bytes)
		return;
	bytes = s->bounds.window_bytes > s->windows
			? (s->bounds.window_bytes - s->windows) / WINDOW_DIVISOR
			: 0;
	bytes = bytes > MAX_WINDOW_BYTES ? MAX_WINDOW_BYTES : bytes;
	bytes = bytes < MIN_WINDOW_BYTES ? MIN_WINDOW_BYTES : bytes;
	c->window = bytes;
	s->windows += bytes;
	/* Otherwise it has the listener's. */
	if (bytes < MAX_WINDOW_BYTES)
		ioc_set_window(c->io, (int)bytes / 2);
}

static void accept_one(struct hsc_server *s, int fd)
{
	struct hsc *c = calloc(1, sizeof(*c));

	assert(c);
	c->server = s;
	c->io = ioc_adopt(s->loop, fd, &tcp_timeouts, &io_vtable, c);
	c->since_s = ev_now(s->loop);
	mem_add(&c->holder, &holder_vtable);
	give_window(c);
	ev_timer_init(&c->timer, on_timer, 0, 0);
	c->timer.data = c;
	ev_timer_init(&c->resume, on_resume, 0, 0);
	c->resume.data = c;
	hparse_init(&c->parse, true, 0, &parse_vtable, c);
	s->vt->limits(s, &c->limits);
	cds_list_add_tail(&c->node, &s->conns);
	s->nr_conns++;
	set_timer(c, c->limits.idle_ms);
}

/*
 * Closes the connection that has been without a complete request for longest. False:
 * responses are in progress on all of them.
 */
static bool close_for_another(struct hsc_server *s)
{
	struct hsc *c, *first = NULL;

	cds_list_for_each_entry(c, &s->conns, node) {
		if (c->state != HSC_RESPONDING &&
		    (!first || c->since_s < first->since_s))
			first = c;
	}
	if (!first)
		return false;
	s->nr_closed_for_others++;
	drop(first, ioc_close);
	return true;
}

static bool is_shortage(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	       error == ENOMEM;
}

static void rest(struct hsc_server *s)
{
	ev_io_stop(s->loop, &s->acceptor);
	ev_timer_set(&s->rest, (double)REST_MS / 1000, 0);
	ev_timer_start(s->loop, &s->rest);
}

static void on_rested(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct hsc_server *s = t->data;

	(void)revents;
	ev_io_start(loop, &s->acceptor);
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct hsc_server *s = w->data;
	int i, fd;

	(void)loop;
	(void)revents;
	for (i = 0; i < ACCEPT_BATCH; i++) {
		fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		/* The queue stays readable: without a pause this would spin. */
		if (fd < 0 && is_shortage(errno) && !close_for_another(s))
			rest(s);
		if (fd < 0)
			return;
		if (s->bounds.max_conns && s->nr_conns >= s->bounds.max_conns &&
		    !close_for_another(s)) {
			s->nr_closed_for_others++;
			close(fd);
		} else {
			accept_one(s, fd);
		}
	}
}

void hsc_server_bound(struct hsc_server *s, const struct hsc_bounds *b)
{
	const int bytes = MAX_WINDOW_BYTES / 2;

	s->bounds = *b;
	/* Of connections that wait to be accepted. */
	if (b->window_bytes)
		setsockopt(s->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

int hsc_server_open(struct hsc_server *s, struct ev_loop *loop,
		    const struct sockaddr_in *at, const struct hsc_vtable *vt,
		    void *owner, struct err *e)
{
	memset(s, 0, sizeof(*s));
	s->vt = vt;
	s->owner = owner;
	s->loop = loop;
	CDS_INIT_LIST_HEAD(&s->conns);
	s->fd = ioc_listen(at, e);
	if (s->fd < 0)
		return -1;
	ev_io_init(&s->acceptor, on_acceptable, s->fd, EV_READ);
	ev_set_priority(&s->acceptor, INP_PRIORITY);
	s->acceptor.data = s;
	ev_timer_init(&s->rest, on_rested, 0, 0);
	s->rest.data = s;
	ev_io_start(loop, &s->acceptor);
	return 0;
}

void hsc_server_address(const struct hsc_server *s, char *out, size_t size)
{
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);
	char ip[INET_ADDRSTRLEN];

	getsockname(s->fd, (struct sockaddr *)&addr, &len);
	inet_ntop(AF_INET, &addr.sin_addr, ip, sizeof(ip));
	snprintf(out, size, "%s:%u", ip, ntohs(addr.sin_port));
}

static void stop_listening(struct hsc_server *s)
{
	if (s->fd < 0)
		return;
	ev_io_stop(s->loop, &s->acceptor);
	ev_timer_stop(s->loop, &s->rest);
	close(s->fd);
	s->fd = -1;
}

/* Bytes, or the end of the connection, were received behind the current request. */
static bool has_request_behind(const struct hsc *c)
{
	return c->pipelined.len || ioc_has_input(c->io);
}

void hsc_server_close_idle(struct hsc_server *s)
{
	struct hsc *c, *next;

	stop_listening(s);
	cds_list_for_each_entry_safe(c, next, &s->conns, node) {
		if (c->state != HSC_IDLE || has_request_behind(c))
			continue;
		if (ioc_unacked(c->io))
			linger(c);
		else
			drop(c, ioc_close);
	}
}

void hsc_server_close(struct hsc_server *s)
{
	struct hsc *c, *next;

	stop_listening(s);
	cds_list_for_each_entry_safe(c, next, &s->conns, node) {
		drop(c, ioc_close);
	}
}

void hsc_server_drain(struct hsc_server *s)
{
	s->draining = true;
}

/* ---- Responses ---- */

bool hsc_must_close(const struct hsc *c)
{
	return c->close_after || c->server->draining;
}

/* The number of bytes that still belong to the head of the response. */
static size_t head_part(struct hsc *c, const char *data, size_t len)
{
	static const char end[] = "\r\n\r\n";
	size_t n = 0;

	while (n < len && c->head_match < strlen(end)) {
		if (data[n] == end[c->head_match])
			c->head_match++;
		else
			c->head_match = data[n] == end[0];
		n++;
	}
	return n;
}

void hsc_write(struct hsc *c, const void *data, size_t len)
{
	if (c->state == HSC_RESPONDING && c->parse.msg.method == HTTP_HEAD)
		len = head_part(c, data, len);
	ioc_write(c->io, data, len);
	update_held(c);
}

void hsc_write_shared(struct hsc *c, struct shb *bytes)
{
	if (c->state == HSC_RESPONDING && c->parse.msg.method == HTTP_HEAD)
		return;
	ioc_write_shared(c->io, bytes);
	update_held(c);
}

struct shb *hsc_share_body(struct hsc *c)
{
	if (!c->shared) {
		c->shared = shb_new(&c->body);
		c->body = c->shared->bytes;
	}
	return c->shared;
}

void hsc_hold(struct hsc *c, enum mem_rank rank, size_t bytes)
{
	c->owner_rank = rank;
	c->owner_bytes = bytes;
	update_held(c);
}

size_t hsc_pending(const struct hsc *c)
{
	return ioc_pending(c->io);
}

void hsc_done(struct hsc *c, bool close)
{
	assert(c->state == HSC_RESPONDING);
	/*
	 * A response whose head was sent before the server began to drain has not
	 * announced a close: what the client has sent behind it is due a response.
	 */
	if (close || c->close_after ||
	    (c->server->draining && !has_request_behind(c))) {
		linger(c);
		return;
	}
	free_request(c);
	c->server->nr_responding--;
	c->state = HSC_IDLE;
	c->since_s = ev_now(c->server->loop);
	update_held(c);
	begin_delivery(c);
	c->server->vt->limits(c->server, &c->limits);
	set_timer(c, c->limits.idle_ms);
	read_next(c);
}

void hsc_disconnect(struct hsc *c)
{
	drop(c, ioc_close);
}

static void keep_open(struct ioc *io)
{
	(void)io;
}

struct ioc *hsc_detach(struct hsc *c)
{
	struct ioc *io = c->io;

	assert(c->state == HSC_RESPONDING);
	if (c->pipelined.len)
		return NULL;
	drop(c, keep_open);
	return io;
}
