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
	char name[CONF_NAME_SIZE];
	char zone[CONF_NAME_SIZE];
	char region[CONF_NAME_SIZE];
	char ip[CONF_NAME_SIZE];
	bool first_start; /* of the whole system: no earlier state exists */
	struct {
		char callers[CONF_ADDRESS_SIZE];
		char ready[CONF_ADDRESS_SIZE];
		char lookup[CONF_ADDRESS_SIZE];
	} listen;
	int64_t first_internal_port; /* for traffic between entries; 0: any */
	struct {
		char address[CONF_ADDRESS_SIZE];
		/* Rates that the store sustains for all entries together. */
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
	} limits; /* of this process */
	/* Bounds that the entries together guarantee. */
	struct {
		double drain_ms; /* until a draining endpoint is avoided */
		double grace_s;	 /* from SIGTERM to the kill */
		double apply_ms; /* until a changed configuration is in force */
		double revoke_ms;      /* until a revoked key is refused */
		double retry_ratio;    /* retries per request */
		double retry_window_s; /* over which retries are counted */
		double retry_slack;    /* further retries in a window */
		double limit_overrun;  /* over an account's limit, as a part */
		double limit_slack;    /* the same as an amount */
		double lease_ms; /* in which a duty holder may still act */
		double usage_window_s; /* length of a usage window */
		double usage_late_s;   /* after it, until the report is due */
		/* Exposure limit of a new version; share 0: no roll-outs. */
		double exposure_share;
		double exposure_slack;
		/* Refuse requests whose keys were not confirmed lately. */
		bool strict_revoke;
	} bounds;
	double list_ttl_s; /* maximum TTL of a look-up's answer */
	/*
	 * Mechanisms that can be switched off one by one, to measure the
	 * effect of one or while it is suspected of a fault. Without `moves`
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
		bool price_cover;   /* spot endpoints beyond need, by price */
		bool loss_cover;    /* stand-by capacity for the next reclaim */
		bool ease;	    /* drain on-demand endpoints one by one */
		bool carry_plan;    /* start from the former holder's plan */
	} policy;
};

/*
 * Reads and validates a settings file. Returns 0, or -1 with a one-line error;
 * `out` is then unchanged. Settings that are not in the file get defaults.
 */
int conf_load(const char *path, struct conf *out, struct err *e);

#endif
