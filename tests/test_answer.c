/* Event streams that a client receives over loopback, from scripted feeds. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/ent_answer.h"
#include "net/hcl.h"
#include "net/hsv.h"
#include "net/sse.h"
#include "support/unit.h"

/* A batch that the feed returns. */
struct scripted_batch {
	bool restart;
	uint32_t gen, from, nr;
	enum flow_outcome outcome;
};

struct script {
	struct ent_feed feed;
	const struct scripted_batch *batches;
	size_t nr, at;
};

static void next_scripted_batch(struct ent_feed *f, uint32_t gen,
				uint32_t offset, struct ent_batch *out)
{
	struct script *s = (struct script *)f;
	const struct scripted_batch *batch = &s->batches[s->at++];
	uint32_t i;

	(void)gen;
	(void)offset;
	memset(out, 0, sizeof(*out));
	if (s->at > s->nr) {
		out->lost = true;
		return;
	}
	out->restart = batch->restart;
	out->gen = batch->gen;
	out->from = batch->from;
	out->nr = batch->nr;
	out->tokens = mem_new((batch->nr + 1) * sizeof(*out->tokens));
	for (i = 0; i < batch->nr; i++)
		out->tokens[i] = mem_dup("word");
	out->outcome = batch->outcome;
	strcpy(out->model, "m");
}

static const struct ent_feed_vtable scripted_feed_vtable = {
	next_scripted_batch
};

static struct entry *en;

static void serve_script(struct hsv_request *rq, void *arg)
{
	struct script *s = arg;
	struct ent_writer w = {
		.en = en, .rq = rq, .key = "k", .stream = true
	};

	s->at = 0;
	s->feed = (struct ent_feed){ &scripted_feed_vtable, en };
	ent_parse_last_event(rq, &w);
	ent_serve(&w, &s->feed);
}

/*
 * Requests an answer with the header line `last_event` from a server whose feed
 * returns `batches`. Appends the received body to `out`.
 */
static void request_answer(const struct scripted_batch *batches, size_t nr,
			   const char *last_event, struct buf *out)
{
	struct script script = { .batches = batches, .nr = nr };
	const struct hsv_config cfg = { "127.0.0.1:0", 2, 1000, 0 };
	struct hsv *server = hsv_start(&cfg, serve_script, &script, NULL);
	struct hcl *client = hcl_create();
	HCL_REPLY_AUTO reply = HCL_REPLY_INIT;
	struct hcl_request rq = {
		.method = "POST",
		.path = "/",
		.headers = { last_event },
		.total_ms = 5000,
		.once = true,
	};

	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	rq.address = hsv_address(server);
	CU_ASSERT_EQUAL(hcl_call(client, &rq, &reply, NULL), 0);
	CU_ASSERT_EQUAL(reply.status, 200);
	buf_str(out, buf_cstr(&reply.body));
	hcl_free(client);
	hsv_stop(server);
}

static unsigned count_matches(const struct buf *text, const char *what)
{
	const char *p = buf_cstr(text);
	unsigned n = 0;

	while ((p = strstr(p, what))) {
		p += strlen(what);
		n++;
	}
	return n;
}

static void continued_tokens_need_no_restart(void)
{
	static const struct scripted_batch batches[] = {
		{ false, 7, 3, 2, FLOW_OPEN },
		{ false, 7, 5, 0, FLOW_COMPLETED }
	};
	BUF_AUTO got = BUF_INIT;

	request_answer(batches, 2, "Last-Event-ID: 00000007.3", &got);
	CU_ASSERT_EQUAL(count_matches(&got, "event: restart"), 0);
	CU_ASSERT_EQUAL(count_matches(&got, "id: 00000007.4\n"), 1);
	CU_ASSERT_EQUAL(count_matches(&got, "[DONE]"), 1);
}

/*
 * The batch that announces the restart has no tokens. A restart event that is
 * sent only with tokens of the same batch would be lost.
 */
static void restart_is_sent_when_its_first_token_arrives_later(void)
{
	static const struct scripted_batch batches[] = {
		{ true, 0, 0, 0, FLOW_OPEN },
		{ false, 9, 0, 0, FLOW_OPEN },
		{ false, 9, 0, 2, FLOW_OPEN },
		{ false, 9, 2, 1, FLOW_OPEN },
		{ false, 9, 3, 0, FLOW_COMPLETED }
	};
	BUF_AUTO got = BUF_INIT;
	const char *restart, *first;

	request_answer(batches, 5, "Last-Event-ID: 00000007.3", &got);
	restart = strstr(buf_cstr(&got), "event: restart");
	first = strstr(buf_cstr(&got), "id: 00000009.1\n");
	CU_ASSERT_EQUAL(count_matches(&got, "event: restart"), 1);
	CU_ASSERT(restart && first && restart < first);
	CU_ASSERT_EQUAL(count_matches(&got, "[DONE]"), 1);
}

/* The new run ends without a token: the restart event must still be sent. */
static void restart_is_sent_before_an_empty_end(void)
{
	static const struct scripted_batch batches[] = {
		{ true, 0, 0, 0, FLOW_OPEN }, { false, 9, 0, 0, FLOW_COMPLETED }
	};
	BUF_AUTO got = BUF_INIT;

	request_answer(batches, 2, "Last-Event-ID: 00000007.3", &got);
	CU_ASSERT_EQUAL(count_matches(&got, "event: restart"), 1);
	CU_ASSERT_EQUAL(count_matches(&got, "[DONE]"), 1);
}

static bool read_until_restart(const struct sse_event *ev, void *arg)
{
	if (*ev->id)
		str_copy(arg, ev->id, 32);
	return strcmp(ev->name, "restart") != 0;
}

/*
 * A client that disconnects right after the restart event must not send the
 * event id of a token that it has dropped.
 */
static void restart_resets_the_last_event_id(void)
{
	static const struct scripted_batch batches[] = {
		{ true, 0, 0, 0, FLOW_OPEN },
		{ false, 9, 0, 1, FLOW_OPEN },
		{ false, 9, 1, 0, FLOW_COMPLETED }
	};
	char last_id[32] = "00000007.3";
	BUF_AUTO got = BUF_INIT;
	unsigned gen, offset = 99;
	struct sse sse;

	request_answer(batches, 3, "Last-Event-ID: 00000007.3", &got);
	sse_init(&sse);
	CU_ASSERT_FALSE(sse_feed(&sse, buf_cstr(&got), got.len,
				 read_until_restart, last_id));
	sse_free(&sse);
	CU_ASSERT_EQUAL(sscanf(last_id, "%8x.%u", &gen, &offset), 2);
	CU_ASSERT_EQUAL(offset, 0);
}

static const struct unit_test tests[] = {
	{ "continued tokens need no restart",
	  continued_tokens_need_no_restart },
	{ "a restart is sent when its first token arrives later",
	  restart_is_sent_when_its_first_token_arrives_later },
	{ "a restart is sent before an empty end",
	  restart_is_sent_before_an_empty_end },
	{ "a restart resets the last event id",
	  restart_resets_the_last_event_id },
};

int main(void)
{
	int code;

	en = calloc(1, sizeof(*en));
	en->m.accepted = met_counter(&en->met, "accepted_total", "");
	en->m.unknown = met_counter(&en->met, "unknown_total", "");
	code = unit_run("answer", tests, sizeof(tests) / sizeof(tests[0]));
	free(en);
	return code;
}
