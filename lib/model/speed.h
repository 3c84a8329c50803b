/*
 * spd (speed): how long one endpoint takes, relative to the model of its
 * service (svc.h), and how many of its streams pause for too long.
 *
 * A sample is the ratio of a measured to a predicted time. Samples are grouped
 * by intervals of half a second, and an interval counts the same whether it has
 * one sample or many. The factor is the weighted median of the intervals and of
 * a prior at 1 that weighs as much as two intervals: what happens within half a
 * second touches at most two and never outweighs the prior, while three samples
 * in three intervals do. Weights fall to 0 within SPD_EXPIRE_MS.
 *
 * Other entries report what they measured themselves. A report replaces the
 * former one of the same entry, so that its samples count once.
 *
 * Pure: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef SPEED_H
#define SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SPD_EXPIRE_MS 10000
#define SPD_INTERVAL_MS 500
#define SPD_INTERVALS (SPD_EXPIRE_MS / SPD_INTERVAL_MS)

/*
 * Reports that are kept, the newest of different entries. An endpoint answers
 * some five requests per second for all entries: these are three seconds.
 */
#define SPD_MAX_REPORTS 16

/* Factors up to this, or its inverse, count as 1. */
#define SPD_NORMAL 1.2

/* An entry's own samples of an interval. */
struct spd_interval {
	int64_t number; /* time / SPD_INTERVAL_MS */
	double log_sum; /* of the ratios' logarithms */
	unsigned samples;
	unsigned streams, paused;
};

/* What another entry measured. */
struct spd_report {
	uint64_t source; /* the entry; not 0 */
	int64_t measured_ms;
	double log_factor;
	double pause_rate; /* 0 to 1 */
	double samples;
};

/* All zero: nothing is known of the endpoint. */
struct spd {
	struct spd_interval own[SPD_INTERVALS]; /* by number modulo size */
	struct spd_report reports[SPD_MAX_REPORTS];
	int64_t own_ms;	   /* last own sample; 0: none */
	int64_t newest_ms; /* last sample of any entry; 0: none */

	/* Results of spd_update(); 0: no data. */
	double measured; /* time factor relative to the model */
	/*
	 * The same relative to the service's usual factor; 1 if it is within
	 * SPD_NORMAL. It approaches 1 while there are no new samples.
	 */
	double factor;
	/* The same as far as it is known, however long ago within the expiry. */
	double last_factor;
	double pause_rate;    /* streams with a pause beyond their bound */
	double logged_factor; /* see spd_should_log() */
};

/* ---- Measurements of this entry ---- */

/* Adds a measured time. Ignored unless both times are positive and finite. */
void spd_took(struct spd *s, double took_ms, double predicted_ms,
	      int64_t now_ms);

/* A stream ended; `paused`: it had a pause beyond its bound. */
void spd_stream_ended(struct spd *s, bool paused, int64_t now_ms);

/* ---- Reports ---- */

/* An entry's own measurements, as sent to others. */
struct spd_row {
	double factor, pause_rate, samples;
	int64_t age_ms;
};

/*
 * Fills in this entry's own measurements. Returns false if there is nothing to
 * report: no recent sample, or these are normal, and so are the merged figures
 * and all reports of others but one. Normal measurements have to be told
 * otherwise, since unusual ones alone would seem to be the endpoint's speed.
 */
bool spd_export(const struct spd *s, struct spd_row *out, int64_t now_ms);

/* How much a row differs from a normal one, for the order of rows. */
double spd_difference(const struct spd_row *row);

/*
 * Takes over what the entry `source` reported at `sent_ms`. Rows with figures
 * that are not finite or out of range are ignored.
 */
void spd_reported(struct spd *s, uint64_t source, const struct spd_row *row,
		  int64_t sent_ms, int64_t now_ms);

/* ---- Results ---- */

/* Computes `measured` and `pause_rate` from all samples and reports. */
void spd_update(struct spd *s, int64_t now_ms);

/*
 * Returns the usual factor of a service, the median of `n` endpoints'
 * `measured`; 0 counts as 1. Sorts the array. If all endpoints become slower,
 * the model has to learn it; the factor tells one endpoint from the others.
 */
double spd_usual(double *measured, size_t n);

/* Computes `factor` relative to the usual one. */
void spd_set_usual(struct spd *s, double usual, int64_t now_ms);

/* Returns `factor`, or 1 if there is no data. */
static inline double spd_factor(const struct spd *s)
{
	return s->factor > 0 ? s->factor : 1;
}

/*
 * Returns the factor that was measured last, or 1. An endpoint that was slow is
 * tried again soon (see `factor`), but not with requests that delay others.
 */
static inline double spd_last_factor(const struct spd *s)
{
	return s->last_factor > 0 ? s->last_factor : 1;
}

/* True if the endpoint is slower than SPD_NORMAL. */
static inline bool spd_is_slow(const struct spd *s)
{
	return s->factor > SPD_NORMAL;
}

/*
 * Returns true if the factor differs by more than a quarter from the one at the
 * last call that returned true (at first: from 1).
 */
bool spd_should_log(struct spd *s);

#endif
