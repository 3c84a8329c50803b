#include "io/hmsg.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* ---- Messages ---- */

void hmsg_reset(struct hmsg *m)
{
	buf_free(&m->text);
	memset(m, 0, sizeof(*m));
}

void hmsg_free(struct hmsg *m)
{
	buf_free(&m->text);
}

const char *hmsg_url(const struct hmsg *m)
{
	return m->text.data ? m->text.data + m->url : "";
}

const char *hmsg_name(const struct hmsg *m, unsigned i)
{
	return m->text.data + m->headers[i].name;
}

const char *hmsg_value(const struct hmsg *m, unsigned i)
{
	return m->text.data + m->headers[i].value;
}

const char *hmsg_find(const struct hmsg *m, const char *name)
{
	unsigned i;

	for (i = 0; i < m->nr_headers; i++) {
		if (!strcasecmp(hmsg_name(m, i), name))
			return hmsg_value(m, i);
	}
	return NULL;
}

unsigned hmsg_count(const struct hmsg *m, const char *name)
{
	unsigned i, n = 0;

	for (i = 0; i < m->nr_headers; i++)
		n += !strcasecmp(hmsg_name(m, i), name);
	return n;
}

static bool list_has_token(const char *list, const char *token)
{
	const size_t len = strlen(token);
	const char *at = list;
	size_t n;

	while (*at) {
		at += strspn(at, ", \t");
		n = strcspn(at, ", \t;");
		if (n == len && !strncasecmp(at, token, len))
			return true;
		at += strcspn(at, ",");
	}
	return false;
}

bool hmsg_has_token(const struct hmsg *m, const char *name, const char *token)
{
	unsigned i;

	for (i = 0; i < m->nr_headers; i++) {
		if (!strcasecmp(hmsg_name(m, i), name) &&
		    list_has_token(hmsg_value(m, i), token))
			return true;
	}
	return false;
}

bool hmsg_is_hop_by_hop(const struct hmsg *m, unsigned i)
{
	static const char *const hop[] = {
		"Connection",	    "Keep-Alive",
		"Proxy-Connection", "Transfer-Encoding",
		"Content-Length",   "TE",
		"Trailer",	    "Upgrade",
		"Expect",	    "Proxy-Authorization",
	};
	const char *name = hmsg_name(m, i);
	size_t k;

	for (k = 0; k < sizeof(hop) / sizeof(hop[0]); k++) {
		if (!strcasecmp(name, hop[k]))
			return true;
	}
	return hmsg_has_token(m, "Connection", name);
}

bool hmsg_is_token(const char *data, size_t len)
{
	static const char punctuation[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)data[i]) &&
		    (!data[i] || !strchr(punctuation, data[i])))
			return false;
	}
	return len > 0;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

bool hmsg_is_chunked(const char *value, size_t len)
{
	static const char chunked[] = "chunked";

	while (len && is_blank(*value)) {
		value++;
		len--;
	}
	while (len && is_blank(value[len - 1]))
		len--;
	return len == strlen(chunked) && !strncasecmp(value, chunked, len);
}

bool hmsg_has_no_body(int status)
{
	return status < 200 || status == 204 || status == 304;
}

/* ---- Parsing ---- */

static uint32_t end_string(struct hmsg *m)
{
	buf_add(&m->text, "", 1);
	return (uint32_t)m->text.len;
}

static bool add_head_bytes(struct hparse *p, size_t len)
{
	p->head_bytes += len;
	if (p->max_head_bytes && p->head_bytes > p->max_head_bytes)
		p->too_large = true;
	return !p->too_large;
}

static int on_begin(http_parser *hp)
{
	struct hparse *p = hp->data;

	hmsg_reset(&p->msg);
	p->head_bytes = 0;
	p->in_message = true;
	p->in_body = false;
	p->in_value = false;
	return 0;
}

static int on_url(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	if (!add_head_bytes(p, len))
		return 1;
	buf_add(&p->msg.text, at, len);
	return 0;
}

