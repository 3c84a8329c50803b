/*
 * One request as a caller makes it: asks for entries, keeps the answer a
 * while, reconnects, resumes, and checks each token.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "load_internal.h"

/* ---- Entries ---- */

static bool ask_entries(struct load *l, size_t index, const char *address)
{
	struct cached_list fresh = { .nr = 0 };
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	struct err e = ERR_INIT;
	char auth[96];
	const struct hcl_request rq = {
		.method = "GET",
		.address = address,
		.path = "/v1/entries",
		.headers = { auth },
		.connect_ms = 300,
		.total_ms = 1500,
	};
	JSN_AUTO *o = NULL;
	struct json_object *rows;
	size_t i;

	snprintf(auth, sizeof(auth), "Authorization: Bearer %s",
		 l->accounts[index].key);
	if (hcl_call(l->hcl, &rq, &r, &e) || r.status != 200)
		return false;
	o = jsn_parse(buf_cstr(&r.body), r.body.len);
	rows = jsn_get(o, "entries");
	for (i = 0; i < jsn_len(rows) && i < MAX_ADDRESSES; i++)
		str_copy(fresh.address[fresh.nr++],
			 jsn_str(json_object_array_get_idx(rows, i), "address",
				 ""),
			 SET_ADDR_MAX);
	str_copy(fresh.grant, jsn_str(o, "grant", ""), sizeof(fresh.grant));
	fresh.until_ms = clk_ms(clk_real()) + jsn_int(o, "keep_ms", 1000);
	if (!fresh.nr || !*fresh.grant)
		return false;
	pthread_mutex_lock(&l->lock);
	l->lists[index] = fresh;
	pthread_mutex_unlock(&l->lock);
	return true;
}

/* The list as callers keep it: asked again when it is old, or on demand. */
static struct cached_list entries_for(struct load *l, size_t index, bool anew)
{
	struct cached_list c;
	size_t i;

	pthread_mutex_lock(&l->lock);
	c = l->lists[index];
	pthread_mutex_unlock(&l->lock);
	if (c.nr && !anew && clk_ms(clk_real()) < c.until_ms)
		return c;
	for (i = 0; i < c.nr; i++) {
		if (ask_entries(l, index, c.address[i]))
			break;
	}
	for (i = 0; i < l->nr_entries; i++) {
		pthread_mutex_lock(&l->lock);
		c = l->lists[index];
		pthread_mutex_unlock(&l->lock);
		if (c.nr && clk_ms(clk_real()) < c.until_ms)
			break;
		ask_entries(l, index, l->entries[i]);
	}
	pthread_mutex_lock(&l->lock);
	c = l->lists[index];
	pthread_mutex_unlock(&l->lock);
	return c;
}

/* ---- Checking tokens ---- */

static uint32_t link_of(uint32_t before, uint32_t salt)
{
	const uint32_t pair[2] = { before, salt };

	return (uint32_t)hsh_bytes(pair, sizeof(pair), 77);
}

static void complain(const struct request *q, const char *what,
		     const char *text)
{
	if (q->l->verbose)
		fprintf(stderr, "load: key=%s account=%s %s: %.160s\n", q->key,
			q->a->name, what, text);
}

/* A token must be ours, the next one, and follow from the one before. */
static void check_token(struct request *q, const char *text)
{
	unsigned index, salt, link;
	char nonce[24];

	if (q->l->check_content) {
		if (sscanf(text, " %20[0-9a-f].%u.%4x.%8x", nonce, &index,
			   &salt, &link) != 4 ||
		    strcmp(nonce, q->nonce) || index != q->offset ||
		    link != link_of(q->link, salt)) {
			q->bad = true;
			complain(q, "token out of place", text);
		} else {
			q->link = link;
		}
	}
	q->text_hash = hsh_bytes(text, strlen(text), q->text_hash);
	q->offset++;
}

static void note_time(struct request *q)
{
	const int64_t now = clk_us(clk_real());

	if (!q->last_us)
		q->first_ms = (float)(now - q->start_us) / 1000;
	else if (q->gaps.nr < (size_t)q->answer)
		q->gaps.ms[q->gaps.nr++] = (float)(now - q->last_us) / 1000;
	q->last_us = now;
}

static const char *text_of(struct json_object *o)
{
	struct json_object *c = jsn_get(o, "choices");

	return jsn_len(c) ? jsn_str(json_object_array_get_idx(c, 0), "text", "")
			  : "";
}

static void start_anew(struct request *q)
{
	q->offset = 0;
	q->link = 0;
	q->text_hash = 0;
	q->last_id[0] = '\0';
	pthread_mutex_lock(&q->l->lock);
	q->l->restarts++;
	pthread_mutex_unlock(&q->l->lock);
}

