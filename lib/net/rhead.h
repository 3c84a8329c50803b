/*
 * rhead: the head of a reply that libcurl receives. libcurl takes a connection that
 * closes after the status line for a whole reply, stores headers without a bound in some
 * versions, and accepts lines that are no fields.
 */
#ifndef RHEAD_H
#define RHEAD_H

#include <stdbool.h>
#include <stddef.h>

/* Bytes of a reply's head, with informational replies before it and trailers. */
#define RHEAD_MAX_BYTES ((size_t)131072)

struct rhead {
	size_t bytes;
	bool complete; /* the empty line after the headers arrived */
	bool coded;    /* there is a Transfer-Encoding */
	bool has_length;
	bool malformed;
};

/*
 * To be called with each line that libcurl reports. False: there are too many bytes, or
 * the line is no field (`malformed`); nothing more is to be read.
 */
bool rhead_line(struct rhead *h, const char *data, size_t len);

/* True if the end of the body is that of the connection, unless the status has none. */
bool rhead_is_unframed(const struct rhead *h);

/* True if the reply with this status has its whole head, and is a final one. */
bool rhead_is_whole(const struct rhead *h, long status);

#endif
