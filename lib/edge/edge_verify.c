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
 * A connection that is not established proves nothing, and neither does one that is
 * refused while those to other endpoints are: both are tried again.
 *
 * Without a newer registration, a request that may be sent again is, after a while and
 * before its deadline. Another one has nothing to gain by that: it waits until its
 * deadline. The answer has been received by then, so the store is asked once more before
 * it is cut off.
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

/* Between two connections, ms. */
#define PROBE_INTERVAL_MS 200

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
	int64_t began_ms;
	int64_t probed_ms;    /* the last connection was begun */
	int64_t connected_ms; /* it was established then; 0: it is not */
	int64_t read_ms;      /* the last read of the registration began */
	bool waits;	      /* in edge.verifying */
	bool probing;	      /* on_probed() is called */
	bool refused; /* conclusive if the check in progress reaches others */
	bool reading, ended; /* on_registration() frees it */
	bool last;	     /* the request's deadline has passed */
};

static void release(struct edge_verify *v)
{
	flt_unref(&v->en->fleet, v->e);
	free(v);
}

static void verify_free(struct edge_verify *v)
{
	if (v->waits)
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

static void await(struct edge_verify *v)
{
	v->waits = true;
	cds_list_add_tail(&v->node, &v->en->verifying);
}

static void handle_connected(struct edge_verify *v)
{
	if (v->prompt) {
		finish(v, WHOLE_PROCESS_SAME);
	} else if (v->r->relay[0]) {
		finish(v, WHOLE_PROCESS_OTHER); /* the list has no relays */
	} else {
		v->connected_ms = v->read_ms = edge_now(v->en);
		await(v);
	}
}

static void on_probed(void *arg, enum htc_probe_result found)
{
	struct edge_verify *v = arg;

	v->probing = false;
	if (!v->r) {
		verify_free(v);
		return;
	}
	if (found == HTC_PROBE_CONNECTED) {
		handle_connected(v);
		return;
	}
	if (found == HTC_PROBE_REFUSED && !v->r->relay[0])
		v->refused = edge_reach_verify(v->en, v->e);
	if (found == HTC_PROBE_REFUSED && !v->refused && !v->en->reach.cut_off)
		finish(v, WHOLE_PROCESS_OTHER);
	else
		await(v);
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
	       !is_within(r->en->stalled_ms, WHOLE_STALL_KEPT_MS, now);
}

/*
 * False: there is no way. An answer through a relay is verified through the same one,
 * since the relay may have crashed; one that came directly by any way.
 */
static bool probe(struct edge_verify *v)
{
	const struct edge_req *r = v->r;
	struct edge_way way;

	assert(r);
	way = edge_way_to(v->en, v->e, r->relay[0]);
	v->probed_ms = edge_now(v->en);
	if (v->e->exited || !way.pool ||
	    (r->relay[0] && strcmp(way.relay ? way.relay : "", r->relay) != 0))
		return false;
	v->probing = htc_probe(way.pool, on_probed, v);
	return v->probing;
}

bool edge_verify_start(struct edge_req *r)
{
	struct edge_verify *v;

	assert(!r->verify);
	v = calloc(1, sizeof(*v));
	assert(v);
	v->en = r->en;
	v->r = r;
	v->e = r->endpoint;
	v->began_ms = edge_now(r->en);
	v->prompt = closed_promptly(r, v->began_ms);
	if (!probe(v)) {
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
	if (!v->probing)
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

/* True if the request is sent again rather than to wait for a proof. */
static bool gives_up(const struct edge_verify *v, int64_t now)
{
	return rq_is_repeatable(&v->r->rq) && edge_has_time(v->r) &&
	       whole_has_waited(v->began_ms, v->en->stalled_ms, now);
}

/* UNKNOWN: it has to wait. */
static enum whole_process judge(const struct edge_verify *v, int64_t now)
{
	const struct edge *en = v->en;

	if (v->connected_ms &&
	    is_newer(v, en->watches[EDGE_WATCH_ENDPOINTS].complete_ms))
		return WHOLE_PROCESS_SAME;
	if (v->refused && !en->reach.pending && !en->reach.cut_off)
		return WHOLE_PROCESS_OTHER;
	if (!v->connected_ms && v->e->exited)
		return WHOLE_PROCESS_OTHER;
	if (gives_up(v, now))
		return WHOLE_PROCESS_OTHER;
	return WHOLE_PROCESS_UNKNOWN;
}

/* A verification that can be finished now; NULL: none. */
static struct edge_verify *find_due(struct edge *en, int64_t now,
				    enum whole_process *process)
{
	struct edge_verify *v;

	cds_list_for_each_entry(v, &en->verifying, node) {
		assert(v->r);
		*process = judge(v, now);
		if (*process != WHOLE_PROCESS_UNKNOWN)
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

/* Another process may have started meanwhile. */
static void probe_again(struct edge_verify *v)
{
	v->prompt = v->refused = false;
	cds_list_del(&v->node);
	v->waits = false;
	if (!probe(v))
		await(v);
}

void edge_verify_tick(struct edge *en, int64_t now)
{
	enum whole_process process;
	struct edge_verify *v, *next;

	/* What ends one request may end others too. */
	while ((v = find_due(en, now, &process)))
		finish(v, process);
	cds_list_for_each_entry_safe(v, next, &en->verifying, node) {
		if (!v->connected_ms && now - v->probed_ms >= PROBE_INTERVAL_MS)
			probe_again(v);
		else if (v->connected_ms && !v->reading && is_read_due(v, now))
			read_registration(v, now);
	}
}
