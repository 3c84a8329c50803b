/*
 * Gossip to other entries: each entry sends its state in UDP datagrams (gsp.h)
 * to those that the overlay (ovl.h) selects. Datagrams are not acknowledged; a
 * later one replaces those that were lost.
 */
#include <assert.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/hsh.h"
#include "edge/edge_rollout.h"

/*
 * A peer counts as new for this long after its first datagram. Meanwhile it is
 * sent the latency models and all suspects, in three rounds, of which one may
 * be lost. Peers that keep all counts are always sent the models: one of these
 * peers is the duty holder, which orders endpoints by them.
 */
#define NEW_PEER_MS 2000

/* Lower demands of an account are not sent. */
#define MIN_DEMAND_PER_S 0.01

/* ---- State ---- */

static void add_demands(struct edge *en, int64_t now)
{
	struct acct *a;
	double per_s;

	cds_list_for_each_entry(a, &en->accounts.accounts, node) {
		per_s = acct_demand(a, now);
		if (per_s >= MIN_DEMAND_PER_S)
			rows_add_demand(&en->rows, a->name, per_s);
	}
}

static void fill_loads(struct edge *en, struct gsp_record *r)
{
	struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!e->running)
			continue;
		if (r->nr_loads == GSP_MAX_LOADS) {
			met_inc(en->m.gossip_rows_cut);
			continue;
		}
		r->loads[r->nr_loads++] = (struct gsp_load){
			.endpoint = e->hash,
			.running = e->running,
			.prefill_tokens = (int)e->prefill_tokens,
		};
	}
}

static void fill_services(struct edge *en, struct gsp_record *r, int64_t now)
{
	struct gsp_service *row;
	struct svc *s;

	cds_list_for_each_entry(s, &en->models, node) {
		if (r->nr_services == GSP_MAX_SERVICES)
			return;
		row = &r->services[r->nr_services++];
		svc_export(s, &row->estimates);
		row->prefill_tokens_per_s = svc_prefill_tokens_per_s(s, now);
		ofd_export(&s->offered, now, &row->offered);
	}
}

static int by_source(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void collect_live_sources(struct edge *en, int64_t now)
{
	const struct prs_peer *p;

	if (en->max_live_sources < en->prs.nr_core) {
		en->max_live_sources = 2 * en->prs.nr_core;
		en->live_sources =
			realloc(en->live_sources,
				en->max_live_sources * sizeof(uint64_t));
		assert(en->live_sources);
	}
	en->nr_live_sources = 0;
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (prs_alive(p, now))
			en->live_sources[en->nr_live_sources++] =
				edge_source(p->info.name, p->boot);
	}
	if (en->nr_live_sources)
		qsort(en->live_sources, en->nr_live_sources, sizeof(uint64_t),
		      by_source);
}

/*
 * Counts are sent for this long after they changed, in three datagrams of which
 * two may be lost. All of them are sent to entries that began to collect them,
 * or that acknowledged no datagram for that long.
 */
#define REPEAT_COUNTS_MS (3 * OVL_SEND_INTERVAL_MS)

/*
 * A live peer of the core sends its counts itself. Those of leaves are passed
 * on by their hubs. Those of processes that have exited are passed on too,
 * since the entry that reports the usage may have started later.
 */
static bool sends_count(const struct edge *en, uint64_t source)
{
	return source == en->source || !en->nr_live_sources ||
	       !bsearch(&source, en->live_sources, en->nr_live_sources,
			sizeof(source), by_source);
}

static void add_count(struct edge *en, const struct usage_count *c,
		      bool changed)
{
	const int64_t age = edge_now(en) - c->changed_ms;

	if ((age < REPEAT_COUNTS_MS) == changed && sends_count(en, c->source))
		rows_add_count(&en->rows, c->source, c->window, c->account,
			       c->runs);
}

static void add_changed_count(const struct usage_count *c, void *arg)
{
	add_count(arg, c, true);
}

static void add_other_count(const struct usage_count *c, void *arg)
{
	add_count(arg, c, false);
}

static void add_counts(struct edge *en, int64_t now)
{
	const int64_t true_now = walltime_now(&en->walltime, now);
	const int64_t from =
		usage_window(&en->usage, true_now) - EDGE_GOSSIP_WINDOWS + 1;

	collect_live_sources(en, now);
	usage_each(&en->usage, from, add_changed_count, en);
	rows_end_changed(&en->rows);
	usage_each(&en->usage, from, add_other_count, en);
}

/*
 * The head of a datagram, and the endpoints' statements. A leaf sends no other
 * rows.
 */
