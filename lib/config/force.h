/*
 * force: the version of the configuration that is in force at this entry, and
 * the time at which it was last confirmed to be the newest one.
 *
 * The version in force never decreases. The time of a confirmation is when
 * the question was sent to the store, not when the answer arrived: an API key
 * that was revoked before that time is not in the version. All times are
 * milliseconds of the monotonic clock that includes suspend
 * (CLOCK_BOOTTIME).
 */
#ifndef FORCE_H
#define FORCE_H

#include <stdbool.h>
#include <stdint.h>

#include "config/cfg.h"

struct force {
	struct cfg *cfg;      /* NULL until the first version is known */
	int64_t confirmed_ms; /* time of the last confirmation; 0: none */
	int64_t newest_known_version; /* announced by any peer or the store */
	int64_t ignore_before_ms;     /* earlier confirmations are ignored */
};

void force_init(struct force *f);

/* Drops the reference to the version in force. */
void force_free(struct force *f);

/*
 * Handles a version that the store returned for a request sent at `asked_ms`.
 * Takes over the caller's reference to `c`. Returns true if the version is
 * newer than the former one and now in force.
 */
bool force_offer(struct force *f, struct cfg *c, int64_t asked_ms);

/*
 * Handles the news that `version` was the newest one at `at_ms`, from a peer
 * or from a store answer without changes. It confirms the version in force
 * only if that is the same one.
 */
void force_confirm(struct force *f, int64_t version, int64_t at_ms);

/*
 * Ignores confirmations for times before `until_ms`. Used when the store was
 * restored from an older copy: the newest version may be missing there until
 * operators have written it again, so the store cannot tell which version is
 * the newest.
 */
void force_reject_confirmations(struct force *f, int64_t until_ms);

/* Returns true if a newer version than the one in force is known to exist. */
bool force_behind(const struct force *f);

/*
 * Returns the time since the last confirmation in milliseconds, or INT64_MAX
 * if there was none.
 */
int64_t force_age(const struct force *f, int64_t now_ms);

/*
 * Returns true if the version in force is recent enough to check the API key
 * of a request that arrived at `arrived_ms`: the last confirmation is less
 * than `revoke_ms` older, so a key that was revoked `revoke_ms` or longer
 * before the arrival is not in the version.
 */
bool force_can_check_key(const struct force *f, int64_t arrived_ms,
			 int revoke_ms);

#endif
