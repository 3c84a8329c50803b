/*
 * decay: sum with exponential decay. After the time constant, 1/e of an
 * addition remains.
 *
 * Adding 1/T for each event, with time constant T, gives the rate of the events
 * over about the last T.
 */
#ifndef DECAY_H
#define DECAY_H

#include <math.h>
#include <stdint.h>

/* All zero: an empty sum. */
struct decay_sum {
	double value;  /* at the time at_ms */
	int64_t at_ms; /* time of the last addition */
};

/* Fraction of an addition at `at_ms` that remains at `now_ms`: 1 to 0. */
static inline double decay_fraction(double constant_ms, int64_t at_ms,
				    int64_t now_ms)
{
	return exp(-(double)(now_ms - at_ms) / constant_ms);
}

/* The sum at `now_ms`, which must not be before the last addition. */
static inline double decay_sum_at(const struct decay_sum *d, double constant_ms,
				  int64_t now_ms)
{
	return d->value * decay_fraction(constant_ms, d->at_ms, now_ms);
}

/* Adds `amount` at `now_ms`. `constant_ms` must be the same in all calls. */
static inline void decay_sum_add(struct decay_sum *d, double amount,
				 double constant_ms, int64_t now_ms)
{
	d->value = decay_sum_at(d, constant_ms, now_ms) + amount;
	d->at_ms = now_ms;
}

#endif
