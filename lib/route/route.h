/*
 * route: which endpoint gets a request. Pure.
 *
 * An entry follows the load of a subset of each model's replicas, so that
 * neither its traffic nor the cost of a decision grows with the fleet. The
 * score of a candidate is the predicted time to the first token:
 *
 *   wait for a slot (others' load as reported, and this entry's own as it is)
 * + reading the part of the prompt that is not cached
 * + the cost of computing again what a reclaim would lose, by its risk
 *
 * A report fades with its age, towards the mean of all replicas: every entry
 * sees the same report, and if all trusted it they would send to the same one
 * until the next (measured: docs/design/routing.md).
 *
 * One table serves one model of one service; the caller locks it.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "route/prefix.h"

/* Endpoints an entry follows per model: see docs/design/routing.md. */
#define ROUTE_SUBSET 16

/* Rows that route_choose may hand out as scores. */
#define ROUTE_MAX_SCORES (ROUTE_SUBSET + 4)

#define ROUTE_NAME_MAX 48
#define ROUTE_ADDR_MAX 64

/* Changes of an entry's own load that are kept: a second's worth or two. */
#define ROUTE_MAX_CHANGES 32

struct route_load_change {
	int64_t at_ms;
	int64_t own_before; /* before the change */
};

/* What the instance list and the endpoint's own report say of it. */
struct route_endpoint {
	uint64_t id;
	char name[ROUTE_NAME_MAX];
	char address[ROUTE_ADDR_MAX];
	char zone[ROUTE_NAME_MAX];
	char version[ROUTE_NAME_MAX]; /* as reported by the engine */
	bool reclaimable;
	bool ready;   /* reported to run the model asked for */
	bool leaving; /* no new work */
	double tokens_per_s;
	double prefill_per_s;
	int64_t slots;
	double risk_per_s;  /* chance of a reclaim per second */
	double kv_mb_per_s; /* KV transfer; 0: cannot */
	double kv_mb_per_token;

	/* Load, as of `report_ms` (monotonic; 0: never heard). */
	int64_t report_ms;
	int64_t running;
	int64_t waiting;
	int64_t cache_gap_ms;  /* last gap in its cache events */
	int64_t cache_seq;     /* last cache event taken in */
	int64_t streams;       /* open runs of all entries, as reported */
	int64_t own_open;      /* own requests open now */
	int64_t own_at_report; /* the same at the time the report is of */
	struct route_load_change
		load_changes[ROUTE_MAX_CHANGES]; /* changes of `own`, a ring */
	unsigned nr_load_changes;
	int64_t avoid_until_ms; /* after a failure; monotonic ms */
	int64_t polled_ms;	/* when its load was last asked for */
};

struct route_query {
	const struct prefix_key *prefix;
	uint32_t prompt_tokens;
	uint32_t kept_tokens; /* tokens to be read again on top */
	uint32_t max_tokens;
	const char *version; /* required version; NULL or "": any */
	const char *zone;    /* the entry's own zone: ties go there */
	uint64_t avoid;	     /* not this one, unless it is the only one */
	double recompute_weight;
	double reserve; /* part of the slots that this work must leave free */
};

struct route_choice {
	uint64_t endpoint;   /* 0: none can be had */
	double score_ms;     /* predicted time to the first token */
	size_t cached_chars; /* characters believed cached */
	unsigned considered;
	bool has_room; /* a slot that it may use is believed free */
};

/* A candidate and its score, for the decision log. */
struct route_score {
	const struct route_endpoint *ep;
	double ms;
	size_t cached_chars;
	double load; /* sequences believed there */
};

struct route_table;

/* `self` seeds the subset; `max` bounds the endpoints known. */
struct route_table *route_create(uint64_t self, size_t max);
void route_free(struct route_table *t);

/*
 * Adds or updates an endpoint by id. Load fields of a known endpoint are
 * kept. Returns the stored one, or NULL if the table is full.
 */
struct route_endpoint *route_put(struct route_table *t,
				 const struct route_endpoint *ep);
void route_remove(struct route_table *t, uint64_t id);
struct route_endpoint *route_find(const struct route_table *t, uint64_t id);
size_t route_count(const struct route_table *t);

/* Recomputes the subset; call after puts and removes. */
void route_refresh(struct route_table *t);

/* The followed endpoints (at most ROUTE_SUBSET). Valid until a refresh. */
size_t route_subset(const struct route_table *t,
		    struct route_endpoint *const **out);

/* A load report arrived. A report older than the last one is dropped. */
void route_report(struct route_endpoint *ep, int64_t running, int64_t waiting,
		  int64_t lag_ms, int64_t now_ms);

/* A request was sent to, or ended at, the endpoint. */
void route_sent(struct route_endpoint *ep, int64_t now_ms);
void route_done(struct route_endpoint *ep, int64_t now_ms);

/*
 * Chooses. `scores` (may be NULL) receives up to ROUTE_MAX_SCORES rows and
 * `*nr_scores` their number.
 */
struct route_choice route_choose(struct route_table *t, const struct prefix *px,
				 const struct route_query *ask, struct rnd *rnd,
				 int64_t now_ms, struct route_score *scores,
				 size_t *nr_scores);

/*
 * The predicted time to the first token at one endpoint, in ms. `mean_others`
 * is the mean load of others over the endpoints followed.
 */
double route_predict(const struct route_endpoint *ep, const struct prefix *px,
		     const struct route_query *ask, double mean_others,
		     int64_t now_ms, size_t *cached);

#endif
