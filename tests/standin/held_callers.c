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
 * (at most, between requests), --chunked PERCENT (of the requests; their bodies are
 * sent in pieces), --piece_pause MS (at most, between two pieces), --leave PERCENT
 * (of the streams at /s/; the caller leaves within one and continues it).
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/rnd.h"
#include "common.h"
#include "support/kept.h"

#define MAX_CALLERS 1000
#define MAX_PATHS 8
#define EVENTS 20
#define READ 16384 /* bytes at a time */
/* A caller that leaves at its deadline gives the entry's 504 this long. */
#define LEAVE_AFTER_MS 500
/* A slow caller's socket buffer, each of its reads, and its longest pause. */
#define SLOW_RCVBUF 4096
#define SLOW_READ 4096
#define SLOW_PAUSE_MS 2500
/* Bytes that a slow caller asks for in each event, to fill its buffer. */
#define SLOW_PAD 4096
#define BODY_CHUNKS 3
#define CHUNK_PAD 40
#define PIECES 5
#define RESUMABLE "/s/x"

struct caller {
	pthread_t thread;
	int number;
	bool slow;
	struct rnd rnd;
	int fd;	     /* -1: none */
	int entry;   /* of the connection */
	int nr_sent; /* on the connection */
	int nr_requests;
	/* The attempt that began the stream that is continued next; "": none. */
	char resumes[80];
	int resume_after;
};

