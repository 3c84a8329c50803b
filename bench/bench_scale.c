/*
 * Slopes of the decision modules with the fleet's size: today, a tenth of the
 * target, the target. Prints the tables between the marks of docs/CAPACITY.md
 * (make capacity) and of docs/RESULTS.md (make bench).
 */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "base/rnd.h"
#include "claim/claim.h"
#include "config/spread.h"
#include "limit/share.h"
#include "limit/wfq.h"
#include "member/swim.h"
#include "member/view.h"
#include "place/plan.h"
#include "request/flow.h"
#include "route/route.h"
#include "scale_wire.h"

#define SIZES 3
#define RUNS 4000

static const unsigned entries_at[SIZES] = { 8, 90, 900 };
static const unsigned replicas_at[SIZES] = { 12, 270, 2700 };

static int64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int by_ns(const void *a, const void *b)
{
	const int64_t x = *(const int64_t *)a, *py = b;

	return x < *py ? -1 : x > *py;
}

struct timing {
	double p50, p99;
};

/* The cost of reading the clock twice is taken off. */
static struct timing time_op(void (*fn)(void *arg, unsigned i), void *arg)
{
	const size_t mid = RUNS / 2, high = RUNS - RUNS / 100;
	static int64_t ns[RUNS];
	struct timing t;
	int64_t clock_ns = 1000000;
	unsigned i;

	for (i = 0; i < 1000; i++) {
		const int64_t a = now_ns(), b = now_ns();

		clock_ns = b - a < clock_ns ? b - a : clock_ns;
	}
	/* Warm caches and touched pages, as in a process that serves. */
	for (i = 0; i < RUNS / 4; i++)
		fn(arg, i);
	for (i = 0; i < RUNS; i++) {
		const int64_t a = now_ns();

		fn(arg, i);
		ns[i] = now_ns() - a - clock_ns;
	}
	qsort(ns, RUNS, sizeof(ns[0]), by_ns);
	t.p50 = (double)ns[mid];
	t.p99 = (double)ns[high];
	return t;
}

