#include "support/run_log.h"

#include <string.h>

#include "base/clk.h"

void run_log_begin(struct run_log *l, const char *id, const char *endpoint)
{
	struct run_log_entry *r;

	if (!l->runs)
		l->runs = mem_new(RUN_LOG_MAX * sizeof(*l->runs));
	if (l->nr_runs == RUN_LOG_MAX)
		return;
	r = &l->runs[l->nr_runs++];
	str_copy(r->id, id, sizeof(r->id));
	str_copy(r->endpoint, endpoint, sizeof(r->endpoint));
	r->begin_ms = clk_wall_ms(clk_real());
	r->how = "open";
}

void run_log_end(struct run_log *l, const char *id, const char *endpoint,
		 const char *how)
{
	int i;

	/* From the end: most runs that end began lately. */
	for (i = l->nr_runs - 1; i >= 0; i--) {
		struct run_log_entry *r = &l->runs[i];

		if (r->end_ms || strcmp(r->id, id) ||
		    strcmp(r->endpoint, endpoint))
			continue;
		r->end_ms = clk_wall_ms(clk_real());
		r->how = how;
		return;
	}
}

void run_log_put(const struct run_log *l, struct buf *out)
{
	int i;

	for (i = 0; i < l->nr_runs; i++) {
		const struct run_log_entry *r = &l->runs[i];

		buf_fmt(out, "%s %s %lld %lld %s\n", r->id, r->endpoint,
			(long long)r->begin_ms, (long long)r->end_ms, r->how);
	}
}
