#include "stream/bnd_msg.h"

#include "base/xdr.h"

/* First word of a datagram, unlike that of gossip. */
#define BND_MAGIC 0x6d646201

static bool_t xdr_row(XDR *x, struct bnd_msg_row *r)
{
	return xdr_hsh128(x, &r->stream) &&
	       xdr_uint64_t(x, &r->origin.service) &&
	       xdr_uint64_t(x, &r->origin.version) && xdr_flag(x, &r->known) &&
	       xdr_flag(x, &r->mixed);
}

static bool_t xdr_msg(XDR *x, struct bnd_msg *m)
{
	uint32_t magic = BND_MAGIC, kind = m->kind;
	unsigned i;

	if (!xdr_uint32_t(x, &magic) || magic != BND_MAGIC ||
	    !xdr_uint32_t(x, &kind) || kind > BND_ANSWER ||
	    !xdr_u_int(x, &m->nr_rows) || m->nr_rows > BND_MSG_MAX_ROWS)
		return FALSE;
	m->kind = (enum bnd_msg_kind)kind;
	for (i = 0; i < m->nr_rows; i++) {
		if (!xdr_row(x, &m->rows[i]))
			return FALSE;
	}
	return TRUE;
}

size_t bnd_msg_encode(const struct bnd_msg *m, char *out)
{
	struct bnd_msg copy = *m;
	size_t n = 0;
	XDR x;

	xdrmem_create(&x, out, BND_MSG_MAX_BYTES, XDR_ENCODE);
	if (xdr_msg(&x, &copy))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	return n;
}

bool bnd_msg_decode(struct bnd_msg *m, const char *in, size_t len)
{
	bool ok;
	XDR x;

	/* XDR only reads from the buffer when it decodes. */
	xdrmem_create(&x, (char *)in, (u_int)len, XDR_DECODE);
	ok = xdr_msg(&x, m) && xdr_getpos(&x) == len;
	xdr_destroy(&x);
	return ok;
}
