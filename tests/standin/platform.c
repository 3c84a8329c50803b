/*
 * A stand-in for the platform, on one loopback port, in its protocol: the
 * key-value store with leases and watches, the duties' calls, and endpoints
 * that run requests and remember which ones. Faults are asked for by calls
 * under /test/.
 *
 * Options: --endpoints N (of each service), --gap MS (between events), --era N
 * (what the store's answers say of how often it came back from a copy; 0: they
 * say nothing).
 */
#include <ev.h>
#include <openssl/evp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/jsn.h"
#include "base/rnd.h"
#include "io/hsc.h"
#include "support/poison.h"
#include "support/run_log.h"
#include "support/slow_link.h"
#include "support/statements.h"

#define MAX_KEYS 1024
#define MAX_RUNS 20000
#define MAX_ENDPOINTS 1024
#define MAX_AT_START 16 /* of each service */
#define HISTORY 4096
#define MAX_LEASES 256
#define MAX_COPIES 1024
#define MAX_REPORTS 512
#define TICK_S 0.005
#define CONFIG_KEY "op/config"
#define FREE_COPY "/v1/kv-handle/h-"

/*
 * An endpoint that begins to run a body with this word ends so much later. Its
 * entry in the store stays until it has lapsed; another start of it, with a
 * new id, comes sooner.
 */
#define FATAL "fatal"
#define FATAL_MS 50
#define START_AGAIN_MS 700
#define LAPSE_MS 1500

/* The same for a part of its prompt: from the send to the crash, or the head. */
#define POISON_MS 100

/* An endpoint crashes while it writes the answer to a body with this word. */
#define TORN "torn"

struct item {
	char key[200];
	char *value; /* base64, as it came; NULL: not there */
	bool odd;    /* `value` has members in JSON instead */
	int64_t revision, lease;
	char *newest;  /* to be written again; NULL: nothing */
	bool was_gone; /* before the store came back */
};

struct lease {
	int64_t id, ttl_ms, until_ms;
};

struct run {
	char id[80];
	int endpoint;
	int times;
	bool once; /* of a kind that may run once at most */
};

struct endpoint {
	struct hsc_server server;
	char id[32], address[32]; /* address: once it has ended */
	char service[32], version[32];
	int64_t born_ms;
	int error_percent; /* percentage of answers that are errors */
	bool draining, gone, fail, mute, break_streams;
	int64_t gone_ms;
	int64_t end_ms; /* it ends then; 0: it does not */
	bool reset;	/* its connections are reset then */
	bool ended, started_again, lapsed;
	unsigned seen; /* requests since it was drained */
	int room;      /* requests that run at the same time; 0: any number */
	int first_ms, gap_ms; /* to the first event, between two; 0: as all */
	int answer_ms;	      /* until it answers a plain request */
	int64_t silent_until_ms;
	struct stm statements;
};

struct watcher {
	struct cds_list_head node;
	struct hsc *conn;
	int64_t after, until_ms;
	char prefix[200];
};

/* Memory of a run, at another endpoint or at the source that stopped it. */
struct copy {
	char id[80]; /* of the attempt */
	bool used;   /* or freed */
	const struct endpoint *source;
	bool stopped; /* its run, at the source */
};

/* An answer that comes later: to a call for a copy, or of a plain request. */
struct late_answer {
	struct cds_list_head node;
	struct hsc *conn;
	struct endpoint *at; /* of a plain request; NULL: `text` is answered */
	char text[80];	     /* or the request's id */
	int64_t due_ms;
};

/* What the store held at a moment. */
struct copy_of_store {
	struct item items[MAX_KEYS];
	struct lease leases[MAX_LEASES];
	int nr_items, nr_leases;
	int64_t revision, next_lease;
};

struct stream {
	struct cds_list_head node;
	char id[80];
	struct hsc *conn;
	struct endpoint *at;
	int next, last;
	int made; /* here, without those before the stream was resumed */
	int64_t due_ms;
	unsigned poison; /* the parts that crash the endpoint, psn_sent() */
	bool unframed;
	int pad; /* bytes more in each event */
};

/* How an endpoint comes back after a crash. */
enum again {
	AGAIN_ELSEWHERE,  /* another id at another address */
	AGAIN_SAME_PLACE, /* another id at the same address */
	AGAIN_SAME_ID,	  /* the same id, born later, at the same address */
};

static struct {
	struct ev_loop *loop;
	struct hsc_server server;
	struct item items[MAX_KEYS];
	int nr_items;
	int64_t revision, forgotten;
	struct lease leases[MAX_LEASES];
	int nr_leases;
	int64_t next_lease;
	struct {
		int64_t revision;
		int item;
		bool gone;
	} history[HISTORY];
	int nr_history;
	struct run runs[MAX_RUNS];
	int nr_runs;
	struct run_log run_log;
	struct endpoint endpoints[MAX_ENDPOINTS];
	int nr_endpoints;
	struct cds_list_head watchers, streams;
	struct slow_link link; /* of the store's answers */
	int config_told;       /* times that a configuration was in an answer */
	struct copy copies[MAX_COPIES];
	int nr_copies;
	int copy_mode; /* enum copy_mode */
	int copy_ms;   /* until a copy is made */
	struct cds_list_head late_answers;
	int nr_stopped; /* runs, for a copy */
	int nr_freed;	/* copies that were not used */
	int64_t down_until_ms;
	struct copy_of_store older; /* the store comes back from it */
	int64_t era;
	int64_t rewrite_ms; /* operators and endpoints write again then; 0 */
	int64_t lapse_ms; /* endpoints that left are off the list again then */
	int gap_ms;
	int answer_pad, event_pad; /* bytes by which each one is longer */
	int nr_ended;		   /* endpoints */
	int nr_fell; /* of them: brittle ones that refused too much */
	int nr_full; /* requests refused for want of room */
	struct stm_brittle brittle; /* service "": none */
	bool mended;		    /* no body ends an endpoint any more */
	struct psn poison;
	bool unframed; /* answers have neither a length nor chunks */
	int start_again_ms;
	enum again again;
	int nr_usage, nr_scale, wrong_fence, usage_twice;
	int not_bound; /* duty calls, see check_holder() */
	int64_t last_fence;
	char usage[MAX_REPORTS][512];
	struct rnd rnd;
	ev_timer tick;
} w;

static int64_t now_ms(void)
{
	return clk_boot_ms(clk_real());
}

