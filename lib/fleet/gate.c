#include "fleet/gate.h"

#include <math.h>

/*
 * A limit is shared by this many entries, and one more for each request per
 * second: each may send one request at once.
 */
#define MIN_SELECTED 2

/*
 * Requests that an entry may send at once: what its share allows in this time,
 * and at least one.
 */
#define BURST_MS 250.0

/*
 * An entry sends one request to a limited endpoint after this time without
 * another one or a statement: it is not selected, or its share is very small,
 * and would not learn that the limit was lifted.
 */
#define RETRY_MS 30000

static double burst_of(const struct gate *g)
{
	return fmax(1, g->share_per_s * BURST_MS / 1000);
}

static void fill(struct gate *g, int64_t now)
{
	g->tokens =
		fmin(burst_of(g),
		     g->tokens + g->share_per_s * (double)(now - g->filled_ms) /
					 1000);
	g->filled_ms = now;
}

static enum gate_change set_limit(struct gate *g, double per_s, int64_t now)
{
	if (per_s == g->limit_per_s)
		return GATE_UNCHANGED;
	if (!g->limit_per_s) {
		g->share_per_s = 0;
		g->tokens = 0;
		g->filled_ms = now;
		g->sent_ms = now;
	}
	g->limit_per_s = per_s;
	return per_s > 0 ? GATE_LIMITED : GATE_LIFTED;
}

enum gate_change gate_limit_answered(struct gate *g, double per_s, int64_t sent,
				     int64_t now)
{
	const bool relaxes = g->limit_per_s > 0 &&
			     (!per_s || per_s > g->limit_per_s);

	if (relaxes && sent < g->stated_ms)
		return GATE_UNCHANGED;
	/* Without a limit, only its end is a statement. */
	if (per_s > 0 || g->limit_per_s > 0)
		g->stated_ms = now;
	return set_limit(g, per_s, now);
}

enum gate_change gate_limit_reported(struct gate *g, double per_s,
				     int64_t stated, int64_t now)
{
	if (stated <= g->stated_ms)
		return GATE_UNCHANGED;
	g->stated_ms = stated;
	return set_limit(g, per_s, now);
}

double gate_share(double limit, unsigned rank, unsigned senders)
{
	const double selected = fmin(senders, MIN_SELECTED + floor(limit));

	return rank < selected ? limit / selected : 0;
}

void gate_set_share(struct gate *g, double per_s, int64_t now)
{
	fill(g, now);
	g->share_per_s = per_s;
}

void gate_wait(struct gate *g, int64_t until)
{
	if (until > g->wait_until_ms)
		g->wait_until_ms = until;
}

bool gate_waits(const struct gate *g, int64_t now)
{
	return now < g->wait_until_ms;
}

/* When the limit allows a request. */
static int64_t limit_open_ms(const struct gate *g, int64_t now)
{
	struct gate filled = *g;
	int64_t at;

	if (!g->limit_per_s)
		return now;
	fill(&filled, now);
	if (filled.tokens >= 1)
		return now;
	at = (g->sent_ms > g->stated_ms ? g->sent_ms : g->stated_ms) + RETRY_MS;
	if (g->share_per_s > 0)
		at = fmin(at, now + ceil((1 - filled.tokens) * 1000 /
					 g->share_per_s));
	return at > now ? at : now;
}

int64_t gate_open_ms(const struct gate *g, int64_t now)
{
	const int64_t at = limit_open_ms(g, now);

	return g->wait_until_ms > at ? g->wait_until_ms : at;
}

void gate_pass(struct gate *g, int64_t now)
{
	if (!g->limit_per_s)
		return;
	fill(g, now);
	g->tokens = fmax(0, g->tokens - 1);
	g->sent_ms = now;
}

bool gate_states_anything(const struct gate *g, int64_t now)
{
	return g->limit_per_s > 0 || g->leaving || g->brittle.stated ||
	       gate_waits(g, now);
}
