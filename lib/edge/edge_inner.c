/* The internal listener: an entry that is cut off from the store reaches it
 * through another one, entries that do not watch the store follow one that
 * does, and the metrics are served. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/* ---- Calls that are handed on to the store ---- */

/* A call that is handed on; `conn` is NULL once the asker left. */
struct relayed {
	struct hsc *conn;
};

static void on_relayed(void *arg, int status, int64_t era, const char *body,
		       size_t len, bool sent)
{
	struct relayed *r = arg;
	struct hsc *c = r->conn;
	const struct edge *en;
	BUF_AUTO out = BUF_INIT;

	free(r);
	if (!c)
		return;
	c->request = NULL;
	en = c->server->owner;
	/* No answer, but it may have been done: nothing may be promised. */
	if (!status && sent) {
		hsc_cut(c);
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
	struct relayed *r = calloc(1, sizeof(*r));
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
	sto_relay(en->store, &wire, on_relayed, r);
}

/* ---- Entries that follow our watch ---- */

/* An answer without changes. */
#define NOTHING_NEW "{\"events\":[],\"currentRev\":%lld}"

struct edge_follower {
	struct cds_list_head node; /* in edge.followers */
	struct hsc *conn;
	struct edge_watch *watch; /* which it follows; NULL: a version */
	int64_t after;		  /* revision, or the version it wants */
	int64_t until_ms;
};

static void answer_follower(struct edge_follower *f, int status,
			    const char *body, size_t len)
{
	struct hsc *c = f->conn;
	const struct edge *en = c->server->owner;
	const int64_t era = f->watch ? f->watch->era : en->copy.era;
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

/* An entry that wants a version of the configuration. */
static void try_version(struct edge *en, struct edge_follower *f, int64_t now)
{
	const struct buf *body = &en->copy.body;

	if (en->copy.version < f->after && now < f->until_ms)
		return;
	if (en->copy.version >= f->after && body->len)
		answer_follower(f, 200, body->data, body->len);
	else
		answer_follower(f, 404, "", 0);
}

/* Answers the follower if there is something to say, or its time is over. */
static void try_follower(struct edge_follower *f, int64_t now)
{
	const int64_t upto = f->watch->feed.known_to;
	const struct feed_batch *part;
	char nothing[64];

	if (!edge_watch_leads(f->watch, now)) {
		answer_follower(f, 503, "", 0);
		return;
	}
	/*
	 * We follow another entry ourselves: who waits here would learn late,
	 * and by a feed that stands still learn nothing. What we have of
	 * another era of the store than the asker says nothing either.
	 */
	if (f->watch->following || ver_era(f->after) != f->watch->era) {
		answer_follower(f, 404, "", 0);
		return;
	}
	switch (feed_after(&f->watch->feed, f->after, &part)) {
	case FEED_GAP:
		/* What it lacks is not here: it asks the store once. */
		answer_follower(f, 404, "", 0);
		return;
	case FEED_CHANGES:
		answer_follower(f, 200, part->body.data, part->body.len);
		return;
	case FEED_UNCHANGED:
		break;
	}
	if (now < f->until_ms)
		return;
	/* "Nothing new" is for the store to say, since we watch it again. */
	if (!f->watch->direct) {
		answer_follower(f, 404, "", 0);
		return;
	}
	snprintf(nothing, sizeof(nothing), NOTHING_NEW,
		 (long long)ver_revision(upto > f->after ? upto : f->after));
	answer_follower(f, 200, nothing, strlen(nothing));
}

static void try_answer(struct edge *en, struct edge_follower *f, int64_t now)
{
	if (f->watch)
		try_follower(f, now);
	else
		try_version(en, f, now);
}

void edge_inner_feed(struct edge *en, int64_t now)
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
	f->watch = lane < EDGE_NR_FOLLOWED ? &en->watches[lane] : NULL;
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

/* ---- The internal listener ---- */

static void serve_metrics(struct edge *en, struct hsc *c)
{
	BUF_AUTO text = BUF_INIT;
	BUF_AUTO out = BUF_INIT;

	met_set(en->m.lines_dropped, (long long)jlog_dropped(en->log));
	met_set(en->m.endpoints, (long long)en->fleet.count);
	met_set(en->m.entries, prs_count_running(&en->prs, edge_now(en)));
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
	else if (sto_parse_follow(url, &lane, &after, &wait_ms))
		add_follower(en, c, lane, after, wait_ms);
	else
		relay(en, c);
}

static void on_gone(struct hsc *c)
{
	struct edge_follower *f = find_follower(c->server->owner, c);
	struct relayed *r = c->request;

	if (f) {
		cds_list_del(&f->node);
		free(f);
	} else if (r) {
		r->conn = NULL;
	}
}

static void on_fault(struct hsc *c, enum hsc_fault f, struct buf *out)
{
	(void)c;
	(void)f;
	hmsg_put_status(out, 400);
	hmsg_put_int(out, "Content-Length", 0);
	hmsg_put_end(out);
}

static void limits(struct hsc_server *s, struct hsc_limits *out)
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

const struct hsc_vtable edge_inner_vtable = {
	.request = on_request,
	.gone = on_gone,
	.fault = on_fault,
	.limits = limits,
};
