/*
 * fade: a sum in which what is older counts less, by a time constant.
 *
 * Adding 1/T for each event, with the time constant T, gives the rate of the
 * events over about the last T.
 */
#ifndef FADE_H
#define FADE_H

#include <math.h>
#include <stdint.h>

struct fade {
	double value;
	int64_t at_ms;
};

/* The part that is left at `now_ms` of what counted whole at `at_ms`. */
static inline double fade_left(double constant_ms, int64_t at_ms,
			       int64_t now_ms)
{
	return exp(-(double)(now_ms - at_ms) / constant_ms);
}

/* The value at `now_ms`, not before the last addition. */
static inline double fade_at(const struct fade *f, double constant_ms,
			     int64_t now_ms)
{
	return f->value * fade_left(constant_ms, f->at_ms, now_ms);
}

static inline void fade_add(struct fade *f, double amount, double constant_ms,
			    int64_t now_ms)
{
	f->value = fade_at(f, constant_ms, now_ms) + amount;
	f->at_ms = now_ms;
}

#endif