static bool on_event(const struct sse_event *ev, void *arg)
{
	struct request *q = arg;
	JSN_AUTO *o = NULL;
	const char *text;

	if (!strcmp(ev->name, "restart")) {
		start_anew(q);
		return true;
	}
	if (!strcmp(ev->name, "reconnect") || !strcmp(ev->name, "error")) {
		complain(q, ev->name, ev->data);
		return false;
	}
	if (!strcmp(ev->data, "[DONE]")) {
		q->done = true;
		return true;
	}
	o = jsn_parse(ev->data, strlen(ev->data));
	text = text_of(o);
	if (*text) {
		unsigned gen, offset;

		note_time(q);
		check_token(q, text);
		str_copy(q->last_id, ev->id, sizeof(q->last_id));
		if (sscanf(ev->id, "%8x.%u", &gen, &offset) != 2 ||
		    offset != q->offset) {
			q->bad = true;
			complain(q, "event id out of place", ev->id);
		}
	}
	return !q->hang_up_at || q->offset < q->hang_up_at;
}

static bool on_data(const char *data, size_t len, void *arg)
{
	struct request *q = arg;

	return sse_feed(&q->sse, data, len, on_event, q);
}

/* A whole reply: the tokens stand one after another in one text. */
static void check_whole(struct request *q, const struct buf *body)
{
	JSN_AUTO *o = jsn_parse(buf_cstr(body), body->len);
	const char *p = text_of(o);
	char token[96];

	while (*p == ' ') {
		const size_t n = 1 + strcspn(p + 1, " ");

		str_copy(token, p,
			 n + 1 < sizeof(token) ? n + 1 : sizeof(token));
		check_token(q, token);
		p += n;
	}
	q->done = o != NULL && !*p;
}

/* ---- One exchange ---- */

static enum load_step judge_reply(struct request *q, const struct hcl_reply *r)
{
	char run[24];

	hcl_header(r, "Marldock-Run", run, sizeof(run));
	if (!strcmp(run, "not-run")) {
		complain(q, "not run", buf_cstr(&r->body));
		return LOAD_NOT_RUN;
	}
	if (!strcmp(run, "unknown"))
		return r->status == 503 ? LOAD_AGAIN : LOAD_UNKNOWN;
	complain(q, "status", buf_cstr(&r->body));
	return LOAD_OTHER;
}

static void fill_call(struct request *q, const char *address,
		      struct hcl_request *rq, char *auth, char *key, char *last,
		      char *path)
{
	struct account *a = q->a;

	memset(rq, 0, sizeof(*rq));
	snprintf(auth, 96, "Authorization: Bearer %s", a->key);
	snprintf(key, 192, "Idempotency-Key: %s", q->key);
	rq->method = "POST";
	rq->address = address;
	rq->path = "/v1/completions";
	if (q->plain) {
		snprintf(path, 192, "/v1/services/%s%s", a->plain,
			 a->plain_path);
		rq->path = path;
	}
	rq->headers[0] = "Content-Type: application/json";
	rq->headers[1] = auth;
	rq->headers[2] = key;
	if (*q->last_id) {
		snprintf(last, 64, "Last-Event-ID: %s", q->last_id);
		rq->headers[3] = last;
	}
	rq->body = q->body;
	rq->body_len = strlen(q->body);
	rq->connect_ms = 500;
	rq->total_ms = PATIENCE_MS;
	rq->once = true;
}

/* A streamed call's problem body is not an event stream; kept apart. */
struct tee {
	struct request *q;
	struct buf all;
};

static bool on_tee(const char *data, size_t len, void *arg)
{
	struct tee *t = arg;

	if (t->all.len < 4096)
		buf_add(&t->all, data, len);
	return on_data(data, len, t->q);
}

enum load_step load_exchange(struct request *q, const char *address)
{
	char auth[96], key[192], last[64], path[192];
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	struct tee tee = { q, BUF_INIT };
	struct err e = ERR_INIT;
	struct hcl_request rq;
	int failed;

	fill_call(q, address, &rq, auth, key, last, path);
	if (q->streamed) {
		rq.on_data = on_tee;
		rq.arg = &tee;
	}
	sse_free(&q->sse);
	sse_init(&q->sse);
	failed = hcl_call(q->l->hcl, &rq, &r, &e);
	if (!r.body.len)
		buf_add(&r.body, buf_cstr(&tee.all), tee.all.len);
	buf_free(&tee.all);
	if (r.status == 200)
		q->accepted = true;
	if (r.status == 200 && !q->streamed && !failed) {
		if (q->plain)
			q->done = true;
		else
			check_whole(q, &r.body);
		if (!q->last_us)
			note_time(q);
	}
	if (q->done)
		return LOAD_DONE;
	if (failed || r.status == 200 || !r.status)
		return LOAD_AGAIN;
	return judge_reply(q, &r);
}

/* ---- One request ---- */

