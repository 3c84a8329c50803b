/*
 * fatal: detection of fatal (poison) requests, which crash the endpoint that
 * runs them, as opposed to requests that merely ran there at that time.
 *
 * A client retries under a new id and at any entry (a process that accepts
 * client requests), so neither an attempt nor an entry sees that it is the
 * third endpoint that crashed. Crashes are therefore counted by content, and
 * gossiped as a set: sets can be merged in any order, any number of times.
 * Without this, one request would crash endpoint after endpoint, and each crash
 * would abort all other requests that run there.
 *
 * A crash counts against all requests that were running on the endpoint, unless
 * one of them is more suspect. The less likely a request of that duration is to
 * meet a crash by chance, the more the crash weighs. A complete answer clears a
 * request. A convicted request is quarantined, and its crashes count little
 * against the other requests that were there. A suspect runs isolated from
 * others, and after FATAL_STRONG_CRASHES crashes one at a time, so that the
 * last crash aborts no other request.
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
 * Number of crashes that convict a request if each of them is unlikely to be
 * chance, and the number that convicts in any case, also while endpoints crash
 * all the time.
 */
#define FATAL_CONVICT_CRASHES 3
#define FATAL_CONVICT_ALWAYS_CRASHES 5

/*
 * Number of crashes that makes a request a strong suspect: it then runs one at
 * a time across all entries, on an endpoint that other requests avoid.
 */
#define FATAL_STRONG_CRASHES (FATAL_CONVICT_CRASHES - 1)

/*
 * Per request: crashes kept, runs at other entries, and endpoints whose crash
 * is not confirmed yet.
 */
#define FATAL_MAX_CRASHES 6
#define FATAL_MAX_RUNS 8
#define FATAL_MAX_PENDING 4

/* Rows kept, one per content: clients can send any number of contents. */
#define FATAL_MAX_ROWS 512

/* Duration of the quarantine after the last crash, unless released: 1 h. */
#define FATAL_KEEP_MS 3600000

/* Rows in one gossip datagram. */
#define FATAL_MAX_GOSSIP 16

/* Size of route and account names in bytes, with the null byte. */
#define FATAL_NAME 64

struct fatal_crash {
	uint64_t endpoint; /* hash, the same at all entries */
	int64_t at_ms;
	unsigned weight; /* -100 * log10 of the probability of chance */
	bool cleared;	 /* by a later complete answer or by an operator */
};

/* A send that broke off at an endpoint that may have crashed. */
struct fatal_pending {
	uint64_t endpoint;
	int64_t at_ms;
	int64_t ran_ms; /* duration of the send until it broke off */
	bool probing;	/* a probe is in flight; its result comes shortly */
};

/* A run of the content at another entry. */
struct fatal_run {
	uint64_t entry, endpoint; /* hashes */
	int64_t updated_ms;	  /* last gossip about it */
};

/* All that is known of one content. */
struct fatal_row {
	struct cds_list_head node; /* in fatal.rows, the last changed last */
	UT_hash_handle by_content;
	struct hsh128 content; /* hash of the request's content */
	char route[FATAL_NAME], account[FATAL_NAME]; /* "": not known here */
	struct fatal_crash crashes[FATAL_MAX_CRASHES];
	bool was_convicted; /* before the crash that is being reported */
	struct fatal_pending pending[FATAL_MAX_PENDING];
	struct fatal_run runs[FATAL_MAX_RUNS];
	unsigned nr_crashes, nr_pending, nr_runs;
	int64_t changed_ms;
	int64_t recorded_wall_ms; /* wall clock of the record; 0: no record */
	int64_t store_next_ms;	  /* earliest next write of the record */
	bool record_lost; /* the store lost the record; write it again */
};

enum fatal_change {
	FATAL_SUSPECTED,     /* one more crash, not enough to convict */
	FATAL_CONVICTED,     /* by one more crash or by a stored record */
	FATAL_CRASHED_AGAIN, /* a crash of a request convicted before */
	FATAL_EXPLAINED,     /* a crash was attributed to another request */
	FATAL_CLEARED,
};

struct fatal;

struct fatal_vtable {
	/*
	 * Called on each change of a row. `endpoint` is the one that crashed;
	 * 0: the change does not come from a crash observed here.
	 */
	void (*changed)(void *arg, const struct fatal_row *row,
			enum fatal_change change, uint64_t endpoint);
};

struct fatal {
	const struct fatal_vtable *vt;
	void *arg; /* passed to the callbacks */
	struct cds_list_head rows;
	struct fatal_row *table; /* by content */
	unsigned count;		 /* rows */
	/* Decayed sums, for the rate at which sends meet a crash by chance. */
	struct decay_sum
		crashed_sends;	 /* aborted by a crash, no strong suspect */
	struct decay_sum ran_ms; /* total duration of sends */
	unsigned next_in_turn;	 /* next row to gossip in rotation */
};

