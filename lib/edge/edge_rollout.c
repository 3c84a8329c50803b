/*
 * The part of roll-outs that runs in each entry: selects the version for each
 * request and counts the outcomes.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_rollout_internal.h"

/*
 * An answer is late if it takes longer than the expected time times this
 * factor plus a margin, at the target and at the baseline alike.
 */
#define LATE_FACTOR 3.0
#define LATE_MARGIN_MS 40.0

/*
 * An entry sends no trial requests if its mirror of the records was last up to
 * date longer ago than this: it may have missed a roll-back.
 */
#define MAX_RECORD_AGE_MS 4500

/* Minimum interval between immediate reports to the duty holder. */
#define MIN_NOTIFY_INTERVAL_MS 100

/* A roll-back is repeated in gossip for this long. */
#define REPEAT_ROLLED_BACK_MS 60000

/* Maximum number of the target's endpoints considered for a trial. */
#define MAX_TRIAL_CANDIDATES 1024

/* Interval at which the endpoints of a trial are selected anew. */
#define USE_UPDATE_INTERVAL_MS 500

static bool enabled(const struct edge *en)
{
	return en->conf->bounds.exposure_share > 0 &&
	       en->conf->cloud.address[0];
}

/* ---- Services ---- */

static struct edge_rollout *find(const struct edge *en, const char *service)
{
	struct edge_rollout *ro;

	cds_list_for_each_entry(ro, &en->rollouts, node) {
		if (!strcmp(ro->service, service))
			return ro;
	}
	return NULL;
}

struct edge_rollout *edge_rollout_of(struct edge *en, const char *service)
{
	struct edge_rollout *ro = find(en, service);

	if (ro)
		return ro;
	ro = calloc(1, sizeof(*ro));
	assert(ro);
	str_copy(ro->service, service, sizeof(ro->service));
	cds_list_add_tail(&ro->node, &en->rollouts);
	return ro;
}

static const struct rol_record *record_of(const struct edge_rollout *ro)
{
	return ro->recorded ? &ro->record : NULL;
}

const char *edge_rollout_serving(const struct edge_rollout *ro)
{
	if (!ro->recorded)
		return ro->established.version;
	return ro->record.stage == ROL_COMPLETED ? ro->record.target
						 : ro->record.from;
}

/* ---- Endpoints ---- */

static bool belongs_to(const struct edge_rollout *ro,
		       const struct flt_endpoint *e)
{
	return !strcmp(e->info.service, ro->service);
}

/*
 * The established version is that of the endpoint that started first. Until the
 * list is complete, an endpoint that started earlier may still be added.
 */
static void update_established(const struct edge *en, struct edge_rollout *ro,
			       const struct flt_endpoint *e)
{
	if (!e->info.version[0])
		return;
	if (ro->established.version[0] &&
	    (en->watches[EDGE_WATCH_ENDPOINTS].mirror.complete ||
	     e->info.started_ms >= ro->established.started_ms))
		return;
	str_copy(ro->established.version, e->info.version,
		 sizeof(ro->established.version));
	ro->established.started_ms = e->info.started_ms;
}

static struct rol_listed list_versions(const struct edge *en,
				       const struct edge_rollout *ro)
{
	const struct flt_endpoint *e;
	struct rol_listed l = { 0 };

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!belongs_to(ro, e) || e->draining_since_ms ||
		    e->missing_since_ms || e->exited || !e->info.version[0])
			continue;
		if (!strcmp(e->info.version, ro->established.version))
			l.any_established = true;
		else if (!l.first_other ||
			 e->info.started_ms < l.first_other->started_ms)
			l.first_other = &e->info;
	}
	return l;
}

/*
 * The duty holder may have started after the established version had left: it then
 * knows no other version than the one that this entry withholds, and writes no record.
 */
