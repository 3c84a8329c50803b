/* Shared by the per-entry part (edge_rollout.c) and the decisions of the holder
 * (edge_rollout_duty.c). */
#ifndef EDGE_ROLLOUT_INTERNAL_H
#define EDGE_ROLLOUT_INTERNAL_H

#include "base/tab.h"
#include "edge/edge_rollout.h"

/* Counts reported by another entry. */
struct edge_peer_tally {
	UT_hash_handle hh; /* in edge_rollout.peer_tallies */
	uint64_t source;
	struct tal tally;
};

/* Roll-out state of a service. */
struct edge_rollout {
	struct cds_list_head node; /* in edge.rollouts */
	char service[FLT_NAME];
	char established[FLT_NAME]; /* version that serves; "": none listed */
	int64_t established_started_ms; /* start of its first endpoint */
	bool uses_outdated;		/* listed endpoints await an update */
	int64_t uses_updated_ms;
	bool recorded;
	struct rol_record record;
	int64_t record_version; /* of its key in the store; 0: not there */
	bool unwritten;		/* record may be missing from the store */
	struct tal own;
	struct edge_peer_tally *peer_tallies;

	/* Used by the holder of the duties only. */
	bool ordered;
	bool order_valid;
	struct rol_order order;
	char order_error[ROL_WHY];
	int64_t refused_version; /* of the last order refused */
	int64_t unordered_since_ms; /* when a version without an order was first listed */
	bool writing;
	int64_t next_write_ms; /* no write before this time */
	struct rol_record next;
};

/* Returns the state of a service, created on first use. */
struct edge_rollout *edge_rollout_of(struct edge *en, const char *service);

/* The version that serves, from the record or else from the endpoint list. */
const char *edge_rollout_serving(const struct edge_rollout *ro);

/* Replaces the record by `next` and updates the endpoints. */
void edge_rollout_apply(struct edge *en, struct edge_rollout *ro,
			const struct rol_record *next);

/* Decides the next step for one service. */
void edge_rollout_decide(struct edge *en, struct edge_rollout *ro, int64_t now);

#endif
