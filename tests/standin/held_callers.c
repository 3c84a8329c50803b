/*
 * standin-held_callers: many callers, each on a connection that it keeps to one
 * entry, sending request after request until the entry closes it; then it goes
 * on at another entry. Each answer is checked, and a line is printed for each
 * request:
 *
 *   ID ENTRY PATH SENT_MS LAST_BYTE_MS END_MS RESULT EVENTS fresh|kept
 *
 * Times are of the wall clock; LAST_BYTE_MS: the request's last byte was sent.
 * RESULT: "whole"; "torn": framed as complete, with a wrong body; a status;
 * "closed": no byte of an answer came; "cut": the connection ended within the
 * answer; "left": the caller left at its deadline.
 *
 * Options: --entries FILE (lines "N ADDRESS", read again for each connection),
 * --stop FILE (ends once it exists), --callers N, --slow N (of them, the first,
 * read slowly), --seed N, --deadline MS, --paths a,b,... (as /s/x), --pause MS
 * (at most, between requests).
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/rnd.h"
#include "common.h"

#define MAX_CALLERS 1000
#define MAX_ENTRIES 200
#define MAX_PATHS 8
#define EVENTS 20
#define CONNECT_MS 1000
/* A caller that leaves at its deadline gives the entry's 504 this long. */
#define LEAVE_AFTER_MS 500
/* A slow caller's socket buffer, each of its reads, and its longest pause. */
#define SLOW_RCVBUF 4096
#define SLOW_READ 4096
#define SLOW_PAUSE_MS 2500
/* Bytes that a slow caller asks for in each event, to fill its buffer. */
#define SLOW_PAD 4096

struct caller {
	pthread_t thread;
	int number;
	bool slow;
	struct rnd rnd;
	int fd;	     /* -1: none */
	int entry;   /* of the connection */
	int nr_sent; /* on the connection */
	int nr_requests;
};

/* An answer as far as it came. */
struct answer {
	struct buf raw, body;
	int status;
	bool complete, closes;
	int64_t retry_after_ms;
};

static struct {
	const char *entries, *stop;
	long seed, deadline_ms, pause_ms;
	char paths[MAX_PATHS][16];
	uint32_t nr_paths;
} opt;

static int64_t wall_ms(void)
{
	return clk_wall_ms(clk_real());
}

static bool stopped(void)
{
	return !access(opt.stop, F_OK);
}

static void disconnect(struct caller *k)
{
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
}

/* Picks an entry at random. False: there is none. */
static bool pick_entry(struct caller *k, struct sockaddr_in *addr)
{
	struct {
		int number;
		char ip[32];
		int port;
	} list[MAX_ENTRIES];
	uint32_t n = 0;
	FILE *f = fopen(opt.entries, "r");

	while (f && n < MAX_ENTRIES &&
	       fscanf(f, "%d %31[0-9.]:%d", &list[n].number, list[n].ip,
		      &list[n].port) == 3)
		n++;
	if (f)
		fclose(f);
	if (!n)
		return false;
	n = rnd_below(&k->rnd, n);
	k->entry = list[n].number;
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)list[n].port);
	return inet_pton(AF_INET, list[n].ip, &addr->sin_addr) == 1;
}

static bool wait_fd(int fd, short events, int64_t until_ms)
{
	struct pollfd p = { .fd = fd, .events = events };
	const int64_t left = until_ms - standin_now();

	return left > 0 && poll(&p, 1, (int)left) == 1;
}

