/* The state machine of one attempt: every sequence of events up to a length,
 * against the rules it has to keep, and against a naive twin. */
#include <stdio.h>
#include <string.h>

#include "request/rq.h"
#include "support/unit.h"

enum event {
	REFUSED,
	REFUSED_LAST,
	UNREACHED,
	LOST,
	LOST_LAST,
	GOOD,
	BAD,
	BAD_LAST,
	FIRST_EVENT,
	TIME_UP,
	GONE,
	NO_ENDPOINT,
	MOVED,
	EVENTS
};

/* What the world outside knows of an attempt. */
struct world {
	int ran;	/* endpoints on which it ran or may have run */
	bool under_way; /* sent, and no word yet */
	bool started;
	bool at_copy; /* the run was stopped and goes on from its copy */
	bool failed;  /* the last answer was an error */
	bool told;
	bool wrong;
};

static void tell(struct world *w, const struct rq *r, enum rq_step step)
{
	const bool repeatable = r->kind == CFG_IDEMPOTENT || r->resumable;

	switch (step) {
	case RQ_SEND:
	case RQ_RESUME:
		w->wrong |= w->under_way;
		w->wrong |= w->ran > 0 && !repeatable;
		w->wrong |= w->ran >= r->max_endpoints;
		w->wrong |= step == RQ_RESUME && !w->started;
		w->wrong |= step == RQ_SEND && w->started;
		w->under_way = true;
		return;
	case RQ_NOT_RUN:
		w->wrong |= w->ran > 0 || w->under_way || w->started;
		break;
	case RQ_BAD_GATEWAY:
	case RQ_TIMED_OUT:
		w->wrong |= w->started;
		break;
	case RQ_CUT:
		w->wrong |= !w->started;
		break;
	case RQ_PASS:
		/* An error has no place in the middle of a stream. */
		w->wrong |= w->started && w->failed;
		break;
	case RQ_DROP:
		break;
	}
	w->told = true;
}

/* A broken twin takes a connection that broke for "not run". */
static bool broken_twin;

static enum rq_step apply(struct rq *r, struct world *w, enum event e)
{
	switch (e) {
	case REFUSED:
	case REFUSED_LAST:
		w->under_way = false;
		/* No copy to go on from: what ran before is lost. */
		w->ran += w->at_copy;
		w->at_copy = false;
		return rq_refused(r, e == REFUSED);
	case UNREACHED:
		w->under_way = false;
		w->ran += w->at_copy;
		w->at_copy = false;
		return rq_unreached(r, true);
	case LOST:
	case LOST_LAST:
		w->under_way = false;
		w->ran++;
		w->at_copy = false;
		return broken_twin ? rq_refused(r, e == LOST)
				   : rq_lost(r, e == LOST);
	case GOOD:
		w->under_way = false;
		w->ran++;
		w->failed = false;
		return rq_answered(r, true, true);
	case BAD:
	case BAD_LAST:
		w->under_way = false;
		w->ran++;
		w->at_copy = false;
		w->failed = true;
		return rq_answered(r, false, e == BAD);
	case TIME_UP:
		return rq_timed_out(r);
	case GONE:
		return rq_caller_gone(r);
	default:
		return rq_no_endpoint(r);
	}
}

static bool possible(const struct rq *r, const struct world *w, enum event e)
{
	if (w->told)
		return false;
	switch (e) {
	case TIME_UP:
	case GONE:
		return true;
	case NO_ENDPOINT:
		return !w->under_way;
	case MOVED:
		return w->under_way && w->started;
	case FIRST_EVENT:
		return w->under_way && !w->started && r->kind == CFG_STREAM;
	default:
		return w->under_way;
	}
}

static unsigned long sequences, broken;

static void explore(struct rq r, struct world w, int depth)
{
	int e;

	sequences++;
	broken += w.wrong;
	if (!depth)
		return;
	for (e = 0; e < EVENTS; e++) {
		struct rq r2 = r;
		struct world w2 = w;
		enum rq_step step;

		if (!possible(&r, &w, (enum event)e))
			continue;
		if (e == FIRST_EVENT) {
			rq_started(&r2);
			w2.started = true;
			explore(r2, w2, depth - 1);
			continue;
		}
		if (e == MOVED) {
			rq_moved(&r2);
			rq_sent(&r2);
			w2.at_copy = true;
			explore(r2, w2, depth - 1);
			continue;
		}
		step = apply(&r2, &w2, (enum event)e);
		tell(&w2, &r2, step);
		if (step == RQ_SEND || step == RQ_RESUME)
			rq_sent(&r2);
		explore(r2, w2, depth - 1);
	}
}

static void explore_all(void)
{
	static const struct cfg_route routes[] = {
		{ .kind = CFG_IDEMPOTENT, .max_endpoints = 1 },
		{ .kind = CFG_IDEMPOTENT, .max_endpoints = 3 },
		{ .kind = CFG_ONCE, .max_endpoints = 1 },
		{ .kind = CFG_ONCE, .max_endpoints = 3 },
		{ .kind = CFG_STREAM, .max_endpoints = 2 },
		{ .kind = CFG_STREAM, .max_endpoints = 2, .resumable = true },
		{ .kind = CFG_STREAM, .max_endpoints = 1, .resumable = true },
	};
	size_t i;

	sequences = broken = 0;
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		struct world w = { .under_way = true };
		struct rq r;

		rq_init(&r, &routes[i]);
		rq_sent(&r);
		explore(r, w, 12);
	}
}

