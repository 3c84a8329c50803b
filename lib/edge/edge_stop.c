/* The entry's own shutdown, from the signal to the end of the process. */
#include <assert.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/edge_internal.h"

/*
 * A shutdown lasts at least MIN_SHUTDOWN_MS after SIGTERM, since callers may
 * still use an older answer of a look-up. Requests have to end KILL_MARGIN_MS
 * before the platform kills the process (bounds.grace_s). In this time, or
 * later if the process did not run meanwhile, answers that endpoints have
 * completed are read, requests without any part of an answer are answered by
 * the entry after READ_MS, and callers receive all that after FLUSH_MS.
 */
#define MIN_SHUTDOWN_MS 2500
#define KILL_MARGIN_MS 400
#define READ_MS 200
#define FLUSH_MS 300

/* An endpoint that sends nothing to a request for this long counts as silent. */
#define SILENT_MS 1000

/* ---- The signal ---- */

static void put_counts(struct edge *en)
{
	jlog_int(en->log, "requests", en->callers.nr_responding);
	jlog_int(en->log, "connections", en->callers.nr_conns);
}

void edge_log_process(struct edge *en, const char *event)
{
	jlog_begin(en->log, JLOG_INFO, event);
	put_counts(en);
	jlog_end(en->log);
}

/*
 * Begin of the last poll of the event loop, and of the one in or after which the
 * signal was delivered; 0: it was not.
 */
static volatile int64_t poll_ms, poll_of_signal_ms;

static void on_turn(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)revents;
	poll_ms = edge_now(w->data);
}

/*
 * Notes the time before the event loop reports the signal, which it does only
 * behind the sockets that became ready meanwhile.
 */
static void on_delivery(int number)
{
	if (!poll_of_signal_ms)
		poll_of_signal_ms = poll_ms;
	ev_feed_signal(number);
}

static void on_stop_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct edge *en = w->data;
	const int64_t now = edge_now(en);

	(void)loop;
	(void)revents;
	if (en->stopping)
		return;
	en->stopping = true;
	/*
	 * The platform counts from when it sent the signal, which may be long
	 * before the process ran again.
	 */
	en->stop_ms = poll_of_signal_ms;
	jlog_begin(en->log, JLOG_INFO, "stopping");
	put_counts(en);
	jlog_int(en->log, "signal_age_ms", now - en->stop_ms);
	jlog_end(en->log);
	hsc_server_drain(&en->callers);
	edge_lease_resign(en);
	edge_peer_tick(en, now);
}

static void watch_signal(struct edge *en, ev_signal *w, int number)
{
	const struct sigaction on_signal = { .sa_handler = on_delivery,
					     .sa_flags = SA_RESTART };

	ev_signal_init(w, on_stop_signal, number);
	w->data = en;
	ev_signal_start(en->loop, w);
	/* In place of the handler that libev has set, which it calls. */
	sigaction(number, &on_signal, NULL);
}

void edge_stop_open(struct edge *en)
{
	poll_ms = edge_now(en);
	watch_signal(en, &en->on_term, SIGTERM);
	watch_signal(en, &en->on_int, SIGINT);
	ev_prepare_init(&en->turn, on_turn);
	en->turn.data = en;
	ev_prepare_start(en->loop, &en->turn);
}

/* ---- Requests of a leaving entry ---- */

/* The times of one route's answers. Made on first use and never freed. */
struct edge_route_times {
	struct cds_list_head node; /* in edge.route_times */
	char route[FLT_NAME];
	struct leave_times times;
};

static struct leave_times *times_of(struct edge *en, const char *route)
{
	struct edge_route_times *t;

	cds_list_for_each_entry(t, &en->route_times, node) {
		if (!strcmp(t->route, route))
			return &t->times;
	}
	t = calloc(1, sizeof(*t));
	assert(t);
	str_copy(t->route, route, sizeof(t->route));
	cds_list_add_tail(&t->node, &en->route_times);
	return &t->times;
}

static double output_tokens(const struct edge_req *r)
{
	return r->attempt.has_token_counts ? r->attempt.output_tokens : 0;
}

