/* Decisions about roll-outs, made by the duty holder. */
#include <math.h>
#include <string.h>

#include "edge/edge_duty_internal.h"
#include "edge/edge_rollout_internal.h"

/* Time in which all entries send their counts twice to a new duty holder. */
#define COUNTS_SETTLE_MS 1500

/* Minimum delay between two writes. */
#define WRITE_RETRY_MS 250

/* ---- Observations ---- */

/* Counts of a service's endpoints, by their version. */
struct endpoint_sums {
	int in_target, in_from;	       /* listed and not draining */
	int unordered;		       /* endpoints of neither version */
	const char *unordered_version; /* of one of them */
	double former_running;	       /* requests on endpoints of `from` */
	double former_in_flight;       /* of these, on usable endpoints */
	double former_slots;	       /* of usable endpoints of `from` */
};

/*
 * True if the endpoint serves requests. One in backoff since it refused a
 * request does: it is full, which is what a shortage is measured by.
 */
static bool serves(const struct flt_endpoint *e, int64_t now)
{
	return !e->draining_since_ms && !e->missing_since_ms && !e->exited &&
	       !e->connect_failures && now >= e->unreached_until_ms;
}

/* Adds an endpoint of the former version. */
static void add_former(struct endpoint_sums *s, const struct flt_endpoint *e,
		       int64_t now)
{
	const double running = e->running + e->peer_running;

	s->in_from += !e->draining_since_ms && !e->missing_since_ms;
	s->former_running += running;
	if (!serves(e, now) || e->info.slots <= 0)
		return;
	s->former_in_flight += running;
	s->former_slots += e->info.slots;
}

static struct endpoint_sums
sum_endpoints(const struct edge *en, const struct edge_rollout *ro, int64_t now)
{
	const char *from = ro->recorded ? ro->record.from
					: ro->established.version;
	const char *target = ro->recorded ? ro->record.target : "";
	const struct flt_endpoint *e;
	struct endpoint_sums s = { 0 };

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (strcmp(e->info.service, ro->service) != 0)
			continue;
		if (!strcmp(e->info.version, target)) {
			s.in_target += !e->draining_since_ms &&
				       !e->missing_since_ms;
		} else if (!strcmp(e->info.version, from)) {
			add_former(&s, e, now);
		} else if (e->use == FLT_WITHHELD && !e->draining_since_ms) {
			s.unordered++;
			s.unordered_version = e->info.version;
		}
	}
	return s;
}

/*
 * True if the peer's last datagram says that it has read the shift, and the
 * requests in flight include those of that datagram.
 */
static bool peer_is_shifted(const struct edge *en, const struct prs_peer *p,
			    uint64_t order)
{
	unsigned i;

	if (p->received_ms >= en->loads_averaged_ms)
		return false;
	for (i = 0; i < p->last->nr_rollouts; i++) {
		if (p->last->rollouts[i].order == order)
			return rol_is_shifted(p->last->rollouts[i].stage,
					      p->last->rollouts[i].share);
	}
	return false;
}

/*
 * Counts the live entries that may still send new requests to the former
 * version. Those of earlier releases do not report what they have read.
 */
static int unshifted_entries(struct edge *en, const struct edge_rollout *ro,
			     int64_t now)
{
	const uint64_t order = rol_order_id(&ro->record);
	const struct prs_peer *p;
	int n = 0;

	if (!ro->recorded ||
	    !rol_is_shifted(ro->record.stage, ro->record.share))
		return 0;
	cds_list_for_each_entry(p, &en->prs.core, role_node)
		n += p->last && p->last->has_capacity && prs_alive(p, now) &&
		     !peer_is_shifted(en, p, order);
	return n;
}

/* Adds the counts of all entries to `out`. */
static void sum_counts(const struct edge_rollout *ro, struct tal *out)
{
	struct edge_peer_tally *t, *next;

	tal_add(out, ro->own.rows, ro->own.nr_rows);
	HASH_ITER(hh, ro->peer_tallies, t, next)
	tal_add(out, t->tally.rows, t->tally.nr_rows);
}

