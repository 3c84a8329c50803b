#include "config/spread.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/hsh.h"

/* Power of two; about one item per bucket at the target size of a fleet. */
#define NR_BUCKETS 1024

struct entry {
	struct cds_list_head node;
	uint64_t hash;
	struct spread_item it;
};

struct spread {
	struct cds_list_head buckets[NR_BUCKETS];
	size_t count;
	uint64_t digest;
};

struct spread *spread_create(void)
{
	struct spread *s = mem_new(sizeof(*s));
	size_t i;

	for (i = 0; i < NR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&s->buckets[i]);
	return s;
}

static uint64_t item_digest(const struct spread_item *it)
{
	return hsh_rendezvous(hsh_str(it->name, it->rev), it->body_hash);
}

static void remove_entry(struct spread *s, struct entry *x)
{
	/* The digest is a sum over the items, independent of their order. */
	s->digest -= item_digest(&x->it);
	s->count--;
	cds_list_del(&x->node);
	free(x->it.body);
	free(x);
}

void spread_free(struct spread *s)
{
	struct entry *x, *tmp;
	size_t i;

	if (!s)
		return;
	for (i = 0; i < NR_BUCKETS; i++) {
		cds_list_for_each_entry_safe(x, tmp, &s->buckets[i], node)
			remove_entry(s, x);
	}
	free(s);
}

static struct entry *find(const struct spread *s, const char *name)
{
	const uint64_t hash = hsh_str(name, 0);
	struct entry *x;

	cds_list_for_each_entry(x, &s->buckets[hash % NR_BUCKETS], node) {
		if (x->hash == hash && !strcmp(x->it.name, name))
			return x;
	}
	return NULL;
}

static void set_body(struct spread *s, struct entry *x, uint64_t rev,
		     const void *body, size_t len, uint64_t body_hash,
		     int64_t expires_ms)
{
	free(x->it.body);
	x->it.body = mem_new(len + 1);
	if (len)
		memcpy(x->it.body, body, len);
	x->it.len = len;
	x->it.rev = rev;
	x->it.body_hash = body_hash;
	x->it.expires_ms = expires_ms;
	s->digest += item_digest(&x->it);
}

enum spread_verdict spread_put(struct spread *s, const char *name, uint64_t rev,
			       const void *body, size_t len, int64_t expires_ms)
{
	const uint64_t body_hash = hsh_bytes(body, len, 3);
	struct entry *x;

	if (!*name || strlen(name) >= SPREAD_NAME_MAX || !rev ||
	    len > SPREAD_MAX_BODY)
		return SPREAD_INVALID;
	x = find(s, name);
	if (x && rev < x->it.rev)
		return SPREAD_OLD;
	if (x && rev == x->it.rev)
		return body_hash == x->it.body_hash ? SPREAD_SAME
						    : SPREAD_CONFLICT;
	if (x) {
		s->digest -= item_digest(&x->it);
		set_body(s, x, rev, body, len, body_hash, expires_ms);
		return SPREAD_NEW;
	}
	if (s->count >= SPREAD_MAX_ITEMS)
		return SPREAD_INVALID;
	x = mem_new(sizeof(*x));
	x->hash = hsh_str(name, 0);
	str_copy(x->it.name, name, sizeof(x->it.name));
	cds_list_add(&x->node, &s->buckets[x->hash % NR_BUCKETS]);
	s->count++;
	set_body(s, x, rev, body, len, body_hash, expires_ms);
	return SPREAD_NEW;
}

const struct spread_item *spread_get(const struct spread *s, const char *name)
{
	const struct entry *x = find(s, name);

	return x ? &x->it : NULL;
}

uint64_t spread_rev(const struct spread *s, const char *name)
{
	const struct entry *x = find(s, name);

	return x ? x->it.rev : 0;
}

uint64_t spread_digest(const struct spread *s)
{
	return s->digest;
}

void spread_each(const struct spread *s,
		 void (*fn)(const struct spread_item *it, void *arg), void *arg)
{
	struct entry *x;
	size_t i;

	for (i = 0; i < NR_BUCKETS; i++) {
		cds_list_for_each_entry(x, &s->buckets[i], node)
			fn(&x->it, arg);
	}
}

void spread_expire_at(struct spread *s, const char *name, int64_t expires_ms)
{
	struct entry *x = find(s, name);

	if (x && !x->it.expires_ms)
		x->it.expires_ms = expires_ms;
}

size_t spread_count(const struct spread *s)
{
	return s->count;
}

size_t spread_expire(struct spread *s, int64_t now_ms)
{
	struct entry *x, *tmp;
	size_t n = 0, i;

	for (i = 0; i < NR_BUCKETS; i++) {
		cds_list_for_each_entry_safe(x, tmp, &s->buckets[i], node) {
			if (!x->it.expires_ms || x->it.expires_ms > now_ms)
				continue;
			remove_entry(s, x);
			n++;
		}
	}
	return n;
}
