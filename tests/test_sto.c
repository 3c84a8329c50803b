/*
 * The client of the store over loopback, with a store and a relay that are silent
 * at times: which way its calls take.
 */
#include <string.h>
#include <sys/socket.h>

#include "base/clk.h"
#include "edge/wire.h"
#include "io/hsc.h"
#include "pf_wire.h"
#include "store/sto.h"
#include "support/unit.h"

static struct ev_loop *loop;

/* The store, or an entry that relays calls to it. */
struct server {
	struct hsc_server http;
	struct sockaddr_in addr;
	bool silent;
	size_t pad; /* spaces after the answer, a multiple of 16 */
	unsigned requests;
};

static void on_request(struct hsc *c)
{
	struct server *s = c->server->owner;
	static const char answer[] = "{\"events\":[],\"currentRev\":7}";
	static const char spaces[] = "                ";
	BUF_AUTO out = BUF_INIT;
	size_t pad;

	s->requests++;
	if (s->silent)
		return;
	buf_fmt(&out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(answer) + s->pad, answer);
	for (pad = s->pad; pad; pad -= strlen(spaces))
		buf_str(&out, spaces);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void on_disconnected(struct hsc *c)
{
	(void)c;
}

static void on_read_error(struct hsc *c, enum hsc_read_error error,
			  struct buf *out)
{
	(void)c;
	(void)error;
	buf_str(out, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
}

static void get_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 4096, 10000, 5000, 5000, 60000 };
}

static const struct hsc_vtable server_vtable = {
	.request = on_request,
	.disconnected = on_disconnected,
	.read_error = on_read_error,
	.limits = get_limits,
};

static void open_server(struct server *s)
{
	socklen_t len = sizeof(s->addr);

	memset(s, 0, sizeof(*s));
	ioc_address("127.0.0.1:0", &s->addr, NULL);
	CU_ASSERT_EQUAL_FATAL(hsc_server_open(&s->http, loop, &s->addr,
					      &server_vtable, s, NULL),
			      0);
	getsockname(s->http.fd, (struct sockaddr *)&s->addr, &len);
}

/* A client, the store, and a relay that is known or not. */
struct fixture {
	struct sto *sto;
	struct server store, relay;
	bool relay_known;
};

static const struct sockaddr_in *choose_relay(void *arg)
{
	struct fixture *f = arg;

	return f->relay_known ? &f->relay.addr : NULL;
}

static void on_reachability(void *arg, bool reachable, const char *why,
			    bool direct, int64_t took_ms)
{
	(void)arg;
	(void)reachable;
	(void)why;
	(void)direct;
	(void)took_ms;
}

static void open_fixture(struct fixture *f)
{
	open_server(&f->store);
	open_server(&f->relay);
	f->relay_known = true;
	f->sto = sto_create(loop, clk_real(), pf_wire()->store, &f->store.addr,
			    on_reachability, f);
	sto_set_relay(f->sto, choose_relay, f);
}

static void close_fixture(struct fixture *f)
{
	sto_free(f->sto);
	hsc_server_close(&f->store.http);
	hsc_server_close(&f->relay.http);
}

struct result {
	unsigned done;
	enum sto_outcome outcome;
};

static void on_done(void *arg, struct sto_answer *a)
{
	struct result *r = arg;

	r->done++;
	r->outcome = a->outcome;
}

/* Runs the loop until the call has ended. */
static void await(const struct result *r)
{
	int i;

	for (i = 0; i < 100000 && !r->done; i++)
		ev_run(loop, EVRUN_ONCE);
	CU_ASSERT_EQUAL_FATAL(r->done, 1);
}

static enum sto_outcome renew(struct fixture *f)
{
	const struct sto_call c = { .kind = STO_LEASE_RENEW, .lease = 1 };
	struct result r = { 0 };

	sto_call(f->sto, &c, on_done, &r);
	await(&r);
	return r.outcome;
}

/* The store is silent for two direct calls; the second backoff is the longer one. */
static void lose_direct_way(struct fixture *f)
{
	f->store.silent = true;
	f->relay_known = false;
	CU_ASSERT_EQUAL(renew(f), STO_UNKNOWN);
	CU_ASSERT_EQUAL(renew(f), STO_UNKNOWN);
	CU_ASSERT_FALSE(sto_direct_ok(f->sto));
	f->relay_known = true;
	CU_ASSERT_EQUAL(renew(f), STO_OK);
	CU_ASSERT_EQUAL(f->relay.requests, 1);
	f->store.silent = false;
	f->relay.silent = true;
}

