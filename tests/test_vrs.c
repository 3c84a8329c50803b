/* Tests of the record of versions that may have begun streams (vrs). */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "stream/vrs.h"
#include "support/unit.h"

static struct vrs_row listed(const char *version)
{
	struct vrs_row r = { .service = "llm" };

	str_copy(r.version, version, sizeof(r.version));
	r.origin = vrs_origin(r.service, r.version);
	return r;
}

static struct bnd_origin llm(const char *version)
{
	return vrs_origin("llm", version);
}

/* Writes what `v` plans, as the only writer would. */
static bool write_plan(struct vrs *v, const char *const *names, unsigned n,
		       int64_t now)
{
	struct vrs_row rows[4];
	struct vrs next;
	unsigned i;

	for (i = 0; i < n; i++)
		rows[i] = listed(names[i]);
	if (!vrs_plan(v, rows, n, true, now, &next))
		return false;
	vrs_adopt(v, &next, false, now);
	return true;
}

/* Guards against streams that begin at a version that no other entry can know. */
static void a_version_serves_only_once_it_is_recorded(void)
{
	static const char *const v1[] = { "v1" }, *const both[] = { "v1",
								    "v2" };
	struct vrs v = { 0 };

	CU_ASSERT_FALSE(vrs_is_serving(&v, llm("v1")));
	CU_ASSERT(write_plan(&v, v1, 1, 0));
	CU_ASSERT(vrs_is_serving(&v, llm("v1")));
	CU_ASSERT_FALSE(vrs_is_serving(&v, llm("v2")));
	CU_ASSERT_FALSE(write_plan(&v, v1, 1, 1000));
	CU_ASSERT(write_plan(&v, both, 2, 2000));
	CU_ASSERT(vrs_is_serving(&v, llm("v2")));
}

/* Guards against a version that is forgotten while streams of it are alive. */
static void a_version_is_retired_and_then_removed(void)
{
	static const char *const both[] = { "v1", "v2" }, *const v2[] = {
		"v2"
	};
	const struct vrs_row *row;
	struct vrs v = { 0 };
	int64_t now;

	write_plan(&v, both, 2, 0);
	CU_ASSERT_FALSE(write_plan(&v, v2, 1, 1));
	CU_ASSERT_FALSE(write_plan(&v, v2, 1, VRS_RETIRE_MS));
	now = VRS_RETIRE_MS + 2;
	CU_ASSERT(write_plan(&v, v2, 1, now));
	CU_ASSERT_FALSE(vrs_is_serving(&v, llm("v1")));
	CU_ASSERT_EQUAL(vrs_count(&v, hsh_str("llm", 0), &row), 2);
	CU_ASSERT_FALSE(write_plan(&v, v2, 1, now + BND_KEEP_MS));
	CU_ASSERT(write_plan(&v, v2, 1, now + VRS_REMOVE_MS + 1));
	CU_ASSERT_EQUAL(vrs_count(&v, hsh_str("llm", 0), &row), 1);
	CU_ASSERT_STRING_EQUAL(row->version, "v2");
}

static void a_retired_version_that_returns_is_recorded_again(void)
{
	static const char *const both[] = { "v1", "v2" }, *const v2[] = {
		"v2"
	};
	struct vrs v = { 0 };

	write_plan(&v, both, 2, 0);
	write_plan(&v, v2, 1, 1);
	write_plan(&v, v2, 1, VRS_RETIRE_MS + 2);
	CU_ASSERT_FALSE(vrs_is_serving(&v, llm("v1")));
	CU_ASSERT(write_plan(&v, both, 2, VRS_RETIRE_MS + 3));
	CU_ASSERT(vrs_is_serving(&v, llm("v1")));
}

