#include "support/unit.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/rnd.h"

static void print_failures(void)
{
	CU_pFailureRecord f;

	for (f = CU_get_failure_list(); f; f = f->pNext)
		printf("  FAILED \"%s\" %s:%u: %s\n",
		       f->pTest ? f->pTest->pName : "?", f->strFileName,
		       f->uiLineNumber, f->strCondition);
}

int unit_run(const char *name, const struct unit_test *tests, size_t n)
{
	unsigned failed;
	CU_pSuite suite;
	size_t i;

	CU_initialize_registry();
	suite = CU_add_suite(name, NULL, NULL);
	for (i = 0; i < n; i++)
		CU_add_test(suite, tests[i].name, tests[i].fn);
	CU_run_all_tests();
	failed = CU_get_number_of_tests_failed();
	print_failures();
	printf("%s: %u passed, %u failed\n", name,
	       CU_get_number_of_tests_run() - failed, failed);
	CU_cleanup_registry();
	return failed ? 1 : 0;
}

unsigned long unit_seeds(unsigned long dflt)
{
	const char *asked = getenv("UNIT_SEEDS");

	return asked ? strtoul(asked, NULL, 10) : dflt;
}

uint64_t unit_seed(unsigned long n)
{
	struct rnd r;

	/* Far apart in the sequence: a draw is no neighbour of the next one. */
	rnd_seed(&r, n);
	return rnd_next(&r);
}

void unit_report(const char *what, unsigned long schedules,
		 unsigned long violations)
{
	if (getenv("UNIT_SEEDS"))
		printf("soak: %s: schedules %lu, violations %lu\n", what,
		       schedules, violations);
}
