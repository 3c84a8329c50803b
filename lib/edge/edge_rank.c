/*
 * Selection of entries for roles that only a few of them have: to keep all
 * usage counts, to be advertised to callers.
 */
#include <string.h>

#include "edge/edge_internal.h"
#include "member/named.h"

/*
 * Entries that are sent all usage counts, in addition to the duty holder. The
 * counts of a crashed entry are lost only if these and the duty holder crash
 * with it. When the counts were sent to all entries, they made up three
 * quarters of the bytes of gossip.
 */
#define NR_COUNT_KEEPERS 3

/* ---- Usage counts ---- */

void edge_mark_count_keepers(struct edge *en, int64_t now)
{
	struct prs_peer *p;
	size_t i;

	rank_init(&en->ranking, RANK_USAGE);
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		p->collects_counts = !strcmp(p->info.name, en->duty_holder);
		if (prs_alive(p, now))
			rank_add(&en->ranking, p->info.name, p->info.zone, p);
	}
	rank_select(&en->ranking, NR_COUNT_KEEPERS);
	for (i = 0; i < en->ranking.n && i < NR_COUNT_KEEPERS; i++) {
		p = en->ranking.rows[i].entry;
		p->collects_counts = true;
	}
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->collects_counts)
			p->collects_since_ms = 0;
		else if (!p->collects_since_ms)
			p->collects_since_ms = now;
	}
}

/* ---- Addresses for callers ---- */

double edge_total_request_rate(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;
	double sum = decay_sum_at(&en->arrivals, EDGE_ARRIVAL_RATE_MS, now);

	if (!en->ovl.core)
		return sum + en->core_requests_per_s;
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (p->last && prs_alive(p, now))
			sum += p->last->requests_per_s;
	}
	return sum;
}

static const char *callers_address(const struct edge *en,
				   const struct rank_row *row)
{
	const struct prs_peer *p = row->entry;

	return p ? p->info.client_address : en->conf->listen.callers;
}

/*
 * The addresses of all registered entries. Returned if neither this entry nor a
 * live peer accepts requests: this entry may be the one that is cut off.
 */
static size_t registered_addresses(const struct edge *en, const char **out,
				   size_t max)
{
	const struct prs_peer *p;
	size_t n = 0;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (n < max && p->registered)
			out[n++] = p->info.client_address;
	}
	return n;
}

/* Adds the entries that accept requests and are, or are not, cut off. */
static void add_accepting(struct edge *en, bool cut_off, int64_t now)
{
	struct prs_peer *p;

	if (edge_is_ready(en) && en->reach.cut_off == cut_off)
		rank_add(&en->ranking, en->conf->name, en->conf->zone, NULL);
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (prs_alive(p, now) && p->accepting && p->cut_off == cut_off)
			rank_add(&en->ranking, p->info.name, p->info.zone, p);
	}
}

size_t edge_advertised(struct edge *en, const char **out, size_t max,
		       int64_t now)
{
	struct rank *r = &en->ranking;
	size_t nr_advertised, first, n;

	rank_init(r, RANK_ADVERTISE);
	add_accepting(en, false, now);
	if (!r->n)
		add_accepting(en, true, now);
	if (!r->n)
		return registered_addresses(en, out, max);
	rank_interleave_zones(r);
	nr_advertised = named_count(edge_total_request_rate(en, now), r->n);
	/* If not all fit into an answer, it begins at a random one of them. */
	first = nr_advertised > max
			? rnd_below(&en->rnd, (uint32_t)nr_advertised)
			: 0;
	for (n = 0; n < nr_advertised && n < max; n++)
		out[n] = callers_address(en,
					 &r->rows[(first + n) % nr_advertised]);
	return n;
}
