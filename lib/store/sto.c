#include "store/sto.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/zip.h"
#include "store/snap.h"

/*
 * Time-outs in ms for a silent connection, not for a whole answer. The store
 * answers within about 8 ms, and 70 times that on its slow days. A lost call
 * must leave time for another one within the two seconds in which a change has
 * to be in force.
 *
 * A large answer takes longer on a slow link: 1 MB takes 0.9 s at 10 Mbit/s
 * with no other traffic. If it timed out while it arrives, it would be
 * requested again, directly and through other entries, and these transfers
 * would share the link: none would finish, the store would count as unreachable
 * although it answers, and the entries would transfer a multiple of the
 * answer's size.
 */
#define CALL_MS 900
#define CONNECT_MS 400

/*
 * Time-out in ms for a whole answer, even if data still arrives. The largest
 * one, of 1.4 MB, takes 1.2 s at 10 Mbit/s, and a few may be in transit at a
 * time.
 */
#define ANSWER_MS 12000

/*
 * Additional ms for a call that this entry relays for another one: it may be a
 * waiting watch.
 */
#define RELAY_WAIT_MS 2000

/*
 * ms without a successful call after which the store counts as having been
 * unreachable. A lease is renewed every 0.9 s; the endpoints' keys in the store
 * expire after 3.6 s without renewal.
 */
#define OUTAGE_MS 1500

/*
 * Additional ms for a call through a relay: one more round trip, and for reads
 * the time in which the relay receives the answer. It forwards an answer only
 * when it is complete; until then the connection is silent.
 */
#define VIA_RELAY_EXTRA_MS 100
#define VIA_RELAY_READ_MS 1200

/*
 * Backoff in ms of the direct connection after a failure, doubled with each
 * one up to the bound: each attempt on a broken connection costs a time-out.
 */
#define DIRECT_BACKOFF_MS 700
#define DIRECT_BACKOFF_MAX_MS 2800

/*
 * Largest decompressed answer of a followed entry, in bytes, against corrupt
 * ones: the listing of 50,000 endpoints. A larger one is read from the store.
 */
#define UNPACKED_MAX (24u << 20)

/*
 * Largest answer of a kind of call in bytes, as sent. A value has at most 1 MB,
 * 1.4 MB as text, and a page has 1 MB and one value more. A watch returns all
 * changes since its revision.
 */
#define MAX_VALUE_BYTES (2u << 20)
#define MAX_PAGE_BYTES (4u << 20)
#define MAX_CHANGES_BYTES (16u << 20)

/*
 * Idle connections are closed after this time in ms, which is shorter than the
 * store keeps them.
 */
#define IDLE_MS 8000

struct sto {
	struct cds_list_head relayed_reads; /* of pending.node */
	struct ev_loop *loop;
	const struct clk *clk;
	const struct sto_codec *codec;
	struct htc_peer direct;
	struct htc_peer relay; /* the entry that relays calls */
	bool relay_set;
	struct {
		struct htc_peer leader; /* the followed entry */
		bool set;
	} lanes[STO_LANES];
	char host[32];
	sto_on_reachability on_reachability;
	void *on_reachability_arg;
	sto_choose_relay choose_relay;
	void *choose_relay_arg;
	sto_on_trace on_trace;
	void *on_trace_arg;
	sto_on_restore on_restore;
	void *on_restore_arg;
	int64_t era;
	bool era_known; /* an answer arrived, with or without an era */
	bool direct_ok;
	int64_t backoff_until_ms; /* no direct call before */
	int64_t backoff_ms;	  /* the last backoff */
	int64_t success_ms;	  /* last success, direct or relayed */
	bool failed;		  /* a call failed since then */
	int64_t direct_success_ms;
	int64_t recovered_ms; /* reachable again after OUTAGE_MS; 0: never */
	bool reachable;
};

struct pending {
	struct sto *s;
	enum sto_kind kind;
	sto_done done;
	void *arg;
	struct htc_call *call; /* NULL: none was started */
	/* Of a read that waits for a relay; else `wire` is empty. */
	struct cds_list_head node; /* in sto.relayed_reads */
	struct buf wire;	   /* the request, to be sent again */
	int64_t asked_ms;
	int wait_ms; /* longest wait of a watch; 0: other calls */
	bool direct;
	bool following; /* sent to an entry: its outcome is not the store's */
	bool all_keys;	/* the answer is a listing */
	int status;
	int64_t era; /* of the answer; -1: no answer yet */
	struct buf body;
	ev_timer later; /* reports an outcome that is known at once */
	struct sto_answer immediate; /* that outcome */
};

