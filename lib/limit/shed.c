#include "limit/shed.h"

#include <float.h>
#include <math.h>
#include <stddef.h>

/*
 * Share of the smallest objective that the queueing delay may take, by rank.
 * Half leaves the most urgent requests as much time for their own prompt and for
 * the error of predictions. Each rank stops at about 0.7 of the delay of the
 * one before, which is more than the prediction varies between endpoints. The
 * last row is for requests that are late or demoted from the last rank.
 */
static const double bound_shares[SHD_RANKS + 1] = {
	0.5, 0.35, 0.25, 0.18, 0.125, 0.09,
};

/* Time constant of what counts as recent: longer than most answers take. */
#define RECENT_MS 4000.0

/*
 * Time constant of an account's usual load. An account at eight times its load
 * is still far above the usual one after half a minute.
 */
#define USUAL_MS 60000.0

/* History that is needed before an account has a usual load. */
#define MIN_HISTORY_MS 4000.0

/*
 * Minimum share of the recent arrivals of a rank, an account or a size that is
 * admitted. A quarter is promised; the rest covers the deviation of short samples
 * and the begin of congestion, when arrivals before it count as recent.
 */
#define MIN_SHARE 0.3

/*
 * The same for requests whose objective has passed, most of them repeated. At
 * MIN_SHARE, those that return after four times the capacity took the whole of
 * it for seconds.
 */
#define MIN_LATE_SHARE 0.02

/* Arrivals of a less urgent rank that are needed for a comparison with it. */
#define MIN_COMPARED 3.0

/*
 * An account that asks for this much more than usual is far above it. Clients
 * repeat a rejected request once, which alone can double what is asked for.
 */
#define FAR_ABOVE_USUAL 2.5

/* An account asks for far more than its fair share from this ratio on. */
#define FAR_ABOVE_FAIR 1.1

/* Weight of an arrival with less time left in the longest time left. */
#define LONGEST_WEIGHT 0.02

/* A row of an account that asked for less recently may be given to another one. */
#define IDLE_TOKENS 0.01

/* Part of the objective for which a request may be held at the entry. */
#define MAX_WAIT_RATIO 0.25

/* Part of the time left that Retry-After may take; clients honour no more. */
#define MAX_RETRY_RATIO (1.0 / 3)

/* Retry-After is at least this, and spread over up to 1.5 times its value. */
#define MIN_RETRY_MS 100.0
#define RETRY_SPREAD 0.5

/* ---- Recent requests ---- */

static void decay_counts(struct shd_counts *c, unsigned n, double f)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		c[i].arrived *= f;
		c[i].admitted *= f;
	}
}

/* Tokens that the service admitted per ms, recently. */
static double admission_rate(const struct shd *s)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i <= SHD_ACCOUNTS; i++)
		sum += s->accounts[i].taken;
	return sum / RECENT_MS;
}

/* What is expected to return is served by rank, at the rate of admissions. */
static void drain_returning(struct shd *s, double ms)
{
	double tokens = admission_rate(s) * ms;
	unsigned i;

	for (i = 0; i < SHD_RANKS && tokens > 0; i++) {
		const double served = fmin(tokens, s->returning[i]);

		s->returning[i] -= served;
		tokens -= served;
	}
}

/*
 * The usual load is the mean of what is asked for: of all of it until there is
 * enough history, and of about the last USUAL_MS from then on. With the mean of
 * all of it for USUAL_MS, a surge soon after the start became usual in seconds.
 */
static void learn_usual(struct shd_account *a, double ms, int64_t now)
{
	/* `asked` is too low at first. */
	const double age = (double)(now - a->first_ms) - RECENT_MS;
	const double over = age < MIN_HISTORY_MS ? age : USUAL_MS;

	if (age > 0)
		a->usual += (a->asked - a->usual) * fmin(ms / over, 1);
}

static void advance(struct shd *s, int64_t now)
{
	const double ms = (double)(now - s->at_ms);
	double f;
	unsigned i;

	if (ms <= 0)
		return;
	drain_returning(s, ms);
	s->at_ms = now;
	f = exp(-ms / RECENT_MS);
	decay_counts(s->ranks, SHD_RANKS, f);
	decay_counts(s->sizes, SHD_SIZES, f);
	decay_counts(&s->late, 1, f);
	for (i = 0; i <= SHD_ACCOUNTS; i++) {
		struct shd_account *a = &s->accounts[i];

		decay_counts(&a->counts, 1, f);
		a->asked *= f;
		a->taken *= f;
		learn_usual(a, ms, now);
	}
}

