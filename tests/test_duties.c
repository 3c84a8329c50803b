/* Tests of the duties: leader election, usage counts, wall time, scaling. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "duty/saved_plan.h"
#include "duty/lead.h"
#include "duty/scale.h"
#include "duty/walltime.h"
#include "duty/usage.h"
#include "support/unit.h"

/* ---- Leader election ---- */

#define NODES 4
#define LEASE_MS 3000
#define HOLDOFF_MS 3000

struct node {
	struct lead lead;
	int64_t until;	      /* proven end of its lease */
	int64_t frozen_until; /* suspended until then */
	int64_t renewal;      /* send time of a renewal in flight; 0: none */
	int64_t watch_at;     /* its watch catches up then; 0: up to date */
	int boot;	      /* incremented with each start */
	bool down;	      /* crashed; restarts at frozen_until */
};

/* The platform that receives the duties' calls, and what it checks. */
struct cloud {
	int64_t last_fence;
	int last_holder, previous_holder;
	int64_t last_ms, previous_ms;
	unsigned violations;
};

struct world {
	struct node nodes[NODES];
	int holder; /* in the store; -1: none */
	int holder_boot;
	int64_t fence, lease_end, revision;
	struct cloud cloud;
	int64_t margin; /* subtracted from each lease; negative: broken */
};

static void act(struct world *w, int n, int64_t now)
{
	struct cloud *c = &w->cloud;
	const int64_t fence = w->nodes[n].lead.fence;

	c->violations += fence < c->last_fence;
	c->violations += fence == c->last_fence && n != c->last_holder &&
			 c->last_ms;
	/* Calls of holders A, B, A within one lease time. */
	c->violations += n != c->last_holder && n == c->previous_holder &&
			 now - c->previous_ms < LEASE_MS && c->previous_ms;
	if (n != c->last_holder) {
		c->previous_holder = c->last_holder;
		c->previous_ms = c->last_ms;
	}
	c->last_holder = n;
	c->last_ms = now;
	c->last_fence = fence;
}

static void store_tick(struct world *w, int64_t now)
{
	int i;

	if (w->holder < 0 || now < w->lease_end)
		return;
	w->holder = -1;
	w->revision++;
	for (i = 0; i < NODES; i++) {
		if (now >= w->nodes[i].frozen_until && !w->nodes[i].watch_at)
			lead_on_key_deleted(&w->nodes[i].lead, w->revision,
					    now);
	}
}

/* Each boot of a node has one lease. */
static int64_t lease_of(int n, int boot)
{
	return 1000 * (n + 1) + boot;
}

static struct lead_key key_of(const struct world *w, const struct node *x,
			      int n)
{
	struct lead_key k = { .revision = w->fence };

	if (w->holder == n)
		k.owner = w->holder_boot == x->boot ? LEAD_OWNER_SELF
						    : LEAD_OWNER_PREVIOUS_BOOT;
	k.lease = lease_of(w->holder, w->holder_boot);
	return k;
}

/* The watch of a node delivers the current state of the key. */
static void catch_up(struct world *w, struct node *x, int n, int64_t now)
{
	const struct lead_key key = key_of(w, x, n);

	if (w->holder < 0)
		lead_on_key_deleted(&x->lead, w->revision, now);
	else
		lead_on_key(&x->lead, &key, now);
}

static void renew(struct world *w, struct node *x, int n, int64_t now,
		  bool late)
{
	if (w->holder == n && now < w->lease_end) {
		w->lease_end = now + LEASE_MS;
		/* The lease counts from before the call was sent. */
		if (!late)
			x->until = now + LEASE_MS;
		else
			x->renewal = now;
	}
}

static void node_tick(struct world *w, int n, int64_t now, struct rnd *rnd)
{
	struct node *x = &w->nodes[n];

	if (now < x->frozen_until)
		return;
	if (x->renewal) {
		x->until = x->renewal + LEASE_MS;
		x->renewal = 0;
	}
	if (x->down) {
		x->down = false;
		x->boot++;
		lead_init(&x->lead, HOLDOFF_MS, now);
		lead_on_lease_granted(&x->lead, lease_of(n, x->boot));
		catch_up(w, x, n, now);
	}
	if (lead_begin_acquire(&x->lead, n, now + LEASE_MS, now)) {
		const int64_t key_revision = w->holder < 0 ? 0 : w->fence;
		const bool key_unchanged = lead_expected_revision(&x->lead) ==
					   key_revision;

		if (key_unchanged) {
			w->holder = n;
			w->holder_boot = x->boot;
			w->fence = ++w->revision;
			w->lease_end = now + LEASE_MS;
			x->until = now + LEASE_MS;
		}
		/* The answer may be lost; then the watch delivers the key. */
		if (rnd_below(rnd, 4)) {
			lead_end_acquire(&x->lead, key_unchanged, w->fence,
					 now);
		} else {
			lead_end_acquire(&x->lead, false, 0, now);
			catch_up(w, x, n, now);
		}
	}
	if (now % 900 < 10)
		renew(w, x, n, now, !rnd_below(rnd, 3));
	if (lead_may_act(&x->lead, x->until - w->margin, now) &&
	    !rnd_below(rnd, 5))
		act(w, n, now);
}