void edge_stop_learn(struct edge_req *r)
{
	const double rest =
		(double)(edge_now(r->en) - r->sent_ms) - r->predicted_ms;

	/* Otherwise only a part of the answer came from the last send. */
	if (r->sends == 1 && r->attempt.resume_after < 0)
		leave_learn(times_of(r->en, r->route->name), output_tokens(r),
			    rest > 0 ? rest : 0);
}

/* The time to the end of the answer, ms; -1: unknown. */
static double expected_ms(struct edge_req *r, const struct pick_result *p)
{
	const double rest =
		leave_expect(times_of(r->en, r->route->name), output_tokens(r));
	const double factor = r->en->conf->policy.speeds
				      ? spd_last_factor(&p->endpoint->speed)
				      : 1;

	return rest < 0 ? -1 : (p->wait_ms + rest) * (factor > 1 ? factor : 1);
}

static int64_t latest_ms(const struct edge *en)
{
	return en->stop_ms + (int64_t)(en->conf->bounds.grace_s * 1000) -
	       KILL_MARGIN_MS;
}

bool edge_stop_accepts(const struct edge_req *r)
{
	return !r->en->stopping ||
	       r->arrived_ms - r->en->stop_ms < LEAVE_ACCEPT_MS;
}

static void log_rejected(struct edge_req *r, const struct pick_result *p,
			 const struct leave_query *q)
{
	struct edge *en = r->en;

	met_inc(en->m.rejected_leaving);
	jlog_begin(en->log, JLOG_INFO, "leaving_reject");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "endpoint", p->endpoint->info.id);
	jlog_int(en->log, "since_signal_ms", q->since_ms);
	jlog_int(en->log, "left_ms", q->left_ms);
	jlog_int(en->log, "expected_ms", (int64_t)q->expected_ms);
	jlog_int(en->log, "deadline_ms", q->deadline_ms);
	jlog_int(en->log, "stall_ms", q->stall_ms);
	jlog_bool(en->log, "overdue", q->overdue);
	jlog_end(en->log);
}

/* A request of ours is at the endpoint, which sent nothing for a while. */
static bool is_silent(const struct edge_req *r, int64_t now)
{
	const struct flt_endpoint *e = r->endpoint;

	return e && now - r->sent_ms >= SILENT_MS &&
	       now - e->received_ms >= SILENT_MS;
}

/* A plain answer comes at once, so its endpoint is silent until then. */
static bool is_overdue(const struct edge_req *r, int64_t now)
{
	double ms;

	if (!is_silent(r, now))
		return false;
	if (r->route->kind == CFG_STREAM)
		return true;
	ms = leave_expect(times_of(r->en, r->route->name), output_tokens(r));
	return ms < 0 || (double)(now - r->sent_ms) > r->predicted_ms + ms;
}

static bool is_endpoint_overdue(const struct edge *en,
				const struct flt_endpoint *e, int64_t now)
{
	const struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->endpoint == e && is_overdue(r, now))
			return true;
	}
	return false;
}

bool edge_stop_may_send(struct edge_req *r, const struct pick_result *p)
{
	const struct edge *en = r->en;
	const int64_t now = edge_now(en);
	const bool stalled = en->stalled_ms &&
			     now - en->stalled_ms < EDGE_STALL_MEMORY_MS;
	struct leave_query q;

	/* What has run cannot be rejected as not run. */
	if (!en->stopping || r->rq.runs || r->rq.started)
		return true;
	q = (struct leave_query){
		.since_ms = now - en->stop_ms,
		.left_ms = latest_ms(en) - now,
		.deadline_ms = r->deadline_at_ms - now,
		.stall_ms = stalled ? en->stall_length_ms : 0,
		.expected_ms = expected_ms(r, p),
		.overdue = is_endpoint_overdue(en, p->endpoint, now),
		.repeatable = rq_is_repeatable(&r->rq),
	};
	if (leave_may_send(&q))
		return true;
	log_rejected(r, p, &q);
	rq_no_endpoint(&r->rq);
	edge_req_answer(r, 503, EDGE_WHY_STOPPING, EDGE_STOPPING_RETRY_MS);
	return false;
}

