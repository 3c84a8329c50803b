#include "route/prefix.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

struct holder {
	uint64_t endpoint;
	int64_t at_ms;
};

struct block {
	uint64_t hash;
	struct holder ways[PREFIX_WAYS];
};

struct prefix {
	size_t mask;
	struct block blocks[];
};

struct prefix *prefix_create(size_t nr_blocks)
{
	struct prefix *p;
	size_t n = 64;

	while (n < nr_blocks)
		n *= 2;
	p = mem_new(sizeof(*p) + n * sizeof(p->blocks[0]));
	p->mask = n - 1;
	return p;
}

void prefix_free(struct prefix *p)
{
	free(p);
}

void prefix_key_init(struct prefix_key *k, const char *text, size_t len,
		     uint64_t salt)
{
	uint64_t h = salt;
	size_t at;

	k->nr = 0;
	for (at = 0; at + PREFIX_BLOCK_CHARS <= len; at += PREFIX_BLOCK_CHARS) {
		if (k->nr == PREFIX_MAX_BLOCKS)
			break;
		h = hsh_bytes(text + at, PREFIX_BLOCK_CHARS, h);
		k->block[k->nr++] = h;
	}
}

/*
 * The index is direct-mapped: a new block replaces the block in its slot. A
 * wrong prediction costs some prefill but does not affect answers.
 */
static struct block *slot_of(const struct prefix *p, uint64_t hash)
{
	return (struct block *)&p->blocks[hash & p->mask];
}

static struct holder *find_holder(struct block *b, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < PREFIX_WAYS; i++) {
		if (b->ways[i].endpoint == endpoint)
			return &b->ways[i];
	}
	return NULL;
}

static struct holder *oldest_holder(struct block *b)
{
	struct holder *old = &b->ways[0];
	unsigned i;

	for (i = 1; i < PREFIX_WAYS; i++) {
		if (b->ways[i].at_ms < old->at_ms)
			old = &b->ways[i];
	}
	return old;
}

void prefix_insert(struct prefix *p, const struct prefix_key *k,
		   uint64_t endpoint, int64_t now_ms)
{
	unsigned i;

	for (i = 0; i < k->nr; i++) {
		struct block *b = slot_of(p, k->block[i]);
		struct holder *w;

		if (b->hash != k->block[i]) {
			memset(b, 0, sizeof(*b));
			b->hash = k->block[i];
		}
		w = find_holder(b, endpoint);
		if (!w)
			w = oldest_holder(b);
		w->endpoint = endpoint;
		w->at_ms = now_ms;
	}
}

static bool is_cached(const struct prefix *p, uint64_t hash, uint64_t endpoint,
		      int64_t since_ms)
{
	struct block *b = slot_of(p, hash);
	const struct holder *w;

	if (b->hash != hash)
		return false;
	w = find_holder(b, endpoint);
	return w && w->at_ms >= since_ms;
}

size_t prefix_match(const struct prefix *p, const struct prefix_key *k,
		    uint64_t endpoint, int64_t since_ms)
{
	unsigned lo = 0, hi = k->nr;

	/*
	 * A cached block implies that all blocks before it are cached: bisect.
	 */
	while (lo < hi) {
		const unsigned mid = (lo + hi) / 2;

		if (is_cached(p, k->block[mid], endpoint, since_ms))
			lo = mid + 1;
		else
			hi = mid;
	}
	return (size_t)lo * PREFIX_BLOCK_CHARS;
}

size_t prefix_holders(const struct prefix *p, const struct prefix_key *k,
		      uint64_t *out, size_t max)
{
	size_t n = 0;
	unsigned i, w;

	/* Starts at the last block and stops at the longest match. */
	for (i = k->nr; i-- > 0 && n < max;) {
		const struct block *b = slot_of(p, k->block[i]);

		if (b->hash != k->block[i])
			continue;
		for (w = 0; w < PREFIX_WAYS && n < max; w++) {
			const uint64_t ep = b->ways[w].endpoint;
			bool seen = !ep;
			size_t j;

			for (j = 0; j < n && !seen; j++)
				seen = out[j] == ep;
			if (!seen)
				out[n++] = ep;
		}
		if (n)
			break;
	}
	return n;
}
