/*
 * Duties of the duty holder: calls to the platform, usage reports.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_duty_internal.h"

/*
 * A report is written this long after the end of its window, if the counts of
 * all entries have arrived by gossip. Counts of unreachable entries are awaited
 * up to the maximum; the report is due 10 s after the window.
 */
#define REPORT_MIN_DELAY_MS 1200
#define REPORT_MAX_DELAY_MS 5500

/*
 * An entry's counts of a window are complete if they were sent this long after
 * its end.
 */
#define COUNTS_FINAL_MS 300

/*
 * Windows whose counts and stored reports are kept: those that may still be
 * reported, and a few more.
 */
#define KEPT_WINDOWS 6

static const struct htc_limits cloud_limits = {
	.connect_ms = 300,
	.ack_timeout_ms = EDGE_DUTY_CALL_MS,
	.keepalive_s = 1,
	.idle_ms = 8000,
	.max_body_bytes = HTC_SMALL_BODY_BYTES,
};

bool edge_duty_may_act(const struct edge *en)
{
	return lead_may_act(&en->lead, en->lease.expires_ms, edge_now(en));
}

/* ---- Calls to the platform ---- */

static bool on_head(struct htc_call *call, const struct hmsg *m)
{
	struct edge_duty *d = htc_owner(call);

	d->status = m->status;
	return true;
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	(void)call;
	(void)data;
	(void)len;
}

static void call_ended(struct edge_duty *d, int status);

static void on_end(struct htc_call *call)
{
	struct edge_duty *d = htc_owner(call);

	call_ended(d, d->status);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	(void)why;
	call_ended(htc_owner(call), 0);
}

static const struct htc_vtable cloud_vtable = { on_head, on_body, on_end,
						on_failed };

bool edge_duty_call(struct edge_duty *d, struct buf *wire)
{
	d->call_in_flight = true;
	d->status = 0;
	if (htc_start(&d->cloud, wire, 0, false, EDGE_DUTY_CALL_MS,
		      &cloud_vtable, d))
		return true;
	d->call_in_flight = false;
	return false;
}

struct wire_duty edge_duty_wire(const struct edge *en)
{
	return (struct wire_duty){ en->conf->name, en->lead.fence };
}

/* ---- Usage ---- */

/* Counts of leaves reach the duty holder over a hub, in one interval more. */
static int64_t report_delay_ms(const struct edge *en)
{
	return REPORT_MIN_DELAY_MS +
	       (en->ovl.mesh ? 0 : 2 * OVL_SEND_INTERVAL_MS);
}

void edge_duty_count_run(struct edge_req *r, int64_t true_ms)
{
	struct edge *en = r->en;

	usage_add(&en->usage, en->source, usage_window(&en->usage, true_ms),
		  r->account->name, edge_now(en));
}

/*
 * True if all registered and all live entries have sent their complete counts
 * of the window.
 */
static bool all_counts_received(const struct edge *en, int64_t window_end_ms)
{
	const struct prs_peer *p;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->registered && !prs_alive(p, edge_now(en)))
			continue;
		if (p->counts_true_ms < window_end_ms + COUNTS_FINAL_MS)
			return false;
	}
	return true;
}

static void log_report(const struct edge_duty *d, const char *what, int status)
{
	struct edge *en = d->en;

	jlog_begin(en->log, JLOG_INFO, "usage_report");
	jlog_int(en->log, "window", d->report_window);
	jlog_str(en->log, "step", what);
	jlog_int(en->log, "status", status);
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_str(en->log, "counts", buf_cstr(&d->report_counts));
	jlog_end(en->log);
}

static void send_report(struct edge_duty *d)
{
	struct edge *en = d->en;
	const struct wire_duty w = edge_duty_wire(en);
	struct buf wire = BUF_INIT;

	if (!edge_duty_may_act(en) || d->call_in_flight)
		return;
	en->wire->encode_usage(&w, d->report_window,
			       buf_cstr(&d->report_counts), &wire);
	met_inc(en->m.usage_reports);
	if (!edge_duty_call(d, &wire))
		d->next_attempt_ms = edge_now(en) + EDGE_DUTY_RETRY_MS;
}

