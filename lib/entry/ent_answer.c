/*
 * Answers to clients: event streams, whole replies and problem documents.
 */
#include "entry/ent_answer.h"

#include <stdio.h>
#include <string.h>

/* ---- Problem documents ---- */

void ent_refuse(struct entry *en, struct hsv_request *rq, int status,
		const char *run, int64_t retry_ms, const char *title,
		const char *detail)
{
	char extra[192], retry[64] = "";

	if (retry_ms > 0)
		snprintf(retry, sizeof(retry), "Retry-After: %lld\r\n",
			 (long long)((retry_ms + 999) / 1000));
	snprintf(extra, sizeof(extra), "Marldock-Run: %s\r\n%s%s", run, retry,
		 atomic_load(&en->draining) ? "Marldock-Entries: changed\r\n"
					    : "");
	if (!strcmp(run, "unknown"))
		met_inc(en->m.unknown);
	hsv_problem(rq, status, extra, title, detail);
}

void ent_refuse_not_run(struct entry *en, struct hsv_request *rq, int status,
			const char *title, const char *detail)
{
	ent_refuse(en, rq, status, "not-run", 0, title, detail);
}

/* ---- Writing an answer ---- */

static void answer_headers(struct ent_writer *w, const char *run, char *out,
			   size_t size)
{
	snprintf(out, size, "Marldock-Key: %s\r\n%s%s%s%s", w->key,
		 *run ? "Marldock-Run: " : "", run, *run ? "\r\n" : "",
		 atomic_load(&w->en->draining) ? "Marldock-Entries: changed\r\n"
					       : "");
}

static bool begin_stream(struct ent_writer *w)
{
	char extra[320];

	if (w->begun)
		return true;
	w->begun = true;
	met_inc(w->en->m.accepted);
	answer_headers(w, "", extra, sizeof(extra));
	return hsv_begin(w->rq, 200, "text/event-stream", extra);
}

static void add_choice(struct ent_writer *w, struct buf *b, const char *text,
		       const char *finish)
{
	buf_str(b, "\"choices\":[{\"index\":0,");
	if (w->chat) {
		buf_fmt(b, "\"%s\":{\"role\":\"assistant\",\"content\":",
			w->stream ? "delta" : "message");
		buf_json(b, text);
		buf_str(b, "}");
	} else {
		buf_str(b, "\"text\":");
		buf_json(b, text);
	}
	buf_str(b, ",\"finish_reason\":");
	if (*finish)
		buf_json(b, finish);
	else
		buf_str(b, "null");
	buf_str(b, "}]");
}

static void add_object(struct ent_writer *w, struct buf *b,
		       const struct ent_batch *t, const char *text,
		       const char *finish)
{
	buf_fmt(b, "{\"id\":\"%s\",\"object\":\"%s%s\",\"model\":\"%s\",",
		w->key, w->chat ? "chat.completion" : "text_completion",
		w->chat && w->stream ? ".chunk" : "", t->model);
	if (*t->version)
		buf_fmt(b, "\"system_fingerprint\":\"%s\",", t->version);
	add_choice(w, b, text, finish);
	buf_str(b, "}");
}

/*
 * Event ids are GENERATION.OFFSET: the generation, and the number of tokens
 * that the client has after the event.
 */
static bool write_tokens(struct ent_writer *w, const struct ent_batch *t)
{
	BUF_AUTO b = BUF_INIT;
	uint32_t i;

	for (i = 0; i < t->nr; i++) {
		buf_fmt(&b, "id: %08x.%u\ndata: ", t->gen, t->from + i + 1);
		add_object(w, &b, t, t->tokens[i], "");
		buf_str(&b, "\n\n");
	}
	return hsv_chunk(w->rq, buf_cstr(&b), b.len);
}

static bool write_event(struct ent_writer *w, const char *name,
			const char *data)
{
	BUF_AUTO b = BUF_INIT;

	buf_fmt(&b, "event: %s\ndata: %s\n\n", name, data);
	return hsv_chunk(w->rq, b.data, b.len);
}

static bool write_stream_end(struct ent_writer *w, const struct ent_batch *t)
{
	BUF_AUTO b = BUF_INIT;
	bool ok;

	if (t->outcome == FLOW_COMPLETED) {
		buf_fmt(&b, "id: %08x.%u\ndata: ", t->gen, w->offset);
		add_object(w, &b, t, "", *t->finish ? t->finish : "stop");
		buf_str(&b, "\n\ndata: [DONE]\n\n");
	} else {
		buf_str(&b, "event: error\ndata: {\"run\":\"ran\",\"detail\":"
			    "\"the answer could not be completed\"}\n\n");
	}
	ok = hsv_chunk(w->rq, b.data, b.len);
	hsv_end(w->rq);
	return ok;
}

static void write_whole(struct ent_writer *w, const struct ent_batch *t)
{
	char extra[320];
	BUF_AUTO b = BUF_INIT;

	met_inc(w->en->m.accepted);
	answer_headers(w, "ran", extra, sizeof(extra));
	if (t->plain) {
		hsv_reply(w->rq, t->status ? t->status : 200,
			  *t->result_type ? t->result_type : "application/json",
			  extra, t->result ? t->result : "", t->result_len);
		return;
	}
	add_object(w, &b, t, buf_cstr(&w->text),
		   *t->finish ? t->finish : "stop");
	buf_str(&b, "\n");
	hsv_reply(w->rq, 200, "application/json", extra, b.data, b.len);
}

