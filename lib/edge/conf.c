#include "edge/conf.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/jsn.h"
#include "io/ioc.h"
#include "member/ovl.h"

#define MAX_FILE_BYTES 65536

/* The parsed file. Names of duties are converted to flags in `c`. */
struct parsed {
	struct conf c;
	char duties[CONF_MAX_DUTIES][CONF_NAME_SIZE];
	size_t nr_duties;
};

/* Rows of the field tables (jsn.h); `field` is a member of struct conf. */
#define OFFSET_OF(field) offsetof(struct parsed, c.field)
#define SIZE_OF(field) sizeof(((struct conf *)0)->field)

#define STRING(name, field)                                                  \
	{                                                                    \
		name, JSN_STR, OFFSET_OF(field), SIZE_OF(field), 0, 0, NULL, \
			false, JSN_ANY, NULL, NULL, 0, 0                     \
	}
#define INTEGER(name, field, lo, hi, unit, opt)                        \
	{                                                              \
		name, JSN_INT, OFFSET_OF(field), 0, lo, hi, unit, opt, \
			JSN_ANY, NULL, NULL, 0, 0                      \
	}
#define NUMBER(name, field, lo, hi, unit)                               \
	{                                                               \
		name, JSN_DBL, OFFSET_OF(field), 0, lo, hi, unit, true, \
			JSN_ANY, NULL, NULL, 0, 0                       \
	}
#define OBJECT(name, table, opt)                                               \
	{                                                                      \
		name, JSN_OBJ, 0, 0, 0, 0, NULL, opt, JSN_ANY, NULL, table, 0, \
			0                                                      \
	}

static const struct jsn_field listen_fields[] = {
	STRING("callers", listen.callers),
	STRING("ready", listen.ready),
	STRING("lookup", listen.lookup),
	JSN_END,
};

static const struct jsn_field store_fields[] = {
	STRING("address", store.address),
	INTEGER("writes_per_s", store.writes_per_s, 1, 1e9, "calls/s", true),
	INTEGER("reads_per_s", store.reads_per_s, 1, 1e9, "calls/s", true),
	INTEGER("min_lease_ms", store.min_lease_ms, 0, 600000, "ms", true),
	JSN_END,
};

static const struct jsn_field cloud_fields[] = {
	STRING("address", cloud.address),
	{ "duties", JSN_STRLIST, offsetof(struct parsed, duties),
	  CONF_NAME_SIZE, 0, CONF_MAX_DUTIES, NULL, true, JSN_ANY, NULL, NULL,
	  CONF_NAME_SIZE, offsetof(struct parsed, nr_duties) },
	NUMBER("duty_calls_per_s", cloud.calls_per_s, 0.01, 1e9, "calls/s"),
	JSN_END,
};

static const struct jsn_field limit_fields[] = {
	INTEGER("memory_mb", limits.memory_mb, 8, 1e7, "MB", true),
	INTEGER("descriptors", limits.descriptors, 64, 1e7, "", true),
	NUMBER("link_mbps", limits.link_mbps, 0.1, 1e6, "Mbit/s"),
	JSN_END,
};

static const struct jsn_field bound_fields[] = {
	NUMBER("drain_ms", bounds.drain_ms, 0, 600000, "ms"),
	NUMBER("grace_s", bounds.grace_s, 0, 3600, "s"),
	NUMBER("apply_ms", bounds.apply_ms, 0, 600000, "ms"),
	NUMBER("revoke_ms", bounds.revoke_ms, 0, 600000, "ms"),
	NUMBER("retry_ratio", bounds.retry_ratio, 0, 10, ""),
	NUMBER("retry_window_s", bounds.retry_window_s, 0.1, 3600, "s"),
	NUMBER("retry_slack", bounds.retry_slack, 0, 1e9, "requests"),
	NUMBER("limit_overrun", bounds.limit_overrun, 0, 10, ""),
	NUMBER("limit_slack", bounds.limit_slack, 0, 1e12, "tokens"),
	NUMBER("lease_ms", bounds.lease_ms, 0, 600000, "ms"),
	NUMBER("usage_window_s", bounds.usage_window_s, 0.1, 86400, "s"),
	NUMBER("usage_late_s", bounds.usage_late_s, 0.1, 86400, "s"),
	NUMBER("exposure_share", bounds.exposure_share, 0, 1, ""),
	NUMBER("exposure_slack", bounds.exposure_slack, 0, 1e9, "requests"),
	{ "strict_revoke", JSN_BOOL, OFFSET_OF(bounds.strict_revoke), 0, 0, 0,
	  NULL, true, JSN_ANY, NULL, NULL, 0, 0 },
	JSN_END,
};

/* A member of conf.policy, which has the name of the setting. */
#define FLAG(name)                                                            \
	{                                                                     \
#name, JSN_BOOL, OFFSET_OF(policy.name), 0, 0, 0, NULL, true, \
			JSN_ANY, NULL, NULL, 0, 0                             \
	}

