/* The rows: one for each content, with its crashes and their weights. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "request/fatal_internal.h"

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
struct fatal_row *fatal_find(struct fatal *f, struct hsh128 content)
{
	struct fatal_row *row = NULL;

	if (f->count)
		HASH_FIND(by_content, f->table, &content, sizeof(content), row);
	return row;
}

/* NOLINTNEXTLINE(readability-function-size) */
void fatal_drop(struct fatal *f, struct fatal_row *row)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_content, f->table, row);
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

bool fatal_is_convicted(const struct fatal_row *row)
{
	unsigned i, weight = 0;

	if (row->recorded_wall_ms ||
	    fatal_crash_count(row) >= FATAL_CONVICT_ALWAYS_CRASHES)
		return true;
	for (i = 0; i < row->nr_crashes; i++)
		weight += row->crashes[i].cleared ? 0 : row->crashes[i].weight;
	return weight >= FATAL_CONVICT_WEIGHT;
}

/*
 * Evicts the least recently changed row, convicted ones last: clients can send
 * any number of new contents, which must not evict convicted ones.
 */
static void evict_row(struct fatal *f)
{
	struct fatal_row *row;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (!fatal_is_convicted(row)) {
			fatal_drop(f, row);
			return;
		}
	}
	fatal_drop(f, cds_list_first_entry(&f->rows, struct fatal_row, node));
}

/* NOLINTNEXTLINE(readability-function-size) */
struct fatal_row *fatal_get(struct fatal *f, struct hsh128 content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (row)
		return row;
	if (f->count == FATAL_MAX_ROWS)
		evict_row(f);
	row = calloc(1, sizeof(*row));
	assert(row);
	row->content = content;
	row->changed_ms = now;
	HASH_ADD(by_content, f->table, content, sizeof(row->content), row);
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

	cds_list_for_each_entry(other, &f->rows, node) {
		if (other != row && fatal_is_convicted(other) &&
		    fatal_crash_at(other, endpoint))
			return true;
	}
	return false;
}

/* Returns a free slot, or else the oldest cleared crash's; NULL: neither. */
static struct fatal_crash *crash_slot(struct fatal_row *row)
{
	unsigned i;

	if (row->nr_crashes < FATAL_MAX_CRASHES)
		return &row->crashes[row->nr_crashes++];
	for (i = 0; i < row->nr_crashes; i++) {
		if (!row->crashes[i].cleared)
			continue;
		memmove(&row->crashes[i], &row->crashes[i + 1],
			(row->nr_crashes - i - 1) * sizeof(row->crashes[0]));
		return &row->crashes[row->nr_crashes - 1];
	}
	return NULL;
}

bool fatal_add_crash(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		     unsigned weight, int64_t at)
{
	struct fatal_crash *e;

	if (fatal_crash_at(row, endpoint))
		return false;
	e = crash_slot(row);
	if (!e)
		return false;
	*e = (struct fatal_crash){
		.endpoint = endpoint,
		.at_ms = at,
		.weight = weight < FATAL_MAX_WEIGHT ? weight : FATAL_MAX_WEIGHT,
	};
	if (!fatal_is_convicted(row) && is_explained(f, row, endpoint))
		fatal_lower_weight(e, FATAL_WEIGHT_SHARED);
	return true;
}

void fatal_explain_others(struct fatal *f, struct fatal_row *by, int64_t now)
{
	struct fatal_row *row;
	unsigned i;
	bool changed;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (row == by || fatal_is_convicted(row))
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

void fatal_report_crash(struct fatal *f, const struct fatal_row *row,
			bool was_convicted, uint64_t endpoint)
{
	enum fatal_change change = FATAL_SUSPECTED;

	if (was_convicted)
		change = FATAL_CRASHED_AGAIN;
	else if (fatal_is_convicted(row))
		change = FATAL_CONVICTED;
	f->vt->changed(f->arg, row, change, endpoint);
}
