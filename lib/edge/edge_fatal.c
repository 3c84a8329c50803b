/*
 * Requests that end endpoints: what is held against a request, what is done
 * about it, and what is told and recorded of it.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "base/jsn.h"
#include "edge/edge_internal.h"

/* Retry-After of a quarantined request. */
#define NEVER_RETRY_MS 60000

/* Retry-After while the suspect runs elsewhere: its outcome is known by then. */
#define BUSY_RETRY_MS 300

/* Batching delay of gossip about crashes, and its bound in a burst. */
#define TELL_AFTER_MS 2
#define TELL_GAP_MS 50

/* Delays until a record that is not in the store is written again. */
#define RECORD_RETRY_MS 1000
#define RECORD_LATER_MS 3000

/* Quarantine records read from the store at most. */
#define MAX_RECORDS 256

#define LOOK_AFTER_MS 1000

/* ---- Lines ---- */

static void log_news(struct edge *en, const struct fatal_row *row,
		     enum jlog_level level, const char *what,
		     const char *endpoint)
{
	jlog_begin(en->log, level, "request_suspect");
	edge_log_content(en, row->content);
	jlog_str(en->log, "change", what);
	jlog_str(en->log, "endpoint", endpoint);
	jlog_int(en->log, "ends", fatal_crash_count(row));
	jlog_str(en->log, "route", row->route);
	jlog_str(en->log, "account", row->account);
	jlog_bool(en->log, "recorded", row->recorded_wall_ms != 0);
	jlog_end(en->log);
}

/* ---- Telling others ---- */

static void on_tell(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge *en = t->data;

	(void)revents;
	ev_timer_stop(loop, t);
	en->fatal_told_ms = edge_now(en);
	edge_peer_tell_all(en, en->fatal_told_ms);
}

static void tell_soon(struct edge *en)
{
	int64_t wait = en->fatal_told_ms + TELL_GAP_MS - edge_now(en);

	if (ev_is_active(&en->fatal_teller))
		return;
	if (wait < TELL_AFTER_MS)
		wait = TELL_AFTER_MS;
	ev_timer_set(&en->fatal_teller, (double)wait / 1000, 0);
	ev_timer_start(en->loop, &en->fatal_teller);
}

/* ---- News ---- */

static void on_changed(void *arg, const struct fatal_row *row,
		       enum fatal_change news, uint64_t endpoint)
{
	static const char *const words[] = {
		[FATAL_SUSPECTED] = "suspected",
		[FATAL_CONVICTED] = "convicted",
		[FATAL_CRASHED_AGAIN] = "ended another",
		[FATAL_EXPLAINED] = "explained",
		[FATAL_CLEARED] = "cleared",
	};
	struct edge *en = arg;
	const struct flt_endpoint *e = flt_by_hash(&en->fleet, endpoint);

	/* What another entry saw stands in its own log. */
	log_news(en, row,
		 endpoint || news == FATAL_CONVICTED ? JLOG_WARN : JLOG_DEBUG,
		 words[news], e ? e->info.id : "");
	if (news == FATAL_SUSPECTED)
		met_inc(en->m.suspected);
	if (news == FATAL_CONVICTED) {
		met_inc(en->m.convicted);
		/* Seen here and not heard: the record is ours to write. */
		if (endpoint)
			fatal_find(&en->fatal, row->content)->store_next_ms =
				edge_now(en);
	}
	/*
	 * Who saw it tells all. If those who hear it did so as well, one end
	 * would cost as many datagrams as there are pairs of entries.
	 */
	if (!en->fatal_hearing)
		tell_soon(en);
}

static const struct fatal_vtable vtable = { on_changed };

/* ---- What others know ---- */

/* A request of this content that is at an endpoint; NULL: there is none. */
static const struct edge_req *under_way(const struct edge *en,
					struct hsh_wide content)
{
	const struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->endpoint && hsh_wide_equal(r->content, content))
			return r;
	}
	return NULL;
}

static uint64_t run_at(void *arg, struct hsh_wide content)
{
	const struct edge_req *r = under_way(arg, content);

	return r ? r->endpoint->hash : 0;
}

void edge_fatal_say(struct edge *en, struct gsp_record *out, int64_t now)
{
	out->nr_fatal =
		fatal_collect_gossip(&en->fatal, out->fatal, FATAL_MAX_GOSSIP,
				     &en->nr_fatal_fresh, run_at, en, now);
}

void edge_fatal_hear(struct edge *en, const struct gsp_record *r, int64_t now)
{
	if (!r->nr_fatal)
		return;
	en->fatal_hearing = true;
	fatal_merge_gossip(&en->fatal, edge_source(r->name, r->boot), r->fatal,
			   r->nr_fatal, now);
	en->fatal_hearing = false;
	edge_fatal_mark(en);
}

