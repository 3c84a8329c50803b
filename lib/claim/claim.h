/*
 * claim: the attempt of one entry to obtain the exclusive right to execute a
 * request, by a majority of the votes of the request key's judges.
 *
 * This module only counts votes; it has no I/O and no clock. A claim lives as
 * long as its request.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "claim/judge.h"

enum claim_outcome {
	CLAIM_PENDING,
	CLAIM_WON,     /* majority: only this entry may call the endpoint */
	CLAIM_JOIN,    /* another entry has the majority: fetch from it */
	CLAIM_BURNED,  /* split vote: no entry can win, the key never runs */
	CLAIM_EXPIRED, /* the lifetime of the request key is over */
	CLAIM_UNKNOWN, /* too few judges answered to decide */
};

/* State of the vote of one judge, as received so far. */
enum claim_vote_state {
	CLAIM_AWAITED,
	CLAIM_VOTED,
	CLAIM_NO_VOTE /* refused, or no answer */
};

struct claim {
	uint64_t self; /* incarnation of this entry */
	unsigned nr_judges;
	enum claim_vote_state state[VIEW_JUDGES]; /* by judge index */
	uint64_t voted_for[VIEW_JUDGES];	  /* valid with CLAIM_VOTED */
	bool expired; /* a judge refused with JUDGE_EXPIRED */
};

/*
 * Starts a claim by the entry incarnation `self` with `nr_judges` judges (1 to
 * VIEW_JUDGES).
 */
void claim_start(struct claim *c, uint64_t self, unsigned nr_judges);

/*
 * Records the answer of a judge. A later answer of the same judge replaces an
 * earlier one, except that a refusal does not replace a vote.
 */
void claim_answer(struct claim *c, unsigned judge_index,
		  const struct judge_reply *reply);

/* Records that neither a judge nor its reserve answered in time. */
void claim_no_answer(struct claim *c, unsigned judge_index);

/* Returns the outcome; it is final unless it is CLAIM_PENDING. */
enum claim_outcome claim_outcome(const struct claim *c);

/* Returns the incarnation that has the majority, or 0. */
uint64_t claim_winner(const struct claim *c);

/* Returns the name of an outcome for logs, a static string. */
const char *claim_outcome_name(enum claim_outcome o);

#endif
