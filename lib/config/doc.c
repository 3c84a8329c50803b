#include "config/doc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "base/jsn.h"

/* ---- Fields ---- */

#define STR(t, m, pat)                                            \
	.name = #m, .type = JSN_STR, .at = offsetof(struct t, m), \
	.size = sizeof(((struct t *)0)->m), .pattern = pat
#define INT(t, m, lo, hi, u)                                                 \
	.name = #m, .type = JSN_INT, .at = offsetof(struct t, m), .min = lo, \
	.max = hi, .unit = u
#define DBL(t, m, lo, hi, u)                                                 \
	.name = #m, .type = JSN_DBL, .at = offsetof(struct t, m), .min = lo, \
	.max = hi, .unit = u
#define BOOL(t, m) .name = #m, .type = JSN_BOOL, .at = offsetof(struct t, m)
#define LIST(t, m, lo, hi, f, elem)                                           \
	.name = #m, .type = JSN_LIST, .at = offsetof(struct t, m), .min = lo, \
	.max = hi, .fields = f, .stride = sizeof(struct elem),                \
	.count_at = offsetof(struct t, nr_##m)
#define STRLIST(t, m, lo, hi)                                               \
	.name = #m, .type = JSN_STRLIST, .at = offsetof(struct t, m),       \
	.size = DOC_NAME_MAX, .stride = DOC_NAME_MAX, .min = lo, .max = hi, \
	.pattern = JSN_NAME, .count_at = offsetof(struct t, nr_##m)

static const char *const urgencies[] = { "interactive", "batch", NULL };

static const struct jsn_field model_fields[] = {
	{ STR(doc_model, name, JSN_NAME) },
	{ STR(doc_model, version, JSN_NAME) },
	{ STRLIST(doc_model, adapters, 0, DOC_MAX_ADAPTERS), .optional = true },
	{ INT(doc_model, min_replicas, 1, 4096, "replicas") },
	{ INT(doc_model, max_replicas, 1, 4096, "replicas") },
	{ DBL(doc_model, demand_tokens_per_s, 0, 1e8, "tokens per second") },
	{ INT(doc_model, weights_mb, 1, 4000000, "megabytes") },
	JSN_END,
};

static const struct jsn_field class_fields[] = {
	{ STR(doc_class, name, JSN_NAME) },
	{ DBL(doc_class, tokens_per_s, 1, 1e7, "tokens per second") },
	{ DBL(doc_class, prefill_tokens_per_s, 1, 1e8, "tokens per second") },
	{ INT(doc_class, slots, 1, 4096, "sequences") },
	{ DBL(doc_class, kv_mb_per_s, 0, 1e6, "megabytes per second"),
	  .optional = true },
	{ DBL(doc_class, kv_mb_per_token, 0.0001, 100, "megabytes"),
	  .optional = true },
	{ BOOL(doc_class, checks_fence), .optional = true },
	JSN_END,
};

static const struct jsn_field route_fields[] = {
	{ STR(doc_route, method, JSN_ANY) },
	{ STR(doc_route, path, JSN_ANY) },
	{ BOOL(doc_route, repeatable) },
	JSN_END,
};

static const struct jsn_field plain_fields[] = {
	{ STR(doc_plain, name, JSN_NAME) },
	{ LIST(doc_plain, routes, 0, DOC_MAX_ROUTES, route_fields, doc_route) },
	{ INT(doc_plain, timeout_ms, 1, 3600000, "milliseconds") },
	JSN_END,
};

static const struct jsn_field account_fields[] = {
	{ STR(doc_account, name, JSN_NAME) },
	{ STR(doc_account, key_sha256, JSN_HEX) },
	{ .name = "urgency",
	  .type = JSN_ENUM,
	  .at = offsetof(struct doc_account, urgency),
	  .names = urgencies },
	{ DBL(doc_account, weight, 0.01, 1000, "shares"), .optional = true },
	{ DBL(doc_account, tokens_per_s, 1, 1e8, "tokens per second") },
	{ INT(doc_account, in_flight, 1, 100000, "requests") },
	JSN_END,
};

static const struct jsn_field doc_fields[] = {
	{ STR(doc, service, JSN_NAME) },
	{ STRLIST(doc, zones, 1, DOC_MAX_ZONES) },
	{ LIST(doc, models, 0, DOC_MAX_MODELS, model_fields, doc_model) },
	{ LIST(doc, classes, 1, DOC_MAX_CLASSES, class_fields, doc_class) },
	{ LIST(doc, plain, 0, DOC_MAX_PLAIN, plain_fields, doc_plain),
	  .optional = true },
	{ LIST(doc, accounts, 1, DOC_MAX_ACCOUNTS, account_fields,
	       doc_account) },
	{ INT(doc, first_token_ms, 1, 600000, "milliseconds") },
	{ INT(doc, between_tokens_ms, 1, 60000, "milliseconds") },
	{ INT(doc, deadline_ms, 100, 86400000, "milliseconds"),
	  .optional = true },
	{ DBL(doc, cost_weight, 0, 1, "") },
	{ DBL(doc, recompute_weight, 0, 1, "") },
	{ BOOL(doc, survive_zone_loss), .optional = true },
	{ BOOL(doc, allow_reclaimable), .optional = true },
	JSN_END,
};

/* ---- Validation ---- */

/*
 * Reports the second of two equal names in a list of `n` elements of `stride`
 * bytes, each of which begins with its name.
 */
static int check_unique(const char *what, const char *text, const char *list,
			const void *base, size_t n, size_t stride,
			const char *field, struct err *e)
{
	char path[64];
	size_t i, j;

	for (i = 1; i < n; i++) {
		const char *a = (const char *)base + i * stride;

		for (j = 0; j < i; j++) {
			const char *b = (const char *)base + j * stride;

			if (strcmp(a, b))
				continue;
			snprintf(path, sizeof(path), "%s[%zu]%s", list, i,
				 field);
			return jsn_error_at(what, text, path, e,
					    "\"%s\" stands here twice", a);
		}
	}
	return 0;
}

static int check_models(const char *what, const char *text, const struct doc *d,
			struct err *e)
{
	char path[64];
	size_t i;

	for (i = 0; i < d->nr_models; i++) {
		const struct doc_model *m = &d->models[i];

		if (m->min_replicas <= m->max_replicas)
			continue;
		snprintf(path, sizeof(path), "models[%zu].min_replicas", i);
		return jsn_error_at(what, text, path, e,
				    "more than max_replicas (%lld)",
				    (long long)m->max_replicas);
	}
	return 0;
}

static int check_accounts(const char *what, const char *text,
			  const struct doc *d, struct err *e)
{
	char path[64];
	size_t i;

	for (i = 0; i < d->nr_accounts; i++) {
		if (strlen(d->accounts[i].key_sha256) == 64)
			continue;
		snprintf(path, sizeof(path), "accounts[%zu].key_sha256", i);
		return jsn_error_at(
			what, text, path, e,
			"64 hex digits are expected (the SHA-256 of "
			"the key, never the key itself)");
	}
	return 0;
}

static int check_routes(const char *what, const char *text, const struct doc *d,
			struct err *e)
{
	static const char *const methods = " GET POST PUT PATCH DELETE ";
	char path[64], word[12];
	size_t i, j;

	for (i = 0; i < d->nr_plain; i++) {
		for (j = 0; j < d->plain[i].nr_routes; j++) {
			const struct doc_route *r = &d->plain[i].routes[j];
			const char *field = NULL;

			snprintf(word, sizeof(word), " %s ", r->method);
			if (!strstr(methods, word))
				field = "method";
			else if (r->path[0] != '/')
				field = "path";
			if (!field)
				continue;
			snprintf(path, sizeof(path),
				 "plain[%zu].routes[%zu].%s", i, j, field);
			return jsn_error_at(
				what, text, path, e, "%s is expected",
				*field == 'm' ? "GET, POST, PUT, PATCH or "
						"DELETE"
					      : "a path that begins with /");
		}
	}
	return 0;
}

static int check_document(const char *what, const char *text,
			  const struct doc *d, struct err *e)
{
	if (check_unique(what, text, "zones", d->zones, d->nr_zones,
			 DOC_NAME_MAX, "", e) ||
	    check_unique(what, text, "models", d->models, d->nr_models,
			 sizeof(d->models[0]), ".name", e) ||
	    check_unique(what, text, "classes", d->classes, d->nr_classes,
			 sizeof(d->classes[0]), ".name", e) ||
	    check_unique(what, text, "plain", d->plain, d->nr_plain,
			 sizeof(d->plain[0]), ".name", e) ||
	    check_unique(what, text, "accounts", d->accounts, d->nr_accounts,
			 sizeof(d->accounts[0]), ".name", e))
		return -1;
	if (check_models(what, text, d, e) ||
	    check_accounts(what, text, d, e) || check_routes(what, text, d, e))
		return -1;
	if (!d->nr_models && !d->nr_plain)
		return jsn_error_at(
			what, text, "models", e,
			"no model and no plain service: the document "
			"would serve nothing");
	if (d->cost_weight + d->recompute_weight <= 0)
		return jsn_error_at(
			what, text, "cost_weight", e,
			"cost_weight and recompute_weight are both 0");
	if (d->survive_zone_loss && d->nr_zones < 2)
		return jsn_error_at(what, text, "survive_zone_loss", e,
				    "needs at least two zones");
	return 0;
}

/* ---- Parsing ---- */

/*
 * 10 minutes. The maximum of deadline_ms, one day, would be of no use as a
 * default for a response.
 */
#define DEFAULT_DEADLINE_MS 600000

/* About the size for a 7 B model with grouped-query attention. */
#define DEFAULT_KV_MB_PER_TOKEN 0.125

struct doc *doc_parse(const char *what, const char *text, struct err *e)
{
	struct doc *d;
	size_t i;

	if (strlen(text) > DOC_MAX_TEXT) {
		err_set(e, ERR_INVALID, "%s: larger than %d bytes", what,
			DOC_MAX_TEXT);
		return NULL;
	}
	d = mem_new(sizeof(*d));
	d->deadline_ms = DEFAULT_DEADLINE_MS;
	d->allow_reclaimable = true;
	for (i = 0; i < DOC_MAX_ACCOUNTS; i++)
		d->accounts[i].weight = 1.0;
	for (i = 0; i < DOC_MAX_CLASSES; i++)
		d->classes[i].kv_mb_per_token = DEFAULT_KV_MB_PER_TOKEN;
	if (jsn_read(what, text, doc_fields, d, e) ||
	    check_document(what, text, d, e)) {
		doc_free(d);
		return NULL;
	}
	return d;
}

void doc_free(struct doc *d)
{
	free(d);
}

/* ---- Look-ups ---- */

#define FIND(list, want)                                    \
	do {                                                \
		size_t i;                                   \
		for (i = 0; i < d->nr_##list; i++) {        \
			if (!strcmp(d->list[i].name, want)) \
				return &d->list[i];         \
		}                                           \
		return NULL;                                \
	} while (0)

const struct doc_model *doc_find_model(const struct doc *d, const char *name)
{
	FIND(models, name);
}

const struct doc_class *doc_find_class(const struct doc *d, const char *name)
{
	FIND(classes, name);
}

const struct doc_plain *doc_find_plain(const struct doc *d, const char *name)
{
	FIND(plain, name);
}

const struct doc_account *doc_find_account(const struct doc *d,
					   const char *name)
{
	FIND(accounts, name);
}

const struct doc_account *doc_authenticate(const struct doc *d,
					   const char *bearer)
{
	const struct doc_account *found = NULL;
	char hex[65];
	size_t i;

	hsh_sha256_hex(bearer, hex);
	for (i = 0; i < d->nr_accounts; i++) {
		if (hsh_equal_secret(hex, d->accounts[i].key_sha256))
			found = &d->accounts[i];
	}
	return found;
}

bool doc_repeatable(const struct doc_plain *p, const char *method,
		    const char *path)
{
	size_t i;

	for (i = 0; i < p->nr_routes; i++) {
		const struct doc_route *r = &p->routes[i];

		if (!strcmp(r->method, method) && !strcmp(r->path, path))
			return r->repeatable;
	}
	return false;
}

bool doc_has_adapter(const struct doc_model *m, const char *adapter)
{
	size_t i;

	if (!*adapter)
		return true;
	for (i = 0; i < m->nr_adapters; i++) {
		if (!strcmp(m->adapters[i], adapter))
			return true;
	}
	return false;
}
