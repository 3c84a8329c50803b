/*
 * Tests of admission under congestion (shed.h) in virtual time, against a fake
 * of endpoints with slots and first-come queues. Each load is also played by a
 * twin without the decision, or with one part of it replaced, which must fail
 * the check: a check that it passes would not guard against anything.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/hsh.h"
#include "base/rnd.h"
#include "limit/shed.h"
#include "support/unit.h"

/* ---- The fake: clients, entries and endpoints ---- */

#define MAX_ENTRIES 24
#define ENDPOINTS 24
#define SLOTS 16
#define QUEUE 49     /* requests in flight at which an endpoint refuses */
#define RUN_MS 488.2 /* mean time of a request in its slot */
#define ACCOUNTS 16
#define KINDS 3
#define END_MS 32000
#define HISTORY 1024 /* ms of past loads */
#define SAMPLE 3     /* endpoints that an entry considers */

static const struct {
	double share, tokens, first_ms, run_ms, objective_ms, deadline_ms;
} kinds[KINDS] = {
	/* by rank */
	{ 0.31, 1500, 30, 460, 500, 15000 },
	{ 0.30, 9200, 185, 330, 800, 6000 },
	{ 0.39, 17000, 340, 640, 2000, 12000 },
};

/* What decides: the module, or what replaces a part of it. */
enum twin {
	MODULE,
	NO_DECISION,  /* every request is sent */
	NO_MIN_SHARE, /* no rank, account or size is sure of a share */
	FIXED_RETRY,  /* Retry-After is always the same */
	LONG_WAIT,    /* what is to be rejected waits on */
	ANY_SLOT,     /* free slots are not considered */
};

#define FIXED_RETRY_MS 200

struct load {
	enum twin twin;
	int entries, report_ms; /* age of other entries' loads */
	double calm;		/* load as a part of the capacity */
	double busy;		/* the same from `from_ms` to `to_ms` */
	double surge;	     /* account 0 sends this many times its load then */
	int lost;	     /* endpoints that are gone then */
	double overestimate; /* factor of predicted queueing delays */
	int from_ms, to_ms;
};

enum state {
	NEW,
	WAITING,
	SENT,
	REJECTED
};

struct req {
	int next, attempts, entry, endpoint, kind, account, generation;
	int64_t first_ms, arrived_ms, event_ms;
	enum state state;
	uint64_t hash;
	struct shd_entry at_entry;
};

struct total {
	int arrived, sent, sent_first, on_time, returned, returned_sent;
};

static struct fake {
	struct load l;
	struct rnd rnd;
	int64_t now;
	struct req reqs[400000];
	int nr_reqs, calendar[END_MS];
	struct shd shd[MAX_ENTRIES];
	int own[MAX_ENTRIES][ENDPOINTS],
		past_own[HISTORY][MAX_ENTRIES][ENDPOINTS];
	int in_flight[ENDPOINTS], past[HISTORY][ENDPOINTS];
	int generation[ENDPOINTS];
	int64_t free_at[ENDPOINTS][SLOTS];
	/* Violations, each of a rule of its own. */
	int held_too_long, rejected_beside_slot, sent_too_late, true_slots;
	/* Of requests that arrived first while busy, and after `to_ms` + 1 s. */
	struct total busy[KINDS], busy_account[ACCOUNTS], after, before;
} f;

static double uniform(void)
{
	return rnd_below(&f.rnd, 1000000) / 1e6;
}

static void schedule(int r, int64_t at)
{
	if (at <= f.now)
		at = f.now + 1;
	if (at >= END_MS)
		return;
	f.reqs[r].next = f.calendar[at];
	f.calendar[at] = r;
}

static bool is_busy(int64_t at)
{
	return at >= f.l.from_ms && at < f.l.to_ms;
}

static bool is_up(int endpoint)
{
	return !is_busy(f.now) || endpoint >= f.l.lost;
}

/* What the entry knows of the requests at an endpoint. */
static int known_load(int entry, int endpoint)
{
	const int64_t then = (f.now - f.l.report_ms + HISTORY) % HISTORY;

	if (!f.l.report_ms)
		return f.in_flight[endpoint];
	return f.own[entry][endpoint] + f.past[then][endpoint] -
	       f.past_own[then][entry][endpoint];
}

