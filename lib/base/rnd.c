#include "base/rnd.h"

#include <assert.h>
#include <math.h>
#include <openssl/rand.h>

void rnd_seed(struct rnd *r, uint64_t seed)
{
	r->state = seed * 0x9e3779b97f4a7c15ULL + 0x2545f4914f6cdd1dULL;
}

/* splitmix64: small state, passes the usual statistical tests. */
uint64_t rnd_next(struct rnd *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint32_t rnd_below(struct rnd *r, uint32_t n)
{
	assert(n > 0);
	return (uint32_t)(((rnd_next(r) >> 32) * (uint64_t)n) >> 32);
}

double rnd_unit(struct rnd *r)
{
	return (double)(rnd_next(r) >> 11) * 0x1.0p-53;
}

double rnd_exp(struct rnd *r, double mean)
{
	return -mean * log(1.0 - rnd_unit(r));
}

uint64_t rnd_secret(void)
{
	uint64_t v = 0;
	const int ok = RAND_bytes((unsigned char *)&v, sizeof(v));

	assert(ok == 1);
	(void)ok;
	return v;
}
