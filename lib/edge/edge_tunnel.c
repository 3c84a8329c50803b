/*
 * Tunnels to endpoints for entries that do not reach them (edge_relay.c): this
 * entry connects to the endpoint and passes bytes on, both ways. It does not
 * read them: the other entry admits, limits and repeats its own requests, and
 * has chosen the endpoint.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/edge_internal.h"

/* Tunnels at the same time; each takes two descriptors. */
#define MAX_TUNNELS 256

/* Bytes queued for one side beyond which the other one is not read. */
#define MAX_QUEUED_BYTES 65536

/* Time for the other entry to close after the endpoint did, ms. */
#define LINGER_MS 1000

/* The other entry is given up after it has taken no byte for this long, ms. */
#define UNREAD_MS 10000

/* Between two checks whether the other entry has received the last byte, ms. */
#define RECEIVED_CHECK_MS 5

struct edge_tunnel {
	struct cds_list_head node; /* in edge.tunnels */
	struct edge *en;
	char endpoint_id[FLT_NAME];
	struct hsc *conn; /* the request for it; NULL once it was answered */
	struct ioc *entry, *endpoint; /* NULL: not open */
	struct mem_holder holder;     /* of what is queued for both */
	bool endpoint_ended;	      /* its last byte was received */
	bool reset; /* the other entry's connection is reset after that byte */
	bool established;
	ev_timer timer; /* of connecting, then of lingering */
	uint64_t sent;	/* to the other entry, when `timer` was set to linger */
	size_t unacked; /* by the other entry, at the last check */
	int unacked_for; /* checks since it was another number */
	int64_t since_ms;
};

/* ---- End ---- */

static void log_tunnel(const struct edge_tunnel *t, const char *outcome)
{
	struct edge *en = t->en;

	jlog_begin(en->log, JLOG_INFO, "tunnel");
	jlog_str(en->log, "endpoint", t->endpoint_id);
	jlog_str(en->log, "outcome", outcome);
	jlog_int(en->log, "took_ms", edge_now(en) - t->since_ms);
	jlog_int(en->log, "tunnels", en->nr_tunnels);
	jlog_end(en->log);
}

/* Accounts for what is queued. */
static void update_held(struct edge_tunnel *t)
{
	mem_hold(&t->en->mem, &t->holder, MEM_RUNNING,
		 (t->entry ? ioc_pending(t->entry) : 0) +
			 (t->endpoint ? ioc_pending(t->endpoint) : 0));
}

/* Closes what is open. `close_io`: ioc_close, or ioc_abort to reset. */
static void tunnel_free(struct edge_tunnel *t, void (*close_io)(struct ioc *))
{
	mem_hold(&t->en->mem, &t->holder, MEM_RUNNING, 0);
	ev_timer_stop(t->en->loop, &t->timer);
	if (t->entry)
		close_io(t->entry);
	if (t->endpoint)
		close_io(t->endpoint);
	if (t->conn)
		t->conn->request = NULL;
	cds_list_del(&t->node);
	t->en->nr_tunnels--;
	free(t);
}

