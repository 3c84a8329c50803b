/*
 * Quarantine of poison requests: reports crashes and answers to the detection
 * (fatal.h), withholds suspects, and shares what is known by gossip and by
 * records in the store.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "base/jsn.h"
#include "edge/edge_internal.h"

/* Retry-After of a quarantined request. */
#define QUARANTINE_RETRY_MS 60000

/*
 * Retry-After while a suspect is in flight, or its last crashes settle: more is
 * known by then.
 */
#define BUSY_RETRY_MS 300

/* Delay that batches gossip of crashes; minimum time between broadcasts. */
#define GOSSIP_DELAY_MS 2
#define MIN_GOSSIP_GAP_MS 50

/*
 * Interval at which writing or deleting a record is retried; and the delay
 * after which the entry of watch rank 0 writes a record in place of the entry
 * that saw the crash.
 */
#define RECORD_RETRY_MS 1000
#define RECORD_FALLBACK_MS 3000

/* Maximum number of quarantine records in the store. */
#define MAX_RECORDS 256

/* Interval at which old suspects are removed. */
#define EXPIRY_INTERVAL_MS 1000

/* ---- Log ---- */

/* Adds the fields by which requests with the feature, and its record, are found. */
static void log_feature(struct edge *en, enum fatal_kind kind,
			struct hsh128 key, const char *name)
{
	static const char *const kinds[] = {
		[FATAL_CONTENT] = "content",
		[FATAL_PART] = "part",
		[FATAL_NR_KINDS] = "unknown",
	};
	char digits[33];

	hsh128_hex(key, digits);
	jlog_str(en->log, "kind", kinds[kind]);
	/* `content` is also in the lines of the requests. */
	jlog_str(en->log, kind == FATAL_CONTENT ? "content" : "feature",
		 digits);
	if (kind == FATAL_PART)
		jlog_str(en->log, "part", name);
}

static void log_suspect(struct edge *en, const struct fatal_row *row,
			enum jlog_level level, const char *what,
			const char *endpoint)
{
	jlog_begin(en->log, level, "request_suspect");
	log_feature(en, row->kind, row->key, row->name);
	jlog_str(en->log, "change", what);
	jlog_str(en->log, "endpoint", endpoint);
	jlog_int(en->log, "ends", fatal_crash_count(row));
	jlog_str(en->log, "route", row->route);
	jlog_str(en->log, "account", row->account);
	jlog_bool(en->log, "recorded", row->recorded_wall_ms != 0);
	jlog_end(en->log);
}

/* ---- Gossip timer ---- */

static void on_gossip_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge *en = t->data;

	(void)revents;
	ev_timer_stop(loop, t);
	en->fatal_gossip_ms = edge_now(en);
	edge_gossip_broadcast(en, en->fatal_gossip_ms);
}

/* Schedules a broadcast, which includes all changes until then. */
static void gossip_soon(struct edge *en)
{
	int64_t wait = en->fatal_gossip_ms + MIN_GOSSIP_GAP_MS - edge_now(en);

	if (ev_is_active(&en->fatal_gossip_timer))
		return;
	if (wait < GOSSIP_DELAY_MS)
		wait = GOSSIP_DELAY_MS;
	ev_timer_set(&en->fatal_gossip_timer, (double)wait / 1000, 0);
	ev_timer_start(en->loop, &en->fatal_gossip_timer);
}

/* ---- Changes of suspicion ---- */

static void count_change(struct edge *en, const struct fatal_row *row,
			 enum fatal_change change)
{
	const struct edge_suspect_metrics *m =
		&en->m.suspects[row->kind == FATAL_PART];

	if (change == FATAL_SUSPECTED)
		met_inc(m->suspected);
	if (change == FATAL_CONVICTED)
		met_inc(m->convicted);
	if (change == FATAL_CLEARED)
		met_inc(m->cleared);
}

static void on_changed(void *arg, const struct fatal_row *row,
		       enum fatal_change change, uint64_t endpoint)
{
	static const char *const changes[] = {
		[FATAL_SUSPECTED] = "suspected",
		[FATAL_CONVICTED] = "convicted",
		[FATAL_CRASHED_AGAIN] = "ended another",
		[FATAL_EXPLAINED] = "explained",
		[FATAL_CLEARED] = "cleared",
	};
	struct edge *en = arg;
	const struct flt_endpoint *e = flt_find_by_hash(&en->fleet, endpoint);

