/*
 * judge: the votes of one entry on which entry may execute a request.
 *
 * Each request key has three judges (see view.h). A judge votes for the first
 * claimant that requests its vote and never withdraws the vote; only the
 * claimant with two of the three votes may ever call an endpoint for the
 * request. This module has no I/O; the caller passes the time.
 *
 * Any two majorities of a key have a judge in common, and this judge has a
 * single vote, because:
 * - a judge is one incarnation of an entry; a restarted entry has a new
 *   identity and refuses views that contain the old one;
 * - a judge that shuts down stops voting for good before it hands its votes
 *   over, and always hands them to the reserve of the slot, also in retries;
 * - the reserve answers for the judge whose votes it took over, and votes are
 *   counted per judge;
 * - a key past its lifetime is refused instead of getting a new vote, and the
 *   judge's time never goes back, so a removed vote cannot be given again.
 */
#ifndef JUDGE_H
#define JUDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claim/grant.h"
#include "member/view.h"

enum judge_verdict {
	JUDGE_VOTE_GRANTED, /* the vote is for the claimant */
	JUDGE_VOTE_TAKEN,   /* the vote is for another claimant */
	JUDGE_REFUSED	    /* no vote; see the reason */
};

/* Reason of a refusal; JUDGE_OK with the other verdicts. */
enum judge_reason {
	JUDGE_OK,
	JUDGE_UNKNOWN_VIEW, /* view not received yet, or freed already */
	JUDGE_NOT_MINE,	    /* this incarnation is not that judge */
	JUDGE_EXPIRED,	    /* the lifetime of the key is over */
	JUDGE_FULL,	    /* the limit on stored votes is reached */
	JUDGE_LEAVING,	    /* stopped; votes are or will be handed over */
	JUDGE_BAD_REQUEST,  /* field out of range; a fault of the peer */
	JUDGE_REASONS,
};

/* Request of a claimant for the vote of one judge. */
struct judge_request {
	char key[GRANT_KEY_MAX];
	uint64_t view;
	unsigned slot;
	unsigned judge_index; /* index in view_slot.judge */
	uint64_t claimant;    /* incarnation that wants to call an endpoint */
	int64_t issued_ms;    /* ms since the Unix epoch, from the grant */
};

struct judge_reply {
	enum judge_verdict verdict;
	enum judge_reason reason;
	uint64_t voted_for; /* the claimant that has the vote; 0: refused */
};

/* A vote, as it is handed over to the reserve. */
struct judge_vote {
	char key[GRANT_KEY_MAX];
	uint64_t claimant;
	int64_t issued_ms;
	uint64_t view;
	uint16_t slot;
	uint8_t judge_index;
};

struct judge;

/*
 * Returns a judge for the incarnation `self`; free with judge_free.
 * `key_life_ms` is the lifetime of request keys and must be the same in all
 * entries. At most `max_votes` votes are stored.
 */
struct judge *judge_create(uint64_t self, int64_t key_life_ms,
			   size_t max_votes);

/* NULL is allowed. */
void judge_free(struct judge *j);

/*
 * Decides a request for a vote. `view` is the view with the number in the
 * request, or NULL if it is not known. `wall_ms` is the current time in ms
 * since the Unix epoch. An invalid request gets JUDGE_REFUSED with a reason.
 */
struct judge_reply judge_decide(struct judge *j, const struct view *view,
				const struct judge_request *request,
				int64_t wall_ms);

/* Returns the claimant that has the vote, or 0, without giving a vote. */
uint64_t judge_peek(const struct judge *j, const char *key,
		    unsigned judge_index);

/* Stops voting, for good. Must be called before judge_export. */
void judge_stop(struct judge *j);

/*
 * Returns this entry's own votes of `view` for the slots whose reserve is the
 * incarnation `reserve`, and their number in `*n`. Must be called after
 * judge_stop. The caller frees the array. Repeated calls return the same votes,
 * so a retried handover sends what the first one sent.
 */
struct judge_vote *judge_export(const struct judge *j, const struct view *view,
				uint64_t reserve, size_t *n);

/*
 * Takes over the votes of the judge `from` for all slots of `view` whose
 * reserve is this entry, and answers for that judge from then on. Takes all
 * votes or none; idempotent. Returns false if refused: this entry is not the
 * reserve or has stopped voting, `from` is not in the view, or there is no
 * room.
 */
bool judge_import(struct judge *j, const struct view *view, uint64_t from,
		  const struct judge_vote *votes, size_t n, int64_t wall_ms);

/*
 * Removes the votes of keys past their lifetime. Cheap; call about once per
 * second.
 */
void judge_expire(struct judge *j, int64_t wall_ms);

/* Returns the number of stored votes. */
size_t judge_count(const struct judge *j);

#endif