static void answer(struct hsc *c, int status)
{
	BUF_AUTO out = BUF_INIT;

	c->request = NULL;
	hmsg_put_status(&out, status);
	hmsg_put_int(&out, "Content-Length", 0);
	hmsg_put_end(&out);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

/* No connection to the endpoint: this entry may be cut off too. */
static void refuse(struct edge_tunnel *t, int status, const char *outcome)
{
	const struct flt_endpoint *e = flt_find(&t->en->fleet, t->endpoint_id);
	struct hsc *c = t->conn;

	if (e)
		edge_reach_suspect(t->en, REACH_UNREACHED, e);
	log_tunnel(t, outcome);
	t->conn = NULL;
	tunnel_free(t, ioc_close);
	answer(c, status);
}

static void set_timer(struct edge_tunnel *t, int ms)
{
	ev_timer_stop(t->en->loop, &t->timer);
	ev_timer_set(&t->timer, (double)ms / 1000, 0);
	ev_timer_start(t->en->loop, &t->timer);
}

/* A reset would discard what the other entry has not received. */
static void reset_once_received(struct edge_tunnel *t)
{
	const size_t unacked = ioc_unacked(t->entry);

	t->unacked_for = unacked == t->unacked ? t->unacked_for + 1 : 0;
	t->unacked = unacked;
	if (!unacked || t->unacked_for > UNREAD_MS / RECEIVED_CHECK_MS)
		tunnel_free(t, ioc_abort);
	else
		set_timer(t, RECEIVED_CHECK_MS);
}

/* The endpoint's connection has ended: waits for the other entry. */
static void linger(struct edge_tunnel *t)
{
	t->sent = t->entry->sent;
	if (ioc_pending(t->entry)) {
		set_timer(t, UNREAD_MS);
	} else if (t->reset) {
		reset_once_received(t);
	} else {
		shutdown(t->entry->fd, SHUT_WR);
		set_timer(t, LINGER_MS);
	}
}

/* An orderly close would make what was passed on look complete. */
static void end_lingering(struct edge_tunnel *t)
{
	if (!ioc_pending(t->entry) && t->reset)
		reset_once_received(t);
	else if (!ioc_pending(t->entry))
		tunnel_free(t, ioc_close);
	else if (t->entry->sent != t->sent)
		linger(t);
	else
		tunnel_free(t, ioc_abort);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct edge_tunnel *t = timer->data;

	(void)revents;
	if (inp_defers(loop, timer))
		return;
	if (t->established)
		end_lingering(t);
	else
		refuse(t, 504, "endpoint silent");
}

/* ---- The other entry's side ---- */

static bool shed(struct mem_holder *h)
{
	struct edge_tunnel *t = caa_container_of(h, struct edge_tunnel, holder);

	log_tunnel(t, EDGE_WHY_NO_MEMORY);
	tunnel_free(t, ioc_abort);
	return true;
}

static const struct mem_vtable holder_vtable = { shed };

static void on_entry_data(struct ioc *io, const char *data, size_t len)
{
	struct edge_tunnel *t = io->owner;

	if (!t->endpoint)
		return;
	ioc_write(t->endpoint, data, len);
	if (ioc_pending(t->endpoint) > MAX_QUEUED_BYTES)
		ioc_pause(io, true);
	update_held(t);
}

static void on_entry_drained(struct ioc *io)
{
	struct edge_tunnel *t = io->owner;

	update_held(t);
	if (t->endpoint)
		ioc_pause(t->endpoint, false);
	if (t->endpoint_ended)
		linger(t);
}

/* A reset cancels the request at the endpoint, so it is passed on as one. */
static void on_entry_ended(struct ioc *io, enum ioc_end how)
{
	struct edge_tunnel *t = io->owner;

	t->entry = NULL;
	tunnel_free(t, how == IOC_END_CLOSED ? ioc_close : ioc_abort);
}

static const struct ioc_vtable entry_vtable = {
	.data = on_entry_data,
	.drained = on_entry_drained,
	.ended = on_entry_ended,
};

/* ---- The endpoint's side ---- */

static void on_endpoint_connected(struct ioc *io)
{
	static const char established[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	struct edge_tunnel *t = io->owner;
	struct hsc *c = t->conn;

	ev_timer_stop(t->en->loop, &t->timer);
	c->request = NULL;
	t->entry = hsc_detach(c);
	t->conn = NULL;
	if (!t->entry) {
		tunnel_free(t, ioc_close);
		hsc_disconnect(c);
		return;
	}
	t->entry->vt = &entry_vtable;
	t->entry->owner = t;
	t->established = true;
	met_inc(t->en->m.tunnels_opened);
	log_tunnel(t, "established");
	ioc_write(t->entry, established, strlen(established));
}

static void on_endpoint_data(struct ioc *io, const char *data, size_t len)
{
	struct edge_tunnel *t = io->owner;

	ioc_write(t->entry, data, len);
	if (ioc_pending(t->entry) > MAX_QUEUED_BYTES)
		ioc_pause(io, true);
	update_held(t);
}

static void on_endpoint_drained(struct ioc *io)
{
	struct edge_tunnel *t = io->owner;

	update_held(t);
	if (t->entry)
		ioc_pause(t->entry, false);
}

/* Bytes of the other entry that the endpoint has not received. */
static bool has_unreceived(const struct edge_tunnel *t)
{
	return ioc_unacked(t->endpoint) || ioc_unread(t->entry);
}

/*
 * The end of the connection may be the end of an answer: an orderly close is passed on
 * after the last byte, a reset as a reset. The other entry does not see how much of its
 * request the endpoint has received: a close before that is passed on as a reset too.
 */
static void on_endpoint_ended(struct ioc *io, enum ioc_end how)
{
	struct edge_tunnel *t = io->owner;

	if (t->established)
		t->reset = how != IOC_END_CLOSED || has_unreceived(t);
	t->endpoint = NULL;
	if (!t->established) {
		refuse(t, 502, "endpoint not reached");
		return;
	}
	t->endpoint_ended = true;
	ioc_pause(t->entry, false);
	linger(t);
}

static const struct ioc_vtable endpoint_vtable = {
	.connected = on_endpoint_connected,
	.data = on_endpoint_data,
	.drained = on_endpoint_drained,
	.ended = on_endpoint_ended,
};

/* ---- Requests for tunnels ---- */

/* The endpoint in the table with this address; NULL: none. */
static const struct flt_endpoint *find_by_address(const struct edge *en,
						  const char *address)
{
	const struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!strcmp(e->info.address, address))
			return e;
	}
	return NULL;
}

static bool takes_tunnels(const struct edge *en)
{
	return !en->stopping && !en->reach.cut_off &&
	       en->nr_tunnels < MAX_TUNNELS;
}

void edge_tunnel_request(struct edge *en, struct hsc *c)
{
	const struct ioc_timeouts timeouts = edge_endpoint_timeouts();
	const struct flt_endpoint *e;
	struct sockaddr_in addr;
	struct edge_tunnel *t;
	char to[32] = "";

	hmsg_query(hmsg_url(&c->parse.msg), "to", to, sizeof(to));
	e = find_by_address(en, to);
	if (!takes_tunnels(en) || !e || ioc_address(to, &addr, NULL)) {
		met_inc(en->m.tunnels_refused);
		answer(c, e ? 503 : 404);
		return;
	}
	t = calloc(1, sizeof(*t));
	assert(t);
	t->en = en;
	t->conn = c;
	t->since_ms = edge_now(en);
	mem_add(&t->holder, &holder_vtable);
	str_copy(t->endpoint_id, e->info.id, sizeof(t->endpoint_id));
	ev_timer_init(&t->timer, on_timer, 0, 0);
	t->timer.data = t;
	cds_list_add_tail(&t->node, &en->tunnels);
	en->nr_tunnels++;
	c->request = t;
	set_timer(t, EDGE_CONNECT_TIMEOUT_MS);
	t->endpoint = ioc_connect(en->loop, &addr, &timeouts, &endpoint_vtable,
				  t, NULL);
	if (!t->endpoint)
		refuse(t, 502, "endpoint not reached");
}

bool edge_tunnel_disconnected(struct edge *en, const struct hsc *c)
{
	struct edge_tunnel *t;

	cds_list_for_each_entry(t, &en->tunnels, node) {
		if (t->conn != c)
			continue;
		t->conn = NULL;
		tunnel_free(t, ioc_close);
		return true;
	}
	return false;
}
