/*
 * rnd: random numbers. A seeded generator that is passed to its users, so that
 * every decision can be replayed from the seed. Not for secrets (see
 * rnd_secret).
 */
#ifndef RND_H
#define RND_H

#include <stddef.h>
#include <stdint.h>

struct rnd {
	uint64_t state;
};

/* Starts the sequence of `seed`. */
void rnd_seed(struct rnd *r, uint64_t seed);

/* 64 random bits. */
uint64_t rnd_next(struct rnd *r);

/* A uniform integer in [0, n); n must be positive. */
uint32_t rnd_below(struct rnd *r, uint32_t n);

/* A uniform number in [0, 1). */
double rnd_unit(struct rnd *r);

/* An exponentially distributed number with the given mean. */
double rnd_exp(struct rnd *r, double mean);

/* 64 unpredictable bits from the operating system, for seeds and names. */
uint64_t rnd_secret(void);

#endif
