/*
 * flt (fleet): an entry's table of all endpoints. It combines the endpoint list
 * in the store, load reports of peers and the outcomes of the entry's own
 * requests.
 *
 * Draining is final: an endpoint that was once listed as draining, or that
 * stated in an answer that it leaves, gets no new requests, whatever the list
 * says later. An endpoint that is missing from the list is removed at once while
 * the store is available. After an outage of the store, the lease of a live
 * endpoint's list entry may have expired; such an endpoint stays usable for a
 * grace period, so that it can register again.
 *
 * An endpoint is one start of a process, identified by its id and start time.
 * A restart under the same id is a new endpoint. If it inherited the state of
 * the former process, it would get requests for prompt parts that it no longer
 * has in its cache, or none at all because the former process was draining.
 */
#ifndef FLT_H
#define FLT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/tab.h"
#include "fleet/gate.h"
#include "model/speed.h"

/* Size of name buffers in bytes, including the terminating NUL. */
#define FLT_NAME 64

/*
 * Grace period after the store returns from an outage, in ms. Live endpoints
 * whose list entries expired during the outage register again within about two
 * seconds; an endpoint that is still missing then is removed.
 */
#define FLT_LAPSE_GRACE_MS 2200

/* An endpoint as described by its list entry. */
struct flt_info {
	char id[FLT_NAME];  /* a later start may reuse it */
	int64_t started_ms; /* start, Unix time; 0: not stated */
	char service[FLT_NAME];
	char address[32];	/* IP:PORT */
	char version[FLT_NAME]; /* of the software; "": not stated */
	char zone[FLT_NAME];
	int slots; /* requests that it runs at the same time */
	bool draining;
	bool reclaimable;     /* on a spot instance */
	int64_t time_left_ms; /* from notice to shutdown; -1: not stated */
	int64_t warmup_ms;    /* slow for this long after the start */
};

/*
 * Which requests an endpoint gets, by the version of its software. The values
 * appear in the log (field "use").
 */
enum flt_use {
	FLT_IN_USE,   /* all except trial requests */
	FLT_ON_TRIAL, /* trial requests, and streams that its version began */
	FLT_WITHHELD, /* only streams that its version began */
	FLT_REJECTED, /* none: its version was rolled back */
};

/*
 * An endpoint and its state. Times are monotonic, in ms. Valid while a
 * reference is held or the endpoint is in the table.
 */
struct flt_endpoint {
	struct cds_list_head node; /* in flt.endpoints */
	UT_hash_handle by_id;	   /* in flt.ids */
	UT_hash_handle by_hash;	   /* in flt.hashes */
	struct flt_info info;
	uint64_t hash; /* of id and start; key in peers' reports and hashing */
	uint64_t version; /* hash of info.version */
	int64_t first_seen_ms;
	int64_t draining_since_ms; /* first seen draining; 0: not draining */
	int64_t missing_since_ms;  /* not in the list since; 0: listed */
	int64_t grace_until_ms;	   /* usable until then although missing */
	unsigned refs;		   /* of requests, and one of the table */
	bool removed;		   /* no longer in the table */
	enum flt_use use;
	bool no_new_streams; /* its version is not recorded as serving (vrs.h) */

	/* From this entry's own requests. */
	int running;		    /* in flight */
	double prefill_tokens;	    /* of prompts without a first event yet */
	unsigned answers;	    /* good ones */
	double failed, tried;	    /* outcomes, decayed exponentially */
	int64_t decayed_ms;	    /* time as of which they are decayed */
	int64_t backoff_until_ms;   /* no new requests before */
	int connect_failures;	    /* consecutive */
	int64_t unreached_until_ms; /* in backoff for these until then */
	int64_t relay_until_ms;	  /* reached through another entry until then */
	int64_t received_ms;	  /* last byte of an answer; 0: none yet */
	int64_t silence_ended_ms; /* first byte after a silence; 0: none */
	bool probing;		  /* a probe connection is in progress */
	bool exited;		  /* the process no longer listens */
	int suspect_runs; /* requests of all entries suspected to crash it */
	struct gate gate; /* what it stated in its answers */

	struct spd speed; /* relative to its service, by all entries */

	/* Sums over the latest load reports of the peers. */
	double peer_running;
	double reported_prefill_tokens;
	double peer_prefill_tokens; /* moving average of the above */