static void fill_head(struct edge *en, int64_t now)
{
	struct gsp_record *r = &en->gossip_out;
	const int64_t true_now = walltime_now(&en->walltime, now);
	const int64_t age = force_age(&en->force, now);

	rows_clear(&en->rows);
	gsp_clear(r);
	r->role = en->ovl.core ? GSP_CORE : GSP_LEAF;
	str_copy(r->name, en->conf->name, GSP_NAME_SIZE);
	r->boot = en->boot;
	r->stamp_ms = now;
	r->true_ms = true_now;
	r->accepting = edge_is_ready(en);
	r->store_ok = sto_direct_ok(en->store);
	r->relays = true;
	r->has_capacity = true;
	r->cut_off = en->reach.cut_off;
	r->store_era = sto_era(en->store);
	r->cfg_version = en->force.cfg ? en->force.cfg->version : 0;
	r->cfg_confirmed_age_ms = age == INT64_MAX ? -1 : age;
	r->requests_per_s =
		decay_sum_at(&en->arrivals, EDGE_ARRIVAL_RATE_MS, now);
	edge_statement_fill_gossip(en, r, now);
}

static void fill_all(struct edge *en, int64_t now)
{
	struct gsp_record *r = &en->gossip_out;

	fill_head(en, now);
	add_demands(en, now);
	fill_loads(en, r);
	fill_services(en, r, now);
	edge_fatal_fill_gossip(en, r, now);
	edge_speed_fill_gossip(en, r, now);
	edge_rollout_fill_gossip(en, r, now);
	add_counts(en, now);
	edge_mark_count_keepers(en, now);
}

/* The head, and the members of the core. */
static void fill_members(struct edge *en, int64_t now)
{
	size_t cut;

	fill_head(en, now);
	en->gossip_out.core_requests_per_s = edge_total_request_rate(en, now);
	cut = ovl_fill_members(&en->prs, &en->gossip_out, now);
	if (cut)
		met_add(en->m.gossip_rows_cut, (long long)cut);
}

/* ---- Datagrams ---- */

/*
 * Suspected poison requests that each datagram repeats after the new ones
 * (nr_fatal_news).
 */
#define REPEATED_SUSPECTS 2

/* True if the peer may have just started, without models and suspects. */
static bool is_new_peer(const struct prs_peer *p, int64_t now)
{
	return now - p->boot_seen_ms < NEW_PEER_MS;
}

/* Peers that serve clients, by rank or not, and releases without roles. */
static bool needs_demands(const struct edge *en, const struct prs_peer *p)
{
	return en->ovl.core && (p->serves || !p->selected || !p->has_role);
}

/* The number of rows of each kind that a group of datagrams begins with. */
struct row_counts {
	unsigned loads, services, fatal, tallies, rolled_back, members,
		statements, brittle, speeds, rollouts;
};

static struct row_counts count_rows(const struct gsp_record *r)
{
	return (struct row_counts){
		r->nr_loads,	  r->nr_services,    r->nr_fatal,
		r->nr_tallies,	  r->nr_rolled_back, r->nr_members,
		r->nr_statements, r->nr_brittle,     r->nr_speeds,
		r->nr_rollouts,
	};
}

static void set_row_counts(struct gsp_record *r, const struct row_counts *n)
{
	r->nr_loads = n->loads;
	r->nr_services = n->services;
	r->nr_fatal = n->fatal;
	r->nr_tallies = n->tallies;
	r->nr_rolled_back = n->rolled_back;
	r->nr_members = n->members;
	r->nr_statements = n->statements;
	r->nr_brittle = n->brittle;
	r->nr_speeds = n->speeds;
	r->nr_rollouts = n->rollouts;
}

/* Leaves out the rows that the peer does not need. */
static void trim(struct edge *en, const struct prs_peer *p, int64_t now)
{
	struct gsp_record *r = &en->gossip_out;
	const unsigned fatal = en->nr_fatal_news + REPEATED_SUSPECTS;

	if (!p->collects_counts)
		r->nr_tallies = r->nr_rollouts = 0;
	if (!p->collects_counts && !is_new_peer(p, now))
		r->nr_services = 0;
	if (!is_new_peer(p, now) && r->nr_fatal > fatal)
		r->nr_fatal = fatal;
}

static void send_datagram(struct edge *en, const struct prs_peer *p,
			  const char *bytes, size_t n)
{
	met_inc(en->m.gossip_sent);
	met_add(en->m.gossip_bytes_sent, (long long)n);
	/* Errors are ignored: the next datagram has all of it again. */
	sendto(en->gossip_fd, bytes, n, MSG_DONTWAIT | MSG_NOSIGNAL,
	       (const struct sockaddr *)&p->addr, sizeof(p->addr));
}

