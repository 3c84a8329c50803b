/*
 * Tests slow start (ramp.h): the bounds, and what many entries send to an
 * endpoint that has just started while load reports are late.
 */
#include <stdio.h>
#include <string.h>

#include "base/rnd.h"
#include "route/pick.h"
#include "route/ramp.h"
#include "support/unit.h"

/* ---- Bounds ---- */

static unsigned bound(int64_t age, unsigned answers, unsigned senders,
		      int slots, double draw)
{
	const struct rmp_input in = { age, answers, senders, slots, draw };

	return rmp_bound(&in);
}

static void few_senders_have_no_bound(void)
{
	CU_ASSERT_EQUAL(bound(0, 0, RMP_MIN_SENDERS - 1, 16, 0.5),
			RMP_UNBOUNDED);
	CU_ASSERT(bound(0, 0, RMP_MIN_SENDERS, 16, 0.5) <= 2);
	CU_ASSERT_EQUAL(bound(0, 0, 10, 48, 0.5), 2);
	CU_ASSERT_EQUAL(bound(0, 0, 84, 0, 0.5), 1);
}

static void doubles_with_as_many_answers(void)
{
	CU_ASSERT_EQUAL(bound(0, 0, 16, 32, 0.5), 1);
	CU_ASSERT_EQUAL(bound(0, 1, 16, 32, 0.5), 2);
	CU_ASSERT_EQUAL(bound(0, 2, 16, 32, 0.5), 2);
	CU_ASSERT_EQUAL(bound(0, 3, 16, 32, 0.5), 4);
	CU_ASSERT_EQUAL(bound(0, 6, 16, 32, 0.5), 4);
	/* It has answered well. */
	CU_ASSERT_EQUAL(bound(0, 7, 16, 32, 0.5), RMP_UNBOUNDED);
}

static void ends_after_some_seconds(void)
{
	CU_ASSERT(bound(RMP_NEW_MS - 1, 0, 84, 16, 0.5) <= 2);
	CU_ASSERT_EQUAL(bound(RMP_NEW_MS, 0, 84, 16, 0.5), RMP_UNBOUNDED);
	/* Times that make no sense. */
	CU_ASSERT_EQUAL(bound(-1, 0, 84, 16, 0.5), RMP_UNBOUNDED);
	CU_ASSERT_EQUAL(bound(INT64_MAX, 0, 84, 16, 0.5), RMP_UNBOUNDED);
}

/* Guards against entries that together send more than the endpoint runs. */
static void entries_begin_with_few_together(void)
{
	unsigned total[3] = { 0 }, i, second;

	for (second = 0; second < 3; second++) {
		for (i = 0; i < 84; i++)
			total[second] +=
				bound(second * 1000, 0, 84, 16, (i + 0.5) / 84);
	}
	CU_ASSERT_EQUAL(total[0], 8);
	CU_ASSERT_EQUAL(total[1], 16);
	CU_ASSERT_EQUAL(total[2], 32);
}

static void long_running_endpoint_is_not_new(void)
{
	struct rmp_start s = { .first_seen_ms = 5000 };
	const int64_t true_ms = 1700000000000;

	CU_ASSERT_EQUAL(rmp_age(&s, 6000, true_ms), 1000);
	s.started_ms = true_ms - 3000;
	CU_ASSERT_EQUAL(rmp_age(&s, 6000, true_ms), 1000);
	CU_ASSERT_EQUAL(rmp_age(&s, 6000, 0), 1000);
	s.started_ms = true_ms - 60000;
	CU_ASSERT(rmp_age(&s, 6000, true_ms) >= RMP_NEW_MS);
	/* A clock that is ahead. */
	s.started_ms = true_ms + 60000;
	CU_ASSERT_EQUAL(rmp_age(&s, 6000, true_ms), 1000);
}

/* ---- Many entries ---- */

#define NR_ENTRIES 84
#define NR_ENDPOINTS 27
#define NR_SLOTS 16
#define REPORT_AGE_MS 600
#define REQUESTS_PER_S 380
#define RUN_MS 900
#define MAX_RUNS 2000

struct run {
	unsigned entry, endpoint;
	int64_t end_ms;
};

/* Entries send to endpoints, of which the first `nr_new` start at `start_ms`. */
struct world {
	struct flt fleets[NR_ENTRIES];
	struct flt_endpoint *at[NR_ENTRIES][NR_ENDPOINTS];
	/* Requests in flight of an entry at an endpoint, by time. */
	unsigned char sent[NR_ENTRIES][NR_ENDPOINTS];
	unsigned running[NR_ENDPOINTS];
	unsigned history[REPORT_AGE_MS][NR_ENDPOINTS];
	struct run runs[MAX_RUNS];
	unsigned nr_runs, refused;
	struct svc model;
	struct rnd rnd;
	bool slow_start;
	int64_t now;
};

