/*
 * route: chooses the endpoint for a request. Pure: performs no I/O and does not
 * read the clock.
 *
 * An entry tracks the load of only a subset of each model's replicas, so that
 * neither its traffic nor the cost of a decision grows with the fleet. The
 * score of a candidate is the predicted time to the first token, the sum of
 *
 * - the wait for a slot, from the reported load of other entries and this
 *   entry's current load,
 * - prefill of the part of the prompt that is not cached,
 * - the expected cost of recomputation after a reclaim of the instance.
 *
 * The weight of a load report decays with its age, in favour of the mean of all
 * replicas. All entries see the same report; if they relied on it, they would
 * all send to the same replica until the next report: see
 * docs/design/routing.md.
 *
 * A table covers one model of one service. The caller locks it.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "route/prefix.h"

/* Endpoints that an entry tracks per model: see docs/design/routing.md. */
#define ROUTE_SUBSET 16

/* Scores from route_choose: of the subset, and of 4 others with the prefix. */
#define ROUTE_MAX_SCORES (ROUTE_SUBSET + 4)

/* Buffer sizes in bytes, including the terminating NUL. */
#define ROUTE_NAME_MAX 48
#define ROUTE_ADDR_MAX 64

/* Recorded changes of own_open per endpoint: of the last second or two. */
#define ROUTE_MAX_CHANGES 32

struct route_load_change {
	int64_t at_ms;
	int64_t own_before; /* own_open before the change */
};

/*
 * An endpoint, as described by the instance list and its load reports. Times
 * are monotonic, in ms.
 */
struct route_endpoint {
	uint64_t id;
	char name[ROUTE_NAME_MAX];
	char address[ROUTE_ADDR_MAX];
	char zone[ROUTE_NAME_MAX];
	char version[ROUTE_NAME_MAX]; /* as reported by the engine */
	bool reclaimable;
	bool ready;	      /* reports that it serves the table's model */
	bool leaving;	      /* gets no new requests */
	double tokens_per_s;  /* generated, with all slots busy */
	double prefill_per_s; /* prompt tokens */
	int64_t slots;	      /* concurrent requests */
	double risk_per_s;    /* probability of a reclaim per second */
	double kv_mb_per_s;   /* KV cache transfer rate; 0: unsupported */
	double kv_mb_per_token;

	/* Load as of `report_ms`; 0: no report yet. */
	int64_t report_ms;
	int64_t running;
	int64_t waiting;
	int64_t cache_gap_ms;  /* last gap in its cache events */
	int64_t cache_seq;     /* last processed cache event */
	int64_t streams;       /* reported open runs, of all entries */
	int64_t own_open;      /* this entry's open requests */
	int64_t own_at_report; /* own_open as of report_ms */
	struct route_load_change load_changes[ROUTE_MAX_CHANGES]; /* ring */
	unsigned nr_load_changes;
	int64_t avoid_until_ms; /* set after a failure */
	int64_t polled_ms;	/* last request for its load */
};

/* Describes the request. Pointers are borrowed for the call. */
struct route_query {
	const struct prefix_key *prefix; /* NULL: ignore prefix caches */
	uint32_t prompt_tokens;
	uint32_t kept_tokens; /* additional tokens to prefill on resumption */
	uint32_t max_tokens;  /* of the answer; 0: unknown, 256 is assumed */
	const char *version;  /* required version; NULL or "": any */
	const char *zone;     /* of the entry, preferred; NULL: no preference */
	uint64_t avoid; /* id of an endpoint to use only as the last resort */
	double recompute_weight; /* of the expected recomputation cost */
	double reserve; /* fraction of the slots to leave free, 0 to 1 */
};

struct route_choice {
	uint64_t endpoint;   /* 0: none is usable */
	double score_ms;     /* predicted time to the first token */
	size_t cached_chars; /* of the prompt, predicted in its cache */
	unsigned considered; /* number of candidates */
	bool has_room;	     /* predicted free slot beyond the reserve */
};

/* A candidate and its score, for the decision log. */
struct route_score {
	const struct route_endpoint *ep;
	double ms;
	size_t cached_chars;
	double load; /* predicted sequences */
};

struct route_table;

/*
 * Creates an empty table for up to `max` endpoints, which must be below 65535.
 * `self` identifies the entry and determines its subset. Free with route_free.
 */
struct route_table *route_create(uint64_t self, size_t max);
void route_free(struct route_table *t);

/*
 * Adds or updates an endpoint by id. The load, cache and backoff fields of a
 * known endpoint are kept. Returns the stored copy, owned by the table, or NULL
 * if the table is full.
 */
struct route_endpoint *route_put(struct route_table *t,
				 const struct route_endpoint *ep);

/* Removes an endpoint and refreshes the subset; ignores unknown ids. */
void route_remove(struct route_table *t, uint64_t id);

/* Returns the endpoint, owned by the table, or NULL. */
struct route_endpoint *route_find(const struct route_table *t, uint64_t id);
size_t route_count(const struct route_table *t);

/*
 * Recomputes the subset. Call after route_put, and after changes of `ready` or
 * `leaving`.
 */
void route_refresh(struct route_table *t);

/*
 * Sets `*out` to the tracked endpoints and returns their number, at most
 * ROUTE_SUBSET. Valid until the next refresh.
 */
size_t route_subset(const struct route_table *t,
		    struct route_endpoint *const **out);

/*
 * Records a load report, which describes the endpoint as of `lag_ms` before
 * `now_ms`. A report older than the last one, or with negative counts, is
 * dropped.
 */
void route_report(struct route_endpoint *ep, int64_t running, int64_t waiting,
		  int64_t lag_ms, int64_t now_ms);

/* Counts a request of this entry as open, or as ended. */
void route_sent(struct route_endpoint *ep, int64_t now_ms);
void route_done(struct route_endpoint *ep, int64_t now_ms);

/*
 * Chooses an endpoint. `px`, the prefix index, may be NULL if the query has no
 * prefix. `scores` receives up to ROUTE_MAX_SCORES scores and `*nr_scores`
 * their number; both may be NULL.
 */
struct route_choice route_choose(struct route_table *t, const struct prefix *px,
				 const struct route_query *q, struct rnd *rnd,
				 int64_t now_ms, struct route_score *scores,
				 size_t *nr_scores);

/*
 * Returns the predicted time to the first token on an endpoint, in ms.
 * `mean_others`: mean load by other entries on the tracked endpoints, in
 * sequences. `*cached` receives the characters predicted in its cache.
 */
double route_predict(const struct route_endpoint *ep, const struct prefix *px,
		     const struct route_query *q, double mean_others,
		     int64_t now_ms, size_t *cached);

#endif