/*
 * A name can arrive in pieces. The first piece of a name first terminates the
 * string before it: the URL, or the value of the previous header.
 */
static int on_field(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;
	struct hmsg *m = &p->msg;

	if (!add_head_bytes(p, len) || p->in_body)
		return p->in_body ? 0 : 1;
	if (p->in_value || !m->nr_headers) {
		if (m->nr_headers == HMSG_MAX_HEADERS) {
			p->too_large = true;
			return 1;
		}
		m->headers[m->nr_headers++].name = end_string(m);
		p->in_value = false;
	}
	buf_add(&m->text, at, len);
	return 0;
}

static int on_value(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;
	struct hmsg *m = &p->msg;

	if (!add_head_bytes(p, len) || p->in_body)
		return p->in_body ? 0 : 1;
	if (!p->in_value) {
		m->headers[m->nr_headers - 1].value = end_string(m);
		p->in_value = true;
	}
	buf_add(&m->text, at, len);
	return 0;
}

/*
 * http-parser as distributions build it (not strict) accepts spaces in header
 * names. "Host :" would not be found here as Host, but the next server might
 * read it as such.
 */
static bool header_names_are_tokens(const struct hmsg *m)
{
	unsigned i;

	for (i = 0; i < m->nr_headers; i++) {
		const char *name = hmsg_name(m, i);

		if (!hmsg_is_token(name, strlen(name)))
			return false;
	}
	return true;
}

/* RFC 9110, 15: others are invalid. Another protocol (101) is not asked for. */
static bool is_status(unsigned status)
{
	return status >= 100 && status <= 599 && status != 101;
}

/* http-parser reads such a response as it is, to the end of the connection. */
static bool has_unknown_coding(const struct hmsg *m)
{
	const char *v = hmsg_find(m, "Transfer-Encoding");

	return v && (hmsg_count(m, "Transfer-Encoding") > 1 ||
		     !hmsg_is_chunked(v, strlen(v)));
}

static int on_headers(http_parser *hp)
{
	struct hparse *p = hp->data;
	struct hmsg *m = &p->msg;
	int ret;

	end_string(m);
	if (!header_names_are_tokens(m))
		return -1;
	if (hp->type == HTTP_RESPONSE &&
	    (!is_status(hp->status_code) || has_unknown_coding(m)))
		return -1;
	m->method = hp->method;
	m->status = hp->status_code;
	m->keep_alive = http_should_keep_alive(hp);
	m->chunked = hp->flags & F_CHUNKED;
	m->has_length = hp->flags & F_CONTENTLENGTH;
	m->length = m->has_length ? hp->content_length : 0;
	p->in_body = true;
	ret = p->vt->head(p);
	if (!ret && hp->type == HTTP_RESPONSE && hmsg_has_no_body(m->status))
		ret = 1;
	return ret;
}

static int on_body(http_parser *hp, const char *at, size_t len)
{
	struct hparse *p = hp->data;

	p->vt->body(p, at, len);
	if (p->stop)
		http_parser_pause(hp, 1);
	return 0;
}

