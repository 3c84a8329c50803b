#include "rollout/verdict.h"

#include <math.h>

/* Fractions of bad answers assumed by the hypotheses. */
static const double bad_fractions[] = { 0.15, 0.35, 0.7 };
#define NR_FRACTIONS (sizeof(bad_fractions) / sizeof(bad_fractions[0]))

/* Routes tested separately; further ones are ignored. */
#define MAX_ROUTES 32

/*
 * Prior for the baseline's rate of bad answers, as a number of pseudo-answers.
 */
#define PRIOR_BAD 0.02
#define PRIOR_ANSWERS 25.0

/* Tolerated excess over the baseline, since endpoints differ. */
#define TOLERATED_FACTOR 1.5
#define TOLERATED_RATE 0.01

/* Minimum groups needed for a verdict, if there are as many endpoints. */
#define MIN_GROUPS 3

/* Maximum evidence from broken connections of one group. */
#define MAX_BROKEN_EVIDENCE 1.0

/* Kinds of bad answers, tested separately. */
enum fault {
	FAILED,
	LATE, /* of those that did not fail */
	NR_FAULTS,
};

struct routes {
	uint32_t hash[MAX_ROUTES];
	double rate[MAX_ROUTES][NR_FAULTS]; /* of the baseline */
	unsigned n;
};

/* Hypothesis: a fraction of the answers on a route is bad. */
struct hypothesis {
	enum fault fault;
	unsigned route; /* index in routes; routes.n: all routes */
	double fraction;
};

static double complete_answers(const struct tal_row *row, enum fault f)
{
	return row->answered - row->broken - (f == LATE ? row->failed : 0);
}

static double bad_answers(const struct tal_row *row, enum fault f)
{
	return f == LATE ? row->late : row->failed;
}

/* Index of the route; routes.n if it is not tested separately. */
static unsigned route_index(const struct routes *r, uint32_t hash)
{
	unsigned i;

	for (i = 0; i < r->n; i++) {
		if (r->hash[i] == hash)
			break;
	}
	return i;
}

/* True if the baseline's row counts in the rate of bad answers of the route. */
static bool is_baseline_of(const struct tal_row *row, uint32_t route,
			   enum fault f)
{
	return row->group == TAL_BASELINE &&
	       (row->route == route ||
		(f != LATE && row->route == tal_full_route(route)));
}

static double baseline_rate(const struct tal *t, uint32_t route, enum fault f)
{
	double answered = PRIOR_ANSWERS, bad = PRIOR_ANSWERS * PRIOR_BAD;
	double rate;
	unsigned i;

	for (i = 0; i < t->nr_rows; i++) {
		if (!is_baseline_of(&t->rows[i], route, f))
			continue;
		answered += complete_answers(&t->rows[i], f);
		bad += bad_answers(&t->rows[i], f);
	}
	rate = bad / answered * TOLERATED_FACTOR + TOLERATED_RATE;
	return rate < 0.9 ? rate : 0.9;
}

static void find_routes(const struct tal *t, struct routes *r)
{
	unsigned i, f;

	r->n = 0;
	for (i = 0; i < t->nr_rows; i++) {
		if (t->rows[i].group == TAL_BASELINE || r->n == MAX_ROUTES ||
		    route_index(r, t->rows[i].route) < r->n)
			continue;
		r->hash[r->n] = t->rows[i].route;
		for (f = 0; f < NR_FAULTS; f++)
			r->rate[r->n][f] =
				baseline_rate(t, t->rows[i].route, f);
		r->n++;
	}
}

/* Log of the likelihood ratio of a hypothesis for one row. */
static double log_likelihood_ratio(const struct tal_row *row, double rate,
				   const struct hypothesis *h)
{
	const double bad_rate = rate + h->fraction * (1 - rate);
	const double bad = bad_answers(row, h->fault);
	const double good = complete_answers(row, h->fault) - bad;

	return bad * log(bad_rate / rate) +
	       good * log((1 - bad_rate) / (1 - rate));
}

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

/*
 * Log of the likelihood ratio over all rows. Each group contributes at most
 * `max_group`, and at most MAX_BROKEN_EVIDENCE for broken connections.
 */
static double log_evidence(const struct tal *t, const struct routes *r,
			   const struct hypothesis *h, double max_group)
{
	double of_group[TAL_GROUPS + 1] = { 0 };
	double broken[TAL_GROUPS + 1] = { 0 };
	double sum = 0;
	unsigned i, at;

	for (i = 0; i < t->nr_rows; i++) {
		const struct tal_row *row = &t->rows[i];

		if (row->group == TAL_BASELINE || row->group > TAL_GROUPS)
			continue;
		at = route_index(r, row->route);
		if (at == r->n || (h->route < r->n && at != h->route))
			continue;
		of_group[row->group] +=
			log_likelihood_ratio(row, r->rate[at][h->fault], h);
		broken[row->group] += row->broken;
	}
	for (i = 1; i <= TAL_GROUPS; i++) {
		sum += min_of(of_group[i], max_group);
		sum += min_of(broken[i], MAX_BROKEN_EVIDENCE);
	}
	return sum;
}

/*
 * Maximum evidence from one group: not sufficient by itself unless there is
 * only one endpoint.
 */
static double max_group_evidence(double required, unsigned endpoints)
{
	const unsigned groups = endpoints < MIN_GROUPS ? endpoints : MIN_GROUPS;

	return required / (groups > 1 ? groups - 0.5 : 1);
}

struct vdt vdt_evaluate(const struct tal *t, unsigned endpoints)
{
	struct vdt v = { .evidence = 0 };
	struct hypothesis h;
	double max_group, sum = 0;
	struct routes r;
	unsigned k, n;

	find_routes(t, &r);
	n = (r.n + 1) * NR_FRACTIONS * NR_FAULTS;
	/* log(n): a single one of n hypotheses may provide all evidence. */
	max_group =
		max_group_evidence(log(VDT_FALSE_ALARMS) + log(n), endpoints);
	for (h.fault = 0; h.fault < NR_FAULTS; h.fault++) {
		for (h.route = 0; h.route <= r.n; h.route++) {
			for (k = 0; k < NR_FRACTIONS; k++) {
				h.fraction = bad_fractions[k];
				sum += exp(log_evidence(t, &r, &h, max_group)) /
				       n;
			}
		}
	}
	v.evidence = log(sum);
	v.worse = v.evidence >= log(VDT_FALSE_ALARMS);
	return v;
}