/* Minimum number of the target's endpoints to shift all traffic. */
static int required_endpoints(const struct edge *en, const char *service,
			      int in_from)
{
	const double need = edge_scale_need(en->duty, service);
	const int half = (in_from + 1) / 2;

	return need > 0 && need < half ? (int)ceil(need) : half;
}

/* ---- Writing ---- */

static void on_written(void *arg, struct sto_answer *a)
{
	struct edge_rollout *ro = arg;

	ro->writing = false;
	/* A roll-back may have been received during the write. */
	ro->unwritten = a->outcome != STO_OK ||
			ro->record.stage != ro->next.stage;
	if (a->outcome == STO_OK)
		ro->record_version = a->revision;
}

static void write_record(struct edge *en, struct edge_rollout *ro, int64_t now)
{
	BUF_AUTO key = BUF_INIT;
	BUF_AUTO value = BUF_INIT;
	BUF_AUTO status_key = BUF_INIT;
	BUF_AUTO status = BUF_INIT;
	struct sto_call c = { .kind = STO_WRITE, .nr_conditions = 2 };

	buf_str(&key, EDGE_ROLLOUT_PREFIX);
	buf_str(&key, ro->service);
	rol_encode(&ro->next, &value);
	en->wire->encode_rollout_status(&ro->next, &status_key, &status);
	c.conditions[0] =
		(struct sto_condition){ EDGE_DUTY_KEY, en->lead.fence };
	c.conditions[1] =
		(struct sto_condition){ buf_cstr(&key), ro->record_version };
	if (ro->next.stage != ROL_UNORDERED) /* no order, no status */
		c.rows[c.nr_rows++] = (struct sto_row){ buf_cstr(&status_key),
							status.data, status.len,
							0 };
	/* Last row: the revision in the answer is that of this key. */
	c.rows[c.nr_rows++] =
		(struct sto_row){ buf_cstr(&key), value.data, value.len, 0 };
	ro->writing = true;
	ro->next_write_ms = now + WRITE_RETRY_MS;
	sto_call(en->store, &c, on_written, ro);
}

/* Refuses an order; its status tells the operator why. */
static void refuse_order(struct edge *en, struct edge_rollout *ro, int64_t now)
{
	BUF_AUTO key = BUF_INIT;
	BUF_AUTO value = BUF_INIT;
	struct rol_record r = { .stage = ROL_ROLLED_BACK };
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };

	str_copy(r.service, ro->service, sizeof(r.service));
	str_copy(r.target, ro->order.target, sizeof(r.target));
	str_copy(r.why, ro->order_error, sizeof(r.why));
	ro->refused_version = ro->order.version;
	jlog_begin(en->log, JLOG_WARN, "rollout_refused");
	jlog_str(en->log, "service", ro->service);
	jlog_str(en->log, "target", ro->order.target);
	jlog_str(en->log, "why", ro->order_error);
	jlog_end(en->log);
	en->wire->encode_rollout_status(&r, &key, &value);
	c.conditions[0] =
		(struct sto_condition){ EDGE_DUTY_KEY, en->lead.fence };
	c.rows[0] =
		(struct sto_row){ buf_cstr(&key), value.data, value.len, 0 };
	ro->next_write_ms = now + WRITE_RETRY_MS;
	sto_call(en->store, &c, sto_ignore_answer, NULL);
}

/* ---- Decisions ---- */

/* True if all orders were read after this entry became the duty holder. */
static bool orders_are_read(const struct edge *en)
{
	const struct edge_watch *w = &en->watches[EDGE_WATCH_ROLLOUTS];

	return w->mirror.complete && !w->resyncing &&
	       w->complete_ms >= en->lead.held_since_ms;
}

