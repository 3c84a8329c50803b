/*
 * claim: one entry's attempt to become the only one that runs a request.
 *
 * Collects the votes of the key's three judges. Pure; lives for a request.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "claim/judge.h"

enum claim_outcome {
	CLAIM_PENDING,
	CLAIM_WON,     /* two votes: this entry alone may ever call */
	CLAIM_JOIN,    /* another entry has two votes: fetch from it */
	CLAIM_BURNED,  /* all votes known, nobody can reach two: not run */
	CLAIM_EXPIRED, /* the key's life is over */
	CLAIM_UNKNOWN, /* too few judges answered to tell */
};

enum claim_vote_state {
	CLAIM_AWAITED,
	CLAIM_VOTED,
	CLAIM_NO_VOTE
};

struct claim {
	uint64_t self;
	unsigned nr_judges;
	enum claim_vote_state state[VIEW_JUDGES];
	uint64_t voted_for[VIEW_JUDGES];
	bool expired;
};

/* Starts a claim by incarnation `self` among `nr_judges` (1 to 3). */
void claim_start(struct claim *c, uint64_t self, unsigned nr_judges);

/* The answer of judge `place`; a later answer of the same judge counts. */
void claim_answer(struct claim *c, unsigned place,
		  const struct judge_reply *reply);

/* Judge `place` and its stand-in gave no answer in time. */
void claim_no_answer(struct claim *c, unsigned place);

/* Where the claim stands; final unless CLAIM_PENDING. */
enum claim_outcome claim_outcome(const struct claim *c);

/* The entry that won, after CLAIM_JOIN. */
uint64_t claim_winner(const struct claim *c);

/* A name for logs. */
const char *claim_outcome_name(enum claim_outcome o);

#endif
