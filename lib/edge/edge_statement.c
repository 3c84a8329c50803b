/*
 * What endpoints state of themselves in their answers (gate.h). Entries pass it
 * on by gossip, and find out which of them share each limit.
 */
#include "base/hsh.h"
#include "edge/edge_internal.h"

/* The end of a limit is reported to other entries for this long. */
#define REPORT_LIFTED_MS 5000

/*
 * Waits are extended by up to this fraction of them, at random: an endpoint that
 * refused many entries at once would get requests of all of them at once again.
 */
#define WAIT_SPREAD 0.1

/* ---- Shares ---- */

/*
 * True if limits are shared with this entry: it sends requests to endpoints or,
 * if no entry does, it is alive.
 */
static bool is_sharing(const struct prs_peer *p, bool any_sends, int64_t now)
{
	return any_sends ? edge_peer_is_sending(p, now) : prs_alive(p, now);
}

static bool sends_itself(const struct edge *en, int64_t now)
{
	return decay_sum_at(&en->arrivals, EDGE_ARRIVAL_RATE_MS, now) >
	       EDGE_SENDING_PER_S;
}

static double share_of(const struct edge *en, const struct flt_endpoint *e,
		       int64_t now)
{
	const uint64_t own =
		hsh_rendezvous(e->hash, hsh_str(en->conf->name, 0));
	const bool self = sends_itself(en, now);
	const bool any_sends = self || en->sending_peers;
	unsigned rank = 0, senders = 1;
	const struct prs_peer *p;

	/* Cut off from the others, which may go on sending. */
	if (!en->accounts.current)
		return e->gate.limit_per_s / en->accounts.entries;
	/* A leaf does not know what others send, nor they of its requests. */
	if (!en->ovl.core || (any_sends && !self))
		return 0;
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!is_sharing(p, any_sends, now))
			continue;
		senders++;
		rank += hsh_rendezvous(e->hash, p->id) > own;
	}
	return gate_share(e->gate.limit_per_s, rank, senders);
}

static void update_share(const struct edge *en, struct flt_endpoint *e,
			 int64_t now)
{
	if (e->gate.limit_per_s > 0)
		gate_set_share(&e->gate, share_of(en, e, now), now);
}

void edge_statement_tick(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		update_share(en, e, now);
}

unsigned edge_statement_count_limited(const struct edge *en)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += e->gate.limit_per_s > 0;
	return n;
}

/* ---- Statements ---- */

/* `id`: the attempt whose answer stated it; `from`: the entry that reported. */
static void limit_changed(struct edge *en, struct flt_endpoint *e,
			  double former_per_s, const char *id, const char *from)
{
	update_share(en, e, edge_now(en));
	jlog_begin(en->log, JLOG_INFO, "endpoint_limit");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_num(en->log, "per_s", e->gate.limit_per_s);
	jlog_num(en->log, "former_per_s", former_per_s);
	jlog_num(en->log, "share_per_s", e->gate.share_per_s);
	jlog_int(en->log, "age_ms", edge_now(en) - e->gate.stated_ms);
	jlog_str(en->log, "id", id);
	jlog_str(en->log, "from", from);
	jlog_end(en->log);
}

static void log_malformed(const struct edge_req *r)
{
	struct edge *en = r->en;

	met_inc(en->m.statements_malformed);
	jlog_begin(en->log, JLOG_WARN, "statement_malformed");
	jlog_str(en->log, "endpoint", r->endpoint->info.id);
	jlog_str(en->log, "statement", r->reply.malformed);
	jlog_str(en->log, "id", r->attempt.id);
	jlog_end(en->log);
}

static void limit_answered(struct edge_req *r, struct flt_endpoint *e)
{
	const double former = e->gate.limit_per_s;

	if (r->reply.limit_per_s > 0)
		met_inc(r->en->m.limits_stated);
	if (gate_limit_answered(&e->gate, r->reply.limit_per_s, r->sent_ms,
				edge_now(r->en)) != GATE_UNCHANGED)
		limit_changed(r->en, e, former, r->attempt.id, "");
}

