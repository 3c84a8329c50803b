/*
 * The way to endpoints: by this entry's own connections, or, while it is cut off
 * from them (reach.h), through another entry that opens tunnels
 * (edge_tunnel.c). Everything else about a request is the same on both ways.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "edge/edge_internal.h"

/* An entry that opened no tunnel is no relay for this long, ms. */
#define RELAY_PAUSE_MS 1000

/*
 * How long an endpoint's machine may acknowledge nothing. A sound one may be
 * silent for a second or so: to give it up sooner would lose requests that must
 * not be repeated, and resume streams that it still runs.
 */
#define ACK_TIMEOUT_MS 2500
/* TCP keepalive starts after this silence. */
#define KEEPALIVE_S 1
/* Idle connections are kept for this long unless the endpoint states less. */
#define IDLE_TIMEOUT_MS 30000

/* Interval at which connections through relays are revised, ms. */
#define REVISE_MS 500

/* An endpoint's connections; flt_endpoint.link. */
struct edge_link {
	struct edge *en;
	struct flt_endpoint *e;
	struct htc_peer direct, relayed;
	char relay[GSP_NAME_SIZE]; /* that `relayed` goes through; "": none */
};

struct ioc_timeouts edge_endpoint_timeouts(void)
{
	return (struct ioc_timeouts){
		.ack_timeout_ms = ACK_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
	};
}

/* ---- Relays ---- */

/* True if the peer opens tunnels to endpoints. */
static bool is_relay(const struct prs_peer *p, int64_t now)
{
	if (p->relay_failed_ms && now - p->relay_failed_ms < RELAY_PAUSE_MS)
		return false;
	return p->relays && !p->cut_off && p->accepting && prs_alive(p, now);
}

bool edge_has_relay(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (is_relay(p, now))
			return true;
	}
	return false;
}

/*
 * True if relays of this entry's zone are enough: bytes between zones are
 * billed, but a few entries cannot serve the callers of a whole zone.
 */
static bool stays_in_zone(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;
	unsigned relays = 0, cut_off = 1;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (strcmp(p->info.zone, en->conf->zone))
			continue;
		relays += is_relay(p, now);
		cut_off += p->cut_off && prs_alive(p, now);
	}
	return relays >= cut_off;
}

/*
 * The relay to an endpoint, by rendezvous hashing: entries that are cut off
 * spread over the relays. NULL: there is none.
 */
static const struct prs_peer *
choose_relay(const struct edge *en, const struct flt_endpoint *e, int64_t now)
{
	const uint64_t key = e->hash ^ hsh_str(en->conf->name, 0);
	const bool own_zone = stays_in_zone(en, now);
	const struct prs_peer *p, *best = NULL;
	uint64_t weight, most = 0;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (!is_relay(p, now) ||
		    (own_zone && strcmp(p->info.zone, en->conf->zone)))
			continue;
		weight = hsh_rendezvous(key, p->id);
		if (best && weight <= most)
			continue;
		best = p;
		most = weight;
	}
	return best;
}

void edge_relay_failed(struct edge *en, const char *relay)
{
	struct prs_peer *p = prs_find(&en->prs, relay);

	met_inc(en->m.relay_failures);
	if (p)
		p->relay_failed_ms = edge_now(en);
}

/* ---- Endpoints' connections ---- */

static void on_idle_lost(void *arg)
{
	struct edge_link *l = arg;

	edge_reach_suspect(l->en, REACH_LOST_CONNECTION, l->e);
}

void edge_link_free(struct flt_endpoint *e)
{
	struct edge_link *l = e->link;

	if (!l)
		return;
	htc_peer_close(&l->direct);
	htc_peer_close(&l->relayed);
	free(l);
	e->link = NULL;
}

static struct edge_link *get_link(struct edge *en, struct flt_endpoint *e)
{
	static const struct htc_limits limits = {
		.connect_ms = EDGE_CONNECT_TIMEOUT_MS,
		.ack_timeout_ms = ACK_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.idle_ms = IDLE_TIMEOUT_MS,
		.max_body_bytes = EDGE_MAX_ANSWER_BYTES,
		.window_bytes = EDGE_WINDOW_BYTES,
	};
	struct sockaddr_in addr;
	struct edge_link *l;

