/*
 * carry: the plan of the holder of the duties, kept in the store for the next
 * holder. Without it each new holder would start from a guess and order
 * endpoints, or remove them, only to undo that a second later.
 */
#ifndef CARRY_H
#define CARRY_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"
#include "duty/scale.h"

#define CARRY_SERVICES 8

struct carry_row {
	char service[SCALE_NAME];
	struct scale_need need;
	double firm_held; /* on-demand endpoints, see scale_ease */
};

struct carry {
	struct carry_row rows[CARRY_SERVICES];
	size_t nr_rows;
};

/* The row of a service; NULL: there is none. */
const struct carry_row *carry_find(const struct carry *c, const char *service);

/* The same, made if there is room; NULL: there is none. */
struct carry_row *carry_row(struct carry *c, const char *service);

void carry_encode(const struct carry *c, struct buf *out);

/* False, and an empty record, if the text makes no sense. */
bool carry_decode(const char *text, size_t len, struct carry *out);

/* True if the plans differ enough to write the record again. */
bool carry_differs(const struct carry *now, const struct carry *written);

#endif
