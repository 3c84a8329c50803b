#include "request/fatal.h"

#include <math.h>

#include "base/buf.h"
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

/*
 * A part that was answered here this recently is in many sound requests: they are
 * not delayed while it is suspected.
 */
#define IN_USE_MS 10000

static bool is_in_use(struct fatal *f, const struct fatal_row *row, int64_t now)
{
	const int64_t answered_ms = fatal_answered_ms(f, row->key);

	return answered_ms && now - answered_ms < IN_USE_MS;
}

/*
 * Suspects that cannot be told apart yet run one at a time, or they would crash the
 * same endpoint again.
 */
static bool evident_one_runs(struct fatal *f, int64_t now)
{
	const struct fatal_row *row;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (fatal_is_evident(row) && !row->convicted &&
		    (runs_elsewhere(row, now) ||
		     f->vt->running_at(f->arg, row->key)))
			return true;
	}
	return false;
}

/*
 * A part with a single crash is not isolated: it may be one of many in that crash,
 * and isolation gives up the endpoints that have its tokens cached.
 */
static bool is_isolated(const struct fatal_row *row, unsigned nr_crashes)
{
	return nr_crashes >=
	       (row->kind == FATAL_PART ? FATAL_STRONG_CRASHES : 1);
}

/* The verdict because of one feature of the request. */
static enum fatal_verdict check_row(struct fatal *f,
				    const struct fatal_row *row,
				    const struct fatal_request *q, int64_t now)
{
	const unsigned nr_crashes = fatal_crash_count(row);
	const unsigned nr_probing = count_probing(row);

	if (fatal_convicts(f, row, q, now))
		return FATAL_QUARANTINED;
	if (is_in_use(f, row, now))
		return is_isolated(row, nr_crashes) ? FATAL_ISOLATE
						    : FATAL_SEND;
	if (nr_probing && nr_crashes + nr_probing >= FATAL_CONVICT_CRASHES)
		return FATAL_WAIT;
	if (fatal_is_evident(row) &&
	    (fatal_is_settling(row, now) || evident_one_runs(f, now)))
		return FATAL_BUSY;
	if (nr_crashes >= FATAL_STRONG_CRASHES &&
	    (runs_elsewhere(row, now) || f->vt->running_at(f->arg, row->key)))
		return FATAL_BUSY;
	return is_isolated(row, nr_crashes) ? FATAL_ISOLATE : FATAL_SEND;
}

/* What the request shows of a feature that may be known by gossip only. */
static void name_row(struct fatal_row *row, const struct fatal_request *q,
		     const struct fatal_feature *x)
{
	if (row->kind != FATAL_NR_KINDS)
		return;
	row->kind = x->kind;
	str_copy(row->name, x->name, sizeof(row->name));
	str_copy(row->route, q->route, sizeof(row->route));
	str_copy(row->account, q->account, sizeof(row->account));
}

