/*
 * parts: where shared parts of prompts were sent lately: a bounded memory of
 * (part, endpoint) pairs, the oldest overwritten.
 */
#ifndef PARTS_H
#define PARTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Pairs that are remembered: some 250 shared parts of a deployment's day at
 * up to four endpoints each, in sets of four.
 */
#define PARTS_SETS 256
#define PARTS_WAYS 4

/* An endpoint's cache forgets a part that nobody used for about this long. */
#define PARTS_CACHED_MS 30000

struct parts {
	struct parts_row {
		uint64_t part, endpoint;
		int64_t used_ms; /* 0: empty */
	} rows[PARTS_SETS][PARTS_WAYS];
};

void parts_init(struct parts *p);
void parts_record(struct parts *p, uint64_t part, uint64_t endpoint,
		  int64_t now_ms);
bool parts_likely_cached(const struct parts *p, uint64_t part,
			 uint64_t endpoint, int64_t now_ms);

#endif
