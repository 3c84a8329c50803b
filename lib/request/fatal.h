/*
 * fatal: detection of fatal (poison) requests, which crash the endpoint that
 * runs them, as opposed to requests that merely ran there at that time.
 *
 * A client retries under a new id and at any entry (a process that accepts
 * client requests), so neither an attempt nor an entry sees that it is the
 * third endpoint that crashed. What crashes the endpoint may be in all of a
 * request, or in a part of its prompt that other requests share. Crashes are
 * therefore counted by feature, and gossiped as a set: sets can be merged in any
 * order, any number of times. Without this, one request would crash endpoint
 * after endpoint, and each crash would abort all other requests that run there.
 *
 * A crash counts against the features of all requests that were running on the
 * endpoint, unless one of them is more suspect. The less likely a request of
 * that duration is to meet a crash by chance, the more the crash weighs. Guilt
 * is found by elimination: a complete answer clears all features of its request,
 * and a crash does not count against a part that was answered just before. A
 * convicted feature is quarantined, and its crashes count little against the
 * others that were there. A suspect runs isolated from others, a part from its
 * second crash on, and after FATAL_STRONG_CRASHES crashes one at a time, so that
 * the last crash aborts no other request.
 *
 * Two features that were in the same crashes, and in no answer, cannot be told
 * apart. Requests with both are quarantined, and those with one of them run one
 * at a time: the first one either crashes its endpoint or is answered. The same
 * holds for a part that was in the crashes of several suspects.
 */
#ifndef FATAL_H
#define FATAL_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/decay.h"
#include "base/hsh.h"
#include "base/tab.h"
#include "request/attempt.h"

/*
 * Number of crashes that convict a request if each of them is unlikely to be
 * chance, and the number that convicts in any case, also while endpoints crash
 * all the time.
 */
#define FATAL_CONVICT_CRASHES 3
#define FATAL_CONVICT_ALWAYS_CRASHES 5

/* Number of crashes that no other suspect explains, to convict a part or a content. */
#define FATAL_CONVICT_UNEXPLAINED 3
#define FATAL_CONVICT_UNEXPLAINED_CONTENT 2

/*
 * Number of crashes that makes a request a strong suspect: it then runs one at
 * a time across all entries, on an endpoint that other requests avoid.
 */
#define FATAL_STRONG_CRASHES (FATAL_CONVICT_CRASHES - 1)

/*
 * Per feature: the latest crashes, runs at other entries, and endpoints whose
 * crash is not confirmed yet. A crash that was dropped from the row of a guilty part
 * seems to speak against a sound one that was there.
 */
#define FATAL_MAX_CRASHES 10
#define FATAL_MAX_RUNS 8
#define FATAL_MAX_PENDING 8

/* Rows kept, one per feature: clients can send any number of them. */
#define FATAL_MAX_ROWS 512

/* Duration of the quarantine after the last crash, unless released: 1 h. */
#define FATAL_KEEP_MS 3600000

/* Rows in one gossip datagram, and the latest crashes of each. */
#define FATAL_MAX_GOSSIP 16
#define FATAL_MAX_GOSSIP_CRASHES 6

/* Size of route and account names in bytes, with the null byte. */
#define FATAL_NAME 64

/* What a request may have that crashes endpoints. */
enum fatal_kind {
	FATAL_CONTENT, /* all of it: account, host, path and body */
	FATAL_PART,    /* a part of its prompt */
	FATAL_NR_KINDS,
};

struct fatal_feature {
	enum fatal_kind kind;
	struct hsh128 key; /* hash of kind and value */
	const char *name;  /* of a part, as clients write it; else "" */
};

#define FATAL_MAX_FEATURES (1 + ATTEMPT_MAX_PARTS)

/* The features of a request; the strings belong to the request. */
struct fatal_request {
	struct fatal_feature features[FATAL_MAX_FEATURES];
	unsigned nr_features;
	const char *route, *account; /* for logs and records */
};

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

/* A run of a request with the feature at another entry. */
struct fatal_run {
	uint64_t entry, endpoint; /* hashes */
	int64_t updated_ms;	  /* last gossip about it */
};

/* All that is known of one feature. */
struct fatal_row {
	struct cds_list_head node; /* in fatal.rows, the last changed last */
	UT_hash_handle by_key;
	struct hsh128 key;
	/* FATAL_NR_KINDS: known by gossip only. The same for the names: "". */
	enum fatal_kind kind;
	char name[ATTEMPT_PART];
	char route[FATAL_NAME], account[FATAL_NAME];
	struct fatal_crash crashes[FATAL_MAX_CRASHES];
	bool convicted;	  /* it was reported, and nothing has cleared it */
	uint64_t seen_at; /* endpoint of the last crash observed here; 0 */
	struct fatal_pending pending[FATAL_MAX_PENDING];
	struct fatal_run runs[FATAL_MAX_RUNS];
	unsigned nr_crashes, nr_pending, nr_runs;
	unsigned gossiped; /* times since the last change */
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
	/*
	 * Returns the endpoint at which this entry runs a request with the
	 * feature; 0: none.
	 */
	uint64_t (*running_at)(void *arg, struct hsh128 key);
};

/* Parts that were sent or answered lately: sets, and parts in each of them. */
#define FATAL_USED_SETS 256
#define FATAL_USED_WAYS 4

