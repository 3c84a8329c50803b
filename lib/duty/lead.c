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

void lead_on_key(struct lead *l, enum lead_owner owner, int64_t revision,
		 int64_t now)
{
	if (l->is_holder && revision < l->fence)
		return;
	l->key_exists = true;
	l->previous_boot_revision = owner == LEAD_OWNER_PREVIOUS_BOOT ? revision
								      : 0;
	if (owner != LEAD_OWNER_SELF) {
		step_down(l, now);
		return;
	}
	if (l->is_holder && l->fence == revision)
		return;
	l->is_holder = true;
	l->fence = revision;
	l->held_since_ms = now;
}

void lead_on_key_deleted(struct lead *l, int64_t revision, int64_t now)
{
	if (l->is_holder && revision < l->fence)
		return;
	if (l->key_exists)
		l->vacant_since_ms = now;
	l->key_exists = false;
	l->previous_boot_revision = 0;
	step_down(l, now);
}

static int64_t rank_delay_ms(int rank)
{
	return rank < 0 ? LEAD_UNRANKED_DELAY_MS
			: (int64_t)rank * LEAD_RANK_DELAY_MS;
}

static bool may_acquire(const struct lead *l, int rank, int64_t now)
{
	if (l->previous_boot_revision)
		return now >= l->takeover_not_before_ms;
	return !l->key_exists && now >= l->not_before_ms &&
	       now >= l->vacant_since_ms + rank_delay_ms(rank);
}

bool lead_begin_acquire(struct lead *l, int rank, int64_t lease_until,
			int64_t now)
{
	if (l->acquiring || !may_acquire(l, rank, now))
		return false;
	if (now >= lease_until - LEAD_MARGIN_MS)
		return false;
	l->acquiring = true;
	return true;
}

int64_t lead_expected_revision(const struct lead *l)
{
	return l->previous_boot_revision;
}

void lead_end_acquire(struct lead *l, bool acquired, int64_t revision,
		      int64_t now)
{
	l->acquiring = false;
	l->takeover_not_before_ms = now + LEAD_RETRY_MS;
	if (acquired)
		lead_on_key(l, LEAD_OWNER_SELF, revision, now);
	else if (l->not_before_ms < now + LEAD_RETRY_MS)
		l->not_before_ms = now + LEAD_RETRY_MS;
}

void lead_on_lease_lost(struct lead *l, int64_t now)
{
	step_down(l, now);
}

void lead_on_store_restored(struct lead *l, int64_t lease_ms, int64_t now)
{
	step_down(l, now);
	l->key_exists = false;
	l->previous_boot_revision = 0;
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
