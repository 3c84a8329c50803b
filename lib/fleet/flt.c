#include "fleet/flt.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/decay.h"
#include "base/hsh.h"

/*
 * Time constant of the exponential decay of outcomes. Faults of endpoints last
 * seconds, and an endpoint that is avoided gets no requests that would show its
 * recovery: its failure rate falls only by decay.
 */
#define OUTCOME_DECAY_MS 3000.0

/* Successes assumed in advance for an endpoint without outcomes. */
#define PRIOR_SUCCESSES 4.0

/*
 * Backoff after a failure to connect, doubled for each further one up to the
 * maximum. An instance that restarts needs about a second.
 */
#define BACKOFF_MS 300
#define MAX_BACKOFF_MS 2400

/* Backoff of a full endpoint: about the time until a request ends there. */
#define BUSY_BACKOFF_MS 50

/*
 * Backoff after the endpoint's process exited. Its list entry expires within
 * four seconds; if it is still listed after the backoff, it is tried again.
 */
#define EXITED_BACKOFF_MS 5000

void flt_init(struct flt *f, void (*release_link)(struct flt_endpoint *e))
{
	memset(f, 0, sizeof(*f));
	CDS_INIT_LIST_HEAD(&f->endpoints);
	f->release_link = release_link;
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
 * Endpoints are indexed by id and by hash. A datagram of a peer reports the
 * load of about a hundred endpoints by hash, and after a restart thousands of
 * ids are listed at once. With linear searches the cost grew with the square of
 * the fleet size, and an entry on a small instance needed a second before it
 * served.
 */

/* The linter counts the expansion of uthash's macros as fifty statements. */
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
	/* Both tables contain the endpoint, so they are not empty. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_id, f->ids, e);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_hash, f->hashes, e);
	cds_list_del(&e->node);
	f->count--;
}

static uint64_t endpoint_hash(const struct flt_info *info)
{
	return hsh_str(info->id, (uint64_t)info->started_ms);
}

void flt_copy_version(char out[FLT_NAME], const char *name)
{
	str_copy(out, name, FLT_NAME);
	if (strlen(name) >= FLT_NAME)
		snprintf(out + FLT_NAME - 18, 18, "~%016llx",
			 (unsigned long long)hsh_str(name, 0));
}

uint64_t flt_version(const char *name)
{
	return hsh_str(name, 0);
}

static void remember_removed(struct flt *f, uint64_t hash, int64_t now)
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
	const uint64_t hash = endpoint_hash(info);
	unsigned i;

	for (i = 0; i < n; i++) {
		if (f->removed[i].hash == hash &&
		    now - f->removed[i].at_ms < FLT_REMOVED_KEEP_MS)
			return true;
	}
	return false;
}

/* ---- Statements of removed endpoints ---- */

/* NOLINTNEXTLINE(readability-function-size) */
static void drop_gate(struct flt *f, struct flt_kept_gate *k)
{
	HASH_DEL(f->gates, k);
	free(k);
}

static struct flt_kept_gate *find_gate(struct flt *f,
				       const struct flt_endpoint *e)
{
	struct flt_kept_gate *k;

	HASH_FIND(hh, f->gates, &e->hash, sizeof(e->hash), k);
	return k;
}

/* NOLINTNEXTLINE(readability-function-size) */
void flt_keep_statements(struct flt *f, const struct flt_endpoint *e,
			 int64_t now)
{
	struct flt_kept_gate *k = find_gate(f, e);

	if (k)
		drop_gate(f, k);
	if (!gate_states_anything(&e->gate, now))
		return;
	if (HASH_COUNT(f->gates) == FLT_MAX_GATES)
		drop_gate(f, f->gates);
	k = calloc(1, sizeof(*k));
	assert(k);
	k->hash = e->hash;
	k->gate = e->gate;
	k->removed_ms = now;
	HASH_ADD(hh, f->gates, hash, sizeof(k->hash), k);
}

/* Restores what this start of the endpoint stated before it was removed. */
static void restore_gate(struct flt *f, struct flt_endpoint *e, int64_t now)
{
	struct flt_kept_gate *k = find_gate(f, e);

	if (!k)
		return;
	e->gate = k->gate;
	drop_gate(f, k);
	if (e->gate.leaving)
		e->draining_since_ms = now;
}

static void expire_gates(struct flt *f, int64_t now)
{
	while (f->gates && now - f->gates->removed_ms > FLT_GATE_KEEP_MS)
		drop_gate(f, f->gates);
}

/* ---- The table ---- */

static void remove_endpoint(struct flt *f, struct flt_endpoint *e, int64_t now)
{
	remember_removed(f, e->hash, now);
	flt_keep_statements(f, e, now);
	table_del(f, e);
	e->removed = true;
	/* Running requests call flt_leaving_ms on it. */
	if (!e->missing_since_ms)
		e->missing_since_ms = now;
	flt_unref(f, e);
}

void flt_free(struct flt *f)
{
	struct flt_endpoint *e, *next;

	cds_list_for_each_entry_safe(e, next, &f->endpoints, node) {
		remove_endpoint(f, e, 0); /* the time is not used any more */
	}
	while (f->gates)
		drop_gate(f, f->gates);
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

struct flt_endpoint *flt_current(struct flt *f, struct flt_endpoint *e)
{
	struct flt_endpoint *listed = e->removed ? flt_find_by_hash(f, e->hash)
						 : NULL;

	return listed ? listed : e;
}

bool flt_is_replaced(struct flt *f, const struct flt_endpoint *e)
{
	const struct flt_endpoint *other = flt_find(f, e->info.id);

	if (!e->removed)
		return false;
	if (other)
		return other->hash != e->hash;
	cds_list_for_each_entry(other, &f->endpoints, node) {
		if (!strcmp(other->info.address, e->info.address))
			return true;
	}
	return false;
}

static struct flt_endpoint *
add_endpoint(struct flt *f, const struct flt_info *info, int64_t now)
{
	struct flt_endpoint *e = calloc(1, sizeof(*e));

	assert(e);
	e->info = *info;
	e->hash = endpoint_hash(info);
	e->first_seen_ms = now;
	e->decayed_ms = now;
	e->refs = 1;
	restore_gate(f, e, now);
	table_add(f, e);
	return e;
}

struct flt_endpoint *flt_upsert(struct flt *f, const struct flt_info *info,
				int64_t now, enum flt_change *change)
{
	struct flt_endpoint *e = flt_find(f, info->id);

	*change = FLT_UNCHANGED;
	if (e && e->info.started_ms != info->started_ms) {
		remove_endpoint(f, e, now);
		e = add_endpoint(f, info, now);
		*change = FLT_RESTARTED;
	} else if (!e) {
		e = add_endpoint(f, info, now);
		*change = FLT_ADDED;
	} else if (e->missing_since_ms) {
		*change = FLT_RELISTED;
	}
	e->info = *info;
	e->version = flt_version(info->version);
	e->missing_since_ms = 0;
	if (info->draining && flt_mark_leaving(e, now) &&
	    (*change == FLT_UNCHANGED || *change == FLT_RELISTED))
		*change = FLT_DRAINING;
	return e;
}

bool flt_mark_leaving(struct flt_endpoint *e, int64_t now)
{
	e->gate.leaving = true;
	if (e->draining_since_ms)
		return false;
	e->draining_since_ms = now;
	return true;
}

bool flt_remove(struct flt *f, const char *id, int64_t now)
{
	struct flt_endpoint *e = flt_find(f, id);

	if (e)
		remove_endpoint(f, e, now);
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
		void (*on_expired)(struct flt_endpoint *e, void *arg),
		void *arg)
{
	struct flt_endpoint *e, *next;

	cds_list_for_each_entry_safe(e, next, &f->endpoints, node) {
		if (!e->missing_since_ms || now < e->grace_until_ms)
			continue;
		on_expired(e, arg);
		remove_endpoint(f, e, now);
	}
	expire_gates(f, now);
}

void flt_smooth_peer_prefill(struct flt_endpoint *e, double weight)
{
	const double mean = e->peer_prefill_tokens;

	e->peer_prefill_tokens = e->reported_prefill_tokens +
				 (mean - e->reported_prefill_tokens) * weight;
}

bool flt_in_service(const struct flt_endpoint *e, int64_t now)
{
	if (e->removed || e->draining_since_ms || now < e->backoff_until_ms)
		return false;
	return !e->missing_since_ms || now < e->grace_until_ms;
}

bool flt_begins(const struct flt_endpoint *e, const char *service,
		enum flt_use use, bool stream)
{
	return e->use == use && !(stream && e->no_new_streams) &&
	       !strcmp(e->info.service, service);
}

bool flt_continues(const struct flt_endpoint *e, const char *service,
		   uint64_t version)
{
	return e->version == version && e->use != FLT_REJECTED &&
	       !strcmp(e->info.service, service);
}

int64_t flt_open_ms(const struct flt_endpoint *e, int64_t now)
{
	const struct brittle_load load = {
		.slots = e->info.slots,
		.running = e->running,
		.elsewhere = e->peer_running,
	};
	const int64_t gate = gate_open_ms(&e->gate, now);
	const int64_t room = brittle_open_ms(&e->gate.brittle, &load, now);

	return gate > room ? gate : room;
}

bool flt_usable(const struct flt_endpoint *e, int64_t now)
{
	return flt_in_service(e, now) && flt_open_ms(e, now) <= now;
}

int64_t flt_leaving_ms(const struct flt_endpoint *e, int64_t now)
{
	if (e->draining_since_ms)
		return now - e->draining_since_ms;
	/* While it is only missing, it may be alive: see the grace period. */
	return e->removed ? now - e->missing_since_ms : -1;
}

/* ---- Outcomes ---- */

static double decay_factor(const struct flt_endpoint *e, int64_t now)
{
	return decay_fraction(OUTCOME_DECAY_MS, e->decayed_ms, now);
}

static void back_off(struct flt_endpoint *e, int64_t now)
{
	int64_t wait = BACKOFF_MS;
	int i;

	for (i = 0; i < e->connect_failures && wait < MAX_BACKOFF_MS; i++)
		wait *= 2;
	e->connect_failures++;
	e->backoff_until_ms = e->unreached_until_ms = now + wait;
}

void flt_record_outcome(struct flt_endpoint *e, enum flt_outcome o, int64_t now)
{
	const double weight = decay_factor(e, now);

	e->failed *= weight;
	e->tried = e->tried * weight + 1;
	e->decayed_ms = now;
	e->answers += o == FLT_GOOD;
	if (o == FLT_FAILED || o == FLT_UNREACHABLE)
		e->failed += 1;
	if (o == FLT_UNREACHABLE)
		back_off(e, now);
	else
		e->connect_failures = 0;
	if (o == FLT_BUSY)
		e->backoff_until_ms = now + BUSY_BACKOFF_MS;
	/*
	 * Another endpoint has the address now. This one has stopped, and its
	 * list entry will expire.
	 */
	if (o == FLT_MISDIRECTED)
		e->backoff_until_ms = now + MAX_BACKOFF_MS;
}

void flt_clear_unreached(struct flt_endpoint *e, int64_t now)
{
	e->connect_failures = 0;
	if (now >= e->unreached_until_ms)
		return;
	if (e->backoff_until_ms == e->unreached_until_ms)
		e->backoff_until_ms = now;
	e->unreached_until_ms = 0;
}

void flt_mark_exited(struct flt_endpoint *e, int64_t now)
{
	e->exited = true;
	e->backoff_until_ms = now + EXITED_BACKOFF_MS;
}

double flt_fail_rate(const struct flt_endpoint *e, int64_t now)
{
	const double weight = decay_factor(e, now);

	return e->failed * weight / (e->tried * weight + PRIOR_SUCCESSES);
}
