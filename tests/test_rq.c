/*
 * The state machine of one attempt: checks the rules on every sequence of
 * events up to a fixed length, and that a faulty variant breaks them.
 */
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
	SUCCEEDED,
	FAILED,
	FAILED_LAST,
	FIRST_EVENT,
	TIMED_OUT,
	CLIENT_GONE,
	NO_ENDPOINT,
	MOVED,
	EVENTS
};

/* The true state of an attempt, as its endpoints and the client see it. */
struct attempt_state {
	int ran;	/* endpoints on which it ran or may have run */
	bool in_flight; /* sent, without a response yet */
	bool started;
	bool at_copy; /* the run was stopped and continues from its copy */
	bool failed;  /* the last response was an error */
	bool done;    /* the client got the final response */
	bool wrong;   /* a rule was broken */
};

static void check_step(struct attempt_state *w, const struct rq *r,
		       enum rq_step step)
{
	const bool repeatable = r->kind == CFG_IDEMPOTENT || r->resumable;

	switch (step) {
	case RQ_SEND:
	case RQ_RESUME:
		w->wrong |= w->in_flight;
		w->wrong |= w->ran > 0 && !repeatable;
		w->wrong |= w->ran >= r->max_endpoints;
		w->wrong |= step == RQ_RESUME && !w->started;
		w->wrong |= step == RQ_SEND && w->started;
		w->in_flight = true;
		return;
	case RQ_NOT_RUN:
		w->wrong |= w->ran > 0 || w->in_flight || w->started;
		break;
	case RQ_BAD_GATEWAY:
	case RQ_TIMED_OUT:
		w->wrong |= w->started;
		break;
	case RQ_CUT:
		w->wrong |= !w->started;
		break;
	case RQ_PASS:
		/* An error response must not follow a part of a stream. */
		w->wrong |= w->started && w->failed;
		break;
	case RQ_DROP:
		break;
	}
	w->done = true;
}

/* The faulty variant treats a broken connection as "not run". */
static bool faulty_variant;

static enum rq_step apply(struct rq *r, struct attempt_state *w, enum event e)
{
	switch (e) {
	case REFUSED:
	case REFUSED_LAST:
		w->in_flight = false;
		/* No copy to continue from: the run before it is lost. */
		w->ran += w->at_copy;
		w->at_copy = false;
		return rq_refused(r, e == REFUSED);
	case UNREACHED:
		w->in_flight = false;
		w->ran += w->at_copy;
		w->at_copy = false;
		return rq_unreached(r, true);
	case LOST:
	case LOST_LAST:
		w->in_flight = false;
		w->ran++;
		w->at_copy = false;
		return faulty_variant ? rq_refused(r, e == LOST)
				      : rq_lost(r, e == LOST);
	case SUCCEEDED:
		w->in_flight = false;
		w->ran++;
		w->failed = false;
		return rq_answered(r, true, true);
	case FAILED:
	case FAILED_LAST:
		w->in_flight = false;
		w->ran++;
		w->at_copy = false;
		w->failed = true;
		return rq_answered(r, false, e == FAILED);
	case TIMED_OUT:
		return rq_timed_out(r);
	case CLIENT_GONE:
		return rq_caller_gone(r);
	default:
		return rq_no_endpoint(r);
	}
}

static bool possible(const struct rq *r, const struct attempt_state *w,
		     enum event e)
{
	if (w->done)
		return false;
	switch (e) {
	case TIMED_OUT:
	case CLIENT_GONE:
		return true;
	case NO_ENDPOINT:
		return !w->in_flight;
	case MOVED:
		return w->in_flight && w->started;
	case FIRST_EVENT:
		return w->in_flight && !w->started && r->kind == CFG_STREAM;
	default:
		return w->in_flight;
	}
}

static unsigned long sequences, violations;

static void explore(struct rq r, struct attempt_state w, int depth)
{
	int e;

	sequences++;
	violations += w.wrong;
	if (!depth)
		return;
	for (e = 0; e < EVENTS; e++) {
		struct rq r2 = r;
		struct attempt_state w2 = w;
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
		check_step(&w2, &r2, step);
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

	sequences = violations = 0;
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		struct attempt_state w = { .in_flight = true };
		struct rq r;

		rq_init(&r, &routes[i]);
		rq_sent(&r);
		explore(r, w, 12);
	}
}

static void all_sequences_keep_the_rules(void)
{
	explore_all();
	CU_ASSERT_EQUAL(violations, 0);
	CU_ASSERT(sequences > 1000);
}

static void variant_that_trusts_broken_connections_is_detected(void)
{
	faulty_variant = true;
	explore_all();
	faulty_variant = false;
	CU_ASSERT(violations > 0);
}

/*
 * Failure: a transfer ran twice. The connection broke after the request was
 * sent, this was taken for "not run", and another endpoint got the request.
 */
static void lost_request_is_not_repeated(void)
{
	const struct cfg_route once = { .kind = CFG_ONCE, .max_endpoints = 3 };
	struct rq r;

	rq_init(&r, &once);
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_lost(&r, true), RQ_BAD_GATEWAY);
}

/* Guards against streams that are cut as the few endpoints left were full. */
static void bound_request_is_refused_more_often(void)
{
	const struct cfg_route route = { .kind = CFG_STREAM,
					 .resumable = true,
					 .max_endpoints = 1 };
	struct rq r;
	int i;

	rq_init(&r, &route);
	rq_bound(&r);
	for (i = 0; i < RQ_MAX_REFUSALS_BOUND; i++) {
		rq_sent(&r);
		CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_SEND);
	}
	rq_sent(&r);
	CU_ASSERT_EQUAL(rq_refused(&r, true), RQ_NOT_RUN);
}

/* After a refusal ("not run") the request may go to another endpoint. */
static void refused_request_is_sent_again(void)
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
 * Failure: clients got 503 "endpoint not reached" while most endpoints were
 * alive. Several had crashed and were still listed; three of them were tried,
 * as a failed connection counted as a refusal.
 */
static void unreached_request_is_sent_again(void)
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
 * Failure: a client was sent "not run, retry", and the request ran. The route
 * timed out while an endpoint had the request; the response was the same as
 * for a request that was not sent yet.
 */
static void timeout_after_send_is_not_reported_as_not_run(void)
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
 * Failure: a client could not parse a chunk size. A stream broke off, the
 * endpoint that was to resume it responded with an error, and this response
 * was relayed into the stream with its head.
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
 * Failure: a stream was spliced from two runs. Its run was stopped and copied,
 * the copy was gone when the request arrived, and another endpoint started
 * over: the "not run" of the copy was taken for "never ran".
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

/* An error response is retried only if the request is repeatable. */
static void errors_are_relayed_or_retried(void)
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
	{ "an unreached request is sent again",
	  unreached_request_is_sent_again },
	{ "all sequences keep the rules", all_sequences_keep_the_rules },
	{ "the variant that trusts broken connections is detected",
	  variant_that_trusts_broken_connections_is_detected },
	{ "a lost request is not repeated", lost_request_is_not_repeated },
	{ "a bound request is refused more often",
	  bound_request_is_refused_more_often },
	{ "a refused request is sent again", refused_request_is_sent_again },
	{ "a timeout after the send is not reported as not run",
	  timeout_after_send_is_not_reported_as_not_run },
	{ "a stream resumes or is cut", stream_resumes_or_is_cut },
	{ "an error does not enter a stream", error_does_not_enter_a_stream },
	{ "a lost copy is a lost run", lost_copy_is_a_lost_run },
	{ "errors are relayed or retried", errors_are_relayed_or_retried },
};

UNIT_MAIN("rq", tests)