const char *sto_outcome_name(enum sto_outcome o)
{
	static const char *const names[] = {
		"ok",	"absent",      "conflict", "history-lost",
		"busy", "unreachable", "unknown",  "bad",
	};

	return names[o];
}

const char *sto_kind_name(enum sto_kind k)
{
	static const char *const names[] = {
		"get", "list", "watch", "write", "lease", "keep", "end",
	};

	return names[k];
}

void sto_answer_free(struct sto_answer *a)
{
	size_t i;

	for (i = 0; i < a->nr_items; i++) {
		free(a->items[i].key);
		free(a->items[i].value);
	}
	free(a->items);
	a->items = NULL;
	a->nr_items = 0;
}

void sto_ignore_answer(void *arg, struct sto_answer *a)
{
	(void)arg;
	(void)a;
}

/* ---- Connections ---- */

static const struct htc_limits limits = {
	.connect_ms = CONNECT_MS,
	.ack_timeout_ms = CALL_MS,
	.keepalive_s = 1,
	.idle_ms = IDLE_MS,
	.max_body_bytes = MAX_CHANGES_BYTES,
};

struct sto *sto_create(struct ev_loop *loop, const struct clk *clk,
		       const struct sto_codec *codec,
		       const struct sockaddr_in *addr,
		       sto_on_reachability on_reachability, void *arg)
{
	struct sto *s = calloc(1, sizeof(*s));

	assert(s);
	s->loop = loop;
	s->clk = clk;
	s->codec = codec;
	s->on_reachability = on_reachability;
	s->on_reachability_arg = arg;
	s->direct_ok = true;
	CDS_INIT_LIST_HEAD(&s->relayed_reads);
	strcpy(s->host, "store");
	htc_peer_init(&s->direct, loop, clk, addr, &limits);
	return s;
}

void sto_free(struct sto *s)
{
	unsigned i;

	htc_peer_close(&s->direct);
	if (s->relay_set)
		htc_peer_close(&s->relay);
	for (i = 0; i < STO_LANES; i++) {
		if (s->lanes[i].set)
			htc_peer_close(&s->lanes[i].leader);
	}
	free(s);
}

void sto_set_relay(struct sto *s, sto_choose_relay choose_relay, void *arg)
{
	s->choose_relay = choose_relay;
	s->choose_relay_arg = arg;
}

void sto_set_trace(struct sto *s, sto_on_trace on_trace, void *arg)
{
	s->on_trace = on_trace;
	s->on_trace_arg = arg;
}

bool sto_direct_ok(const struct sto *s)
{
	return s->direct_ok;
}

int64_t sto_recovered_ms(const struct sto *s)
{
	return s->recovered_ms;
}

bool sto_reachable(const struct sto *s)
{
	return s->reachable;
}

static void report_reachability(const struct pending *p, bool reachable,
				const char *why)
{
	struct sto *s = p->s;

	if (s->reachable == reachable)
		return;
	s->reachable = reachable;
	s->on_reachability(s->on_reachability_arg, reachable, why, p->direct,
			   clk_boot_ms(s->clk) - p->asked_ms);
}

/*
 * Points `p` at the address `to`. Returns NULL if it has another address and
 * calls are pending on it.
 */
static struct htc_peer *retarget(struct sto *s, struct htc_peer *p, bool *set,
				 const struct sockaddr_in *to)
{
	if (*set && !memcmp(&p->addr, to, sizeof(*to)))
		return p;
	if (*set && p->nr_open != p->nr_idle)
		return NULL;
	if (*set)
		htc_peer_close(p);
	htc_peer_init(p, s->loop, s->clk, to, &limits);
	*set = true;
	return p;
}

/* The relay to use. The previous one is kept while calls are pending on it. */
static struct htc_peer *relay_peer(struct sto *s)
{
	const struct sockaddr_in *to =
		s->choose_relay ? s->choose_relay(s->choose_relay_arg) : NULL;
	struct htc_peer *p;