static void reply(struct hsc *c, int status, const char *body)
{
	BUF_AUTO out = BUF_INIT;

	hmsg_put_status(&out, status);
	hmsg_put(&out, "Content-Type", "application/json");
	if (w.era && c->server == &w.server)
		hmsg_put_int(&out, "Store-Era", w.era);
	hmsg_put_int(&out, "Content-Length", (int64_t)strlen(body));
	hmsg_put_end(&out);
	buf_str(&out, body);
	if (w.link.bytes_per_s && c->server == &w.server &&
	    !strncmp(hmsg_url(&c->parse.msg), "/v1/", 4)) {
		slow_link_send(&w.link, c, &out);
		return;
	}
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

/* ---- The store ---- */

static struct item *find_item(const char *key, bool make)
{
	int i;

	for (i = 0; i < w.nr_items; i++) {
		if (!strcmp(w.items[i].key, key))
			return &w.items[i];
	}
	if (!make || w.nr_items == MAX_KEYS)
		return NULL;
	str_copy(w.items[w.nr_items].key, key, sizeof(w.items[0].key));
	return &w.items[w.nr_items++];
}

static void put_item(struct buf *out, const struct item *it, bool gone,
		     int64_t revision)
{
	w.config_told += !gone && !strcmp(it->key, CONFIG_KEY);
	buf_str(out, "{\"key\":");
	buf_json(out, it->key);
	if (gone)
		buf_fmt(out, ",\"revision\":%lld,\"deleted\":true}",
			(long long)revision);
	else
		buf_fmt(out,
			it->odd ? ",%s,\"revision\":%lld,\"lease\":%lld}"
				: ",\"value\":\"%s\",\"revision\":%lld,"
				  "\"lease\":%lld}",
			it->value, (long long)it->revision,
			(long long)it->lease);
}

static bool answer_watcher(struct watcher *v, bool late)
{
	BUF_AUTO out = BUF_INIT;
	int i, n = 0;

	buf_str(&out, "{\"events\":[");
	for (i = 0; i < w.nr_history; i++) {
		const struct item *it = &w.items[w.history[i].item];
		const int64_t rev = w.history[i].revision;

		if (rev <= v->after ||
		    strncmp(it->key, v->prefix, strlen(v->prefix)))
			continue;
		/* A write that was overwritten or deleted since is not told. */
		if (!w.history[i].gone && (it->revision != rev || !it->value))
			continue;
		if (n++)
			buf_str(&out, ",");
		put_item(&out, it, w.history[i].gone, rev);
	}
	if (!n && !late)
		return false;
	buf_fmt(&out, "],\"currentRev\":%lld}", (long long)w.revision);
	cds_list_del(&v->node);
	v->conn->request = NULL;
	reply(v->conn, 200, out.data);
	free(v);
	return true;
}

static void changed(struct item *it, bool gone)
{
	struct watcher *v, *next;

	if (w.nr_history < HISTORY) {
		w.history[w.nr_history].revision = w.revision;
		w.history[w.nr_history].item = (int)(it - w.items);
		w.history[w.nr_history++].gone = gone;
	}
	cds_list_for_each_entry_safe(v, next, &w.watchers, node) {
		answer_watcher(v, false);
	}
}

static void write_members(struct item *it, const char *value, bool odd,
			  int64_t lease)
{
	free(it->value);
	it->value = mem_dup(value);
	it->odd = odd;
	/* Newer than what was to be written again after a return. */
	free(it->newest);
	it->newest = NULL;
	it->was_gone = false;
	it->lease = lease;
	it->revision = ++w.revision;
	changed(it, false);
}

static void write_item(const char *key, const char *base64, int64_t lease)
{
	write_members(find_item(key, true), base64, false, lease);
}

static void delete_item(struct item *it)
{
	if (!it || !it->value)
		return;
	free(it->value);
	it->value = NULL;
	w.revision++;
	changed(it, true);
}

static char *base64(const char *text)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	const size_t len = strlen(text);
	char *out = calloc(1, len / 3 * 4 + 8), *o = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		const unsigned a = (unsigned char)text[i];
		const unsigned b = i + 1 < len ? (unsigned char)text[i + 1] : 0;
		const unsigned d = i + 2 < len ? (unsigned char)text[i + 2] : 0;

		*o++ = set[a >> 2];
		*o++ = set[(a & 3) << 4 | b >> 4];
		*o++ = i + 1 < len ? set[(b & 15) << 2 | d >> 6] : '=';
		*o++ = i + 2 < len ? set[d & 63] : '=';
	}
	return out;
}

static void write_text(const char *key, const char *text)
{
	MEM_AUTO char *b = base64(text);

	write_item(key, b, 0);
}

static void on_get(struct hsc *c, const char *url)
{
	char key[200] = "";
	BUF_AUTO out = BUF_INIT;
	struct item *it;

	hmsg_query(url, "key", key, sizeof(key));
	it = find_item(key, false);
	if (!it || !it->value) {
		buf_fmt(&out, "{\"currentRev\":%lld}", (long long)w.revision);
		reply(c, 404, out.data);
		return;
	}
	put_item(&out, it, false, 0);
	out.data[out.len - 1] = '\0';
	out.len--;
	buf_fmt(&out, ",\"currentRev\":%lld}", (long long)w.revision);
	reply(c, 200, out.data);
}

static void on_range(struct hsc *c, const char *url)
{
	char prefix[200] = "";
	BUF_AUTO out = BUF_INIT;
	int i, n = 0;

	hmsg_query(url, "prefix", prefix, sizeof(prefix));
	buf_str(&out, "{\"items\":[");
	for (i = 0; i < w.nr_items; i++) {
		if (!w.items[i].value ||
		    strncmp(w.items[i].key, prefix, strlen(prefix)))
			continue;
		if (n++)
			buf_str(&out, ",");
		put_item(&out, &w.items[i], false, 0);
	}
	buf_fmt(&out, "],\"morePages\":false,\"currentRev\":%lld}",
		(long long)w.revision);
	reply(c, 200, out.data);
}

static void on_watch(struct hsc *c, const char *url)
{
	struct watcher *v = calloc(1, sizeof(*v));
	char number[32] = "0";

	hmsg_query(url, "prefix", v->prefix, sizeof(v->prefix));
	hmsg_query(url, "after", number, sizeof(number));
	v->after = atoll(number);
	hmsg_query(url, "waitMs", number, sizeof(number));
	v->until_ms = now_ms() + atoll(number);
	v->conn = c;
	c->request = v;
	cds_list_add_tail(&v->node, &w.watchers);
	if (v->after < w.forgotten || v->after > w.revision) {
		cds_list_del(&v->node);
		c->request = NULL;
		free(v);
		reply(c, 410, "{}");
		return;
	}
	answer_watcher(v, false);
}

static struct lease *find_lease(int64_t id)
{
	int i;

	for (i = 0; i < w.nr_leases; i++) {
		if (w.leases[i].id == id)
			return &w.leases[i];
	}
	return NULL;
}

static void end_lease(struct lease *l)
{
	const int64_t id = l->id;
	int i;

	*l = w.leases[--w.nr_leases];
	for (i = 0; i < w.nr_items; i++) {
		if (w.items[i].value && w.items[i].lease == id)
			delete_item(&w.items[i]);
	}
}

static void on_lease(struct hsc *c, struct json_object *o)
{
	char text[80];
	struct lease *l = &w.leases[w.nr_leases++];

	l->id = ++w.next_lease + 1000;
	l->ttl_ms = jsn_int(o, "ttlMs", 1000);
	l->until_ms = now_ms() + l->ttl_ms;
	snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttlMs\":%lld}",
		 (long long)l->id, (long long)l->ttl_ms);
	reply(c, 200, text);
}

/* The items of the conditions as they are now, as the answer 412 has them. */
static void put_conditions(struct buf *out, struct json_object *list)
{
	const struct item *it;
	const char *key;
	int n = 0;
	size_t i;

	buf_str(out, "{\"items\":[");
	for (i = 0; i < jsn_len(list); i++) {
		key = jsn_str(json_object_array_get_idx(list, i), "key", "");
		it = find_item(key, false);
		if (!it || !it->value)
			continue;
		if (n++)
			buf_str(out, ",");
		put_item(out, it, false, 0);
	}
	buf_str(out, "]}");
}

static bool conditions_hold(struct json_object *list)
{
	size_t i;

	for (i = 0; i < jsn_len(list); i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		const struct item *it = find_item(jsn_str(o, "key", ""), false);
		const int64_t rev = it && it->value ? it->revision : 0;

		if (rev != jsn_int(o, "revision", 0))
			return false;
	}
	return true;
}

#define STATUS_PREFIX "status/rollout/"

static void follow_status(struct json_object *writes);

