#include "duty/lead.h"

#include <string.h>

void lead_init(struct lead *l, int64_t away_ms, int64_t now)
{
	memset(l, 0, sizeof(*l));
	l->stay_away_ms = away_ms;
	l->not_before_ms = now + (away_ms ? away_ms : LEAD_MEET_MS);
	l->vacant_ms = l->not_before_ms;
}

static void step_down(struct lead *l, int64_t now)
{
	if (!l->mine)
		return;
	l->mine = false;
	l->fence = 0;
	l->not_before_ms = now + l->stay_away_ms;
}

void lead_seen(struct lead *l, enum lead_whose whose, int64_t revision,
	       int64_t now)
{
	if (l->mine && revision < l->fence)
		return;
	l->taken = true;
	l->former = whose == LEAD_FORMER ? revision : 0;
	if (whose != LEAD_MINE) {
		step_down(l, now);
		return;
	}
	if (l->mine && l->fence == revision)
		return;
	l->mine = true;
	l->fence = revision;
	l->since_ms = now;
}

void lead_vacant(struct lead *l, int64_t revision, int64_t now)
{
	if (l->mine && revision < l->fence)
		return;
	if (l->taken)
		l->vacant_ms = now;
	l->taken = false;
	l->former = 0;
	step_down(l, now);
}

static int64_t turn_of(int place)
{
	return place < 0 ? LEAD_OTHERS_MS : (int64_t)place * LEAD_STEP_MS;
}

static bool due(const struct lead *l, int place, int64_t now)
{
	if (l->former)
		return now >= l->former_ms;
	return !l->taken && now >= l->not_before_ms &&
	       now >= l->vacant_ms + turn_of(place);
}

bool lead_try(struct lead *l, int place, int64_t lease_until, int64_t now)
{
	if (l->trying || !due(l, place, now))
		return false;
	if (now >= lease_until - LEAD_MARGIN_MS)
		return false;
	l->trying = true;
	return true;
}

int64_t lead_expected(const struct lead *l)
{
	return l->former;
}

void lead_tried(struct lead *l, bool taken, int64_t revision, int64_t now)
{
	l->trying = false;
	l->former_ms = now + LEAD_AGAIN_MS;
	if (taken)
		lead_seen(l, LEAD_MINE, revision, now);
	else if (l->not_before_ms < now + LEAD_AGAIN_MS)
		l->not_before_ms = now + LEAD_AGAIN_MS;
}

void lead_lost(struct lead *l, int64_t now)
{
	step_down(l, now);
}

void lead_returned(struct lead *l, int64_t lease_ms, int64_t now)
{
	step_down(l, now);
	l->taken = false;
	l->former = 0;
	l->vacant_ms = now;
	l->quiet_ms = now + lease_ms;
	if (l->not_before_ms < l->quiet_ms)
		l->not_before_ms = l->quiet_ms;
}

bool lead_may_act(const struct lead *l, int64_t lease_until, int64_t now)
{
	return l->mine && now >= l->quiet_ms &&
	       now - l->since_ms >= LEAD_SETTLE_MS &&
	       now < lease_until - LEAD_MARGIN_MS;
}