	if (!to)
		return NULL;
	p = retarget(s, &s->relay, &s->relay_set, to);
	return p ? p : &s->relay;
}

static struct htc_peer *choose_peer(struct sto *s, bool *direct)
{
	struct htc_peer *relay;

	*direct = true;
	if (s->direct_ok || clk_boot_ms(s->clk) >= s->backoff_until_ms)
		return &s->direct;
	relay = relay_peer(s);
	if (!relay)
		return &s->direct;
	*direct = false;
	return relay;
}

/* ---- Answers ---- */

static void back_off(struct sto *s, int64_t now)
{
	if (now < s->backoff_until_ms)
		return;
	s->backoff_ms = s->backoff_ms ? s->backoff_ms * 2 : DIRECT_BACKOFF_MS;
	if (s->backoff_ms > DIRECT_BACKOFF_MAX_MS)
		s->backoff_ms = DIRECT_BACKOFF_MAX_MS;
	s->backoff_until_ms = now + s->backoff_ms;
}

bool sto_ends_outage(bool failed, int64_t success_ms, int64_t now)
{
	return failed && success_ms && now - success_ms > OUTAGE_MS;
}

static void read_directly(struct sto *s);

/* Outcomes before STO_BUSY are answers of a store that works. */
static void record_outcome(struct pending *p, enum sto_outcome o)
{
	struct sto *s = p->s;
	const int64_t now = clk_boot_ms(s->clk);
	const bool good = o < STO_BUSY;

	if (good) {
		if (sto_ends_outage(s->failed, s->success_ms, now))
			s->recovered_ms = now;
		s->success_ms = now;
	}
	s->failed = !good;
	/* The relay is no better: the next call is direct. */
	if (!p->direct && !good)
		s->backoff_until_ms = now;
	if (p->direct) {
		s->direct_ok = good;
		if (good) {
			read_directly(s);
			s->backoff_ms = 0;
			s->direct_success_ms = now;
		} else {
			back_off(s, now);
		}
	}
	report_reachability(p, good, sto_outcome_name(o));
}

/* ---- Eras ---- */

void sto_set_on_restore(struct sto *s, sto_on_restore on_restore, void *arg)
{
	s->on_restore = on_restore;
	s->on_restore_arg = arg;
}

int64_t sto_era(const struct sto *s)
{
	return s->era;
}

void sto_learn_era(struct sto *s, int64_t era)
{
	const int64_t from = s->era;
	const bool known = s->era_known;

	if (known && era <= from)
		return;
	s->era = era;
	s->era_known = true;
	if (known && s->on_restore)
		s->on_restore(s->on_restore_arg, from, era);
}

/*
 * An answer of an earlier era was delayed: the state that it reports is lost,
 * and it is unknown whether a write of that era still exists.
 */
static void check_era(const struct pending *p, struct sto_answer *a)
{
	a->era = p->era;
	if (p->era < 0)
		return;
	if (p->era < p->s->era)
		a->outcome = STO_UNKNOWN;
	else
		sto_learn_era(p->s, p->era);
}

static void add_era(const struct pending *p, struct sto_answer *a)
{
	size_t i;

	a->revision = ver_of(p->era, a->revision);
	for (i = 0; i < a->nr_items; i++)
		a->items[i].revision = ver_of(p->era, a->items[i].revision);
}

static void trace(const struct pending *p, const struct sto_answer *a)
{
	const struct sto *s = p->s;
	const int64_t took = clk_boot_ms(s->clk) - p->asked_ms;
	const struct sto_trace t = {
		.kind = p->kind,
		.outcome = a->outcome,
		.direct = p->direct,
		.following = p->following,
		.took_ms = took,
		.late_ms = took - p->wait_ms,
		.bytes = p->body.len,
		.skipped = a->nr_skipped,
	};

	if (s->on_trace)
		s->on_trace(s->on_trace_arg, &t);
}

/* The call is not, or no longer, a read that waits for a relay. */
static void end_relayed_read(struct pending *p)
{
	if (!p->wire.len)
		return;
	cds_list_del(&p->node);
	buf_free(&p->wire);
}