/* Predictions that are too long expect a delay beside free slots as well. */
static double queue_ms(int running)
{
	const int over = running + 1 - SLOTS;

	return (over > 0 ? over * RUN_MS / SLOTS * f.l.overestimate : 0) +
	       (f.l.overestimate - 1) * 10 * running;
}

/* The least loaded of all endpoints, or of a sample if there are several entries. */
static int pick(int entry)
{
	const int n = f.l.entries > 1 ? SAMPLE : ENDPOINTS;
	int best = -1, e, i;

	for (i = 0; i < n || best < 0; i++) {
		e = n == ENDPOINTS ? i : (int)rnd_below(&f.rnd, ENDPOINTS);
		if (is_up(e) && (best < 0 || known_load(entry, e) <
						     known_load(entry, best)))
			best = e;
	}
	return best;
}

static void count(const struct req *r, void (*add)(struct total *t))
{
	if (is_busy(r->first_ms)) {
		add(&f.busy[r->kind]);
		add(&f.busy_account[r->account]);
	} else if (r->first_ms >= f.l.to_ms + 1000 &&
		   r->first_ms < END_MS - 4000) {
		add(&f.after);
	} else if (r->first_ms > 2000 && r->first_ms < f.l.from_ms) {
		add(&f.before);
	}
}

static void add_arrived(struct total *t)
{
	t->arrived++;
}

static void add_sent(struct total *t)
{
	t->sent++;
}

static void add_sent_first(struct total *t)
{
	t->sent_first++;
}

static void add_on_time(struct total *t)
{
	t->on_time++;
}

static void add_returned(struct total *t)
{
	t->returned++;
}

static void add_returned_sent(struct total *t)
{
	t->returned_sent++;
}

/* The client repeats a request that was not run once, exactly when asked to. */
static void rejected(int i, int64_t after_ms)
{
	struct req *r = &f.reqs[i];
	const double left =
		kinds[r->kind].deadline_ms - (double)(f.now - r->first_ms);

	r->state = REJECTED;
	if (r->attempts > 1 || (double)after_ms >= left)
		return;
	count(r, add_returned);
	schedule(i, f.now + after_ms);
}

static void send(int i, int e)
{
	struct req *r = &f.reqs[i];
	int64_t *slot = &f.free_at[e][0], begin;
	int s;

	if (f.in_flight[e] >= QUEUE) {
		rejected(i, 500);
		return;
	}
	for (s = 1; s < SLOTS; s++) {
		if (f.free_at[e][s] < *slot)
			slot = &f.free_at[e][s];
	}
	begin = *slot > f.now ? *slot : f.now;
	*slot = begin + (int64_t)kinds[r->kind].run_ms;
	r->state = SENT;
	r->endpoint = e;
	r->generation = f.generation[e];
	r->event_ms = begin + (int64_t)kinds[r->kind].first_ms;
	f.own[r->entry][e]++;
	f.in_flight[e]++;
	count(r, add_sent);
	count(r, r->attempts > 1 ? add_returned_sent : add_sent_first);
	schedule(i, *slot);
}

static void ended(struct req *r)
{
	f.own[r->entry][r->endpoint]--;
	f.in_flight[r->endpoint]--;
	/* A request at an endpoint that was lost meanwhile is no answer. */
	if (r->generation == f.generation[r->endpoint] &&
	    (double)(r->event_ms - r->first_ms) <= kinds[r->kind].objective_ms)
		count(r, add_on_time);
}

static struct shd_request describe(const struct req *r, int running)
{
	struct shd_request q = {
		.queue_ms = queue_ms(running),
		.free_slot = running + 1 <= SLOTS,
		.can_wait = true,
		.left_ms = kinds[r->kind].deadline_ms -
			   (double)(f.now - r->first_ms),
		.objective_ms = kinds[r->kind].objective_ms,
		.held_ms = (double)(f.now - r->arrived_ms),
		.rank = (unsigned)r->kind,
		.tokens = kinds[r->kind].tokens,
		.account = (uint64_t)r->account + 100,
		.hash = hsh_str("attempt", r->hash),
	};
	unsigned i;

