/*
 * edge: an entry on the platform, as one event loop.
 *
 * The decisions are pure modules (request, route, limit, config, fleet,
 * member, store, duty); this shell gives them events and carries out what
 * they say.
 */
#ifndef EDGE_H
#define EDGE_H

#include "base/clk.h"
#include "base/err.h"
#include "base/jlog.h"
#include "edge/conf.h"
#include "edge/wire.h"

/*
 * Runs until SIGTERM has been served. Returns the exit code: 0, or 1 with an
 * error if the entry cannot start.
 */
int edge_run(const char *settings_path, const struct conf *conf,
	     const struct wire *wire, const struct clk *clk,
	     enum jlog_level level, struct err *e);

#endif
