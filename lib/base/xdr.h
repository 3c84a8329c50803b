/*
 * xdr: XDR routines for types of this project, beside those of libtirpc. Like
 * these they encode or decode, and return FALSE if the buffer ends.
 */
#ifndef XDR_H
#define XDR_H

#include <rpc/rpc.h>
#include <stdbool.h>

#include "base/hsh.h"

static inline bool_t xdr_flag(XDR *x, bool *v)
{
	/* The memory that is decoded into may have any content. */
	bool_t b = x->x_op == XDR_ENCODE && *v;

	if (!xdr_bool(x, &b))
		return FALSE;
	*v = b;
	return TRUE;
}

static inline bool_t xdr_hsh128(XDR *x, struct hsh128 *h)
{
	return xdr_uint64_t(x, &h->hi) && xdr_uint64_t(x, &h->lo);
}

#endif
