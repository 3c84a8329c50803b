#include "kept.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"

#define CONNECT_MS 1000
#define READ_MAX 16384

uint32_t kept_list(const char *file, struct kept_entry *list)
{
	uint32_t n = 0;
	FILE *f = fopen(file, "r");

	while (f && n < KEPT_MAX_ENTRIES &&
	       fscanf(f, "%d %31[0-9.]:%d", &list[n].number, list[n].ip,
		      &list[n].port) == 3)
		n++;
	if (f)
		fclose(f);
	return n;
}

static bool wait_fd(int fd, short events, int64_t until_ms)
{
	struct pollfd p = { .fd = fd, .events = events };
	const int64_t left = until_ms - clk_ms(clk_real());

	return left > 0 && poll(&p, 1, (int)left) == 1;
}

int kept_connect(const struct kept_entry *e, int receive_buffer)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)e->port) };
	int error = 0, fd;
	socklen_t len = sizeof(error);

	if (inet_pton(AF_INET, e->ip, &addr.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    (errno != EINPROGRESS ||
	     !wait_fd(fd, POLLOUT, clk_ms(clk_real()) + CONNECT_MS) ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error)) {
		close(fd);
		return -1;
	}
	return fd;
}

bool kept_is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK) == 0;
}

bool kept_send(int fd, const struct buf *out, int64_t until_ms)
{
	size_t sent = 0;

	while (sent < out->len) {
		const ssize_t n = send(fd, out->data + sent, out->len - sent,
				       MSG_NOSIGNAL);

		if (n > 0)
			sent += (size_t)n;
		else if (errno != EAGAIN || !wait_fd(fd, POLLOUT, until_ms))
			return false;
	}
	return true;
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

/*
 * Collects the body from chunks, also the part of one that has come. True once the
 * last one is there.
 */
static bool read_chunks(struct kept_answer *a, const char *at, const char *end)
{
	buf_reset(&a->body);
	for (;;) {
		const char *eol = memchr(at, '\n', (size_t)(end - at));
		unsigned long size;

		if (!eol)
			return false;
		size = strtoul(at, NULL, 16);
		at = eol + 1;
		if ((unsigned long)(end - at) < size + 2) {
			buf_add(&a->body, at,
				size < (unsigned long)(end - at)
					? size
					: (unsigned long)(end - at));
			return false;
		}
		if (!size)
			return true;
		buf_add(&a->body, at, size);
		at += size + 2;
	}
}

void kept_parse(struct kept_answer *a, bool ended)
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

bool kept_read(int fd, struct kept_answer *a, size_t max, int64_t until_ms)
{
	char data[READ_MAX];
	ssize_t n;

	if (!wait_fd(fd, POLLIN, until_ms))
		return false;
	n = read(fd, data, max < sizeof(data) ? max : sizeof(data));
	if (n <= 0)
		return n < 0 && errno == EAGAIN;
	buf_add(&a->raw, data, (size_t)n);
	kept_parse(a, false);
	return true;
}

void kept_free(struct kept_answer *a)
{
	buf_free(&a->raw);
	buf_free(&a->body);
}
