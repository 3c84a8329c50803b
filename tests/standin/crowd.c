/*
 * standin-crowd: clients that do not keep to the limits, on many connections to one
 * entry. Each sends the same bytes, reads what comes back unless its form says
 * otherwise, and stays open until it is killed.
 *
 * Prints "settled OPEN CLOSED" once no connection has anything left to send: it has
 * sent all, the entry has closed it, or the entry takes no more (SETTLE_MS).
 *
 * Options: --address IP:PORT, --form NAME (see `forms`), --connections N, --bytes N
 * (of a body), --path P, --returns N (new connections in place of closed ones, of each
 * client).
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/ioc.h"
#include "standin/common.h"

/* A client that has sent nothing for so long has nothing left to send. */
#define SETTLE_MS 2000

/* Time for the answers to a client that does not read them. */
#define UNREAD_MS 5000

/* What a client sends beyond its first bytes, in parts of the body limit. */
#define ENDLESS_BODIES 4

#define CHUNK_BYTES 65536
#define PIECE_BYTES 65536
#define NR_REQUESTS 64 /* different ones, in a series */

/* `begin` once, then `again` over and over. */
struct bytes {
	struct buf begin, again;
};

static struct {
	struct sockaddr_in to;
	const char *path;
	size_t body_bytes;
	long returns;
	struct bytes bytes;
	bool reads; /* false: it reads nothing */
} w;

struct client {
	int fd; /* -1: closed */
	size_t sent;
	long returns;
	int64_t progress_ms;
};

/* ---- Forms ---- */

static void put_head(struct buf *out, const char *id, const char *framing)
{
	buf_fmt(out,
		"POST %s HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: 11000\r\nAuthorization: Bearer k1\r\n%s\r\n",
		w.path, id, framing);
}

static void put_fill(struct buf *out, const char *piece, size_t bytes)
{
	const size_t n = strlen(piece);

	while (bytes >= n) {
		buf_add(out, piece, n);
		bytes -= n;
	}
}

static void put_chunk(struct buf *out, size_t bytes)
{
	buf_fmt(out, "%zx\r\n", bytes);
	put_fill(out, "x", bytes);
	buf_str(out, "\r\n");
}

static void begin_chunked(struct bytes *b)
{
	put_head(&b->begin, "crowd", "Transfer-Encoding: chunked\r\n");
}

static void large_chunks(struct bytes *b)
{
	size_t left;

	begin_chunked(b);
	for (left = w.body_bytes; left > CHUNK_BYTES; left -= CHUNK_BYTES)
		put_chunk(&b->begin, CHUNK_BYTES);
	put_chunk(&b->begin, left);
	b->begin.len -= strlen("x\r\n");
}

static void small_chunks(struct bytes *b)
{
	begin_chunked(b);
	put_fill(&b->begin, "1\r\nx\r\n", w.body_bytes * strlen("1\r\nx\r\n"));
	b->begin.len -= strlen("x\r\n");
}

static void put_length(struct bytes *b, unsigned long long length)
{
	char framing[64];

	snprintf(framing, sizeof(framing), "Content-Length: %llu\r\n", length);
	put_head(&b->begin, "crowd", framing);
}

static void length(struct bytes *b)
{
	put_length(b, w.body_bytes);
	put_fill(&b->begin, "x", w.body_bytes - 1);
}

static void announced(struct bytes *b)
{
	put_length(b, 10ull << 30);
	put_fill(&b->again, "x", PIECE_BYTES);
}

static void endless(struct bytes *b)
{
	begin_chunked(b);
	put_chunk(&b->again, CHUNK_BYTES);
}

static void endless_small(struct bytes *b)
{
	begin_chunked(b);
	put_fill(&b->again, "1\r\nx\r\n", PIECE_BYTES);
}

static void extension(struct bytes *b)
{
	begin_chunked(b);
	buf_str(&b->begin, "1;");
	put_fill(&b->again, "x", PIECE_BYTES);
}

static void trailers(struct bytes *b)
{
	begin_chunked(b);
	buf_str(&b->begin, "0\r\n");
	put_fill(&b->again, "X-Other: x\r\n", PIECE_BYTES);
}

static void head(struct bytes *b)
{
	put_head(&b->begin, "crowd", "");
	b->begin.len -= strlen("\r\n");
	put_fill(&b->begin, "X-Other: abcdefghijklmnop\r\n", 2000);
}

static void whole(struct bytes *b)
{
	put_length(b, w.body_bytes);
	put_fill(&b->begin, "x", w.body_bytes);
}

/* A request, and bytes without end behind it. */
static void behind(struct bytes *b)
{
	put_length(b, 5);
	buf_str(&b->begin, "hello");
	put_fill(&b->again, "x", PIECE_BYTES);
}

static void series(struct bytes *b)
{
	char id[32];
	int i;

	for (i = 0; i < NR_REQUESTS; i++) {
		snprintf(id, sizeof(id), "crowd-%d", i);
		put_head(&b->begin, id, "Content-Length: 5\r\n");
		buf_str(&b->begin, "hello");
	}
}

