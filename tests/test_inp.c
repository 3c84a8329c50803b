/* Timers run after the input that had arrived before they were due. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/rnd.h"
#include "io/inp.h"
#include "io/ioc.h"
#include "support/unit.h"

#define MAX_CONNS 600
#define STALL_MS 20
#define LONG_STALL_MS \
	150 /* more than a process pauses for want of a processor */

struct world {
	struct ev_loop *loop;
	struct inp input;
	struct ioc *conns[MAX_CONNS];
	int peers[MAX_CONNS];
	size_t received, ended;
	ev_timer timer;
	size_t received_before_timer, ended_before_timer;
	bool fired;
	bool echoes; /* input never ends */
	ev_check after_poll;
};

static void on_data(struct ioc *c, const char *data, size_t len)
{
	struct world *w = c->owner;
	size_t i;

	(void)data;
	w->received += len;
	for (i = 0; w->echoes && i < MAX_CONNS; i++) {
		if (w->conns[i] == c && write(w->peers[i], "x", 1) != 1)
			CU_FAIL("cannot write to a peer");
	}
}

static void on_ended(struct ioc *c, enum ioc_end how)
{
	struct world *w = c->owner;
	size_t i;

	(void)how;
	for (i = 0; i < MAX_CONNS; i++) {
		if (w->conns[i] == c)
			w->conns[i] = NULL;
	}
	w->ended++;
}

static const struct ioc_vtable vtable = { .data = on_data, .ended = on_ended };

static void on_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct world *w = t->data;

	(void)revents;
	if (inp_defers(loop, t))
		return;
	w->fired = true;
	w->received_before_timer = w->received;
	w->ended_before_timer = w->ended;
	ev_break(loop, EVBREAK_ALL);
}

/* Connections of which each one has `bytes` to be read as the timer is due. */
static void open_world(struct world *w, size_t nr_conns, size_t bytes)
{
	char data[100000];
	int pair[2], buffer = 400000;
	size_t i;

	memset(w, 0, sizeof(*w));
	memset(data, 'x', sizeof(data));
	w->loop = ev_loop_new(EVBACKEND_EPOLL);
	inp_attach(&w->input, w->loop);
	ev_timer_init(&w->timer, on_timer, (double)STALL_MS / 2000, 0);
	w->timer.data = w;
	ev_timer_start(w->loop, &w->timer);
	for (i = 0; i < nr_conns; i++) {
		CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX,
						 SOCK_STREAM | SOCK_NONBLOCK, 0,
						 pair),
				      0);
		setsockopt(pair[1], SOL_SOCKET, SO_SNDBUF, &buffer,
			   sizeof(buffer));
		w->conns[i] = ioc_adopt(w->loop, pair[0], NULL, &vtable, w);
		w->peers[i] = pair[1];
		CU_ASSERT_EQUAL(write(pair[1], data, bytes), (ssize_t)bytes);
	}
}

/* The process stands still until the timer is due, and runs again. */
static void run_after_stall(struct world *w)
{
	clk_sleep_ms(STALL_MS);
	ev_now_update(w->loop);
	ev_run(w->loop, 0);
	CU_ASSERT(w->fired);
}

static void close_world(struct world *w)
{
	size_t i;

	for (i = 0; i < MAX_CONNS; i++) {
		if (w->conns[i])
			ioc_close(w->conns[i]);
		if (w->peers[i] > 0)
			close(w->peers[i]);
	}
	ev_loop_destroy(w->loop);
}

/* A time-out ended calls whose responses were in their sockets. */
static void a_timer_runs_after_input_of_the_same_poll(void)
{
	struct world w;

	open_world(&w, 1, 10);
	run_after_stall(&w);
	CU_ASSERT_EQUAL(w.received_before_timer, 10);
	close_world(&w);
}

/* The same, for descriptors beyond those that one poll reports. */
static void a_timer_runs_after_input_of_many_descriptors(void)
{
	struct world w;
	size_t n;

	for (n = 60; n <= MAX_CONNS; n += 60) {
		open_world(&w, n, 10);
		run_after_stall(&w);
		CU_ASSERT_EQUAL(w.received_before_timer, 10 * n);
		close_world(&w);
	}
}

/* The same, for more input than one read takes. */
static void a_timer_runs_after_all_input_of_a_descriptor(void)
{
	struct world w;

	open_world(&w, 1, 100000);
	run_after_stall(&w);
	CU_ASSERT_EQUAL(w.received_before_timer, 100000);
	close_world(&w);
}

/* The end of an answer without framing was in the socket, behind its last bytes. */
static void a_timer_runs_after_the_end_of_a_connection(void)
{
	struct world w;
	size_t n, i;

	for (n = 30; n <= MAX_CONNS; n += 30) {
		open_world(&w, n, 10);
		for (i = 0; i < n; i++)
			shutdown(w.peers[i], SHUT_WR);
		run_after_stall(&w);
		CU_ASSERT_EQUAL(w.received_before_timer, 10 * n);
		CU_ASSERT_EQUAL(w.ended_before_timer, n);
		close_world(&w);
	}
}

/*
 * The same, for descriptors that can be written as well: a poll reports both events of a
 * descriptor as one.
 */
