#include "request/fatal.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Ends that did not convict are kept for so long: a request that ends an
 * endpoint each few minutes is found, and one that met two ends by chance is
 * free again before it meets a third.
 */
#define KEEP_SUSPECT_MS 600000

/* Cleared ends are kept, so that late news of them does not count anew. */
#define KEEP_CLEARED_MS 10000

/* An endpoint that died silently is off the list within four seconds. */
#define KEEP_DOUBT_MS 6000

/* A run elsewhere that was not told of again: its entry may be dead. */
#define KEEP_RUN_MS 1500

/* A change is told in each round for so long. */
#define FRESH_MS 3000

/*
 * Weights are hundredths of a power of ten of the chance. An end weighs at
 * most one in a hundred, and one that may be another suspect's little. One in
 * a million convicts: of all requests that met three ends by chance, one in
 * ten thousand has three as unlikely as that.
 */
#define WEIGHT_MOST 200
#define WEIGHT_SHARED 30
#define WEIGHT_CONVICTS 600

/*
 * The rate at which sends meet an end by chance is taken over so long; as if
 * there had been none in a minute of sends before.
 */
#define RATE_MS 30000.0
#define RATE_PRIOR_MS 60000.0

/* From so many ends on it runs once at a time in all entries. */
#define ALONE_ENDS (FATAL_ENDS - 1)

void fatal_init(struct fatal *f, const struct fatal_vtable *vt, void *arg)
{
	memset(f, 0, sizeof(*f));
	f->vt = vt;
	f->arg = arg;
	CDS_INIT_LIST_HEAD(&f->rows);
}

/* ---- Rows ---- */

/* uthash's macros count as fifty statements of ours. */
/* NOLINTNEXTLINE(readability-function-size) */
struct fatal_row *fatal_find(struct fatal *f, struct hsh_wide content)
{
	struct fatal_row *row = NULL;

	if (f->count)
		HASH_FIND(by_content, f->table, &content, sizeof(content), row);
	return row;
}

/* NOLINTNEXTLINE(readability-function-size) */
static void drop(struct fatal *f, struct fatal_row *row)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_content, f->table, row);
	cds_list_del(&row->node);
	f->count--;
	free(row);
}

void fatal_free(struct fatal *f)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		drop(f, row);
	}
}

unsigned fatal_count(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_ends; i++)
		n += !row->ends[i].cleared;
	return n;
}

bool fatal_is_convicted(const struct fatal_row *row)
{
	unsigned i, weight = 0;

	if (row->stored_true_ms || fatal_count(row) >= FATAL_ENDS_MOST)
		return true;
	for (i = 0; i < row->nr_ends; i++)
		weight += row->ends[i].cleared ? 0 : row->ends[i].weight;
	return weight >= WEIGHT_CONVICTS;
}

/*
 * Room for a row: callers can invent contents, and must not push out what is
 * proved by those that are merely new.
 */
static void make_room(struct fatal *f)
{
	struct fatal_row *row;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (!fatal_is_convicted(row)) {
			drop(f, row);
			return;
		}
	}
	drop(f, cds_list_first_entry(&f->rows, struct fatal_row, node));
}

/* NOLINTNEXTLINE(readability-function-size) */
static struct fatal_row *get(struct fatal *f, struct hsh_wide content,
			     int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (row)
		return row;
	if (f->count == FATAL_MAX_ROWS)
		make_room(f);
	row = calloc(1, sizeof(*row));
	assert(row);
	row->content = content;
	row->changed_ms = now;
	HASH_ADD(by_content, f->table, content, sizeof(row->content), row);
	cds_list_add_tail(&row->node, &f->rows);
	f->count++;
	return row;
}

/* The list is in the order of changes but for what was only explained. */
static void touch(struct fatal *f, struct fatal_row *row, int64_t now)
{
	row->changed_ms = now;
	cds_list_del(&row->node);
	cds_list_add_tail(&row->node, &f->rows);
}

