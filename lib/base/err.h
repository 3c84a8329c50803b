/*
 * err: error. The value in which a function reports an error to its callers.
 *
 * A function that can fail takes a `struct err *` as its last parameter and
 * returns 0 or -1. Only violated invariants abort the process (assert);
 * external input never does.
 */
#ifndef ERR_H
#define ERR_H

#include <stdbool.h>

enum err_code {
	ERR_NONE = 0,
	ERR_INVALID,   /* wrong input; a retry fails too */
	ERR_NOT_FOUND, /* the named object does not exist */
	ERR_CONFLICT,  /* changed concurrently by another writer */
	ERR_TIMEOUT,   /* no response in time: effect unknown */
	ERR_REFUSED,   /* no connection: nothing was sent */
	ERR_IO,	       /* failed part-way: effect unknown */
	ERR_FULL,      /* a limit was reached */
	ERR_DENIED,    /* the caller has no permission */
};

struct err {
	enum err_code code;
	char text[256]; /* message, truncated if longer */
};

#define ERR_INIT             \
	{                    \
		ERR_NONE, "" \
	}

/* Sets *e, unless `e` is NULL. Returns -1, for `return err_set(...)`. */
int err_set(struct err *e, enum err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* True if *e holds an error. */
bool err_is_set(const struct err *e);

/* Name of a code, for logs; "?" if unknown, never NULL. */
const char *err_name(enum err_code code);

#endif