void load_make_body(struct request *q)
{
	struct account *a = q->a;
	const long span = a->prompt_max - a->prompt_min + 1;
	const long chars =
		a->prompt_min + (long)rnd_below(&q->rnd, (uint32_t)span);
	BUF_AUTO b = BUF_INIT;
	long i;

	if (q->plain) {
		buf_fmt(&b, "{\"nonce\":\"%s\"}", q->nonce);
		q->body = mem_dup(b.data);
		return;
	}
	q->answer = a->answer_min +
		    (long)rnd_below(&q->rnd, (uint32_t)(a->answer_max -
							a->answer_min + 1));
	buf_fmt(&b,
		"{\"model\":\"%s\",\"max_tokens\":%ld,\"stream\":%s,"
		"\"prompt\":\"",
		a->model, q->answer, q->streamed ? "true" : "false");
	for (i = 0; i < a->shared; i++)
		buf_fmt(&b, "%c",
			'a' + (char)((i * 7 + (long)strlen(a->name)) % 26));
	buf_fmt(&b, "[nonce=%s]", q->nonce);
	for (i = a->shared; i < chars; i++)
		buf_fmt(&b, "%c", 'a' + (char)rnd_below(&q->rnd, 26));
	buf_str(&b, "\"}");
	q->body = mem_dup(b.data);
	q->gaps.ms = mem_new((size_t)q->answer * sizeof(float));
}

static enum load_step run_to_end(struct request *q)
{
	const int64_t until = clk_ms(clk_real()) + PATIENCE_MS;
	enum load_step s = LOAD_AGAIN;
	int tries;

	for (tries = 0; s == LOAD_AGAIN && clk_ms(clk_real()) < until;
	     tries++) {
		const struct cached_list c =
			entries_for(q->l, q->index, tries > 0);

		if (!c.nr) {
			clk_sleep_ms(200);
			continue;
		}
		if (!*q->key)
			snprintf(q->key, sizeof(q->key), "%s.%s", c.grant,
				 q->nonce);
		if (tries) {
			clk_sleep_ms(20 + (int64_t)rnd_below(&q->rnd, 100));
			pthread_mutex_lock(&q->l->lock);
			q->l->reconnects++;
			pthread_mutex_unlock(&q->l->lock);
		}
		s = load_exchange(
			q, c.address[rnd_below(&q->rnd, (uint32_t)c.nr)]);
	}
	return s;
}

/* The same key once more: the answer must be the same, not a second one. */
static void replay(struct request *q)
{
	const uint64_t first = q->text_hash;
	const struct cached_list c = entries_for(q->l, q->index, false);

	q->offset = 0;
	q->link = 0;
	q->text_hash = 0;
	q->last_id[0] = '\0';
	q->done = false;
	if (load_exchange(q, c.address[rnd_below(&q->rnd, (uint32_t)c.nr)]) ==
		    LOAD_DONE &&
	    q->text_hash != first) {
		q->bad = true;
		complain(q, "second answer under one key", "");
	}
}

static void add_samples(struct samples *to, const float *ms, size_t n)
{
	size_t i;

	for (i = 0; i < n && to->nr < MAX_SAMPLES; i++)
		to->ms[to->nr++] = ms[i];
}

static void note_told(struct request *q, enum load_step s)
{
	struct told *t = mem_new(sizeof(*t));

	str_copy(t->nonce, q->nonce, sizeof(t->nonce));
	t->what = s == LOAD_DONE
			  ? TOLD_DONE
			  : (s == LOAD_NOT_RUN ? TOLD_NOT_RUN : TOLD_UNKNOWN);
	t->next = q->l->told;
	q->l->told = t;
}

static void count(struct request *q, enum load_step s)
{
	struct load *l = q->l;
	struct account *a = q->a;
	const bool whole = s == LOAD_DONE &&
			   (q->plain || q->offset == (uint32_t)q->answer);

	pthread_mutex_lock(&l->lock);
	l->accepted += q->accepted;
	l->tokens += q->offset;
	if (q->bad)
		l->doubled++;
	if (whole) {
		l->whole++;
		a->whole++;
		if (!q->plain && q->streamed) {
			add_samples(&a->first, &q->first_ms, 1);
			add_samples(&a->between, q->gaps.ms, q->gaps.nr);
		}
	} else if (q->accepted) {
		l->lost++;
		a->lost++;
		complain(q, "lost", q->last_id);
	} else if (s == LOAD_NOT_RUN) {
		l->not_run++;
		a->not_run++;
	} else if (s == LOAD_OTHER) {
		l->other++;
	} else {
		l->unknown++;
		a->unknown++;
		complain(q, "unknown", "");
	}
	if (q->plain)
		note_told(q, s);
	pthread_mutex_unlock(&l->lock);
}

void *load_run_request(void *arg)
{
	struct request *q = arg;
	enum load_step s;

	q->start_us = clk_us(clk_real());
	load_make_body(q);
	s = run_to_end(q);
	count(q, s);
	if (s == LOAD_DONE && !q->plain && rnd_unit(&q->rnd) < q->a->replay) {
		const bool was_bad = q->bad;

		replay(q);
		if (q->bad && !was_bad) {
			pthread_mutex_lock(&q->l->lock);
			q->l->doubled++;
			pthread_mutex_unlock(&q->l->lock);
		}
	}
	sse_free(&q->sse);
	free(q->body);
	free(q->gaps.ms);
	atomic_fetch_sub(&q->l->open, 1);
	free(q);
	return NULL;
}
