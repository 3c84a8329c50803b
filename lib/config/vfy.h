/*
 * vfy (verify): schedules the calls that check whether the configuration in
 * force is still the newest version, and fetch a newer one.
 *
 * The store is asked for changes since the last known revision. An answer
 * without changes confirms the version in a hundred bytes, whereas the version
 * itself may have a megabyte. The whole configuration is read only by an entry
 * that has none, or whose revision the store may have dropped from its
 * history.
 *
 * Some of the entries watch the store; they are ranked. The first watcher
 * long-polls the store continuously, so it is the first to receive a new
 * version, and announces versions and confirmations to the other entries. The
 * others call the store only if these announcements stop, if a newer version
 * than theirs is announced, or if a client request waits for a confirmation. An
 * entry has at most one call pending, so that a large version on a slow link is
 * not transferred several times in parallel.
 *
 * A version is immutable, so any entry that has it can pass it on. An entry
 * that does not watch the store first requests an announced version from the
 * watcher that it follows, and from the store only if that fails. This does
 * not confirm that the version is the newest one.
 *
 * Times are milliseconds of the caller's monotonic clock.
 */
#ifndef VFY_H
#define VFY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Duration of the first watcher's long poll, in ms: one call per second in the
 * whole fleet, and a confirmation is at most this plus a round trip old when
 * the next one arrives. Revoked keys must take effect within 5 s, unknown
 * routes and keys within 2 s, both including the announcement to the other
 * entries.
 */
#define VFY_LONG_POLL_MS 1000

/*
 * Upper bound of the delay between a change and the store's answer to a long
 * poll, in ms. A long poll that ended without a change therefore confirms the
 * state this long before its end.
 */
#define VFY_MAX_NOTIFY_DELAY_MS 100

/*
 * Age of the last confirmation, in ms, from which it is overdue. The first
 * watcher then calls the store without a long poll. The other watchers call it
 * when the age exceeds this by VFY_RANK_STEP_MS per rank; by then, an
 * announcement of the first watcher has arrived if it is alive.
 */
#define VFY_MAX_AGE_MS 1200
#define VFY_RANK_STEP_MS 300

/*
 * An entry that does not watch the store calls it when the age exceeds
 * VFY_MAX_AGE_MS by this delay, in ms, plus a random part of up to the jitter.
 * Announcing to a hundred entries takes 0.6 s. When all entries called by their
 * own clock alone, half of them called before the announcement arrived: 1,200
 * calls in 50 s on 84 entries.
 */
#define VFY_NON_WATCHER_DELAY_MS 1000
#define VFY_NON_WATCHER_JITTER_MS 600

/*
 * Minimum time between the starts of two calls, in ms, unless a client request
 * waits for a confirmation.
 */
#define VFY_RETRY_MS 300

/*
 * The same while the store contains no configuration, for the first watcher and
 * for all other entries. These learn of the first version from the watcher's
 * announcement. This is the state at the first start of a fleet, when 295
 * entries made four calls each until there was a configuration.
 */
#define VFY_ABSENT_MS 2500
#define VFY_ABSENT_OTHERS_MS 4000

/*
 * Maximum age of a known revision, in ms, for asking the store for changes
 * since then. The store keeps some 20 s of history and may drop it sooner; a
 * call for a dropped revision is wasted.
 */
#define VFY_MAX_REVISION_AGE_MS 8000

/*
 * Delay, in ms, between the announcement of a version and the request for it
 * to the followed entry, plus a random part of up to the jitter. By then that
 * entry has read the version itself. The jitter keeps its followers, some
 * thirty, from sending their requests at the same moment.
 */
#define VFY_PEER_DELAY_MS 100
#define VFY_PEER_JITTER_MS 200

enum vfy_call {
	VFY_NONE,
	VFY_READ,    /* read the whole configuration from the store */
	VFY_CHANGES, /* ask the store for changes since vfy.revision */
	VFY_PEER,    /* request the announced version from the followed entry */
};

struct vfy {
	bool call_pending;
	int64_t call_started_ms; /* start of the last call; 0: retry at once */
	int long_poll_ms;	 /* of the last call; 0: not a long poll */
	int64_t revision;	 /* last known revision; 0: none */
	int64_t revision_ms;	 /* time at which `revision` was received */
	bool in_force;		 /* the version at `revision` is in force */
	bool store_empty;	 /* the store had no configuration */
	int64_t behind_since_ms; /* newer version announced; 0: none */
	int64_t last_peer_version; /* last one requested with VFY_PEER */
};

/* State of the entry on which vfy_next decides. */
struct vfy_input {
	int watcher_rank;	   /* 0: first watcher; -1: not a watcher */
	int64_t age_ms;		   /* age of the last confirmation */
	bool behind;		   /* a newer version was announced */
	bool request_waiting;	   /* a client request waits for confirmation */
	bool awaits_announcement;  /* has no version, and a watcher will */
	int64_t announced_version; /* newest one announced; 0: none */
	bool has_followed_entry;   /* VFY_PEER is possible */
	int relay_ms; /* that announcements take through other entries */
	uint64_t jitter_seed; /* differs between entries */
};

/*
 * Returns the call to start now, or VFY_NONE. The call counts as pending until
 * one of the functions below reports its result. `*wait_ms` is set to the
 * duration of the long poll for VFY_CHANGES, 0 for an immediate answer.
 */
enum vfy_call vfy_next(struct vfy *v, const struct vfy_input *s, int64_t now_ms,
		       int *wait_ms);

/*
 * Reports that the call returned a version, current at `revision`. `in_force`
 * tells that the version could be parsed and is in force now.
 */
void vfy_received_version(struct vfy *v, int64_t revision, bool in_force,
			  int64_t now_ms);

/*
 * Reports that the call returned no change up to `revision`. Returns the time
 * at which the version in force was the newest, or 0 if it is not the newest:
 * the newest version could not be parsed here.
 */
int64_t vfy_unchanged(struct vfy *v, int64_t revision, int64_t now_ms);

/*
 * Returns the time at which a version that the pending call returns was the
 * newest: the start of the call, or VFY_MAX_NOTIFY_DELAY_MS earlier for a long
 * poll, which may return one change while it has not seen the next one yet.
 */
int64_t vfy_as_of_ms(const struct vfy *v);

/*
 * Reports that the store has dropped the history since the known revision.
 * vfy_next then returns VFY_READ without a delay.
 */
void vfy_history_lost(struct vfy *v);

/* Reports that the call failed; it is retried after VFY_RETRY_MS. */
void vfy_failed(struct vfy *v);

/*
 * Reports that the followed entry did not return the version. vfy_next then
 * calls the store without a delay.
 */
void vfy_peer_failed(struct vfy *v);

/* Reports that the store contains no configuration. */
void vfy_absent(struct vfy *v);

#endif
