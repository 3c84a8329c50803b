/*
 * feed: the changes that this entry's watch of the store returned, kept for the
 * entries that follow it. An entry is one of the processes that accept client
 * requests.
 *
 * A few entries (the watchers) watch the store; each of the others follows one
 * of them. Each answer of the watch that has changes is kept as a batch, with
 * the range of revisions that it covers. Applying a change is idempotent by the
 * revision of its key, so a batch that begins before the revision that a
 * follower has can be sent whole.
 *
 * Reason: each answer of a watch is a billed call, and without followers every
 * entry gets one per change. With eight entries, following halved the calls;
 * with eighty that all watched, the calls cost a quarter of the value of the
 * day's requests.
 */
#ifndef FEED_H
#define FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* Batches that are kept; a follower is at most a few of them behind. */
#define FEED_MAX_BATCHES 32

/*
 * Least bound of a batch, in bytes as sent: to 28 followers over a link of
 * 10 Mbit/s, this many take 0.4 s.
 */
#define FEED_MIN_BOUND 16384

/*
 * The bound of a batch, in bytes as sent (compressed if large). Followers read
 * larger changes from the store: sent to all of them over a link of
 * `link_mbps`, they would delay the changes after them by more than a quarter
 * of the time `within_ms` in which a change must be known.
 */
#define FEED_BYTES_PER_MS_PER_MBPS (1000.0 / 8)
size_t feed_max_bytes(double link_mbps, double within_ms, size_t followers);

struct feed_batch {
	int64_t from, to; /* has the changes after `from`, up to `to` */
	struct buf body;
};

struct feed {
	struct feed_batch batches[FEED_MAX_BATCHES]; /* ring buffer */
	unsigned next;				     /* slot of the next one */
	/*
	 * No watched key changed after `unchanged_after`, up to `known_to`. The
	 * store's revision also rises with keys that are not watched: the
	 * revisions between two batches are not a gap.
	 */
	int64_t unchanged_after;
	int64_t known_to; /* latest known revision; 0: none */
	size_t max_bytes; /* of a batch */
};

/* `max_bytes`: see feed_max_bytes(). */
void feed_init(struct feed *f, size_t max_bytes);

/* Frees the batches, but not `f` itself. */
void feed_free(struct feed *f);

/*
 * Records an answer of the watch: it covers the changes after revision `from`,
 * up to `to`. If `any`, it has changes, and `body` (copied, may be compressed)
 * is what followers are sent. If `from` is not where the last answer ended,
 * older batches are dropped; if `body` is too large, all are.
 */
void feed_add(struct feed *f, int64_t from, int64_t to, bool any,
	      const char *body, size_t len);

/*
 * Drops everything, so that followers get FEED_GAP. To be called when the
 * store's history is lost or a new listing begins.
 */
void feed_clear(struct feed *f);

enum feed_answer {
	FEED_CHANGES,	/* *batch has changes after the revision */
	FEED_UNCHANGED, /* no changes after it, up to feed.known_to */
	FEED_GAP,	/* not covered here: read from the store */
};

/*
 * Looks up the changes after `revision`. With FEED_CHANGES, *batch is the
 * oldest batch that has some; it is owned by `f` and valid until the next
 * feed_add() or feed_clear().
 */
enum feed_answer feed_after(const struct feed *f, int64_t revision,
			    const struct feed_batch **batch);

/*
 * ms. A feed is current while the last answer of its watch is no older than the
 * watch's wait plus this. While a watch is stalled, the entry's other calls to
 * the store may still succeed; without this bound its followers would get
 * FEED_UNCHANGED although there are changes. A watch pauses for 400 ms between
 * answers (MIR_PACE_MS).
 */
#define FEED_STALE_MS 700

/*
 * True if the feed of a watch that waits up to `wait_ms` for changes and was
 * last answered at `answered_ms` (0: never) is current. `pace_ms`: its pause
 * between answers, beyond MIR_PACE_MS.
 */
bool feed_is_current(int64_t answered_ms, int wait_ms, int pace_ms,
		     int64_t now_ms);

/*
 * Steps of an entry's start, in ms since it started. At the first start of the
 * system it lists the registrations at FEED_REGISTER_MS, by when all entries
 * that started together have registered; later it lists them at once, and in a
 * small fleet watches them at FEED_REGISTER_MS. Then it exchanges datagrams
 * with the others, and from FEED_SETTLE_MS on it follows a watcher.
 *
 * Reason: when each entry watched the store until it had received datagrams,
 * its watch returned after every few registrations, and 295 entries that
 * started together made 16 calls each.
 */
#define FEED_REGISTER_MS 700
#define FEED_SETTLE_MS 2000

/*
 * An entry that needs all keys waits this long for another one that can pass
 * them on, ms. At the first start of the system, the others need it as well.
 */
#define FEED_PROVIDER_WAIT_MS 1500
#define FEED_FIRST_PROVIDER_WAIT_MS 8000

/*
 * Entries that list all registrations from the store when they start, if there
 * are too many for the first pages; the others ask one of these.
 */
#define FEED_NR_SEEDS 24

struct feed_startup {
	int64_t since_ms;     /* ms since this entry started */
	bool first_start;     /* the whole system starts for the first time */
	size_t known_entries; /* other entries that it knows */
	bool entry_keys;      /* the keys are the registrations of entries */
	bool has_watched;     /* they were watched since the start */
	bool mesh;	      /* a small fleet: all entries may watch */
	/* The following are for feed_list_source() only. */
	bool complete;	    /* the keys were listed before */
	bool entries_known; /* all registrations are, maybe as of a while ago */
	bool provider;	    /* this entry lists the keys for the others */
	bool has_provider;  /* another entry that does is known */
	bool provider_failed; /* it did not pass the keys on just now */
	int64_t waiting_ms;   /* since the keys were first needed */
};

/*
 * True if the keys may be watched now. An entry that knows no other one may be
 * the only one and does not wait, except at the first start of the system.
 */
bool feed_may_watch(const struct feed_startup *s);

enum feed_source {
	FEED_WAIT,	 /* not known yet: ask again in the next tick */
	FEED_FROM_STORE, /* list the keys, or their next page */
	FEED_FROM_PEER,	 /* another entry has listed them */
};

/*
 * Where an entry that needs all keys gets them from. The registrations, by
 * which it finds the others, begin with pages of the store. In a large fleet a
 * few entries list the rest and all other keys, and pass them on.
 */
enum feed_source feed_list_source(const struct feed_startup *s);

#endif
