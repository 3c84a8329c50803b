/*
 * evs: event stream: splits a stream of server-sent events into whole events.
 *
 * An event ends with an empty line. Only whole events are passed on, so that a
 * stream that breaks off within an event can be resumed at another endpoint
 * after the last event that the client has, with nothing missing or repeated.
 *
 * Not thread-safe; performs no I/O.
 */
#ifndef EVS_H
#define EVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* An event usually has less than 300 bytes; one above this is an error. */
#define EVS_MAX_EVENT_BYTES 65536

struct evs {
	struct buf partial; /* bytes of the incomplete event */
	int64_t last_id;    /* of the last whole event; -1: none */
	uint64_t events;    /* whole events passed on */
	bool ordered;	    /* each id was the previous one plus 1 */
	bool too_large;	    /* the partial event exceeds the maximum */
};

/* Initializes `s` for a new stream; release it with evs_free(). */
void evs_init(struct evs *s);

/* Frees the partial event. */
void evs_free(struct evs *s);

/*
 * Takes `len` bytes of the stream, appends the events completed by them to
 * `out` and returns the number appended. Events with an id up to `skip_to` are
 * dropped, for an endpoint that starts before the requested event; -1: none.
 * Sets `too_large` if the partial event exceeds EVS_MAX_EVENT_BYTES.
 */
size_t evs_feed(struct evs *s, const char *data, size_t len, int64_t skip_to,
		struct buf *out);

/* Returns true if there are bytes of an incomplete event. */
bool evs_has_partial(const struct evs *s);

/*
 * Drops the partial event before the stream is resumed at another endpoint; the
 * id and the number of events are kept.
 */
void evs_drop_partial(struct evs *s);

#endif
