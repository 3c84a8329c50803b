/*
 * met: counters and gauges of one process, in Prometheus text.
 *
 * Counters are registered at start-up, before threads begin, and are then
 * plain atomics. The registry is a context object: no hidden globals.
 */
#ifndef MET_H
#define MET_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#define MET_MAX_METRICS \
	96 /* counters of one program; raise when one is added */

typedef atomic_llong met_value;

/*
 * A histogram of times in milliseconds, in the buckets of met_bounds_ms and
 * one beyond; registered and printed like the counters.
 */
#define MET_BUCKETS 12
#define MET_MAX_HISTOGRAMS 8
extern const int met_bounds_ms[MET_BUCKETS];

struct met_histogram {
	const char *name;
	const char *help;
	met_value buckets[MET_BUCKETS + 1]; /* each alone, not summed up */
	met_value sum_ms;
};

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

/* Registers a counter; `name` and `help` must be literals. */
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

struct met_histogram *met_histogram(struct met *m, const char *name,
				    const char *help);
void met_observe(struct met_histogram *h, int64_t ms);

/* Appends the text exposition format. */
void met_print(struct met *m, struct buf *out);

#endif
