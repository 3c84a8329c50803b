/*
 * entry: an entry process: serves clients over HTTP, routes their requests to
 * endpoints, and exchanges state with its peers. Internal functions and types
 * have the prefix `ent_` (entry).
 *
 * Performs the I/O for the decision modules, which are pure. Threads:
 *
 *   workers    serve one client connection each (CivetWeb)
 *   mux        reads the streams of all engines
 *   dispatch   wait queue, retries, load reports, reclaim notices
 *   mover      KV cache transfers, one at a time
 *   copier     replicates request records and tokens to their holders
 *   member     failure detection, gossip, publication of snapshots
 *   rpc        answers the calls of peers
 *   links      a bounded pool of threads that call peers
 *
 * Snapshots of documents, views and members are published through RCU and
 * read without locks on the request path.
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "base/err.h"
#include "config/set.h"

struct entry;

/*
 * Starts an entry with the settings `s`, which are copied. Returns NULL and
 * sets `*e` if it cannot listen on its addresses. Ignores SIGPIPE in the whole
 * process. At most one entry per process. Free with entry_stop().
 */
struct entry *entry_start(const struct set *s, struct err *e);

/*
 * Return the addresses, "host:port", on which the entry serves clients and
 * peers. Owned by the entry and valid until entry_stop().
 */
const char *entry_http_address(const struct entry *en);
const char *entry_peer_address(const struct entry *en);

/*
 * Starts the drain and returns at once; later calls have no effect. The entry
 * tells its peers at once that it leaves, but accepts requests for at least
 * `entry_list_ms` (a setting), since clients may use a cached list of entries
 * that still has it. It then waits until no request is open, at most until
 * `drain_ms` (a setting) after the start. Model requests that are still open
 * then are handed over to their holders, the entries that have copies of them.
 */
void entry_drain(struct entry *en);

/* True once the drain is complete and the entry may be stopped. */
bool entry_drained(struct entry *en);

/*
 * Stops the threads, ends the requests that are still open, and frees the
 * entry. Waits for a drain in progress, which it cuts short.
 */
void entry_stop(struct entry *en);

#endif
