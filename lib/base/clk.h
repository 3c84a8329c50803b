/*
 * clk: the clock as an interface, so that tests pass time in.
 *
 * Decision modules do not read a clock; they take `int64_t now_ms`. The
 * shells read it here. Monotonic time orders events within a process;
 * wall-clock time is only compared with births in grants.
 */
#ifndef CLK_H
#define CLK_H

#include <stdint.h>
#include <time.h>

struct clk;

struct clk_vtable {
	void (*monotonic)(const struct clk *c, struct timespec *out);
	void (*wall)(const struct clk *c, struct timespec *out);
	/* Monotonic, and runs on while the machine is suspended. */
	void (*boot)(const struct clk *c, struct timespec *out);
};

struct clk {
	const struct clk_vtable *vt;
};

/* The clock of the machine; static storage, never freed. */
const struct clk *clk_real(void);

/* Milliseconds of the monotonic clock. */
int64_t clk_ms(const struct clk *c);

/* Microseconds of the monotonic clock. */
int64_t clk_us(const struct clk *c);

/* Milliseconds of the wall clock since the epoch. */
int64_t clk_wall_ms(const struct clk *c);

/*
 * Milliseconds of the clock that counts the time in which the machine was
 * suspended: leases and ages are judged by it, since others went on.
 */
int64_t clk_boot_ms(const struct clk *c);

/* Sleeps; for shells only. */
void clk_sleep_ms(int64_t ms);

/* The absolute CLOCK_MONOTONIC time `ms` from now, for timed waits. */
struct timespec clk_deadline(int64_t ms);

#endif
