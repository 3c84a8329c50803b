#include "store/feed.h"

#include <string.h>

/* One watcher for so many entries. */
#define ENTRIES_EACH 32

void feed_init(struct feed *f)
{
	memset(f, 0, sizeof(*f));
}

void feed_clear(struct feed *f)
{
	unsigned i;

	for (i = 0; i < FEED_KEPT; i++)
		buf_free(&f->parts[i].body);
	memset(f, 0, sizeof(*f));
}

void feed_free(struct feed *f)
{
	feed_clear(f);
}

void feed_add(struct feed *f, int64_t from, int64_t to, bool any,
	      const char *body, size_t len)
{
	struct feed_part *p;

	/* What came before does not reach up to this watch. */
	if (from != f->upto) {
		feed_clear(f);
		f->quiet = from;
	}
	f->upto = to;
	if (!any)
		return;
	if (len > FEED_MAX_BYTES) {
		/* Nobody who is behind it gets anything here. */
		feed_clear(f);
		f->upto = f->quiet = to;
		return;
	}
	p = &f->parts[f->next];
	f->next = (f->next + 1) % FEED_KEPT;
	buf_free(&p->body);
	p->from = f->quiet;
	p->to = to;
	f->quiet = to;
	buf_add(&p->body, body, len);
}

enum feed_answer feed_after(const struct feed *f, int64_t revision,
			    const struct feed_part **part)
{
	const struct feed_part *best = NULL;
	unsigned i;

	if (!f->upto)
		return FEED_GAP;
	for (i = 0; i < FEED_KEPT; i++) {
		const struct feed_part *p = &f->parts[i];

		if (!p->to || p->to <= revision || p->from > revision)
			continue;
		/* The oldest that fits: none between is passed over. */
		if (!best || p->to < best->to)
			best = p;
	}
	*part = best;
	if (best)
		return FEED_PART;
	return revision >= f->quiet ? FEED_WAIT : FEED_GAP;
}

bool feed_alive(int64_t answered_ms, int wait_ms, int64_t now)
{
	return answered_ms && now - answered_ms <= wait_ms + FEED_ALIVE_MS;
}

bool feed_may_watch(const struct feed_start *s)
{
	if (!s->first && !s->others)
		return true;
	if (s->entries && !s->asked)
		return s->since_ms >= FEED_MEET_MS;
	return s->since_ms >= FEED_SETTLE_MS;
}

unsigned feed_watchers(unsigned n)
{
	const unsigned k = (n + ENTRIES_EACH - 1) / ENTRIES_EACH;

	return k < 2 ? 2 : k;
}
