/*
 * Declarations shared by the part of roll-outs that runs in each entry
 * (edge_rollout.c) and the decisions of the duty holder (edge_rollout_duty.c).
 */
#ifndef EDGE_ROLLOUT_INTERNAL_H
#define EDGE_ROLLOUT_INTERNAL_H

#include "base/tab.h"
#include "edge/edge_rollout.h"

/* The latest counts of another entry. */
struct edge_peer_tally {
	UT_hash_handle hh; /* in edge_rollout.peer_tallies */
	uint64_t source;   /* edge_source() of that entry */
	struct tal tally;
};

/* Roll-out state of a service. */
struct edge_rollout {
	struct cds_list_head node; /* in edge.rollouts */
	char service[FLT_NAME];
	struct rol_established established;
	int64_t established_checked_ms;
	bool uses_outdated; /* the endpoints' uses await an update */
	int64_t uses_updated_ms;
	bool recorded; /* `record` is set */
	struct rol_record record;
	int64_t record_version; /* of its key in the store; 0: not there */
	bool unwritten;		/* record may be missing from the store */
	struct tal own;		/* counts of this entry */
	struct edge_peer_tally *peer_tallies;

	/* Used by the duty holder only. */
	bool ordered;	  /* an order is in the store */
	bool order_valid; /* else order_error says why not */
	struct rol_order order;
	char order_error[ROL_WHY];
	int64_t refused_version;    /* of the last refused order */
	int64_t unordered_since_ms; /* version without order listed; 0: none */
	bool writing;		    /* a write of the record is in flight */
	int64_t next_write_ms;	    /* no write before this time */
	struct rol_record next;	    /* the record that is being written */
};

/* Returns the state of a service, created on first use and never freed. */
struct edge_rollout *edge_rollout_of(struct edge *en, const char *service);

/* The version that serves, by the record, or else by the list of endpoints. */
const char *edge_rollout_serving(const struct edge_rollout *ro);

/* Replaces the record by `next` and updates the endpoints' uses. */
void edge_rollout_apply(struct edge *en, struct edge_rollout *ro,
			const struct rol_record *next);

/* Decides and carries out the next step for a service, if one is due. */
void edge_rollout_decide(struct edge *en, struct edge_rollout *ro, int64_t now);

#endif
