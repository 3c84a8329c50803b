/*
 * The configuration in force: reads it from the store or from another entry
 * (the leader, see edge_watch.c), and confirms by calls to the store that it is
 * the newest version (vfy.h).
 */
#include "base/zip.h"
#include "edge/edge_internal.h"

/*
 * How long the leader may wait for a version that it does not have yet, and the
 * margin for its answer. Both count against the time in which a change must be
 * in force.
 */
#define PEER_WAIT_MS 200
#define PEER_MARGIN_MS 200

/*
 * In a large fleet, a leader sends a version to thirty followers: both are then
 * this part of bounds.apply_ms.
 */
#define PEER_WAIT_DIVISOR 10

/* ---- Versions ---- */

static void log_config(struct edge *en, const struct cfg *c, int64_t revision)
{
	en->config_since_ms = edge_now(en);
	met_set(en->m.config_version, c->version);
	jlog_begin(en->log, JLOG_INFO, "config_in_force");
	jlog_int(en->log, "config", c->version);
	jlog_int(en->log, "revision", revision);
	jlog_int(en->log, "routes", (int64_t)c->nr_routes);
	jlog_int(en->log, "accounts", (int64_t)c->nr_accounts);
	jlog_int(en->log, "keys", (int64_t)c->nr_keys);
	jlog_end(en->log);
	edge_memory_check_config(en, c);
}

/*
 * Puts a version into force. The last good version stays in force if the new
 * one cannot be decoded, or is older since the store was restored from an older
 * copy. `at_ms`: when the version was the newest; 0: not known. Returns true if
 * the version of `it` is in force.
 */
static bool apply_config(struct edge *en, const struct sto_item *it,
			 int64_t at_ms)
{
	struct err e = ERR_INIT;
	struct cfg *c = en->wire->decode_config(it->value, it->len, &e);
	/*
	 * Other entries may lack a version that none of them announced. The
	 * first version after the start is not announced.
	 */
	const bool announce = c && en->force.cfg &&
			      c->version > en->force.newest_known_version;
	int64_t version;

	if (!c) {
		edge_log_unreadable(en, en->wire->config_key, e.text);
		return false;
	}
	version = c->version;
	if (force_offer(&en->force, c, at_ms))
		log_config(en, en->force.cfg, it->revision);
	if (announce)
		edge_gossip_broadcast(en, edge_now(en));
	return en->force.cfg->version == version;
}

/* ---- Calls ---- */

static void check_failed(struct edge *en)
{
	met_inc(en->m.store_failures);
	vfy_failed(&en->vfy);
	edge_req_resume_waiting(en);
}

static const struct sto_item *find_config(const struct edge *en,
					  const struct sto_answer *a)
{
	size_t i;

	for (i = a->nr_items; i-- > 0;) {
		if (a->items[i].value &&
		    !strcmp(a->items[i].key, en->wire->config_key))
			return &a->items[i];
	}
	return NULL;
}

/*
 * Keeps the configuration for followers, in the form of a watch's answer. If it
 * is larger than edge_max_body(), each follower reads it from the store.
 */
static void keep_copy(struct edge *en, const struct sto_answer *a,
		      bool from_watch)
{
	const bool packed = zip_is_packed(a->raw, a->raw_len);
	BUF_AUTO body = BUF_INIT;

	buf_reset(&en->config_copy.body);
	en->config_copy.version = en->force.cfg->version;
	en->config_copy.era = a->era;
	if (from_watch)
		buf_add(&body, a->raw, a->raw_len);
	else
		buf_fmt(&body, "{\"events\":[%s],\"currentRev\":%lld}", a->raw,
			(long long)ver_revision(a->revision));
	if (packed || !zip_pack(body.data, body.len, &en->config_copy.body))
		buf_add(&en->config_copy.body, body.data, body.len);
	if (en->config_copy.body.len > edge_max_body(en))
		buf_free(&en->config_copy.body);
	edge_serve_followers(en, edge_now(en));
}

/*
 * Handles a received version. `at_ms`: as for apply_config. `from_watch`: `a`
 * has the form of a watch's answer.
 */
static void config_received(struct edge *en, const struct sto_answer *a,
			    const struct sto_item *it, int64_t at_ms,
			    bool from_watch)
{
	const bool in_force = apply_config(en, it, at_ms);

	if (in_force)
		keep_copy(en, a, from_watch);
	vfy_received_version(&en->vfy, a->revision, in_force, edge_now(en));
}

