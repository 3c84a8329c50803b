#include "limit/acct.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/decay.h"

/*
 * Time constant of the exponential decay of demand: long enough to cover
 * several requests of a small account, short enough to follow a burst.
 */
#define DEMAND_MS 2000.0

/*
 * Minimum share of an entry, relative to an even one, so that the first request
 * at an entry is admitted.
 */
#define FLOOR_RATIO 0.15

/*
 * Fraction of the tolerated overrun (acct_slack) that is used before a request
 * is refused. The rest covers shares computed from demands that are some
 * hundred milliseconds old, and the last admitted request of each entry, which
 * may exceed the tokens left. With slow gossip these take all of it: the last
 * requests of 24 entries alone are as large as the slack of a small account.
 */
#define SLACK_RATIO 0.55

/*
 * Gossip delay above which gossip counts as slow. Up to nine entries gossip to
 * all others in each round, and stay below it.
 */
#define FAST_GOSSIP_MS 300

static bool is_gossip_slow(const struct acct_table *t)
{
	return t->gossip_delay_ms > FAST_GOSSIP_MS;
}

void acct_init(struct acct_table *t, const struct acct_slack *slack)
{
	memset(t, 0, sizeof(*t));
	CDS_INIT_LIST_HEAD(&t->accounts);
	t->entries = 1;
	t->slack = *slack;
}

void acct_free(struct acct_table *t)
{
	struct acct *a, *next;

	HASH_CLEAR(by_name, t->names);
	cds_list_for_each_entry_safe(a, next, &t->accounts, node) {
		cds_list_del(&a->node);
		free(a);
	}
}

/* uthash's macro expands to about fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct acct *add(struct acct_table *t, const char *name, int64_t now)
{
	struct acct *a = calloc(1, sizeof(*a));

	assert(a);
	str_copy(a->name, name, sizeof(a->name));
	a->at_ms = now;
	a->is_new = true;
	HASH_ADD_KEYPTR(by_name, t->names, a->name, strlen(a->name), a);
	cds_list_add_tail(&a->node, &t->accounts);
	t->count++;
	return a;
}

/* A hash table, as peers gossip some thousand demands in a round. */
struct acct *acct_get(struct acct_table *t, const char *name, int64_t now)
{
	struct acct *a;

	HASH_FIND(by_name, t->names, name, strlen(name), a);
	return a ? a : add(t, name, now);
}

double acct_demand(const struct acct *a, int64_t now)
{
	return a->demand * decay_fraction(DEMAND_MS, a->at_ms, now);
}

/* Minimum number of entries that clients are directed to (lib/member/named). */
#define MIN_ACTIVE 24

/*
 * An account is calm while the sum of its demands at all entries is below this
 * fraction of its limit. For an account that sends a few prompts per second,
 * the decayed sum varies by a quarter; with a lower fraction this would be
 * taken for a burst every few seconds.
 */
#define CALM_RATIO 0.9

/*
 * Maximum debt of a calm account at an entry, in mean requests. The debt is
 * repaid from the entry's share of the limit. In a burst the account ceases to
 * be calm once gossip has reached all entries; what was admitted until then
 * still fits into the window over which the limit is measured.
 */
#define CALM_DEBT 2.0

/*
 * True if the account is calm. An entry's share of a limit may be less than one
 * prompt per second. By that share alone, an account that uses half of its
 * limit would be refused whenever two of its prompts reach one entry within a
 * second: one in ten on 48 entries. In sum over all entries there is room, and
 * each entry knows this from gossip.
 */
static bool calm(const struct acct_table *t, const struct acct *a)
{
	return t->current &&
	       a->demand * (1 + t->unreported) + a->demand_elsewhere <
		       a->rate * CALM_RATIO;
}

/*
 * Number of entries with demand as far as known, but no less than the number
 * that clients are directed to at any load. Right after a start no demand has
 * been gossiped, and each entry would otherwise take itself for the only one
 * with demand.
 */
static unsigned active_entries(const struct acct_table *t)
{
	const unsigned min_active = t->entries < MIN_ACTIVE ? t->entries
							    : MIN_ACTIVE;

	return t->active > min_active ? t->active : min_active;
}

/*
 * This entry's demand, to be compared with that of the others: the value last
 * reported to them. With the current value, each entry saw its own part of a
 * burst before that of the others, and the shares of 48 entries added up to
 * four: an account that sent twenty times its limit for a second got 1.45 times
 * what is allowed. If gossip is fast, the current value is used for a calm
 * account, as an entry sees only one of its prompts in some seconds. If it is
 * slow, an account that begins to send seems calm for a second or two, in which
 * the shares of 24 entries added up to 2.7.
 *
 * While some entries are partitioned, their last known demand is from before
 * the partition, so this entry's demand of that time is used as well. When a
 * burst began just before a third of the entries was partitioned for twelve
 * seconds, each side compared its current demand with the other's old one, and
 * the account got 1.3 times what is allowed.
 */
