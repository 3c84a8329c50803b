#include "duty/walltime.h"

#include <stdlib.h>

void walltime_init(struct walltime *t, int64_t wall_ms, int64_t boot_ms)
{
	t->offset_ms = wall_ms - boot_ms;
}

int64_t walltime_now(const struct walltime *t, int64_t boot_ms)
{
	return boot_ms + t->offset_ms;
}

static int order(const void *a, const void *b)
{
	const int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

int64_t walltime_correct(struct walltime *t, int64_t *ahead_ms, size_t n)
{
	int64_t median;

	/* With two estimates it is unknown which one is wrong. */
	if (n < 3)
		return 0;
	qsort(ahead_ms, n, sizeof(*ahead_ms), order);
	median = ahead_ms[n / 2];
	if (median > -WALLTIME_TOLERANCE_MS && median < WALLTIME_TOLERANCE_MS)
		return 0;
	t->offset_ms += median;
	return median;
}
