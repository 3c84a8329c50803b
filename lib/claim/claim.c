#include "claim/claim.h"

#include <assert.h>
#include <string.h>

void claim_start(struct claim *c, uint64_t self, unsigned nr_judges)
{
	assert(nr_judges <= VIEW_JUDGES);
	memset(c, 0, sizeof(*c));
	c->self = self;
	c->nr_judges = nr_judges;
}

void claim_answer(struct claim *c, unsigned judge_index,
		  const struct judge_reply *reply)
{
	assert(judge_index < c->nr_judges);
	if (reply->verdict == JUDGE_REFUSED) {
		if (reply->reason == JUDGE_EXPIRED)
			c->expired = true;
		claim_no_answer(c, judge_index);
		return;
	}
	c->state[judge_index] = CLAIM_VOTED;
	c->voted_for[judge_index] = reply->voted_for;
}

void claim_no_answer(struct claim *c, unsigned judge_index)
{
	/* Judges never withdraw a vote, so a received one stays valid. */
	if (c->state[judge_index] != CLAIM_VOTED)
		c->state[judge_index] = CLAIM_NO_VOTE;
}

/* Two of three judges; small views have one or two: all of them. */
static unsigned majority(const struct claim *c)
{
	return c->nr_judges / 2 + 1;
}

static unsigned votes_for(const struct claim *c, uint64_t id)
{
	unsigned n = 0, i;

	for (i = 0; i < c->nr_judges; i++)
		n += c->state[i] == CLAIM_VOTED && c->voted_for[i] == id;
	return n;
}

uint64_t claim_winner(const struct claim *c)
{
	unsigned i;

	for (i = 0; i < c->nr_judges; i++) {
		if (c->state[i] == CLAIM_VOTED &&
		    votes_for(c, c->voted_for[i]) >= majority(c))
			return c->voted_for[i];
	}
	return 0;
}

enum claim_outcome claim_outcome(const struct claim *c)
{
	const uint64_t winner = claim_winner(c);
	unsigned voted = 0, awaited = 0, i;

	if (winner)
		return winner == c->self ? CLAIM_WON : CLAIM_JOIN;
	for (i = 0; i < c->nr_judges; i++) {
		voted += c->state[i] == CLAIM_VOTED;
		awaited += c->state[i] == CLAIM_AWAITED;
	}
	if (voted == c->nr_judges && voted > 0)
		return CLAIM_BURNED;
	if (awaited)
		return CLAIM_PENDING;
	return c->expired ? CLAIM_EXPIRED : CLAIM_UNKNOWN;
}

const char *claim_outcome_name(enum claim_outcome o)
{
	static const char *const names[] = { "pending", "won",	   "join",
					     "burned",	"expired", "unknown" };

	return names[o];
}