/* ---- Endpoints where a suspect runs ---- */

static void mark(struct edge *en, uint64_t endpoint)
{
	struct flt_endpoint *e = flt_by_hash(&en->fleet, endpoint);

	if (e)
		e->suspects++;
}

void edge_fatal_mark(struct edge *en)
{
	const struct fatal_row *row;
	struct flt_endpoint *e;
	unsigned i;

	if (!en->fatal.count && !en->fatal_marked)
		return;
	en->fatal_marked = en->fatal.count > 0;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		e->suspects = 0;
	cds_list_for_each_entry(row, &en->fatal.rows, node) {
		if (fatal_crash_count(row) < FATAL_STRONG_CRASHES)
			continue;
		mark(en, run_at(en, row->content));
		for (i = 0; i < row->nr_runs; i++)
			mark(en, row->runs[i].endpoint);
	}
}

/* ---- A request is to be sent ---- */

/* What ran before is lost; if nothing did, it was not run, and will not be. */
static void give_up(struct edge_req *r, const char *why, int64_t retry_ms)
{
	const bool ran = r->rq.runs || r->rq.started;
	const enum rq_step step = rq_no_endpoint(&r->rq);

	met_inc(r->en->m.withheld);
	if (ran)
		edge_step(r, step, why);
	else
		edge_req_answer(r, 503, why, retry_ms);
}

bool edge_fatal_may_send(struct edge_req *r)
{
	struct edge *en = r->en;
	bool again;

	r->apart = false;
	/* Of nearly all nothing is known: they cost a look into a table. */
	if (!fatal_find(&en->fatal, r->content))
		return true;
	/* Not itself: it is at no endpoint before it is sent. */
	again = under_way(en, r->content) != NULL;
	switch (fatal_check_send(&en->fatal, r->content, again, edge_now(en))) {
	case FATAL_SEND:
		return true;
	case FATAL_ISOLATE:
		r->apart = true;
		return true;
	case FATAL_WAIT:
		r->parked = true;
		cds_list_add_tail(&r->wait_node, &en->parked);
		return false;
	case FATAL_BUSY:
		give_up(r, "suspected of ending endpoints, and under way",
			BUSY_RETRY_MS);
		return false;
	case FATAL_QUARANTINED:
		give_up(r, "ends the endpoints that run it", NEVER_RETRY_MS);
		return false;
	}
	return true;
}

/* An endpoint that was looked at is known: who waited for that goes on. */
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

/* ---- What became of it ---- */

void edge_fatal_broke(struct edge_req *r)
{
	struct edge *en = r->en;
	struct flt_endpoint *e = r->endpoint;
	const int64_t now = edge_now(en);
	struct fatal_row *row;

	/* An announced end takes what is left with it: nothing is to blame. */
	if (flt_leaving_for(e, now) >= 0 && !e->ended)
		return;
	row = fatal_send_broke(&en->fatal, r->content, e->hash,
			       now - r->sent_ms, !e->ended && edge_probe(en, e),
			       now);
	str_copy(row->route, r->route->name, sizeof(row->route));
	if (r->account)
		str_copy(row->account, r->account->name, sizeof(row->account));
	if (e->ended)
		fatal_endpoint_crashed(&en->fatal, e->hash, now);
}

void edge_fatal_probed(struct edge *en, struct flt_endpoint *e,
		       enum htc_found found)
{
	const int64_t now = edge_now(en);

	switch (found) {
	case HTC_THERE:
		fatal_endpoint_alive(&en->fatal, e->hash);
		break;
	case HTC_NOBODY:
		met_inc(en->m.endpoints_ended);
		flt_note_ended(e, now);
		fatal_endpoint_crashed(&en->fatal, e->hash, now);
		break;
	case HTC_SILENT:
		fatal_endpoint_silent(&en->fatal, e->hash);
		break;
	}
	edge_fatal_mark(en);
	release_parked(en);
}

void edge_fatal_gone(struct edge *en, const struct flt_endpoint *e)
{
	if (!e->drain_ms)
		fatal_endpoint_crashed(&en->fatal, e->hash, edge_now(en));
}

void edge_fatal_whole(struct edge_req *r)
{
	fatal_answer_complete(&r->en->fatal, r->content, edge_now(r->en));
}

