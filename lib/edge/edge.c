#include "edge/edge.h"

#include <assert.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/hsh.h"
#include "edge/edge_rollout.h"

/*
 * Interval of the periodic work. The shortest times that depend on it are a few
 * hundred milliseconds.
 */
#define TICK_INTERVAL_MS 50

/*
 * Interval of a leaf without requests, of which a large fleet has hundreds: its
 * own times are of OVL_SEND_INTERVAL_MS and longer.
 */
#define IDLE_TICK_INTERVAL_MS OVL_ROUND_MS

/* Interval of gossip rounds and of the work that depends on them. */
#define GOSSIP_INTERVAL_MS OVL_ROUND_MS

/* A counter for each kind: calls are billed, so growth must be traceable. */
static void register_store_metrics(struct met *m, struct edge_metrics *x)
{
	static const char *const names[STO_KINDS] = {
		[STO_GET] = "store_gets_total",
		[STO_LIST] = "store_lists_total",
		[STO_WATCH] = "store_watches_total",
		[STO_WRITE] = "store_writes_total",
		[STO_LEASE_GRANT] = "store_leases_total",
		[STO_LEASE_RENEW] = "store_renewals_total",
		[STO_LEASE_END] = "store_lease_ends_total",
	};
	int i;

	for (i = 0; i < STO_KINDS; i++)
		x->store_calls[i] = met_counter(
			m, names[i], "calls of this kind to the store");
	x->store_followed =
		met_counter(m, "store_followed_total",
			    "questions to an entry that watches the store");
	x->store_relayed = met_counter(m, "store_relayed_total",
				       "calls passed on for other entries");
}

static void register_gossip_metrics(struct met *m, struct edge_metrics *x)
{
	x->gossip_sent = met_counter(m, "gossip_sent_total",
				     "datagrams sent to other entries");
	x->gossip_received = met_counter(m, "gossip_received_total",
					 "datagrams received from them");
	x->gossip_bytes_sent = met_counter(m, "gossip_sent_bytes_total",
					   "bytes of those sent");
	x->gossip_rows_cut =
		met_counter(m, "gossip_rows_cut_total",
			    "rows that did not fit into a datagram");
	x->core_entries = met_gauge(m, "core_entries",
				    "entries that this one sends its state to");
	x->in_core =
		met_gauge(m, "in_core", "1: all state is exchanged with it");
}

/* What endpoints state of themselves in their answers. */
static void register_statement_metrics(struct met *m, struct edge_metrics *x)
{
	x->limits_stated = met_counter(
		m, "endpoint_limits_stated_total",
		"answers in which an endpoint limited its requests");
	x->statements_malformed =
		met_counter(m, "endpoint_statements_malformed_total",
			    "answers with a statement that cannot be read");
	x->sends_to_limited =
		met_counter(m, "sends_to_limited_total",
			    "requests sent to endpoints that state a limit");
	x->leaving_stated = met_counter(
		m, "endpoint_leaving_stated_total",
		"answers in which an endpoint stated that it leaves");
	x->sends_to_leaving =
		met_counter(m, "sends_to_leaving_total",
			    "requests sent to endpoints that stated so");
	x->waits_stated =
		met_counter(m, "endpoint_waits_stated_total",
			    "refusals with which an endpoint asked for a wait");
	x->sends_in_wait = met_counter(m, "sends_in_wait_total",
				       "requests sent to endpoints meanwhile");
	x->answers_withheld = met_counter(
		m, "answers_withheld_total",
		"requests refused because endpoints take no more for now");
	x->brittle_refusals =
		met_counter(m, "brittle_refusals_total",
			    "refusals of brittle endpoints for want of room");
	x->endpoints_brittle =
		met_gauge(m, "endpoints_brittle", "endpoints that state so");
	x->endpoints_slow = met_gauge(m, "endpoints_slow",
				      "that take over 1.2 times as predicted");
	x->sends_off_slow = met_counter(
		m, "sends_off_slow_total",
		"sends that went elsewhere since an endpoint is slow");
	x->endpoints_limited = met_gauge(m, "endpoints_limited",
					 "endpoints that state a limit");
}

