/*
 * gate: whether this entry may send an endpoint a request now, given what the
 * endpoint stated in its answers.
 *
 * A limit applies to all entries together, for as long as the answers state it.
 * A few entries share it in equal parts, and the others send nothing: if all
 * entries had a part, each could send one request at the same moment, and these
 * alone would exceed a small limit. The entries are selected by rendezvous hash,
 * without messages.
 *
 * Brittle endpoints: see brittle.h.
 *
 * A wait applies to this entry alone: nothing is sent until it is over.
 *
 * Pure functions: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef GATE_H
#define GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/brittle.h"

/* What one endpoint stated. All zero: nothing. */
struct gate {
	double limit_per_s;    /* requests of all entries; 0: no limit */
	int64_t stated_ms;     /* of the newest statement, also of no limit */
	double share_per_s;    /* this entry's part; 0: it is not selected */
	double tokens;	       /* requests that the share allows now */
	int64_t filled_ms;     /* time as of which `tokens` is counted */
	int64_t sent_ms;       /* last request under the limit; 0: none */
	bool leaving;	       /* the endpoint is shutting down */
	int64_t wait_until_ms; /* it wants no requests before; 0: no wait */
	struct brittle brittle;
};

enum gate_change {
	GATE_UNCHANGED,
	GATE_LIMITED, /* a limit began or changed */
	GATE_LIFTED,
};

/*
 * An answer stated a limit, or none (`per_s` 0), to a request that was sent at
 * `sent_ms`. Answers overtake each other: one to a request that was sent before
 * the newest statement neither lifts the limit nor raises it.
 */
enum gate_change gate_limit_answered(struct gate *g, double per_s,
				     int64_t sent_ms, int64_t now_ms);

/*
 * Another entry reported a limit, or none (`per_s` 0), that was stated at
 * `stated_ms`. Ignored if a newer statement is known.
 */
enum gate_change gate_limit_reported(struct gate *g, double per_s,
				     int64_t stated_ms, int64_t now_ms);

/*
 * Returns an entry's part of a limit, in requests per second; 0: it is not
 * selected. `rank`: senders that are preferred to this one for the endpoint;
 * `senders`: all of them, with this one.
 */
double gate_share(double limit_per_s, unsigned rank, unsigned senders);

/* Sets this entry's part of the limit. */
void gate_set_share(struct gate *g, double per_s, int64_t now_ms);

/*
 * The endpoint refused a request and wants no other one before `until_ms`. A
 * longer wait that was stated before goes on.
 */
void gate_wait(struct gate *g, int64_t until_ms);

/* True if the endpoint asked for a wait that is not over. */
bool gate_waits(const struct gate *g, int64_t now_ms);

/*
 * Returns the earliest time at which a request may be sent; at most `now_ms`:
 * now. Later statements may change it.
 */
int64_t gate_open_ms(const struct gate *g, int64_t now_ms);

/* A request is sent: counts it against the share. */
void gate_pass(struct gate *g, int64_t now_ms);

/* True if there is a statement to be kept after the endpoint's removal. */
bool gate_states_anything(const struct gate *g, int64_t now_ms);

#endif
