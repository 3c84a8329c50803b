/*
 * acct (account): rate limits of client accounts that hold in sum over all
 * entries, without a remote call per request.
 *
 * Each entry has a token bucket for each account, filled at its share of the
 * rate. The share is the entry's own demand relative to that of all entries,
 * which they gossip. The shares of entries with the same information add up
 * to one.
 *
 * Amounts are in the unit of the account's limit (e.g. tokens), demands and
 * rates in that unit per second.
 */
#ifndef ACCT_H
#define ACCT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/tab.h"

/* Size of an account's name in bytes, with the null byte. */
#define ACCT_NAME 64

/*
 * Number of past reports of this entry's demand that are kept. A network
 * partition is noticed after a second; with many entries, the last report but
 * one is from about the moment of the partition.
 */
#define ACCT_REPORTS 2

struct acct {
	struct cds_list_head node; /* in acct_table.accounts */
	UT_hash_handle by_name;	   /* in acct_table.names */
	char name[ACCT_NAME];
	double level;		 /* of the bucket; below zero: a debt */
	double demand;		 /* of clients here, exponentially decayed */
	double demand_elsewhere; /* by the last gossip */
	/*
	 * This entry's demand as reported to the others, the latest first.
	 * Successive reports are at least gossip_delay_ms apart.
	 */
	double reported[ACCT_REPORTS];
	int64_t reported_ms; /* of the latest */
	double mean_amount;  /* moving average over requests */
	unsigned nr_in_mean; /* requests in that average, up to its maximum */
	double rate, burst;  /* the limit, over all entries */
	int64_t at_ms;	     /* when level and demand were updated */
	bool is_new;	     /* the bucket was not filled yet */
};

/* Tolerated overrun of the limits, of which a part is used. */
struct acct_slack {
	double rate_part; /* relative to the rate, e.g. 0.1 */
	double amount;	  /* absolute, over all entries */
};

struct acct_table {
	struct cds_list_head accounts;
	struct acct *names; /* by name */
	size_t count;
	unsigned entries;    /* that share the limits, including this one */
	unsigned unreported; /* of them, those whose demand is not known */
	unsigned active;     /* of them, those with demand for any account */
	int gossip_delay_ms; /* until gossip has reached all entries */
	bool current;	     /* the demand of most other entries is current */
	struct acct_slack slack;
	bool first_start; /* no earlier process admitted anything */
};

/*
 * Starts with `entries` 1. The caller updates `entries` to `current` with each
 * change of the membership or of gossiped demands, then calls acct_tick().
 */
void acct_init(struct acct_table *t, const struct acct_slack *slack);
void acct_free(struct acct_table *t);

/* Returns the account of that name, owned by `t`; made on first use. */
struct acct *acct_get(struct acct_table *t, const char *name, int64_t now_ms);

/*
 * Decides on a request of `amount` under a limit of `rate` and `burst` over all
 * entries (rate 0: no limit). Returns true if it is admitted, and charges it.
 * Otherwise *after_ms is the time in ms after which such a request would be
 * admitted, if no other one is in the meantime.
 */
bool acct_admit(struct acct_table *t, struct acct *a, double rate, double burst,
		double amount, int64_t now_ms, int64_t *after_ms);

/*
 * Fills all buckets up to now. To be called whenever the other entries' demands
 * are updated, so that each period is filled at the share valid in it.
 */
void acct_tick(struct acct_table *t, int64_t now_ms);

/* Puts back the charge of an admitted request that was not run. */
void acct_refund(struct acct *a, double amount);

/* This entry's share of the account's limit (0 to 1), by current demands. */
double acct_share(const struct acct_table *t, const struct acct *a);

/* The demand at this entry, decayed to now. */
double acct_demand(const struct acct *a, int64_t now_ms);

#endif