/* Guards against times that went on while this entry could not follow the list. */
static void nothing_is_removed_by_an_old_list(void)
{
	static const char *const both[] = { "v1", "v2" }, *const v2[] = {
		"v2"
	};
	const struct vrs_row row = listed("v2");
	struct vrs v = { 0 }, next;

	write_plan(&v, both, 2, 0);
	write_plan(&v, v2, 1, 1);
	CU_ASSERT_FALSE(vrs_plan(&v, &row, 1, false, 1000000, &next));
	vrs_restart_times(&v, 1000000);
	CU_ASSERT_FALSE(vrs_plan(&v, &row, 1, true, 1000001, &next));
	CU_ASSERT(vrs_plan(&v, &row, 1, true, 1000002 + VRS_RETIRE_MS, &next));
}

/* Guards against a version that a restored store no longer has. */
static void a_restored_record_does_not_drop_versions(void)
{
	static const char *const both[] = { "v1", "v2" }, *const v1[] = {
		"v1"
	};
	struct vrs v = { 0 }, copy = { 0 };

	write_plan(&copy, v1, 1, 0);
	write_plan(&v, both, 2, 0);
	vrs_adopt(&v, &copy, true, 100);
	CU_ASSERT_PTR_NOT_NULL(vrs_find(&v, llm("v2")));
	/* Another entry writes it, still without v2. */
	vrs_adopt(&v, &copy, false, 200);
	CU_ASSERT_PTR_NOT_NULL(vrs_find(&v, llm("v2")));
	CU_ASSERT(write_plan(&v, v1, 1, 300));
	CU_ASSERT_PTR_NOT_NULL(vrs_find(&v, llm("v2")));
	vrs_adopt(&v, &copy, false, 400);
	CU_ASSERT_PTR_NULL(vrs_find(&v, llm("v2")));
}

static void records_are_decoded_as_encoded(void)
{
	static const char *const names[] = { "v1", "", "with \"quotes\"" };
	BUF_AUTO text = BUF_INIT;
	struct vrs v = { 0 }, out;

	write_plan(&v, names, 3, 0);
	v.rows[1].retired = true;
	vrs_encode(&v, &text);
	CU_ASSERT(vrs_decode(text.data, text.len, &out));
	CU_ASSERT_EQUAL(out.nr_rows, 3);
	CU_ASSERT(vrs_is_serving(&out, llm("v1")));
	CU_ASSERT_FALSE(vrs_is_serving(&out, llm("")));
	CU_ASSERT(vrs_is_serving(&out, llm("with \"quotes\"")));
}

/* Guards against a record of another writer that proves too much. */
static void other_texts_are_no_record(void)
{
	static const char *const texts[] = {
		"",
		"{}",
		"[]",
		"{\"versions\":{}}",
		"{\"versions\":[1]}",
		"{\"versions\":[{\"service\":\"\",\"version\":\"v1\"}]}",
		"{\"versions\":[{\"service\":\"llm\"}]}",
		"{\"versions\":[{\"service\":\"llm\",\"version\":7}]}",
		/* The same version twice. */
		"{\"versions\":[{\"service\":\"a\",\"version\":\"\"},{\"service\":\"a\",\"version\":\"\"}]}",
	};
	struct vrs out;
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		CU_ASSERT_FALSE(vrs_decode(texts[i], strlen(texts[i]), &out));
		CU_ASSERT_EQUAL(out.nr_rows, 0);
	}
}

static void versions_beyond_the_bound_do_not_serve(void)
{
	struct vrs_row rows[BND_MAX_VERSIONS + 4];
	struct vrs v = { 0 }, next;
	char name[8];
	unsigned i;

	for (i = 0; i < BND_MAX_VERSIONS + 4; i++) {
		snprintf(name, sizeof(name), "v%u", i);
		rows[i] = listed(name);
	}
	CU_ASSERT(vrs_plan(&v, rows, BND_MAX_VERSIONS + 4, true, 0, &next));
	vrs_adopt(&v, &next, false, 0);
	CU_ASSERT_EQUAL(v.nr_rows, BND_MAX_VERSIONS);
	CU_ASSERT_FALSE(
		vrs_plan(&v, rows, BND_MAX_VERSIONS + 4, true, 1000, &next));
}

