/*
 * rsc: resources: how the memory and the descriptors of an entry are shared out, from
 * its settings limits.memory_mb and limits.descriptors. Pure.
 *
 * Memory: five sixteenths for what large requests and answers hold (mem.h), three for
 * small ones, a quarter for the kernel's receive buffers of accepted connections. The
 * process itself and the connections that it opens have the rest.
 */
#ifndef RSC_H
#define RSC_H

#include <stddef.h>

enum rsc_server {
	RSC_CALLERS,
	RSC_PEERS,
	RSC_LOOKUP,
	RSC_READY,
	RSC_SERVERS
};

struct rsc {
	size_t held_bytes; /* limit of the account, struct mem */
	struct {
		unsigned max_conns;
		size_t window_bytes; /* of the kernel, for all connections */
	} servers[RSC_SERVERS];
};

/* `memory`: in bytes; `descriptors`: that the process may open. */
struct rsc rsc_share(size_t memory, size_t descriptors);

#endif