/* Guards against calls to a relay that has lost the store, while the direct way works. */
static void failed_relay_ends_the_backoff(void)
{
	struct fixture f;

	open_fixture(&f);
	lose_direct_way(&f);
	CU_ASSERT_EQUAL(renew(&f), STO_UNKNOWN);
	CU_ASSERT_EQUAL(f.relay.requests, 2);
	CU_ASSERT_EQUAL(renew(&f), STO_OK);
	CU_ASSERT_EQUAL(f.relay.requests, 2);
	CU_ASSERT(sto_direct_ok(f.sto));
	close_fixture(&f);
}

/* Guards against a read that waits for such a relay until its time-out. */
static void relayed_reads_are_sent_again_directly(void)
{
	const struct sto_call watch = {
		.kind = STO_WATCH, .key = "x/", .revision = 3, .wait_ms = 20000
	};
	struct result r = { 0 };
	struct fixture f;

	open_fixture(&f);
	lose_direct_way(&f);
	sto_call(f.sto, &watch, on_done, &r);
	while (f.relay.requests < 2)
		ev_run(loop, EVRUN_ONCE);
	f.relay_known = false;
	CU_ASSERT_EQUAL(renew(&f), STO_OK);
	CU_ASSERT_EQUAL(r.done, 0);
	await(&r);
	CU_ASSERT_EQUAL(r.outcome, STO_OK);
	CU_ASSERT_EQUAL(f.store.requests, 4);
	close_fixture(&f);
}

/*
 * Guards against a watch that is repeated from the same revision for ever: its
 * answer, with values that another writer changes, exceeds the bound each time.
 * A listing has bounded pages.
 */
static void changes_that_are_too_large_are_listed(void)
{
	const struct sto_call watch = {
		.kind = STO_WATCH, .key = "x/", .revision = 3, .wait_ms = 2000
	};
	struct result r = { 0 };
	struct fixture f;

	open_fixture(&f);
	f.store.pad = 17u << 20;
	sto_call(f.sto, &watch, on_done, &r);
	await(&r);
	CU_ASSERT_EQUAL(r.outcome, STO_HISTORY_LOST);
	CU_ASSERT(sto_direct_ok(f.sto));
	close_fixture(&f);
}

struct relayed {
	struct sto_relay *call;
	size_t held, max, len;
	int done;
};

static void on_held(void *arg, size_t bytes)
{
	struct relayed *r = arg;

	r->held = bytes;
	if (bytes > r->max)
		sto_relay_cancel(r->call);
}

static void on_relayed(void *arg, int status, int64_t era, const char *body,
		       size_t len, bool sent)
{
	struct relayed *r = arg;

	(void)era;
	(void)body;
	CU_ASSERT_EQUAL(status, 200);
	CU_ASSERT(sent);
	r->done++;
	r->len = len;
}

static void relay_to_store(struct fixture *f, struct relayed *r)
{
	struct buf wire = BUF_INIT;
	int i;

	buf_str(&wire, "GET /v1/kv-key?key=x HTTP/1.1\r\nHost: x\r\n\r\n");
	r->call = sto_relay(f->sto, &wire, on_held, on_relayed, r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r->call);
	for (i = 0; i < 100000 && !r->done && r->held <= r->max; i++)
		ev_run(loop, EVRUN_ONCE);
}

/* Guards against relayed answers that are held and accounted for nowhere. */
static void relayed_answer_states_what_it_holds(void)
{
	const size_t pad = 1u << 20;
	struct relayed r = { .max = SIZE_MAX };
	struct fixture f;

	open_fixture(&f);
	f.store.pad = pad;
	relay_to_store(&f, &r);
	CU_ASSERT_EQUAL(r.done, 1);
	CU_ASSERT(r.len > pad);
	CU_ASSERT(r.held >= r.len);
	r = (struct relayed){ .max = pad / 2 };
	relay_to_store(&f, &r);
	CU_ASSERT_EQUAL(r.done, 0);
	CU_ASSERT(r.held > r.max);
	CU_ASSERT(r.held < 2 * pad);
	close_fixture(&f);
}

static const struct unit_test tests[] = {
	{ "a failed relay ends the backoff", failed_relay_ends_the_backoff },
	{ "relayed reads are sent again directly",
	  relayed_reads_are_sent_again_directly },
	{ "changes that are too large are listed",
	  changes_that_are_too_large_are_listed },
	{ "a relayed answer states what it holds",
	  relayed_answer_states_what_it_holds },
};

int main(void)
{
	loop = ev_default_loop(EVFLAG_AUTO);
	return unit_run("sto", tests, sizeof(tests) / sizeof(tests[0]));
}