static unsigned schedule(uint64_t seed, bool broken_variant)
{
	struct world w;
	struct rnd rnd;
	int64_t now;
	int n;

	memset(&w, 0, sizeof(w));
	rnd_seed(&rnd, seed);
	w.holder = -1;
	w.cloud.last_holder = w.cloud.previous_holder = -1;
	/* The broken variant trusts its lease two seconds too long. */
	w.margin = broken_variant ? -2000 : 0;
	for (n = 0; n < NODES; n++) {
		lead_init(&w.nodes[n].lead, HOLDOFF_MS, 1);
		lead_on_lease_granted(&w.nodes[n].lead, lease_of(n, 0));
	}
	for (now = 10; now < 40000; now += 10) {
		store_tick(&w, now);
		for (n = 0; n < NODES; n++) {
			struct node *x = &w.nodes[n];

			/* After a suspension the watch is late at first. */
			if (x->frozen_until > now - 10 &&
			    x->frozen_until <= now)
				x->watch_at = now + rnd_below(&rnd, 1500);
			if (x->watch_at && now >= x->watch_at &&
			    now >= x->frozen_until) {
				x->watch_at = 0;
				catch_up(&w, x, n, now);
			}
			node_tick(&w, n, now, &rnd);
		}
		n = (int)rnd_below(&rnd, NODES);
		if (!rnd_below(&rnd, 400)) {
			w.nodes[n].frozen_until =
				now + 500 + rnd_below(&rnd, 6000);
			w.nodes[n].down = rnd_below(&rnd, 2);
		}
	}
	return w.cloud.violations;
}

static void at_most_one_holder(void)
{
	unsigned violations = 0;
	uint64_t seed;

	for (seed = 1; seed <= unit_seeds(300); seed++)
		violations += schedule(seed, false) +
			      schedule(unit_seed(seed), false);
	unit_report("holder of the duties", 2 * unit_seeds(300), violations);
	CU_ASSERT_EQUAL(violations, 0);
}

static void missing_margin_is_caught(void)
{
	unsigned violations = 0;
	uint64_t seed;

	for (seed = 1; seed <= 300; seed++)
		violations += schedule(seed, true) > 0;
	CU_ASSERT(violations > 0);
}

#define LEASE 7

/* The node starts, with a lease. */
static void start_lead(struct lead *l, int64_t now)
{
	lead_init(l, HOLDOFF_MS, now);
	lead_on_lease_granted(l, LEASE);
}

static void read_key(struct lead *l, enum lead_owner owner, int64_t lease,
		     int64_t revision, int64_t now)
{
	const struct lead_key key = { owner, lease, revision };

	lead_on_key(l, &key, now);
}

/* An outdated read of the key must not end the new holder's term. */
static void outdated_reads_are_ignored(void)
{
	struct lead l;

	start_lead(&l, 0);
	CU_ASSERT_FALSE(lead_begin_acquire(&l, 0, 10000, 100));
	CU_ASSERT(lead_begin_acquire(&l, 0, 10000, HOLDOFF_MS));
	CU_ASSERT_FALSE(lead_begin_acquire(&l, 0, 10000, HOLDOFF_MS));
	lead_end_acquire(&l, true, 50, HOLDOFF_MS);
	lead_on_key_deleted(&l, 49, HOLDOFF_MS + 1);
	read_key(&l, LEAD_OWNER_OTHER, 0, 40, HOLDOFF_MS + 2);
	CU_ASSERT(l.is_holder);
	CU_ASSERT_FALSE(lead_may_act(&l, 20000, HOLDOFF_MS + 10));
	CU_ASSERT(lead_may_act(&l, 20000, HOLDOFF_MS + LEAD_SETTLE_MS));
	CU_ASSERT_FALSE(lead_may_act(&l, HOLDOFF_MS + LEAD_SETTLE_MS + 100,
				     HOLDOFF_MS + LEAD_SETTLE_MS));
	lead_on_key_deleted(&l, 51, 9000);
	CU_ASSERT_FALSE(l.is_holder);
	read_key(&l, LEAD_OWNER_OTHER, 0, 45, 9001);
	CU_ASSERT_FALSE(l.key_exists);
	CU_ASSERT_FALSE(
		lead_begin_acquire(&l, 0, 20000, 9000 + HOLDOFF_MS - 1));
	CU_ASSERT(lead_begin_acquire(&l, 0, 20000, 9000 + HOLDOFF_MS));
}

