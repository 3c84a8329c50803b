/* The configuration: reading it, and confirming that it is the newest. */
#include "edge/edge_internal.h"

/* ---- Versions ---- */

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

/*
 * The last good version stays in force if this one cannot be read. Returns
 * true if this one is in force.
 */
static bool take_config(struct edge *en, const struct sto_item *it,
			int64_t asked_ms)
{
	struct err e = ERR_INIT;
	struct cfg *c = en->wire->config(it->value, it->len, &e);
	/* Nobody named it yet, and it is not our first one: others lack it. */
	const bool news = c && en->force.cfg && c->version > en->force.wanted;

	if (!c) {
		edge_unreadable(en, en->wire->config_key, e.text);
		return false;
	}
	if (force_offer(&en->force, c, asked_ms))
		log_config(en, en->force.cfg, it->revision);
	if (news)
		edge_peer_tell_all(en, edge_now(en));
	return true;
}

/* ---- Calls ---- */

static void failed(struct edge *en)
{
	met_inc(en->m.store_failures);
	vfy_failed(&en->vfy);
	edge_req_verified(en);
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

static void on_read(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const struct sto_item *it = find_config(en, a);

	if (a->outcome != STO_OK || !it) {
		failed(en);
		return;
	}
	vfy_brought(&en->vfy, a->revision, take_config(en, it, a->asked_ms),
		    edge_now(en));
	edge_req_verified(en);
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

	if (a->outcome == STO_HISTORY_LOST) {
		vfy_history_lost(&en->vfy);
		edge_config_tick(en, edge_now(en));
		return;
	}
	if (a->outcome != STO_OK) {
		failed(en);
		return;
	}
	if (it)
		vfy_brought(&en->vfy, a->revision,
			    take_config(en, it, a->asked_ms), edge_now(en));
	else
		confirm(en, vfy_unchanged(&en->vfy, a->revision, edge_now(en)));
	edge_req_verified(en);
}

void edge_config_tick(struct edge *en, int64_t now)
{
	const struct vfy_state s = {
		.place = en->watch_place,
		.age_ms = force_age(&en->force, now),
		.behind = force_behind(&en->force),
		.wanted = !cds_list_empty(&en->verifying),
		.spread = en->source,
	};
	struct sto_call c = { .key = en->wire->config_key,
			      .revision = en->vfy.revision };
	const enum vfy_call call = vfy_next(&en->vfy, &s, now, &c.wait_ms);

	if (call == VFY_NONE)
		return;
	c.kind = call == VFY_READ ? STO_GET : STO_WATCH;
	met_inc(en->m.refreshes);
	met_inc(en->m.store_calls);
	sto_call(en->store, &c, call == VFY_READ ? on_read : on_changes, en);
}