static struct world w;

static void list(unsigned entry, unsigned endpoint, int64_t now)
{
	struct flt_info info = { .slots = NR_SLOTS };
	enum flt_change change;

	snprintf(info.id, sizeof(info.id), "e%u", endpoint);
	strcpy(info.service, "llm");
	strcpy(info.zone, "z1");
	w.at[entry][endpoint] =
		flt_upsert(&w.fleets[entry], &info, now, &change);
}

static void set_up(bool slow_start, uint64_t seed)
{
	unsigned i;

	memset(&w, 0, sizeof(w));
	for (i = 0; i < NR_ENTRIES; i++)
		flt_init(&w.fleets[i], NULL);
	svc_init(&w.model, "llm");
	w.model.typical_prefill_tokens = 3200;
	w.model.run_ms = RUN_MS;
	w.slow_start = slow_start;
	w.now = 100000;
	rnd_seed(&w.rnd, seed);
}

static void list_all(unsigned endpoint, int64_t now)
{
	unsigned i;

	for (i = 0; i < NR_ENTRIES; i++)
		list(i, endpoint, now);
}

static void tear_down(void)
{
	unsigned i;

	for (i = 0; i < NR_ENTRIES; i++)
		flt_free(&w.fleets[i]);
}

/* What the other entries reported is as old as reports are. */
static void apply_reports(unsigned entry)
{
	const unsigned *then = w.history[w.now % REPORT_AGE_MS];
	unsigned i;

	for (i = 0; i < NR_ENDPOINTS; i++) {
		if (w.at[entry][i])
			w.at[entry][i]->peer_running =
				then[i] * (NR_ENTRIES - 1.0) / NR_ENTRIES;
	}
}

static struct pick_result pick(unsigned entry)
{
	const struct pick_query q = {
		.service = "llm",
		.model = &w.model,
		.zone = "z1",
		.engine = true,
		.unshared_tokens = 3000,
		.now_ms = w.now,
		.sending_peers = NR_ENTRIES - 1,
		.sample_seed = rnd_next(&w.rnd) | 1,
		.slow_start = w.slow_start,
		.entry = 1000003 * (entry + 1),
	};

	return pick_endpoint(&w.fleets[entry], &q);
}

static void send(unsigned entry)
{
	struct pick_result r;
	unsigned i;

	apply_reports(entry);
	r = pick(entry);
	if (!r.endpoint || w.nr_runs == MAX_RUNS) {
		w.refused++;
		return;
	}
	for (i = 0; w.at[entry][i] != r.endpoint; i++)
		;
	r.endpoint->running++;
	w.running[i]++;
	w.runs[w.nr_runs++] = (struct run){ entry, i, w.now + RUN_MS };
}

static void end_runs(void)
{
	struct run *r = w.runs;

	while (r < w.runs + w.nr_runs) {
		if (r->end_ms > w.now) {
			r++;
			continue;
		}
		w.at[r->entry][r->endpoint]->running--;
		flt_record_outcome(w.at[r->entry][r->endpoint], FLT_GOOD,
				   w.now);
		w.running[r->endpoint]--;
		*r = w.runs[--w.nr_runs];
	}
}

/* Runs for some time; returns the most requests that ran at an endpoint. */
static unsigned run_for(int64_t ms, unsigned endpoint)
{
	const int64_t end = w.now + ms;
	unsigned most = 0;

	for (; w.now < end; w.now++) {
		end_runs();
		if (rnd_unit(&w.rnd) < REQUESTS_PER_S / 1000.0)
			send(rnd_below(&w.rnd, NR_ENTRIES));
		memcpy(w.history[w.now % REPORT_AGE_MS], w.running,
		       sizeof(w.running));
		if (w.running[endpoint] > most)
			most = w.running[endpoint];
	}
	return most;
}

#define NR_SEQUENCES 8

/* Requests at an endpoint that starts beside loaded ones. */
struct first_seconds {
	unsigned most;	/* in the first second of any sequence */
	unsigned later; /* the most from the sixth to the eighth second, */
	unsigned idle;	/* and sequences in which that is less than half */
};

