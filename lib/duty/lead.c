#include "duty/lead.h"

#include <string.h>

void lead_init(struct lead *l, int64_t holdoff_ms, int64_t now)
{
	memset(l, 0, sizeof(*l));
	l->holdoff_ms = holdoff_ms;
	l->not_before_ms =
		now + (holdoff_ms ? holdoff_ms : LEAD_FIRST_START_MS);
	l->vacant_since_ms = l->not_before_ms;
}

static void step_down(struct lead *l, int64_t now)
{
	if (!l->is_holder)
		return;
	l->is_holder = false;
	l->fence = 0;
	l->not_before_ms = now + l->holdoff_ms;
}

void lead_on_lease_granted(struct lead *l, int64_t lease)
{
	l->lease = lease;
}

/* True if the key ends with the lease that this entry renews. */
static bool is_bound_to_lease(const struct lead *l, const struct lead_key *key)
{
	return key->owner == LEAD_OWNER_SELF && l->lease &&
	       key->lease == l->lease;
}

/* Reads come from watches and single calls, which may overtake each other. */
static bool is_outdated(struct lead *l, int64_t revision)
{
	if (revision < l->seen_revision)
		return true;
	l->seen_revision = revision;
	return false;
}

void lead_on_key(struct lead *l, const struct lead_key *key, int64_t now)
{
	if (is_outdated(l, key->revision))
		return;
	l->key_exists = true;
	l->stale_revision = 0;
	if (!is_bound_to_lease(l, key)) {
		if (key->owner != LEAD_OWNER_OTHER)
			l->stale_revision = key->revision;
		step_down(l, now);
		return;
	}
	if (l->is_holder && l->fence == key->revision)
		return;
	l->is_holder = true;
	l->fence = key->revision;
	l->held_since_ms = now;
}

void lead_on_key_deleted(struct lead *l, int64_t revision, int64_t now)
{
	if (is_outdated(l, revision))
		return;
	if (l->key_exists)
		l->vacant_since_ms = now;
	l->key_exists = false;
	l->stale_revision = 0;
	step_down(l, now);
}

static int64_t rank_delay_ms(int rank)
{
	return rank < 0 ? LEAD_UNRANKED_DELAY_MS
			: (int64_t)rank * LEAD_RANK_DELAY_MS;
}

static bool may_acquire(const struct lead *l, int rank, int64_t now)
{
	if (l->stale_revision)
		return now >= l->takeover_not_before_ms;
	return !l->key_exists && now >= l->not_before_ms &&
	       now >= l->vacant_since_ms + rank_delay_ms(rank);
}

bool lead_begin_acquire(struct lead *l, int rank, int64_t lease_until,
			int64_t now)
{
	if (l->acquiring || !l->lease || !may_acquire(l, rank, now))
		return false;
	if (now >= lease_until - LEAD_MARGIN_MS)
		return false;
	l->acquiring = true;
	l->acquiring_lease = l->lease;
	return true;
}

int64_t lead_expected_revision(const struct lead *l)
{
	return l->stale_revision;
}

void lead_end_acquire(struct lead *l, bool acquired, int64_t revision,
		      int64_t now)
{
	const struct lead_key written = { .owner = LEAD_OWNER_SELF,
					  .lease = l->acquiring_lease,
					  .revision = revision };

	l->acquiring = false;
	l->takeover_not_before_ms = now + LEAD_RETRY_MS;
	if (acquired && l->acquiring_lease == l->lease)
		lead_on_key(l, &written, now);
	else if (l->not_before_ms < now + LEAD_RETRY_MS)
		l->not_before_ms = now + LEAD_RETRY_MS;
}

void lead_on_lease_lost(struct lead *l, int64_t now)
{
	l->lease = 0;
	step_down(l, now);
}

void lead_on_store_restored(struct lead *l, int64_t lease_ms, int64_t now)
{
	lead_on_lease_lost(l, now);
	l->key_exists = false;
	l->stale_revision = 0;
	l->vacant_since_ms = now;
	l->no_act_before_ms = now + lease_ms;
	if (l->not_before_ms < l->no_act_before_ms)
		l->not_before_ms = l->no_act_before_ms;
}

bool lead_may_act(const struct lead *l, int64_t lease_until, int64_t now)
{
	return l->is_holder && now >= l->no_act_before_ms &&
	       now - l->held_since_ms >= LEAD_SETTLE_MS &&
	       now < lease_until - LEAD_MARGIN_MS;
}
