/*
 * hmsg: HTTP message; hparse: HTTP parser. An incremental HTTP/1.1 parser
 * around the http-parser library, and functions that write message heads.
 *
 * "Head" means the request or status line and the headers. The library checks
 * the framing: it rejects two Content-Length headers, Content-Length together
 * with chunked encoding, and unknown transfer codings of requests. Those of
 * responses, header names and the range of a status are checked here, and that no
 * header has several lines.
 */
#ifndef HMSG_H
#define HMSG_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

/* Maximum number of headers of a message; clients send about ten. */
#define HMSG_MAX_HEADERS 96

struct hmsg_header {
	uint32_t name, value; /* offsets of C strings in hmsg.text */
};

/* The parsed head of a request or response. */
struct hmsg {
	struct buf text; /* URL, header names and values, each ended by NUL */
	uint32_t url;	 /* offset in `text`; requests only */
	struct hmsg_header headers[HMSG_MAX_HEADERS];
	unsigned nr_headers;
	int status; /* responses only */
	enum http_method method;
	bool keep_alive;
	bool chunked;
	bool has_length; /* there is a Content-Length */
	uint64_t length; /* of the body, in bytes; 0 unless has_length */
};

/* Empties the message and frees its memory. */
void hmsg_reset(struct hmsg *m);

/* Frees the memory only; the other members keep stale values. */
void hmsg_free(struct hmsg *m);

/*
 * The strings that these functions return belong to the message and are valid
 * until it is parsed into again, reset or freed. `i` is below nr_headers.
 */
const char *hmsg_url(const struct hmsg *m);
const char *hmsg_name(const struct hmsg *m, unsigned i);
const char *hmsg_value(const struct hmsg *m, unsigned i);

/* Value of the first header `name` (case-insensitive), or NULL. */
const char *hmsg_find(const struct hmsg *m, const char *name);

/* Number of headers `name` (case-insensitive). */
unsigned hmsg_count(const struct hmsg *m, const char *name);

/*
 * True if a header `name` lists `token` among its comma-separated elements.
 * Both are case-insensitive; parameters after ';' are ignored.
 */
bool hmsg_has_token(const struct hmsg *m, const char *name, const char *token);

/*
 * True if header `i` is hop-by-hop: it applies to one connection only and must
 * not be forwarded. Includes the headers that Connection lists.
 */
bool hmsg_is_hop_by_hop(const struct hmsg *m, unsigned i);

/* True if the bytes are a token (RFC 9110, 5.6.2), as names of fields are. */
bool hmsg_is_token(const char *data, size_t len);

/*
 * True if the value of a response's Transfer-Encoding is `chunked` alone. Other codings are
 * not asked for, and nothing here decodes them.
 */
bool hmsg_is_chunked(const char *value, size_t len);

/*
 * True if a response with this status has no body, whatever its head says of a length or
 * a coding (RFC 9112, 6.3).
 */
bool hmsg_has_no_body(int status);

struct hparse;

struct hparse_vtable {
	/*
	 * The head is complete, in p->msg. Returns 0 to parse the body, 1 if
	 * the message has none whatever its headers say (response to HEAD), or
	 * -1 to reject it: hparse_feed then returns HPARSE_MALFORMED.
	 */
	int (*head)(struct hparse *p);
	/* The next piece of the body, without chunk framing. */
	void (*body)(struct hparse *p, const char *data, size_t len);
	/* The message is complete. */
	void (*end)(struct hparse *p);
};

/* Parser of the messages that arrive on one connection. */
struct hparse {
	const struct hparse_vtable *vt;
	void *owner; /* for the callbacks */
	http_parser parser;
	struct hmsg msg;       /* the current or last message */
	size_t head_bytes;     /* URL, names and values read so far */
	size_t max_head_bytes; /* 0: only the library's limit */
	bool in_message;       /* a message has begun and not ended */
	bool in_body;	       /* the head is complete */
	bool in_value;	       /* the last header piece was a value */
	bool at_line_start;    /* the last byte ended a line of the head */
	bool too_large;	       /* the head is over a limit */
	bool stop; /* set by the owner in body or end: stop parsing there */
};

enum hparse_result {
	HPARSE_MORE,	       /* all bytes consumed, more are needed */
	HPARSE_STOPPED,	       /* `stop` was set; the rest is not consumed */
	HPARSE_MALFORMED,      /* not HTTP, or rejected by `head` */
	HPARSE_HEAD_TOO_LARGE, /* over a limit of bytes or headers */
};

/*
 * Initializes a parser of requests or, if `requests` is false, of responses.
 * `max_head_bytes` bounds URL, header names and values together; 0: only the
 * limit of the library. `vt` must outlive the parser.
 */
void hparse_init(struct hparse *p, bool requests, size_t max_head_bytes,
		 const struct hparse_vtable *vt, void *owner);

/* Frees the memory of the message, not the parser itself. */
void hparse_free(struct hparse *p);

/*
 * Parses `data` and calls the callbacks. *used: the bytes consumed. After
 * HPARSE_STOPPED the rest can be fed in a later call; after an error the parser
 * must not be fed again.
 */
enum hparse_result hparse_feed(struct hparse *p, const char *data, size_t len,
			       size_t *used);

/*
 * The peer closed the connection. Returns true if the close ends a message that
 * has neither a length nor chunks; `end` was called then.
 */
bool hparse_eof(struct hparse *p);

/*
 * These append the request or status line, a header, or the empty line that
 * ends the head. Names and values are not escaped or checked.
 */
void hmsg_put_request(struct buf *out, const char *method, const char *url);
void hmsg_put_status(struct buf *out, int status);
void hmsg_put(struct buf *out, const char *name, const char *value);
void hmsg_put_int(struct buf *out, const char *name, int64_t value);
void hmsg_put_end(struct buf *out);

/* Appends one chunk of a chunked body. The last chunk has `len` 0. */
void hmsg_put_chunk(struct buf *out, const void *data, size_t len);

/*
 * Copies the value of the query parameter `name` of `url` to `out`, without
 * decoding it. False if it is missing or does not fit in `size` bytes with NUL.
 */
bool hmsg_query(const char *url, const char *name, char *out, size_t size);

#endif
