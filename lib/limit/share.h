/*
 * share: a client account's limit, held across entries without a call per
 * request. Pure.
 *
 * For each account one entry, by rendezvous hash over the view, is the
 * keeper. Entries report their demand about once a second while they have
 * any, and get a share of the limit for a short time; shares follow demand.
 * The keeper never has more out than the limit less the floor. An entry
 * without a valid share uses its part of the floor, which is set aside for
 * that, so one that is cut off still cannot push the sum over the limit.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Part of the limit that is set aside for entries without a share. */
#define SHARE_FLOOR 0.2

/*
 * A share is valid so long, counted by the entry from before it asked. It is
 * asked for every other second; the rest is there so that the death of a keeper
 * leaves the shares as they are until the next view has a new one.
 */
#define SHARE_TTL_MS 10000
#define SHARE_REQUEST_MS 2000

struct share_keeper;

/*
 * A new keeper gives nothing until it knows what its forerunner gave: until
 * all `members` entries told it what they use, or one TTL after `now_ms`.
 */
struct share_keeper *share_keeper_create(double limit, size_t members,
					 int64_t now_ms);
void share_keeper_free(struct share_keeper *k);

/* The document changed the limit. Lowering takes effect as shares end. */
void share_keeper_set_limit(struct share_keeper *k, double limit);

/*
 * Scales what may be out to the part of the view that is believed alive, so
 * that two sides of a partition cannot both give the whole limit.
 */
void share_keeper_scale(struct share_keeper *k, size_t alive, size_t members);

/*
 * Entry `who` has a demand of `demand` tokens per second and goes by a share
 * of `in_use` now, which confirms what it was given last. Returns its share
 * for the next SHARE_TTL_MS, or -1 while the keeper is new: the entry then
 * goes on with what it has. Costs the same for any number of entries.
 */
double share_keeper_request(struct share_keeper *k, uint64_t who, double demand,
			    double in_use, int64_t now_ms);

/* What is out now, in tokens per second. */
double share_keeper_granted(const struct share_keeper *k);

/* The entry's side: a token bucket filled at the rate of its share. */
struct share {
	double limit;
	size_t members;
	double rate; /* while valid */
	int64_t valid_ms;
	double level; /* tokens that may be used now */
	int64_t last_ms;
	double demand; /* decayed tokens per second asked for */
};

void share_init(struct share *s, double limit, size_t members, int64_t now_ms);

/* A share came (-1: keep the old one); `asked_ms` is from before it was asked for. */
void share_update(struct share *s, double rate, int64_t asked_ms);

/* The keeper's share that is in use now; 0 without one. */
double share_in_use(const struct share *s, int64_t now_ms);

/* The rate in force now: the share, or the floor without one. */
double share_rate(const struct share *s, int64_t now_ms);

/*
 * Takes `cost` tokens. False if the bucket is empty; `*retry_ms` (may be
 * NULL) is then when it will do. Demand is noted either way.
 */
bool share_take(struct share *s, double cost, int64_t now_ms,
		int64_t *retry_ms);

/* Gives back what an answer did not use. */
void share_refund(struct share *s, double cost);

/* True if the keeper should be asked now. */
bool share_is_due(const struct share *s, int64_t now_ms);

#endif
