/*
 * rows: the rows of an entry's state that a single datagram may be too small
 * for, and their division into the datagrams of a group (gsp.h).
 *
 * Not thread-safe; performs no I/O. Aborts when out of memory.
 */
#ifndef ROWS_H
#define ROWS_H

#include <stdbool.h>
#include <stddef.h>

#include "member/gsp.h"

struct rows {
	struct gsp_demand *demands;
	size_t nr_demands, max_demands;
	struct gsp_count *counts;
	size_t nr_counts, max_counts;
	size_t nr_changed; /* counts in front that changed lately */
};

/* Removes all rows; all zero is a valid initial state. */
void rows_clear(struct rows *r);
void rows_free(struct rows *r);

/* Append a row; the name of the account is copied. */
void rows_add_demand(struct rows *r, const char *account, double per_s);
void rows_add_count(struct rows *r, uint64_t source, int64_t window,
		    const char *account, int64_t runs);

/* The counts added so far changed lately; the counts added next did not. */
void rows_end_changed(struct rows *r);

/* Position in a group; all zero before the first datagram. */
struct rows_cursor {
	size_t demand, count; /* the next ones */
	unsigned part;	      /* datagrams so far */
	bool end;	      /* the last one was encoded */
};

/* What a receiver is sent; the other rows of the record are always sent. */
struct rows_filter {
	bool demands;
	bool counts;	 /* those that changed lately */
	bool all_counts; /* also the others */
};

/*
 * Encodes the next datagram of a group into `out` of `size` bytes: the head of
 * `record` with as many of `r` as fit; in the first datagram also the other
 * rows of `record`, which are cleared then. The caller sets record->group, and
 * record->seq for each datagram. Returns the length in bytes; 0 after the last
 * one, or if not even the head and the other rows fit.
 */
size_t rows_encode(const struct rows *r, const struct rows_filter *filter,
		   struct rows_cursor *c, struct gsp_record *record, char *out,
		   size_t size);

/* Number of rows after the position that pass the filter. */
size_t rows_left(const struct rows *r, const struct rows_filter *filter,
		 const struct rows_cursor *c);

#endif
