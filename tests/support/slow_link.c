#include "support/slow_link.h"

#include <stdlib.h>

struct sending {
	struct cds_list_head node;
	struct hsc *conn;
	struct buf out;
	size_t sent;
};

void slow_link_init(struct slow_link *l)
{
	l->bytes_per_s = 0;
	CDS_INIT_LIST_HEAD(&l->sendings);
}

void slow_link_send(struct slow_link *l, struct hsc *c, struct buf *out)
{
	struct sending *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->conn = c;
	s->out = *out;
	*out = (struct buf)BUF_INIT;
	cds_list_add_tail(&s->node, &l->sendings);
}

static void end(struct sending *s)
{
	cds_list_del(&s->node);
	buf_free(&s->out);
	free(s);
}

void slow_link_gone(struct slow_link *l, const struct hsc *c)
{
	struct sending *s, *next;

	cds_list_for_each_entry_safe(s, next, &l->sendings, node) {
		if (s->conn == c)
			end(s);
	}
}

static void send_piece(const struct slow_link *l, struct sending *s,
		       size_t share)
{
	struct hsc *c = s->conn;
	size_t piece = s->out.len - s->sent;

	if (l->bytes_per_s && piece > share)
		piece = share;
	hsc_write(c, s->out.data + s->sent, piece);
	s->sent += piece;
	if (s->sent < s->out.len)
		return;
	end(s);
	hsc_done(c, false);
}

void slow_link_tick(struct slow_link *l, double seconds)
{
	struct sending *s, *next;
	size_t n = 0, share;

	cds_list_for_each_entry(s, &l->sendings, node)
		n++;
	if (!n)
		return;
	share = (size_t)(l->bytes_per_s * seconds) / n + 1;
	cds_list_for_each_entry_safe(s, next, &l->sendings, node) {
		send_piece(l, s, share);
	}
}
