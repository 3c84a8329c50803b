/* The rows: one for each feature, with its crashes and their weights. */
#include <assert.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "request/fatal_internal.h"

/* ---- Features ---- */

/* Of the part's id alone: whatever else the request has, it is the same part. */
static struct hsh128 part_key(const struct attempt_part *p)
{
	static const struct hsh128 kind = { 0, FATAL_PART };

	return hsh128_combine(kind, (struct hsh128){ 0, p->hash });
}

void fatal_request_init(struct fatal_request *q, struct hsh128 content,
			const struct attempt *a)
{
	unsigned i;

	q->nr_features = 1 + a->nr_parts;
	q->features[0] = (struct fatal_feature){ FATAL_CONTENT, content, "" };
	for (i = 0; i < a->nr_parts; i++)
		q->features[1 + i] = (struct fatal_feature){
			FATAL_PART, part_key(&a->parts[i]), a->parts[i].id
		};
}

bool fatal_has_feature(const struct fatal_request *q, struct hsh128 key)
{
	unsigned i;

	for (i = 0; i < q->nr_features; i++) {
		if (hsh128_equal(q->features[i].key, key))
			return true;
	}
	return false;
}

void fatal_init(struct fatal *f, const struct fatal_vtable *vt, void *arg)
{
	memset(f, 0, sizeof(*f));
	f->vt = vt;
	f->arg = arg;
	CDS_INIT_LIST_HEAD(&f->rows);
}

/* ---- Rows ---- */

/* uthash's macros expand to about fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
struct fatal_row *fatal_find(struct fatal *f, struct hsh128 key)
{
	struct fatal_row *row = NULL;

	if (f->count)
		HASH_FIND(by_key, f->table, &key, sizeof(key), row);
	return row;
}

void fatal_set_convicted(struct fatal *f, struct fatal_row *row, bool convicted)
{
	f->nr_convicted += convicted - row->convicted;
	row->convicted = convicted;
}

/* NOLINTNEXTLINE(readability-function-size) */
void fatal_drop(struct fatal *f, struct fatal_row *row)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_key, f->table, row);
	fatal_set_convicted(f, row, false);
	cds_list_del(&row->node);
	f->count--;
	free(row);
}

void fatal_free(struct fatal *f)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		fatal_drop(f, row);
	}
}

unsigned fatal_crash_count(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_crashes; i++)
		n += !row->crashes[i].cleared;
	return n;
}

/*
 * Evicts the row with the weakest evidence, of several the least recently changed
 * one: clients can send any number of new features while endpoints crash, which
 * must evict neither convicted ones nor the next one to be convicted.
 */
static void evict_row(struct fatal *f)
{
	struct fatal_row *row, *weakest = NULL;
	unsigned strength, least = 0;

	cds_list_for_each_entry(row, &f->rows, node) {
		strength = row->recorded_wall_ms
				   ? UINT_MAX
				   : fatal_crash_count(row) + row->nr_pending;
		if (weakest && strength >= least)
			continue;
		weakest = row;
		least = strength;
	}
	fatal_drop(f, weakest);
}

/* NOLINTNEXTLINE(readability-function-size) */
struct fatal_row *fatal_get(struct fatal *f, struct hsh128 key, int64_t now)
{
	struct fatal_row *row = fatal_find(f, key);

	if (row)
		return row;
	if (f->count == FATAL_MAX_ROWS)
		evict_row(f);
	row = calloc(1, sizeof(*row));
	assert(row);
	row->key = key;
	row->kind = FATAL_NR_KINDS;
	row->changed_ms = now;
	HASH_ADD(by_key, f->table, key, sizeof(row->key), row);
	cds_list_add_tail(&row->node, &f->rows);
	f->count++;
	return row;
}

/*
 * Keeps the list in the order of changes, except for fatal_explain_others(),
 * which sets changed_ms without moving the row.
 */
