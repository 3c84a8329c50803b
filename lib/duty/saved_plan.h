/*
 * saved_plan: the scaling plan of the holder of the duties, saved in the store
 * for its successor. Without it each new holder would start from a guess and
 * order or remove endpoints, only to undo that a second later.
 *
 * The stored form is JSON. Not thread-safe; performs no I/O.
 */
#ifndef SAVED_PLAN_H
#define SAVED_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"
#include "duty/scale.h"

/* Services in one record. */
#define SAVED_PLAN_MAX_SERVICES 8

struct saved_plan_row {
	char service[SCALE_NAME];
	struct scale_need need; /* see scale_update_need() */
	double on_demand_held;	/* endpoints, see scale_limit_drain() */
};

struct saved_plan {
	struct saved_plan_row rows[SAVED_PLAN_MAX_SERVICES];
	size_t nr_rows;
};

/* Returns the row of a service, owned by `c`, or NULL if there is none. */
const struct saved_plan_row *saved_plan_find(const struct saved_plan *c,
					     const char *service);

/*
 * Returns the row of a service, owned by `c`. If it is missing, adds one with
 * all figures 0, or returns NULL if there are SAVED_PLAN_MAX_SERVICES rows
 * already.
 */
struct saved_plan_row *saved_plan_row(struct saved_plan *c,
				      const char *service);

/* Appends the record to `out` as JSON. */
void saved_plan_encode(const struct saved_plan *c, struct buf *out);

/*
 * Parses `len` bytes of JSON. Returns false and empties `out` if the text is
 * malformed, a figure is out of range or there are too many services.
 */
bool saved_plan_decode(const char *text, size_t len, struct saved_plan *out);

/*
 * Returns true if a need or baseline of `now` differs by more than 15 % from
 * that of `written`, or the services differ, so that the record should be
 * written again. on_demand_held is not compared.
 */
bool saved_plan_differs(const struct saved_plan *now,
			const struct saved_plan *written);

#endif