/* A restarted entry need not wait until its previous boot's lease expires. */
static void key_of_previous_boot_is_taken_over(void)
{
	struct lead l;

	start_lead(&l, 0);
	read_key(&l, LEAD_OWNER_PREVIOUS_BOOT, 0, 40, 100);
	CU_ASSERT(lead_begin_acquire(&l, -1, 20000, 100));
	CU_ASSERT_EQUAL(lead_expected_revision(&l), 40);
	lead_end_acquire(&l, true, 41, 110);
	CU_ASSERT(l.is_holder);
	CU_ASSERT_EQUAL(l.fence, 41);
	CU_ASSERT_FALSE(lead_may_act(&l, 20000, 110));
	CU_ASSERT(lead_may_act(&l, 20000, 110 + LEAD_SETTLE_MS));

	/* Another entry holds the key, or held it since: normal delays. */
	start_lead(&l, 0);
	read_key(&l, LEAD_OWNER_OTHER, 0, 40, 100);
	CU_ASSERT_FALSE(lead_begin_acquire(&l, 0, 20000, 200));
	lead_on_key_deleted(&l, 45, 300);
	CU_ASSERT_FALSE(lead_begin_acquire(&l, 0, 20000, 300));
	CU_ASSERT_EQUAL(lead_expected_revision(&l), 0);
}

/* Guards against a holder whose key ends with a lease that it does not renew. */
static void key_under_a_former_lease_grants_nothing(void)
{
	struct lead l;

	start_lead(&l, 0);
	CU_ASSERT(lead_begin_acquire(&l, 0, 20000, HOLDOFF_MS));
	lead_end_acquire(&l, true, 40, HOLDOFF_MS);
	CU_ASSERT(lead_may_act(&l, 20000, HOLDOFF_MS + LEAD_SETTLE_MS));

	/* The store is restored, and lists the key under the lease from before. */
	lead_on_store_restored(&l, LEASE_MS, 5000);
	CU_ASSERT_FALSE(l.is_holder);
	lead_on_lease_granted(&l, LEASE + 1);
	read_key(&l, LEAD_OWNER_SELF, LEASE, 40, 5100);
	CU_ASSERT_FALSE(l.is_holder);
	CU_ASSERT_FALSE(lead_may_act(&l, 20000, 5000 + 2 * LEASE_MS));

	/* Written anew under the present lease, it does. */
	CU_ASSERT(lead_begin_acquire(&l, 0, 20000, 5100));
	CU_ASSERT_EQUAL(lead_expected_revision(&l), 40);
	lead_end_acquire(&l, true, 41, 5110);
	CU_ASSERT(l.is_holder);
	CU_ASSERT_FALSE(lead_may_act(&l, 20000, 5000 + LEASE_MS - 1));
	CU_ASSERT(lead_may_act(&l, 20000, 5000 + LEASE_MS));

	/* The lease is lost while the key's next write is in flight. */
	lead_on_lease_lost(&l, 9000);
	CU_ASSERT_FALSE(l.is_holder);
	CU_ASSERT_FALSE(lead_begin_acquire(&l, 0, 20000, 15000));
	lead_on_lease_granted(&l, LEASE + 2);
	lead_on_key_deleted(&l, 50, 9100);
	CU_ASSERT(lead_begin_acquire(&l, 0, 20000, 15000));
	lead_on_lease_lost(&l, 15001);
	lead_on_lease_granted(&l, LEASE + 3);
	lead_end_acquire(&l, true, 51, 15002);
	CU_ASSERT_FALSE(l.is_holder);
	read_key(&l, LEAD_OWNER_SELF, LEASE + 2, 51, 15003);
	CU_ASSERT_FALSE(l.is_holder);
}

/* A vacant key must not make every entry write to the store. */
static void few_entries_write_a_vacant_key(void)
{
	enum {
		ENTRIES = 84,
		RANKED = 3,
		SEEN_AFTER_MS = 400
	};
	static struct lead all[ENTRIES];
	int64_t now, first_try_ms = 0;
	unsigned tries = 0, first;
	int i;

	for (first = 0; first < RANKED; first++) {
		tries = 0;
		first_try_ms = 0;
		for (i = 0; i < ENTRIES; i++) {
			start_lead(&all[i], -HOLDOFF_MS);
			read_key(&all[i], LEAD_OWNER_OTHER, 0, 5, 0);
			lead_on_key_deleted(&all[i], 6, 1000);
		}
		/* Entries that rank before `first` have crashed. */
		for (now = 1000; now < 6000; now += 50) {
			for (i = (int)first; i < ENTRIES; i++) {
				const int rank = i < RANKED ? i : -1;

				if (first_try_ms &&
				    now >= first_try_ms + SEEN_AFTER_MS)
					read_key(&all[i], LEAD_OWNER_OTHER, 0,
						 7, now);
				if (!lead_begin_acquire(&all[i], rank,
							now + LEASE_MS, now))
					continue;
				tries++;
				lead_end_acquire(&all[i], false, 0, now);
				if (!first_try_ms)
					first_try_ms = now;
			}
		}
		CU_ASSERT(first_try_ms >= 1000 && first_try_ms < 2000);
		CU_ASSERT(tries >= 1 && tries <= 2);
	}
}

/* ---- Usage and wall time ---- */