	/*
	 * Convictions, and crashes that this entry saw, are warnings. Other
	 * changes are logged by the entry that saw them.
	 */
	log_suspect(en, row,
		    endpoint || change == FATAL_CONVICTED ? JLOG_WARN
		    : en->fatal_from_others		  ? JLOG_DEBUG
							  : JLOG_INFO,
		    changes[change], e ? e->info.id : "");
	count_change(en, row, change);
	if (change == FATAL_CONVICTED) {
		/* This entry saw the crash, so it writes the record. */
		if (endpoint)
			fatal_find(&en->fatal, row->key)->store_next_ms =
				edge_now(en);
	}
	/*
	 * Only the entry that saw a crash broadcasts it. If receivers did as
	 * well, one crash would cost a datagram for each pair of entries.
	 */
	if (!en->fatal_from_others)
		gossip_soon(en);
}

static uint64_t on_running_at(void *arg, struct hsh128 key)
{
	const struct edge *en = arg;
	const struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->endpoint && fatal_has_feature(&r->fatal, key))
			return r->endpoint->hash;
	}
	return 0;
}

static const struct fatal_vtable fatal_callbacks = { on_changed,
						     on_running_at };

/* ---- Gossip ---- */

void edge_fatal_fill_gossip(struct edge *en, struct gsp_record *out,
			    int64_t now)
{
	out->nr_fatal = fatal_collect_gossip(&en->fatal, out->fatal,
					     FATAL_MAX_GOSSIP,
					     &en->nr_fatal_news, now);
}

void edge_fatal_apply_gossip(struct edge *en, const struct gsp_record *r,
			     int64_t now)
{
	if (!r->nr_fatal)
		return;
	en->fatal_from_others = true;
	fatal_merge_gossip(&en->fatal, edge_source(r->name, r->boot), r->fatal,
			   r->nr_fatal, now);
	en->fatal_from_others = false;
	edge_fatal_mark_endpoints(en);
}

/* ---- Endpoints that run suspects ---- */

static void add_suspect(struct edge *en, uint64_t endpoint)
{
	struct flt_endpoint *e = flt_find_by_hash(&en->fleet, endpoint);

	if (e)
		e->suspect_runs++;
}

void edge_fatal_mark_endpoints(struct edge *en)
{
	const struct fatal_row *row;
	struct flt_endpoint *e;
	unsigned i;

	if (!en->fatal.count && !en->fatal_marked)
		return;
	en->fatal_marked = en->fatal.count > 0;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		e->suspect_runs = 0;
	cds_list_for_each_entry(row, &en->fatal.rows, node) {
		if (!fatal_is_strong(row))
			continue;
		add_suspect(en, on_running_at(en, row->key));
		for (i = 0; i < row->nr_runs; i++)
			add_suspect(en, row->runs[i].endpoint);
	}
}

/* ---- Before a send ---- */

/* Ends a request instead of sending it (again); 503 if it never ran. */
static void give_up(struct edge_req *r, const char *why, int64_t retry_ms)
{
	const bool ran = r->rq.runs || r->rq.started;
	const enum rq_step step = rq_no_endpoint(&r->rq);

	met_inc(r->en->m.requests_withheld);
	if (ran)
		edge_step(r, step, why);
	else
		edge_req_answer(r, 503, why, retry_ms);
}

/* Says what crashes the endpoints, as the caller wrote it. */
static void quarantine(struct edge_req *r, const struct fatal_feature *x)
{
	char why[80];

	jlog_begin(r->en->log, JLOG_INFO, "request_quarantined");
	jlog_str(r->en->log, "id", r->attempt.id);
	log_feature(r->en, x->kind, x->key, x->name);
	jlog_end(r->en->log);
	if (x->kind == FATAL_PART)
		snprintf(why, sizeof(why),
			 "part %s of the prompt crashes endpoints", x->name);
	else
		str_copy(why, "ends the endpoints that run it", sizeof(why));
	give_up(r, why, QUARANTINE_RETRY_MS);
}

bool edge_fatal_may_send(struct edge_req *r)
{
	struct edge *en = r->en;
	const struct fatal_feature *x;

	r->isolated = false;
	switch (fatal_check_send(&en->fatal, &r->fatal, &x, edge_now(en))) {
	case FATAL_SEND:
		return true;
	case FATAL_ISOLATE:
		r->isolated = true;
		return true;
	case FATAL_WAIT:
		r->parked = true;
		cds_list_add_tail(&r->wait_node, &en->parked);
		return false;
	case FATAL_BUSY:
		give_up(r, "suspected of crashing endpoints, not sent for now",
			BUSY_RETRY_MS);
		return false;
	case FATAL_QUARANTINED:
		quarantine(r, x);
		return false;
	}
	return true;
}

