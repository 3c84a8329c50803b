/*
 * Verifies the end of an answer without a length or chunks (whole.h): an endpoint,
 * or a relay, that crashes in the middle of it closes the connection as well.
 *
 * A process that has crashed does not listen: a connection that is accepted comes
 * from the one that answered, unless another one has started in its place since.
 * That takes some hundred ms at least, in which the close was on its way, behind a
 * lost link or in a socket of this process while it was suspended. If the close may
 * be so old, the endpoint's registration decides, in a list or read by itself, once
 * it is newer than the connection: an endpoint registers as it starts.
 *
 * Without a newer one, a request that may be sent again is, after a while and before
 * its deadline. Another one has nothing to gain by that: it waits until its deadline.
 * The answer has been received by then, so the store is asked once more before it is
 * cut off.
 */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * Silence of an endpoint with requests, ms, after which the link to it may have
 * been lost. A crash and the next start take longer.
 */
#define SILENCE_MS 300

/*
 * What is received for this long after a silence may have been sent before it, ms.
 * Later, the list has the start of another process.
 */
#define SILENCE_KEPT_MS 2000

/* The same after a stall of this process: its sockets are read at once, ms. */
#define STALL_KEPT_MS 300

/*
 * Without a newer list, the registration is read from the store after this time
 * and then at this interval, ms. A list that is watched is mostly sooner.
 */
#define READ_INTERVAL_MS 1000

/*
 * At the deadline the registration is read as soon as it can be newer, and awaited for
 * this time, ms: callers still expect an answer then.
 */
#define LAST_READ_MS 400

struct edge_verify {
	struct cds_list_head node; /* in edge.verifying, while it waits */
	struct edge *en;
	struct edge_req *r;	/* NULL: its send was stopped */
	struct flt_endpoint *e; /* referenced */
	bool prompt; /* the close is younger than another start can be */
	int64_t connected_ms; /* waits for a newer list since; 0: connecting */
	int64_t read_ms;      /* the last read of the registration began */
	bool reading, ended;  /* on_registration() frees it */
	bool last;	      /* the request's deadline has passed */
};

static void release(struct edge_verify *v)
{
	flt_unref(&v->en->fleet, v->e);
	free(v);
}

static void verify_free(struct edge_verify *v)
{
	if (v->connected_ms)
		cds_list_del(&v->node);
	v->r = NULL;
	v->ended = true;
	if (!v->reading)
		release(v);
}

static void finish(struct edge_verify *v, enum whole_process process)
{
	struct edge_req *r = v->r;

	if (flt_is_replaced(&v->en->fleet, v->e))
		process = WHOLE_PROCESS_OTHER;
	verify_free(v);
	if (!r)
		return;
	r->verify = NULL;
	edge_answer_end(r, process);
}

static void await_list(struct edge_verify *v)
{
	v->connected_ms = v->read_ms = edge_now(v->en);
	cds_list_add_tail(&v->node, &v->en->verifying);
}

static void on_probed(void *arg, enum htc_probe_result found)
{
	struct edge_verify *v = arg;

	if (found != HTC_PROBE_CONNECTED)
		finish(v, WHOLE_PROCESS_OTHER);
	else if (v->prompt || !v->r)
		finish(v, WHOLE_PROCESS_SAME);
	else if (v->r->relay[0])
		finish(v, WHOLE_PROCESS_OTHER); /* the list has no relays */
	else
		await_list(v);
}

static bool is_silent(const struct edge_req *r, int64_t now)
{
	const int64_t received = r->endpoint->received_ms;

	return now - (received > r->sent_ms ? received : r->sent_ms) >
	       SILENCE_MS;
}

void edge_verify_received(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);

	if (is_silent(r, now))
		r->endpoint->silence_ended_ms = now;
	r->endpoint->received_ms = now;
}

static bool is_within(int64_t event, int64_t ms, int64_t now)
{
	return event && now - event < ms;
}

static bool closed_promptly(const struct edge_req *r, int64_t now)
{
	return !is_silent(r, now) &&
	       !is_within(r->endpoint->silence_ended_ms, SILENCE_KEPT_MS,
			  now) &&
	       !is_within(r->en->stalled_ms, STALL_KEPT_MS, now);
}