static void check_established(const struct edge *en, struct edge_rollout *ro,
			      int64_t now)
{
	struct rol_listed l;

	if (now - ro->established_checked_ms < USE_UPDATE_INTERVAL_MS)
		return;
	ro->established_checked_ms = now;
	if (ro->recorded || !en->watches[EDGE_WATCH_ENDPOINTS].mirror.complete)
		return;
	l = list_versions(en, ro);
	if (!rol_replace_established(&ro->established, &l, now))
		return;
	ro->uses_outdated = true;
	jlog_begin(en->log, JLOG_INFO, "version_established");
	jlog_str(en->log, "service", ro->service);
	jlog_str(en->log, "version", ro->established.version);
	jlog_end(en->log);
}

static int by_weight(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/*
 * Selects trial endpoints by rendezvous hash: the same in all entries.
 * Returns the minimum weight of a selected endpoint; 0: all are selected.
 */
static uint64_t min_trial_weight(const struct edge *en,
				 const struct edge_rollout *ro)
{
	uint64_t weights[MAX_TRIAL_CANDIDATES];
	const uint64_t order = rol_order_id(&ro->record);
	const struct flt_endpoint *e;
	unsigned n = 0, chosen;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (belongs_to(ro, e) && n < MAX_TRIAL_CANDIDATES &&
		    !e->draining_since_ms && !e->exited &&
		    !strcmp(e->info.version, ro->record.target))
			weights[n++] = hsh_rendezvous(order, e->hash);
	}
	chosen = rol_trial_endpoints(&ro->record, n);
	if (!chosen || chosen == n)
		return 0;
	qsort(weights, n, sizeof(weights[0]), by_weight);
	return weights[chosen - 1];
}

static void set_use(const struct edge_rollout *ro, struct flt_endpoint *e,
		    bool chosen)
{
	e->use = rol_use(record_of(ro), ro->established.version, &e->info,
			 chosen);
}

static void update_uses(struct edge *en, struct edge_rollout *ro)
{
	const bool trial = ro->recorded && rol_in_progress(&ro->record);
	const uint64_t order = trial ? rol_order_id(&ro->record) : 0;
	const uint64_t min_weight = trial ? min_trial_weight(en, ro) : 0;
	struct flt_endpoint *e;

	ro->uses_outdated = false;
	ro->uses_updated_ms = edge_now(en);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (belongs_to(ro, e))
			set_use(ro, e,
				trial && hsh_rendezvous(order, e->hash) >=
						 min_weight);
	}
}

void edge_rollout_endpoint_listed(struct edge *en, struct flt_endpoint *e)
{
	struct edge_rollout *ro;

	if (!enabled(en))
		return;
	ro = edge_rollout_of(en, e->info.service);
	update_established(en, ro, e);
	set_use(ro, e, e->use == FLT_ON_TRIAL);
	/* Deferred to the next tick to avoid quadratic time at startup. */
	ro->uses_outdated = true;
}

/* ---- The record ---- */

static void log_record(struct edge *en, const struct edge_rollout *ro)
{
	const struct rol_record *r = &ro->record;
	const struct tal_row target = tal_total(&ro->own, false);

	jlog_begin(en->log, JLOG_INFO, "rollout");
	jlog_str(en->log, "service", r->service);
	jlog_str(en->log, "target", r->target);
	jlog_str(en->log, "from", r->from);
	jlog_str(en->log, "stage", rol_stage_name(r->stage));
	jlog_num(en->log, "share", r->share);
	jlog_str(en->log, "why", r->why);
	jlog_int(en->log, "order", r->order);
	jlog_int(en->log, "own_sent", target.sent);
	jlog_int(en->log, "own_bad",
		 target.failed + target.late + target.broken);
	jlog_end(en->log);
}

static void clear_peer_tallies(struct edge_rollout *ro)
{
	struct edge_peer_tally *t, *next;

	HASH_ITER(hh, ro->peer_tallies, t, next)
	{
		HASH_DEL(ro->peer_tallies, t);
		free(t);
	}
}

