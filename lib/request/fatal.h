/*
 * fatal: finds poison requests, which crash the endpoint that runs them, among
 * those that merely ran there.
 *
 * A retry comes under a new id and at any entry, so neither an attempt nor an
 * entry sees that it is the third endpoint that crashed. Crashes are therefore
 * counted by content, and gossiped as a set: sets can be merged in any order,
 * any number of times. Otherwise one request would crash endpoint after
 * endpoint, each with everything that runs there.
 *
 * A crash counts against all requests that were running on the endpoint, unless
 * one of them is more suspect. It weighs the more, the less likely a request of
 * that length was to meet one by chance. A whole answer clears a request. A
 * convicted request is quarantined, and explains the crashes of others. A
 * suspect runs apart from others, and after FATAL_ENDS - 1 crashes one at a
 * time, so that the last crash takes no other request along.
 */
#ifndef FATAL_H
#define FATAL_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/decay.h"
#include "base/hsh.h"
#include "base/tab.h"

/*
 * Crashes that convict if none of them is likely to be chance, and those that
 * convict in any case, also while endpoints crash all the time.
 */
#define FATAL_ENDS 3
#define FATAL_ENDS_MOST 5

/*
 * Crashes from which on a suspect runs one at a time in all entries, on an
 * endpoint that other requests avoid.
 */
#define FATAL_STRONG_ENDS (FATAL_ENDS - 1)

/* Crashes kept of a request; its runs elsewhere; endpoints being probed. */
#define FATAL_MAX_ENDS 6
#define FATAL_MAX_RUNS 8
#define FATAL_MAX_DOUBTS 4

/* Contents kept: callers can send any number of them. */
#define FATAL_MAX_ROWS 512

/* Quarantine lasts this long after the last crash unless released. */
#define FATAL_KEEP_MS 3600000

/* Rows in one datagram. */
#define FATAL_MAX_TOLD 16

#define FATAL_NAME 64

struct fatal_end {
	uint64_t endpoint; /* hash, as other entries know it */
	int64_t at_ms;
	unsigned
		weight; /* against chance, as the logarithm of one in so many */
	bool cleared; /* a whole answer came since, or an operator lifted it */
};

/* A send broke off at this endpoint, and it may have ended. */
struct fatal_doubt {
	uint64_t endpoint;
	int64_t at_ms;
	int64_t ran_ms; /* so long it had been under way */
	bool looking;	/* it will be known in a moment */
};

/* Another entry has it under way. */
struct fatal_run {
	uint64_t entry, endpoint;
	int64_t heard_ms;
};

struct fatal_row {
	struct cds_list_head node; /* in fatal.rows, the last changed last */
	UT_hash_handle by_content;
	struct hsh128 content;
	char route[FATAL_NAME], account[FATAL_NAME]; /* "": not known here */
	struct fatal_end ends[FATAL_MAX_ENDS];
	bool known; /* convicted before the end that is being told */
	struct fatal_doubt doubts[FATAL_MAX_DOUBTS];
	struct fatal_run runs[FATAL_MAX_RUNS];
	unsigned nr_ends, nr_doubts, nr_runs;
	int64_t changed_ms;
	int64_t stored_true_ms; /* when the store's record says; 0: no record */
	int64_t store_next_ms;	/* not written before */
	bool lost; /* the store lost the record: it is to be written again */
};

enum fatal_news {
	FATAL_SUSPECTED, /* an end more, not enough of them yet */
	FATAL_CONVICTED,
	FATAL_MORE,	 /* an end of one that was convicted before */
	FATAL_EXPLAINED, /* an end that is laid to another request */
	FATAL_CLEARED,
};

struct fatal;

struct fatal_vtable {
	/* `endpoint`: of the end; 0: the news is of all ends. */
	void (*changed)(void *arg, const struct fatal_row *row,
			enum fatal_news news, uint64_t endpoint);
};

