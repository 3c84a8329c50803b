/*
 * cfg (configuration): one version of the configuration: routes, services,
 * client accounts and limits on client input.
 *
 * A version is immutable after cfg_finalize. It is reference-counted: each
 * request holds a reference to the version under which it was admitted, and
 * the version is freed with the last reference (cfg_ref, cfg_put). The count
 * is not atomic; use one version from one thread only.
 */
#ifndef CFG_H
#define CFG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Whether requests of a route may be executed more than once. */
enum cfg_kind {
	CFG_IDEMPOTENT, /* may run more than once */
	CFG_ONCE,	/* at most one run per attempt of the client */
	CFG_STREAM,	/* event stream; at most one run unless resumable */
};

/* Part of a route's traffic that goes to one service. */
struct cfg_share {
	char *service;
	double weight; /* relative to the other shares of the route */
};

/* Requests to a host and path prefix, and how they are served. */
struct cfg_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum cfg_kind kind;
	int timeout_ms;	   /* deadline of the response, from the arrival */
	int objective_ms;  /* target time to first event, or to the response */
	int gap_ms;	   /* longest pause between events; 0: no target */
	int priority;	   /* 0 is the most urgent */
	int max_endpoints; /* endpoints that one attempt may be sent to */
	bool anonymous;	   /* no API key is required */
	bool cached;	   /* requests share prompt prefixes */
	bool resumable;	   /* another endpoint can continue a stream */
	struct cfg_share *shares;
	size_t nr_shares;
};

/* Price of an on-demand replica in one availability zone. */
struct cfg_zone_price {
	char *zone;
	double price; /* per replica and second, in the market's unit */
};

struct cfg_scaling {
	int min, max;	   /* replicas per availability zone */
	int boot_ms;	   /* from the order of a replica until it serves */
	double spot_price; /* as a fraction of the on-demand price */
	struct cfg_zone_price *prices;
	size_t nr_prices;
};

/* Capacity of a model engine. */
struct cfg_engine {
	int slots;	       /* sequences in one batch */
	int64_t memory_tokens; /* capacity of the KV cache in tokens */
	bool kv_movable;       /* the KV cache of a run can be moved */
};

struct cfg_service {
	char *name;
	char *health_path;
	int max_connections; /* per endpoint, over all entries */
	int gap_ms;	     /* shortest gap_ms of its routes; 0: no target */
	bool has_engine;
	struct cfg_engine engine;
	bool has_scaling;
	struct cfg_scaling scaling;
};

/* API key of an account. */
struct cfg_key {
	char *text;
	size_t account; /* index in cfg.accounts */
};

struct cfg_account {
	char *name;
	bool has_priority; /* `priority` replaces that of the route */
	int priority;
	bool rate_in_tokens; /* `rate` and `burst` count tokens, not requests */
	double default_tokens; /* counted for a request that states none */
	double rate;	       /* per second, over all entries; 0: no limit */
	double burst;	       /* size of the token bucket */
};

/* Limits on client connections and requests. */
struct cfg_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int header_ms; /* timeout for receiving the request head */
	int idle_ms;   /* timeout of an idle connection */
};

struct cfg {
	unsigned refs;
	int64_t version;
	struct cfg_route *routes; /* sorted by (host, prefix) */
	size_t nr_routes;
	struct cfg_service *services;
	size_t nr_services;
	struct cfg_account *accounts;
	size_t nr_accounts;
	struct cfg_key *keys; /* sorted by text */
	size_t nr_keys;
	struct cfg_limits limits;
};

/*
 * Returns an empty configuration with one reference. The caller fills in the
 * members, whose arrays and strings the configuration frees, and then calls
 * cfg_finalize.
 */
struct cfg *cfg_create(void);

/*
 * Sorts routes and keys for the look-ups below, and derives each service's
 * gap_ms from its routes. Call before the configuration is used.
 */
void cfg_finalize(struct cfg *c);

/* Takes a reference; returns `c`. */
struct cfg *cfg_ref(struct cfg *c);

/* Drops a reference and frees `c` with the last one. NULL is allowed. */
void cfg_put(struct cfg *c);

/*
 * Finds the route of a request: among the routes of `host`, the one with the
 * longest prefix of `path`. A query or fragment in `path` is ignored.
 * Returns NULL if no route matches. Valid as long as `c`.
 */
const struct cfg_route *cfg_route(const struct cfg *c, const char *host,
				  const char *path);

/* Returns the account to which an API key belongs, or NULL. */
const struct cfg_account *cfg_account(const struct cfg *c, const char *key);

/* Returns the service with this name, or NULL. */
const struct cfg_service *cfg_service(const struct cfg *c, const char *name);

#endif
