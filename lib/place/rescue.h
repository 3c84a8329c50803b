/*
 * rescue: the prefix is the word itself. Decides how each stream at an
 * endpoint under reclaim notice is continued. No I/O.
 *
 * All streams that this entry process has at the endpoint are decided together:
 * each finishes in place, moves with its KV cache, or continues elsewhere from
 * the prompt and the tokens generated so far. Choosing the moves is a knapsack
 * problem: the notice time and the transfer bandwidth limit what can be moved,
 * and the value of a move is the tokens that need not be recomputed. Entries
 * share an endpoint's bandwidth in proportion to their streams, as the
 * endpoint's report counts them.
 */
#ifndef RESCUE_H
#define RESCUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum rescue_choice {
	RESCUE_FINISH,	/* finish in place before the reclaim */
	RESCUE_MOVE,	/* transfer the KV cache to another endpoint */
	RESCUE_CONTINUE /* recompute at another endpoint */
};

struct rescue_stream {
	uint64_t tag; /* for the caller; not read or changed */
	uint32_t prompt_tokens;
	uint32_t generated_tokens;
	uint32_t max_remaining_tokens; /* upper bound, from max_tokens */
	double kv_mb;		       /* size of the KV cache */
	int64_t deadline_ms;	       /* earlier ones move first */
	double weight;		   /* of the account; higher if interactive */
	enum rescue_choice choice; /* set by rescue_plan */
	int64_t start_ms;	   /* start of the move, else now_ms; set by
				      rescue_plan */
};

struct rescue_notice {
	int64_t now_ms;
	int64_t end_ms;	       /* time of the reclaim */
	double inter_token_ms; /* time between two tokens of a stream */
	double kv_mb_per_s;    /* this entry's share; 0: no KV transfer */
	double move_fixed_ms;  /* per transfer: set-up and import */
};

/* Sets `choice` and `start_ms` of each of the `nr` streams. May reorder the
 * array. Aborts if out of memory. */
void rescue_plan(const struct rescue_notice *n, struct rescue_stream *s,
		 size_t nr);

/* Returns the number of tokens to recompute under the choices in `s`. */
double rescue_recomputed(const struct rescue_stream *s, size_t nr);

#endif
