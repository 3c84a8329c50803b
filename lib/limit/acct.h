/*
 * acct: limits of client accounts that hold in sum over all entries, with no
 * call for a request.
 *
 * Each entry has a token bucket for each account, filled at its share of the
 * rate. The share follows from demand: own demand against that of all
 * entries, as they tell each other. The shares of entries that know the same
 * add up to one.
 */
#ifndef ACCT_H
#define ACCT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/tab.h"

#define ACCT_NAME 64

/*
 * Tellings that are remembered: a cut is noticed after a second, and of many
 * entries the one before the last is from about the moment of the cut.
 */
#define ACCT_REPORTS 2

struct acct {
	struct cds_list_head node; /* in acct_table.accounts */
	UT_hash_handle by_name;	   /* in acct_table.names */
	char name[ACCT_NAME];
	double level;  /* may be below zero: the last one admitted was big */
	double demand; /* of callers here, a second, fading */
	double demand_elsewhere; /* demand at other entries, as last told */
	/*
	 * Own demand as the other entries were told it, the last time first,
	 * each time told_ms before the one in front of it.
	 */
	double reported[ACCT_REPORTS];
	int64_t reported_ms; /* of the first */
	double mean_amount;  /* amount of a request, fading */
	unsigned nr_in_mean; /* requests in that mean, up to its memory */
	double rate, burst;  /* in force, over all entries */
	int64_t at_ms;	     /* of level and demand */
	bool is_new;	     /* not filled yet */
};

/* The slack that the limits leave, of which we use a part. */
struct acct_slack {
	double rate_part; /* of the rate, e.g. 0.1 */
	double amount;	  /* in the account's unit, over all entries */
};

struct acct_table {
	struct cds_list_head accounts;
	struct acct *names; /* by name */
	size_t count;
	unsigned entries; /* that share the limits, with this one */
	unsigned
		unreported; /* of them, those that have not told their demand */
	unsigned active;    /* of them, those with demand of any account */
	int gossip_delay_ms; /* until all others know what one tells */
	bool current;	     /* most of the others told their demand just now */
	struct acct_slack slack;
	bool first_start; /* no process before us let anything through */
};

void acct_init(struct acct_table *t, const struct acct_slack *slack);
void acct_free(struct acct_table *t);

/* The account of that name, made on first use. */
struct acct *acct_get(struct acct_table *t, const char *name, int64_t now_ms);

/*
 * A request of `amount` under a limit of `rate` and `burst` (rate 0: none).
 * True: admitted and charged. False: *after_ms tells when such a request would
 * be admitted, if no other one is meanwhile.
 */
bool acct_admit(struct acct_table *t, struct acct *a, double rate, double burst,
		double amount, int64_t now_ms, int64_t *after_ms);

/*
 * Fills all buckets up to now. Called whenever the others' demands are known
 * anew, so that each moment is filled at the share that held then.
 */
void acct_tick(struct acct_table *t, int64_t now_ms);

/* An admitted request was not run after all. */
void acct_refund(struct acct *a, double amount);

/* Our part of the account's limit, by what we and the others are asked. */
double acct_share(const struct acct_table *t, const struct acct *a);

/* The demand here, a second, faded to now. */
double acct_demand(const struct acct *a, int64_t now_ms);

#endif
