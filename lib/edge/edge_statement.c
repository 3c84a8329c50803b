/*
 * What endpoints state of themselves in their answers (gate.h). Entries pass it
 * on by gossip, and find out which of them share each limit.
 */
#include <string.h>

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

/* This entry's place among those that share an endpoint. */
struct place {
	unsigned rank, senders;
};

static struct place place_of(const struct edge *en,
			     const struct flt_endpoint *e, bool any_sends,
			     int64_t now)
{
	const uint64_t own =
		hsh_rendezvous(e->hash, hsh_str(en->conf->name, 0));
	struct place at = { 0, 1 };
	const struct prs_peer *p;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!is_sharing(p, any_sends, now))
			continue;
		at.senders++;
		at.rank += hsh_rendezvous(e->hash, p->id) > own;
	}
	return at;
}

static double share_of(const struct edge *en, const struct flt_endpoint *e,
		       int64_t now)
{
	const bool self = sends_itself(en, now);
	const bool any_sends = self || en->sending_peers;
	struct place at;

	/* Cut off from the others, which may go on sending. */
	if (!en->accounts.current)
		return e->gate.limit_per_s / en->accounts.entries;
	/* A leaf does not know what others send, nor they of its requests. */
	if (!en->ovl.core || (any_sends && !self))
		return 0;
	at = place_of(en, e, any_sends, now);
	return gate_share(e->gate.limit_per_s, at.rank, at.senders);
}

static void update_share(const struct edge *en, struct flt_endpoint *e,
			 int64_t now)
{
	if (e->gate.limit_per_s > 0)
		gate_set_share(&e->gate, share_of(en, e, now), now);
}

/* ---- Brittle endpoints ---- */

static void update_rank(const struct edge *en, struct flt_endpoint *e,
			int64_t now)
{
	struct place at;

	if (!e->gate.brittle.stated)
		return;
	at = place_of(en, e, true, now);
	brittle_set_rank(&e->gate.brittle, (int)at.rank, (int)at.senders);
}

/* `id`, `from`: as for limit_changed(). */
static void log_brittle(struct edge *en, const struct flt_endpoint *e,
			const char *change, const char *id, const char *from)
{
	const struct brittle *b = &e->gate.brittle;
	const int64_t now = edge_now(en);

	jlog_begin(en->log, JLOG_INFO, "endpoint_brittle");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_str(en->log, "change", change);
	jlog_int(en->log, "max_refusals", b->max_refusals);
	jlog_num(en->log, "factor", brittle_factor(b, now));
	jlog_int(en->log, "share", brittle_share(b, e->info.slots, now));
	jlog_int(en->log, "running", e->running);
	jlog_num(en->log, "peer_running", e->peer_running);
	jlog_str(en->log, "id", id);
	jlog_str(en->log, "from", from);
	jlog_end(en->log);
}

/* The endpoint of this service that uses the least part of its slots. */
static const struct flt_endpoint *find_brittle(const struct edge *en,
					       const char *service, int64_t now)
{
	const struct flt_endpoint *e, *found = NULL;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!e->gate.brittle.stated ||
		    strcmp(e->info.service, service) ||
		    (found &&
		     brittle_factor(&e->gate.brittle, now) >=
			     brittle_factor(&found->gate.brittle, now)))
			continue;
		found = e;
	}
	return found;
}

/* Endpoints that have not answered yet are like the others of their service. */
static void inherit_brittle(struct edge *en, struct flt_endpoint *e,
			    int64_t now)
{
	const struct flt_endpoint *other;

	if (e->gate.brittle.stated || e->gate.brittle.stated_ms)
		return;
	other = find_brittle(en, e->info.service, now);
	if (!other ||
	    !brittle_inherit(&e->gate.brittle, &other->gate.brittle, now))
		return;
	update_rank(en, e, now);
	log_brittle(en, e, "inherited", "", "");
}

void edge_statement_tick(struct edge *en, int64_t now)
{
	const bool any_brittle = edge_statement_count_brittle(en);
	struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		update_share(en, e, now);
		if (brittle_expire(&e->gate.brittle, now))
			log_brittle(en, e, "expired", "", "");
		if (any_brittle)
			inherit_brittle(en, e, now);
		update_rank(en, e, now);
	}
}

