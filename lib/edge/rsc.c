#include "edge/rsc.h"

#include "io/mem.h"

/* Descriptors that are not for sockets; a quarter of few descriptors. */
#define FILES 200

/* Connections that each server has however few descriptors there are. */
#define MIN_CONNS 4

/*
 * Parts of the sockets, and of the memory for windows. The sockets beyond these are for
 * connections that the process opens: callers' requests need one each.
 */
#define PARTS 32
static const struct {
	unsigned conns, window;
} parts[RSC_SERVERS] = {
	[RSC_CALLERS] = { 12, 24 },
	[RSC_PEERS] = { 3, 4 },
	[RSC_LOOKUP] = { 2, 2 },
	[RSC_READY] = { 1, 2 },
};

static size_t smaller(size_t a, size_t b)
{
	return a < b ? a : b;
}

struct rsc rsc_share(size_t memory, size_t descriptors)
{
	const size_t sockets = descriptors - smaller(FILES, descriptors / 4);
	const size_t small = memory / 16 * 3 / MEM_SMALL_BYTES;
	struct rsc r = { .held_bytes = memory / 16 * 5 };
	unsigned accepted = 0;
	int i;

	for (i = 0; i < RSC_SERVERS; i++)
		accepted += parts[i].conns;
	for (i = 0; i < RSC_SERVERS; i++) {
		const size_t n = smaller(sockets * parts[i].conns / PARTS,
					 small * parts[i].conns / accepted);

		r.servers[i].max_conns = n > MIN_CONNS ? (unsigned)n
						       : MIN_CONNS;
		r.servers[i].window_bytes =
			memory / 4 / PARTS * parts[i].window;
	}
	return r;
}
