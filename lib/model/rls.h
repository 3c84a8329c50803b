/*
 * rls: recursive least squares with forgetting: a linear model that is fitted
 * one sample at a time, in constant memory and time.
 *
 * A sample that is far off what is usual moves the model no further than one
 * at the edge of the usual would: an endpoint that crashed, a pause of our own
 * process or a caller that does not read must not tip it. If all samples are
 * far off, the edge itself moves out, and the model follows within some tens
 * of samples.
 */
#ifndef RLS_H
#define RLS_H

#include <stdbool.h>

#define RLS_MAX 4

struct rls {
	unsigned n; /* of coefficients */
	double coef[RLS_MAX];
	double cov[RLS_MAX][RLS_MAX]; /* in units of a sample's variance */
	double max_cov[RLS_MAX];      /* that its diagonal grows to */
	double typical_error; /* usual distance of a sample, fading; 0: none yet */
	double samples;
};

/*
 * Begins with `prior` and, for each coefficient, how far from it the truth
 * may well lie (same units, above 0).
 */
void rls_init(struct rls *m, unsigned n, const double *prior,
	      const double *spread);

double rls_predict(const struct rls *m, const double *x);

/*
 * Learns that `x` gave `y`. `weight`: 1 for a sure sample, less for one of
 * which the circumstances are doubtful.
 */
void rls_learn(struct rls *m, const double *x, double y, double weight);

/*
 * Takes over coefficients and the usual distance that were fitted elsewhere
 * from `samples` samples, if our own are few and fewer; later samples correct
 * them. Returns true if it did.
 */
bool rls_adopt(struct rls *m, const double *coef, double off, double samples);

#endif
