#include "net/rhead.h"

#include <string.h>
#include <strings.h>

#include "io/hmsg.h"

static bool is_value(const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		const unsigned char c = (unsigned char)data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static bool has_name(const char *data, size_t len, const char *name)
{
	return len == strlen(name) && !strncasecmp(data, name, len);
}

/* True for the first Transfer-Encoding of a head, if it is known. */
static bool is_known_coding(struct rhead *h, const char *value, size_t len)
{
	const bool first = !h->coded;

	h->coded = true;
	return first && hmsg_is_chunked(value, len);
}

/* A line without its CRLF. libcurl accepts others, and may frame the body by them. */
static bool is_field(struct rhead *h, const char *data, size_t len)
{
	const char *colon = memchr(data, ':', len);
	const size_t name = colon ? (size_t)(colon - data) : 0;

	if (!colon || !hmsg_is_token(data, name) ||
	    !is_value(colon + 1, len - name - 1))
		return false;
	if (has_name(data, name, "Content-Length"))
		h->has_length = true;
	return !has_name(data, name, "Transfer-Encoding") ||
	       is_known_coding(h, colon + 1, len - name - 1);
}

static bool is_status_line(const char *data, size_t len)
{
	static const char version[] = "HTTP/";

	return len >= strlen(version) &&
	       !memcmp(data, version, strlen(version));
}

static size_t without_end(const char *data, size_t len)
{
	if (len && data[len - 1] == '\n')
		len--;
	if (len && data[len - 1] == '\r')
		len--;
	return len;
}

bool rhead_line(struct rhead *h, const char *data, size_t len)
{
	const size_t n = without_end(data, len);

	h->bytes += len;
	if (!n) {
		h->complete = true;
	} else if (is_status_line(data, n)) {
		h->complete = false; /* a reply after an informational one */
		h->coded = h->has_length = false;
	} else if (!is_field(h, data, n)) {
		h->malformed = true;
	}
	return h->bytes <= RHEAD_MAX_BYTES && !h->malformed;
}

bool rhead_is_unframed(const struct rhead *h)
{
	return !h->coded && !h->has_length;
}

bool rhead_is_whole(const struct rhead *h, long status)
{
	return h->complete && !h->malformed && status >= 200 && status <= 599;
}
