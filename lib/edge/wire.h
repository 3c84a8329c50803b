/*
 * wire: the codec of the protocols with callers, endpoints, the store and the
 * platform, as a table of functions that the platform adapter provides.
 *
 * The functions only convert between bytes and the types of this project.
 * Those that decode and have an `e` return 0, or -1 (decode_config: NULL) with
 * an error if the input is malformed; `text` and `body` need no final NUL.
 * Those that encode append to `out`.
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

/* Identifies the duty holder in its calls to the platform. */
struct wire_duty {
	const char *holder; /* name of the entry */
	int64_t fence;	    /* its fencing token */
};

/* The copy of a run's KV cache at another endpoint. */
struct wire_move_result {
	char handle[64]; /* of the copy */
	int64_t created; /* events that the run had generated when it stopped */
};

struct wire {
	const char *config_key;	     /* key of the configuration in the store */
	const char *endpoint_prefix; /* key prefix of endpoints */
	const char *rollout_prefix;  /* key prefix of roll-out orders */
	const struct sto_codec *store;

	/* Returns the configuration, to be released by cfg_put(). */
	struct cfg *(*decode_config)(const char *text, size_t len,
				     struct err *e);

	/* An endpoint's entry; the key ends with its id. */
	int (*decode_endpoint)(const char *key, const char *text, size_t len,
			       struct flt_info *out, struct err *e);

	/* An operator's roll-out order; the key ends with the service. */
	int (*decode_rollout)(const char *key, const char *text, size_t len,
			      struct rol_order *out, struct err *e);
	/* The status for the operator: its key and value in the store. */
	void (*encode_rollout_status)(const struct rol_record *r,
				      struct buf *key, struct buf *value);

	/* The head of a caller's request. */
	int (*decode_request)(const struct hmsg *m, struct attempt *out,
			      struct err *e);

	/* The whole request to an endpoint: the caller's `m` and `body`. */
	void (*encode_request)(const struct hmsg *m, const struct buf *body,
			       const struct attempt *a, const struct forward *f,
			       struct buf *out);

	/* The head of an endpoint's answer to attempt `a`. */
	void (*decode_answer)(const struct hmsg *m, const struct attempt *a,
			      struct reply *out);

	/*
	 * The head of the answer for the caller, without headers that concern
	 * the connection or the body's length, and without the empty line.
	 */
	void (*encode_answer_head)(const struct hmsg *m, struct buf *out);

	/*
	 * A whole response of the entry itself. `id`: of the attempt; NULL:
	 * unknown. `why`: text of the error; unused with status 200.
	 * `retry_ms`: for Retry-After; -1: none. `last`: the connection closes
	 * after it.
	 */
	void (*encode_own_answer)(int status, const char *id, const char *why,
				  int64_t retry_ms, bool last, struct buf *out);

	/*
	 * The call to an endpoint that stops run `id` and copies its KV cache
	 * to the endpoint at `target` (IP:PORT).
	 */
	void (*encode_move)(const char *id, const char *target,
			    struct buf *out);
	int (*decode_move_result)(const char *body, size_t len,
				  struct wire_move_result *out, struct err *e);

	/* True if the request is a look-up, or a readiness check. */
	bool (*is_lookup)(const struct hmsg *m);
	bool (*is_ready_check)(const struct hmsg *m);

	/* IP:PORT of `n` entries, which callers may use for `ttl_s` seconds. */
	void (*encode_lookup_answer)(const char *const *addresses, size_t n,
				     double ttl_s, struct buf *out);

	/* The runs of `n` accounts, as text for encode_usage. */
	void (*encode_usage_counts)(const struct usage_total *totals, size_t n,
				    struct buf *out);

	/* The whole call that reports the usage of window number `window`. */
	void (*encode_usage)(const struct wire_duty *d, int64_t window,
			     const char *counts, struct buf *out);

	/*
	 * The whole call that sets the desired number of endpoints of a service
	 * in a zone: of spot ones if `reclaimable`, else of on-demand ones.
	 */
	void (*encode_scale)(const struct wire_duty *d, const char *service,
			     const char *zone, bool reclaimable, int number,
			     struct buf *out);
};

#endif