static bool connect_to_entry(struct caller *k)
{
	const int small = SLOW_RCVBUF;
	struct sockaddr_in addr;
	int error = 0;
	socklen_t len = sizeof(error);

	if (!pick_entry(k, &addr))
		return false;
	k->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (k->fd < 0)
		return false;
	if (k->slow)
		setsockopt(k->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	k->nr_sent = 0;
	if (connect(k->fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    (errno != EINPROGRESS ||
	     !wait_fd(k->fd, POLLOUT, standin_now() + CONNECT_MS) ||
	     getsockopt(k->fd, SOL_SOCKET, SO_ERROR, &error, &len) || error)) {
		disconnect(k);
		return false;
	}
	return true;
}

/* ---- Answers ---- */

static bool is_streaming(const char *path)
{
	return path[1] == 's' || path[1] == 'o';
}

/* The header's value in the head; NULL: not there. */
static const char *header(const char *head, const char *end, const char *name)
{
	const size_t len = strlen(name);
	const char *line = head;

	while ((line = memchr(line, '\n', (size_t)(end - line))) &&
	       ++line < end) {
		if (!strncasecmp(line, name, len) && line[len] == ':')
			return line + len + 1 + strspn(line + len + 1, " ");
	}
	return NULL;
}

/* Collects the body from chunks. True once the last one is there. */
static bool read_chunks(struct answer *a, const char *at, const char *end)
{
	buf_reset(&a->body);
	for (;;) {
		const char *eol = memchr(at, '\n', (size_t)(end - at));
		unsigned long size;

		if (!eol)
			return false;
		size = strtoul(at, NULL, 16);
		at = eol + 1;
		if ((unsigned long)(end - at) < size + 2)
			return false;
		if (!size)
			return true;
		buf_add(&a->body, at, size);
		at += size + 2;
	}
}

/* Reads again all that came; `ended`: nothing more comes. */
static void parse_answer(struct answer *a, bool ended)
{
	const char *raw = buf_cstr(&a->raw);
	const char *end = raw + a->raw.len, *head_end = strstr(raw, "\r\n\r\n");
	const char *value;

	if (!head_end || sscanf(raw, "HTTP/1.%*c %d", &a->status) != 1)
		return;
	head_end += 4;
	value = header(raw, head_end, "Connection");
	a->closes = value && !strncasecmp(value, "close", 5);
	value = header(raw, head_end, "Retry-After");
	a->retry_after_ms = value ? (int64_t)(strtod(value, NULL) * 1000) : 0;
	value = header(raw, head_end, "Transfer-Encoding");
	if (value && !strncasecmp(value, "chunked", 7)) {
		a->complete = read_chunks(a, head_end, end);
		return;
	}
	buf_reset(&a->body);
	buf_add(&a->body, head_end, (size_t)(end - head_end));
	value = header(raw, head_end, "Content-Length");
	a->complete = value ? a->body.len >= strtoul(value, NULL, 10) : ended;
	a->closes |= !value;
}

/* The events that came whole and in order. */
static int count_events(const struct answer *a)
{
	const char *at = buf_cstr(&a->body);
	int n = 0, id, piece;

	while (sscanf(at, "id: %d\ndata: piece %d of ", &id, &piece) == 2 &&
	       id == n + 1 && piece == id && (at = strstr(at, "\n\n"))) {
		at += 2;
		n++;
	}
	return n;
}

static bool body_is_right(const struct answer *a, const char *path,
			  const char *id)
{
	char text[120];

	if (is_streaming(path))
		return count_events(a) == EVENTS;
	snprintf(text, sizeof(text), " ran %s for one", id);
	return strstr(buf_cstr(&a->body), text);
}

/* False: the connection ended, or it is `until_ms`. */
static bool read_more(struct caller *k, struct answer *a, int64_t until_ms)
{
	char data[16384];
	ssize_t n;

	if (k->slow && a->raw.len && !rnd_below(&k->rnd, 8))
		clk_sleep_ms(rnd_below(&k->rnd, SLOW_PAUSE_MS));
	if (!wait_fd(k->fd, POLLIN, until_ms))
		return false;
	n = read(k->fd, data, k->slow ? SLOW_READ : sizeof(data));
	if (n <= 0)
		return n < 0 && errno == EAGAIN;
	buf_add(&a->raw, data, (size_t)n);
	parse_answer(a, false);
	return true;
}

/* ---- Requests ---- */

static bool send_all(struct caller *k, const struct buf *out, int64_t until_ms)
{
	size_t sent = 0;

	while (sent < out->len) {
		const ssize_t n = send(k->fd, out->data + sent, out->len - sent,
				       MSG_NOSIGNAL);

		if (n > 0)
			sent += (size_t)n;
		else if (errno != EAGAIN || !wait_fd(k->fd, POLLOUT, until_ms))
			return false;
	}
	return true;
}

static void put_request(struct caller *k, struct buf *out, const char *path,
			const char *id)
{
	char body[64] = "hello";

	if (k->slow && is_streaming(path))
		snprintf(body, sizeof(body), "hello pad %d", SLOW_PAD);
	buf_fmt(out,
		"POST %s HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: %ld\r\nAuthorization: Bearer k1\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		path, id, opt.deadline_ms, strlen(body), body);
}

static void note(const struct caller *k, const char *id, const char *path,
		 const int64_t times[3], const char *result, int events)
{
	printf("%s %d %s %lld %lld %lld %s %d %s\n", id, k->entry, path,
	       (long long)times[0], (long long)times[1], (long long)times[2],
	       result, events, k->nr_sent > 1 ? "kept" : "fresh");
}

static const char *result_of(struct answer *a, const char *path, const char *id,
			     bool timed_out, char status[16])
{
	if (!a->complete && !timed_out)
		parse_answer(a, true);
	if (a->complete && a->status == 200)
		return body_is_right(a, path, id) ? "whole" : "torn";
	if (a->complete) {
		snprintf(status, 16, "%d", a->status);
		return status;
	}
	if (timed_out)
		return "left";
	return a->raw.len ? "cut" : "closed";
}

static void one_request(struct caller *k)
{
	const char *path = opt.paths[rnd_below(&k->rnd, opt.nr_paths)];
	const int64_t until = standin_now() + opt.deadline_ms + LEAVE_AFTER_MS;
	struct answer a = { .status = 0 };
	int64_t times[3] = { wall_ms(), 0, 0 };
	BUF_AUTO out = BUF_INIT;
	char id[80], status[16];
	const char *result;
	bool timed_out;

	snprintf(id, sizeof(id), "e%d-s%ld-c%d-%d", k->entry, opt.seed,
		 k->number, ++k->nr_requests);
	k->nr_sent++;
	put_request(k, &out, path, id);
	if (send_all(k, &out, until)) {
		times[1] = wall_ms();
		while (!a.complete && read_more(k, &a, until))
			;
	}
	timed_out = standin_now() >= until;
	result = result_of(&a, path, id, timed_out, status);
	times[2] = wall_ms();
	note(k, id, path, times, result,
	     is_streaming(path) ? count_events(&a) : 0);
	if (!a.complete || a.closes)
		disconnect(k);
	if (a.complete && a.retry_after_ms > 0)
		clk_sleep_ms(a.retry_after_ms < opt.deadline_ms / 3
				     ? a.retry_after_ms
				     : opt.deadline_ms / 3);
	buf_free(&a.raw);
	buf_free(&a.body);
}

/* True if the entry has closed the connection while it was idle. */
static bool is_closed(const struct caller *k)
{
	char byte;

	return recv(k->fd, &byte, 1, MSG_PEEK) == 0;
}

static void *run_caller(void *arg)
{
	struct caller *k = arg;

	while (!stopped()) {
		if (k->fd >= 0 && is_closed(k))
			disconnect(k);
		if (k->fd < 0 && !connect_to_entry(k)) {
			clk_sleep_ms(50);
			continue;
		}
		one_request(k);
		clk_sleep_ms(rnd_below(&k->rnd, (uint32_t)opt.pause_ms + 1));
	}
	disconnect(k);
	return NULL;
}

static void read_paths(const char *list)
{
	while (opt.nr_paths < MAX_PATHS &&
	       sscanf(list, "%15[^,]", opt.paths[opt.nr_paths]) == 1) {
		list += strlen(opt.paths[opt.nr_paths++]);
		list += *list == ',';
	}
}

int main(int argc, char **argv)
{
	static struct caller callers[MAX_CALLERS];
	const int n = (int)standin_number(argc, argv, "callers", 12);
	const int slow = (int)standin_number(argc, argv, "slow", 0);
	int i;

	opt.entries = standin_option(argc, argv, "entries", "entries");
	opt.stop = standin_option(argc, argv, "stop", "stop");
	opt.seed = standin_number(argc, argv, "seed", 1);
	opt.deadline_ms = standin_number(argc, argv, "deadline", 11000);
	opt.pause_ms = standin_number(argc, argv, "pause", 100);
	read_paths(standin_option(argc, argv, "paths", "/s/x,/o/x,/l/x,/u/x"));
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (n < 1 || n > MAX_CALLERS || !opt.nr_paths) {
		fprintf(stderr,
			"held_callers: from 1 to %d callers, and paths\n",
			MAX_CALLERS);
		return 2;
	}
	for (i = 0; i < n; i++) {
		struct caller *k = &callers[i];

		k->number = i;
		k->slow = i < slow;
		k->fd = -1;
		rnd_seed(&k->rnd, (uint64_t)(opt.seed * MAX_CALLERS + i));
		pthread_create(&k->thread, NULL, run_caller, k);
	}
	for (i = 0; i < n; i++)
		pthread_join(callers[i].thread, NULL);
	return 0;
}
