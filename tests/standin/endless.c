/*
 * A stand-in for endpoints that are in trouble: they answer with bytes that are no
 * answer, without end, until the caller closes the connection, or with nothing. One
 * thread a connection, so that other stand-ins are not slowed down.
 *
 * Options: --mode FILE, --address IP:PORT, --answers DIR, --window BYTES (size of the
 * receive buffer; 0: as the system has it). Prints "ready ADDRESS", and a line
 * "closed MODE BYTES ID" for each answer that has ended. The file holds the name of a
 * mode, which is read for each request; see `modes`.
 *
 * A request with the query "case=NAME" is answered with the text of DIR/NAME.N at its Nth
 * try, whichever of the stand-ins gets it, or of the last such file; %ID% stands for the
 * attempt's id. Prints "sent NAME N I ID", I: how many requests came on the connection.
 * The file's first line says how the connection goes on:
 *   fin       it is closed
 *   reset     it is reset
 *   kept      the next request is read
 *   unread    closed with a part of the request received and not read, which resets it
 *   late      the same after a pause
 *   shutdown  an orderly end, then closed
 *   drain     an orderly end, then the rest of the request is read
 * The request's body is read before the answer if "read " precedes that.
 */
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/ioc.h"
#include "standin/common.h"

#define HEAD_BYTES 65536
#define PIECE_BYTES 65536
#define LATE_US 300000

/*
 * What is sent: the head, of which %s is the attempt's id, and then the piece, again
 * and again. `chunk`: as one large chunk after the other.
 */
static const struct mode {
	const char *name, *head, *piece;
	bool chunked;
	size_t pieces; /* then the answer is complete; 0: without end */
} modes[] = {
#define PROOF "Attempt-Id: %s\r\nReplica-Seal: seal\r\n"
#define STREAM PROOF "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
	{ "event", "HTTP/1.1 200 OK\r\n" STREAM CHUNKED "\r\n", "x", true, 0 },
	{ "event_unframed", "HTTP/1.1 200 OK\r\n" STREAM "\r\n", "x", false,
	  0 },
	{ "events", "HTTP/1.1 200 OK\r\n" STREAM CHUNKED "\r\n", "data: x\n\n",
	  true, 0 },
	{ "body", "HTTP/1.1 200 OK\r\n" PROOF "\r\n", "x", false, 0 },
	{ "body_chunked", "HTTP/1.1 200 OK\r\n" PROOF CHUNKED "\r\n", "x", true,
	  0 },
	{ "no_proof", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", "x", false,
	  0 },
	{ "error", "HTTP/1.1 500 X\r\n" PROOF "\r\n", "x", false, 0 },
	{ "refusal",
	  "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n\r\n", "x",
	  false, 0 },
	{ "foreign", "",
	  "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, 0 },
	{ "informational", "", "HTTP/1.1 100 Continue\r\n\r\n", false, 0 },
	{ "status_line", "HTTP/1.1 200 ", "x", false, 0 },
	{ "header", "HTTP/1.1 200 OK\r\nX-Other: ", "x", false, 0 },
	{ "headers", "HTTP/1.1 200 OK\r\n", "X-Other: x\r\n", false, 0 },
	{ "chunk_size", "HTTP/1.1 200 OK\r\n" STREAM CHUNKED "\r\n", "0", false,
	  0 },
	{ "chunk_extension", "HTTP/1.1 200 OK\r\n" STREAM CHUNKED "\r\n1;", "x",
	  false, 0 },
	{ "trailers", "HTTP/1.1 200 OK\r\n" STREAM CHUNKED "\r\n0\r\n",
	  "X-Other: x\r\n", false, 0 },
	{ "no_http", "", "x", false, 0 },
	{ "long",
	  "HTTP/1.1 200 OK\r\n" PROOF "Content-Length: 33554432\r\n\r\n", "x",
	  false, 33554432 / PIECE_BYTES },
};

/* Nothing is sent; of `mute` the request is read, of `deaf` its body is not. */
static const struct mode mute = { .name = "mute" }, deaf = { .name = "deaf" };

static const char *mode_file, *answers_dir;

static const struct mode *read_mode(void)
{
	FILE *f = fopen(mode_file, "re");
	char name[32] = "";
	size_t i;

	if (f && !fgets(name, sizeof(name), f))
		name[0] = '\0';
	if (f)
		fclose(f);
	name[strcspn(name, "\n")] = '\0';
	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		if (!strcmp(modes[i].name, name))
			return &modes[i];
	}
	if (!strcmp(name, mute.name))
		return &mute;
	if (!strcmp(name, deaf.name))
		return &deaf;
	fprintf(stderr, "no mode \"%s\"\n", name);
	exit(2);
}

