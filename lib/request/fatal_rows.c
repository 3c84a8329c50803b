/* The rows: contents, their ends, and how much these weigh. */
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

/* uthash's macros count as fifty statements of ours. */
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

unsigned fatal_count(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_ends; i++)
		n += !row->ends[i].cleared;
	return n;
}

bool fatal_is_convicted(const struct fatal_row *row)
{
	unsigned i, weight = 0;

	if (row->stored_true_ms || fatal_count(row) >= FATAL_ENDS_MOST)
		return true;
	for (i = 0; i < row->nr_ends; i++)
		weight += row->ends[i].cleared ? 0 : row->ends[i].weight;
	return weight >= FATAL_WEIGHT_CONVICTS;
}

/*
 * Room for a row: callers can invent contents, and must not push out what is
 * proved by those that are merely new.
 */
static void make_room(struct fatal *f)
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
		make_room(f);
	row = calloc(1, sizeof(*row));
	assert(row);
	row->content = content;
	row->changed_ms = now;
	HASH_ADD(by_content, f->table, content, sizeof(row->content), row);
	cds_list_add_tail(&row->node, &f->rows);
	f->count++;
	return row;
}

/* The list is in the order of changes but for what was only explained. */
void fatal_touch(struct fatal *f, struct fatal_row *row, int64_t now)
{
	row->changed_ms = now;
	cds_list_del(&row->node);
	cds_list_add_tail(&row->node, &f->rows);
}

bool fatal_empty(const struct fatal_row *row)
{
	return !row->nr_ends && !row->nr_doubts && !row->stored_true_ms;
}

struct fatal_end *fatal_end_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_ends; i++) {
		if (row->ends[i].endpoint == endpoint)
			return &row->ends[i];
	}
	return NULL;
}

bool fatal_weigh_less(struct fatal_end *e, unsigned weight)
{
	if (e->weight <= weight)
		return false;
	e->weight = weight;
	return true;
}

/* True if another one was convicted by the end of this endpoint, too. */
static bool is_explained(struct fatal *f, const struct fatal_row *row,
			 uint64_t endpoint)
{
	struct fatal_row *other;

	cds_list_for_each_entry(other, &f->rows, node) {
		if (other != row && fatal_is_convicted(other) &&
		    fatal_end_at(other, endpoint))
			return true;
	}
	return false;
}

/* Room for an end, if need be that of the oldest one which does not count. */
static struct fatal_end *room_for_end(struct fatal_row *row)
{
	unsigned i;

	if (row->nr_ends < FATAL_MAX_ENDS)
		return &row->ends[row->nr_ends++];
	for (i = 0; i < row->nr_ends; i++) {
		if (!row->ends[i].cleared)
			continue;
		memmove(&row->ends[i], &row->ends[i + 1],
			(row->nr_ends - i - 1) * sizeof(row->ends[0]));
		return &row->ends[row->nr_ends - 1];
	}
	return NULL;
}

bool fatal_add_end(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		   unsigned weight, int64_t at)
{
	struct fatal_end *e;

	if (fatal_end_at(row, endpoint))
		return false;
	e = room_for_end(row);
	if (!e)
		return false;
	*e = (struct fatal_end){
		.endpoint = endpoint,
		.at_ms = at,
		.weight = weight < FATAL_WEIGHT_MOST ? weight
						     : FATAL_WEIGHT_MOST,
	};
	if (!fatal_is_convicted(row) && is_explained(f, row, endpoint))
		fatal_weigh_less(e, FATAL_WEIGHT_SHARED);
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
		for (i = 0; i < row->nr_ends; i++) {
			if (fatal_end_at(by, row->ends[i].endpoint))
				changed |= fatal_weigh_less(
					&row->ends[i], FATAL_WEIGHT_SHARED);
		}
		if (!changed)
			continue;
		row->changed_ms = now;
		f->vt->changed(f->arg, row, FATAL_EXPLAINED, 0);
	}
}

void fatal_tell_end(struct fatal *f, const struct fatal_row *row, bool known,
		    uint64_t endpoint)
{
	enum fatal_news news = FATAL_SUSPECTED;

	if (known)
		news = FATAL_MORE;
	else if (fatal_is_convicted(row))
		news = FATAL_CONVICTED;
	f->vt->changed(f->arg, row, news, endpoint);
}
