/* Other entries: datagrams of facts, and the internal listener, through
 * which an entry that is cut off from the store reaches it, and which serves
 * the metrics. */
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hsh.h"
#include "edge/edge_internal.h"

/* Peers that are told in one round. */
#define ROUND_PEERS 8

/* With more peers each is told at least this often. */
#define TELL_EACH_MS 600
#define ROUND_MS 200

/* Datagrams read in one turn of the loop. */
#define READ_BATCH 64

/* Demands below this are not told. */
#define MIN_DEMAND 0.01

/* Windows of usage that are told: the present one and those before it. */
#define TOLD_WINDOWS 3

/* Estimates of the time of day from peers heard within a second. */
#define MAX_ESTIMATES 64

/* ---- What we tell ---- */

static void say_demands(struct edge *en, struct gsp_record *r, int64_t now)
{
	struct acct *a;
	double per_s;

	cds_list_for_each_entry(a, &en->accounts.accounts, node) {
		per_s = acct_demand(a, now);
		if (per_s < MIN_DEMAND || r->nr_demands == GSP_ACCOUNTS)
			continue;
		str_copy(r->demands[r->nr_demands].account, a->name, GSP_NAME);
		r->demands[r->nr_demands++].per_s = per_s;
	}
}

static void say_loads(struct edge *en, struct gsp_record *r)
{
	struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!e->running || r->nr_loads == GSP_LOADS)
			continue;
		r->loads[r->nr_loads++] = (struct gsp_load){
			.endpoint = e->hash,
			.running = e->running,
			.prefill_tokens = (int)e->prefill_tokens,
		};
	}
}

/* True if somebody else tells the counts of this source itself. */
static bool tells_itself(const struct edge *en, uint64_t source)
{
	const struct prs_peer *p;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (prs_alive(p, edge_now(en)) &&
		    (p->boot ^ hsh_str(p->info.name, 0)) == source)
			return true;
	}
	return false;
}

static void add_count(struct gsp_record *r, uint64_t source, int64_t window,
		      const char *account, int64_t runs)
{
	struct gsp_count *c;

	if (r->nr_counts == GSP_COUNTS)
		return;
	c = &r->counts[r->nr_counts++];
	c->source = source;
	c->window = window;
	c->runs = runs;
	str_copy(c->account, account, GSP_NAME);
}

static void say_own(uint64_t source, int64_t window, const char *account,
		    int64_t runs, void *arg)
{
	struct edge *en = arg;

	if (source == en->source)
		add_count(&en->said, source, window, account, runs);
}

/*
 * What a dead process counted is passed on: an entry that started after its
 * death may be the one that reports.
 */
static void say_of_the_dead(uint64_t source, int64_t window,
			    const char *account, int64_t runs, void *arg)
{
	struct edge *en = arg;

	if (source != en->source && !tells_itself(en, source))
		add_count(&en->said, source, window, account, runs);
}

static void fill_record(struct edge *en, struct gsp_record *r, int64_t now)
{
	const int64_t true_now = truth_now(&en->truth, now);
	const int64_t age = force_age(&en->force, now);
	const int64_t from =
		usage_window(&en->usage, true_now) - TOLD_WINDOWS + 1;

	memset(r, 0, offsetof(struct gsp_record, demands));
	str_copy(r->name, en->conf->name, GSP_NAME);
	r->boot = en->boot;
	r->seq = ++en->seq;
	r->stamp_ms = now;
	r->true_ms = true_now;
	r->taking = edge_taking(en);
	r->store_ok = sto_direct_ok(en->store);
	r->cfg_version = en->force.cfg ? en->force.cfg->version : 0;
	r->fresh_age_ms = age == INT64_MAX ? -1 : age;
	say_demands(en, r, now);
	say_loads(en, r);
	/* Our own first: nobody else tells them. */
	usage_each(&en->usage, from, say_own, en);
	usage_each(&en->usage, from, say_of_the_dead, en);
}

static void send_to(struct edge *en, const struct prs_peer *p, int64_t now)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	prs_echo(p, &en->said, now);
	/* Long names may not fit: then less is told. */
	while (!(n = gsp_encode(&en->said, bytes, sizeof(bytes))) &&
	       en->said.nr_counts + en->said.nr_loads) {
		en->said.nr_counts /= 2;
		en->said.nr_loads /= 2;
	}
	/* A lost datagram costs nothing: the next one says more. */
	if (n)
		sendto(en->datagrams, bytes, n, MSG_DONTWAIT | MSG_NOSIGNAL,
		       (const struct sockaddr *)&p->addr, sizeof(p->addr));
}

