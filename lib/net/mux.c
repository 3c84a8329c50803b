#include "net/mux.h"

#include <assert.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/ring.h"
#include "net/rhead.h"

/* Commands that may wait; more than the streams can be at once. */
#define RING_PART 2
#define CONNECT_MS 1000
#define POLL_MS 500

struct stream {
	struct cds_list_head node;
	uint64_t id;
	CURL *curl;
	struct curl_slist *headers;
	char *body;
	char *url;
	char method[8];
	int64_t total_ms;
	int64_t idle_ms;
	struct mux_sink sink;
	void *arg;
	struct rhead head;
	bool got_status;
	bool stopped;
};

struct command {
	struct stream *open; /* else cancel `id` */
	uint64_t id;
};

struct mux {
	CURLM *multi;
	struct ring *commands;
	pthread_t thread;
	atomic_ullong next_id;
	atomic_size_t open;
	size_t max;
	struct cds_list_head streams;
};

/* ---- On the mux's thread ---- */

static bool tell_status(struct stream *s)
{
	long status = 0;

	if (s->got_status)
		return true;
	s->got_status = true;
	curl_easy_getinfo(s->curl, CURLINFO_RESPONSE_CODE, &status);
	return !s->sink.on_status || s->sink.on_status((int)status, s->arg);
}

static size_t on_write(char *data, size_t size, size_t n, void *arg)
{
	struct stream *s = arg;
	const size_t len = size * n;

	if (s->stopped || !tell_status(s) ||
	    !s->sink.on_data(data, len, s->arg)) {
		s->stopped = true;
		return 0;
	}
	return len;
}

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	struct stream *s = arg;

	return rhead_line(&s->head, data, size * n) ? size * n : 0;
}

static void free_stream(struct mux *m, struct stream *s)
{
	if (s->curl) {
		curl_multi_remove_handle(m->multi, s->curl);
		curl_easy_cleanup(s->curl);
	}
	curl_slist_free_all(s->headers);
	free(s->body);
	free(s->url);
	free(s);
	atomic_fetch_sub(&m->open, 1);
}

static void end_stream(struct mux *m, struct stream *s, enum err_code why)
{
	long status = 0;

	if (s->curl)
		curl_easy_getinfo(s->curl, CURLINFO_RESPONSE_CODE, &status);
	/* What was received of the head states nothing. */
	if (!rhead_is_whole(&s->head, status)) {
		status = 0;
		why = why == ERR_NONE ? ERR_IO : why;
	}
	if (why == ERR_NONE)
		tell_status(s);
	cds_list_del(&s->node);
	s->sink.on_end(why, (int)status, s->arg);
	free_stream(m, s);
}

static enum err_code map_code(CURL *c, CURLcode rc)
{
	double connected = 0;

	if (rc == CURLE_OK)
		return ERR_NONE;
	curl_easy_getinfo(c, CURLINFO_CONNECT_TIME, &connected);
	if (rc == CURLE_COULDNT_CONNECT ||
	    (rc == CURLE_OPERATION_TIMEDOUT && connected <= 0))
		return ERR_REFUSED;
	return rc == CURLE_OPERATION_TIMEDOUT ? ERR_TIMEOUT : ERR_IO;
}

static void start_stream(struct mux *m, struct stream *s)
{
	CURL *c = curl_easy_init();

	assert(c);
	s->curl = c;
	s->headers = curl_slist_append(NULL, "Expect:");
	s->headers =
		curl_slist_append(s->headers, "Content-Type: application/json");
	curl_easy_setopt(c, CURLOPT_URL, s->url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, s->method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, s->headers);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_PRIVATE, s);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)s->total_ms);
	curl_easy_setopt(c, CURLOPT_BUFFERSIZE, 4096L);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, s);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, s);
	if (s->idle_ms) {
		curl_easy_setopt(c, CURLOPT_LOW_SPEED_LIMIT, 1L);
		curl_easy_setopt(c, CURLOPT_LOW_SPEED_TIME,
				 (long)((s->idle_ms + 999) / 1000));
	}
	if (s->body)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, s->body);
	cds_list_add(&s->node, &m->streams);
	curl_multi_add_handle(m->multi, c);
}