struct fatal {
	const struct fatal_vtable *vt;
	void *arg; /* passed to the callbacks */
	struct cds_list_head rows;
	struct fatal_row *table; /* by key */
	unsigned count;		 /* rows */
	unsigned nr_convicted;	 /* of them */
	/* The least recently used part of a set is replaced. */
	struct fatal_used {
		struct hsh128 key;
		int64_t used_ms;     /* last send or answer; 0: empty */
		int64_t answered_ms; /* last answer; 0: none */
		struct decay_sum sends;
	} used[FATAL_USED_SETS][FATAL_USED_WAYS];
	struct decay_sum sends; /* of requests with parts */
	/* Decayed sums, for the rate at which sends meet a crash by chance. */
	struct decay_sum
		crashed_sends;	 /* aborted by a crash, no strong suspect */
	struct decay_sum ran_ms; /* total duration of sends */
	/* Next rows to gossip in rotation: convicted ones, and others. */
	unsigned next_convicted, next_other;
};

/* `vt` and `arg` must stay valid until fatal_free(). */
void fatal_init(struct fatal *f, const struct fatal_vtable *vt, void *arg);

/* Frees all rows. */
void fatal_free(struct fatal *f);

/* Makes the request's features of its content and the parts of its prompt. */
void fatal_request_init(struct fatal_request *q, struct hsh128 content,
			const struct attempt *a);

bool fatal_has_feature(const struct fatal_request *q, struct hsh128 key);

/*
 * Returns the row, or NULL if nothing is known of the feature. The row is owned
 * by `f`, which may free it in any later call.
 */
struct fatal_row *fatal_find(struct fatal *f, struct hsh128 key);

/* Number of crashes that count against the feature (not cleared). */
unsigned fatal_crash_count(const struct fatal_row *row);

/*
 * True if other requests are to avoid the endpoint that runs a request with the
 * feature: a strong suspect, but not a part whose endpoints crashed at the same time.
 * Parts that many requests share are in most of such crashes.
 */
bool fatal_is_strong(const struct fatal_row *row);

/* True if all requests with the feature are quarantined. */
bool fatal_is_convicted(const struct fatal *f, const struct fatal_row *row,
			int64_t now_ms);

enum fatal_verdict {
	FATAL_SEND,	   /* without restriction */
	FATAL_ISOLATE,	   /* suspect: send where few other requests run */
	FATAL_WAIT,	   /* convicted if the probes find crashes: wait */
	FATAL_BUSY,	   /* strong suspect: wait for its last crash to settle,
			      or for one that is in flight */
	FATAL_QUARANTINED, /* convicted: do not send */
};

/*
 * Decides whether the request may be sent, by the worst of its features, which
 * *why is set to (NULL: none of them is suspected). The request itself is not at
 * an endpoint.
 */
enum fatal_verdict fatal_check_send(struct fatal *f,
				    const struct fatal_request *q,
				    const struct fatal_feature **why,
				    int64_t now_ms);

/* Notes that the request is being sent. */
void fatal_note_sent(struct fatal *f, const struct fatal_request *q,
		     int64_t now_ms);

/*
 * Notes that a send broke off after `ran_ms` at an endpoint that has not
 * announced its shutdown. With `probing`, a call of fatal_endpoint_crashed(),
 * fatal_endpoint_alive() or fatal_endpoint_silent() must follow. Beyond
 * FATAL_MAX_PENDING endpoints of a feature the send is not noted for it.
 */
void fatal_send_broke(struct fatal *f, const struct fatal_request *q,
		      uint64_t endpoint, int64_t ran_ms, bool probing,
		      int64_t now_ms);

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

/* A complete answer to the request arrived: clears its features. */
void fatal_answer_complete(struct fatal *f, const struct fatal_request *q,
			   int64_t now_ms);

/* ---- Gossip between entries ---- */

/* A row as it is gossiped. */
struct fatal_gossip {
	struct hsh128 key;
	unsigned nr_crashes;
	struct {
		uint64_t endpoint;
		uint32_t age_ms; /* time since the crash was observed */
		uint32_t weight;
		bool cleared;
	} crashes[FATAL_MAX_GOSSIP_CRASHES];
	uint64_t running_at; /* endpoint where the sender runs it; 0: none */
};

/*
 * Fills `out` with at most `max` rows: first those that changed recently or run
 * here, the most suspect ones first, whose number is stored in *fresh; then the
 * others in rotation. Returns the number of rows.
 */
unsigned fatal_collect_gossip(struct fatal *f, struct fatal_gossip *out,
			      unsigned max, unsigned *fresh, int64_t now_ms);

/* Merges `n` rows from another entry; `entry` is that entry's hash. */
void fatal_merge_gossip(struct fatal *f, uint64_t entry,
			const struct fatal_gossip *received, unsigned n,
			int64_t now_ms);

/* ---- Quarantine records in the store ---- */

/* The store has a record of the conviction, made at `wall_ms` (wall clock). */
void fatal_record_found(struct fatal *f, struct hsh128 key, int64_t wall_ms,
			int64_t now_ms);

/* The store lost the record: sets record_lost, and the conviction stands. */
void fatal_record_lost(struct fatal *f, struct hsh128 key);

/* The record was deleted from the store: ends the quarantine. */
void fatal_release(struct fatal *f, struct hsh128 key, int64_t now_ms);

/*
 * Drops rows and pending sends past their lifetime, and reports the features that
 * are convicted now that other entries had time to report. Call it periodically.
 */
void fatal_expire(struct fatal *f, int64_t now_ms);

#endif
