#include "request/fatal.h"

#include <math.h>

#include "request/fatal_internal.h"

/*
 * Lifetime of a suspicion. Long enough to find a request that crashes an
 * endpoint every few minutes; short enough to release a request that met two
 * crashes by chance before it meets a third.
 */
#define KEEP_SUSPECT_MS 600000

/* Cleared crashes are kept so that late gossip does not count them again. */
#define KEEP_CLEARED_MS 10000

/*
 * Lifetime of a pending send. Within four seconds the endpoint list drops an
 * endpoint that crashed silently.
 */
#define KEEP_PENDING_MS 6000

/*
 * A run elsewhere is ignored after this long without gossip: its entry may have
 * crashed.
 */
#define KEEP_RUN_MS 1500

/*
 * Time constant of the rate at which requests meet a crash by chance, and the
 * crash-free run time that is assumed in addition to the observed one.
 */
#define RATE_MS 30000.0
#define RATE_PRIOR_MS 60000.0

/* ---- Decision to send ---- */

static unsigned count_probing(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_pending; i++)
		n += row->pending[i].probing;
	return n;
}

static bool runs_elsewhere(const struct fatal_row *row, int64_t now)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (now - row->runs[i].updated_ms < KEEP_RUN_MS)
			return true;
	}
	return false;
}

enum fatal_verdict fatal_check_send(struct fatal *f, struct hsh128 content,
				    bool in_flight, int64_t now)
{
	const struct fatal_row *row = fatal_find(f, content);
	unsigned nr_crashes, nr_probing;

	if (!row)
		return FATAL_SEND;
	if (fatal_is_convicted(row))
		return FATAL_QUARANTINED;
	nr_crashes = fatal_crash_count(row);
	nr_probing = count_probing(row);
	if (nr_probing && nr_crashes + nr_probing >= FATAL_CONVICT_CRASHES)
		return FATAL_WAIT;
	if (nr_crashes >= FATAL_STRONG_CRASHES &&
	    (in_flight || runs_elsewhere(row, now)))
		return FATAL_BUSY;
	return nr_crashes ? FATAL_ISOLATE : FATAL_SEND;
}

/* ---- Crashes ---- */

static struct fatal_pending *pending_at(struct fatal_row *row,
					uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_pending; i++) {
		if (row->pending[i].endpoint == endpoint)
			return &row->pending[i];
	}
	return NULL;
}

static void drop_pending(struct fatal_row *row, struct fatal_pending *d)
{
	*d = row->pending[--row->nr_pending];
}

struct fatal_row *fatal_send_broke(struct fatal *f, struct hsh128 content,
				   uint64_t endpoint, int64_t ran_ms,
				   bool probing, int64_t now)
{
	struct fatal_row *row = fatal_get(f, content, now);

	if (!pending_at(row, endpoint) && row->nr_pending < FATAL_MAX_PENDING)
		row->pending[row->nr_pending++] =
			(struct fatal_pending){ endpoint, now, ran_ms,
						probing };
	return row;
}

static bool ran_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (row->runs[i].endpoint == endpoint)
			return true;
	}
	return pending_at(row, endpoint) || fatal_crash_at(row, endpoint);
}

/* The row's crash count without the crash at this endpoint. */
static unsigned crashes_elsewhere(struct fatal_row *row, uint64_t endpoint)
{
	const struct fatal_crash *e = fatal_crash_at(row, endpoint);

	return fatal_crash_count(row) - (e && !e->cleared);
}

/*
 * The highest crash count among the requests that ran at an endpoint, without
 * the crash of that endpoint.
 */
struct suspicion {
	unsigned max_crashes;
	unsigned tied; /* number of requests that have it */
};

static struct suspicion strongest_suspicion(struct fatal *f, uint64_t endpoint)
{
	struct suspicion b = { 0, 0 };
	struct fatal_row *row;
	unsigned n;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (!ran_at(row, endpoint))
			continue;
		n = crashes_elsewhere(row, endpoint);
		if (n > b.max_crashes)
			b = (struct suspicion){ n, 0 };
		b.tied += n == b.max_crashes;
	}
	return b;
}

/* Weight of a crash that a send met after `ran_ms`, from the crash rate. */
static unsigned chance_weight(const struct fatal *f, int64_t ran_ms,
			      int64_t now)
{
	const double per_ms =
		decay_sum_at(&f->crashed_sends, RATE_MS, now) /
		(decay_sum_at(&f->ran_ms, RATE_MS, now) + RATE_PRIOR_MS);
	const double chance = per_ms * (double)(ran_ms + 1);

	if (chance >= 1)
		return 0;
	if (chance <= pow(10, -FATAL_MAX_WEIGHT / 100.0))
		return FATAL_MAX_WEIGHT;
	return (unsigned)(-100 * log10(chance));
}

void fatal_add_run_time(struct fatal *f, int64_t ran_ms, int64_t now)
{
	decay_sum_add(&f->ran_ms, (double)ran_ms, RATE_MS, now);
}

