#include "limit/acct.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/fade.h"

/*
 * Demand fades with this time constant: long enough to see several requests
 * of a small account, short enough to follow a burst.
 */
#define DEMAND_MS 2000.0

/*
 * A share never falls below this part of an even one, so that the first
 * request at an entry finds room.
 */
#define FLOOR_PART 0.15

/*
 * Of the overrun and the slack that limits leave, this much is used before a
 * caller is refused. The rest covers shares that were worked out from facts
 * some hundred milliseconds old, and the last admitted request of each entry,
 * which may be larger than what was left. Many entries tell each other in
 * turn, and then all of it is needed: when an account sent six times its limit
 * at once, entries whose facts were 0.6 s old reached 1.085 of what is allowed
 * with this part (24 of them), 1.004 with none of it (32 of them).
 */
#define SLACK_PART 0.55

/* Facts older than this are slow: up to nine entries tell all at once. */
#define TOLD_SOON_MS 300

/* With slow facts so much of the rate itself is used. */
#define SLOW_RATE 0.98

static bool slow_facts(const struct acct_table *t)
{
	return t->told_ms > TOLD_SOON_MS;
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

	cds_list_for_each_entry_safe(a, next, &t->accounts, node) {
		cds_list_del(&a->node);
		free(a);
	}
}

struct acct *acct_get(struct acct_table *t, const char *name, int64_t now)
{
	struct acct *a;

	cds_list_for_each_entry(a, &t->accounts, node) {
		if (!strcmp(a->name, name))
			return a;
	}
	a = calloc(1, sizeof(*a));
	assert(a);
	str_copy(a->name, name, sizeof(a->name));
	a->at_ms = now;
	a->fresh = true;
	cds_list_add_tail(&a->node, &t->accounts);
	t->count++;
	return a;
}

double acct_demand(const struct acct *a, int64_t now)
{
	return a->demand * fade_left(DEMAND_MS, a->at_ms, now);
}

/*
 * Entries that were not heard yet are taken to have our own demand. Without
 * that, entries that all start at once would each take the whole limit until
 * they hear of each other.
 */
double acct_share(const struct acct_table *t, const struct acct *a)
{
	const double even = 1.0 / t->entries;
	const double floor = a->rate * FLOOR_PART * even;
	const double mine = a->demand + floor;
	const double all =
		a->demand * (1 + t->unheard) + a->others + floor * t->entries;

	return all > 0 ? mine / all : even;
}

/* Of each request's size, so much goes into the mean. */
#define MEAN_PART 0.05

/* A request below this part of the mean is small. */
#define SMALL_PART 0.1

/* Small ones are admitted down to a debt of so many usual requests. */
#define SMALL_DEBT 4.0

/*
 * A bucket is not full at the start of the process: what the process before
 * it let through in this window is not known.
 */
#define START_PART 0.4

/* A second, over all entries, with the overrun that we use. */
static double rate_of(const struct acct_table *t, const struct acct *a)
{
	if (slow_facts(t))
		return a->rate * SLOW_RATE;
	return a->rate * (1 + t->slack.rate_part * SLACK_PART);
}

/*
 * What the bucket holds, over all entries. The slack stands in the burst;
 * spread over the window instead, as a higher rate, it served no more (mean
 * worth of both deployments within 0.004, twice).
 */
static double burst_of(const struct acct_table *t, const struct acct *a)
{
	return a->burst + (slow_facts(t) ? 0 : t->slack.amount * SLACK_PART);
}

static void advance(struct acct_table *t, struct acct *a, int64_t now)
{
	const double dt = (double)(now - a->at_ms);
	const double share = acct_share(t, a);
	const double most = burst_of(t, a) * share;

	a->demand = acct_demand(a, now);
	a->at_ms = now;
	if (a->fresh) {
		a->level = most * (t->first_start ? 1 : START_PART);
		a->fresh = false;
	}
	a->level += rate_of(t, a) * share * dt / 1000;
	if (a->level > most)
		a->level = most;
}

/*
 * The level above which a request of that size is admitted. A plain call of
 * 200 tokens does not wait for the debt of a prompt of 17,000: those calls
 * are a hundredth of an account's tokens, and were refused as often.
 */
static double lowest_level(const struct acct *a, double amount)
{
	return amount < a->mean * SMALL_PART ? -a->mean * SMALL_DEBT : 0;
}

bool acct_admit(struct acct_table *t, struct acct *a, double rate, double burst,
		double amount, int64_t now, int64_t *after_ms)
{
	double fill;

	*after_ms = 0;
	a->rate = rate;
	a->burst = burst;
	advance(t, a, now);
	a->demand += amount * 1000 / DEMAND_MS;
	a->mean += (amount - a->mean) * MEAN_PART;
	if (rate <= 0)
		return true;
	/*
	 * Whatever is left admits the next request whole: one that is larger
	 * than this entry's share of a small limit must pass once in a while.
	 */
	if (a->level > lowest_level(a, amount)) {
		a->level -= amount;
		return true;
	}
	fill = rate_of(t, a) * acct_share(t, a);
	*after_ms = fill > 0 ? (int64_t)(-a->level * 1000 / fill) + 1 : 1000;
	return false;
}

void acct_refund(struct acct *a, double amount)
{
	a->level += amount;
}
