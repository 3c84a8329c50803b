/*
 * flow: the life of one accepted model request, from its first attempt to
 * its outcome. Pure: (state, event, now) -> actions.
 *
 * The answer is a row of tokens. Tokens come from generations: a generation
 * is one run of an engine that continues from a known prefix. A caller that
 * holds tokens up to offset k of generation g may be given more only if what
 * it holds is a prefix of the current answer; otherwise it is told, in the
 * stream, that the answer starts anew. So no answer is ever spliced.
 *
 * Attempts are numbered. Whatever arrives under an older number is dropped.
 */
#ifndef FLOW_H
#define FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOW_MAX_GENS 16

/*
 * Attempts of a request that has no token yet; the retry budget of the
 * account comes on top. One that has tokens was accepted: only its deadline
 * ends it, with a bound that merely keeps a fault from looping.
 */
#define FLOW_MAX_ATTEMPTS 8
#define FLOW_MAX_ACCEPTED_ATTEMPTS 256

enum flow_phase {
	FLOW_QUEUED,  /* waiting to be routed */
	FLOW_CALLING, /* the endpoint was called, no token yet */
	FLOW_STREAMING,
	FLOW_DONE,
};

enum flow_outcome {
	FLOW_OPEN,
	FLOW_COMPLETED, /* answered completely */
	FLOW_NOT_RUN,	/* given up before any byte reached an endpoint */
	FLOW_FAILED,	/* ran, but could not be completed: told at once */
};

enum flow_action_kind {
	FLOW_WAIT,   /* nothing to do */
	FLOW_ROUTE,  /* choose an endpoint, not before `at_ms` */
	FLOW_CALL,   /* call `endpoint`, continue after `from` tokens */
	FLOW_RESUME, /* read the same run again after `from` tokens */
	FLOW_FINISH, /* the outcome is final */
};

struct flow_action {
	enum flow_action_kind kind;
	uint64_t endpoint;
	uint32_t attempt;
	uint32_t from;
	int64_t at_ms;
};

/* A generation began after `from` tokens of the one before it. */
struct flow_gen {
	uint32_t id;
	uint32_t from;
};

struct flow {
	enum flow_phase phase;
	enum flow_outcome outcome;
	uint32_t attempt;
	uint32_t tokens; /* tokens of the current answer */
	uint64_t endpoint;
	uint64_t avoid;	  /* the endpoint that failed last */
	unsigned resumes; /* of the current attempt */
	bool ran;	  /* a byte may have reached an endpoint */
	struct flow_gen gens[FLOW_MAX_GENS];
	size_t nr_gens;
	uint32_t recomputed; /* tokens read or made a second time */
	uint32_t prompt_tokens;
	int64_t deadline_ms;
	uint64_t seed; /* of jitter and generation numbers */
};

/* What the reader of the engine's answer reports. */
enum flow_event_kind {
	FLOW_EV_TOKEN,	  /* one token at offset `offset` */
	FLOW_EV_END,	  /* the answer is complete */
	FLOW_EV_REFUSED,  /* not run there: busy, or no connection */
	FLOW_EV_BROKEN,	  /* the connection broke after bytes were sent */
	FLOW_EV_MISMATCH, /* it answered as another model or version */
	FLOW_EV_GONE,	  /* it does not know the run (resume failed) */
	FLOW_EV_MOVE,	  /* leave this endpoint now (reclaim) */
};

struct flow_event {
	enum flow_event_kind kind;
	uint32_t attempt;
	uint32_t offset;
};

void flow_init(struct flow *f, uint64_t seed, uint32_t prompt_tokens,
	       int64_t deadline_ms);

/* Continues a record whose owner died: same tokens, same generations. */
void flow_adopt(struct flow *f, const struct flow_gen *gens, size_t nr_gens,
		uint32_t tokens, uint32_t attempt, uint64_t endpoint);

/* An endpoint was chosen. `warm` tells that it holds the KV cache. */
struct flow_action flow_routed(struct flow *f, uint64_t endpoint, bool warm,
			       int64_t now_ms);

/*
 * An event of the engine's reader. `*fresh` tells whether a token is the next
 * one of the answer (append it) or a copy (drop it).
 */
struct flow_action flow_event(struct flow *f, const struct flow_event *ev,
			      bool *fresh, int64_t now_ms);

/* No endpoint can be had, or the retry budget is spent. */
struct flow_action flow_give_up(struct flow *f, int64_t now_ms);

/* Called now and then; ends the request at its deadline. */
struct flow_action flow_tick(struct flow *f, int64_t now_ms);

/*
 * Starts the answer anew from nothing (another version has to be used): the
 * tokens so far are void, and callers that hold any will be told.
 */
void flow_restart(struct flow *f);

/* The current generation's number, for event ids. */
uint32_t flow_gen(const struct flow *f);

/*
 * True if a caller that holds `offset` tokens ending in generation `gen`
 * holds a prefix of the current answer and may be sent the rest.
 */
bool flow_can_continue(const struct flow *f, uint32_t gen, uint32_t offset);

#endif
