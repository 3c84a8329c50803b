/*
 * snap (snapshot): a listing of the keys with a prefix, kept by an entry that
 * watches them for the entries that follow it.
 *
 * Reason: an entry that starts needs all keys. Thousands of endpoints take
 * several pages, and when all of a thousand entries listed them from the store,
 * that took longer than all other steps of a start.
 *
 * The pages are kept as the store sent them. They are not a snapshot in the
 * strict sense: changes made between two of them follow as changes after the
 * revision of the first one (mir.h).
 */
#ifndef SNAP_H
#define SNAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

struct snap {
	struct buf pages;  /* while listing */
	struct buf packed; /* all pages, compressed; empty: none */
	int64_t first_rev; /* of the first page while listing; 0: none yet */
	int64_t revision;  /* of the first page of `packed` */
	char after[256];   /* last key of the last page; "": none */
	bool listing;
};

/* All zero is a valid initial state. Frees the pages, but not `s` itself. */
void snap_free(struct snap *s);

/* Begins a listing. The former one stays available until the next is whole. */
void snap_begin(struct snap *s);

/*
 * Adds a page, `body` as received. `last_key`: of the page, NULL if it was
 * empty; `more`: further pages follow. After the last one, snap_body() returns
 * the new listing.
 */
void snap_add_page(struct snap *s, const char *body, size_t len,
		   const char *last_key, bool more, int64_t revision);

/* Takes over a listing that was received from another entry. */
void snap_adopt(struct snap *s, const char *body, size_t len, int64_t revision);

/* The listing failed. */
void snap_abort(struct snap *s);

/* Drops the listing: changes after its revision are no longer known. */
void snap_drop(struct snap *s);

/* The whole listing as sent to followers; empty: there is none. */
const struct buf *snap_body(const struct snap *s);

/*
 * Returns the next page of a decompressed listing, and moves *at, at first its
 * begin, behind it; NULL at the end, or if the rest is malformed.
 */
const char *snap_next_page(const struct buf *listing, size_t *at, size_t *len);

#endif
