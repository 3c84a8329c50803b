/* What the store says: configuration, endpoints, entries, duties. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"
#include "edge/edge_internal.h"

/*
 * The configuration is confirmed this often, by one entry for all: the first
 * of those that watch the store asks and tells the others. The bound is that
 * of revoked keys, of which it leaves more than half.
 */
#define REFRESH_MS 1200

/*
 * The second of them asks so much later, and so on: by then it has heard of
 * the first one's word, if that lives.
 */
#define REFRESH_STEP_MS 300

/*
 * The others ask so much later, spread over the second figure. Telling all
 * of a hundred entries takes 0.6 s; when all asked by the clock alone, half
 * of them had asked before they heard: 1,200 calls in 50 s on 84 entries.
 */
#define REFRESH_OTHERS_MS 1000
#define REFRESH_SPREAD_MS 600
#define REFRESH_RETRY_MS 300

/*
 * Datagrams tell of a new version before the watch brings it: it is waited
 * for so long, then the store is asked. Without the wait each entry of 84
 * asked at each change.
 */
#define BEHIND_WAIT_MS 600

/*
 * Following another entry's watch: it answers at least this often, and with
 * so much more time it counts as lost. Together with FEED_TRUST_MS a follower
 * is blind for less than the two seconds in which leaves must be acted on.
 */
#define FOLLOW_WAIT_MS 900
#define FOLLOW_EXTRA_MS 400

/*
 * After a lost leader the store is watched directly for so long; after one
 * that had not what we lacked, for the time in which one watch brings it.
 */
#define FOLLOW_REST_MS 2000
#define FOLLOW_ONCE_MS 200

/*
 * Answers of the store that are logged: those that came this late, or have
 * so many bytes. Neither happens more than a few times a second.
 */
#define SLOW_ANSWER_MS 300
#define LARGE_ANSWER (64u << 10)

/* ---- Keys ---- */

static void log_config(struct edge *en, const struct cfg *c, int64_t revision)
{
	met_set(en->m.config_version, c->version);
	jlog_begin(en->log, JLOG_INFO, "config_in_force");
	jlog_int(en->log, "config", c->version);
	jlog_int(en->log, "revision", revision);
	jlog_int(en->log, "routes", (int64_t)c->nr_routes);
	jlog_int(en->log, "accounts", (int64_t)c->nr_accounts);
	jlog_int(en->log, "keys", (int64_t)c->nr_keys);
	jlog_end(en->log);
}

static void log_unreadable(struct edge *en, const char *key, const char *why)
{
	jlog_begin(en->log, JLOG_ERROR, "store_value_unreadable");
	jlog_str(en->log, "key", key);
	jlog_str(en->log, "why", why);
	jlog_end(en->log);
}

/* The last good version stays in force if this one cannot be read. */
static void take_config(struct edge *en, const char *value, size_t len,
			int64_t revision, int64_t asked_ms)
{
	struct err e = ERR_INIT;
	struct cfg *c = en->wire->config(value, len, &e);

	if (!c) {
		log_unreadable(en, en->wire->config_key, e.text);
		return;
	}
	if (force_offer(&en->force, c, asked_ms))
		log_config(en, en->force.cfg, revision);
}

static void log_endpoint(struct edge *en, const struct flt_endpoint *e,
			 const char *what)
{
	jlog_begin(en->log, JLOG_INFO, "endpoint");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "change", what);
	jlog_str(en->log, "service", e->info.service);
	jlog_str(en->log, "zone", e->info.zone);
	jlog_bool(en->log, "reclaimable", e->info.reclaimable);
	jlog_int(en->log, "leaves_ms", e->info.leaves_ms);
	jlog_int(en->log, "running", e->running);
	/* How long a change may have waited to be seen. */
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_end(en->log);
}

static void take_endpoint(struct edge *en, const char *key, const char *value,
			  size_t len)
{
	static const char *const words[] = { NULL, "new", "draining", "back",
					     "restarted" };
	struct err e = ERR_INIT;
	struct flt_info info;
	struct flt_endpoint *ep;
	enum flt_news news;

	if (en->wire->endpoint(key, value, len, &info, &e)) {
		/* Whoever wrote it: the key names no endpoint now. */
		flt_unnamed(&en->fleet,
			    key + strlen(en->wire->endpoint_prefix));
		met_inc(en->m.entries_unreadable);
		log_unreadable(en, key, e.text);
		return;
	}
	ep = flt_listed(&en->fleet, &info, edge_now(en), &news);
	if (words[news])
		log_endpoint(en, ep, words[news]);
}