static bool empty(const struct fatal_row *row)
{
	return !row->nr_ends && !row->nr_doubts && !row->stored_true_ms;
}

static struct fatal_end *end_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_ends; i++) {
		if (row->ends[i].endpoint == endpoint)
			return &row->ends[i];
	}
	return NULL;
}

/* An end never weighs more again: whatever is told twice, or late, is joined. */
static bool weigh_less(struct fatal_end *e, unsigned weight)
{
	if (e->weight <= weight)
		return false;
	e->weight = weight;
	return true;
}

/* True if another one was convicted by the end of this endpoint, too. */
static bool is_explained(struct fatal *f, const struct fatal_row *row,
			 uint64_t endpoint)
{
	struct fatal_row *other;

	cds_list_for_each_entry(other, &f->rows, node) {
		if (other != row && fatal_is_convicted(other) &&
		    end_at(other, endpoint))
			return true;
	}
	return false;
}

/* Room for an end, if need be that of the oldest one which does not count. */
static struct fatal_end *room_for_end(struct fatal_row *row)
{
	unsigned i;

	if (row->nr_ends < FATAL_MAX_ENDS)
		return &row->ends[row->nr_ends++];
	for (i = 0; i < row->nr_ends; i++) {
		if (!row->ends[i].cleared)
			continue;
		memmove(&row->ends[i], &row->ends[i + 1],
			(row->nr_ends - i - 1) * sizeof(row->ends[0]));
		return &row->ends[row->nr_ends - 1];
	}
	return NULL;
}

static bool add_end(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		    unsigned weight, int64_t at)
{
	struct fatal_end *e;

	if (end_at(row, endpoint))
		return false;
	e = room_for_end(row);
	if (!e)
		return false;
	*e = (struct fatal_end){
		.endpoint = endpoint,
		.at_ms = at,
		.weight = weight < WEIGHT_MOST ? weight : WEIGHT_MOST,
	};
	if (!fatal_is_convicted(row) && is_explained(f, row, endpoint))
		weigh_less(e, WEIGHT_SHARED);
	return true;
}

/*
 * One is convicted: its ends weigh little against those that were there, too.
 * Else who met three requests of this kind, one after the other, would pass
 * for a fourth. They do not count for nothing: two that are guilty would clear
 * each other again and again.
 */
static void explain_others(struct fatal *f, struct fatal_row *by, int64_t now)
{
	struct fatal_row *row;
	unsigned i;
	bool changed;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (row == by || fatal_is_convicted(row))
			continue;
		changed = false;
		for (i = 0; i < row->nr_ends; i++) {
			if (end_at(by, row->ends[i].endpoint))
				changed |= weigh_less(&row->ends[i],
						      WEIGHT_SHARED);
		}
		if (!changed)
			continue;
		row->changed_ms = now;
		f->vt->changed(f->arg, row, FATAL_EXPLAINED, 0);
	}
}

/* `known`: it was convicted before. */
static void tell_end(struct fatal *f, const struct fatal_row *row, bool known,
		     uint64_t endpoint)
{
	enum fatal_news news = FATAL_SUSPECTED;

	if (known)
		news = FATAL_MORE;
	else if (fatal_is_convicted(row))
		news = FATAL_CONVICTED;
	f->vt->changed(f->arg, row, news, endpoint);
}

/* ---- May it be sent? ---- */

static unsigned looked_at(const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_doubts; i++)
		n += row->doubts[i].looking;
	return n;
}

static bool runs_elsewhere(const struct fatal_row *row, int64_t now)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (now - row->runs[i].heard_ms < KEEP_RUN_MS)
			return true;
	}
	return false;
}