static void tell_round(struct edge *en, int64_t now)
{
	size_t want = ROUND_PEERS, i = 0;
	const size_t n = en->prs.count;
	struct prs_peer *p;

	if (!n)
		return;
	if (n * ROUND_MS > want * TELL_EACH_MS)
		want = (n * ROUND_MS + TELL_EACH_MS - 1) / TELL_EACH_MS;
	fill_record(en, &en->said, now);
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if ((i++ + n - en->next_peer % n) % n < want)
			send_to(en, p, now);
	}
	en->next_peer = (en->next_peer + want) % n;
}

/* ---- What we hear ---- */

static void hear(struct edge *en, const struct gsp_record *r, int64_t now)
{
	struct prs_peer *p =
		prs_heard(&en->prs, r, now, truth_now(&en->truth, now));
	int64_t at;
	unsigned i;

	if (!p)
		return;
	for (i = 0; i < r->nr_counts; i++)
		usage_learn(&en->usage, r->counts[i].source,
			    r->counts[i].window, r->counts[i].account,
			    r->counts[i].runs);
	at = prs_confirmed_at(r, en->boot);
	if (at)
		force_confirm(&en->force, r->cfg_version, at);
}

static void on_datagrams(struct ev_loop *loop, ev_io *w, int revents)
{
	struct edge *en = w->data;
	char bytes[GSP_MAX_BYTES];
	ssize_t n;
	int i;

	(void)loop;
	(void)revents;
	for (i = 0; i < READ_BATCH; i++) {
		n = recv(en->datagrams, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0)
			return;
		if (gsp_decode(&en->heard, bytes, (size_t)n))
			hear(en, &en->heard, edge_now(en));
	}
}

void edge_peer_demands(struct edge *en, int64_t now)
{
	struct prs_peer *p;
	struct acct *a;
	unsigned i;

	en->accounts.unheard = 0;
	cds_list_for_each_entry(a, &en->accounts.accounts, node)
		a->others = 0;
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (!p->last || now - p->heard_ms > PRS_FORGET_MS) {
			en->accounts.unheard += p->registered;
			continue;
		}
		for (i = 0; i < p->last->nr_demands; i++) {
			a = acct_get(&en->accounts, p->last->demands[i].account,
				     now);
			a->others += p->last->demands[i].per_s;
		}
	}
	en->accounts.entries = prs_sharing(&en->prs, now);
}

void edge_peer_loads(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;
	struct prs_peer *p;
	unsigned i;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		e->peer_running = 0;
		e->peer_prefill_tokens = 0;
	}
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (!p->last || !prs_alive(p, now))
			continue;
		for (i = 0; i < p->last->nr_loads; i++) {
			const struct gsp_load *l = &p->last->loads[i];

			e = flt_by_hash(&en->fleet, l->endpoint);
			if (!e)
				continue;
			e->peer_running += l->running;
			e->peer_prefill_tokens += l->prefill_tokens;
		}
	}
}

static void compare_clocks(struct edge *en, int64_t now)
{
	int64_t ahead[MAX_ESTIMATES + 1] = { 0 };
	struct prs_peer *p;
	size_t n = 1;
	int64_t by;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (n <= MAX_ESTIMATES && prs_alive(p, now))
			ahead[n++] = p->ahead_ms;
	}
	by = truth_compare(&en->truth, ahead, n);
	if (!by)
		return;
	/* What was heard is judged anew by the next datagrams. */
	cds_list_for_each_entry(p, &en->prs.peers, node)
		p->ahead_ms -= by;
	jlog_begin(en->log, JLOG_WARN, "clock_corrected");
	jlog_int(en->log, "by_ms", by);
	jlog_int(en->log, "estimates", (int64_t)n);
	jlog_end(en->log);
}

void edge_peer_tick(struct edge *en, int64_t now)
{
	tell_round(en, now);
	edge_peer_demands(en, now);
	edge_peer_loads(en, now);
	compare_clocks(en, now);
	edge_peer_feed(en, now);
	prs_forget(&en->prs, now);
}

/* ---- The internal listener ---- */

/* A call that is handed on; `conn` is NULL once the asker left. */
struct relayed {
	struct hsc *conn;
};

static void on_relayed(void *arg, int status, const char *body, size_t len,
		       bool sent)
{
	struct relayed *r = arg;
	struct hsc *c = r->conn;
	BUF_AUTO out = BUF_INIT;

	free(r);
	if (!c)
		return;
	c->request = NULL;
	/* No answer, but it may have been done: nothing may be promised. */
	if (!status && sent) {
		hsc_cut(c);
		return;
	}
	hmsg_put_status(&out, status ? status : 503);
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
	met_inc(en->m.store_calls);
	sto_relay(en->store, &wire, on_relayed, r);
}

