/*
 * buf: buffer. A growable byte string that is always followed by a NUL.
 *
 * The process aborts when memory is exhausted. Initialize with BUF_INIT.
 */
#ifndef BUF_H
#define BUF_H

#include <stddef.h>

struct buf {
	char *data; /* owned; NULL while empty */
	size_t len; /* bytes without the NUL */
	size_t cap; /* bytes allocated */
};

#define BUF_INIT           \
	{                  \
		NULL, 0, 0 \
	}

/* Declares a buffer that is freed when it goes out of scope. */
#define BUF_AUTO __attribute__((cleanup(buf_free))) struct buf

/* Frees the memory; the buffer is empty and can be used again. */
void buf_free(struct buf *b);

/* Empties the buffer and keeps its memory. */
void buf_reset(struct buf *b);

/* These append `len` bytes, a C string, or text formatted as by printf. */
void buf_add(struct buf *b, const void *data, size_t len);
void buf_str(struct buf *b, const char *s);
void buf_fmt(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends `s` as a JSON string literal, escaped and with quotes. */
void buf_json(struct buf *b, const char *s);

/* Shrinks the allocation to the content. */
void buf_trim(struct buf *b);

/* Removes the first `n` bytes; `n` is at most `len`. */
void buf_shift(struct buf *b, size_t n);

/* The content as a C string; "" while empty. Valid until the next change. */
const char *buf_cstr(const struct buf *b);

/*
 * Like calloc (zeroed memory) and strdup, but abort the process when memory is
 * exhausted. To be freed with free.
 */
void *mem_new(size_t size);
char *mem_dup(const char *s);

/* Attribute of a pointer variable: free() when it goes out of scope. */
#define MEM_AUTO __attribute__((cleanup(mem_free_ptr)))
void mem_free_ptr(void *pp);

/*
 * Copies a C string to `dst` of `size` bytes, truncated if it is longer, and
 * always terminated. `size` is positive. Returns `dst`.
 */
char *str_copy(char *dst, const char *src, size_t size);

#endif
