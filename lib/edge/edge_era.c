/*
 * The store came back from an older copy: what was written since is gone, and
 * what this entry knows from before is no longer what the store says.
 *
 * One notices by the era in the store's answers, or hears it from other
 * entries. An entry that starts right after cannot tell from that alone, so
 * the era, and when it began, stands in the store as well.
 */
#include <stdio.h>
#include <string.h>

#include "base/jsn.h"
#include "edge/edge_internal.h"

/*
 * Operators and endpoints write again what they wrote, within some two
 * seconds; until then no answer says which configuration is the newest.
 */
#define SETTLE_MS 2500

/* Of the writes that the store bears, writes entries together take so many. */
#define WRITE_SHARE 0.5

/* Registering anew: a lease, and the key that hangs on it. */
#define WRITES_PER_ENTRY 2

/* The record is written by the entry that ranks first, again if it is not seen. */
#define RECORD_RETRY_MS 1000

static int64_t random_delay_ms(struct edge *en, int64_t now)
{
	const double per_s = (double)en->conf->store.writes_per_s * WRITE_SHARE;
	const double writes = WRITES_PER_ENTRY * prs_sharing(&en->prs, now);

	if (per_s < 1)
		return 0;
	return rnd_below(&en->rnd, (uint32_t)(writes * 1000 / per_s) + 1);
}

static void on_restored(void *arg, int64_t from, int64_t to)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	met_inc(en->m.store_returns);
	jlog_begin(en->log, JLOG_WARN, "store_era");
	jlog_int(en->log, "from", from);
	jlog_int(en->log, "era", to);
	jlog_int(en->log, "config", en->force.cfg ? en->force.cfg->version : 0);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, now));
	jlog_int(en->log, "endpoints", (int64_t)en->fleet.count);
	jlog_bool(en->log, "duty", en->lead.mine);
	jlog_end(en->log);
	en->era.detected_ms = now;
	en->era.began_true_ms = truth_now(&en->truth, now);
	force_doubt(&en->force, now + SETTLE_MS);
	en->vfy.revision = 0;
	lead_returned(&en->lead, (int64_t)en->conf->bounds.lease_ms, now);
	edge_lease_invalidate(en, now + random_delay_ms(en, now));
}

void edge_era_open(struct edge *en)
{
	sto_set_returned(en->store, on_restored, en);
}

bool edge_era_settled(const struct edge *en, int64_t now)
{
	if (!sto_era(en->store))
		return true;
	return en->era.record_read &&
	       truth_now(&en->truth, now) >= en->era.began_true_ms + SETTLE_MS;
}

/* ---- The record in the store ---- */

static void write_record(struct edge *en)
{
	char value[96];
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };

	snprintf(value, sizeof(value), "{\"era\":%lld,\"at_ms\":%lld}",
		 (long long)sto_era(en->store),
		 (long long)en->era.began_true_ms);
	c.conditions[0] =
		(struct sto_condition){ EDGE_ERA_KEY, en->era.record_version };
	c.rows[0] = (struct sto_row){ EDGE_ERA_KEY, value, strlen(value), 0 };
	sto_call(en->store, &c, sto_no_matter, NULL);
}

void edge_era_record_seen(struct edge *en, const char *value, size_t len,
			  int64_t version)
{
	JSN_AUTO *o = jsn_parse(value, len);

	if (!o) {
		edge_log_unreadable(en, EDGE_ERA_KEY, "no record of an era");
		return;
	}
	en->era.record_version = version;
	en->era.recorded_era = jsn_int(o, "era", 0);
	/* The first to note it was sooner than we. */
	if (en->era.recorded_era == sto_era(en->store))
		en->era.began_true_ms = jsn_int(o, "at_ms", 0);
}

void edge_era_record_deleted(struct edge *en)
{
	en->era.record_version = 0;
	en->era.recorded_era = 0;
}

/*
 * All keys of ours were read for the first time. If nobody has noted this era
 * yet it may have begun just now.
 */
static void on_first_read(struct edge *en, int64_t now)
{
	en->era.record_read = true;
	if (en->era.recorded_era == sto_era(en->store) || en->era.began_true_ms)
		return;
	if (!en->conf->first_start)
		en->era.began_true_ms = truth_now(&en->truth, now);
}

void edge_era_tick(struct edge *en, int64_t now)
{
	const struct edge_watch *system_watch = &en->watches[EDGE_WATCH_SYSTEM];

	if (!system_watch->mirror.whole || !sto_era(en->store))
		return;
	if (!en->era.record_read)
		on_first_read(en, now);
	if (en->era.recorded_era == sto_era(en->store) ||
	    system_watch->resyncing || en->watch_rank != 0 ||
	    now < en->era.next_write_ms)
		return;
	en->era.next_write_ms = now + RECORD_RETRY_MS;
	write_record(en);
}
