/* The gossip between entries about requests that crash endpoints. */
#include <string.h>

#include "request/fatal_internal.h"

/* For this long after a change, a row is part of each gossip round. */
#define FRESH_MS 3000

/* The number of the row's crashes that are later, or as late and before it. */
static unsigned later_crashes(const struct fatal_row *row, unsigned at)
{
	const int64_t at_ms = row->crashes[at].at_ms;
	unsigned i, n = 0;

	for (i = 0; i < row->nr_crashes; i++)
		n += row->crashes[i].at_ms > at_ms ||
		     (row->crashes[i].at_ms == at_ms && i < at);
	return n;
}

static void fill_row(const struct fatal_row *row, uint64_t running_at,
		     struct fatal_gossip *out, int64_t now)
{
	const struct fatal_crash *e;
	unsigned i, n = 0;

	memset(out, 0, sizeof(*out));
	out->key = row->key;
	out->running_at = running_at;
	for (i = 0; i < row->nr_crashes; i++) {
		e = &row->crashes[i];
		if (later_crashes(row, i) >= FATAL_MAX_GOSSIP_CRASHES)
			continue;
		out->crashes[n].endpoint = e->endpoint;
		out->crashes[n].age_ms = (uint32_t)(now - e->at_ms);
		out->crashes[n].weight = e->weight;
		out->crashes[n++].cleared = e->cleared;
	}
	out->nr_crashes = n;
}

/*
 * Adds rows that have not changed lately, in rotation from *next on, up to `max`:
 * the convicted ones, or the others that have crashes.
 */
static unsigned collect_in_turn(struct fatal *f, struct fatal_gossip *out,
				unsigned max, bool convicted, unsigned *next,
				int64_t now)
{
	const struct fatal_row *row;
	unsigned i = 0, n = 0;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (i++ < *next || !row->nr_crashes ||
		    now - row->changed_ms < FRESH_MS ||
		    row->convicted != convicted)
			continue;
		if (n == max)
			return n;
		fill_row(row, 0, &out[n++], now);
		*next = i;
	}
	*next = 0;
	return n;
}

/* A row to be gossiped, and where the request runs here. */
struct candidate {
	struct fatal_row *row;
	uint64_t at;
};

/*
 * Of rows that are equally suspect, those gossiped less often come first. Cleared
 * crashes count: that they are is as urgent as the suspicion.
 */
static bool comes_before(const struct candidate *a, const struct candidate *b)
{
	if (a->row->nr_crashes != b->row->nr_crashes)
		return a->row->nr_crashes > b->row->nr_crashes;
	return a->row->gossiped < b->row->gossiped;
}

/* Inserts `c` into the `n` candidates in order; of more than `max` drops one. */
static unsigned insert(struct candidate *all, unsigned n, unsigned max,
		       const struct candidate *c)
{
	unsigned i = n;

	if (n == max && (!max || !comes_before(c, &all[n - 1])))
		return n;
	if (n == max)
		i--;
	for (; i && comes_before(c, &all[i - 1]); i--)
		all[i] = all[i - 1];
	all[i] = *c;
	return n < max ? n + 1 : n;
}

/* While endpoints crash, more rows change than a datagram has room for. */
static unsigned collect_fresh(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, int64_t now)
{
	struct candidate all[FATAL_MAX_GOSSIP], c;
	unsigned i, n = 0;

	if (max > FATAL_MAX_GOSSIP)
		max = FATAL_MAX_GOSSIP;
	cds_list_for_each_entry_reverse(c.row, &f->rows, node)
	{
		if (!c.row->nr_crashes)
			continue;
		c.at = fatal_crash_count(c.row) >= FATAL_STRONG_CRASHES
			       ? f->vt->running_at(f->arg, c.row->key)
			       : 0;
		if (c.at || now - c.row->changed_ms < FRESH_MS)
			n = insert(all, n, max, &c);
	}
	for (i = 0; i < n; i++) {
		all[i].row->gossiped++;
		fill_row(all[i].row, all[i].at, &out[i], now);
	}
	return n;
}

