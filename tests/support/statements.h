/*
 * stm (statements): what a stand-in's endpoint states of itself in its answers,
 * and how many requests reach it although it stated so.
 *
 * Requests count by the entry that sent them, which the caller puts in front of
 * the attempt's id: "e3-..." was sent to entry 3. Times are monotonic, in ms.
 */
#ifndef STATEMENTS_H
#define STATEMENTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

#define STM_MAX_ENTRIES 64
#define STM_MAX_ARRIVALS 1024
#define STM_MAX_WAITS 32 /* of one entry at the same time */
#define STM_MAX_REFUSALS 256
#define STM_STABLE_MS 3000

/* A refusal with which the endpoint asked an entry for a wait. */
struct stm_wait {
	int64_t told_ms, until_ms;
	unsigned arrivals; /* in spite of it */
};

/* All zero: an endpoint that states nothing. */
struct stm {
	double limit_per_s;			/* 0: it states none */
	int64_t limited_ms;			/* since when */
	int64_t limit_told_ms[STM_MAX_ENTRIES]; /* first answer; 0: none yet */
	int64_t arrivals_ms[STM_MAX_ARRIVALS];	/* that count; ring buffer */
	unsigned nr_arrivals;
	unsigned over_limit; /* arrivals beyond the limit */
	unsigned most;	     /* in a window of the limit */

	bool leaving;
	int64_t leaving_told_ms[STM_MAX_ENTRIES]; /* first answer; 0: none */
	unsigned to_leaving; /* arrivals too long after that */

	int64_t wait_ms; /* it refuses all requests, and asks for it; 0: not */
	struct stm_wait waits[STM_MAX_ENTRIES][STM_MAX_WAITS]; /* rings */
	unsigned nr_waits[STM_MAX_ENTRIES];
	unsigned in_wait; /* arrivals beyond those that a wait allows */

	const struct stm_brittle
		*brittle; /* of the service; NULL: not brittle */
	int64_t refusals_ms[STM_MAX_REFUSALS]; /* for want of room; a ring */
	unsigned nr_refusals;
};

/* The endpoints of a service are brittle. */
struct stm_brittle {
	char service[32];
	unsigned max_refusals; /* in a second; with one more it falls over */
	int room;	       /* requests that one has room for */
	int64_t since_ms;      /* all room is there until STM_STABLE_MS later */
};

/* States another limit from now on; 0: none any more. */
void stm_set_limit(struct stm *s, double per_s, int64_t now_ms);

/* What it stated does not bind entry `entry` any more, which was restarted. */
void stm_excuse(struct stm *s, unsigned entry);

/* True if the endpoint refuses all requests. */
bool stm_refuses(const struct stm *s);

/* True if the brittle endpoint, which runs `running`, has no room for more. */
bool stm_is_full(const struct stm *s, int running, int64_t now_ms);

/* It refused a request for want of room. True: it falls over. */
bool stm_refused(struct stm *s, int64_t now_ms);

/* A request arrived. `id`: of the attempt; may be NULL. */
void stm_arrived(struct stm *s, const char *id, int64_t now_ms);

/* Appends the headers of an answer to attempt `id`, which may be NULL. A
 * refusal if stm_refuses(). */
void stm_put(struct stm *s, const char *id, struct buf *out, int64_t now_ms);

#endif
