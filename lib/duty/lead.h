/*
 * lead: leader election for the duties, the periodic tasks that one elected
 * entry performs for all (ordering endpoints, reporting usage).
 *
 * An entry is one of the processes that accept client requests. The holder of
 * the duties is named by a key in the store that is bound to the lease of the
 * holder's registration. The revision at which the key was written is the
 * fencing token of all calls that the duties make.
 *
 * The holder acts only while the lease that its key is bound to provably runs:
 * the lease is counted from before the renewal was sent, on a clock that includes
 * suspension. A new holder waits until calls of its predecessor have arrived or
 * failed. A key that names this entry under a lease that it no longer has grants
 * nothing, since that lease is not renewed and the key ends with it: the entry
 * takes such a key over like that of an earlier process.
 *
 * This guards against an entry that is suspended while it holds the duties: it
 * resumes, acts as if it were still the holder, and its call arrives after one
 * of its successor, with a lower fencing token.
 *
 * Not thread-safe; performs no I/O. All times are in ms on the same clock.
 */
#ifndef LEAD_H
#define LEAD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A new holder waits for this time, ms, before it acts. By then the calls that
 * its predecessor had in flight when the lease expired have arrived, even if
 * they took 50 times the usual 4 ms of a call to the platform, or they have
 * failed: the timeout of a duty's calls is shorter.
 */
#define LEAD_SETTLE_MS 700

/* The holder stops acting this long before its lease can expire, ms. */
#define LEAD_MARGIN_MS 500

/*
 * Entries take a vacant key in order of rank: the first one at once, each next
 * one LEAD_RANK_DELAY_MS later, entries without a rank after
 * LEAD_UNRANKED_DELAY_MS. Without these delays, and with retries until the new
 * holder's key was visible, 84 entries made 500 writes of which one could
 * succeed.
 */
#define LEAD_RANK_DELAY_MS 300
#define LEAD_UNRANKED_DELAY_MS 1500

/* Delay after a failed attempt, ms; by then the new holder's key is visible. */
#define LEAD_RETRY_MS 900

/*
 * No attempt is made for this time, ms, after the very first start. Entries
 * discover each other meanwhile: they list the registrations after 0.7 s, and
 * gossip reaches all within 0.6 s, even on busy machines. With a shorter delay
 * most of 295 entries considered themselves first in rank.
 */
#define LEAD_FIRST_START_MS 2500

/* The process that the key in the store names. */
enum lead_owner {
	LEAD_OWNER_OTHER,	  /* another entry */
	LEAD_OWNER_SELF,	  /* this entry, this boot */
	LEAD_OWNER_PREVIOUS_BOOT, /* an earlier boot of this entry, now ended */
};

/* The duty key as read from the store. */
struct lead_key {
	enum lead_owner owner;
	int64_t lease; /* that the key is bound to, if owner is SELF */
	int64_t revision;
};

struct lead {
	int64_t holdoff_ms;    /* delay after holding, or after a restart */
	int64_t lease;	       /* that this entry has; 0: none */
	bool key_exists;       /* as last seen */
	int64_t seen_revision; /* of the latest read or deletion of the key */
	/* The key names this boot and is bound to `lease`, as last seen. */
	bool is_holder;
	int64_t fence; /* the key's revision; 0 unless is_holder */
	int64_t held_since_ms;
	int64_t not_before_ms;	 /* no attempt to take a vacant key before */
	int64_t vacant_since_ms; /* when the key was last seen to be deleted */
	int64_t stale_revision;	 /* of a key that this entry wrote under a lease
				   that it no longer has; 0: none */
	int64_t takeover_not_before_ms; /* next attempt to take over that key */
	bool acquiring;			/* a write of the key is in flight */
	int64_t acquiring_lease;	/* that this write binds the key to */
	int64_t no_act_before_ms;	/* set when the store is restored from a
				     copy */
};

/*
 * Initializes `l`. `holdoff_ms`: no attempt to take the key for this time after
 * the start and after losing the key; 0: very first start, which waits for
 * LEAD_FIRST_START_MS instead.
 */
void lead_init(struct lead *l, int64_t holdoff_ms, int64_t now_ms);

/* This entry was granted a lease. `lease`: its id in the store, not 0. */
void lead_on_lease_granted(struct lead *l, int64_t lease);

/*
 * Processes a read of the key. One that is older than what was seen before, or
 * than our own write, is ignored.
 */
void lead_on_key(struct lead *l, const struct lead_key *key, int64_t now_ms);

/* Processes the deletion of the key at `revision`, or before; as above. */
void lead_on_key_deleted(struct lead *l, int64_t revision, int64_t now_ms);

/*
 * Returns true if the caller must now write the key, bound to the present lease,
 * on condition that the key's revision is still lead_expected_revision(); report
 * the result with lead_end_acquire(). Returns false while an attempt is in
 * flight, and without a lease.
 *
 * `rank`: of this entry among the preferred holders of the duties, from 0; -1:
 * none. `lease_until_ms`: end of this entry's lease as far as it is proven.
 *
 * A key that this entry wrote under a former lease is taken over without delay:
 * no other entry has acted since, or the key would name it. Otherwise the lease
 * would have to expire first; when all entries were killed at once, no
 * endpoints were ordered for five seconds. After a restore of the store another
 * entry may have acted, but no holder acts until its lease has expired.
 */
bool lead_begin_acquire(struct lead *l, int rank, int64_t lease_until_ms,
			int64_t now_ms);

/* Returns the revision that the key must have when written; 0: no key. */
int64_t lead_expected_revision(const struct lead *l);

/*
 * Ends an attempt. `acquired`: the write succeeded at `revision`; false: it
 * failed or its result is unknown. In the latter case lead_on_key() reports the
 * key if it was written after all. A success under a lease that was lost
 * meanwhile counts as a failure.
 */
void lead_end_acquire(struct lead *l, bool acquired, int64_t revision,
		      int64_t now_ms);

/* This entry's lease expired or was lost, and the key with it. */
void lead_on_lease_lost(struct lead *l, int64_t now_ms);

/*
 * The store was restored from an older copy: this entry's lease is lost, and the
 * key may name a former holder again, while the last holder still relies on its
 * lease from before. No holder acts for the next `lease_ms`, after which that
 * lease has expired.
 */
void lead_on_store_restored(struct lead *l, int64_t lease_ms, int64_t now_ms);

/*
 * Returns true if a duty's call may be sent now: this entry has held the key
 * for LEAD_SETTLE_MS, its lease runs for more than LEAD_MARGIN_MS, and the wait
 * after a restore of the store is over.
 */
bool lead_may_act(const struct lead *l, int64_t lease_until_ms, int64_t now_ms);

#endif