/* The row of the account: its own, an unused or idle one, or the shared one. */
static unsigned account_row(struct shd *s, uint64_t hash, int64_t now)
{
	unsigned i, idle = SHD_ACCOUNTS;

	for (i = 0; i < SHD_ACCOUNTS; i++) {
		if (s->accounts[i].hash == hash)
			return i;
		if (idle == SHD_ACCOUNTS && s->accounts[i].asked < IDLE_TOKENS)
			idle = i;
	}
	if (idle < SHD_ACCOUNTS)
		s->accounts[idle] =
			(struct shd_account){ .hash = hash, .first_ms = now };
	return idle;
}

static unsigned size_class(double tokens)
{
	return tokens <= 1000	 ? 0
	       : tokens <= 4000	 ? 1
	       : tokens <= 16000 ? 2
				 : 3;
}

/* ---- Accounts ---- */

/*
 * The largest amount per account at which all accounts together get what was
 * admitted recently, if none gets more than it asks for (max-min fairness);
 * DBL_MAX: all get what they ask for.
 */
static double fair_level(const struct shd *s)
{
	bool content[SHD_ACCOUNTS + 1] = { false };
	double left = admission_rate(s) * RECENT_MS;
	unsigned i, n, before, wanting = 0;

	for (i = 0; i <= SHD_ACCOUNTS; i++) {
		content[i] = s->accounts[i].asked <= 0;
		wanting += !content[i];
	}
	for (n = 0, before = wanting + 1; wanting && wanting < before; n++) {
		const double level = left / wanting;

		before = wanting;
		for (i = 0; i <= SHD_ACCOUNTS; i++) {
			if (content[i] || s->accounts[i].asked > level)
				continue;
			content[i] = true;
			wanting--;
			left -= s->accounts[i].asked;
		}
	}
	return wanting ? left / wanting : DBL_MAX;
}

/*
 * True if the account asks for far more than it usually does. With few requests
 * the number varies, so two standard deviations are added.
 */
static bool is_surging(const struct shd_account *a, int64_t now)
{
	double limit, mean;

	if ((double)(now - a->first_ms) - RECENT_MS < MIN_HISTORY_MS)
		return false;
	limit = FAR_ABOVE_USUAL * a->usual;
	mean = a->asked / fmax(a->counts.arrived, 1);
	return a->asked > limit + 2 * sqrt(limit * mean);
}

/*
 * True if the account counts as less urgent: it asks for more than its fair share of
 * the recent admissions, and for far more than usual. By what it takes alone it
 * would be as urgent as the others again whenever it is held to its share.
 */
static bool is_unfair(const struct shd *s, unsigned row, int64_t now)
{
	const struct shd_account *a = &s->accounts[row];

	return row < SHD_ACCOUNTS && is_surging(a, now) &&
	       a->asked / FAR_ABOVE_FAIR > fair_level(s);
}

/* ---- Minimum shares ---- */

/* The attempt's number from 0 to 1, the same at each decision. */
static double fraction_of(const struct shd_request *q)
{
	return (double)(q->hash >> 11) / (double)(1ull << 53);
}

/*
 * True if fewer than `share` of the recent arrivals were admitted. The attempt's
 * fraction rounds at random: with few requests per entry, each entry would
 * otherwise admit the first one, and all entries together far more.
 */
static bool is_below(const struct shd_counts *c, double share, double fraction)
{
	return c->admitted + fraction < share * c->arrived;
}

/*
 * The share of a rank's arrivals that is admitted at least: no less than of a
 * less urgent rank.
 */
static double min_share_of(const struct shd *s, unsigned rank)
{
	double share = MIN_SHARE;
	unsigned i;

	for (i = rank + 1; i < SHD_RANKS; i++) {
		const struct shd_counts *c = &s->ranks[i];

		if (c->arrived >= MIN_COMPARED)
			share = fmax(share, c->admitted / c->arrived);
	}
	return share;
}

static bool is_below_min_share(const struct shd *s, const struct shd_entry *e,
			       double fraction)
{
	if (e->late)
		return is_below(&s->late, MIN_LATE_SHARE, fraction);
	return is_below(&s->accounts[e->account].counts, MIN_SHARE, fraction) ||
	       is_below(&s->sizes[e->size], MIN_SHARE, fraction) ||
	       (!e->demoted && is_below(&s->ranks[e->rank],
					min_share_of(s, e->rank), fraction));
}

/* ---- Decision ---- */

/*
 * True if the request's objective has passed: clients measure it from their
 * first attempt, and a repeated attempt has less time left than first ones of
 * the same account and rank. One with still less time left than Retry-After can
 * have cost is taken for that of a client with a shorter deadline.
 */
static bool is_late(struct shd_account *a, unsigned rank,
		    const struct shd_request *q)
{
	double *longest = &a->longest_ms[rank], gone;

	if (q->left_ms >= *longest)
		*longest = q->left_ms;
	else /* forgets a longer deadline that is no longer in use */
		*longest -= (*longest - q->left_ms) * LONGEST_WEIGHT;
	gone = *longest - q->left_ms;
	return gone >= q->objective_ms &&
	       gone <= *longest * MAX_RETRY_RATIO + q->objective_ms;
}