struct fatal {
	const struct fatal_vtable *vt;
	void *arg;
	struct cds_list_head rows;
	struct fatal_row *table;
	unsigned count;
	struct decay_sum
		ended; /* sends that met an end without a strong suspect */
	struct decay_sum ran_ms; /* time in which sends were under way */
	unsigned turn;		 /* of the rows that are told in turn */
};

void fatal_init(struct fatal *f, const struct fatal_vtable *vt, void *arg);
void fatal_free(struct fatal *f);

/* NULL: nothing is known of this content. */
struct fatal_row *fatal_find(struct fatal *f, struct hsh128 content);

/* Ends that are held against it. */
unsigned fatal_count(const struct fatal_row *row);

bool fatal_is_convicted(const struct fatal_row *row);

/* May it be sent? */
enum fatal_verdict {
	FATAL_FREE,
	FATAL_APART, /* suspected: to an endpoint where it harms nobody */
	FATAL_WAIT, /* it is guilty if an endpoint has ended that is looked at */
	FATAL_BUSY,  /* suspected, and under way already */
	FATAL_NEVER, /* convicted */
};

/* `under_way`: another attempt of this entry with this content is. */
enum fatal_verdict fatal_ask(struct fatal *f, struct hsh128 content,
			     bool under_way, int64_t now_ms);

/*
 * A send of it broke off, after `ran_ms`, at an endpoint that is not known to
 * leave. `looking`: fatal_ended, fatal_lives or fatal_unsure follows.
 */
struct fatal_row *fatal_broke(struct fatal *f, struct hsh128 content,
			      uint64_t endpoint, int64_t ran_ms, bool looking,
			      int64_t now_ms);

/* A send, of whatever content, is over that was under way for so long. */
void fatal_ran(struct fatal *f, int64_t ran_ms, int64_t now_ms);

/*
 * The endpoint has ended, and had not said that it would: what broke off there
 * may be guilty.
 */
void fatal_ended(struct fatal *f, uint64_t endpoint, int64_t now_ms);

/* It lives: the connection broke for another reason. */
void fatal_lives(struct fatal *f, uint64_t endpoint);

/* It gives no answer: the list will tell within some seconds. */
void fatal_unsure(struct fatal *f, uint64_t endpoint);

/* A whole answer to it came. */
void fatal_whole(struct fatal *f, struct hsh128 content, int64_t now_ms);

/* ---- What entries tell each other ---- */

struct fatal_told {
	struct hsh128 content;
	unsigned nr_ends;
	struct {
		uint64_t endpoint;
		uint32_t age_ms; /* since it was seen */
		uint32_t weight;
		bool cleared;
	} ends[FATAL_MAX_ENDS];
	uint64_t run_at; /* endpoint where the teller has it under way; 0 */
};

/* Where this entry has the content under way; 0: nowhere. */
typedef uint64_t (*fatal_run_at)(void *arg, struct hsh128 content);

/*
 * Fills `out` with at most `max` rows: first those that are news to others,
 * of which *fresh gets the number, then others in turn.
 */
unsigned fatal_tell(struct fatal *f, struct fatal_told *out, unsigned max,
		    unsigned *fresh, fatal_run_at run_at, void *arg,
		    int64_t now_ms);

/* Another entry, known by a hash, told this. */
void fatal_heard(struct fatal *f, uint64_t entry, const struct fatal_told *told,
		 unsigned n, int64_t now_ms);

/* ---- What lasts ---- */

/* The store has a record of the conviction, made at that time of day. */
void fatal_recorded(struct fatal *f, struct hsh128 content, int64_t true_ms,
		    int64_t now_ms);

/* The store lost the record; the conviction stands. */
void fatal_unrecorded(struct fatal *f, struct hsh128 content);

/* The record was taken out of the store: the request may be sent again. */
void fatal_lifted(struct fatal *f, struct hsh128 content, int64_t now_ms);

/* Forgets what is too old to matter. */
void fatal_expire(struct fatal *f, int64_t now_ms);

#endif