static void on_txn(struct hsc *c, struct json_object *o)
{
	struct json_object *writes = jsn_get(o, "writes");
	struct json_object *deletes = jsn_get(o, "deletes");
	BUF_AUTO refusal = BUF_INIT;
	char text[64];
	size_t i;

	if (!conditions_hold(jsn_get(o, "expectedRev"))) {
		put_conditions(&refusal, jsn_get(o, "expectedRev"));
		reply(c, 412, buf_cstr(&refusal));
		return;
	}
	for (i = 0; i < jsn_len(writes); i++) {
		struct json_object *x = json_object_array_get_idx(writes, i);
		const int64_t lease = jsn_int(x, "lease", 0);

		if (lease && !find_lease(lease)) {
			reply(c, 404, "{}");
			return;
		}
		write_item(jsn_str(x, "key", ""), jsn_str(x, "value", ""),
			   lease);
	}
	for (i = 0; i < jsn_len(deletes); i++)
		delete_item(find_item(
			json_object_get_string(
				json_object_array_get_idx(deletes, i)),
			false));
	snprintf(text, sizeof(text), "{\"revision\":%lld}",
		 (long long)w.revision);
	reply(c, 200, text);
	follow_status(writes);
}

/* ---- Coming back from an older copy ---- */

/* After its return: when operators and endpoints have written again. */
#define REWRITE_MS 600
#define LAPSE_AGAIN_MS 2500

static void free_items(struct item *items, int n)
{
	while (n)
		free(items[--n].value);
}

static void copy_store(void)
{
	int i;

	free_items(w.older.items, w.older.nr_items);
	memcpy(w.older.items, w.items, sizeof(w.items));
	for (i = 0; i < w.nr_items; i++) {
		if (w.items[i].value)
			w.older.items[i].value = mem_dup(w.items[i].value);
	}
	memcpy(w.older.leases, w.leases, sizeof(w.leases));
	w.older.nr_items = w.nr_items;
	w.older.nr_leases = w.nr_leases;
	w.older.revision = w.revision;
	w.older.next_lease = w.next_lease;
}

static bool is_ours(const char *key)
{
	return strncmp(key, "op/", 3) && strncmp(key, "servers/", 8);
}

/* What operators and endpoints wrote since is kept aside, to be written again. */
static void set_back(struct item *it, const struct item *old)
{
	if (is_ours(it->key)) {
		free(it->value);
		it->value = old && old->value ? mem_dup(old->value) : NULL;
		it->revision = old ? old->revision : 0;
		it->lease = old ? old->lease : 0;
		return;
	}
	/* What an earlier return left to be written again still is. */
	if (it->newest || it->was_gone) {
		free(it->value);
	} else {
		it->newest = it->value;
		it->was_gone = !it->value;
	}
	it->value = old && old->value ? mem_dup(old->value) : NULL;
	it->revision = old ? old->revision : 0;
}

/* `lease_ms`: how long the leases of the copy last; 0: as long as granted. */
static void come_back(int away_ms, int lease_ms)
{
	struct watcher *v, *next;
	int i;

	for (i = 0; i < w.nr_items; i++)
		set_back(&w.items[i],
			 i < w.older.nr_items ? &w.older.items[i] : NULL);
	memcpy(w.leases, w.older.leases, sizeof(w.leases));
	w.nr_leases = w.older.nr_leases;
	w.down_until_ms = now_ms() + away_ms;
	for (i = 0; i < w.nr_leases; i++)
		w.leases[i].until_ms =
			w.down_until_ms +
			(lease_ms ? lease_ms : w.leases[i].ttl_ms);
	w.revision = w.older.revision;
	w.next_lease = w.older.next_lease;
	w.nr_history = 0;
	w.forgotten = w.revision;
	w.era++;
	w.rewrite_ms = w.down_until_ms + REWRITE_MS;
	w.lapse_ms = w.down_until_ms + LAPSE_AGAIN_MS;
	cds_list_for_each_entry_safe(v, next, &w.watchers, node) {
		cds_list_del(&v->node);
		v->conn->request = NULL;
		hsc_disconnect(v->conn);
		free(v);
	}
}

static bool same_value(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

static void write_newest(void)
{
	int i;

	for (i = 0; i < w.nr_items; i++) {
		struct item *it = &w.items[i];
		MEM_AUTO char *newest = it->newest;

		it->newest = NULL;
		if (newest && !same_value(newest, it->value))
			write_item(it->key, newest, 0);
	}
}

static void lapse_again(void)
{
	int i;

	for (i = 0; i < w.nr_items; i++) {
		if (w.items[i].was_gone)
			delete_item(&w.items[i]);
		w.items[i].was_gone = false;
	}
}

static void return_step(int64_t now)
{
	if (w.rewrite_ms && now >= w.rewrite_ms) {
		w.rewrite_ms = 0;
		write_newest();
	}
	if (w.lapse_ms && now >= w.lapse_ms) {
		w.lapse_ms = 0;
		lapse_again();
	}
}

/* ---- Duties ---- */

static void check_fence(struct hsc *c)
{
	const char *f = hmsg_find(&c->parse.msg, "Fencing-Token");
	const int64_t fence = f ? atoll(f) : 0;

	w.wrong_fence += !fence || fence < w.last_fence;
	w.last_fence = fence;
}

/*
 * The caller's duty key has to end with the lease that the caller renews, which
 * is that of its registration.
 */
static void check_holder(struct hsc *c)
{
	const char *holder = hmsg_find(&c->parse.msg, "Duty-Holder");
	const struct item *duty = find_item("md/duty", false), *entry;
	char key[200];

	snprintf(key, sizeof(key), "md/entry/%.60s", holder ? holder : "");
	entry = find_item(key, false);
	w.not_bound += !duty || !duty->value || !entry || !entry->value ||
		       duty->lease != entry->lease;
}

static void on_usage(struct hsc *c)
{
	const char *body = buf_cstr(&c->body);
	int i;

	check_fence(c);
	check_holder(c);
	for (i = 0; i < w.nr_usage; i++) {
		const size_t n = strcspn(body, ",");

		if (!strncmp(w.usage[i], body, n) && strcmp(w.usage[i], body))
			w.usage_twice++;
	}
	if (w.nr_usage < MAX_REPORTS)
		str_copy(w.usage[w.nr_usage++], body, sizeof(w.usage[0]));
	reply(c, 200, "{}");
}

static void on_scale(struct hsc *c)
{
	check_fence(c);
	check_holder(c);
	w.nr_scale++;
	reply(c, 200, "{}");
}

/* ---- Endpoints ---- */

static void register_endpoint(struct endpoint *e)
{
	char address[32], key[64], text[300], born[48] = "";

	hsc_server_address(&e->server, address, sizeof(address));
	/* Only where it tells two starts apart: entries hash it. */
	if (e->born_ms)
		snprintf(born, sizeof(born), "\"born\":%lld,",
			 (long long)e->born_ms);
	snprintf(key, sizeof(key), "servers/%s", e->id);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
		 "\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
		 "\"coldLeftMs\":0,%s\"seqNo\":1}",
		 e->service, address, e->version,
		 e->draining ? "draining" : "ready", born);
	write_text(key, text);
}

static struct run *run_of(const char *id)
{
	int i;

	for (i = 0; i < w.nr_runs; i++) {
		if (!strcmp(w.runs[i].id, id))
			return &w.runs[i];
	}
	if (w.nr_runs == MAX_RUNS)
		return &w.runs[0];
	str_copy(w.runs[w.nr_runs].id, id, sizeof(w.runs[0].id));
	return &w.runs[w.nr_runs++];
}

static void put_head(struct endpoint *e, struct buf *out, int status,
		     const char *id, bool stream)
{
	hmsg_put_status(out, status);
	hmsg_put(out, "Attempt-Id", id);
	hmsg_put(out, "Replica-Seal", "seal");
	stm_put(&e->statements, id, out, now_ms());
	if (stream) {
		hmsg_put(out, "Content-Type", "text/event-stream");
		if (!w.unframed)
			hmsg_put(out, "Transfer-Encoding", "chunked");
		hmsg_put_end(out);
	}
}