static enum fatal_verdict check(const struct edge_req *r)
{
	const struct fatal_feature *x;

	return fatal_check_send(&r->en->fatal, &r->fatal, &x, edge_now(r->en));
}

bool edge_fatal_is_quarantined(const struct edge_req *r)
{
	return check(r) == FATAL_QUARANTINED;
}

bool edge_fatal_is_suspect(const struct edge_req *r)
{
	return check(r) != FATAL_SEND;
}

/* A probe ended: sends the requests that were waiting for its result. */
static void release_parked(struct edge *en)
{
	struct edge_req *r, *next;
	CDS_LIST_HEAD(all);

	cds_list_splice(&en->parked, &all);
	CDS_INIT_LIST_HEAD(&en->parked);
	cds_list_for_each_entry_safe(r, next, &all, wait_node) {
		cds_list_del(&r->wait_node);
		r->parked = false;
		edge_send(r);
	}
}

/* ---- After a send ---- */

void edge_fatal_send_broken(struct edge_req *r)
{
	struct edge *en = r->en;
	struct flt_endpoint *e = r->endpoint;
	const int64_t now = edge_now(en);

	/* The endpoint left as announced: no request is suspected. */
	if (flt_leaving_ms(e, now) >= 0 && !e->exited)
		return;
	fatal_send_broke(&en->fatal, &r->fatal, e->hash, now - r->sent_ms,
			 !e->exited && edge_probe(en, e), now);
	if (e->exited)
		fatal_endpoint_crashed(&en->fatal, e->hash, now);
}

void edge_fatal_probed(struct edge *en, struct flt_endpoint *e,
		       enum htc_probe_result found)
{
	const int64_t now = edge_now(en);

	switch (found) {
	case HTC_PROBE_CONNECTED:
		fatal_endpoint_alive(&en->fatal, e->hash);
		break;
	case HTC_PROBE_REFUSED:
		met_inc(en->m.endpoints_ended);
		flt_mark_exited(e, now);
		fatal_endpoint_crashed(&en->fatal, e->hash, now);
		break;
	case HTC_PROBE_UNKNOWN:
		fatal_endpoint_silent(&en->fatal, e->hash);
		break;
	}
	edge_fatal_mark_endpoints(en);
	release_parked(en);
}

void edge_fatal_endpoint_gone(struct edge *en, const struct flt_endpoint *e)
{
	if (!e->draining_since_ms)
		fatal_endpoint_crashed(&en->fatal, e->hash, edge_now(en));
}

void edge_fatal_answered(struct edge_req *r)
{
	fatal_answer_complete(&r->en->fatal, &r->fatal, edge_now(r->en));
}

static bool is_strong_suspect(const struct edge_req *r)
{
	const struct fatal_row *row;
	unsigned i;

	for (i = 0; i < r->fatal.nr_features; i++) {
		row = fatal_find(&r->en->fatal, r->fatal.features[i].key);
		if (row && fatal_is_strong(row))
			return true;
	}
	return false;
}

/* Other entries delay a strong suspect, and avoid its endpoint. */
static void share_runs(struct edge_req *r)
{
	if (!r->isolated)
		return;
	edge_fatal_mark_endpoints(r->en);
	if (is_strong_suspect(r))
		gossip_soon(r->en);
}

void edge_fatal_sent(struct edge_req *r)
{
	fatal_note_sent(&r->en->fatal, &r->fatal, edge_now(r->en));
	share_runs(r);
}

void edge_fatal_stopped(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);

	fatal_add_run_time(&r->en->fatal, now - r->sent_ms, now);
	/* Other entries may wait for the end of the send. */
	share_runs(r);
}

/* ---- Records in the store ---- */

static void record_key(const struct fatal_row *row, char *out, size_t size)
{
	char digits[33];

	hsh128_hex(row->key, digits);
	snprintf(out, size, "%s%s", EDGE_FATAL_PREFIX, digits);
}

