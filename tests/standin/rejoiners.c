/*
 * standin-rejoiners: many callers that read streams, leave them at times, and
 * continue them at any entry until they are whole or the deadline is over. A line
 * is printed for each try:
 *
 *   STREAM KIND ENTRY SENT_MS END_MS RESULT STATUS LAST EVENTS fresh|kept
 *
 * KIND: "new"; "again" (without an event before); "continued"; once a stream has
 * ended: "past" (taken up at its last event or beyond), "zero" (from its
 * beginning), "own" (names itself as the attempt that began it). Times are of the
 * wall clock. RESULT: "whole", as far as the framing says; "cut": the connection
 * ended within the answer; "closed": no answer came; "left": by the caller.
 * LAST: the Last-Event-Id sent, "-": none. EVENTS: "VERSION:FROM-TO" for each
 * sequence of whole events in order, and "VERSION:ID!PIECE" for an event whose id is
 * not the number of its piece, with commas between; "-": none.
 *
 * Half of the callers keep a connection to each entry and use it until it ends;
 * the others open one for each try.
 *
 * Options: --entries FILE (lines "N ADDRESS", read again for each try), --stop FILE
 * (ends once it exists), --callers N, --seed N, --deadline MS.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/rnd.h"
#include "common.h"
#include "support/kept.h"

#define MAX_CALLERS 400
/* Seeds of rnd that differ by one give the same sequence, one step later. */
#define SPREAD 0x9e3779b97f4a7c15ULL
#define EVENTS 20
#define READ 16384 /* bytes at a time */
#define MAX_PAUSE_MS 300
/* Refusals in a row after which a caller gives a stream up. */
#define MAX_REFUSALS 4
/* Of an entry that stands still, a caller leaves after this time without a byte. */
#define PATIENCE_MS 1500

enum kind {
	NEW,
	AGAIN,
	CONTINUED,
	PAST,
	ZERO,
	OWN,
	NR_KINDS
};

static const char *const kind_names[NR_KINDS] = { "new",  "again", "continued",
						  "past", "zero",  "own" };

struct caller {
	pthread_t thread;
	int number, nr_streams;
	bool keeps;
	struct rnd rnd;
	struct {
		int fd;
		int port; /* of the process that it leads to; 0: none is open */
	} kept[KEPT_MAX_ENTRIES + 1];
};

struct stream {
	char id[40],
		first[80]; /* first: the attempt that brought the first event */
	int nr_tries;
	int refusals; /* in a row */
	int last;     /* number of the last event */
};

struct
try {
	enum kind kind;
	char id[80];
	int last; /* sent as Last-Event-Id; -1: none */
	struct kept_entry entry;
	bool kept; /* on a connection that had a request before */
	int64_t sent_ms;
	int64_t leave_ms; /* the caller leaves then */
};

static struct {
	const char *entries, *stop;
	long seed, deadline_ms;
} opt;

static int64_t wall_ms(void)
{
	return clk_wall_ms(clk_real());
}

static bool stopped(void)
{
	return !access(opt.stop, F_OK);
}

/* ---- Connections ---- */

static int take_connection(struct caller *k, struct try *t)
{
	const int n = t->entry.number;
	int fd = -1;

	if (k->keeps && n >= 0 && n <= KEPT_MAX_ENTRIES && k->kept[n].port) {
		fd = k->kept[n].fd;
		k->kept[n].port = 0;
		if (kept_is_closed(fd)) {
			close(fd);
			fd = -1;
		}
	}
	t->kept = fd >= 0;
	return fd >= 0 ? fd : kept_connect(&t->entry, 0);
}

static void give_back(struct caller *k, const struct try *t, int fd, bool open)
{
	const int n = t->entry.number;

	if (!open || !k->keeps || n < 0 || n > KEPT_MAX_ENTRIES) {
		close(fd);
		return;
	}
	k->kept[n].fd = fd;
	k->kept[n].port = t->entry.port;
}

/* ---- Answers ---- */

static void put_run(struct buf *out, const char *version, int from, char sep,
		    int to)
{
	buf_fmt(out, "%s%s:%d%c%d", out->len ? "," : "", version, from, sep,
		to);
}

/*
 * Appends the whole events of the answer to `out`, in the form of EVENTS. Returns
 * the id of the last one; 0: none.
 */
static int put_events(const struct kept_answer *a, struct buf *out)
{
	const char *at = buf_cstr(&a->body), *end;
	char version[32], former[32] = "";
	int id = 0, piece, last = 0, from = 0;

	while ((end = strstr(at, "\n\n")) &&
	       sscanf(at, "id: %d\ndata: piece %d of %31[^ \n]", &id, &piece,
		      version) == 3) {
		if (from && (strcmp(version, former) || id != last + 1 ||
			     piece != id)) {
			put_run(out, former, from, '-', last);
			from = 0;
		}
		if (piece != id)
			put_run(out, version, id, '!', piece);
		else if (!from)
			from = id;
		str_copy(former, version, sizeof(former));
		last = id;
		at = end + 2;
	}
	if (from)
		put_run(out, former, from, '-', last);
	if (!out->len)
		buf_str(out, "-");
	return last;
}

/* ---- Tries ---- */

static void put_request(const struct stream *s, const struct try *t,
			struct buf *out)
{
	buf_fmt(out,
		"POST /s/x HTTP/1.1\r\nHost: t.example\r\nAttempt-Id: %s\r\n"
		"Deadline-Ms: %ld\r\nAuthorization: Bearer k1\r\n"
		"Content-Length: %zu\r\n",
		t->id, opt.deadline_ms, strlen(s->id));
	if (t->last >= 0)
		buf_fmt(out, "Last-Event-Id: %d\r\n", t->last);
	if (t->kind >= CONTINUED)
		buf_fmt(out, "Resumes: %s\r\n",
			t->kind == OWN ? t->id : s->first);
	buf_fmt(out, "\r\n%s", s->id);
}

