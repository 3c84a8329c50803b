/* The server over CivetWeb, with clients that end within their request. */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "io/ioc.h"
#include "net/hsv.h"
#include "support/unit.h"

#define HOST "Host: x\r\n"
#define CHUNKED "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"

static atomic_int served;

static void handle(struct hsv_request *rq, void *arg)
{
	(void)arg;
	atomic_fetch_add(&served, 1);
	hsv_json(rq, 200, "{}");
}

static struct hsv *open_server(void)
{
	const struct hsv_config cfg = { .address = "127.0.0.1:0",
					.workers = 4,
					.max_body = 65536 };
	struct hsv *s = hsv_start(&cfg, handle, NULL, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	atomic_store(&served, 0);
	return s;
}

/* Sends the text, ends the connection and waits until the server has done so. */
static void send_and_end(const struct hsv *s, const char *text, bool reset)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in at;
	char rest[1024];

	CU_ASSERT_EQUAL_FATAL(ioc_address(hsv_address(s), &at, NULL), 0);
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (const struct sockaddr *)&at, sizeof(at)), 0);
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	if (reset) {
		clk_sleep_ms(20);
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	} else {
		shutdown(fd, SHUT_WR);
		while (recv(fd, rest, sizeof(rest), 0) > 0)
			;
	}
	close(fd);
}

/* Guards against a part of a body that counts as whole, and is run. */
static void request_that_is_cut_off_is_not_served(void)
{
	static const char *const parts[] = {
		CHUNKED "5\r\nhello\r\n",
		CHUNKED "5\r\nhel",
		CHUNKED "5\r\nhello\r\n0",
		CHUNKED "5",
		CHUNKED,
		CHUNKED "5\r\nhello\r\nzz\r\n",
		"POST / HTTP/1.1\r\n" HOST "Content-Length: 10\r\n\r\nhello",
		"GET / HTTP/1.1\r\nHost: x\r\n",
	};
	struct hsv *s = open_server();
	size_t i;

	for (i = 0; i < 2 * sizeof(parts) / sizeof(parts[0]); i++) {
		atomic_store(&served, 0);
		send_and_end(s, parts[i / 2], i % 2);
		clk_sleep_ms(20);
		if (atomic_load(&served))
			printf("  served: %zu\n", i);
		CU_ASSERT_EQUAL(atomic_load(&served), 0);
	}
	hsv_stop(s);
}

static void whole_chunks_are_served(void)
{
	struct hsv *s = open_server();

	send_and_end(s, CHUNKED "5\r\nhello\r\n0\r\n\r\n", false);
	CU_ASSERT_EQUAL(atomic_load(&served), 1);
	hsv_stop(s);
}

static const struct unit_test tests[] = {
	{ "a request that is cut off is not served",
	  request_that_is_cut_off_is_not_served },
	{ "whole chunks are served", whole_chunks_are_served },
};

UNIT_MAIN("hsv", tests)
