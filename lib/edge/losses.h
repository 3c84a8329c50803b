/*
 * losses: counts the requests that failed or were late, by route, reason and
 * second, from the log lines of all entries.
 *
 * One line states the end of a request: its answer was passed on, the entry
 * answered it itself, its stream was cut, or the caller closed the connection.
 * If a request was sent and has no such line, its entry exited during the
 * request.
 *
 * A request whose answer was passed on is late if its first event, or its whole
 * answer if it is no stream, came after the route's objective, or if a pause of
 * the stream was longer than the route allows. Times count from the arrival at
 * the entry; what the caller waited before that, or lost in an earlier attempt,
 * is not included.
 */
#ifndef LOSSES_H
#define LOSSES_H

#include <stddef.h>

#include "base/buf.h"

struct losses;

/* Free the result with losses_free(). */
struct losses *losses_create(void);
void losses_free(struct losses *l);

/* Adds a line. Lines that are not log lines are counted and skipped. */
void losses_line(struct losses *l, const char *line);

/* Number of skipped lines, without empty ones. */
size_t losses_unparsed(const struct losses *l);

/* Maximum number of seconds in the table: those with the most losses. */
#define LOSSES_SECONDS 10

/*
 * Appends three tables to `out`: requests by route and outcome; losses by
 * reason, the most frequent first, with the endpoint that had most of them; and
 * the seconds with the most losses. Returns the number of requests.
 */
size_t losses_report(struct losses *l, struct buf *out);

#endif
