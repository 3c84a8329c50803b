#include "base/met.h"

#include <assert.h>

static met_value *met_register(struct met *m, const char *name,
			       const char *help, const char *type)
{
	const size_t i = m->count++;

	assert(i < MET_MAX_METRICS);
	m->rows[i].name = name;
	m->rows[i].help = help;
	m->rows[i].type = type;
	return &m->rows[i].value;
}

met_value *met_counter(struct met *m, const char *name, const char *help)
{
	return met_register(m, name, help, "counter");
}

met_value *met_gauge(struct met *m, const char *name, const char *help)
{
	return met_register(m, name, help, "gauge");
}

/*
 * From the few milliseconds of a call to a plain service to the longest
 * deadline of a stream.
 */
const int met_bounds_ms[MET_BUCKETS] = { 5,   10,  25,	 50,   100,  250,
					 500, 800, 1200, 2500, 5000, 12000 };

struct met_histogram *met_histogram(struct met *m, const char *name,
				    const char *help)
{
	struct met_histogram *h = &m->histograms[m->nr_histograms++];

	assert(m->nr_histograms <= MET_MAX_HISTOGRAMS);
	h->name = name;
	h->help = help;
	return h;
}

void met_observe(struct met_histogram *h, int64_t ms)
{
	size_t i = 0;

	while (i < MET_BUCKETS && ms > met_bounds_ms[i])
		i++;
	met_inc(&h->buckets[i]);
	met_add(&h->sum_ms, ms);
}

static void print_histogram(struct met_histogram *h, struct buf *out)
{
	long long all = 0;
	size_t i;

	buf_fmt(out, "# HELP marldock_%s %s\n# TYPE marldock_%s histogram\n",
		h->name, h->help, h->name);
	for (i = 0; i < MET_BUCKETS; i++) {
		all += met_get(&h->buckets[i]);
		buf_fmt(out, "marldock_%s_bucket{le=\"%d\"} %lld\n", h->name,
			met_bounds_ms[i], all);
	}
	all += met_get(&h->buckets[MET_BUCKETS]);
	buf_fmt(out, "marldock_%s_bucket{le=\"+Inf\"} %lld\n", h->name, all);
	buf_fmt(out, "marldock_%s_sum %lld\nmarldock_%s_count %lld\n", h->name,
		met_get(&h->sum_ms), h->name, all);
}

void met_print(struct met *m, struct buf *out)
{
	size_t i;

	for (i = 0; i < m->count; i++) {
		buf_fmt(out, "# HELP marldock_%s %s\n", m->rows[i].name,
			m->rows[i].help);
		buf_fmt(out, "# TYPE marldock_%s %s\nmarldock_%s %lld\n",
			m->rows[i].name, m->rows[i].type, m->rows[i].name,
			met_get(&m->rows[i].value));
	}
	for (i = 0; i < m->nr_histograms; i++)
		print_histogram(&m->histograms[i], out);
}