enum fatal_verdict fatal_check_send(struct fatal *f,
				    const struct fatal_request *q,
				    const struct fatal_feature **why,
				    int64_t now)
{
	enum fatal_verdict verdict, worst = FATAL_SEND;
	struct fatal_row *row;
	unsigned i;

	*why = NULL;
	for (i = 0; i < q->nr_features; i++) {
		row = fatal_find(f, q->features[i].key);
		if (!row)
			continue;
		name_row(row, q, &q->features[i]);
		verdict = check_row(f, row, q, now);
		if (verdict <= worst)
			continue;
		worst = verdict;
		*why = &q->features[i];
	}
	return worst;
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

static void feature_broke(struct fatal *f, const struct fatal_request *q,
			  const struct fatal_feature *x,
			  const struct fatal_pending *d)
{
	struct fatal_row *row;

	if (x->kind == FATAL_PART && fatal_was_answered(f, x->key, d->at_ms))
		return;
	row = fatal_get(f, x->key, d->at_ms);
	name_row(row, q, x);
	if (!pending_at(row, d->endpoint) &&
	    row->nr_pending < FATAL_MAX_PENDING)
		row->pending[row->nr_pending++] = *d;
}

void fatal_send_broke(struct fatal *f, const struct fatal_request *q,
		      uint64_t endpoint, int64_t ran_ms, bool probing,
		      int64_t now)
{
	const struct fatal_pending d = { endpoint, now, ran_ms, probing };
	unsigned i;

	for (i = 0; i < q->nr_features; i++)
		feature_broke(f, q, &q->features[i], &d);
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
 * The highest crash count among the features that ran at an endpoint, without
 * the crash of that endpoint.
 */
struct suspicion {
	unsigned max_crashes;
	unsigned tied; /* number of features that have it */
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
 * Weight at most of the crash of a part that ran there with others of which none is
 * a strong suspect: one in ten, as any of their many features may have caused it.
 */
#define MAX_WEIGHT_AMONG_OTHERS 100

static unsigned weight_of(const struct fatal *f, struct fatal_row *row,
			  uint64_t endpoint, const struct suspicion *b,
			  int64_t ran_ms, int64_t now)
{
	const unsigned weight = chance_weight(f, ran_ms, now);

	if (is_shared(row, endpoint, b))
		return FATAL_WEIGHT_SHARED;
	if (row->kind == FATAL_PART && b->max_crashes < FATAL_STRONG_CRASHES &&
	    weight > MAX_WEIGHT_AMONG_OTHERS)
		return MAX_WEIGHT_AMONG_OTHERS;
	return weight;
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
		weight = weight_of(f, row, endpoint, &b, d->ran_ms, now);
		if (b.max_crashes < FATAL_STRONG_CRASHES)
			decay_sum_add(&f->crashed_sends, 1, RATE_MS, now);
		drop_pending(row, d);
		row->seen_at = endpoint;
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
		fatal_report_crash(f, row, endpoint, now);
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
	fatal_set_convicted(f, row, false);
	if (!any)
		return;
	fatal_touch(f, row, now);
	f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_answer_complete(struct fatal *f, const struct fatal_request *q,
			   int64_t now)
{
	struct fatal_row *row;
	unsigned i;

	for (i = 0; i < q->nr_features; i++) {
		if (q->features[i].kind == FATAL_PART)
			fatal_note_answered(f, q->features[i].key, now);
		row = fatal_find(f, q->features[i].key);
		if (!row)
			continue;
		clear(f, row, now);
		if (fatal_empty(row))
			fatal_drop(f, row);
	}
}

/* ---- Records and expiry ---- */

void fatal_record_found(struct fatal *f, struct hsh128 key, int64_t wall_ms,
			int64_t now)
{
	struct fatal_row *row = fatal_get(f, key, now);

	row->recorded_wall_ms = wall_ms > 0 ? wall_ms : 1;
	row->record_lost = false;
	fatal_touch(f, row, now);
	if (!row->convicted)
		fatal_report_crash(f, row, 0, now);
}

void fatal_record_lost(struct fatal *f, struct hsh128 key)
{
	struct fatal_row *row = fatal_find(f, key);

	if (row)
		row->record_lost = true;
}

void fatal_release(struct fatal *f, struct hsh128 key, int64_t now)
{
	struct fatal_row *row = fatal_find(f, key);

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
	return age > (row->convicted ? FATAL_KEEP_MS : KEEP_SUSPECT_MS);
}

/* The endpoint of the latest crash, if it was observed here; else 0. */
static uint64_t last_seen_here(const struct fatal_row *row)
{
	const struct fatal_crash *last = &row->crashes[0];
	unsigned i;

	for (i = 1; i < row->nr_crashes; i++) {
		if (row->crashes[i].at_ms > last->at_ms)
			last = &row->crashes[i];
	}
	return last->endpoint == row->seen_at ? row->seen_at : 0;
}

static void report_convicted(struct fatal *f, struct fatal_row *row,
			     int64_t now)
{
	if (row->convicted || !fatal_is_convicted(f, row, now))
		return;
	fatal_touch(f, row, now);
	fatal_report_crash(f, row, last_seen_here(row), now);
}

void fatal_expire(struct fatal *f, int64_t now)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		expire_pending(row, now);
		if (is_expired(row, now))
			fatal_drop(f, row);
		else
			report_convicted(f, row, now);
	}
}
