/*
 * usage: how many requests of each account began to run in each window of
 * the time of day, counted at every entry, known at all.
 *
 * Counts of an entry only grow within a window and a boot, so a later word
 * of it replaces an earlier one and a lost datagram costs nothing. What a
 * dead entry told stays.
 */
#ifndef USAGE_H
#define USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define USAGE_NAME 64

struct usage_row;

struct usage {
	int64_t window_ms;
	struct usage_row *rows; /* uthash */
};

struct usage_total {
	char account[USAGE_NAME];
	int64_t runs;
};

void usage_init(struct usage *u, int64_t window_ms);
void usage_free(struct usage *u);

/* The number of the window that holds a time of day. */
int64_t usage_window(const struct usage *u, int64_t true_ms);

/* One more run, counted at this entry (`source`: a hash of name and boot). */
void usage_add(struct usage *u, uint64_t source, int64_t window,
	       const char *account);

/* A source tells its count. */
void usage_merge(struct usage *u, uint64_t source, int64_t window,
		 const char *account, int64_t runs);

/* Calls `each` for all rows from window `from` on. */
typedef void (*usage_fn)(uint64_t source, int64_t window, const char *account,
			 int64_t runs, void *arg);
void usage_each(const struct usage *u, int64_t from, usage_fn each, void *arg);

/* Sums a window over all sources; returns the number of accounts. */
size_t usage_sum(const struct usage *u, int64_t window, struct usage_total *out,
		 size_t max);

/* Forgets windows before `from`. */
void usage_drop_before(struct usage *u, int64_t from);

#endif