/* `id`, `from`: as for limit_changed(). */
static void mark_leaving(struct edge *en, struct flt_endpoint *e,
			 const char *id, const char *from)
{
	if (!flt_mark_leaving(e, edge_now(en)))
		return;
	jlog_begin(en->log, JLOG_INFO, "endpoint_leaving");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_int(en->log, "running", e->running);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_str(en->log, "id", id);
	jlog_str(en->log, "from", from);
	jlog_end(en->log);
}

static void wait_answered(struct edge_req *r, struct flt_endpoint *e)
{
	const int64_t wait = r->reply.wait_ms;
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	met_inc(en->m.waits_stated);
	jlog_begin(en->log, JLOG_INFO, "endpoint_wait");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_int(en->log, "wait_ms", wait);
	jlog_int(en->log, "left_ms",
		 gate_waits(&e->gate, now) ? e->gate.wait_until_ms - now : 0);
	jlog_str(en->log, "id", r->attempt.id);
	jlog_end(en->log);
	gate_wait(&e->gate,
		  now + wait +
			  rnd_below(&en->rnd,
				    (uint32_t)(wait * WAIT_SPREAD) + 1));
}

void edge_statement_answered(struct edge_req *r)
{
	struct flt_endpoint *e = flt_current(&r->en->fleet, r->endpoint);

	if (r->reply.misdirected)
		return; /* another endpoint answered */
	if (r->reply.malformed[0])
		log_malformed(r);
	if (r->reply.limit_per_s >= 0)
		limit_answered(r, e);
	if (r->reply.leaving) {
		met_inc(r->en->m.leaving_stated);
		mark_leaving(r->en, e, r->attempt.id, "");
	}
	if (r->reply.wait_ms > 0)
		wait_answered(r, e);
	if (e->removed)
		flt_keep_statements(&r->en->fleet, e, edge_now(r->en));
}

void edge_statement_count_send(struct edge *en, const struct flt_endpoint *e)
{
	if (e->gate.limit_per_s > 0)
		met_inc(en->m.sends_to_limited);
	if (e->gate.leaving)
		met_inc(en->m.sends_to_leaving);
	if (gate_waits(&e->gate, edge_now(en)))
		met_inc(en->m.sends_in_wait);
}

/* ---- Gossip ---- */

/* What the list of endpoints says as well is not reported. */
static bool is_reported(const struct flt_endpoint *e, int64_t now)
{
	const struct gate *g = &e->gate;

	return g->limit_per_s > 0 || (g->leaving && !e->info.draining) ||
	       (g->stated_ms && now - g->stated_ms < REPORT_LIFTED_MS);
}

static uint32_t age_of(const struct gate *g, int64_t now)
{
	const int64_t age = now - g->stated_ms;

	return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

/* If there are too many, the next datagram begins where this one ends. */
void edge_statement_fill_gossip(struct edge *en, struct gsp_record *r,
				int64_t now)
{
	const struct flt_endpoint *e;
	unsigned i = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!is_reported(e, now) || i++ < en->statements_from)
			continue;
		if (r->nr_statements == GSP_MAX_STATEMENTS) {
			met_inc(en->m.gossip_rows_cut);
			en->statements_from = i - 1;
			return;
		}
		r->statements[r->nr_statements++] = (struct gsp_statement){
			.endpoint = e->hash,
			.per_s = e->gate.limit_per_s,
			.age_ms = age_of(&e->gate, now),
			.leaving = e->gate.leaving,
		};
	}
	en->statements_from = 0;
}

void edge_statement_apply_gossip(struct edge *en, const struct gsp_record *r,
				 int64_t sent_ms, int64_t now)
{
	struct flt_endpoint *e;
	double former;
	unsigned i;

	for (i = 0; i < r->nr_statements; i++) {
		const struct gsp_statement *t = &r->statements[i];

		e = flt_find_by_hash(&en->fleet, t->endpoint);
		if (!e)
			continue;
		if (t->leaving)
			mark_leaving(en, e, "", r->name);
		former = e->gate.limit_per_s;
		if (gate_limit_reported(&e->gate, t->per_s, sent_ms - t->age_ms,
					now) != GATE_UNCHANGED)
			limit_changed(en, e, former, "", r->name);
	}
}