/* Counts received from an entry that crashed are kept. */
static void counts_of_crashed_entries_are_kept(void)
{
	struct usage_total *t;
	struct usage u;
	size_t n;

	usage_init(&u, 5000);
	CU_ASSERT_EQUAL(usage_window(&u, 12345), 2);
	usage_add(&u, 1, 2, "a", 0);
	usage_add(&u, 1, 2, "a", 0);
	usage_merge(&u, 9, 2, "a", 5, 0);
	usage_merge(&u, 9, 2, "a", 4, 0); /* a reordered datagram */
	usage_merge(&u, 9, 2, "b", 1, 0);
	usage_merge(&u, 9, 3, "a", 7, 0);
	n = usage_sum(&u, 2, &t);
	CU_ASSERT_EQUAL_FATAL(n, 2);
	CU_ASSERT_EQUAL(t[0].runs + t[1].runs, 8);
	free(t);
	usage_drop_before(&u, 3);
	CU_ASSERT_EQUAL(usage_sum(&u, 2, &t), 0);
	CU_ASSERT_PTR_NULL(t);
	CU_ASSERT_EQUAL(usage_sum(&u, 3, &t), 1);
	free(t);
	usage_free(&u);
}

/* Guards against a report without the accounts beyond the 256th. */
static void a_report_has_all_accounts(void)
{
	enum {
		ACCOUNTS = 700,
		SOURCES = 3
	};
	struct usage_total *t;
	struct usage u;
	char name[16];
	size_t n, i;
	int source, wrong = 0;

	usage_init(&u, 5000);
	for (source = 1; source <= SOURCES; source++) {
		for (i = 0; i < ACCOUNTS; i++) {
			snprintf(name, sizeof(name), "a%zu", i);
			usage_merge(&u, (uint64_t)source, 2, name,
				    (int64_t)i + 1, 0);
		}
	}
	n = usage_sum(&u, 2, &t);
	CU_ASSERT_EQUAL_FATAL(n, ACCOUNTS);
	for (i = 0; i < n; i++)
		wrong += t[i].runs != SOURCES * (atoi(t[i].account + 1) + 1);
	CU_ASSERT_EQUAL(wrong, 0);
	free(t);
	usage_free(&u);
}

/* A step of the wall clock must not move counts to another window. */
static void clock_jumps_are_corrected(void)
{
	int64_t ahead[4] = { 0, 3000, 2990, 3010 };
	int64_t alone[4] = { 0, -3000, 4, -8 };
	int64_t pair[2] = { 0, 5000 };
	struct walltime t;

	walltime_init(&t, 1000000, 500);
	CU_ASSERT_EQUAL(walltime_now(&t, 700), 1000200);
	/* The clock of one other entry jumped. */
	CU_ASSERT_EQUAL(walltime_correct(&t, alone, 4), 0);
	/* Our clock had jumped at the start: all others differ from it. */
	CU_ASSERT(walltime_correct(&t, ahead, 4) >= 2990);
	CU_ASSERT(walltime_now(&t, 700) >= 1003190);
	CU_ASSERT_EQUAL(walltime_correct(&t, pair, 2), 0);
}

/* ---- Scaling plan ---- */

static size_t four_zones(struct scale_zone *z, int on_demand, int spot)
{
	static const double prices[] = { 1.0, 0.8, 1.25, 0.9 };
	int i;

	memset(z, 0, 4 * sizeof(*z));
	for (i = 0; i < 4; i++) {
		snprintf(z[i].name, sizeof(z[i].name), "z%d", i);
		z[i].price = prices[i];
		z[i].on_demand = on_demand;
		z[i].spot = spot;
	}
	return 4;
}

static void sum_plan(const struct scale_zone *z, int *on_demand, int *spot)
{
	int i;

	*on_demand = *spot = 0;
	for (i = 0; i < 4; i++) {
		*on_demand += z[i].want_on_demand;
		*spot += z[i].want_spot;
	}
}

static void spot_endpoints_spread_over_all_zones(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 6,
		.need = 4,
		.no_load_yet = true,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	int on_demand, spot, i;

	four_zones(z, 3, 0);
	for (i = 0; i < 4; i++)
		z[i].spot_starting = 4;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(spot, 16);
	CU_ASSERT_EQUAL(on_demand, 0);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(z[i].want_spot, 4);
}

/* Starting spot endpoints must not replace running on-demand ones. */
static void on_demand_stays_until_spot_serves(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 6,
		.need = 4,
		.busy = 4,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	int on_demand, spot, i;

	four_zones(z, 0, 0);
	z[1].on_demand = 6;
	for (i = 0; i < 4; i++)
		z[i].spot_starting = 4;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 6);
	for (i = 0; i < 4; i++) {
		z[i].spot = 4;
		z[i].spot_starting = 0;
	}
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 0);
}

/* When a shortage ends, the warm caches must not all be lost at once. */
static void on_demand_drains_one_by_one(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 30,
		.need = 30,
		.busy = 30,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	double held = 40;
	int on_demand, spot, last = 40, steps = 0, i;

	for (in.now_ms = 1050; in.now_ms < 30000; in.now_ms += 50) {
		four_zones(z, last / 4, 30);
		for (i = 0; i < last % 4; i++)
			z[i].on_demand++;
		held = scale_limit_drain(held, 0, 50);
		in.min_on_demand = (int)held;
		scale_plan(&in, z, 4);
		sum_plan(z, &on_demand, &spot);
		CU_ASSERT(last - on_demand <= 2);
		steps += on_demand < last;
		last = on_demand;
	}
	CU_ASSERT_EQUAL(last, 0);
	CU_ASSERT(steps >= 30);
	CU_ASSERT_EQUAL(scale_limit_drain(3, 7, 50), 7);
}