static double own_demand(const struct acct_table *t, const struct acct *a)
{
	double usual;

	if (t->unreported || (calm(t, a) && !is_gossip_slow(t)))
		return a->demand;
	if (t->current)
		return a->reported[0];
	usual = a->demand_elsewhere / active_entries(t);
	if (usual < a->reported[ACCT_REPORTS - 1])
		usual = a->reported[ACCT_REPORTS - 1];
	return a->demand < usual ? a->demand : usual;
}

/*
 * Entries of unknown demand are assumed to have this entry's demand. Otherwise,
 * entries that all start at once would each take the whole limit until the
 * first gossip arrives.
 *
 * Only entries with demand share the floor: of 295 entries about 30 have any.
 */
double acct_share(const struct acct_table *t, const struct acct *a)
{
	const unsigned n = t->unreported ? t->entries : active_entries(t);
	const double even = 1.0 / n;
	const double floor = a->rate * FLOOR_RATIO * even;
	const double own = own_demand(t, a);
	const double mine = own + floor;
	const double all =
		own * (1 + t->unreported) + a->demand_elsewhere + floor * n;

	return all > 0 ? mine / all : even;
}

/*
 * Number of requests in the moving average of the amount; until it is reached,
 * all requests have the same weight.
 */
#define MEAN_REQUESTS 20

/* A request below this fraction of the mean amount is small. */
#define SMALL_RATIO 0.1

/* Maximum debt at which small requests are admitted, in mean requests. */
#define SMALL_DEBT 4.0

/*
 * Initial level of a bucket, relative to a full one. It is not full because it
 * is unknown what the previous process admitted in this window.
 */
#define START_RATIO 0.4

/* Part of the tolerated overrun that is used before a request is refused. */
static double slack_ratio(const struct acct_table *t)
{
	return is_gossip_slow(t) ? 0 : SLACK_RATIO;
}

/* Fill rate per second over all entries, with the overrun that is used. */
static double rate_of(const struct acct_table *t, const struct acct *a)
{
	return a->rate * (1 + t->slack.rate_part * slack_ratio(t));
}

/*
 * Capacity of the buckets over all entries. The slack is part of the burst: as
 * a higher rate, spread over the window, it serves no more (the mean score of
 * both deployments stays within 0.004, in two runs).
 */
static double burst_of(const struct acct_table *t, const struct acct *a)
{
	return a->burst + t->slack.amount * slack_ratio(t);
}

static void record_report(const struct acct_table *t, struct acct *a,
			  int64_t now)
{
	if (!t->current || now - a->reported_ms < t->gossip_delay_ms)
		return;
	memmove(a->reported + 1, a->reported,
		(ACCT_REPORTS - 1) * sizeof(a->reported[0]));
	a->reported[0] = a->demand;
	a->reported_ms = now;
}

static void advance(struct acct_table *t, struct acct *a, int64_t now)
{
	const double dt = (double)(now - a->at_ms);
	const double share = acct_share(t, a);
	const double capacity = burst_of(t, a) * share;

	a->demand = acct_demand(a, now);
	a->at_ms = now;
	record_report(t, a, now);
	if (a->is_new) {
		a->level = capacity * (t->first_start ? 1 : START_RATIO);
		a->is_new = false;
	}
	a->level += rate_of(t, a) * share * dt / 1000;
	if (a->level > capacity)
		a->level = capacity;
}

/*
 * The level above which a request of that amount is admitted. A plain call of
 * 200 tokens need not wait for the debt of a prompt of 17,000 tokens: such
 * calls are a hundredth of an account's tokens, and were refused as often as
 * prompts.
 */
static double min_level_for(const struct acct_table *t, const struct acct *a,
			    double amount)
{
	if (calm(t, a))
		return -a->mean_amount * CALM_DEBT;
	return amount < a->mean_amount * SMALL_RATIO
		       ? -a->mean_amount * SMALL_DEBT
		       : 0;
}

void acct_tick(struct acct_table *t, int64_t now)
{
	struct acct *a;

	cds_list_for_each_entry(a, &t->accounts, node) {
		if (a->rate > 0)
			advance(t, a, now);
	}
}

bool acct_admit(struct acct_table *t, struct acct *a, double rate, double burst,
		double amount, int64_t now, int64_t *after_ms)
{
	double fill, min_level;

	*after_ms = 0;
	a->rate = rate;
	a->burst = burst;
	advance(t, a, now);
	a->demand += amount * 1000 / DEMAND_MS;
	if (a->nr_in_mean < MEAN_REQUESTS)
		a->nr_in_mean++;
	a->mean_amount += (amount - a->mean_amount) / a->nr_in_mean;
	if (rate <= 0)
		return true;
	/*
	 * Any level above the minimum admits a request of any amount, as one
	 * that exceeds this entry's share of a small limit must pass now and
	 * then.
	 */
	min_level = min_level_for(t, a, amount);
	if (a->level > min_level) {
		a->level -= amount;
		return true;
	}
	fill = rate_of(t, a) * acct_share(t, a);
	*after_ms =
		fill > 0 ? (int64_t)((min_level - a->level) * 1000 / fill) + 1
			 : 1000;
	return false;
}

void acct_refund(struct acct *a, double amount)
{
	a->level += amount;
}