static void a_timer_runs_after_input_of_descriptors_to_write(void)
{
	static char data[400000];
	struct world w;
	size_t n, i;

	for (n = 30; n <= MAX_CONNS; n += 30) {
		open_world(&w, n, 10);
		for (i = 0; i < n; i++)
			ioc_write(w.conns[i], data, sizeof(data));
		for (i = 0; i < n; i++) {
			while (read(w.peers[i], data, sizeof(data)) > 0)
				;
		}
		run_after_stall(&w);
		CU_ASSERT_EQUAL(w.received_before_timer, 10 * n);
		close_world(&w);
	}
}

static void send_after_poll(struct ev_loop *loop, ev_check *check, int revents)
{
	struct world *w = check->data;

	(void)revents;
	ev_check_stop(loop, check);
	CU_ASSERT_EQUAL(write(w->peers[0], "x", 1), 1);
}

/*
 * A process that was suspended in a poll found time-outs elapsed before it polled again:
 * SIGCONT interrupts epoll_wait(), which then reports nothing.
 */
static void a_timer_runs_after_input_that_a_poll_missed(void)
{
	struct world w;

	open_world(&w, 1, 0);
	ev_check_init(&w.after_poll, send_after_poll);
	ev_set_priority(&w.after_poll, EV_MAXPRI);
	w.after_poll.data = &w;
	ev_check_start(w.loop, &w.after_poll);
	run_after_stall(&w);
	CU_ASSERT_EQUAL(w.received_before_timer, 1);
	close_world(&w);
}

static void begin_poll(struct ev_loop *loop)
{
	(void)loop;
}

/* Follows epoll_wait(), before the time of the poll is taken. */
static void stall_in_poll(struct ev_loop *loop)
{
	struct world *w =
		caa_container_of(ev_userdata(loop), struct world, input);

	ev_set_loop_release_cb(loop, NULL, NULL);
	CU_ASSERT_EQUAL(write(w->peers[0], "x", 1), 1);
	clk_sleep_ms(LONG_STALL_MS);
}

static void on_early_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	bool *stalled = t->data;

	(void)revents;
	if (!inp_defers(loop, t) || *stalled)
		return;
	*stalled = true;
	ev_set_loop_release_cb(loop, begin_poll, stall_in_poll);
}

/*
 * The same, in a poll for which another timer had been deferred: it began before the
 * time-out was due.
 */
static void a_timer_runs_after_input_that_a_deferring_poll_missed(void)
{
	struct world w;
	bool stalled = false;
	ev_timer early;

	open_world(&w, 1, 0);
	ev_timer_init(&early, on_early_timer, 0, 0);
	early.data = &stalled;
	ev_timer_start(w.loop, &early);
	ev_run(w.loop, 0);
	CU_ASSERT(w.fired);
	CU_ASSERT_EQUAL(w.received_before_timer, 1);
	ev_timer_stop(w.loop, &early);
	close_world(&w);
}

/* Without a limit, busy connections would hold time-outs back for good. */
static void input_without_end_does_not_hold_timers_back(void)
{
	struct world w;

	open_world(&w, 200, 10);
	w.echoes = true;
	run_after_stall(&w);
	CU_ASSERT(w.received_before_timer >= 2000);
	CU_ASSERT(ev_iteration(w.loop) < 20);
	close_world(&w);
}

static void on_repeat(struct ev_loop *loop, ev_timer *t, int revents)
{
	int *n = t->data;

	(void)revents;
	if (!inp_defers(loop, t) && ++*n == 3)
		ev_break(loop, EVBREAK_ALL);
}

static void a_deferred_timer_keeps_its_interval(void)
{
	struct world w;
	ev_timer repeat;
	int n = 0;

	open_world(&w, 200, 10);
	ev_timer_stop(w.loop, &w.timer);
	ev_timer_init(&repeat, on_repeat, 0, 0.001);
	repeat.data = &n;
	ev_timer_start(w.loop, &repeat);
	ev_run(w.loop, 0);
	CU_ASSERT_EQUAL(n, 3);
	CU_ASSERT_EQUAL(w.received, 2000);
	CU_ASSERT_EQUAL(repeat.repeat, 0.001);
	ev_timer_stop(w.loop, &repeat);
	close_world(&w);
}

static const struct unit_test tests[] = {
	{ "a timer runs after the input of the same poll",
	  a_timer_runs_after_input_of_the_same_poll },
	{ "a timer runs after the input of many descriptors",
	  a_timer_runs_after_input_of_many_descriptors },
	{ "a timer runs after input of descriptors to write",
	  a_timer_runs_after_input_of_descriptors_to_write },
	{ "a timer runs after all input of a descriptor",
	  a_timer_runs_after_all_input_of_a_descriptor },
	{ "a timer runs after the end of a connection",
	  a_timer_runs_after_the_end_of_a_connection },
	{ "a timer runs after input that a poll missed",
	  a_timer_runs_after_input_that_a_poll_missed },
	{ "a timer runs after input that a deferring poll missed",
	  a_timer_runs_after_input_that_a_deferring_poll_missed },
	{ "input without end does not hold timers back",
	  input_without_end_does_not_hold_timers_back },
	{ "a deferred timer keeps its interval",
	  a_deferred_timer_keeps_its_interval },
};

UNIT_MAIN("test_inp", tests)
