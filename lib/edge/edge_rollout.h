/*
 * edge_rollout: staged roll-outs of new versions (rollout/rollout.h), as the
 * other files of the entry use them.
 *
 * Roll-outs are disabled if the settings have no exposure limit or no address
 * of the platform; all requests then go to endpoints that are FLT_IN_USE.
 *
 * Keys (with their prefix) and values are those of the store; values need no
 * final NUL. `version` is the version of the key.
 */
#ifndef EDGE_ROLLOUT_H
#define EDGE_ROLLOUT_H

#include "edge/edge_internal.h"

/* Key prefix of the roll-outs' records, one per service. */
#define EDGE_ROLLOUT_PREFIX "md/rollout/"

void edge_rollout_open(struct edge *en);
void edge_rollout_tick(struct edge *en, int64_t now);

/* ---- Store events ---- */

/*
 * An operator's order was written, or was deleted. Only the duty holder watches
 * these keys.
 */
void edge_rollout_order_seen(struct edge *en, const char *key,
			     const char *value, size_t len, int64_t version);
void edge_rollout_order_deleted(struct edge *en, const char *key);

/* The record of a service was written, or was deleted. */
void edge_rollout_record_seen(struct edge *en, const char *key,
			      const char *value, size_t len, int64_t version);
void edge_rollout_record_deleted(struct edge *en, const char *key);

/* An endpoint was listed or changed: sets which requests it gets. */
void edge_rollout_endpoint_listed(struct edge *en, struct flt_endpoint *e);

/* ---- Requests ---- */

/* Returns the use of the endpoints that the request's next send may go to. */
enum flt_use edge_rollout_use(const struct edge_req *r);

/* The request was assigned to r->endpoint, to which it is sent next. */
void edge_rollout_sent(struct edge_req *r);

/* Its first event or its answer arrived; later calls have no effect. */
void edge_rollout_answered(struct edge_req *r);

/* The send failed at the endpoint. `broken`: the connection broke. */
void edge_rollout_failed(struct edge_req *r, bool broken);

/* ---- Gossip ---- */

/*
 * Adds this entry's counts and recent roll-backs to a datagram; applies those
 * of the entry `source` (edge_source).
 */
void edge_rollout_fill_gossip(struct edge *en, struct gsp_record *out,
			      int64_t now);
void edge_rollout_apply_gossip(struct edge *en, uint64_t source,
			       const struct gsp_record *r, int64_t now);

/* ---- Scaling ---- */

/* True while all traffic is shifted, during which scaling is suspended. */
bool edge_rollout_is_shifting(const struct edge *en, const char *service);

/*
 * The number of usable endpoints of the target during a trial, 0 at other
 * times. All endpoints that start during a trial are of the target, so none of
 * them is of use before the shift.
 */
int edge_rollout_trial_endpoints(const struct edge *en, const char *service);

/*
 * True if the endpoint's version was replaced by a completed roll-out; the
 * platform stops such endpoints.
 */
bool edge_rollout_is_replaced(const struct edge *en,
			      const struct flt_endpoint *e);

#endif