/*
 * True if the crash weighs little for this request. Without a strong suspect at
 * the endpoint the crash has its full weight for all requests. With one it has
 * its full weight for the strong suspect only. With two or more, which share an
 * endpoint only if there is no room to isolate them, it weighs little for each,
 * as it is unknown which of them caused it.
 */
static bool is_shared(struct fatal_row *row, uint64_t endpoint,
		      const struct suspicion *b)
{
	return b->max_crashes >= FATAL_STRONG_CRASHES &&
	       (b->tied > 1 ||
		crashes_elsewhere(row, endpoint) < b->max_crashes);
}

/*
 * Turns the pending sends at this endpoint into crashes, and moves the rows
 * that got one to the list `suspects`.
 */
static void attribute_crash(struct fatal *f, uint64_t endpoint, int64_t now,
			    struct cds_list_head *suspects)
{
	const struct suspicion b = strongest_suspicion(f, endpoint);
	struct fatal_row *row, *next;
	struct fatal_pending *d;
	unsigned weight;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = pending_at(row, endpoint);
		if (!d)
			continue;
		weight = is_shared(row, endpoint, &b)
				 ? FATAL_WEIGHT_SHARED
				 : chance_weight(f, d->ran_ms, now);
		if (b.max_crashes < FATAL_STRONG_CRASHES)
			decay_sum_add(&f->crashed_sends, 1, RATE_MS, now);
		drop_pending(row, d);
		row->was_convicted = fatal_is_convicted(row);
		if (!fatal_add_crash(f, row, endpoint, weight, now))
			continue;
		cds_list_del(&row->node);
		cds_list_add_tail(&row->node, suspects);
	}
}

void fatal_endpoint_crashed(struct fatal *f, uint64_t endpoint, int64_t now)
{
	struct fatal_row *row, *next;
	CDS_LIST_HEAD(suspects);

	attribute_crash(f, endpoint, now, &suspects);
	cds_list_for_each_entry_safe(row, next, &suspects, node) {
		fatal_touch(f, row, now);
		fatal_report_crash(f, row, row->was_convicted, endpoint);
		if (fatal_is_convicted(row))
			fatal_explain_others(f, row, now);
	}
}

void fatal_endpoint_alive(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row, *next;
	struct fatal_pending *d;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = pending_at(row, endpoint);
		if (!d)
			continue;
		drop_pending(row, d);
		if (fatal_empty(row))
			fatal_drop(f, row);
	}
}

void fatal_endpoint_silent(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row;
	struct fatal_pending *d;

	cds_list_for_each_entry(row, &f->rows, node) {
		d = pending_at(row, endpoint);
		if (d)
			d->probing = false;
	}
}

static void clear(struct fatal *f, struct fatal_row *row, int64_t now)
{
	const bool any = fatal_crash_count(row) > 0;
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++)
		row->crashes[i].cleared = true;
	row->nr_pending = 0;
	if (!any)
		return;
	fatal_touch(f, row, now);
	f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_answer_complete(struct fatal *f, struct hsh128 content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	clear(f, row, now);
	if (fatal_empty(row))
		fatal_drop(f, row);
}

/* ---- Records and expiry ---- */

void fatal_record_found(struct fatal *f, struct hsh128 content, int64_t wall_ms,
			int64_t now)
{
	struct fatal_row *row = fatal_get(f, content, now);
	const bool was_convicted = fatal_is_convicted(row);

	row->recorded_wall_ms = wall_ms > 0 ? wall_ms : 1;
	row->record_lost = false;
	fatal_touch(f, row, now);
	if (!was_convicted)
		fatal_report_crash(f, row, false, 0);
}

void fatal_record_lost(struct fatal *f, struct hsh128 content)
{
	struct fatal_row *row = fatal_find(f, content);

	if (row)
		row->record_lost = true;
}

void fatal_release(struct fatal *f, struct hsh128 content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	row->recorded_wall_ms = 0;
	clear(f, row, now);
	if (fatal_empty(row))
		fatal_drop(f, row);
}

static void expire_pending(struct fatal_row *row, int64_t now)
{
	unsigned i = 0;

	while (i < row->nr_pending) {
		if (now - row->pending[i].at_ms > KEEP_PENDING_MS)
			drop_pending(row, &row->pending[i]);
		else
			i++;
	}
}

static bool is_expired(const struct fatal_row *row, int64_t now)
{
	const int64_t age = now - row->changed_ms;

	if (row->recorded_wall_ms)
		return false; /* kept as long as its record */
	if (fatal_empty(row))
		return true;
	if (!fatal_crash_count(row))
		return !row->nr_pending && age > KEEP_CLEARED_MS;
	return age >
	       (fatal_is_convicted(row) ? FATAL_KEEP_MS : KEEP_SUSPECT_MS);
}

void fatal_expire(struct fatal *f, int64_t now)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		expire_pending(row, now);
		if (is_expired(row, now))
			fatal_drop(f, row);
	}
}
