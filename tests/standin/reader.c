/*
 * Callers that read slowly: they have small receive buffers, keep their
 * connections, and read nothing for a while after each request. Prints
 * "whole N of M": the answers that came to their end.
 *
 * With --vanish 1 their machines are gone instead: once the head of the answer was
 * read, a socket filter drops what arrives, and nothing is acknowledged. They stay
 * so until they are killed.
 *
 * Options: --address IP:PORT, --path P, --name N (of the attempts),
 * --connections N, --answers N (of each connection), --pause-ms MS, --vanish 1,
 * --close 1 (connections are not kept)
 */
#include <arpa/inet.h>
#include <linux/filter.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/ioc.h"
#include "standin/common.h"

/* Linux makes at least 2304 of it, for a window of about a kilobyte. */
#define RECEIVE_BUFFER_BYTES 1
#define PIECE_BYTES 512

static struct {
	struct sockaddr_in to;
	const char *path, *name;
	long answers, pause_ms;
	bool vanish, close;
	pthread_mutex_t lock;
	long whole;
} w;

struct reader {
	pthread_t thread;
	int nr, fd;
};

static int connect_to_entry(void)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int bytes = RECEIVE_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (!connect(fd, (const struct sockaddr *)&w.to, sizeof(w.to)))
		return fd;
	close(fd);
	return -1;
}

static bool send_request(const struct reader *r, long answer)
{
	BUF_AUTO out = BUF_INIT;

	buf_fmt(&out,
		"POST %s HTTP/1.1\r\nHost: t.example\r\n"
		"Attempt-Id: %s-%d-%ld\r\nDeadline-Ms: 12000\r\n"
		"Authorization: Bearer k1\r\n%sContent-Length: 5\r\n\r\nhello",
		w.path, w.name, r->nr, answer,
		w.close ? "Connection: close\r\n" : "");
	return send(r->fd, out.data, out.len, MSG_NOSIGNAL) == (ssize_t)out.len;
}

/* True once the head and what it announces are there. */
static bool is_whole(const struct buf *b)
{
	const char *text = buf_cstr(b), *body = strstr(text, "\r\n\r\n");
	const char *length = strcasestr(text, "\r\nContent-Length:");

	if (!body)
		return false;
	body += 4;
	if (length && length < body)
		return b->len - (size_t)(body - text) ==
		       strtoul(length + 17, NULL, 10);
	return b->len > 5 && !strcmp(text + b->len - 5, "0\r\n\r\n");
}

static bool read_answer(const struct reader *r)
{
	char piece[PIECE_BYTES];
	BUF_AUTO got = BUF_INIT;
	ssize_t n;

	while (!is_whole(&got)) {
		n = recv(r->fd, piece, sizeof(piece), 0);
		if (n <= 0)
			return false;
		buf_add(&got, piece, (size_t)n);
	}
	return !strncmp(buf_cstr(&got), "HTTP/1.1 200", 12);
}

static void vanish(const struct reader *r)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	const struct sock_fprog program = { .len = 1, .filter = &drop };
	char piece[PIECE_BYTES];

	if (recv(r->fd, piece, sizeof(piece), 0) <= 0)
		return;
	setsockopt(r->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		   sizeof(program));
	pause();
}

static void *run(void *arg)
{
	struct reader *r = arg;
	long i;

	r->fd = -1;
	for (i = 0; i < w.answers; i++) {
		if (r->fd < 0)
			r->fd = connect_to_entry();
		if (r->fd < 0 || !send_request(r, i))
			continue;
		if (w.vanish)
			vanish(r);
		clk_sleep_ms(w.pause_ms);
		if (read_answer(r)) {
			pthread_mutex_lock(&w.lock);
			w.whole++;
			pthread_mutex_unlock(&w.lock);
			if (!w.close)
				continue;
		}
		close(r->fd);
		r->fd = -1;
	}
	return NULL;
}

int main(int argc, char **argv)
{
	const long connections = standin_number(argc, argv, "connections", 8);
	struct reader *readers = calloc((size_t)connections, sizeof(*readers));
	long i;

	if (ioc_address(standin_option(argc, argv, "address", ""), &w.to, NULL))
		return 2;
	w.path = standin_option(argc, argv, "path", "/");
	w.name = standin_option(argc, argv, "name", "reader");
	w.answers = standin_number(argc, argv, "answers", 1);
	w.pause_ms = standin_number(argc, argv, "pause-ms", 0);
	w.vanish = standin_number(argc, argv, "vanish", 0);
	w.close = standin_number(argc, argv, "close", 0);
	pthread_mutex_init(&w.lock, NULL);
	for (i = 0; i < connections; i++) {
		readers[i].nr = (int)i;
		pthread_create(&readers[i].thread, NULL, run, &readers[i]);
	}
	for (i = 0; i < connections; i++)
		pthread_join(readers[i].thread, NULL);
	printf("whole %ld of %ld\n", w.whole, connections * w.answers);
	free(readers);
	return 0;
}
