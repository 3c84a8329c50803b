/*
 * A library for one process under test: cuts it off from all endpoints, or from
 * the store and its peers, while it and all other processes share the loopback
 * interface.
 *
 * Connections to 127.0.0.2, the endpoints' address, count as connections to
 * endpoints. The file CUT_FILE holds one word, and after it the port of the only
 * endpoint concerned (none: all). It is read again at most every CHECK_MS:
 *   pass    nothing happens
 *   hang    what endpoints send is lost, so that connections hang, new ones too
 *   reset   all connections are reset, and new ones are refused
 *   refuse  new connections are refused; established ones go on
 *
 * All other connections of the process, its datagrams, and the connections that
 * it accepts on the port of its datagrams are to or from the store and its peers.
 * Callers' connections, accepted on other ports, and those to endpoints go on:
 *   alone   what is sent and what arrives is lost; with a port, only on
 *           connections to that port (the store's)
 *   deaf    what arrives is lost
 *   mute    what is sent is lost, on established connections too; new ones hang
 * Lost bytes of a connection are not sent again: it is reset when the word changes.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_FDS 65536
#define CHECK_MS 10
#define ENDPOINTS "127.0.0.2"
/* Nothing listens here. */
#define REFUSING_PORT 1

enum mode {
	PASS,
	HANG,
	RESET,
	REFUSE,
	ALONE,
	DEAF,
	MUTE
};

static enum mode mode;
static unsigned only_port; /* 0: all endpoints */
static long long checked_ms;
static unsigned endpoint_port[MAX_FDS]; /* 0: no connection to an endpoint */
static unsigned other_port[MAX_FDS]; /* connected to, no endpoint's; 0: none */
static unsigned own_port[MAX_FDS];   /* listens, or was accepted there; 0: no */
static bool lost_bytes[MAX_FDS];     /* of what was sent on a connection */
static unsigned datagram_port;	     /* of this process; 0: none */

static long long now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static int real_connect(int fd, const struct sockaddr *to, socklen_t len)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);

	if (!next)
		next = (int (*)(int, const struct sockaddr *,
				socklen_t))dlsym(RTLD_NEXT, "connect");
	return next(fd, to, len);
}

/* `lose`: what arrives on the connection is dropped, acknowledgements too. */
static void lose_incoming(int fd, bool lose)
{
	struct sock_filter drop = { BPF_RET | BPF_K, 0, 0, 0 };
	const struct sock_fprog all = { 1, &drop };
	const int none = 0;

	if (lose)
		setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &all, sizeof(all));
	else
		setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none,
			   sizeof(none));
}

static void reset(int fd)
{
	const struct sockaddr nowhere = { .sa_family = AF_UNSPEC };

	real_connect(fd, &nowhere, sizeof(nowhere));
}

static bool concerned(unsigned port)
{
	return port && (!only_port || port == only_port);
}

/* Port of a connection or socket to the store or peers; 0: it is none. */
static unsigned fleet_port(int fd)
{
	if (fd < 0 || fd >= MAX_FDS)
		return 0;
	if (other_port[fd])
		return other_port[fd];
	return own_port[fd] == datagram_port ? own_port[fd] : 0;
}

static bool loses_what_arrives(void)
{
	return mode == ALONE || mode == DEAF;
}

static bool loses_what_is_sent(int fd)
{
	return (mode == ALONE || mode == MUTE) && concerned(fleet_port(fd));
}

/* A new connection hangs if it loses either what it sends or what arrives. */
static bool new_one_hangs(int fd)
{
	return (loses_what_arrives() || mode == MUTE) &&
	       concerned(fleet_port(fd));
}

/* True if peers open connections at this socket. */
static bool is_listener(int fd)
{
	int is = 0;
	socklen_t len = sizeof(is);

	return !getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is, &len) && is;
}

static void change_fleet(bool cut)
{
	int fd;

	for (fd = 0; fd < MAX_FDS; fd++) {
		if (!concerned(fleet_port(fd)))
			continue;
		if (loses_what_arrives() || (mode == MUTE && is_listener(fd)))
			lose_incoming(fd, cut);
		else if (mode == MUTE && !cut)
			lose_incoming(fd, false);
		if (!cut && lost_bytes[fd])
			reset(fd);
		lost_bytes[fd] = false;
	}
}

static void change(enum mode to, unsigned port)
{
	int fd;

	change_fleet(false);

	for (fd = 0; fd < MAX_FDS; fd++) {
		if (mode == HANG && concerned(endpoint_port[fd]))
			lose_incoming(fd, false);
	}
	mode = to;
	only_port = port;
	for (fd = 0; fd < MAX_FDS; fd++) {
		if (mode == HANG && concerned(endpoint_port[fd]))
			lose_incoming(fd, true);
		if (mode == RESET && concerned(endpoint_port[fd]))
			reset(fd);
	}
	change_fleet(true);
}

