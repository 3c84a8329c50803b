/*
 * What speaks against a feature and for it: whether its crashes convict it, which
 * other features may have caused them, and which parts were answered lately.
 */
#include "request/fatal_internal.h"

/*
 * A crash does not count against a part that was answered this long before it or
 * later. Shared parts are in most crashes and most answers of their service: so
 * they make no rows, which would push out that of the guilty one.
 */
#define ANSWERED_MS 1000

/*
 * A crash counts for a conviction of a part once all entries had this long to
 * report what else ran there, and what was answered since. In a large fleet news
 * takes up to a second.
 */
#define SETTLE_MS 1000

/*
 * Endpoints that crash within this long of each other speak for a cause that is not
 * in the requests, such as the power of a zone.
 */
#define APART_MS 200

/* Time constant of the share of sends that have a part. */
#define SHARE_MS 10000.0

/* ---- Parts that were used lately ---- */

/* The index of the part in its set, or else of the least recently used one. */
static unsigned used_way(const struct fatal_used *set, struct hsh128 key)
{
	unsigned i, least = 0;

	for (i = 0; i < FATAL_USED_WAYS; i++) {
		if (hsh128_equal(set[i].key, key))
			return i;
		if (set[i].used_ms < set[least].used_ms)
			least = i;
	}
	return least;
}

/* Returns NULL if the part was not used lately. */
static const struct fatal_used *find_used(const struct fatal *f,
					  struct hsh128 key)
{
	const struct fatal_used *set = f->used[key.lo % FATAL_USED_SETS];
	const struct fatal_used *at = &set[used_way(set, key)];

	return at->used_ms && hsh128_equal(at->key, key) ? at : NULL;
}

/* Returns the part's slot, in place of the least recently used part of its set. */
static struct fatal_used *note_used(struct fatal *f, struct hsh128 key,
				    int64_t now)
{
	struct fatal_used *set = f->used[key.lo % FATAL_USED_SETS];
	struct fatal_used *at = &set[used_way(set, key)];

	if (!hsh128_equal(at->key, key))
		*at = (struct fatal_used){ .key = key };
	at->used_ms = now ? now : 1; /* 0 means empty */
	return at;
}

void fatal_note_answered(struct fatal *f, struct hsh128 key, int64_t now)
{
	struct fatal_used *at = note_used(f, key, now);

	at->answered_ms = at->used_ms;
}

int64_t fatal_answered_ms(struct fatal *f, struct hsh128 key)
{
	const struct fatal_used *at = find_used(f, key);

	return at ? at->answered_ms : 0;
}

void fatal_note_sent(struct fatal *f, const struct fatal_request *q,
		     int64_t now)
{
	unsigned i;

	for (i = 0; i < q->nr_features; i++) {
		if (q->features[i].kind == FATAL_PART)
			decay_sum_add(
				&note_used(f, q->features[i].key, now)->sends,
				1, SHARE_MS, now);
	}
	if (q->nr_features > 1)
		decay_sum_add(&f->sends, 1, SHARE_MS, now);
}

/* True if half of the sends from here have the part, or too few to say so. */
static bool is_common(const struct fatal *f, struct hsh128 key, int64_t now)
{
	const double all = decay_sum_at(&f->sends, SHARE_MS, now);
	const struct fatal_used *at = find_used(f, key);

	if (all < 1)
		return true;
	return at && 2 * decay_sum_at(&at->sends, SHARE_MS, now) >= all;
}

bool fatal_was_answered(struct fatal *f, struct hsh128 key, int64_t crash_ms)
{
	const struct fatal_row *row = fatal_find(f, key);
	const int64_t answered_ms = fatal_answered_ms(f, key);
	unsigned i;

	if (answered_ms && answered_ms > crash_ms - ANSWERED_MS)
		return true;
	/* Another entry cleared a crash, so there was an answer after it. */
	for (i = 0; row && i < row->nr_crashes; i++) {
		if (row->crashes[i].cleared &&
		    row->crashes[i].at_ms > crash_ms - ANSWERED_MS)
			return true;
	}
	return false;
}

/* ---- Conviction ---- */

static unsigned total_weight(const struct fatal_row *row)
{
	unsigned i, weight = 0;

	for (i = 0; i < row->nr_crashes; i++)
		weight += row->crashes[i].cleared ? 0 : row->crashes[i].weight;
	return weight;
}

bool fatal_is_evident(const struct fatal_row *row)
{
	return row->recorded_wall_ms ||
	       fatal_crash_count(row) >= FATAL_CONVICT_ALWAYS_CRASHES ||
	       total_weight(row) >= FATAL_CONVICT_WEIGHT;
}

/* True if there are crashes that are not of the same time. */
static bool crashed_apart(const struct fatal_row *row)
{
	int64_t first = INT64_MAX, last = INT64_MIN;
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++) {
		if (row->crashes[i].cleared)
			continue;
		if (row->crashes[i].at_ms < first)
			first = row->crashes[i].at_ms;
		if (row->crashes[i].at_ms > last)
			last = row->crashes[i].at_ms;
	}
	return last >= first + APART_MS;
}

bool fatal_is_strong(const struct fatal_row *row)
{
	return fatal_crash_count(row) >= FATAL_STRONG_CRASHES &&
	       (row->kind != FATAL_PART || fatal_is_evident(row) ||
		crashed_apart(row));
}

static bool crashed_at(const struct fatal_row *row, uint64_t endpoint)
{
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++) {
		if (row->crashes[i].endpoint == endpoint)
			return !row->crashes[i].cleared;
	}
	return false;
}

