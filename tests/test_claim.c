/* Grants, judges and claims; the judge against a naive twin. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "claim/claim.h"
#include "support/unit.h"

#define LIFE 10000

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

static struct judge_request ask_for(const char *key, unsigned slot,
				    unsigned place, uint64_t claimant)
{
	struct judge_request q = { .view = 1,
				   .slot = slot,
				   .judge_index = place,
				   .claimant = claimant,
				   .issued_ms = 1000 };

	snprintf(q.key, sizeof(q.key), "%s", key);
	return q;
}

static uint64_t judge_id(const struct view *v, unsigned slot, unsigned place)
{
	return v->members[v->slots[slot].judge[place]].id;
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
	/* Another account's, another secret's, an altered birth. */
	CU_ASSERT_EQUAL(grant_parse(key, "auction", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(e.code, ERR_DENIED);
	CU_ASSERT_EQUAL(grant_parse(key, "quay", "other", &back, &e), -1);
	key[4] = key[4] == '1' ? '2' : '1';
	CU_ASSERT_EQUAL(grant_parse(key, "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(grant_parse("g", "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(grant_parse("g.a b", "quay", "secret", &back, &e), -1);
	CU_ASSERT_EQUAL(e.code, ERR_INVALID);
}

/* ---- The judge against a list that is searched from end to end ---- */

struct naive_vote {
	char key[16];
	unsigned place;
	uint64_t claimant;
};

static void judge_like_naive(void)
{
	struct view *v = make_view(1);
	struct naive_vote seen[4096];
	size_t nr = 0, i;
	struct rnd rnd;
	unsigned step;
	struct judge *j = judge_create(v->members[0].id, LIFE, 4096);

	rnd_seed(&rnd, 5);
	for (step = 0; step < 20000; step++) {
		const unsigned slot = rnd_below(&rnd, VIEW_SLOTS);
		const unsigned place = rnd_below(&rnd, 3);
		const uint64_t who = 1 + rnd_below(&rnd, 3);
		char key[16];
		struct judge_request q;
		struct judge_reply r;

		snprintf(key, sizeof(key), "k%u", rnd_below(&rnd, 300));
		q = ask_for(key, slot, place, who);
		r = judge_decide(j, v, &q, 2000);
		if (judge_id(v, slot, place) != v->members[0].id) {
			CU_ASSERT_EQUAL(r.reason, JUDGE_NOT_MINE);
			continue;
		}
		for (i = 0; i < nr; i++) {
			if (!strcmp(seen[i].key, key) && seen[i].place == place)
				break;
		}
		if (i == nr) {
			strcpy(seen[nr].key, key);
			seen[nr].place = place;
			seen[nr++].claimant = who;
		}
		CU_ASSERT_EQUAL(r.voted_for, seen[i].claimant);
		CU_ASSERT_EQUAL(r.verdict, seen[i].claimant == who
						   ? JUDGE_VOTE_GRANTED
						   : JUDGE_VOTE_TAKEN);
	}
	CU_ASSERT_EQUAL(judge_count(j), nr);
	judge_free(j);
	view_free(v);
}

/*
 * Symptom: one key runs a second time long after the first.
 * Events: the judge forgets the key at the end of its life; the caller sends
 * it again, and the instance's clock has been set back.
 * Cause: the key looks young again. "Now" must never go back.
 */
static void expired_is_never_judged_afresh(void)
{
	struct view *v = make_view(1);
	struct judge *j = judge_create(judge_id(v, 9, 0), LIFE, 16);
	struct judge_request q = ask_for("k", 9, 0, 5);

	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).verdict,
			JUDGE_VOTE_GRANTED);
	judge_expire(j, 1000 + LIFE + 1);
	CU_ASSERT_EQUAL(judge_count(j), 0);
	q.claimant = 6;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).reason, JUDGE_EXPIRED);
	judge_free(j);
	view_free(v);
}

/*
 * Symptom: two entries both hold two votes.
 * Events: a judge leaves, its hand-over gets no reply, it is sent again.
 * Cause: two successors are two votes of one judge. Only the slot's reserve
 * may take them, and the judge itself never votes again.
 */
static void hand_over(void)
{
	struct view *v = make_view(1);
	const unsigned slot = 11;
	struct judge *j = judge_create(judge_id(v, slot, 1), LIFE, 16);
	struct judge *r = judge_create(reserve_id(v, slot), LIFE, 16);
	struct judge *other = judge_create(judge_id(v, slot, 2), LIFE, 16);
	struct judge_request q = ask_for("k", slot, 1, 5);
	struct judge_vote *votes;
	size_t n;

	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).verdict,
			JUDGE_VOTE_GRANTED);
	q.claimant = 6;
	/* Not adopted yet: the reserve refuses. */
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
 * Symptom: a restarted entry gives a vote it gave before.
 * Events: a judge restarts at the same address within the key's life.
 * Cause: its memory is gone; views that name its old incarnation must be
 * refused by the new one.
 */
static void restarted_judge(void)
{
	struct view *v = make_view(1);
	struct judge *j = judge_create(
		view_instance_id("a", v->members[0].boot + 100), LIFE, 16);
	unsigned slot, refused = 0;

	for (slot = 0; slot < 200; slot++) {
		const struct judge_request q = ask_for("k", slot, 0, 5);

		refused += judge_decide(j, v, &q, 1500).reason ==
			   JUDGE_NOT_MINE;
	}
	CU_ASSERT_EQUAL(refused, 200);
	judge_free(j);
	view_free(v);
}

static void bad_asks(void)
{
	struct view *v = make_view(1);
	struct judge *j = judge_create(judge_id(v, 3, 0), LIFE, 2);
	struct judge_request q = ask_for("k", 3, 0, 5);

	CU_ASSERT_EQUAL(judge_decide(j, NULL, &q, 1).reason,
			JUDGE_UNKNOWN_VIEW);
	q.view = 2;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_UNKNOWN_VIEW);
	q = ask_for("k", VIEW_SLOTS, 0, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = ask_for("k", 3, 3, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = ask_for("k", 3, 0, 0);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = ask_for("k", 3, 0, 5);
	q.issued_ms = 1000000;
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1).reason, JUDGE_BAD_REQUEST);
	q = ask_for("k1", 3, 0, 5);
	judge_decide(j, v, &q, 1500);
	q = ask_for("k2", 3, 0, 5);
	judge_decide(j, v, &q, 1500);
	q = ask_for("k3", 3, 0, 5);
	CU_ASSERT_EQUAL(judge_decide(j, v, &q, 1500).reason, JUDGE_FULL);
	judge_free(j);
	view_free(v);
}

/* ---- Claims: all answers of three judges, against counting by hand ---- */

static enum claim_outcome naive_outcome(const unsigned a[3])
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

static void claim_like_naive(void)
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
		CU_ASSERT_EQUAL(claim_outcome(&c), naive_outcome(a));
	}
}

/* One judge that cannot be reached is too few to say "not run". */
static void one_silent_judge(void)
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
	/* A vote that was heard is not lost by a later silence. */
	claim_no_answer(&c, 0);
	CU_ASSERT_EQUAL(c.state[0], CLAIM_VOTED);
}

static const struct unit_test tests[] = {
	{ "grants", grants },
	{ "judge like the naive twin", judge_like_naive },
	{ "expired is never judged afresh", expired_is_never_judged_afresh },
	{ "hand-over to one successor", hand_over },
	{ "a restarted judge refuses old views", restarted_judge },
	{ "bad asks", bad_asks },
	{ "claim like the naive twin", claim_like_naive },
	{ "one silent judge", one_silent_judge },
};

UNIT_MAIN("claim", tests)
