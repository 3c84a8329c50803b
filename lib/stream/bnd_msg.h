/*
 * bnd_msg: the datagram by which entries report bindings of streams (bnd.h) to
 * each other and ask for them, in XDR. It is sent beside gossip, from and to the
 * same sockets; releases without it drop it, as they drop stray datagrams.
 */
#ifndef BND_MSG_H
#define BND_MSG_H

#include <stddef.h>

#include "stream/bnd.h"

#define BND_MSG_MAX_ROWS 24
#define BND_MSG_MAX_BYTES 1400 /* of an encoded datagram: no fragments */

enum bnd_msg_kind {
	BND_REPORT, /* the bindings of `rows` */
	BND_QUERY,  /* asks for the bindings of `rows`, with their services */
	BND_ANSWER, /* to a query */
};

struct bnd_msg_row {
	struct hsh128 stream;
	struct bnd_origin
		origin; /* of a query, and if not `known`: the service */
	bool known;	/* of an answer: the sender has the binding */
	bool mixed;	/* of an answer: the sender knows of several versions */
};

struct bnd_msg {
	enum bnd_msg_kind kind;
	unsigned nr_rows;
	struct bnd_msg_row rows[BND_MSG_MAX_ROWS];
};

/* Encodes `m` into `out` of BND_MSG_MAX_BYTES; returns the length in bytes. */
size_t bnd_msg_encode(const struct bnd_msg *m, char *out);

/* Returns false if the bytes are no such datagram; `m` is then undefined. */
bool bnd_msg_decode(struct bnd_msg *m, const char *in, size_t len);

#endif
