#include "store/feed.h"

#include <string.h>

#define SHARE_OF_TIME 0.25

size_t feed_max_bytes(double link_mbps, double within_ms, size_t followers)
{
	const double bytes = link_mbps * FEED_BYTES_PER_MS_PER_MBPS *
			     within_ms * SHARE_OF_TIME / (double)followers;

	return bytes < FEED_MIN_BOUND ? FEED_MIN_BOUND : (size_t)bytes;
}

void feed_init(struct feed *f, size_t max_bytes)
{
	memset(f, 0, sizeof(*f));
	f->max_bytes = max_bytes;
}

void feed_clear(struct feed *f)
{
	unsigned i;

	for (i = 0; i < FEED_MAX_BATCHES; i++)
		buf_free(&f->batches[i].body);
	feed_init(f, f->max_bytes);
}

void feed_free(struct feed *f)
{
	feed_clear(f);
}

void feed_add(struct feed *f, int64_t from, int64_t to, bool any,
	      const char *body, size_t len)
{
	struct feed_batch *p;

	/* Older batches do not reach up to this answer: there is a gap. */
	if (from != f->known_to) {
		feed_clear(f);
		f->unchanged_after = from;
	}
	f->known_to = to;
	if (!any)
		return;
	if (len > f->max_bytes) {
		/* Followers behind it read it from the store. */
		feed_clear(f);
		f->known_to = f->unchanged_after = to;
		return;
	}
	p = &f->batches[f->next];
	f->next = (f->next + 1) % FEED_MAX_BATCHES;
	buf_free(&p->body);
	p->from = f->unchanged_after;
	p->to = to;
	f->unchanged_after = to;
	buf_add(&p->body, body, len);
}

enum feed_answer feed_after(const struct feed *f, int64_t revision,
			    const struct feed_batch **batch)
{
	const struct feed_batch *best = NULL;
	unsigned i;

	if (!f->known_to)
		return FEED_GAP;
	for (i = 0; i < FEED_MAX_BATCHES; i++) {
		const struct feed_batch *p = &f->batches[i];

		if (!p->to || p->to <= revision || p->from > revision)
			continue;
		/* The oldest one that fits, so that no change is skipped. */
		if (!best || p->to < best->to)
			best = p;
	}
	*batch = best;
	if (best)
		return FEED_CHANGES;
	return revision >= f->unchanged_after ? FEED_UNCHANGED : FEED_GAP;
}

bool feed_is_current(int64_t answered_ms, int wait_ms, int pace_ms, int64_t now)
{
	return answered_ms &&
	       now - answered_ms <= wait_ms + pace_ms + FEED_STALE_MS;
}

bool feed_may_watch(const struct feed_startup *s)
{
	if (!s->first_start && !s->known_entries)
		return true;
	if (s->entry_keys && !s->has_watched && s->mesh && !s->first_start)
		return s->since_ms >= FEED_REGISTER_MS;
	return s->since_ms >= FEED_SETTLE_MS;
}

static enum feed_source from_peer(const struct feed_startup *s)
{
	const int64_t wait = s->first_start ? FEED_FIRST_PROVIDER_WAIT_MS
					    : FEED_PROVIDER_WAIT_MS;

	if (s->has_provider && !s->provider_failed)
		return FEED_FROM_PEER;
	/* What is known gets older while this entry waits. */
	if (s->complete)
		return FEED_FROM_STORE;
	return s->waiting_ms < wait ? FEED_WAIT : FEED_FROM_STORE;
}

enum feed_source feed_list_source(const struct feed_startup *s)
{
	const int64_t begin = s->entry_keys ? FEED_REGISTER_MS : FEED_SETTLE_MS;

	if (!s->entry_keys && !s->entries_known)
		return FEED_WAIT;
	if (!s->mesh && !s->provider)
		return from_peer(s);
	/* In a small fleet, endpoints are listed once the entries are known. */
	if (s->first_start && s->since_ms < begin &&
	    (s->entry_keys || !s->mesh))
		return FEED_WAIT;
	return FEED_FROM_STORE;
}