	q.wait_ms = q.queue_ms + kinds[r->kind].first_ms;
	for (i = 0; i < SHD_RANKS; i++)
		q.least_objective_ms[i] = kinds[0].objective_ms;
	return q;
}

static void check_rules(const struct shd_request *q,
			const struct shd_decision *d)
{
	int e;

	if (d->step != SHD_WAIT && q->held_ms > q->objective_ms / 4)
		f.held_too_long++;
	if (d->step == SHD_SEND && !q->free_slot && q->wait_ms >= q->left_ms)
		f.sent_too_late++;
	if (d->step != SHD_REJECT)
		return;
	f.rejected_beside_slot += q->free_slot;
	for (e = 0; e < ENDPOINTS; e++)
		f.true_slots += is_up(e) && f.in_flight[e] < SLOTS;
}

static struct shd_decision decision_of(struct req *r, struct shd_request q)
{
	struct shd *s = &f.shd[r->entry];
	struct shd_decision d = { .step = SHD_SEND };

	if (f.l.twin == NO_DECISION)
		return d;
	if (f.l.twin == ANY_SLOT)
		q.free_slot = false;
	d = shd_decide(s, &q, &r->at_entry, f.now);
	if (f.l.twin == NO_MIN_SHARE && d.reason == SHD_MIN_SHARE)
		d = (struct shd_decision){ SHD_REJECT, SHD_CONGESTED,
					   FIXED_RETRY_MS, 0 };
	if (f.l.twin == LONG_WAIT && d.step == SHD_REJECT)
		d = (struct shd_decision){ SHD_WAIT, SHD_CONGESTED,
					   SHD_WAIT_STEP_MS, 0 };
	shd_commit(s, &r->at_entry, &d, f.now);
	return d;
}

static void decide(int i)
{
	struct req *r = &f.reqs[i];
	const int e = pick(r->entry);
	const struct shd_request q = describe(r, known_load(r->entry, e));
	const struct shd_decision d = decision_of(r, q);

	check_rules(&q, &d);
	r->state = WAITING;
	if (d.step == SHD_SEND)
		send(i, e);
	else if (d.step == SHD_WAIT)
		schedule(i, f.now + d.ms);
	else
		rejected(i, f.l.twin == FIXED_RETRY ? FIXED_RETRY_MS : d.ms);
}

static void arrive(int i)
{
	struct req *r = &f.reqs[i];

	r->attempts++;
	r->arrived_ms = f.now;
	r->hash = rnd_next(&f.rnd);
	r->entry = (int)rnd_below(&f.rnd, (uint32_t)f.l.entries);
	memset(&r->at_entry, 0, sizeof(r->at_entry));
	decide(i);
}

static void new_request(int account)
{
	struct req *r = &f.reqs[f.nr_reqs++];
	double at = uniform();

	memset(r, 0, sizeof(*r));
	while (r->kind < KINDS - 1 && at >= kinds[r->kind].share)
		at -= kinds[r->kind++].share;
	r->account = account;
	r->first_ms = f.now;
	count(r, add_arrived);
	arrive(f.nr_reqs - 1);
}

static void new_requests(void)
{
	const bool busy = is_busy(f.now);
	/* At ENDPOINTS * SLOTS / RUN_MS requests per ms all slots are in use. */
	const double p = ENDPOINTS * SLOTS / RUN_MS *
			 (busy ? f.l.busy : f.l.calm) / ACCOUNTS;
	int a;

	for (a = 0; a < ACCOUNTS; a++) {
		if (uniform() < p * (busy && !a && f.l.surge ? f.l.surge : 1))
			new_request(a);
	}
}

/* What is at endpoints that are lost or start again is gone. */
static void change_endpoints(void)
{
	int e;

	if (f.now != f.l.from_ms && f.now != f.l.to_ms)
		return;
	for (e = 0; e < f.l.lost; e++) {
		f.generation[e]++;
		memset(f.free_at[e], 0, sizeof(f.free_at[e]));
	}
}

