#include "request/fatal.h"

#include <math.h>

#include "request/fatal_internal.h"

/*
 * Lifetime of a suspicion: a request that crashes an endpoint every few minutes
 * is found, one that met two crashes by chance is released before a third.
 */
#define KEEP_SUSPECT_MS 600000

/* Cleared crashes are kept, so that late gossip does not count them again. */
#define KEEP_CLEARED_MS 10000

/* An endpoint that died silently is off the list within four seconds. */
#define KEEP_DOUBT_MS 6000

/* A run elsewhere that is no longer gossiped: its entry may be dead. */
#define KEEP_RUN_MS 1500

/*
 * Time constant of the rate at which requests meet a crash by chance, and the
 * length of the crash-free history assumed before it.
 */
#define RATE_MS 30000.0
#define RATE_PRIOR_MS 60000.0

/* ---- May it be sent? ---- */

static unsigned looked_at(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_doubts; i++)
		n += row->doubts[i].looking;
	return n;
}

static bool runs_elsewhere(const struct fatal_row *row, int64_t now)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (now - row->runs[i].heard_ms < KEEP_RUN_MS)
			return true;
	}
	return false;
}

enum fatal_verdict fatal_ask(struct fatal *f, struct hsh128 content,
			     bool under_way, int64_t now)
{
	const struct fatal_row *row = fatal_find(f, content);
	unsigned ends, looked;

	if (!row)
		return FATAL_FREE;
	if (fatal_is_convicted(row))
		return FATAL_NEVER;
	ends = fatal_count(row);
	looked = looked_at(row);
	if (looked && ends + looked >= FATAL_ENDS)
		return FATAL_WAIT;
	if (ends >= FATAL_STRONG_ENDS &&
	    (under_way || runs_elsewhere(row, now)))
		return FATAL_BUSY;
	return ends ? FATAL_APART : FATAL_FREE;
}

/* ---- Ends ---- */

static struct fatal_doubt *doubt_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_doubts; i++) {
		if (row->doubts[i].endpoint == endpoint)
			return &row->doubts[i];
	}
	return NULL;
}

static void drop_doubt(struct fatal_row *row, struct fatal_doubt *d)
{
	*d = row->doubts[--row->nr_doubts];
}

struct fatal_row *fatal_broke(struct fatal *f, struct hsh128 content,
			      uint64_t endpoint, int64_t ran_ms, bool looking,
			      int64_t now)
{
	struct fatal_row *row = fatal_get(f, content, now);

	if (!doubt_at(row, endpoint) && row->nr_doubts < FATAL_MAX_DOUBTS)
		row->doubts[row->nr_doubts++] =
			(struct fatal_doubt){ endpoint, now, ran_ms, looking };
	return row;
}

static bool ran_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (row->runs[i].endpoint == endpoint)
			return true;
	}
	return doubt_at(row, endpoint) || fatal_end_at(row, endpoint);
}

/* Ends held against it but for that at this endpoint. */
static unsigned ends_elsewhere(struct fatal_row *row, uint64_t endpoint)
{
	const struct fatal_end *e = fatal_end_at(row, endpoint);

	return fatal_count(row) - (e && !e->cleared);
}

/* Whom an end is laid to: the most that was held against any one there. */
struct blame {
	unsigned most;
	unsigned tied; /* so many have that */
};

static struct blame blame_at(struct fatal *f, uint64_t endpoint)
{
	struct blame b = { 0, 0 };
	struct fatal_row *row;
	unsigned n;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (!ran_at(row, endpoint))
			continue;
		n = ends_elsewhere(row, endpoint);
		if (n > b.most)
			b = (struct blame){ n, 0 };
		b.tied += n == b.most;
	}
	return b;
}

/* How unlikely it is that a send meets an end by chance within that time. */
static unsigned weight_of(const struct fatal *f, int64_t ran_ms, int64_t now)
{
	const double per_ms =
		decay_sum_at(&f->ended, RATE_MS, now) /
		(decay_sum_at(&f->ran_ms, RATE_MS, now) + RATE_PRIOR_MS);
	const double chance = per_ms * (double)(ran_ms + 1);

	if (chance >= 1)
		return 0;
	if (chance <= pow(10, -FATAL_WEIGHT_MOST / 100.0))
		return FATAL_WEIGHT_MOST;
	return (unsigned)(-100 * log10(chance));
}

void fatal_ran(struct fatal *f, int64_t ran_ms, int64_t now)
{
	decay_sum_add(&f->ran_ms, (double)ran_ms, RATE_MS, now);
}

