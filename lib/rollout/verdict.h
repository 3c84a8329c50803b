/*
 * vdt (verdict): tests whether a new version of a service answers worse than
 * the one it replaces.
 *
 * A sequential test that is valid after every answer: the mean of likelihood
 * ratios over several hypotheses (a fraction of all answers, or of those on one
 * route, is bad) against the baseline's rate of bad answers on each route over
 * the same period. Answers of baseline endpoints whose slots were all taken do
 * not count in its rate of late answers (tal_full_route()), since a slow new
 * version would go undetected in a shortage of the former one. If the versions are alike, the probability that the mean
 * ever exceeds 1 / alpha is at most alpha (Ville's inequality).
 *
 * The evidence of each group of endpoints is capped, so that one faulty
 * endpoint, or a crash that breaks many answers at once, does not fail the
 * version.
 */
#ifndef VERDICT_H
#define VERDICT_H

#include <stdbool.h>

#include "rollout/tally.h"

/*
 * A version as good as the baseline fails at most once in this many roll-outs.
 */
#define VDT_FALSE_ALARMS 2000.0

/* Result of the test. */
struct vdt {
	double evidence; /* log of the mean likelihood ratio */
	bool worse;
};

/*
 * Evaluates the counts of all entries. `endpoints`: number of endpoints of the
 * new version that receive requests.
 */
struct vdt vdt_evaluate(const struct tal *t, unsigned endpoints);

#endif
