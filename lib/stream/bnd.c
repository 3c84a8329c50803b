#include "stream/bnd.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct hsh128 bnd_stream(const char *account, const char *attempt)
{
	return hsh128_combine(hsh128(account, strlen(account)),
			      hsh128(attempt, strlen(attempt)));
}

/* ---- Bindings ---- */

/* The linter counts the expansion of uthash's macros as fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static void unlink_row(struct bnd *b, struct bnd_row *r)
{
	HASH_DEL(b->rows, r);
}

/* NOLINTNEXTLINE(readability-function-size) */
static void link_row(struct bnd *b, struct bnd_row *r)
{
	HASH_ADD(hh, b->rows, stream, sizeof(r->stream), r);
}

static void drop_row(struct bnd *b, struct bnd_row *r)
{
	unlink_row(b, r);
	free(r);
}

/* Moves the row to the end, so that the rows stay in the order of their use. */
static void touch(struct bnd *b, struct bnd_row *r, int64_t now)
{
	r->used_ms = now;
	if (!r->hh.next)
		return;
	unlink_row(b, r);
	link_row(b, r);
}

struct bnd_row *bnd_find(struct bnd *b, struct hsh128 stream, int64_t now)
{
	struct bnd_row *r;

	HASH_FIND(hh, b->rows, &stream, sizeof(stream), r);
	if (r)
		touch(b, r, now);
	return r;
}

struct bnd_row *bnd_put(struct bnd *b, struct hsh128 stream,
			struct bnd_origin origin, bool own, int64_t now)
{
	struct bnd_row *r = bnd_find(b, stream, now);

	if (r) {
		r->own |= own;
		return r;
	}
	if (HASH_COUNT(b->rows) >= BND_MAX_ROWS)
		drop_row(b, b->rows);
	r = calloc(1, sizeof(*r));
	assert(r);
	r->stream = stream;
	r->origin = origin;
	r->own = own;
	r->bound_ms = r->used_ms = now;
	link_row(b, r);
	return r;
}

void bnd_expire(struct bnd *b, int64_t now)
{
	while (b->rows && now - b->rows->used_ms > BND_KEEP_MS)
		drop_row(b, b->rows);
}

/* ---- Versions ---- */

/* NOLINTNEXTLINE(readability-function-size) */
static struct bnd_service *service_of(struct bnd *b, uint64_t service)
{
	struct bnd_service *s;

	HASH_FIND(hh, b->services, &service, sizeof(service), s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	assert(s);
	s->service = service;
	HASH_ADD(hh, b->services, service, sizeof(s->service), s);
	return s;
}

static unsigned oldest_version(const struct bnd_service *s)
{
	unsigned i, oldest = 0;

	for (i = 1; i < s->nr_versions; i++) {
		if (s->versions[i].seen_ms < s->versions[oldest].seen_ms)
			oldest = i;
	}
	return oldest;
}

void bnd_listed(struct bnd *b, struct bnd_origin origin, int64_t now)
{
	struct bnd_service *s = service_of(b, origin.service);
	unsigned i;

	for (i = 0; i < s->nr_versions; i++) {
		if (s->versions[i].version == origin.version)
			break;
	}
	if (i == BND_MAX_VERSIONS)
		i = oldest_version(s);
	else if (i == s->nr_versions)
		s->nr_versions++;
	s->versions[i].version = origin.version;
	s->versions[i].seen_ms = now;
}

unsigned bnd_count_versions(const struct bnd *b, uint64_t service, int64_t now,
			    uint64_t *version)
{
	const struct bnd_service *s;
	unsigned i, n = 0;

	HASH_FIND(hh, b->services, &service, sizeof(service), s);
	for (i = 0; s && i < s->nr_versions; i++) {
		if (now - s->versions[i].seen_ms > BND_KEEP_MS)
			continue;
		*version = s->versions[i].version;
		n++;
	}
	return n;
}

/* NOLINTNEXTLINE(readability-function-size) */
void bnd_free(struct bnd *b)
{
	struct bnd_service *s, *next;

	while (b->rows)
		drop_row(b, b->rows);
	HASH_ITER(hh, b->services, s, next)
	{
		HASH_DEL(b->services, s);
		free(s);
	}
}

/* ---- Decision ---- */

enum bnd_step bnd_next(const struct bnd_state *s)
{
	if (!s->continues)
		return BND_ANY;
	if (s->known)
		return BND_BOUND;
	if (!s->mixed && s->proved)
		return BND_ONLY;
	return s->asked ? BND_REFUSE : BND_ASK;
}
