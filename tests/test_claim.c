/* Tests of grants, judges (compared with an array of votes) and claims. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "claim/claim.h"
#include "support/unit.h"

#define KEY_LIFE_MS 10000

static struct view *make_view(uint64_t number)
{
	struct view_member m[6];
	unsigned i;

	memset(m, 0, sizeof(m));
	for (i = 0; i < 6; i++) {
		m[i].name[0] = (char)('a' + i);
		snprintf(m[i].zone, sizeof(m[i].zone), "z%u", i % 3);
		strcpy(m[i].peer, "127.0.0.1:1");
		m[i].boot = i + 1;
	}
	return view_create(number, m, 6);
}

static struct judge_request make_request(const char *key, unsigned slot,
					 unsigned judge_index,
					 uint64_t claimant)
{
	struct judge_request q = { .view = 1,
				   .slot = slot,
				   .judge_index = judge_index,
				   .claimant = claimant,
				   .issued_ms = 1000 };

	snprintf(q.key, sizeof(q.key), "%s", key);
	return q;
}

static uint64_t judge_id(const struct view *v, unsigned slot,
			 unsigned judge_index)
{
	return v->members[v->slots[slot].judge[judge_index]].id;
}

static uint64_t reserve_id(const struct view *v, unsigned slot)
{
	return v->members[v->slots[slot].reserve].id;
}

/* ---- Grants ---- */

