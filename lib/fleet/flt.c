#include "fleet/flt.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/fade.h"
#include "base/hsh.h"

/*
 * Outcomes fade with this time constant: faults of endpoints last seconds,
 * and an endpoint that is avoided shows its recovery only by fading.
 */
#define FADE_MS 3000.0

/* Good outcomes that are assumed of an endpoint nobody has tried. */
#define PRIOR_TRIES 4.0

/*
 * After a failure to connect, no new work for so long, doubled each time up
 * to the bound: a machine that starts again needs about a second.
 */
#define ASIDE_MS 300
#define ASIDE_MAX_MS 2400

/* A full endpoint needs about one request's time to have room again. */
#define BUSY_ASIDE_MS 50

/*
 * One that has ended is off the list within four seconds. Should it be there
 * all the same, it is tried again after this.
 */
#define ENDED_ASIDE_MS 5000

void flt_init(struct flt *f, void (*unlink)(struct flt_endpoint *e))
{
	memset(f, 0, sizeof(*f));
	CDS_INIT_LIST_HEAD(&f->endpoints);
	f->release_link = unlink;
}

void flt_ref(struct flt_endpoint *e)
{
	e->refs++;
}

void flt_unref(struct flt *f, struct flt_endpoint *e)
{
	assert(e->refs);
	if (--e->refs)
		return;
	if (f->release_link)
		f->release_link(e);
	free(e);
}

/*
 * Peers tell of loads by hash, some hundred a datagram, and a restart lists
 * thousands of ids at once: walking the list for each grew with the square of
 * the fleet, and a small instance spent a second on it before it served.
 */

/* uthash's macros count as fifty statements of ours. */
/* NOLINTNEXTLINE(readability-function-size) */
static void table_add(struct flt *f, struct flt_endpoint *e)
{
	HASH_ADD_KEYPTR(by_id, f->ids, e->info.id, strlen(e->info.id), e);
	HASH_ADD(by_hash, f->hashes, hash, sizeof(e->hash), e);
	cds_list_add_tail(&e->node, &f->endpoints);
	f->count++;
}

/* NOLINTNEXTLINE(readability-function-size) */
static void table_del(struct flt *f, struct flt_endpoint *e)
{
	/* An endpoint that is dropped is in both tables: they are not empty. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_id, f->ids, e);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_hash, f->hashes, e);
	cds_list_del(&e->node);
	f->count--;
}

static uint64_t hash_of(const struct flt_info *info)
{
	return hsh_str(info->id, (uint64_t)info->started_ms);
}

static void remember(struct flt *f, uint64_t hash, int64_t now)
{
	f->removed[f->nr_removed % FLT_MAX_REMOVED].hash = hash;
	f->removed[f->nr_removed % FLT_MAX_REMOVED].at_ms = now;
	f->nr_removed++;
}

bool flt_was_removed(const struct flt *f, const struct flt_info *info,
		     int64_t now)
{
	const unsigned n = f->nr_removed < FLT_MAX_REMOVED ? f->nr_removed
							   : FLT_MAX_REMOVED;
	const uint64_t hash = hash_of(info);
	unsigned i;

	for (i = 0; i < n; i++) {
		if (f->removed[i].hash == hash &&
		    now - f->removed[i].at_ms < FLT_REMOVED_KEEP_MS)
			return true;
	}
	return false;
}

static void drop(struct flt *f, struct flt_endpoint *e, int64_t now)
{
	remember(f, e->hash, now);
	table_del(f, e);
	e->removed = true;
	/* Requests under way ask since when it is leaving. */
	if (!e->missing_since_ms)
		e->missing_since_ms = now;
	flt_unref(f, e);
}

void flt_free(struct flt *f)
{
	struct flt_endpoint *e, *next;

	cds_list_for_each_entry_safe(e, next, &f->endpoints, node) {
		drop(f, e, 0); /* nobody asks any more */
	}
}

struct flt_endpoint *flt_find(struct flt *f, const char *id)
{
	struct flt_endpoint *e;

	HASH_FIND(by_id, f->ids, id, strlen(id), e);
	return e;
}

struct flt_endpoint *flt_find_by_hash(struct flt *f, uint64_t hash)
{
	struct flt_endpoint *e;

	HASH_FIND(by_hash, f->hashes, &hash, sizeof(hash), e);
	return e;
}

static struct flt_endpoint *add(struct flt *f, const struct flt_info *info,
				int64_t now)
{
	struct flt_endpoint *e = calloc(1, sizeof(*e));

	assert(e);
	e->info = *info;
	e->hash = hash_of(info);
	e->first_seen_ms = now;
	e->decayed_ms = now;
	e->refs = 1;
	table_add(f, e);
	return e;
}

