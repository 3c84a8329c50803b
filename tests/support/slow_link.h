/*
 * slow_link: answers of a stand-in that go out piece by piece, all sharing one
 * link of so many bytes a second.
 */
#ifndef SLOW_LINK_H
#define SLOW_LINK_H

#include "base/buf.h"
#include "io/hsc.h"

struct slow_link {
	int bytes_per_s;	       /* 0: answers go out at once */
	struct cds_list_head sendings; /* under way */
};

void slow_link_init(struct slow_link *l);

/* Sends an answer and ends it; takes over `out`. */
void slow_link_send(struct slow_link *l, struct hsc *c, struct buf *out);

/* The connection is gone: what is left of its answer is dropped. */
void slow_link_gone(struct slow_link *l, const struct hsc *c);

/* Sends what the link carries in so many seconds. */
void slow_link_tick(struct slow_link *l, double seconds);

#endif
