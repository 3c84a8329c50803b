/*
 * Gossip from other entries: receives their datagrams, and sums up what they
 * reported.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hsh.h"
#include "edge/edge_rollout.h"

/* Maximum number of datagrams read per wake-up of the event loop. */
#define READ_BATCH 64

/* Time constant of the mean of the prefill tokens that peers report. */
#define REPORTED_LOAD_MS 2000.0

/*
 * The demands of other entries count as current if more than this share of the
 * entries is alive. They still do when one of four zones is lost. An entry that
 * receives no gossip limits accounts by its own share alone.
 */
#define CURRENT_SHARE 0.7

/* Maximum number of live peers' clocks that this one is compared with. */
#define MAX_CLOCK_ESTIMATES 64

/* ---- Overlay ---- */

/*
 * Callers' requests per second from which a leaf joins the core: a third of
 * what an advertised entry serves. Below, the load and the demands that are not
 * sent to the others are small.
 */
#define JOIN_REQUESTS_PER_S 8.0

/* An entry stays in the core until its usage counts are no longer sent. */
static bool is_active(struct edge *en, int64_t now)
{
	if (decay_sum_at(&en->arrivals, EDGE_ARRIVAL_RATE_MS, now) >=
	    JOIN_REQUESTS_PER_S)
		en->busy_ms = now;
	return en->busy_ms &&
	       now - en->busy_ms < EDGE_GOSSIP_WINDOWS * en->usage.window_ms;
}

void edge_peer_update_overlay(struct edge *en, int64_t now)
{
	const struct ovl_input in = {
		.duty_holder = en->duty_holder,
		.requests_per_s = edge_total_request_rate(en, now),
		.active = is_active(en, now),
	};
	const bool was_core = en->ovl.core;

	ovl_update(&en->ovl, &en->prs, &in, now);
	if (was_core == en->ovl.core)
		return;
	/* The core must know of its new demand, or that there is none. */
	edge_gossip_to_core(en, now);
}

/* ---- Incoming datagrams ---- */

/*
 * Adopts a peer's model of a service if the service is configured; models of
 * other services would only take up memory.
 */
static void adopt_model(struct edge *en, const struct svc_snapshot *snapshot)
{
	const struct cfg *c = en->force.cfg;
	size_t i;

	if (!en->conf->policy.told_models)
		return;
	for (i = 0; c && i < c->nr_services; i++) {
		if (hsh_str(c->services[i].name, 0) == snapshot->service)
			svc_adopt(edge_service_model(en, c->services[i].name),
				  snapshot);
	}
}

static void apply_record(struct edge *en, const struct gsp_record *r,
			 int64_t now)
{
	struct prs_peer *p =
		prs_receive(&en->prs, r, now, walltime_now(&en->walltime, now));
	int64_t at;
	unsigned i;

	if (!p)
		return;
	if (ovl_sort_in(&en->ovl, &en->prs, p, now))
		edge_gossip_to_leaf(en, p, now);
	prs_acknowledge(p, r, en->boot);
	at = prs_sent_ms(r, en->boot);
	if (at && r->nr_members) {
		prs_report_members(&en->prs, r, at);
		en->core_requests_per_s = r->core_requests_per_s;
	}
	if (r->store_era > sto_era(en->store))
		sto_learn_era(en->store, r->store_era);
	for (i = 0; i < r->nr_counts; i++)
		usage_merge(&en->usage, r->counts[i].source,
			    r->counts[i].window, r->counts[i].account,
			    r->counts[i].runs, now);
	for (i = 0; i < r->nr_services; i++)
		adopt_model(en, &r->services[i].estimates);
	edge_fatal_apply_gossip(en, r, now);
	if (at)
		edge_statement_apply_gossip(en, r, at, now);
	if (at)
		edge_speed_apply_gossip(en, edge_source(p->info.name, p->boot),
					r, at, now);
	edge_rollout_apply_gossip(en, edge_source(p->info.name, p->boot), r,
				  now);
	at = prs_config_confirmed_ms(r, en->boot);
	if (at)
		force_confirm(&en->force, r->cfg_version, at);
}

static void on_datagrams(struct ev_loop *loop, ev_io *w, int revents)
{
	struct edge *en = w->data;
	char bytes[GSP_MAX_BYTES];
	struct sockaddr_in from;
	socklen_t size;
	ssize_t n;
	int i;

	(void)revents;
	for (i = 0; i < READ_BATCH; i++) {
		size = sizeof(from);
		n = recvfrom(en->gossip_fd, bytes, sizeof(bytes), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &size);
		if (n < 0)
			return;
		met_inc(en->m.gossip_received);
		if (edge_bind_datagram(en, bytes, (size_t)n, &from))
			continue;
		if (gsp_decode(&en->gossip_in, bytes, (size_t)n))
			apply_record(en, &en->gossip_in, edge_now(en));
	}
	inp_event(loop, true);
}

/*
 * True if the peers' demands arrive here: datagrams of the whole core, and for
 * the time that all of it needs to send one after this entry joined.
 */
static bool receives_demands(const struct edge *en, int64_t now)
{
	return en->ovl.mesh ||
	       (en->ovl.core &&
		now - en->ovl.core_since_ms > 2 * OVL_SEND_INTERVAL_MS);
}