static void check(void)
{
	static const char *const words[] = {
		"pass", "hang", "reset", "refuse", "alone", "deaf", "mute",
	};
	const char *path = getenv("CUT_FILE");
	char text[32] = "";
	unsigned port;
	size_t i, len;
	ssize_t n;
	int fd;

	if (!path || now_ms() - checked_ms < CHECK_MS)
		return;
	checked_ms = now_ms();
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return;
	n = read(fd, text, sizeof(text) - 1);
	close(fd);
	text[n > 0 ? n : 0] = '\0';
	len = strcspn(text, " \n");
	port = (unsigned)strtoul(text + len, NULL, 10);
	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (strlen(words[i]) == len && !strncmp(text, words[i], len) &&
		    (mode != (enum mode)i || only_port != port))
			change((enum mode)i, port);
	}
}

/* The system headers use reserved names. */
/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
int connect(int fd, const struct sockaddr *to, socklen_t len)
{
	struct sockaddr_in at;

	if (to->sa_family != AF_INET || fd >= MAX_FDS)
		return real_connect(fd, to, len);
	memcpy(&at, to, sizeof(at));
	if (at.sin_addr.s_addr != inet_addr(ENDPOINTS)) {
		check();
		other_port[fd] = ntohs(at.sin_port);
		if (new_one_hangs(fd))
			lose_incoming(fd, true);
		return real_connect(fd, to, len);
	}
	check();
	endpoint_port[fd] = ntohs(at.sin_port);
	if (mode == HANG && concerned(endpoint_port[fd]))
		lose_incoming(fd, true);
	if ((mode == RESET || mode == REFUSE) && concerned(endpoint_port[fd]))
		at.sin_port = htons(REFUSING_PORT);
	return real_connect(fd, (const struct sockaddr *)&at, sizeof(at));
}

int close(int fd)
{
	static int (*next)(int);

	if (!next)
		next = (int (*)(int))dlsym(RTLD_NEXT, "close");
	if (fd >= 0 && fd < MAX_FDS) {
		endpoint_port[fd] = other_port[fd] = own_port[fd] = 0;
		lost_bytes[fd] = false;
	}
	return next(fd);
}

static unsigned port_of(int fd)
{
	struct sockaddr_in at = { 0 };
	socklen_t len = sizeof(at);

	if (getsockname(fd, (struct sockaddr *)&at, &len) ||
	    at.sin_family != AF_INET)
		return 0;
	return ntohs(at.sin_port);
}

/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
int bind(int fd, const struct sockaddr *at, socklen_t len)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);
	int type = 0, result;
	socklen_t size = sizeof(type);

	if (!next)
		next = (int (*)(int, const struct sockaddr *,
				socklen_t))dlsym(RTLD_NEXT, "bind");
	result = next(fd, at, len);
	if (!result && fd < MAX_FDS &&
	    !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size)) {
		own_port[fd] = port_of(fd);
		if (type == SOCK_DGRAM)
			datagram_port = own_port[fd];
	}
	return result;
}

/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
int accept4(int fd, struct sockaddr *from, socklen_t *len, int flags)
{
	static int (*next)(int, struct sockaddr *, socklen_t *, int);
	int got;

	if (!next)
		next = (int (*)(int, struct sockaddr *, socklen_t *,
				int))dlsym(RTLD_NEXT, "accept4");
	got = next(fd, from, len, flags);
	if (got >= 0 && got < MAX_FDS)
		own_port[got] = port_of(got);
	return got;
}

/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
ssize_t send(int fd, const void *data, size_t len, int flags)
{
	static ssize_t (*next)(int, const void *, size_t, int);

	if (!next)
		next = (ssize_t(*)(int, const void *, size_t,
				   int))dlsym(RTLD_NEXT, "send");
	if (!loses_what_is_sent(fd))
		return next(fd, data, len, flags);
	lost_bytes[fd] = true;
	return (ssize_t)len;
}

/* NOLINTBEGIN(readability-inconsistent-declaration-parameter-name) */
ssize_t sendto(int fd, const void *data, size_t len, int flags,
	       const struct sockaddr *to, socklen_t size)
/* NOLINTEND(readability-inconsistent-declaration-parameter-name) */
{
	static ssize_t (*next)(int, const void *, size_t, int,
			       const struct sockaddr *, socklen_t);

	if (!next)
		next = (ssize_t(*)(int, const void *, size_t, int,
				   const struct sockaddr *,
				   socklen_t))dlsym(RTLD_NEXT, "sendto");
	if (loses_what_is_sent(fd))
		return (ssize_t)len;
	return next(fd, data, len, flags, to, size);
}

/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
int epoll_wait(int fd, struct epoll_event *events, int max, int timeout)
{
	static int (*next)(int, struct epoll_event *, int, int);

	if (!next)
		next = (int (*)(int, struct epoll_event *, int,
				int))dlsym(RTLD_NEXT, "epoll_wait");
	check();
	return next(fd, events, max, timeout);
}
