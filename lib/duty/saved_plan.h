/*
 * carry: the plan of the holder of the duties, kept in the store for the next
 * holder. Without it each new holder would start from a guess and order
 * endpoints, or remove them, only to undo that a second later.
 */
#ifndef SAVED_PLAN_H
#define SAVED_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"
#include "duty/scale.h"

#define SAVED_PLAN_MAX_SERVICES 8

struct saved_plan_row {
	char service[SCALE_NAME];
	struct scale_need need;
	double on_demand_held; /* on-demand endpoints, see scale_limit_drain */
};

struct saved_plan {
	struct saved_plan_row rows[SAVED_PLAN_MAX_SERVICES];
	size_t nr_rows;
};

/* The row of a service; NULL: there is none. */
const struct saved_plan_row *saved_plan_find(const struct saved_plan *c,
					     const char *service);

/* The same, made if there is room; NULL: there is none. */
struct saved_plan_row *saved_plan_row(struct saved_plan *c,
				      const char *service);

void saved_plan_encode(const struct saved_plan *c, struct buf *out);

/* False, and an empty record, if the text makes no sense. */
bool saved_plan_decode(const char *text, size_t len, struct saved_plan *out);

/* True if the plans differ enough to write the record again. */
bool saved_plan_differs(const struct saved_plan *now,
			const struct saved_plan *written);

#endif
