#include "limit/acct.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/decay.h"

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
 * turn; then the last requests of 24 of them take all of the slack of a small
 * account, and none of it is added to the burst.
 */
#define SLACK_PART 0.55

/* Facts older than this are slow: up to nine entries tell all at once. */
#define TOLD_SOON_MS 300

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

	HASH_CLEAR(by_name, t->names);
	cds_list_for_each_entry_safe(a, next, &t->accounts, node) {
		cds_list_del(&a->node);
		free(a);
	}
}

/* uthash's macro counts as fifty statements of ours. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct acct *add(struct acct_table *t, const char *name, int64_t now)
{
	struct acct *a = calloc(1, sizeof(*a));

	assert(a);
	str_copy(a->name, name, sizeof(a->name));
	a->at_ms = now;
	a->fresh = true;
	HASH_ADD_KEYPTR(by_name, t->names, a->name, strlen(a->name), a);
	cds_list_add_tail(&a->node, &t->accounts);
	t->count++;
	return a;
}

/* Found by hash: peers tell of some thousand demands in a round. */
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

/* Entries that callers are named at least (lib/member/named). */
#define ASKED_LEAST 24

/*
 * An account is calm while all entries together are asked for less than this
 * part of its limit. Sums of demands that fade over seconds vary by a quarter
 * where an account sends a few prompts a second; with a lower part those are
 * taken for a burst every few seconds.
 */
#define CALM_PART 0.9

/*
 * Of a calm account each entry admits down to a debt of so many usual
 * requests. The debt is paid back out of the entry's part of the limit, and
 * a burst ends it within the time in which entries hear of each other: what
 * was let through by then still fits into the window that the limit is
 * reckoned over.
 */
#define CALM_DEBT 2.0

/*
 * What an entry's part of a limit brings in a second may be less than one
 * prompt. Judged by that part alone, an account that asks for half of its
 * limit is refused whenever two of its prompts come to one entry within a
 * second: one in ten on 48 entries. In sum over all entries there is room,
 * and they know it from each other.
 */
static bool calm(const struct acct_table *t, const struct acct *a)
{
	return t->current &&
	       a->demand * (1 + t->unheard) + a->others < a->rate * CALM_PART;
}

/*
 * Entries that are asked, as far as is known, and at least as many as callers
 * are named at any load. Right after a start nobody has told of a request, and
 * each entry would take itself for the only one that is asked.
 */
static unsigned asked_entries(const struct acct_table *t)
{
	const unsigned least = t->entries < ASKED_LEAST ? t->entries
							: ASKED_LEAST;

	return t->asked > least ? t->asked : least;
}

/*
 * Against what the others told, our own demand counts as it was when they
 * were told of it. Reckoned as it is now, each entry saw its own part of a
 * burst before that of the others, and the shares of 48 entries came to four
 * in sum: an account that sent twenty times its limit for a second got 1.45
 * of what is allowed. Of a calm account the present demand counts: one prompt
 * in some seconds is all that an entry sees of it.
 *
 * While a part of the entries is not heard, what is known of them is from
 * before that, and so is what counts of ours: when a burst began just before
 * a third of the entries was cut off for twelve seconds, each side reckoned
 * its demand of now against the other's of then, and the account got 1.3 of
 * what is allowed.
 */
static double own_demand(const struct acct_table *t, const struct acct *a)
{
	double usual;

	if (t->unheard || calm(t, a))
		return a->demand;
	if (t->current)
		return a->known[0];
	usual = a->others / asked_entries(t);
	if (usual < a->known[ACCT_TELLINGS - 1])
		usual = a->known[ACCT_TELLINGS - 1];
	return a->demand < usual ? a->demand : usual;
}

/*
 * Entries that were not heard yet are taken to have our own demand. Without
 * that, entries that all start at once would each take the whole limit until
 * they hear of each other.
 *
 * Only entries that are asked share the floor: of 295 entries some 30 are.
 */
double acct_share(const struct acct_table *t, const struct acct *a)
{
	const unsigned n = t->unheard ? t->entries : asked_entries(t);
	const double even = 1.0 / n;
	const double floor = a->rate * FLOOR_PART * even;
	const double own = own_demand(t, a);
	const double mine = own + floor;
	const double all = own * (1 + t->unheard) + a->others + floor * n;

	return all > 0 ? mine / all : even;
}

/* The mean size of requests remembers so many; the first few weigh alike. */
#define MEAN_REQUESTS 20

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

static void remember_telling(const struct acct_table *t, struct acct *a,
			     int64_t now)
{
	if (!t->current || now - a->known_ms < t->told_ms)
		return;
	memmove(a->known + 1, a->known,
		(ACCT_TELLINGS - 1) * sizeof(a->known[0]));
	a->known[0] = a->demand;
	a->known_ms = now;
}

static void advance(struct acct_table *t, struct acct *a, int64_t now)
{
	const double dt = (double)(now - a->at_ms);
	const double share = acct_share(t, a);
	const double most = burst_of(t, a) * share;

	a->demand = acct_demand(a, now);
	a->at_ms = now;
	remember_telling(t, a, now);
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
static double lowest_level(const struct acct_table *t, const struct acct *a,
			   double amount)
{
	if (calm(t, a))
		return -a->mean * CALM_DEBT;
	return amount < a->mean * SMALL_PART ? -a->mean * SMALL_DEBT : 0;
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
	double fill, lowest;

	*after_ms = 0;
	a->rate = rate;
	a->burst = burst;
	advance(t, a, now);
	a->demand += amount * 1000 / DEMAND_MS;
	if (a->seen < MEAN_REQUESTS)
		a->seen++;
	a->mean += (amount - a->mean) / a->seen;
	if (rate <= 0)
		return true;
	/*
	 * Whatever is left admits the next request whole: one that is larger
	 * than this entry's share of a small limit must pass once in a while.
	 */
	lowest = lowest_level(t, a, amount);
	if (a->level > lowest) {
		a->level -= amount;
		return true;
	}
	fill = rate_of(t, a) * acct_share(t, a);
	*after_ms = fill > 0 ? (int64_t)((lowest - a->level) * 1000 / fill) + 1
			     : 1000;
	return false;
}

void acct_refund(struct acct *a, double amount)
{
	a->level += amount;
}
