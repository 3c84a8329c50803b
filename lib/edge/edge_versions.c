/*
 * The record of the versions that may have begun streams (vrs.h): keeps it in the
 * store, and withholds new streams from endpoints whose version is not recorded.
 */
#include <string.h>

#include "edge/edge_internal.h"

/* Interval at which the record is compared with the list of endpoints. */
#define PLAN_INTERVAL_MS 1000

/*
 * The entry of watch rank 0 writes the record at once; the next ones if it is still
 * missing a version after this time for each rank.
 */
#define WRITE_DELAY_PER_RANK_MS 500

/* Delay after a write that failed; another entry may have written meanwhile. */
#define WRITE_RETRY_MS 200

/*
 * Only a list that is followed proves that a version is no longer listed. Longer than
 * the store holds a watch, and less than VRS_RETIRE_MS.
 */
#define MAX_LIST_AGE_MS 4000

/* ---- The record as read ---- */

void edge_versions_endpoint_listed(struct edge *en, struct flt_endpoint *e)
{
	e->no_new_streams = !vrs_is_serving(&en->versions, vrs_origin_of(e));
	if (e->no_new_streams)
		en->record.next_plan_ms = edge_now(en);
}

/* Streams of all recorded versions may come to be continued. */
static void note_recorded(struct edge *en, int64_t now)
{
	unsigned i;

	for (i = 0; i < en->versions.nr_rows; i++)
		bnd_listed(&en->bindings, en->versions.rows[i].origin, now);
}

static void adopt(struct edge *en, const struct vrs *read, bool restored,
		  int64_t version)
{
	const int64_t now = edge_now(en);
	struct flt_endpoint *e;

	vrs_adopt(&en->versions, read, restored, now);
	en->record.version = version;
	note_recorded(en, now);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		edge_versions_endpoint_listed(en, e);
}

void edge_versions_record_seen(struct edge *en, const char *value, size_t len,
			       int64_t version)
{
	const bool restored = ver_era(version) != ver_era(en->record.version) &&
			      en->record.version;
	struct vrs read;

	if (vrs_decode(value, len, &read)) {
		adopt(en, &read, restored, version);
		return;
	}
	/* Written again with what this entry knows. */
	edge_log_unreadable(en, EDGE_VERSIONS_KEY, "not a record of versions");
	adopt(en, &read, true, version);
}

void edge_versions_record_deleted(struct edge *en)
{
	static const struct vrs none;

	adopt(en, &none, true, 0);
}

unsigned edge_versions_count_withheld(const struct edge *en)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += e->no_new_streams;
	return n;
}

bool edge_versions_withholds(const struct edge *en, const char *service)
{
	const struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (e->no_new_streams && !strcmp(e->info.service, service))
			return true;
	}
	return false;
}

/* ---- Writing ---- */

static void log_written(struct edge *en, const struct vrs *v)
{
	unsigned i;

	for (i = 0; i < v->nr_rows; i++) {
		jlog_begin(en->log, JLOG_INFO, "version_recorded");
		jlog_str(en->log, "service", v->rows[i].service);
		jlog_str(en->log, "version", v->rows[i].version);
		jlog_bool(en->log, "retired", v->rows[i].retired);
		jlog_end(en->log);
	}
}

static void on_written(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;

	en->record.in_flight = false;
	if (a->outcome != STO_OK) {
		en->record.next_write_ms = edge_now(en) + WRITE_RETRY_MS;
		return;
	}
	log_written(en, &en->record.next);
	/* The watch may have shown a later record. */
	if (a->revision > en->record.version)
		adopt(en, &en->record.next, false, a->revision);
}

static void write_record(struct edge *en)
{
	BUF_AUTO value = BUF_INIT;
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };

	vrs_encode(&en->record.next, &value);
	c.conditions[0] =
		(struct sto_condition){ EDGE_VERSIONS_KEY, en->record.version };
	c.rows[0] =
		(struct sto_row){ EDGE_VERSIONS_KEY, value.data, value.len, 0 };
	en->record.in_flight = true;
	met_inc(en->m.version_writes);
	sto_call(en->store, &c, on_written, en);
}

/* The versions of the listed endpoints, each of them once. */
static void collect_listed(const struct edge *en, struct vrs *out)
{
	const struct flt_endpoint *e;
	struct vrs_row *row;

	out->nr_rows = 0;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (out->nr_rows == VRS_MAX_ROWS)
			return;
		if (e->missing_since_ms || vrs_find(out, vrs_origin_of(e)))
			continue;
		row = &out->rows[out->nr_rows++];
		memset(row, 0, sizeof(*row));
		str_copy(row->service, e->info.service, sizeof(row->service));
		str_copy(row->version, e->info.version, sizeof(row->version));
		row->origin = vrs_origin_of(e);
	}
}

static bool is_followed(const struct edge *en, enum edge_watch_id id,
			int64_t now)
{
	return now - en->watches[id].complete_ms <= MAX_LIST_AGE_MS;
}

/* The times of unlisted versions count only while the lists are followed. */
static bool list_is_current(struct edge *en, int64_t now)
{
	if (is_followed(en, EDGE_WATCH_ENDPOINTS, now) &&
	    is_followed(en, EDGE_WATCH_SYSTEM, now) &&
	    en->record.stall_ms == en->stalled_ms &&
	    en->record.era == sto_era(en->store))
		return true;
	en->record.stall_ms = en->stalled_ms;
	en->record.era = sto_era(en->store);
	vrs_restart_times(&en->versions, now);
	return false;
}

void edge_versions_tick(struct edge *en, int64_t now)
{
	struct vrs listed;
	int rank;

	if (now < en->record.next_plan_ms || en->record.in_flight ||
	    !en->watches[EDGE_WATCH_ENDPOINTS].mirror.complete ||
	    !en->watches[EDGE_WATCH_SYSTEM].mirror.complete)
		return;
	en->record.next_plan_ms = now + PLAN_INTERVAL_MS;
	note_recorded(en, now);
	rank = ovl_watch_rank(&en->ovl, &en->prs, now);
	if (rank < 0 || en->stopping) {
		vrs_restart_times(&en->versions, now);
		return;
	}
	collect_listed(en, &listed);
	if (!vrs_plan(&en->versions, listed.rows, listed.nr_rows,
		      list_is_current(en, now), now, &en->record.next)) {
		en->record.differs_ms = 0;
		return;
	}
	/* Compared again in the next tick, until it is written. */
	en->record.next_plan_ms = now;
	if (!en->record.differs_ms)
		en->record.differs_ms = now;
	if (now >= en->record.next_write_ms &&
	    now - en->record.differs_ms >= rank * WRITE_DELAY_PER_RANK_MS)
		write_record(en);
}