static void finish(struct pending *p, struct sto_answer *a)
{
	end_relayed_read(p);
	check_era(p, a);
	trace(p, a);
	a->asked_ms = p->asked_ms;
	a->raw = buf_cstr(&p->body);
	a->raw_len = p->body.len;
	if (!p->following)
		record_outcome(p, a->outcome);
	p->done(p->arg, a);
	sto_answer_free(a);
	buf_free(&p->body);
	free(p);
}

static bool on_head(struct htc_call *call, const struct hmsg *m)
{
	struct pending *p = htc_owner(call);

	p->status = m->status;
	p->era = p->s->codec->era(m);
	return true;
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	struct pending *p = htc_owner(call);
	const int64_t left =
		p->asked_ms + p->wait_ms + ANSWER_MS - clk_boot_ms(p->s->clk);

	buf_add(&p->body, data, len);
	htc_extend(call, left < CALL_MS ? (int)left : CALL_MS);
}

static void decode(const struct pending *p, const struct buf *body,
		   struct sto_answer *a)
{
	p->s->codec->decode(p->kind, p->status, buf_cstr(body), body->len, a);
	add_era(p, a);
}

/* Decodes a listing: one answer with the items of all pages. */
static void decode_listing(const struct pending *p, const struct buf *listing,
			   struct sto_answer *a)
{
	size_t at = 0, len, max = 0, i;
	struct sto_answer page;
	const char *body;

	while ((body = snap_next_page(listing, &at, &len))) {
		memset(&page, 0, sizeof(page));
		p->s->codec->decode(STO_LIST, p->status, body, len, &page);
		if (!max) {
			a->outcome = page.outcome;
			a->revision = page.revision;
		}
		if (page.outcome != STO_OK)
			a->outcome = page.outcome;
		a->nr_skipped += page.nr_skipped;
		max += page.nr_items + 1;
		a->items = realloc(a->items, max * sizeof(a->items[0]));
		assert(a->items);
		for (i = 0; i < page.nr_items; i++)
			a->items[a->nr_items++] = page.items[i];
		/* The items now belong to `a`. */
		page.nr_items = 0;
		sto_answer_free(&page);
	}
	if (!max || at != listing->len)
		a->outcome = STO_MALFORMED;
	add_era(p, a);
}

static void decode_unpacked(const struct pending *p, const struct buf *body,
			    struct sto_answer *a)
{
	if (p->all_keys && p->status == 200)
		decode_listing(p, body, a);
	else
		decode(p, body, a);
}

/*
 * A followed entry sends large batches compressed. A body that cannot be
 * decompressed is decoded as it is, which gives STO_MALFORMED.
 */
static void decode_followed(const struct pending *p, struct sto_answer *a)
{
	BUF_AUTO plain = BUF_INIT;

	if (zip_is_packed(buf_cstr(&p->body), p->body.len) &&
	    zip_unpack(p->body.data, p->body.len, UNPACKED_MAX, &plain))
		decode_unpacked(p, &plain, a);
	else
		decode_unpacked(p, &p->body, a);
}

static void on_end(struct htc_call *call)
{
	struct pending *p = htc_owner(call);
	struct sto_answer a;

	memset(&a, 0, sizeof(a));
	if (p->following)
		decode_followed(p, &a);
	else
		decode(p, &p->body, &a);
	finish(p, &a);
}

static enum sto_outcome outcome_of(const struct pending *p,
				   enum htc_failure why)
{
	if (why == HTC_NOT_SENT)
		return STO_UNREACHABLE;
	if (why != HTC_TOO_LARGE)
		return STO_UNKNOWN;
	/*
	 * Repeated, the watch would return the same changes and more. A listing
	 * has them in pages of a bounded size.
	 */
	return p->kind == STO_WATCH && !p->following ? STO_HISTORY_LOST
						     : STO_MALFORMED;
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	struct pending *p = htc_owner(call);
	struct sto_answer a;

	memset(&a, 0, sizeof(a));
	a.outcome = outcome_of(p, why);
	finish(p, &a);
}

static const struct htc_vtable call_vtable = { on_head, on_body, on_end,
					       on_failed };

static void on_later(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct pending *p = t->data;

	(void)loop;
	(void)revents;
	finish(p, &p->immediate);
}

static void finish_later(struct pending *p, enum sto_outcome outcome)
{
	p->immediate.outcome = outcome;
	ev_timer_init(&p->later, on_later, 0.001, 0);
	p->later.data = p;
	ev_timer_start(p->s->loop, &p->later);
}