/* `vt` and `arg` must stay valid until fatal_free(). */
void fatal_init(struct fatal *f, const struct fatal_vtable *vt, void *arg);

/* Frees all rows. */
void fatal_free(struct fatal *f);

/*
 * Returns the row, or NULL if nothing is known of the content. The row is owned
 * by `f`, which may free it in any later call.
 */
struct fatal_row *fatal_find(struct fatal *f, struct hsh128 content);

/* Number of crashes that count against the request (not cleared). */
unsigned fatal_crash_count(const struct fatal_row *row);

/* True if the request is quarantined. */
bool fatal_is_convicted(const struct fatal_row *row);

enum fatal_verdict {
	FATAL_SEND,	   /* without restriction */
	FATAL_ISOLATE,	   /* suspect: send where few other requests run */
	FATAL_WAIT,	   /* convicted if the probes find crashes: wait */
	FATAL_BUSY,	   /* strong suspect, and in flight already */
	FATAL_QUARANTINED, /* convicted: do not send */
};

/*
 * Decides whether a request may be sent. `in_flight`: another attempt of this
 * entry with the same content is at an endpoint.
 */
enum fatal_verdict fatal_check_send(struct fatal *f, struct hsh128 content,
				    bool in_flight, int64_t now_ms);

/*
 * Notes that a send broke off after `ran_ms` at an endpoint that has not
 * announced its shutdown. With `probing`, a call of fatal_endpoint_crashed(),
 * fatal_endpoint_alive() or fatal_endpoint_silent() must follow. Beyond
 * FATAL_MAX_PENDING endpoints the send is not noted. Returns the content's row,
 * owned by `f`, made if there was none.
 */
struct fatal_row *fatal_send_broke(struct fatal *f, struct hsh128 content,
				   uint64_t endpoint, int64_t ran_ms,
				   bool probing, int64_t now_ms);

/*
 * Adds the duration of a send that is over, of any content. The rate of crashes
 * by chance is relative to the sum of these.
 */
void fatal_add_run_time(struct fatal *f, int64_t ran_ms, int64_t now_ms);

/*
 * The endpoint ended without announcing a shutdown: a crash counts against the
 * requests whose sends broke off there.
 */
void fatal_endpoint_crashed(struct fatal *f, uint64_t endpoint, int64_t now_ms);

/* The endpoint is alive: its connections broke for another reason. */
void fatal_endpoint_alive(struct fatal *f, uint64_t endpoint);

/*
 * The probe got no response: the endpoint list will show within some seconds
 * whether the endpoint crashed.
 */
void fatal_endpoint_silent(struct fatal *f, uint64_t endpoint);

/* A complete answer to the content arrived: clears it. */
void fatal_answer_complete(struct fatal *f, struct hsh128 content,
			   int64_t now_ms);

/* ---- Gossip between entries ---- */

/* A row as it is gossiped. */
struct fatal_gossip {
	struct hsh128 content;
	unsigned nr_crashes;
	struct {
		uint64_t endpoint;
		uint32_t age_ms; /* time since the crash was observed */
		uint32_t weight;
		bool cleared;
	} crashes[FATAL_MAX_CRASHES];
	uint64_t running_at; /* endpoint where the sender runs it; 0: none */
};

/* Returns the endpoint at which this entry runs the content; 0: none. */
typedef uint64_t (*fatal_running_at)(void *arg, struct hsh128 content);

/*
 * Fills `out` with at most `max` rows: first those that changed recently or run
 * here, whose number is stored in *fresh, then the others in rotation. Returns
 * the number of rows.
 */
unsigned fatal_collect_gossip(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, unsigned *fresh,
			      fatal_running_at running_at, void *arg,
			      int64_t now_ms);

/* Merges `n` rows from another entry; `entry` is that entry's hash. */
void fatal_merge_gossip(struct fatal *f, uint64_t entry,
			const struct fatal_gossip *received, unsigned n,
			int64_t now_ms);

/* ---- Quarantine records in the store ---- */

/* The store has a record of the conviction, made at `wall_ms` (wall clock). */
void fatal_record_found(struct fatal *f, struct hsh128 content, int64_t wall_ms,
			int64_t now_ms);

/* The store lost the record: sets record_lost, and the conviction stands. */
void fatal_record_lost(struct fatal *f, struct hsh128 content);

/* The record was deleted from the store: ends the quarantine. */
void fatal_release(struct fatal *f, struct hsh128 content, int64_t now_ms);

/* Drops rows and pending sends past their lifetime. Call it periodically. */
void fatal_expire(struct fatal *f, int64_t now_ms);

#endif
