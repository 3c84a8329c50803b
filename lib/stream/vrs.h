/*
 * vrs (versions): the record of the versions of each service that may have begun
 * streams. It is kept in the store.
 *
 * The record is written ahead: an endpoint gets new streams only once its version
 * is recorded as serving. A version stays in the record until the streams that it
 * began have ended. So a read of the record that began after a client came back
 * with a stream proves which versions can have begun it, also to an entry that has
 * just started; the list of endpoints, or what other entries know, proves nothing.
 *
 * A version that is no longer listed is retired first: it must be recorded as
 * serving again before it begins more streams. It is removed later, when entries
 * that read the record before have stopped to use it, and their streams have ended.
 *
 * Pure: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef VRS_H
#define VRS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "fleet/flt.h"
#include "stream/bnd.h"

/* Versions of all services. A version beyond that, or beyond BND_MAX_VERSIONS of a
 * service, is not recorded: it begins no streams. */
#define VRS_MAX_ROWS 128

/* Time after which a version that is not listed is retired. */
#define VRS_RETIRE_MS 5000

/*
 * Time after which a retired version is removed: longer than an entry that is cut off
 * from the store may reach endpoints of it, and then the life of a stream.
 */
#define VRS_REMOVE_MS (BND_KEEP_MS + 300000)

struct vrs_row {
	char service[FLT_NAME];
	char version[FLT_NAME]; /* flt_info.version */
	struct bnd_origin origin;
	bool retired;
	bool stored; /* the store has the row, as far as this entry knows */
	int64_t unlisted_ms; /* this entry lists no endpoint since; 0: listed */
	int64_t retired_ms;  /* this entry read that it is retired */
};

struct vrs {
	struct vrs_row rows[VRS_MAX_ROWS];
	unsigned nr_rows;
};

struct bnd_origin vrs_origin(const char *service, const char *version);

/* The service and version of the streams that begin at the endpoint. */
struct bnd_origin vrs_origin_of(const struct flt_endpoint *e);

/* Returns the row of the version, owned by `v`; NULL: it is not recorded. */
struct vrs_row *vrs_find(struct vrs *v, struct bnd_origin origin);

/* True if the version may begin streams. */
bool vrs_is_serving(const struct vrs *v, struct bnd_origin origin);

/*
 * Returns the number of recorded versions of the service, serving or retired;
 * `*row` receives one of them, if there are any.
 */
unsigned vrs_count(const struct vrs *v, uint64_t service,
		   const struct vrs_row **row);

/* Appends the record to `out` as JSON. */
void vrs_encode(const struct vrs *v, struct buf *out);

/*
 * Parses a record of `len` bytes. Returns false and empties `out` if the text is no
 * record, or has rows that cannot be read: it then proves nothing.
 */
bool vrs_decode(const char *text, size_t len, struct vrs *out);

/*
 * Replaces `v` by the record `read` from the store, and keeps the times of its
 * rows. `restored`: the store was restored from an older copy. It may lack rows of
 * `v`, which are then kept.
 */
void vrs_adopt(struct vrs *v, const struct vrs *read, bool restored,
	       int64_t now_ms);

/*
 * Works out the record that should replace `v`, given the `n` versions that are
 * listed now, into `out`; of `listed`, names and origin are used. `sure`: the list is
 * complete and up to date; else nothing is retired or removed. Returns true if the
 * records differ, so that `out` should be written. Updates the times of `v`.
 */
bool vrs_plan(struct vrs *v, const struct vrs_row *listed, unsigned n,
	      bool sure, int64_t now_ms, struct vrs *out);

/* Restarts all times: this entry may have missed what happened meanwhile. */
void vrs_restart_times(struct vrs *v, int64_t now_ms);

#endif
