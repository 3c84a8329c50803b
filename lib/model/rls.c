#include "model/rls.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/*
 * What a sample counts falls by this with each further one: about the last
 * two hundred count. An entry sees some ten streams a second, so a change of
 * an engine's weights is followed within seconds.
 */
#define KEEP 0.995

/*
 * Samples beyond so many usual distances count as if they were at that. Times
 * have a long tail to one side; at 1 the model is near their median.
 */
#define EDGE 1.0

/* The usual distance itself moves out by samples up to so many of it. */
#define OFF_EDGE 3.0

/* The usual distance follows the last twenty samples or so. */
#define OFF_PART 0.05

/* Until so many samples nothing is known of the usual distance. */
#define SETTLED 8.0

/* With fewer samples of our own those of others are better. */
#define FEW 20.0

/*
 * How far samples are taken to lie from the model, against which the prior's
 * spread is weighed, ms: the time of a step or two.
 */
#define NOISE 20.0

/*
 * Coefficients that were adopted are as certain as if so much of the prior's
 * variance were left, however often others were adopted before: made more
 * certain each time, they would never be corrected.
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
		m->max_cov[i] = spread[i] * spread[i] / (NOISE * NOISE);
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

static double clamp(double v, double edge)
{
	return v > edge ? edge : v < -edge ? -edge : v;
}

/* The sample's error, drawn to the edge of what is usual. */
static double bounded(struct rls *m, double error)
{
	if (m->samples < SETTLED) {
		m->typical_error +=
			(fabs(error) - m->typical_error) / (m->samples + 1);
		return error;
	}
	m->typical_error += (fabs(clamp(error, OFF_EDGE * m->typical_error)) -
			     m->typical_error) *
			    OFF_PART;
	return clamp(error, EDGE * m->typical_error);
}

/*
 * A coefficient whose feature does not vary is not learned, and forgetting
 * would let its variance grow until one sample decides all: it stops at the
 * prior's. The others are forgotten on, or a model with an idle feature would
 * never follow a change.
 */
static void forget(struct rls *m)
{
	double scale[RLS_MAX];
	unsigned i, j;

	for (i = 0; i < m->n; i++)
		scale[i] = m->cov[i][i] < m->max_cov[i] ? 1 / sqrt(KEEP) : 1;
	for (i = 0; i < m->n; i++) {
		for (j = 0; j < m->n; j++)
			m->cov[i][j] *= scale[i] * scale[j];
	}
}

void rls_learn(struct rls *m, const double *x, double y, double weight)
{
	double cx[RLS_MAX], gain, error, about = 0;
	unsigned i, j;

	if (!isfinite(y) || !(weight > 0))
		return;
	error = bounded(m, y - rls_predict(m, x));
	for (i = 0; i < m->n; i++) {
		cx[i] = 0;
		for (j = 0; j < m->n; j++)
			cx[i] += m->cov[i][j] * x[j];
		about += x[i] * cx[i];
	}
	gain = 1 / (1 / weight + about);
	for (i = 0; i < m->n; i++) {
		m->coef[i] += cx[i] * gain * error;
		for (j = 0; j < m->n; j++)
			m->cov[i][j] -= cx[i] * cx[j] * gain;
	}
	forget(m);
	m->samples = m->samples * KEEP + 1;
}

bool rls_adopt(struct rls *m, const double *coef, double off, double samples)
{
	unsigned i, j;

	if (m->samples >= FEW || !(samples > m->samples) || !(off > 0) ||
	    !isfinite(samples) || !isfinite(off))
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
	m->typical_error = off;
	return true;
}
