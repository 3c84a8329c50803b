#include "store/snap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/zip.h"

/* In front of each page: its length, and a line feed. */
#define LENGTH_DIGITS 10
#define LENGTH_FORMAT "%010zu\n"
#define LENGTH_SIZE (LENGTH_DIGITS + 1)

void snap_free(struct snap *s)
{
	buf_free(&s->pages);
	buf_free(&s->packed);
	memset(s, 0, sizeof(*s));
}

void snap_begin(struct snap *s)
{
	snap_abort(s);
	s->listing = true;
}

void snap_abort(struct snap *s)
{
	buf_free(&s->pages);
	s->first_rev = 0;
	s->after[0] = '\0';
	s->listing = false;
}

void snap_drop(struct snap *s)
{
	buf_free(&s->packed);
	s->revision = 0;
}

void snap_add_page(struct snap *s, const char *body, size_t len,
		   const char *last_key, bool more, int64_t revision)
{
	if (!s->listing)
		return;
	if (!s->first_rev)
		s->first_rev = revision;
	buf_fmt(&s->pages, LENGTH_FORMAT, len);
	buf_add(&s->pages, body, len);
	if (more && last_key) {
		str_copy(s->after, last_key, sizeof(s->after));
		return;
	}
	snap_drop(s);
	if (!zip_pack(s->pages.data, s->pages.len, &s->packed))
		buf_add(&s->packed, s->pages.data, s->pages.len);
	s->revision = s->first_rev;
	snap_abort(s);
}

void snap_adopt(struct snap *s, const char *body, size_t len, int64_t revision)
{
	snap_abort(s);
	snap_drop(s);
	buf_add(&s->packed, body, len);
	s->revision = revision;
}

const struct buf *snap_body(const struct snap *s)
{
	return &s->packed;
}

const char *snap_next_page(const struct buf *listing, size_t *at, size_t *len)
{
	const char *page;
	char *end;

	if (listing->len - *at < LENGTH_SIZE)
		return NULL;
	*len = strtoul(listing->data + *at, &end, 10);
	if (end != listing->data + *at + LENGTH_DIGITS || *end != '\n' ||
	    *len > listing->len - *at - LENGTH_SIZE)
		return NULL;
	page = listing->data + *at + LENGTH_SIZE;
	*at += LENGTH_SIZE + *len;
	return page;
}