/* Zone after zone is reclaimed, and no spot capacity is available. */
static void on_demand_covers_spot_shortage(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 6,
		.need = 4,
		.busy = 4,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	int on_demand, spot, i;

	four_zones(z, 0, 0);
	for (i = 0; i < 4; i++)
		z[i].no_spot_until_ms = 2000;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 6);
	/* Remaining spot endpoints are kept, and count. */
	z[0].spot = 4;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(z[0].want_spot, 4);
	/* Their zone may be reclaimed next: the others must carry all load. */
	CU_ASSERT_EQUAL(spot, 4);
	CU_ASSERT_EQUAL(on_demand, 6);
	for (i = 0; i < 4; i++)
		CU_ASSERT(z[i].want_on_demand + z[i].want_spot <= in.max);
}

/* A queue that builds up after a reclaim must not count as client load. */
static void queued_requests_are_not_load(void)
{
	struct scale_need n = { 0 };
	int i;

	for (i = 0; i < 1200; i++)
		scale_update_need(&n, 14, 60, 20);
	CU_ASSERT_DOUBLE_EQUAL(n.need, 14, 1);
	for (i = 0; i < 100; i++)
		scale_update_need(&n, 14 + i * 0.5, 5, 20);
	CU_ASSERT(n.need <= 2.1 * n.baseline);
	CU_ASSERT(n.need >= 20);
	CU_ASSERT_DOUBLE_EQUAL(n.baseline, 14, 1);
}

/* A new holder continues its predecessor's plan instead of a guess. */
static void plan_survives_change_of_holder(void)
{
	struct saved_plan before = { .nr_rows = 0 }, after;
	struct saved_plan_row *row = saved_plan_row(&before, "llm");
	BUF_AUTO text = BUF_INIT;
	struct scale_need guess = { 0 };
	int i;

	for (i = 0; i < 200; i++)
		scale_update_need(&row->need, 5, 20, 4);
	row->on_demand_held = 1.5;
	saved_plan_encode(&before, &text);
	CU_ASSERT(saved_plan_decode(text.data, text.len, &after));
	CU_ASSERT_FALSE(saved_plan_differs(&after, &before));
	CU_ASSERT_PTR_NOT_NULL_FATAL(saved_plan_find(&after, "llm"));
	row = saved_plan_row(&after, "llm");
	CU_ASSERT_DOUBLE_EQUAL(row->on_demand_held, 1.5, 0.01);
	/* Before any load a saved need is kept; without one a guess is used. */
	scale_update_need(&row->need, 0, 20, 20);
	CU_ASSERT_DOUBLE_EQUAL(row->need.need, 5, 0.2);
	scale_update_need(&guess, 0, 20, 20);
	CU_ASSERT_DOUBLE_EQUAL(guess.need, 20, 0.2);
	/* Only a large enough change is worth writing. */
	row->need.need = 5.3;
	CU_ASSERT_FALSE(saved_plan_differs(&after, &before));
	row->need.need = 7;
	CU_ASSERT(saved_plan_differs(&after, &before));
}

static void corrupt_plans_are_rejected(void)
{
	static const char good[] =
		"{\"services\":[{\"name\":\"llm\",\"need\":4.5,"
		"\"usual\":4,\"firm\":0},{\"name\":\"b\",\"need\":1,"
		"\"usual\":1,\"firm\":2}]}";
	static const char *const bad[] = {
		"",
		"[]",
		"{}",
		"{\"services\":{}}",
		"{\"services\":[1]}",
		"{\"services\":[{\"name\":\"a\",\"need\":-1,\"usual\":1,"
		"\"firm\":0}]}",
		"{\"services\":[{\"name\":\"a\",\"need\":1e300,"
		"\"usual\":1,\"firm\":0}]}",
	};
	struct saved_plan c;
	struct rnd rnd;
	size_t i;
	int round;

	CU_ASSERT(saved_plan_decode(good, strlen(good), &c));
	CU_ASSERT_EQUAL(c.nr_rows, 2);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_FALSE(saved_plan_decode(bad[i], strlen(bad[i]), &c));
		CU_ASSERT_EQUAL(c.nr_rows, 0);
	}
	rnd_seed(&rnd, 31);
	for (round = 0; round < 3000; round++) {
		BUF_AUTO text = BUF_INIT;
		unsigned k;

		buf_add(&text, good, strlen(good));
		for (k = 0; k < 1 + rnd_below(&rnd, 5); k++)
			text.data[rnd_below(&rnd, (uint32_t)text.len)] =
				(char)rnd_below(&rnd, 256);
		if (!saved_plan_decode(text.data, text.len, &c))
			continue;
		for (i = 0; i < c.nr_rows; i++)
			CU_ASSERT(c.rows[i].need.need > 0 &&
				  c.rows[i].need.need <= 100000);
	}
}

