#include "model/speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Ratios are clipped to this and its inverse. Endpoints of one service differ
 * by less; a larger ratio is a stall or a prediction that was wrong.
 */
#define MAX_RATIO 4.0

/* Weight of the prior in intervals; see speed.h. */
#define PRIOR_INTERVALS 2.0

/*
 * Without samples for TRUSTED_MS, the factor approaches 1, and reaches it after
 * RETRIED_MS: an endpoint that gets no requests because it was slow is tried
 * again within seconds.
 */
#define TRUSTED_MS 1000.0
#define RETRIED_MS 5000.0

/* A row is sent for this long after the last sample. */
#define REPORTED_MS 5000

/* So many unusual reports are answered with a normal measurement. */
#define MIN_UNUSUAL_REPORTS 2

/* Most samples of a report that count within an interval. */
#define MAX_REPORT_SAMPLES 4.0

/* Difference of a factor that is logged. */
#define LOG_RATIO 1.25

/* Lowest rate of pauses that is reported although the factor is normal. */
#define MIN_PAUSE_RATE 0.2

/* The clock starts at 0 in tests; 0 means "never" in the state. */
static int64_t time_of(int64_t now)
{
	return now > 0 ? now : 1;
}

static double clip(double log_ratio)
{
	const double most = log(MAX_RATIO);

	return fmin(fmax(log_ratio, -most), most);
}

static bool is_normal(double factor)
{
	return factor <= SPD_NORMAL && factor * SPD_NORMAL >= 1;
}

/* Weight of what was measured then, 1 to 0. */
static double freshness(int64_t measured, int64_t now)
{
	const double age = (double)(now - measured);

	return age >= SPD_EXPIRE_MS ? 0
	       : age <= 0	    ? 1
				    : 1 - age / SPD_EXPIRE_MS;
}

/* ---- Measurements of this entry ---- */

static struct spd_interval *interval_at(struct spd *s, int64_t now)
{
	const int64_t number = now / SPD_INTERVAL_MS;
	struct spd_interval *i = &s->own[number % SPD_INTERVALS];

	if (i->number != number) {
		memset(i, 0, sizeof(*i));
		i->number = number;
	}
	s->own_ms = time_of(now);
	if (s->own_ms > s->newest_ms)
		s->newest_ms = s->own_ms;
	return i;
}

void spd_took(struct spd *s, double took_ms, double predicted_ms, int64_t now)
{
	struct spd_interval *i;

	if (!(took_ms > 0) || !(predicted_ms > 0) || !isfinite(took_ms) ||
	    !isfinite(predicted_ms))
		return;
	i = interval_at(s, now);
	i->log_sum += clip(log(took_ms / predicted_ms));
	i->samples++;
}

void spd_stream_ended(struct spd *s, bool paused, int64_t now)
{
	struct spd_interval *i = interval_at(s, now);

	i->streams++;
	i->paused += paused;
}

/* ---- Estimates ---- */

/* All that is known of an interval. */
struct summary {
	double log_sum, samples; /* ratios */
	double paused, streams;
	double weight;
};

/* A weighted value. */
struct item {
	double value, weight;
};

static bool is_current(const struct spd_interval *i, int64_t now)
{
	return (i->samples || i->streams) &&
	       i->number > now / SPD_INTERVAL_MS - SPD_INTERVALS;
}

static void add_own(const struct spd *s, struct summary *all, int64_t now)
{
	unsigned k;

	for (k = 0; k < SPD_INTERVALS; k++) {
		const struct spd_interval *i = &s->own[k];

		if (!is_current(i, now))
			continue;
		all[k].log_sum += i->log_sum;
		all[k].samples += i->samples;
		all[k].paused += i->paused;
		all[k].streams += i->streams;
		all[k].weight = freshness(i->number * SPD_INTERVAL_MS, now);
	}
}

static void add_reports(const struct spd *s, struct summary *all, int64_t now)
{
	unsigned k;

	for (k = 0; k < SPD_MAX_REPORTS; k++) {
		const struct spd_report *r = &s->reports[k];
		const int64_t number = r->measured_ms / SPD_INTERVAL_MS;
		struct summary *i = &all[number % SPD_INTERVALS];

		if (!r->source ||
		    number <= now / SPD_INTERVAL_MS - SPD_INTERVALS)
			continue;
		i->log_sum += r->log_factor * r->samples;
		i->samples += r->samples;
		i->paused += r->pause_rate * r->samples;
		i->streams += r->samples;
		i->weight = freshness(number * SPD_INTERVAL_MS, now);
	}
}

static int by_value(const void *a, const void *b)
{
	const double x = ((const struct item *)a)->value;
	const double y = ((const struct item *)b)->value;

	return (x > y) - (x < y);
}

/*
 * Weighted median; of two in the middle the one that is nearer to 0. Sorts
 * `all`.
 */
static double median(struct item *all, unsigned n)
{
	double total = 0, below = 0;
	unsigned i;

	for (i = 0; i < n; i++)
		total += all[i].weight;
	qsort(all, n, sizeof(*all), by_value);
	for (i = 0; i < n; i++) {
		below += all[i].weight;
		if (below > total / 2 ||
		    (below == total / 2 && all[i].value >= 0))
			return all[i].value;
	}
	return 0;
}

/* Median of the intervals and, with the weight `prior`, of 0. */
static double median_log(const struct summary *all, double prior)
{
	struct item items[SPD_INTERVALS + 1];
	unsigned n = 0, k;

	for (k = 0; k < SPD_INTERVALS; k++) {
		if (all[k].samples > 0)
			items[n++] = (struct item){
				all[k].log_sum / all[k].samples,
				all[k].weight,
			};
	}
	if (prior > 0)
		items[n++] = (struct item){ 0, prior };
	return median(items, n);
}

