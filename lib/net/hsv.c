#include "net/hsv.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * CivetWeb keeps 8 KiB buffers on its workers' stacks and curl is called from
 * them too; 256 KiB is several times the deepest use seen.
 */
#ifdef __SANITIZE_THREAD__
#define WORKER_STACK (4 * 1024 * 1024) /* its run-time needs more */
#else
#define WORKER_STACK (256 * 1024)
#endif

/* A caller that sends or takes nothing for so long is gone. */
#define REQUEST_TIMEOUT_MS "20000"

struct hsv {
	struct mg_context *ctx;
	hsv_handler fn;
	void *arg;
	size_t max_body;
	size_t max_bodies;
	atomic_size_t bodies; /* bytes of the large ones that workers hold */
	atomic_ulong nr_no_room;
	char address[64];
};

enum body_result {
	BODY_WHOLE,
	BODY_REFUSED,
	BODY_NO_ROOM
};

/* Appends to the body. *counted: its bytes in s->bodies. False: there is no room. */
static bool add_to_body(struct hsv *s, struct buf *body, const char *data,
			size_t len, size_t *counted)
{
	size_t all;

	if (s->max_bodies && body->len + len > HSV_SMALL_BYTES) {
		const size_t more = body->len + len - *counted;

		all = atomic_fetch_add(&s->bodies, more) + more;
		*counted += more;
		if (all > s->max_bodies)
			return false;
	}
	buf_add(body, data, len);
	return true;
}

static enum body_result read_body(struct hsv *s, struct hsv_request *rq,
				  size_t *counted)
{
	const struct mg_request_info *ri = mg_get_request_info(rq->conn);
	char chunk[8192];
	int n;

	if (ri->content_length > (long long)s->max_body)
		return BODY_REFUSED;
	/* Without a length and not chunked there is no body. */
	if (ri->content_length < 0 &&
	    !strstr(hsv_header(rq, "Transfer-Encoding"), "chunked"))
		return BODY_WHOLE;
	while ((n = mg_read(rq->conn, chunk, sizeof(chunk))) > 0) {
		if (rq->body.len + (size_t)n > s->max_body)
			return BODY_REFUSED;
		if (!add_to_body(s, &rq->body, chunk, (size_t)n, counted))
			return BODY_NO_ROOM;
	}
	if (n < 0) /* cut off, or malformed chunks */
		return BODY_REFUSED;
	return ri->content_length < 0 ||
			       rq->body.len == (size_t)ri->content_length
		       ? BODY_WHOLE
		       : BODY_REFUSED;
}

static void refuse_body(struct hsv *s, struct hsv_request *rq,
			enum body_result why)
{
	char detail[96];

	if (why == BODY_NO_ROOM) {
		atomic_fetch_add(&s->nr_no_room, 1);
		hsv_problem(rq, 503,
			    "Marldock-Run: not-run\r\nRetry-After: 1\r\n",
			    "No room for the body",
			    "bodies of other requests take the memory");
		return;
	}
	snprintf(detail, sizeof(detail),
		 "a body of at most %zu bytes is taken, whole", s->max_body);
	hsv_problem(rq, 413, "Marldock-Run: not-run\r\n",
		    "Body too large or cut short", detail);
}

static int handle(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct hsv *s = arg;
	struct hsv_request rq = {
		.conn = conn,
		.method = ri->request_method,
		.path = ri->local_uri ? ri->local_uri : "/",
		.query = ri->query_string ? ri->query_string : "",
	};
	enum body_result result;
	size_t counted = 0;

	result = read_body(s, &rq, &counted);
	if (result != BODY_WHOLE) {
		refuse_body(s, &rq, result);
	} else {
		s->fn(&rq, s->arg);
		if (!rq.started)
			hsv_problem(&rq, 404, "Marldock-Run: not-run\r\n",
				    "Not found", rq.path);
	}
	buf_free(&rq.body);
	atomic_fetch_sub(&s->bodies, counted);
	return 200;
}

/* CivetWeb would print to stderr; its messages are of no use to on-call. */
static int on_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