static size_t heap(void)
{
	const struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/* ---- Operations ---- */

struct bench {
	unsigned entries, replicas;
	struct rnd rnd;
	struct route_table *table;
	struct prefix *prefix;
	struct prefix_key keys[64];
	struct view *view;
	struct judge *judge;
	struct share_keeper *keeper;
	struct wfq *queue;
	struct wfq_item items[512];
	struct spread *spread;
	struct swim *swim;
	struct flow flow;
	unsigned slot;
};

static void op_route(void *arg, unsigned i)
{
	struct bench *b = arg;
	const struct route_query ask = { .prefix = &b->keys[i % 64],
					 .prompt_tokens = 400,
					 .max_tokens = 244 };
	const struct route_choice c = route_choose(
		b->table, b->prefix, &ask, &b->rnd, 1000 + i, NULL, NULL);

	prefix_insert(b->prefix, &b->keys[i % 64], c.endpoint, 1000 + i);
	route_sent(route_find(b->table, c.endpoint), 1000 + i);
	route_done(route_find(b->table, c.endpoint), 1000 + i);
}

static void op_judge(void *arg, unsigned i)
{
	struct bench *b = arg;
	struct judge_ask q = {
		.view = 1, .slot = b->slot, .claimant = 7, .birth_ms = 1000
	};

	snprintf(q.key, sizeof(q.key), "g1-1-00000000-0000000000000000.%u", i);
	judge_decide(b->judge, b->view, &q, 1000);
}

static void op_claim(void *arg, unsigned i)
{
	const struct judge_reply r = { JUDGE_FIRST, JUDGE_OK, 5 };
	struct claim c;

	(void)arg;
	(void)i;
	claim_start(&c, 5, 3);
	claim_answer(&c, 0, &r);
	claim_answer(&c, 1, &r);
	if (claim_outcome(&c) != CLAIM_WON)
		abort();
}

static void op_queue(void *arg, unsigned i)
{
	struct bench *b = arg;
	struct wfq_item *it = wfq_pop(b->queue);

	it->cost = 100 + i % 200;
	wfq_ahead(b->queue, it->flow, it->weight, it->cost);
	wfq_push(b->queue, it);
}

static void op_share(void *arg, unsigned i)
{
	struct bench *b = arg;

	share_keeper_request(b->keeper, 1 + i % b->entries, 100 + i % 50, 0,
			     20000 + i);
}

static void op_spread(void *arg, unsigned i)
{
	struct bench *b = arg;
	char name[32];

	snprintf(name, sizeof(name), "inst/%u", i % b->replicas);
	spread_put(b->spread, name, 10 + i, "body of an instance's facts", 27,
		   0);
}

static void op_swim(void *arg, unsigned i)
{
	struct bench *b = arg;
	const struct swim_action a =
		swim_tick(b->swim, 1000 * (int64_t)(i + 1));
	struct swim_delta d[8];

	swim_take_deltas(b->swim, d, 8);
	if (a.kind == SWIM_DO_PROBE)
		swim_ack(b->swim, a.target.id, 1000 * (int64_t)(i + 1) + 1);
}

static void op_flow(void *arg, unsigned i)
{
	struct bench *b = arg;
	const struct flow_event ev = { FLOW_EV_TOKEN, b->flow.attempt,
				       b->flow.tokens };
	bool fresh;

	flow_event(&b->flow, &ev, &fresh, i);
}

static void op_plan(void *arg, unsigned i)
{
	struct bench *b = arg;
	struct plan_offer o[16];
	struct plan_need need = { .demand = 400.0 * b->replicas / 6,
				  .min_replicas = 1,
				  .max_replicas = 4096,
				  .survive_zone_loss = true,
				  .allow_reclaimable = true };
	unsigned k;

	if (i >= RUNS / 40) /* not per request: fewer runs do */
		return;
	memset(o, 0, sizeof(o));
	for (k = 0; k < 16; k++) {
		snprintf(o[k].zone, sizeof(o[k].zone), "z%u", k / 2);
		o[k].reclaimable = k & 1;
		o[k].price_per_h = 0.3 + 0.01 * k;
		o[k].capacity = 400;
	}
	plan_solve(&need, o, 16, 0);
}

/* ---- Setting up a size ---- */

struct memory {
	size_t routes, views, votes, spread, swim;
};

static void make_routes(struct bench *b, struct memory *mem)
{
	const size_t before = heap();
	unsigned i, k;

	b->table = route_create(12345, 4096);
	for (i = 0; i < b->replicas; i++) {
		const struct route_endpoint ep = { .id = i + 1,
						   .ready = true,
						   .tokens_per_s = 400,
						   .prefill_per_s = 8000,
						   .slots = 8 };

		route_report(route_put(b->table, &ep), i % 6, 0, 300, 900);
	}
	route_refresh(b->table);
	b->prefix = prefix_create(16384);
	for (i = 0; i < 64; i++) {
		b->keys[i].nr = 12;
		for (k = 0; k < 12; k++)
			b->keys[i].block[k] = rnd_next(&b->rnd);
	}
	mem->routes = heap() - before;
}

static void make_view(struct bench *b, struct memory *mem)
{
	struct view_member *m = mem_new(b->entries * sizeof(*m));
	size_t before;
	unsigned i;

	for (i = 0; i < b->entries; i++)
		member(&m[i], i);
	before = heap();
	b->view = view_create(1, m, b->entries);
	mem->views = heap() - before;
	b->judge = judge_create(b->view->members[b->view->slots[5].judge[0]].id,
				600000, 262144);
	b->slot = 5;
	free(m);
}

static void make_rest(struct bench *b, struct memory *mem)
{
	const struct swim_config cfg = swim_default_config();
	struct swim_delta d = { .state = SWIM_ALIVE };
	char name[32], body[220];
	struct view_member self;
	size_t before;
	unsigned i;

	b->keeper = share_keeper_create(1e6, b->entries, -20000);
	b->queue = wfq_create(WFQ_FAIR, 1024);
	for (i = 0; i < 512; i++) {
		b->items[i] = (struct wfq_item){ .flow = i % 32,
						 .weight = 1,
						 .cost = 100 };
		wfq_push(b->queue, &b->items[i]);
	}
	memset(body, 'x', sizeof(body));
	before = heap();
	b->spread = spread_create();
	for (i = 0; i < b->replicas; i++) {
		snprintf(name, sizeof(name), "inst/%u", i);
		spread_put(b->spread, name, 1, body, sizeof(body), 0);
	}
	mem->spread = heap() - before;
	member(&self, 0);
	before = heap();
	b->swim = swim_create(&self, &cfg, 3);
	for (i = 1; i < b->entries; i++) {
		member(&d.member, i);
		swim_apply_quietly(b->swim, &d, 0);
	}
	mem->swim = heap() - before;
	flow_init(&b->flow, 1, 400, 1 << 30);
	flow_routed(&b->flow, 1, false, 0);
}

struct row {
	const char *name;
	void (*fn)(void *arg, unsigned i);
	struct timing t[SIZES];
};

static struct row rows[] = {
	{ "route one request", op_route, { { 0, 0 } } },
	{ "judge one claim", op_judge, { { 0, 0 } } },
	{ "count a claim's votes", op_claim, { { 0, 0 } } },
	{ "queue and unqueue", op_queue, { { 0, 0 } } },
	{ "keep an account's share", op_share, { { 0, 0 } } },
	{ "take an item", op_spread, { { 0, 0 } } },
	{ "probe one peer", op_swim, { { 0, 0 } } },
	{ "take one token", op_flow, { { 0, 0 } } },
	{ "plan one service", op_plan, { { 0, 0 } } },
};

#define NR_ROWS (sizeof(rows) / sizeof(rows[0]))

static double view_ms[SIZES], refresh_ms[SIZES];
static struct memory mem[SIZES];

static void time_views(struct bench *b, unsigned size)
{
	struct view *v;
	int64_t start = now_ns();

	v = view_create(2, b->view->members, b->view->nr);
	view_ms[size] = (double)(now_ns() - start) / 1e6;
	view_free(v);
	start = now_ns();
	route_refresh(b->table);
	refresh_ms[size] = (double)(now_ns() - start) / 1e6;
}

static void measure(unsigned size)
{
	struct bench *b = mem_new(sizeof(*b));
	size_t i, before;

	b->entries = entries_at[size];
	b->replicas = replicas_at[size];
	rnd_seed(&b->rnd, 1);
	make_routes(b, &mem[size]);
	make_view(b, &mem[size]);
	make_rest(b, &mem[size]);
	before = heap();
	for (i = 0; i < NR_ROWS; i++)
		rows[i].t[size] = time_op(rows[i].fn, b);
	mem[size].votes = (heap() - before) / RUNS;
	time_views(b, size);
	/* The process ends soon; what is left is not freed. */
}

static void table_decisions(void)
{
	size_t i;

	printf("\n### Cost of a decision by size\n\nNanoseconds, p50 / p99 of "
	       "%d runs; entries and replicas as in the head.\n\n| decision | "
	       "8 entries, 12 replicas | 90, 270 | 900, 2,700 | p50 growth, "
	       "today to target |\n|---|---|---|---|---|\n",
	       RUNS);
	for (i = 0; i < NR_ROWS; i++) {
		const struct timing *t = rows[i].t;

		if (rows[i].fn == op_plan)
			continue;
		printf("| %s | %.0f / %.0f | %.0f / %.0f | %.0f / %.0f | %.1fx "
		       "|\n",
		       rows[i].name, t[0].p50, t[0].p99, t[1].p50, t[1].p99,
		       t[2].p50, t[2].p99,
		       t[2].p50 / (t[0].p50 > 0 ? t[0].p50 : 1));
	}
	printf("\nOnce per change, not per request, milliseconds:\n\n| work | "
	       "today | tenth | target |\n|---|---|---|---|\n"
	       "| the table of slots of a new view | %.1f | %.1f | %.1f |\n"
	       "| the followed subset after a change | %.3f | %.3f | %.3f |\n",
	       view_ms[0], view_ms[1], view_ms[2], refresh_ms[0], refresh_ms[1],
	       refresh_ms[2]);
}

static void table_memory(void)
{
	unsigned i;

	printf("\n### Memory by size\n\nKilobytes on the heap of one process; "
	       "a vote in bytes.\n\n| state | today | tenth | target |\n"
	       "|---|---|---|---|\n| endpoints and prefix index of one model");
	for (i = 0; i < SIZES; i++)
		printf(" | %zu", mem[i].routes / 1024);
	printf(" |\n| a view with its slots");
	for (i = 0; i < SIZES; i++)
		printf(" | %zu", mem[i].views / 1024);
	printf(" |\n| items in force (instances)");
	for (i = 0; i < SIZES; i++)
		printf(" | %zu", mem[i].spread / 1024);
	printf(" |\n| peers and their states");
	for (i = 0; i < SIZES; i++)
		printf(" | %zu", mem[i].swim / 1024);
	printf(" |\n| a vote");
	for (i = 0; i < SIZES; i++)
		printf(" | %zu", mem[i].votes);
	printf(" |\n");
}

/* ---- Spreading and probing ---- */

static void table_spread(void)
{
	unsigned i;

	printf("\n### Spreading of one change\n\nOffers to three peers in two "
	       "rounds, 150 ms apart, then names on probes; one message in "
	       "fifty lost; 100 seeds.\n\n| entries | offers per node | bodies per "
	       "node | worst time to 95 in 100 | worst time to all reached | "
	       "missed, in all seeds |\n|---|---|---|---|---|---|\n");
	for (i = 0; i < SIZES; i++) {
		const struct spreading s = spread_mean(entries_at[i]);

		printf("| %u | %.1f | %.2f | %.1f s | %.1f s | %u of %u |\n",
		       entries_at[i], s.offers, s.gives, s.steps_95 * 0.2,
		       s.steps_all * 0.2, s.missed, 100 * entries_at[i]);
	}
}

static struct probing probing[SIZES];

static void table_probes(void)
{
	unsigned i;

	printf("\n### Probing\n\nOne entry ends without a word; all others in "
	       "one process, time passed in.\n\n| entries | probes per node "
	       "and s | deltas per node and s, idle | bytes per node and s, "
	       "idle, in and out | until all hold it dead | held dead wrongly "
	       "|\n|---|---|---|---|---|---|\n");
	for (i = 0; i < SIZES; i++) {
		probing[i] = probe_net(entries_at[i]);
		printf("| %u | %.2f | %.2f | %.0f | %.1f s | %u |\n",
		       entries_at[i], probing[i].probes, probing[i].deltas,
		       2 * probing[i].probes * ping_bytes(0),
		       probing[i].detect_s, probing[i].false_dead);
	}
}

/* ---- Control traffic of a node, worked out ---- */

#define DAY 86400.0

struct fleet {
	double entries, replicas, accounts, changes, restarts, failures;
	double instance_events; /* a day: starts, ends, notices */
	double requests, tokens;
};

static const struct fleet fleets[SIZES] = {
	{ 8, 12, 10, 20, 7.2, 0.16, 60, 45, 1500 },
	{ 90, 270, 300, 360, 81, 1.8, 2000, 2700, 660000 },
	{ 900, 2700, 3000, 3600, 810, 18, 20000, 27000, 6600000 },
};

static void table_control(void)
{
	const double doc_bytes = 6000, inst_bytes = 360;
	unsigned i;

	printf("\n### Control traffic of one entry, bytes a second\n\nWorked "
	       "out from the sizes and counts above: in and out, with %0.f "
	       "bytes of headers a message. A document has 6,000 bytes. "
	       "Limit: 6,000.\n\n| mechanism | today | tenth | target |\n"
	       "|---|---|---|---|\n",
	       FRAME);
	{
		double sum[SIZES] = { 0 }, row[5][SIZES];
		static const char *const names[] = {
			"probes of peers, idle",
			"news of members (deltas)",
			"documents: offers and bodies",
			"views",
			"instances and notices",
		};
		size_t k;

		for (i = 0; i < SIZES; i++) {
			const struct fleet *f = &fleets[i];
			const struct spreading s = spread_mean(entries_at[i]);
			const double per_change = 2 * s.offers * offer_bytes(1);
			const double delta =
				(ping_bytes(8) - ping_bytes(0)) / 16;
			const double member_events =
				2 * (f->restarts + f->failures);
			const double view_bytes = f->entries * 125;

			row[0][i] = 2 * probing[i].probes * ping_bytes(0);
			row[1][i] = member_events / DAY * 2 * 3 *
				    log2(f->entries + 1) * delta;
			row[2][i] = f->changes / DAY *
				    (per_change + 2 * s.gives * doc_bytes);
			row[3][i] = member_events / 2 / DAY *
				    (per_change + 2 * s.gives * view_bytes);
			row[4][i] = f->instance_events / DAY *
				    (per_change + 2 * s.gives * inst_bytes);
		}
		for (k = 0; k < 5; k++) {
			printf("| %s", names[k]);
			for (i = 0; i < SIZES; i++) {
				printf(" | %.0f", row[k][i]);
				sum[i] += row[k][i];
			}
			printf(" |\n");
		}
		printf("| **in all** | **%.0f** | **%.0f** | **%.0f** |\n",
		       sum[0], sum[1], sum[2]);
	}
}

static void table_data(void)
{
	unsigned i;

	printf("\n### Data path of one entry, a second\n\nScales with requests, "
	       "not with the fleet: counted apart from control. Bodies of "
	       "4,000 bytes, answers of 244 tokens of 5 bytes copied in "
	       "batches.\n\n| | today | tenth | target |\n|---|---|---|---|\n"
	       "| requests");
	for (i = 0; i < SIZES; i++)
		printf(" | %.1f", fleets[i].requests / fleets[i].entries);
	printf(" |\n| claims asked of it as a judge");
	for (i = 0; i < SIZES; i++)
		printf(" | %.1f", 3 * fleets[i].requests / fleets[i].entries);
	printf(" |\n| bytes of claims, out and in");
	for (i = 0; i < SIZES; i++)
		printf(" | %.0f", 2 * fleets[i].requests / fleets[i].entries *
					  (2 * claim_bytes(false, 0) +
					   claim_bytes(true, 4000)));
	printf(" |\n| bytes of token copies, out and in");
	for (i = 0; i < SIZES; i++)
		printf(" | %.0f",
		       2 * fleets[i].tokens / fleets[i].entries * (5 + 4));
	/* Each request asks two followed replicas for their load. */
	printf(" |\n| bytes of load polls");
	for (i = 0; i < SIZES; i++)
		printf(" | %.0f",
		       2 * fleets[i].requests / fleets[i].entries * 700);
	/* Accounts in use at one entry ask their keepers every 2 s. */
	printf(" |\n| bytes of account shares, 20 accounts at most");
	for (i = 0; i < SIZES; i++)
		printf(" | %.0f",
		       (fleets[i].accounts < 20 ? fleets[i].accounts : 20) *
			       share_bytes());
	printf(" |\n| votes held, 600 s of life");
	for (i = 0; i < SIZES; i++)
		printf(" | %.0f",
		       3 * 600 * fleets[i].requests / fleets[i].entries);
	printf(" |\n| MB of votes");
	for (i = 0; i < SIZES; i++)
		printf(" | %.1f", 3 * 600 * fleets[i].requests /
					  fleets[i].entries *
					  (double)mem[i].votes / 1e6);
	printf(" |\n");
}

static void table_service(void)
{
	unsigned i;

	printf("\n### Calls on the key-value service, a second\n\nWatchers: two "
	       "per zone (4, 8, 8 zones); a waiting watch counts as one, and "
	       "each reopens every 5 s. Leases: one for views and one per "
	       "service (2, 30, 300), renewed every third of 10 s. Limits: "
	       "some hundred writes, 2,000 reads.\n\n| | today | tenth | target "
	       "|\n|---|---|---|---|\n| waiting watches");
	{
		const double zones[SIZES] = { 4, 8, 8 };
		const double services[SIZES] = { 2, 30, 300 };

		for (i = 0; i < SIZES; i++)
			printf(" | %.0f", 2 * zones[i]);
		printf(" |\n| watches opened");
		for (i = 0; i < SIZES; i++)
			printf(" | %.1f", 2 * zones[i] / 5);
		printf(" |\n| lease renewals");
		for (i = 0; i < SIZES; i++)
			printf(" | %.1f", (1 + services[i]) * 3 / 10);
		printf(" |\n| reads by those that would take a lease");
		for (i = 0; i < SIZES; i++)
			printf(" | %.1f", (1 + services[i]) * 3 / 10);
		printf(" |\n| writes of changes and views");
		for (i = 0; i < SIZES; i++)
			printf(" | %.3f",
			       (fleets[i].changes + fleets[i].restarts * 2 +
				fleets[i].failures) /
				       DAY);
		printf(" |\n| reads by starting entries");
		for (i = 0; i < SIZES; i++)
			printf(" | %.3f", 3 * fleets[i].restarts / DAY);
		printf(" |\n");
	}
}

int main(void)
{
	unsigned i;

	for (i = 0; i < SIZES; i++)
		measure(i);
	table_decisions();
	table_memory();
	table_spread();
	table_probes();
	table_control();
	table_data();
	table_service();
	printf("\n### Planning one service\n\nMilliseconds for 16 offers and a "
	       "demand of the whole fleet: %.2f at 12 replicas, %.2f at 270, "
	       "%.2f at 2,700; every 0.5 s by the one holder of its lease.\n",
	       rows[NR_ROWS - 1].t[0].p99 / 1e6,
	       rows[NR_ROWS - 1].t[1].p99 / 1e6,
	       rows[NR_ROWS - 1].t[2].p99 / 1e6);
	return 0;
}
