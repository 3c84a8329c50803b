/*
 * Applies changes of keys in the store to the entry's state, and logs slow and
 * large answers of the store.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"
#include "edge/edge_rollout.h"

/*
 * Answers that are at least this late (without the wait of a watch) or this
 * large are logged. Neither happens more than a few times per second.
 */
#define SLOW_ANSWER_MS 300
#define LARGE_ANSWER_BYTES (64u << 10)

double edge_store_interval_ms(const struct edge *en, int64_t limit_per_s,
			      double share)
{
	const double per_s = (double)limit_per_s * share;

	return per_s > 0 ? (1 + en->sending_peers) * 1000 / per_s : 0;
}

/* ---- Keys ---- */

void edge_log_unreadable(struct edge *en, const char *key, const char *why)
{
	jlog_begin(en->log, JLOG_ERROR, "store_value_unreadable");
	jlog_str(en->log, "key", key);
	jlog_str(en->log, "why", why);
	jlog_end(en->log);
}

static void log_endpoint(struct edge *en, const struct flt_endpoint *e,
			 const char *what)
{
	jlog_begin(en->log, JLOG_INFO, "endpoint");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "change", what);
	jlog_str(en->log, "service", e->info.service);
	jlog_str(en->log, "zone", e->info.zone);
	jlog_str(en->log, "version", e->info.version);
	jlog_int(en->log, "use", e->use);
	jlog_bool(en->log, "reclaimable", e->info.reclaimable);
	jlog_int(en->log, "leaves_ms", e->info.time_left_ms);
	jlog_int(en->log, "running", e->running);
	/* Upper bound of the delay until the change was seen. */
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_end(en->log);
}

/*
 * A restored store still lists endpoints that were removed after the copy was
 * made. True for such an endpoint; one that still runs writes its entry again.
 */
static bool is_stale_entry(struct edge *en, const struct flt_info *info)
{
	if (!en->watches[EDGE_WATCH_ENDPOINTS].resyncing ||
	    !flt_was_removed(&en->fleet, info, edge_now(en)))
		return false;
	jlog_begin(en->log, JLOG_INFO, "endpoint");
	jlog_str(en->log, "endpoint", info->id);
	jlog_str(en->log, "change", "listed after it left");
	jlog_end(en->log);
	return true;
}

/*
 * In a large fleet, endpoints of the first listing are only counted, and leaves
 * log only endpoints that begin to drain: a change of a thousand endpoints would
 * be a million lines.
 */
static bool is_logged(const struct edge *en, enum flt_change change)
{
	if (en->ovl.mesh)
		return true;
	return en->watches[EDGE_WATCH_ENDPOINTS].mirror.complete &&
	       (en->ovl.core || change == FLT_DRAINING);
}

static void apply_endpoint(struct edge *en, const char *key, const char *value,
			   size_t len)
{
	static const char *const change_names[] = { NULL, "new", "draining",
						    "back", "restarted" };
	struct err e = ERR_INIT;
	struct flt_info info;
	struct flt_endpoint *ep;
	enum flt_change change;

	if (en->wire->decode_endpoint(key, value, len, &info, &e)) {
		/* The former value is replaced, so the endpoint is gone. */
		flt_remove(&en->fleet, key + strlen(en->wire->endpoint_prefix),
			   edge_now(en));
		met_inc(en->m.entries_unreadable);
		edge_log_unreadable(en, key, e.text);
		return;
	}
	if (is_stale_entry(en, &info))
		return;
	ep = flt_upsert(&en->fleet, &info, edge_now(en), &change);
	edge_rollout_endpoint_listed(en, ep);
	edge_versions_endpoint_listed(en, ep);
	if (change_names[change] && is_logged(en, change))
		log_endpoint(en, ep, change_names[change]);
}

