#include "io/mem.h"

#include <assert.h>
#include <string.h>

void mem_init(struct mem *m, const struct clk *clk, size_t limit)
{
	memset(m, 0, sizeof(*m));
	m->clk = clk;
	m->limit = limit;
	CDS_INIT_LIST_HEAD(&m->large);
}

void mem_add(struct mem_holder *h, const struct mem_vtable *vt)
{
	memset(h, 0, sizeof(*h));
	h->vt = vt;
}

static bool is_large(size_t bytes)
{
	return bytes > MEM_SMALL_BYTES;
}

/* Bytes held times ms, up to `now`. */
static double held(const struct mem_holder *h, int64_t now)
{
	return h->byte_ms + (double)h->bytes * (double)(now - h->changed_ms);
}

static void set_large(struct mem *m, struct mem_holder *h, size_t bytes)
{
	const int64_t now = clk_ms(m->clk);

	if (!is_large(h->bytes)) {
		h->byte_ms = 0;
		cds_list_add_tail(&h->node, &m->large);
	} else {
		h->byte_ms = held(h, now);
		m->large_bytes -= h->bytes;
	}
	h->changed_ms = now;
	if (is_large(bytes))
		m->large_bytes += bytes;
	else
		cds_list_del(&h->node);
}

void mem_hold(struct mem *m, struct mem_holder *h, enum mem_rank rank,
	      size_t bytes)
{
	h->rank = rank;
	if (bytes == h->bytes)
		return;
	if (is_large(bytes) || is_large(h->bytes))
		set_large(m, h, bytes);
	assert(m->bytes >= h->bytes);
	m->bytes += bytes - h->bytes;
	h->bytes = bytes;
}

/* True if `a` is to be given up before `b`. */
static bool goes_first(const struct mem_holder *a, const struct mem_holder *b,
		       int64_t now)
{
	const double x = held(a, now), y = held(b, now);

	if (a->rank != b->rank)
		return a->rank < b->rank;
	return x > y || (x >= y && a->bytes > b->bytes);
}

struct mem_holder *mem_pick(const struct mem *m)
{
	struct mem_holder *h, *first = NULL;
	int64_t now;

	if (m->large_bytes <= m->limit)
		return NULL;
	now = clk_ms(m->clk);
	cds_list_for_each_entry(h, &m->large, node) {
		if (!first || goes_first(h, first, now))
			first = h;
	}
	return first;
}

unsigned long mem_nr_shed(const struct mem *m)
{
	unsigned long n = 0;
	int i;

	for (i = 0; i < MEM_RANKS; i++)
		n += m->shed[i];
	return n;
}

void mem_relieve(struct mem *m)
{
	struct mem_holder *h;

	while ((h = mem_pick(m))) {
		const size_t before = m->large_bytes;
		const enum mem_rank rank = h->rank;

		if (h->vt->shed(h))
			m->shed[rank]++;
		if (m->large_bytes >= before)
			return; /* the rest is given up at the next call */
	}
}
