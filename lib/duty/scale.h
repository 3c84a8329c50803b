/*
 * scale: how many endpoints of a service to order in each zone.
 *
 * Reclaimable endpoints cost a fraction of the others, but a whole zone of
 * them can go at two seconds' notice, several zones in a row, with none to
 * be had for many seconds. So many reclaimable ones are kept, spread over
 * all zones, and few that stay, in the cheapest zones; when zones of the
 * former go, others that stay are ordered for as long as they are missing.
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
	int firm, spot;		      /* usable now, by kind */
	int firm_coming, spot_coming; /* ordered, within their start-up time */
	int64_t firm_dry_ms, spot_dry_ms; /* none to be had before; 0: never */
	int want_firm, want_spot;	  /* the plan */
};

struct scale_input {
	int min, max;	   /* of both kinds together, in each zone */
	double need;	   /* endpoints that are planned for */
	double busy;	   /* of them, those that the load keeps busy */
	bool idle;	   /* no request has come yet */
	int firm_least;	   /* that stay: not below this (see scale_ease) */
	double spot_price; /* as part of the price; 0: none to be had */
	int64_t now_ms;
	bool price_cover; /* more reclaimable ones than needed, by price */
	bool loss_cover;  /* stand by for the next loss while none are had */
	bool ease;	  /* those that stay leave one after the other */
};

/* How many endpoints the load keeps busy, carried from look to look. */
struct scale_need {
	double need;  /* 0: not known yet */
	double usual; /* the same while endpoints were not crowded, fading */
	bool loaded;  /* some load was seen */
};

/*
 * A look at the load: it keeps `load` endpoints busy, and `usable` are there.
 * `first` is taken for the need until some load was seen.
 *
 * The need rises at once and falls slowly. When zones of endpoints go,
 * requests pile up on those that are left: many run, and each for long. That
 * is no load of the callers, and ordering for it bought sixty endpoints that
 * stay where fifteen were needed. So while endpoints are crowded the need is
 * bound by what is usual.
 */
void scale_look(struct scale_need *n, double load, int usable, double first);

/*
 * Those that stay leave one after the other: the ones that take over begin
 * with empty prompt caches, and reading all shared parts anew at once stops
 * everybody. `held` is carried from look to look; returns the new figure,
 * which is the next firm_least.
 */
double scale_ease(double held, int wanted, int64_t since_ms);

/* Fills in want_firm and want_spot of each zone. */
void scale_plan(const struct scale_input *in, struct scale_zone *zones,
		size_t nr_zones);

#endif
