#include "net/rhead.h"

#include <string.h>

bool rhead_line(struct rhead *h, const char *data, size_t len)
{
	static const char version[] = "HTTP/";

	h->bytes += len;
	if (len >= strlen(version) && !memcmp(data, version, strlen(version)))
		h->complete = false; /* a reply after an informational one */
	else if (len && (data[0] == '\r' || data[0] == '\n'))
		h->complete = true;
	return h->bytes <= RHEAD_MAX_BYTES;
}

bool rhead_is_whole(const struct rhead *h, long status)
{
	return h->complete && status >= 200;
}
