#include "limit/share.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/hsh.h"

/* ---- Keeper ---- */

#define NR_BUCKETS 256

/* The share granted to one entry. */
struct grant {
	struct cds_list_head bucket;
	struct cds_list_head age; /* oldest grant first */
	uint64_t entry;		  /* its id */
	double demand;
	double rate;
	int64_t until_ms; /* end of validity */
	double high; /* a higher rate granted before, possibly still in use */
	int64_t high_until_ms;
	double counted; /* the higher of rate and high */
};

struct share_keeper {
	double limit;
	double scale;
	double granted_sum;	    /* sum of `counted` */
	double demand;		    /* of all entries */
	int64_t no_grants_until_ms; /* grants nothing before this time */
	size_t members;
	size_t nr_grants;
	struct cds_list_head buckets[NR_BUCKETS];
	struct cds_list_head by_age;
};

struct share_keeper *share_keeper_create(double limit, size_t members,
					 int64_t now_ms)
{
	struct share_keeper *k = mem_new(sizeof(*k));
	size_t i;

	k->limit = limit;
	k->scale = 1.0;
	k->members = members;
	k->no_grants_until_ms = now_ms + SHARE_TTL_MS;
	for (i = 0; i < NR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&k->buckets[i]);
	CDS_INIT_LIST_HEAD(&k->by_age);
	return k;
}

static void drop_grant(struct share_keeper *k, struct grant *g)
{
	k->granted_sum -= g->counted;
	k->demand -= g->demand;
	k->nr_grants--;
	cds_list_del(&g->bucket);
	cds_list_del(&g->age);
	free(g);
	/* Floating-point sums drift: reset them when nothing is granted. */
	if (cds_list_empty(&k->by_age))
		k->granted_sum = k->demand = 0;
}

void share_keeper_free(struct share_keeper *k)
{
	struct grant *g, *tmp;

	if (!k)
		return;
	cds_list_for_each_entry_safe(g, tmp, &k->by_age, age)
		drop_grant(k, g);
	free(k);
}

void share_keeper_set_limit(struct share_keeper *k, double limit)
{
	k->limit = limit;
}

void share_keeper_scale(struct share_keeper *k, size_t alive, size_t members)
{
	k->scale = members ? (double)alive / (double)members : 1.0;
	k->members = members;
	if (k->scale > 1.0)
		k->scale = 1.0;
}

static void expire(struct share_keeper *k, int64_t now_ms)
{
	struct grant *g, *tmp;

	cds_list_for_each_entry_safe(g, tmp, &k->by_age, age) {
		if (g->until_ms > now_ms)
			break;
		drop_grant(k, g);
	}
}

static struct grant *find_or_add(struct share_keeper *k, uint64_t entry)
{
	struct cds_list_head *head =
		&k->buckets[hsh_rendezvous(entry, 0) % NR_BUCKETS];
	struct grant *g;

	cds_list_for_each_entry(g, head, bucket) {
		if (g->entry == entry)
			return g;
	}
	g = mem_new(sizeof(*g));
	g->entry = entry;
	k->nr_grants++;
	cds_list_add(&g->bucket, head);
	cds_list_add_tail(&g->age, &k->by_age);
	return g;
}

static void renew(struct share_keeper *k, struct grant *g, int64_t now_ms)
{
	g->until_ms = now_ms + SHARE_TTL_MS;
	cds_list_del(&g->age);
	cds_list_add_tail(&g->age, &k->by_age);
}

/* Takes over a share that the previous keeper granted. */
static void adopt_grant(struct share_keeper *k, struct grant *g, double in_use,
			int64_t now_ms)
{
	k->granted_sum += in_use - g->counted;
	g->rate = in_use;
	g->counted = in_use;
	renew(k, g, now_ms);
}

/*
 * The share for a demand, in proportion to the sum of demands. Capacity beyond
 * that sum is spread evenly over all members, so that a request at an idle
 * entry need not wait for its share to grow.
 */
static double share_for(const struct share_keeper *k, double demand,
			double total)
{
	const size_t n = k->nr_grants > k->members ? k->nr_grants : k->members;

	if (k->demand > total)
		return total * demand / k->demand;
	return demand + (total - k->demand) / (double)(n ? n : 1);
}