/* A burst of 1.7 times the load, on endpoints that can serve it. */
static void need_rises_at_once_and_falls_slowly(void)
{
	struct scale_need n = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		scale_update_need(&n, 0, 12, 4);
	CU_ASSERT_DOUBLE_EQUAL(n.need, 4, 0.001);
	for (i = 0; i < 2000; i++)
		scale_update_need(&n, 4, 12, 4);
	scale_update_need(&n, 6.8, 12, 4);
	CU_ASSERT_DOUBLE_EQUAL(n.need, 6.8, 0.001);
	for (i = 0; i < 20; i++)
		scale_update_need(&n, 4, 12, 4);
	CU_ASSERT(n.need > 6);
}

/* Spare endpoints for the last spot zone are ordered before it is reclaimed. */
static void loss_of_last_spot_zone_is_covered(void)
{
	const struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 30,
		.need = 15,
		.busy = 15,
		.spot_price = 0.15,
		.now_ms = 10000,
	};
	struct scale_zone z[4];
	int on_demand, spot, i;

	memset(z, 0, sizeof(z));
	for (i = 0; i < 4; i++)
		z[i].price = 1;
	z[0].spot = z[1].spot = z[2].spot = 20;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 0);
	/* No spot capacity: two zones remain, then one. */
	z[0].no_spot_until_ms = 11000;
	z[2].spot = 0;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 3);
	z[1].spot = 0;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 23);
}

/*
 * Guards against a shortage that begins with the third reclaim: it follows the
 * second one sooner than on-demand endpoints start. Four zones of 45 spot
 * endpoints, 50 of them busy in all; one zone was reclaimed.
 */
static void two_more_reclaims_are_covered(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.two_zones = true,
		.ease = true,
		.min = 1,
		.max = 70,
		.need = 50,
		.busy = 50,
		.load = 50,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	int on_demand, spot, i;

	four_zones(z, 0, 45);
	z[0].spot = 0;
	for (i = 0; i < 4; i++)
		z[i].no_spot_until_ms = 2000;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT(on_demand + 45 >= in.busy);
	/* No more than that is ordered at the full price. */
	CU_ASSERT(on_demand <= in.busy);
	/* In a small fleet the endpoints of the other zones are enough. */
	in.need = in.busy = in.load = 4;
	for (i = 1; i < 4; i++)
		z[i].spot = 3;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT_EQUAL(on_demand, 1); /* the minimum of the first zone */
	for (i = 1; i < 4; i++)
		z[i].spot = 45;
	/* Without it, one zone of 45 would be left for 50 busy endpoints. */
	in.need = in.busy = in.load = 50;
	in.two_zones = false;
	scale_plan(&in, z, 4);
	sum_plan(z, &on_demand, &spot);
	CU_ASSERT(on_demand + 45 < in.busy);
}

/*
 * Guards against a shortage that lasts longer by the time in which endpoints
 * start: 14 that were starting in one zone were given up for 14 in a cheaper one.
 */
static void starting_on_demand_endpoints_are_kept(void)
{
	struct scale_input in = {
		.price_cover = true,
		.loss_cover = true,
		.ease = true,
		.min = 1,
		.max = 70,
		.need = 50,
		.busy = 50,
		.spot_price = 0.15,
		.now_ms = 1000,
	};
	struct scale_zone z[4];
	int i;

	four_zones(z, 0, 0);
	for (i = 0; i < 4; i++) {
		z[i].price = i == 2 ? 0.8 : 1;
		z[i].no_spot_until_ms = 2000;
	}
	z[1].spot = 56;
	z[1].on_demand_starting = 14;
	scale_plan(&in, z, 4);
	CU_ASSERT_EQUAL(z[1].want_on_demand, 14);
}

/*
 * Guards against hundreds of orders by a plan that moves by one endpoint several
 * times a second, and against a delay for endpoints that are missing.
 */
static void small_changes_of_the_plan_are_put_off(void)
{
	struct scale_change c = {
		.accepted = 45, .wanted = 45, .running = 45, .since_order_ms = 0
	};
	int orders = 0, ms;

	for (ms = 0; ms < 10000; ms += 50) {
		c.wanted = 45 - ms / 250;
		if (c.wanted == c.accepted || !scale_order_due(&c)) {
			c.since_order_ms += 50;
			continue;
		}
		orders++;
		c.accepted = c.running = c.wanted;
		c.since_order_ms = 0;
	}
	CU_ASSERT(orders <= 15);
	CU_ASSERT(c.accepted <= c.wanted + 4);
	/* The first one, and one after endpoints were lost. */
	c = (struct scale_change){ -1, 3, 3, 0 };
	CU_ASSERT(scale_order_due(&c));
	c = (struct scale_change){ 45, 46, 45, 0 };
	CU_ASSERT(scale_order_due(&c));
	/* Starting endpoints are not missing. */
	c = (struct scale_change){ 45, 46, 40, 0 };
	CU_ASSERT_FALSE(scale_order_due(&c));
	c.since_order_ms = 2000;
	CU_ASSERT(scale_order_due(&c));
}

