/*
 * hmsg: HTTP/1.1 messages: an incremental parser around the http-parser
 * library, and a writer for heads.
 *
 * The library checks framing: two lengths, a length beside chunks, unknown
 * codings are errors. Names of headers are checked here.
 */
#ifndef HMSG_H
#define HMSG_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#define HMSG_MAX_HEADERS 96 /* headers of one message; callers send about ten */

struct hmsg_header {
	uint32_t name, value; /* offsets in `text`, each ended by NUL */
};

struct hmsg {
	struct buf text;
	uint32_t url; /* offset in `text`; requests only */
	struct hmsg_header headers[HMSG_MAX_HEADERS];
	unsigned nr_headers;
	int status; /* responses only */
	enum http_method method;
	bool keep_alive;
	bool chunked;
	bool has_length;
	uint64_t length; /* valid if has_length */
};

void hmsg_reset(struct hmsg *m);
void hmsg_free(struct hmsg *m);

const char *hmsg_url(const struct hmsg *m);
const char *hmsg_name(const struct hmsg *m, unsigned i);
const char *hmsg_value(const struct hmsg *m, unsigned i);

/* The first header of that name (any case), or NULL. */
const char *hmsg_find(const struct hmsg *m, const char *name);
unsigned hmsg_count(const struct hmsg *m, const char *name);

/* True if `token` stands in the comma-separated header `name`. */
bool hmsg_has_token(const struct hmsg *m, const char *name, const char *token);

/* True if the header concerns one connection only and is not passed on. */
bool hmsg_is_hop_by_hop(const struct hmsg *m, unsigned i);

struct hparse;

struct hparse_vtable {
	/* The head is complete. Nonzero: no body follows whatever it says. */
	int (*head)(struct hparse *p);
	void (*body)(struct hparse *p, const char *data, size_t len);
	void (*end)(struct hparse *p);
};

struct hparse {
	const struct hparse_vtable *vt;
	void *owner;
	http_parser parser;
	struct hmsg msg;
	size_t head_bytes;
	size_t max_head_bytes; /* 0: the library's bound */
	bool in_message;       /* bytes of a message were read, not its end */
	bool in_body;
	bool in_value;
	bool too_large;
	bool stop; /* set by the owner within a callback: parse no further */
};

enum hparse_result {
	HPARSE_MORE,	       /* all bytes taken */
	HPARSE_STOPPED,	       /* `stop` was set; the rest was not taken */
	HPARSE_MALFORMED,      /* not HTTP */
	HPARSE_HEAD_TOO_LARGE, /* the head is over the bound */
};

void hparse_init(struct hparse *p, bool requests, size_t max_head_bytes,
		 const struct hparse_vtable *vt, void *owner);
void hparse_free(struct hparse *p);

/* Parses; *used tells how many bytes were taken. */
enum hparse_result hparse_feed(struct hparse *p, const char *data, size_t len,
			       size_t *used);

/*
 * The connection ended. Returns true if that completes a message which has
 * no other end (its `end` was called).
 */
bool hparse_eof(struct hparse *p);

/* Writing heads. */
void hmsg_put_request(struct buf *out, const char *method, const char *url);
void hmsg_put_status(struct buf *out, int status);
void hmsg_put(struct buf *out, const char *name, const char *value);
void hmsg_put_int(struct buf *out, const char *name, int64_t value);
void hmsg_put_end(struct buf *out);

/* One chunk of a chunked body; the last one has no bytes. */
void hmsg_put_chunk(struct buf *out, const void *data, size_t len);

/* Copies the value of `name` in a query string; false if it is not there. */
bool hmsg_query(const char *url, const char *name, char *out, size_t size);

#endif
