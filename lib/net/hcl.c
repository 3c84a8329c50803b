#include "net/hcl.h"

#include <assert.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "io/hmsg.h"
#include "net/rhead.h"

/* Idle multi handles kept, each with its connections. */
#define MAX_IDLE 32

/* Between two looks at a transfer on which nothing happens, ms. */
#define POLL_MS 1000

#define DEFAULT_CONNECT_MS 1000
#define DEFAULT_MAX_BODY (8u * 1024 * 1024)

/* Header bytes kept of a reply. */
#define MAX_HEADERS 8192

/*
 * Connections belong to a multi handle. The easy handle of a call is used once: libcurl
 * 7.88 keeps a pointer to the last header of a transfer, which is freed when the next one
 * begins, and appends a first line to it that begins with a blank.
 */
struct hcl {
	pthread_mutex_t lock;
	CURLM *idle[MAX_IDLE];
	size_t nr_idle;
};

struct call {
	const struct hcl_request *rq;
	struct hcl_reply *out;
	struct rhead head;
	bool too_large;
};

struct hcl *hcl_create(void)
{
	struct hcl *h = mem_new(sizeof(*h));

	curl_global_init(CURL_GLOBAL_ALL);
	pthread_mutex_init(&h->lock, NULL);
	return h;
}

void hcl_free(struct hcl *h)
{
	if (!h)
		return;
	while (h->nr_idle)
		curl_multi_cleanup(h->idle[--h->nr_idle]);
	pthread_mutex_destroy(&h->lock);
	free(h);
}

static CURLM *take_multi(struct hcl *h)
{
	CURLM *m = NULL;

	pthread_mutex_lock(&h->lock);
	if (h->nr_idle)
		m = h->idle[--h->nr_idle];
	pthread_mutex_unlock(&h->lock);
	if (!m)
		m = curl_multi_init();
	assert(m);
	return m;
}

static void give_multi(struct hcl *h, CURLM *m)
{
	pthread_mutex_lock(&h->lock);
	if (h->nr_idle < MAX_IDLE) {
		h->idle[h->nr_idle++] = m;
		m = NULL;
	}
	pthread_mutex_unlock(&h->lock);
	if (m)
		curl_multi_cleanup(m);
}

/* Runs the transfer to its end. */
static CURLcode perform(CURLM *m, CURL *c)
{
	CURLcode rc = CURLE_FAILED_INIT;
	CURLMsg *msg;
	int running = 1, left;

	if (curl_multi_add_handle(m, c))
		return rc;
	while (running && !curl_multi_perform(m, &running)) {
		if (running)
			curl_multi_poll(m, NULL, 0, POLL_MS, NULL);
	}
	while ((msg = curl_multi_info_read(m, &left))) {
		if (msg->msg == CURLMSG_DONE)
			rc = msg->data.result;
	}
	curl_multi_remove_handle(m, c);
	return rc;
}

static size_t on_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	const size_t len = size * n;
	const size_t max = c->rq->max_body ? c->rq->max_body : DEFAULT_MAX_BODY;

	if (c->rq->on_data)
		return c->rq->on_data(data, len, c->rq->arg) ? len : 0;
	if (c->out->body.len + len > max) {
		c->too_large = true;
		return 0;
	}
	buf_add(&c->out->body, data, len);
	return len;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	const size_t len = size * n;

	if (!rhead_line(&c->head, data, len)) {
		c->too_large = !c->head.malformed;
		return 0;
	}
	if (c->out->headers.len + len < MAX_HEADERS)
		buf_add(&c->out->headers, data, len);
	return len;
}

static struct curl_slist *set_headers(CURL *c, const struct hcl_request *rq)
{
	/* "Expect: 100-continue" would cost larger bodies a round trip. */
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	size_t i;

	for (i = 0; i < HCL_MAX_HEADERS && rq->headers[i]; i++)
		list = curl_slist_append(list, rq->headers[i]);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
	return list;
}

static void set_options(CURL *c, const struct hcl_request *rq,
			struct call *call)
{
	char url[512];

	snprintf(url, sizeof(url), "http://%s%s", rq->address, rq->path);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, rq->method);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(rq->connect_ms ? rq->connect_ms
					       : DEFAULT_CONNECT_MS));
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)rq->total_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, call);
	if (rq->body) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)rq->body_len);
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, rq->body);
	}
	if (rq->once) {
		curl_easy_setopt(c, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(c, CURLOPT_FORBID_REUSE, 1L);
	}
}