static struct {
	const char *entries, *stop;
	long seed, deadline_ms, pause_ms, piece_pause_ms;
	uint32_t chunked_percent, leave_percent;
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

/* Connects to an entry picked at random. */
static bool connect_to_entry(struct caller *k)
{
	struct kept_entry list[KEPT_MAX_ENTRIES], *e;
	const uint32_t n = kept_list(opt.entries, list);

	if (!n)
		return false;
	e = &list[rnd_below(&k->rnd, n)];
	k->entry = e->number;
	k->nr_sent = 0;
	k->fd = kept_connect(e, k->slow ? SLOW_RCVBUF : 0);
	return k->fd >= 0;
}

/* ---- Answers ---- */

static bool is_streaming(const char *path)
{
	return path[1] == 's' || path[1] == 'o';
}

/* The events that came whole and in order, counted from that after `n`. */
static int count_events(const struct kept_answer *a, int n)
{
	const char *at = buf_cstr(&a->body);
	int id, piece;

	while (sscanf(at, "id: %d\ndata: piece %d of ", &id, &piece) == 2 &&
	       id == n + 1 && piece == id && (at = strstr(at, "\n\n"))) {
		at += 2;
		n++;
	}
	return n;
}

static bool body_is_right(const struct kept_answer *a, const char *path,
			  const char *id, int after)
{
	char text[120];

	if (is_streaming(path))
		return count_events(a, after) == EVENTS;
	snprintf(text, sizeof(text), " ran %s for one", id);
	return strstr(buf_cstr(&a->body), text);
}

static bool read_more(struct caller *k, struct kept_answer *a, int64_t until_ms)
{
	if (k->slow && a->raw.len && !rnd_below(&k->rnd, 8))
		clk_sleep_ms(rnd_below(&k->rnd, SLOW_PAUSE_MS));
	return kept_read(k->fd, a, k->slow ? SLOW_READ : READ, until_ms);
}

/* ---- Requests ---- */

/* A body of a few chunks. */
static void put_chunks(struct buf *out, const char *text)
{
	int i;

	buf_fmt(out, "%zx\r\n%s\r\n", strlen(text), text);
	for (i = 1; i < BODY_CHUNKS; i++)
		buf_fmt(out, "%x\r\n%*s\r\n", CHUNK_PAD, CHUNK_PAD, "");
	buf_str(out, "0\r\n\r\n");
}

/* Returns the length of the head. */
static size_t put_request(struct caller *k, struct buf *out, const char *path,
			  const char *id, bool chunked)
{
	char body[64] = "hello";
	size_t head;

	if (k->slow && is_streaming(path))
		snprintf(body, sizeof(body), "hello pad %d", SLOW_PAD);
	buf_fmt(out,
		"POST %s HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: %ld\r\nAuthorization: Bearer k1\r\n",
		path, id, opt.deadline_ms);
	if (*k->resumes)
		buf_fmt(out, "Resumes: %s\r\nLast-Event-Id: %d\r\n", k->resumes,
			k->resume_after);
	if (chunked)
		buf_str(out, "Transfer-Encoding: chunked\r\n\r\n");
	else
		buf_fmt(out, "Content-Length: %zu\r\n\r\n", strlen(body));
	head = out->len;
	if (chunked)
		put_chunks(out, body);
	else
		buf_str(out, body);
	return head;
}

/*
 * Sends the head and the first of the pieces together, and pauses before each of the
 * others; a piece may end anywhere in a chunk.
 */
static bool send_in_pieces(struct caller *k, const struct buf *out, size_t head,
			   int64_t until_ms)
{
	const size_t body = out->len - head;
	size_t sent = 0;
	int i;

	for (i = 1; i <= PIECES; i++) {
		const size_t end = head + body * (size_t)i / PIECES;
		const struct buf piece = { .data = out->data + sent,
					   .len = end - sent };

		if (i > 1)
			clk_sleep_ms(rnd_below(
				&k->rnd, (uint32_t)opt.piece_pause_ms + 1));
		if (!kept_send(k->fd, &piece, until_ms))
			return false;
		sent = end;
	}
	return true;
}

static void note(const struct caller *k, const char *id, const char *path,
		 const int64_t times[3], const char *result, int events)
{
	printf("%s %d %s %lld %lld %lld %s %d %s\n", id, k->entry, path,
	       (long long)times[0], (long long)times[1], (long long)times[2],
	       result, events, k->nr_sent > 1 ? "kept" : "fresh");
}

static const char *result_of(struct kept_answer *a, const char *path,
			     const char *id, int after, bool left,
			     char status[16])
{
	if (!a->complete && !left)
		kept_parse(a, true);
	if (a->complete && a->status == 200)
		return body_is_right(a, path, id, after) ? "whole" : "torn";
	if (a->complete) {
		snprintf(status, 16, "%d", a->status);
		return status;
	}
	if (left)
		return "left";
	return a->raw.len ? "cut" : "closed";
}

/* What the caller asks for next if the stream has not come whole. */
static void continue_later(struct caller *k, const struct kept_answer *a,
			   const char *path, const char *id, int events)
{
	if (strcmp(path, RESUMABLE))
		return;
	if (a->complete || events == EVENTS || !opt.leave_percent) {
		*k->resumes = '\0';
		return;
	}
	if (!*k->resumes && events)
		str_copy(k->resumes, id, sizeof(k->resumes));
	k->resume_after = events;
}

static bool picks(struct caller *k, uint32_t percent)
{
	return percent && rnd_below(&k->rnd, 100) < percent;
}

static void one_request(struct caller *k)
{
	const char *path =
		*k->resumes ? RESUMABLE
			    : opt.paths[rnd_below(&k->rnd, opt.nr_paths)];
	const int64_t until = standin_now() + opt.deadline_ms + LEAVE_AFTER_MS;
	const int after = *k->resumes ? k->resume_after : 0;
	const bool chunked = picks(k, opt.chunked_percent);
	const bool leaves = !strcmp(path, RESUMABLE) &&
			    picks(k, opt.leave_percent);
	const int leave_at = leaves ? (int)rnd_below(&k->rnd, EVENTS) + 1 : -1;
	struct kept_answer a = { .status = 0 };
	int64_t times[3] = { wall_ms(), 0, 0 };
	BUF_AUTO out = BUF_INIT;
	char id[80], status[16];
	const char *result;
	bool left = false;
	int events = 0;
	size_t head;

	snprintf(id, sizeof(id), "e%d-s%ld-c%d-%d", k->entry, opt.seed,
		 k->number, ++k->nr_requests);
	k->nr_sent++;
	head = put_request(k, &out, path, id, chunked);
	if (chunked ? send_in_pieces(k, &out, head, until)
		    : kept_send(k->fd, &out, until)) {
		times[1] = wall_ms();
		while (!a.complete && !left && read_more(k, &a, until))
			left = leaves && count_events(&a, after) >= leave_at;
	}
	left = !a.complete && (left || standin_now() >= until);
	result = result_of(&a, path, id, after, left, status);
	times[2] = wall_ms();
	if (is_streaming(path))
		events = count_events(&a, after);
	note(k, id, path, times, result, events);
	continue_later(k, &a, path, id, events);
	if (!a.complete || a.closes)
		disconnect(k);
	if (a.complete && a.retry_after_ms > 0)
		clk_sleep_ms(a.retry_after_ms < opt.deadline_ms / 3
				     ? a.retry_after_ms
				     : opt.deadline_ms / 3);
	kept_free(&a);
}

static void *run_caller(void *arg)
{
	struct caller *k = arg;

	while (!stopped()) {
		if (k->fd >= 0 && kept_is_closed(k->fd))
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
	opt.piece_pause_ms = standin_number(argc, argv, "piece_pause", 0);
	opt.chunked_percent =
		(uint32_t)standin_number(argc, argv, "chunked", 0);
	opt.leave_percent = (uint32_t)standin_number(argc, argv, "leave", 0);
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
