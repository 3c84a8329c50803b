/*
 * unit: CUnit with one line of result per program, which scripts/check.sh
 * adds up.
 */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>
#include <stdint.h>

struct unit_test {
	const char *name;
	void (*fn)(void);
};

/* Runs all, prints "NAME: N passed, N failed"; the process's exit code. */
int unit_run(const char *name, const struct unit_test *tests, size_t n);

/*
 * The seed of the n-th schedule. The sequences of seeds that follow each other
 * are the same but for one number, and schedules that soon forget their past
 * play alike with them: of three hundred two or three were different.
 */
uint64_t unit_seed(unsigned long n);

/*
 * How many seeded schedules a test plays: `dflt`, or what UNIT_SEEDS says
 * (make soak). unit_report prints their number and violations then.
 */
unsigned long unit_seeds(unsigned long dflt);
void unit_report(const char *what, unsigned long schedules,
		 unsigned long violations);

#define UNIT_MAIN(name, tests)                                       \
	int main(void)                                               \
	{                                                            \
		return unit_run(name, tests,                         \
				sizeof(tests) / sizeof((tests)[0])); \
	}

#endif