/* Reads up to the end of a head; false: there is none. The rest of a body is left unread. */
static bool read_head(int fd, char *head)
{
	size_t len = 0;
	ssize_t n;

	while (len + 1 < HEAD_BYTES) {
		n = recv(fd, head + len, HEAD_BYTES - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		head[len] = '\0';
		if (strstr(head, "\r\n\r\n"))
			return true;
	}
	return false;
}

static void attempt_id(const char *head, char *out, size_t size)
{
	static const char name[] = "\nAttempt-Id: ";
	const char *at = strcasestr(head, name);

	snprintf(out, size, "%.*s",
		 at ? (int)strcspn(at + strlen(name), "\r\n") : 0,
		 at ? at + strlen(name) : "");
}

static bool send_all(int fd, const char *data, size_t len, size_t *sent)
{
	ssize_t n;

	while (len) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n <= 0)
			return false;
		*sent += (size_t)n;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* One piece of PIECE_BYTES at least, as a chunk if the mode says so. */
static void fill_piece(const struct mode *m, struct buf *out)
{
	BUF_AUTO content = BUF_INIT;

	while (content.len < PIECE_BYTES)
		buf_str(&content, m->piece);
	if (m->chunked)
		buf_fmt(out, "%zx\r\n", content.len);
	buf_add(out, content.data, content.len);
	if (m->chunked)
		buf_str(out, "\r\n");
}

/* Reads the body of which `head` has the first bytes. */
static void read_body(int fd, const char *head)
{
	static const char name[] = "\nContent-Length: ";
	const char *length = strcasestr(head, name);
	const char *body = strstr(head, "\r\n\r\n") + 4;
	char piece[PIECE_BYTES];
	size_t left;
	ssize_t n = 1;

	if (!length || length > body)
		return;
	left = strtoul(length + strlen(name), NULL, 10) - strlen(body);
	for (; left && n > 0; left -= (size_t)n)
		n = recv(fd, piece, left < sizeof(piece) ? left : sizeof(piece),
			 0);
}

/* Until the caller closes the connection. */
static void stay_mute(int fd)
{
	char piece[PIECE_BYTES];

	while (recv(fd, piece, sizeof(piece), 0) > 0)
		;
}

static void stay_deaf(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	poll(&p, 1, -1);
}

static void answer(int fd, const char *request, const struct mode *m)
{
	BUF_AUTO head = BUF_INIT;
	BUF_AUTO piece = BUF_INIT;
	const char *mark = strstr(m->head, "%s");
	char id[128];
	size_t sent = 0, n = 0;

	attempt_id(request, id, sizeof(id));
	buf_add(&head, m->head,
		mark ? (size_t)(mark - m->head) : strlen(m->head));
	if (mark) {
		buf_str(&head, id);
		buf_str(&head, mark + 2);
	}
	fill_piece(m, &piece);
	if (send_all(fd, buf_cstr(&head), head.len, &sent)) {
		while (!(m->pieces && n == m->pieces) &&
		       send_all(fd, piece.data, piece.len, &sent))
			n++;
	}
	printf("closed %s %zu %s\n", m->name, sent, id);
	fflush(stdout);
}

/* ---- Scripted answers ---- */

/* Copies the name of the case that the request asks for; false: none. */
static bool case_name(const char *request, char *out, size_t size)
{
	static const char query[] = "?case=";
	const size_t line = strcspn(request, "\r");
	const char *at = strstr(request, query);

	if (!at || at > request + line)
		return false;
	at += strlen(query);
	snprintf(out, size, "%.*s", (int)strcspn(at, " "), at);
	return true;
}

/* Counts the tries of an attempt among all stand-ins of the directory. */
static int count_try(const char *id)
{
	char path[512];
	int n, fd;

	for (n = 1; n < 100; n++) {
		snprintf(path, sizeof(path), "%s/try-%s-%d", answers_dir, id,
			 n);
		fd = open(path, O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0600);
		if (fd >= 0) {
			close(fd);
			break;
		}
	}
	return n;
}

static bool read_answer(const char *name, int n, struct buf *out)
{
	char path[512], piece[4096];
	size_t len;
	FILE *f = NULL;

	for (; n && !f; n--) {
		snprintf(path, sizeof(path), "%s/%s.%d", answers_dir, name, n);
		f = fopen(path, "re");
	}
	if (!f)
		return false;
	while ((len = fread(piece, 1, sizeof(piece), f)) > 0)
		buf_add(out, piece, len);
	fclose(f);
	return true;
}

static void put_with_id(const char *text, const char *id, struct buf *out)
{
	static const char mark[] = "%ID%";
	const char *at;

	while ((at = strstr(text, mark))) {
		buf_add(out, text, (size_t)(at - text));
		buf_str(out, id);
		text = at + strlen(mark);
	}
	buf_str(out, text);
}

static bool is_how(const char *how, const char *name)
{
	return !strncmp(how, name, strlen(name));
}

/* Returns true if the connection is kept. */
static bool answer_case(int fd, const char *request, const char *name,
			int on_connection)
{
	static const char read_first[] = "read ";
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	struct pollfd p = { .fd = fd, .events = POLLIN };
	BUF_AUTO file = BUF_INIT;
	BUF_AUTO out = BUF_INIT;
	const char *text, *how;
	size_t sent = 0;
	char id[128];
	int n;

	attempt_id(request, id, sizeof(id));
	n = count_try(id);
	if (!read_answer(name, n, &file)) {
		fprintf(stderr, "no answer for \"%s\"\n", name);
		exit(2);
	}
	how = buf_cstr(&file);
	if (is_how(how, read_first)) {
		read_body(fd, request);
		how += strlen(read_first);
	}
	if (is_how(how, "unread") || is_how(how, "late"))
		poll(&p, 1, -1);
	text = how + strcspn(how, "\n");
	put_with_id(*text ? text + 1 : text, id, &out);
	printf("sent %s %d %d %s\n", name, n, on_connection, id);
	fflush(stdout);
	send_all(fd, buf_cstr(&out), out.len, &sent);
	if (is_how(how, "late"))
		usleep(LATE_US);
	if (is_how(how, "reset"))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (is_how(how, "shutdown") || is_how(how, "drain"))
		shutdown(fd, SHUT_WR);
	if (is_how(how, "drain"))
		stay_mute(fd);
	return is_how(how, "kept");
}

/* ---- Connections ---- */

static void *serve(void *arg)
{
	const int fd = (int)(intptr_t)arg;
	char *head = mem_new(HEAD_BYTES);
	const struct mode *m = NULL;
	bool got = read_head(fd, head);
	char name[128];
	int n = 1;

	while (got && answers_dir && case_name(head, name, sizeof(name)))
		got = answer_case(fd, head, name, n++) && read_head(fd, head);
	if (got)
		m = read_mode();
	if (m == &mute)
		stay_mute(fd);
	else if (m == &deaf)
		stay_deaf(fd);
	else if (m)
		answer(fd, head, m);
	free(head);
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	pthread_t thread;
	int listener, fd, window;

	mode_file = standin_option(argc, argv, "mode", "/dev/null");
	answers_dir = standin_option(argc, argv, "answers", NULL);
	window = (int)standin_number(argc, argv, "window", 0);
	signal(SIGPIPE, SIG_IGN);
	if (ioc_address(standin_option(argc, argv, "address", "127.0.0.2:0"),
			&addr, NULL))
		return 64;
	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (window)
		setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window,
			   sizeof(window));
	if (listener < 0 ||
	    bind(listener, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(listener, 256))
		return 71;
	getsockname(listener, (struct sockaddr *)&addr, &len);
	printf("ready 127.0.0.2:%u\n", ntohs(addr.sin_port));
	fflush(stdout);
	for (;;) {
		fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		if (pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd))
			close(fd);
		else
			pthread_detach(thread);
	}
}
