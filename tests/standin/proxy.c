/*
 * A proxy on loopback that harms the connections through it, for tests of
 * faults from outside the processes.
 *
 * Options: --to IP:PORT, --mode FILE. Prints "ready ADDRESS". The file holds
 * one word and is read anew 50 times a second:
 *   pass    bytes go on as they come
 *   delay   in bursts, each 200 ms
 *   up      those from the caller are held (the other way goes on)
 *   down    those to the caller are held
 *   silent  both are held, new connections too
 *   reset   all connections are reset, new ones as well
 */
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "io/ioc.h"
#include "standin/common.h"

#define TICK_S 0.02
#define DELAY_TICKS 10

struct pair {
	struct cds_list_head node;
	struct ioc *caller, *server; /* NULL: closed */
};

static struct {
	struct ev_loop *loop;
	struct sockaddr_in to;
	const char *mode_file;
	char mode[16];
	struct cds_list_head pairs;
	unsigned ticks;
	ev_io acceptor;
	ev_timer tick;
} w;

static bool mode_is(const char *mode)
{
	return !strcmp(w.mode, mode);
}

static void drop(struct pair *p, bool reset)
{
	if (p->caller)
		(reset ? ioc_abort : ioc_close)(p->caller);
	if (p->server)
		(reset ? ioc_abort : ioc_close)(p->server);
	cds_list_del(&p->node);
	free(p);
}

/* Holds what the mode holds. */
static void apply(struct pair *p)
{
	const bool wait = mode_is("silent") ||
			  (mode_is("delay") && w.ticks % DELAY_TICKS);

	if (p->caller)
		ioc_pause(p->caller, wait || mode_is("up"));
	if (p->server)
		ioc_pause(p->server, wait || mode_is("down"));
}

static void on_connected(struct ioc *c)
{
	(void)c;
}

static void on_data(struct ioc *c, const char *data, size_t len)
{
	struct pair *p = c->owner;
	struct ioc *other = c == p->caller ? p->server : p->caller;

	if (other)
		ioc_write(other, data, len);
}

/* The other side is closed once it has all that came before. */
static void finish(struct pair *p)
{
	struct ioc *left = p->caller ? p->caller : p->server;

	if (!left || !ioc_pending(left))
		drop(p, false);
}

static void on_drained(struct ioc *c)
{
	struct pair *p = c->owner;

	if (!p->caller || !p->server)
		finish(p);
}

static void on_ended(struct ioc *c, enum ioc_end how)
{
	struct pair *p = c->owner;

	ioc_close(c);
	if (c == p->caller)
		p->caller = NULL;
	else
		p->server = NULL;
	if (how == IOC_END_CLOSED)
		finish(p);
	else
		drop(p, true);
}

static const struct ioc_vtable vtable = { on_connected, on_data, on_drained,
					  on_ended };

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	static const struct ioc_timeouts patience = { 0, 0 };
	const int fd =
		accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *p;

	(void)revents;
	if (fd < 0)
		return;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	cds_list_add_tail(&p->node, &w.pairs);
	p->caller = ioc_adopt(loop, fd, &patience, &vtable, p);
	p->server = ioc_connect(loop, &w.to, &patience, &vtable, p, NULL);
	if (!p->server || mode_is("reset"))
		drop(p, true);
	else
		apply(p);
}

static void read_mode(void)
{
	FILE *f = fopen(w.mode_file, "r");
	char word[16] = "";

	/* While the file is written anew the last mode holds. */
	if (f && fscanf(f, "%15s", word) == 1)
		str_copy(w.mode, word, sizeof(w.mode));
	if (f)
		fclose(f);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct pair *p, *next;

	(void)loop;
	(void)t;
	(void)revents;
	w.ticks++;
	read_mode();
	cds_list_for_each_entry_safe(p, next, &w.pairs, node) {
		if (mode_is("reset"))
			drop(p, true);
		else
			apply(p);
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in at;
	socklen_t size = sizeof(at);
	struct err e = ERR_INIT;
	int fd;

	signal(SIGPIPE, SIG_IGN);
	w.loop = ev_default_loop(EVFLAG_AUTO);
	w.mode_file = standin_option(argc, argv, "mode", "/dev/null");
	strcpy(w.mode, "pass");
	CDS_INIT_LIST_HEAD(&w.pairs);
	if (ioc_address(standin_option(argc, argv, "to", ""), &w.to, &e) ||
	    ioc_address("127.0.0.1:0", &at, &e) ||
	    (fd = ioc_listen(&at, &e)) < 0) {
		fprintf(stderr, "proxy: %s\n", e.text);
		return 1;
	}
	getsockname(fd, (struct sockaddr *)&at, &size);
	printf("ready 127.0.0.1:%d\n", ntohs(at.sin_port));
	fflush(stdout);
	ev_io_init(&w.acceptor, on_accept, fd, EV_READ);
	ev_io_start(w.loop, &w.acceptor);
	ev_timer_init(&w.tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(w.loop, &w.tick);
	ev_run(w.loop, 0);
	return 0;
}
