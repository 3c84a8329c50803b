/*
 * judge: the votes of one entry about who may run a request.
 *
 * Each request key has three judges (see view.h). A judge votes for the first
 * claimant that asks and never takes a vote back; whoever holds two of three
 * votes is the only entry that may ever call the endpoint. Pure: all time is
 * passed in, nothing is sent from here.
 *
 * What keeps two of three intersecting:
 * - a judge is one incarnation; a restarted entry has another identity and
 *   refuses views that name the old one;
 * - a judge that leaves stops voting for good, and only then hands its votes
 *   to the slot's reserve, never to anyone else, however often it must retry;
 * - the reserve answers in the name of the judge it stands in for, and votes
 *   are counted by judge;
 * - a key past its life is refused, not judged afresh, and "now" never goes
 *   back, so what was forgotten cannot be asked again.
 */
#ifndef JUDGE_H
#define JUDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claim/grant.h"
#include "member/view.h"

enum judge_verdict {
	JUDGE_VOTE_GRANTED,
	JUDGE_VOTE_TAKEN,
	JUDGE_REFUSED
};

enum judge_reason {
	JUDGE_OK,
	JUDGE_UNKNOWN_VIEW, /* not known here (yet, or any more) */
	JUDGE_NOT_MINE,	    /* this incarnation is not that judge */
	JUDGE_EXPIRED,	    /* the key's life is over */
	JUDGE_FULL,	    /* the bound on votes is reached */
	JUDGE_LEAVING,	    /* votes were or will be handed on */
	JUDGE_BAD_REQUEST,  /* out of range; a peer's fault */
	JUDGE_REASONS,
};

struct judge_request {
	char key[GRANT_KEY_MAX];
	uint64_t view;
	unsigned slot;
	unsigned judge_index; /* which of the slot's judges is asked */
	uint64_t claimant;    /* incarnation that wants to call */
	int64_t issued_ms;    /* wall clock, from the grant */
};

struct judge_reply {
	enum judge_verdict verdict;
	enum judge_reason reason;
	uint64_t voted_for; /* the holder of the vote, if there is one */
};

/* One vote as it is handed on. */
struct judge_vote {
	char key[GRANT_KEY_MAX];
	uint64_t claimant;
	int64_t issued_ms;
	uint64_t view;
	uint16_t slot;
	uint8_t judge_index;
};

struct judge;

/* `key_life_ms` must be the same everywhere; `max_votes` bounds memory. */
struct judge *judge_create(uint64_t self, int64_t key_life_ms,
			   size_t max_votes);
void judge_free(struct judge *j);

/*
 * Decides one ask. `view` is the view that the ask names, or NULL if it is
 * not known. Never fails: a wrong ask is JUDGE_REFUSED with a reason.
 */
struct judge_reply judge_decide(struct judge *j, const struct view *view,
				const struct judge_request *ask,
				int64_t wall_ms);

/* Looks without voting: the claimant that holds the vote, or 0. */
uint64_t judge_peek(const struct judge *j, const char *key, unsigned place);

/* Stops voting, for good. Must come before judge_export. */
void judge_stop(struct judge *j);

/*
 * The votes that belong to (view, slots whose reserve is `reserve`); call
 * after judge_stop. Returns a new array (caller frees) and its length.
 * Deterministic, so a retry carries the same votes.
 */
struct judge_vote *judge_export(const struct judge *j, const struct view *view,
				uint64_t reserve, size_t *n);

/*
 * Takes over the votes of `from` for all slots of `view` where this entry is
 * the reserve. All or nothing and idempotent. False if refused: not the
 * reserve, `from` is not in the view, leaving itself, or no room.
 */
bool judge_import(struct judge *j, const struct view *view, uint64_t from,
		  const struct judge_vote *votes, size_t n, int64_t wall_ms);

/* Forgets keys past their life; cheap, call about once a second. */
void judge_expire(struct judge *j, int64_t wall_ms);

size_t judge_count(const struct judge *j);

#endif
