/*
 * prefix: an index of the prompt prefixes that endpoints probably have in their
 * prefix caches.
 *
 * Records are added from this entry's own routing decisions only. An engine's
 * cache events can only invalidate them: a lost event may have been an
 * eviction, so a gap in the events invalidates what was recorded before it. The
 * size is fixed; new blocks replace older ones.
 */
#ifndef PREFIX_H
#define PREFIX_H

#include <stddef.h>
#include <stdint.h>

/* Bytes per block. Small enough that short prompts have several blocks. */
#define PREFIX_BLOCK_CHARS 128

/* Maximum blocks per prompt; bounds the cost of a routing decision. */
#define PREFIX_MAX_BLOCKS 48

/* Endpoints recorded per block. */
#define PREFIX_WAYS 4

/* The hashes of a prompt's leading blocks. */
struct prefix_key {
	uint64_t block[PREFIX_MAX_BLOCKS]; /* of the text to the block's end */
	unsigned nr;
};

struct prefix;

/*
 * Creates an empty index for `nr_blocks` blocks, rounded up to a power of two.
 * Free it with prefix_free.
 */
struct prefix *prefix_create(size_t nr_blocks);
void prefix_free(struct prefix *p);

/*
 * Computes the key of a prompt of `len` bytes. `salt` distinguishes models and
 * adapters, which have separate caches. A last incomplete block is ignored.
 */
void prefix_key_init(struct prefix_key *k, const char *text, size_t len,
		     uint64_t salt);

/* Records that the prompt was sent to `endpoint`, which will have it cached. */
void prefix_insert(struct prefix *p, const struct prefix_key *k,
		   uint64_t endpoint, int64_t now_ms);

/*
 * Returns how many characters of the prompt `endpoint` probably has cached.
 * Records before `since_ms`, the time of the last gap in the endpoint's cache
 * events, are ignored.
 */
size_t prefix_match(const struct prefix *p, const struct prefix_key *k,
		    uint64_t endpoint, int64_t since_ms);

/*
 * Writes up to `max` endpoints with the longest cached prefix of the prompt to
 * `out`. Returns their number.
 */
size_t prefix_holders(const struct prefix *p, const struct prefix_key *k,
		      uint64_t *out, size_t max);

#endif