static bool is_read(enum sto_kind kind)
{
	return kind == STO_GET || kind == STO_LIST || kind == STO_WATCH;
}

static int timeout_for(const struct pending *p)
{
	int ms = CALL_MS + p->wait_ms;

	if (p->direct)
		return ms;
	return ms + VIA_RELAY_EXTRA_MS +
	       (is_read(p->kind) ? VIA_RELAY_READ_MS : 0);
}

static size_t max_answer(enum sto_kind kind, unsigned nr_conditions)
{
	switch (kind) {
	case STO_GET:
		return MAX_VALUE_BYTES;
	case STO_LIST:
		return MAX_PAGE_BYTES;
	case STO_WATCH:
		return MAX_CHANGES_BYTES;
	case STO_WRITE:
		/* A refusal has the values of all conditions. */
		return HTC_SMALL_BODY_BYTES + nr_conditions * MAX_VALUE_BYTES;
	case STO_LEASE_GRANT:
	case STO_LEASE_RENEW:
	case STO_LEASE_END:
		break;
	}
	return HTC_SMALL_BODY_BYTES;
}

/* Sends the request to the store, or to a relay; takes the contents of `wire`. */
static void start(struct pending *p, struct htc_peer *to, struct buf *wire,
		  size_t max_answer_bytes)
{
	p->call =
		htc_start(to, wire, 0, false, timeout_for(p), &call_vtable, p);
	if (p->call) {
		htc_set_max_body(p->call, max_answer_bytes);
		return;
	}
	end_relayed_read(p);
	finish_later(p, STO_UNREACHABLE);
}

/*
 * The direct way works: reads that wait for a relay, which may have lost the store
 * meanwhile, are sent again.
 */
static void read_directly(struct sto *s)
{
	struct pending *p, *next;
	struct buf wire;

	cds_list_for_each_entry_safe(p, next, &s->relayed_reads, node) {
		htc_cancel(p->call);
		cds_list_del(&p->node);
		wire = p->wire;
		p->wire = (struct buf)BUF_INIT;
		buf_free(&p->body);
		p->status = 0;
		p->era = -1;
		p->asked_ms = clk_boot_ms(s->clk);
		p->direct = true;
		start(p, &s->direct, &wire, max_answer(p->kind, 0));
	}
}

/*
 * Converts the versions of a call to the store's revisions. False if a
 * condition is on a version of another era: as a revision it could hold by
 * chance.
 */
static bool to_revisions(const struct sto *s, struct sto_call *c)
{
	unsigned i;

	c->revision = ver_revision(c->revision);
	for (i = 0; i < c->nr_conditions; i++) {
		const int64_t version = c->conditions[i].revision;

		if (version && ver_era(version) != s->era)
			return false;
		c->conditions[i].revision = ver_revision(version);
	}
	return true;
}

void sto_call(struct sto *s, const struct sto_call *call, sto_done done,
	      void *arg)
{
	struct pending *p = calloc(1, sizeof(*p));
	struct sto_call plain = *call;
	struct buf wire = BUF_INIT;
	struct htc_peer *to;

	assert(p);
	p->s = s;
	p->kind = call->kind;
	p->done = done;
	p->arg = arg;
	p->asked_ms = clk_boot_ms(s->clk);
	p->era = -1;
	if (call->kind == STO_WATCH)
		p->wait_ms = call->wait_ms;
	if (!to_revisions(s, &plain)) {
		finish_later(p, STO_CONFLICT);
		return;
	}
	to = choose_peer(s, &p->direct);
	s->codec->encode(&plain, s->host, &wire);
	if (!p->direct && is_read(call->kind)) {
		buf_add(&p->wire, wire.data, wire.len);
		cds_list_add_tail(&p->node, &s->relayed_reads);
	}
	start(p, to, &wire, max_answer(call->kind, call->nr_conditions));
}

/* ---- Following another entry ---- */

#define FOLLOW_PATH "/feed"