/* The number of crashes of `other` at which the row was not. */
static unsigned crashes_without(const struct fatal_row *other,
				const struct fatal_row *row)
{
	unsigned i, n = 0;

	for (i = 0; i < other->nr_crashes; i++)
		n += !other->crashes[i].cleared &&
		     !crashed_at(row, other->crashes[i].endpoint);
	return n;
}

/*
 * True if `other` may have caused crashes of the row: it is at least as suspect as a
 * part, or more than a content, which only the same request again has; or it was
 * convicted before, or would be without these crashes.
 */
static bool is_suspect_instead(const struct fatal_row *other,
			       const struct fatal_row *row)
{
	const unsigned least =
		fatal_crash_count(row) + (row->kind == FATAL_CONTENT);

	return fatal_crash_count(other) >= least ||
	       (other->convicted && !row->convicted) ||
	       crashes_without(other, row) >= FATAL_CONVICT_UNEXPLAINED;
}

/*
 * True if `other` has two crashes and a third as many as the row. Most shared parts
 * are in fewer crashes of a guilty one, by chance.
 */
static bool is_third_as_suspect(const struct fatal_row *other,
				const struct fatal_row *row)
{
	return fatal_crash_count(other) >= FATAL_STRONG_CRASHES &&
	       3 * fatal_crash_count(other) >= fatal_crash_count(row);
}

/* True if another such suspect, which `q` does not have, was at the endpoint. */
static bool is_explained(const struct fatal *f, const struct fatal_row *row,
			 uint64_t endpoint, const struct fatal_request *q,
			 bool (*is_suspect)(const struct fatal_row *other,
					    const struct fatal_row *row))
{
	const struct fatal_row *other;

	cds_list_for_each_entry(other, &f->rows, node) {
		if (other != row && is_suspect(other, row) &&
		    crashed_at(other, endpoint) &&
		    !(q && fatal_has_feature(q, other->key)))
			return true;
	}
	return false;
}

/*
 * True if each crash of a part may be one of another suspect. A part that all
 * requests have is in the crashes of each guilty one, so it has more crashes than any
 * of them.
 */
static bool is_beside_suspects(const struct fatal *f,
			       const struct fatal_row *row,
			       const struct fatal_request *q)
{
	unsigned i;

	if (row->kind == FATAL_CONTENT)
		return false;
	for (i = 0; i < row->nr_crashes; i++) {
		if (!row->crashes[i].cleared &&
		    !is_explained(f, row, row->crashes[i].endpoint, q,
				  is_third_as_suspect))
			return false;
	}
	return true;
}

/*
 * True if the part was evident when the run was sent that met the crash: it was
 * isolated, and had none of the other suspects of that time.
 */
static bool is_trial(const struct fatal_row *row, const struct fatal_crash *e)
{
	unsigned i, n = 0;

	for (i = 0; i < row->nr_crashes; i++)
		n += !row->crashes[i].cleared &&
		     row->crashes[i].at_ms + SETTLE_MS <= e->at_ms;
	return n >= FATAL_CONVICT_ALWAYS_CRASHES;
}

/*
 * The evidence of one crash: 1, or 0 if another suspect explains it. `common`: of a part
 * that is in half of all sends, and so meets the crashes of every guilty one. For it,
 * less suspect ones explain a crash, but a trial that ends in a crash decides.
 */
static unsigned evidence_of_crash(const struct fatal *f,
				  const struct fatal_row *row,
				  const struct fatal_crash *e, bool common,
				  const struct fatal_request *q)
{
	if (is_explained(f, row, e->endpoint, q, is_suspect_instead) ||
	    (common &&
	     is_explained(f, row, e->endpoint, q, is_third_as_suspect)))
		return 0;
	return common && is_trial(row, e) ? FATAL_CONVICT_UNEXPLAINED : 1;
}

/* The evidence of all crashes; of a part, of those that are settled. */
static unsigned evidence(const struct fatal *f, const struct fatal_row *row,
			 const struct fatal_request *q, int64_t now)
{
	const bool content = row->kind == FATAL_CONTENT;
	const bool common = !content && is_common(f, row->key, now);
	const struct fatal_crash *e;
	unsigned i, n = 0;

	for (i = 0; i < row->nr_crashes; i++) {
		e = &row->crashes[i];
		if (!e->cleared && (content || now - e->at_ms >= SETTLE_MS))
			n += evidence_of_crash(f, row, e, common, q);
	}
	return n;
}

bool fatal_is_settling(const struct fatal_row *row, int64_t now)
{
	unsigned i;

	for (i = 0; i < row->nr_crashes; i++) {
		if (!row->crashes[i].cleared &&
		    now - row->crashes[i].at_ms < SETTLE_MS)
			return true;
	}
	return false;
}

bool fatal_convicts(const struct fatal *f, const struct fatal_row *row,
		    const struct fatal_request *q, int64_t now)
{
	if (row->recorded_wall_ms)
		return true;
	if (!fatal_is_evident(row) || is_beside_suspects(f, row, q))
		return false;
	/*
	 * Sound requests may share a part, and would be refused until the record
	 * is deleted.
	 */
	return evidence(f, row, q, now) >=
	       (row->kind == FATAL_CONTENT ? FATAL_CONVICT_UNEXPLAINED_CONTENT
					   : FATAL_CONVICT_UNEXPLAINED);
}

bool fatal_is_convicted(const struct fatal *f, const struct fatal_row *row,
			int64_t now)
{
	return fatal_convicts(f, row, NULL, now);
}
