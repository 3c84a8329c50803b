/*
 * scale: how many endpoints of a service to order in each zone.
 *
 * Reclaimable endpoints cost a fraction of the others, but a whole zone of
 * them can go at two seconds' notice, several zones in a row, with nothing
 * to be had for many seconds. So the least that the load needs stands on
 * ones that stay, in the cheapest zones, and the rest on reclaimable ones
 * spread over all zones.
 */
#ifndef SCALE_H
#define SCALE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SCALE_ZONES 16
#define SCALE_NAME 64

struct scale_zone {
	char name[SCALE_NAME];
	double price;
	int firm, spot; /* usable endpoints of each kind now */
	int64_t firm_dry_ms, spot_dry_ms; /* nothing to be had before */
	int want_firm, want_spot;	  /* the plan */
};

struct scale_input {
	int min, max;	   /* of both kinds together, in each zone */
	double need;	   /* endpoints that the load keeps busy */
	double spot_price; /* as part of the price; 0: none to be had */
	int64_t now_ms;
};

/* Fills in want_firm and want_spot of each zone. */
void scale_plan(const struct scale_input *in, struct scale_zone *zones,
		size_t nr_zones);

#endif