/* ---- Entries that follow our watch ---- */

/*
 * What our watch brings is passed on only while our own way to the store
 * worked this lately: a leader that is cut off would leave its followers
 * blind beside a store that they can reach.
 */
#define FEED_TRUST_MS 1300

/* An answer without changes. */
#define NOTHING_NEW "{\"events\":[],\"currentRev\":%lld}"

struct edge_follower {
	struct cds_list_head node; /* in edge.followers */
	struct hsc *conn;
	int64_t after;
	int64_t until_ms;
};

static void answer_follower(struct edge_follower *f, int status,
			    const char *body, size_t len)
{
	struct hsc *c = f->conn;
	BUF_AUTO out = BUF_INIT;

	cds_list_del(&f->node);
	free(f);
	c->request = NULL;
	hmsg_put_status(&out, status);
	hmsg_put_int(&out, "Content-Length", (int64_t)len);
	hmsg_put_end(&out);
	buf_add(&out, body, len);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

/* True if the follower has its answer. */
static bool try_follower(struct edge *en, struct edge_follower *f, int64_t now)
{
	const struct feed_part *part;
	char nothing[64];

	if (en->stopping || !en->mirror.whole ||
	    now - sto_direct_good_ms(en->store) > FEED_TRUST_MS) {
		answer_follower(f, 503, "", 0);
		return true;
	}
	switch (feed_after(&en->feed, f->after, &part)) {
	case FEED_GAP:
		answer_follower(f, 503, "", 0);
		return true;
	case FEED_PART:
		answer_follower(f, 200, part->body.data, part->body.len);
		return true;
	case FEED_WAIT:
		break;
	}
	if (now < f->until_ms)
		return false;
	snprintf(nothing, sizeof(nothing), NOTHING_NEW, (long long)f->after);
	answer_follower(f, 200, nothing, strlen(nothing));
	return true;
}

void edge_peer_feed(struct edge *en, int64_t now)
{
	struct edge_follower *f, *next;

	cds_list_for_each_entry_safe(f, next, &en->followers, node) {
		try_follower(en, f, now);
	}
}

static void add_follower(struct edge *en, struct hsc *c, int64_t after,
			 int wait_ms)
{
	struct edge_follower *f = calloc(1, sizeof(*f));
	const int64_t now = edge_now(en);

	assert(f);
	f->conn = c;
	f->after = after;
	f->until_ms = now + wait_ms;
	c->request = f;
	cds_list_add_tail(&f->node, &en->followers);
	try_follower(en, f, now);
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

static void serve_metrics(struct edge *en, struct hsc *c)
{
	BUF_AUTO text = BUF_INIT;
	BUF_AUTO out = BUF_INIT;

	met_set(en->m.lines_dropped, (long long)jlog_dropped(en->log));
	met_set(en->m.endpoints, (long long)en->fleet.count);
	met_set(en->m.entries, prs_sharing(&en->prs, edge_now(en)));
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
	int64_t after;
	int wait_ms;

	if (!strcmp(url, "/metrics"))
		serve_metrics(en, c);
	else if (sto_is_follow(url, &after, &wait_ms))
		add_follower(en, c, after, wait_ms);
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

static const struct hsc_vtable peer_vtable = {
	.request = on_request,
	.gone = on_gone,
	.fault = on_fault,
	.limits = limits,
};

int edge_peer_open(struct edge *en, struct err *e)
{
	struct sockaddr_in addr;

	snprintf(en->self_peers, sizeof(en->self_peers), "%s:%d", en->conf->ip,
		 (int)en->conf->first_port);
	if (ioc_address(en->self_peers, &addr, e) ||
	    hsc_server_open(&en->peers, en->loop, &addr, &peer_vtable, en, e))
		return -1;
	/* Datagrams on the same port, also if any free one was asked for. */
	hsc_server_address(&en->peers, en->self_peers, sizeof(en->self_peers));
	if (ioc_address(en->self_peers, &addr, e))
		return -1;
	en->datagrams =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (en->datagrams < 0 ||
	    bind(en->datagrams, (const struct sockaddr *)&addr, sizeof(addr)))
		return err_set(e, ERR_IO, "datagrams on %s: %s", en->self_peers,
			       strerror(errno));
	ev_io_init(&en->datagram_reader, on_datagrams, en->datagrams, EV_READ);
	en->datagram_reader.data = en;
	ev_io_start(en->loop, &en->datagram_reader);
	return 0;
}
