#include "request/rq.h"

#include <assert.h>
#include <string.h>

void rq_init(struct rq *r, const struct cfg_route *route)
{
	memset(r, 0, sizeof(*r));
	r->kind = route->kind;
	r->resumable = route->kind == CFG_STREAM && route->resumable;
	r->max_endpoints = route->max_endpoints > 0 ? route->max_endpoints : 1;
}

void rq_sent(struct rq *r)
{
	assert(!r->sending && !r->over);
	r->sending = true;
}

void rq_started(struct rq *r)
{
	r->started = true;
}

void rq_bound(struct rq *r)
{
	r->bound = true;
}

bool rq_is_repeatable(const struct rq *r)
{
	return r->kind == CFG_IDEMPOTENT || r->resumable;
}

static bool below_max_endpoints(const struct rq *r)
{
	return r->runs < r->max_endpoints;
}

static enum rq_step end(struct rq *r, enum rq_step step)
{
	r->over = true;
	return step;
}

static enum rq_step send_again(const struct rq *r)
{
	return r->started ? RQ_RESUME : RQ_SEND;
}

/* The last step for a client that gets no endpoint's response. */
static enum rq_step give_up(struct rq *r)
{
	if (r->started)
		return end(r, RQ_CUT);
	return end(r, r->runs ? RQ_BAD_GATEWAY : RQ_NOT_RUN);
}

static enum rq_step on_run_lost(struct rq *r, bool again)
{
	r->at_copy = false;
	r->runs++;
	if (again && rq_is_repeatable(r) && below_max_endpoints(r))
		return send_again(r);
	return give_up(r);
}

/* `again`: the request may be sent to another endpoint. */
static enum rq_step on_not_run(struct rq *r, bool again)
{
	r->sending = false;
	/* The copy is not available, so the run before it is lost. */
	if (r->at_copy)
		return on_run_lost(r, again);
	if (again && (below_max_endpoints(r) || !r->runs))
		return send_again(r);
	return give_up(r);
}

enum rq_step rq_refused(struct rq *r, bool again)
{
	const int max = r->bound ? RQ_MAX_REFUSALS_BOUND : RQ_MAX_REFUSALS;

	assert(r->sending);
	r->refusals++;
	return on_not_run(r, again && r->refusals <= max);
}

enum rq_step rq_unreached(struct rq *r, bool again)
{
	assert(r->sending);
	r->unreached++;
	return on_not_run(r, again && r->unreached < RQ_MAX_UNREACHED);
}

enum rq_step rq_lost(struct rq *r, bool again)
{
	assert(r->sending);
	r->sending = false;
	return on_run_lost(r, again);
}

void rq_moved(struct rq *r)
{
	assert(r->sending);
	r->sending = false;
	r->at_copy = true;
}

void rq_copy_unused(struct rq *r)
{
	assert(r->sending && r->at_copy);
	r->sending = false;
}

enum rq_step rq_answered(struct rq *r, bool good, bool again)
{
	assert(r->sending);
	r->sending = false;
	/*
	 * The client has the beginning of a stream. An error response must
	 * not follow: its head would be parsed as a chunk size.
	 */
	if (!good && r->started)
		return on_run_lost(r, again);
	r->runs++;
	if (!good && again && rq_is_repeatable(r) && below_max_endpoints(r))
		return RQ_SEND;
	return end(r, RQ_PASS);
}

enum rq_step rq_no_endpoint(struct rq *r)
{
	return give_up(r);
}

enum rq_step rq_timed_out(struct rq *r)
{
	if (r->started)
		return end(r, RQ_CUT);
	return end(r, r->sending || r->runs ? RQ_TIMED_OUT : RQ_NOT_RUN);
}

enum rq_step rq_caller_gone(struct rq *r)
{
	return end(r, RQ_DROP);
}