/* The way to endpoints, and tunnels for other entries. */
static void register_relay_metrics(struct met *m, struct edge_metrics *x)
{
	x->sends_unreached =
		met_counter(m, "sends_unreached_total",
			    "sends without a connection to the endpoint");
	x->endpoints_unreached = met_gauge(
		m, "endpoints_unreached",
		"endpoints without requests as they were not reached");
	x->endpoint_age_ms =
		met_gauge(m, "endpoint_age_ms",
			  "since any endpoint sent something; -1: none did");
	x->cut_off =
		met_gauge(m, "cut_off", "1: no endpoint is reached directly");
	x->reach_checks =
		met_counter(m, "reach_checks_total",
			    "checks whether endpoints are reached directly");
	x->sends_relayed = met_counter(m, "sends_relayed_total",
				       "requests sent through another entry");
	x->relay_failures =
		met_counter(m, "relay_failures_total",
			    "requests for tunnels that other entries refused");
	x->tunnels = met_gauge(m, "tunnels",
			       "tunnels to endpoints for other entries");
	x->tunnels_opened =
		met_counter(m, "tunnels_opened_total", "of them, ever");
	x->tunnels_refused = met_counter(m, "tunnels_refused_total",
					 "requests for a tunnel refused");
}

/* Requests at the shutdown of the entry, or of their endpoint. */
static void register_leaving_metrics(struct met *m, struct edge_metrics *x)
{
	x->rejected_leaving = met_counter(
		m, "rejected_leaving_total",
		"requests rejected that could not end before this entry does");
	x->requests_cut_by_exit = met_counter(
		m, "requests_cut_by_exit_total",
		"requests without a whole answer as the process ended");
	x->moves = met_counter(m, "moves_total",
			       "runs copied away from leaving endpoints");
	x->moves_failed = met_counter(m, "moves_failed_total",
				      "copies of runs that failed");
	x->copies_unused =
		met_counter(m, "copies_unused_total",
			    "copies of runs that ended before they were used");
}

/* Streams, and the versions that began them. */
static void register_stream_metrics(struct met *m, struct edge_metrics *x)
{
	x->moves_untargeted = met_counter(
		m, "moves_untargeted_total",
		"streams at leaving endpoints, without another of their version");
	x->streams_taken_up =
		met_counter(m, "streams_taken_up_total",
			    "streams that callers continue after a break");
	x->streams_mixed = met_counter(
		m, "streams_mixed_total",
		"sends of the rest of a stream to another version than began it");
	x->bindings = met_gauge(m, "bindings",
				"streams whose first version is known");
	x->bindings_asked = met_counter(
		m, "bindings_asked_total",
		"queries for the version of a stream that a caller continues");
	x->bindings_unknown =
		met_counter(m, "bindings_unknown_total",
			    "streams not continued as it was not known");
	x->place_waits = met_counter(
		m, "place_waits_total",
		"waits for a place at an endpoint of a stream's version");
	x->binding_datagrams =
		met_counter(m, "binding_datagrams_total",
			    "datagrams about the versions of streams");
	x->binding_writes = met_counter(m, "binding_writes_total",
					"writes of bindings to the store");
	x->bindings_recalled = met_counter(
		m, "bindings_recalled_total",
		"bindings of continued streams that were read from the store");
	x->version_writes = met_counter(m, "version_writes_total",
					"writes of the record of versions");
	x->versions_read = met_counter(
		m, "versions_read_total",
		"reads of that record for streams that callers continue");
	x->endpoints_unrecorded = met_gauge(
		m, "endpoints_unrecorded",
		"endpoints without new streams until their version is recorded");
}

static void register_suspect_metrics(struct met *m, struct edge_metrics *x)
{
	x->suspects[0] = (struct edge_suspect_metrics){
		met_counter(m, "requests_suspected_total",
			    "ends held against a request"),
		met_counter(m, "requests_convicted_total",
			    "requests known to end endpoints"),
		met_counter(m, "requests_cleared_total",
			    "suspects cleared by a whole answer"),
	};
	x->suspects[1] = (struct edge_suspect_metrics){
		met_counter(m, "parts_suspected_total",
			    "crashes that count against a part of prompts"),
		met_counter(m, "parts_convicted_total",
			    "parts of prompts that crash endpoints"),
		met_counter(m, "parts_cleared_total",
			    "suspected parts cleared by a complete answer"),
	};
	x->sends_quarantined =
		met_counter(m, "sends_quarantined_total",
			    "sends of requests that are quarantined: 0");
	x->requests_withheld =
		met_counter(m, "requests_withheld_total",
			    "attempts of such requests not sent");
}

