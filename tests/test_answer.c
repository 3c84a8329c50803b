/* Answers as callers get them, over loopback, from feeds that are scripted. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/ent_answer.h"
#include "net/hcl.h"
#include "net/hsv.h"
#include "net/sse.h"
#include "support/unit.h"

/* What the feed gives, one after the other. */
struct said {
	bool restart;
	uint32_t gen, from, nr;
	enum flow_outcome outcome;
};

struct script {
	struct ent_feed feed;
	const struct said *said;
	size_t nr, at;
};

static void next_said(struct ent_feed *f, uint32_t gen, uint32_t offset,
		      struct ent_batch *out)
{
	struct script *s = (struct script *)f;
	const struct said *now = &s->said[s->at++];
	uint32_t i;

	(void)gen;
	(void)offset;
	memset(out, 0, sizeof(*out));
	if (s->at > s->nr) {
		out->lost = true;
		return;
	}
	out->restart = now->restart;
	out->gen = now->gen;
	out->from = now->from;
	out->nr = now->nr;
	out->tokens = mem_new((now->nr + 1) * sizeof(*out->tokens));
	for (i = 0; i < now->nr; i++)
		out->tokens[i] = mem_dup("word");
	out->outcome = now->outcome;
	strcpy(out->model, "m");
}

static const struct ent_feed_vtable scripted = { next_said };

static struct entry *en;

static void answer(struct hsv_request *rq, void *arg)
{
	struct script *s = arg;
	struct ent_writer w = {
		.en = en, .rq = rq, .key = "k", .stream = true
	};

	s->at = 0;
	s->feed = (struct ent_feed){ &scripted, en };
	ent_parse_last_event(rq, &w);
	ent_serve(&w, &s->feed);
}

/* What a caller gets who holds the answer up to `last_event`. */
static void ask(const struct said *said, size_t nr, const char *last_event,
		struct buf *out)
{
	struct script script = { .said = said, .nr = nr };
	const struct hsv_config cfg = { "127.0.0.1:0", 2, 1000 };
	struct hsv *server = hsv_start(&cfg, answer, &script, NULL);
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

static unsigned count(const struct buf *text, const char *what)
{
	const char *p = buf_cstr(text);
	unsigned n = 0;

	while ((p = strstr(p, what))) {
		p += strlen(what);
		n++;
	}
	return n;
}

static void tokens_that_follow_have_no_mark(void)
{
	static const struct said said[] = { { false, 7, 3, 2, FLOW_OPEN },
					    { false, 7, 5, 0,
					      FLOW_COMPLETED } };
	BUF_AUTO got = BUF_INIT;

	ask(said, 2, "Last-Event-ID: 00000007.3", &got);
	CU_ASSERT_EQUAL(count(&got, "event: restart"), 0);
	CU_ASSERT_EQUAL(count(&got, "id: 00000007.4\n"), 1);
	CU_ASSERT_EQUAL(count(&got, "[DONE]"), 1);
}

/* A mark that waits for tokens of its own batch is never sent. */
static void restart_is_told_when_its_first_token_comes_later(void)
{
	static const struct said said[] = { { true, 0, 0, 0, FLOW_OPEN },
					    { false, 9, 0, 0, FLOW_OPEN },
					    { false, 9, 0, 2, FLOW_OPEN },
					    { false, 9, 2, 1, FLOW_OPEN },
					    { false, 9, 3, 0,
					      FLOW_COMPLETED } };
	BUF_AUTO got = BUF_INIT;
	const char *mark, *first;

	ask(said, 5, "Last-Event-ID: 00000007.3", &got);
	mark = strstr(buf_cstr(&got), "event: restart");
	first = strstr(buf_cstr(&got), "id: 00000009.1\n");
	CU_ASSERT_EQUAL(count(&got, "event: restart"), 1);
	CU_ASSERT(mark && first && mark < first);
	CU_ASSERT_EQUAL(count(&got, "[DONE]"), 1);
}

/* The new run ends without a token. */
static void restart_is_told_before_an_empty_end(void)
{
	static const struct said said[] = {
		{ true, 0, 0, 0, FLOW_OPEN }, { false, 9, 0, 0, FLOW_COMPLETED }
	};
	BUF_AUTO got = BUF_INIT;

	ask(said, 2, "Last-Event-ID: 00000007.3", &got);
	CU_ASSERT_EQUAL(count(&got, "event: restart"), 1);
	CU_ASSERT_EQUAL(count(&got, "[DONE]"), 1);
}

static bool keep_last(const struct sse_event *ev, void *arg)
{
	if (*ev->id)
		str_copy(arg, ev->id, 32);
	return strcmp(ev->name, "restart") != 0;
}

/* Callers that disconnect right after the mark ask for the rest of nothing. */
static void restart_voids_the_last_event_id(void)
{
	static const struct said said[] = { { true, 0, 0, 0, FLOW_OPEN },
					    { false, 9, 0, 1, FLOW_OPEN },
					    { false, 9, 1, 0,
					      FLOW_COMPLETED } };
	char last_id[32] = "00000007.3";
	BUF_AUTO got = BUF_INIT;
	unsigned gen, offset = 99;
	struct sse sse;

	ask(said, 3, "Last-Event-ID: 00000007.3", &got);
	sse_init(&sse);
	CU_ASSERT_FALSE(
		sse_feed(&sse, buf_cstr(&got), got.len, keep_last, last_id));
	sse_free(&sse);
	CU_ASSERT_EQUAL(sscanf(last_id, "%8x.%u", &gen, &offset), 2);
	CU_ASSERT_EQUAL(offset, 0);
}

static const struct unit_test tests[] = {
	{ "tokens that follow have no mark", tokens_that_follow_have_no_mark },
	{ "a restart is told when its first token comes later",
	  restart_is_told_when_its_first_token_comes_later },
	{ "a restart is told before an empty end",
	  restart_is_told_before_an_empty_end },
	{ "a restart voids the last event id",
	  restart_voids_the_last_event_id },
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