	if (e->link)
		return e->link;
	if (ioc_address(e->info.address, &addr, NULL))
		return NULL;
	l = calloc(1, sizeof(*l));
	assert(l);
	l->en = en;
	l->e = e;
	htc_peer_init(&l->direct, en->loop, en->clk, &addr, &limits);
	htc_peer_init(&l->relayed, en->loop, en->clk, &addr, &limits);
	l->direct.idle_lost = on_idle_lost;
	l->direct.idle_lost_arg = l;
	e->link = l;
	return l;
}

/* New connections go through `p`; idle ones through another are closed. */
static void set_relay(struct edge_link *l, const struct prs_peer *p)
{
	if (!strcmp(l->relay, p->info.name))
		return;
	str_copy(l->relay, p->info.name, sizeof(l->relay));
	htc_peer_tunnel(&l->relayed, &p->addr, l->e->info.address);
}

struct edge_way edge_way_to(struct edge *en, struct flt_endpoint *e,
			    bool avoid_direct)
{
	const int64_t now = edge_now(en);
	struct edge_link *l = get_link(en, e);
	const struct prs_peer *p;

	if (!l)
		return (struct edge_way){ 0 };
	if (!avoid_direct && !en->reach.cut_off && now >= e->relay_until_ms)
		return (struct edge_way){ .pool = &l->direct };
	/* The relay stays the same while it serves, for its connections. */
	p = l->relay[0] ? prs_find(&en->prs, l->relay) : NULL;
	if (!p || !is_relay(p, now))
		p = choose_relay(en, e, now);
	if (!p)
		return (struct edge_way){ .pool = &l->direct };
	set_relay(l, p);
	return (struct edge_way){ .pool = &l->relayed, .relay = p->info.name };
}

/* Closes idle connections through relays that are not used any more. */
static void revise_link(struct edge *en, struct edge_link *l, int64_t now)
{
	const struct prs_peer *p = prs_find(&en->prs, l->relay);

	if (p && is_relay(p, now) &&
	    (en->reach.cut_off || now < l->e->relay_until_ms))
		return;
	htc_peer_close(&l->relayed);
	l->relay[0] = '\0';
}

static void revise_links(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;
	struct edge_link *l;

	if (now - en->links_revised_ms < REVISE_MS)
		return;
	en->links_revised_ms = now;
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		l = e->link;
		if (l && l->relay[0])
			revise_link(en, l, now);
	}
}

/* ---- Checks whether endpoints are reached ---- */

/* A probe of a check. */
struct check_probe {
	struct edge *en;
	struct flt_endpoint *e; /* referenced */
};

static void begin_check(struct edge *en, unsigned probes, uint64_t except);

static void log_change(struct edge *en, const char *event, int64_t now)
{
	jlog_begin(en->log, JLOG_WARN, event);
	jlog_int(en->log, "unreached", edge_count_unreached(en, now));
	jlog_int(en->log, "endpoints", (int64_t)en->fleet.count);
	jlog_int(en->log, "endpoint_age_ms", edge_endpoint_age(en, now));
	jlog_bool(en->log, "relays", edge_has_relay(en, now));
	jlog_int(en->log, "good_checks", en->reach.good_checks);
	jlog_end(en->log);
}

/* Endpoints in backoff did not fail: they are used again, through relays. */
static void on_cut_off(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;
	struct edge_link *l;

	log_change(en, "cut_off", now);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		flt_clear_unreached(e, now);
		l = e->link;
		if (l)
			htc_peer_close(&l->direct);
	}
	edge_send_abandon_silent(en);
}

static void on_back(struct edge *en, int64_t now)
{
	struct flt_endpoint *e;

	log_change(en, "back", now);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		e->relay_until_ms = 0;
}

static void after_check(struct edge *en, enum reach_change change)
{
	const int64_t now = edge_now(en);

	if (change == REACH_CUT_OFF)
		on_cut_off(en, now);
	if (change == REACH_BACK)
		on_back(en, now);
	if (change != REACH_UNCHANGED)
		edge_gossip_broadcast(en, now);
	if (en->reach.pending)
		return;
	edge_probe_decide(en);
	edge_verify_tick(en, now);
}

