/*
 * inp: input before timers.
 *
 * A timer that judges what did not arrive in time, such as a time-out, must not run
 * before the input that did arrive was read. An event loop does not guarantee that:
 *
 * - libev runs the watchers of one priority from the last that became ready to the
 *   first, so timers run before the sockets of the same poll;
 * - a poll that a signal interrupts reports nothing, and one that ended before the
 *   process was suspended reports what was there then;
 * - epoll_wait() reports a limited number of descriptors.
 *
 * Watchers of input therefore have a higher priority, and a timer that is due is
 * deferred until a poll that began afterwards has reported all input. A limit on these
 * polls keeps input without end from holding timers back for good.
 */
#ifndef INP_H
#define INP_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* Of watchers of input, to be set before they are started. */
#define INP_PRIORITY 1

/* One for each event loop. */
struct inp {
	unsigned iteration; /* ev_iteration() that the following is of */
	unsigned nr_events; /* of descriptors */
	bool more;	 /* input may be left on a descriptor that was read */
	bool polled_for; /* timers were deferred in the iteration before */
	bool decided;	 /* whether they are deferred in this one: */
	bool defers;
	double deferred_s;    /* ev_time() of the decision */
	bool all_read;	      /* the poll before left no input */
	unsigned nr_deferred; /* iterations in a row with deferred timers */
	unsigned poll_max;    /* events that a poll reports at least */
	int64_t stalled_ms; /* time in which the process did not run, in all */
};

/*
 * Attaches `p` to the loop, whose user data it takes; it must outlive the loop. Without
 * it timers only run after the input of the same poll.
 */
void inp_attach(struct inp *p, struct ev_loop *loop);

/*
 * To be called for each event of a descriptor. `more`: the read filled its buffer, so that
 * input may be left.
 */
void inp_event(struct ev_loop *loop, bool more);

/*
 * To be called first by the callback of a timer. True: input may be left, and the callback
 * is called again in the next iteration.
 */
bool inp_defers(struct ev_loop *loop, ev_timer *t);

/* To be called after each time in which the process did not run, in ms. */
void inp_add_stall(struct inp *p, int64_t ms);

/*
 * The sum of these times, ms: a time-out of what a peer sends that contains a part of it
 * is extended by that, since a peer whose window is full sends nothing meanwhile.
 */
int64_t inp_stalled_ms(struct ev_loop *loop);

#endif