static void take_entry(struct edge *en, const char *key, const char *value,
		       size_t len)
{
	JSN_AUTO *o = jsn_parse(value, len);
	struct prs_info info;

	memset(&info, 0, sizeof(info));
	str_copy(info.name, key + strlen(EDGE_ENTRY_PREFIX), sizeof(info.name));
	if (!strcmp(info.name, en->conf->name))
		return;
	str_copy(info.zone, jsn_str(o, "zone", ""), sizeof(info.zone));
	str_copy(info.callers, jsn_str(o, "callers", ""), sizeof(info.callers));
	str_copy(info.peers, jsn_str(o, "peers", ""), sizeof(info.peers));
	if (!prs_registered(&en->prs, &info, edge_now(en))) {
		log_unreadable(en, key, "no address of the entry");
		return;
	}
	edge_peer_demands(en, edge_now(en));
	jlog_begin(en->log, JLOG_INFO, "entry_registered");
	jlog_str(en->log, "entry", info.name);
	jlog_end(en->log);
}

static enum lead_whose whose_duty(const struct edge *en, const char *value,
				  size_t len)
{
	char mine[128];

	edge_lease_holder(en, mine, sizeof(mine));
	if (strlen(mine) == len && !memcmp(mine, value, len))
		return LEAD_MINE;
	if (!strcmp(en->duty_holder, en->conf->name))
		return LEAD_FORMER;
	return LEAD_OTHERS;
}

static void take_duty(struct edge *en, const char *value, size_t len,
		      int64_t revision)
{
	const bool was = en->lead.mine;

	edge_lease_entry(value, len, en->duty_holder, sizeof(en->duty_holder));
	lead_seen(&en->lead, whose_duty(en, value, len), revision,
		  edge_now(en));
	if (was == en->lead.mine)
		return;
	jlog_begin(en->log, JLOG_INFO, "duty");
	jlog_bool(en->log, "holding", en->lead.mine);
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_end(en->log);
}

static bool begins(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

static void on_put(void *arg, const char *key, const char *value, size_t len,
		   int64_t revision)
{
	struct edge *en = arg;

	if (!strcmp(key, en->wire->config_key))
		take_config(en, value, len, revision, 0);
	else if (begins(key, en->wire->endpoint_prefix))
		take_endpoint(en, key, value, len);
	else if (begins(key, EDGE_ENTRY_PREFIX))
		take_entry(en, key, value, len);
	else if (!strcmp(key, EDGE_DUTY_KEY))
		take_duty(en, value, len, revision);
	else if (!strcmp(key, EDGE_PLAN_KEY) &&
		 !carry_decode(value, len, &en->plan))
		log_unreadable(en, key, "no plan");
}

static void on_gone(void *arg, const char *key, int64_t revision)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	struct flt_endpoint *e;

	if (begins(key, en->wire->endpoint_prefix)) {
		e = flt_unlisted(&en->fleet,
				 key + strlen(en->wire->endpoint_prefix),
				 sto_back_ms(en->store), now);
		if (e)
			log_endpoint(en, e,
				     e->hold_ms > now ? "lapsed" : "unlisted");
	} else if (begins(key, EDGE_ENTRY_PREFIX)) {
		prs_unregistered(&en->prs, key + strlen(EDGE_ENTRY_PREFIX),
				 now);
	} else if (!strcmp(key, EDGE_DUTY_KEY)) {
		en->duty_holder[0] = '\0';
		lead_vacant(&en->lead, revision, now);
	}
}

static const struct mir_vtable mirror_vtable = { on_put, on_gone };

/* ---- The mirror's calls ---- */

static void on_listed(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	size_t i;

	if (a->outcome != STO_OK) {
		met_inc(en->m.store_failures);
		mir_failed(&en->mirror, now);
		return;
	}
	for (i = 0; i < a->nr_items; i++) {
		if (a->items[i].value)
			mir_item(&en->mirror, a->items[i].key,
				 a->items[i].value, a->items[i].len,
				 a->items[i].revision);
	}
	mir_page(&en->mirror,
		 a->nr_items ? a->items[a->nr_items - 1].key : NULL, a->more,
		 a->revision, now);
	if (!a->more)
		en->listed_ms = now;
}

static void apply_changes(struct edge *en, const struct sto_answer *a)
{
	size_t i;

	for (i = 0; i < a->nr_items; i++)
		mir_event(&en->mirror, a->items[i].key, a->items[i].value,
			  a->items[i].len, a->items[i].revision);
}

static void on_watched(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	if (a->outcome == STO_HISTORY_LOST) {
		jlog_begin(en->log, JLOG_WARN, "store_history_lost");
		jlog_int(en->log, "revision", en->mirror.revision);
		jlog_end(en->log);
		feed_clear(&en->feed);
		mir_history_lost(&en->mirror, now);
		return;
	}
	if (a->outcome != STO_OK) {
		met_inc(en->m.store_failures);
		mir_failed(&en->mirror, now);
		return;
	}
	feed_add(&en->feed, en->mirror.revision, a->revision, a->nr_items > 0,
		 a->raw, a->raw_len);
	apply_changes(en, a);
	mir_watched(&en->mirror, a->nr_items > 0, a->revision, now);
	en->listed_ms = now;
	edge_inner_feed(en, now);
}

