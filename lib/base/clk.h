/*
 * clk: clock. An interface, so that tests can provide the time.
 *
 * Modules that make decisions do not read a clock; they take `int64_t now_ms`.
 * The code around them, which does I/O, reads it here. Monotonic time orders
 * events within a process. Wall-clock time is only for times that machines
 * exchange, such as the time of issue in a grant (see claim/grant.h).
 */
#ifndef CLK_H
#define CLK_H

#include <stdint.h>
#include <time.h>

/*
 * The latest wall-clock time that is accepted from other programs, ms since 1970: the
 * end of the year 9999. Sums of such a time and a duration cannot overflow.
 */
#define CLK_MAX_WALL_MS 253402300799999

struct clk;

struct clk_vtable {
	void (*monotonic)(const struct clk *c, struct timespec *out);
	void (*wall)(const struct clk *c, struct timespec *out);
	/* Monotonic, and includes the time while the machine is suspended. */
	void (*boot)(const struct clk *c, struct timespec *out);
};

struct clk {
	const struct clk_vtable *vt;
};

/* The system's clocks; static storage, not to be freed. */
const struct clk *clk_real(void);

/* Milliseconds of the monotonic clock. */
int64_t clk_ms(const struct clk *c);

/* Microseconds of the monotonic clock. */
int64_t clk_us(const struct clk *c);

/* Milliseconds of the wall clock since 1970-01-01 UTC. */
int64_t clk_wall_ms(const struct clk *c);

/*
 * Milliseconds of the boot clock, which includes the time while the machine is
 * suspended. Used for leases and ages, because time passes for other machines
 * meanwhile.
 */
int64_t clk_boot_ms(const struct clk *c);

/*
 * Blocks the thread for `ms` milliseconds, or until a signal. Not for modules
 * that make decisions.
 */
void clk_sleep_ms(int64_t ms);

/* Absolute CLOCK_MONOTONIC time `ms` milliseconds from now, for timed waits. */
struct timespec clk_deadline(int64_t ms);

#endif
