/*
 * scale: plans how many spot and on-demand endpoints of a service to order in
 * each zone.
 *
 * Spot endpoints cost a fraction of on-demand ones, but a whole zone of them
 * can be reclaimed at two seconds' notice, several zones in a row, with no
 * capacity available for many seconds. So most endpoints are spot, spread over
 * all zones, and on-demand ones are ordered for as long as spot capacity is
 * missing. No running endpoint is removed before its replacement serves.
 *
 * Pure functions: no I/O, the clock is passed in.
 */
#ifndef SCALE_H
#define SCALE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SCALE_ZONES 16 /* zones of one plan */
#define SCALE_NAME 64  /* buffer size of a name, bytes */

/* Endpoints of one service in one zone, and the plan for them. */
struct scale_zone {
	char name[SCALE_NAME];
	double price;			       /* relative to other zones */
	int on_demand, spot;		       /* usable now, by kind */
	int on_demand_starting, spot_starting; /* granted, not usable yet */
	/* Usable endpoints of other versions; not part of the plan. */
	int on_demand_other_version, spot_other_version;
	/* Orders are refused for lack of capacity until then; 0: available. */
	int64_t no_on_demand_until_ms, no_spot_until_ms;
	int want_on_demand, want_spot; /* the plan, output */
};

struct scale_input {
	int min, max;	   /* endpoints of both kinds, in each zone */
	double need;	   /* endpoints to plan for */
	double busy;	   /* endpoints that the load kept busy of late, at most
			 `need` */
	double load;	   /* endpoints that it keeps busy now */
	bool no_load_yet;  /* no request has arrived yet */
	int min_on_demand; /* lower bound; see scale_limit_drain() */
	double spot_price; /* relative to the on-demand price; 0: no spot */
	int64_t now_ms;
	bool price_cover; /* order spare spot endpoints, more if cheap */
	bool loss_cover;  /* keep spare endpoints for the next zone reclaim */
	bool two_zones;	  /* and for the one after it */
	bool ease;	  /* drain on-demand endpoints one after the other */
};

/* Endpoints that the load keeps busy, smoothed over samples. */
struct scale_need {
	double need;	    /* endpoints; 0: no sample yet */
	double baseline;    /* moving average of the load while not crowded */
	bool load_seen;	    /* a sample had load */
	double peak;	    /* highest load of late; 0 in a new holder */
	unsigned nr_loaded; /* samples with load, in this holder */
};

/*
 * Updates `n` by a sample: `load`, the endpoints that the load keeps busy, and
 * `usable`, the endpoints that exist. Until there was any load the need is
 * `initial`.
 *
 * The need rises at once and falls slowly. After a reclaim, requests queue at
 * the remaining endpoints, and that queue is not client load. So while
 * endpoints are crowded, the need is bounded by a multiple of the baseline.
 *
 * `initial` may be far too high: it is derived from what the service may have
 * at most. So once there was load for some seconds, the need is bounded by a
 * multiple of the highest load as well.
 */
void scale_update_need(struct scale_need *n, double load, int usable,
		       double initial);

/*
 * Limits how fast on-demand endpoints drain: replacements start with empty
 * prefix caches, and if all of them read the shared prefixes at once, every
 * request would stall. `held`: the previous result; `wanted`: on-demand
 * endpoints that the plan asks for; `since_ms`: time since the previous call.
 * Returns the new lower bound, to be used as min_on_demand.
 */
double scale_limit_drain(double held, int wanted, int64_t since_ms);

/* An order that was accepted, and the number to be ordered next. */
struct scale_change {
	int accepted; /* -1: none */
	int wanted;
	int running;		/* of that kind in that zone */
	int64_t since_order_ms; /* since the order was accepted */
};

/*
 * True if the wanted number is to be ordered now. Small changes are put off, so
 * that a plan that changes by one endpoint several times a second does not
 * become as many orders: by one or less than a tenth, unless endpoints are
 * missing.
 */
bool scale_order_due(const struct scale_change *c);

/* Sets want_on_demand and want_spot of each of the `nr_zones` zones. */
void scale_plan(const struct scale_input *in, struct scale_zone *zones,
		size_t nr_zones);

#endif
