/* What entries tell each other of requests that end endpoints. */
#include <string.h>

#include "request/fatal_internal.h"

/* A change is told in each round for so long. */
#define FRESH_MS 3000

static void tell_row(const struct fatal_row *row, uint64_t run_at,
		     struct fatal_gossip *out, int64_t now)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	out->content = row->content;
	out->running_at = run_at;
	out->nr_crashes = row->nr_crashes;
	for (i = 0; i < row->nr_crashes; i++) {
		out->crashes[i].endpoint = row->crashes[i].endpoint;
		out->crashes[i].age_ms =
			(uint32_t)(now - row->crashes[i].at_ms);
		out->crashes[i].weight = row->crashes[i].weight;
		out->crashes[i].cleared = row->crashes[i].cleared;
	}
}

/* Every row that has ends, in turn, while there is room. */
static unsigned tell_in_turn(struct fatal *f, struct fatal_gossip *out,
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
		tell_row(row, 0, &out[n++], now);
		f->next_in_turn = i;
	}
	f->next_in_turn = 0;
	return n;
}

unsigned fatal_collect_gossip(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, unsigned *fresh,
			      fatal_running_at run_at, void *arg, int64_t now)
{
	const struct fatal_row *row;
	unsigned n = 0;
	uint64_t at;

	cds_list_for_each_entry_reverse(row, &f->rows, node)
	{
		if (!row->nr_crashes || n == max)
			continue;
		at = fatal_crash_count(row) ? run_at(arg, row->content) : 0;
		if (at || now - row->changed_ms < FRESH_MS)
			tell_row(row, at, &out[n++], now);
	}
	*fresh = n;
	return n + tell_in_turn(f, out + n, max - n, now);
}

static void hear_run(struct fatal_row *row, uint64_t entry, uint64_t endpoint,
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

/* What one told row adds. */
static void join(struct fatal *f, struct fatal_row *row,
		 const struct fatal_gossip *told, int64_t now)
{
	const unsigned before = fatal_crash_count(row);
	const bool known = fatal_is_convicted(row);
	bool news = false;
	unsigned i, after;

	for (i = 0; i < told->nr_crashes; i++) {
		const uint64_t endpoint = told->crashes[i].endpoint;
		struct fatal_crash *e;

		news |= fatal_add_crash(f, row, endpoint,
					told->crashes[i].weight,
					now - told->crashes[i].age_ms);
		e = fatal_crash_at(row, endpoint);
		if (!e)
			continue;
		news |= fatal_lower_weight(e, told->crashes[i].weight);
		news |= told->crashes[i].cleared && !e->cleared;
		e->cleared |= told->crashes[i].cleared;
	}
	if (!news)
		return;
	fatal_touch(f, row, now);
	after = fatal_crash_count(row);
	if (after > before)
		fatal_report_crash(f, row, known, 0);
	if (after > before && fatal_is_convicted(row))
		fatal_explain_others(f, row, now);
	else if (before && !after)
		f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_merge_gossip(struct fatal *f, uint64_t entry,
			const struct fatal_gossip *told, unsigned n,
			int64_t now)
{
	struct fatal_row *row;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!told[i].nr_crashes)
			continue;
		row = fatal_get(f, told[i].content, now);
		join(f, row, &told[i], now);
		hear_run(row, entry, told[i].running_at, now);
	}
}
