#include "platform/kv.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/jsn.h"
#include "net/hcl.h"

/*
 * Time limit of a call other than a watch. The service normally replies within
 * milliseconds, so a call that takes longer means an outage.
 */
#define CALL_MS 2000

/* Unit of the time limit of one watch call, which is 8 of these. */
#define WATCH_SLICE_MS 1000

struct kv_etcd {
	struct kv kv;
	struct hcl *h;
	char address[64];
};

void kv_pairs_free(struct kv_pairs *p)
{
	size_t i;

	for (i = 0; i < p->nr; i++)
		free(p->rows[i].value);
	free(p->rows);
	p->rows = NULL;
	p->nr = 0;
}

/* ---- base64 ---- */

static void add_base64(struct buf *b, const char *data, size_t len)
{
	MEM_AUTO unsigned char *out = mem_new(4 * (len / 3 + 1) + 1);
	const int n =
		EVP_EncodeBlock(out, (const unsigned char *)data, (int)len);

	buf_str(b, "\"");
	buf_add(b, out, (size_t)n);
	buf_str(b, "\"");
}

/* Returns the decoded bytes, "" if `s` is invalid. The caller frees them. */
static char *from_base64(const char *s, size_t *len)
{
	const size_t n = strlen(s);
	unsigned char *out = mem_new(n + 4);
	const int got = EVP_DecodeBlock(out, (const unsigned char *)s, (int)n);

	*len = got < 0 ? 0 : (size_t)got;
	/* EVP_DecodeBlock() counts each padding character as a zero byte. */
	if (got > 0 && n && s[n - 1] == '=')
		(*len)--;
	if (got > 0 && n > 1 && s[n - 2] == '=')
		(*len)--;
	out[*len] = '\0';
	return (char *)out;
}

/* ---- Requests ---- */

static void add_key(struct buf *b, const char *name, const char *key)
{
	buf_fmt(b, "\"%s\":", name);
	add_base64(b, key, strlen(key));
}

/* The range of a prefix ends at the prefix with its last byte incremented. */
static void add_range(struct buf *b, const char *key, bool prefix)
{
	char end[KV_KEY_MAX];

	add_key(b, "key", key);
	if (!prefix)
		return;
	str_copy(end, key, sizeof(end));
	end[strlen(end) - 1]++;
	buf_str(b, ",");
	add_key(b, "range_end", end);
}

/* Sends one call and parses the reply; the caller releases `*out`. */
static int call(struct kv_etcd *k, const char *path, const char *body,
		struct json_object **out, struct err *e)
{
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;

	*out = NULL;
	if (hcl_json(k->h, "POST", k->address, path, body, CALL_MS, &r, e))
		return -1;
	if (r.status == 404)
		return err_set(e, ERR_NOT_FOUND, "%s: %s", path,
			       buf_cstr(&r.body));
	if (r.status != 200)
		return err_set(e, ERR_IO, "%s: status %d", path, r.status);
	*out = jsn_parse(buf_cstr(&r.body), r.body.len);
	if (!*out)
		return err_set(e, ERR_IO, "%s: the reply is not JSON", path);
	return 0;
}

static void read_pair(struct json_object *o, struct kv_pair *p)
{
	MEM_AUTO char *key = NULL;
	size_t n;

	memset(p, 0, sizeof(*p));
	key = from_base64(jsn_str(o, "key", ""), &n);
	str_copy(p->key, key, sizeof(p->key));
	p->value = from_base64(jsn_str(o, "value", ""), &p->len);
	p->mod_rev = jsn_int(o, "mod_revision", 0);
	p->create_rev = jsn_int(o, "create_revision", 0);
	p->lease = jsn_int(o, "lease", 0);
}

static int etcd_range(struct kv *kv, const char *key, bool prefix,
		      struct kv_pairs *out, struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	BUF_AUTO b = BUF_INIT;
	JSN_AUTO *o = NULL;
	struct json_object *rows;
	size_t i;

	memset(out, 0, sizeof(*out));
	buf_str(&b, "{");
	add_range(&b, key, prefix);
	buf_str(&b, "}");
	if (call(k, "/v3/kv/range", b.data, &o, e))
		return -1;
	out->revision = jsn_int(jsn_get(o, "header"), "revision", 0);
	rows = jsn_get(o, "kvs");
	out->rows = mem_new(jsn_len(rows) * sizeof(*out->rows));
	for (i = 0; i < jsn_len(rows); i++)
		read_pair(json_object_array_get_idx(rows, i),
			  &out->rows[out->nr++]);
	return 0;
}

static void add_put(struct buf *b, const struct kv_put *p)
{
	if (!p->value) {
		buf_str(b, "{\"request_delete_range\":{");
		add_key(b, "key", p->key);
		buf_str(b, "}}");
		return;
	}
	buf_str(b, "{\"request_put\":{");
	add_key(b, "key", p->key);
	buf_str(b, ",\"value\":");
	add_base64(b, p->value, strlen(p->value));
	if (p->lease)
		buf_fmt(b, ",\"lease\":\"%lld\"", (long long)p->lease);
	buf_str(b, "}}");
}

