/*
 * HTTP server for other entries: relays calls to the store for entries that
 * cannot reach it, serves changes to entries that follow the watches of this
 * one (followers), opens tunnels to endpoints, and serves the metrics.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/* ---- Calls relayed to the store ---- */

/* A call in flight to the store. */
struct relayed_call {
	struct hsc *conn;
	struct sto_relay *call;
	size_t request_bytes;
};

static void on_relay_held(void *arg, size_t bytes)
{
	struct relayed_call *r = arg;
	struct edge *en = r->conn->server->owner;

	hsc_hold(r->conn, MEM_RUNNING, r->request_bytes + bytes);
	mem_relieve(&en->mem); /* may free `r` */
}

/* The peer has left, or its connection is given up for its memory. */
static void abandon(struct relayed_call *r)
{
	sto_relay_cancel(r->call);
	free(r);
}

static void on_relay_answer(void *arg, int status, int64_t era,
			    const char *body, size_t len, bool sent)
{
	struct relayed_call *r = arg;
	struct hsc *c = r->conn;
	const struct edge *en;
	BUF_AUTO out = BUF_INIT;

	free(r);
	c->request = NULL;
	en = c->server->owner;
	/* The call may have been executed or not: any status could be wrong. */
	if (!status && sent) {
		hsc_disconnect(c);
		return;
	}
	hmsg_put_status(&out, status ? status : 503);
	en->wire->store->put_era(status ? era : sto_era(en->store), &out);
	hmsg_put_int(&out, "Content-Length", status ? (int64_t)len : 0);
	hmsg_put_end(&out);
	if (status)
		buf_add(&out, body, len);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void relay(struct edge *en, struct hsc *c)
{
	const struct hmsg *m = &c->parse.msg;
	struct relayed_call *r = calloc(1, sizeof(*r));
	struct sto_relay *call;
	struct buf wire = BUF_INIT;

	assert(r);
	hmsg_put_request(&wire, http_method_str(m->method), hmsg_url(m));
	hmsg_put(&wire, "Host", "store");
	if (m->has_length) {
		hmsg_put(&wire, "Content-Type", "application/json");
		hmsg_put_int(&wire, "Content-Length", (int64_t)c->body.len);
	}
	hmsg_put_end(&wire);
	buf_add(&wire, c->body.data, c->body.len);
	r->conn = c;
	c->request = r;
	met_inc(en->m.store_relayed);
	r->request_bytes = wire.cap;
	hsc_hold(c, MEM_RUNNING, r->request_bytes);
	call = sto_relay(en->store, &wire, on_relay_held, on_relay_answer, r);
	if (call) /* else `r` is freed */
		r->call = call;
}

/* ---- Followers ---- */

/* The answer of a watch that saw no change. */
#define NO_CHANGES "{\"events\":[],\"currentRev\":%lld}"

/* A follower's call that waits for changes, or for a configuration. */
struct edge_follower {
	struct cds_list_head node; /* in edge.followers */
	struct hsc *conn;
	struct edge_watch *watch; /* NULL: waits for a configuration */
	/*
	 * Wants changes after this version, or at least this configuration;
	 * STO_ALL_KEYS, STO_ANY_LISTING: a listing.
	 */
	int64_t after;
	int64_t until_ms; /* end of the wait */
};

/* Sends the answer and frees the follower. */
static void answer_follower(struct edge_follower *f, int status,
			    const char *body, size_t len)
{
	struct hsc *c = f->conn;
	const struct edge *en = c->server->owner;
	const int64_t era = f->watch ? f->watch->era : en->config_copy.era;
	BUF_AUTO out = BUF_INIT;

	cds_list_del(&f->node);
	free(f);
	c->request = NULL;
	hmsg_put_status(&out, status);
	en->wire->store->put_era(era, &out);
	hmsg_put_int(&out, "Content-Length", (int64_t)len);
	hmsg_put_end(&out);
	buf_add(&out, body, len);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

/*
 * Answers with the configuration; with 404 after the wait, or if the copy was
 * too large to be kept.
 */
static void try_config(struct edge *en, struct edge_follower *f, int64_t now)
{
	const struct buf *body = &en->config_copy.body;

	if (en->config_copy.version < f->after && now < f->until_ms)
		return;
	if (en->config_copy.version >= f->after && body->len)
		answer_follower(f, 200, body->data, body->len);
	else
		answer_follower(f, 404, "", 0);
}

/*
 * Answers with a listing; with 404 after the wait, or if this entry does not
 * watch the store itself.
 */
static void try_listing(struct edge_follower *f, int64_t now)
{
	const struct buf *body = NULL;

	if (f->after == STO_ANY_LISTING ||
	    (edge_watch_is_current(f->watch, now) && !f->watch->following))
		body = edge_snapshot_take(f->watch, f->after == STO_ANY_LISTING,
					  now);
	if (body)
		answer_follower(f, 200, body->data, body->len);
	else if (now >= f->until_ms ||
		 (f->watch->following && f->after == STO_ALL_KEYS))
		answer_follower(f, 404, "", 0);
}

/* Answers with changes, with none after the wait, or with an error. */
static void try_watch(struct edge_follower *f, int64_t now)
{
	const int64_t upto = f->watch->feed.known_to;
	const struct feed_batch *part;
	char no_changes[64];

	if (!edge_watch_is_current(f->watch, now)) {
		answer_follower(f, 503, "", 0);
		return;
	}
	/*
	 * While this entry follows another one itself, its changes would reach
	 * the follower late, or not at all if that feed is stuck. Changes of
	 * another era of the store are of no use to the follower either.
	 */
	if (f->watch->following || ver_era(f->after) != f->watch->era) {
		answer_follower(f, 404, "", 0);
		return;
	}
	switch (feed_after(&f->watch->feed, f->after, &part)) {
	case FEED_GAP:
		/* Not kept here: the follower watches the store once. */
		answer_follower(f, 410, "", 0);
		return;
	case FEED_CHANGES:
		answer_follower(f, 200, part->body.data, part->body.len);
		return;
	case FEED_UNCHANGED:
		break;
	}
	if (now < f->until_ms)
		return;
	/* Only a watch answered by the store itself proves "no changes". */
	if (!f->watch->from_store) {
		answer_follower(f, 404, "", 0);
		return;
	}
	snprintf(no_changes, sizeof(no_changes), NO_CHANGES,
		 (long long)ver_revision(upto > f->after ? upto : f->after));
	answer_follower(f, 200, no_changes, strlen(no_changes));
}

/* Answers the follower if there is news or its wait is over. */
static void try_answer(struct edge *en, struct edge_follower *f, int64_t now)
{
	if (f->watch && f->after < 0)
		try_listing(f, now);
	else if (f->watch)
		try_watch(f, now);
	else
		try_config(en, f, now);
}

void edge_serve_followers(struct edge *en, int64_t now)
{
	struct edge_follower *f, *next;

	cds_list_for_each_entry_safe(f, next, &en->followers, node) {
		try_answer(en, f, now);
	}
}

static void add_follower(struct edge *en, struct hsc *c, unsigned lane,
			 int64_t after, int wait_ms)
{
	struct edge_follower *f = calloc(1, sizeof(*f));
	const int64_t now = edge_now(en);

	assert(f);
	f->conn = c;
	f->watch = lane < EDGE_NR_SHARED_WATCHES ? &en->watches[lane] : NULL;
	f->after = after;
	f->until_ms = now + wait_ms;
	c->request = f;
	cds_list_add_tail(&f->node, &en->followers);
	try_answer(en, f, now);
}

static struct edge_follower *find_follower(struct edge *en, const struct hsc *c)
{
	struct edge_follower *f;

	cds_list_for_each_entry(f, &en->followers, node) {
		if (f->conn == c)
			return f;
	}
	return NULL;
}

/* ---- Requests ---- */

static void serve_metrics(struct edge *en, struct hsc *c)
{
	BUF_AUTO text = BUF_INIT;
	BUF_AUTO out = BUF_INIT;

	met_set(en->m.lines_dropped, (long long)jlog_dropped(en->log));
	met_set(en->m.endpoints, (long long)en->fleet.count);
	met_set(en->m.endpoints_brittle, edge_statement_count_brittle(en));
	met_set(en->m.endpoints_slow, edge_speed_count_slow(en));
	met_set(en->m.bindings, HASH_COUNT(en->bindings.rows));
	met_set(en->m.endpoints_unrecorded, edge_versions_count_withheld(en));
	met_set(en->m.endpoints_limited, edge_statement_count_limited(en));
	met_set(en->m.cut_off, en->reach.cut_off);
	met_set(en->m.tunnels, en->nr_tunnels);
	met_set(en->m.endpoints_unreached,
		edge_count_unreached(en, edge_now(en)));
	met_set(en->m.endpoint_age_ms, edge_endpoint_age(en, edge_now(en)));
	edge_memory_set_metrics(en);
	met_set(en->m.entries, en->nr_running);
	met_set(en->m.in_core, en->ovl.core);
	met_set(en->m.core_entries, (long long)en->prs.nr_core);
	met_set(en->m.list_age_ms, edge_list_age(en, edge_now(en)));
	met_print(&en->met, &text);
	hmsg_put_status(&out, 200);
	hmsg_put(&out, "Content-Type", "text/plain; version=0.0.4");
	hmsg_put_int(&out, "Content-Length", (int64_t)text.len);
	hmsg_put_end(&out);
	buf_add(&out, text.data, text.len);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void on_request(struct hsc *c)
{
	struct edge *en = c->server->owner;
	const char *url = hmsg_url(&c->parse.msg);
	unsigned lane;
	int64_t after;
	int wait_ms;

	if (!strcmp(url, "/metrics"))
		serve_metrics(en, c);
	else if (!strncmp(url, HTC_TUNNEL_PATH "?",
			  strlen(HTC_TUNNEL_PATH "?")))
		edge_tunnel_request(en, c);
	else if (sto_parse_follow(url, &lane, &after, &wait_ms))
		add_follower(en, c, lane, after, wait_ms);
	else
		relay(en, c);
}

static void on_peer_gone(struct hsc *c)
{
	struct edge_follower *f = find_follower(c->server->owner, c);
	struct relayed_call *r = c->request;

	if (edge_tunnel_disconnected(c->server->owner, c))
		return;
	if (f) {
		cds_list_del(&f->node);
		free(f);
	} else if (r) {
		abandon(r);
	}
}

static void on_malformed(struct hsc *c, enum hsc_read_error f, struct buf *out)
{
	(void)c;
	hmsg_put_status(out, f == HSC_NO_ROOM ? 503 : 400);
	hmsg_put_int(out, "Content-Length", 0);
	hmsg_put_end(out);
}

static void get_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){
		.header_bytes = 8192,
		.body_bytes = 1u << 20,
		.header_ms = 3000,
		.body_ms = 3000,
		.idle_ms = 30000,
	};
}

const struct hsc_vtable edge_peer_http_vtable = {
	.request = on_request,
	.disconnected = on_peer_gone,
	.read_error = on_malformed,
	.limits = get_limits,
};