static void log_decision(struct edge *en, const struct edge_rollout *ro,
			 const struct rol_observation *s)
{
	const struct tal_row target = tal_total(s->counts, false);
	const struct tal_row others = tal_total(s->counts, true);

	jlog_begin(en->log, JLOG_INFO, "rollout_step");
	jlog_str(en->log, "service", ro->service);
	jlog_str(en->log, "target", ro->next.target);
	jlog_str(en->log, "stage", rol_stage_name(ro->next.stage));
	jlog_num(en->log, "share", ro->next.share);
	jlog_str(en->log, "why", ro->next.why);
	jlog_int(en->log, "since_ms", s->now_ms - ro->next.began_ms);
	jlog_int(en->log, "endpoints", s->target_endpoints);
	jlog_int(en->log, "enough", s->required_endpoints);
	jlog_num(en->log, "runs_left", s->former_running);
	jlog_bool(en->log, "short", rol_is_short(s));
	jlog_num(en->log, "former_in_flight", s->former_in_flight);
	jlog_num(en->log, "former_slots", s->former_slots);
	jlog_num(en->log, "offered_per_s", s->offered_per_s);
	jlog_int(en->log, "unshifted_entries", s->unshifted_entries);
	jlog_int(en->log, "sent", target.sent);
	jlog_int(en->log, "answered", target.answered);
	jlog_int(en->log, "failed", target.failed);
	jlog_int(en->log, "late", target.late);
	jlog_int(en->log, "broken", target.broken);
	jlog_int(en->log, "others_sent", others.sent);
	jlog_int(en->log, "others_answered", others.answered);
	jlog_int(en->log, "others_failed", others.failed);
	jlog_int(en->log, "others_late", others.late);
	jlog_int(en->log, "others_broken", others.broken);
	jlog_int(en->log, "told_by", (int64_t)HASH_COUNT(ro->peer_tallies));
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_end(en->log);
}

static void count_end(struct edge *en, const struct rol_record *r)
{
	if (r->stage == ROL_COMPLETED)
		met_inc(en->m.rollouts_completed);
	else if (r->stage == ROL_ROLLED_BACK)
		met_inc(en->m.rollouts_rolled_back);
}

/*
 * Applies ro->next here and writes it to the store, where the other entries
 * read it. Roll-backs are sent by gossip, too.
 */
static void carry_out_step(struct edge *en, struct edge_rollout *ro,
			   const struct rol_observation *s, int64_t now)
{
	const struct rol_record next = ro->next;

	log_decision(en, ro, s);
	count_end(en, &next);
	edge_rollout_apply(en, ro, &next);
	if (next.stage == ROL_COMPLETED)
		edge_scale_reset_orders(en->duty, ro->service);
	write_record(en, ro, now);
	if (next.stage == ROL_ROLLED_BACK)
		edge_gossip_broadcast(en, now);
}

/*
 * Accepts a version that was listed without an order for ROL_UNORDERED_DELAY_MS,
 * if no roll-out is in progress: sets ro->next and returns true when it is due.
 */
static bool accept_unordered(struct edge_rollout *ro,
			     const struct endpoint_sums *sums,
			     const struct rol_observation *s, int64_t now)
{
	if (!sums->unordered || ro->ordered) {
		ro->unordered_since_ms = 0;
		return false;
	}
	if (!ro->unordered_since_ms)
		ro->unordered_since_ms = now;
	if (now - ro->unordered_since_ms < ROL_UNORDERED_DELAY_MS)
		return false;
	ro->unordered_since_ms = 0;
	memset(&ro->next, 0, sizeof(ro->next));
	str_copy(ro->next.service, ro->service, sizeof(ro->next.service));
	str_copy(ro->next.from, s->established, sizeof(ro->next.from));
	str_copy(ro->next.target, sums->unordered_version,
		 sizeof(ro->next.target));
	ro->next.stage = ROL_UNORDERED;
	ro->next.began_ms = ro->next.changed_ms = s->now_ms;
	str_copy(ro->next.why, "listed without an order", ROL_WHY);
	return true;
}

/* Sets ro->next; true if it has to be carried out. */
static bool decide(struct edge *en, struct edge_rollout *ro,
		   const struct endpoint_sums *sums,
		   const struct rol_observation *s, int64_t now)
{
	const struct rol_limits limits = {
		.exposure_share = en->conf->bounds.exposure_share,
		.exposure_slack = en->conf->bounds.exposure_slack,
	};

	ro->next = ro->record;
	if (ro->ordered && ro->order_valid &&
	    (!ro->recorded || !rol_matches_order(&ro->record, &ro->order))) {
		rol_begin(&ro->next, &ro->order, s);
		return true;
	}
	if (ro->recorded && rol_in_progress(&ro->record)) {
		if (!ro->ordered) {
			rol_roll_back(&ro->next, "the order was taken back",
				      s->now_ms);
			return true;
		}
		return rol_step(&ro->next, &limits, s);
	}
	return accept_unordered(ro, sums, s, now);
}

