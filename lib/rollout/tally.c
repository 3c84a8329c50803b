#include "rollout/tally.h"

#include <string.h>

void tal_begin(struct tal *t, uint64_t order)
{
	if (t->order == order)
		return;
	t->order = order;
	t->nr_rows = 0;
}

/* Differs from the hash of any other route with near certainty. */
#define FULL_ROUTE_MASK 0x80000000u

uint32_t tal_full_route(uint32_t route)
{
	return route ^ FULL_ROUTE_MASK;
}

uint32_t tal_group(uint64_t endpoint_hash)
{
	return 1 + (uint32_t)(endpoint_hash % TAL_GROUPS);
}

/* Finds or creates a row; NULL if the table is full. */
static struct tal_row *row_of(struct tal *t, uint32_t route, uint32_t group)
{
	struct tal_row *row;
	unsigned i;

	for (i = 0; i < t->nr_rows; i++) {
		if (t->rows[i].route == route && t->rows[i].group == group)
			return &t->rows[i];
	}
	if (t->nr_rows == TAL_ROWS)
		return NULL;
	row = &t->rows[t->nr_rows++];
	memset(row, 0, sizeof(*row));
	row->route = route;
	row->group = group;
	return row;
}

void tal_sent(struct tal *t, uint32_t route, uint32_t group)
{
	struct tal_row *row = t->order ? row_of(t, route, group) : NULL;

	if (row)
		row->sent++;
}

void tal_answered(struct tal *t, uint32_t route, uint32_t group,
		  enum tal_outcome o)
{
	struct tal_row *row = t->order ? row_of(t, route, group) : NULL;

	if (!row)
		return;
	row->answered++;
	row->failed += o == TAL_FAILED;
	row->late += o == TAL_LATE;
	row->broken += o == TAL_BROKEN;
}

static void add_counts(struct tal_row *to, const struct tal_row *from)
{
	to->sent += from->sent;
	to->answered += from->answered;
	to->failed += from->failed;
	to->late += from->late;
	to->broken += from->broken;
}

void tal_add(struct tal *sum, const struct tal_row *rows, unsigned nr_rows)
{
	struct tal_row *row;
	unsigned i;

	for (i = 0; i < nr_rows; i++) {
		row = row_of(sum, rows[i].route, rows[i].group);
		if (row)
			add_counts(row, &rows[i]);
	}
}

struct tal_row tal_total(const struct tal *t, bool baseline)
{
	struct tal_row total = { 0 };
	unsigned i;

	for (i = 0; i < t->nr_rows; i++) {
		if ((t->rows[i].group == TAL_BASELINE) == baseline)
			add_counts(&total, &t->rows[i]);
	}
	return total;
}