static void register_admission_metrics(struct met *m, struct edge_metrics *x)
{
	x->admitted_congested =
		met_counter(m, "admitted_congested_total",
			    "requests sent to an endpoint without a free slot");
	x->admission_waits = met_counter(
		m, "admission_waits_total",
		"requests that waited at the entry for a shorter queue");
	x->rejected_congested =
		met_counter(m, "rejected_congested_total",
			    "requests rejected as the queue was too long");
	x->rejected_no_time = met_counter(
		m, "rejected_no_time_total",
		"requests rejected that could not begin before their deadline");
	x->admission_wait_ms = met_histogram(m, "admission_wait_ms",
					     "waits for a shorter queue");
}

static void register_answer_metrics(struct met *m, struct edge_metrics *x)
{
	x->answers_verified =
		met_counter(m, "answers_verified_total",
			    "answers without framing, probed for a crash");
	x->answers_oversized =
		met_counter(m, "answers_oversized_total",
			    "answers given up since they were too large");
	x->streams_paused =
		met_counter(m, "streams_paused_total",
			    "pauses of streams that callers read too slowly");
}

static void register_memory_metrics(struct met *m, struct edge_metrics *x)
{
	static const char *const names[MEM_RANKS] = {
		[MEM_INCOMPLETE] = "memory_shed_incomplete_total",
		[MEM_WAITING] = "memory_shed_waiting_total",
		[MEM_ANSWERED] = "memory_shed_unread_total",
		[MEM_RUNNING] = "memory_shed_running_total",
	};
	int i;

	x->held_bytes = met_gauge(m, "memory_held_bytes",
				  "held for connections: requests and answers");
	x->large_held_bytes = met_gauge(m, "memory_held_large_bytes",
					"of them, what the limit applies to");
	for (i = 0; i < MEM_RANKS; i++)
		x->memory_shed[i] = met_counter(
			m, names[i], "given up when memory was short");
	x->connections = met_gauge(m, "connections",
				   "accepted connections that are open");
	x->connections_closed =
		met_counter(m, "connections_closed_for_others_total",
			    "closed as there were too many");
}

static void register_metrics(struct edge *en)
{
	struct met *m = &en->met;
	struct edge_metrics *x = &en->m;

	x->requests = met_counter(m, "requests_total", "requests read whole");
	x->answers_passed =
		met_counter(m, "answers_passed_total",
			    "answers of endpoints given to callers");
	x->answers_refused =
		met_counter(m, "answers_refused_total",
			    "requests told that they were not run");
	x->answers_failed = met_counter(m, "answers_failed_total",
					"requests told that no answer came");
	x->streams_cut = met_counter(m, "streams_cut_total",
				     "answers broken off half-way");
	x->callers_gone = met_counter(m, "callers_gone_total",
				      "callers who left before their answer");
	x->requests_denied =
		met_counter(m, "requests_denied_total",
			    "requests that are wrong or not allowed");
	x->sends = met_counter(m, "sends_total", "requests sent to endpoints");
	x->resends = met_counter(m, "resends_total", "sent once more");
	x->resumes = met_counter(m, "resumes_total",
				 "streams continued at another endpoint");
	x->probes = met_counter(m, "probes_total",
				"looks whether an endpoint is still there");
	x->endpoints_ended =
		met_counter(m, "endpoints_ended_total",
			    "endpoints that ended under our requests");
	register_answer_metrics(m, x);
	register_memory_metrics(m, x);
	register_suspect_metrics(m, x);
	x->sends_not_run = met_counter(m, "sends_not_run_total",
				       "sends that endpoints did not run");
	x->sends_lost = met_counter(m, "sends_lost_total",
				    "sends whose outcome is unknown");
	register_store_metrics(m, x);
	register_gossip_metrics(m, x);
	register_statement_metrics(m, x);
	register_relay_metrics(m, x);
	register_leaving_metrics(m, x);
	register_stream_metrics(m, x);
	register_admission_metrics(m, x);
	x->entries_unreadable =
		met_counter(m, "endpoint_entries_unreadable_total",
			    "endpoints' entries in the store without sense");
	x->items_skipped =
		met_counter(m, "store_items_skipped_total",
			    "items in the store's answers without a valid key");
	x->store_failures = met_counter(m, "store_failures_total",
					"calls to the store that failed");
	x->store_returns = met_counter(
		m, "store_returns_total",
		"times that the store came back from an older copy");
	x->config_checks = met_counter(m, "config_checks_total",
				       "readings of the configuration");
	x->usage_reports =
		met_counter(m, "usage_reports_total", "usage reports sent");
	x->scale_orders =
		met_counter(m, "orders_total", "orders for endpoints sent");
	x->rollouts_completed = met_counter(m, "rollouts_completed_total",
					    "roll-outs that were completed");
	x->rollouts_rolled_back =
		met_counter(m, "rollouts_rolled_back_total",
			    "roll-outs that were rolled back");
	x->sends_on_trial = met_counter(
		m, "sends_on_trial_total",
		"requests sent to a version that is being rolled out");
	x->lines_dropped = met_gauge(m, "log_lines_dropped",
				     "log lines dropped since the start");
	x->config_version = met_gauge(m, "config_version",
				      "version of the configuration in force");
	x->endpoints = met_gauge(m, "endpoints", "endpoints known");
	x->entries = met_gauge(m, "entries", "entries known, with this one");
	x->list_age_ms =
		met_gauge(m, "endpoint_list_age_ms",
			  "since the list of endpoints was last complete");
	x->first_event_ms =
		met_histogram(m, "first_event_ms",
			      "from a request's arrival to its first event");
	x->answer_ms = met_histogram(m, "answer_ms",
				     "from a request's arrival to its end");
	x->endpoint_ms =
		met_histogram(m, "endpoint_ms", "from a send to its end");
	x->prediction_error_ms = met_histogram(
		m, "prediction_error_ms",
		"first event, or answer without events, against what was expected");
}

