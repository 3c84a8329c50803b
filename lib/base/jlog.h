/*
 * jlog: structured log lines, one JSON object each, on an event loop.
 *
 * A line is put together in memory and written in batches without blocking.
 * When the reader does not keep up, or lines come faster than the bound,
 * lines are dropped, counted, and the count is told in the next line that is
 * kept.
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

/* Writes to `fd`, which is made non-blocking. */
struct jlog *jlog_create(struct ev_loop *loop, const struct clk *clk, int fd,
			 enum jlog_level level, const char *instance);

/* Writes what is held, as far as the reader takes it, and frees. */
void jlog_free(struct jlog *l);

/*
 * One line: begin it with its event, add fields, end it. Between begin and
 * end no other line may begin. Names are literals; values are escaped.
 */
void jlog_begin(struct jlog *l, enum jlog_level level, const char *event);
void jlog_str(struct jlog *l, const char *name, const char *value);
void jlog_int(struct jlog *l, const char *name, int64_t value);
void jlog_num(struct jlog *l, const char *name, double value);
void jlog_bool(struct jlog *l, const char *name, bool value);
void jlog_end(struct jlog *l);

/* Lines that were dropped since the start. */
uint64_t jlog_dropped(const struct jlog *l);

#endif
