#include "model/rls.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/*
 * Forgetting factor: about the last two hundred samples count. An entry gets
 * some ten streams a second, so the model follows a change of an engine's
 * weights within seconds.
 */
#define FORGETTING 0.995

/*
 * Errors are clipped to this multiple of the typical error. Times have a long
 * tail on one side; with 1 the model is near their median.
 */
#define SAMPLE_CLIP 1.0

/* For the typical error itself, errors are clipped to this multiple of it. */
#define ERROR_CLIP 3.0

/* Smoothing factor of the typical error: about the last twenty samples. */
#define ERROR_SMOOTHING 0.05

/* With fewer samples the typical error is unknown, and nothing is clipped. */
#define MIN_CLIP_SAMPLES 8.0

/* With fewer samples of our own, a model with more samples is adopted. */
#define FEW_SAMPLES 20.0

/*
 * Assumed standard deviation of a sample, ms, relative to which the prior's
 * spread is weighted: the time of one or two decode steps.
 */
#define SAMPLE_STDDEV_MS 20.0

/*
 * Variance of adopted coefficients as a fraction of the prior's. It is set, not
 * reduced, by each adoption: if it shrank each time, later samples could not
 * correct the coefficients any more.
 */
#define ADOPTED_VARIANCE 0.25

void rls_init(struct rls *m, unsigned n, const double *prior,
	      const double *spread)
{
	unsigned i;

	assert(n && n <= RLS_MAX);
	memset(m, 0, sizeof(*m));
	m->n = n;
	for (i = 0; i < n; i++) {
		m->coef[i] = prior[i];
		m->max_cov[i] = spread[i] * spread[i] /
				(SAMPLE_STDDEV_MS * SAMPLE_STDDEV_MS);
		m->cov[i][i] = m->max_cov[i];
	}
}

double rls_predict(const struct rls *m, const double *x)
{
	double y = 0;
	unsigned i;

	for (i = 0; i < m->n; i++)
		y += m->coef[i] * x[i];
	return y;
}

static double clamp(double v, double limit)
{
	return v > limit ? limit : v < -limit ? -limit : v;
}

/* Updates the typical error and returns the clipped error. */
static double clip_error(struct rls *m, double error)
{
	if (m->samples < MIN_CLIP_SAMPLES) {
		m->typical_error +=
			(fabs(error) - m->typical_error) / (m->samples + 1);
		return error;
	}
	m->typical_error += (fabs(clamp(error, ERROR_CLIP * m->typical_error)) -
			     m->typical_error) *
			    ERROR_SMOOTHING;
	return clamp(error, SAMPLE_CLIP * m->typical_error);
}

/*
 * Increases the variance of each coefficient up to its prior's. Without the
 * bound, the variance of a coefficient whose feature doesn't vary would grow
 * until a single sample determines it. The bound applies to each coefficient
 * alone; otherwise a model with one constant feature would never follow a
 * change.
 */
static void forget(struct rls *m)
{
	double scale[RLS_MAX];
	unsigned i, j;

	for (i = 0; i < m->n; i++)
		scale[i] = m->cov[i][i] < m->max_cov[i] ? 1 / sqrt(FORGETTING)
							: 1;
	for (i = 0; i < m->n; i++) {
		for (j = 0; j < m->n; j++)
			m->cov[i][j] *= scale[i] * scale[j];
	}
}

void rls_learn(struct rls *m, const double *x, double y, double weight)
{
	double cx[RLS_MAX], gain, error, variance = 0;
	unsigned i, j;

	if (!isfinite(y) || !(weight > 0))
		return;
	error = clip_error(m, y - rls_predict(m, x));
	for (i = 0; i < m->n; i++) {
		cx[i] = 0;
		for (j = 0; j < m->n; j++)
			cx[i] += m->cov[i][j] * x[j];
		variance += x[i] * cx[i];
	}
	gain = 1 / (1 / weight + variance);
	for (i = 0; i < m->n; i++) {
		m->coef[i] += cx[i] * gain * error;
		for (j = 0; j < m->n; j++)
			m->cov[i][j] -= cx[i] * cx[j] * gain;
	}
	forget(m);
	m->samples = m->samples * FORGETTING + 1;
}

bool rls_adopt(struct rls *m, const double *coef, double typical_error,
	       double samples)
{
	unsigned i, j;

	if (m->samples >= FEW_SAMPLES || !(samples > m->samples) ||
	    !(typical_error > 0) || !isfinite(samples) ||
	    !isfinite(typical_error))
		return false;
	for (i = 0; i < m->n; i++) {
		if (!isfinite(coef[i]))
			return false;
	}
	for (i = 0; i < m->n; i++) {
		m->coef[i] = coef[i];
		for (j = 0; j < m->n; j++)
			m->cov[i][j] = i == j ? ADOPTED_VARIANCE * m->max_cov[i]
					      : 0;
	}
	m->samples = samples;
	m->typical_error = typical_error;
	return true;
}