/*
 * Rate of streams with a pause, beyond what two intervals can explain: a single
 * stall delays all streams that run at the time.
 */
static double established_pauses(const struct summary *all)
{
	double paused = 0, weight = 0;
	unsigned k;

	for (k = 0; k < SPD_INTERVALS; k++) {
		if (!(all[k].streams > 0))
			continue;
		paused += all[k].weight * all[k].paused / all[k].streams;
		weight += all[k].weight;
	}
	paused -= PRIOR_INTERVALS;
	return paused > 0 ? paused / weight : 0;
}

void spd_update(struct spd *s, int64_t now)
{
	struct summary all[SPD_INTERVALS] = { 0 };

	if (!s->newest_ms || now - s->newest_ms >= SPD_EXPIRE_MS) {
		s->measured = s->pause_rate = 0;
		return;
	}
	add_own(s, all, now);
	add_reports(s, all, now);
	s->measured = exp(median_log(all, PRIOR_INTERVALS));
	s->pause_rate = established_pauses(all);
}

static int by_size(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double spd_usual(double *measured, size_t n)
{
	size_t i;

	if (!n)
		return 1;
	for (i = 0; i < n; i++) {
		if (!(measured[i] > 0))
			measured[i] = 1;
	}
	qsort(measured, n, sizeof(*measured), by_size);
	return measured[(n - 1) / 2];
}

static double without_noise(double factor)
{
	return is_normal(factor) ? 1 : factor;
}

void spd_set_usual(struct spd *s, double usual, int64_t now)
{
	const double idle = (double)(now - s->newest_ms) - TRUSTED_MS;
	double trust = 1 - idle / (RETRIED_MS - TRUSTED_MS);

	if (!(s->measured > 0)) {
		s->factor = s->last_factor = 0;
		return;
	}
	trust = fmin(fmax(trust, 0), 1);
	s->last_factor = without_noise(s->measured / usual);
	s->factor = without_noise(pow(s->measured / usual, trust));
}

bool spd_should_log(struct spd *s)
{
	const double old = s->logged_factor > 0 ? s->logged_factor : 1;
	const double new = spd_factor(s);

	if (new <= old * LOG_RATIO &&old <= new *LOG_RATIO)
		return false;
	s->logged_factor = new;
	return true;
}

/* ---- Reports ---- */

/* True if several entries reported an unusual speed. */
static bool is_doubted(const struct spd *s, int64_t now)
{
	unsigned n = 0, k;

	for (k = 0; k < SPD_MAX_REPORTS; k++) {
		const struct spd_report *r = &s->reports[k];

		n += r->source && now - r->measured_ms < REPORTED_MS &&
		     !is_normal(exp(r->log_factor));
	}
	return n >= MIN_UNUSUAL_REPORTS;
}

bool spd_export(const struct spd *s, struct spd_row *out, int64_t now)
{
	struct summary all[SPD_INTERVALS] = { 0 };
	double paused = 0, streams = 0;
	unsigned k;

	if (!s->own_ms || now - s->own_ms >= REPORTED_MS)
		return false;
	memset(out, 0, sizeof(*out));
	add_own(s, all, now);
	for (k = 0; k < SPD_INTERVALS; k++) {
		out->samples += all[k].weight * all[k].samples;
		paused += all[k].weight * all[k].paused;
		streams += all[k].weight * all[k].streams;
	}
	if (!(out->samples > 0))
		return false;
	out->factor = exp(median_log(all, 0));
	out->pause_rate = streams > 0 ? paused / streams : 0;
	out->age_ms = now - s->own_ms;
	return !is_normal(out->factor) || out->pause_rate > MIN_PAUSE_RATE ||
	       !is_normal(spd_factor(s)) || s->pause_rate > 0 ||
	       is_doubted(s, now);
}

double spd_difference(const struct spd_row *row)
{
	return fabs(log(row->factor)) + row->pause_rate;
}

static bool is_valid(const struct spd_row *row)
{
	return isfinite(row->factor) && row->factor > 0 &&
	       row->pause_rate >= 0 && row->pause_rate <= 1 &&
	       isfinite(row->samples) && row->samples > 0 && row->age_ms >= 0 &&
	       row->age_ms < SPD_EXPIRE_MS;
}

/* The report of this entry, else an unused one or the oldest. */
static struct spd_report *report_of(struct spd *s, uint64_t source)
{
	struct spd_report *oldest = &s->reports[0];
	unsigned k;

	for (k = 0; k < SPD_MAX_REPORTS; k++) {
		if (s->reports[k].source == source)
			return &s->reports[k];
		if (s->reports[k].measured_ms < oldest->measured_ms)
			oldest = &s->reports[k];
	}
	return oldest;
}

void spd_reported(struct spd *s, uint64_t source, const struct spd_row *row,
		  int64_t sent_ms, int64_t now)
{
	int64_t measured;
	struct spd_report *r;

	if (!is_valid(row))
		return;
	measured = sent_ms - row->age_ms;
	if (measured > now)
		measured = now;
	if (measured <= 0 || now - measured >= SPD_EXPIRE_MS)
		return;
	r = report_of(s, source);
	if (r->source != source && measured <= r->measured_ms)
		return;
	*r = (struct spd_report){
		.source = source,
		.measured_ms = measured,
		.log_factor = clip(log(row->factor)),
		.pause_rate = row->pause_rate,
		.samples = fmin(row->samples, MAX_REPORT_SAMPLES),
	};
	if (measured > s->newest_ms)
		s->newest_ms = measured;
}
