/* What entries tell each other of requests that end endpoints. */
#include <string.h>

#include "request/fatal_internal.h"

/* A change is told in each round for so long. */
#define FRESH_MS 3000

static void tell_row(const struct fatal_row *row, uint64_t run_at,
		     struct fatal_told *out, int64_t now)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	out->content = row->content;
	out->run_at = run_at;
	out->nr_ends = row->nr_ends;
	for (i = 0; i < row->nr_ends; i++) {
		out->ends[i].endpoint = row->ends[i].endpoint;
		out->ends[i].age_ms = (uint32_t)(now - row->ends[i].at_ms);
		out->ends[i].weight = row->ends[i].weight;
		out->ends[i].cleared = row->ends[i].cleared;
	}
}

/* Every row that has ends, in turn, while there is room. */
static unsigned tell_in_turn(struct fatal *f, struct fatal_told *out,
			     unsigned max, int64_t now)
{
	const struct fatal_row *row;
	unsigned i = 0, n = 0;

	if (f->turn >= f->count)
		f->turn = 0;
	cds_list_for_each_entry(row, &f->rows, node) {
		if (i++ < f->turn || !row->nr_ends ||
		    now - row->changed_ms < FRESH_MS)
			continue;
		if (n == max)
			return n;
		tell_row(row, 0, &out[n++], now);
		f->turn = i;
	}
	f->turn = 0;
	return n;
}

unsigned fatal_tell(struct fatal *f, struct fatal_told *out, unsigned max,
		    unsigned *fresh, fatal_run_at run_at, void *arg,
		    int64_t now)
{
	const struct fatal_row *row;
	unsigned n = 0;
	uint64_t at;

	cds_list_for_each_entry_reverse(row, &f->rows, node)
	{
		if (!row->nr_ends || n == max)
			continue;
		at = fatal_count(row) ? run_at(arg, row->content) : 0;
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
		 const struct fatal_told *told, int64_t now)
{
	const unsigned before = fatal_count(row);
	const bool known = fatal_is_convicted(row);
	bool news = false;
	unsigned i, after;

	for (i = 0; i < told->nr_ends; i++) {
		const uint64_t endpoint = told->ends[i].endpoint;
		struct fatal_end *e;

		news |= fatal_add_end(f, row, endpoint, told->ends[i].weight,
				      now - told->ends[i].age_ms);
		e = fatal_end_at(row, endpoint);
		if (!e)
			continue;
		news |= fatal_weigh_less(e, told->ends[i].weight);
		news |= told->ends[i].cleared && !e->cleared;
		e->cleared |= told->ends[i].cleared;
	}
	if (!news)
		return;
	fatal_touch(f, row, now);
	after = fatal_count(row);
	if (after > before)
		fatal_tell_end(f, row, known, 0);
	if (after > before && fatal_is_convicted(row))
		fatal_explain_others(f, row, now);
	else if (before && !after)
		f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_heard(struct fatal *f, uint64_t entry, const struct fatal_told *told,
		 unsigned n, int64_t now)
{
	struct fatal_row *row;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!told[i].nr_ends)
			continue;
		row = fatal_get(f, told[i].content, now);
		join(f, row, &told[i], now);
		hear_run(row, entry, told[i].run_at, now);
	}
}
