#include "member/rank.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"

#define MIN_CAPACITY 64 /* rows */

void rank_init(struct rank *r, enum rank_purpose purpose)
{
	r->purpose = purpose;
	r->n = 0;
}

void rank_free(struct rank *r)
{
	free(r->rows);
	memset(r, 0, sizeof(*r));
}

static void grow(struct rank *r)
{
	r->capacity = r->capacity ? 2 * r->capacity : MIN_CAPACITY;
	r->rows = realloc(r->rows, r->capacity * sizeof(r->rows[0]));
	assert(r->rows);
}

void rank_add(struct rank *r, const char *name, const char *zone, void *entry)
{
	if (r->n == r->capacity)
		grow(r);
	r->rows[r->n++] = (struct rank_row){
		.zone = zone,
		.entry = entry,
		.weight = hsh_str(name, (uint64_t)r->purpose + 1),
	};
}

static int by_weight(const void *a, const void *b)
{
	const struct rank_row *x = a, *y = b;

	return x->weight < y->weight ? -1 : x->weight > y->weight;
}

static int by_zone_rank(const void *a, const void *b)
{
	const struct rank_row *x = a, *y = b;

	if (x->zone_rank != y->zone_rank)
		return x->zone_rank < y->zone_rank ? -1 : 1;
	return by_weight(a, b);
}

static int by_zone(const void *a, const void *b)
{
	const struct rank_row *x = a, *y = b;
	const int order = strcmp(x->zone, y->zone);

	return order ? order : by_weight(a, b);
}

void rank_sort(struct rank *r)
{
	if (r->n)
		qsort(r->rows, r->n, sizeof(r->rows[0]), by_weight);
}

/*
 * Inserts row `i` into the sorted rows before it, of which the first `k` are
 * kept sorted.
 */
static void insert(struct rank *r, size_t i, size_t k)
{
	const struct rank_row row = r->rows[i];
	size_t at = i < k ? i : k - 1;

	r->rows[i] = r->rows[at];
	for (; at && row.weight < r->rows[at - 1].weight; at--)
		r->rows[at] = r->rows[at - 1];
	r->rows[at] = row;
}

void rank_select(struct rank *r, size_t k)
{
	size_t i;

	if (!k)
		return;
	for (i = 1; i < r->n; i++) {
		if (i < k || r->rows[i].weight < r->rows[k - 1].weight)
			insert(r, i, k);
	}
}

const struct rank_row *rank_for_key(const struct rank *r, size_t n,
				    uint64_t key)
{
	const struct rank_row *best = &r->rows[0];
	uint64_t most = hsh_rendezvous(key, best->weight), weight;
	size_t i;

	for (i = 1; i < n; i++) {
		weight = hsh_rendezvous(key, r->rows[i].weight);
		if (weight <= most)
			continue;
		best = &r->rows[i];
		most = weight;
	}
	return best;
}

void rank_interleave_zones(struct rank *r)
{
	size_t i;

	if (!r->n)
		return;
	qsort(r->rows, r->n, sizeof(r->rows[0]), by_zone);
	for (i = 0; i < r->n; i++) {
		const bool same = i &&
				  !strcmp(r->rows[i].zone, r->rows[i - 1].zone);

		r->rows[i].zone_rank = same ? r->rows[i - 1].zone_rank + 1 : 0;
	}
	qsort(r->rows, r->n, sizeof(r->rows[0]), by_zone_rank);
}
