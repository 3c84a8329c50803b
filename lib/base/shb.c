#include "base/shb.h"

#include <assert.h>
#include <stdlib.h>

struct shb *shb_new(struct buf *from)
{
	struct shb *s = mem_new(sizeof(*s));

	s->refs = 1;
	s->bytes = *from;
	*from = (struct buf)BUF_INIT;
	return s;
}

struct shb *shb_ref(struct shb *s)
{
	if (s)
		s->refs++;
	return s;
}

void shb_put(struct shb *s)
{
	if (!s)
		return;
	assert(s->refs);
	if (--s->refs)
		return;
	buf_free(&s->bytes);
	free(s);
}