static void play(const struct load *l)
{
	int i, next;

	memset(&f, 0, sizeof(f));
	f.l = *l;
	rnd_seed(&f.rnd, unit_seed(1));
	memset(f.calendar, -1, sizeof(f.calendar));
	for (f.now = 0; f.now < END_MS; f.now++) {
		change_endpoints();
		for (i = f.calendar[f.now]; i >= 0; i = next) {
			next = f.reqs[i].next;
			if (f.reqs[i].state == SENT)
				ended(&f.reqs[i]);
			else if (f.reqs[i].state == REJECTED)
				arrive(i);
			else
				decide(i);
		}
		new_requests();
		memcpy(f.past[f.now % HISTORY], f.in_flight,
		       sizeof(f.in_flight));
		memcpy(f.past_own[f.now % HISTORY], f.own, sizeof(f.own));
	}
}

/* ---- Checks ---- */

static double ratio(int part, int all)
{
	return all ? (double)part / all : 1;
}

static struct total busy_total(void)
{
	struct total t = { 0 };
	int k;

	for (k = 0; k < KINDS; k++) {
		t.arrived += f.busy[k].arrived;
		t.sent += f.busy[k].sent;
		t.on_time += f.busy[k].on_time;
		t.returned += f.busy[k].returned;
		t.returned_sent += f.busy[k].returned_sent;
	}
	return t;
}

static void print(const char *what)
{
	static const char *const deciders[] = {
		[MODULE] = "module",	       [NO_DECISION] = "no decision",
		[NO_MIN_SHARE] = "no minimum", [FIXED_RETRY] = "fixed retry",
		[LONG_WAIT] = "long wait",     [ANY_SLOT] = "any slot",
	};
	const struct total t = busy_total();
	int k;

	printf("%s, %s: on time before %.3f after %.3f, busy:", what,
	       deciders[f.l.twin], ratio(f.before.on_time, f.before.arrived),
	       ratio(f.after.on_time, f.after.arrived));
	for (k = 0; k < KINDS; k++)
		printf(" %.3f (sent %.3f)",
		       ratio(f.busy[k].on_time, f.busy[k].arrived),
		       ratio(f.busy[k].sent, f.busy[k].arrived));
	printf(", returned sent %.3f\n", ratio(t.returned_sent, t.returned));
}

/* Plays the load with another part in place of the module. */
static void play_twin(const struct load *l, enum twin twin, const char *what)
{
	struct load other = *l;

	other.twin = twin;
	play(&other);
	print(what);
}

static bool on_time_after(void)
{
	return ratio(f.after.on_time, f.after.arrived) >= 0.99;
}

static bool first_rank_on_time(void)
{
	return ratio(f.busy[0].on_time, f.busy[0].arrived) >= 0.9;
}

static const struct load twice = {
	.entries = 1,
	.calm = 0.7,
	.busy = 2,
	.overestimate = 1,
	.from_ms = 12000,
	.to_ms = 22000,
};

/*
 * Load: twice the capacity for ten seconds, then 0.7 of it at once. Guards
 * against a queue that makes all requests late, also after the load is gone.
 */
static void twice_the_capacity_and_back(void)
{
	play_twin(&twice, MODULE, "twice");
	CU_ASSERT(first_rank_on_time());
	CU_ASSERT(on_time_after());
	CU_ASSERT_EQUAL(f.true_slots, 0);
	play_twin(&twice, NO_DECISION, "twice");
	CU_ASSERT_FALSE(first_rank_on_time());
	CU_ASSERT_FALSE(on_time_after());
}

static double calm_accounts_on_time(void)
{
	int a, on_time = 0, arrived = 0;

	for (a = 1; a < ACCOUNTS; a++) {
		on_time += f.busy_account[a].on_time;
		arrived += f.busy_account[a].arrived;
	}
	return ratio(on_time, arrived);
}

/*
 * Load: one account at eight times its usual load beside fifteen calm ones,
 * 1.08 of the capacity in sum. Guards against one account that makes the
 * others' requests late or takes their place.
 */
