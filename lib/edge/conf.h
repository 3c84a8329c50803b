/*
 * conf: the settings of an entry (configuration file), JSON with comments.
 *
 * Unknown names, wrong types and numbers out of range are errors that give
 * line and column. docs/SETTINGS.md documents all settings.
 */
#ifndef CONF_H
#define CONF_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

#define CONF_NAME_SIZE 64    /* bytes, with the final NUL */
#define CONF_ADDRESS_SIZE 32 /* bytes of IP:PORT, with the final NUL */
#define CONF_MAX_DUTIES 8    /* names in cloud.duties */

/* Members have the names of the settings, except as noted. */
struct conf {
	char name[CONF_NAME_SIZE]; /* of this entry, unique */
	char zone[CONF_NAME_SIZE];
	char region[CONF_NAME_SIZE];
	char ip[CONF_NAME_SIZE]; /* for traffic between entries */
	bool first_start; /* of the whole system: no earlier state exists */
	/* Listeners for requests, readiness checks and look-ups of entries. */
	struct {
		char callers[CONF_ADDRESS_SIZE];
		char ready[CONF_ADDRESS_SIZE];
		char lookup[CONF_ADDRESS_SIZE];
	} listen;
	int64_t first_internal_port; /* for traffic between entries; 0: any */
	struct {
		char address[CONF_ADDRESS_SIZE];
		/* Calls/s that the store sustains for all entries together. */
		int64_t writes_per_s, reads_per_s;
		int64_t min_lease_ms;
	} store;
	struct {
		char address[CONF_ADDRESS_SIZE]; /* "": no duties */
		bool usage, scaling;		 /* listed in cloud.duties */
		double calls_per_s;		 /* duty_calls_per_s */
	} cloud;
	struct {
		int64_t memory_mb;
		int64_t descriptors;
		double link_mbps; /* of the network link, Mbit/s */
	} limits;		  /* of this process */
	/* Bounds that the entries together guarantee. */
	struct {
		/* Until a draining endpoint gets no new requests. */
		double drain_ms;
		double grace_s;	 /* from SIGTERM to the kill */
		double apply_ms; /* until a changed configuration is in force */
		double revoke_ms;      /* until a revoked key is refused */
		double retry_ratio;    /* retries per request */
		double retry_window_s; /* window of the retry budget */
		double retry_slack;    /* further retries per window */
		/*
		 * Tolerated excess over an account's limit: relative to its
		 * rate, and an absolute number of requests or tokens.
		 */
		double limit_overrun;
		double limit_slack;
		/* How long a former duty holder may still act. */
		double lease_ms;
		double usage_window_s; /* length of a usage window */
		double usage_late_s; /* from its end until the report is due */
		/*
		 * Exposure limit of a new version: a share of the requests from
		 * a roll-out's order to its deadline, and requests beyond that.
		 * Share 0: no roll-outs.
		 */
		double exposure_share;
		double exposure_slack;
		/* Refuse requests while keys are not confirmed (revoke_ms). */
		bool strict_revoke;
	} bounds;
	double list_ttl_s; /* TTL of a look-up's answer; at most 2 s */
	/*
	 * Mechanisms that can be switched off one by one, to see the effect
	 * of one, or while one is suspected of a fault. Without `moves`
	 * streams on leaving endpoints may be cut; no other guarantee depends
	 * on one of them.
	 */
	struct {
		bool affinity;	    /* route by prefix cache */
		bool learn;	    /* fit the services' models to answers */
		bool told_models;   /* adopt models from other entries */
		bool mean_reports;  /* average peers' reports of load */
		bool avoid_failing; /* count failures in an endpoint's cost */
		bool sample;	    /* consider a random sample of endpoints */
		bool urgency;	    /* send priorities to engines */
		bool moves;	    /* migrate streams off leaving endpoints */
		bool price_cover;   /* spare spot endpoints, more if cheap */
		bool loss_cover;    /* spare endpoints for a zone's reclaim */
		bool two_zones;	    /* and for two in a row */
		bool ease;	    /* drain on-demand endpoints one by one */
		bool carry_plan;    /* start from the former holder's plan */
		bool offered_load;  /* plan by what clients offer */
		bool admission;	    /* reject requests under congestion */
		bool speeds;	    /* measure the speeds of endpoints */
		bool slow_start;    /* few requests to new endpoints */
		/* Entries up to which each exchanges gossip with each. */
		int64_t max_mesh;
	} policy;
};

/*
 * Reads and validates a settings file. Returns 0, or -1 with a one-line error;
 * `out` is then unchanged. Settings that are not in the file get defaults.
 */
int conf_load(const char *path, struct conf *out, struct err *e);

#endif
