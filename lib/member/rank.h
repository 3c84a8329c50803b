/*
 * rank: chooses which entries perform a task that only a few should perform.
 *
 * All entries rank the fleet by the same hash of their names, so entries that
 * know of the same fleet choose the same ones without any messages. The hash is
 * seeded by the purpose: the first entry for one purpose need not be the first
 * for another.
 */
#ifndef RANK_H
#define RANK_H

#include <stddef.h>
#include <stdint.h>

enum rank_purpose {
	RANK_WATCH,	/* watch the store and poll it for the configuration */
	RANK_USAGE,	/* collect all usage counts, beside the duty holder */
	RANK_ADVERTISE, /* are advertised to clients */
	RANK_SEED,	/* list all registrations when they start */
};

struct rank_row {
	const char *zone;
	void *entry;	    /* the caller's; may be NULL, e.g. for itself */
	uint64_t weight;    /* hash of the name; the best have the lowest */
	unsigned zone_rank; /* 0: first of its zone; set by
			     * rank_interleave_zones() */
};

struct rank {
	enum rank_purpose purpose;
	size_t n, capacity;
	struct rank_row *rows;
};

/*
 * Makes `r`, all zero or a former ranking, an empty one. The rows are kept for
 * reuse; rank_free() frees them.
 */
void rank_init(struct rank *r, enum rank_purpose purpose);

void rank_free(struct rank *r);

/*
 * Adds an entry. `zone` is not copied: it must stay valid while `r` is used.
 * Aborts when out of memory.
 */
void rank_add(struct rank *r, const char *name, const char *zone, void *entry);

/* Sorts all rows, the best first. */
void rank_sort(struct rank *r);

/*
 * Moves the best `k` rows to the front, in the order of rank_sort(); the order
 * of the other rows is unspecified. A few of many rows are needed some ten
 * times per second: sorting 295 entries each time took a tenth of an entry's
 * CPU time.
 */
void rank_select(struct rank *r, size_t k);

/*
 * Assigns `key` to one of the first `n` rows (n >= 1) by rendezvous hashing.
 * When a row is removed or added, only the keys that were or will be assigned
 * to it move; with `key` modulo `n` nearly all would.
 */
const struct rank_row *rank_for_key(const struct rank *r, size_t n,
				    uint64_t key);

/*
 * Sorts all rows so that the best of each zone come first, then the second of
 * each, and so on. The loss of a zone then removes no more than its share of
 * any number of rows at the front.
 */
void rank_interleave_zones(struct rank *r);

#endif