static void apply_entry(struct edge *en, const char *key, const char *value,
			size_t len)
{
	const char *name = key + strlen(EDGE_ENTRY_PREFIX);
	struct prs_info info;
	struct prs_peer *p;

	if (!strcmp(name, en->conf->name))
		return;
	p = prs_decode(name, value, len, &info)
		    ? prs_register(&en->prs, &info, edge_now(en))
		    : NULL;
	if (!p) {
		edge_log_unreadable(en, key,
				    "not an entry with valid addresses");
		return;
	}
	/* In a large fleet, the next round of gossip finds out its role. */
	if (en->ovl.mesh) {
		ovl_sort_in(&en->ovl, &en->prs, p, edge_now(en));
		edge_peer_sum_demands(en, edge_now(en));
	}
	if (!en->watches[EDGE_WATCH_SYSTEM].mirror.complete ||
	    !(en->ovl.mesh || en->ovl.core))
		return;
	jlog_begin(en->log, JLOG_INFO, "entry_registered");
	jlog_str(en->log, "entry", info.name);
	jlog_end(en->log);
}

static bool has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static void on_put(void *arg, const char *key, const char *value, size_t len,
		   int64_t revision)
{
	struct edge *en = arg;

	if (has_prefix(key, en->wire->endpoint_prefix))
		apply_endpoint(en, key, value, len);
	else if (has_prefix(key, EDGE_ENTRY_PREFIX))
		apply_entry(en, key, value, len);
	else if (!strcmp(key, EDGE_DUTY_KEY))
		edge_lease_duty_seen(en, value, len, revision);
	else if (!strcmp(key, EDGE_ERA_KEY))
		edge_era_record_seen(en, value, len, revision);
	else if (!strcmp(key, EDGE_VERSIONS_KEY))
		edge_versions_record_seen(en, value, len, revision);
	else if (has_prefix(key, EDGE_FATAL_PREFIX))
		edge_fatal_record_seen(en, key, value, len);
	else if (has_prefix(key, EDGE_ROLLOUT_PREFIX))
		edge_rollout_record_seen(en, key, value, len, revision);
	else if (has_prefix(key, en->wire->rollout_prefix))
		edge_rollout_order_seen(en, key, value, len, revision);
	else if (!strcmp(key, EDGE_PLAN_KEY) &&
		 !saved_plan_decode(value, len, &en->plan))
		edge_log_unreadable(en, key, "not a plan");
}

/*
 * When endpoints began to write their lost entries again: after the last outage
 * or restore of the store, whichever was later.
 */
static int64_t rewrites_began_ms(const struct edge *en)
{
	const int64_t back = sto_recovered_ms(en->store);

	return back > en->era.detected_ms ? back : en->era.detected_ms;
}

static void on_deleted(void *arg, const char *key, int64_t revision)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	struct flt_endpoint *e;

	if (has_prefix(key, en->wire->endpoint_prefix)) {
		e = flt_mark_missing(&en->fleet,
				     key + strlen(en->wire->endpoint_prefix),
				     rewrites_began_ms(en), now);
		if (e && (en->ovl.mesh || en->ovl.core))
			log_endpoint(en, e,
				     e->grace_until_ms > now ? "lapsed"
							     : "unlisted");
	} else if (has_prefix(key, EDGE_ENTRY_PREFIX)) {
		prs_unregister(&en->prs, key + strlen(EDGE_ENTRY_PREFIX), now);
	} else if (!strcmp(key, EDGE_ERA_KEY)) {
		edge_era_record_deleted(en);
	} else if (!strcmp(key, EDGE_VERSIONS_KEY)) {
		edge_versions_record_deleted(en);
	} else if (has_prefix(key, EDGE_FATAL_PREFIX)) {
		/* A record lost in a restore does not end the quarantine. */
		if (en->watches[EDGE_WATCH_SYSTEM].resyncing)
			edge_fatal_record_lost(en, key);
		else
			edge_fatal_record_deleted(en, key);
	} else if (has_prefix(key, EDGE_ROLLOUT_PREFIX)) {
		edge_rollout_record_deleted(en, key);
	} else if (has_prefix(key, en->wire->rollout_prefix)) {
		edge_rollout_order_deleted(en, key);
	} else if (!strcmp(key, EDGE_DUTY_KEY)) {
		edge_lease_duty_deleted(en, revision);
	}
}

