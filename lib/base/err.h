/*
 * err: the error value that is passed down a call chain.
 *
 * A function that can fail takes a `struct err *` as its last parameter and
 * returns 0 or -1. Only broken invariants stop the process (assert); input
 * from outside never does.
 */
#ifndef ERR_H
#define ERR_H

#include <stdbool.h>

enum err_code {
	ERR_NONE = 0,
	ERR_INVALID,   /* the input is wrong; trying again will not help */
	ERR_NOT_FOUND, /* the named thing does not exist */
	ERR_CONFLICT,  /* somebody else changed it first */
	ERR_TIMEOUT,   /* no answer in time: the effect is unknown */
	ERR_REFUSED,   /* no connection: nothing was sent */
	ERR_IO,	       /* broken half-way: the effect is unknown */
	ERR_FULL,      /* a bound was reached */
	ERR_DENIED,    /* not allowed to this caller */
};

struct err {
	enum err_code code;
	char text[256];
};

#define ERR_INIT             \
	{                    \
		ERR_NONE, "" \
	}

/* Sets *e (which may be NULL) and returns -1, for `return err_set(...)`. */
int err_set(struct err *e, enum err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* True if an error is set: the one predicate for testing outcomes. */
bool err_is_set(const struct err *e);

/* The name of a code, for logs; never NULL. */
const char *err_name(enum err_code code);

#endif
