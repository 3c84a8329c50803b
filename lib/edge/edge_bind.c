/*
 * Bindings of streams to the versions that began them (bnd.h): reports them to
 * the other entries, and finds those of streams that callers continue here, by
 * asking their homes and reading the store (edge_recall.c) at the same time.
 */
#include <assert.h>
#include <string.h>
#include <sys/socket.h>

#include "edge/edge_internal.h"
#include "edge/explain.h"
#include "stream/bnd_msg.h"

/*
 * Time for the homes' answers. A round trip takes a few milliseconds; the query
 * is repeated once, since it or the answer may be lost.
 */
#define QUERY_REPEAT_MS 40
#define QUERY_TIMEOUT_MS 100

/* Time for the store's answers; the store may be slow. */
#define RECALL_TIMEOUT_MS 1000

/* Retry-After if homes or store did not answer, or did not know the stream. */
#define UNANSWERED_RETRY_MS 300
#define UNKNOWN_RETRY_MS 1000

static uint64_t service_of(const struct edge_req *r)
{
	return hsh_str(r->service->name, 0);
}

/* True if the service has several versions. */
static bool is_mixed(const struct edge *en, uint64_t service, int64_t now)
{
	uint64_t version;

	return bnd_count_versions(&en->bindings, service, now, &version) > 1;
}

bool edge_bind_is_mixed(const struct edge_req *r)
{
	return r->query.mixed ||
	       is_mixed(r->en, service_of(r), edge_now(r->en));
}

bool edge_bind_comes_first(const struct edge_req *r)
{
	return r->bound && is_mixed(r->en, service_of(r), edge_now(r->en));
}

/* ---- Homes ---- */

struct home {
	struct prs_peer *peer; /* NULL: this entry */
	const char *zone;
	uint64_t weight;
};

/* Better: in a zone that has none of the `n` homes yet, then by weight. */
static bool is_better(const struct home *h, const struct home *best,
		      const struct home *homes, unsigned n)
{
	bool zone_taken = false, best_zone_taken = false;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (h->peer == homes[i].peer)
			return false;
		zone_taken |= !strcmp(h->zone, homes[i].zone);
		best_zone_taken |= best->zone &&
				   !strcmp(best->zone, homes[i].zone);
	}
	if (!best->zone || zone_taken != best_zone_taken)
		return !best->zone || !zone_taken;
	return h->weight > best->weight;
}

/*
 * Selects the first homes of a stream among the live entries of the core. An
 * entry that selects them elsewhere at the same time selects the same ones, but
 * for entries that it takes for dead.
 */
static unsigned select_homes(const struct edge *en, struct hsh128 stream,
			     struct home homes[BND_MAX_ASKED], int64_t now)
{
	const struct home self = {
		.zone = en->conf->zone,
		.weight = hsh_rendezvous(stream.lo, hsh_str(en->conf->name, 0)),
	};
	struct prs_peer *p;
	unsigned n;

	for (n = 0; n < BND_MAX_ASKED; n++) {
		struct home best = { .zone = NULL };

		if (en->ovl.core && is_better(&self, &best, homes, n))
			best = self;
		cds_list_for_each_entry(p, &en->prs.core, role_node) {
			const struct home h = {
				p,
				p->info.zone,
				hsh_rendezvous(stream.lo, p->id),
			};

			if (prs_alive(p, now) && is_better(&h, &best, homes, n))
				best = h;
		}
		if (!best.zone)
			break;
		homes[n] = best;
	}
	return n;
}

/* One process of an entry: after a restart it has lost its bindings. */
static uint64_t process_of(const struct prs_peer *p)
{
	return p->id ^ p->boot;
}

/* Differs after an entry came, restarted or was lost. */
static uint64_t hash_of_members(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;
	uint64_t sum = en->ovl.core;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (prs_alive(p, now))
			sum += hsh_rendezvous(p->id, p->boot);
	}
	return sum;
}

