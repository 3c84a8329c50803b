/*
 * rol (roll-out): staged deployment of a new version of a service, with
 * automatic roll-back.
 *
 * An operator orders a target version for a service, with a deadline; endpoints
 * of that version start in addition to those of the current one. The lease
 * holder, which is the entry that holds the duty lease, makes all decisions. In
 * the trial, a small share of the requests goes to a few endpoints of the
 * target, so that each has a normal load. Shortly before the deadline, all
 * traffic is shifted if the target answers as well as the former version. The
 * roll-out is completed when no requests run on the former endpoints. It is
 * rolled back as soon as the target answers significantly worse, or if too few
 * of its endpoints start.
 *
 * Until the deadline, the target gets no more requests than the exposure limit,
 * regardless of its answers: the shift begins when the remaining exposure
 * covers the traffic until the deadline. Streams end at the version that began
 * them, for which the roll-out may be completed after the deadline.
 *
 * While the former version is short of slots, the trial uses all of the
 * exposure limit but what the shift needs.
 *
 * The state is one record in the store, so that a new lease holder can
 * continue. Decisions are pure functions of the record, the observations and
 * the time of day.
 */
#ifndef ROLLOUT_H
#define ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "fleet/flt.h"
#include "rollout/tally.h"

/* Size of the buffer for a reason in bytes, including the terminating NUL. */
#define ROL_WHY 64

/* An operator's order to deploy a version. */
struct rol_order {
	int64_t version; /* of the order in the store */
	char service[FLT_NAME];
	char target[FLT_NAME]; /* version to be run */
	int64_t within_ms; /* deadline, relative to the start of the roll-out */
};

/* Stages of a roll-out, stored under the names of rol_stage_name(). */
enum rol_stage {
	ROL_TRIAL,   /* a share of the requests goes to the target */
	ROL_SHIFT,   /* half of the new requests, then all, go there */
	ROL_RUN_OUT, /* streams of the former version end */
	ROL_COMPLETED,
	ROL_ROLLED_BACK,
	ROL_UNORDERED, /* all versions serve, without an order */
};

/* State of a roll-out, as stored. Timestamps are ms since the Unix epoch. */
struct rol_record {
	char service[FLT_NAME];
	char target[FLT_NAME];
	char from[FLT_NAME]; /* the version that served before */
	int64_t order;	     /* version of the order in the store; 0: none */
	int64_t began_ms;
	int64_t within_ms;  /* from the order */
	int64_t changed_ms; /* last step */
	enum rol_stage stage;
	double share;	   /* of the requests that go to the target, 0 to 1 */
	char why[ROL_WHY]; /* reason of the last step, for operators */
};

/* Settings: the exposure limit of a new version. */
struct rol_limits {
	double exposure_share; /* of the requests from order to deadline */
	double exposure_slack; /* requests beyond that */
};

/* Observations of a service by the lease holder. */
struct rol_observation {
	int64_t now_ms;	      /* time of day */
	bool counts_complete; /* counts of the other entries have arrived */
	int64_t counting_since_ms; /* this entry counts since then, time of day */
	int target_endpoints;	   /* usable endpoints of the target */
	int required_endpoints;	   /* minimum endpoints to shift all traffic */
	double former_running;	   /* requests running on endpoints of `from` */
	/*
	 * Requests in flight at the usable endpoints of `from`, and the slots
	 * of these; 0 slots: unknown.
	 */
	double former_in_flight, former_slots;
	double offered_per_s; /* new requests of clients; 0: unknown */
	/* Live entries that may send new requests to `from` by their record. */
	int unshifted_entries;
	const struct tal *counts; /* of all entries */
	const char *established;  /* version that serves */
};

/* Initializes `r` as the first record of an order. */
void rol_begin(struct rol_record *r, const struct rol_order *o,
	       const struct rol_observation *s);

/*
 * Advances a roll-out that is in progress by at most one step. Returns true if
 * the record changed and has to be written to the store.
 */
bool rol_step(struct rol_record *r, const struct rol_limits *l,
	      const struct rol_observation *s);

/*
 * True if the usable endpoints of the former version, added up, have more
 * requests in flight than slots.
 */
bool rol_is_short(const struct rol_observation *s);

/*
 * True if an entry whose record has this state sends all new requests to the
 * target.
 */
bool rol_is_shifted(enum rol_stage stage, double share);

/* Sets the stage to rolled back; `why` is copied and truncated to ROL_WHY. */
void rol_roll_back(struct rol_record *r, const char *why, int64_t now_ms);

/* True in the stages trial, shift and run-out. */
bool rol_in_progress(const struct rol_record *r);

/*
 * True if the record belongs to the order. After the store was restored from an
 * older copy, the same order is written again under another version.
 */
bool rol_matches_order(const struct rol_record *r, const struct rol_order *o);

/* Identifies the order in counts exchanged between entries; never 0. */
uint64_t rol_order_id(const struct rol_record *r);

/* ---- Per-entry routing ---- */

/*
 * A version that is listed without an order, or instead of the established one, is
 * used after this delay: its order may still arrive.
 */
#define ROL_UNORDERED_DELAY_MS 5000

/* The version that serves while there is no record. */
struct rol_established {
	char version[FLT_NAME]; /* "": none was listed */
	int64_t started_ms;	/* start of its first endpoint */
	int64_t gone_ms; /* without an endpoint in service since then; 0: has one */
};

/* The endpoints of a service that are in service. */
struct rol_listed {
	bool any_established;
	const struct flt_info
		*first_other; /* started first; NULL: there is none */
};

/*
 * Establishes another version if the established one has had no endpoint for
 * ROL_UNORDERED_DELAY_MS. Returns true if it did.
 */
bool rol_replace_established(struct rol_established *e,
			     const struct rol_listed *l, int64_t now_ms);

/*
 * Returns which requests an endpoint gets. `r` may be NULL: only `established`
 * serves then, or any version if it is "". `chosen`: the endpoint is selected
 * for the trial.
 */
enum flt_use rol_use(const struct rol_record *r, const char *established,
		     const struct flt_info *info, bool chosen);

/* Number of endpoints, out of `n`, that get the requests of a trial. */
unsigned rol_trial_endpoints(const struct rol_record *r, unsigned n);

/*
 * True if a request goes to the target. `key` is the same for retries and for
 * requests with the same prompt prefix, so that these stay with one version.
 */
bool rol_selects_target(const struct rol_record *r, uint64_t key);

/* ---- The record in the store ---- */

/* Appends the record as JSON. */
void rol_encode(const struct rol_record *r, struct buf *out);

/* Parses a stored record. Returns false if the text is not a valid record. */
bool rol_decode(const char *text, size_t len, struct rol_record *out);

/* Name of the stage in logs and in the stored record; a static string. */
const char *rol_stage_name(enum rol_stage s);

#endif
