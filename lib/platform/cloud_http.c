#include "platform/cloud.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/jsn.h"
#include "net/hcl.h"

/* Time limit of one call; must exceed NOTICE_WAIT_MS. */
#define CALL_MS 3000

/* Longest time that the platform may hold a long poll for notices. */
#define NOTICE_WAIT_MS 1000

struct cloud_http {
	struct cloud cloud;
	struct hcl *h;
	char address[64];
};

static const char *const state_names[] = { "starting", "running", "leaving",
					   "gone" };

const char *cloud_state_name(enum cloud_state s)
{
	return state_names[s];
}

void cloud_read_instance(struct json_object *o, struct cloud_instance *in)
{
	const char *state = jsn_str(o, "state", "gone");
	int i;

	memset(in, 0, sizeof(*in));
	str_copy(in->id, jsn_str(o, "id", ""), CLOUD_NAME_MAX);
	str_copy(in->address, jsn_str(o, "address", ""), sizeof(in->address));
	str_copy(in->zone, jsn_str(o, "zone", ""), CLOUD_NAME_MAX);
	str_copy(in->class_name, jsn_str(o, "class", ""), CLOUD_NAME_MAX);
	str_copy(in->service, jsn_str(o, "service", ""), CLOUD_NAME_MAX);
	str_copy(in->kind, jsn_str(o, "kind", ""), sizeof(in->kind));
	str_copy(in->role, jsn_str(o, "role", ""), CLOUD_NAME_MAX);
	in->reclaimable = !strcmp(jsn_str(o, "market", ""), "reclaimable");
	in->end_in_ms = jsn_int(o, "end_in_ms", -1);
	in->state = CLOUD_GONE;
	for (i = 0; i < 4; i++) {
		if (!strcmp(state, state_names[i]))
			in->state = (enum cloud_state)i;
	}
}

void cloud_print_instance(const struct cloud_instance *in, struct buf *out)
{
	buf_str(out, "{\"id\":");
	buf_json(out, in->id);
	buf_fmt(out, ",\"address\":\"%s\",\"zone\":", in->address);
	buf_json(out, in->zone);
	buf_str(out, ",\"class\":");
	buf_json(out, in->class_name);
	buf_fmt(out, ",\"market\":\"%s\",\"state\":\"%s\",\"service\":",
		in->reclaimable ? "reclaimable" : "on-demand",
		state_names[in->state]);
	buf_json(out, in->service);
	buf_fmt(out, ",\"kind\":\"%s\",\"role\":", in->kind);
	buf_json(out, in->role);
	buf_str(out, "}");
}

/* Sends one call and parses the reply; the caller releases `*out`. */
static int call(struct cloud_http *c, const char *method, const char *path,
		const char *body, struct json_object **out, struct err *e)
{
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;

	*out = NULL;
	if (hcl_json(c->h, method, c->address, path, body, CALL_MS, &r, e))
		return -1;
	if (r.status == 409 || r.status == 503)
		return err_set(e, ERR_FULL, "%s: %s", path, buf_cstr(&r.body));
	if (r.status == 404)
		return err_set(e, ERR_NOT_FOUND, "%s: not found", path);
	if (r.status != 200)
		return err_set(e, ERR_IO, "%s: status %d", path, r.status);
	*out = jsn_parse(buf_cstr(&r.body), r.body.len);
	if (!*out)
		return err_set(e, ERR_IO, "%s: the reply is not JSON", path);
	return 0;
}

static int http_list(struct cloud *cloud, struct cloud_list *out, struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	struct json_object *rows;
	JSN_AUTO *o = NULL;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (call(c, "GET", "/v1/instances", NULL, &o, e))
		return -1;
	rows = jsn_get(o, "instances");
	out->version = jsn_int(o, "version", 0);
	out->rows = mem_new(jsn_len(rows) * sizeof(*out->rows));
	for (i = 0; i < jsn_len(rows); i++)
		cloud_read_instance(json_object_array_get_idx(rows, i),
				    &out->rows[out->nr++]);
	return 0;
}

static int http_notices(struct cloud *cloud, int64_t *seq,
			struct cloud_notice *out, size_t max, size_t *n,
			struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	struct json_object *rows;
	JSN_AUTO *o = NULL;
	char path[96];
	size_t i;

	*n = 0;
	snprintf(path, sizeof(path), "/v1/notices?after=%lld&wait_ms=%d",
		 (long long)*seq, NOTICE_WAIT_MS);
	if (call(c, "GET", path, NULL, &o, e))
		return -1;
	rows = jsn_get(o, "notices");
	for (i = 0; i < jsn_len(rows) && *n < max; i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		str_copy(out[*n].instance, jsn_str(r, "instance", ""),
			 CLOUD_NAME_MAX);
		out[(*n)++].end_in_ms = jsn_int(r, "end_in_ms", 0);
		*seq = jsn_int(r, "seq", *seq);
	}
	return 0;
}

static int http_offers(struct cloud *cloud, struct cloud_offer *out, size_t max,
		       size_t *n, struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	struct json_object *rows;
	JSN_AUTO *o = NULL;
	size_t i;

	*n = 0;
	if (call(c, "GET", "/v1/offers", NULL, &o, e))
		return -1;
	rows = jsn_get(o, "offers");
	for (i = 0; i < jsn_len(rows) && *n < max; i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);
		struct cloud_offer *f = &out[(*n)++];

		str_copy(f->zone, jsn_str(r, "zone", ""), CLOUD_NAME_MAX);
		str_copy(f->class_name, jsn_str(r, "class", ""),
			 CLOUD_NAME_MAX);
		f->reclaimable =
			!strcmp(jsn_str(r, "market", ""), "reclaimable");
		f->price_per_h = jsn_dbl(r, "price_per_h", 0);
		f->reclaims_per_h = jsn_dbl(r, "reclaims_per_h", 0);
	}
	return 0;
}

static int http_start(struct cloud *cloud, const char *token,
		      const struct cloud_instance *want, struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	BUF_AUTO b = BUF_INIT;
	JSN_AUTO *o = NULL;

	buf_fmt(&b, "{\"token\":\"%s\",\"instance\":", token);
	cloud_print_instance(want, &b);
	buf_str(&b, "}");
	return call(c, "POST", "/v1/instances", b.data, &o, e);
}

static int http_stop(struct cloud *cloud, const char *id, struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	JSN_AUTO *o = NULL;
	char path[96];

	snprintf(path, sizeof(path), "/v1/instances/%s", id);
	return call(c, "DELETE", path, NULL, &o, e);
}

static int http_weight_rate(struct cloud *cloud, double *mb_per_s,
			    struct err *e)
{
	struct cloud_http *c = (struct cloud_http *)cloud;
	JSN_AUTO *o = NULL;

	if (call(c, "GET", "/v1/weights", NULL, &o, e))
		return -1;
	*mb_per_s = jsn_dbl(o, "mb_per_s", -1);
	return 0;
}

static void http_free(struct cloud *cloud)
{
	free(cloud);
}

struct cloud *cloud_http_create(struct hcl *h, const char *address)
{
	static const struct cloud_vtable vt = {
		http_list, http_notices,     http_offers, http_start,
		http_stop, http_weight_rate, http_free,
	};
	struct cloud_http *c = mem_new(sizeof(*c));

	c->cloud.vt = &vt;
	c->h = h;
	str_copy(c->address, address, sizeof(c->address));
	return &c->cloud;
}