enum fatal_verdict fatal_ask(struct fatal *f, struct hsh_wide content,
			     bool under_way, int64_t now)
{
	const struct fatal_row *row = fatal_find(f, content);
	unsigned ends, looked;

	if (!row)
		return FATAL_FREE;
	if (fatal_is_convicted(row))
		return FATAL_NEVER;
	ends = fatal_count(row);
	looked = looked_at(row);
	if (looked && ends + looked >= FATAL_ENDS)
		return FATAL_WAIT;
	if (ends >= ALONE_ENDS && (under_way || runs_elsewhere(row, now)))
		return FATAL_BUSY;
	return ends ? FATAL_APART : FATAL_FREE;
}

/* ---- Ends ---- */

static struct fatal_doubt *doubt_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_doubts; i++) {
		if (row->doubts[i].endpoint == endpoint)
			return &row->doubts[i];
	}
	return NULL;
}

static void drop_doubt(struct fatal_row *row, struct fatal_doubt *d)
{
	*d = row->doubts[--row->nr_doubts];
}

struct fatal_row *fatal_broke(struct fatal *f, struct hsh_wide content,
			      uint64_t endpoint, int64_t ran_ms, bool looking,
			      int64_t now)
{
	struct fatal_row *row = get(f, content, now);

	if (!doubt_at(row, endpoint) && row->nr_doubts < FATAL_MAX_DOUBTS)
		row->doubts[row->nr_doubts++] =
			(struct fatal_doubt){ endpoint, now, ran_ms, looking };
	return row;
}

static bool ran_at(struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_runs; i++) {
		if (row->runs[i].endpoint == endpoint)
			return true;
	}
	return doubt_at(row, endpoint) || end_at(row, endpoint);
}

/* Ends held against it but for that at this endpoint. */
static unsigned ends_elsewhere(struct fatal_row *row, uint64_t endpoint)
{
	const struct fatal_end *e = end_at(row, endpoint);

	return fatal_count(row) - (e && !e->cleared);
}

/* Whom an end is laid to: the most that was held against any one there. */
struct blame {
	unsigned most;
	unsigned tied; /* so many have that */
};

static struct blame blame_at(struct fatal *f, uint64_t endpoint)
{
	struct blame b = { 0, 0 };
	struct fatal_row *row;
	unsigned n;

	cds_list_for_each_entry(row, &f->rows, node) {
		if (!ran_at(row, endpoint))
			continue;
		n = ends_elsewhere(row, endpoint);
		if (n > b.most)
			b = (struct blame){ n, 0 };
		b.tied += n == b.most;
	}
	return b;
}

/* How unlikely it is that a send meets an end by chance within that time. */
static unsigned weight_of(const struct fatal *f, int64_t ran_ms, int64_t now)
{
	const double per_ms =
		fade_at(&f->ended, RATE_MS, now) /
		(fade_at(&f->ran_ms, RATE_MS, now) + RATE_PRIOR_MS);
	const double chance = per_ms * (double)(ran_ms + 1);

	if (chance >= 1)
		return 0;
	if (chance <= pow(10, -WEIGHT_MOST / 100.0))
		return WEIGHT_MOST;
	return (unsigned)(-100 * log10(chance));
}

void fatal_ran(struct fatal *f, int64_t ran_ms, int64_t now)
{
	fade_add(&f->ran_ms, (double)ran_ms, RATE_MS, now);
}

/*
 * While little is held against any one that was there, the end weighs fully
 * against all. Once there is a strong suspect it does against that one alone,
 * and little against the others; of two, which run apart as far as there is
 * room, nobody knows which.
 */
static bool is_shared(struct fatal_row *row, uint64_t endpoint,
		      const struct blame *b)
{
	return b->most >= ALONE_ENDS &&
	       (b->tied > 1 || ends_elsewhere(row, endpoint) < b->most);
}

/* The rows that were in doubt for this endpoint have an end more. */
static void blame(struct fatal *f, uint64_t endpoint, int64_t now,
		  struct cds_list_head *guilty)
{
	const struct blame b = blame_at(f, endpoint);
	struct fatal_row *row, *next;
	struct fatal_doubt *d;
	unsigned weight;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (!d)
			continue;
		weight = is_shared(row, endpoint, &b)
				 ? WEIGHT_SHARED
				 : weight_of(f, d->ran_ms, now);
		if (b.most < ALONE_ENDS)
			fade_add(&f->ended, 1, RATE_MS, now);
		drop_doubt(row, d);
		row->known = fatal_is_convicted(row);
		if (!add_end(f, row, endpoint, weight, now))
			continue;
		cds_list_del(&row->node);
		cds_list_add_tail(&row->node, guilty);
	}
}