static void add_avoided(const struct flt_endpoint **out, unsigned *n,
			unsigned max, const struct flt_endpoint *e)
{
	unsigned i;

	for (i = 0; i < *n; i++) {
		if (out[i] == e)
			return;
	}
	if (*n < max)
		out[(*n)++] = e;
}

unsigned edge_stop_avoided(const struct edge *en, const char *service,
			   const struct flt_endpoint **out, unsigned max)
{
	const int64_t now = edge_now(en);
	const struct flt_endpoint *e;
	const struct edge_req *r;
	unsigned n = 0;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (is_silent(r, now) &&
		    !strcmp(r->endpoint->info.service, service))
			add_avoided(out, &n, max, r->endpoint);
	}
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (en->conf->policy.speeds &&
		    !strcmp(e->info.service, service) &&
		    spd_last_factor(&e->speed) > SPD_NORMAL)
			add_avoided(out, &n, max, e);
	}
	return n;
}

/* ---- The end ---- */

static struct edge_req *find_unanswered(const struct edge *en)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (!r->rq.started)
			return r;
	}
	return NULL;
}

/* Answers the requests whose callers have received nothing. */
static void answer_unanswered(struct edge *en)
{
	struct edge_req *r;

	/* What ends one request may end others too. */
	while ((r = find_unanswered(en))) {
		if (r->rq.runs || r->rq.sending)
			edge_step(r, rq_timed_out(&r->rq), EDGE_WHY_STOPPING);
		else
			edge_req_answer(r, 503, EDGE_WHY_STOPPING,
					EDGE_STOPPING_RETRY_MS);
	}
}

void edge_stop_tick(struct edge *en, int64_t now)
{
	if (now - en->stop_ms < MIN_SHUTDOWN_MS)
		return;
	/*
	 * Stop accepting requests first, then wait until the last one has
	 * ended. Exiting as soon as no request was in flight cut off one that
	 * was read in the same iteration of the event loop.
	 */
	hsc_server_close_idle(&en->callers);
	if (!en->ending_ms && now >= latest_ms(en))
		en->ending_ms = now;
	if (en->ending_ms && now - en->ending_ms >= READ_MS)
		answer_unanswered(en);
	if ((!en->callers.nr_conns && !en->nr_tunnels) ||
	    (en->ending_ms && now - en->ending_ms >= FLUSH_MS))
		ev_break(en->loop, EVBREAK_ALL);
}

static void log_cut(struct edge *en, struct edge_req *r, int64_t now)
{
	met_inc(en->m.requests_cut_by_exit);
	jlog_begin(en->log, JLOG_WARN, "cut");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "why", "process ends");
	jlog_int(en->log, "since_signal_ms", now - en->stop_ms);
	edge_cut_log(r);
	jlog_end(en->log);
}

/* Connections whose answer has ended, but is not sent whole. */
static unsigned count_unsent(const struct edge *en)
{
	const struct hsc *c;
	unsigned n = 0;

	cds_list_for_each_entry(c, &en->callers.conns, node)
		n += !c->request && hsc_pending(c);
	return n;
}

void edge_stop_finish(struct edge *en)
{
	const int64_t now = edge_now(en);
	struct edge_req *r;
	unsigned cut = 0;

	cds_list_for_each_entry(r, &en->requests, node) {
		log_cut(en, r, now);
		cut++;
	}
	jlog_begin(en->log, JLOG_INFO, "stopped");
	put_counts(en);
	jlog_int(en->log, "cut", cut);
	jlog_int(en->log, "unsent", count_unsent(en));
	jlog_int(en->log, "since_signal_ms", now - en->stop_ms);
	jlog_end(en->log);
	hsc_server_close(&en->callers);
	hsc_server_close(&en->ready);
	hsc_server_close(&en->lookup);
	hsc_server_close(&en->peers);
	close(en->gossip_fd);
	jlog_free(en->log);
}
