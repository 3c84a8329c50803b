#include "edge/conf.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/jsn.h"
#include "io/ioc.h"

#define MAX_FILE 65536

/* As read; lists are turned into what conf.h holds. */

struct raw {
	struct conf c;
	char duties[CONF_MAX_DUTIES][CONF_NAME_SIZE];
	size_t nr_duties;
};

#define AT(field) offsetof(struct raw, c.field)
#define SIZE(field) sizeof(((struct conf *)0)->field)

#define TEXT(name, field)                                                 \
	{                                                                 \
		name, JSN_STR, AT(field), SIZE(field), 0, 0, NULL, false, \
			JSN_ANY, NULL, NULL, 0, 0                         \
	}
#define WHOLE(name, field, lo, hi, unit, opt)                                  \
	{                                                                      \
		name, JSN_INT, AT(field), 0, lo, hi, unit, opt, JSN_ANY, NULL, \
			NULL, 0, 0                                             \
	}
#define REAL(name, field, lo, hi, unit)                                   \
	{                                                                 \
		name, JSN_DBL, AT(field), 0, lo, hi, unit, true, JSN_ANY, \
			NULL, NULL, 0, 0                                  \
	}
#define OBJECT(name, table, opt)                                               \
	{                                                                      \
		name, JSN_OBJ, 0, 0, 0, 0, NULL, opt, JSN_ANY, NULL, table, 0, \
			0                                                      \
	}

static const struct jsn_field listen_fields[] = {
	TEXT("callers", listen.callers),
	TEXT("ready", listen.ready),
	TEXT("lookup", listen.lookup),
	JSN_END,
};

static const struct jsn_field store_fields[] = {
	TEXT("address", store.address),
	WHOLE("writes_per_s", store.writes_per_s, 1, 1e9, "calls/s", true),
	WHOLE("reads_per_s", store.reads_per_s, 1, 1e9, "calls/s", true),
	WHOLE("min_lease_ms", store.min_lease_ms, 0, 600000, "ms", true),
	JSN_END,
};

static const struct jsn_field cloud_fields[] = {
	TEXT("address", cloud.address),
	{ "duties", JSN_STRLIST, offsetof(struct raw, duties), CONF_NAME_SIZE,
	  0, CONF_MAX_DUTIES, NULL, true, JSN_ANY, NULL, NULL, CONF_NAME_SIZE,
	  offsetof(struct raw, nr_duties) },
	REAL("duty_calls_per_s", cloud.calls_per_s, 0.01, 1e9, "calls/s"),
	JSN_END,
};

static const struct jsn_field limit_fields[] = {
	WHOLE("memory_mb", limits.memory_mb, 8, 1e7, "MB", true),
	WHOLE("descriptors", limits.descriptors, 64, 1e7, "", true),
	JSN_END,
};

static const struct jsn_field bound_fields[] = {
	REAL("drain_ms", bounds.drain_ms, 0, 600000, "ms"),
	REAL("grace_s", bounds.grace_s, 0, 3600, "s"),
	REAL("apply_ms", bounds.apply_ms, 0, 600000, "ms"),
	REAL("revoke_ms", bounds.revoke_ms, 0, 600000, "ms"),
	REAL("retry_ratio", bounds.retry_ratio, 0, 10, ""),
	REAL("retry_window_s", bounds.retry_window_s, 0.1, 3600, "s"),
	REAL("retry_slack", bounds.retry_slack, 0, 1e9, "requests"),
	REAL("limit_overrun", bounds.limit_overrun, 0, 10, ""),
	REAL("limit_slack", bounds.limit_slack, 0, 1e12, "tokens"),
	REAL("lease_ms", bounds.lease_ms, 0, 600000, "ms"),
	REAL("usage_window_s", bounds.usage_window_s, 0.1, 86400, "s"),
	REAL("usage_late_s", bounds.usage_late_s, 0.1, 86400, "s"),
	REAL("exposure_share", bounds.exposure_share, 0, 1, ""),
	REAL("exposure_slack", bounds.exposure_slack, 0, 1e9, "requests"),
	{ "strict_revoke", JSN_BOOL, AT(bounds.strict_revoke), 0, 0, 0, NULL,
	  true, JSN_ANY, NULL, NULL, 0, 0 },
	JSN_END,
};