static void on_read(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const struct sto_item *it = find_config(en, a);

	if (a->outcome == STO_ABSENT) {
		vfy_absent(&en->vfy);
		edge_req_resume_waiting(en);
		return;
	}
	/*
	 * The store may have just been restored, with a version older than the
	 * one that the other entries have in force. An entry without any
	 * version cannot tell, so it waits until the era has settled.
	 */
	if (a->outcome != STO_OK || !it ||
	    (!en->force.cfg && !edge_era_settled(en, edge_now(en)))) {
		check_failed(en);
		return;
	}
	config_received(en, a, it, a->asked_ms, false);
	edge_req_resume_waiting(en);
}

static void confirm(struct edge *en, int64_t at_ms)
{
	if (at_ms)
		force_confirm(&en->force, en->force.cfg->version, at_ms);
}

static void on_changes(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const struct sto_item *it = find_config(en, a);

	/* An answer to a revision of an earlier era proves nothing. */
	if (a->outcome == STO_HISTORY_LOST ||
	    (a->outcome == STO_OK && ver_era(en->vfy.revision) != a->era)) {
		vfy_history_lost(&en->vfy);
		edge_config_tick(en, edge_now(en));
		return;
	}
	if (a->outcome != STO_OK) {
		check_failed(en);
		return;
	}
	if (it)
		config_received(en, a, it, vfy_as_of_ms(&en->vfy), true);
	else
		confirm(en, vfy_unchanged(&en->vfy, a->revision, edge_now(en)));
	/* Leaves receive the confirmation over one entry more. */
	if (!it && en->watch_rank == 0 && !en->ovl.mesh)
		edge_gossip_broadcast(en, edge_now(en));
	edge_req_resume_waiting(en);
}

/* ---- Versions from another entry ---- */

static void on_peer_config(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const struct sto_item *it = find_config(en, a);

	if (a->outcome == STO_OK && it)
		config_received(en, a, it, 0, true);
	else
		vfy_peer_failed(&en->vfy);
	edge_config_tick(en, edge_now(en));
}

static void fetch_from_peer(struct edge *en, const struct prs_peer *p)
{
	const int part = (int)en->conf->bounds.apply_ms / PEER_WAIT_DIVISOR;
	const bool longer = !en->ovl.mesh && part > PEER_WAIT_MS;

	sto_follow(en->store, EDGE_CONFIG_LANE, &p->addr,
		   en->force.newest_known_version, longer ? part : PEER_WAIT_MS,
		   longer ? part : PEER_MARGIN_MS, on_peer_config, en);
}

/*
 * A leaf that starts waits this long for its hubs to announce the configuration
 * before it reads it from the store. At the first start of the system there is
 * none for a while.
 */
#define ANNOUNCEMENT_WAIT_MS 1500
#define FIRST_ANNOUNCEMENT_WAIT_MS 20000

static bool awaits_announcement(const struct edge *en, int64_t now)
{
	const int64_t wait = en->conf->first_start ? FIRST_ANNOUNCEMENT_WAIT_MS
						   : ANNOUNCEMENT_WAIT_MS;

	return !en->force.cfg && !en->ovl.mesh && !en->ovl.hub &&
	       now - en->start_ms < wait;
}

void edge_config_tick(struct edge *en, int64_t now)
{
	const struct prs_peer *leader =
		force_behind(&en->force) ? ovl_leader(&en->ovl, &en->prs, now)
					 : NULL;
	const struct vfy_input s = {
		.watcher_rank = en->watch_rank,
		.age_ms = force_age(&en->force, now),
		.behind = force_behind(&en->force),
		.request_waiting = !cds_list_empty(&en->awaiting_config),
		.awaits_announcement = awaits_announcement(en, now),
		.announced_version = en->force.newest_known_version,
		.has_followed_entry = leader != NULL,
		.relay_ms = en->ovl.core ? 0 : OVL_SEND_INTERVAL_MS,
		.jitter_seed = en->source,
	};
	struct sto_call c = { .key = en->wire->config_key,
			      .revision = en->vfy.revision };
	enum vfy_call call;

	/* The system keys show whether the store has just been restored. */
	if (!en->force.cfg && !en->watches[EDGE_WATCH_SYSTEM].mirror.complete)
		return;
	call = vfy_next(&en->vfy, &s, now, &c.wait_ms);
	if (call == VFY_NONE)
		return;
	if (call == VFY_PEER) {
		fetch_from_peer(en, leader);
		return;
	}
	c.kind = call == VFY_READ ? STO_GET : STO_WATCH;
	met_inc(en->m.config_checks);
	sto_call(en->store, &c, call == VFY_READ ? on_read : on_changes, en);
}