/* Returns the RESULT. */
static const char *exchange(struct caller *k, const struct stream *s,
			    struct try *t, struct kept_answer *a)
{
	const int64_t until = standin_now() + t->leave_ms;
	const int64_t first = standin_now() + PATIENCE_MS;
	const int fd = take_connection(k, t);
	BUF_AUTO out = BUF_INIT;
	bool left;

	if (fd < 0)
		return "closed";
	put_request(s, t, &out);
	if (kept_send(fd, &out, until)) {
		while (!a->complete &&
		       kept_read(fd, a, READ,
				 a->raw.len || first > until ? until : first))
			;
	}
	left = standin_now() >= (a->raw.len || first > until ? until : first);
	if (!a->complete && !left)
		kept_parse(a, true);
	give_back(k, t, fd, a->complete && !a->closes);
	return a->complete  ? "whole"
	       : left	    ? "left"
	       : a->raw.len ? "cut"
			    : "closed";
}

/* False: there is no entry. */
static bool try_once(struct caller *k, struct stream *s, struct try *t)
{
	struct kept_entry list[KEPT_MAX_ENTRIES];
	const uint32_t n = kept_list(opt.entries, list);
	struct kept_answer a = { .status = 0 };
	BUF_AUTO events = BUF_INIT;
	const char *result;
	char last[16] = "-";
	int got;

	if (!n)
		return false;
	t->entry = list[rnd_below(&k->rnd, n)];
	snprintf(t->id, sizeof(t->id), "e%d-%s-%d", t->entry.number, s->id,
		 ++s->nr_tries);
	t->sent_ms = wall_ms();
	result = exchange(k, s, t, &a);
	got = put_events(&a, &events);
	if (t->last >= 0)
		snprintf(last, sizeof(last), "%d", t->last);
	printf("%s %s %d %lld %lld %s %d %s %s %s\n", s->id,
	       kind_names[t->kind], t->entry.number, (long long)t->sent_ms,
	       (long long)wall_ms(), result, a.status, last, buf_cstr(&events),
	       t->kept ? "kept" : "fresh");
	if (got && t->kind <= CONTINUED) {
		s->last = got;
		if (!s->first[0])
			str_copy(s->first, t->id, sizeof(s->first));
	}
	s->refusals = a.complete && !got ? s->refusals + 1
		      : got		 ? 0
					 : s->refusals;
	if (a.retry_after_ms > 0)
		clk_sleep_ms(a.retry_after_ms < MAX_PAUSE_MS ? a.retry_after_ms
							     : MAX_PAUSE_MS);
	kept_free(&a);
	return true;
}

/* Takes up a stream that has ended: at its end, beyond it, from its beginning. */
static void take_up_ended(struct caller *k, struct stream *s)
{
	static const int past[] = { EVENTS, EVENTS + 1, 999 };
	struct try t = { .last = -1, .leave_ms = 3000 };

	switch (rnd_below(&k->rnd, 10)) {
	case 0:
		t.kind = PAST;
		t.last = past[rnd_below(&k->rnd, 3)];
		break;
	case 1:
		t.kind = ZERO;
		t.last = (int)rnd_below(&k->rnd, 2) - 1;
		break;
	case 2:
		t.kind = OWN;
		t.last = s->last;
		break;
	default:
		return;
	}
	try_once(k, s, &t);
}

static void one_stream(struct caller *k)
{
	const int64_t until = standin_now() + opt.deadline_ms;
	struct stream s = { .last = 0 };

	snprintf(s.id, sizeof(s.id), "s%ld-c%d-%d", opt.seed, k->number,
		 ++k->nr_streams);
	while (s.last < EVENTS && s.refusals < MAX_REFUSALS &&
	       standin_now() < until && !stopped()) {
		struct try t = { .kind = s.nr_tries ? AGAIN : NEW, .last = -1 };

		if (s.first[0]) {
			t.kind = CONTINUED;
			t.last = s.last;
		}
		t.leave_ms = until - standin_now();
		if (rnd_below(&k->rnd, 2) && t.leave_ms > 800)
			t.leave_ms = 200 + rnd_below(&k->rnd, 600);
		if (!try_once(k, &s, &t))
			clk_sleep_ms(50);
		if (s.last < EVENTS)
			clk_sleep_ms(rnd_below(&k->rnd, MAX_PAUSE_MS));
	}
	if (s.last >= EVENTS && !stopped())
		take_up_ended(k, &s);
}

static void *run_caller(void *arg)
{
	struct caller *k = arg;

	while (!stopped())
		one_stream(k);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct caller callers[MAX_CALLERS];
	const int n = (int)standin_number(argc, argv, "callers", 12);
	int i;

	opt.entries = standin_option(argc, argv, "entries", "entries");
	opt.stop = standin_option(argc, argv, "stop", "stop");
	opt.seed = standin_number(argc, argv, "seed", 1);
	opt.deadline_ms = standin_number(argc, argv, "deadline", 8000);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (n < 1 || n > MAX_CALLERS) {
		fprintf(stderr, "rejoiners: from 1 to %d callers\n",
			MAX_CALLERS);
		return 2;
	}
	for (i = 0; i < n; i++) {
		struct caller *k = &callers[i];

		k->number = i;
		k->keeps = i % 2;
		rnd_seed(&k->rnd,
			 SPREAD * (uint64_t)(opt.seed * MAX_CALLERS + i));
		pthread_create(&k->thread, NULL, run_caller, k);
	}
	for (i = 0; i < n; i++)
		pthread_join(callers[i].thread, NULL);
	return 0;
}