static void all_sequences_keep_the_rules(void)
{
	explore_all();
	CU_ASSERT_EQUAL(broken, 0);
	CU_ASSERT(sequences > 1000);
}

static void twin_that_trusts_broken_connections_is_caught(void)
{
	broken_twin = true;
	explore_all();
	broken_twin = false;
	CU_ASSERT(broken > 0);
}

/*
 * Symptom: a transfer ran twice. Sequence: the endpoint's connection broke
 * after the request had left; it was sent to another one. Cause: taking a
 * broken connection for "not run".
 */
static void lost_call_is_not_repeated(void)
{
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 3 };
	struct rq r;

	rq_init(&r, &once);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_BAD_GATEWAY);
}

/* A refusal that says "not run" may be followed by another endpoint. */
static void refused_call_is_sent_again(void)
{
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 1 };
	struct rq r;
	int i;

	rq_init(&r, &once);
	for (i = 0; i < RQ_MAX_REFUSALS; i++) {
		rq_sent(&r);
		CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_SEND);
	}
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_NOT_RUN);
}

/*
 * Symptom: callers were told 503 "endpoint not reached" while most endpoints
 * were well. Sequence: several had ended and were listed still; three of them
 * were tried. Cause: a connection that is refused counted as a refusal.
 */
static void unreached_call_is_sent_again(void)
{
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 1 };
	struct rq r;
	int i;

	rq_init(&r, &once);
	for (i = 1; i < RQ_MAX_UNREACHED; i++) {
		rq_sent(&r);
		CU_ASSERT_EQUAL(rq_unreached(&r, true), RQ_SEND);
	}
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_SEND);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_unreached(&r, true), RQ_NOT_RUN);
}

/*
 * Symptom: a caller was told "not run, come back", and the request ran.
 * Sequence: the route's time was over while an endpoint had the request.
 * Cause: the same answer for a request that waits and one that was sent.
 */
static void time_up_while_sent_promises_nothing(void)
{
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 1 };
	struct rq r;

	rq_init(&r, &once);
	CU_ASSERT_EQUAL(rq_timed_out(&r), RQ_NOT_RUN);
	rq_init(&r, &once);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_timed_out(&r), RQ_TIMED_OUT);
}

static void stream_resumes_or_is_cut(void)
{
	const struct cfg_route plain = { .kind = CFG_STREAM,
					 .max_endpoints = 2 };
	const struct cfg_route resumable = { .kind = CFG_STREAM,
					     .max_endpoints = 2,
					     .resumable = true };
	struct rq r;

	rq_init(&r, &plain);
	rq_sent(&r);
	rq_started(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_CUT);
	rq_init(&r, &resumable);
	rq_sent(&r);
	rq_started(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_RESUME);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_CUT);
}

/*
 * Symptom: a caller could not read a chunk's size. Sequence: a stream breaks
 * off, and the endpoint that is to go on with it answers an error. Cause: the
 * error was passed on as the answer, head and all, into the stream.
 */
static void error_does_not_enter_a_stream(void)
{
	const struct cfg_route resumable = { .kind = CFG_STREAM,
					     .max_endpoints = 3,
					     .resumable = true };
	struct rq r;

	rq_init(&r, &resumable);
	rq_sent(&r);
	rq_started(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_RESUME);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, false, true), RQ_RESUME);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, false, true), RQ_CUT);
}

/*
 * Symptom: a stream was put together from two runs. Sequence: its run was
 * stopped and copied, the copy was gone when the request came for it, and
 * another endpoint began it anew. Cause: a truthful "not run" of the copy
 * taken for "never ran".
 */
static void lost_copy_is_a_lost_run(void)
{
	const struct cfg_route plain = { .kind = CFG_STREAM,
					 .max_endpoints = 3 };
	struct rq r;

	rq_init(&r, &plain);
	rq_sent(&r);
	rq_started(&r);
	rq_moved(&r);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_CUT);
	rq_init(&r, &plain);
	rq_sent(&r);
	rq_started(&r);
	rq_moved(&r);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, true, false), RQ_PASS);
	CU_ASSERT_EQUAL(r.runs, 1);
}

/* An error that an endpoint gave is worth another try only if repeatable. */
static void errors_are_passed_or_repeated(void)
{
	const struct cfg_route safe = { .kind = CFG_IDEMPOTENT,
					.max_endpoints = 2 };
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 2 };
	struct rq r;

	rq_init(&r, &safe);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, false, true), RQ_SEND);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, false, true), RQ_PASS);
	rq_init(&r, &once);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_answered(&r, false, true), RQ_PASS);
}

static const struct unit_test tests[] = {
	{ "an unreached call is sent again", unreached_call_is_sent_again },
	{ "all sequences keep the rules", all_sequences_keep_the_rules },
	{ "the twin that trusts broken connections is caught",
	  twin_that_trusts_broken_connections_is_caught },
	{ "a lost call is not repeated", lost_call_is_not_repeated },
	{ "a refused call is sent again", refused_call_is_sent_again },
	{ "time up while sent promises nothing",
	  time_up_while_sent_promises_nothing },
	{ "a stream resumes or is cut", stream_resumes_or_is_cut },
	{ "an error does not enter a stream", error_does_not_enter_a_stream },
	{ "a lost copy is a lost run", lost_copy_is_a_lost_run },
	{ "errors are passed or repeated", errors_are_passed_or_repeated },
};

UNIT_MAIN("rq", tests)