/* Ends an answer without framing, which its connection ends. */
static void close_after_answer(struct hsc *c)
{
	hsc_done(c, true);
}

static int gap_of(const struct endpoint *e)
{
	return e->gap_ms ? e->gap_ms : w.gap_ms;
}

/* A body with this word and a number gets events that are so much larger. */
#define PAD "pad "

static int pad_of(struct hsc *c)
{
	const char *pad = strstr(buf_cstr(&c->body), PAD);
	const int n = pad ? atoi(pad + strlen(PAD)) : 0;

	return n > 0 && n <= 65536 ? n : 0;
}

/* A stream ends here; `how`: see run_log.h. */
static void free_stream(struct stream *s, const char *how)
{
	run_log_end(&w.run_log, s->id, s->at->id, how);
	cds_list_del(&s->node);
	free(s);
}

static void start_stream(struct endpoint *e, struct hsc *c, const char *id,
			 unsigned poison)
{
	const char *after = hmsg_find(&c->parse.msg, "Last-Event-Id");
	struct stream *s = calloc(1, sizeof(*s));
	BUF_AUTO out = BUF_INIT;

	put_head(e, &out, 200, id, true);
	hsc_write(c, out.data, out.len);
	str_copy(s->id, id, sizeof(s->id));
	s->conn = c;
	s->at = e;
	s->next = after ? atoi(after) + 1 : 1;
	s->last = 20;
	s->poison = poison;
	s->unframed = w.unframed;
	s->pad = pad_of(c);
	s->due_ms = now_ms() + (poison	      ? POISON_MS
				: e->first_ms ? e->first_ms
					      : gap_of(e));
	/* Nothing is left to be written, and nothing crashes. */
	if (s->next > s->last)
		s->poison = 0;
	c->request = s;
	run_log_begin(&w.run_log, id, e->id);
	cds_list_add_tail(&s->node, &w.streams);
}

static bool answers_error(const struct endpoint *e)
{
	return e->fail || (e->error_percent &&
			   rnd_below(&w.rnd, 100) < (uint32_t)e->error_percent);
}

static void answer_plain(struct endpoint *e, struct hsc *c, const char *id)
{
	const char *account = hmsg_find(&c->parse.msg, "Tenant");
	const bool error = answers_error(e);
	BUF_AUTO out = BUF_INIT;
	BUF_AUTO body = BUF_INIT;

	buf_fmt(&body, "%s ran %s for %s", e->id, id,
		account ? account : "nobody");
	buf_fmt(&body, "%*s", w.answer_pad, "");
	put_head(e, &out, error ? 500 : 200, id, false);
	if (!w.unframed)
		hmsg_put_int(&out, "Content-Length", (int64_t)body.len);
	hmsg_put_end(&out);
	if (!w.mended && strstr(buf_cstr(&c->body), TORN)) {
		buf_add(&out, body.data, body.len / 2);
		hsc_write(c, out.data, out.len);
		if (!e->end_ms)
			e->end_ms = now_ms();
		run_log_end(&w.run_log, id, e->id, RUN_BROKE);
		return;
	}
	buf_add(&out, body.data, body.len);
	hsc_write(c, out.data, out.len);
	run_log_end(&w.run_log, id, e->id, error ? RUN_REFUSED : RUN_WHOLE);
	if (w.unframed)
		close_after_answer(c);
	else
		hsc_done(c, false);
}

/* Ends a stream without its end. */
static void cut_stream(struct stream *s, const char *how)
{
	struct hsc *c = s->conn;

	c->request = NULL;
	free_stream(s, how);
	hsc_disconnect(c);
}

/* How endpoints answer a call to stop a run and to copy its memory. */
enum copy_mode {
	COPY_MADE,
	COPY_REFUSED, /* the run is stopped, and there is no room for its copy */
	COPY_SILENT,  /* the run is stopped, and no answer comes */
	COPY_UNKNOWN, /* the run is not known, and goes on */
	COPY_NO_ROOM, /* as COPY_REFUSED; without a stop it is refused, too */
	COPY_BUSY, /* a call that would stop the run is refused; it goes on */
	COPY_STOPS_EARLY,  /* against the protocol: any call stops the run */
	COPY_SILENT_FIRST, /* a call without a stop gets no answer */
	COPY_UNKNOWN_STOP, /* for a call that would stop the run it is unknown */
	COPY_LOST, /* it is made, and gone as the run is to continue from it */
};

static struct stream *find_stream(const struct endpoint *e, const char *id)
{
	struct stream *s;

	cds_list_for_each_entry(s, &w.streams, node) {
		if (s->at == e && !strcmp(s->id, id))
			return s;
	}
	return NULL;
}

static void add_late_answer(struct hsc *c, struct endpoint *at,
			    const char *text, int ms)
{
	struct late_answer *l = calloc(1, sizeof(*l));

	l->conn = c;
	l->at = at;
	l->due_ms = now_ms() + ms;
	str_copy(l->text, text, sizeof(l->text));
	cds_list_add_tail(&l->node, &w.late_answers);
}

static void answer_copy(struct hsc *c, const char *text)
{
	if (w.copy_ms)
		add_late_answer(c, NULL, text, w.copy_ms);
	else
		reply(c, 200, text);
}

static void run_plain(struct endpoint *e, struct hsc *c, const char *id)
{
	run_log_begin(&w.run_log, id, e->id);
	if (e->answer_ms)
		add_late_answer(c, e, id, e->answer_ms);
	else
		answer_plain(e, c, id);
}

static void answer_late(int64_t now)
{
	struct late_answer *l, *next;

	cds_list_for_each_entry_safe(l, next, &w.late_answers, node) {
		if (now < l->due_ms)
			continue;
		cds_list_del(&l->node);
		if (l->at)
			answer_plain(l->at, l->conn, l->text);
		else
			reply(l->conn, 200, l->text);
		free(l);
	}
}

/* The caller `c`, or the endpoint `e`, is gone. */
static void drop_late_answers(const struct hsc *c, const struct endpoint *e)
{
	struct late_answer *l, *next;

	cds_list_for_each_entry_safe(l, next, &w.late_answers, node) {
		if (l->conn != c && l->conn->server->owner != e)
			continue;
		if (l->at)
			run_log_end(&w.run_log, l->text, l->at->id,
				    e ? RUN_BROKE : RUN_LEFT);
		cds_list_del(&l->node);
		free(l);
	}
}

/* The number of the run's copy, which a second call brings up to date. */
static int copy_of(const char *id, const struct endpoint *source)
{
	int i;

	for (i = 0; i < w.nr_copies; i++) {
		if (!w.copies[i].used && !strcmp(w.copies[i].id, id))
			return i;
	}
	str_copy(w.copies[w.nr_copies].id, id, sizeof(w.copies[0].id));
	w.copies[w.nr_copies].source = source;
	return w.nr_copies++;
}

static void free_copy(struct hsc *c, int n)
{
	if (n < 0 || n >= w.nr_copies || w.copies[n].used) {
		reply(c, 404, "{}");
		return;
	}
	w.copies[n].used = true;
	w.nr_freed++;
	reply(c, 200, "{}");
}

