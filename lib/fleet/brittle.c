#include "fleet/brittle.h"

/* When to return to an endpoint whose share is used: some requests end by then. */
#define FULL_RETRY_MS 500

/* The least part of the slots that is used. */
#define MIN_FACTOR 0.05

/*
 * The part of the slots rises again by this much a second for each refusal that
 * the endpoint tolerates, up to the maximum: each rise risks another refusal.
 */
#define RISE_PER_REFUSAL 0.01
#define MAX_RISE 0.05

/* It ends if no answer has stated it for this long. */
#define EXPIRY_MS 10000

/*
 * With less of its slots taken, a few entries may exceed their share by one
 * request: no more of them than refusals are tolerated, since reports are
 * late and all of them may be wrong at once.
 */
#define EMPTY_FRACTION 0.5

static void begin(struct brittle *b, int max_refusals, int64_t now)
{
	b->stated = true;
	b->began_ms = now;
	b->max_refusals = max_refusals;
	b->factor = 1;
	b->raised_ms = now;
	b->refused_ms = 0;
}

bool brittle_answered(struct brittle *b, int max_refusals, int64_t sent,
		      int64_t now)
{
	const bool was = b->stated;

	b->answered_ms = now;
	if (max_refusals < 0) {
		if (!was || sent < b->stated_ms)
			return false;
		b->stated = false;
	} else if (!was) {
		begin(b, max_refusals, now);
	} else {
		b->max_refusals = max_refusals;
	}
	b->stated_ms = now;
	return b->stated != was;
}

bool brittle_inherit(struct brittle *b, const struct brittle *other,
		     int64_t now)
{
	if (b->stated || b->answered_ms)
		return false;
	begin(b, other->max_refusals, now);
	b->factor = brittle_factor(other, now);
	b->stated_ms = other->stated_ms;
	return true;
}

bool brittle_expire(struct brittle *b, int64_t now)
{
	if (!b->stated || now - b->stated_ms < EXPIRY_MS)
		return false;
	b->stated = false;
	return true;
}

double brittle_factor(const struct brittle *b, int64_t now)
{
	double rise = b->max_refusals * RISE_PER_REFUSAL;
	double f;

	if (rise > MAX_RISE)
		rise = MAX_RISE;
	f = b->factor + rise * (double)(now - b->raised_ms) / 1000;
	return f < 1 ? f : 1;
}

static void set_factor(struct brittle *b, double f, int64_t now)
{
	b->factor = f > MIN_FACTOR ? f : MIN_FACTOR;
	b->raised_ms = now;
}

void brittle_refused(struct brittle *b, int64_t now)
{
	/* Refusals at the same time are one sign. */
	if (!b->refused_ms || now - b->refused_ms >= BRITTLE_HOLD_MS)
		set_factor(b, brittle_factor(b, now) / 2, now);
	b->refused_ms = now;
}

/* Returns true if it began or ended. */
static bool take_statement(struct brittle *b, const struct brittle_report *r,
			   int64_t now)
{
	const bool was = b->stated;

	if (r->stated_ms <= b->stated_ms || r->stated_ms <= b->answered_ms)
		return false;
	if (r->max_refusals < 0)
		b->stated = false;
	else if (!was)
		begin(b, r->max_refusals, now);
	b->stated_ms = r->stated_ms;
	return b->stated != was;
}

bool brittle_reported(struct brittle *b, const struct brittle_report *r,
		      int64_t now)
{
	const bool changed = take_statement(b, r, now);

	/* A refusal may be of a time before this one. */
	if (!b->stated || r->refused_ms <= b->began_ms ||
	    r->refused_ms <= b->refused_ms)
		return changed;
	b->refused_ms = r->refused_ms;
	if (r->factor < brittle_factor(b, now))
		set_factor(b, r->factor, now);
	return changed;
}

void brittle_set_rank(struct brittle *b, int rank, int senders)
{
	b->rank = rank;
	b->senders = senders > 0 ? senders : 1;
}

int brittle_share(const struct brittle *b, int slots, int64_t now)
{
	const int senders = b->senders > 0 ? b->senders : 1;
	int total = (int)(slots * brittle_factor(b, now));

	if (total < 1)
		total = 1;
	return total / senders + (b->rank < total % senders);
}

int64_t brittle_open_ms(const struct brittle *b, const struct brittle_load *l,
			int64_t now)
{
	int share;

	if (!b->stated)
		return now;
	if (b->refused_ms && now - b->refused_ms < BRITTLE_HOLD_MS)
		return b->refused_ms + BRITTLE_HOLD_MS;
	share = brittle_share(b, l->slots, now);
	if (!b->refused_ms && b->rank < b->max_refusals &&
	    l->running + l->elsewhere < l->slots * EMPTY_FRACTION)
		share++;
	return l->running < share ? now : now + FULL_RETRY_MS;
}
