/*
 * explain: finds the cause of a request's answer in the log lines of all
 * entries.
 *
 * Lines may come in any order, and with a prefix before their JSON object. The
 * lines of the request are kept, and as context those on endpoints, the store
 * and the configuration.
 */
#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"

/* Why a request is refused that no endpoint takes for now (log field "why"). */
#define EDGE_WHY_WITHHELD "endpoints take no more for now"

/*
 * Why it is rejected under congestion: the queue at the endpoint is too long for
 * its rank, or the request could not begin before its deadline.
 */
#define EDGE_WHY_CONGESTED "endpoints are congested"
#define EDGE_WHY_NO_TIME "no endpoint can begin before the deadline"

/* How a send ends if the endpoint refuses it (log field "outcome"). */
#define EDGE_WHY_REFUSED "refused by endpoint"

/* Why it is refused if the entry reaches no endpoint, nor a relay to one. */
#define EDGE_WHY_CUT_OFF "cut off from all endpoints"

/*
 * Why a stream is not continued: the version that began it is not known, or the
 * route has been moved to another service.
 */
#define EDGE_WHY_UNBOUND "version of the stream not known"
#define EDGE_WHY_OTHER_SERVICE "stream of another service"

/* Why a stream is not continued: it began at a version that has no endpoint. */
#define EDGE_WHY_NO_VERSION "no endpoint of the stream's version"

struct explain;

/*
 * Starts a search for the request with this attempt id, which is copied. Free
 * the result with explain_free().
 */
struct explain *explain_create(const char *request_id);
void explain_free(struct explain *x);

/* Adds a line, copied. Lines that are not log lines are counted and skipped. */
void explain_line(struct explain *x, const char *line);

/* Number of skipped lines, without empty ones. */
size_t explain_unparsed(const struct explain *x);

/*
 * Appends to `out` the lines of the request by time, then the line that states
 * its end, the cause, and the context of the cause. False: no line has the id.
 * Call it once, after all lines were added.
 */
bool explain_report(struct explain *x, struct buf *out);

#endif
