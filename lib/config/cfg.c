#include "config/cfg.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Longer paths are matched by their first PATH_MAX_BYTES - 1 bytes. */
#define PATH_MAX_BYTES 2048

struct cfg *cfg_create(void)
{
	struct cfg *c = calloc(1, sizeof(*c));

	assert(c);
	c->refs = 1;
	return c;
}

/* ---- Freeing ---- */

static void free_routes(struct cfg *c)
{
	size_t i, k;

	for (i = 0; i < c->nr_routes; i++) {
		for (k = 0; k < c->routes[i].nr_shares; k++)
			free(c->routes[i].shares[k].service);
		free(c->routes[i].shares);
		free(c->routes[i].name);
		free(c->routes[i].host);
		free(c->routes[i].prefix);
	}
	free(c->routes);
}

static void free_services(struct cfg *c)
{
	size_t i, k;

	for (i = 0; i < c->nr_services; i++) {
		for (k = 0; k < c->services[i].scaling.nr_prices; k++)
			free(c->services[i].scaling.prices[k].zone);
		free(c->services[i].scaling.prices);
		free(c->services[i].name);
		free(c->services[i].health_path);
	}
	free(c->services);
}

static void free_accounts(struct cfg *c)
{
	size_t i;

	for (i = 0; i < c->nr_accounts; i++)
		free(c->accounts[i].name);
	free(c->accounts);
	for (i = 0; i < c->nr_keys; i++)
		free(c->keys[i].text);
	free(c->keys);
}

struct cfg *cfg_ref(struct cfg *c)
{
	c->refs++;
	return c;
}

void cfg_put(struct cfg *c)
{
	if (!c || --c->refs)
		return;
	free_routes(c);
	free_services(c);
	free_accounts(c);
	free(c);
}

/* ---- Look-ups ---- */

static int compare_routes(const void *a, const void *b)
{
	const struct cfg_route *x = a, *y = b;
	const int d = strcmp(x->host, y->host);

	return d ? d : strcmp(x->prefix, y->prefix);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct cfg_key *)a)->text,
		      ((const struct cfg_key *)b)->text);
}

static struct cfg_service *find_service(const struct cfg *c, const char *name)
{
	size_t i;

	for (i = 0; i < c->nr_services; i++) {
		if (!strcmp(c->services[i].name, name))
			return &c->services[i];
	}
	return NULL;
}

/* The target of a service is that of its most demanding route. */
static void update_service_gaps(struct cfg *c, const struct cfg_route *r)
{
	struct cfg_service *s;
	size_t k;

	for (k = 0; r->gap_ms > 0 && k < r->nr_shares; k++) {
		s = find_service(c, r->shares[k].service);
		if (s && (!s->gap_ms || r->gap_ms < s->gap_ms))
			s->gap_ms = r->gap_ms;
	}
}

void cfg_finalize(struct cfg *c)
{
	size_t i;

	for (i = 0; i < c->nr_routes; i++)
		update_service_gaps(c, &c->routes[i]);
	if (c->nr_routes)
		qsort(c->routes, c->nr_routes, sizeof(*c->routes),
		      compare_routes);
	if (c->nr_keys)
		qsort(c->keys, c->nr_keys, sizeof(*c->keys), compare_keys);
}

const struct cfg_route *cfg_route(const struct cfg *c, const char *host,
				  const char *path)
{
	char prefix[PATH_MAX_BYTES];
	struct cfg_route want = { .host = (char *)host, .prefix = prefix };
	size_t len = strcspn(path, "?#");
	const struct cfg_route *r;

	if (!c->nr_routes)
		return NULL;
	if (len >= sizeof(prefix))
		len = sizeof(prefix) - 1;
	memcpy(prefix, path, len);
	/* Prefixes end with a slash: try each parent path, longest first. */
	while (len) {
		prefix[len] = '\0';
		if (prefix[len - 1] == '/') {
			r = bsearch(&want, c->routes, c->nr_routes,
				    sizeof(*c->routes), compare_routes);
			if (r)
				return r;
		}
		len--;
	}
	return NULL;
}

const struct cfg_account *cfg_account(const struct cfg *c, const char *key)
{
	const struct cfg_key want = { .text = (char *)key };
	const struct cfg_key *k;

	if (!c->nr_keys)
		return NULL;
	k = bsearch(&want, c->keys, c->nr_keys, sizeof(*c->keys), compare_keys);
	return k ? &c->accounts[k->account] : NULL;
}

const struct cfg_service *cfg_service(const struct cfg *c, const char *name)
{
	return find_service(c, name);
}