/* ---- Reload of the settings ---- */

static void on_reload_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct edge *en = w->data;
	struct err e = ERR_INIT;
	struct conf c;

	(void)loop;
	(void)revents;
	if (conf_load(en->settings_path, &c, &e)) {
		jlog_begin(en->log, JLOG_ERROR, "reload_failed");
		jlog_str(en->log, "why", e.text);
		jlog_end(en->log);
		return;
	}
	/* These apply at once; the other settings need a restart. */
	en->mutable_conf.bounds = c.bounds;
	en->mutable_conf.list_ttl_s = c.list_ttl_s;
	en->mutable_conf.policy = c.policy;
	edge_log_process(en, "reloaded");
}

/* ---- Totals ---- */

/* Interval of the line that sums up what this entry sent, ms. */
#define TOTALS_INTERVAL_MS 10000

/* The calls to the store are billed, and datagrams grow with the fleet. */
static void log_totals(struct edge *en, int64_t now)
{
	int i;

	en->totals_ms = now;
	jlog_begin(en->log, JLOG_INFO, "totals");
	for (i = 0; i < STO_KINDS; i++)
		jlog_int(en->log, sto_kind_name(i),
			 met_get(en->m.store_calls[i]));
	jlog_int(en->log, "followed", met_get(en->m.store_followed));
	jlog_int(en->log, "relayed", met_get(en->m.store_relayed));
	jlog_int(en->log, "store_failures", met_get(en->m.store_failures));
	jlog_int(en->log, "gossip_sent", met_get(en->m.gossip_sent));
	jlog_int(en->log, "gossip_bytes", met_get(en->m.gossip_bytes_sent));
	jlog_int(en->log, "gossip_received", met_get(en->m.gossip_received));
	jlog_int(en->log, "rows_cut", met_get(en->m.gossip_rows_cut));
	jlog_int(en->log, "requests", met_get(en->m.requests));
	jlog_int(en->log, "sends", met_get(en->m.sends));
	jlog_int(en->log, "limits_stated", met_get(en->m.limits_stated));
	jlog_int(en->log, "sends_to_limited", met_get(en->m.sends_to_limited));
	jlog_int(en->log, "leaving_stated", met_get(en->m.leaving_stated));
	jlog_int(en->log, "sends_to_leaving", met_get(en->m.sends_to_leaving));
	jlog_int(en->log, "waits_stated", met_get(en->m.waits_stated));
	jlog_int(en->log, "sends_in_wait", met_get(en->m.sends_in_wait));
	jlog_int(en->log, "sends_unreached", met_get(en->m.sends_unreached));
	jlog_int(en->log, "sends_relayed", met_get(en->m.sends_relayed));
	jlog_int(en->log, "reach_checks", met_get(en->m.reach_checks));
	jlog_bool(en->log, "cut_off", en->reach.cut_off);
	jlog_int(en->log, "tunnels", en->nr_tunnels);
	jlog_int(en->log, "unreached", edge_count_unreached(en, now));
	jlog_int(en->log, "endpoint_age_ms", edge_endpoint_age(en, now));
	jlog_int(en->log, "brittle", edge_statement_count_brittle(en));
	jlog_int(en->log, "brittle_refusals", met_get(en->m.brittle_refusals));
	jlog_int(en->log, "entries", en->nr_running);
	jlog_int(en->log, "core", (int64_t)en->prs.nr_core);
	jlog_int(en->log, "leaves", (int64_t)en->prs.nr_leaves);
	jlog_bool(en->log, "in_core", en->ovl.core);
	jlog_int(en->log, "watch_rank", en->watch_rank);
	jlog_int(en->log, "config_age_ms", force_age(&en->force, now));
	jlog_int(en->log, "list_age_ms", edge_list_age(en, now));
	jlog_int(en->log, "held_bytes", (int64_t)en->mem.bytes);
	jlog_int(en->log, "shed", (int64_t)mem_nr_shed(&en->mem));
	jlog_int(en->log, "closed_for_others", (int64_t)edge_memory_closed(en));
	jlog_end(en->log);
}