static void run_command(struct mux *m, struct command *cmd)
{
	struct stream *s, *tmp;

	if (cmd->open) {
		start_stream(m, cmd->open);
		return;
	}
	cds_list_for_each_entry_safe(s, tmp, &m->streams, node) {
		if (s->id == cmd->id)
			end_stream(m, s, ERR_IO);
	}
}

static void reap(struct mux *m)
{
	struct stream *s;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(m->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &s);
		end_stream(m, s, map_code(s->curl, msg->data.result));
	}
}

static void *run(void *arg)
{
	struct mux *m = arg;
	struct stream *s, *tmp;
	struct command *cmd;
	int running;

	while (!ring_closed(m->commands)) {
		while ((cmd = ring_pop(m->commands, 0))) {
			run_command(m, cmd);
			free(cmd);
		}
		curl_multi_perform(m->multi, &running);
		reap(m);
		curl_multi_poll(m->multi, NULL, 0, POLL_MS, NULL);
	}
	while ((cmd = ring_pop(m->commands, 0))) {
		run_command(m, cmd);
		free(cmd);
	}
	cds_list_for_each_entry_safe(s, tmp, &m->streams, node)
		end_stream(m, s, ERR_IO);
	return NULL;
}

/* ---- From any thread ---- */

struct mux *mux_create(size_t max)
{
	struct mux *m = mem_new(sizeof(*m));

	curl_global_init(CURL_GLOBAL_ALL);
	m->max = max;
	m->multi = curl_multi_init();
	curl_multi_setopt(m->multi, CURLMOPT_MAXCONNECTS, 64L);
	m->commands = ring_create(RING_PART * max);
	CDS_INIT_LIST_HEAD(&m->streams);
	if (pthread_create(&m->thread, NULL, run, m))
		abort();
	return m;
}

void mux_free(struct mux *m)
{
	if (!m)
		return;
	ring_close(m->commands);
	curl_multi_wakeup(m->multi);
	pthread_join(m->thread, NULL);
	curl_multi_cleanup(m->multi);
	ring_free(m->commands);
	free(m);
}

static bool send_command(struct mux *m, struct stream *open, uint64_t id)
{
	struct command *cmd = mem_new(sizeof(*cmd));

	cmd->open = open;
	cmd->id = id;
	if (!ring_push(m->commands, cmd)) {
		free(cmd);
		return false;
	}
	curl_multi_wakeup(m->multi);
	return true;
}

uint64_t mux_open(struct mux *m, const struct mux_request *rq,
		  const struct mux_sink *sink, void *arg)
{
	BUF_AUTO url = BUF_INIT;
	struct stream *s;
	uint64_t id;

	if (atomic_fetch_add(&m->open, 1) >= m->max) {
		atomic_fetch_sub(&m->open, 1);
		return 0;
	}
	s = mem_new(sizeof(*s));
	buf_fmt(&url, "http://%s%s", rq->address, rq->path);
	s->url = mem_dup(buf_cstr(&url));
	s->body = rq->body ? mem_dup(rq->body) : NULL;
	str_copy(s->method, rq->method, sizeof(s->method));
	s->total_ms = rq->total_ms;
	s->idle_ms = rq->idle_ms;
	s->sink = *sink;
	s->arg = arg;
	id = atomic_fetch_add(&m->next_id, 1) + 1;
	s->id = id;
	if (!send_command(m, s, 0)) {
		free_stream(m, s);
		return 0;
	}
	return id;
}

void mux_cancel(struct mux *m, uint64_t id)
{
	if (id)
		send_command(m, NULL, id);
}