/* ---- Following another entry's watch ---- */

static void on_followed(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	if (a->outcome != STO_OK) {
		/* The store itself is asked, at once: once if the leader has
		 * not what we lack, else for a while. */
		en->follow_after_ms = now + (a->outcome == STO_ABSENT
						     ? FOLLOW_ONCE_MS
						     : FOLLOW_REST_MS);
		mir_failed(&en->mirror, now);
		en->mirror.due_ms = now;
		return;
	}
	apply_changes(en, a);
	mir_watched(&en->mirror, false, a->revision, now);
	en->listed_ms = now;
}

static bool follow(struct edge *en, int64_t now)
{
	const struct prs_peer *p;

	if (now < en->follow_after_ms || en->stopping)
		return false;
	p = edge_leader(en, now);
	if (!p)
		return false;
	/*
	 * Our own feed stands still from here on: an entry that still follows
	 * us must not take that for "nothing new".
	 */
	feed_clear(&en->feed);
	sto_follow(en->store, &p->addr, en->mirror.revision, FOLLOW_WAIT_MS,
		   FOLLOW_EXTRA_MS, on_followed, en);
	return true;
}

static void mirror_tick(struct edge *en, int64_t now)
{
	struct sto_call c = { .key = "" };

	switch (mir_next(&en->mirror, now)) {
	case MIR_NONE:
		return;
	case MIR_LIST:
		c.kind = STO_LIST;
		c.after = en->mirror.after;
		break;
	case MIR_WATCH:
		if (follow(en, now))
			return;
		c.kind = STO_WATCH;
		c.revision = en->mirror.revision;
		c.wait_ms = MIR_WATCH_MS;
		break;
	}
	met_inc(en->m.store_calls);
	sto_call(en->store, &c, c.kind == STO_LIST ? on_listed : on_watched,
		 en);
}

/* ---- Freshness of the configuration ---- */

static void on_refreshed(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;

	en->refreshing = false;
	if (a->outcome == STO_OK && a->nr_items && a->items[0].value)
		take_config(en, a->items[0].value, a->items[0].len,
			    a->items[0].revision, a->asked_ms);
	else
		met_inc(en->m.store_failures);
	edge_req_verified(en);
}

void edge_refresh(struct edge *en)
{
	struct sto_call c = { .kind = STO_GET, .key = en->wire->config_key };

	if (en->refreshing)
		return;
	en->refreshing = true;
	en->refresh_ms = edge_now(en);
	met_inc(en->m.refreshes);
	met_inc(en->m.store_calls);
	sto_call(en->store, &c, on_refreshed, en);
}

/* The age at which we ask. */
static int64_t refresh_age(struct edge *en, int64_t now)
{
	const int place = edge_watch_place(en, now);

	if (place >= 0)
		return REFRESH_MS + place * REFRESH_STEP_MS;
	return REFRESH_MS + REFRESH_OTHERS_MS +
	       (int64_t)(en->source % REFRESH_SPREAD_MS);
}

static void refresh_tick(struct edge *en, int64_t now)
{
	const int64_t age = force_age(&en->force, now);

	if (!force_behind(&en->force))
		en->behind_ms = 0;
	else if (!en->behind_ms)
		en->behind_ms = now;
	if (now - en->refresh_ms < REFRESH_RETRY_MS)
		return;
	if ((en->behind_ms && now - en->behind_ms >= BEHIND_WAIT_MS) ||
	    (age >= REFRESH_MS && age >= refresh_age(en, now)))
		edge_refresh(en);
}

/* ---- Life ---- */

static const struct sockaddr_in *detour(void *arg)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	const struct sockaddr_in *found = NULL;
	struct prs_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (prs_alive(p, now) && p->store_ok &&
		    !rnd_below(&en->rnd, ++n))
			found = &p->addr;
	}
	return found;
}

static void on_store(void *arg, bool reachable, const char *why, bool direct,
		     int64_t took_ms)
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

static void on_traced(void *arg, const struct sto_trace *t)
{
	struct edge *en = arg;

	if (t->late_ms < SLOW_ANSWER_MS && t->bytes < LARGE_ANSWER)
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
	return en->listed_ms ? now - en->listed_ms : -1;
}

static void log_gone(struct flt_endpoint *e, void *arg)
{
	log_endpoint(arg, e, "gone");
}

void edge_store_open(struct edge *en, const struct sockaddr_in *addr)
{
	en->store = sto_create(en->loop, en->clk, en->wire->store, addr,
			       on_store, en);
	sto_set_detour(en->store, detour, en);
	sto_set_trace(en->store, on_traced, en);
	mir_init(&en->mirror, &mirror_vtable, en);
}

void edge_store_tick(struct edge *en, int64_t now)
{
	mirror_tick(en, now);
	refresh_tick(en, now);
	edge_lease_tick(en, now);
	flt_expire(&en->fleet, now, log_gone, en);
}
