/*
 * vfy: when the store is asked whether the configuration in force is still
 * the newest one, and how.
 *
 * The store is asked for changes since the revision up to which the version
 * is known: an answer without any confirms it in a hundred bytes, where the
 * version itself may have a megabyte. It is read whole only by an entry that
 * has none, or whose revision the store may have dropped from its history.
 *
 * Of the entries that watch the store the first one asks again and again and
 * lets the store wait for a change, so that it is the first to know of a new
 * version; it tells the others, which ask by themselves only if they do not
 * hear of it, or hear of a newer version than theirs. One call is under way
 * at a time: a large version on a slow link is read once, not side by side
 * with itself.
 *
 * A version never changes, so whoever has it may hand it on: an entry that
 * does not watch the store asks the one that it follows for a version that it
 * heard of, and the store only if that one has not got it. That a version is
 * the newest is not learned that way.
 */
#ifndef VFY_H
#define VFY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The first entry lets the store wait so long for a change: one call a second
 * in all, and no confirmation is older than this and a round trip when the
 * next one comes. Revoked keys leave five seconds for that and for telling the
 * others, unknown routes and keys two.
 */
#define VFY_LONG_POLL_MS 1000

/*
 * An answer that waited and brought nothing says that nothing had changed this
 * long before its end: the store answers as soon as there is a change.
 */
#define VFY_MAX_NOTIFY_DELAY_MS 100

/*
 * An entry that watches the store asks by itself when its last confirmation is
 * so old; the second of them so much later, and so on: by then it has heard of
 * the first one's word, if that lives.
 */
#define VFY_MAX_AGE_MS 1200
#define VFY_RANK_STEP_MS 300

/*
 * The others ask so much later, spread over the second figure. Telling all
 * of a hundred entries takes 0.6 s; when all asked by the clock alone, half
 * of them had asked before they heard: 1,200 calls in 50 s on 84 entries.
 */
#define VFY_NON_WATCHER_DELAY_MS 1000
#define VFY_NON_WATCHER_JITTER_MS 600

/* After a call that brought nothing. */
#define VFY_RETRY_MS 300

/*
 * While the store has no configuration at all, the first entry asks this
 * often and the others hear of it from that one. It is so at the very first
 * start, when 295 entries asked four times each until there was one.
 */
#define VFY_ABSENT_MS 2500
#define VFY_ABSENT_OTHERS_MS 4000

/*
 * Changes since a revision are asked for only if it was current so lately:
 * the store keeps some 20 s of history and may drop it sooner, and a question
 * that it cannot answer costs a call.
 */
#define VFY_MAX_REVISION_AGE_MS 8000

/*
 * The entry that is followed is asked for a version so long after it was
 * heard of, spread over the second figure: by then it has read it itself, and
 * some thirty followers do not come to it in one moment.
 */
#define VFY_PEER_DELAY_MS 100
#define VFY_PEER_JITTER_MS 200

enum vfy_call {
	VFY_NONE,
	VFY_READ,    /* read the configuration */
	VFY_CHANGES, /* ask for changes of it since `revision` */
	VFY_PEER,    /* ask the entry that is followed for the version named */
};

struct vfy {
	bool call_pending;
	int64_t call_started_ms; /* when the last call was started */
	int long_poll_ms;	 /* that it may wait for a change */
	int64_t revision;	 /* changes up to it are known; 0: nothing is */
	int64_t revision_ms;	 /* when it was current */
	bool in_force;	  /* the version at that revision is in force here */
	bool store_empty; /* the store had none */
	int64_t behind_since_ms; /* since a newer version was named; 0: none */
	int64_t last_peer_version; /* the version last asked of another entry */
};

/* What the entry knows when it decides. */
struct vfy_input {
	int watcher_rank; /* among those that watch the store; -1: not one */
	int64_t age_ms;	  /* of the last confirmation */
	bool behind;	  /* a newer version than that in force was named */
	bool request_waiting;	   /* a request waits for a confirmation */
	int64_t announced_version; /* the newest version that was named; 0: none */
	bool has_followed_entry; /* there is an entry to ask for it */
	uint64_t
		jitter_seed; /* ours, to ask at another moment than the others */
};

/* The call to make now, which is then under way; *wait_ms: of VFY_CHANGES. */
enum vfy_call vfy_next(struct vfy *v, const struct vfy_input *s, int64_t now_ms,
		       int *wait_ms);

/*
 * The call brought a version, current at `revision`; `in_force`: it could be
 * read, and is in force or was already.
 */
void vfy_received_version(struct vfy *v, int64_t revision, bool in_force,
			  int64_t now_ms);

/*
 * The call brought no change. Returns the moment at which the version in force
 * was the newest; 0: it is not, since the newest one cannot be read here.
 */
int64_t vfy_unchanged(struct vfy *v, int64_t revision, int64_t now_ms);

/*
 * Of what moment the answer of the call under way speaks, if it brought a
 * version: when it was asked, and for a watch a little before, since one that
 * may wait can bring one change and not yet see the next.
 */
int64_t vfy_as_of_ms(const struct vfy *v);

/* The store does not know any more what changed: all is read, at once. */
void vfy_history_lost(struct vfy *v);

void vfy_failed(struct vfy *v);

/* The other entry has not got the version: the store is asked at once. */
void vfy_peer_failed(struct vfy *v);

/* The store answered that it has no configuration. */
void vfy_absent(struct vfy *v);

#endif
