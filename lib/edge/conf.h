/*
 * conf: the settings of an entry on the platform, JSON with comments.
 *
 * Unknown names, wrong types and figures out of range are errors with line
 * and column; docs/SETTINGS.md lists all of them.
 */
#ifndef CONF_H
#define CONF_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

#define CONF_NAME_SIZE 64
#define CONF_ADDRESS_SIZE 32
#define CONF_MAX_DUTIES 8

struct conf {
	char name[CONF_NAME_SIZE];
	char zone[CONF_NAME_SIZE];
	char region[CONF_NAME_SIZE];
	char ip[CONF_NAME_SIZE];
	bool first_start; /* of the whole system: nothing was there before */
	struct {
		char callers[CONF_ADDRESS_SIZE];
		char ready[CONF_ADDRESS_SIZE];
		char lookup[CONF_ADDRESS_SIZE];
	} listen;
	int64_t first_internal_port; /* of the entries' own traffic */
	struct {
		char address[CONF_ADDRESS_SIZE];
		int64_t writes_per_s, reads_per_s;
		int64_t min_lease_ms;
	} store;
	struct {
		char address[CONF_ADDRESS_SIZE]; /* "": no duties */
		bool usage, scaling;
		double calls_per_s;
	} cloud;
	struct {
		int64_t memory_mb;
		int64_t descriptors;
	} limits;
	struct {
		double drain_ms;
		double grace_s;
		double apply_ms;
		double revoke_ms;
		double retry_ratio;
		double retry_window_s;
		double retry_slack;
		double limit_overrun;
		double limit_slack;
		double lease_ms;
		double usage_window_s;
		double usage_late_s;
		/* Exposure limit of a new version; a share of 0 disables roll-outs. */
		double exposure_share;
		double exposure_slack;
		bool strict_revoke;
	} bounds;
	double list_ttl_s;
	/*
	 * Mechanisms that decide, each of which can be switched off: to see
	 * what it is worth, or while it is suspected of a fault. Without
	 * `moves` streams on endpoints that leave may be cut; no other promise
	 * rests on one of them.
	 */
	struct {
		bool affinity;
		bool learn;
		bool told_models;
		bool mean_reports;
		bool avoid_failing;
		bool sample;
		bool urgency;
		bool moves;
		bool price_cover;
		bool loss_cover;
		bool ease;
		bool carry_plan;
	} policy;
};

/* Reads and checks a file. Returns 0, or -1 with one clear line. */
int conf_load(const char *path, struct conf *out, struct err *e);

#endif
