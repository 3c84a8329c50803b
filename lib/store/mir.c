#include "store/mir.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "base/tab.h"

struct mir_item {
	char *key;
	int64_t revision;
	uint64_t listing; /* the last one that had it */
	UT_hash_handle hh;
};

void mir_init(struct mir *m, const struct mir_vtable *vt, void *arg)
{
	memset(m, 0, sizeof(*m));
	m->vt = vt;
	m->arg = arg;
	m->state = MIR_LIST;
	m->listing = 1;
	m->pace_ms = MIR_PACE_MS;
}

static void remove_item(struct mir *m, struct mir_item *it)
{
	HASH_DEL(m->items, it);
	free(it->key);
	free(it);
}

void mir_free(struct mir *m)
{
	struct mir_item *it, *next;

	HASH_ITER(hh, m->items, it, next)
	{
		remove_item(m, it);
	}
}

enum mir_call mir_next(struct mir *m, int64_t now)
{
	if (m->call_pending || now < m->due_ms)
		return MIR_NONE;
	m->call_pending = true;
	return m->state;
}

static struct mir_item *find(const struct mir *m, const char *key)
{
	struct mir_item *it;

	HASH_FIND_STR(m->items, key, it);
	return it;
}

/* uthash's macro expands to some fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static void add(struct mir *m, const char *key, int64_t revision)
{
	struct mir_item *it = calloc(1, sizeof(*it));

	assert(it);
	it->key = mem_dup(key);
	it->revision = revision;
	it->listing = m->listing;
	HASH_ADD_KEYPTR(hh, m->items, it->key, strlen(it->key), it);
}

/* Records the revision of a key; false if this or a later one is known. */
static bool record(struct mir *m, const char *key, int64_t revision)
{
	struct mir_item *it = find(m, key);

	if (it) {
		it->listing = m->listing;
		if (revision <= it->revision)
			return false;
		it->revision = revision;
		return true;
	}
	add(m, key, revision);
	return true;
}

void mir_item(struct mir *m, const char *key, const char *value, size_t len,
	      int64_t revision)
{
	if (record(m, key, revision))
		m->vt->put(m->arg, key, value, len, revision);
}

/* Keys of earlier listings that the current one does not have are deleted. */
static void delete_unlisted(struct mir *m)
{
	struct mir_item *it, *next;

	HASH_ITER(hh, m->items, it, next)
	{
		if (it->listing == m->listing)
			continue;
		m->vt->deleted(m->arg, it->key, m->first_page_rev);
		remove_item(m, it);
	}
}

static void complete_call(struct mir *m, enum mir_call next, int64_t due)
{
	m->call_pending = false;
	m->retries = 0;
	m->state = next;
	m->due_ms = due;
}

void mir_page_end(struct mir *m, const char *last_key, bool more,
		  int64_t revision, int64_t now)
{
	if (!m->first_page_rev)
		m->first_page_rev = revision;
	if (more && last_key) {
		str_copy(m->after, last_key, sizeof(m->after));
		complete_call(m, MIR_LIST, now);
		return;
	}
	delete_unlisted(m);
	m->revision = m->first_page_rev;
	m->complete = true;
	complete_call(m, MIR_WATCH, now);
}

void mir_event(struct mir *m, const char *key, const char *value, size_t len,
	       int64_t revision)
{
	struct mir_item *it;

	if (value) {
		mir_item(m, key, value, len, revision);
		return;
	}
	it = find(m, key);
	if (!it || it->revision > revision)
		return;
	m->vt->deleted(m->arg, key, revision);
	remove_item(m, it);
}

void mir_watch_end(struct mir *m, size_t nr_changes, int64_t revision,
		   int64_t now)
{
	const bool pause = nr_changes > 0 && nr_changes < MIR_MANY_CHANGES;

	if (revision > m->revision)
		m->revision = revision;
	complete_call(m, MIR_WATCH, pause ? now + m->pace_ms : now);
}

static void restart_listing(struct mir *m, int64_t due)
{
	m->state = MIR_LIST;
	m->after[0] = '\0';
	m->first_page_rev = 0;
	m->listing++;
	m->call_pending = false;
	m->due_ms = due;
}

void mir_history_lost(struct mir *m, int64_t now)
{
	restart_listing(m, now);
}

void mir_cancel(struct mir *m, int64_t now)
{
	m->call_pending = false;
	m->due_ms = now;
}

void mir_failed(struct mir *m, int64_t now)
{
	int64_t wait = MIR_RETRY_MS;
	int i;

	for (i = 0; i < m->retries && wait < MIR_RETRY_MAX_MS; i++)
		wait *= 2;
	if (wait > MIR_RETRY_MAX_MS)
		wait = MIR_RETRY_MAX_MS;
	m->retries++;
	m->call_pending = false;
	m->due_ms = now + wait;
	/*
	 * A failed listing starts again: the watch would begin at the revision
	 * of its first page, which is old by now.
	 */
	if (m->state == MIR_LIST)
		restart_listing(m, now + wait);
}
