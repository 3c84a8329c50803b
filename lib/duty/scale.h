/*
 * scale: how many endpoints of a service to order in each zone.
 *
 * Spot endpoints cost a fraction of on-demand ones, but a whole zone of them
 * can be reclaimed at two seconds' notice, several zones in a row, with no
 * capacity available for many seconds. So most are spot, spread over all zones;
 * on-demand ones are ordered for as long as spot ones are missing. No endpoint
 * that runs is removed before its successor serves.
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
	int on_demand, spot;		       /* usable now, by kind */
	int on_demand_starting, spot_starting; /* granted, still starting */
	int on_demand_other_version,
		spot_other_version; /* of other versions; not part of the plan */
	int64_t no_on_demand_until_ms,
		no_spot_until_ms;      /* unavailable until; 0: available */
	int want_on_demand, want_spot; /* the plan */
};

struct scale_input {
	int min, max;	   /* of both kinds together, in each zone */
	double need;	   /* endpoints that are planned for */
	double busy;	   /* of them, those that the load keeps busy */
	bool no_load_yet;  /* no request has come yet */
	int min_on_demand; /* of on-demand ones (see scale_limit_drain) */
	double spot_price; /* as part of the price; 0: no spot ones */
	int64_t now_ms;
	bool price_cover; /* more spot ones than needed, by price */
	bool loss_cover;  /* stand by for the next reclaim */
	bool ease;	  /* on-demand ones drain one after the other */
};

/* Endpoints that the load keeps busy, carried from sample to sample. */
struct scale_need {
	double need;	 /* 0: not known yet */
	double baseline; /* the same while endpoints were not crowded, fading */
	bool load_seen;	 /* some load was seen */
};

/*
 * Takes in a sample of the load: it keeps `load` endpoints busy, and `usable`
 * are there. `first` is taken for the need until there was some load.
 *
 * The need rises at once and falls slowly. After a reclaim requests queue at
 * the endpoints that are left; that is no load of the callers. So while
 * endpoints are crowded the need is bounded by the usual one.
 */
void scale_update_need(struct scale_need *n, double load, int usable,
		       double first);

/*
 * On-demand endpoints drain one after the other: their successors begin with
 * empty prompt caches, and reading all shared prefixes at once would stall
 * everyone. `held` is carried from sample to sample; returns the new figure,
 * which is the next min_on_demand.
 */
double scale_limit_drain(double held, int wanted, int64_t since_ms);

/* Fills in want_on_demand and want_spot of each zone. */
void scale_plan(const struct scale_input *in, struct scale_zone *zones,
		size_t nr_zones);

#endif