#define SWITCH(name)                                                   \
	{                                                              \
#name, JSN_BOOL, AT(policy.name), 0, 0, 0, NULL, true, \
			JSN_ANY, NULL, NULL, 0, 0                      \
	}

static const struct jsn_field policy_fields[] = {
	SWITCH(affinity),
	SWITCH(learn),
	SWITCH(told_models),
	SWITCH(mean_reports),
	SWITCH(avoid_failing),
	SWITCH(sample),
	SWITCH(urgency),
	SWITCH(moves),
	SWITCH(price_cover),
	SWITCH(loss_cover),
	SWITCH(ease),
	SWITCH(carry_plan),
	JSN_END,
};

static const struct jsn_field fields[] = {
	TEXT("name", name),
	TEXT("zone", zone),
	TEXT("region", region),
	TEXT("ip", ip),
	{ "first_start", JSN_BOOL, AT(first_start), 0, 0, 0, NULL, true,
	  JSN_ANY, NULL, NULL, 0, 0 },
	OBJECT("listen", listen_fields, false),
	WHOLE("first_internal_port", first_internal_port, 0, 65535, "", false),
	OBJECT("store", store_fields, false),
	OBJECT("cloud", cloud_fields, true),
	OBJECT("limits", limit_fields, true),
	OBJECT("bounds", bound_fields, true),
	OBJECT("policy", policy_fields, true),
	REAL("list_ttl_s", list_ttl_s, 0.1, 3600, "s"),
	JSN_END,
};

/* What holds where the file is silent: the figures of today's sites. */
static void set_defaults(struct conf *c)
{
	memset(c, 0, sizeof(*c));
	c->store.writes_per_s = 400;
	c->store.reads_per_s = 2000;
	c->store.min_lease_ms = 1000;
	c->cloud.calls_per_s = 50;
	c->limits.memory_mb = 260;
	c->limits.descriptors = 4100;
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
	c->policy.ease = true;
	c->policy.carry_plan = true;
}

static int check_address(const char *path, const char *text, const char *field,
			 const char *value, struct err *e)
{
	struct sockaddr_in addr;
	struct err why = ERR_INIT;

	if (!ioc_address(value, &addr, &why))
		return 0;
	return jsn_fault(path, text, field, e, "%s", why.text);
}

/* The platform may know duties that we do not: those are left to others. */
static void take_duties(struct raw *r)
{
	size_t i;

	for (i = 0; i < r->nr_duties; i++) {
		if (!strcmp(r->duties[i], "usage"))
			r->c.cloud.usage = true;
		else if (!strcmp(r->duties[i], "scaling"))
			r->c.cloud.scaling = true;
	}
}

static int check(const char *path, const char *text, const struct conf *c,
		 struct err *e)
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
	char room[4096];
	FILE *f = fopen(path, "r");
	size_t n;

	if (!f)
		return err_set(e, ERR_NOT_FOUND, "%s: cannot be read", path);
	while ((n = fread(room, 1, sizeof(room), f)) && out->len < MAX_FILE)
		buf_add(out, room, n);
	fclose(f);
	if (out->len >= MAX_FILE)
		return err_set(e, ERR_INVALID, "%s: over %d bytes", path,
			       MAX_FILE);
	return 0;
}

int conf_load(const char *path, struct conf *out, struct err *e)
{
	BUF_AUTO text = BUF_INIT;
	struct raw r;

	memset(&r, 0, sizeof(r));
	set_defaults(&r.c);
	if (read_file(path, &text, e))
		return -1;
	if (jsn_read(path, buf_cstr(&text), fields, &r, e))
		return -1;
	if (check(path, buf_cstr(&text), &r.c, e))
		return -1;
	take_duties(&r);
	*out = r.c;
	return 0;
}
