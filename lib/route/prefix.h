/*
 * prefix: which endpoints have which prompt prefixes in their cache, as far
 * as this entry knows.
 *
 * The index is fed by this entry's own routing history; an engine's cache
 * events only take away (a lost event may have been an eviction, so a gap
 * invalidates what was learned before it). Bounded: the oldest blocks go.
 */
#ifndef PREFIX_H
#define PREFIX_H

#include <stddef.h>
#include <stdint.h>

/* Characters in a block: short prompts still have a few of them. */
#define PREFIX_BLOCK_CHARS 128

/* Blocks looked at per prompt; bounds the cost of a decision. */
#define PREFIX_MAX_BLOCKS 48

/* Endpoints remembered per block. */
#define PREFIX_WAYS 4

struct prefix_key {
	uint64_t block[PREFIX_MAX_BLOCKS]; /* hash of all text up to its end */
	unsigned nr;
};

struct prefix;

/* `nr_blocks` is rounded up to a power of two. */
struct prefix *prefix_create(size_t nr_blocks);
void prefix_free(struct prefix *p);

/* Cuts `text` into blocks; `salt` keeps models and adapters apart. */
void prefix_key_init(struct prefix_key *k, const char *text, size_t len,
		     uint64_t salt);

/* `endpoint` was given this prompt and will have it cached. */
void prefix_insert(struct prefix *p, const struct prefix_key *k,
		   uint64_t endpoint, int64_t now_ms);

/*
 * Characters of the prompt that `endpoint` is believed to have. `since_ms`
 * is the endpoint's last gap: what was learned before does not count.
 */
size_t prefix_match(const struct prefix *p, const struct prefix_key *k,
		    uint64_t endpoint, int64_t since_ms);

/* Endpoints that have the first blocks; up to `max`. Returns how many. */
size_t prefix_holders(const struct prefix *p, const struct prefix_key *k,
		      uint64_t *out, size_t max);

#endif
