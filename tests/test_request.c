/* The state machine of one model request (flow): the action on each event. */
#include <string.h>

#include "request/flow.h"
#include "support/unit.h"

static struct flow_action send_event(struct flow *f, enum flow_event_kind kind,
				     uint32_t offset, bool *fresh)
{
	const struct flow_event ev = { kind, f->attempt, offset };

	return flow_event(f, &ev, fresh, 1000);
}

static void receive_tokens(struct flow *f, uint32_t n)
{
	bool fresh;
	uint32_t i;

	for (i = 0; i < n; i++)
		send_event(f, FLOW_EV_TOKEN, f->tokens, &fresh);
}

static struct flow started(void)
{
	struct flow f;

	flow_init(&f, 7, 100, 100000);
	flow_routed(&f, 1, false, 0);
	return f;
}

static void complete_answer(void)
{
	struct flow f = started();
	bool fresh;

	receive_tokens(&f, 3);
	CU_ASSERT_EQUAL(f.tokens, 3);
	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_END, 3, &fresh).kind,
			FLOW_FINISH);
	CU_ASSERT_EQUAL(f.outcome, FLOW_COMPLETED);
	CU_ASSERT_EQUAL(f.recomputed, 0);
}

/*
 * Failure: a sentence appears twice in an answer. The request moved to another
 * engine, then a late token of the first engine arrived and was appended; it
 * must be dropped by the number of its older attempt.
 */
static void late_token(void)
{
	struct flow f = started();
	const struct flow_event late = { FLOW_EV_TOKEN, 1, 3 };
	bool fresh = true;

	receive_tokens(&f, 3);
	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_MOVE, 0, &fresh).kind,
			FLOW_ROUTE);
	CU_ASSERT_EQUAL(flow_routed(&f, 2, false, 0).kind, FLOW_CALL);
	CU_ASSERT_EQUAL(f.attempt, 2);
	flow_event(&f, &late, &fresh, 0);
	CU_ASSERT(!fresh);
	CU_ASSERT_EQUAL(f.tokens, 3);
	/* Prompt and tokens were prefilled again. */
	CU_ASSERT_EQUAL(f.recomputed, 103);
}

static void duplicate_and_missing_tokens(void)
{
	struct flow f = started();
	bool fresh;

	receive_tokens(&f, 3);
	send_event(&f, FLOW_EV_TOKEN, 1, &fresh);
	CU_ASSERT(!fresh);
	/* A gap makes the run be read again; it is not skipped. */
	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_TOKEN, 5, &fresh).kind,
			FLOW_RESUME);
	/* An end at another offset than the tokens received is not accepted. */
	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_END, 9, &fresh).kind,
			FLOW_RESUME);
	CU_ASSERT_EQUAL(f.outcome, FLOW_OPEN);
}

static void resumes_are_bounded(void)
{
	struct flow f = started();
	bool fresh;
	int i;

	receive_tokens(&f, 1);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_BROKEN, 0, &fresh).kind,
				FLOW_RESUME);
	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_BROKEN, 0, &fresh).kind,
			FLOW_ROUTE);
}

/*
 * Failure: a client gets "not run" although the request ran. A connection
 * breaks after bytes were sent, and later the request fails. Only a request of
 * which no byte was sent may be reported as not run.
 */
static void not_run_only_if_nothing_was_sent(void)
{
	struct flow f = started();
	bool fresh;

	CU_ASSERT_EQUAL(send_event(&f, FLOW_EV_REFUSED, 0, &fresh).kind,
			FLOW_ROUTE);
	flow_give_up(&f, 0);
	CU_ASSERT_EQUAL(f.outcome, FLOW_NOT_RUN);
	f = started();
	send_event(&f, FLOW_EV_BROKEN, 0, &fresh);
	flow_give_up(&f, 0);
	CU_ASSERT_EQUAL(f.outcome, FLOW_FAILED);
}

static void deadline_ends_it(void)
{
	struct flow f = started();

	CU_ASSERT_EQUAL(flow_tick(&f, 99999).kind, FLOW_WAIT);
	CU_ASSERT_EQUAL(flow_tick(&f, 100000).kind, FLOW_FINISH);
	CU_ASSERT_EQUAL(flow_tick(&f, 100001).kind, FLOW_WAIT);
}

/*
 * Failure: an answer whose second half belongs to another run. The owner
 * crashes; the entry that takes over has 3 tokens and begins a generation
 * there; the client, which got 5, reconnects. Tokens 4 and 5 are of a run that
 * is no longer part of the answer.
 */
static void no_splice(void)
{
	struct flow f = started();
	const uint32_t first = flow_gen(&f);
	struct flow new_owner;
	bool fresh;

	receive_tokens(&f, 5);
	flow_init(&new_owner, 99, 100, 100000);
	flow_adopt(&new_owner, f.gens, f.nr_gens, 3, f.attempt, 1);
	/* While the same run is read again, the client is merely ahead. */
	CU_ASSERT(flow_can_continue(&new_owner, first, 5));
	send_event(&new_owner, FLOW_EV_GONE, 0, &fresh);
	flow_routed(&new_owner, 2, false, 0);
	CU_ASSERT_NOT_EQUAL(flow_gen(&new_owner), first);
	CU_ASSERT(flow_can_continue(&new_owner, first, 3));
	CU_ASSERT(!flow_can_continue(&new_owner, first, 5));
	CU_ASSERT(!flow_can_continue(&new_owner, 12345, 2));
	CU_ASSERT(flow_can_continue(&new_owner, 12345, 0));
	flow_restart(&new_owner);
	CU_ASSERT(!flow_can_continue(&new_owner, first, 3));
}

/* Two entries that both act as the owner begin different generations. */
static void two_owners(void)
{
	struct flow f = started(), g;
	bool fresh;

	receive_tokens(&f, 2);
	flow_init(&g, 1234, 100, 100000);
	flow_adopt(&g, f.gens, f.nr_gens, 2, f.attempt, 1);
	send_event(&f, FLOW_EV_MOVE, 0, &fresh);
	send_event(&g, FLOW_EV_MOVE, 0, &fresh);
	flow_routed(&f, 2, false, 0);
	flow_routed(&g, 3, false, 0);
	CU_ASSERT_EQUAL(f.attempt, g.attempt);
	CU_ASSERT_NOT_EQUAL(flow_gen(&f), flow_gen(&g));
}

static const struct unit_test tests[] = {
	{ "a complete answer", complete_answer },
	{ "a late token of an older attempt", late_token },
	{ "duplicate and missing tokens", duplicate_and_missing_tokens },
	{ "resumes are bounded", resumes_are_bounded },
	{ "not run is reported only if no byte was sent",
	  not_run_only_if_nothing_was_sent },
	{ "the deadline", deadline_ends_it },
	{ "no answer is spliced from two runs", no_splice },
	{ "two owners begin different generations", two_owners },
};

UNIT_MAIN("request", tests)
