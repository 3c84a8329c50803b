/*
 * Seeded mutation of what callers may send, with a check that a second reader
 * agrees: whatever is taken for a request is sent on as exactly one request
 * with the same method, path and body, and none of the headers that only the
 * system sets. `fuzz_edge N` runs N mutations.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "pf_wire.h"
#include "stream/evs.h"

#define DEFAULT_RUNS 20000

static const char *const seeds[] = {
	"POST /x/1?q=2 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: abc\r\n"
	"Deadline-Ms: 1000\r\nAuthorization: Bearer k\r\nTenant: forged\r\n"
	"Content-Length: 5\r\n\r\nhello",
	"POST /x/ HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\nModel: m\r\n"
	"Token-Count: 10,20\r\nPrefix-Hash: a1:5,b2:6\r\n"
	"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"GET /y/z HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\nConnection: "
	"keep-alive, X-A\r\nX-A: 1\r\nExpect-Replica: forged\r\n\r\n",
	"HEAD / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 9\r\nKv-From: forged\r\n"
	"Last-Event-Id: 4\r\n\r\n",
};

struct reader {
	struct hparse p;
	struct buf body;
	int ends;
};

static int on_head(struct hparse *p)
{
	(void)p;
	return 0;
}

static void on_body(struct hparse *p, const char *data, size_t len)
{
	buf_add(&((struct reader *)p->owner)->body, data, len);
}

static void on_end(struct hparse *p)
{
	((struct reader *)p->owner)->ends++;
	p->stop = true;
}

static const struct hparse_vtable vtable = { on_head, on_body, on_end };

/* True if the bytes begin with one whole request; *used tells its length. */
static bool read_one(struct reader *r, const char *data, size_t len,
		     size_t *used)
{
	memset(r, 0, sizeof(*r));
	hparse_init(&r->p, true, 16384, &vtable, r);
	return hparse_feed(&r->p, data, len, used) == HPARSE_STOPPED;
}

static void reader_free(struct reader *r)
{
	hparse_free(&r->p);
	buf_free(&r->body);
}

static bool same_request(const struct reader *a, const struct reader *b)
{
	return a->p.msg.method == b->p.msg.method &&
	       !strcmp(hmsg_url(&a->p.msg), hmsg_url(&b->p.msg)) &&
	       a->body.len == b->body.len &&
	       (!a->body.len ||
		!memcmp(a->body.data, b->body.data, a->body.len));
}

static bool nothing_forged(const struct hmsg *m)
{
	return hmsg_count(m, "Tenant") == 1 &&
	       !strcmp(hmsg_find(m, "Tenant"), "ours") &&
	       hmsg_count(m, "Expect-Replica") == 1 &&
	       !hmsg_find(m, "Kv-From") && !hmsg_find(m, "Authorization") &&
	       hmsg_count(m, "Host") == 1 && hmsg_count(m, "Attempt-Id") == 1;
}

/* 1 if what is sent on does not read as the request that was taken. */
static unsigned round_trip(const char *data, size_t len, unsigned *taken)
{
	const struct forward f = { "i-1", "ours", 500, 3, -1, NULL };
	struct reader first, second;
	struct attempt a;
	struct err e = ERR_INIT;
	BUF_AUTO out = BUF_INIT;
	unsigned wrong = 0;
	size_t used;

	if (!read_one(&first, data, len, &used) ||
	    pf_wire()->decode_request(&first.p.msg, &a, &e)) {
		reader_free(&first);
		return 0;
	}
	(*taken)++;
	pf_wire()->encode_request(&first.p.msg, &first.body, &a, &f, &out);
	if (!read_one(&second, out.data, out.len, &used) || used != out.len ||
	    !same_request(&first, &second) || !nothing_forged(&second.p.msg))
		wrong = 1;
	reader_free(&second);
	reader_free(&first);
	return wrong;
}

static void mutate(struct buf *b, struct rnd *rnd)
{
	static const char *const pieces[] = {
		"\r\n",
		"\n",
		"\r",
		" ",
		":",
		"Content-Length: 3\r\n",
		"Transfer-Encoding: chunked\r\n",
		"0\r\n\r\n",
		"GET / HTTP/1.1",
		"Tenant: x\r\n",
		"Host: b\r\n",
		",",
		"\t",
		"\x80",
		"%0d%0a",
	};
	const size_t n = sizeof(pieces) / sizeof(pieces[0]);
	BUF_AUTO old = BUF_INIT;
	unsigned k = 1 + rnd_below(rnd, 4);
	size_t at;

	while (k--) {
		at = rnd_below(rnd, (uint32_t)b->len);
		if (rnd_below(rnd, 2)) {
			b->data[at] = (char)rnd_below(rnd, 256);
			continue;
		}
		buf_reset(&old);
		buf_add(&old, b->data, b->len);
		buf_reset(b);
		buf_add(b, old.data, at);
		buf_str(b, pieces[rnd_below(rnd, (uint32_t)n)]);
		buf_add(b, old.data + at, old.len - at);
	}
}

int main(int argc, char **argv)
{
	const long runs = argc > 1 ? atol(argv[1]) : DEFAULT_RUNS;
	unsigned wrong = 0, taken = 0;
	struct rnd rnd;
	long i;

	rnd_seed(&rnd, 77);
	for (i = 0; i < runs; i++) {
		BUF_AUTO text = BUF_INIT;
		BUF_AUTO events = BUF_INIT;
		struct evs s;

		buf_str(&text, seeds[i % 4]);
		if (i >= 4)
			mutate(&text, &rnd);
		wrong += round_trip(text.data, text.len, &taken);
		evs_init(&s);
		evs_feed(&s, text.data, text.len, -1, &events);
		evs_free(&s);
	}
	printf("  requests taken: %u of %ld\n", taken, runs);
	/* Few would be taken if the seeds themselves were refused. */
	printf("fuzz_edge: %d passed, %d failed\n",
	       (wrong == 0) + (taken > runs / 20),
	       (wrong != 0) + (taken <= runs / 20));
	return wrong || taken <= runs / 20;
}