static bool service_is_configured(const struct edge *en, const char *service)
{
	return en->force.cfg && cfg_service(en->force.cfg, service);
}

/* Refuses orders for services that are not configured. */
static void check_order(struct edge *en, struct edge_rollout *ro)
{
	if (!ro->order_valid || service_is_configured(en, ro->service))
		return;
	ro->order_valid = false;
	str_copy(ro->order_error, "the configuration has no such service",
		 sizeof(ro->order_error));
}

void edge_rollout_decide(struct edge *en, struct edge_rollout *ro, int64_t now)
{
	struct tal counts;
	struct rol_observation s = { .counts = &counts };
	struct endpoint_sums sums;

	if (ro->writing || now < ro->next_write_ms || !orders_are_read(en) ||
	    !edge_duty_may_act(en))
		return;
	if (ro->ordered && en->force.cfg)
		check_order(en, ro);
	if (ro->ordered && !ro->order_valid &&
	    ro->refused_version != ro->order.version) {
		refuse_order(en, ro, now);
		return;
	}
	/*
	 * The store may lack the record after it was restored, after a failed
	 * write, or if a roll-back was received by gossip.
	 */
	if (ro->recorded && ro->record.order &&
	    (ro->unwritten || !ro->record_version)) {
		ro->next = ro->record;
		write_record(en, ro, now);
		return;
	}
	sums = sum_endpoints(en, ro, now);
	memset(&counts, 0, sizeof(counts));
	if (ro->recorded && rol_in_progress(&ro->record))
		sum_counts(ro, &counts);
	s.now_ms = walltime_now(&en->walltime, now);
	s.counting_since_ms = s.now_ms - (now - en->start_ms);
	s.counts_complete = now - en->lead.held_since_ms >= COUNTS_SETTLE_MS;
	s.target_endpoints = sums.in_target;
	s.required_endpoints =
		required_endpoints(en, ro->service, sums.in_from);
	s.former_running = sums.former_running;
	s.former_in_flight = sums.former_in_flight;
	s.former_slots = sums.former_slots;
	s.offered_per_s = edge_scale_offered(en->duty, ro->service);
	s.unshifted_entries = unshifted_entries(en, ro, now);
	s.established = edge_rollout_serving(ro);
	if (decide(en, ro, &sums, &s, now))
		carry_out_step(en, ro, &s, now);
}

/* ---- Orders ---- */

void edge_rollout_order_seen(struct edge *en, const char *key,
			     const char *value, size_t len, int64_t version)
{
	const char *service = key + strlen(en->wire->rollout_prefix);
	struct edge_rollout *ro;
	struct err e = ERR_INIT;

	if (strlen(service) >= FLT_NAME) {
		edge_log_unreadable(en, key, "not a service");
		return;
	}
	ro = edge_rollout_of(en, service);
	ro->ordered = true;
	ro->order_valid =
		en->wire->decode_rollout(key, value, len, &ro->order, &e) == 0;
	ro->order.version = version;
	str_copy(ro->order_error, e.text, sizeof(ro->order_error));
	jlog_begin(en->log, JLOG_INFO, "rollout_ordered");
	jlog_str(en->log, "service", ro->service);
	jlog_str(en->log, "target", ro->order.target);
	jlog_int(en->log, "within_ms", ro->order.within_ms);
	jlog_int(en->log, "order", version);
	jlog_end(en->log);
	edge_rollout_decide(en, ro, edge_now(en));
}

void edge_rollout_order_deleted(struct edge *en, const char *key)
{
	const char *service = key + strlen(en->wire->rollout_prefix);

	/*
	 * A restored store may have lost the order; its operator then writes it
	 * again.
	 */
	if (en->watches[EDGE_WATCH_ROLLOUTS].resyncing)
		return;
	if (strlen(service) < FLT_NAME)
		edge_rollout_of(en, service)->ordered = false;
}