struct hsv *hsv_start(const struct hsv_config *cfg, hsv_handler fn, void *arg,
		      struct err *e)
{
	const struct mg_callbacks cb = { .log_message = on_log };
	struct mg_server_port port = { 0 };
	struct hsv *s = mem_new(sizeof(*s));
	char workers[16];
	const char *opts[] = {
		"listening_ports",
		cfg->address,
		"num_threads",
		workers,
		"request_timeout_ms",
		REQUEST_TIMEOUT_MS,
		"keep_alive_timeout_ms",
		"500",
		"enable_keep_alive",
		"no",
		"tcp_nodelay",
		"1",
		"connection_queue",
		"512",
		NULL,
	};
	pthread_attr_t attr;

	s->fn = fn;
	s->arg = arg;
	s->max_body = cfg->max_body;
	s->max_bodies = cfg->max_bodies;
	snprintf(workers, sizeof(workers), "%d", cfg->workers);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
	mg_init_library(0);
	s->ctx = mg_start(&cb, s, opts);
	if (!s->ctx) {
		err_set(e, ERR_IO, "cannot listen on %s", cfg->address);
		free(s);
		return NULL;
	}
	mg_get_server_ports(s->ctx, 1, &port);
	snprintf(s->address, sizeof(s->address), "%.*s:%d",
		 (int)strcspn(cfg->address, ":"), cfg->address, port.port);
	mg_set_request_handler(s->ctx, "/", handle, s);
	return s;
}

const char *hsv_address(const struct hsv *s)
{
	return s->address;
}

unsigned long hsv_nr_no_room(struct hsv *s)
{
	return atomic_load(&s->nr_no_room);
}

void hsv_stop(struct hsv *s)
{
	if (!s)
		return;
	mg_stop(s->ctx);
	free(s);
}

const char *hsv_header(const struct hsv_request *rq, const char *name)
{
	const char *v = mg_get_header(rq->conn, name);

	return v ? v : "";
}

bool hsv_query(const struct hsv_request *rq, const char *name, char *out,
	       size_t size)
{
	return mg_get_var(rq->query, strlen(rq->query), name, out, size) >= 0;
}

static const char *reason_of(int status)
{
	static const struct {
		int status;
		const char *text;
	} rows[] = {
		{ 200, "OK" },
		{ 202, "Accepted" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 405, "Method Not Allowed" },
		{ 409, "Conflict" },
		{ 410, "Gone" },
		{ 413, "Content Too Large" },
		{ 429, "Too Many Requests" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (rows[i].status == status)
			return rows[i].text;
	}
	return "Status";
}

void hsv_reply(struct hsv_request *rq, int status, const char *type,
	       const char *extra, const void *body, size_t len)
{
	BUF_AUTO b = BUF_INIT;

	/* One write: a small reply then leaves in one segment. */
	buf_fmt(&b,
		"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
		"%sConnection: close\r\n\r\n",
		status, reason_of(status), type, len, extra);
	buf_add(&b, body, len);
	mg_write(rq->conn, b.data, b.len);
	rq->started = true;
}

void hsv_json(struct hsv_request *rq, int status, const char *body)
{
	hsv_reply(rq, status, "application/json", "", body, strlen(body));
}

void hsv_problem(struct hsv_request *rq, int status, const char *extra,
		 const char *title, const char *detail)
{
	BUF_AUTO b = BUF_INIT;

	buf_fmt(&b,
		"{\"type\":\"about:blank\",\"status\":%d,\"title\":", status);
	buf_json(&b, title);
	buf_str(&b, ",\"detail\":");
	buf_json(&b, detail);
	buf_str(&b, "}\n");
	hsv_reply(rq, status, "application/problem+json", extra, b.data, b.len);
}

bool hsv_begin(struct hsv_request *rq, int status, const char *type,
	       const char *extra)
{
	rq->started = true;
	return mg_printf(rq->conn,
			 "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
			 "Transfer-Encoding: chunked\r\nCache-Control: "
			 "no-store\r\n%sConnection: close\r\n\r\n",
			 status, reason_of(status), type, extra) > 0;
}

bool hsv_chunk(struct hsv_request *rq, const char *data, size_t len)
{
	return !len || mg_send_chunk(rq->conn, data, (unsigned)len) > 0;
}

void hsv_end(struct hsv_request *rq)
{
	mg_send_chunk(rq->conn, "", 0);
}
