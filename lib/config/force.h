/*
 * force: which version of the configuration is in force at this entry, and
 * until when it is known to be the newest one.
 *
 * The version never goes back. Freshness is the moment at which the store
 * was asked the question whose answer confirmed the version: a key that was
 * taken away before that moment is not in it. All times are those of the
 * clock that counts suspension.
 */
#ifndef FORCE_H
#define FORCE_H

#include <stdbool.h>
#include <stdint.h>

#include "config/cfg.h"

struct force {
	struct cfg *cfg;      /* NULL until the first version is known */
	int64_t confirmed_ms; /* the newest confirmation; 0: none */
	int64_t newest_known_version; /* the newest version that anybody named */
	int64_t ignore_before_ms; /* what was asked before confirms nothing */
};

void force_init(struct force *f);
void force_free(struct force *f);

/*
 * The store answered a question asked at `asked_ms` with this version. Takes
 * over the reference. Returns true if it is new and now in force.
 */
bool force_offer(struct force *f, struct cfg *c, int64_t asked_ms);

/* A version was the newest at `at_ms`, as a peer or a short read tells. */
void force_confirm(struct force *f, int64_t version, int64_t at_ms);

/*
 * The store came back from an older copy, and the newest version may be missing
 * there: until operators have written it again, by `until_ms`, no answer says
 * which one is the newest.
 */
void force_reject_confirmations(struct force *f, int64_t until_ms);

/* True if a newer version than the one in force was named. */
bool force_behind(const struct force *f);

/* How long ago the version was known to be the newest; INT64_MAX: never. */
int64_t force_age(const struct force *f, int64_t now_ms);

/*
 * True if a request that arrived at `arrived_ms` may run with a key: had the
 * key been taken away over `revoke_ms` before it was sent, we would know.
 */
bool force_can_check_key(const struct force *f, int64_t arrived_ms,
			 int revoke_ms);

#endif
