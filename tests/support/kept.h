/*
 * kept: a caller's end of a connection to an entry, kept from request to request,
 * and the answers on it as far as they came.
 *
 * Times are monotonic, in ms.
 */
#ifndef KEPT_H
#define KEPT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

#define KEPT_MAX_ENTRIES 200

struct kept_entry {
	int number;
	char ip[32];
	int port;
};

/* An answer; zeroed: nothing of it came. */
struct kept_answer {
	struct buf raw, body;
	int status;
	bool complete, closes; /* `closes`: the connection ends with it */
	int64_t retry_after_ms;
};

/* Reads lines "N ADDRESS", KEPT_MAX_ENTRIES at most; returns their number. */
uint32_t kept_list(const char *file, struct kept_entry *list);

/*
 * Connects to the entry. `receive_buffer`: its size in bytes, 0: as the system has
 * it. Returns a non-blocking socket; -1: refused, or not connected in a second.
 */
int kept_connect(const struct kept_entry *e, int receive_buffer);

/* True if the entry has closed the connection while it was idle. */
bool kept_is_closed(int fd);

/* False: the connection ended, or it is `until_ms`. */
bool kept_send(int fd, const struct buf *out, int64_t until_ms);

/*
 * Waits for more of the answer and reads `max` bytes of it at most, 16384 or less.
 * False: the connection ended, or it is `until_ms`.
 */
bool kept_read(int fd, struct kept_answer *a, size_t max, int64_t until_ms);

/* Parses all that was received of the answer; `ended`: nothing more comes. */
void kept_parse(struct kept_answer *a, bool ended);

void kept_free(struct kept_answer *a);

#endif
