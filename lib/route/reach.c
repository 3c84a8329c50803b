#include "route/reach.h"

#include <assert.h>

/* After a check no other one begins for this long, unless one is demanded. */
#define MIN_INTERVAL_MS 300

/* Interval of checks for silence alone, which long answers cause too. */
#define SILENCE_INTERVAL_MS 2000

/* Connections of two endpoints lost within this time are suspicious. */
#define LOST_WINDOW_MS 1000

/*
 * Good checks in a row that end a cut; doubled, up to the maximum, if the cut
 * before it ended less than RELAPSE_MS ago.
 */
#define GOOD_CHECKS 3
#define MAX_GOOD_CHECKS 16
#define RELAPSE_MS 10000

static bool checked_within(const struct reach *r, int64_t ms, int64_t now)
{
	return r->checked_ms && now - r->checked_ms < ms;
}

/* Returns true if another endpoint's connection was lost just before. */
static bool second_lost(struct reach *r, uint64_t endpoint, int64_t now)
{
	const bool second = r->lost_ms && r->lost_endpoint != endpoint &&
			    now - r->lost_ms < LOST_WINDOW_MS;

	r->lost_endpoint = endpoint;
	r->lost_ms = now;
	return second;
}

enum reach_step reach_suspect(struct reach *r, enum reach_suspicion why,
			      uint64_t endpoint, int64_t now)
{
	if (r->cut_off || r->pending)
		return REACH_NOTHING;
	switch (why) {
	case REACH_UNREACHED:
		break;
	case REACH_LOST_CONNECTION:
		if (!second_lost(r, endpoint, now))
			return REACH_NOTHING;
		break;
	case REACH_SILENCE:
		return checked_within(r, SILENCE_INTERVAL_MS, now)
			       ? REACH_NOTHING
			       : REACH_TRY;
	}
	return checked_within(r, MIN_INTERVAL_MS, now) ? REACH_NOTHING
						       : REACH_CHECK;
}

bool reach_check_due(const struct reach *r, int64_t now)
{
	return r->cut_off && !r->pending &&
	       now - r->checked_ms >= REACH_CHECK_MS;
}

void reach_check_begun(struct reach *r, unsigned probes, bool tentative,
		       int64_t now)
{
	assert(probes && !r->pending);
	r->pending = probes;
	r->connected = 0;
	r->tentative = tentative;
	r->checked_ms = now;
}

static enum reach_change cut_off(struct reach *r, int64_t now)
{
	const bool relapse = r->changed_ms && now - r->changed_ms < RELAPSE_MS;

	r->good_needed = relapse ? 2 * r->good_needed : GOOD_CHECKS;
	if (r->good_needed > MAX_GOOD_CHECKS)
		r->good_needed = MAX_GOOD_CHECKS;
	r->good_checks = 0;
	r->cut_off = true;
	r->changed_ms = now;
	return REACH_CUT_OFF;
}

enum reach_change reach_probed(struct reach *r, bool connected, bool relayed,
			       int64_t now, enum reach_step *step)
{
	assert(r->pending);
	*step = REACH_NOTHING;
	r->connected += connected;
	if (--r->pending)
		return REACH_UNCHANGED;
	if (!r->connected && r->tentative) {
		*step = REACH_CHECK;
		return REACH_UNCHANGED;
	}
	if (!r->connected) {
		r->good_checks = 0;
		return r->cut_off ? REACH_UNCHANGED : cut_off(r, now);
	}
	if (!r->cut_off || (++r->good_checks < r->good_needed && relayed))
		return REACH_UNCHANGED;
	r->cut_off = false;
	r->changed_ms = now;
	return REACH_BACK;
}
