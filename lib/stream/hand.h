/*
 * hand: handing a running stream from an endpoint that leaves to another
 * one, with the memory of its prompt.
 *
 * The endpoint that runs it is asked to stop the run and to copy its memory
 * to the other one; the request is then sent there, with a handle to the
 * copy, and goes on after the last event that the caller has. It is the same
 * run, so a stream that may not be run twice survives as well.
 *
 * Two things end in either order: the stream of the first endpoint, which
 * closes without its end, and the answer to the call. What goes wrong
 * without both: the request goes on while events of the first endpoint are
 * still on the way, and the caller gets them twice; or a stream that was
 * stopped on our own word is told to be lost.
 */
#ifndef HAND_H
#define HAND_H

#include <stdbool.h>
#include <stdint.h>

enum hand_state {
	HAND_NONE,
	HAND_REQUESTED,
	HAND_GRANTED, /* the run is stopped, its memory is copied */
	HAND_REFUSED, /* or no answer came */
};

enum hand_step {
	HAND_NO_CHANGE, /* the stream goes on where it is */
	HAND_WAIT,	/* for the other of the two */
	HAND_CONTINUE,	/* send the request to the target */
	HAND_LOST,	/* the stream broke, and nothing was copied */
	HAND_DONE,	/* the stream had come to its end before */
};

struct hand {
	enum hand_state state;
	bool stream_broken;	/* the first endpoint's stream closed */
	bool stream_closed;	/* in a way that may be its end */
	int64_t events_at_stop; /* events that the run had made when it stopped */
};

/* The call is sent. A stream is handed on once from each endpoint. */
void hand_on_requested(struct hand *h);

/* The call was granted: `created` events were made until then. */
enum hand_step hand_on_granted(struct hand *h, int64_t created,
			       int64_t last_id);

/* The call was refused, or its answer was lost. */
enum hand_step hand_on_refused(struct hand *h);

/* The stream closed without its end. */
enum hand_step hand_on_stream_broken(struct hand *h);

/*
 * The stream closed as it does at its end. Where its length is not stated
 * that may also be the stop that we asked for: the answer tells.
 */
enum hand_step hand_on_stream_closed(struct hand *h);

/* Events came; `last_id`: of the last whole one. */
enum hand_step hand_on_event(const struct hand *h, int64_t last_id);

#endif
