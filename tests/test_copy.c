/* Copies of a request at their holder: what the owner sends, as it arrives. */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_internal.h"
#include "support/unit.h"

#define OWNER 1
#define HOLDER 2

/* An entry without threads or connections. */
static struct entry *entry_new(uint64_t id)
{
	struct entry *en = mem_new(sizeof(*en));
	size_t i;

	en->clk = clk_real();
	en->self.id = id;
	pthread_mutex_init(&en->table_lock, NULL);
	CDS_INIT_LIST_HEAD(&en->open);
	for (i = 0; i < ENT_REQ_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&en->table[i]);
	en->m.copies = met_counter(&en->met, "copies_total", "");
	en->m.copy_tokens = met_counter(&en->met, "copy_tokens_total", "");
	return en;
}

static void entry_delete(struct entry *en)
{
	struct ent_req *rq = ent_req_find(en, "k");

	if (rq) {
		ent_req_remove(en, rq);
		ent_req_put(rq);
	}
	pthread_mutex_destroy(&en->table_lock);
	free(en);
}

/* A request whose run at endpoint 7 has sent `tokens` tokens. */
static struct ent_req *running_request(struct entry *en, uint32_t tokens)
{
	struct ent_req *rq = ent_req_create(en, "k");
	uint32_t i;

	str_copy(rq->account, "account", sizeof(rq->account));
	str_copy(rq->version, "v1", sizeof(rq->version));
	rq->body = mem_dup("{\"prompt\":\"p\"}");
	flow_init(&rq->flow, 1, 10, ent_now(en) + 60000);
	flow_routed(&rq->flow, 7, false, ent_now(en));
	rq->flow.phase = FLOW_STREAMING;
	for (i = 0; i < tokens; i++) {
		rq->flow.tokens++;
		ent_req_append(rq, i % 2 ? "b " : "a ");
	}
	return rq;
}

static void complete(struct ent_req *rq)
{
	rq->flow.phase = FLOW_DONE;
	rq->flow.outcome = FLOW_COMPLETED;
	str_copy(rq->finish, "stop", sizeof(rq->finish));
	free(rq->body);
	rq->body = NULL;
}

/* Has `en` hold the copy of `rq`; the message is encoded and decoded. */
static bool hold(struct entry *en, struct ent_req *rq)
{
	const size_t size = 65536;
	MEM_AUTO char *wire = mem_new(size);
	peer_hold_args sent = { .slot = 0 }, received = { .slot = 0 };
	bool held;
	XDR x;

	sent.head.mac = mem_dup("");
	sent.head.name = mem_dup("owner");
	ent_fill_hold(rq, &sent);
	xdrmem_create(&x, wire, (u_int)size, XDR_ENCODE);
	CU_ASSERT_TRUE_FATAL(xdr_peer_hold_args(&x, &sent));
	xdrmem_create(&x, wire, (u_int)size, XDR_DECODE);
	CU_ASSERT_TRUE_FATAL(xdr_peer_hold_args(&x, &received));
	held = ent_become_holder(en, &received);
	xdr_free((xdrproc_t)xdr_peer_hold_args, &sent);
	xdr_free((xdrproc_t)xdr_peer_hold_args, &received);
	return held;
}

static struct ent_req *copy_at(struct entry *en)
{
	struct ent_req *rq = ent_req_find(en, "k");

	CU_ASSERT_PTR_NOT_NULL_FATAL(rq);
	return rq;
}

/* Guards against a holder that would run again what is still running. */
static void new_holder_knows_the_run_and_its_tokens(void)
{
	struct entry *owner = entry_new(OWNER), *holder = entry_new(HOLDER);
	struct ent_req *rq = running_request(owner, 3), *copy;

	CU_ASSERT_TRUE(hold(holder, rq));
	copy = copy_at(holder);
	CU_ASSERT_EQUAL(copy->role, ENT_HOLDER);
	CU_ASSERT_EQUAL(copy->owner, OWNER);
	CU_ASSERT_EQUAL(copy->flow.tokens, 3);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&copy->text), "a b a ");
	CU_ASSERT_EQUAL(copy->flow.endpoint, 7);
	CU_ASSERT_EQUAL(copy->flow.attempt, rq->flow.attempt);
	CU_ASSERT_EQUAL(flow_gen(&copy->flow), flow_gen(&rq->flow));
	CU_ASSERT_STRING_EQUAL(copy->version, "v1");
	CU_ASSERT_PTR_NOT_NULL(copy->body);
	ent_req_put(copy);
	ent_req_put(rq);
	entry_delete(owner);
	entry_delete(holder);
}