/* Whether any byte may have left decides between "not run" and "unknown". */
static int map_error(CURL *c, CURLcode rc, const struct call *call,
		     struct err *e)
{
	const char *why = curl_easy_strerror(rc);
	double connected = 0;

	curl_easy_getinfo(c, CURLINFO_CONNECT_TIME, &connected);
	if (call->too_large)
		return err_set(e, ERR_FULL, "%s: the reply is too large",
			       call->rq->address);
	if (call->head.malformed)
		return err_set(e, ERR_IO,
			       "%s: a line of the reply's head is no field",
			       call->rq->address);
	if (rc == CURLE_COULDNT_CONNECT ||
	    (rc == CURLE_OPERATION_TIMEDOUT && connected <= 0))
		return err_set(e, ERR_REFUSED, "%s: %s", call->rq->address,
			       why);
	return err_set(e, rc == CURLE_OPERATION_TIMEDOUT ? ERR_TIMEOUT : ERR_IO,
		       "%s: %s", call->rq->address, why);
}

static int check_head(const struct call *call, struct err *e)
{
	if (rhead_is_whole(&call->head, call->out->status))
		return 0;
	if (call->head.complete)
		return err_set(e, ERR_IO, "%s: the reply's status is %03d",
			       call->rq->address, call->out->status);
	return err_set(e, ERR_IO,
		       "%s: connection closed within the reply's head",
		       call->rq->address);
}

/*
 * A success that ends with its connection, before the request was written: libcurl takes the
 * close for the end of the body, and does not write the rest.
 */
static int check_sent(CURL *c, const struct call *call, struct err *e)
{
	curl_off_t sent = 0;

	curl_easy_getinfo(c, CURLINFO_SIZE_UPLOAD_T, &sent);
	if (call->out->status / 100 != 2 ||
	    hmsg_has_no_body(call->out->status) ||
	    !rhead_is_unframed(&call->head) || !call->rq->body ||
	    (size_t)sent >= call->rq->body_len)
		return 0;
	return err_set(e, ERR_IO,
		       "%s: connection closed before the request was sent",
		       call->rq->address);
}

int hcl_call(struct hcl *h, const struct hcl_request *rq, struct hcl_reply *out,
	     struct err *e)
{
	CURLM *m = take_multi(h);
	CURL *c = curl_easy_init();
	struct call call = { .rq = rq, .out = out };
	struct curl_slist *headers = set_headers(c, rq);
	char *type = NULL;
	long status = 0;
	CURLcode rc;
	int ret;

	assert(c);
	set_options(c, rq, &call);
	rc = perform(m, c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	out->status = (int)status;
	if (!curl_easy_getinfo(c, CURLINFO_CONTENT_TYPE, &type) && type)
		str_copy(out->content_type, type, sizeof(out->content_type));
	if (rc != CURLE_OK)
		ret = map_error(c, rc, &call, e);
	else if (check_head(&call, e) || check_sent(c, &call, e))
		ret = -1;
	else
		ret = 0;
	curl_slist_free_all(headers);
	curl_easy_cleanup(c);
	give_multi(h, m);
	return ret;
}

int hcl_json(struct hcl *h, const char *method, const char *address,
	     const char *path, const char *body, int64_t total_ms,
	     struct hcl_reply *out, struct err *e)
{
	const struct hcl_request rq = {
		.method = method,
		.address = address,
		.path = path,
		.headers = { "Content-Type: application/json" },
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.total_ms = total_ms,
	};

	return hcl_call(h, &rq, out, e);
}

void hcl_reply_free(struct hcl_reply *r)
{
	buf_free(&r->body);
	buf_free(&r->headers);
}

bool hcl_header(const struct hcl_reply *r, const char *name, char *out,
		size_t size)
{
	const size_t n = strlen(name);
	const char *p = buf_cstr(&r->headers);

	out[0] = '\0';
	while (*p) {
		const size_t len = strcspn(p, "\r\n");

		if (len > n && !strncasecmp(p, name, n) && p[n] == ':') {
			const char *v = p + n + 1 + strspn(p + n + 1, " ");
			const size_t left = len - (size_t)(v - p);

			str_copy(out, v, left + 1 < size ? left + 1 : size);
			return true;
		}
		p += len;
		p += strspn(p, "\r\n");
	}
	return false;
}
