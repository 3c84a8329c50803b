/*
 * lead: whether this entry holds the duties that one entry may do at a time.
 *
 * The holder is named by a key in the store that is bound to the lease of
 * its registration; the fence is the revision at which the key was written.
 * The holder acts only while it can prove that its lease runs, counted from
 * before the renewal was sent, on the clock that counts suspension. A new
 * holder waits until calls of the one before it have arrived or failed.
 *
 * What goes wrong without it: an entry that was frozen wakes, acts as if it
 * still held the duty, and its call arrives after its successor's, with a
 * lower fence.
 */
#ifndef LEAD_H
#define LEAD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Calls on the way when the lease ran out have arrived by then: 50 times the
 * platform's usual 4 ms, and the time our own calls are given is cut to it.
 */
#define LEAD_SETTLE_MS 700

/* The holder stops so long before its lease can end. */
#define LEAD_MARGIN_MS 500

/*
 * Who takes a vacant duty first: the entry that ranks first at once, the next
 * ones so much later each, those without a place after all of these. When all
 * tried at once, and again until they heard who had it, 84 entries made 500
 * writes of which one could succeed.
 */
#define LEAD_RANK_DELAY_MS 300
#define LEAD_UNRANKED_DELAY_MS 1500

/* After a try that did not succeed: by then the holder's key is seen. */
#define LEAD_RETRY_MS 900

/*
 * At the very first start entries hear of each other within this time: they
 * ask who is registered after 0.7 s, and tell all in turn in 0.6 s, busy as
 * they are. Tried sooner, most of 295 took themselves for the first one.
 */
#define LEAD_FIRST_START_MS 2500

/* Whom the store's key names. */
enum lead_owner {
	LEAD_OWNER_OTHER, /* another entry */
	LEAD_OWNER_SELF,  /* this boot */
	LEAD_OWNER_PREVIOUS_BOOT, /* this entry, in a boot before this one, which is dead */
};

struct lead {
	int64_t holdoff_ms;	 /* after holding, or after the start */
	bool key_exists;	 /* the key stands, as far as we know */
	bool is_holder;		 /* and names this boot */
	int64_t fence;		 /* its revision, if ours */
	int64_t held_since_ms;	 /* we hold it */
	int64_t not_before_ms;	 /* no attempt to take it before */
	int64_t vacant_since_ms; /* nobody holds it since, as far as we know */
	int64_t previous_boot_revision; /* revision that our former boot wrote; 0: none */
	int64_t takeover_not_before_ms; /* it is not tried again before */
	bool acquiring;			/* a write to take it is under way */
	int64_t no_act_before_ms; /* nobody acts before, since the store came back */
};

/*
 * `away_ms`: a former holder, also one that starts again, stays away so
 * long.
 */
void lead_init(struct lead *l, int64_t away_ms, int64_t now_ms);

/* The store's key, as seen: its revision and whom it names. */
void lead_on_key(struct lead *l, enum lead_owner whose, int64_t revision,
		 int64_t now_ms);

/* The key was gone at `revision`. Words older than our own write are late. */
void lead_on_key_deleted(struct lead *l, int64_t revision, int64_t now_ms);

/*
 * True if the key should be written now, under the condition that its
 * revision is still lead_expected_revision(). A key that our former boot left is taken
 * over at once: nobody else has acted since, or it would name another. When
 * all entries were killed at once nobody ordered endpoints for five seconds
 * without that: the lease had to run out first.
 *
 * `place`: ours among those that should hold it, from 0; -1: none.
 * `lease_until_ms`: our lease is known to run until then.
 */
bool lead_begin_acquire(struct lead *l, int place, int64_t lease_until_ms,
			int64_t now_ms);

/* The revision that the key must have when it is written; 0: none stands. */
int64_t lead_expected_revision(const struct lead *l);

/* The write ended: `taken` with its revision, or not (or unknown: then the
 * key itself will show). */
void lead_end_acquire(struct lead *l, bool taken, int64_t revision,
		      int64_t now_ms);

/* The lease ended: the key is lost with it. */
void lead_on_lease_lost(struct lead *l, int64_t now_ms);

/*
 * The store came back from an older copy: the key may name a former holder
 * again, while the last one still proves its lease of before. Whoever holds
 * the duty now acts after `lease_ms`, when that proof has run out.
 */
void lead_on_store_restored(struct lead *l, int64_t lease_ms, int64_t now_ms);

/* True if a call of a duty may be sent now. */
bool lead_may_act(const struct lead *l, int64_t lease_until_ms, int64_t now_ms);

#endif