/* ---- Schedules ---- */

/*
 * Entries that follow the record with a delay, lose all that they know, or miss
 * what happens for a while; versions that come and go; streams that begin where an
 * entry allows it and are continued where nothing but the record is known.
 */

#define NR_ENTRIES 4
#define NR_VERSIONS 3
#define MAX_STREAMS 64
#define STEP_MS 1000
#define STEPS 1000
#define MAX_LAG_MS 2000 /* of an entry that follows the store */
#define STREAM_MS 12000

enum variant {
	CORRECT,
	BEGINS_UNRECORDED,   /* streams begin at any listed version */
	REMOVES_AT_ONCE,     /* without a time as retired */
	TRUSTS_ITS_OWN_LIST, /* takes what it lists for all versions */
};

struct world {
	struct vrs record;
	bool listed[NR_VERSIONS];
	struct {
		struct vrs v;
		bool listed[NR_VERSIONS];
		int64_t lost_until_ms; /* follows nothing until then */
		int64_t followed_ms;
	} entries[NR_ENTRIES];
	struct {
		int version;
		int64_t began_ms;
	} streams[MAX_STREAMS];
	unsigned nr_streams;
	unsigned wrong, proved;
};

static const char *const names[NR_VERSIONS] = { "v1", "v2", "v3" };

static unsigned rows_of(const bool *which, struct vrs_row *rows)
{
	unsigned i, n = 0;

	for (i = 0; i < NR_VERSIONS; i++) {
		if (which[i])
			rows[n++] = listed(names[i]);
	}
	return n;
}

/*
 * The entry catches up with the store. It writes the record if that differs, unless
 * the write fails.
 */
static void follow(struct world *w, unsigned e, enum variant variant,
		   struct rnd *rnd, int64_t now)
{
	struct vrs_row rows[NR_VERSIONS];
	struct vrs *v = &w->entries[e].v, next;
	unsigned n;

	if (now - w->entries[e].followed_ms > MAX_LAG_MS)
		vrs_restart_times(v, now);
	w->entries[e].followed_ms = now;
	memcpy(w->entries[e].listed, w->listed, sizeof(w->listed));
	vrs_adopt(v, &w->record, false, now);
	n = rows_of(w->listed, rows);
	if (!vrs_plan(v, rows, n, true, now, &next) &&
	    variant != REMOVES_AT_ONCE)
		return;
	if (variant == REMOVES_AT_ONCE) {
		struct vrs none = { 0 };

		vrs_plan(&none, rows, n, true, now, &next);
	}
	if (rnd_below(rnd, 2))
		return;
	w->record = next;
	vrs_adopt(v, &w->record, false, now);
}

static void begin_stream(struct world *w, unsigned e, int version,
			 enum variant variant, int64_t now)
{
	const unsigned i = w->nr_streams++ % MAX_STREAMS;

	w->streams[i].version = -1;
	if (!w->entries[e].listed[version] ||
	    (variant != BEGINS_UNRECORDED &&
	     !vrs_is_serving(&w->entries[e].v, llm(names[version]))))
		return;
	w->streams[i].version = version;
	w->streams[i].began_ms = now;
}

/* Continues a stream at an entry that has only the record to go by. */
static void continue_stream(struct world *w, unsigned e, unsigned i,
			    enum variant variant, int64_t now)
{
	struct vrs_row rows[NR_VERSIONS];
	const struct vrs_row *row;
	struct vrs own = { 0 }, next;

	if (i >= w->nr_streams || w->streams[i].version < 0 ||
	    now - w->streams[i].began_ms > STREAM_MS)
		return;
	next = w->record;
	if (variant == TRUSTS_ITS_OWN_LIST)
		vrs_plan(&own, rows, rows_of(w->entries[e].listed, rows), true,
			 now, &next);
	if (vrs_count(&next, hsh_str("llm", 0), &row) != 1)
		return;
	w->proved++;
	w->wrong += strcmp(row->version, names[w->streams[i].version]) != 0;
}