void edge_fatal_sent(struct edge_req *r)
{
	const struct fatal_row *row;

	if (!r->apart)
		return;
	edge_fatal_mark(r->en);
	/* Others wait for a strong suspect, and keep away from where it is. */
	row = fatal_find(&r->en->fatal, r->content);
	if (row && fatal_crash_count(row) >= FATAL_STRONG_CRASHES)
		tell_soon(r->en);
}

void edge_fatal_stopped(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);

	fatal_add_run_time(&r->en->fatal, now - r->sent_ms, now);
	/* Others may wait for it to be over. */
	edge_fatal_sent(r);
}

/* ---- Records in the store ---- */

static void record_key(const struct fatal_row *row, char *out, size_t size)
{
	char content[33];

	hsh_wide_hex(row->content, content);
	snprintf(out, size, "%s%s", EDGE_FATAL_PREFIX, content);
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
	buf_fmt(&value, ",\"ends\":%u,\"at_ms\":%lld}", fatal_crash_count(row),
		(long long)truth_now(&en->truth, now));
	c.conditions[0] = (struct sto_condition){ key, 0 };
	c.rows[0] = (struct sto_row){ key, value.data, value.len, 0 };
	sto_call(en->store, &c, sto_no_matter, NULL);
}

static void delete_record(struct edge *en, const struct fatal_row *row)
{
	char key[sizeof(EDGE_FATAL_PREFIX) + 33];
	struct sto_call c = { .kind = STO_WRITE, .nr_rows = 1 };

	record_key(row, key, sizeof(key));
	c.rows[0] = (struct sto_row){ .key = key };
	sto_call(en->store, &c, sto_no_matter, NULL);
}

static bool to_be_written(const struct edge *en, const struct fatal_row *row,
			  int64_t now)
{
	if (!fatal_is_convicted(row) ||
	    (row->recorded_wall_ms && !row->record_lost))
		return false;
	if (row->record_lost)
		return en->watch_place == 0 && now >= row->store_next_ms;
	if (row->store_next_ms)
		return now >= row->store_next_ms;
	return en->watch_place == 0 && now - row->changed_ms > RECORD_LATER_MS;
}

static void keep_records(struct edge *en, int64_t now)
{
	const int64_t true_now = truth_now(&en->truth, now);
	struct fatal_row *row;
	unsigned recorded = 0;

	cds_list_for_each_entry(row, &en->fatal.rows, node) {
		recorded += row->recorded_wall_ms != 0;
		if (to_be_written(en, row, now) && recorded < MAX_RECORDS) {
			row->store_next_ms = now + RECORD_RETRY_MS;
			write_record(en, row, now);
		} else if (row->recorded_wall_ms && en->watch_place == 0 &&
			   now >= row->store_next_ms &&
			   true_now - row->recorded_wall_ms > FATAL_KEEP_MS) {
			row->store_next_ms = now + RECORD_RETRY_MS;
			delete_record(en, row);
		}
	}
}

void edge_fatal_recorded(struct edge *en, const char *key, const char *value,
			 size_t len)
{
	JSN_AUTO *o = jsn_parse(value, len);
	struct hsh_wide content;

	if (!o || !hsh_wide_parse(key + strlen(EDGE_FATAL_PREFIX), &content)) {
		edge_unreadable(en, key, "no record of a request");
		return;
	}
	en->fatal_hearing = true; /* all watch the store */
	fatal_record_found(&en->fatal, content, jsn_int(o, "at_ms", 0),
			   edge_now(en));
	en->fatal_hearing = false;
}

void edge_fatal_unrecorded(struct edge *en, const char *key)
{
	struct hsh_wide content;

	if (hsh_wide_parse(key + strlen(EDGE_FATAL_PREFIX), &content))
		fatal_record_lost(&en->fatal, content);
}

void edge_fatal_lifted(struct edge *en, const char *key)
{
	struct hsh_wide content;

	if (!hsh_wide_parse(key + strlen(EDGE_FATAL_PREFIX), &content))
		return;
	en->fatal_hearing = true;
	fatal_release(&en->fatal, content, edge_now(en));
	en->fatal_hearing = false;
}

/* ---- Life ---- */

void edge_fatal_open(struct edge *en)
{
	fatal_init(&en->fatal, &vtable, en);
	CDS_INIT_LIST_HEAD(&en->parked);
	ev_timer_init(&en->fatal_teller, on_tell, 0, 0);
	en->fatal_teller.data = en;
}

void edge_fatal_tick(struct edge *en, int64_t now)
{
	if (!en->fatal.count)
		return;
	keep_records(en, now);
	if (now - en->fatal_looked_ms < LOOK_AFTER_MS)
		return;
	en->fatal_looked_ms = now;
	fatal_expire(&en->fatal, now);
	edge_fatal_mark(en);
}
