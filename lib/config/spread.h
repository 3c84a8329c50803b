/*
 * spread: a table of versioned items that is replicated to all processes by
 * gossip.
 *
 * Documents, views, endpoint tables and reclaim notices are items: a name, a
 * revision and a body. A process accepts an item from any source (key-value
 * service, control process, peer) if its revision is higher than that of its
 * own item of this name; revisions never decrease. Peers compare digests on
 * every probe and exchange the items that differ; a new item is sent at once to
 * a few peers. This module has no I/O and no clock.
 */
#ifndef SPREAD_H
#define SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a name in bytes, including the terminating NUL. */
#define SPREAD_NAME_MAX 112
#define SPREAD_MAX_ITEMS 8192
/* Maximum size of a body in bytes. */
#define SPREAD_MAX_BODY (1024 * 1024)

/* Result of offering an item to the table. */
enum spread_verdict {
	SPREAD_NEW,	 /* accepted, now in force */
	SPREAD_SAME,	 /* identical to the item in force */
	SPREAD_OLD,	 /* rejected: lower revision than that in force */
	SPREAD_CONFLICT, /* rejected, an alarm: same revision, other body */
	SPREAD_INVALID,	 /* rejected: bad name or size, or the table is full */
};

struct spread_item {
	char name[SPREAD_NAME_MAX];
	uint64_t rev;
	uint64_t body_hash;
	char *body; /* owned by the table */
	size_t len;
	int64_t expires_ms; /* monotonic clock; 0: never */
};

struct spread;

/* Returns an empty table; free with spread_free. */
struct spread *spread_create(void);

/* NULL is allowed. */
void spread_free(struct spread *s);

/*
 * Accepts an item if its revision is higher than that in force. `rev` must not
 * be 0. `body` (of `len` bytes) is copied. spread_expire may remove the item
 * from `expires_ms` on (0: never).
 */
enum spread_verdict spread_put(struct spread *s, const char *name, uint64_t rev,
			       const void *body, size_t len,
			       int64_t expires_ms);

/*
 * Returns the item in force, or NULL. Valid until the next spread_put or
 * spread_expire.
 */
const struct spread_item *spread_get(const struct spread *s, const char *name);

/* Returns the revision in force; 0 if there is none. */
uint64_t spread_rev(const struct spread *s, const char *name);

/*
 * Returns a digest of all names, revisions and bodies. It does not depend on
 * the order in which the items arrived.
 */
uint64_t spread_digest(const struct spread *s);

/* Calls `fn` for each item, in no order; `fn` must not change the table. */
void spread_each(const struct spread *s,
		 void (*fn)(const struct spread_item *it, void *arg),
		 void *arg);

/* Sets the expiry of an existing item, unless it has one already. */
void spread_expire_at(struct spread *s, const char *name, int64_t expires_ms);

/* Returns the number of items. */
size_t spread_count(const struct spread *s);

/* Removes expired items and returns their number. */
size_t spread_expire(struct spread *s, int64_t now_ms);

#endif
