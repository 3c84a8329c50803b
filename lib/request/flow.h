/*
 * flow: the state machine of one accepted model request, from its first
 * attempt to its outcome. Pure: (state, event, now) -> actions.
 *
 * The answer is a sequence of tokens, produced by generations: a generation
 * is one run of an engine that continues from a known prefix. A client that
 * has tokens up to offset k of generation g may be sent more only if these
 * tokens are a prefix of the current answer; otherwise its stream says that
 * the answer starts over. This way no answer is spliced from two runs.
 *
 * Attempts are numbered. Events of an older attempt are dropped.
 */
#ifndef FLOW_H
#define FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Generations kept of an answer; the oldest are dropped first. */
#define FLOW_MAX_GENS 16

/*
 * Maximum number of attempts of a request that has no token yet; the account's
 * retry budget limits them further. A request that has tokens was accepted and
 * ends only at its deadline; its maximum merely stops a faulty loop.
 */
#define FLOW_MAX_ATTEMPTS 8
#define FLOW_MAX_ACCEPTED_ATTEMPTS 256

enum flow_phase {
	FLOW_QUEUED,	/* waits for routing */
	FLOW_CALLING,	/* sent to an endpoint, no token yet */
	FLOW_STREAMING, /* at least one token arrived */
	FLOW_DONE,
};

enum flow_outcome {
	FLOW_OPEN,	/* not final yet */
	FLOW_COMPLETED, /* answered completely */
	FLOW_NOT_RUN,	/* failed before any byte reached an endpoint */
	FLOW_FAILED,	/* ran but was not completed; reported at once */
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
	uint32_t from; /* tokens */
	int64_t at_ms; /* of FLOW_ROUTE */
};

/* A generation that begins after `from` tokens of the one before it. */
struct flow_gen {
	uint32_t id;
	uint32_t from;
};

struct flow {
	enum flow_phase phase;
	enum flow_outcome outcome;
	uint32_t attempt; /* number of the current one; 0: none yet */
	uint32_t tokens;  /* tokens of the current answer */
	uint64_t endpoint;
	uint64_t avoid;	  /* the endpoint of the last failed attempt */
	unsigned resumes; /* of the current attempt */
	bool ran;	  /* a byte may have reached an endpoint */
	struct flow_gen gens[FLOW_MAX_GENS];
	size_t nr_gens;
	uint32_t recomputed; /* tokens prefilled or generated more than once */
	uint32_t prompt_tokens;
	int64_t deadline_ms;
	uint64_t seed; /* of jitter and generation numbers */
};

/* Events reported by the reader of the engine's answer. */
enum flow_event_kind {
	FLOW_EV_TOKEN,	  /* one token at offset `offset` */
	FLOW_EV_END,	  /* the answer is complete, with `offset` tokens */
	FLOW_EV_REFUSED,  /* not run there: busy, or no connection */
	FLOW_EV_BROKEN,	  /* the connection broke after bytes were sent */
	FLOW_EV_MISMATCH, /* answered by another model or version */
	FLOW_EV_GONE,	  /* the endpoint lost the run (resume failed) */
	FLOW_EV_MOVE,	  /* leave this endpoint: its instance is reclaimed */
};

struct flow_event {
	enum flow_event_kind kind;
	uint32_t attempt;
	uint32_t offset; /* in tokens */
};

/*
 * `seed` should differ between entries that may own the same request.
 * `deadline_ms` is a time on the clock of `now_ms` below.
 */
void flow_init(struct flow *f, uint64_t seed, uint32_t prompt_tokens,
	       int64_t deadline_ms);

/*
 * Continues a request whose owner crashed, after flow_init(), with the tokens
 * and generations of its record. `nr_gens` is at most FLOW_MAX_GENS; `attempt`
 * is the number of its last attempt; `endpoint` 0: it has to be routed.
 */
void flow_adopt(struct flow *f, const struct flow_gen *gens, size_t nr_gens,
		uint32_t tokens, uint32_t attempt, uint64_t endpoint);

/*
 * Begins the next attempt, at the endpoint that was chosen. `warm`: it has the
 * request's KV cache. Does nothing unless the request waits for routing; ends
 * it if the deadline has passed.
 */
struct flow_action flow_routed(struct flow *f, uint64_t endpoint, bool warm,
			       int64_t now_ms);

/*
 * Handles an event of the engine's reader. *fresh is set to true if it is the
 * next token of the answer (append it), false if it is a duplicate (drop it).
 */
struct flow_action flow_event(struct flow *f, const struct flow_event *ev,
			      bool *fresh, int64_t now_ms);

/* Ends the request: no endpoint is available, or the retry budget is spent. */
struct flow_action flow_give_up(struct flow *f, int64_t now_ms);

/* Ends the request at its deadline. To be called periodically. */
struct flow_action flow_tick(struct flow *f, int64_t now_ms);

/*
 * Starts the answer over (another model version has to be used): the tokens so
 * far are void, and the streams of clients that have any say so.
 */
void flow_restart(struct flow *f);

/* The current generation's number, for event ids; 0: none yet. */
uint32_t flow_gen(const struct flow *f);

/*
 * True if a client's first `offset` tokens, the last of them of generation
 * `gen`, are a prefix of the current answer, so that it may be sent the rest.
 */
bool flow_can_continue(const struct flow *f, uint32_t gen, uint32_t offset);

#endif