/*
 * Late requests are counted apart: they were counted when they arrived first.
 * What a demoted account sends does not count for the rank: it would lower the
 * rank's share, and more of its requests would be admitted beyond the bound.
 */
static void count_step(struct shd *s, const struct shd_entry *e, double arrived,
		       double admitted)
{
	struct shd_counts *const counts[] = {
		e->late ? &s->late : &s->sizes[e->size],
		e->late ? NULL : &s->accounts[e->account].counts,
		e->late || e->demoted ? NULL : &s->ranks[e->rank],
	};
	unsigned i;

	for (i = 0; i < 3; i++) {
		if (!counts[i])
			continue;
		counts[i]->arrived += arrived;
		counts[i]->admitted += admitted;
	}
}

static void count_arrival(struct shd *s, const struct shd_request *q,
			  struct shd_entry *e, int64_t now)
{
	struct shd_account *a;

	e->counted = true;
	e->rank = q->rank < SHD_RANKS ? q->rank : SHD_RANKS - 1;
	e->size = size_class(q->tokens);
	e->tokens = q->tokens > 1 ? q->tokens : 1;
	e->account = account_row(s, q->account, now);
	a = &s->accounts[e->account];
	a->asked += e->tokens;
	e->late = is_late(a, e->rank, q);
	e->demoted = !q->free_slot && is_unfair(s, e->account, now);
	count_step(s, e, 1, 0);
}

/*
 * The row of bound_shares. Requests whose objective has passed come last: in an
 * overload those that return after a rejection otherwise take the place of new
 * ones, which are then late as well, for seconds after its end.
 */
static unsigned bound_row(const struct shd_entry *e)
{
	return e->late ? SHD_RANKS : e->rank + e->demoted;
}

static double bound_of(const struct shd_request *q, const struct shd_entry *e)
{
	const unsigned row = bound_row(e);

	return bound_shares[row] *
	       q->least_objective_ms[row < SHD_RANKS ? row : SHD_RANKS - 1];
}

/*
 * Retry-After: until the queue is within the bound and what is as urgent or more
 * and was rejected before has returned.
 */
static int64_t retry_after(const struct shd *s, const struct shd_request *q,
			   const struct shd_entry *e, double bound)
{
	const double rate = admission_rate(s);
	const double most = fmax(q->left_ms, 0) * MAX_RETRY_RATIO;
	double ms = fmax(q->queue_ms - bound, 0), ahead = 0;
	unsigned i;

	for (i = 0; i <= e->rank; i++)
		ahead += s->returning[i];
	if (ahead > 0)
		ms += rate > 0 ? ahead / rate : most;
	ms = fmin(fmax(ms, MIN_RETRY_MS), most / (1 + RETRY_SPREAD));
	return (int64_t)(ms * (1 + RETRY_SPREAD * fraction_of(q)));
}

struct shd_decision shd_decide(struct shd *s, const struct shd_request *q,
			       struct shd_entry *e, int64_t now)
{
	struct shd_decision d = { .step = SHD_SEND, .reason = SHD_FREE_SLOT };
	double excess, wait;

	advance(s, now);
	if (!e->counted)
		count_arrival(s, q, e, now);
	d.bound_ms = bound_of(q, e);
	if (q->free_slot)
		return d;
	excess = q->queue_ms - d.bound_ms;
	wait = q->objective_ms * MAX_WAIT_RATIO - q->held_ms;
	d.reason = q->wait_ms >= q->left_ms		      ? SHD_NO_TIME
		   : excess <= 0			      ? SHD_IN_BOUND
		   : is_below_min_share(s, e, fraction_of(q)) ? SHD_MIN_SHARE
							      : SHD_CONGESTED;
	if (d.reason == SHD_IN_BOUND || d.reason == SHD_MIN_SHARE)
		return d;
	/* A queue that cannot be short in time is not waited for. */
	if (d.reason == SHD_CONGESTED && q->can_wait && wait >= 1 &&
	    excess <= wait) {
		d.step = SHD_WAIT;
		d.ms = (int64_t)fmin(wait, SHD_WAIT_STEP_MS);
		return d;
	}
	d.step = SHD_REJECT;
	d.ms = retry_after(s, q, e, d.bound_ms);
	return d;
}

void shd_commit(struct shd *s, const struct shd_entry *e,
		const struct shd_decision *d, int64_t now)
{
	advance(s, now);
	/* Clients return once, and those of late requests did so before. */
	if (d->step == SHD_REJECT && !e->late)
		s->returning[e->rank] += e->tokens;
	if (d->step != SHD_SEND)
		return;
	s->accounts[e->account].taken += e->tokens;
	count_step(s, e, 0, 1);
}