	void *link; /* HTTP connections; opaque here, see flt_init */
};

/* How long a removed endpoint is remembered, and how many of them. */
#define FLT_REMOVED_KEEP_MS 60000
#define FLT_MAX_REMOVED 256

/*
 * What an endpoint stated is kept for this long after its removal: its list
 * entry may return, and the endpoint may have been running all the while.
 */
#define FLT_GATE_KEEP_MS 600000

/* Removed endpoints whose statements are kept; the oldest are dropped. */
#define FLT_MAX_GATES 4096

/* The statements of a removed endpoint. */
struct flt_kept_gate {
	UT_hash_handle hh; /* in flt.gates, the oldest first */
	uint64_t hash;	   /* of the endpoint */
	struct gate gate;
	int64_t removed_ms;
};

/* The table. Callers may iterate over `endpoints` but not change the table. */
struct flt {
	struct cds_list_head endpoints;
	struct flt_endpoint *ids;    /* hash table by info.id */
	struct flt_endpoint *hashes; /* hash table by hash */
	size_t count;
	void (*release_link)(struct flt_endpoint *e);
	struct {
		uint64_t hash;
		int64_t at_ms;
	} removed[FLT_MAX_REMOVED]; /* ring buffer */
	unsigned nr_removed; /* total; the next slot is this modulo the size */
	struct flt_kept_gate *gates; /* hash table by hash */
};

/*
 * Initializes an empty table. `release_link` closes and frees an endpoint's
 * `link` when its last reference is dropped; NULL: nothing to release.
 */
void flt_init(struct flt *f, void (*release_link)(struct flt_endpoint *e));

/* Removes all endpoints. Those still referenced are freed by flt_unref. */
void flt_free(struct flt *f);

/* What flt_upsert changed. */
enum flt_change {
	FLT_UNCHANGED,
	FLT_ADDED,
	FLT_DRAINING,  /* seen draining for the first time */
	FLT_RELISTED,  /* was missing from the list */
	FLT_RESTARTED, /* new start under the same id, with fresh state */
};

/*
 * The endpoint stated that it is shutting down: it is draining from now on, for
 * good. Returns false if it was draining already.
 */
bool flt_mark_leaving(struct flt_endpoint *e, int64_t now_ms);

/*
 * Returns the table's endpoint for the same start of the process if `e` was
 * removed and has been listed again, else `e`. A request keeps the endpoint that
 * it was sent to, and its answer may state something after the removal.
 */
struct flt_endpoint *flt_current(struct flt *f, struct flt_endpoint *e);

/*
 * True if the table lists another start under the endpoint's id, or another
 * endpoint at its address: the process that `e` was has exited.
 */
bool flt_is_replaced(struct flt *f, const struct flt_endpoint *e);

/* Keeps what a removed endpoint has stated by now. */
void flt_keep_statements(struct flt *f, const struct flt_endpoint *e,
			 int64_t now_ms);

/*
 * Adds or updates an endpoint from its list entry; `*change` receives what
 * changed. Returns the endpoint, owned by the table.
 */
struct flt_endpoint *flt_upsert(struct flt *f, const struct flt_info *info,
				int64_t now_ms, enum flt_change *change);

/*
 * Removes an endpoint at once, without a grace period, because its list entry
 * is unreadable. A later readable entry adds it as a new endpoint. Returns true
 * if the id was in the table.
 */
bool flt_remove(struct flt *f, const char *id, int64_t now_ms);

/*
 * Marks an endpoint as missing from the list; flt_expire removes it. The grace
 * period ends FLT_LAPSE_GRACE_MS after `store_back_ms`, the time at which the
 * store last returned from an outage (0: no outage). There is none if the
 * endpoint was draining, or if that time has passed. Returns the endpoint or
 * NULL if the id is unknown.
 */
struct flt_endpoint *flt_mark_missing(struct flt *f, const char *id,
				      int64_t store_back_ms, int64_t now_ms);

/*
 * True if this start of the endpoint was removed within the last
 * FLT_REMOVED_KEEP_MS. At most FLT_MAX_REMOVED removals are remembered.
 */
bool flt_was_removed(const struct flt *f, const struct flt_info *info,
		     int64_t now_ms);