void fatal_ended(struct fatal *f, uint64_t endpoint, int64_t now)
{
	struct fatal_row *row, *next;
	CDS_LIST_HEAD(guilty);

	blame(f, endpoint, now, &guilty);
	cds_list_for_each_entry_safe(row, next, &guilty, node) {
		touch(f, row, now);
		tell_end(f, row, row->known, endpoint);
		if (fatal_is_convicted(row))
			explain_others(f, row, now);
	}
}

void fatal_lives(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row, *next;
	struct fatal_doubt *d;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (!d)
			continue;
		drop_doubt(row, d);
		if (empty(row))
			drop(f, row);
	}
}

void fatal_unsure(struct fatal *f, uint64_t endpoint)
{
	struct fatal_row *row;
	struct fatal_doubt *d;

	cds_list_for_each_entry(row, &f->rows, node) {
		d = doubt_at(row, endpoint);
		if (d)
			d->looking = false;
	}
}

static void clear(struct fatal *f, struct fatal_row *row, int64_t now)
{
	const bool any = fatal_count(row) > 0;
	unsigned i;

	for (i = 0; i < row->nr_ends; i++)
		row->ends[i].cleared = true;
	row->nr_doubts = 0;
	if (!any)
		return;
	touch(f, row, now);
	f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_whole(struct fatal *f, struct hsh_wide content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	clear(f, row, now);
	if (empty(row))
		drop(f, row);
}

/* ---- What entries tell each other ---- */

static void tell_row(const struct fatal_row *row, uint64_t run_at,
		     struct fatal_told *out, int64_t now)
{
	unsigned i;

	memset(out, 0, sizeof(*out));
	out->content = row->content;
	out->run_at = run_at;
	out->nr_ends = row->nr_ends;
	for (i = 0; i < row->nr_ends; i++) {
		out->ends[i].endpoint = row->ends[i].endpoint;
		out->ends[i].age_ms = (uint32_t)(now - row->ends[i].at_ms);
		out->ends[i].weight = row->ends[i].weight;
		out->ends[i].cleared = row->ends[i].cleared;
	}
}

/* Every row that has ends, in turn, while there is room. */
static unsigned tell_in_turn(struct fatal *f, struct fatal_told *out,
			     unsigned max, int64_t now)
{
	const struct fatal_row *row;
	unsigned i = 0, n = 0;

	if (f->turn >= f->count)
		f->turn = 0;
	cds_list_for_each_entry(row, &f->rows, node) {
		if (i++ < f->turn || !row->nr_ends ||
		    now - row->changed_ms < FRESH_MS)
			continue;
		if (n == max)
			return n;
		tell_row(row, 0, &out[n++], now);
		f->turn = i;
	}
	f->turn = 0;
	return n;
}

unsigned fatal_tell(struct fatal *f, struct fatal_told *out, unsigned max,
		    unsigned *fresh, fatal_run_at run_at, void *arg,
		    int64_t now)
{
	const struct fatal_row *row;
	unsigned n = 0;
	uint64_t at;

	cds_list_for_each_entry_reverse(row, &f->rows, node)
	{
		if (!row->nr_ends || n == max)
			continue;
		at = fatal_count(row) ? run_at(arg, row->content) : 0;
		if (at || now - row->changed_ms < FRESH_MS)
			tell_row(row, at, &out[n++], now);
	}
	*fresh = n;
	return n + tell_in_turn(f, out + n, max - n, now);
}

static void hear_run(struct fatal_row *row, uint64_t entry, uint64_t endpoint,
		     int64_t now)
{
	unsigned i, at = row->nr_runs;

	for (i = 0; i < row->nr_runs; i++) {
		if (row->runs[i].entry == entry)
			at = i;
	}
	if (!endpoint) {
		if (at < row->nr_runs)
			row->runs[at] = row->runs[--row->nr_runs];
		return;
	}
	if (at == FATAL_MAX_RUNS)
		return;
	if (at == row->nr_runs)
		row->nr_runs++;
	row->runs[at] = (struct fatal_run){ entry, endpoint, now };
}

/* What one told row adds. */
static void join(struct fatal *f, struct fatal_row *row,
		 const struct fatal_told *told, int64_t now)
{
	const unsigned before = fatal_count(row);
	const bool known = fatal_is_convicted(row);
	bool news = false;
	unsigned i, after;

	for (i = 0; i < told->nr_ends; i++) {
		const uint64_t endpoint = told->ends[i].endpoint;
		struct fatal_end *e;

		news |= add_end(f, row, endpoint, told->ends[i].weight,
				now - told->ends[i].age_ms);
		e = end_at(row, endpoint);
		if (!e)
			continue;
		news |= weigh_less(e, told->ends[i].weight);
		news |= told->ends[i].cleared && !e->cleared;
		e->cleared |= told->ends[i].cleared;
	}
	if (!news)
		return;
	touch(f, row, now);
	after = fatal_count(row);
	if (after > before)
		tell_end(f, row, known, 0);
	if (after > before && fatal_is_convicted(row))
		explain_others(f, row, now);
	else if (before && !after)
		f->vt->changed(f->arg, row, FATAL_CLEARED, 0);
}

void fatal_heard(struct fatal *f, uint64_t entry, const struct fatal_told *told,
		 unsigned n, int64_t now)
{
	struct fatal_row *row;
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!told[i].nr_ends)
			continue;
		row = get(f, told[i].content, now);
		join(f, row, &told[i], now);
		hear_run(row, entry, told[i].run_at, now);
	}
}

