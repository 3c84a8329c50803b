/*
 * hsv: the HTTP server, over CivetWeb.
 *
 * One handler per server gets every request, with its body read already and
 * bounded. Workers are threads; their number and stack are set at start.
 */
#ifndef HSV_H
#define HSV_H

#include <civetweb.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"
#include "base/err.h"

struct hsv;

struct hsv_request {
	struct mg_connection *conn;
	const char *method;
	const char *path;  /* decoded, without the query */
	const char *query; /* "" if none */
	struct buf body;
	bool started; /* a status line was sent */
};

typedef void (*hsv_handler)(struct hsv_request *rq, void *arg);

/* Smaller bodies are always received. */
#define HSV_SMALL_BYTES 16384

struct hsv_config {
	const char *address; /* IP:PORT; port 0: any free one */
	int workers;
	size_t max_body;
	/*
	 * Of all bodies of over HSV_SMALL_BYTES together: a request whose body goes
	 * beyond it is refused with 503. 0: no limit.
	 */
	size_t max_bodies;
};

/* Starts to listen; NULL with an error if that fails. */
struct hsv *hsv_start(const struct hsv_config *cfg, hsv_handler fn, void *arg,
		      struct err *e);

/* The address it listens on, "IP:PORT". */
const char *hsv_address(const struct hsv *s);

/* Requests refused as bodies together were too large, ever. */
unsigned long hsv_nr_no_room(struct hsv *s);

/* Stops and waits for the workers. */
void hsv_stop(struct hsv *s);

/* A header's value, or "". */
const char *hsv_header(const struct hsv_request *rq, const char *name);

/* A query parameter into `out`; false if it is not there. */
bool hsv_query(const struct hsv_request *rq, const char *name, char *out,
	       size_t size);

/* Sends a whole reply. `extra`: more header lines, each with CRLF, or "". */
void hsv_reply(struct hsv_request *rq, int status, const char *type,
	       const char *extra, const void *body, size_t len);
void hsv_json(struct hsv_request *rq, int status, const char *body);

/* Sends problem+json (RFC 9457). `extra` as in hsv_reply. */
void hsv_problem(struct hsv_request *rq, int status, const char *extra,
		 const char *title, const char *detail);

/* Starts a chunked reply; false if the caller is gone. */
bool hsv_begin(struct hsv_request *rq, int status, const char *type,
	       const char *extra);
bool hsv_chunk(struct hsv_request *rq, const char *data, size_t len);
void hsv_end(struct hsv_request *rq);

#endif
