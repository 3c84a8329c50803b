/*
 * run_log: when the runs of a stand-in's endpoints began and ended, and how, so
 * that a test can compare them with what callers got.
 */
#ifndef RUN_LOG_H
#define RUN_LOG_H

#include <stdint.h>

#include "base/buf.h"

#define RUN_LOG_MAX 60000

struct run_log {
	struct run_log_entry {
		char id[80]; /* of the attempt */
		char endpoint[32];
		int64_t begin_ms, end_ms; /* wall clock; end 0: still open */
		const char *how;
	} * runs;
	int nr_runs;
};

/* How a run ended. */
#define RUN_WHOLE "whole"   /* all of its answer was written */
#define RUN_LEFT "left"	    /* its connection was closed from the other side */
#define RUN_BROKE "broke"   /* the endpoint broke off, or ended */
#define RUN_MOVED "moved"   /* it was stopped for a copy */
#define RUN_REFUSED "error" /* an error was answered */

/* A run begins now. Runs beyond RUN_LOG_MAX are not noted. */
void run_log_begin(struct run_log *l, const char *id, const char *endpoint);

/* The open run of that id at that endpoint ends now. */
void run_log_end(struct run_log *l, const char *id, const char *endpoint,
		 const char *how);

/* Appends a line per run: ID ENDPOINT BEGIN_MS END_MS HOW. */
void run_log_put(const struct run_log *l, struct buf *out);

#endif
