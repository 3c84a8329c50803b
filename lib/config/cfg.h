/*
 * cfg: one version of the configuration in force: routes, services, client
 * accounts and what callers may send.
 *
 * A version is built once, then only read, and lives as long as the last
 * request that was admitted under it (cfg_ref, cfg_put).
 */
#ifndef CFG_H
#define CFG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What may be repeated. */
enum cfg_kind {
	CFG_IDEMPOTENT, /* may run more than once */
	CFG_ONCE,	/* at most one run for each attempt of a caller */
	CFG_STREAM,	/* events; at most once unless it can be resumed */
};

struct cfg_share {
	char *service;
	double weight;
};

struct cfg_route {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	enum cfg_kind kind;
	int timeout_ms;	   /* from the arrival; the answer is due by then */
	int objective_ms;  /* first event, or the answer */
	int gap_ms;	   /* longest pause between events; 0: none stated */
	int priority;	   /* 0 is the most urgent */
	int max_endpoints; /* endpoints that one attempt may be sent to */
	bool anonymous;	   /* no key is asked for */
	bool cached;	   /* requests share prompt parts */
	bool resumable;	   /* a stream can go on at another endpoint */
	struct cfg_share *shares;
	size_t nr_shares;
};

struct cfg_zone_price {
	char *zone;
	double price; /* of a replica for a second, in the market's unit */
};

struct cfg_scaling {
	int min, max; /* replicas in each availability zone */
	int boot_ms;
	double spot_price; /* of a reclaimable one, as part of the price */
	struct cfg_zone_price *prices;
	size_t nr_prices;
};

struct cfg_engine {
	int slots;
	int64_t memory_tokens;
	bool kv_movable; /* KV cache of a run can be moved */
};

struct cfg_service {
	char *name;
	char *health_path;
	int max_connections; /* that an endpoint takes from all entries */
	int gap_ms; /* the shortest that its routes allow; 0: none stated */
	bool has_engine;
	struct cfg_engine engine;
	bool has_scaling;
	struct cfg_scaling scaling;
};

struct cfg_key {
	char *text;
	size_t account; /* index in cfg.accounts */
};

struct cfg_account {
	char *name;
	bool has_priority;
	int priority;
	bool rate_in_tokens;   /* the rate counts tokens, else requests */
	double default_tokens; /* of a request that states none */
	double rate;	       /* a second, over all entries; 0: no limit */
	double burst;
};

struct cfg_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int header_ms; /* a caller may take so long to send a head */
	int idle_ms;   /* a connection may be idle so long */
};

struct cfg {
	unsigned refs;
	int64_t version;
	struct cfg_route *routes; /* by (host, prefix) */
	size_t nr_routes;
	struct cfg_service *services;
	size_t nr_services;
	struct cfg_account *accounts;
	size_t nr_accounts;
	struct cfg_key *keys; /* by text */
	size_t nr_keys;
	struct cfg_limits limits;
};

/* An empty configuration with one reference; fill it, then cfg_finalize it. */
struct cfg *cfg_create(void);

/* Sorts routes and keys for look-ups, and sums routes up in services. */
void cfg_finalize(struct cfg *c);

struct cfg *cfg_ref(struct cfg *c);
void cfg_put(struct cfg *c); /* NULL is allowed */

/*
 * The route of a host and path: of those of that host the one with the
 * longest prefix that begins the path. NULL if there is none.
 */
const struct cfg_route *cfg_route(const struct cfg *c, const char *host,
				  const char *path);

/* The account that holds a key, or NULL. */
const struct cfg_account *cfg_account(const struct cfg *c, const char *key);

const struct cfg_service *cfg_service(const struct cfg *c, const char *name);

#endif