static int etcd_txn(struct kv *kv, const struct kv_compare *cmp, size_t nr_cmp,
		    const struct kv_put *puts, size_t nr_puts, bool *succeeded,
		    int64_t *revision, struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	BUF_AUTO b = BUF_INIT;
	JSN_AUTO *o = NULL;
	size_t i;

	buf_str(&b, "{\"compare\":[");
	for (i = 0; i < nr_cmp; i++) {
		buf_str(&b, i ? ",{" : "{");
		add_key(&b, "key", cmp[i].key);
		buf_fmt(&b,
			",\"target\":\"MOD\",\"result\":\"EQUAL\","
			"\"mod_revision\":\"%lld\"}",
			(long long)cmp[i].mod_rev);
	}
	buf_str(&b, "],\"success\":[");
	for (i = 0; i < nr_puts; i++) {
		if (i)
			buf_str(&b, ",");
		add_put(&b, &puts[i]);
	}
	buf_str(&b, "]}");
	if (call(k, "/v3/kv/txn", b.data, &o, e))
		return -1;
	*succeeded = jsn_bool(o, "succeeded", false);
	if (revision)
		*revision = jsn_int(jsn_get(o, "header"), "revision", 0);
	return 0;
}

static int etcd_lease_grant(struct kv *kv, int64_t ttl_s, int64_t *id,
			    struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	JSN_AUTO *o = NULL;
	char body[64];

	snprintf(body, sizeof(body), "{\"TTL\":\"%lld\"}", (long long)ttl_s);
	if (call(k, "/v3/lease/grant", body, &o, e))
		return -1;
	*id = jsn_int(o, "ID", 0);
	return *id ? 0 : err_set(e, ERR_IO, "lease: no id in the reply");
}

static int etcd_lease_keep(struct kv *kv, int64_t id, struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	JSN_AUTO *o = NULL;
	struct json_object *r;
	char body[64];

	snprintf(body, sizeof(body), "{\"ID\":\"%lld\"}", (long long)id);
	if (call(k, "/v3/lease/keepalive", body, &o, e))
		return -1;
	r = jsn_get(o, "result");
	/* For an expired or revoked lease, TTL is 0 or missing. */
	if (jsn_int(r ? r : o, "TTL", 0) <= 0)
		return err_set(e, ERR_NOT_FOUND,
			       "lease %lld has expired or was revoked",
			       (long long)id);
	return 0;
}

static int etcd_lease_revoke(struct kv *kv, int64_t id, struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	JSN_AUTO *o = NULL;
	char body[64];

	snprintf(body, sizeof(body), "{\"ID\":\"%lld\"}", (long long)id);
	return call(k, "/v3/lease/revoke", body, &o, e);
}

/* ---- Watch ---- */

/* A line of a watch longer than this ends it; it is then started again. */
#define MAX_WATCH_LINE (16u << 20)

struct watch_ctx {
	bool (*fn)(const struct kv_event *ev, void *arg);
	void *arg;
	struct buf line;
	bool stopped;
};

static bool deliver_event(struct watch_ctx *w, struct json_object *o)
{
	struct kv_event ev;
	bool keep_watching;

	ev.deleted = !strcmp(jsn_str(o, "type", "PUT"), "DELETE");
	read_pair(jsn_get(o, "kv"), &ev.pair);
	keep_watching = w->fn(&ev, w->arg);
	free(ev.pair.value);
	return keep_watching;
}

/* The gateway sends one JSON object per line. */
static bool deliver_line(struct watch_ctx *w)
{
	JSN_AUTO *o = jsn_parse(buf_cstr(&w->line), w->line.len);
	struct json_object *events = jsn_get(jsn_get(o, "result"), "events");
	size_t i;

	buf_reset(&w->line);
	for (i = 0; i < jsn_len(events); i++) {
		if (!deliver_event(w, json_object_array_get_idx(events, i)))
			return false;
	}
	return w->fn(NULL, w->arg);
}

static bool on_watch_data(const char *data, size_t len, void *arg)
{
	struct watch_ctx *w = arg;
	size_t i;

	for (i = 0; i < len; i++) {
		if (data[i] != '\n') {
			if (w->line.len == MAX_WATCH_LINE)
				return false;
			buf_add(&w->line, data + i, 1);
			continue;
		}
		if (w->line.len && !deliver_line(w)) {
			w->stopped = true;
			return false;
		}
	}
	return true;
}

static int etcd_watch(struct kv *kv, const char *prefix, int64_t from,
		      bool (*fn)(const struct kv_event *ev, void *arg),
		      void *arg, struct err *e)
{
	struct kv_etcd *k = (struct kv_etcd *)kv;
	struct watch_ctx w = { .fn = fn, .arg = arg };
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	BUF_AUTO b = BUF_INIT;
	struct hcl_request rq = {
		.method = "POST",
		.address = k->address,
		.path = "/v3/watch",
		.headers = { "Content-Type: application/json" },
		.on_data = on_watch_data,
		.arg = &w,
	};
	int ret;

	buf_str(&b, "{\"create_request\":{");
	add_range(&b, prefix, true);
	buf_fmt(&b, ",\"start_revision\":\"%lld\",\"progress_notify\":true}}",
		(long long)from);
	rq.body = b.data;
	rq.body_len = b.len;
	/*
	 * If the service hangs, its watch looks like an idle one. The call
	 * therefore ends after this time, with success, and the caller starts
	 * it again from the last revision seen.
	 */
	rq.total_ms = 8 * WATCH_SLICE_MS;
	ret = hcl_call(k->h, &rq, &r, e);
	buf_free(&w.line);
	if (w.stopped || (ret && e->code == ERR_TIMEOUT)) {
		e->code = ERR_NONE;
		return 0;
	}
	return ret;
}

static void etcd_free(struct kv *kv)
{
	free(kv);
}

struct kv *kv_etcd_create(struct hcl *h, const char *address)
{
	static const struct kv_vtable vt = {
		etcd_range,	 etcd_txn,	    etcd_lease_grant,
		etcd_lease_keep, etcd_lease_revoke, etcd_watch,
		etcd_free,
	};
	struct kv_etcd *k = mem_new(sizeof(*k));

	k->kv.vt = &vt;
	k->h = h;
	str_copy(k->address, address, sizeof(k->address));
	return &k->kv;
}