/*
 * While little is held against any one that was there, the end weighs fully
 * against all. Once there is a strong suspect it does against that one alone,
 * and little against the others; of two, which run apart as far as there is
 * room, nobody knows which.
 */
static bool is_shared(struct fatal_row *row, uint64_t endpoint,
		      const struct blame *b)
{
	return b->most >= FATAL_STRONG_ENDS &&
	       (b->tied > 1 || ends_elsewhere(row, endpoint) < b->most);
}

/* The rows that were in doubt for this endpoint have an end more. */
static void blame(struct fatal *f, uint64_t endpoint, int64_t now,
		  struct cds_list_head *guilty)
{
	const struct blame b = blame_at(f, endpoint);
	struct fatal_row *row, *next;
	struct fatal_doubt *d;
	unsigned weight;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (!d)
			continue;
		weight = is_shared(row, endpoint, &b)
				 ? FATAL_WEIGHT_SHARED
				 : weight_of(f, d->ran_ms, now);
		if (b.most < FATAL_STRONG_ENDS)
			decay_sum_add(&f->ended, 1, RATE_MS, now);
		drop_doubt(row, d);
		row->known = fatal_is_convicted(row);
		if (!fatal_add_end(f, row, endpoint, weight, now))
			continue;
		cds_list_del(&row->node);
		cds_list_add_tail(&row->node, guilty);
	}
}

void fatal_ended(struct fatal *f, uint64_t endpoint, int64_t now)
{
	struct fatal_row *row, *next;
	CDS_LIST_HEAD(guilty);

	blame(f, endpoint, now, &guilty);
	cds_list_for_each_entry_safe(row, next, &guilty, node) {
		fatal_touch(f, row, now);
		fatal_tell_end(f, row, row->known, endpoint);
		if (fatal_is_convicted(row))
			fatal_explain_others(f, row, now);
	}
}

void fatal_lives(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row, *next;
	struct fatal_doubt *d;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (!d)
			continue;
		drop_doubt(row, d);
		if (fatal_empty(row))
			fatal_drop(f, row);
	}
}

void fatal_unsure(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row;
	struct fatal_doubt *d;

	cds_list_for_each_entry(row, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (d)
			d->looking = false;
	}
}

static void clear(struct fatal *f, struct fatal_row *row, int64_t now)
{
	const bool any = fatal_count(row) > 0;
	unsigned i;

	for (i = 0; i < row->nr_ends; i++)
		row->ends[i].cleared = true;
	row->nr_doubts = 0;
	if (!any)
		return;
	fatal_touch(f, row, now);
	f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_whole(struct fatal *f, struct hsh128 content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	clear(f, row, now);
	if (fatal_empty(row))
		fatal_drop(f, row);
}

/* ---- What lasts ---- */

void fatal_recorded(struct fatal *f, struct hsh128 content, int64_t true_ms,
		    int64_t now)
{
	struct fatal_row *row = fatal_get(f, content, now);
	const bool known = fatal_is_convicted(row);

	row->stored_true_ms = true_ms > 0 ? true_ms : 1;
	row->lost = false;
	fatal_touch(f, row, now);
	if (!known)
		fatal_tell_end(f, row, false, 0);
}

void fatal_unrecorded(struct fatal *f, struct hsh128 content)
{
	struct fatal_row *row = fatal_find(f, content);

	if (row)
		row->lost = true;
}

void fatal_lifted(struct fatal *f, struct hsh128 content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	row->stored_true_ms = 0;
	clear(f, row, now);
	if (fatal_empty(row))
		fatal_drop(f, row);
}

static void expire_doubts(struct fatal_row *row, int64_t now)
{
	unsigned i = 0;

	while (i < row->nr_doubts) {
		if (now - row->doubts[i].at_ms > KEEP_DOUBT_MS)
			drop_doubt(row, &row->doubts[i]);
		else
			i++;
	}
}

static bool outlived(const struct fatal_row *row, int64_t now)
{
	const int64_t age = now - row->changed_ms;

	if (row->stored_true_ms)
		return false; /* as long as its record */
	if (fatal_empty(row))
		return true;
	if (!fatal_count(row))
		return !row->nr_doubts && age > KEEP_CLEARED_MS;
	return age >
	       (fatal_is_convicted(row) ? FATAL_KEEP_MS : KEEP_SUSPECT_MS);
}

void fatal_expire(struct fatal *f, int64_t now)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		expire_doubts(row, now);
		if (outlived(row, now))
			fatal_drop(f, row);
	}
}