/* A run's memory is copied; with "last" the run is stopped before. */
static void move_run(struct endpoint *e, struct hsc *c)
{
	JSN_AUTO *o = jsn_parse(buf_cstr(&c->body), c->body.len);
	const char *id = jsn_str(o, "id", "");
	const bool last = jsn_bool(o, "last", false);
	struct stream *s = find_stream(e, id);
	char text[80];
	int n;

	if (!s || w.nr_copies == MAX_COPIES || w.copy_mode == COPY_UNKNOWN ||
	    (last && w.copy_mode == COPY_UNKNOWN_STOP)) {
		reply(c, 404, "{}");
		return;
	}
	if (w.copy_mode == COPY_STOPS_EARLY) {
		w.nr_stopped++;
		cut_stream(s, RUN_MOVED);
		reply(c, 503, "{}");
		return;
	}
	if (!last && w.copy_mode == COPY_SILENT_FIRST)
		return;
	if (w.copy_mode == (last ? COPY_BUSY : COPY_NO_ROOM)) {
		reply(c, 503, "{}");
		return;
	}
	n = copy_of(id, e);
	snprintf(text, sizeof(text), "{\"handle\":\"h-%d\",\"created\":%d}", n,
		 s->next - 1);
	if (last) {
		w.copies[n].stopped = true;
		w.nr_stopped++;
		cut_stream(s, RUN_MOVED);
	}
	if (!last || w.copy_mode == COPY_MADE || w.copy_mode == COPY_LOST)
		answer_copy(c, text);
	else if (w.copy_mode != COPY_SILENT)
		reply(c, 503, text);
}

/*
 * True if the request names a copy of its own run that was not used yet. A source
 * goes on only with a run that it stopped.
 */
static bool take_copy(const struct endpoint *e, const char *from,
		      const char *id)
{
	const char *handle = strstr(from, "/h-");
	const int n = handle ? atoi(handle + 3) : w.nr_copies;

	if (n >= w.nr_copies || w.copies[n].used || strcmp(w.copies[n].id, id))
		return false;
	if (w.copies[n].source == e && !w.copies[n].stopped)
		return false;
	if (w.copies[n].source != e && w.copy_mode == COPY_LOST)
		return false;
	w.copies[n].used = true;
	return true;
}

static void refuse(struct endpoint *e, struct hsc *c, const char *id)
{
	BUF_AUTO out = BUF_INIT;

	hmsg_put_status(&out, 503);
	hmsg_put(&out, "Attempt-Id", id);
	hmsg_put(&out, "Not-Executed", "1");
	stm_put(&e->statements, id, &out, now_ms());
	hmsg_put_int(&out, "Content-Length", 0);
	hmsg_put_end(&out);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

/* Refuses a request for want of room; too many end a brittle endpoint. */
static bool refuse_if_full(struct endpoint *e, struct hsc *c, const char *id)
{
	const struct stream *s;
	int running = 0;

	cds_list_for_each_entry(s, &w.streams, node)
		running += s->at == e;
	if (e->room && running >= e->room) {
		refuse(e, c, id);
		return true;
	}
	if (e->end_ms || !stm_is_full(&e->statements, running, now_ms()))
		return false;
	w.nr_full++;
	if (stm_refused(&e->statements, now_ms())) {
		w.nr_fell++;
		e->end_ms = now_ms();
	}
	refuse(e, c, id);
	return true;
}

/* Parts of a prompt crash the endpoint, `ms` from now. */
static void crash_by(struct endpoint *e, unsigned poison, int ms)
{
	if (e->end_ms)
		return;
	e->end_ms = now_ms() + ms;
	e->reset = psn_first(&w.poison, poison)->reset;
	psn_crashed(&w.poison, poison, e->end_ms);
}

static void endpoint_request(struct hsc *c)
{
	struct endpoint *e = c->server->owner;
	const struct hmsg *m = &c->parse.msg;
	const char *id = hmsg_find(m, "Attempt-Id");
	const char *expected = hmsg_find(m, "Expect-Replica");
	const char *copy = hmsg_find(m, "Kv-From");
	unsigned poison;
	struct run *r;

	if (!strcmp(hmsg_url(m), "/v1/kv-move")) {
		move_run(e, c);
		return;
	}
	if (!strncmp(hmsg_url(m), FREE_COPY, strlen(FREE_COPY))) {
		free_copy(c, atoi(hmsg_url(m) + strlen(FREE_COPY)));
		return;
	}
	if (!id || !expected || strcmp(expected, e->id)) {
		reply(c, 421, "{}");
		return;
	}
	stm_arrived(&e->statements, id, now_ms());
	if (e->draining)
		e->seen++;
	if (stm_refuses(&e->statements)) {
		refuse(e, c, id);
		return;
	}
	if (refuse_if_full(e, c, id))
		return;
	if (copy && !take_copy(e, copy, id)) {
		refuse(e, c, id);
		return;
	}
	r = run_of(id);
	/* From its copy it is the same run. */
	r->times += !copy;
	r->once = !strncmp(hmsg_url(m), "/u/", 3) ||
		  !strncmp(hmsg_url(m), "/o/", 3);
	r->endpoint = (int)(e - w.endpoints);
	if (e->mute)
		return; /* it runs, and no answer comes */
	if (!w.mended && strstr(buf_cstr(&c->body), FATAL)) {
		if (!e->end_ms)
			e->end_ms = now_ms() + FATAL_MS;
		return;
	}
	poison = psn_sent(&w.poison, hmsg_find(m, "Prefix-Hash"), id,
			  e->version, now_ms());
	if (poison && psn_first(&w.poison, poison)->events < 0) {
		crash_by(e, poison, POISON_MS);
		return;
	}
	/* One that fails has an error in place of the rest of a stream. */
	if (strstr(e->service, "llm") &&
	    !((e->fail && hmsg_find(m, "Last-Event-Id")) ||
	      (e->error_percent && answers_error(e))))
		start_stream(e, c, id, poison);
	else
		run_plain(e, c, id);
}

static void endpoint_gone(struct hsc *c)
{
	struct stream *s = c->request;

	drop_late_answers(c, NULL);
	if (s)
		free_stream(s, RUN_LEFT);
}

static void no_fault(struct hsc *c, enum hsc_read_error f, struct buf *out)
{
	(void)c;
	(void)f;
	buf_str(out, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
}

static void limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){ 65536, 1u << 22, 5000, 5000, 60000 };
}

static const struct hsc_vtable endpoint_vtable = {
	endpoint_request, endpoint_gone, no_fault, limits, NULL, NULL
};

/* `address`: IP:PORT; `id`: NULL for one of its own. */
static struct endpoint *open_endpoint_at(const char *service,
					 const char *version,
					 const char *address, const char *id)
{
	struct endpoint *e = &w.endpoints[w.nr_endpoints++];
	struct sockaddr_in addr;

	ioc_address(address, &addr, NULL);
	hsc_server_open(&e->server, w.loop, &addr, &endpoint_vtable, e, NULL);
	snprintf(e->id, sizeof(e->id), "i-%d", w.nr_endpoints);
	if (id) {
		str_copy(e->id, id, sizeof(e->id));
		e->born_ms = now_ms();
	}
	str_copy(e->service, service, sizeof(e->service));
	str_copy(e->version, version, sizeof(e->version));
	if (!strcmp(w.brittle.service, service))
		e->statements.brittle = &w.brittle;
	register_endpoint(e);
	return e;
}

/* They have an IP of their own: cut.c tells connections to them by it. */
#define ENDPOINT_ADDRESS "127.0.0.2:0"

static struct endpoint *open_endpoint(const char *service, const char *version)
{
	return open_endpoint_at(service, version, ENDPOINT_ADDRESS, NULL);
}

/* After a crash of `e`. */
static void start_again(const struct endpoint *e)
{
	char id[sizeof(e->id)], address[32];

	str_copy(id, e->id, sizeof(id));
	str_copy(address, e->address, sizeof(address));
	open_endpoint_at(e->service, e->version,
			 w.again == AGAIN_ELSEWHERE ? ENDPOINT_ADDRESS
						    : address,
			 w.again == AGAIN_SAME_ID ? id : NULL);
}

