#include "io/htc.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/inp.h"

/*
 * Subtracted from the time-out in the peer's Keep-Alive header, in
 * milliseconds: the peer starts its timer earlier than the response arrives
 * here.
 */
#define KEEP_ALIVE_MARGIN_MS 500

struct htc_conn {
	struct cds_list_head node; /* in htc_peer.idle */
	struct htc_peer *peer;
	struct ioc *io;
	struct hparse parse;
	struct htc_call *call;	 /* NULL while idle */
	htc_probe_cb probe_done; /* NULL unless a probe is in progress */
	void *probe_arg;
	struct buf wire;	 /* request to send once established */
	struct shb *body;	 /* that follows on it; NULL: none */
	ev_timer timer;		 /* of connect, then of the whole call */
	int64_t establish_by_ms; /* when its timer is due until then */
	int64_t idle_since_ms;
	int64_t keep_alive_ms; /* idle time for which the peer keeps it open */
	uint64_t sent_before;  /* ioc.sent when the call started */
	unsigned served;
	unsigned closes;    /* htc_peer.closes when it was opened */
	bool skip_response; /* skip this response: 1xx or of an earlier call */
	bool no_reuse;	    /* a response was skipped: do not reuse */
	bool closing;	    /* the peer announced that it closes */
	bool in_idle_list;  /* linked in htc_peer.idle */
	bool too_large;	    /* the response exceeds the call's limit */
	bool in_parser;	    /* the parser is on the stack */
	bool free_pending;  /* freed when the parser returns */
	enum htc_unreached unreached; /* unless it timed out */
	bool tunnelling;	      /* the relay has not answered yet */
	struct buf tunnel_answer;
	int ack_timeout_ms; /* as it was last set */
};

struct htc_call {
	const struct htc_vtable *vt;
	void *owner;
	struct htc_conn *conn;
	int total_ms;	     /* 0: none */
	int64_t deadline_ms; /* boot clock; 0: none */
	enum htc_unreached unreached;
	size_t max_body_bytes; /* 0: no limit */
	size_t body_bytes;     /* passed to the owner */
	size_t skipped_bytes;  /* received before the head was delivered */
	bool no_body;
	bool head_delivered; /* the owner accepted the head */
	bool ended_by_close; /* the response has no framing */
	/* Of its connection, if that ended during the call. */
	const char *end_name;
	size_t unacked;
};

static void idle_add(struct htc_conn *k)
{
	cds_list_add(&k->node, &k->peer->idle);
	k->peer->nr_idle++;
	k->in_idle_list = true;
}

static void idle_del(struct htc_conn *k)
{
	cds_list_del(&k->node);
	k->peer->nr_idle--;
	k->in_idle_list = false;
}

static void conn_release(struct htc_conn *k)
{
	hparse_free(&k->parse);
	buf_free(&k->wire);
	shb_put(k->body);
	buf_free(&k->tunnel_answer);
	free(k);
}

static void conn_free(struct htc_conn *k, bool abort)
{
	struct htc_peer *p = k->peer;

	if (k->in_idle_list)
		idle_del(k);
	ev_timer_stop(p->loop, &k->timer);
	p->nr_open--;
	if (abort)
		ioc_abort(k->io);
	else
		ioc_close(k->io);
	k->call = NULL;
	if (k->in_parser)
		k->free_pending = true;
	else
		conn_release(k);
}

/* Ends a probe. The connection becomes idle, or is freed if not established. */
static void end_probe(struct htc_conn *k, enum htc_probe_result result)
{
	const htc_probe_cb done = k->probe_done;
	void *arg = k->probe_arg;

	k->probe_done = NULL;
	ev_timer_stop(k->peer->loop, &k->timer);
	if (result == HTC_PROBE_CONNECTED) {
		k->keep_alive_ms = k->peer->limits.idle_ms;
		k->idle_since_ms = clk_boot_ms(k->peer->clk);
		idle_add(k);
	} else {
		conn_free(k, true);
	}
	done(arg, result);
}

/* Frees the connection and fails its call or probe, if there is one. */
static void fail(struct htc_conn *k, enum htc_failure why)
{
	struct htc_call *c = k->call;

	if (k->probe_done) {
		end_probe(k, HTC_PROBE_UNKNOWN);
		return;
	}
	if (!c) {
		k->peer->idle_closed++;
		conn_free(k, false);
		return;
	}
	if (!htc_sent(c)) {
		c->unreached = why != HTC_TIMEOUT ? k->unreached
			       : k->tunnelling	  ? HTC_UNREACHED_RELAY
						  : HTC_UNREACHED_TIMED_OUT;
		why = HTC_NOT_SENT;
	}
	/*
	 * Free the connection first: the callback may free the peer along with
	 * all its connections.
	 */
	conn_free(k, true);
	c->conn = NULL;
	c->vt->failed(c, why);
	free(c);
}

