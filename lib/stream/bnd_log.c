#include "stream/bnd_log.h"

#include <assert.h>
#include <endian.h>
#include <stdlib.h>
#include <string.h>

/* First bytes of the stored form. */
static const char magic[4] = { 'm', 'b', 'l', 1 };

/* Words of a stored row, in network byte order. */
#define ROW_WORDS 4
#define ROW_BYTES (ROW_WORDS * sizeof(uint64_t))

void bnd_log_init(struct bnd_log *l)
{
	memset(l, 0, sizeof(*l));
	CDS_INIT_LIST_HEAD(&l->segments);
}

static void drop_segment(struct bnd_log_segment *s)
{
	cds_list_del(&s->node);
	free(s);
}

void bnd_log_free(struct bnd_log *l)
{
	struct bnd_log_segment *s, *next;

	cds_list_for_each_entry_safe(s, next, &l->segments, node)
		drop_segment(s);
	bnd_log_init(l);
}

static void end_segment(struct bnd_log *l, struct bnd_log_segment *s)
{
	if (s->over)
		return;
	s->over = true;
	l->nr_in_use--;
}

static void end_oldest(struct bnd_log *l)
{
	struct bnd_log_segment *s;

	cds_list_for_each_entry(s, &l->segments, node) {
		if (s->over)
			continue;
		end_segment(l, s);
		return;
	}
}

/* The segment that takes the next row. */
static struct bnd_log_segment *open_segment(struct bnd_log *l)
{
	struct bnd_log_segment *s;

	if (!cds_list_empty(&l->segments)) {
		s = cds_list_entry(l->segments.prev, struct bnd_log_segment,
				   node);
		if (!s->over && s->nr_rows < BND_LOG_SEGMENT_ROWS)
			return s;
	}
	if (l->nr_in_use == BND_LOG_MAX_SEGMENTS)
		end_oldest(l);
	s = calloc(1, sizeof(*s));
	assert(s);
	s->number = l->next_number++;
	l->nr_in_use++;
	cds_list_add_tail(&s->node, &l->segments);
	return s;
}

void bnd_log_add(struct bnd_log *l, struct hsh128 stream,
		 struct bnd_origin origin, int64_t now)
{
	struct bnd_log_segment *s = open_segment(l);

	s->rows[s->nr_rows++] = (struct bnd_log_row){ stream, origin };
	s->added_ms = now;
}

const struct bnd_log_segment *bnd_log_due(struct bnd_log *l, int64_t now)
{
	const struct bnd_log_segment *over = NULL;
	struct bnd_log_segment *s, *next;

	cds_list_for_each_entry_safe(s, next, &l->segments, node) {
		if (now - s->added_ms > BND_LOG_KEEP_MS)
			end_segment(l, s);
		if (s->over && !s->nr_stored)
			drop_segment(s);
		else if (s->over)
			over = over ? over : s;
		else if (s->nr_stored < s->nr_rows)
			return s;
	}
	return over;
}

static struct bnd_log_segment *find_segment(struct bnd_log *l, unsigned number)
{
	struct bnd_log_segment *s;

	cds_list_for_each_entry(s, &l->segments, node) {
		if (s->number == number)
			return s;
	}
	return NULL;
}

void bnd_log_written(struct bnd_log *l, unsigned number, unsigned nr_rows)
{
	struct bnd_log_segment *s = find_segment(l, number);

	if (s && s->nr_stored < nr_rows)
		s->nr_stored = nr_rows;
}

void bnd_log_deleted(struct bnd_log *l, unsigned number)
{
	struct bnd_log_segment *s = find_segment(l, number);

	if (s)
		drop_segment(s);
}

void bnd_log_lost(struct bnd_log *l)
{
	struct bnd_log_segment *s, *next;

	cds_list_for_each_entry_safe(s, next, &l->segments, node) {
		s->nr_stored = 0;
		if (s->over)
			drop_segment(s);
	}
}

/* ---- The stored form ---- */

void bnd_log_encode(const struct bnd_log_segment *s, struct buf *out)
{
	uint64_t words[ROW_WORDS];
	unsigned i;

	buf_add(out, magic, sizeof(magic));
	for (i = 0; i < s->nr_rows; i++) {
		words[0] = htobe64(s->rows[i].stream.hi);
		words[1] = htobe64(s->rows[i].stream.lo);
		words[2] = htobe64(s->rows[i].origin.service);
		words[3] = htobe64(s->rows[i].origin.version);
		buf_add(out, words, sizeof(words));
	}
}

bool bnd_log_decode(const char *value, size_t len, unsigned i,
		    struct bnd_log_row *out)
{
	uint64_t words[ROW_WORDS];

	if (len < sizeof(magic) || memcmp(value, magic, sizeof(magic)) != 0 ||
	    (len - sizeof(magic)) % ROW_BYTES != 0 ||
	    i >= (len - sizeof(magic)) / ROW_BYTES)
		return false;
	memcpy(words, value + sizeof(magic) + i * ROW_BYTES, sizeof(words));
	out->stream.hi = be64toh(words[0]);
	out->stream.lo = be64toh(words[1]);
	out->origin.service = be64toh(words[2]);
	out->origin.version = be64toh(words[3]);
	return true;
}