/* Closing the connections sends resets. */
static void reset_on_close(struct endpoint *e)
{
	const struct linger none = { .l_onoff = 1 };
	struct hsc *c;

	cds_list_for_each_entry(c, &e->server.conns, node)
		setsockopt(c->io->fd, SOL_SOCKET, SO_LINGER, &none,
			   sizeof(none));
}

/* The process ends, and takes all that runs there with it. */
static void end_endpoint(struct endpoint *e)
{
	struct stream *s, *next;

	cds_list_for_each_entry_safe(s, next, &w.streams, node) {
		if (s->at != e)
			continue;
		s->conn->request = NULL;
		free_stream(s, RUN_BROKE);
	}
	drop_late_answers(NULL, e);
	e->ended = true;
	w.nr_ended++;
	hsc_server_address(&e->server, e->address, sizeof(e->address));
	if (e->reset)
		reset_on_close(e);
	hsc_server_close(&e->server);
}

/* ---- Versions ---- */

static void start_version(const char *url)
{
	char service[32] = "", version[32] = "", n[16] = "1", spoilt[16] = "0";
	int i;

	hmsg_query(url, "service", service, sizeof(service));
	hmsg_query(url, "version", version, sizeof(version));
	hmsg_query(url, "n", n, sizeof(n));
	hmsg_query(url, "spoilt", spoilt, sizeof(spoilt));
	for (i = 0; i < atoi(n) && w.nr_endpoints < MAX_ENDPOINTS; i++)
		open_endpoint(service, version)->error_percent = atoi(spoilt);
}

/* Lists live endpoints and attempts run, by service and version. */
static void list_versions(struct hsc *c)
{
	int runs[MAX_ENDPOINTS] = { 0 }, i, k, alive, sum;
	BUF_AUTO out = BUF_INIT;

	for (i = 0; i < w.nr_runs; i++)
		runs[w.runs[i].endpoint]++;
	for (i = 0; i < w.nr_endpoints; i++) {
		const struct endpoint *e = &w.endpoints[i];

		alive = sum = 0;
		for (k = 0; k < w.nr_endpoints; k++) {
			if (strcmp(w.endpoints[k].service, e->service) ||
			    strcmp(w.endpoints[k].version, e->version))
				continue;
			if (k < i)
				break; /* already listed */
			alive += !w.endpoints[k].ended;
			sum += runs[k];
		}
		if (k == w.nr_endpoints)
			buf_fmt(&out, "%s %s alive %d runs %d\n", e->service,
				e->version, alive, sum);
	}
	reply(c, 200, buf_cstr(&out));
}

/*
 * Ends a roll-out: on completion the endpoints of other versions stop with all
 * that runs there, on roll-back those of the target drain.
 */
static void rollout_ended(const char *service, const char *target,
			  bool completed)
{
	int i;

	for (i = 0; i < w.nr_endpoints; i++) {
		struct endpoint *e = &w.endpoints[i];
		const bool of_target = !strcmp(e->version, target);

		if (e->ended || strcmp(e->service, service) ||
		    of_target == completed)
			continue;
		if (completed) {
			e->end_ms = now_ms();
			e->started_again = true;
		} else {
			e->draining = true;
			register_endpoint(e);
		}
	}
}

static void status_written(const char *key, const char *base64)
{
	unsigned char text[1024] = "";
	JSN_AUTO *o = NULL;
	const char *state, *target;

	if (strlen(base64) >= sizeof(text) ||
	    EVP_DecodeBlock(text, (const unsigned char *)base64,
			    (int)strlen(base64)) < 0)
		return;
	o = jsn_parse((const char *)text, strlen((const char *)text));
	state = jsn_str(o, "state", "");
	target = jsn_str(o, "target", "");
	if (!strcmp(state, "completed") || !strcmp(state, "rolled_back"))
		rollout_ended(key + strlen(STATUS_PREFIX), target,
			      !strcmp(state, "completed"));
}

static void follow_status(struct json_object *writes)
{
	size_t i;

	for (i = 0; i < jsn_len(writes); i++) {
		struct json_object *x = json_object_array_get_idx(writes, i);
		const char *key = jsn_str(x, "key", "");

		if (!strncmp(key, STATUS_PREFIX, strlen(STATUS_PREFIX)))
			status_written(key, jsn_str(x, "value", ""));
	}
}

static void endpoint_step(struct endpoint *e, int64_t now)
{
	char key[64];

	if (!e->end_ms)
		return;
	if (!e->ended && now >= e->end_ms)
		end_endpoint(e);
	if (!e->started_again && now >= e->end_ms + w.start_again_ms &&
	    w.nr_endpoints < MAX_ENDPOINTS) {
		e->started_again = true;
		start_again(e);
		e->lapsed |= w.again == AGAIN_SAME_ID;
	}
	if (!e->lapsed && now >= e->end_ms + LAPSE_MS) {
		e->lapsed = true;
		snprintf(key, sizeof(key), "servers/%s", e->id);
		delete_item(find_item(key, false));
	}
}

static void write_piece(struct stream *s, const char *data, size_t len)
{
	BUF_AUTO out = BUF_INIT;

	if (s->unframed) {
		hsc_write(s->conn, data, len);
		return;
	}
	hmsg_put_chunk(&out, data, len);
	hsc_write(s->conn, out.data, out.len);
}

static void end_stream(struct stream *s)
{
	BUF_AUTO out = BUF_INIT;

	s->conn->request = NULL;
	if (s->unframed) {
		close_after_answer(s->conn);
	} else {
		hmsg_put_chunk(&out, "", 0);
		hsc_write(s->conn, out.data, out.len);
		hsc_done(s->conn, false);
	}
	free_stream(s, RUN_WHOLE);
}

static void stream_step(struct stream *s)
{
	const struct psn_part *part;
	BUF_AUTO event = BUF_INIT;

	if (s->at->break_streams && s->next == s->last / 2) {
		/* In the middle of an event. */
		write_piece(s, "id: 999\nda", 10);
		cut_stream(s, RUN_BROKE);
		return;
	}
	if (w.event_pad)
		buf_fmt(&event, ":%*s\n", w.event_pad, "");
	buf_fmt(&event, "id: %d\ndata: piece %d of %s%*s\n\n", s->next, s->next,
		s->at->version, s->pad, "");
	if (s->next > s->last) {
		end_stream(s);
		return;
	}
	part = psn_first(&w.poison, s->poison);
	/* One that goes on at another endpoint crashes that as soon as it begins. */
	if (part && (s->made == part->events || s->made < s->next - 1)) {
		if (part->within)
			write_piece(s, event.data, event.len / 2);
		crash_by(s->at, s->poison, 0);
		s->due_ms = INT64_MAX;
		return;
	}
	write_piece(s, event.data, event.len);
	s->made++;
	s->due_ms = now_ms() + gap_of(s->at);
	if (s->next++ == s->last)
		end_stream(s);
}

/* ---- Faults and what was seen ---- */

static struct endpoint *asked_endpoint(const char *url)
{
	char id[32] = "";
	int i;

	hmsg_query(url, "id", id, sizeof(id));
	for (i = 0; i < w.nr_endpoints; i++) {
		if (!strcmp(w.endpoints[i].id, id))
			return &w.endpoints[i];
	}
	return NULL;
}

