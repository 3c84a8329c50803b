/*
 * Roll-outs of new versions (lib/rollout): interface to the rest of the entry.
 * Disabled if the settings have no exposure limit.
 */
#ifndef EDGE_ROLLOUT_H
#define EDGE_ROLLOUT_H

#include "edge/edge_internal.h"

/* Key prefix of the records in the store, one per service. */
#define EDGE_ROLLOUT_PREFIX "md/rollout/"

void edge_rollout_open(struct edge *en);
void edge_rollout_tick(struct edge *en, int64_t now);

/* ---- Store events ---- */

/* An operator's order; only the holder of the duties watches these. */
void edge_rollout_order_seen(struct edge *en, const char *key,
			     const char *value, size_t len, int64_t version);
void edge_rollout_order_deleted(struct edge *en, const char *key);

/* The record of a service. */
void edge_rollout_record_seen(struct edge *en, const char *key,
			      const char *value, size_t len, int64_t version);
void edge_rollout_record_deleted(struct edge *en, const char *key);

/* An endpoint was listed: sets which requests it gets. */
void edge_rollout_endpoint_listed(struct edge *en, struct flt_endpoint *e);

/* ---- Requests ---- */

/* Selects which endpoints the request may go to, before each send. */
enum flt_use edge_rollout_use(const struct edge_req *r);

/* The request was sent to r->endpoint. */
void edge_rollout_sent(struct edge_req *r);

/* Its first event or its answer arrived; further calls have no effect. */
void edge_rollout_answered(struct edge_req *r);

/* The request failed at the endpoint. `broken`: the connection broke. */
void edge_rollout_failed(struct edge_req *r, bool broken);

/* ---- Other entries ---- */

void edge_rollout_fill_gossip(struct edge *en, struct gsp_record *out,
			      int64_t now);
void edge_rollout_apply_gossip(struct edge *en, uint64_t source,
			       const struct gsp_record *r, int64_t now);

/* ---- Plans ---- */

/* True during a shift of all traffic, which suspends scaling. */
bool edge_rollout_is_shifting(const struct edge *en, const char *service);

/* True if the endpoint's version was replaced; the platform stops it. */
bool edge_rollout_is_replaced(const struct edge *en,
			      const struct flt_endpoint *e);

#endif
