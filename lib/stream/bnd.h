/*
 * bnd (binding): which version of a service began a stream, and which endpoints
 * may continue it.
 *
 * What two versions of an endpoint's software write does not fit together, so
 * only the version that began a stream can continue it. A stream is bound to the
 * version that brings its first event. Before that, any version may be tried.
 *
 * A client that continues a stream after a break comes to any entry, and names
 * the attempt that brought the first event. While a service has more than one
 * version, the entry that began the stream therefore reports the binding to a few
 * other entries, the stream's homes, which are selected by rendezvous hash; an
 * entry that does not know the binding asks them. Nothing is sent while there is
 * one version.
 *
 * The homes may be gone with the entry, and what they do not know proves nothing.
 * Bindings are therefore kept in the store as well (bnd_log.h), and only the record
 * of versions there (vrs.h) proves that a service had a single version.
 *
 * Pure: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef BND_H
#define BND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/tab.h"

/*
 * Time for which a binding is kept after its last use, and a version counts after
 * it was last listed. A client comes back within its deadline.
 */
#define BND_KEEP_MS 30000

/* Bindings that are kept; the least recently used ones are dropped. */
#define BND_MAX_ROWS 16384

/* Entries that a binding is reported to: two may fail at the same time. */
#define BND_HOMES 3

/*
 * Entries that are asked for one. One more than are told: the homes are
 * counted without the entry that began the stream, which the asking one does not
 * know.
 */
#define BND_MAX_ASKED (BND_HOMES + 1)

/* Versions of a service that are told apart; the oldest one is dropped. */
#define BND_MAX_VERSIONS 16

/* Hashes of the names of a service and of a version of its software. */
struct bnd_origin {
	uint64_t service, version;
};

struct bnd_row {
	UT_hash_handle hh;    /* in bnd.rows, least recently used first */
	struct hsh128 stream; /* the client account and the first attempt */
	struct bnd_origin origin;
	int64_t bound_ms; /* or reported by another entry */
	int64_t used_ms;
	bool own;      /* this entry passed on events of it, and reports it */
	bool logged;   /* own, and added to the bindings in the store */
	bool recalled; /* read from the store */

	/* Reports to the homes, of own rows. */
	int64_t reported_ms;	   /* 0: not yet */
	bool repeat;		   /* once more, since a datagram may be lost */
	uint64_t homes[BND_HOMES]; /* processes that have it; 0: none */
};

struct bnd_service {
	UT_hash_handle hh; /* in bnd.services */
	uint64_t service;
	unsigned nr_versions;
	struct {
		uint64_t version;
		int64_t seen_ms; /* last listed */
	} versions[BND_MAX_VERSIONS];
};

struct bnd {
	struct bnd_row *rows;
	struct bnd_service *services;
};

/* A zeroed struct is empty. Frees what it holds, but not `b` itself. */
void bnd_free(struct bnd *b);

/* The name of a stream: of an attempt of a client account; "": no account. */
struct hsh128 bnd_stream(const char *account, const char *attempt);

/* ---- Bindings ---- */

/*
 * Binds the stream, unless it is bound already. `own`: this entry passes on its
 * events. Returns the row, valid until the table changes.
 */
struct bnd_row *bnd_put(struct bnd *b, struct hsh128 stream,
			struct bnd_origin origin, bool own, int64_t now_ms);

/* Returns the stream's binding and marks it as used; NULL: unknown. */
struct bnd_row *bnd_find(struct bnd *b, struct hsh128 stream, int64_t now_ms);

/* Drops the bindings that were not used for BND_KEEP_MS. */
void bnd_expire(struct bnd *b, int64_t now_ms);

/* ---- Versions ---- */

/* An endpoint of this service and version is listed. */
void bnd_listed(struct bnd *b, struct bnd_origin origin, int64_t now_ms);

/*
 * Returns the number of versions of the service that were listed in the last
 * BND_KEEP_MS; `*version` receives one of them, if there are any.
 */
unsigned bnd_count_versions(const struct bnd *b, uint64_t service,
			    int64_t now_ms, uint64_t *version);

/* ---- Decision ---- */

enum bnd_step {
	BND_ANY,    /* any version: it is a new stream */
	BND_ONLY,   /* there was but one version */
	BND_BOUND,  /* only the version that began it */
	BND_ASK,    /* ask its homes and the store for that */
	BND_REFUSE, /* it was not found, and a wrong one must not be tried */
};

/* What is known of a stream for which a request is to be sent. */
struct bnd_state {
	bool continues; /* the client has events of it */
	bool known;	/* its binding is */
	bool mixed;  /* the service has several versions, here or at a home */
	bool proved; /* the record proves that it had one (vrs.h) */
	bool asked;  /* homes and store answered, or did not in time */
};

/*
 * To be called before the first send. A request that is bound, then or by its
 * first event, stays so for all further sends (flt_continues()).
 */
enum bnd_step bnd_next(const struct bnd_state *s);

#endif
