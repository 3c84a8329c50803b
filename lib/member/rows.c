#include "member/rows.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"

#define MIN_CAPACITY 64 /* rows */

void rows_clear(struct rows *r)
{
	r->nr_demands = r->nr_counts = r->nr_changed = 0;
}

void rows_free(struct rows *r)
{
	free(r->demands);
	free(r->counts);
	memset(r, 0, sizeof(*r));
}

static void *grow(void *rows, size_t n, size_t *max, size_t row_size)
{
	if (n < *max)
		return rows;
	*max = *max ? 2 * *max : MIN_CAPACITY;
	rows = realloc(rows, *max * row_size);
	assert(rows);
	return rows;
}

void rows_add_demand(struct rows *r, const char *account, double per_s)
{
	struct gsp_demand *d;

	r->demands =
		grow(r->demands, r->nr_demands, &r->max_demands, sizeof(*d));
	d = &r->demands[r->nr_demands++];
	str_copy(d->account, account, sizeof(d->account));
	d->per_s = per_s;
}

void rows_add_count(struct rows *r, uint64_t source, int64_t window,
		    const char *account, int64_t runs)
{
	struct gsp_count *c;

	r->counts = grow(r->counts, r->nr_counts, &r->max_counts, sizeof(*c));
	c = &r->counts[r->nr_counts++];
	c->source = source;
	c->window = window;
	c->runs = runs;
	str_copy(c->account, account, sizeof(c->account));
}

void rows_end_changed(struct rows *r)
{
	r->nr_changed = r->nr_counts;
}

static size_t counts_to_send(const struct rows *r,
			     const struct rows_filter *filter)
{
	if (filter->all_counts)
		return r->nr_counts;
	return filter->counts ? r->nr_changed : 0;
}

size_t rows_left(const struct rows *r, const struct rows_filter *filter,
		 const struct rows_cursor *c)
{
	return (filter->demands ? r->nr_demands - c->demand : 0) +
	       counts_to_send(r, filter) - c->count;
}

static unsigned at_most(size_t n, size_t max)
{
	return (unsigned)(n < max ? n : max);
}

/* The rows of the first datagram of a group only. */
static void clear_other_rows(struct gsp_record *record)
{
	record->nr_loads = record->nr_services = record->nr_fatal = 0;
	record->nr_tallies = record->nr_rolled_back = record->nr_members = 0;
	record->nr_statements = record->nr_brittle = 0;
	record->nr_speeds = record->nr_rollouts = 0;
}

static void copy_rows(const struct rows *r, const struct rows_cursor *c,
		      struct gsp_record *record)
{
	if (record->nr_demands)
		memcpy(record->demands, r->demands + c->demand,
		       record->nr_demands * sizeof(record->demands[0]));
	if (record->nr_counts)
		memcpy(record->counts, r->counts + c->count,
		       record->nr_counts * sizeof(record->counts[0]));
}

size_t rows_encode(const struct rows *r, const struct rows_filter *filter,
		   struct rows_cursor *c, struct gsp_record *record, char *out,
		   size_t size)
{
	size_t n, left;

	if (c->end)
		return 0;
	record->nr_demands =
		filter->demands
			? at_most(r->nr_demands - c->demand, GSP_MAX_DEMANDS)
			: 0;
	record->nr_counts =
		at_most(counts_to_send(r, filter) - c->count, GSP_MAX_COUNTS);
	copy_rows(r, c, record);
	record->part = c->part;
	for (;;) {
		left = rows_left(r, filter, c) - record->nr_demands -
		       record->nr_counts;
		record->last_part = !left;
		n = gsp_encode(record, out, size);
		if (n || !(record->nr_demands + record->nr_counts +
			   record->nr_speeds))
			break;
		/* Speeds are sent again soon, and no other part has them. */
		if (!(record->nr_demands + record->nr_counts))
			record->nr_speeds /= 2;
		record->nr_demands /= 2;
		record->nr_counts /= 2;
	}
	c->demand += record->nr_demands;
	c->count += record->nr_counts;
	c->part++;
	c->end = !left || !n;
	clear_other_rows(record);
	return n;
}