static const struct jsn_field policy_fields[] = {
	FLAG(affinity),
	FLAG(learn),
	FLAG(told_models),
	FLAG(mean_reports),
	FLAG(avoid_failing),
	FLAG(sample),
	FLAG(urgency),
	FLAG(moves),
	FLAG(price_cover),
	FLAG(loss_cover),
	FLAG(two_zones),
	FLAG(ease),
	FLAG(carry_plan),
	FLAG(offered_load),
	FLAG(admission),
	FLAG(speeds),
	FLAG(slow_start),
	INTEGER("max_mesh", policy.max_mesh, 1, 1e6, "", true),
	JSN_END,
};

static const struct jsn_field fields[] = {
	STRING("name", name),
	STRING("zone", zone),
	STRING("region", region),
	STRING("ip", ip),
	{ "first_start", JSN_BOOL, OFFSET_OF(first_start), 0, 0, 0, NULL, true,
	  JSN_ANY, NULL, NULL, 0, 0 },
	OBJECT("listen", listen_fields, false),
	INTEGER("first_internal_port", first_internal_port, 0, 65535, "",
		false),
	OBJECT("store", store_fields, false),
	OBJECT("cloud", cloud_fields, true),
	OBJECT("limits", limit_fields, true),
	OBJECT("bounds", bound_fields, true),
	OBJECT("policy", policy_fields, true),
	NUMBER("list_ttl_s", list_ttl_s, 0.1, 3600, "s"),
	JSN_END,
};

/* The defaults are the values of the sites in operation today. */
static void set_defaults(struct conf *c)
{
	memset(c, 0, sizeof(*c));
	c->store.writes_per_s = 400;
	c->store.reads_per_s = 2000;
	c->store.min_lease_ms = 1000;
	c->cloud.calls_per_s = 50;
	c->limits.memory_mb = 260;
	c->limits.descriptors = 4100;
	c->limits.link_mbps = 10;
	c->bounds.drain_ms = 2000;
	c->bounds.grace_s = 8;
	c->bounds.apply_ms = 2000;
	c->bounds.revoke_ms = 5000;
	c->bounds.retry_ratio = 0.2;
	c->bounds.retry_window_s = 10;
	c->bounds.retry_slack = 50;
	c->bounds.limit_overrun = 0.1;
	c->bounds.limit_slack = 0;
	c->bounds.lease_ms = 3000;
	c->bounds.usage_window_s = 5;
	c->bounds.usage_late_s = 10;
	c->bounds.strict_revoke = true;
	c->list_ttl_s = 2;
	c->policy.affinity = true;
	c->policy.learn = true;
	c->policy.told_models = true;
	c->policy.mean_reports = true;
	c->policy.avoid_failing = true;
	c->policy.sample = true;
	c->policy.urgency = true;
	c->policy.moves = true;
	c->policy.price_cover = true;
	c->policy.loss_cover = true;
	c->policy.two_zones = true;
	c->policy.ease = true;
	c->policy.carry_plan = true;
	c->policy.offered_load = true;
	c->policy.admission = true;
	c->policy.speeds = false;
	c->policy.max_mesh = OVL_MAX_MESH;
}

static int check_address(const char *path, const char *text, const char *field,
			 const char *value, struct err *e)
{
	struct sockaddr_in addr;
	struct err why = ERR_INIT;

	if (!ioc_address(value, &addr, &why))
		return 0;
	return jsn_error_at(path, text, field, e, "%s", why.text);
}

/* Unknown duties are ignored: the platform may offer more than these. */
static void set_duties(struct parsed *r)
{
	size_t i;

	for (i = 0; i < r->nr_duties; i++) {
		if (!strcmp(r->duties[i], "usage"))
			r->c.cloud.usage = true;
		else if (!strcmp(r->duties[i], "scaling"))
			r->c.cloud.scaling = true;
	}
}

static int check_addresses(const char *path, const char *text,
			   const struct conf *c, struct err *e)
{
	if (check_address(path, text, "listen.callers", c->listen.callers, e) ||
	    check_address(path, text, "listen.ready", c->listen.ready, e) ||
	    check_address(path, text, "listen.lookup", c->listen.lookup, e) ||
	    check_address(path, text, "store.address", c->store.address, e))
		return -1;
	if (c->cloud.address[0] &&
	    check_address(path, text, "cloud.address", c->cloud.address, e))
		return -1;
	return 0;
}

static int read_file(const char *path, struct buf *out, struct err *e)
{
	char chunk[4096];
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return err_set(e, ERR_NOT_FOUND,
			       "%s: cannot open the settings file", path);
	while ((n = fread(chunk, 1, sizeof(chunk), f)) &&
	       out->len < MAX_FILE_BYTES)
		buf_add(out, chunk, n);
	fclose(f);
	if (out->len >= MAX_FILE_BYTES)
		return err_set(e, ERR_INVALID, "%s: larger than %d bytes", path,
			       MAX_FILE_BYTES);
	return 0;
}

int conf_load(const char *path, struct conf *out, struct err *e)
{
	BUF_AUTO text = BUF_INIT;
	struct parsed r;

	memset(&r, 0, sizeof(r));
	set_defaults(&r.c);
	if (read_file(path, &text, e))
		return -1;
	if (jsn_read(path, buf_cstr(&text), fields, &r, e))
		return -1;
	if (check_addresses(path, buf_cstr(&text), &r.c, e))
		return -1;
	set_duties(&r);
	*out = r.c;
	return 0;
}
