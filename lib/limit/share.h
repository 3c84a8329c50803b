/*
 * share: a client account's rate limit, divided among entries without a remote
 * call per request. Pure.
 *
 * For each account one entry is the keeper, chosen by rendezvous hashing over
 * the membership view. Entries with demand report it every other second
 * (SHARE_REQUEST_MS) and are granted a share of the limit for a short time, in
 * proportion to demand. The sum of the shares granted never exceeds the limit
 * less the floor. An entry without a valid share uses its part of the floor,
 * which is reserved for that, so that a partitioned entry cannot push the sum
 * over the limit.
 *
 * Limits, shares and demands are in tokens per second.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Fraction of the limit that is reserved for entries without a share. */
#define SHARE_FLOOR 0.2

/*
 * Validity of a share, which the entry counts from before it sends its request,
 * and the interval of these requests. The validity is much longer, so that
 * shares outlast a crash of the keeper until the next view has a new one.
 */
#define SHARE_TTL_MS 10000
#define SHARE_REQUEST_MS 2000

struct share_keeper;

/*
 * A new keeper grants nothing until it knows what its predecessor granted:
 * until all `members` entries have reported the share they use, or SHARE_TTL_MS
 * after `now_ms`. To be freed with share_keeper_free().
 */
struct share_keeper *share_keeper_create(double limit, size_t members,
					 int64_t now_ms);
void share_keeper_free(struct share_keeper *k);

/* Changes the limit. A lower one takes effect as shares expire. */
void share_keeper_set_limit(struct share_keeper *k, double limit);

/*
 * Scales the grantable sum to the fraction of the view considered alive, so
 * that two sides of a partition cannot both grant the whole limit.
 */
void share_keeper_scale(struct share_keeper *k, size_t alive, size_t members);

/*
 * Handles a request of entry `entry`, which reports its demand and the share it
 * uses now; the latter confirms the last grant. Returns its share for the next
 * SHARE_TTL_MS, or -1 while the keeper is new: the entry then keeps its old
 * one. Returns 0 for invalid numbers. Takes the same time for any number of
 * entries.
 */
double share_keeper_request(struct share_keeper *k, uint64_t entry,
			    double demand, double in_use, int64_t now_ms);

/* The sum of the shares granted now. */
double share_keeper_granted(const struct share_keeper *k);

/* The entry's side: a token bucket filled at the rate of its share. */
struct share {
	double limit;
	size_t members;
	double rate;	  /* the share, while valid */
	int64_t valid_ms; /* end of its validity */
	double level;	  /* tokens in the bucket */
	int64_t last_ms;
	double demand; /* exponentially decayed */
};

void share_init(struct share *s, double limit, size_t members, int64_t now_ms);

/*
 * The keeper granted a share (-1: keep the old one). `asked_ms`: a time before
 * the request for it was sent.
 */
void share_update(struct share *s, double rate, int64_t asked_ms);

/* The granted share that is in use now; 0 without a valid one. */
double share_in_use(const struct share *s, int64_t now_ms);

/* The bucket's rate: the share in use plus this entry's part of the floor. */
double share_rate(const struct share *s, int64_t now_ms);

/*
 * Takes `cost` tokens. Returns false if the bucket has too few; *retry_ms is
 * then the time in ms until it has enough (`retry_ms` may be NULL). The cost
 * counts as demand either way.
 */
bool share_take(struct share *s, double cost, int64_t now_ms,
		int64_t *retry_ms);

/* Puts back tokens that were taken but not used. */
void share_refund(struct share *s, double cost);

/* True if a request to the keeper is due. */
bool share_is_due(const struct share *s, int64_t now_ms);

#endif
