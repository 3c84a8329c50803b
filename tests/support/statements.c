#include "support/statements.h"

#include <stdlib.h>
#include <string.h>

#include "io/hmsg.h"

/*
 * The rule of the limit: over a window, half more than the limit and a few
 * requests. It holds from STM_STABLE_MS on after the limit was first stated, for
 * entries to which an answer stated it KNOWN_MS before.
 */
#define WINDOW_MS 4000
#define WINDOW_FACTOR 1.5
#define WINDOW_SLACK 5
#define KNOWN_MS 500

/*
 * The rule of leaving: no request from an entry later than this after an answer
 * that stated it.
 */
#define LEAVING_MS 2000

/*
 * The rule of a wait: this many requests of the entry, from KNOWN_MS after the
 * refusal to the end of the wait.
 */
#define WAIT_REQUESTS 2

/* The entry's number; 0: not stated. */
static unsigned entry_of(const char *id)
{
	const int n = id && id[0] == 'e' ? atoi(id + 1) : 0;

	return n > 0 && n < STM_MAX_ENTRIES ? (unsigned)n : 0;
}

void stm_set_limit(struct stm *s, double per_s, int64_t now)
{
	s->limit_per_s = per_s;
	s->limited_ms = now;
	s->nr_arrivals = 0;
	memset(s->limit_told_ms, 0, sizeof(s->limit_told_ms));
}

static unsigned count_window(const struct stm *s, int64_t now)
{
	unsigned i, n = 0;

	for (i = 0; i < s->nr_arrivals && i < STM_MAX_ARRIVALS; i++)
		n += now - s->arrivals_ms[i] < WINDOW_MS;
	return n;
}

static void check_limit(struct stm *s, unsigned entry, int64_t now)
{
	const int64_t told = s->limit_told_ms[entry];
	unsigned n;

	if (s->limit_per_s <= 0 || now - s->limited_ms < STM_STABLE_MS ||
	    !told || now - told < KNOWN_MS)
		return;
	s->arrivals_ms[s->nr_arrivals++ % STM_MAX_ARRIVALS] = now;
	n = count_window(s, now);
	if (n > s->most)
		s->most = n;
	s->over_limit += n > WINDOW_FACTOR * s->limit_per_s * WINDOW_MS / 1000 +
				     WINDOW_SLACK;
}

static void check_waits(struct stm *s, unsigned entry, int64_t now)
{
	unsigned i;

	for (i = 0; i < STM_MAX_WAITS; i++) {
		struct stm_wait *t = &s->waits[entry][i];

		if (now - t->told_ms >= KNOWN_MS && now < t->until_ms)
			s->in_wait += ++t->arrivals > WAIT_REQUESTS;
	}
}

bool stm_refuses(const struct stm *s)
{
	return s->wait_ms > 0;
}

bool stm_is_full(const struct stm *s, int running, int64_t now)
{
	return s->brittle && now - s->brittle->since_ms >= STM_STABLE_MS &&
	       running >= s->brittle->room;
}

bool stm_refused(struct stm *s, int64_t now)
{
	unsigned i, n = 0;

	s->refusals_ms[s->nr_refusals++ % STM_MAX_REFUSALS] = now;
	for (i = 0; i < s->nr_refusals && i < STM_MAX_REFUSALS; i++)
		n += now - s->refusals_ms[i] < 1000;
	return n > s->brittle->max_refusals;
}

void stm_arrived(struct stm *s, const char *id, int64_t now)
{
	const unsigned entry = entry_of(id);
	const int64_t leaving = s->leaving_told_ms[entry];

	check_limit(s, entry, now);
	check_waits(s, entry, now);
	s->to_leaving += leaving && now - leaving > LEAVING_MS;
}

void stm_excuse(struct stm *s, unsigned entry)
{
	if (entry >= STM_MAX_ENTRIES)
		return;
	s->limit_told_ms[entry] = 0;
	s->leaving_told_ms[entry] = 0;
	memset(s->waits[entry], 0, sizeof(s->waits[entry]));
}

static void first_told(int64_t *told, int64_t now)
{
	if (!*told)
		*told = now;
}

void stm_put(struct stm *s, const char *id, struct buf *out, int64_t now)
{
	const unsigned entry = entry_of(id);

	if (s->limit_per_s > 0) {
		buf_fmt(out, "Server-Limit: %g\r\n", s->limit_per_s);
		first_told(&s->limit_told_ms[entry], now);
	}
	if (s->leaving) {
		buf_str(out, "Server-Leaving: 1\r\n");
		first_told(&s->leaving_told_ms[entry], now);
	}
	if (s->brittle)
		buf_fmt(out, "Server-Brittle: %u\r\n",
			s->brittle->max_refusals);
	if (s->wait_ms > 0) {
		buf_fmt(out, "Retry-After: %.3f\r\n",
			(double)s->wait_ms / 1000);
		s->waits[entry][s->nr_waits[entry]++ % STM_MAX_WAITS] =
			(struct stm_wait){ now, now + s->wait_ms, 0 };
	}
}
