/*
 * jlog: JSON log. Structured log lines, one JSON object each, on an event loop.
 *
 * Lines are buffered in memory and written in batches without blocking. If the
 * reader is too slow or the rate limit is exceeded, lines are dropped and
 * counted; the next line that is kept has the count as `lines_dropped`.
 */
#ifndef JLOG_H
#define JLOG_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clk.h"

enum jlog_level {
	JLOG_ERROR,
	JLOG_WARN,
	JLOG_INFO,
	JLOG_DEBUG,
};

struct jlog;

/*
 * Creates a log that writes to `fd`, which is made non-blocking and stays the
 * caller's. Lines more verbose than `level` are suppressed. `instance` is
 * copied, at most 63 bytes, and written in each line. Free with jlog_free.
 */
struct jlog *jlog_create(struct ev_loop *loop, const struct clk *clk, int fd,
			 enum jlog_level level, const char *instance);

/* Writes the buffered lines as far as possible without blocking, and frees. */
void jlog_free(struct jlog *l);

/*
 * Writes a line: begin it with its event, add fields, end it. Lines cannot be
 * nested. Names are not escaped and must be literals; values are escaped.
 */
void jlog_begin(struct jlog *l, enum jlog_level level, const char *event);
void jlog_str(struct jlog *l, const char *name, const char *value);
void jlog_int(struct jlog *l, const char *name, int64_t value);
void jlog_num(struct jlog *l, const char *name, double value);
void jlog_bool(struct jlog *l, const char *name, bool value);
void jlog_end(struct jlog *l);

/* Number of lines dropped since jlog_create. */
uint64_t jlog_dropped(const struct jlog *l);

#endif
