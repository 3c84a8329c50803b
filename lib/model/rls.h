/*
 * rls: recursive least squares with a forgetting factor: fits a linear model
 * one sample at a time, in constant memory and time.
 *
 * Errors are clipped, so that an outlier moves the model no further than a
 * sample with the typical error. Outliers come from crashed endpoints, pauses
 * of our own process and clients that don't read. If all samples are far off,
 * the typical error grows, and the model follows within some tens of samples.
 *
 * Not thread-safe; performs no I/O.
 */
#ifndef RLS_H
#define RLS_H

#include <stdbool.h>

#define RLS_MAX 4 /* coefficients of a model */

struct rls {
	unsigned n;		      /* number of coefficients */
	double coef[RLS_MAX];	      /* current estimate */
	double cov[RLS_MAX][RLS_MAX]; /* in units of a sample's variance */
	double max_cov[RLS_MAX];      /* bounds of the diagonal of cov */
	double typical_error; /* moving average of a sample's absolute error;
				 0: no sample yet */
	double samples;	      /* effective number, with forgetting */
};

/*
 * Initializes a model with `n` coefficients, 1 to RLS_MAX. `prior`: their
 * initial values; `spread`: for each, the plausible distance of the true value
 * from the prior, in the same unit, above 0.
 */
void rls_init(struct rls *m, unsigned n, const double *prior,
	      const double *spread);

/* Returns the predicted value for the `n` features `x`. */
double rls_predict(const struct rls *m, const double *x);

/*
 * Updates the model by a sample: features `x`, value `y`. `weight`: 1 for a
 * reliable sample, less if a feature is uncertain. Ignores the sample if `y` is
 * not finite or `weight` not above 0.
 */
void rls_learn(struct rls *m, const double *x, double y, double weight);

/*
 * Replaces the coefficients and the typical error by those of another model,
 * fitted from `samples` samples, if our own samples are few and fewer than
 * that. Later samples still correct them. Rejects figures that are not finite.
 * Returns true if the model was replaced.
 */
bool rls_adopt(struct rls *m, const double *coef, double typical_error,
	       double samples);

#endif
