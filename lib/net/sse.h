/*
 * sse: an incremental parser of server-sent events.
 */
#ifndef SSE_H
#define SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"

/* A line, or the data of an event, longer than this ends the stream as broken. */
#define SSE_MAX_LINE (1024 * 1024)
#define SSE_MAX_DATA (1024 * 1024)

struct sse_event {
	const char *id;	  /* "" if none */
	const char *name; /* "message" if none */
	const char *data; /* lines joined by a newline */
};

struct sse {
	struct buf line;
	struct buf data;
	char id[64];
	char name[32];
	bool has_data;
};

void sse_init(struct sse *s);
void sse_free(struct sse *s);

/*
 * Takes bytes in and calls `fn` for each complete event. Returns false when a
 * line or an event's data is too long, or `fn` returned false.
 */
bool sse_feed(struct sse *s, const char *bytes, size_t len,
	      bool (*fn)(const struct sse_event *ev, void *arg), void *arg);

#endif