/* Replies with a problem document; no byte of an answer was sent. */
static void write_failure(struct ent_writer *w, const struct ent_batch *t)
{
	const bool is_client_error = t->status >= 400 && t->status < 500;

	if (t->stripped && t->outcome == FLOW_COMPLETED) {
		ent_refuse(w->en, w->rq, 410, "ran", 0, "Answer not kept",
			   "the request was answered, but too long ago for its "
			   "answer to be sent again");
	} else if (t->outcome == FLOW_NOT_RUN && is_client_error &&
		   t->status != 429) {
		ent_refuse(w->en, w->rq, t->status, "not-run", 0,
			   "Refused by the model engine",
			   "the engine does not take this request");
	} else if (t->outcome == FLOW_NOT_RUN) {
		ent_refuse(
			w->en, w->rq, t->status ? t->status : 503, "not-run",
			1000, "Not run",
			"no endpoint could be had in time; the key is spent, "
			"send new work under a new one");
	} else if (t->plain) {
		ent_refuse(w->en, w->rq, 504, "unknown", 0, "Outcome unknown",
			   "the call was sent but no answer came back; it will "
			   "not be sent again");
	} else {
		ent_refuse(w->en, w->rq, t->status ? t->status : 502, "ran", 0,
			   "Not completed",
			   "the model engine refused or could not complete it");
	}
}

/* ---- Serving a feed ---- */

/*
 * Tells the client that its tokens are void. The event resets the client's last
 * event id: if it disconnected now, it would otherwise reconnect with the id of
 * a token that it has dropped, and receive only the tokens after that.
 */
static bool write_restart(struct ent_writer *w)
{
	static const char event[] =
		"event: restart\nid: 00000000.0\n"
		"data: {\"reason\":\"the tokens sent before cannot be continued; "
		"this is a new attempt\"}\n\n";

	return hsv_chunk(w->rq, event, sizeof(event) - 1);
}

/*
 * Begins the stream if necessary, and sends the restart event if it is due. It
 * may be due before the new run has a token.
 */
static bool begin_or_restart_stream(struct ent_writer *w)
{
	if (!begin_stream(w))
		return false;
	if (!w->restart_due)
		return true;
	w->restart_due = false;
	return write_restart(w);
}

/* Writes one batch; false after the end of the reply. */
static bool serve_batch(struct ent_writer *w, struct ent_batch *t)
{
	uint32_t i;

	if (t->restart && w->offset) {
		w->restart_due = true;
		w->offset = 0;
		buf_reset(&w->text);
	}
	if (w->stream && t->nr &&
	    (!begin_or_restart_stream(w) || !write_tokens(w, t)))
		return false;
	for (i = 0; i < t->nr && !w->stream; i++)
		buf_str(&w->text, t->tokens[i]);
	w->offset = t->from + t->nr;
	w->gen = t->gen;
	if (t->outcome == FLOW_OPEN)
		return true;
	if (t->stripped && !w->begun) {
		write_failure(w, t);
		return false;
	}
	if (w->begun ||
	    (w->stream && !t->plain && t->outcome == FLOW_COMPLETED)) {
		if (begin_or_restart_stream(w))
			write_stream_end(w, t);
	} else if (t->outcome == FLOW_COMPLETED) {
		write_whole(w, t);
	} else {
		write_failure(w, t);
	}
	return false;
}

/*
 * Ends the reply after the loss of its source: with a reconnect event if the
 * stream has begun, otherwise with status 503 and Retry-After.
 */
static void end_interrupted(struct ent_writer *w, bool handed_on)
{
	if (w->begun) {
		write_event(w, "reconnect", "{}");
		hsv_end(w->rq);
		return;
	}
	ent_refuse(
		w->en, w->rq, 503, "unknown", 500,
		handed_on ? "Handed on" : "Not found",
		handed_on ? "another entry has the request now; ask again with "
			    "the same key"
			  : "the entry that took this key cannot be reached; "
			    "ask again with the same key");
}

void ent_serve(struct ent_writer *w, struct ent_feed *f)
{
	for (;;) {
		struct ent_batch t;
		bool go, lost;

		f->vt->next(f, w->gen, w->offset, &t);
		lost = t.lost;
		go = !lost && serve_batch(w, &t);
		ent_free_batch(&t);
		if (lost)
			end_interrupted(w, f->vt == &ent_local_feed_vtable);
		if (!go)
			break;
		if (atomic_load(&w->en->releasing) &&
		    f->vt == &ent_remote_feed_vtable) {
			end_interrupted(w, true);
			break;
		}
	}
	buf_free(&w->text);
}

void ent_parse_last_event(const struct hsv_request *rq, struct ent_writer *w)
{
	unsigned gen, offset;

	if (sscanf(hsv_header(rq, "Last-Event-ID"), "%8x.%u", &gen, &offset) ==
	    2) {
		w->gen = gen;
		w->offset = offset;
	}
}

void ent_serve_local(struct ent_writer *w, struct ent_req *rq)
{
	struct ent_local_feed f = { { &ent_local_feed_vtable, w->en }, rq };

	ent_serve(w, &f.feed);
}

void ent_serve_remote(struct ent_writer *w, const struct ent_req *rq,
		      uint64_t winner)
{
	struct ent_remote_feed f = { .feed = { &ent_remote_feed_vtable, w->en },
				     .view = rq->slot_view,
				     .slot = rq->slot,
				     .winner = winner };

	str_copy(f.key, rq->key, sizeof(f.key));
	str_copy(f.account, rq->account, sizeof(f.account));
	ent_serve(w, &f.feed);
	if (f.local)
		ent_req_put(f.local);
}