/* Guards against a takeover without a prompt: the owner frees it at the end. */
static void new_holder_of_an_ended_request_has_its_answer(void)
{
	struct entry *owner = entry_new(OWNER), *holder = entry_new(HOLDER);
	struct ent_req *rq = running_request(owner, 4), *copy;

	complete(rq);
	CU_ASSERT_TRUE(hold(holder, rq));
	copy = copy_at(holder);
	CU_ASSERT_EQUAL_FATAL(copy->flow.phase, FLOW_DONE);
	CU_ASSERT_EQUAL(copy->flow.outcome, FLOW_COMPLETED);
	CU_ASSERT_EQUAL(copy->flow.tokens, 4);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&copy->text), "a b a b ");
	CU_ASSERT_STRING_EQUAL(copy->finish, "stop");
	ent_take_over(holder, copy);
	CU_ASSERT_EQUAL(copy->role, ENT_HOLDER);
	ent_req_put(copy);
	ent_req_put(rq);
	entry_delete(owner);
	entry_delete(holder);
}

/* Guards against an answer put together from the runs of two owners. */
static void copy_of_an_earlier_owner_is_replaced(void)
{
	struct entry *first = entry_new(OWNER), *second = entry_new(3);
	struct entry *holder = entry_new(HOLDER);
	struct ent_req *old = running_request(first, 5);
	struct ent_req *rq = running_request(second, 2), *copy;

	rq->flow.gens[0].id = 77;
	CU_ASSERT_TRUE(hold(holder, old));
	CU_ASSERT_TRUE(hold(holder, rq));
	copy = copy_at(holder);
	CU_ASSERT_EQUAL(copy->owner, 3);
	CU_ASSERT_EQUAL(copy->flow.tokens, 2);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&copy->text), "a b ");
	CU_ASSERT_EQUAL(copy->flow.nr_gens, 1);
	CU_ASSERT_EQUAL(flow_gen(&copy->flow), 77);
	ent_req_put(copy);
	ent_req_put(old);
	ent_req_put(rq);
	entry_delete(first);
	entry_delete(second);
	entry_delete(holder);
}

/* Guards against a known outcome being replaced by an unfinished run. */
static void ended_copy_is_kept(void)
{
	struct entry *owner = entry_new(OWNER), *holder = entry_new(HOLDER);
	struct ent_req *rq = running_request(owner, 4);
	struct ent_req *late = running_request(owner, 1), *copy;

	complete(rq);
	CU_ASSERT_TRUE(hold(holder, rq));
	CU_ASSERT_FALSE(hold(holder, late));
	copy = copy_at(holder);
	CU_ASSERT_EQUAL(copy->flow.phase, FLOW_DONE);
	CU_ASSERT_EQUAL(copy->flow.tokens, 4);
	ent_req_put(copy);
	ent_req_put(rq);
	ent_req_put(late);
	entry_delete(owner);
	entry_delete(holder);
}

/* Guards against a read before the first token: the offset is a peer's. */
static void state_without_its_first_tokens_is_refused(void)
{
	struct entry *owner = entry_new(OWNER), *holder = entry_new(HOLDER);
	struct ent_req *rq = running_request(owner, 2), *copy;
	peer_hold_args a = { .slot = 0 };

	ent_fill_hold(rq, &a);
	a.state.from = 1;
	CU_ASSERT_FALSE(ent_become_holder(holder, &a));
	copy = ent_req_find(holder, "k");
	CU_ASSERT_PTR_NULL(copy);
	a.head.mac = mem_dup("");
	a.head.name = mem_dup("owner");
	xdr_free((xdrproc_t)xdr_peer_hold_args, &a);
	ent_req_put(rq);
	entry_delete(owner);
	entry_delete(holder);
}

static const struct unit_test tests[] = {
	{ "a new holder knows the run and its tokens",
	  new_holder_knows_the_run_and_its_tokens },
	{ "a new holder of an ended request has its answer",
	  new_holder_of_an_ended_request_has_its_answer },
	{ "the copy of an earlier owner is replaced",
	  copy_of_an_earlier_owner_is_replaced },
	{ "an ended copy is kept", ended_copy_is_kept },
	{ "a state without its first tokens is refused",
	  state_without_its_first_tokens_is_refused },
};

UNIT_MAIN("copy", tests)