struct flt_endpoint *flt_upsert(struct flt *f, const struct flt_info *info,
				int64_t now, enum flt_change *news)
{
	struct flt_endpoint *e = flt_find(f, info->id);

	*news = FLT_UNCHANGED;
	if (e && e->info.started_ms != info->started_ms) {
		drop(f, e, now);
		e = add(f, info, now);
		*news = FLT_RESTARTED;
	} else if (!e) {
		e = add(f, info, now);
		*news = FLT_ADDED;
	} else if (e->missing_since_ms) {
		*news = FLT_RELISTED;
	}
	e->info = *info;
	e->missing_since_ms = 0;
	if (info->draining && !e->draining_since_ms) {
		e->draining_since_ms = now;
		if (*news == FLT_UNCHANGED || *news == FLT_RELISTED)
			*news = FLT_DRAINING;
	}
	return e;
}

bool flt_remove(struct flt *f, const char *id, int64_t now)
{
	struct flt_endpoint *e = flt_find(f, id);

	if (e)
		drop(f, e, now);
	return e != NULL;
}

struct flt_endpoint *flt_mark_missing(struct flt *f, const char *id,
				      int64_t store_back, int64_t now)
{
	struct flt_endpoint *e = flt_find(f, id);

	if (!e || e->missing_since_ms)
		return e;
	e->missing_since_ms = now;
	e->grace_until_ms = now;
	if (store_back && !e->draining_since_ms &&
	    store_back + FLT_LAPSE_GRACE_MS > now)
		e->grace_until_ms = store_back + FLT_LAPSE_GRACE_MS;
	return e;
}

void flt_expire(struct flt *f, int64_t now,
		void (*told)(struct flt_endpoint *e, void *arg), void *arg)
{
	struct flt_endpoint *e, *next;

	cds_list_for_each_entry_safe(e, next, &f->endpoints, node) {
		if (!e->missing_since_ms || now < e->grace_until_ms)
			continue;
		told(e, arg);
		drop(f, e, now);
	}
}

void flt_smooth_peer_prefill(struct flt_endpoint *e, double left)
{
	const double mean = e->peer_prefill_tokens;

	e->peer_prefill_tokens = e->reported_prefill_tokens +
				 (mean - e->reported_prefill_tokens) * left;
}

bool flt_usable(const struct flt_endpoint *e, int64_t now)
{
	if (e->removed || e->draining_since_ms || now < e->backoff_until_ms)
		return false;
	return !e->missing_since_ms || now < e->grace_until_ms;
}

void flt_set_use(struct flt_endpoint *e, enum flt_use use, bool move_streams,
		 int64_t now)
{
	e->use = use;
	if (!move_streams)
		e->move_streams_since_ms = 0;
	else if (!e->move_streams_since_ms)
		e->move_streams_since_ms = now;
}

int64_t flt_leaving_ms(const struct flt_endpoint *e, int64_t now)
{
	if (e->draining_since_ms)
		return now - e->draining_since_ms;
	if (e->move_streams_since_ms)
		return now - e->move_streams_since_ms;
	/* One that lapsed in an outage of the store may live on. */
	return e->removed ? now - e->missing_since_ms : -1;
}

/* ---- Outcomes ---- */

static double fading(const struct flt_endpoint *e, int64_t now)
{
	return fade_left(FADE_MS, e->decayed_ms, now);
}

static void strike(struct flt_endpoint *e, int64_t now)
{
	int64_t wait = ASIDE_MS;
	int i;

	for (i = 0; i < e->connect_failures && wait < ASIDE_MAX_MS; i++)
		wait *= 2;
	e->connect_failures++;
	e->backoff_until_ms = now + wait;
}

void flt_record_outcome(struct flt_endpoint *e, enum flt_outcome o, int64_t now)
{
	const double left = fading(e, now);

	e->failed *= left;
	e->tried = e->tried * left + 1;
	e->decayed_ms = now;
	if (o == FLT_FAILED || o == FLT_UNREACHABLE)
		e->failed += 1;
	if (o == FLT_UNREACHABLE)
		strike(e, now);
	else
		e->connect_failures = 0;
	if (o == FLT_BUSY)
		e->backoff_until_ms = now + BUSY_ASIDE_MS;
	/*
	 * The address belongs to another endpoint now: this one is gone, and
	 * the list will say so.
	 */
	if (o == FLT_MISDIRECTED)
		e->backoff_until_ms = now + ASIDE_MAX_MS;
}

void flt_mark_exited(struct flt_endpoint *e, int64_t now)
{
	e->exited = true;
	e->backoff_until_ms = now + ENDED_ASIDE_MS;
}

double flt_fail_rate(const struct flt_endpoint *e, int64_t now)
{
	const double left = fading(e, now);

	return e->failed * left / (e->tried * left + PRIOR_TRIES);
}