static void set_timer(struct htc_conn *k, int64_t ms)
{
	ev_timer_stop(k->peer->loop, &k->timer);
	ev_timer_set(&k->timer, (double)(ms > 0 ? ms : 1) / 1000, 0);
	ev_timer_start(k->peer->loop, &k->timer);
}

/* The time for a connection to be established, with its tunnel, ms. */
static int establish_ms(const struct htc_peer *p)
{
	return p->tunnel_to[0] ? 2 * p->limits.connect_ms
			       : p->limits.connect_ms;
}

/* Of the connection; `total_ms` of its call bounds it, 0: none. */
static void set_establish_timer(struct htc_conn *k, int total_ms)
{
	const int ms = establish_ms(k->peer);
	const int bound = total_ms && total_ms < ms ? total_ms : ms;

	k->establish_by_ms = clk_boot_ms(k->peer->clk) + bound;
	set_timer(k, bound);
}

static void set_call_timer(struct htc_conn *k)
{
	const int64_t until = k->call->deadline_ms;

	ev_timer_stop(k->peer->loop, &k->timer);
	if (until)
		set_timer(k, until - clk_boot_ms(k->peer->clk));
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct htc_conn *k = t->data;

	(void)revents;
	if (!inp_defers(loop, t))
		fail(k, HTC_TIMEOUT);
}

/* ---- Responses ---- */

static int on_head(struct hparse *p)
{
	struct htc_conn *k = p->owner;
	struct htc_call *c = k->call;
	bool accepted;

	k->skip_response = false;
	if (!c || p->msg.status < 200) {
		k->skip_response = true;
		return 0;
	}
	accepted = c->vt->head(c, &p->msg);
	if (!k->call)
		return -1; /* cancelled from within */
	if (!accepted) {
		k->skip_response = true;
		k->no_reuse = true;
		return 0;
	}
	c->head_delivered = true;
	if (c->no_body)
		return 1;
	if (c->max_body_bytes && p->msg.has_length &&
	    p->msg.length > c->max_body_bytes) {
		k->too_large = true;
		return -1;
	}
	return 0;
}

static void on_body(struct hparse *p, const char *data, size_t len)
{
	struct htc_conn *k = p->owner;
	struct htc_call *c = k->call;

	if (k->skip_response || !c)
		return;
	c->body_bytes += len;
	if (c->max_body_bytes && c->body_bytes > c->max_body_bytes) {
		k->too_large = true;
		p->stop = true;
		return;
	}
	c->vt->body(c, data, len);
}

static void on_end(struct hparse *p)
{
	struct htc_conn *k = p->owner;

	if (k->skip_response)
		return;
	k->closing = !p->msg.keep_alive;
	p->stop = true;
}

/*
 * Idle time in milliseconds for which the connection can be reused: `dflt`, or
 * less if the Keep-Alive header says so. Not positive: do not reuse it.
 */
static int64_t keep_alive_time_ms(const struct hmsg *m, int64_t dflt)
{
	const char *v = hmsg_find(m, "Keep-Alive");
	const char *at = v ? strstr(v, "timeout=") : NULL;
	long s;

	if (!at)
		return dflt;
	s = strtol(at + strlen("timeout="), NULL, 10);
	if (s < 0 || s > 3600)
		return dflt;
	if (s * 1000 < dflt)
		return s * 1000 - KEEP_ALIVE_MARGIN_MS;
	return dflt;
}

/*
 * Ends a call whose response is complete. The connection is reused only if its
 * next bytes are certain to belong to the next response, and the peer has received the
 * request: one that answers before that may close instead of reading on.
 */
static void finish(struct htc_conn *k, bool excess)
{
	struct htc_call *c = k->call;
	const struct htc_peer *p = k->peer;
	bool keep = !k->closing && !excess && !k->no_reuse && !k->io->closed &&
		    k->closes == p->closes && !ioc_unacked(k->io);

	ev_timer_stop(p->loop, &k->timer);
	k->keep_alive_ms = keep_alive_time_ms(&k->parse.msg, p->limits.idle_ms);
	if (k->keep_alive_ms <= 0)
		keep = false;
	c->conn = NULL;
	k->call = NULL;
	if (keep) {
		k->served++;
		ioc_pause(k->io, false);
		k->idle_since_ms = clk_boot_ms(p->clk);
		idle_add(k);
	} else {
		conn_free(k, false);
	}
	c->vt->end(c);
	free(c);
}