static void send_stored_report(struct edge_duty *d, const char *counts,
			       size_t len)
{
	buf_reset(&d->report_counts);
	buf_add(&d->report_counts, counts, len);
	d->report_state = REPORT_SENDING;
	send_report(d);
}

/*
 * It is unknown whether the store has the report: schedules another write of
 * the same window.
 */
static void retry_write(struct edge_duty *d)
{
	d->report_state = REPORT_IDLE;
	d->next_window = d->report_window;
	d->next_attempt_ms = edge_now(d->en) + EDGE_DUTY_RETRY_MS;
}

/* True if this entry has held the duties since the write was sent. */
static bool holds_as_written(const struct edge_duty *d)
{
	return d->en->lead.is_holder && d->en->lead.fence == d->report_fence;
}

/* The report is left to the holder of the duties. */
static void drop_report(struct edge_duty *d, const char *why)
{
	log_report(d, why, 0);
	d->report_state = REPORT_IDLE;
	d->next_window = d->report_window;
}

static void on_read_back(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	if (d->report_state != REPORT_WRITING)
		return;
	if (!holds_as_written(d)) {
		drop_report(d, "not the holder");
		return;
	}
	if (a->outcome == STO_OK && a->nr_items && a->items[0].value)
		send_stored_report(d, a->items[0].value, a->items[0].len);
	else
		retry_write(d);
}

static void report_key(char *out, size_t size, int64_t window)
{
	snprintf(out, size, "%s%lld", EDGE_USAGE_PREFIX, (long long)window);
}

/* Reads the stored counts: only these may be sent. */
static void read_back(struct edge_duty *d)
{
	char key[64];
	const struct sto_call c = { .kind = STO_GET, .key = key };

	report_key(key, sizeof(key), d->report_window);
	sto_call(d->en->store, &c, on_read_back, d);
}

static void on_holder_read(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	edge_lease_duty_read(d->en, a);
	if (d->report_state != REPORT_WRITING)
		return;
	if (a->outcome != STO_OK && a->outcome != STO_ABSENT)
		retry_write(d);
	else if (holds_as_written(d))
		read_back(d);
	else
		drop_report(d, "not the holder");
}

/*
 * The store refused the write: the report is there already, from a former holder
 * or from a write whose answer was lost, or this entry no longer holds the
 * duties, and the report is its successor's. Reads the duty key first.
 */
static void resolve_conflict(struct edge_duty *d)
{
	const struct sto_call c = { .kind = STO_GET, .key = EDGE_DUTY_KEY };

	sto_call(d->en->store, &c, on_holder_read, d);
}

static void on_written(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	log_report(d, sto_outcome_name(a->outcome), 0);
	if (d->report_state != REPORT_WRITING)
		return;
	if (a->outcome == STO_OK) {
		d->report_state = REPORT_SENDING;
		send_report(d);
	} else if (a->outcome == STO_CONFLICT) {
		resolve_conflict(d);
	} else {
		retry_write(d);
	}
}

/*
 * The counts are stored before they are sent, so that the next holder repeats
 * them unchanged. Conditions of the write: there is no report of the window
 * yet, and this entry still holds the duties.
 */
static void write_report(struct edge_duty *d)
{
	struct edge *en = d->en;
	char key[64], old[64];
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 2,
			      .nr_rows = 2 };

	report_key(key, sizeof(key), d->report_window);
	report_key(old, sizeof(old), d->report_window - KEPT_WINDOWS);
	c.conditions[0] = (struct sto_condition){ key, 0 };
	c.conditions[1] =
		(struct sto_condition){ EDGE_DUTY_KEY, en->lead.fence };
	c.rows[0] = (struct sto_row){ key, d->report_counts.data,
				      d->report_counts.len, 0 };
	c.rows[1] = (struct sto_row){ old, NULL, 0, 0 };
	d->report_state = REPORT_WRITING;
	d->report_fence = en->lead.fence;
	sto_call(en->store, &c, on_written, d);
}

