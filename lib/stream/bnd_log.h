/*
 * bnd_log: the bindings of streams (bnd.h) that an entry keeps in the store while a
 * service has several versions, so that they survive the loss of all entries.
 *
 * The rows are kept in segments, one key of the store each. A new row makes its
 * segment due for a write; rows that come meanwhile go with the next one. A segment
 * that is full is not written again, and is deleted when its streams have ended.
 *
 * Pure: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef BND_LOG_H
#define BND_LOG_H

#include <urcu/list.h>

#include "base/buf.h"
#include "stream/bnd.h"

/* Small, as a write has all rows of its segment. */
#define BND_LOG_SEGMENT_ROWS 64

/* Segments of an entry. Beyond that the oldest one is deleted early. */
#define BND_LOG_MAX_SEGMENTS 64

/* Time for which a segment is kept after its last row was added. */
#define BND_LOG_KEEP_MS (2 * BND_KEEP_MS)

struct bnd_log_row {
	struct hsh128 stream;
	struct bnd_origin origin;
};

struct bnd_log_segment {
	struct cds_list_head node; /* in bnd_log.segments */
	unsigned number;	   /* of the key */
	unsigned nr_rows, nr_stored;
	bool over; /* to be deleted from the store */
	int64_t added_ms;
	struct bnd_log_row rows[BND_LOG_SEGMENT_ROWS];
};

struct bnd_log {
	struct cds_list_head segments; /* the oldest first */
	unsigned nr_in_use;	       /* those that are not over */
	unsigned next_number;
};

void bnd_log_init(struct bnd_log *l);

/* Frees the segments, but not `l` itself. */
void bnd_log_free(struct bnd_log *l);

void bnd_log_add(struct bnd_log *l, struct hsh128 stream,
		 struct bnd_origin origin, int64_t now_ms);

/*
 * Returns a segment to write, or to delete if it is over; NULL: there is none. It is
 * valid until the log changes.
 */
const struct bnd_log_segment *bnd_log_due(struct bnd_log *l, int64_t now_ms);

/* The segment of this number was written with its first `nr_rows` rows. */
void bnd_log_written(struct bnd_log *l, unsigned number, unsigned nr_rows);

/* The segment was deleted from the store. */
void bnd_log_deleted(struct bnd_log *l, unsigned number);

/* The store has lost all segments: they are to be written again. */
void bnd_log_lost(struct bnd_log *l);

/* Appends the stored form of the segment's rows. */
void bnd_log_encode(const struct bnd_log_segment *s, struct buf *out);

/*
 * Reads row `i` of the stored form of a segment, `len` bytes. Returns false if it
 * ends before, or is no segment.
 */
bool bnd_log_decode(const char *value, size_t len, unsigned i,
		    struct bnd_log_row *out);

#endif
