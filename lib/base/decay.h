/*
 * decay_sum: a sum in which what is older counts less, by a time constant.
 *
 * Adding 1/T for each event, with the time constant T, gives the rate of the
 * events over about the last T.
 */
#ifndef DECAY_H
#define DECAY_H

#include <math.h>
#include <stdint.h>

struct decay_sum {
	double value;
	int64_t at_ms;
};

/* The part that is left at `now_ms` of what counted whole at `at_ms`. */
static inline double decay_fraction(double constant_ms, int64_t at_ms,
				    int64_t now_ms)
{
	return exp(-(double)(now_ms - at_ms) / constant_ms);
}

/* The value at `now_ms`, not before the last addition. */
static inline double decay_sum_at(const struct decay_sum *f, double constant_ms,
				  int64_t now_ms)
{
	return f->value * decay_fraction(constant_ms, f->at_ms, now_ms);
}

static inline void decay_sum_add(struct decay_sum *f, double amount,
				 double constant_ms, int64_t now_ms)
{
	f->value = decay_sum_at(f, constant_ms, now_ms) + amount;
	f->at_ms = now_ms;
}

#endif