unsigned edge_statement_count_brittle(const struct edge *en)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += e->gate.brittle.stated;
	return n;
}

/* Up to this bound a refusal counts for all endpoints of the service. */
#define VERY_BRITTLE 1

static void brittle_refusal(struct edge_req *r, struct flt_endpoint *e)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);
	struct flt_endpoint *o;

	met_inc(en->m.brittle_refusals);
	brittle_refused(&e->gate.brittle, now);
	log_brittle(en, e, "refused", r->attempt.id, "");
	if (e->gate.brittle.max_refusals <= VERY_BRITTLE) {
		cds_list_for_each_entry(o, &en->fleet.endpoints, node) {
			if (o != e && o->gate.brittle.stated &&
			    !strcmp(o->info.service, e->info.service))
				brittle_refused(&o->gate.brittle, now);
		}
	}
	/* The others must not send there now. */
	edge_gossip_broadcast(en, now);
}

static void brittle_answered_by(struct edge_req *r, struct flt_endpoint *e)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);

	if (brittle_answered(&e->gate.brittle, r->reply.brittle, r->sent_ms,
			     now)) {
		update_rank(en, e, now);
		log_brittle(en, e, e->gate.brittle.stated ? "began" : "ended",
			    r->attempt.id, "");
	}
	if (e->gate.brittle.stated && r->reply.not_run &&
	    r->reply.status == 503)
		brittle_refusal(r, e);
}

bool edge_statement_is_brittle(const struct edge *en, const char *service)
{
	return find_brittle(en, service, edge_now(en)) != NULL;
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
	brittle_answered_by(r, e);
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

static bool reports_brittle(const struct brittle *b, int64_t now)
{
	return b->stated ||
	       (b->stated_ms && now - b->stated_ms < REPORT_LIFTED_MS);
}

/* If there are too many, those that refused a request go first. */
static void fill_brittle(const struct edge *en, struct gsp_record *r,
			 int64_t now)
{
	const struct flt_endpoint *e;
	const struct brittle *b;
	int round;

	for (round = 0; round < 2; round++) {
		cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
			b = &e->gate.brittle;
			if (!reports_brittle(b, now) ||
			    (b->refused_ms > 0) == round ||
			    r->nr_brittle == GSP_MAX_BRITTLE)
				continue;
			r->brittle[r->nr_brittle++] = (struct gsp_brittle){
				.endpoint = e->hash,
				.max_refusals = b->stated ? b->max_refusals
							  : -1,
				.age_ms = (uint32_t)(now - b->stated_ms),
				.percent = (uint32_t)(100 *
						      brittle_factor(b, now)),
				.refused = b->refused_ms > 0,
				.refused_ms = (uint32_t)(now - b->refused_ms),
			};
		}
	}
}

static void apply_brittle(struct edge *en, const struct gsp_record *r,
			  int64_t sent_ms, int64_t now)
{
	struct flt_endpoint *e;
	unsigned i;

	for (i = 0; i < r->nr_brittle; i++) {
		const struct gsp_brittle *t = &r->brittle[i];
		const struct brittle_report report = {
			.max_refusals = t->max_refusals,
			.stated_ms = sent_ms - t->age_ms,
			.factor = (double)t->percent / 100,
			.refused_ms = t->refused ? sent_ms - t->refused_ms : 0,
		};

		e = flt_find_by_hash(&en->fleet, t->endpoint);
		if (!e || !brittle_reported(&e->gate.brittle, &report, now))
			continue;
		update_rank(en, e, now);
		log_brittle(en, e, e->gate.brittle.stated ? "began" : "ended",
			    "", r->name);
	}
}

/* If there are too many, the next datagram begins where this one ends. */
void edge_statement_fill_gossip(struct edge *en, struct gsp_record *r,
				int64_t now)
{
	const struct flt_endpoint *e;
	unsigned i = 0;

	fill_brittle(en, r, now);
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

	apply_brittle(en, r, sent_ms, now);
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