/* ---- Start and event loop ---- */

static void set_tick_interval(struct edge *en)
{
	const bool idle = !en->ovl.core && cds_list_empty(&en->requests) &&
			  en->force.cfg && !en->stopping;
	const double s =
		(idle ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS) / 1000.0;

	if (en->tick.repeat == s)
		return;
	en->tick.repeat = s;
	ev_timer_again(en->loop, &en->tick);
}

/* An iteration that begins this long after its timer was due counts as a stall, ms. */
#define STALL_MS 250

static void on_iteration(struct ev_loop *loop, ev_check *w, int revents)
{
	struct edge *en = w->data;
	const int64_t now = edge_now(en);
	const int64_t pause = now - en->iteration_ms;

	(void)loop;
	(void)revents;
	if (pause > (int64_t)(en->tick.repeat * 1000) + STALL_MS) {
		if (now - en->stalled_ms > EDGE_STALL_MEMORY_MS ||
		    pause > en->stall_length_ms)
			en->stall_length_ms = pause;
		inp_add_stall(&en->input, pause);
		en->stalled_ms = now;
		en->stall_began_ms = en->iteration_ms;
	}
	en->iteration_ms = now;
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge *en = t->data;
	const int64_t now = edge_now(en);

	(void)revents;
	if (inp_defers(loop, t))
		return;
	edge_store_tick(en, now);
	if (now - en->gossip_round_ms >= GOSSIP_INTERVAL_MS) {
		en->gossip_round_ms = now;
		edge_peer_tick(en, now);
	}
	edge_duty_tick(en, now);
	edge_rollout_tick(en, now);
	edge_relay_tick(en, now);
	edge_fatal_tick(en, now);
	edge_move_tick(en, now);
	edge_send_copies_tick(en, now);
	edge_verify_tick(en, now);
	if (now - en->totals_ms >= TOTALS_INTERVAL_MS)
		log_totals(en, now);
	if (en->stopping)
		edge_stop_tick(en, now);
	mem_relieve(&en->mem);
	set_tick_interval(en);
}

/* Listens on `at`; port 0 in it is replaced by the port that was bound. */
static int open_listener(struct edge *en, struct hsc_server *s,
			 char at[CONF_ADDRESS_SIZE],
			 const struct hsc_vtable *vt, struct err *e)
{
	struct sockaddr_in addr;

	if (ioc_address(at, &addr, e) ||
	    hsc_server_open(s, en->loop, &addr, vt, en, e))
		return -1;
	hsc_server_address(s, at, CONF_ADDRESS_SIZE);
	return 0;
}

static int open_listeners(struct edge *en, struct err *e)
{
	struct conf *c = &en->mutable_conf;

	if (open_listener(en, &en->ready, c->listen.ready, &edge_lookup_vtable,
			  e) ||
	    open_listener(en, &en->lookup, c->listen.lookup,
			  &edge_lookup_vtable, e) ||
	    open_listener(en, &en->callers, c->listen.callers,
			  &edge_caller_vtable, e))
		return -1;
	return edge_peer_open(en, e);
}