static void surge_of_an_account(void)
{
	struct load l = twice;
	double usual;

	l.calm = l.busy = 0.75;
	play_twin(&l, MODULE, "calm");
	usual = calm_accounts_on_time();
	l.surge = 8;
	play_twin(&l, MODULE, "surge");
	CU_ASSERT(calm_accounts_on_time() >= usual - 0.03);
	play_twin(&l, NO_DECISION, "surge");
	CU_ASSERT_FALSE(calm_accounts_on_time() >= usual - 0.03);
}

/*
 * Load: 0.8 of the capacity, a third of the endpoints gone for ten seconds.
 * Guards against a queue at the rest that makes the most urgent late.
 */
static void loss_of_endpoints(void)
{
	struct load l = twice;

	l.calm = l.busy = 0.8;
	l.lost = ENDPOINTS / 3;
	play_twin(&l, MODULE, "loss");
	CU_ASSERT(first_rank_on_time());
	CU_ASSERT(on_time_after());
	play_twin(&l, NO_DECISION, "loss");
	CU_ASSERT_FALSE(first_rank_on_time());
	CU_ASSERT_FALSE(on_time_after());
}

static bool most_returns_sent(void)
{
	const struct total t = busy_total();

	return ratio(t.returned_sent, t.returned) >= 0.7;
}

/*
 * Load: twice the capacity for two seconds, then 0.4 of it; clients repeat a rejected request
 * once, after exactly its Retry-After. Guards against a Retry-After that leads
 * into the same congestion, after which clients give up.
 */
static void clients_that_return(void)
{
	struct load l = twice;

	l.calm = 0.4;
	l.to_ms = l.from_ms + 2000;
	play_twin(&l, MODULE, "return");
	CU_ASSERT(most_returns_sent());
	CU_ASSERT(on_time_after());
	play_twin(&l, FIXED_RETRY, "return");
	CU_ASSERT_FALSE(most_returns_sent());
}

static bool all_have_a_quarter(void)
{
	double least = 1;
	int i;

	/* Each rank has requests of one size class only, a different one. */
	for (i = 0; i < KINDS; i++)
		least = fmin(least,
			     ratio(f.busy[i].sent_first, f.busy[i].arrived));
	for (i = 0; i < ACCOUNTS; i++)
		least = fmin(least, ratio(f.busy_account[i].sent_first,
					  f.busy_account[i].arrived));
	return least >= 0.25;
}

/*
 * By first attempts: repeated ones of a rank with a longer deadline may return
 * later, when the load is gone.
 */
static bool in_order_of_rank(void)
{
	int k;

	for (k = 1; k < KINDS; k++) {
		if (ratio(f.busy[k].on_time, f.busy[k].arrived) >
			    ratio(f.busy[k - 1].on_time,
				  f.busy[k - 1].arrived) ||
		    ratio(f.busy[k].sent_first, f.busy[k].arrived) >
			    ratio(f.busy[k - 1].sent_first,
				  f.busy[k - 1].arrived))
			return false;
	}
	return true;
}

/*
 * Load: two and a half times the capacity. Guards against starvation of a rank,
 * an account or a size, and against less urgent requests that are served more
 * often than more urgent ones.
 */
static void shares_of_all(void)
{
	struct load l = twice;

	l.busy = 2.5;
	play_twin(&l, MODULE, "shares");
	CU_ASSERT(all_have_a_quarter());
	CU_ASSERT(in_order_of_rank());
	play_twin(&l, NO_MIN_SHARE, "shares");
	CU_ASSERT_FALSE(all_have_a_quarter());
	play_twin(&l, NO_DECISION, "shares");
	CU_ASSERT_FALSE(in_order_of_rank());
}

/*
 * Load: twice the capacity, with predictions that are eight times too long.
 * Guards against requests that are held past their wait, rejected although the
 * endpoint has a free slot, or sent although they cannot begin in time.
 */
