/*
 * A library for one process under test: cuts it off from all endpoints, while
 * it and all other processes share the loopback interface.
 *
 * Connections to 127.0.0.2, the endpoints' address, count as connections to
 * endpoints. The file CUT_FILE holds one word, and after it the port of the only
 * endpoint concerned (none: all). It is read again at most every CHECK_MS:
 *   pass    nothing happens
 *   hang    what endpoints send is lost, so that connections hang, new ones too
 *   reset   all connections are reset, and new ones are refused
 *   refuse  new connections are refused; established ones go on
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
	REFUSE
};

static enum mode mode;
static unsigned only_port; /* 0: all endpoints */
static long long checked_ms;
static unsigned endpoint_port[MAX_FDS]; /* 0: no connection to an endpoint */

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

static void change(enum mode to, unsigned port)
{
	int fd;

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
}

static void check(void)
{
	static const char *const words[] = { "pass", "hang", "reset",
					     "refuse" };
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
	if (at.sin_addr.s_addr != inet_addr(ENDPOINTS))
		return real_connect(fd, to, len);
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
	if (fd >= 0 && fd < MAX_FDS)
		endpoint_port[fd] = 0;
	return next(fd);
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