static void on_probed(void *arg, enum htc_probe_result found)
{
	struct check_probe *p = arg;
	struct edge *en = p->en;
	const int64_t now = edge_now(en);
	const bool connected = found == HTC_PROBE_CONNECTED;
	enum reach_change change;
	enum reach_step step;

	if (connected)
		flt_clear_unreached(p->e, now);
	flt_unref(&en->fleet, p->e);
	free(p);
	change = reach_probed(&en->reach, connected, edge_has_relay(en, now),
			      now, &step);
	if (step == REACH_CHECK)
		begin_check(en, REACH_PROBES, 0);
	after_check(en, change);
}

static bool is_probed(struct flt_endpoint *const *targets, unsigned n,
		      const struct flt_endpoint *e, bool same_zone)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (targets[i] == e ||
		    (same_zone && !strcmp(targets[i]->info.zone, e->info.zone)))
			return true;
	}
	return false;
}

/*
 * Adds a random endpoint to the targets of a check. `other_zone`: of a zone that
 * has none yet. False: there is none.
 */
static bool add_target(struct edge *en, struct flt_endpoint **targets,
		       unsigned n, uint64_t except, bool other_zone)
{
	struct flt_endpoint *e, *found = NULL;
	uint32_t seen = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (e->hash == except || e->draining_since_ms || e->exited ||
		    e->missing_since_ms || is_probed(targets, n, e, other_zone))
			continue;
		if (!rnd_below(&en->rnd, ++seen))
			found = e;
	}
	targets[n] = found;
	return found != NULL;
}

static bool start_probe(struct edge *en, struct flt_endpoint *e)
{
	struct edge_link *l = get_link(en, e);
	struct check_probe *p;

	if (!l)
		return false;
	p = malloc(sizeof(*p));
	assert(p);
	*p = (struct check_probe){ en, e };
	if (!htc_probe(&l->direct, on_probed, p)) {
		free(p);
		return false;
	}
	flt_ref(e);
	return true;
}

/* `except`: hash of an endpoint that is not probed; 0: none. */
static void begin_check(struct edge *en, unsigned probes, uint64_t except)
{
	struct flt_endpoint *targets[REACH_PROBES];
	unsigned n = 0, i, started = 0;

	while (n < probes && add_target(en, targets, n, except, true))
		n++;
	while (n < probes && add_target(en, targets, n, except, false))
		n++;
	for (i = 0; i < n; i++)
		started += start_probe(en, targets[i]);
	if (!started)
		return;
	met_inc(en->m.reach_checks);
	reach_check_begun(&en->reach, started, probes < REACH_PROBES,
			  edge_now(en));
}

void edge_reach_suspect(struct edge *en, enum reach_suspicion why,
			const struct flt_endpoint *e)
{
	switch (reach_suspect(&en->reach, why, e->hash, edge_now(en))) {
	case REACH_NOTHING:
		break;
	case REACH_TRY:
		begin_check(en, 1, 0);
		break;
	case REACH_CHECK:
		begin_check(en, REACH_PROBES, 0);
		break;
	}
}

bool edge_reach_verify(struct edge *en, const struct flt_endpoint *e)
{
	if (en->reach.cut_off)
		return false;
	if (!en->reach.pending)
		begin_check(en, REACH_PROBES, e->hash);
	return en->reach.pending;
}

/* Suspects the way if requests wait and no endpoint sends anything. */
static void check_silence(struct edge *en, int64_t now)
{
	const struct edge_req *r;

	if (en->reach.cut_off ||
	    now - en->direct_received_ms < REACH_SILENCE_MS)
		return;
	cds_list_for_each_entry(r, &en->requests, node) {
		if (!r->call || r->relay[0] ||
		    now - r->sent_ms < REACH_SILENCE_MS)
			continue;
		edge_reach_suspect(en, REACH_SILENCE, r->endpoint);
		return;
	}
}

void edge_relay_tick(struct edge *en, int64_t now)
{
	check_silence(en, now);
	if (reach_check_due(&en->reach, now))
		begin_check(en, REACH_PROBES, 0);
	revise_links(en, now);
}
