/* How memory and descriptors of an entry are shared out (rsc.h). */
#include "edge/rsc.h"
#include "io/mem.h"
#include "support/unit.h"

#define MB ((size_t)1 << 20)

static size_t sum_of(const struct rsc *r, size_t *windows)
{
	size_t conns = 0;
	int i;

	*windows = 0;
	for (i = 0; i < RSC_SERVERS; i++) {
		conns += r->servers[i].max_conns;
		*windows += r->servers[i].window_bytes;
	}
	return conns;
}

/* Guards against shares that together exceed what the process has. */
static void shares_fit_into_the_whole(void)
{
	static const size_t memory[] = { 8, 64, 160, 260, 512, 4096 };
	static const size_t descriptors[] = { 64, 300, 4100, 8192, 100000 };
	size_t i, k, windows;

	for (i = 0; i < sizeof(memory) / sizeof(memory[0]); i++) {
		for (k = 0; k < sizeof(descriptors) / sizeof(descriptors[0]);
		     k++) {
			const size_t m = memory[i] * MB, d = descriptors[k];
			const struct rsc r = rsc_share(m, d);
			const size_t conns = sum_of(&r, &windows);

			/* Each caller's request has its connection. */
			CU_ASSERT(conns + r.servers[RSC_CALLERS].max_conns <=
				  d - d / 20);
			CU_ASSERT(r.held_bytes + conns * MEM_SMALL_BYTES +
					  windows <=
				  m / 4 * 3);
		}
	}
}

/* Guards against limits that clients reach which keep to theirs. */
static void the_default_leaves_room(void)
{
	const struct rsc r = rsc_share(260 * MB, 4100);

	CU_ASSERT(r.servers[RSC_CALLERS].max_conns > 1000);
	CU_ASSERT(r.servers[RSC_LOOKUP].max_conns > 200);
	/* The largest body that a configuration may allow here. */
	CU_ASSERT(r.held_bytes > 8 * 8 * MB);
}

static const struct unit_test tests[] = {
	{ "shares fit into the whole", shares_fit_into_the_whole },
	{ "the default leaves room", the_default_leaves_room },
};

UNIT_MAIN("rsc", tests)
