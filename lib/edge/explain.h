/*
 * explain: from a request's id to the cause of its answer, out of the log
 * lines of all entries.
 *
 * Lines are given in any order, with or without something before their JSON
 * object. Kept are those of the request, and those on the endpoints, the
 * store and the configuration that may have decided it.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"

struct explain;

struct explain *explain_create(const char *request_id);
void explain_free(struct explain *x);

/* Takes one line; lines that are no log lines are counted and passed over. */
void explain_line(struct explain *x, const char *line);

/* Lines that could not be read. */
size_t explain_unparsed(const struct explain *x);

/*
 * Writes the lines of the request in order of time and, last, the deciding
 * one with what was known around it. False: the id is in no line.
 */
bool explain_report(struct explain *x, struct buf *out);

#endif