static void step(struct world *w, struct rnd *rnd, enum variant variant,
		 int64_t now)
{
	const unsigned e = rnd_below(rnd, NR_ENTRIES);
	const int version = (int)rnd_below(rnd, NR_VERSIONS);
	unsigned i;

	if (!rnd_below(rnd, 200))
		w->listed[version] = !w->listed[version];
	if (!rnd_below(rnd, 40))
		w->entries[e].lost_until_ms = now + rnd_below(rnd, 60000);
	if (!rnd_below(rnd, 100)) {
		for (i = 0; i < NR_ENTRIES; i++)
			memset(&w->entries[i].v, 0, sizeof(struct vrs));
	}
	for (i = 0; i < NR_ENTRIES; i++) {
		if (now < w->entries[i].lost_until_ms)
			continue;
		if (now - w->entries[i].followed_ms > MAX_LAG_MS - STEP_MS ||
		    rnd_below(rnd, 2))
			follow(w, i, variant, rnd, now);
	}
	begin_stream(w, rnd_below(rnd, NR_ENTRIES), version, variant, now);
	/* The latest stream, or any of the last ones. */
	i = rnd_below(rnd, 2) ? w->nr_streams - 1 : rnd_below(rnd, MAX_STREAMS);
	continue_stream(w, e, i % MAX_STREAMS, variant, now);
}

static unsigned run(unsigned long seeds, enum variant variant, unsigned *proved)
{
	static struct world w;
	unsigned wrong = 0;
	unsigned long seed;
	struct rnd rnd;
	int64_t now;

	for (seed = 1; seed <= seeds; seed++) {
		memset(&w, 0, sizeof(w));
		w.listed[0] = true;
		rnd_seed(&rnd, unit_seed(seed));
		for (now = 1; now < STEPS * STEP_MS; now += STEP_MS)
			step(&w, &rnd, variant, now);
		wrong += w.wrong > 0;
		*proved += w.proved;
	}
	return wrong;
}

static void the_record_never_proves_a_wrong_version(void)
{
	const unsigned long seeds = unit_seeds(300);
	unsigned proved = 0;
	const unsigned wrong = run(seeds, CORRECT, &proved);

	unit_report("versions proved by the record", seeds, wrong);
	CU_ASSERT_EQUAL(wrong, 0);
	CU_ASSERT(proved > seeds);
}

static void broken_variants_are_caught(void)
{
	unsigned unused = 0;

	CU_ASSERT(run(300, BEGINS_UNRECORDED, &unused) > 0);
	CU_ASSERT(run(300, REMOVES_AT_ONCE, &unused) > 0);
	CU_ASSERT(run(300, TRUSTS_ITS_OWN_LIST, &unused) > 0);
}

static const struct unit_test tests[] = {
	{ "a version serves only once it is recorded",
	  a_version_serves_only_once_it_is_recorded },
	{ "a version is retired and then removed",
	  a_version_is_retired_and_then_removed },
	{ "a retired version that returns is recorded again",
	  a_retired_version_that_returns_is_recorded_again },
	{ "nothing is removed by an old list",
	  nothing_is_removed_by_an_old_list },
	{ "a restored record does not drop versions",
	  a_restored_record_does_not_drop_versions },
	{ "records are decoded as encoded", records_are_decoded_as_encoded },
	{ "other texts are no record", other_texts_are_no_record },
	{ "versions beyond the bound do not serve",
	  versions_beyond_the_bound_do_not_serve },
	{ "the record never proves a wrong version",
	  the_record_never_proves_a_wrong_version },
	{ "broken variants are caught", broken_variants_are_caught },
};

UNIT_MAIN("vrs", tests)
