/* Tests of the bindings that an entry keeps in the store (bnd_log). */
#include <stdio.h>
#include <string.h>

#include "stream/bnd_log.h"
#include "support/unit.h"

static const struct bnd_origin v1 = { 7, 1 };

static struct hsh128 stream(unsigned n)
{
	char id[16];

	snprintf(id, sizeof(id), "%u", n);
	return bnd_stream("one", id);
}

static void add(struct bnd_log *l, unsigned from, unsigned n, int64_t now)
{
	unsigned i;

	for (i = from; i < from + n; i++)
		bnd_log_add(l, stream(i), v1, now);
}

/* Writes all that is due; returns the number of calls. */
static unsigned write_all(struct bnd_log *l, int64_t now)
{
	const struct bnd_log_segment *s;
	unsigned n = 0;

	while ((s = bnd_log_due(l, now))) {
		if (s->over)
			bnd_log_deleted(l, s->number);
		else
			bnd_log_written(l, s->number, s->nr_rows);
		n++;
	}
	return n;
}

/* The number of rows that are not yet stored. */
static unsigned count_pending(const struct bnd_log *l)
{
	const struct bnd_log_segment *s;
	unsigned n = 0;

	cds_list_for_each_entry(s, &l->segments, node) {
		if (!s->over)
			n += s->nr_rows - s->nr_stored;
	}
	return n;
}

static void rows_are_decoded_as_encoded(void)
{
	BUF_AUTO value = BUF_INIT;
	struct bnd_log l;
	struct bnd_log_row row;
	unsigned i;

	bnd_log_init(&l);
	for (i = 0; i < 5; i++)
		bnd_log_add(&l, stream(i), (struct bnd_origin){ i, ~i }, 0);
	bnd_log_encode(bnd_log_due(&l, 0), &value);
	for (i = 0; i < 5; i++) {
		CU_ASSERT(bnd_log_decode(value.data, value.len, i, &row));
		CU_ASSERT(hsh128_equal(row.stream, stream(i)));
		CU_ASSERT_EQUAL(row.origin.service, i);
		CU_ASSERT_EQUAL(row.origin.version, ~i);
	}
	CU_ASSERT_FALSE(bnd_log_decode(value.data, value.len, 5, &row));
	for (i = 0; i < value.len; i++) {
		if ((i - 4) % 32)
			CU_ASSERT_FALSE(bnd_log_decode(value.data, i, 0, &row));
	}
	value.data[0] = 'x';
	CU_ASSERT_FALSE(bnd_log_decode(value.data, value.len, 0, &row));
	bnd_log_free(&l);
}

/* Guards against a binding that is never stored, or stored only in memory. */
static void each_row_is_written(void)
{
	struct bnd_log l;
	const struct bnd_log_segment *s;

	bnd_log_init(&l);
	add(&l, 0, 3, 0);
	CU_ASSERT_EQUAL(count_pending(&l), 3);
	s = bnd_log_due(&l, 0);
	CU_ASSERT_EQUAL(s->nr_rows, 3);
	/* Two more come while the write is in flight. */
	add(&l, 3, 2, 1);
	bnd_log_written(&l, 0, 3);
	CU_ASSERT_EQUAL(count_pending(&l), 2);
	CU_ASSERT_EQUAL(bnd_log_due(&l, 1)->nr_rows, 5);
	add(&l, 5, 2 * BND_LOG_SEGMENT_ROWS, 2);
	CU_ASSERT_EQUAL(l.nr_in_use, 3);
	CU_ASSERT_EQUAL(write_all(&l, 3), 3);
	CU_ASSERT_EQUAL(count_pending(&l), 0);
	bnd_log_lost(&l);
	CU_ASSERT_EQUAL(write_all(&l, 4), 3);
	bnd_log_free(&l);
}

static void old_segments_are_deleted(void)
{
	struct bnd_log l;

	bnd_log_init(&l);
	add(&l, 0, BND_LOG_SEGMENT_ROWS + 1, 0);
	write_all(&l, 0);
	add(&l, 1000, 1, 1000);
	CU_ASSERT_EQUAL(write_all(&l, 1000), 1);
	CU_ASSERT_EQUAL(write_all(&l, BND_LOG_KEEP_MS + 1), 1);
	CU_ASSERT_EQUAL(l.nr_in_use, 1);
	CU_ASSERT_EQUAL(write_all(&l, BND_LOG_KEEP_MS + 1001), 1);
	CU_ASSERT_EQUAL(l.nr_in_use, 0);
	CU_ASSERT(cds_list_empty(&l.segments));
	/* Rows never go to a segment that is being deleted. */
	add(&l, 2000, 1, 200000);
	CU_ASSERT_EQUAL(bnd_log_due(&l, 200000)->nr_rows, 1);
	bnd_log_free(&l);
}

static void the_log_is_bounded(void)
{
	const struct bnd_log_segment *last;
	struct bnd_log l;

	bnd_log_init(&l);
	add(&l, 0, (BND_LOG_MAX_SEGMENTS + 5) * BND_LOG_SEGMENT_ROWS, 0);
	write_all(&l, 0);
	CU_ASSERT_EQUAL(l.nr_in_use, BND_LOG_MAX_SEGMENTS);
	last = cds_list_entry(l.segments.prev, struct bnd_log_segment, node);
	CU_ASSERT(hsh128_equal(
		last->rows[0].stream,
		stream((BND_LOG_MAX_SEGMENTS + 4) * BND_LOG_SEGMENT_ROWS)));
	bnd_log_free(&l);
}

static const struct unit_test tests[] = {
	{ "rows are decoded as encoded", rows_are_decoded_as_encoded },
	{ "each row is written", each_row_is_written },
	{ "old segments are deleted", old_segments_are_deleted },
	{ "the log is bounded", the_log_is_bounded },
};

UNIT_MAIN("bnd_log", tests)