/* ---- Datagrams ---- */

static void send_msg(struct edge *en, const struct sockaddr_in *to,
		     const struct bnd_msg *m)
{
	char bytes[BND_MSG_MAX_BYTES];
	const size_t n = bnd_msg_encode(m, bytes);

	met_inc(en->m.binding_datagrams);
	met_add(en->m.gossip_bytes_sent, (long long)n);
	sendto(en->gossip_fd, bytes, n, MSG_DONTWAIT | MSG_NOSIGNAL,
	       (const struct sockaddr *)to, sizeof(*to));
}

/* ---- Reports ---- */

/* Reports that are sent together, one datagram for each home. */
#define MAX_BATCHES 16

struct batches {
	unsigned n;
	struct {
		struct prs_peer *to;
		struct bnd_msg msg;
	} all[MAX_BATCHES];
};

static void flush(struct edge *en, struct batches *b)
{
	unsigned i;

	for (i = 0; i < b->n; i++)
		send_msg(en, &b->all[i].to->addr, &b->all[i].msg);
	b->n = 0;
}

static void add_report(struct edge *en, struct batches *b, struct prs_peer *to,
		       const struct bnd_row *row)
{
	struct bnd_msg *m;
	unsigned i;

	for (i = 0; i < b->n; i++) {
		if (b->all[i].to == to &&
		    b->all[i].msg.nr_rows < BND_MSG_MAX_ROWS)
			break;
	}
	if (i == MAX_BATCHES) {
		flush(en, b);
		i = 0;
	}
	m = &b->all[i].msg;
	if (i == b->n) {
		b->n++;
		b->all[i].to = to;
		m->kind = BND_REPORT;
		m->nr_rows = 0;
	}
	m->rows[m->nr_rows++] =
		(struct bnd_msg_row){ row->stream, row->origin, true, false };
}

static bool has_row(const struct bnd_row *row, uint64_t process)
{
	unsigned i;

	for (i = 0; i < BND_HOMES; i++) {
		if (row->homes[i] == process)
			return true;
	}
	return false;
}

/* Reports the binding to the homes that lack it, or to `all` of them. */
static void report(struct edge *en, struct batches *b, struct bnd_row *row,
		   bool all, int64_t now)
{
	struct home homes[BND_MAX_ASKED];
	const unsigned n = select_homes(en, row->stream, homes, now);
	uint64_t processes[BND_HOMES] = { 0 };
	unsigned i, k = 0;

	for (i = 0; i < n && k < BND_HOMES; i++) {
		if (!homes[i].peer)
			continue;
		processes[k] = process_of(homes[i].peer);
		if (all || !has_row(row, processes[k]))
			add_report(en, b, homes[i].peer, row);
		k++;
	}
	memcpy(row->homes, processes, sizeof(row->homes));
	row->reported_ms = now;
}

/* Homes would drop the binding of a stream that runs for long. */
static bool is_due_again(const struct bnd_row *row, int64_t now)
{
	return now - row->reported_ms > BND_KEEP_MS / 2 &&
	       now - row->used_ms < BND_KEEP_MS / 4;
}

static void report_due(struct edge *en, bool members_changed, int64_t now)
{
	struct batches b;
	struct bnd_row *row, *next;
	bool all;

	b.n = 0;
	HASH_ITER(hh, en->bindings.rows, row, next)
	{
		if (!row->own || !is_mixed(en, row->origin.service, now))
			continue;
		edge_bind_log_add(en, row, now);
		all = row->repeat || !row->reported_ms ||
		      is_due_again(row, now);
		if (!all && !members_changed)
			continue;
		row->repeat = !row->reported_ms || members_changed;
		report(en, &b, row, all, now);
	}
	flush(en, &b);
}

/* ---- Streams that begin ---- */

static void bind_request(struct edge_req *r, uint64_t version, const char *name)
{
	r->bound = true;
	r->version = version;
	str_copy(r->began_version, name, sizeof(r->began_version));
}