static void grants(void)
{
	const struct grant g = { 7, 123456, "0a0b0c0d" };
	char text[GRANT_MAX], key[GRANT_KEY_MAX];
	struct err e = ERR_INIT;
	struct grant back;

	grant_print(&g, "quay", "secret", text);
	snprintf(key, sizeof(key), "%s.order-1", text);
	CU_ASSERT_EQUAL(grant_parse(key, "quay", "secret", &back, &e), 0);
	CU_ASSERT_EQUAL(back.view, 7);
	CU_ASSERT_EQUAL(back.issued_ms, 123456);
	CU_ASSERT_STRING_EQUAL(back.nonce, "0a0b0c0d");
	/* Wrong account, wrong secret, modified time of issue. */
	CU_ASSERT_EQUAL(grant_parse(key, "auction", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(e.code, ERR_DENIED);
	CU_ASSERT_EQUAL(grant_parse(key, "quay", "other", &back, &e), -1);
	key[4] = key[4] == '1' ? '2' : '1';
	CU_ASSERT_EQUAL(grant_parse(key, "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(grant_parse("g", "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(grant_parse("g.a b", "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(e.code, ERR_INVALID);
}

/* ---- Judges ---- */

struct recorded_vote {
	char key[16];
	unsigned judge_index;
	uint64_t claimant;
};

static void judge_matches_array(void)
{
	struct view *v = make_view(1);
	struct recorded_vote seen[4096];
	size_t nr = 0, i;
	struct rnd rnd;
	unsigned step;
	struct judge *j = judge_create(v->members[0].id, KEY_LIFE_MS, 4096);

	rnd_seed(&rnd, 5);
	for (step = 0; step < 20000; step++) {
		const unsigned slot = rnd_below(&rnd, VIEW_SLOTS);
		const unsigned judge_index = rnd_below(&rnd, 3);
		const uint64_t claimant = 1 + rnd_below(&rnd, 3);
		char key[16];
		struct judge_request q;
		struct judge_reply r;

		snprintf(key, sizeof(key), "k%u", rnd_below(&rnd, 300));
		q = make_request(key, slot, judge_index, claimant);
		r = judge_decide(j, v, &q, 2000);
		if (judge_id(v, slot, judge_index) != v->members[0].id) {
			CU_ASSERT_EQUAL(r.reason, JUDGE_NOT_MINE);
			continue;
		}
		for (i = 0; i < nr; i++) {
			if (!strcmp(seen[i].key, key) &&
			    seen[i].judge_index == judge_index)
				break;
		}
		if (i == nr) {
			strcpy(seen[nr].key, key);
			seen[nr].judge_index = judge_index;
			seen[nr++].claimant = claimant;
		}
		CU_ASSERT_EQUAL(r.voted_for, seen[i].claimant);
		CU_ASSERT_EQUAL(r.verdict, seen[i].claimant == claimant
						   ? JUDGE_VOTE_GRANTED
						   : JUDGE_VOTE_TAKEN);
	}
	CU_ASSERT_EQUAL(judge_count(j), nr);
	judge_free(j);
	view_free(v);
}

/*
 * A key must not run a second time long after the first: the judge removes the
 * vote at the end of the key's lifetime, the client sends the key again, and
 * the clock of the instance has been set back, so that the key looks valid
 * again. The time of a judge must never go back.
 */
static void expired_key_gets_no_new_vote(void)
{
	struct view *v = make_view(1);
	struct judge *j = judge_create(judge_id(v, 9, 0), KEY_LIFE_MS, 16);
	struct judge_request q = make_request("k", 9, 0, 5);

	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).verdict,
			JUDGE_VOTE_GRANTED);
	judge_expire(j, 1000 + KEY_LIFE_MS + 1);
	CU_ASSERT_EQUAL(judge_count(j), 0);
	q.claimant = 6;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).reason, JUDGE_EXPIRED);
	judge_free(j);
	view_free(v);
}

/*
 * Two entries must not both get two votes. A judge shuts down, its handover of
 * the votes gets no reply, and it sends them again: two successors would mean
 * two votes of one judge. Only the reserve of the slot may import them, and the
 * judge itself never votes again.
 */
static void votes_go_to_reserve_only(void)
{
	struct view *v = make_view(1);
	const unsigned slot = 11;
	struct judge *j = judge_create(judge_id(v, slot, 1), KEY_LIFE_MS, 16);
	struct judge *r = judge_create(reserve_id(v, slot), KEY_LIFE_MS, 16);
	struct judge *other =
		judge_create(judge_id(v, slot, 2), KEY_LIFE_MS, 16);
	struct judge_request q = make_request("k", slot, 1, 5);
	struct judge_vote *votes;
	size_t n;

	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).verdict,
			JUDGE_VOTE_GRANTED);
	q.claimant = 6;
	/* The reserve refuses until it has imported the votes. */
	CU_ASSERT_EQUAL(judge_decide(r, v, &q, 1500).reason, JUDGE_NOT_MINE);
	judge_stop(j);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).reason, JUDGE_LEAVING);
	votes = judge_export(j, v, reserve_id(v, slot), &n);
	CU_ASSERT_EQUAL(n, 1);
	CU_ASSERT(
		!judge_import(other, v, judge_id(v, slot, 1), votes, n, 1500));
	CU_ASSERT(judge_import(r, v, judge_id(v, slot, 1), votes, n, 1500));
	CU_ASSERT(judge_import(r, v, judge_id(v, slot, 1), votes, n, 1500));
	CU_ASSERT_EQUAL(judge_decide(r, v, &q, 1500).verdict, JUDGE_VOTE_TAKEN);
	CU_ASSERT_EQUAL(judge_decide(r, v, &q, 1500).voted_for, 5);
	free(votes);
	judge_free(j);
	judge_free(r);
	judge_free(other);
	view_free(v);
}

/*
 * A judge that restarts at the same address within the lifetime of a key has
 * lost its votes and must not vote again: the new incarnation refuses views
 * that contain the old one.
 */
static void restarted_judge_refuses_old_views(void)
{
	struct view *v = make_view(1);
	struct judge *j =
		judge_create(view_instance_id("a", v->members[0].boot + 100),
			     KEY_LIFE_MS, 16);
	unsigned slot, refused = 0;

	for (slot = 0; slot < 200; slot++) {
		const struct judge_request q = make_request("k", slot, 0, 5);

		refused += judge_decide(j, v, &q, 1500).reason ==
			   JUDGE_NOT_MINE;
	}
	CU_ASSERT_EQUAL(refused, 200);
	judge_free(j);
	view_free(v);
}

