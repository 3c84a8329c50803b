#include "io/inp.h"

#include <string.h>

/* Events that libev's first call of epoll_wait() reports at most. */
#define FIRST_POLL_MAX 64

/* Events that are not counted: of listeners and of other kinds of descriptors. */
#define OTHER_EVENTS 8

/* A poll that was full doubles the next one: this many cover 8,000 descriptors. */
#define MAX_DEFERRED 10

/*
 * A poll for which timers were deferred does not wait. If it takes longer, s, the process
 * was suspended in it, and time-outs are due that were not when it began. A process that
 * gets a part of a processor pauses for less.
 */
#define MAX_POLL_S 0.1

void inp_attach(struct inp *p, struct ev_loop *loop)
{
	memset(p, 0, sizeof(*p));
	p->poll_max = FIRST_POLL_MAX;
	ev_set_userdata(loop, p);
}

static void begin_iteration(struct inp *p, struct ev_loop *loop)
{
	const unsigned iteration = ev_iteration(loop);

	if (p->iteration == iteration)
		return;
	p->polled_for = p->defers && p->iteration + 1 == iteration &&
			ev_now(loop) - p->deferred_s < MAX_POLL_S;
	p->iteration = iteration;
	p->nr_events = 0;
	p->more = p->decided = p->defers = false;
}

void inp_event(struct ev_loop *loop, bool more)
{
	struct inp *p = ev_userdata(loop);

	if (!p)
		return;
	begin_iteration(p, loop);
	p->nr_events++;
	p->more |= more;
}

/* True if the poll may not have reported all descriptors, or not all bytes were read. */
static bool is_input_left(const struct inp *p)
{
	return p->more || p->nr_events + OTHER_EVENTS >= p->poll_max;
}

/*
 * True if one more poll is needed. The first one that leaves no input is followed by
 * another one, since the end of a connection is read after its last bytes.
 */
static bool needs_poll(struct inp *p)
{
	if (!p->polled_for || is_input_left(p)) {
		p->all_read = false;
		return true;
	}
	if (!p->nr_events || p->all_read)
		return false;
	p->all_read = true;
	return true;
}

/* Decides once in an iteration, after all its events of descriptors. */
static void decide(struct inp *p)
{
	p->decided = true;
	p->defers = needs_poll(p) && p->nr_deferred < MAX_DEFERRED;
	p->nr_deferred = p->defers ? p->nr_deferred + 1 : 0;
	p->deferred_s = ev_time();
	if (p->nr_events >= p->poll_max)
		p->poll_max *= 2; /* as libev does */
}

bool inp_defers(struct ev_loop *loop, ev_timer *t)
{
	struct inp *p = ev_userdata(loop);

	if (!p)
		return false;
	begin_iteration(p, loop);
	if (!p->decided)
		decide(p);
	if (!p->defers)
		return false;
	ev_timer_stop(loop, t);
	ev_timer_set(t, 0, t->repeat);
	ev_timer_start(loop, t);
	return true;
}

void inp_add_stall(struct inp *p, int64_t ms)
{
	p->stalled_ms += ms;
}

int64_t inp_stalled_ms(struct ev_loop *loop)
{
	const struct inp *p = ev_userdata(loop);

	return p ? p->stalled_ms : 0;
}
