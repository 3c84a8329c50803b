/* The gossip between entries about requests that crash endpoints. */
#include <string.h>

#include "request/fatal_internal.h"

/* For this long after a change, a row is part of each gossip round. */
#define FRESH_MS 3000

static void fill_row(const struct fatal_row *row, uint64_t running_at,
		     struct fatal_gossip *out, int64_t now)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	out->content = row->content;
	out->running_at = running_at;
	out->nr_crashes = row->nr_crashes;
	for (i = 0; i < row->nr_crashes; i++) {
		out->crashes[i].endpoint = row->crashes[i].endpoint;
		out->crashes[i].age_ms =
			(uint32_t)(now - row->crashes[i].at_ms);
		out->crashes[i].weight = row->crashes[i].weight;
		out->crashes[i].cleared = row->crashes[i].cleared;
	}
}

/* Adds the other rows that have crashes, in rotation, up to `max`. */
static unsigned collect_in_turn(struct fatal *f, struct fatal_gossip *out,
				unsigned max, int64_t now)
{
	const struct fatal_row *row;
	unsigned i = 0, n = 0;

	if (f->next_in_turn >= f->count)
		f->next_in_turn = 0;
	cds_list_for_each_entry(row, &f->rows, node) {
		if (i++ < f->next_in_turn || !row->nr_crashes ||
		    now - row->changed_ms < FRESH_MS)
			continue;
		if (n == max)
			return n;
		fill_row(row, 0, &out[n++], now);
		f->next_in_turn = i;
	}
	f->next_in_turn = 0;
	return n;
}

unsigned fatal_collect_gossip(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, unsigned *fresh,
			      fatal_running_at running_at, void *arg,
			      int64_t now)
{
	const struct fatal_row *row;
	unsigned n = 0;
	uint64_t at;

	cds_list_for_each_entry_reverse(row, &f->rows, node)
	{
		if (!row->nr_crashes || n == max)
			continue;
		at = fatal_crash_count(row) ? running_at(arg, row->content) : 0;
		if (at || now - row->changed_ms < FRESH_MS)
			fill_row(row, at, &out[n++], now);
	}
	*fresh = n;
	return n + collect_in_turn(f, out + n, max - n, now);
}

/* Sets where another entry runs the content; `endpoint` 0: nowhere. */
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

/* Merges a received row into `row`. */
static void merge_row(struct fatal *f, struct fatal_row *row,
		      const struct fatal_gossip *received, int64_t now)
{
	const unsigned before = fatal_crash_count(row);
	const bool was_convicted = fatal_is_convicted(row);
	bool is_news = false;
	unsigned i, after;

	for (i = 0; i < received->nr_crashes; i++) {
		const uint64_t endpoint = received->crashes[i].endpoint;
		struct fatal_crash *e;

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
	fatal_touch(f, row, now);
	after = fatal_crash_count(row);
	if (after > before)
		fatal_report_crash(f, row, was_convicted, 0);
	if (after > before && fatal_is_convicted(row))
		fatal_explain_others(f, row, now);
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
		if (!received[i].nr_crashes)
			continue;
		row = fatal_get(f, received[i].content, now);
		merge_row(f, row, &received[i], now);
		update_run(row, entry, received[i].running_at, now);
	}
}
