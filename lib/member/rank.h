/*
 * rank: which of the entries take on what only a few of them should do.
 *
 * All entries rank each other by the same hash of their names, so those that
 * know of the same entries choose the same ones without a word between them.
 * The hash is seeded by the purpose: an entry that comes first in one thing
 * need not come first in another.
 */
#ifndef RANK_H
#define RANK_H

#include <stddef.h>
#include <stdint.h>

/* Entries that are ranked; with more, the first ones known are. */
#define RANK_MAX 1024

enum rank_purpose {
	RANK_WATCH,	/* watch the store, and ask it for the configuration */
	RANK_USAGE,	/* keep all counts, beside the holder of the duties */
	RANK_ADVERTISE, /* are named to callers */
};

struct rank_row {
	const char *zone;
	void *entry; /* the caller's; NULL may stand for ourselves */
	uint64_t weight;
	unsigned zone_rank; /* filled in by rank_interleave_zones */
};

struct rank {
	enum rank_purpose purpose;
	size_t n;
	struct rank_row rows[RANK_MAX];
};

void rank_init(struct rank *r, enum rank_purpose purpose);

/* Ranks an entry; `zone` must live until the rank is sorted. */
void rank_add(struct rank *r, const char *name, const char *zone, void *entry);

/* The best first. */
void rank_sort(struct rank *r);

/*
 * The `k` best first, as rank_sort has them; the order of the others is not
 * told. A few of many are looked for some ten times a second: sorting 295
 * entries each time took a tenth of an entry's processor time.
 */
void rank_select(struct rank *r, size_t k);

/*
 * Which of the first `n` rows, 1 at least, stands for `key`. When one of them
 * goes or another one joins, only the keys that it had or gets change: counted
 * off by the remainder instead, all of them would.
 */
const struct rank_row *rank_for_key(const struct rank *r, size_t n,
				    uint64_t key);

/*
 * The best of each zone first, then the second of each, and so on: a zone
 * that is lost takes no more than its part of those in front.
 */
void rank_interleave_zones(struct rank *r);

#endif