/* Leaves `wire` empty. `body` may be NULL. */
static void send_request(struct htc_conn *k, struct buf *wire, struct shb *body)
{
	ioc_write(k->io, wire->data, wire->len);
	buf_free(wire);
	if (body)
		ioc_write_shared(k->io, body);
}

/*
 * Called when a connection, or its tunnel, is established. If its time-out has elapsed,
 * this process did not run for a while, and the peer has not received the request yet:
 * the time-outs start again.
 */
static void allow_for_stall(struct htc_conn *k)
{
	struct htc_call *c = k->call;
	const int64_t now = clk_boot_ms(k->peer->clk);

	if (now < k->establish_by_ms)
		return;
	if (c && c->total_ms)
		c->deadline_ms = now + c->total_ms;
	set_establish_timer(k, c ? c->total_ms : 0);
}

/* The connection to the peer is established. */
static void established(struct htc_conn *k)
{
	if (k->probe_done) {
		end_probe(k, HTC_PROBE_CONNECTED);
		return;
	}
	k->sent_before = k->io->sent;
	set_call_timer(k);
	send_request(k, &k->wire, k->body);
	shb_put(k->body);
	k->body = NULL;
}

static void not_established(struct htc_conn *k, enum htc_unreached why)
{
	k->unreached = why;
	if (k->probe_done)
		end_probe(k, why == HTC_UNREACHED_REFUSED ? HTC_PROBE_REFUSED
							  : HTC_PROBE_UNKNOWN);
	else
		fail(k, HTC_NOT_SENT);
}

static void request_tunnel(struct htc_conn *k)
{
	BUF_AUTO out = BUF_INIT;

	buf_fmt(&out, "GET " HTC_TUNNEL_PATH "?to=%s HTTP/1.1\r\n",
		k->peer->tunnel_to);
	hmsg_put(&out, "Host", "relay");
	hmsg_put_end(&out);
	ioc_write(k->io, out.data, out.len);
}

/* Maximum length of a relay's answer, bytes. */
#define MAX_TUNNEL_ANSWER 1024

/* A relay's answer has no body: its bytes end with the head. */
static void on_tunnel_answer(struct htc_conn *k, const char *data, size_t len)
{
	static const char version[] = "HTTP/1.1 ";
	const char *head, *end;
	int status;

	buf_add(&k->tunnel_answer, data, len);
	head = buf_cstr(&k->tunnel_answer);
	end = strstr(head, "\r\n\r\n");
	if (!end && k->tunnel_answer.len < MAX_TUNNEL_ANSWER)
		return;
	status = strncmp(head, version, strlen(version))
			 ? 0
			 : atoi(head + strlen(version));
	if (end && status == 200 && end + 4 == head + k->tunnel_answer.len) {
		buf_free(&k->tunnel_answer);
		k->tunnelling = false;
		allow_for_stall(k);
		established(k);
	} else if (end && status == 502) {
		not_established(k, HTC_UNREACHED_REFUSED);
	} else if (end && status == 504) {
		not_established(k, HTC_UNREACHED_TIMED_OUT);
	} else {
		not_established(k, HTC_UNREACHED_RELAY);
	}
}

/*
 * Heads and skipped responses are bounded as well: an endless series of them would
 * keep the call busy until its time-out.
 */
#define MAX_HEAD_BYTES (128u << 10)

/* Counts bytes that arrive before the response; false: there are too many. */
static bool count_skipped(struct htc_call *c, size_t len)
{
	if (c->head_delivered || !c->max_body_bytes)
		return true;
	c->skipped_bytes += len;
	return c->skipped_bytes <= c->max_body_bytes + MAX_HEAD_BYTES;
}

static void on_data(struct ioc *io, const char *data, size_t len)
{
	struct htc_conn *k = io->owner;
	enum hparse_result r;
	size_t used;

	if (k->tunnelling) {
		on_tunnel_answer(k, data, len);
		return;
	}
	/*
	 * Bytes on an idle connection are a late second response, which would
	 * be taken for the response to the next call.
	 */
	if (!k->call) {
		fail(k, HTC_CONNECTION_LOST);
		return;
	}
	if (!count_skipped(k->call, len)) {
		fail(k, HTC_TOO_LARGE);
		return;
	}
	k->in_parser = true;
	r = hparse_feed(&k->parse, data, len, &used);
	k->in_parser = false;
	if (k->free_pending) {
		conn_release(k);
		return;
	}
	if (r == HPARSE_MORE)
		return;
	if (k->too_large || r == HPARSE_HEAD_TOO_LARGE)
		fail(k, HTC_TOO_LARGE);
	else if (r == HPARSE_STOPPED)
		finish(k, used < len);
	else
		fail(k, HTC_MALFORMED);
}

