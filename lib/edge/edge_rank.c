/* Which entries do what only some of them should: watch the store, keep all
 * counts, be named to callers. */
#include <assert.h>
#include <string.h>

#include "edge/edge_internal.h"
#include "member/named.h"

/*
 * Entries that are told all counts beside the holder of the duties: what a
 * dead entry counted is lost only if these and the holder die with it. Told
 * to all, counts were three quarters of the bytes between entries.
 */
#define KEEPERS 3

/* ---- Watching the store ---- */

/* How many of those that are ranked watch the store. */
static size_t watchers(const struct edge *en)
{
	const size_t n = feed_watcher_count((unsigned)en->ranking.n);

	return n < en->ranking.n ? n : en->ranking.n;
}

static void rank_watchers(struct edge *en, int64_t now)
{
	struct prs_peer *p;

	rank_init(&en->ranking, RANK_WATCH);
	rank_add(&en->ranking, en->conf->name, en->conf->zone, NULL);
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (prs_alive(p, now) && p->store_ok && p->accepting)
			rank_add(&en->ranking, p->info.name, p->info.zone, p);
	}
	rank_select(&en->ranking, watchers(en));
}

int edge_watch_rank(struct edge *en, int64_t now)
{
	size_t i;

	rank_watchers(en, now);
	for (i = 0; i < watchers(en); i++) {
		if (!en->ranking.rows[i].entry)
			return (int)i;
	}
	return -1;
}

const struct prs_peer *edge_watch_leader(struct edge *en, int64_t now)
{
	size_t n;

	if (edge_watch_rank(en, now) >= 0)
		return NULL;
	n = watchers(en);
	assert(n);
	return rank_for_key(&en->ranking, n, en->source)->entry;
}

/* ---- Counts of usage ---- */

void edge_mark_count_keepers(struct edge *en, int64_t now)
{
	struct prs_peer *p;
	size_t i;

	rank_init(&en->ranking, RANK_USAGE);
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		p->collects_counts = !strcmp(p->info.name, en->duty_holder);
		if (prs_alive(p, now))
			rank_add(&en->ranking, p->info.name, p->info.zone, p);
	}
	rank_select(&en->ranking, KEEPERS);
	for (i = 0; i < en->ranking.n && i < KEEPERS; i++) {
		p = en->ranking.rows[i].entry;
		p->collects_counts = true;
	}
}

/* ---- Being named to callers ---- */

static double load_of_all(const struct edge *en, int64_t now)
{
	const struct prs_peer *p;
	double sum = decay_sum_at(&en->arrivals, EDGE_ARRIVAL_RATE_MS, now);

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (p->last && prs_alive(p, now))
			sum += p->last->requests_per_s;
	}
	return sum;
}

static const char *address_of(const struct edge *en, const struct rank_row *row)
{
	const struct prs_peer *p = row->entry;

	return p ? p->info.client_address : en->conf->listen.callers;
}

/* If no entry is heard the cut may be ours: then all that are registered. */
static size_t all_registered(const struct edge *en, const char **out,
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

size_t edge_advertised(struct edge *en, const char **out, size_t max,
		       int64_t now)
{
	struct rank *r = &en->ranking;
	struct prs_peer *p;
	size_t named, first, n;

	rank_init(r, RANK_ADVERTISE);
	if (edge_is_ready(en))
		rank_add(r, en->conf->name, en->conf->zone, NULL);
	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (prs_alive(p, now) && p->accepting)
			rank_add(r, p->info.name, p->info.zone, p);
	}
	if (!r->n)
		return all_registered(en, out, max);
	rank_interleave_zones(r);
	named = named_count(load_of_all(en, now), r->n);
	/* Of more than fit into an answer each answer has others. */
	first = named > max ? rnd_below(&en->rnd, (uint32_t)named) : 0;
	for (n = 0; n < named && n < max; n++)
		out[n] = address_of(en, &r->rows[(first + n) % named]);
	return n;
}