void edge_bind_started(struct edge_req *r)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);
	const struct bnd_origin origin = vrs_origin_of(r->endpoint);
	struct batches b;
	struct bnd_row *row;

	b.n = 0;
	bind_request(r, origin.version, r->endpoint->info.version);
	if (r->route->kind != CFG_STREAM)
		return;
	row = bnd_put(&en->bindings, r->stream, origin, true, now);
	if (row->reported_ms || !is_mixed(en, origin.service, now))
		return;
	edge_bind_log_add(en, row, now);
	/* At once: the caller may be back before the next round of gossip. */
	report(en, &b, row, true, now);
	row->repeat = true;
	flush(en, &b);
}

/* ---- Streams that callers continue ---- */

static const char *version_name(const struct edge *en, uint64_t version)
{
	const struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (e->version == version)
			return e->info.version;
	}
	return "";
}

static unsigned count_answers(const struct edge_req *r)
{
	unsigned i, n = 0;

	for (i = 0; i < r->query.nr_asked; i++)
		n += r->query.answered[i];
	return n;
}

static void log_continued(const struct edge_req *r, const char *source,
			  int64_t age_ms)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);
	uint64_t version;

	jlog_begin(en->log, JLOG_INFO, "continued");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "resumes", r->attempt.resumes);
	jlog_int(en->log, "resume_after", r->attempt.resume_after);
	jlog_str(en->log, "service", r->service->name);
	jlog_str(en->log, "began_version", r->began_version);
	jlog_str(en->log, "source", source);
	jlog_int(en->log, "binding_age_ms", age_ms);
	jlog_int(en->log, "asked", r->query.nr_asked);
	jlog_int(en->log, "answered", count_answers(r));
	/* What the decision rests on: how much this entry can know. */
	jlog_int(en->log, "versions",
		 bnd_count_versions(&en->bindings, service_of(r), now,
				    &version));
	jlog_int(en->log, "list_age_ms", edge_list_age(en, now));
	jlog_int(en->log, "since_start_ms", now - en->start_ms);
	jlog_int(en->log, "since_stall_ms",
		 en->stalled_ms ? now - en->stalled_ms : -1);
	jlog_int(en->log, "took_ms", now - r->arrived_ms);
	jlog_end(en->log);
}

static void refuse_unknown(struct edge_req *r)
{
	/* What was read from the store was complete; asking again is no use. */
	const bool all_read = r->query.store_over && r->query.mixed &&
			      count_answers(r) == r->query.nr_asked;

	met_inc(r->en->m.bindings_unknown);
	log_continued(r, "none", -1);
	edge_req_answer(r, 503, EDGE_WHY_UNBOUND,
			all_read ? UNKNOWN_RETRY_MS : UNANSWERED_RETRY_MS);
}

/* The service that began the stream, if the route still leads there. */
static const struct cfg_service *find_service(const struct edge_req *r,
					      uint64_t service)
{
	size_t i;

	for (i = 0; i < r->route->nr_shares; i++) {
		if (hsh_str(r->route->shares[i].service, 0) == service)
			return cfg_service(r->cfg, r->route->shares[i].service);
	}
	return NULL;
}

/* False: the request was refused and freed. */
static bool bind_to(struct edge_req *r, const struct bnd_row *row)
{
	const struct cfg_service *s = find_service(r, row->origin.service);

	if (!s) {
		edge_req_answer(r, 503, EDGE_WHY_OTHER_SERVICE,
				UNKNOWN_RETRY_MS);
		return false;
	}
	r->service = s;
	bind_request(r, row->origin.version,
		     version_name(r->en, row->origin.version));
	log_continued(r,
		      row->own		  ? "own"
		      : row->recalled	  ? "store"
		      : r->query.nr_asked ? "asked"
					  : "home",
		      edge_now(r->en) - row->bound_ms);
	return true;
}

