/*
 * loadtab: a table of load and capacity in steps of two seconds, from the log
 * lines of all entries.
 *
 * Lines may come in any order, and with a prefix before their JSON object. Each
 * line is added to the row of its time and service when it is read, and not
 * kept: memory grows with the time covered and with the number of names, within
 * the bounds below, not with the number of lines. A name beyond its bound is
 * added to the row "other".
 *
 * Lines of earlier releases do not name the service: that of the endpoint or of
 * the route is used, if an earlier line has stated it.
 */
#ifndef LOADTAB_H
#define LOADTAB_H

#include <stddef.h>

#include "base/buf.h"

/* Length of a step. */
#define LTB_STEP_S 2

/* Maximum number of rows, not counting "other". */
#define LTB_STEPS 16384 /* a step of one service; nine hours of one service */
#define LTB_SERVICES 64
#define LTB_ACCOUNTS 256
#define LTB_ROUTES 256
#define LTB_REASONS 24	   /* of a step, an account or a route */
#define LTB_VERSIONS 8	   /* of a step */
#define LTB_ENDPOINTS 4096 /* over the whole time */

struct ltb;

/* Free the result with ltb_free(). */
struct ltb *ltb_create(void);
void ltb_free(struct ltb *t);

/*
 * Adds a line. Lines that are not log lines, or on load and without a time, are
 * counted and skipped.
 */
void ltb_line(struct ltb *t, const char *line);

/* Number of skipped lines, without empty ones. */
size_t ltb_unparsed(const struct ltb *t);

/* Number of rows in memory, of all kinds. */
size_t ltb_rows(const struct ltb *t);

/*
 * Appends to `out`, for each service, a table of its steps, its own answers by
 * reason, the orders and the steps of roll-outs; then a table by account and one
 * by route. Returns the number of lines that were added up.
 */
size_t ltb_report(struct ltb *t, struct buf *out);

#endif