bool edge_verify_start(struct edge_req *r)
{
	/* By the way on which the answer came. */
	const struct edge_way way =
		edge_way_to(r->en, r->endpoint, r->relay[0]);
	struct edge_verify *v;

	if (r->endpoint->exited || !way.pool ||
	    strcmp(way.relay ? way.relay : "", r->relay) != 0)
		return false;
	assert(!r->verify);
	v = calloc(1, sizeof(*v));
	assert(v);
	v->en = r->en;
	v->r = r;
	v->e = r->endpoint;
	v->prompt = closed_promptly(r, edge_now(r->en));
	if (!htc_probe(way.pool, on_probed, v)) {
		free(v);
		return false;
	}
	flt_ref(v->e);
	r->verify = v;
	return true;
}

void edge_verify_cancel(struct edge_req *r)
{
	struct edge_verify *v = r->verify;

	if (!v)
		return;
	r->verify = NULL;
	v->r = NULL;
	/* Else on_probed() frees it. */
	if (v->connected_ms)
		verify_free(v);
}

int edge_verify_last(struct edge_req *r)
{
	struct edge_verify *v = r->verify;

	if (!v || v->last)
		return 0;
	v->last = true;
	return LAST_READ_MS;
}

/* ---- The wait for a newer registration ---- */

/* Of another start under the same id, or of the one that answered. */
static enum whole_process judge_registration(const struct edge_verify *v,
					     const struct sto_item *item)
{
	struct err e = ERR_INIT;
	struct flt_info info;

	if (v->en->wire->decode_endpoint(item->key, item->value, item->len,
					 &info, &e))
		return WHOLE_PROCESS_UNKNOWN;
	return info.started_ms == v->e->info.started_ms &&
			       !strcmp(info.address, v->e->info.address)
		       ? WHOLE_PROCESS_SAME
		       : WHOLE_PROCESS_OTHER;
}

static bool is_newer(const struct edge_verify *v, int64_t as_of_ms)
{
	return whole_is_registered(v->connected_ms,
				   sto_recovered_ms(v->en->store), as_of_ms);
}

/* A store that was restored may return the registration of an earlier start. */
static bool is_restoring(const struct edge *en)
{
	const struct edge_watch *w = &en->watches[EDGE_WATCH_ENDPOINTS];

	return w->resyncing || w->era != sto_era(en->store);
}

/* Without a registration, another endpoint may have the address: a list has it. */
static void on_registration(void *arg, struct sto_answer *a)
{
	struct edge_verify *v = arg;
	enum whole_process process;

	v->reading = false;
	if (v->ended) {
		release(v);
		return;
	}
	if (a->outcome != STO_OK || !a->nr_items || !a->items[0].value ||
	    is_restoring(v->en) || !is_newer(v, a->asked_ms))
		return;
	process = judge_registration(v, &a->items[0]);
	if (process != WHOLE_PROCESS_UNKNOWN)
		finish(v, process);
}

static void read_registration(struct edge_verify *v, int64_t now)
{
	char key[FLT_NAME + 64];
	const struct sto_call c = { .kind = STO_GET, .key = key };

	snprintf(key, sizeof(key), "%s%s", v->en->wire->endpoint_prefix,
		 v->e->info.id);
	v->read_ms = now;
	v->reading = true;
	sto_call(v->en->store, &c, on_registration, v);
}

/* True if the request is sent again rather than to wait for a newer list. */
static bool gives_up(const struct edge_verify *v, int64_t now)
{
	return rq_is_repeatable(&v->r->rq) && edge_has_time(v->r) &&
	       whole_has_waited(v->connected_ms, v->en->stalled_ms, now);
}

/* A verification that can be finished now; NULL: none. */
static struct edge_verify *find_due(struct edge *en, int64_t now,
				    enum whole_process *process)
{
	const int64_t listed = en->watches[EDGE_WATCH_ENDPOINTS].complete_ms;
	struct edge_verify *v;

	cds_list_for_each_entry(v, &en->verifying, node) {
		assert(v->r);
		*process = is_newer(v, listed) ? WHOLE_PROCESS_SAME
					       : WHOLE_PROCESS_OTHER;
		if (*process == WHOLE_PROCESS_SAME || gives_up(v, now))
			return v;
	}
	return NULL;
}

/* The last read is the first one that can be newer than the connection. */
static bool is_read_due(const struct edge_verify *v, int64_t now)
{
	if (v->last && !is_newer(v, v->read_ms))
		return is_newer(v, now);
	return now - v->read_ms >= READ_INTERVAL_MS;
}

void edge_verify_tick(struct edge *en, int64_t now)
{
	enum whole_process process;
	struct edge_verify *v;

	/* What ends one request may end others too. */
	while ((v = find_due(en, now, &process)))
		finish(v, process);
	cds_list_for_each_entry(v, &en->verifying, node) {
		if (!v->reading && is_read_due(v, now))
			read_registration(v, now);
	}
}
