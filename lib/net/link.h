/*
 * link: calls to peers over ONC RPC.
 *
 * A bounded pool of threads serves all peers. Calls to one peer go out one
 * after another on one connection; a peer that hangs holds one thread for at
 * most its time-out, after which its other calls fail at once for a while, so
 * it cannot stall calls to others.
 */
#ifndef LINK_H
#define LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "net/peer.h"

struct links;

/*
 * The end of a call. `why` is ERR_NONE with the result (freed afterwards), or
 * ERR_REFUSED (not sent), ERR_TIMEOUT or ERR_IO (perhaps done) with NULL.
 */
typedef void (*link_done)(enum err_code why, const void *result, void *arg);

struct link_call {
	const char *address;
	uint32_t proc;
	xdrproc_t xdr_args;
	void *args; /* from malloc, strings too; owned by the link */
	xdrproc_t xdr_result;
	size_t result_size;
	int64_t timeout_ms;
	link_done done; /* may be NULL; runs on a thread of the pool */
	void *arg;
};

/* `threads` bounds how many peers can hang without slowing others. */
struct links *links_create(size_t threads);
void links_free(struct links *l);

/*
 * Queues a call. False if too many wait for that peer (or for all); `done`
 * does not run then, but the arguments are freed.
 */
bool links_send(struct links *l, const struct link_call *c);

/* Makes a call and waits. The result is copied into `result` (xdr_free it
 * afterwards); -1 with an error if there is none. */
int links_call(struct links *l, const struct link_call *c, void *result,
	       struct err *e);

/*
 * Connects to a peer, waiting a third of a second at most. True if its host
 * refuses: no process listens there. A peer that is slow or unreachable is not
 * refused, nor is one to which calls have failed.
 */
bool link_is_refused(const char *address);

/* Bytes of arguments and results, by the XDR sizes, since the start. */
uint64_t links_bytes(struct links *l);
uint64_t links_calls(struct links *l);

#endif
