/*
 * standin-plain: a plain service whose calls have effects. Counts the runs of
 * each nonce in the body {"nonce": "..."}; GET /standin/runs lists them.
 * POST /standin/fault {"mode": "up" | "drop" | "cut" | "raw", "text": "..."}: drop runs
 * the call and ends the connection without a reply, cut within the head of the reply, raw
 * after the text.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

struct run {
	struct run *next;
	char nonce[64];
	long count;
};

struct plain {
	pthread_mutex_t lock;
	struct run *runs;
	long delay_ms;
	bool drop;
	char raw[512]; /* sent before a drop */
};

static void set_fault(struct plain *p, struct json_object *o)
{
	static const char head_part[] = "HTTP/1.1 200 OK\r\nContent-Le";
	const char *mode = jsn_str(o, "mode", "up");
	const char *text = "";

	if (!strcmp(mode, "cut"))
		text = head_part;
	else if (!strcmp(mode, "raw"))
		text = jsn_str(o, "text", "");
	p->drop = strcmp(mode, "up") != 0;
	str_copy(p->raw, text, sizeof(p->raw));
}

static long count_run(struct plain *p, const char *nonce)
{
	struct run *r;

	for (r = p->runs; r; r = r->next) {
		if (!strcmp(r->nonce, nonce))
			return ++r->count;
	}
	r = mem_new(sizeof(*r));
	str_copy(r->nonce, nonce, sizeof(r->nonce));
	r->next = p->runs;
	r->count = 1;
	p->runs = r;
	return 1;
}

static void list_runs(struct plain *p, struct buf *b)
{
	const char *sep = "";
	struct run *r;

	buf_str(b, "{");
	for (r = p->runs; r; r = r->next) {
		buf_fmt(b, "%s\"%s\":%ld", sep, r->nonce, r->count);
		sep = ",";
	}
	buf_str(b, "}");
}

static void handle(struct hsv_request *rq, void *arg)
{
	JSN_AUTO *o = jsn_parse(buf_cstr(&rq->body), rq->body.len);
	const char *nonce = jsn_str(o, "nonce", "");
	struct plain *p = arg;
	BUF_AUTO b = BUF_INIT;
	char raw[sizeof(p->raw)] = "";
	bool drop = false;

	pthread_mutex_lock(&p->lock);
	if (!strcmp(rq->path, "/standin/runs")) {
		list_runs(p, &b);
	} else if (!strcmp(rq->path, "/standin/fault")) {
		set_fault(p, o);
		buf_str(&b, "{}");
	} else if (!strcmp(rq->path, "/standin/exit")) {
		standin_quit();
	} else {
		drop = p->drop;
		str_copy(raw, p->raw, sizeof(raw));
		buf_fmt(&b, "{\"nonce\":\"%s\",\"run\":%ld}", nonce,
			count_run(p, nonce));
	}
	pthread_mutex_unlock(&p->lock);
	if (strncmp(rq->path, "/standin/", 9))
		clk_sleep_ms(p->delay_ms);
	if (*raw)
		mg_write(rq->conn, raw, strlen(raw));
	if (drop)
		rq->started = true;
	else
		hsv_json(rq, 200, b.data);
}

int main(int argc, char **argv)
{
	struct plain *p = mem_new(sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	p->delay_ms = standin_number(argc, argv, "delay-ms", 20);
	return standin_serve(argc, argv, 64, handle, p);
}