bool sto_parse_follow(const char *url, unsigned *lane, int64_t *after,
		      int *wait_ms)
{
	char number[24];

	if (strncmp(url, FOLLOW_PATH "?", strlen(FOLLOW_PATH) + 1))
		return false;
	if (!hmsg_query(url, "lane", number, sizeof(number)))
		return false;
	*lane = (unsigned)strtoul(number, NULL, 10);
	if (*lane >= STO_LANES)
		return false;
	if (!hmsg_query(url, "after", number, sizeof(number)))
		return false;
	*after = strtoll(number, NULL, 10);
	if (!hmsg_query(url, "wait", number, sizeof(number)))
		return false;
	*wait_ms = (int)strtol(number, NULL, 10);
	return true;
}

int64_t sto_direct_success_ms(const struct sto *s)
{
	return s->direct_success_ms;
}

void sto_follow(struct sto *s, unsigned lane, const struct sockaddr_in *to,
		int64_t after, int wait_ms, int extra_ms, sto_done done,
		void *arg)
{
	struct pending *p = calloc(1, sizeof(*p));
	struct htc_peer *at =
		retarget(s, &s->lanes[lane].leader, &s->lanes[lane].set, to);
	struct buf wire = BUF_INIT;

	assert(p);
	p->s = s;
	p->kind = STO_WATCH;
	p->done = done;
	p->arg = arg;
	p->asked_ms = clk_boot_ms(s->clk);
	p->wait_ms = wait_ms;
	p->era = -1;
	p->following = true;
	p->all_keys = after == STO_ALL_KEYS || after == STO_ANY_LISTING;
	buf_fmt(&wire,
		"GET " FOLLOW_PATH "?lane=%u&after=%lld&wait=%d HTTP/1.1\r\n"
		"Host: entry\r\n\r\n",
		lane, (long long)after, wait_ms);
	if (at &&
	    htc_start(at, &wire, 0, false, wait_ms + extra_ms, &call_vtable, p))
		return;
	buf_free(&wire);
	finish_later(p, STO_UNREACHABLE);
}

/* ---- Relaying for other entries ---- */

struct sto_relay {
	struct htc_call *call;
	sto_relay_held held;
	sto_relayed done;
	void *arg;
	int64_t until_ms; /* time-out of the whole answer */
	const struct clk *clk;
	const struct sto_codec *codec;
	int status;
	int64_t era;
	struct buf body;
};

static bool relay_head(struct htc_call *call, const struct hmsg *m)
{
	struct sto_relay *r = htc_owner(call);

	r->status = m->status;
	r->era = r->codec->era(m);
	return true;
}

static void relay_body(struct htc_call *call, const char *data, size_t len)
{
	struct sto_relay *r = htc_owner(call);
	const int64_t left = r->until_ms - clk_boot_ms(r->clk);

	buf_add(&r->body, data, len);
	htc_extend(call, left < CALL_MS ? (int)left : CALL_MS);
	r->held(r->arg, r->body.cap);
}

static void relay_finish(struct sto_relay *r, int status, bool sent)
{
	r->done(r->arg, status, r->era, buf_cstr(&r->body), r->body.len, sent);
	buf_free(&r->body);
	free(r);
}

static void relay_end(struct htc_call *call)
{
	struct sto_relay *r = htc_owner(call);

	relay_finish(r, r->status, true);
}

static void relay_failed(struct htc_call *call, enum htc_failure why)
{
	relay_finish(htc_owner(call), 0, why != HTC_NOT_SENT);
}

static const struct htc_vtable relay_vtable = { relay_head, relay_body,
						relay_end, relay_failed };

struct sto_relay *sto_relay(struct sto *s, struct buf *wire,
			    sto_relay_held held, sto_relayed done, void *arg)
{
	struct sto_relay *r = calloc(1, sizeof(*r));

	assert(r);
	r->held = held;
	r->done = done;
	r->arg = arg;
	r->clk = s->clk;
	r->codec = s->codec;
	r->until_ms = clk_boot_ms(s->clk) + RELAY_WAIT_MS + ANSWER_MS;
	r->call = htc_start(&s->direct, wire, 0, false, RELAY_WAIT_MS + CALL_MS,
			    &relay_vtable, r);
	if (r->call)
		return r;
	relay_finish(r, 0, false);
	return NULL;
}

void sto_relay_cancel(struct sto_relay *r)
{
	htc_cancel(r->call);
	buf_free(&r->body);
	free(r);
}
