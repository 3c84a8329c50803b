/* The account of what connections hold (mem.h). */
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "io/mem.h"
#include "support/unit.h"

#define MB ((size_t)1 << 20)
#define SCHEDULES 200
#define HOLDERS 40
#define STEPS 2000

static int64_t now;

static void get_now(const struct clk *c, struct timespec *out)
{
	(void)c;
	*out = (struct timespec){ now / 1000, now % 1000 * 1000000 };
}

static const struct clk_vtable manual_vtable = { get_now, get_now, get_now };
static const struct clk manual = { &manual_vtable };

static struct mem account;

static bool shed(struct mem_holder *h)
{
	mem_hold(&account, h, h->rank, 200);
	return true;
}

static const struct mem_vtable vtable = { shed };

static void start(struct mem_holder *h, size_t n, size_t limit)
{
	size_t i;

	now = 1000;
	mem_init(&account, &manual, limit);
	for (i = 0; i < n; i++)
		mem_add(&h[i], &vtable);
}

static void holds_what_holders_say(void)
{
	struct mem_holder h[2];

	start(h, 2, 10 * MB);
	mem_hold(&account, &h[0], MEM_WAITING, 3 * MB);
	mem_hold(&account, &h[1], MEM_WAITING, 100);
	CU_ASSERT_EQUAL(account.bytes, 3 * MB + 100);
	CU_ASSERT_EQUAL(account.large_bytes, 3 * MB);
	CU_ASSERT_PTR_NULL(mem_pick(&account));
	mem_hold(&account, &h[0], MEM_WAITING, MEM_SMALL_BYTES);
	mem_hold(&account, &h[1], MEM_WAITING, MEM_SMALL_BYTES + 1);
	CU_ASSERT_EQUAL(account.large_bytes, MEM_SMALL_BYTES + 1);
	mem_hold(&account, &h[0], MEM_WAITING, 0);
	mem_hold(&account, &h[1], MEM_WAITING, 0);
	CU_ASSERT_EQUAL(account.bytes, 0);
	CU_ASSERT_EQUAL(account.large_bytes, 0);
	CU_ASSERT(cds_list_empty(&account.large));
}

static void ranks_go_in_order(void)
{
	struct mem_holder h[MEM_RANKS];
	int i;

	start(h, MEM_RANKS, MB);
	/* The lowest rank holds least, for the shortest time. */
	for (i = MEM_RANKS - 1; i >= 0; i--) {
		mem_hold(&account, &h[i], (enum mem_rank)i,
			 (size_t)(i + 2) * MB);
		now += 1000;
	}
	for (i = 0; i < MEM_RANKS; i++) {
		CU_ASSERT_PTR_EQUAL(mem_pick(&account), &h[i]);
		mem_hold(&account, &h[i], (enum mem_rank)i, 0);
	}
	CU_ASSERT_PTR_NULL(mem_pick(&account));
}

/* Guards against new requests refused for the sake of old ones that stand still. */
static void what_is_held_longest_goes_first(void)
{
	struct mem_holder h[3];

	start(h, 3, MB);
	mem_hold(&account, &h[0], MEM_INCOMPLETE, MB / 2);
	now += 10000;
	mem_hold(&account, &h[1], MEM_INCOMPLETE, MB);
	now += 100;
	mem_hold(&account, &h[2], MEM_INCOMPLETE, MB);
	CU_ASSERT_PTR_EQUAL(mem_pick(&account), &h[0]);
	mem_relieve(&account);
	CU_ASSERT_EQUAL(h[0].bytes, 200);
	CU_ASSERT_EQUAL(h[1].bytes, 200);
	CU_ASSERT_EQUAL(h[2].bytes, MB);
	CU_ASSERT_EQUAL(account.shed[MEM_INCOMPLETE], 2);
}

/* Guards against a small request given up while large ones take all. */
static void small_holders_are_never_given_up(void)
{
	struct mem_holder h[HOLDERS];
	int i;

	start(h, HOLDERS, MB);
	for (i = 1; i < HOLDERS; i++)
		mem_hold(&account, &h[i], MEM_INCOMPLETE, MEM_SMALL_BYTES);
	now += 100000;
	mem_hold(&account, &h[0], MEM_RUNNING, 2 * MB);
	mem_relieve(&account);
	CU_ASSERT_EQUAL(h[0].bytes, 200);
	for (i = 1; i < HOLDERS; i++)
		CU_ASSERT_EQUAL(h[i].bytes, MEM_SMALL_BYTES);
}

static void keeps_its_limit_whatever_holders_do(void)
{
	const unsigned long n = unit_seeds(SCHEDULES);
	unsigned long i, wrong = 0;
	int step, k;

	for (i = 0; i < n; i++) {
		struct mem_holder h[HOLDERS];
		struct rnd rnd;

		rnd_seed(&rnd, unit_seed(i));
		start(h, HOLDERS, 8 * MB);
		for (step = 0; step < STEPS; step++) {
			size_t large = 0, all = 0;

			now += rnd_below(&rnd, 50);
			mem_hold(&account, &h[rnd_below(&rnd, HOLDERS)],
				 (enum mem_rank)rnd_below(&rnd, MEM_RANKS),
				 rnd_below(&rnd, 2) ? rnd_below(&rnd, 4 * MB)
						    : rnd_below(&rnd, 30000));
			mem_relieve(&account);
			for (k = 0; k < HOLDERS; k++) {
				all += h[k].bytes;
				if (h[k].bytes > MEM_SMALL_BYTES)
					large += h[k].bytes;
			}
			wrong += large > 8 * MB ||
				 large != account.large_bytes ||
				 all != account.bytes;
		}
	}
	unit_report("account of memory", n, wrong);
	CU_ASSERT_EQUAL(wrong, 0);
}

static const struct unit_test tests[] = {
	{ "holds what holders say", holds_what_holders_say },
	{ "ranks go in order", ranks_go_in_order },
	{ "what is held longest goes first", what_is_held_longest_goes_first },
	{ "small holders are never given up",
	  small_holders_are_never_given_up },
	{ "keeps its limit whatever holders do",
	  keeps_its_limit_whatever_holders_do },
};

UNIT_MAIN("mem", tests)