static void silent(struct bytes *b)
{
	(void)b;
}

static const struct form {
	const char *name;
	void (*make)(struct bytes *b);
	bool reads;
} forms[] = {
	{ "large_chunks", large_chunks, true },
	{ "small_chunks", small_chunks, true },
	{ "length", length, true },
	{ "announced", announced, true },
	{ "announced_unread", announced, false },
	{ "endless", endless, true },
	{ "endless_unread", endless, false },
	{ "endless_small", endless_small, true },
	{ "extension", extension, true },
	{ "trailers", trailers, true },
	{ "head", head, true },
	{ "whole", whole, true },
	{ "behind", behind, true },
	{ "series_unread", series, false },
	{ "silent", silent, true },
};

/* ---- Clients ---- */

static void end(struct client *c)
{
	close(c->fd);
	c->fd = -1;
}

static void open_connection(struct client *c)
{
	c->sent = 0;
	c->progress_ms = standin_now();
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return;
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
	if (connect(c->fd, (const struct sockaddr *)&w.to, sizeof(w.to)) &&
	    errno != EINPROGRESS)
		end(c);
}

static size_t total(void)
{
	return w.bytes.begin.len +
	       (w.bytes.again.len ? ENDLESS_BODIES * w.body_bytes : 0);
}

static const char *next_bytes(const struct client *c, size_t *len)
{
	const struct bytes *b = &w.bytes;
	size_t at;

	if (c->sent < b->begin.len) {
		*len = b->begin.len - c->sent;
		return b->begin.data + c->sent;
	}
	if (c->sent >= total()) {
		*len = 0;
		return NULL;
	}
	at = (c->sent - b->begin.len) % b->again.len;
	*len = b->again.len - at;
	return b->again.data + at;
}

static void send_more(struct client *c)
{
	size_t len;
	const char *data = next_bytes(c, &len);
	const ssize_t n = send(c->fd, data, len, MSG_NOSIGNAL);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		end(c);
		return;
	}
	c->sent += (size_t)n;
	c->progress_ms = standin_now();
}

static void read_more(struct client *c)
{
	static char piece[PIECE_BYTES];
	const ssize_t n = recv(c->fd, piece, sizeof(piece), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0)
		end(c);
}

static bool is_settled(const struct client *c, int64_t now)
{
	if (c->fd < 0)
		return c->returns >= w.returns;
	if (!w.reads)
		return now - c->progress_ms > UNREAD_MS;
	return c->sent >= total() || now - c->progress_ms > SETTLE_MS;
}

static void poll_all(struct client *clients, struct pollfd *fds, long n)
{
	long i;

	for (i = 0; i < n; i++) {
		struct client *c = &clients[i];

		if (c->fd < 0 && c->returns < w.returns) {
			c->returns++;
			open_connection(c);
		}
		fds[i].fd = c->fd;
		fds[i].events = (short)((w.reads ? POLLIN : 0) |
					(c->sent < total() ? POLLOUT : 0));
	}
	poll(fds, (nfds_t)n, 100);
	for (i = 0; i < n; i++) {
		struct client *c = &clients[i];

		if (c->fd >= 0 && (fds[i].revents & POLLOUT))
			send_more(c);
		if (c->fd >= 0 && (fds[i].revents & POLLIN))
			read_more(c);
		else if (c->fd >= 0 && (fds[i].revents & (POLLERR | POLLHUP)))
			end(c);
	}
}

static bool report(const struct client *clients, long n)
{
	const int64_t now = standin_now();
	long i, open = 0;

	for (i = 0; i < n; i++) {
		if (!is_settled(&clients[i], now))
			return false;
		open += clients[i].fd >= 0;
	}
	printf("settled %ld %ld\n", open, n - open);
	fflush(stdout);
	return true;
}

static bool set_form(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
		if (strcmp(forms[i].name, name))
			continue;
		forms[i].make(&w.bytes);
		w.reads = forms[i].reads;
		return true;
	}
	fprintf(stderr, "no form \"%s\"\n", name);
	return false;
}

int main(int argc, char **argv)
{
	const long n = standin_number(argc, argv, "connections", 50);
	struct client *clients = mem_new((size_t)n * sizeof(*clients));
	struct pollfd *fds = mem_new((size_t)n * sizeof(*fds));
	bool reported = false;
	long i;

	signal(SIGPIPE, SIG_IGN);
	w.path = standin_option(argc, argv, "path", "/");
	w.body_bytes = (size_t)standin_number(argc, argv, "bytes", 4 << 20);
	w.returns = standin_number(argc, argv, "returns", 0);
	if (ioc_address(standin_option(argc, argv, "address", ""), &w.to,
			NULL) ||
	    !set_form(standin_option(argc, argv, "form", "")))
		return 2;
	for (i = 0; i < n; i++)
		open_connection(&clients[i]);
	for (;;) {
		poll_all(clients, fds, n);
		if (!reported)
			reported = report(clients, n);
	}
}