static void bind_to_only_version(struct edge_req *r)
{
	bind_request(r, r->query.only_version,
		     version_name(r->en, r->query.only_version));
	log_continued(r, "only version", -1);
}

static void send_query(const struct edge_req *r)
{
	struct bnd_msg m = { .kind = BND_QUERY, .nr_rows = 1 };
	unsigned i;

	m.rows[0].stream = r->stream;
	m.rows[0].origin.service = service_of(r);
	for (i = 0; i < r->query.nr_asked; i++) {
		if (!r->query.answered[i])
			send_msg(r->en, &r->query.asked[i], &m);
	}
}

static void arm(struct edge_req *r, int ms)
{
	ev_timer_stop(r->en->loop, &r->query.timer);
	ev_timer_set(&r->query.timer, (double)ms / 1000, 0);
	ev_timer_start(r->en->loop, &r->query.timer);
}

static void end_query(struct edge_req *r)
{
	ev_timer_stop(r->en->loop, &r->query.timer);
	r->query.active = false;
	r->query.over = true;
	if (edge_bind_ready(r))
		edge_send(r);
}

/* True if more answers would not change the decision. */
static bool is_decided(const struct edge_req *r)
{
	return (r->query.homes_over && r->query.store_over) ||
	       (r->query.proved && !edge_bind_is_mixed(r)) ||
	       bnd_find(&r->en->bindings, r->stream, edge_now(r->en));
}

static void on_query_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)revents;
	if (inp_defers(loop, t))
		return;
	if (edge_now(r->en) - r->query.began_ms >= RECALL_TIMEOUT_MS) {
		end_query(r);
		return;
	}
	if (!r->query.homes_over && !r->query.repeated) {
		r->query.repeated = true;
		send_query(r);
		arm(r, QUERY_TIMEOUT_MS - QUERY_REPEAT_MS);
		return;
	}
	r->query.homes_over = true;
	if (is_decided(r))
		end_query(r);
	else
		arm(r, RECALL_TIMEOUT_MS);
}

static void select_asked(struct edge_req *r)
{
	struct home homes[BND_MAX_ASKED];
	const unsigned n =
		select_homes(r->en, r->stream, homes, edge_now(r->en));
	unsigned i;

	for (i = 0; i < n; i++) {
		if (homes[i].peer)
			r->query.asked[r->query.nr_asked++] =
				homes[i].peer->addr;
	}
}

static void begin_query(struct edge_req *r)
{
	met_inc(r->en->m.bindings_asked);
	r->query.active = true;
	r->query.began_ms = edge_now(r->en);
	ev_timer_init(&r->query.timer, on_query_timer, 0, 0);
	r->query.timer.data = r;
	/* Without the first attempt's id there is no binding to ask for. */
	if (*r->attempt.resumes)
		select_asked(r);
	r->query.homes_over = !r->query.nr_asked;
	if (!r->query.homes_over)
		send_query(r);
	arm(r, QUERY_REPEAT_MS);
	edge_recall_request(r);
}

void edge_bind_recalled(struct edge_req *r)
{
	if (is_decided(r))
		end_query(r);
}

bool edge_bind_ready(struct edge_req *r)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);
	const struct bnd_row *row;
	struct bnd_state s = { .asked = r->query.over,
			       .proved = r->query.proved };

	if (r->route->kind != CFG_STREAM)
		return true;
	r->stream = bnd_stream(r->account ? r->account->name : "",
			       *r->attempt.resumes ? r->attempt.resumes
						   : r->attempt.id);
	s.continues = *r->attempt.resumes || r->attempt.resume_after >= 0;
	if (!s.continues)
		return true;
	row = bnd_find(&en->bindings, r->stream, now);
	s.known = row != NULL;
	s.mixed = edge_bind_is_mixed(r);
	switch (bnd_next(&s)) {
	case BND_BOUND:
		assert(row);
		return bind_to(r, row);
	case BND_ASK:
		begin_query(r);
		return false;
	case BND_REFUSE:
		refuse_unknown(r);
		return false;
	case BND_ONLY:
		bind_to_only_version(r);
		return true;
	case BND_ANY:
		break;
	}
	return true;
}

