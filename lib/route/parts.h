/*
 * parts (shared prompt parts): records to which endpoints each shared part of a
 * prompt was sent recently, to predict where it is in a prefix cache. A
 * set-associative table of (part, endpoint) pairs with a fixed size; the least
 * recently used pair of a set is replaced.
 */
#ifndef PARTS_H
#define PARTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Sets and pairs per set: room for the shared parts that a deployment uses in a
 * day, about 250, on up to four endpoints each.
 */
#define PARTS_SETS 256
#define PARTS_WAYS 4

/* An endpoint's cache evicts a part that is unused for about this long. */
#define PARTS_CACHED_MS 30000

struct parts {
	struct parts_row {
		uint64_t part, endpoint; /* hashes */
		int64_t used_ms;	 /* last use; 0: empty */
	} rows[PARTS_SETS][PARTS_WAYS];
};

/* Initializes an empty table. */
void parts_init(struct parts *p);

/* Records that a request with this part was sent to the endpoint. */
void parts_record(struct parts *p, uint64_t part, uint64_t endpoint,
		  int64_t now_ms);

/*
 * True if the part was sent to the endpoint within the last PARTS_CACHED_MS, so
 * that its cache probably has it.
 */
bool parts_likely_cached(const struct parts *p, uint64_t part,
			 uint64_t endpoint, int64_t now_ms);

#endif