static void seen(struct hsc *c)
{
	BUF_AUTO out = BUF_INIT;
	int i, twice = 0, once = 0, late = 0, per[MAX_ENDPOINTS] = { 0 };
	int held = 0;
	unsigned over_limit = 0, most = 0, stated_leaving = 0, in_wait = 0;
	unsigned sends = 0, crashes = 0, poison_late = 0, poison_known = 0;
	int64_t known_ms = 0;

	for (i = 0; i < w.nr_runs; i++) {
		once += w.runs[i].once;
		twice += w.runs[i].once && w.runs[i].times > 1;
		per[w.runs[i].endpoint]++;
	}
	for (i = 0; i < w.nr_copies; i++)
		held += !w.copies[i].used;
	for (i = 0; i < w.nr_endpoints; i++) {
		const struct stm *s = &w.endpoints[i].statements;

		late += (int)w.endpoints[i].seen;
		over_limit += s->over_limit;
		most = s->most > most ? s->most : most;
		stated_leaving += s->to_leaving;
		in_wait += s->in_wait;
	}
	for (i = 0; i < (int)w.poison.nr_parts; i++) {
		const struct psn_part *p = &w.poison.parts[i];

		sends += p->sends;
		crashes += p->crashes;
		poison_late = p->late > poison_late ? p->late : poison_late;
		poison_known += p->known_ms != 0;
		known_ms = p->last_ms > known_ms ? p->last_ms : known_ms;
	}
	buf_fmt(&out,
		"poison_sends %u poison_crashes %u poison_late %u "
		"poison_known %u poison_known_age %lld ",
		sends, crashes, poison_late, poison_known,
		(long long)(known_ms ? now_ms() - known_ms : -1));
	buf_fmt(&out,
		"runs %d once %d once_twice %d to_leaving %d usage %d usage_twice %d "
		"orders %d wrong_fence %d not_bound %d revision %lld config_told %d "
		"ended %d over_limit %u most_in_window %u "
		"to_stated_leaving %u in_wait %u fell %d full %d stopped %d "
		"copies_held %d copies_freed %d\n",
		w.nr_runs, once, twice, late, w.nr_usage, w.usage_twice,
		w.nr_scale, w.wrong_fence, w.not_bound, (long long)w.revision,
		w.config_told, w.nr_ended, over_limit, most, stated_leaving,
		in_wait, w.nr_fell, w.nr_full, w.nr_stopped, held, w.nr_freed);
	for (i = 0; i < w.nr_endpoints; i++)
		buf_fmt(&out, "%s %s %d\n", w.endpoints[i].id,
			w.endpoints[i].service, per[i]);
	for (i = 0; i < w.nr_usage; i++)
		buf_fmt(&out, "usage %s\n", w.usage[i]);
	reply(c, 200, out.data);
}

/*
 * A line for each attempt that ran: its id, and how often; with "?times" one for
 * each run, as run_log_put() has it.
 */
static void list_runs(struct hsc *c, const char *url)
{
	const bool times = strstr(url, "?times");
	BUF_AUTO out = BUF_INIT;
	int i;

	if (times)
		run_log_put(&w.run_log, &out);
	for (i = 0; !times && i < w.nr_runs; i++)
		buf_fmt(&out, "%s %d\n", w.runs[i].id, w.runs[i].times);
	reply(c, 200, buf_cstr(&out));
}

/* A line for each key that is there. */
static void list_keys(struct hsc *c)
{
	BUF_AUTO out = BUF_INIT;
	int i;

	for (i = 0; i < w.nr_items; i++) {
		if (w.items[i].value)
			buf_fmt(&out, "%s\n", w.items[i].key);
	}
	reply(c, 200, buf_cstr(&out));
}

/* The endpoints of a service are brittle from now on; n=-1: no more. */
static void set_brittle(const char *url)
{
	char n[16] = "-1", room[16] = "0", service[32] = "";
	int i;

	hmsg_query(url, "service", service, sizeof(service));
	hmsg_query(url, "n", n, sizeof(n));
	hmsg_query(url, "room", room, sizeof(room));
	memset(&w.brittle, 0, sizeof(w.brittle));
	if (atoi(n) >= 0)
		str_copy(w.brittle.service, service, sizeof(w.brittle.service));
	w.brittle.max_refusals = (unsigned)atoi(n);
	w.brittle.room = atoi(room);
	w.brittle.since_ms = now_ms();
	for (i = 0; i < w.nr_endpoints; i++)
		w.endpoints[i].statements.brittle =
			strcmp(w.brittle.service, w.endpoints[i].service)
				? NULL
				: &w.brittle;
}

static void excuse(int entry)
{
	int i;

	for (i = 0; i < w.nr_endpoints; i++)
		stm_excuse(&w.endpoints[i].statements, (unsigned)entry);
	psn_excuse(&w.poison, (unsigned)entry, now_ms());
}

/* False: no such call. */
static bool change_endpoint(struct endpoint *e, const char *url)
{
	char number[32] = "0", key[200] = "";

	if (!strncmp(url, "/test/unlist", 12)) {
		snprintf(key, sizeof(key), "servers/%s", e->id);
		delete_item(find_item(key, false));
	} else if (!strncmp(url, "/test/relist", 12)) {
		register_endpoint(e);
	} else if (!strncmp(url, "/test/limit", 11)) {
		hmsg_query(url, "per_s", number, sizeof(number));
		stm_set_limit(&e->statements, atof(number), now_ms());
	} else if (!strncmp(url, "/test/leaving", 13)) {
		e->statements.leaving = true;
	} else if (!strncmp(url, "/test/wait", 10)) {
		hmsg_query(url, "ms", number, sizeof(number));
		e->statements.wait_ms = atoll(number);
	} else if (!strncmp(url, "/test/drain", 11)) {
		e->draining = true;
		register_endpoint(e);
	} else if (!strncmp(url, "/test/end", 9)) {
		hmsg_query(url, "ms", number, sizeof(number));
		e->end_ms = now_ms() + atoll(number);
		e->started_again = true;
	} else if (!strncmp(url, "/test/crash", 11)) {
		e->end_ms = now_ms(); /* it starts again */
	} else if (!strncmp(url, "/test/room", 10)) {
		hmsg_query(url, "n", number, sizeof(number));
		e->room = atoi(number);
	} else if (!strncmp(url, "/test/pace", 10)) {
		hmsg_query(url, "first", number, sizeof(number));
		e->first_ms = atoi(number);
		hmsg_query(url, "gap", number, sizeof(number));
		e->gap_ms = atoi(number);
	} else if (!strncmp(url, "/test/answer", 12)) {
		hmsg_query(url, "ms", number, sizeof(number));
		e->answer_ms = atoi(number);
	} else if (!strncmp(url, "/test/silent", 12)) {
		hmsg_query(url, "ms", number, sizeof(number));
		e->silent_until_ms = now_ms() + atoll(number);
	} else if (!strncmp(url, "/test/fail", 10)) {
		e->fail = true;
	} else if (!strncmp(url, "/test/mute", 10)) {
		e->mute = true;
	} else if (!strncmp(url, "/test/heal", 10)) {
		e->fail = e->mute = e->break_streams = false;
	} else if (!strncmp(url, "/test/break", 11)) {
		e->break_streams = true;
	} else {
		return false;
	}
	return true;
}

/* The form of all answers. False: no such call. */
static bool change_answers(const char *url)
{
	char number[32] = "0";

	if (!strncmp(url, "/test/unframed", 14)) {
		hmsg_query(url, "n", number, sizeof(number));
		w.unframed = atoi(number);
	} else if (!strncmp(url, "/test/gap", 9)) {
		hmsg_query(url, "ms", number, sizeof(number));
		w.gap_ms = atoi(number);
	} else if (!strncmp(url, "/test/pad", 9)) {
		hmsg_query(url, "answer", number, sizeof(number));
		w.answer_pad = atoi(number);
		hmsg_query(url, "event", number, sizeof(number));
		w.event_pad = atoi(number);
	} else {
		return false;
	}
	return true;
}