double share_keeper_request(struct share_keeper *k, uint64_t entry,
			    double demand, double in_use, int64_t now_ms)
{
	double total, want, room, counted;
	struct grant *g;

	if (!(demand >= 0) || !isfinite(demand) || !(in_use >= 0) ||
	    !isfinite(in_use))
		return 0;
	expire(k, now_ms);
	g = find_or_add(k, entry);
	k->demand += demand - g->demand;
	g->demand = demand;
	if (now_ms < k->no_grants_until_ms) {
		adopt_grant(k, g, in_use, now_ms);
		if (k->nr_grants < k->members)
			return -1;
		k->no_grants_until_ms = now_ms;
	}
	total = k->limit * (1.0 - SHARE_FLOOR) * k->scale;
	want = share_for(k, demand, total);
	room = total - (k->granted_sum - g->counted);
	if (want > room)
		want = room > 0 ? room : 0;
	/*
	 * The response with a lower share may get lost, and the entry would
	 * keep using the old one. The old share therefore counts as granted
	 * until it expires or the entry reports that it uses the lower one.
	 */
	if (now_ms >= g->high_until_ms || in_use <= g->rate + 1e-9)
		g->high = 0;
	if (want < g->rate && g->until_ms > now_ms) {
		g->high = fmax(g->high, g->rate);
		g->high_until_ms = g->until_ms;
	}
	counted = fmax(want, g->high);
	k->granted_sum += counted - g->counted;
	g->counted = counted;
	g->rate = want;
	renew(k, g, now_ms);
	return want;
}

double share_keeper_granted(const struct share_keeper *k)
{
	return k->granted_sum;
}

/* ---- Entry ---- */

/* Capacity of a bucket in seconds of its rate: admits bursts, not floods. */
#define BURST_S 3.0

/* Time constant of the demand's decay, in seconds. */
#define DEMAND_TAU_S 2.0

double share_in_use(const struct share *s, int64_t now_ms)
{
	return now_ms < s->valid_ms ? s->rate : 0;
}

double share_rate(const struct share *s, int64_t now_ms)
{
	const double floor = s->limit * SHARE_FLOOR / (double)s->members;

	return share_in_use(s, now_ms) + floor;
}

void share_init(struct share *s, double limit, size_t members, int64_t now_ms)
{
	s->limit = limit;
	s->members = members ? members : 1;
	s->rate = 0;
	s->valid_ms = 0;
	s->last_ms = now_ms;
	s->demand = 0;
	s->level = share_rate(s, now_ms) * BURST_S;
}

void share_update(struct share *s, double rate, int64_t asked_ms)
{
	if (rate < 0)
		return;
	s->rate = rate;
	s->valid_ms = asked_ms + SHARE_TTL_MS;
}

static void refill(struct share *s, int64_t now_ms)
{
	const double rate = share_rate(s, now_ms);
	const double dt = (double)(now_ms - s->last_ms) / 1000.0;

	if (dt <= 0)
		return;
	s->last_ms = now_ms;
	s->demand *= exp(-dt / DEMAND_TAU_S);
	s->level += rate * dt;
	if (s->level > rate * BURST_S)
		s->level = rate * BURST_S;
}

bool share_take(struct share *s, double cost, int64_t now_ms, int64_t *retry_ms)
{
	const double rate = share_rate(s, now_ms);

	refill(s, now_ms);
	s->demand += cost / DEMAND_TAU_S;
	/*
	 * A request larger than the bucket passes when the bucket is full, and
	 * leaves a debt; otherwise it could never pass.
	 */
	if (s->level >= cost || s->level >= rate * BURST_S * 0.99) {
		s->level -= cost;
		return true;
	}
	if (retry_ms)
		*retry_ms =
			(int64_t)((cost - s->level) / (rate + 1e-9) * 1000.0) +
			1;
	return false;
}

void share_refund(struct share *s, double cost)
{
	s->level += cost;
}

bool share_is_due(const struct share *s, int64_t now_ms)
{
	return s->demand > 0.5 &&
	       now_ms >= s->valid_ms - SHARE_TTL_MS + SHARE_REQUEST_MS;
}