/* Every zone stays within its bounds, for random input. */
static void zones_stay_within_bounds(void)
{
	struct scale_zone z[4];
	struct rnd rnd;
	int round, i;

	rnd_seed(&rnd, 6);
	for (round = 0; round < 5000; round++) {
		struct scale_input in = {
			.price_cover = true,
			.loss_cover = true,
			.ease = true,
			.min = (int)rnd_below(&rnd, 3),
			.max = 3 + (int)rnd_below(&rnd, 5),
			.need = rnd_unit(&rnd) * 30,
			.spot_price = rnd_below(&rnd, 3) ? 0.2 : 0,
			.now_ms = 1000,
		};

		four_zones(z, 0, 0);
		for (i = 0; i < 4; i++) {
			z[i].on_demand = (int)rnd_below(&rnd, 5);
			z[i].spot = (int)rnd_below(&rnd, 5);
			z[i].no_spot_until_ms = rnd_below(&rnd, 2) ? 2000 : 0;
			z[i].no_on_demand_until_ms = rnd_below(&rnd, 4) ? 0
									: 2000;
		}
		scale_plan(&in, z, 4);
		for (i = 0; i < 4; i++) {
			const int all = z[i].want_on_demand + z[i].want_spot;

			CU_ASSERT(all >= in.min && all <= in.max);
		}
	}
}

/* ---- Scaling plan under a series of reclaims ---- */

#define REPLAN_MS 50
#define MAX_STARTING 64

/* Endpoints of one kind in one zone. */
struct pool {
	int running;
	int64_t starts[MAX_STARTING]; /* when each granted endpoint serves */
	int nr_starts;
};

struct reclaims {
	struct rnd rnd;
	struct scale_input in;
	struct scale_zone z[4];
	struct pool on_demand[4], spot[4];
	int64_t unavailable_until[4];
	int64_t boot_ms, next_reclaim_ms;
	bool running_counted; /* false: broken variant, as before any load */
	int removed_early;
};

static void start_due(struct pool *p, int64_t now)
{
	int i = 0;

	while (i < p->nr_starts) {
		if (p->starts[i] > now) {
			i++;
			continue;
		}
		p->running++;
		p->starts[i] = p->starts[--p->nr_starts];
	}
}

/* Starting endpoints are removed first, as the platform does. */
static void follow_order(struct pool *p, int wanted, int64_t serves_ms)
{
	while (p->running + p->nr_starts > wanted && p->nr_starts)
		p->nr_starts--;
	if (p->running > wanted)
		p->running = wanted;
	while (p->running + p->nr_starts < wanted &&
	       p->nr_starts < MAX_STARTING)
		p->starts[p->nr_starts++] = serves_ms;
}

/* Reclaims a zone of spot endpoints; no zone has spot capacity for a while. */
static void maybe_reclaim(struct reclaims *w)
{
	const int64_t now = w->in.now_ms;
	const unsigned zone = rnd_below(&w->rnd, 4);
	int i;

	if (now < w->next_reclaim_ms)
		return;
	w->next_reclaim_ms = now + 1000 + rnd_below(&w->rnd, 8000);
	w->spot[zone].running = 0;
	w->spot[zone].nr_starts = 0;
	for (i = 0; i < 4; i++)
		w->unavailable_until[i] =
			now + 5000 + rnd_below(&w->rnd, 25000);
}

static void fill_zones(struct reclaims *w)
{
	int i;

	for (i = 0; i < 4; i++) {
		w->z[i].on_demand = w->on_demand[i].running;
		w->z[i].on_demand_starting =
			w->running_counted ? w->on_demand[i].nr_starts : 0;
		w->z[i].spot = w->spot[i].running;
		w->z[i].spot_starting = w->spot[i].nr_starts;
		w->z[i].no_spot_until_ms = w->unavailable_until[i];
	}
}

/* The plan must keep running endpoints, up to 1.5 times the need. */
static void check_kept(struct reclaims *w)
{
	const int cover = (int)ceil(w->in.need * 1.5);
	int running = 0, kept = 0, i;

	for (i = 0; i < 4; i++) {
		const struct scale_zone *z = &w->z[i];

		running += z->on_demand + z->spot;
		kept += z->want_on_demand < z->on_demand ? z->want_on_demand
							 : z->on_demand;
		kept += z->want_spot < z->spot ? z->want_spot : z->spot;
		CU_ASSERT(z->want_on_demand + z->want_spot <= w->in.max);
	}
	w->removed_early += kept < (running < cover ? running : cover);
}

