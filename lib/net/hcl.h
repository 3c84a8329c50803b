/*
 * hcl: HTTP calls to outside systems, over libcurl.
 *
 * CivetWeb's client fills its buffer before it returns, so tokens of a stream
 * would arrive in blocks (measured: docs/design/libraries.md); libcurl hands
 * bytes on as they come. One context serves all threads of a process.
 */
#ifndef HCL_H
#define HCL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

#define HCL_MAX_HEADERS 6

struct hcl;

struct hcl_request {
	const char *method;
	const char *address; /* IP:PORT */
	const char *path;
	const char *headers[HCL_MAX_HEADERS]; /* "Name: value"; NULL ends */
	const void *body;		      /* NULL: none */
	size_t body_len;
	int64_t connect_ms;
	int64_t total_ms; /* 0: unbounded (streams) */
	/*
	 * Never sent twice by the library: a fresh connection is used, since
	 * on a kept one that turns out dead libcurl would send again.
	 */
	bool once;
	/* Bytes of the body as they come; false stops. NULL: into reply. */
	bool (*on_data)(const char *data, size_t len, void *arg);
	void *arg;
	size_t max_body; /* bound on what goes into reply; 0: 8 MiB */
};

struct hcl_reply {
	int status;
	struct buf body;
	char content_type[64];
	struct buf headers; /* as they came, lines with CRLF */
};

struct hcl *hcl_create(void);
void hcl_free(struct hcl *h);

/*
 * Makes a call. 0: a reply came, whatever its status. -1 with ERR_REFUSED (no
 * connection, nothing was sent), ERR_TIMEOUT or ERR_IO (effect unknown). The
 * body in `out` must be freed by the caller in either case.
 */
int hcl_call(struct hcl *h, const struct hcl_request *rq, struct hcl_reply *out,
	     struct err *e);

/* A call with a JSON body (may be NULL); the common case. */
int hcl_json(struct hcl *h, const char *method, const char *address,
	     const char *path, const char *body, int64_t total_ms,
	     struct hcl_reply *out, struct err *e);

#define HCL_REPLY_INIT                    \
	{                                 \
		0, BUF_INIT, "", BUF_INIT \
	}
#define HCL_REPLY_AUTO __attribute__((cleanup(hcl_reply_free))) struct hcl_reply
void hcl_reply_free(struct hcl_reply *r);

/* A header's value copied into `out`; false (and "") if it is not there. */
bool hcl_header(const struct hcl_reply *r, const char *name, char *out,
		size_t size);

#endif
