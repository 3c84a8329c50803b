/*
 * usage: the number of requests of each account that began to run in each
 * window of the time of day. Every entry counts its own requests and learns the
 * counts of all others by gossip.
 *
 * A source is one boot of one entry. Its counts only grow within a window, so
 * the merge takes the maximum, and a lost or reordered datagram does no harm.
 * Counts of a crashed entry are kept.
 *
 * Not thread-safe; performs no I/O. Aborts when out of memory.
 */
#ifndef USAGE_H
#define USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Buffer size of an account's name, bytes; longer names are truncated. */
#define USAGE_NAME 64

struct usage_row;

struct usage {
	int64_t window_ms;	/* length of a window */
	struct usage_row *rows; /* uthash table */
};

struct usage_total {
	char account[USAGE_NAME];
	int64_t runs; /* requests that began to run */
};

/* Initializes an empty table; `window_ms` must be above 0. */
void usage_init(struct usage *u, int64_t window_ms);

/* Frees all rows. */
void usage_free(struct usage *u);

/* Returns the number of the window that contains a time, ms since the epoch. */
int64_t usage_window(const struct usage *u, int64_t true_ms);

/*
 * Counts one more run at this entry. `source`: a hash of the entry's name and
 * boot. `now_ms`: on the caller's monotonic clock.
 */
void usage_add(struct usage *u, uint64_t source, int64_t window,
	       const char *account, int64_t now_ms);

/* Merges a count received from another source: the larger count is kept. */
void usage_merge(struct usage *u, uint64_t source, int64_t window,
		 const char *account, int64_t runs, int64_t now_ms);

/* The runs of an account in a window, as counted by one source. */
struct usage_count {
	uint64_t source;
	int64_t window;
	const char *account;
	int64_t runs;
	int64_t changed_ms; /* when `runs` last rose here */
};

/*
 * Calls `each` for all rows of window `from` and later ones; `arg` is passed
 * through.
 */
typedef void (*usage_fn)(const struct usage_count *c, void *arg);
void usage_each(const struct usage *u, int64_t from, usage_fn each, void *arg);

/*
 * Sums the runs of a window over all sources. Stores an array of all accounts
 * that had any in *out, which the caller frees; NULL if there are none. Returns
 * their number.
 */
size_t usage_sum(const struct usage *u, int64_t window,
		 struct usage_total **out);

/* Frees the rows of windows before `from`. */
void usage_drop_before(struct usage *u, int64_t from);

#endif
