/*
 * losses: what callers lost, by route, reason and second, out of the log lines
 * of all entries.
 *
 * Each request ends in one line: passed, answered by the entry itself, cut, or
 * left by its caller. A request that was sent and has no such line ended with
 * its entry. Passed ones are late if their first event or whole answer came
 * after the route's objective, or a pause of the stream was longer than the
 * route allows; both count from the arrival at the entry, so what a caller
 * waited before that, or lost on an earlier attempt, is not in it.
 */
#ifndef LOSSES_H
#define LOSSES_H

#include <stddef.h>

#include "base/buf.h"

struct losses;

struct losses *losses_create(void);
void losses_free(struct losses *l);

/* Takes one line; lines that are no log lines are counted and passed over. */
void losses_line(struct losses *l, const char *line);

/* Lines that could not be read. */
size_t losses_unparsed(const struct losses *l);

/* Seconds that the table names: those with the most losses. */
#define LOSSES_SECONDS 10

/*
 * Writes three tables: requests by route and outcome, losses by reason (the
 * most frequent first, with the endpoint that had most of them), and the
 * seconds with the most losses. Returns the number of requests.
 */
size_t losses_report(struct losses *l, struct buf *out);

#endif
