/*
 * Detection of a store that was restored from an older copy: later writes are
 * lost, and what this entry read before may differ from the store's content.
 *
 * A restore shows as a new era in the store's answers, or in gossip. An entry
 * that starts soon after cannot detect it by either, so the era and its begin
 * are also recorded in the store (EDGE_ERA_KEY).
 */
#include <stdio.h>
#include <string.h>

#include "base/jsn.h"
#include "edge/edge_internal.h"

/*
 * Operators and endpoints repeat their lost writes within about 2 s. Until
 * then, no answer of the store proves which configuration is the newest.
 */
#define SETTLE_MS 2500

/* Share of the store's writes per second that all entries together may use. */
#define WRITE_SHARE 0.5

/* Writes to register again: a lease, and the key that is bound to it. */
#define WRITES_PER_ENTRY 2

/*
 * The entry of watch rank 0 writes the record, and again after this time until
 * its watch has shown it.
 */
#define RECORD_RETRY_MS 1000

/* The clocks of two entries differ by less. */
#define MAX_AHEAD_MS 60000

/*
 * Random delay before this entry registers again, so that all entries together
 * stay within their share of the store's writes.
 */
static int64_t random_delay_ms(struct edge *en, int64_t now)
{
	const double per_s = (double)en->conf->store.writes_per_s * WRITE_SHARE;
	const double writes =
		WRITES_PER_ENTRY * prs_count_running(&en->prs, now);

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
	jlog_bool(en->log, "duty", en->lead.is_holder);
	jlog_end(en->log);
	en->era.detected_ms = now;
	en->era.began_true_ms = walltime_now(&en->walltime, now);
	force_reject_confirmations(&en->force, now + SETTLE_MS);
	en->vfy.revision = 0;
	lead_on_store_restored(&en->lead, (int64_t)en->conf->bounds.lease_ms,
			       now);
	edge_lease_invalidate(en, now + random_delay_ms(en, now));
	edge_bind_log_restored(en);
}

void edge_era_open(struct edge *en)
{
	sto_set_on_restore(en->store, on_restored, en);
}

bool edge_era_settled(const struct edge *en, int64_t now)
{
	if (!sto_era(en->store))
		return true;
	return en->era.record_read && walltime_now(&en->walltime, now) >=
					      en->era.began_true_ms + SETTLE_MS;
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
	sto_call(en->store, &c, sto_ignore_answer, NULL);
}

void edge_era_record_seen(struct edge *en, const char *value, size_t len,
			  int64_t version)
{
	JSN_AUTO *o = jsn_parse(value, len);
	const int64_t at_ms = jsn_int(o, "at_ms", -1);

	en->era.record_version = version;
	en->era.recorded_era = 0;
	/* Without its begin, the era is recorded again. */
	if (at_ms < 0 ||
	    at_ms > walltime_now(&en->walltime, edge_now(en)) + MAX_AHEAD_MS) {
		edge_log_unreadable(en, EDGE_ERA_KEY, "not a record of an era");
		return;
	}
	en->era.recorded_era = jsn_int(o, "era", 0);
	/* The entry that wrote it detected the restore earlier. */
	if (en->era.recorded_era == sto_era(en->store))
		en->era.began_true_ms = at_ms;
}

void edge_era_record_deleted(struct edge *en)
{
	en->era.record_version = 0;
	en->era.recorded_era = 0;
}

/*
 * The system keys were read for the first time. If this era is not recorded, it
 * may have begun just now; except at the very first start, when there is no
 * earlier state to lose.
 */
static void on_first_read(struct edge *en, int64_t now)
{
	en->era.record_read = true;
	if (en->era.recorded_era == sto_era(en->store) || en->era.began_true_ms)
		return;
	if (!en->conf->first_start)
		en->era.began_true_ms = walltime_now(&en->walltime, now);
}

void edge_era_tick(struct edge *en, int64_t now)
{
	const struct edge_watch *system_watch = &en->watches[EDGE_WATCH_SYSTEM];

	if (!system_watch->mirror.complete || !sto_era(en->store))
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