void edge_bind_cancel(struct edge_req *r)
{
	if (r->query.active)
		ev_timer_stop(r->en->loop, &r->query.timer);
	r->query.active = false;
}

/* ---- Datagrams of other entries ---- */

static void on_report(struct edge *en, const struct bnd_msg *m, int64_t now)
{
	unsigned i;

	for (i = 0; i < m->nr_rows; i++)
		bnd_put(&en->bindings, m->rows[i].stream, m->rows[i].origin,
			false, now);
}

static void on_query(struct edge *en, const struct bnd_msg *m,
		     const struct sockaddr_in *from, int64_t now)
{
	struct bnd_msg answer = { .kind = BND_ANSWER, .nr_rows = m->nr_rows };
	const struct bnd_row *row;
	unsigned i;

	for (i = 0; i < m->nr_rows; i++) {
		row = bnd_find(&en->bindings, m->rows[i].stream, now);
		answer.rows[i] = (struct bnd_msg_row){
			.stream = m->rows[i].stream,
			.origin = row ? row->origin : m->rows[i].origin,
			.known = row != NULL,
			.mixed = is_mixed(en, m->rows[i].origin.service, now),
		};
	}
	send_msg(en, from, &answer);
}

/* A request on which nothing more is to be awaited. */
static struct edge_req *find_decided(struct edge *en)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->query.active && is_decided(r))
			return r;
	}
	return NULL;
}

/* Notes for the request that this home does not know its stream. */
static void note_answered(struct edge_req *r, const struct bnd_msg_row *row,
			  const struct sockaddr_in *from)
{
	unsigned i;

	r->query.mixed |= row->mixed;
	for (i = 0; i < r->query.nr_asked; i++) {
		if (r->query.asked[i].sin_addr.s_addr ==
			    from->sin_addr.s_addr &&
		    r->query.asked[i].sin_port == from->sin_port)
			r->query.answered[i] = true;
	}
	r->query.homes_over |= count_answers(r) == r->query.nr_asked;
}

static void note_unknown(struct edge *en, const struct bnd_msg_row *row,
			 const struct sockaddr_in *from)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->query.active && hsh128_equal(r->stream, row->stream))
			note_answered(r, row, from);
	}
}

static void on_answer(struct edge *en, const struct bnd_msg_row *row,
		      const struct sockaddr_in *from, int64_t now)
{
	struct edge_req *r;

	if (row->known)
		bnd_put(&en->bindings, row->stream, row->origin, false, now);
	else
		note_unknown(en, row, from);
	/* What ends one request may end others too. */
	while ((r = find_decided(en)))
		end_query(r);
}

bool edge_bind_datagram(struct edge *en, const char *bytes, size_t n,
			const struct sockaddr_in *from)
{
	const int64_t now = edge_now(en);
	struct bnd_msg m;
	unsigned i;

	if (!bnd_msg_decode(&m, bytes, n))
		return false;
	switch (m.kind) {
	case BND_REPORT:
		on_report(en, &m, now);
		break;
	case BND_QUERY:
		on_query(en, &m, from, now);
		break;
	case BND_ANSWER:
		for (i = 0; i < m.nr_rows; i++)
			on_answer(en, &m.rows[i], from, now);
		break;
	}
	return true;
}

/* ---- Periodic work ---- */

void edge_bind_tick(struct edge *en, int64_t now)
{
	const uint64_t members = hash_of_members(en, now);
	const struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->rq.started)
			bnd_find(&en->bindings, r->stream, now);
	}
	bnd_expire(&en->bindings, now);
	report_due(en, members != en->binding_members, now);
	en->binding_members = members;
}