static void rules_of_each_decision(void)
{
	struct load l = twice;

	l.overestimate = 8;
	play_twin(&l, MODULE, "rules");
	CU_ASSERT_EQUAL(f.held_too_long, 0);
	CU_ASSERT_EQUAL(f.rejected_beside_slot, 0);
	CU_ASSERT_EQUAL(f.sent_too_late, 0);
	play_twin(&l, NO_DECISION, "rules");
	CU_ASSERT(f.sent_too_late > 0);
	play_twin(&l, LONG_WAIT, "rules");
	CU_ASSERT(f.held_too_long > 0);
	play_twin(&l, ANY_SLOT, "rules");
	CU_ASSERT(f.rejected_beside_slot > 0);
	l.report_ms = 600;
	l.entries = MAX_ENTRIES;
	play_twin(&l, MODULE, "rules, late loads");
	CU_ASSERT_EQUAL(f.held_too_long, 0);
	CU_ASSERT_EQUAL(f.rejected_beside_slot, 0);
	CU_ASSERT_EQUAL(f.sent_too_late, 0);
}

/*
 * Load: twice the capacity at 24 entries that know each other's loads as of
 * 0.6 s ago. Guards against entries that act on old loads all alike and do worse
 * than without the decision, or reject when there is no congestion.
 */
static void entries_with_late_loads(void)
{
	struct load l = twice;
	double before, first, all;

	l.entries = MAX_ENTRIES;
	l.report_ms = 600;
	play_twin(&l, NO_DECISION, "late loads");
	before = ratio(f.before.on_time, f.before.arrived);
	first = ratio(f.busy[0].on_time, f.busy[0].arrived);
	all = ratio(f.after.on_time, f.after.arrived);
	play_twin(&l, MODULE, "late loads");
	CU_ASSERT(ratio(f.before.on_time, f.before.arrived) >= before - 0.02);
	CU_ASSERT(ratio(f.busy[0].on_time, f.busy[0].arrived) >= 3 * first);
	CU_ASSERT(ratio(f.after.on_time, f.after.arrived) >= all + 0.05);
}

/* ---- Cost ---- */

#define DECISIONS 100000

static int by_value(const void *a, const void *b)
{
	return (*(const int64_t *)a > *(const int64_t *)b) -
	       (*(const int64_t *)a < *(const int64_t *)b);
}

static int64_t now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000000000ll + t.tv_nsec;
}

/*
 * Prints the time of a decision with all accounts in use, all of them above
 * their usual load. There is no bound on it here, as times vary with the
 * machine.
 */
static void cost_of_a_decision(void)
{
	static int64_t took[DECISIONS];
	struct shd *s = &f.shd[0];
	int64_t i;

	play(&twice);
	for (i = 0; i < DECISIONS; i++) {
		struct req r = { .kind = (int)(i % KINDS),
				 .account = (int)(i % 80),
				 .first_ms = END_MS + i / 10 };
		struct shd_request q;
		struct shd_decision d;
		int64_t began;

		/* A calm time gives each account a usual load. */
		f.now = r.first_ms + (i < DECISIONS / 2 ? i : DECISIONS / 2);
		r.arrived_ms = r.first_ms = f.now;
		r.hash = (uint64_t)i;
		q = describe(&r, 24);
		began = now_ns();
		d = shd_decide(s, &q, &r.at_entry, f.now);
		shd_commit(s, &r.at_entry, &d, f.now);
		took[i] = now_ns() - began;
	}
	qsort(took, DECISIONS, sizeof(took[0]), by_value);
	printf("decision: median %d ns, 99th percentile %d ns\n",
	       (int)took[DECISIONS / 2], (int)took[DECISIONS / 100 * 99]);
	CU_ASSERT(took[0] >= 0);
}

static const struct unit_test tests[] = {
	{ "twice the capacity and back", twice_the_capacity_and_back },
	{ "a surge of an account", surge_of_an_account },
	{ "a loss of endpoints", loss_of_endpoints },
	{ "clients that return", clients_that_return },
	{ "shares of all", shares_of_all },
	{ "rules of each decision", rules_of_each_decision },
	{ "entries with late loads", entries_with_late_loads },
	{ "the cost of a decision", cost_of_a_decision },
};

UNIT_MAIN("shed", tests)
