#include "base/buf.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void buf_free(struct buf *b)
{
	free(b->data);
	b->data = NULL;
	b->len = b->cap = 0;
}

void buf_reset(struct buf *b)
{
	b->len = 0;
	if (b->data)
		b->data[0] = '\0';
}

/*
 * A buffer doubles up to this size and grows by an eighth beyond it: what large
 * buffers have to spare counts, and the allocator extends them in place.
 */
#define DOUBLING_BYTES 65536

static void buf_reserve(struct buf *b, size_t extra)
{
	const size_t want = b->len + extra + 1;
	size_t cap = b->cap ? b->cap : 64;

	if (want <= b->cap)
		return;
	while (cap < want)
		cap += cap < DOUBLING_BYTES ? cap : cap / 8;
	b->data = realloc(b->data, cap);
	if (!b->data)
		abort();
	b->cap = cap;
}

void buf_add(struct buf *b, const void *data, size_t len)
{
	buf_reserve(b, len);
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void buf_str(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void buf_fmt(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	assert(n >= 0);
	buf_reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void buf_json(struct buf *b, const char *s)
{
	buf_str(b, "\"");
	for (; *s; s++) {
		const unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			buf_fmt(b, "\\%c", c);
		else if (c == '\n')
			buf_str(b, "\\n");
		else if (c < 0x20)
			buf_fmt(b, "\\u%04x", c);
		else
			buf_add(b, s, 1);
	}
	buf_str(b, "\"");
}

void buf_trim(struct buf *b)
{
	char *p;

	if (!b->data || b->cap == b->len + 1)
		return;
	p = realloc(b->data, b->len + 1);
	if (!p)
		return;
	b->data = p;
	b->cap = b->len + 1;
}

void buf_shift(struct buf *b, size_t n)
{
	assert(n <= b->len);
	if (!n)
		return;
	memmove(b->data, b->data + n, b->len - n + 1);
	b->len -= n;
}

const char *buf_cstr(const struct buf *b)
{
	return b->data ? b->data : "";
}

void *mem_new(size_t size)
{
	void *p = calloc(1, size ? size : 1);

	if (!p)
		abort();
	return p;
}

char *mem_dup(const char *s)
{
	const size_t n = strlen(s) + 1;
	char *p = mem_new(n);

	memcpy(p, s, n);
	return p;
}

void mem_free_ptr(void *pp)
{
	void **p = pp;

	free(*p);
	*p = NULL;
}

char *str_copy(char *dst, const char *src, size_t size)
{
	const size_t n = strlen(src);
	const size_t k = n < size ? n : size - 1;

	memcpy(dst, src, k);
	dst[k] = '\0';
	return dst;
}