void edge_rollout_apply(struct edge *en, struct edge_rollout *ro,
			const struct rol_record *next)
{
	const bool is_new = !ro->recorded || ro->record.order != next->order;

	ro->record = *next;
	ro->recorded = true;
	if (is_new)
		tal_begin(&ro->own, rol_order_id(next));
	if (is_new || !rol_in_progress(next))
		clear_peer_tallies(ro);
	log_record(en, ro);
	update_uses(en, ro);
}

/* True for an outdated record, which would revert a roll-back. */
static bool is_outdated(const struct edge_rollout *ro,
			const struct rol_record *r)
{
	return ro->recorded && ro->record.order == r->order &&
	       ro->record.stage == ROL_ROLLED_BACK &&
	       r->stage != ROL_ROLLED_BACK;
}

void edge_rollout_record_seen(struct edge *en, const char *key,
			      const char *value, size_t len, int64_t version)
{
	const char *service = key + strlen(EDGE_ROLLOUT_PREFIX);
	struct edge_rollout *ro;
	struct rol_record r;
	bool readable;

	if (strlen(service) >= FLT_NAME) {
		edge_log_unreadable(en, key, "not a service");
		return;
	}
	ro = edge_rollout_of(en, service);
	readable = rol_decode(value, len, &r) && !strcmp(r.service, service);
	if (!readable)
		edge_log_unreadable(en, key, "not a roll-out record");
	/* Ignores versions older than this entry's last write. */
	if (ro->recorded && version <= ro->record_version)
		return;
	ro->record_version = version;
	/* The duty holder writes the record that is in effect in its place. */
	if (!readable) {
		ro->unwritten = ro->recorded;
		return;
	}
	/* A roll-back received by gossip may be missing from the store. */
	ro->unwritten = is_outdated(ro, &r);
	if (!ro->unwritten)
		edge_rollout_apply(en, ro, &r);
}

void edge_rollout_record_deleted(struct edge *en, const char *key)
{
	struct edge_rollout *ro = find(en, key + strlen(EDGE_ROLLOUT_PREFIX));

	/* The record stays in effect; the duty holder writes it again. */
	if (ro)
		ro->record_version = 0;
}

/* ---- Requests ---- */

/* Equal for retries, and for requests with the same prompt prefix. */
static uint64_t affinity_key(const struct edge_req *r)
{
	return r->attempt.prefix_hash ? r->attempt.prefix_hash : r->content.lo;
}

/* True if the mirror of the records is recent enough for trial requests. */
static bool records_fresh(const struct edge *en)
{
	const int64_t at = en->watches[EDGE_WATCH_SYSTEM].complete_ms;

	return at && edge_now(en) - at <= MAX_RECORD_AGE_MS;
}

enum flt_use edge_rollout_use(const struct edge_req *r)
{
	const struct edge_rollout *ro;

	/* Retries go to the former version. */
	if (!enabled(r->en) || r->nr_tried || r->bound)
		return FLT_IN_USE;
	ro = find(r->en, r->service->name);
	if (!ro || !ro->recorded ||
	    !rol_selects_target(&ro->record, affinity_key(r)) ||
	    !records_fresh(r->en))
		return FLT_IN_USE;
	return FLT_ON_TRIAL;
}

/* True if all slots were taken before the request was assigned to it. */
static bool was_full(const struct flt_endpoint *e)
{
	return e->info.slots > 0 &&
	       e->running - 1 + e->peer_running >= e->info.slots;
}

void edge_rollout_sent(struct edge_req *r)
{
	struct edge_rollout *ro = find(r->en, r->service->name);

	r->tally.order = 0;
	r->tally.answered = false;
	if (!ro || !ro->recorded || !rol_in_progress(&ro->record))
		return;
	r->tally.order = ro->own.order;
	r->tally.route = (uint32_t)hsh_str(r->route->name, 0);
	r->tally.group = strcmp(r->endpoint->info.version, ro->record.target) ==
					 0
				 ? tal_group(r->endpoint->hash)
				 : TAL_BASELINE;
	if (r->tally.group == TAL_BASELINE && was_full(r->endpoint))
		r->tally.route = tal_full_route(r->tally.route);
	/* The exposure limit is a share of the requests, without repeats. */
	if (r->tally.group != TAL_BASELINE || !r->sends)
		tal_sent(&ro->own, r->tally.route, r->tally.group);
}

