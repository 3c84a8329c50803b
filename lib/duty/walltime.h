/*
 * truth: the time of day, although this machine's clock may jump.
 *
 * The clock of the day is read once, at the start, and carried on by the
 * clock that never jumps. The other entries' estimates show if the start
 * itself fell into a jump: the middle one of all estimates wins.
 */
#ifndef WALLTIME_H
#define WALLTIME_H

#include <stddef.h>
#include <stdint.h>

/*
 * Estimates that differ by less are equal: the machines' clocks differ by
 * some ten milliseconds, and windows are counted in seconds.
 */
#define WALLTIME_TOLERANCE_MS 150

struct walltime {
	int64_t offset_ms; /* time of day less the steady clock */
};

void walltime_init(struct walltime *t, int64_t wall_ms, int64_t boot_ms);

int64_t walltime_now(const struct walltime *t, int64_t boot_ms);

/*
 * All estimates less our own, ours (0) among them; they are sorted. Corrects
 * ours if the middle one is beyond the tolerance. Returns the correction.
 */
int64_t walltime_correct(struct walltime *t, int64_t *ahead_ms, size_t n);

#endif