static void replan(struct reclaims *w)
{
	const int64_t now = w->in.now_ms;
	int i;

	for (i = 0; i < 4; i++) {
		start_due(&w->on_demand[i], now);
		start_due(&w->spot[i], now);
	}
	maybe_reclaim(w);
	fill_zones(w);
	if (!w->running_counted)
		w->in.no_load_yet = true;
	scale_plan(&w->in, w->z, 4);
	check_kept(w);
	for (i = 0; i < 4; i++) {
		const bool unavailable = now < w->unavailable_until[i];

		follow_order(&w->on_demand[i], w->z[i].want_on_demand,
			     now + w->boot_ms);
		if (!unavailable || w->z[i].want_spot < w->spot[i].running)
			follow_order(&w->spot[i], w->z[i].want_spot,
				     now + w->boot_ms);
	}
	w->in.now_ms += REPLAN_MS;
}

static int removed_early(uint64_t seed, bool running_counted)
{
	struct reclaims w = { .running_counted = running_counted };
	int round, i;

	rnd_seed(&w.rnd, seed);
	four_zones(w.z, 0, 0);
	w.in = (struct scale_input){
		.price_cover = true,
		.loss_cover = true,
		.min = 1,
		.max = 2 + (int)rnd_below(&w.rnd, 59),
		.spot_price = 0.1 + 0.5 * rnd_unit(&w.rnd),
		.now_ms = 100000,
	};
	w.in.need = 1 + rnd_unit(&w.rnd) * w.in.max;
	w.in.busy = w.in.need;
	w.boot_ms = 2000 + rnd_below(&w.rnd, 28000);
	for (i = 0; i < 4; i++)
		w.spot[i].running = (int)rnd_below(&w.rnd, w.in.max + 1);
	w.next_reclaim_ms = w.in.now_ms + 1000;
	for (round = 0; round < 1200; round++)
		replan(&w);
	return w.removed_early;
}

/* Running endpoints must not be removed for others that don't serve yet. */
static void running_endpoints_stay_until_replaced(void)
{
	const unsigned long n = unit_seeds(100);
	unsigned long i;

	for (i = 1; i <= n; i++)
		CU_ASSERT_EQUAL(removed_early(unit_seed(i), true), 0);
}

static void ignoring_running_endpoints_is_caught(void)
{
	unsigned long i;
	int caught = 0;

	for (i = 1; i <= 20; i++)
		caught += removed_early(unit_seed(i), false) > 0;
	CU_ASSERT(caught > 0);
}

/*
 * Guards against thousands of endpoints for a load of thirty: the initial need
 * of a large service fell by a third in five seconds.
 */
static void need_follows_the_load_when_the_initial_one_was_too_high(void)
{
	struct scale_need n = { 0 };
	int i;

	/* A ramp, as the first requests arrive. */
	for (i = 0; i < 60; i++)
		scale_update_need(&n, i * 0.5, 2900, 976);
	CU_ASSERT(n.need > 500);
	for (i = 0; i < 40; i++)
		scale_update_need(&n, 30, 2900, 976);
	CU_ASSERT(n.need >= 30 && n.need <= 120);
	/* A rise is followed at once. */
	scale_update_need(&n, 200, 2900, 976);
	CU_ASSERT_EQUAL(n.need, 200);
}

static const struct unit_test tests[] = {
	{ "need follows the load when the initial one was too high",
	  need_follows_the_load_when_the_initial_one_was_too_high },
	{ "at most one holder", at_most_one_holder },
	{ "a missing margin is caught", missing_margin_is_caught },
	{ "outdated reads are ignored", outdated_reads_are_ignored },
	{ "the key of a previous boot is taken over",
	  key_of_previous_boot_is_taken_over },
	{ "a key under a former lease grants nothing",
	  key_under_a_former_lease_grants_nothing },
	{ "few entries write a vacant key", few_entries_write_a_vacant_key },
	{ "a report has all accounts", a_report_has_all_accounts },
	{ "counts of crashed entries are kept",
	  counts_of_crashed_entries_are_kept },
	{ "clock jumps are corrected", clock_jumps_are_corrected },
	{ "spot endpoints spread over all zones",
	  spot_endpoints_spread_over_all_zones },
	{ "on-demand stays until spot serves",
	  on_demand_stays_until_spot_serves },
	{ "on-demand drains one by one", on_demand_drains_one_by_one },
	{ "on-demand covers a spot shortage", on_demand_covers_spot_shortage },
	{ "queued requests are not load", queued_requests_are_not_load },
	{ "the need rises at once and falls slowly",
	  need_rises_at_once_and_falls_slowly },
	{ "the loss of the last spot zone is covered",
	  loss_of_last_spot_zone_is_covered },
	{ "two more reclaims are covered", two_more_reclaims_are_covered },
	{ "starting on-demand endpoints are kept",
	  starting_on_demand_endpoints_are_kept },
	{ "small changes of the plan are put off",
	  small_changes_of_the_plan_are_put_off },
	{ "zones stay within bounds", zones_stay_within_bounds },
	{ "running endpoints stay until replaced",
	  running_endpoints_stay_until_replaced },
	{ "ignoring running endpoints is caught",
	  ignoring_running_endpoints_is_caught },
	{ "the plan survives a change of holder",
	  plan_survives_change_of_holder },
	{ "corrupt plans are rejected", corrupt_plans_are_rejected },
};

UNIT_MAIN("duties", tests)
