/*
 * rescue: what becomes of each stream at an endpoint under reclaim notice.
 * Pure.
 *
 * The choice is made for all of this entry's streams at the endpoint at once:
 * let it finish in place, move its KV cache, or continue elsewhere from the
 * prompt and the tokens so far. Moving is a knapsack: the notice time and the
 * transfer bandwidth bound what can go; the value is the tokens that need not
 * be computed again. Several entries share one endpoint's bandwidth in
 * proportion to their streams, which the endpoint's report tells.
 */
#ifndef RESCUE_H
#define RESCUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rescue_choice {
	RESCUE_FINISH,
	RESCUE_MOVE,
	RESCUE_CONTINUE
};

struct rescue_stream {
	uint64_t tag; /* the caller's own, returned untouched */
	uint32_t prompt_tokens;
	uint32_t generated_tokens;
	uint32_t max_remaining_tokens; /* at most; from max_tokens */
	double kv_mb;
	int64_t deadline_ms;
	double weight;		   /* of the account; interactive ones higher */
	enum rescue_choice choice; /* set by rescue_plan */
	int64_t start_ms;	   /* set for moves: when to begin */
};

struct rescue_notice {
	int64_t now_ms;
	int64_t end_ms; /* the instance is gone then */
	double inter_token_ms;
	double kv_mb_per_s;   /* this entry's part; 0: no KV transfer */
	double move_fixed_ms; /* per transfer: set-up and import */
};

/* Fills `choice` and `start_ms`; may reorder the array. */
void rescue_plan(const struct rescue_notice *n, struct rescue_stream *s,
		 size_t nr);

/* Tokens that the plan will have computed again. */
double rescue_recomputed(const struct rescue_stream *s, size_t nr);

#endif