/*
 * Removes missing endpoints whose grace period is over, and old statements of
 * removed ones. Calls `on_expired` for each endpoint before it is removed; `arg`
 * is passed through.
 */
void flt_expire(struct flt *f, int64_t now_ms,
		void (*on_expired)(struct flt_endpoint *e, void *arg),
		void *arg);

/*
 * Copies the name of a version. One that is too long is cut off and ends with a
 * hash of all of it, so that different versions stay different.
 */
void flt_copy_version(char out[FLT_NAME], const char *name);

/* Hash of a version's name; "": versions that are not stated are one version. */
uint64_t flt_version(const char *name);

/* Finds an endpoint by id or by hash. Returns NULL if there is none. */
struct flt_endpoint *flt_find(struct flt *f, const char *id);
struct flt_endpoint *flt_find_by_hash(struct flt *f, uint64_t hash);

/*
 * Takes and drops a reference. An endpoint that is removed from the table stays
 * valid until the last reference is dropped.
 */
void flt_ref(struct flt_endpoint *e);
void flt_unref(struct flt *f, struct flt_endpoint *e);

/*
 * Updates peer_prefill_tokens, an exponential moving average of
 * reported_prefill_tokens. `weight` is the weight of the previous average, 0 to
 * 1.
 */
void flt_smooth_peer_prefill(struct flt_endpoint *e, double weight);

/*
 * True if the endpoint takes new requests: it is listed or within its grace
 * period, not draining, and not in backoff. Does not consider `use`, nor how
 * many requests it takes.
 */
bool flt_in_service(const struct flt_endpoint *e, int64_t now_ms);

/*
 * True if the endpoint may get a new request of the service: one that is sent to
 * endpoints of this use, and that may have to be continued if it is a `stream`. Does
 * not consider whether it takes requests now.
 */
bool flt_begins(const struct flt_endpoint *e, const char *service,
		enum flt_use use, bool stream);

/*
 * True if the endpoint may get the rest of a stream of this service that began at
 * `version`, whichever version is rolled out. Does not consider whether it takes
 * requests now.
 */
bool flt_continues(const struct flt_endpoint *e, const char *service,
		   uint64_t version);

/*
 * Returns the earliest time at which what the endpoint stated in its answers
 * allows one more request; at most `now_ms`: now.
 */
int64_t flt_open_ms(const struct flt_endpoint *e, int64_t now_ms);

/*
 * True if the endpoint may get a request now: it is in service, and what it
 * stated in its answers allows one more (gate.h, brittle.h).
 */
bool flt_usable(const struct flt_endpoint *e, int64_t now_ms);

/*
 * Returns the time in ms since the endpoint began to drain or, if it was
 * removed, since it went missing. -1: neither; a missing endpoint in its grace
 * period may be alive.
 */
int64_t flt_leaving_ms(const struct flt_endpoint *e, int64_t now_ms);

/* Outcome of a request that was sent to an endpoint. */
enum flt_outcome {
	FLT_GOOD,
	FLT_BUSY,	 /* refused, no free slot */
	FLT_FAILED,	 /* error or incomplete answer */
	FLT_UNREACHABLE, /* connection failed or timed out */
	FLT_MISDIRECTED, /* the address belongs to another endpoint */
};

/*
 * Records an outcome in the failure rate, and sets the endpoint's backoff for
 * FLT_BUSY, FLT_UNREACHABLE and FLT_MISDIRECTED.
 */
void flt_record_outcome(struct flt_endpoint *e, enum flt_outcome o,
			int64_t now_ms);

/*
 * Records that the endpoint's process has exited: nothing listens on its
 * address. Each start has its own id, so the endpoint does not return, and its
 * list entry will expire. The backoff applies if it is listed nevertheless.
 */
void flt_mark_exited(struct flt_endpoint *e, int64_t now_ms);

/*
 * It was not the endpoint that failed: ends its backoff for failed connections.
 */
void flt_clear_unreached(struct flt_endpoint *e, int64_t now_ms);

/*
 * Returns the fraction of recent requests that failed, 0 to 1. Assumes some
 * successes in advance, so that few samples give a low rate.
 */
double flt_fail_rate(const struct flt_endpoint *e, int64_t now_ms);

#endif