/* Counts that did not change lately may be missing at the peer. */
static bool lacks_counts(const struct prs_peer *p, int64_t now)
{
	return is_new_peer(p, now) ||
	       now - p->collects_since_ms < NEW_PEER_MS ||
	       !prs_up_to_date(p, REPEAT_COUNTS_MS, now);
}

/* Sends en->gossip_out and en->rows to a peer. */
static void send_to(struct edge *en, struct prs_peer *p, int64_t now)
{
	struct gsp_record *r = &en->gossip_out;
	const struct row_counts rows = count_rows(r);
	const bool takes_counts = p->collects_counts || !en->ovl.core;
	const struct rows_filter filter = {
		.demands = needs_demands(en, p),
		.counts = takes_counts,
		.all_counts = takes_counts && lacks_counts(p, now),
	};
	struct rows_cursor at = { 0 };
	char bytes[GSP_MAX_BYTES];
	size_t n, left;

	prs_address(p, r, now);
	r->with_counts = p->collects_counts;
	r->group = en->seq + 1;
	trim(en, p, now);
	do {
		r->seq = ++en->seq;
		n = rows_encode(&en->rows, &filter, &at, r, bytes,
				sizeof(bytes));
		if (n)
			send_datagram(en, p, bytes, n);
		/* A release without roles takes each datagram for all there
		 * is. */
	} while (n && p->has_role && at.part < GSP_MAX_PARTS);
	left = rows_left(&en->rows, &filter, &at);
	if (left)
		met_add(en->m.gossip_rows_cut, (long long)left);
	set_row_counts(r, &rows);
}

/* Sends to the part of a list of `n` peers whose turn it is. */
static void send_to_part(struct edge *en, const struct cds_list_head *list,
			 size_t n, unsigned *next, int64_t now)
{
	struct ovl_turn turn = ovl_begin_turn(n, next);
	struct prs_peer *p;

	cds_list_for_each_entry(p, list, role_node) {
		if (ovl_is_turn(&turn))
			send_to(en, p, now);
	}
}

static void send_to_all(struct edge *en, const struct cds_list_head *list,
			int64_t now)
{
	struct prs_peer *p;

	cds_list_for_each_entry(p, list, role_node)
		send_to(en, p, now);
}

/* ---- Rounds ---- */

/* Suspects among a leaf's few requests, to the whole core. */
static void send_suspects(struct edge *en, int64_t now)
{
	edge_fatal_fill_gossip(en, &en->gossip_out, now);
	if (en->gossip_out.nr_fatal)
		send_to_all(en, &en->prs.core, now);
	en->gossip_out.nr_fatal = 0;
}

/*
 * As a leaf: to its hubs, with the counts of its few requests. Peers of
 * releases without roles expect datagrams of all entries.
 */
static void leaf_round(struct edge *en, int64_t now)
{
	struct prs_peer *hubs[OVL_NR_HUBS];
	struct prs_peer *p;
	size_t n, i;

	n = ovl_leaf_round(&en->ovl, &en->prs, &en->rnd, hubs, now);
	if (!n)
		return;
	fill_head(en, now);
	send_suspects(en, now);
	add_counts(en, now);
	en->gossip_out.wants_members = true;
	for (i = 0; i < n; i++)
		send_to(en, hubs[i], now);
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (p->received_ms && !p->has_role)
			send_to(en, p, now);
	}
}

void edge_gossip_round(struct edge *en, int64_t now)
{
	if (en->ovl.core) {
		fill_all(en, now);
		send_to_part(en, &en->prs.core, en->prs.nr_core,
			     &en->ovl.next_core, now);
	} else {
		leaf_round(en, now);
	}
	if (!en->prs.nr_leaves)
		return;
	fill_members(en, now);
	send_to_part(en, &en->prs.leaves, en->prs.nr_leaves, &en->ovl.next_leaf,
		     now);
}

void edge_gossip_to_core(struct edge *en, int64_t now)
{
	fill_all(en, now);
	send_to_all(en, &en->prs.core, now);
}

void edge_gossip_to_leaf(struct edge *en, struct prs_peer *p, int64_t now)
{
	fill_members(en, now);
	send_to(en, p, now);
}

void edge_gossip_broadcast(struct edge *en, int64_t now)
{
	if (en->ovl.core)
		edge_gossip_to_core(en, now);
	if (!en->prs.nr_leaves)
		return;
	fill_members(en, now);
	send_to_all(en, &en->prs.leaves, now);
}

void edge_gossip_send(struct edge *en, struct prs_peer *p, int64_t now)
{
	fill_all(en, now);
	send_to(en, p, now);
}