static void start_one(struct first_seconds *r, bool slow_start, uint64_t seed)
{
	unsigned most, later, i;

	set_up(slow_start, seed);
	for (i = 1; i < NR_ENDPOINTS; i++)
		list_all(i, 1000);
	run_for(5000, 1);
	list_all(0, w.now);
	most = run_for(1000, 0);
	run_for(4000, 0);
	later = run_for(3000, 0);
	r->most = most > r->most ? most : r->most;
	r->later = later > r->later ? later : r->later;
	r->idle += later < NR_SLOTS / 2;
	tear_down();
}

static struct first_seconds start_beside_loaded(bool slow_start)
{
	struct first_seconds r = { .most = 0 };
	unsigned i;

	for (i = 0; i < NR_SEQUENCES; i++)
		start_one(&r, slow_start, unit_seed(i));
	printf("  slow start %d: at most %u requests in the first second, "
	       "%u from the sixth to the eighth\n",
	       slow_start, r.most, r.later);
	return r;
}

/*
 * Guards against all entries sending to the endpoint that seems idle, and
 * against one that stays idle.
 */
static void new_endpoint_is_not_over_its_slots(void)
{
	const struct first_seconds slow = start_beside_loaded(true);
	const struct first_seconds twin = start_beside_loaded(false);

	CU_ASSERT(slow.most <= NR_SLOTS);
	CU_ASSERT_EQUAL(slow.idle, 0);
	CU_ASSERT(twin.most > NR_SLOTS);
}

/* Requests at the endpoints 3 s after all of them started. */
static void start_of_all(bool slow_start, unsigned *running)
{
	unsigned i;

	set_up(slow_start, 5);
	for (i = 0; i < NR_ENDPOINTS; i++)
		list_all(i, w.now);
	run_for(3000, 0);
	CU_ASSERT_EQUAL(w.refused, 0);
	memcpy(running, w.running, sizeof(w.running));
	tear_down();
}

/* Guards against a start of the whole system that the bound changes. */
static void nothing_changes_if_all_are_new(void)
{
	unsigned with[NR_ENDPOINTS], without[NR_ENDPOINTS];

	start_of_all(true, with);
	start_of_all(false, without);
	CU_ASSERT_EQUAL(memcmp(with, without, sizeof(with)), 0);
}

/* ---- Single choices ---- */

/* One old endpoint, and a new one for which the entry has its bound. */
static struct pick_result pick_beside_new(void)
{
	struct pick_result r;

	w.at[0][0]->running = 3;
	r = pick(0);
	CU_ASSERT_PTR_NOT_NULL(r.endpoint);
	return r;
}

/* Guards against a bound that keeps requests at endpoints that cannot serve. */
static void new_endpoint_takes_what_others_cannot(void)
{
	struct flt_endpoint *old, *new;
	int i;

	set_up(true, 5);
	list(0, 0, w.now);
	list(0, 1, 1000);
	new = w.at[0][0];
	old = w.at[0][1];
	old->peer_running = 10;
	CU_ASSERT_PTR_EQUAL(pick_beside_new().endpoint, old);
	CU_ASSERT_PTR_EQUAL(pick_beside_new().held, new);
	/* All its slots are taken: a reclaim, or the shift of a roll-out. */
	old->peer_running = NR_SLOTS;
	CU_ASSERT_PTR_EQUAL(pick_beside_new().endpoint, new);
	old->peer_running = 10;
	old->suspect_runs = 1;
	CU_ASSERT_PTR_EQUAL(pick_beside_new().endpoint, new);
	old->suspect_runs = 0;
	for (i = 0; i < 200; i++)
		flt_record_outcome(old, FLT_FAILED, w.now);
	w.at[0][1]->peer_running = 14;
	CU_ASSERT_PTR_EQUAL(pick_beside_new().endpoint, new);
	flt_mark_leaving(old, w.now);
	CU_ASSERT_PTR_EQUAL(pick_beside_new().endpoint, new);
	tear_down();
}

static const struct unit_test tests[] = {
	{ "few senders have no bound", few_senders_have_no_bound },
	{ "doubles with as many answers", doubles_with_as_many_answers },
	{ "ends after some seconds", ends_after_some_seconds },
	{ "entries begin with few together", entries_begin_with_few_together },
	{ "long-running endpoint is not new",
	  long_running_endpoint_is_not_new },
	{ "new endpoint is not over its slots",
	  new_endpoint_is_not_over_its_slots },
	{ "nothing changes if all are new", nothing_changes_if_all_are_new },
	{ "new endpoint takes what others cannot",
	  new_endpoint_takes_what_others_cannot },
};

UNIT_MAIN("ramp", tests)
