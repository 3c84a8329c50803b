/*
 * tal (tally): outcomes of a service's requests during a roll-out, by version
 * and route.
 *
 * Each entry counts its own requests, from 0 for each order. Counts only grow,
 * so the latest report of an entry replaces the earlier ones. Endpoints of the
 * new version are hashed into groups, to distinguish a fault of one endpoint
 * from a fault of the version.
 */
#ifndef TALLY_H
#define TALLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Number of groups for endpoints of the new version. */
#define TAL_GROUPS 32

/* The group of all endpoints of other versions. */
#define TAL_BASELINE 0

/* Maximum number of rows, one for each used pair of route and group. */
#define TAL_ROWS 128

/* Counts of requests of a route and a group. */
struct tal_row {
	uint32_t route; /* hash of its name, or tal_full_route() of it */
	uint32_t group; /* TAL_BASELINE, or 1 to TAL_GROUPS */
	/*
	 * Requests sent to an endpoint. Repeats of a request to endpoints of
	 * the baseline are not counted, since the exposure limit is a share of
	 * the requests.
	 */
	uint32_t sent;
	uint32_t answered;
	/* Subsets of `answered`. */
	uint32_t failed, late, broken;
};

struct tal {
	uint64_t order; /* hash of the order; 0: counts nothing */
	unsigned nr_rows;
	struct tal_row rows[TAL_ROWS];
};

/* Outcome of a request. */
enum tal_outcome {
	TAL_GOOD,
	TAL_LATE, /* much later than predicted */
	TAL_FAILED,
	TAL_BROKEN, /* the connection broke */
};

/* Resets the counts for an order; does nothing if it is counted already. */
void tal_begin(struct tal *t, uint64_t order);

/*
 * The route under which answers of a baseline endpoint are counted whose slots
 * were all taken when the request was sent. They are late because of the load,
 * so they must not count in the route's rate of late answers. Applied twice, it
 * returns the route itself.
 *
 * Entries of earlier releases take it for a route that the new version does not
 * serve, which they ignore.
 */
uint32_t tal_full_route(uint32_t route);

/* The group of an endpoint of the new version. */
uint32_t tal_group(uint64_t endpoint_hash);

/*
 * Count a sent request and an outcome. Ignored without an order or if TAL_ROWS
 * is reached.
 */
void tal_sent(struct tal *t, uint32_t route, uint32_t group);
void tal_answered(struct tal *t, uint32_t route, uint32_t group,
		  enum tal_outcome o);

/* Adds the rows of another tally. Rows beyond TAL_ROWS are dropped. */
void tal_add(struct tal *sum, const struct tal_row *rows, unsigned nr_rows);

/* Totals over all routes, of the baseline or of the new version. */
struct tal_row tal_total(const struct tal *t, bool baseline);

#endif