/* Reports bad answers at once, so that the duty holder can roll back. */
static void notify_holder(struct edge *en)
{
	const int64_t now = edge_now(en);
	struct prs_peer *p = prs_find(&en->prs, en->duty_holder);

	if (!p || now - en->rollout_reported_ms < MIN_NOTIFY_INTERVAL_MS)
		return;
	en->rollout_reported_ms = now;
	edge_gossip_send(en, p, now);
}

static void count_outcome(struct edge_req *r, enum tal_outcome o)
{
	struct edge_rollout *ro;

	if (!r->tally.order)
		return;
	ro = find(r->en, r->service->name);
	if (!ro || ro->own.order != r->tally.order)
		return;
	tal_answered(&ro->own, r->tally.route, r->tally.group, o);
	if (o != TAL_GOOD && r->tally.group != TAL_BASELINE)
		notify_holder(r->en);
}

void edge_rollout_answered(struct edge_req *r)
{
	const double took = (double)(edge_now(r->en) - r->sent_ms);

	/*
	 * Migrated and resumed streams: their times are not comparable, since
	 * they process no prompt.
	 */
	if (r->tally.answered || r->rq.at_copy || r->rq.started)
		return;
	r->tally.answered = true;
	count_outcome(r, took > r->predicted_ms * LATE_FACTOR + LATE_MARGIN_MS
				 ? TAL_LATE
				 : TAL_GOOD);
}

void edge_rollout_failed(struct edge_req *r, bool broken)
{
	count_outcome(r, broken ? TAL_BROKEN : TAL_FAILED);
}

/* ---- Gossip ---- */

static void fill_tally(const struct edge_rollout *ro, struct gsp_record *out)
{
	unsigned i;

	if (!ro->recorded || !rol_in_progress(&ro->record))
		return;
	for (i = 0; i < ro->own.nr_rows && out->nr_tallies < GSP_MAX_TALLIES;
	     i++)
		out->tallies[out->nr_tallies++] = (struct gsp_tally){
			.order = ro->own.order,
			.row = ro->own.rows[i],
		};
}

/* The record by which this entry routes requests. */
static void fill_record(const struct edge_rollout *ro, struct gsp_record *out)
{
	if (!ro->recorded || !rol_in_progress(&ro->record) ||
	    out->nr_rollouts == GSP_MAX_ROLLOUTS)
		return;
	out->rollouts[out->nr_rollouts++] = (struct gsp_rollout){
		.order = rol_order_id(&ro->record),
		.stage = ro->record.stage,
		.share = ro->record.share,
	};
}

void edge_rollout_fill_gossip(struct edge *en, struct gsp_record *out,
			      int64_t now)
{
	const int64_t true_now = walltime_now(&en->walltime, now);
	const struct edge_rollout *ro;

	cds_list_for_each_entry(ro, &en->rollouts, node) {
		fill_tally(ro, out);
		fill_record(ro, out);
		if (ro->recorded && ro->record.stage == ROL_ROLLED_BACK &&
		    true_now - ro->record.changed_ms < REPEAT_ROLLED_BACK_MS &&
		    out->nr_rolled_back < GSP_MAX_ROLLED_BACK)
			out->rolled_back[out->nr_rolled_back++] =
				rol_order_id(&ro->record);
	}
}

