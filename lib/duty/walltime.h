/*
 * walltime: an estimate of the time of day on a machine whose clock may jump.
 *
 * The wall clock is read once, at the start, and extrapolated by the boot-time
 * clock, which never jumps. If the start itself fell into a jump, the estimates
 * of the other entries show it: the median of all estimates is taken.
 *
 * Not thread-safe; performs no I/O. All times are in ms.
 */
#ifndef WALLTIME_H
#define WALLTIME_H

#include <stddef.h>
#include <stdint.h>

/*
 * Estimates that differ by less, ms, count as equal: the machines' clocks
 * differ by some ten milliseconds, and usage windows are counted in seconds.
 */
#define WALLTIME_TOLERANCE_MS 150

struct walltime {
	int64_t offset_ms; /* time of day minus boot-time clock */
};

/* Starts from a reading of the wall clock and of the boot-time clock. */
void walltime_init(struct walltime *t, int64_t wall_ms, int64_t boot_ms);

/* Returns the estimated time of day (since the epoch) at `boot_ms`. */
int64_t walltime_now(const struct walltime *t, int64_t boot_ms);

/*
 * Corrects the estimate by the median of all `n` estimates if that differs from
 * ours by the tolerance or more. `ahead_ms`: each estimate minus ours, with our
 * own (0) among them; the array is sorted in place. Returns the correction, ms;
 * 0: none. Fewer than three estimates never correct anything.
 */
int64_t walltime_correct(struct walltime *t, int64_t *ahead_ms, size_t n);

#endif