/* ---- What lasts ---- */

void fatal_recorded(struct fatal *f, struct hsh_wide content, int64_t true_ms,
		    int64_t now)
{
	struct fatal_row *row = get(f, content, now);
	const bool known = fatal_is_convicted(row);

	row->stored_true_ms = true_ms > 0 ? true_ms : 1;
	row->lost = false;
	touch(f, row, now);
	if (!known)
		tell_end(f, row, false, 0);
}

void fatal_unrecorded(struct fatal *f, struct hsh_wide content)
{
	struct fatal_row *row = fatal_find(f, content);

	if (row)
		row->lost = true;
}

void fatal_lifted(struct fatal *f, struct hsh_wide content, int64_t now)
{
	struct fatal_row *row = fatal_find(f, content);

	if (!row)
		return;
	row->stored_true_ms = 0;
	clear(f, row, now);
	if (empty(row))
		drop(f, row);
}

static void expire_doubts(struct fatal_row *row, int64_t now)
{
	unsigned i = 0;

	while (i < row->nr_doubts) {
		if (now - row->doubts[i].at_ms > KEEP_DOUBT_MS)
			drop_doubt(row, &row->doubts[i]);
		else
			i++;
	}
}

static bool outlived(const struct fatal_row *row, int64_t now)
{
	const int64_t age = now - row->changed_ms;

	if (row->stored_true_ms)
		return false; /* as long as its record */
	if (empty(row))
		return true;
	if (!fatal_count(row))
		return !row->nr_doubts && age > KEEP_CLEARED_MS;
	return age >
	       (fatal_is_convicted(row) ? FATAL_KEEP_MS : KEEP_SUSPECT_MS);
}

void fatal_expire(struct fatal *f, int64_t now)
{
	struct fatal_row *row, *next;

	cds_list_for_each_entry_safe(row, next, &f->rows, node) {
		expire_doubts(row, now);
		if (outlived(row, now))
			drop(f, row);
	}
}
