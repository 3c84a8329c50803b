#include "request/flow.h"

#include <assert.h>
#include <string.h>

#include "base/hsh.h"

/*
 * Backoff of retries: doubles for each attempt up to the maximum, with jitter
 * of the same size.
 */
#define BACKOFF_MS 20
#define BACKOFF_MAX_MS 1000

/* Maximum number of times per attempt that a broken run is read again. */
#define MAX_RESUMES 3

/* ---- Generations ---- */

static uint32_t new_gen_id(const struct flow *f)
{
	const uint64_t v = hsh_rendezvous(f->seed, f->attempt + 1);

	return (uint32_t)(v >> 32) | 1;
}

/*
 * Begins a generation after `from` tokens. Drops generations whose tokens are
 * all replaced by it, so that `gens` lists only the sources of the answer.
 */
static void begin_gen(struct flow *f, uint32_t from)
{
	while (f->nr_gens && f->gens[f->nr_gens - 1].from >= from)
		f->nr_gens--;
	if (f->nr_gens == FLOW_MAX_GENS) {
		memmove(f->gens, f->gens + 1,
			(FLOW_MAX_GENS - 1) * sizeof(f->gens[0]));
		f->nr_gens--;
	}
	f->gens[f->nr_gens].id = new_gen_id(f);
	f->gens[f->nr_gens].from = from;
	f->nr_gens++;
}

uint32_t flow_gen(const struct flow *f)
{
	return f->nr_gens ? f->gens[f->nr_gens - 1].id : 0;
}

bool flow_can_continue(const struct flow *f, uint32_t gen, uint32_t offset)
{
	size_t i;

	if (!offset)
		return true;
	for (i = 0; i < f->nr_gens; i++) {
		if (f->gens[i].id != gen)
			continue;
		/* Only its tokens before the next generation are valid. */
		if (i + 1 < f->nr_gens)
			return offset <= f->gens[i + 1].from;
		/*
		 * A client may be ahead of an entry that took over and reads
		 * the same run again: those tokens are still to come. If the
		 * run is lost, another generation begins before the offset.
		 */
		return offset <= f->tokens || f->phase != FLOW_DONE;
	}
	return false;
}

void flow_restart(struct flow *f)
{
	f->recomputed += f->tokens;
	f->tokens = 0;
	f->nr_gens = 0;
}

/* ---- Actions ---- */

static struct flow_action act(const struct flow *f, enum flow_action_kind kind)
{
	const struct flow_action a = {
		.kind = kind,
		.endpoint = f->endpoint,
		.attempt = f->attempt,
		.from = f->tokens,
	};

	return a;
}

static struct flow_action finish(struct flow *f, enum flow_outcome outcome)
{
	f->phase = FLOW_DONE;
	f->outcome = outcome;
	return act(f, FLOW_FINISH);
}

/* A request is reported as not run only if no byte reached an endpoint. */
static struct flow_action fail(struct flow *f)
{
	return finish(f, f->ran ? FLOW_FAILED : FLOW_NOT_RUN);
}

static struct flow_action route_again(struct flow *f, int64_t now_ms,
				      bool at_once)
{
	struct flow_action a;
	int64_t wait = BACKOFF_MS << (f->attempt < 6 ? f->attempt : 6);
	uint64_t jitter;

	if (f->attempt >= (f->tokens ? FLOW_MAX_ACCEPTED_ATTEMPTS
				     : FLOW_MAX_ATTEMPTS) ||
	    now_ms >= f->deadline_ms)
		return fail(f);
	if (wait > BACKOFF_MAX_MS)
		wait = BACKOFF_MAX_MS;
	jitter = hsh_rendezvous(f->seed, f->attempt) % (uint64_t)wait;
	f->avoid = f->endpoint;
	f->endpoint = 0;
	f->phase = FLOW_QUEUED;
	a = act(f, FLOW_ROUTE);
	a.at_ms = at_once ? now_ms : now_ms + wait / 2 + (int64_t)jitter;
	return a;
}

void flow_init(struct flow *f, uint64_t seed, uint32_t prompt_tokens,
	       int64_t deadline_ms)
{
	memset(f, 0, sizeof(*f));
	f->seed = seed;
	f->prompt_tokens = prompt_tokens;
	f->deadline_ms = deadline_ms;
}

void flow_adopt(struct flow *f, const struct flow_gen *gens, size_t nr_gens,
		uint32_t tokens, uint32_t attempt, uint64_t endpoint)
{
	assert(nr_gens <= FLOW_MAX_GENS);
	memcpy(f->gens, gens, nr_gens * sizeof(*gens));
	f->nr_gens = nr_gens;
	f->tokens = tokens;
	f->attempt = attempt;
	f->endpoint = endpoint;
	f->ran = true;
	f->phase = endpoint ? FLOW_STREAMING : FLOW_QUEUED;
}

struct flow_action flow_routed(struct flow *f, uint64_t endpoint, bool warm,
			       int64_t now_ms)
{
	if (f->phase != FLOW_QUEUED)
		return act(f, FLOW_WAIT);
	if (now_ms >= f->deadline_ms)
		return fail(f);
	if (f->ran && !warm)
		f->recomputed += f->prompt_tokens + f->tokens;
	f->endpoint = endpoint;
	f->attempt++;
	f->resumes = 0;
	f->phase = FLOW_CALLING;
	begin_gen(f, f->tokens);
	return act(f, FLOW_CALL);
}

static struct flow_action on_broken(struct flow *f, int64_t now_ms)
{
	f->ran = true;
	if (f->resumes++ < MAX_RESUMES)
		return act(f, FLOW_RESUME);
	return route_again(f, now_ms, true);
}

struct flow_action flow_event(struct flow *f, const struct flow_event *ev,
			      bool *fresh, int64_t now_ms)
{
	*fresh = false;
	if (f->phase == FLOW_DONE || f->phase == FLOW_QUEUED ||
	    ev->attempt != f->attempt)
		return act(f, FLOW_WAIT);
	switch (ev->kind) {
	case FLOW_EV_TOKEN:
		f->ran = true;
		f->phase = FLOW_STREAMING;
		/* Tokens before it are missing: read the run again. */
		if (ev->offset > f->tokens)
			return on_broken(f, now_ms);
		*fresh = ev->offset == f->tokens;
		f->tokens += *fresh;
		return act(f, FLOW_WAIT);
	case FLOW_EV_END:
		f->ran = true;
		if (ev->offset != f->tokens)
			return on_broken(f, now_ms);
		return finish(f, FLOW_COMPLETED);
	case FLOW_EV_REFUSED:
		return route_again(f, now_ms, false);
	case FLOW_EV_BROKEN:
		return on_broken(f, now_ms);
	case FLOW_EV_MISMATCH:
	case FLOW_EV_GONE:
	case FLOW_EV_MOVE:
		f->ran = true;
		return route_again(f, now_ms, true);
	}
	return act(f, FLOW_WAIT);
}

struct flow_action flow_give_up(struct flow *f, int64_t now_ms)
{
	(void)now_ms;
	if (f->phase == FLOW_DONE)
		return act(f, FLOW_WAIT);
	return fail(f);
}

struct flow_action flow_tick(struct flow *f, int64_t now_ms)
{
	if (f->phase == FLOW_DONE || now_ms < f->deadline_ms)
		return act(f, FLOW_WAIT);
	return fail(f);
}