/* The expanded uthash macros count as about fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct edge_peer_tally *get_peer_tally(struct edge_rollout *ro,
					      uint64_t source)
{
	struct edge_peer_tally *t;

	HASH_FIND(hh, ro->peer_tallies, &source, sizeof(source), t);
	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	assert(t);
	t->source = source;
	HASH_ADD(hh, ro->peer_tallies, source, sizeof(t->source), t);
	return t;
}

static void apply_tallies(struct edge_rollout *ro, uint64_t source,
			  const struct gsp_record *r)
{
	struct edge_peer_tally *t = NULL;
	unsigned i;

	for (i = 0; i < r->nr_tallies; i++) {
		if (r->tallies[i].order != ro->own.order)
			continue;
		if (!t) {
			t = get_peer_tally(ro, source);
			t->tally.nr_rows = 0;
		}
		tal_add(&t->tally, &r->tallies[i].row, 1);
	}
}

/* Roll-backs are also sent by gossip, since the store may be unavailable. */
static void apply_rolled_back(struct edge *en, struct edge_rollout *ro,
			      const struct gsp_record *r, int64_t now)
{
	struct rol_record rolled_back = ro->record;
	unsigned i;

	for (i = 0; i < r->nr_rolled_back; i++) {
		if (r->rolled_back[i] != rol_order_id(&ro->record))
			continue;
		rol_roll_back(&rolled_back, "another entry told",
			      walltime_now(&en->walltime, now));
		edge_rollout_apply(en, ro, &rolled_back);
		/* The sender may have exited before writing the record. */
		ro->unwritten = true;
		return;
	}
}

void edge_rollout_apply_gossip(struct edge *en, uint64_t source,
			       const struct gsp_record *r, int64_t now)
{
	struct edge_rollout *ro;

	if (!r->nr_tallies && !r->nr_rolled_back)
		return;
	cds_list_for_each_entry(ro, &en->rollouts, node) {
		if (!ro->recorded || !rol_in_progress(&ro->record))
			continue;
		apply_tallies(ro, source, r);
		apply_rolled_back(en, ro, r, now);
	}
}

/* ---- Scaling ---- */

bool edge_rollout_is_shifting(const struct edge *en, const char *service)
{
	const struct edge_rollout *ro = find(en, service);

	return ro && ro->recorded &&
	       (ro->record.stage == ROL_SHIFT ||
		ro->record.stage == ROL_RUN_OUT);
}

int edge_rollout_trial_endpoints(const struct edge *en, const char *service)
{
	const struct edge_rollout *ro = find(en, service);
	const struct flt_endpoint *e;
	int n = 0;

	if (!ro || !ro->recorded || ro->record.stage != ROL_TRIAL)
		return 0;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		n += belongs_to(ro, e) && flt_in_service(e, edge_now(en)) &&
		     !strcmp(e->info.version, ro->record.target);
	}
	return n;
}

bool edge_rollout_is_replaced(const struct edge *en,
			      const struct flt_endpoint *e)
{
	const struct edge_rollout *ro = find(en, e->info.service);

	return ro && ro->recorded && ro->record.stage == ROL_COMPLETED &&
	       e->use == FLT_WITHHELD;
}

/* ---- Start and periodic work ---- */

void edge_rollout_open(struct edge *en)
{
	CDS_INIT_LIST_HEAD(&en->rollouts);
}

/* During a trial, endpoints that have exited are replaced periodically. */
static bool uses_need_update(const struct edge_rollout *ro, int64_t now)
{
	return ro->uses_outdated ||
	       (ro->recorded && rol_in_progress(&ro->record) &&
		now - ro->uses_updated_ms >= USE_UPDATE_INTERVAL_MS);
}

void edge_rollout_tick(struct edge *en, int64_t now)
{
	struct edge_rollout *ro;

	if (!enabled(en))
		return;
	cds_list_for_each_entry(ro, &en->rollouts, node) {
		check_established(en, ro, now);
		if (uses_need_update(ro, now))
			update_uses(en, ro);
		if (en->lead.is_holder)
			edge_rollout_decide(en, ro, now);
	}
}
