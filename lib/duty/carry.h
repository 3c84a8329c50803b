/*
 * carry: what the holder of the duties plans with, as it stands in the store
 * for the next holder.
 *
 * Without it each new holder starts from a guess: where that is high it orders
 * endpoints and takes them back a second later, all with empty prompt caches;
 * where it is low it sends away endpoints that are needed. The log shows it as
 * orders right after a change of holder. On a day on which four holders fall
 * the record gives callers 0.005 of the day (standard error 0.003, 8 pairs);
 * where the guess is near the need it gives nothing.
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
	double firm_held; /* of those that stay, see scale_ease */
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

/* True if the plans differ so much that the record is worth writing anew. */
bool carry_differs(const struct carry *now, const struct carry *written);

#endif
