/*
 * hand: hand-over of a running stream from a draining endpoint to another one,
 * with a copy of its KV cache.
 *
 * The source endpoint is asked to stop the run and to copy the KV cache to the
 * target. The request is then sent to the target with a handle to the copy, and
 * continues after the last event that the client has. It is the same run, so a
 * request that must not run twice survives as well.
 *
 * Two things happen in either order: the source closes its stream without the
 * final event, and the hand-over call is answered. The state machine waits for
 * both. Otherwise the request could continue while events of the source are in
 * flight, and the client would get them twice; or a stream that was stopped at
 * our request would be reported as lost.
 *
 * Pure state machine: no I/O. A zeroed struct is the initial state; there is
 * one for each endpoint that a stream runs at.
 */
#ifndef HAND_H
#define HAND_H

#include <stdbool.h>
#include <stdint.h>

enum hand_state {
	HAND_NONE,	/* no hand-over */
	HAND_REQUESTED, /* the call is in flight */
	HAND_GRANTED,	/* the run is stopped, its KV cache is copied */
	HAND_REFUSED,	/* or the call failed */
};

/* What the caller has to do after an event. */
enum hand_step {
	HAND_NO_CHANGE, /* the stream continues at the source */
	HAND_WAIT,	/* for the answer, or for the source's last events */
	HAND_CONTINUE,	/* send the request to the target */
	HAND_LOST,	/* the stream broke, and nothing was copied */
	HAND_ENDED,	/* the stream closed; whole.h says if it was complete */
};

struct hand {
	enum hand_state state;
	bool stream_broken;	/* the source's stream broke off */
	bool stream_closed;	/* it closed as it does at its end */
	bool refused_stopped;	/* refused, but the run may have been stopped */
	int64_t events_at_stop; /* events that the run made at the source */
	int64_t copy_ended_ms;	/* last call for a copy; 0: none was made */
};

/* struct hand.copy_ended_ms while the call is in flight. */
#define HAND_COPY_PENDING INT64_MAX

/* The hand-over call was sent; allowed once, in state HAND_NONE. */
void hand_on_requested(struct hand *h);

/*
 * The call was granted; only in state HAND_REQUESTED. `events_at_stop`: events
 * that the run had made when it stopped; `last_id`: the last whole event
 * received from the source.
 */
enum hand_step hand_on_granted(struct hand *h, int64_t events_at_stop,
			       int64_t last_id);

/*
 * The call was refused, or its answer was lost; only in HAND_REQUESTED.
 * `may_have_stopped`: the source may have stopped the run all the same.
 */
enum hand_step hand_on_refused(struct hand *h, bool may_have_stopped);

/* The source's stream broke off. */
enum hand_step hand_on_stream_broken(struct hand *h);

/*
 * The source's stream closed as it does at its end. If its length is not
 * stated, it may also have closed because the run was stopped, see
 * hand_may_have_stopped().
 */
enum hand_step hand_on_stream_closed(struct hand *h);

/* True if the source has stopped the run for the call, or may have. */
bool hand_may_have_stopped(const struct hand *h);

/* A copy was requested while the run goes on, before any hand-over call. */
void hand_on_copy_requested(struct hand *h);

/* That call, or a refused hand-over call, has ended; `now_ms`: monotonic. */
void hand_on_copy_ended(struct hand *h, int64_t now_ms);

/*
 * True if a run that closed may have been stopped although it had to go on while
 * it was copied: some endpoints stop a run at any call. Events that arrive well
 * after such a call show that this one goes on; `last_event_ms`: of the last one.
 */
bool hand_may_have_stopped_early(const struct hand *h, int64_t last_event_ms);

/* Events were received; `last_id`: of the last whole one. */
enum hand_step hand_on_event(const struct hand *h, int64_t last_id);

#endif
