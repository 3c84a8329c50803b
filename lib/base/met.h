/*
 * met: metrics. Counters, gauges and histograms of one process, in the
 * Prometheus text format.
 *
 * Metrics are registered at start-up, before threads start; from then on they
 * are atomics that any thread may change. The registry is an object of the
 * caller, all zero at first; there is no global state.
 */
#ifndef MET_H
#define MET_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* Counters and gauges of one program; raise it if more are needed. */
#define MET_MAX_METRICS 128

typedef atomic_llong met_value;

/*
 * Histograms of times in milliseconds. met_bounds_ms has the inclusive upper
 * bounds of the buckets; one more bucket counts the times above.
 */
#define MET_BUCKETS 12	     /* without the last */
#define MET_MAX_HISTOGRAMS 8 /* of one program */
extern const int met_bounds_ms[MET_BUCKETS];

struct met_histogram {
	const char *name;
	const char *help;
	met_value buckets[MET_BUCKETS + 1]; /* not cumulative */
	met_value sum_ms;
};

/* The registry. */
struct met {
	struct {
		const char *name;
		const char *help;
		const char *type;
		met_value value;
	} rows[MET_MAX_METRICS];
	size_t count;
	struct met_histogram histograms[MET_MAX_HISTOGRAMS];
	size_t nr_histograms;
};

/*
 * Register a counter or a gauge with value 0. `name`, without the prefix
 * marldock_, and `help` are not copied. The value is valid as long as the
 * registry. More than MET_MAX_METRICS metrics fail an assert.
 */
met_value *met_counter(struct met *m, const char *name, const char *help);
met_value *met_gauge(struct met *m, const char *name, const char *help);

static inline void met_inc(met_value *v)
{
	atomic_fetch_add_explicit(v, 1, memory_order_relaxed);
}

static inline void met_add(met_value *v, long long n)
{
	atomic_fetch_add_explicit(v, n, memory_order_relaxed);
}

static inline void met_set(met_value *v, long long n)
{
	atomic_store_explicit(v, n, memory_order_relaxed);
}

static inline long long met_get(met_value *v)
{
	return atomic_load_explicit(v, memory_order_relaxed);
}

/* Registers a histogram, like met_counter. */
struct met_histogram *met_histogram(struct met *m, const char *name,
				    const char *help);

/* Counts one time, in milliseconds. */
void met_observe(struct met_histogram *h, int64_t ms);

/* Appends all metrics in the Prometheus text exposition format. */
void met_print(struct met *m, struct buf *out);

#endif