/* Frees the idle connection and reports that it was lost. */
static void idle_lost(struct htc_conn *k)
{
	struct htc_peer *p = k->peer;

	fail(k, HTC_CONNECTION_LOST);
	if (p->idle_lost)
		p->idle_lost(p->idle_lost_arg);
}

static void on_ended(struct ioc *io, enum ioc_end how)
{
	struct htc_conn *k = io->owner;
	bool complete = false;

	if (k->call) {
		k->call->end_name = ioc_end_name(how);
		k->call->unacked = ioc_unacked(io);
	}
	/* Only an orderly close ends a response without framing. */
	if (how == IOC_END_CLOSED && k->call) {
		k->in_parser = true;
		complete = hparse_eof(&k->parse) && !k->skip_response;
		k->in_parser = false;
	}
	if (k->free_pending) {
		conn_release(k);
		return;
	}
	if (complete) {
		k->closing = true;
		k->call->ended_by_close = true;
		finish(k, false);
		return;
	}
	if (k->tunnelling) {
		not_established(k, HTC_UNREACHED_RELAY);
		return;
	}
	if (k->probe_done) {
		end_probe(k, how == IOC_END_REFUSED ? HTC_PROBE_REFUSED
						    : HTC_PROBE_UNKNOWN);
		return;
	}
	if (!k->call && how != IOC_END_CLOSED) {
		idle_lost(k);
		return;
	}
	k->unreached = how == IOC_END_REFUSED ? HTC_UNREACHED_REFUSED
					      : HTC_UNREACHED_OTHER;
	fail(k, how == IOC_END_REFUSED || how == IOC_END_UNREACHABLE
			? HTC_NOT_SENT
			: HTC_CONNECTION_LOST);
}

static void on_connected(struct ioc *io)
{
	struct htc_conn *k = io->owner;

	allow_for_stall(k);
	if (k->tunnelling)
		request_tunnel(k);
	else
		established(k);
}

static const struct ioc_vtable io_vtable = {
	.connected = on_connected,
	.data = on_data,
	.ended = on_ended,
};

static const struct hparse_vtable parse_vtable = { on_head, on_body, on_end };

/* ---- Peers ---- */

void htc_peer_init(struct htc_peer *p, struct ev_loop *loop,
		   const struct clk *clk, const struct sockaddr_in *addr,
		   const struct htc_limits *limits)
{
	memset(p, 0, sizeof(*p));
	p->loop = loop;
	p->clk = clk;
	p->addr = *addr;
	p->limits = *limits;
	CDS_INIT_LIST_HEAD(&p->idle);
}

void htc_peer_close(struct htc_peer *p)
{
	struct htc_conn *k, *next;

	p->closes++;
	cds_list_for_each_entry_safe(k, next, &p->idle, node) {
		conn_free(k, false);
	}
}

void htc_peer_tunnel(struct htc_peer *p, const struct sockaddr_in *relay,
		     const char *to)
{
	htc_peer_close(p);
	p->addr = *relay;
	str_copy(p->tunnel_to, to, sizeof(p->tunnel_to));
}

static bool is_reusable(const struct htc_conn *k, int64_t now,
			int64_t max_idle_ms)
{
	const int64_t idle = now - k->idle_since_ms;

	return idle < k->keep_alive_ms && idle < max_idle_ms;
}

/*
 * Takes the connection used last: the peer is least likely to be closing it. One with
 * unread input has ended, or has a late second response: the event loop closes it.
 */
static struct htc_conn *take_idle(struct htc_peer *p, int max_idle_ms)
{
	const int64_t now = clk_boot_ms(p->clk);
	struct htc_conn *k;

	cds_list_for_each_entry(k, &p->idle, node) {
		if (!is_reusable(k, now, max_idle_ms ? max_idle_ms : INT64_MAX))
			return NULL;
		if (ioc_has_input(k->io))
			continue;
		idle_del(k);
		return k;
	}
	return NULL;
}

static struct htc_conn *open_conn(struct htc_peer *p)
{
	const struct ioc_timeouts timeouts = {
		.ack_timeout_ms = p->limits.ack_timeout_ms,
		.keepalive_s = p->limits.keepalive_s,
	};
	struct htc_conn *k = calloc(1, sizeof(*k));