void fatal_touch(struct fatal *f, struct fatal_row *row, int64_t now)
{
	row->changed_ms = now;
	row->gossiped = 0;
	cds_list_del(&row->node);
	cds_list_add_tail(&row->node, &f->rows);
}

bool fatal_empty(const struct fatal_row *row)
{
	return !row->nr_crashes && !row->nr_pending && !row->recorded_wall_ms;
}

struct fatal_crash *fatal_crash_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++) {
		if (row->crashes[i].endpoint == endpoint)
			return &row->crashes[i];
	}
	return NULL;
}

bool fatal_lower_weight(struct fatal_crash *e, unsigned weight)
{
	if (e->weight <= weight)
		return false;
	e->weight = weight;
	return true;
}

/* True if a convicted request has a crash at this endpoint, too. */
static bool is_explained(struct fatal *f, const struct fatal_row *row,
			 uint64_t endpoint)
{
	struct fatal_row *other;

	if (!f->nr_convicted)
		return false;
	cds_list_for_each_entry(other, &f->rows, node) {
		if (other != row && other->convicted &&
		    fatal_crash_at(other, endpoint))
			return true;
	}
	return false;
}

/* True if `a` makes room before `b`: cleared ones do, then the oldest. */
static bool is_dispensable(const struct fatal_crash *a,
			   const struct fatal_crash *b)
{
	if (a->cleared != b->cleared)
		return a->cleared;
	return a->at_ms < b->at_ms;
}

/*
 * Returns a free slot, or else that of a cleared crash or of one before `at`; NULL:
 * none. So of the same crashes in any order the latest ones are kept.
 */
static struct fatal_crash *crash_slot(struct fatal_row *row, int64_t at)
{
	struct fatal_crash *least = &row->crashes[0];
	unsigned i;

	if (row->nr_crashes < FATAL_MAX_CRASHES)
		return &row->crashes[row->nr_crashes++];
	for (i = 1; i < row->nr_crashes; i++) {
		if (is_dispensable(&row->crashes[i], least))
			least = &row->crashes[i];
	}
	return least->cleared || least->at_ms < at ? least : NULL;
}

bool fatal_add_crash(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		     unsigned weight, int64_t at)
{
	struct fatal_crash *e;

	if (fatal_crash_at(row, endpoint))
		return false;
	e = crash_slot(row, at);
	if (!e)
		return false;
	*e = (struct fatal_crash){
		.endpoint = endpoint,
		.at_ms = at,
		.weight = weight < FATAL_MAX_WEIGHT ? weight : FATAL_MAX_WEIGHT,
	};
	if (!row->convicted && is_explained(f, row, endpoint))
		fatal_lower_weight(e, FATAL_WEIGHT_SHARED);
	return true;
}

void fatal_explain_others(struct fatal *f, struct fatal_row *by, int64_t now)
{
	struct fatal_row *row;
	unsigned i;
	bool changed;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (row == by || row->convicted)
			continue;
		changed = false;
		for (i = 0; i < row->nr_crashes; i++) {
			if (fatal_crash_at(by, row->crashes[i].endpoint))
				changed |= fatal_lower_weight(
					&row->crashes[i], FATAL_WEIGHT_SHARED);
		}
		if (!changed)
			continue;
		row->changed_ms = now;
		f->vt->changed(f->arg, row, FATAL_EXPLAINED, 0);
	}
}

void fatal_report_crash(struct fatal *f, struct fatal_row *row,
			uint64_t endpoint, int64_t now)
{
	enum fatal_change change = FATAL_SUSPECTED;

	if (row->convicted)
		change = FATAL_CRASHED_AGAIN;
	else if (fatal_is_convicted(f, row, now))
		change = FATAL_CONVICTED;
	fatal_set_convicted(f, row, change != FATAL_SUSPECTED);
	f->vt->changed(f->arg, row, change, endpoint);
	if (change == FATAL_CONVICTED)
		fatal_explain_others(f, row, now);
}
