/*
 * feed: the changes that this entry's watch brought, for other entries.
 *
 * A few entries watch the store; the others ask one of those. Each return of
 * the watch is kept as it came, with the revisions that it spans. Changes are
 * idempotent by the revision of each key, so one that begins before the
 * revision asked for may be given whole.
 *
 * What it buys: a return of a watch is a priced call, and without it each
 * entry has one for each change. On eight entries calls fell by half; on
 * eighty they were a quarter of the day's worth.
 */
#ifndef FEED_H
#define FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* Returns that are kept: an asker is at most a few of them behind. */
#define FEED_MAX_BATCHES 32

/*
 * Changes of more bytes, packed, are not passed on: the asker reads them from
 * the store. Sent to 28 followers over a link of 10 Mbit/s, as many bytes take 0.4
 * s; more would hold up what comes after them.
 */
#define FEED_MAX_BYTES 16384

struct feed_batch {
	int64_t from, to; /* changes after `from`, up to `to` */
	struct buf body;
};

struct feed {
	struct feed_batch batches[FEED_MAX_BATCHES];
	unsigned next;
	/*
	 * No watched key changed after `quiet` up to `upto`. The store's
	 * revision rises with keys that are not watched, too: between the end
	 * of one part and the beginning of the next there is no gap.
	 */
	int64_t unchanged_after;
	int64_t known_to; /* the last revision that is known; 0: none */
};

void feed_init(struct feed *f);
void feed_free(struct feed *f);

/* A return of the watch from revision `from`; `any`: it had changes. */
void feed_add(struct feed *f, int64_t from, int64_t to, bool any,
	      const char *body, size_t len);

/* The history is lost, or a reading began: nothing before counts. */
void feed_clear(struct feed *f);

enum feed_answer {
	FEED_CHANGES,	/* *part has changes after that revision */
	FEED_UNCHANGED, /* nothing since, up to feed.upto */
	FEED_GAP,	/* not known here: ask the store */
};

enum feed_answer feed_after(const struct feed *f, int64_t revision,
			    const struct feed_batch **part);

/*
 * A feed is relied on only while its watch answered this lately, beyond its
 * wait: while the watch is held up other calls to the store may succeed, and
 * followers would be told that nothing has changed. A watch pauses 0.4 s
 * between answers (MIR_PACE_MS).
 */
#define FEED_STALE_MS 700

/*
 * True if a watch that waits `wait_ms`, and last answered at `answered_ms`
 * (0: never), is not held up.
 */
bool feed_is_current(int64_t answered_ms, int wait_ms, int64_t now_ms);

/*
 * An entry that has just started has read all keys. Who else started with it
 * it asks once after the first of these times, in which all have registered;
 * then it tells and hears the others, and from the second time on it follows
 * one that watches the store.
 *
 * What it buys: when each watched the store until it had heard of the others,
 * and had an answer for every few registrations, 295 entries that started
 * together made 16 calls each; so they make 8, however many they are.
 */
#define FEED_REGISTER_MS 700
#define FEED_SETTLE_MS 2000

struct feed_startup {
	int64_t since_ms;     /* since this entry started */
	bool first_start;     /* it is the very first start of all */
	size_t known_entries; /* entries that it knows */
	bool entry_keys;      /* the keys are those that tell of entries */
	bool has_watched;     /* they were watched since the start */
};

/*
 * True if the keys may be watched now. An entry that knows no other one, and
 * not at the very first start, may be the only one: it does not wait.
 */
bool feed_may_watch(const struct feed_startup *s);

/*
 * Which entries watch the store: of `n` entries these many, two at least, so
 * that one can go without the others noticing.
 */
unsigned feed_watcher_count(unsigned n);

#endif