static void write_record(struct edge *en, const struct fatal_row *row,
			 int64_t now)
{
	char key[sizeof(EDGE_FATAL_PREFIX) + 33];
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };
	BUF_AUTO value = BUF_INIT;

	record_key(row, key, sizeof(key));
	buf_str(&value, "{\"route\":");
	buf_json(&value, row->route);
	buf_str(&value, ",\"account\":");
	buf_json(&value, row->account);
	if (row->kind == FATAL_PART) {
		buf_str(&value, ",\"part\":");
		buf_json(&value, row->name);
	}
	buf_fmt(&value, ",\"ends\":%u,\"at_ms\":%lld}", fatal_crash_count(row),
		(long long)walltime_now(&en->walltime, now));
	c.conditions[0] = (struct sto_condition){ key, 0 };
	c.rows[0] = (struct sto_row){ key, value.data, value.len, 0 };
	sto_call(en->store, &c, sto_ignore_answer, NULL);
}

static void delete_record(struct edge *en, const struct fatal_row *row)
{
	char key[sizeof(EDGE_FATAL_PREFIX) + 33];
	struct sto_call c = { .kind = STO_WRITE, .nr_rows = 1 };

	record_key(row, key, sizeof(key));
	c.rows[0] = (struct sto_row){ .key = key };
	sto_call(en->store, &c, sto_ignore_answer, NULL);
}

/*
 * True if this entry should write the record now: it convicted the request, or
 * has watch rank 0 and the record is missing or was lost.
 */
static bool should_write(const struct edge *en, const struct fatal_row *row,
			 int64_t now)
{
	if (!fatal_is_convicted(&en->fatal, row, now) ||
	    (row->recorded_wall_ms && !row->record_lost))
		return false;
	if (row->record_lost)
		return en->watch_rank == 0 && now >= row->store_next_ms;
	if (row->store_next_ms)
		return now >= row->store_next_ms;
	return en->watch_rank == 0 &&
	       now - row->changed_ms > RECORD_FALLBACK_MS;
}

/* Writes missing records, and deletes those older than FATAL_KEEP_MS. */
static void maintain_records(struct edge *en, int64_t now)
{
	const int64_t true_now = walltime_now(&en->walltime, now);
	struct fatal_row *row;
	unsigned recorded = 0;

	cds_list_for_each_entry(row, &en->fatal.rows, node) {
		recorded += row->recorded_wall_ms != 0;
		if (should_write(en, row, now) && recorded < MAX_RECORDS) {
			row->store_next_ms = now + RECORD_RETRY_MS;
			write_record(en, row, now);
		} else if (row->recorded_wall_ms && en->watch_rank == 0 &&
			   now >= row->store_next_ms &&
			   true_now - row->recorded_wall_ms > FATAL_KEEP_MS) {
			row->store_next_ms = now + RECORD_RETRY_MS;
			delete_record(en, row);
		}
	}
}

void edge_fatal_record_seen(struct edge *en, const char *key, const char *value,
			    size_t len)
{
	JSN_AUTO *o = jsn_parse(value, len);
	struct hsh128 feature;

	if (!o || !hsh128_parse(key + strlen(EDGE_FATAL_PREFIX), &feature)) {
		edge_log_unreadable(en, key, "not a quarantine record");
		return;
	}
	en->fatal_from_others = true; /* all entries read the store */
	fatal_record_found(&en->fatal, feature, jsn_int(o, "at_ms", 0),
			   edge_now(en));
	en->fatal_from_others = false;
}

void edge_fatal_record_lost(struct edge *en, const char *key)
{
	struct hsh128 feature;

	if (hsh128_parse(key + strlen(EDGE_FATAL_PREFIX), &feature))
		fatal_record_lost(&en->fatal, feature);
}

void edge_fatal_record_deleted(struct edge *en, const char *key)
{
	struct hsh128 feature;

	if (!hsh128_parse(key + strlen(EDGE_FATAL_PREFIX), &feature))
		return;
	en->fatal_from_others = true;
	fatal_release(&en->fatal, feature, edge_now(en));
	en->fatal_from_others = false;
}

/* ---- Start and periodic work ---- */

void edge_fatal_open(struct edge *en)
{
	fatal_init(&en->fatal, &fatal_callbacks, en);
	CDS_INIT_LIST_HEAD(&en->parked);
	ev_timer_init(&en->fatal_gossip_timer, on_gossip_timer, 0, 0);
	en->fatal_gossip_timer.data = en;
}

void edge_fatal_tick(struct edge *en, int64_t now)
{
	if (!en->fatal.count)
		return;
	maintain_records(en, now);
	if (now - en->fatal_expiry_ms < EXPIRY_INTERVAL_MS)
		return;
	en->fatal_expiry_ms = now;
	fatal_expire(&en->fatal, now);
	edge_fatal_mark_endpoints(en);
}
