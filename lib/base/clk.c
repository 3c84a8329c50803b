#include "base/clk.h"

static void real_monotonic(const struct clk *c, struct timespec *out)
{
	(void)c;
	clock_gettime(CLOCK_MONOTONIC, out);
}

static void real_wall(const struct clk *c, struct timespec *out)
{
	(void)c;
	clock_gettime(CLOCK_REALTIME, out);
}

static void real_boot(const struct clk *c, struct timespec *out)
{
	(void)c;
	clock_gettime(CLOCK_BOOTTIME, out);
}

const struct clk *clk_real(void)
{
	static const struct clk_vtable vt = { real_monotonic, real_wall,
					      real_boot };
	static const struct clk real = { &vt };

	return &real;
}

int64_t clk_us(const struct clk *c)
{
	struct timespec ts;

	c->vt->monotonic(c, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clk_ms(const struct clk *c)
{
	return clk_us(c) / 1000;
}

int64_t clk_wall_ms(const struct clk *c)
{
	struct timespec ts;

	c->vt->wall(c, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t clk_boot_ms(const struct clk *c)
{
	struct timespec ts;

	c->vt->boot(c, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void clk_sleep_ms(int64_t ms)
{
	const struct timespec ts = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

struct timespec clk_deadline(int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += (ms % 1000) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}