/* How endpoints crash and come back, and copy runs. False: no such call. */
static bool change_crashes(const char *url)
{
	char number[32] = "0";

	if (!strncmp(url, "/test/poison", 12)) {
		psn_add(&w.poison, url);
	} else if (!strncmp(url, "/test/antidote", 14)) {
		psn_clear(&w.poison);
	} else if (!strncmp(url, "/test/copies", 12)) {
		hmsg_query(url, "mode", number, sizeof(number));
		w.copy_mode = atoi(number);
		str_copy(number, "0", sizeof(number));
		hmsg_query(url, "ms", number, sizeof(number));
		w.copy_ms = atoi(number);
	} else if (!strncmp(url, "/test/again", 11)) {
		hmsg_query(url, "ms", number, sizeof(number));
		w.start_again_ms = atoi(number);
		str_copy(number, "0", sizeof(number));
		hmsg_query(url, "how", number, sizeof(number));
		w.again = (enum again)atoi(number);
	} else {
		return false;
	}
	return true;
}

static void on_test(struct hsc *c, const char *url)
{
	struct endpoint *e = asked_endpoint(url);
	char number[32] = "0", lasts[32] = "0", key[200] = "";

	if (!strncmp(url, "/test/seen", 10)) {
		seen(c);
		return;
	}
	if (!strncmp(url, "/test/runs", 10)) {
		list_runs(c, url);
		return;
	}
	if (change_answers(url) || change_crashes(url)) {
		reply(c, 200, "{}");
		return;
	}
	if (!strncmp(url, "/test/put", 9)) {
		hmsg_query(url, "key", key, sizeof(key));
		write_text(key, buf_cstr(&c->body));
	} else if (!strncmp(url, "/test/odd", 9)) {
		hmsg_query(url, "key", key, sizeof(key));
		write_members(find_item(key, true), buf_cstr(&c->body), true,
			      0);
	} else if (!strncmp(url, "/test/delete", 12)) {
		hmsg_query(url, "key", key, sizeof(key));
		delete_item(find_item(key, false));
	} else if (!strncmp(url, "/test/keys", 10)) {
		list_keys(c);
		return;
	} else if (!strncmp(url, "/test/brittle", 13)) {
		set_brittle(url);
	} else if (!strncmp(url, "/test/mended", 12)) {
		w.mended = true;
	} else if (!strncmp(url, "/test/excuse", 12)) {
		hmsg_query(url, "entry", number, sizeof(number));
		excuse(atoi(number));
	} else if (!strncmp(url, "/test/down", 10)) {
		hmsg_query(url, "ms", number, sizeof(number));
		w.down_until_ms = now_ms() + atoll(number);
	} else if (!strncmp(url, "/test/link", 10)) {
		hmsg_query(url, "bytes", number, sizeof(number));
		w.link.bytes_per_s = atoi(number);
	} else if (!strncmp(url, "/test/copy", 10)) {
		copy_store();
	} else if (!strncmp(url, "/test/return", 12)) {
		hmsg_query(url, "ms", number, sizeof(number));
		hmsg_query(url, "leases", lasts, sizeof(lasts));
		come_back(atoi(number), atoi(lasts));
	} else if (!strncmp(url, "/test/add", 9)) {
		open_endpoint("app", "v1");
	} else if (!strncmp(url, "/test/start", 11)) {
		start_version(url);
	} else if (!strncmp(url, "/test/versions", 14)) {
		list_versions(c);
		return;
	} else if (!strncmp(url, "/test/version?", 14)) {
		reply(c, 200, e ? e->version : "");
		return;
	} else if (!strncmp(url, "/test/forget", 12)) {
		w.forgotten = w.revision;
	} else if (!e || !change_endpoint(e, url)) {
		reply(c, 404, "{}");
		return;
	}
	reply(c, 200, "{}");
}

/* ---- The server ---- */

static void on_call(struct hsc *c)
{
	const char *url = hmsg_url(&c->parse.msg);
	JSN_AUTO *o = NULL;
	struct lease *l;

	if (!strncmp(url, "/test/", 6)) {
		on_test(c, url);
		return;
	}
	if (now_ms() < w.down_until_ms) {
		reply(c, 503, "{}");
		return;
	}
	o = c->body.len ? jsn_parse(c->body.data, c->body.len) : NULL;
	l = find_lease(strrchr(url, '/') ? atoll(strrchr(url, '/') + 1) : 0);
	if (!strncmp(url, "/v1/kv-key", 10))
		on_get(c, url);
	else if (!strncmp(url, "/v1/kv-range", 12))
		on_range(c, url);
	else if (!strncmp(url, "/v1/kv-watch", 12))
		on_watch(c, url);
	else if (!strncmp(url, "/v1/kv-txn", 10))
		on_txn(c, o);
	else if (!strcmp(url, "/v1/kv-lease"))
		on_lease(c, o);
	else if (!strncmp(url, "/v1/kv-keep/", 12) && l) {
		l->until_ms = now_ms() + l->ttl_ms;
		reply(c, 200, "{}");
	} else if (!strncmp(url, "/v1/kv-lease-end/", 17) && l) {
		end_lease(l);
		reply(c, 200, "{}");
	} else if (!strcmp(url, "/usage"))
		on_usage(c);
	else if (!strcmp(url, "/scale"))
		on_scale(c);
	else
		reply(c, 404, "{}");
}

static void call_gone(struct hsc *c)
{
	struct watcher *v = c->request;

	slow_link_gone(&w.link, c);
	if (!v)
		return;
	cds_list_del(&v->node);
	free(v);
}

static const struct hsc_vtable vtable = { on_call, call_gone, no_fault,
					  limits,  NULL,      NULL };

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	const int64_t now = now_ms();
	struct watcher *v, *vn;
	struct stream *s, *sn;
	int i;

	(void)loop;
	(void)t;
	(void)revents;
	cds_list_for_each_entry_safe(v, vn, &w.watchers, node) {
		if (now >= v->until_ms)
			answer_watcher(v, true);
	}
	cds_list_for_each_entry_safe(s, sn, &w.streams, node) {
		if (now >= s->due_ms && now >= s->at->silent_until_ms)
			stream_step(s);
	}
	answer_late(now);
	slow_link_tick(&w.link, TICK_S);
	return_step(now);
	for (i = 0; i < w.nr_endpoints; i++)
		endpoint_step(&w.endpoints[i], now);
	for (i = 0; i < w.nr_leases; i++) {
		if (now >= w.leases[i].until_ms && now >= w.down_until_ms)
			end_lease(&w.leases[i]);
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in addr;
	char address[32];
	int i, endpoints = 2;

	w.gap_ms = 10;
	w.start_again_ms = START_AGAIN_MS;
	for (i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--endpoints"))
			endpoints = atoi(argv[i + 1]);
		else if (!strcmp(argv[i], "--gap"))
			w.gap_ms = atoi(argv[i + 1]);
		else if (!strcmp(argv[i], "--era"))
			w.era = atoi(argv[i + 1]);
	}
	signal(SIGPIPE, SIG_IGN);
	w.loop = ev_default_loop(EVFLAG_AUTO);
	CDS_INIT_LIST_HEAD(&w.watchers);
	CDS_INIT_LIST_HEAD(&w.streams);
	CDS_INIT_LIST_HEAD(&w.late_answers);
	slow_link_init(&w.link);
	ioc_address("127.0.0.1:0", &addr, NULL);
	if (hsc_server_open(&w.server, w.loop, &addr, &vtable, NULL, NULL))
		return 71;
	for (i = 0; i < endpoints && i < MAX_AT_START; i++) {
		open_endpoint("llm", "v1");
		open_endpoint("app", "v1");
	}
	hsc_server_address(&w.server, address, sizeof(address));
	printf("ready %s\n", address);
	fflush(stdout);
	ev_timer_init(&w.tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(w.loop, &w.tick);
	ev_run(w.loop, 0);
	return 0;
}
