/* Tests of the bindings of streams to the versions that began them (bnd). */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "stream/bnd.h"
#include "stream/bnd_msg.h"
#include "support/unit.h"

static const struct bnd_origin v1 = { 7, 1 }, v2 = { 7, 2 };

/* ---- Decision ---- */

/* Guards against streams that go on at a version that is guessed. */
static void only_a_known_or_the_only_version_continues_a_stream(void)
{
	static const struct {
		struct bnd_state s;
		enum bnd_step next;
	} cases[] = {
		/* A new stream, or a retry before its first event. */
		{ { .continues = false, .mixed = true }, BND_ANY },
		{ { .continues = false, .mixed = true, .asked = true },
		  BND_ANY },
		/* A stream of which the version is known. */
		{ { .continues = true, .known = true }, BND_BOUND },
		{ { .continues = true, .known = true, .mixed = true },
		  BND_BOUND },
		/* Nothing tells that there were several versions: no proof. */
		{ { .continues = true }, BND_ASK },
		{ { .continues = true, .asked = true }, BND_REFUSE },
		/* The record proves that there was one. */
		{ { .continues = true, .proved = true }, BND_ONLY },
		{ { .continues = true, .proved = true, .asked = true },
		  BND_ONLY },
		/* Several. */
		{ { .continues = true, .mixed = true }, BND_ASK },
		{ { .continues = true, .mixed = true, .proved = true },
		  BND_ASK },
		{ { .continues = true, .mixed = true, .asked = true },
		  BND_REFUSE },
		{ { .continues = true,
		    .mixed = true,
		    .asked = true,
		    .proved = true },
		  BND_REFUSE },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(bnd_next(&cases[i].s), cases[i].next);
}

/* ---- Bindings ---- */

static struct hsh128 stream(int n)
{
	char id[16];

	snprintf(id, sizeof(id), "%d", n);
	return bnd_stream("one", id);
}

/* Guards against a caller that continues the stream of another account. */
static void streams_are_named_by_account_and_attempt(void)
{
	const struct hsh128 a = bnd_stream("one", "x1");

	CU_ASSERT(hsh128_equal(a, bnd_stream("one", "x1")));
	CU_ASSERT_FALSE(hsh128_equal(a, bnd_stream("two", "x1")));
	CU_ASSERT_FALSE(hsh128_equal(a, bnd_stream("", "x1")));
	CU_ASSERT_FALSE(hsh128_equal(a, bnd_stream("onex", "1")));
}

static void first_binding_holds(void)
{
	struct bnd b = { 0 };

	CU_ASSERT_PTR_NULL(bnd_find(&b, stream(1), 0));
	CU_ASSERT_FALSE(bnd_put(&b, stream(1), v1, false, 0)->own);
	CU_ASSERT_EQUAL(bnd_put(&b, stream(1), v2, true, 5)->origin.version, 1);
	CU_ASSERT(bnd_find(&b, stream(1), 10)->own);
	CU_ASSERT_PTR_NULL(bnd_find(&b, stream(2), 10));
	bnd_free(&b);
}

static void unused_bindings_are_dropped(void)
{
	struct bnd b = { 0 };
	int i;

	for (i = 0; i < 3; i++)
		bnd_put(&b, stream(i), v1, true, i);
	bnd_find(&b, stream(0), 100);
	bnd_expire(&b, BND_KEEP_MS + 3);
	CU_ASSERT_PTR_NOT_NULL(bnd_find(&b, stream(0), BND_KEEP_MS + 3));
	CU_ASSERT_PTR_NULL(bnd_find(&b, stream(1), BND_KEEP_MS + 3));
	CU_ASSERT_EQUAL(HASH_COUNT(b.rows), 1);
	for (i = 0; i < BND_MAX_ROWS + 10; i++)
		bnd_put(&b, stream(i), v1, true, BND_KEEP_MS + 4);
	CU_ASSERT_EQUAL(HASH_COUNT(b.rows), BND_MAX_ROWS);
	CU_ASSERT_PTR_NULL(bnd_find(&b, stream(5), BND_KEEP_MS + 5));
	bnd_free(&b);
}

/* ---- Versions ---- */

/* Guards against taking the last version left for that of every stream. */
static void versions_count_for_a_while_after_they_were_listed(void)
{
	struct bnd b = { 0 };
	uint64_t version = 0;
	uint64_t i;

	CU_ASSERT_EQUAL(bnd_count_versions(&b, 7, 0, &version), 0);
	bnd_listed(&b, v1, 1000);
	CU_ASSERT_EQUAL(bnd_count_versions(&b, 7, 1000, &version), 1);
	CU_ASSERT_EQUAL(version, 1);
	CU_ASSERT_EQUAL(bnd_count_versions(&b, 8, 1000, &version), 0);
	bnd_listed(&b, v2, 2000);
	CU_ASSERT_EQUAL(bnd_count_versions(&b, 7, 1000 + BND_KEEP_MS, &version),
			2);
	bnd_listed(&b, v2, 1000 + BND_KEEP_MS);
	CU_ASSERT_EQUAL(bnd_count_versions(&b, 7, 1001 + BND_KEEP_MS, &version),
			1);
	CU_ASSERT_EQUAL(version, 2);
	for (i = 0; i < 3 * BND_MAX_VERSIONS; i++)
		bnd_listed(&b, (struct bnd_origin){ 7, 100 + i },
			   2000 + BND_KEEP_MS);
	CU_ASSERT_EQUAL(bnd_count_versions(&b, 7, 2000 + BND_KEEP_MS, &version),
			BND_MAX_VERSIONS);
	bnd_free(&b);
}

/* ---- Datagrams ---- */

static void datagrams_are_decoded_as_encoded(void)
{
	struct bnd_msg m = { .kind = BND_ANSWER, .nr_rows = BND_MSG_MAX_ROWS },
		       out;
	char bytes[BND_MSG_MAX_BYTES];
	size_t n, len;
	unsigned i;

	for (i = 0; i < m.nr_rows; i++)
		m.rows[i] = (struct bnd_msg_row){
			stream((int)i), { i, ~(uint64_t)i }, i % 2, i % 3 == 0
		};
	len = bnd_msg_encode(&m, bytes);
	CU_ASSERT(len > 0);
	CU_ASSERT(bnd_msg_decode(&out, bytes, len));
	CU_ASSERT_EQUAL(out.kind, m.kind);
	CU_ASSERT_EQUAL(out.nr_rows, m.nr_rows);
	for (i = 0; i < m.nr_rows; i++) {
		CU_ASSERT(hsh128_equal(out.rows[i].stream, m.rows[i].stream));
		CU_ASSERT_EQUAL(out.rows[i].origin.version,
				m.rows[i].origin.version);
		CU_ASSERT_EQUAL(out.rows[i].known, m.rows[i].known);
		CU_ASSERT_EQUAL(out.rows[i].mixed, m.rows[i].mixed);
	}
	for (n = 0; n < len; n++)
		CU_ASSERT_FALSE(bnd_msg_decode(&out, bytes, n));
}

static void other_bytes_are_no_datagram(void)
{
	char bytes[BND_MSG_MAX_BYTES + 200];
	struct bnd_msg m;
	struct rnd rnd;
	unsigned taken = 0;
	size_t n, i;

	rnd_seed(&rnd, 5);
	for (i = 0; i < 20000; i++) {
		const size_t len = rnd_below(&rnd, sizeof(bytes));

		for (n = 0; n < len; n++)
			bytes[n] = (char)rnd_below(&rnd, 256);
		taken += bnd_msg_decode(&m, bytes, len);
	}
	CU_ASSERT_EQUAL(taken, 0);
}

static const struct unit_test tests[] = {
	{ "only a known or the only version continues a stream",
	  only_a_known_or_the_only_version_continues_a_stream },
	{ "streams are named by account and attempt",
	  streams_are_named_by_account_and_attempt },
	{ "the first binding holds", first_binding_holds },
	{ "unused bindings are dropped", unused_bindings_are_dropped },
	{ "versions count for a while after they were listed",
	  versions_count_for_a_while_after_they_were_listed },
	{ "datagrams are decoded as encoded",
	  datagrams_are_decoded_as_encoded },
	{ "other bytes are no datagram", other_bytes_are_no_datagram },
};

UNIT_MAIN("bnd", tests)