static void init(struct edge *en)
{
	const struct conf *c = en->conf;
	const struct acct_slack slack = {
		.rate_part = c->bounds.limit_overrun,
		.amount = c->bounds.limit_slack,
	};
	const int64_t now = edge_now(en);

	en->start_ms = en->totals_ms = now;
	en->boot = rnd_secret() | 1;
	en->source = edge_source(c->name, en->boot);
	rnd_seed(&en->rnd, en->boot);
	CDS_INIT_LIST_HEAD(&en->requests);
	CDS_INIT_LIST_HEAD(&en->verifying);
	CDS_INIT_LIST_HEAD(&en->awaiting_config);
	CDS_INIT_LIST_HEAD(&en->followers);
	CDS_INIT_LIST_HEAD(&en->held_probes);
	CDS_INIT_LIST_HEAD(&en->tunnels);
	register_metrics(en);
	force_init(&en->force);
	flt_init(&en->fleet, edge_link_free);
	CDS_INIT_LIST_HEAD(&en->models);
	CDS_INIT_LIST_HEAD(&en->admissions);
	CDS_INIT_LIST_HEAD(&en->route_times);
	parts_init(&en->parts);
	acct_init(&en->accounts, &slack);
	prs_init(&en->prs);
	ovl_init(&en->ovl, &(struct ovl_self){ c->name, c->zone, en->source,
					       (size_t)c->policy.max_mesh });
	en->nr_running = 1;
	edge_fatal_open(en);
	edge_bind_log_open(en);
	edge_rollout_open(en);
	en->accounts.first_start = c->first_start;
	/* At the first start of the system no former holder can be active. */
	lead_init(&en->lead, c->first_start ? 0 : (int64_t)c->bounds.lease_ms,
		  now);
	en->lead.holdoff_ms = (int64_t)c->bounds.lease_ms;
	usage_init(&en->usage, (int64_t)(c->bounds.usage_window_s * 1000));
	walltime_init(&en->walltime, clk_wall_ms(en->clk), now);
}

static void log_start(struct edge *en)
{
	jlog_begin(en->log, JLOG_INFO, "start");
	jlog_str(en->log, "zone", en->conf->zone);
	jlog_str(en->log, "callers", en->conf->listen.callers);
	jlog_str(en->log, "lookup", en->conf->listen.lookup);
	jlog_str(en->log, "ready", en->conf->listen.ready);
	jlog_str(en->log, "peers", en->peer_address);
	jlog_str(en->log, "store", en->conf->store.address);
	jlog_bool(en->log, "usage", en->conf->cloud.usage);
	jlog_bool(en->log, "scaling", en->conf->cloud.scaling);
	jlog_end(en->log);
}

int edge_run(const char *settings_path, const struct conf *conf,
	     const struct wire *wire, const struct clk *clk,
	     enum jlog_level level, struct err *e)
{
	struct edge *en = calloc(1, sizeof(*en));
	struct sockaddr_in store;

	assert(en);
	en->loop = ev_default_loop(EVFLAG_AUTO);
	en->clk = clk;
	en->mutable_conf = *conf;
	en->conf = &en->mutable_conf;
	en->settings_path = settings_path;
	en->wire = wire;
	init(en);
	if (ioc_address(conf->store.address, &store, e) ||
	    open_listeners(en, e))
		return 1;
	edge_memory_open(en);
	en->log = jlog_create(en->loop, clk, STDOUT_FILENO, level, conf->name);
	log_start(en);
	edge_store_open(en, &store);
	edge_duty_open(en);
	edge_stop_open(en);
	ev_signal_init(&en->on_hup, on_reload_signal, SIGHUP);
	en->on_hup.data = en;
	ev_signal_start(en->loop, &en->on_hup);
	ev_timer_init(&en->tick, on_tick, 0, (double)TICK_INTERVAL_MS / 1000);
	en->tick.data = en;
	ev_timer_start(en->loop, &en->tick);
	inp_attach(&en->input, en->loop);
	en->iteration_ms = edge_now(en);
	ev_check_init(&en->iteration, on_iteration);
	ev_set_priority(&en->iteration, EV_MAXPRI);
	en->iteration.data = en;
	ev_check_start(en->loop, &en->iteration);
	ev_run(en->loop, 0);
	edge_stop_finish(en);
	/* The process exits, so the remaining memory is not freed. */
	return 0;
}