static int on_complete(http_parser *hp)
{
	struct hparse *p = hp->data;

	p->in_message = false;
	p->vt->end(p);
	http_parser_pause(hp, 1); /* the next bytes are a head */
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void hparse_init(struct hparse *p, bool requests, size_t max_head_bytes,
		 const struct hparse_vtable *vt, void *owner)
{
	memset(p, 0, sizeof(*p));
	p->vt = vt;
	p->owner = owner;
	p->max_head_bytes = max_head_bytes;
	http_parser_init(&p->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	p->parser.data = p;
}

void hparse_free(struct hparse *p)
{
	hmsg_free(&p->msg);
}

static bool in_head(const struct hparse *p)
{
	return !p->in_message || !p->in_body;
}

/* Length of the first line with its LF, or of all bytes if there is none. */
static size_t line_length(const char *data, size_t len)
{
	const char *end = memchr(data, '\n', len);

	return end ? (size_t)(end - data) + 1 : len;
}

/*
 * A line that begins with a blank would continue the field before it (RFC 9112, 5.2).
 * Recipients differ in what value that field has then, and which framing.
 */
static bool is_folded(const struct hparse *p, char first)
{
	return p->in_message && p->at_line_start && is_blank(first);
}

/* Parses up to the end of a line of the head, or of the message. */
static enum hparse_result parse_part(struct hparse *p, const char *data,
				     size_t len, size_t *used)
{
	const bool head = in_head(p);
	const size_t n = head ? line_length(data, len) : len;
	enum http_errno error;

	*used = 0;
	if (head && is_folded(p, data[0]))
		return HPARSE_MALFORMED;
	if (HTTP_PARSER_ERRNO(&p->parser) == HPE_PAUSED)
		http_parser_pause(&p->parser, 0);
	*used = http_parser_execute(&p->parser, &callbacks, data, n);
	p->at_line_start = in_head(p) && *used && data[*used - 1] == '\n';
	error = HTTP_PARSER_ERRNO(&p->parser);
	if (p->too_large || error == HPE_HEADER_OVERFLOW)
		return HPARSE_HEAD_TOO_LARGE;
	/* Protocol upgrades and CONNECT are not supported. */
	if (p->parser.upgrade)
		return HPARSE_MALFORMED;
	if (error == HPE_PAUSED && p->stop)
		return HPARSE_STOPPED;
	return error == HPE_OK || error == HPE_PAUSED ? HPARSE_MORE
						      : HPARSE_MALFORMED;
}

enum hparse_result hparse_feed(struct hparse *p, const char *data, size_t len,
			       size_t *used)
{
	enum hparse_result r = HPARSE_MORE;
	size_t n;

	p->stop = false;
	*used = 0;
	while (r == HPARSE_MORE && *used < len) {
		r = parse_part(p, data + *used, len - *used, &n);
		*used += n;
	}
	return r;
}

bool hparse_eof(struct hparse *p)
{
	if (!p->in_message || !p->in_body)
		return false;
	http_parser_execute(&p->parser, &callbacks, NULL, 0);
	return !p->in_message;
}

/* ---- Writing ---- */

void hmsg_put_request(struct buf *out, const char *method, const char *url)
{
	buf_str(out, method);
	buf_str(out, " ");
	buf_str(out, url);
	buf_str(out, " HTTP/1.1\r\n");
}

void hmsg_put_status(struct buf *out, int status)
{
	buf_fmt(out, "HTTP/1.1 %d %s\r\n", status,
		http_status_str((enum http_status)status));
}

void hmsg_put(struct buf *out, const char *name, const char *value)
{
	buf_str(out, name);
	buf_str(out, ": ");
	buf_str(out, value);
	buf_str(out, "\r\n");
}

void hmsg_put_int(struct buf *out, const char *name, int64_t value)
{
	buf_fmt(out, "%s: %lld\r\n", name, (long long)value);
}

void hmsg_put_end(struct buf *out)
{
	buf_str(out, "\r\n");
}

void hmsg_put_chunk(struct buf *out, const void *data, size_t len)
{
	buf_fmt(out, "%zx\r\n", len);
	buf_add(out, data, len);
	buf_str(out, "\r\n");
}

bool hmsg_query(const char *url, const char *name, char *out, size_t size)
{
	const char *at = strchr(url, '?');
	const size_t len = strlen(name);
	size_t n;

	while (at && *at) {
		at++;
		n = strcspn(at, "&");
		if (n > len && at[len] == '=' && !strncmp(at, name, len)) {
			n -= len + 1;
			if (n >= size)
				return false;
			memcpy(out, at + len + 1, n);
			out[n] = '\0';
			return true;
		}
		at = strchr(at, '&');
	}
	return false;
}
