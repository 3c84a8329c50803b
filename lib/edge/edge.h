/*
 * edge: one entry of the request proxy, as a single-threaded event loop.
 *
 * Decisions are made by modules without I/O (request, route, limit, config,
 * fleet, member, store, duty). This module does the I/O: it passes events and
 * the time to them and carries out the steps that they return.
 */
#ifndef EDGE_H
#define EDGE_H

#include "base/clk.h"
#include "base/err.h"
#include "base/jlog.h"
#include "edge/conf.h"
#include "edge/wire.h"

/*
 * Runs an entry until SIGTERM or SIGINT and the drain that follows. Returns
 * the process's exit code: 0, or 1 with an error in `e` if the entry cannot
 * start.
 *
 * `settings_path` is read again on SIGHUP. The log goes to stdout; lines less
 * severe than `level` are left out. All pointers must stay valid until the
 * return; `conf` is copied. Call once per process: it uses libev's default loop
 * and does not free all memory.
 */
int edge_run(const char *settings_path, const struct conf *conf,
	     const struct wire *wire, const struct clk *clk,
	     enum jlog_level level, struct err *e);

#endif