	assert(k);
	k->peer = p;
	k->closes = p->closes;
	k->tunnelling = p->tunnel_to[0];
	k->ack_timeout_ms = p->limits.ack_timeout_ms;
	k->io = ioc_connect(p->loop, &p->addr, &timeouts, &io_vtable, k, NULL);
	if (!k->io) {
		free(k);
		return NULL;
	}
	if (p->limits.window_bytes)
		ioc_set_window(k->io, p->limits.window_bytes);
	hparse_init(&k->parse, false, 0, &parse_vtable, k);
	ev_timer_init(&k->timer, on_timer, 0, 0);
	k->timer.data = k;
	p->nr_open++;
	p->opened++;
	return k;
}

static void set_ack_timeout(struct htc_conn *k, int ms)
{
	if (k->ack_timeout_ms == ms)
		return;
	k->ack_timeout_ms = ms;
	ioc_set_ack_timeout(k->io, ms);
}

void htc_set_ack_timeout(struct htc_call *c, int ms)
{
	set_ack_timeout(c->conn, ms);
}

bool htc_probe(struct htc_peer *p, htc_probe_cb done, void *arg)
{
	struct htc_conn *k = open_conn(p);

	if (!k)
		return false;
	k->probe_done = done;
	k->probe_arg = arg;
	set_establish_timer(k, 0);
	return true;
}

struct htc_call *htc_start(struct htc_peer *p, struct buf *wire,
			   int max_idle_ms, bool no_body, int total_ms,
			   const struct htc_vtable *vt, void *owner)
{
	return htc_start_with(p, wire, NULL, max_idle_ms, no_body, total_ms, vt,
			      owner);
}

struct htc_call *htc_start_with(struct htc_peer *p, struct buf *wire,
				struct shb *body, int max_idle_ms, bool no_body,
				int total_ms, const struct htc_vtable *vt,
				void *owner)
{
	struct htc_conn *k = take_idle(p, max_idle_ms);
	const bool reused = k != NULL;
	struct htc_call *c;

	if (!k)
		k = open_conn(p);
	if (!k) {
		buf_free(wire);
		return NULL;
	}
	c = calloc(1, sizeof(*c));
	assert(c);
	c->vt = vt;
	c->owner = owner;
	c->conn = k;
	c->no_body = no_body;
	c->max_body_bytes = p->limits.max_body_bytes;
	c->total_ms = total_ms;
	c->deadline_ms = total_ms ? clk_boot_ms(p->clk) + total_ms : 0;
	k->call = c;
	k->sent_before = k->io->sent;
	if (reused) {
		p->reused++;
		set_ack_timeout(k, p->limits.ack_timeout_ms);
		set_call_timer(k);
		send_request(k, wire, body);
		return c;
	}
	k->body = shb_ref(body);
	k->wire = *wire;
	*wire = (struct buf)BUF_INIT;
	set_establish_timer(k, total_ms);
	return c;
}

void htc_cancel(struct htc_call *c)
{
	struct htc_conn *k = c->conn;

	/*
	 * Reset instead of an orderly close, so that the peer detects at once
	 * that the call is cancelled, whether or not bytes are unread.
	 */
	conn_free(k, true);
	free(c);
}

void htc_extend(struct htc_call *c, int ms)
{
	c->total_ms = ms;
	c->deadline_ms = clk_boot_ms(c->conn->peer->clk) + ms;
	c->conn->establish_by_ms = c->deadline_ms;
	set_call_timer(c->conn);
}

void htc_set_max_body(struct htc_call *c, size_t bytes)
{
	c->max_body_bytes = bytes;
}

void htc_pause(struct htc_call *c, bool paused)
{
	ioc_pause(c->conn->io, paused);
}

enum htc_unreached htc_unreached(const struct htc_call *c)
{
	return c->unreached;
}

bool htc_ended_by_close(const struct htc_call *c)
{
	return c->ended_by_close;
}

size_t htc_unacked(const struct htc_call *c)
{
	return c->unacked;
}

const char *htc_end_name(const struct htc_call *c)
{
	return c->end_name ? c->end_name : "";
}

size_t htc_unread(const struct htc_call *c)
{
	return ioc_unread(c->conn->io);
}

void *htc_owner(const struct htc_call *c)
{
	return c->owner;
}

bool htc_sent(const struct htc_call *c)
{
	return !c->conn->tunnelling && c->conn->io->sent > c->conn->sent_before;
}