void edge_peer_sum_demands(struct edge *en, int64_t now)
{
	struct acct_table *t = &en->accounts;
	const bool received = receives_demands(en, now);
	unsigned alive = 0;
	struct prs_peer *p;
	struct acct *a;
	size_t i;

	t->unreported = 0;
	t->active = 1;
	cds_list_for_each_entry(a, &t->accounts, node)
		a->demand_elsewhere = 0;
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		alive += prs_alive(p, now);
		if (!p->last || now - p->received_ms > PRS_EXPIRE_MS) {
			t->unreported += p->registered;
			continue;
		}
		t->active += p->nr_demands > 0;
		for (i = 0; i < p->nr_demands; i++) {
			a = acct_get(t, p->demands[i].account, now);
			a->demand_elsewhere += p->demands[i].per_s;
		}
	}
	if (en->ovl.mesh)
		en->nr_running = prs_count_running(&en->prs, now);
	t->entries = en->ovl.mesh ? en->nr_running
				  : (unsigned)en->prs.nr_core + 1;
	t->current = alive + 1 > t->entries * CURRENT_SHARE;
	/*
	 * Entries whose lists differ select different entries for a moment: a
	 * few from which nothing arrives do not make all demands uncertain.
	 */
	if (!received || (!en->ovl.mesh && t->current))
		t->unreported = 0;
	t->gossip_delay_ms = ovl_send_interval_ms(en->prs.nr_core);
	acct_tick(t, now);
}

/*
 * Averages the prefill tokens that peers reported. A prefill takes some tens of
 * milliseconds, and a peer reports every few hundred: most reported prefills
 * are over by now, and most that wait now were never reported. The mean over a
 * few seconds estimates how many tokens usually wait.
 */
static void smooth_loads(struct edge *en, int64_t now)
{
	const double weight = en->conf->policy.mean_reports
				      ? decay_fraction(REPORTED_LOAD_MS,
						       en->loads_averaged_ms,
						       now)
				      : 0;
	struct flt_endpoint *e;

	en->loads_averaged_ms = now;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		flt_smooth_peer_prefill(e, weight);
}

void edge_peer_sum_loads(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;
	struct prs_peer *p;
	unsigned i;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		e->peer_running = 0;
		e->reported_prefill_tokens = 0;
	}
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->last || !prs_alive(p, now))
			continue;
		for (i = 0; i < p->last->nr_loads; i++) {
			const struct gsp_load *l = &p->last->loads[i];

			e = flt_find_by_hash(&en->fleet, l->endpoint);
			if (!e)
				continue;
			e->peer_running += l->running;
			e->reported_prefill_tokens += l->prefill_tokens;
		}
	}
	smooth_loads(en, now);
}

/* Corrects this entry's time of day if it differs from the peers' median. */
static void compare_clocks(struct edge *en, int64_t now)
{
	int64_t offsets[MAX_CLOCK_ESTIMATES + 1] = { 0 };
	struct prs_peer *p;
	size_t n = 1;
	int64_t by;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (n <= MAX_CLOCK_ESTIMATES && prs_heard(p, now))
			offsets[n++] = p->clock_offset_ms;
	}
	by = walltime_correct(&en->walltime, offsets, n);
	if (!by)
		return;
	/* Keeps the offsets relative to the corrected clock. */
	cds_list_for_each_entry(p, &en->prs.core, role_node)
		p->clock_offset_ms -= by;
	jlog_begin(en->log, JLOG_WARN, "clock_corrected");
	jlog_int(en->log, "by_ms", by);
	jlog_int(en->log, "estimates", (int64_t)n);
	jlog_end(en->log);
}

bool edge_peer_is_sending(const struct prs_peer *p, int64_t now)
{
	return p->last && p->last->requests_per_s > EDGE_SENDING_PER_S &&
	       prs_alive(p, now);
}

static unsigned count_sending_peers(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;
	unsigned n = 0;

	cds_list_for_each_entry(p, &en->prs.core, role_node)
		n += edge_peer_is_sending(p, now);
	return n;
}

void edge_peer_tick(struct edge *en, int64_t now)
{
	en->nr_running = prs_count_running(&en->prs, now);
	edge_peer_update_overlay(en, now);
	edge_gossip_round(en, now);
	en->sending_peers = count_sending_peers(en, now);
	en->watch_rank = ovl_watch_rank(&en->ovl, &en->prs, now);
	edge_peer_sum_demands(en, now);
	edge_peer_sum_loads(en, now);
	edge_statement_tick(en, now);
	edge_speed_tick(en, now);
	edge_bind_tick(en, now);
	compare_clocks(en, now);
	edge_serve_followers(en, now);
	prs_expire(&en->prs, now);
}

/* ---- Start ---- */

int edge_peer_open(struct edge *en, struct err *e)
{
	struct sockaddr_in addr;

	snprintf(en->peer_address, sizeof(en->peer_address), "%s:%d",
		 en->conf->ip, (int)en->conf->first_internal_port);
	if (ioc_address(en->peer_address, &addr, e) ||
	    hsc_server_open(&en->peers, en->loop, &addr, &edge_peer_http_vtable,
			    en, e))
		return -1;
	/*
	 * UDP uses the port of the TCP listener, which the kernel assigned if
	 * the settings have port 0.
	 */
	hsc_server_address(&en->peers, en->peer_address,
			   sizeof(en->peer_address));
	if (ioc_address(en->peer_address, &addr, e))
		return -1;
	en->gossip_fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (en->gossip_fd < 0 ||
	    bind(en->gossip_fd, (const struct sockaddr *)&addr, sizeof(addr)))
		return err_set(e, ERR_IO, "gossip socket on %s: %s",
			       en->peer_address, strerror(errno));
	ev_io_init(&en->gossip_watcher, on_datagrams, en->gossip_fd, EV_READ);
	ev_set_priority(&en->gossip_watcher, INP_PRIORITY);
	en->gossip_watcher.data = en;
	ev_io_start(en->loop, &en->gossip_watcher);
	return 0;
}
