/*
 * wire: how callers, endpoints, the store and the platform are spoken to: the
 * adapter's functions, given to the product as a table. They decode into our
 * types and encode from them, and decide nothing.
 */
#ifndef WIRE_H
#define WIRE_H

#include <stdint.h>

#include "base/err.h"
#include "config/cfg.h"
#include "duty/usage.h"
#include "fleet/flt.h"
#include "io/hmsg.h"
#include "request/attempt.h"
#include "rollout/rollout.h"
#include "store/sto.h"

struct wire_duty {
	const char *holder;
	int64_t fence;
};

/* Memory of a run that was copied to another endpoint. */
struct wire_move_result {
	char handle[64];
	int64_t created; /* events that the run had made when it stopped */
};

struct wire {
	const char *config_key;	     /* of the configuration in the store */
	const char *endpoint_prefix; /* of the endpoints' keys */
	const char *rollout_prefix;  /* of operators' orders to roll out */
	const struct sto_codec *store;

	struct cfg *(*decode_config)(const char *text, size_t len,
				     struct err *e);
	int (*decode_endpoint)(const char *key, const char *text, size_t len,
			       struct flt_info *out, struct err *e);

	/* An order of an operator; the key names its service. */
	int (*decode_rollout)(const char *key, const char *text, size_t len,
			      struct rol_order *out, struct err *e);
	/* The status for the operator: key and value in the store. */
	void (*encode_rollout_status)(const struct rol_record *r,
				      struct buf *key, struct buf *value);

	int (*decode_request)(const struct hmsg *m, struct attempt *out,
			      struct err *e);
	void (*encode_request)(const struct hmsg *m, const struct buf *body,
			       const struct attempt *a, const struct forward *f,
			       struct buf *out);
	void (*decode_answer)(const struct hmsg *m, const struct attempt *a,
			      struct reply *out);
	/* Without its length and the empty line. */
	void (*encode_answer_head)(const struct hmsg *m, struct buf *out);
	void (*encode_own_answer)(int status, const char *id, const char *why,
				  int64_t retry_ms, bool last, struct buf *out);

	/* To the endpoint of run `id`: stop it, copy its memory to `target`. */
	void (*encode_move)(const char *id, const char *target,
			    struct buf *out);
	int (*decode_move_result)(const char *body, size_t len,
				  struct wire_move_result *out, struct err *e);

	bool (*is_lookup)(const struct hmsg *m);
	bool (*is_ready_check)(const struct hmsg *m);
	void (*encode_lookup_answer)(const char *const *addresses, size_t n,
				     double ttl_s, struct buf *out);

	void (*encode_usage_counts)(const struct usage_total *totals, size_t n,
				    struct buf *out);
	void (*encode_usage)(const struct wire_duty *d, int64_t window,
			     const char *counts, struct buf *out);
	void (*encode_scale)(const struct wire_duty *d, const char *service,
			     const char *zone, bool reclaimable, int number,
			     struct buf *out);
};

#endif
