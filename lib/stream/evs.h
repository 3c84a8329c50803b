/*
 * evs: cuts a stream of server-sent events into whole events.
 *
 * An event ends with an empty line. Only whole events are passed on, so that
 * a stream which breaks off in the middle of one can go on elsewhere after
 * the last event that the caller has, without a piece missing or doubled.
 */
#ifndef EVS_H
#define EVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* An event is below 300 bytes; one that does not end by then is a fault. */
#define EVS_MAX_EVENT_BYTES 65536

struct evs {
	struct buf partial; /* the event in progress */
	int64_t last_id;    /* of the last whole event; -1: none */
	uint64_t events;    /* whole events so far */
	bool ordered;	    /* ids went up by one each time */
	bool too_large;
};

void evs_init(struct evs *s);
void evs_free(struct evs *s);

/*
 * Takes bytes; appends the whole events among them to `out` and returns
 * their number. `skip_to`: events with an id up to this one are left out
 * (-1: none), for an endpoint that begins before the point asked for.
 */
size_t evs_feed(struct evs *s, const char *data, size_t len, int64_t skip_to,
		struct buf *out);

/* True if bytes of an event that has not ended are held. */
bool evs_has_partial(const struct evs *s);

/* A new source follows: the torn event is dropped, ids go on. */
void evs_drop_partial(struct evs *s);

#endif