const struct mir_vtable edge_mirror_vtable = { on_put, on_deleted };

/* ---- Start and periodic work ---- */

/* Picks at random a live peer that reaches the store, to relay calls to it. */
static const struct sockaddr_in *pick_relay(void *arg)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	const struct sockaddr_in *found = NULL;
	struct prs_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (prs_alive(p, now) && p->store_ok &&
		    !rnd_below(&en->rnd, ++n))
			found = &p->addr;
	}
	return found;
}

static void on_reachability(void *arg, bool reachable, const char *why,
			    bool direct, int64_t took_ms)
{
	struct edge *en = arg;

	jlog_begin(en->log, reachable ? JLOG_INFO : JLOG_WARN,
		   reachable ? "store_back" : "store_away");
	jlog_str(en->log, "why", why);
	jlog_str(en->log, "way", direct ? "direct" : "relayed");
	jlog_int(en->log, "took_ms", took_ms);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, edge_now(en)));
	jlog_end(en->log);
}

static void log_skipped(struct edge *en, const struct sto_trace *t)
{
	met_add(en->m.items_skipped, (int64_t)t->skipped);
	jlog_begin(en->log, JLOG_ERROR, "store_items_skipped");
	jlog_str(en->log, "call", sto_kind_name(t->kind));
	jlog_int(en->log, "items", (int64_t)t->skipped);
	jlog_str(en->log, "why", "no valid key");
	jlog_end(en->log);
}

static void on_traced(void *arg, const struct sto_trace *t)
{
	struct edge *en = arg;

	met_inc(t->following ? en->m.store_followed
			     : en->m.store_calls[t->kind]);
	if (t->skipped)
		log_skipped(en, t);
	if (t->late_ms < SLOW_ANSWER_MS && t->bytes < LARGE_ANSWER_BYTES)
		return;
	jlog_begin(en->log, JLOG_INFO, "store_answer");
	jlog_str(en->log, "call", sto_kind_name(t->kind));
	jlog_str(en->log, "outcome", sto_outcome_name(t->outcome));
	jlog_str(en->log, "way",
		 t->following ? "followed"
		 : t->direct  ? "direct"
			      : "relayed");
	jlog_int(en->log, "took_ms", t->took_ms);
	jlog_int(en->log, "late_ms", t->late_ms);
	jlog_int(en->log, "bytes", (int64_t)t->bytes);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_end(en->log);
}

int64_t edge_list_age(const struct edge *en, int64_t now)
{
	const int64_t at = en->watches[EDGE_WATCH_ENDPOINTS].complete_ms;

	return at ? now - at : -1;
}

static void on_endpoint_removed(struct flt_endpoint *e, void *arg)
{
	const struct edge *en = arg;

	if (en->ovl.mesh || en->ovl.core)
		log_endpoint(arg, e, "gone");
	edge_fatal_endpoint_gone(arg, e);
}

void edge_store_open(struct edge *en, const struct sockaddr_in *addr)
{
	en->store = sto_create(en->loop, en->clk, en->wire->store, addr,
			       on_reachability, en);
	sto_set_relay(en->store, pick_relay, en);
	sto_set_trace(en->store, on_traced, en);
	edge_era_open(en);
	edge_watch_open(en);
}

void edge_store_tick(struct edge *en, int64_t now)
{
	edge_watch_tick(en, now);
	edge_era_tick(en, now);
	edge_config_tick(en, now);
	edge_lease_tick(en, now);
	edge_versions_tick(en, now);
	edge_bind_log_tick(en, now);
	edge_recall_tick(en, now);
	flt_expire(&en->fleet, now, on_endpoint_removed, en);
}