unsigned fatal_collect_gossip(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, unsigned *fresh, int64_t now)
{
	unsigned n = collect_fresh(f, out, max, now);

	*fresh = n;
	/* One convicted row comes first: an entry that was away lacks it. */
	n += collect_in_turn(f, out + n, n < max, true, &f->next_convicted,
			     now);
	return n +
	       collect_in_turn(f, out + n, max - n, false, &f->next_other, now);
}

/* Sets where another entry runs the request; `endpoint` 0: nowhere. */
static void update_run(struct fatal_row *row, uint64_t entry, uint64_t endpoint,
		       int64_t now)
{
	unsigned i, at = row->nr_runs;

	for (i = 0; i < row->nr_runs; i++) {
		if (row->runs[i].entry == entry)
			at = i;
	}
	if (!endpoint) {
		if (at < row->nr_runs)
			row->runs[at] = row->runs[--row->nr_runs];
		return;
	}
	if (at == FATAL_MAX_RUNS)
		return;
	if (at == row->nr_runs)
		row->nr_runs++;
	row->runs[at] = (struct fatal_run){ entry, endpoint, now };
}

/* The crash does not count, since the part was answered just before or later. */
static bool is_refuted(struct fatal *f, const struct fatal_gossip *received,
		       unsigned i, int64_t now)
{
	return !received->crashes[i].cleared &&
	       fatal_was_answered(f, received->key,
				  now - received->crashes[i].age_ms);
}

/* False if the row would be empty. */
static bool has_news(struct fatal *f, const struct fatal_gossip *received,
		     int64_t now)
{
	unsigned i;

	if (fatal_find(f, received->key))
		return received->nr_crashes > 0;
	for (i = 0; i < received->nr_crashes; i++) {
		if (!is_refuted(f, received, i, now))
			return true;
	}
	return false;
}

/* An answer clears all crashes before it, also those that are not gossiped. */
static void clear_earlier(struct fatal_row *row)
{
	int64_t cleared_ms = INT64_MIN;
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++) {
		if (row->crashes[i].cleared &&
		    row->crashes[i].at_ms > cleared_ms)
			cleared_ms = row->crashes[i].at_ms;
	}
	for (i = 0; i < row->nr_crashes; i++)
		row->crashes[i].cleared |= row->crashes[i].at_ms < cleared_ms;
}

/* Merges a received row into `row`. */
static void merge_row(struct fatal *f, struct fatal_row *row,
		      const struct fatal_gossip *received, int64_t now)
{
	const unsigned before = fatal_crash_count(row);
	bool is_news = false;
	unsigned i, after;

	for (i = 0; i < received->nr_crashes; i++) {
		const uint64_t endpoint = received->crashes[i].endpoint;
		struct fatal_crash *e;

		if (!fatal_crash_at(row, endpoint) &&
		    is_refuted(f, received, i, now))
			continue;
		is_news |= fatal_add_crash(f, row, endpoint,
					   received->crashes[i].weight,
					   now - received->crashes[i].age_ms);
		e = fatal_crash_at(row, endpoint);
		if (!e)
			continue;
		is_news |= fatal_lower_weight(e, received->crashes[i].weight);
		is_news |= received->crashes[i].cleared && !e->cleared;
		e->cleared |= received->crashes[i].cleared;
	}
	if (!is_news)
		return;
	clear_earlier(row);
	fatal_touch(f, row, now);
	after = fatal_crash_count(row);
	if (after > before)
		fatal_report_crash(f, row, 0, now);
	else if (before && !after)
		f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_merge_gossip(struct fatal *f, uint64_t entry,
			const struct fatal_gossip *received, unsigned n,
			int64_t now)
{
	struct fatal_row *row;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!has_news(f, &received[i], now))
			continue;
		row = fatal_get(f, received[i].key, now);
		merge_row(f, row, &received[i], now);
		update_run(row, entry, received[i].running_at, now);
	}
}
