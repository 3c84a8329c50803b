/* The entry's own shutdown, from the signal to the end of the process. */
#include <signal.h>
#include <unistd.h>

#include "edge/edge_internal.h"

/*
 * A shutdown lasts at least MIN_SHUTDOWN_MS after SIGTERM, since callers may
 * still use an older answer of a look-up. It ends at the latest KILL_MARGIN_MS
 * before the platform kills the process (bounds.grace_s), for the time that
 * closing takes.
 */
#define MIN_SHUTDOWN_MS 2500
#define KILL_MARGIN_MS 400

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

static void on_turn(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct edge *en = w->data;

	(void)loop;
	(void)revents;
	en->former_poll_ms = en->poll_ms;
	en->poll_ms = edge_now(en);
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
	 * before the process ran again. A poll that is interrupted by a signal
	 * reports it only at the next one.
	 */
	en->stop_ms = en->former_poll_ms;
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
	ev_signal_init(w, on_stop_signal, number);
	w->data = en;
	ev_signal_start(en->loop, w);
}

void edge_stop_open(struct edge *en)
{
	watch_signal(en, &en->on_term, SIGTERM);
	watch_signal(en, &en->on_int, SIGINT);
	en->poll_ms = en->former_poll_ms = edge_now(en);
	ev_prepare_init(&en->turn, on_turn);
	en->turn.data = en;
	ev_prepare_start(en->loop, &en->turn);
}

/* ---- The end ---- */

void edge_stop_tick(struct edge *en, int64_t now)
{
	const int64_t since = now - en->stop_ms;
	const int64_t latest =
		(int64_t)(en->conf->bounds.grace_s * 1000) - KILL_MARGIN_MS;

	if (since < MIN_SHUTDOWN_MS)
		return;
	/*
	 * Stop accepting requests first, then wait until the last one has
	 * ended. Exiting as soon as no request was in flight cut off one that
	 * was read in the same iteration of the event loop.
	 */
	hsc_server_close_idle(&en->callers);
	if ((en->callers.nr_conns || en->nr_tunnels) && since < latest)
		return;
	ev_break(en->loop, EVBREAK_ALL);
}

static const char *progress_of(const struct edge_req *r)
{
	if (r->awaiting_config)
		return "waits for the configuration";
	if (!r->endpoint)
		return "waits for an endpoint";
	if (!r->reply.status)
		return "no answer yet";
	return r->unread ? "caller reads too slowly" : "answer not complete";
}

static void log_cut(struct edge *en, const struct edge_req *r, int64_t now)
{
	const struct flt_endpoint *e = r->endpoint;

	met_inc(en->m.requests_cut_by_exit);
	jlog_begin(en->log, JLOG_WARN, "cut");
	jlog_str(en->log, "id", r->attempt.id);
	jlog_str(en->log, "why", "process ends");
	jlog_str(en->log, "progress", progress_of(r));
	jlog_int(en->log, "events", (int64_t)r->events.events);
	jlog_int(en->log, "held_ms", now - r->arrived_ms);
	jlog_int(en->log, "since_signal_ms", now - en->stop_ms);
	jlog_str(en->log, "endpoint", e ? e->info.id : "");
	jlog_int(en->log, "sent_ago_ms", e ? now - r->sent_ms : -1);
	jlog_int(en->log, "endpoint_age_ms",
		 e && e->received_ms ? now - e->received_ms : -1);
	jlog_int(en->log, "unsent_bytes", (int64_t)hsc_pending(r->conn));
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
	const struct edge_req *r;
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