static void invalid_requests(void)
{
	struct view *v = make_view(1);
	struct judge *j = judge_create(judge_id(v, 3, 0), KEY_LIFE_MS, 2);
	struct judge_request q = make_request("k", 3, 0, 5);

	CU_ASSERT_EQUAL(judge_decide(j, NULL, &q, 1).reason,
			JUDGE_UNKNOWN_VIEW);
	q.view = 2;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_UNKNOWN_VIEW);
	q = make_request("k", VIEW_SLOTS, 0, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = make_request("k", 3, 3, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = make_request("k", 3, 0, 0);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = make_request("k", 3, 0, 5);
	q.issued_ms = 1000000;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = make_request("k1", 3, 0, 5);
	judge_decide(j, v, &q, 1500);
	q = make_request("k2", 3, 0, 5);
	judge_decide(j, v, &q, 1500);
	q = make_request("k3", 3, 0, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).reason, JUDGE_FULL);
	judge_free(j);
	view_free(v);
}

/* ---- Claims: all combinations of the answers of three judges ---- */

/* Answers: 0 a vote for this entry, 1 and 2 for others, 3 none. */
static enum claim_outcome expected_outcome(const unsigned a[3])
{
	unsigned mine = 0, b = 0, c = 0, lost = 0, i;

	for (i = 0; i < 3; i++) {
		mine += a[i] == 0;
		b += a[i] == 1;
		c += a[i] == 2;
		lost += a[i] == 3;
	}
	if (mine >= 2)
		return CLAIM_WON;
	if (b >= 2 || c >= 2)
		return CLAIM_JOIN;
	return lost ? CLAIM_UNKNOWN : CLAIM_BURNED;
}

static void claim_outcome_of_all_answers(void)
{
	unsigned n, i;

	for (n = 0; n < 64; n++) {
		const unsigned a[3] = { n & 3, (n >> 2) & 3, (n >> 4) & 3 };
		struct claim c;

		claim_start(&c, 100, 3);
		for (i = 0; i < 3; i++) {
			const struct judge_reply r = {
				a[i] == 0 ? JUDGE_VOTE_GRANTED
					  : JUDGE_VOTE_TAKEN,
				JUDGE_OK, 100 + a[i]
			};

			if (a[i] == 3)
				claim_no_answer(&c, i);
			else
				claim_answer(&c, i, &r);
		}
		CU_ASSERT_EQUAL(claim_outcome(&c), expected_outcome(a));
	}
}

/* With one vote unknown, the request cannot be reported as not run. */
static void one_judge_without_answer(void)
{
	const struct judge_reply mine = { JUDGE_VOTE_GRANTED, JUDGE_OK, 1 };
	const struct judge_reply theirs = { JUDGE_VOTE_TAKEN, JUDGE_OK, 2 };
	struct claim c;

	claim_start(&c, 1, 3);
	claim_answer(&c, 0, &mine);
	claim_answer(&c, 1, &theirs);
	CU_ASSERT_EQUAL(claim_outcome(&c), CLAIM_PENDING);
	claim_no_answer(&c, 2);
	CU_ASSERT_EQUAL(claim_outcome(&c), CLAIM_UNKNOWN);
	/* A received vote stays valid if the judge does not answer later. */
	claim_no_answer(&c, 0);
	CU_ASSERT_EQUAL(c.state[0], CLAIM_VOTED);
}

static const struct unit_test tests[] = {
	{ "grants", grants },
	{ "a judge matches an array of votes", judge_matches_array },
	{ "an expired key gets no new vote", expired_key_gets_no_new_vote },
	{ "votes go to the reserve only", votes_go_to_reserve_only },
	{ "a restarted judge refuses old views",
	  restarted_judge_refuses_old_views },
	{ "invalid requests", invalid_requests },
	{ "claim outcome of all answers", claim_outcome_of_all_answers },
	{ "one judge without an answer", one_judge_without_answer },
};

UNIT_MAIN("claim", tests)