static void begin_report(struct edge_duty *d, int64_t window)
{
	struct edge *en = d->en;
	struct usage_total *totals;
	const size_t n = usage_sum(&en->usage, window, &totals);

	d->report_window = window;
	d->next_window = window + 1;
	buf_reset(&d->report_counts);
	if (!n)
		return; /* there were no runs */
	en->wire->encode_usage_counts(totals, n, &d->report_counts);
	free(totals);
	write_report(d);
}

static void usage_tick(struct edge_duty *d, int64_t now)
{
	struct edge *en = d->en;
	const int64_t true_now = walltime_now(&en->walltime, now);
	const int64_t current = usage_window(&en->usage, true_now);
	const int64_t size = en->usage.window_ms;
	int64_t end, max_windows;

	if (now < d->next_attempt_ms || !edge_duty_may_act(en))
		return;
	if (d->report_state == REPORT_SENDING) {
		send_report(d);
		return;
	}
	if (d->report_state != REPORT_IDLE)
		return;
	max_windows = (int64_t)(en->conf->bounds.usage_late_s * 1000) / size;
	if (d->next_window < current - max_windows)
		d->next_window = current - max_windows;
	/*
	 * Skips windows that ended before the store was restored: the store may
	 * have lost their reports, and a window must not be reported again with
	 * other counts.
	 */
	if (en->era.began_true_ms &&
	    d->next_window < usage_window(&en->usage, en->era.began_true_ms))
		d->next_window =
			usage_window(&en->usage, en->era.began_true_ms);
	if (d->next_window >= current)
		return;
	end = (d->next_window + 1) * size;
	if (true_now < end + report_delay_ms(en))
		return;
	if (!all_counts_received(en, end) &&
	    true_now < end + REPORT_MAX_DELAY_MS)
		return;
	begin_report(d, d->next_window);
}

/* All entries receive counts, or have some of their own. */
static void drop_old_counts(struct edge_duty *d, int64_t now)
{
	struct edge *en = d->en;
	const int64_t current =
		usage_window(&en->usage, walltime_now(&en->walltime, now));

	if (current == d->counted_window)
		return;
	d->counted_window = current;
	usage_drop_before(&en->usage, current - KEPT_WINDOWS);
}

/* ---- End of a call, start and periodic work ---- */

static void call_ended(struct edge_duty *d, int status)
{
	d->call_in_flight = false;
	if (d->call_is_order) {
		d->call_is_order = false;
		edge_scale_order_ended(d, status);
		return;
	}
	log_report(d, "sent", status);
	/* A definite answer ends the report; else it is sent again. */
	if (status == 200 || (status >= 400 && status < 500 && status != 429))
		d->report_state = REPORT_IDLE;
	else
		d->next_attempt_ms = edge_now(d->en) + EDGE_DUTY_RETRY_MS;
}

void edge_duty_open(struct edge *en)
{
	struct edge_duty *d = calloc(1, sizeof(*d));
	struct sockaddr_in addr;

	assert(d);
	d->en = en;
	en->duty = d;
	if (ioc_address(en->conf->cloud.address, &addr, NULL))
		return;
	htc_peer_init(&d->cloud, en->loop, en->clk, &addr, &cloud_limits);
}

void edge_duty_tick(struct edge *en, int64_t now)
{
	struct edge_duty *d = en->duty;

	drop_old_counts(d, now);
	if (!en->conf->cloud.address[0])
		return;
	if (!en->lead.is_holder) {
		edge_scale_reset(d);
		if (!d->call_in_flight)
			d->report_state = REPORT_IDLE;
		return;
	}
	if (en->conf->cloud.usage)
		usage_tick(d, now);
	if (en->conf->cloud.scaling)
		edge_scale_tick(d, now);
}
