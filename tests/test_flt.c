/* Tests the fleet table (flt) and the choice of an endpoint (pick). */
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "fleet/flt.h"
#include "route/pick.h"
#include "support/unit.h"

static struct flt_endpoint *list_endpoint(struct flt *f, const char *id,
					  const char *zone, bool draining,
					  int64_t now)
{
	struct flt_info info = { .slots = 64, .time_left_ms = -1 };
	enum flt_change change;

	str_copy(info.id, id, sizeof(info.id));
	str_copy(info.service, "llm", sizeof(info.service));
	str_copy(info.zone, zone, sizeof(info.zone));
	str_copy(info.address, "127.0.0.1:1", sizeof(info.address));
	info.draining = draining;
	return flt_upsert(f, &info, now, &change);
}

static struct flt_endpoint *list_started(struct flt *f, const char *id,
					 int64_t started_ms,
					 enum flt_change *change)
{
	struct flt_info info = { .slots = 64, .time_left_ms = -1 };

	str_copy(info.id, id, sizeof(info.id));
	str_copy(info.service, "llm", sizeof(info.service));
	str_copy(info.address, "127.0.0.1:1", sizeof(info.address));
	info.started_ms = started_ms;
	return flt_upsert(f, &info, 100, change);
}

/*
 * Guards against requests beyond an endpoint's limit after its list entry
 * lapsed and returned, while the endpoint ran on.
 */
static void statements_outlast_the_list_entry(void)
{
	struct flt f;
	struct flt_endpoint *e;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 100);
	gate_limit_answered(&e->gate, 1, 150, 200);
	CU_ASSERT(flt_in_service(e, 210));
	CU_ASSERT_FALSE(flt_usable(e, 210));
	CU_ASSERT(flt_remove(&f, "a", 300));
	e = list_endpoint(&f, "a", "z1", false, 400);
	CU_ASSERT_EQUAL(e->gate.limit_per_s, 1);
	CU_ASSERT_FALSE(flt_usable(e, 410));
	CU_ASSERT_PTR_NULL(f.gates);
	/* An ordinary refusal does not shorten a wait. */
	gate_wait(&e->gate, 5000);
	gate_limit_answered(&e->gate, 0, 420, 430);
	flt_record_outcome(e, FLT_BUSY, 440);
	CU_ASSERT_FALSE(flt_usable(e, 1000));
	flt_remove(&f, "a", 1000);
	e = list_endpoint(&f, "a", "z1", false, 1100);
	CU_ASSERT_FALSE(flt_usable(e, 4999));
	CU_ASSERT(flt_usable(e, 5000));
	flt_free(&f);
}

/*
 * Guards against requests to an endpoint that stated its leaving, or was listed
 * as draining, after an older list entry of it returned.
 */
static void leaving_outlasts_the_list_entry(void)
{
	struct flt f;
	struct flt_endpoint *e;
	enum flt_change change;

	flt_init(&f, NULL);
	e = list_started(&f, "a", 7, &change);
	CU_ASSERT(flt_mark_leaving(e, 150));
	CU_ASSERT_FALSE(flt_mark_leaving(e, 160));
	CU_ASSERT_FALSE(flt_in_service(e, 160));
	e = list_started(&f, "a", 7, &change);
	CU_ASSERT_FALSE(flt_in_service(e, 170));
	CU_ASSERT(flt_leaving_ms(e, 170) >= 0);
	flt_remove(&f, "a", 200);
	e = list_started(&f, "a", 7, &change);
	CU_ASSERT_FALSE(flt_in_service(e, 250));
	/* Another start of it is another endpoint. */
	e = list_started(&f, "a", 8, &change);
	CU_ASSERT(flt_in_service(e, 300));
	list_endpoint(&f, "b", "z1", true, 300);
	flt_remove(&f, "b", 400);
	e = list_endpoint(&f, "b", "z1", false, 500);
	CU_ASSERT_FALSE(flt_in_service(e, 500));
	flt_free(&f);
}

/*
 * Guards against requests to an endpoint whose answer stated something after its
 * list entry had lapsed, and before it returned.
 */
static void statements_after_the_removal_count(void)
{
	struct flt f;
	struct flt_endpoint *old, *e;
	enum flt_change change;

	flt_init(&f, NULL);
	old = list_started(&f, "a", 7, &change);
	flt_ref(old);
	flt_remove(&f, "a", 200);
	CU_ASSERT_PTR_EQUAL(flt_current(&f, old), old);
	gate_wait(&old->gate, 3000);
	flt_keep_statements(&f, old, 300);
	gate_limit_answered(&old->gate, 1, 290, 310);
	flt_keep_statements(&f, old, 310);
	CU_ASSERT_EQUAL(HASH_COUNT(f.gates), 1);
	e = list_started(&f, "a", 7, &change);
	CU_ASSERT_PTR_NOT_EQUAL(e, old);
	CU_ASSERT_EQUAL(e->gate.limit_per_s, 1);
	CU_ASSERT(gate_waits(&e->gate, 400));
	CU_ASSERT_PTR_EQUAL(flt_current(&f, old), e);
	/* Not those of another start. */
	e = list_started(&f, "a", 8, &change);
	CU_ASSERT_PTR_EQUAL(flt_current(&f, old), old);
	CU_ASSERT_EQUAL(e->gate.limit_per_s, 0);
	flt_unref(&f, old);
	flt_free(&f);
}

/* Guards against a new process that is taken for the one that had answered. */
static void restarts_replace_an_endpoint(void)
{
	struct flt f;
	struct flt_endpoint *old, *e;
	enum flt_change change;

	flt_init(&f, NULL);
	old = list_started(&f, "a", 7, &change);
	flt_ref(old);
	CU_ASSERT_FALSE(flt_is_replaced(&f, old));
	/* It may run on, off the list. */
	flt_remove(&f, "a", 200);
	CU_ASSERT_FALSE(flt_is_replaced(&f, old));
	list_started(&f, "a", 7, &change);
	CU_ASSERT_FALSE(flt_is_replaced(&f, old));
	/* Another start under its id, or another endpoint at its address. */
	e = list_started(&f, "a", 8, &change);
	CU_ASSERT(flt_is_replaced(&f, old));
	CU_ASSERT_FALSE(flt_is_replaced(&f, e));
	flt_remove(&f, "a", 300);
	CU_ASSERT_FALSE(flt_is_replaced(&f, old));
	list_started(&f, "b", 0, &change);
	CU_ASSERT(flt_is_replaced(&f, old));
	flt_unref(&f, old);
	flt_free(&f);
}

static struct flt_endpoint *list_numbered(struct flt *f, unsigned i,
					  int64_t now)
{
	char id[32];

	snprintf(id, sizeof(id), "e%u", i);
	return list_endpoint(f, id, "z1", false, now);
}

static void statements_of_removed_endpoints_are_bounded(void)
{
	struct flt f;
	struct flt_endpoint *e;
	unsigned i;

	flt_init(&f, NULL);
	for (i = 0; i < 2 * FLT_MAX_GATES; i++) {
		e = list_numbered(&f, i, 100);
		gate_limit_answered(&e->gate, 1, 100, 100);
		flt_remove(&f, e->info.id, 100);
	}
	CU_ASSERT_EQUAL(HASH_COUNT(f.gates), FLT_MAX_GATES);
	CU_ASSERT_EQUAL(list_numbered(&f, 0, 200)->gate.limit_per_s, 0);
	CU_ASSERT_EQUAL(list_numbered(&f, i - 1, 200)->gate.limit_per_s, 1);
	flt_expire(&f, 100 + FLT_GATE_KEEP_MS + 1, NULL, NULL);
	CU_ASSERT_PTR_NULL(f.gates);
	flt_free(&f);
}

static unsigned expired;

static void count_expired(struct flt_endpoint *e, void *arg)
{
	(void)e;
	(void)arg;
	expired++;
}

/*
 * Guards against requests to an endpoint seconds after it began to drain. Its
 * list entry said draining, then a page of an older list read, which arrived
 * late, said ready and replaced it.
 */
static void draining_is_final(void)
{
	struct flt f;
	struct flt_endpoint *e;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 100);
	CU_ASSERT(flt_usable(e, 100));
	list_endpoint(&f, "a", "z1", true, 200);
	CU_ASSERT_FALSE(flt_usable(e, 200));
	list_endpoint(&f, "a", "z1", false, 300);
	CU_ASSERT_FALSE(flt_usable(e, 300));
	flt_free(&f);
}

/*
 * Guards against an endpoint that gets no requests after a restart, or requests
 * for prompt parts that it no longer has cached. It drains or fails, crashes,
 * and restarts under its old id before the list drops the id, so that the state
 * of the former process was kept.
 */
static void restart_under_the_same_id_has_fresh_state(void)
{
	struct flt f;
	struct flt_endpoint *old, *e;
	enum flt_change change;
	uint64_t hash;

	flt_init(&f, NULL);
	old = list_started(&f, "a", 1000, &change);
	CU_ASSERT_EQUAL(change, FLT_ADDED);
	hash = old->hash;
	flt_ref(old); /* a running request */
	old->running = 1;
	old->draining_since_ms = 50;
	flt_record_outcome(old, FLT_UNREACHABLE, 90);
	e = list_started(&f, "a", 1000, &change);
	CU_ASSERT_PTR_EQUAL(e, old);
	CU_ASSERT_EQUAL(change, FLT_UNCHANGED);
	e = list_started(&f, "a", 2000, &change);
	CU_ASSERT_EQUAL(change, FLT_RESTARTED);
	CU_ASSERT_PTR_NOT_EQUAL(e, old);
	CU_ASSERT(old->removed);
	CU_ASSERT(flt_usable(e, 100));
	CU_ASSERT_EQUAL(e->running, 0);
	CU_ASSERT(flt_fail_rate(e, 100) == 0);
	/* Cached prompt parts and peers' reports are keyed by the hash. */
	CU_ASSERT_NOT_EQUAL(e->hash, hash);
	CU_ASSERT_EQUAL(f.count, 1);
	CU_ASSERT_PTR_EQUAL(flt_find(&f, "a"), e);
	flt_unref(&f, old);
	flt_free(&f);
}

/*
 * Guards against requests to an address that is in no list entry. Another
 * writer overwrites an endpoint's entry with unreadable bytes, and the last
 * readable entry stayed in use.
 */
static void unreadable_entry_removes_the_endpoint(void)
{
	struct flt f;
	struct flt_endpoint *e;
	enum flt_change change;

	flt_init(&f, NULL);
	list_started(&f, "a", 1000, &change);
	e = list_started(&f, "b", 1000, &change);
	CU_ASSERT(flt_remove(&f, "a", 100));
	CU_ASSERT_FALSE(flt_remove(&f, "a", 100));
	CU_ASSERT_PTR_NULL(flt_find(&f, "a"));
	CU_ASSERT(flt_usable(e, 100));
	list_started(&f, "a", 1000, &change);
	CU_ASSERT_EQUAL(change, FLT_ADDED);
	flt_free(&f);
}

/*
 * Guards against moving streams off an endpoint as soon as its list entry
 * becomes unreadable, even those about to end. The endpoint was ready until its
 * removal and was never marked as missing; the time 0 was taken for a removal
 * long ago.
 */
static void removed_endpoint_is_leaving_from_its_removal_on(void)
{
	struct flt_endpoint *e, *before;
	enum flt_change change;
	struct flt f;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 50000);
	flt_ref(e);
	CU_ASSERT(flt_remove(&f, "a", 60000));
	CU_ASSERT_EQUAL(flt_leaving_ms(e, 60100), 100);
	flt_unref(&f, e);
	before = list_started(&f, "b", 7, &change);
	flt_ref(before);
	list_started(&f, "b", 8, &change);
	CU_ASSERT_EQUAL(change, FLT_RESTARTED);
	CU_ASSERT_EQUAL(flt_leaving_ms(before, before->first_seen_ms + 20), 20);
	flt_unref(&f, before);
	flt_free(&f);
}

static void missing_endpoint_is_removed_if_the_store_is_available(void)
{
	struct flt f;
	struct flt_endpoint *e;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 100);
	flt_ref(e);
	flt_mark_missing(&f, "a", 0, 200);
	CU_ASSERT_FALSE(flt_usable(e, 200));
	expired = 0;
	flt_expire(&f, 200, count_expired, NULL);
	CU_ASSERT_EQUAL(expired, 1);
	CU_ASSERT_PTR_NULL(flt_find(&f, "a"));
	CU_ASSERT(e->removed);
	flt_unref(&f, e);
	flt_free(&f);
}

/*
 * Guards against refusing all requests for two seconds after an outage of the
 * store. When the store returns, the list entries of live endpoints have
 * expired; the endpoints register again within two seconds, but had been
 * removed as soon as they were missing.
 */
static void endpoints_have_a_grace_period_after_an_outage(void)
{
	struct flt f;
	struct flt_endpoint *a, *b;

	flt_init(&f, NULL);
	a = list_endpoint(&f, "a", "z1", false, 100);
	b = list_endpoint(&f, "b", "z1", false, 100);
	flt_mark_missing(&f, "a", 1000, 1010);
	flt_mark_missing(&f, "b", 1000, 1010);
	CU_ASSERT(flt_usable(a, 2000));
	list_endpoint(&f, "a", "z1", false, 2500);
	flt_expire(&f, 1000 + FLT_LAPSE_GRACE_MS, count_expired, NULL);
	CU_ASSERT_PTR_EQUAL(flt_find(&f, "a"), a);
	CU_ASSERT(flt_usable(a, 5000));
	CU_ASSERT_PTR_NULL(flt_find(&f, "b"));
	(void)b;
	flt_free(&f);
}

/*
 * Guards against a request sent to an endpoint 1.87 s after its entry was
 * removed from the list. The store had refused this instance's calls until two
 * seconds before, so that they were relayed by another entry; the endpoint left
 * without draining and was given a grace period. Only this entry's connection
 * to the store had failed, which is no outage, and the grace period was counted
 * from the removal instead of the store's return.
 */
static void grace_period_starts_at_the_return_of_the_store(void)
{
	struct flt f;
	struct flt_endpoint *e;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 100);
	list_endpoint(&f, "b", "z1", false, 100);
	flt_mark_missing(&f, "a", 0, 5000);
	CU_ASSERT_FALSE(flt_usable(e, 5000));
	e = flt_find(&f, "b");
	flt_mark_missing(&f, "b", 4000, 5500);
	CU_ASSERT(flt_usable(e, 4000 + FLT_LAPSE_GRACE_MS - 1));
	CU_ASSERT_FALSE(flt_usable(e, 4000 + FLT_LAPSE_GRACE_MS));
	flt_free(&f);
}

/* A draining endpoint has no grace period. */
static void draining_endpoint_has_no_grace_period(void)
{
	struct flt f;

	flt_init(&f, NULL);
	list_endpoint(&f, "a", "z1", true, 100);
	flt_mark_missing(&f, "a", 990, 1000);
	flt_expire(&f, 1000, count_expired, NULL);
	CU_ASSERT_PTR_NULL(flt_find(&f, "a"));
	flt_free(&f);
}

static void backoff_doubles_with_each_failure_to_connect(void)
{
	struct flt f;
	struct flt_endpoint *e;
	int64_t first, second;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 0);
	flt_record_outcome(e, FLT_UNREACHABLE, 1000);
	first = e->backoff_until_ms - 1000;
	CU_ASSERT_FALSE(flt_usable(e, 1001));
	CU_ASSERT(flt_usable(e, e->backoff_until_ms));
	flt_record_outcome(e, FLT_UNREACHABLE, 2000);
	second = e->backoff_until_ms - 2000;
	CU_ASSERT_EQUAL(second, 2 * first);
	flt_record_outcome(e, FLT_GOOD, 5000);
	flt_record_outcome(e, FLT_UNREACHABLE, 6000);
	CU_ASSERT_EQUAL(e->backoff_until_ms - 6000, first);
	flt_free(&f);
}

static void failure_rate_decays(void)
{
	struct flt f;
	struct flt_endpoint *e;
	int i;

	flt_init(&f, NULL);
	e = list_endpoint(&f, "a", "z1", false, 0);
	for (i = 0; i < 20; i++)
		flt_record_outcome(e, FLT_FAILED, 1000 + i);
	CU_ASSERT(flt_fail_rate(e, 1100) > 0.7);
	CU_ASSERT(flt_fail_rate(e, 15000) < 0.1);
	flt_free(&f);
}

/* ---- Choice of an endpoint ---- */

/* A model of engines that prefill 61.4 tokens per ms. */
static const struct svc *model(void)
{
	static struct svc s;

	svc_init(&s, "llm");
	s.ttft.coef[SVC_FIXED_MS] = 95;
	s.ttft.coef[SVC_PREFILL_MS] = 1000 / 61.4;
	s.ttft.coef[SVC_QUEUE_MS] = 1000 / 61.4;
	s.ttft.coef[SVC_RUNNING_MS] = 5.4;
	s.typical_prefill_tokens = 3200;
	s.run_ms = 45;
	return &s;
}

static struct pick_query query(uint64_t prefix, struct parts *parts)
{
	return (struct pick_query){
		.service = "llm",
		.model = model(),
		.zone = "z1",
		.engine = true,
		.prefix = prefix,
		.shared_tokens = 13300,
		.unshared_tokens = 3700,
		.now_ms = 1000,
		.parts = parts,
	};
}

static void fill(struct flt *f, int n)
{
	char id[16];
	int i;

	flt_init(f, NULL);
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "e%d", i);
		list_endpoint(f, id, "z1", false, 0);
	}
}

static void withheld_endpoints_are_counted_with_the_first_to_return(void)
{
	struct parts none;
	struct flt f;
	struct pick_query q;
	struct pick_result r;

	parts_init(&none);
	fill(&f, 3);
	q = query(0, &none);
	gate_limit_answered(&flt_find(&f, "e0")->gate, 1, 0, 500);
	gate_limit_answered(&flt_find(&f, "e1")->gate, 1, 0, 500);
	gate_set_share(&flt_find(&f, "e1")->gate, 0.5, 500);
	r = pick_endpoint(&f, &q);
	CU_ASSERT_STRING_EQUAL(r.endpoint->info.id, "e2");
	CU_ASSERT_EQUAL(r.candidates, 1);
	CU_ASSERT_EQUAL(r.withheld, 2);
	CU_ASSERT_EQUAL(r.open_ms, 2500);
	q.now_ms = 2500;
	r = pick_endpoint(&f, &q);
	CU_ASSERT_EQUAL(r.candidates, 2);
	CU_ASSERT_EQUAL(r.withheld, 1);
	/* Also those at which the request was tried before. */
	q.excluded[q.nr_excluded++] = flt_find(&f, "e2");
	gate_wait(&flt_find(&f, "e2")->gate, 4000);
	r = pick_endpoint(&f, &q);
	CU_ASSERT_EQUAL(r.candidates, 1);
	CU_ASSERT_EQUAL(r.withheld, 2);
	CU_ASSERT_EQUAL(r.waiting, 1);
	q.service = "other";
	r = pick_endpoint(&f, &q);
	CU_ASSERT_EQUAL(r.withheld, 0);
	flt_free(&f);
}

/*
 * Entries with the same list of endpoints, in any order, choose the same
 * endpoint for a shared prompt part.
 */
static void entries_agree_on_the_endpoint_of_a_shared_part(void)
{
	struct parts none;
	struct flt a, b;
	uint64_t prefix;
	int spread[8] = { 0 }, i;

	parts_init(&none);
	fill(&a, 8);
	flt_init(&b, NULL);
	for (i = 7; i >= 0; i--) {
		char id[16];

		snprintf(id, sizeof(id), "e%d", i);
		list_endpoint(&b, id, "z1", false, 0);
	}
	for (prefix = 1; prefix <= 400; prefix++) {
		const struct pick_query q = query(prefix, &none);
		const char *x = pick_endpoint(&a, &q).endpoint->info.id;
		const char *y = pick_endpoint(&b, &q).endpoint->info.id;

		CU_ASSERT_STRING_EQUAL(x, y);
		spread[x[1] - '0']++;
	}
	for (i = 0; i < 8; i++)
		CU_ASSERT(spread[i] > 20 && spread[i] < 90);
	flt_free(&a);
	flt_free(&b);
}

/*
 * Traffic with one popular shared part. Prefill of its 13,300 tokens takes an
 * endpoint 217 ms, so requests go to other endpoints when the wait at the
 * part's first choice exceeds that, and not before.
 */
static void spills_when_waiting_costs_more_than_prefill(void)
{
	struct parts none;
	struct flt f;
	struct pick_query q;
	struct flt_endpoint *preferred;

	parts_init(&none);
	fill(&f, 6);
	q = query(42, &none);
	preferred = pick_endpoint(&f, &q).endpoint;
	preferred->peer_prefill_tokens = 5000;
	CU_ASSERT_PTR_EQUAL(pick_endpoint(&f, &q).endpoint, preferred);
	preferred->peer_prefill_tokens = 40000;
	CU_ASSERT_PTR_NOT_EQUAL(pick_endpoint(&f, &q).endpoint, preferred);
	flt_free(&f);
}

/*
 * An endpoint prefills half of the time, each prompt for less than the interval
 * of load reports, so that every second report shows none.
 */
static void intermittent_prefill_of_peers_is_averaged(void)
{
	struct flt_endpoint e = { .removed = false };
	int i;

	for (i = 0; i < 100; i++) {
		e.reported_prefill_tokens = i % 2 ? 10000 : 0;
		flt_smooth_peer_prefill(&e, 0.9);
	}
	CU_ASSERT_DOUBLE_EQUAL(e.peer_prefill_tokens, 5000, 600);
	e.reported_prefill_tokens = 0;
	for (i = 0; i < 50; i++)
		flt_smooth_peer_prefill(&e, 0.9);
	CU_ASSERT(e.peer_prefill_tokens < 100);
}

static void shared_part_is_routed_to_where_it_was_sent(void)
{
	struct parts parts;
	struct flt f;
	struct pick_query q;
	struct flt_endpoint *preferred, *other;

	parts_init(&parts);
	fill(&f, 6);
	q = query(42, &parts);
	preferred = pick_endpoint(&f, &q).endpoint;
	other = flt_find(&f, strcmp(preferred->info.id, "e0") ? "e0" : "e1");
	parts_record(&parts, 42, other->hash, 900);
	preferred->peer_running = 10;
	CU_ASSERT_PTR_EQUAL(pick_endpoint(&f, &q).endpoint, other);
	q.now_ms = 900 + PARTS_CACHED_MS;
	CU_ASSERT_FALSE(parts_likely_cached(&parts, 42, other->hash, q.now_ms));
	flt_free(&f);
}

/*
 * An endpoint answers with errors although its health check succeeds. It gets
 * only the few requests that show whether it has recovered.
 */
static void failing_endpoint_is_avoided(void)
{
	struct flt f;
	struct flt_endpoint *bad;
	struct pick_query q = {
		.service = "llm", .model = model(), .zone = "z1", .now_ms = 1000
	};
	int to_bad = 0, i;

	fill(&f, 4);
	bad = flt_find(&f, "e2");
	for (i = 0; i < 200; i++) {
		struct flt_endpoint *e = pick_endpoint(&f, &q).endpoint;

		to_bad += e == bad;
		flt_record_outcome(e, e == bad ? FLT_FAILED : FLT_GOOD,
				   q.now_ms);
		e->running++; /* alternates between equal endpoints */
		if (e->running > 5)
			e->running = 0;
		q.now_ms += 20;
	}
	CU_ASSERT(to_bad >= 1);
	CU_ASSERT(to_bad < 20);
	flt_free(&f);
}

/*
 * Returns the highest number of requests sent to one endpoint when 24 entries
 * send one request each without knowing of each other's requests.
 */
static int max_requests_per_endpoint(bool sampled)
{
	int sent[30] = { 0 }, max = 0, entry, i;
	struct parts none;

	parts_init(&none);
	for (entry = 0; entry < 24; entry++) {
		struct pick_query q = query(0, &none);
		struct flt_endpoint *e;
		struct flt f;

		q.shared_tokens = 0;
		fill(&f, 30);
		cds_list_for_each_entry(e, &f.endpoints, node)
			e->peer_running = strcmp(e->info.id, "e7") ? 3 : 0;
		q.sending_peers = 23;
		q.sample_seed = sampled ? (uint64_t)entry + 1 : 0;
		sent[atoi(pick_endpoint(&f, &q).endpoint->info.id + 1)]++;
		flt_free(&f);
	}
	for (i = 0; i < 30; i++)
		max = sent[i] > max ? sent[i] : max;
	return max;
}

/* Guards against all entries picking the same idle endpoint. */
static void idle_endpoint_is_not_overloaded(void)
{
	CU_ASSERT_EQUAL(max_requests_per_endpoint(false), 24);
	CU_ASSERT(max_requests_per_endpoint(true) <= 12);
}

/* Guards against missing the cheapest endpoint when few peers send. */
static void few_sending_peers_consider_all_endpoints(void)
{
	struct parts none;
	uint64_t seed;
	struct flt f;

	parts_init(&none);
	fill(&f, 40);
	flt_find(&f, "e7")->peer_running = -1;
	for (seed = 1; seed <= 200; seed++) {
		struct pick_query q = query(0, &none);

		q.sending_peers = 5;
		q.sample_seed = seed;
		CU_ASSERT_STRING_EQUAL(pick_endpoint(&f, &q).endpoint->info.id,
				       "e7");
	}
	flt_free(&f);
}

/* Guards against a sampled pick that returns no endpoint. */
static void sampled_pick_returns_an_endpoint(void)
{
	struct parts none;
	uint64_t seed;
	struct flt f;

	parts_init(&none);
	fill(&f, 40);
	for (seed = 1; seed <= 30000; seed++) {
		struct pick_query q = query(0, &none);

		q.sending_peers = 50;
		q.sample_seed = seed;
		CU_ASSERT_PTR_NOT_NULL(pick_endpoint(&f, &q).endpoint);
	}
	flt_free(&f);
}

/* Guards against versions that count as one as their long names begin alike. */
static void long_names_of_versions_stay_different(void)
{
	char name[200], a[FLT_NAME], b[FLT_NAME];

	memset(name, 'x', sizeof(name));
	name[FLT_NAME - 1] = '\0';
	flt_copy_version(a, name);
	CU_ASSERT_STRING_EQUAL(a, name);
	name[FLT_NAME - 1] = 'x';
	name[sizeof(name) - 1] = '\0';
	flt_copy_version(a, name);
	name[sizeof(name) - 2] = 'y';
	flt_copy_version(b, name);
	CU_ASSERT_EQUAL(strlen(a), FLT_NAME - 1);
	CU_ASSERT(strcmp(a, b) != 0);
	CU_ASSERT(flt_version(a) != flt_version(b));
}

/*
 * Guards against streams that go on at another version than the one that began
 * them, whichever version is rolled out.
 */
static void bound_requests_go_to_their_version_only(void)
{
	static const struct {
		const char *version;
		enum flt_use use;
		bool picked;
	} cases[] = {
		{ "v1", FLT_IN_USE, true },   { "v1", FLT_ON_TRIAL, true },
		{ "v1", FLT_WITHHELD, true }, { "v1", FLT_REJECTED, false },
		{ "v2", FLT_IN_USE, false },  { "v2", FLT_ON_TRIAL, false },
		{ "", FLT_IN_USE, false },    { "v1.1", FLT_IN_USE, false },
	};
	struct flt_info info = { .id = "i-1",
				 .service = "llm",
				 .address = "10.0.0.1:80",
				 .zone = "z1",
				 .slots = 8 };
	enum flt_change change;
	struct parts none;
	size_t i;

	parts_init(&none);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct pick_query q = query(0, &none);
		struct flt f;

		flt_init(&f, NULL);
		str_copy(info.version, cases[i].version, sizeof(info.version));
		flt_upsert(&f, &info, 1, &change)->use = cases[i].use;
		q.bound = true;
		q.version = flt_version("v1");
		CU_ASSERT_EQUAL(pick_endpoint(&f, &q).endpoint != NULL,
				cases[i].picked);
		flt_free(&f);
	}
}

/* Guards against new streams that take the places of a version with few ones. */
static void new_streams_prefer_versions_with_more_endpoints(void)
{
	struct flt_info info = { .service = "llm", .zone = "z1", .slots = 8 };
	static const char *const versions[] = { "v1", "v2", "v2" };
	struct pick_query q;
	enum flt_change change;
	struct parts none;
	struct flt f;
	size_t i;

	parts_init(&none);
	flt_init(&f, NULL);
	for (i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		snprintf(info.id, sizeof(info.id), "e%zu", i);
		str_copy(info.version, versions[i], sizeof(info.version));
		flt_upsert(&f, &info, 1, &change);
	}
	q = query(0, &none);
	CU_ASSERT_STRING_EQUAL(pick_endpoint(&f, &q).endpoint->info.id, "e0");
	q.stream = true;
	CU_ASSERT_STRING_EQUAL(pick_endpoint(&f, &q).endpoint->info.id, "e1");
	q.bound = true;
	q.version = flt_version("v1");
	CU_ASSERT_STRING_EQUAL(pick_endpoint(&f, &q).endpoint->info.id, "e0");
	flt_free(&f);
}

static void excluded_and_unusable_endpoints_are_not_picked(void)
{
	struct flt f;
	struct pick_query q = {
		.service = "llm", .model = model(), .zone = "z1", .now_ms = 1000
	};
	int i;

	fill(&f, 3);
	list_endpoint(&f, "e1", "z1", true, 10);
	q.excluded[q.nr_excluded++] = flt_find(&f, "e0");
	for (i = 0; i < 5; i++)
		CU_ASSERT_STRING_EQUAL(pick_endpoint(&f, &q).endpoint->info.id,
				       "e2");
	q.excluded[q.nr_excluded++] = flt_find(&f, "e2");
	CU_ASSERT_PTR_NULL(pick_endpoint(&f, &q).endpoint);
	q.service = "other";
	CU_ASSERT_PTR_NULL(pick_endpoint(&f, &q).endpoint);
	flt_free(&f);
}

/*
 * A store restored from an older copy may still list removed endpoints. Guards
 * against adding them again.
 */
static void removed_endpoints_are_remembered(void)
{
	struct flt_info info = { .id = "a", .time_left_ms = -1 };
	struct flt f;
	unsigned i;

	flt_init(&f, NULL);
	list_endpoint(&f, "a", "north", false, 100);
	CU_ASSERT_FALSE(flt_was_removed(&f, &info, 100));
	flt_mark_missing(&f, "a", 0, 200);
	flt_expire(&f, 200, count_expired, NULL);
	CU_ASSERT(flt_was_removed(&f, &info, 300));
	CU_ASSERT_FALSE(flt_was_removed(&f, &info, 201 + FLT_REMOVED_KEEP_MS));
	/* A restart under the same id is a new endpoint. */
	info.started_ms = 7;
	CU_ASSERT_FALSE(flt_was_removed(&f, &info, 300));
	info.started_ms = 0;
	for (i = 0; i < FLT_MAX_REMOVED; i++) {
		char id[16];

		snprintf(id, sizeof(id), "b%u", i);
		list_endpoint(&f, id, "north", false, 300);
		flt_remove(&f, id, 300);
	}
	CU_ASSERT_FALSE(flt_was_removed(&f, &info, 300));
	flt_free(&f);
}

static const struct unit_test tests[] = {
	{ "removed endpoints are remembered",
	  removed_endpoints_are_remembered },
	{ "draining is final", draining_is_final },
	{ "restarts replace an endpoint", restarts_replace_an_endpoint },
	{ "statements outlast the list entry",
	  statements_outlast_the_list_entry },
	{ "leaving outlasts the list entry", leaving_outlasts_the_list_entry },
	{ "statements after the removal count",
	  statements_after_the_removal_count },
	{ "statements of removed endpoints are bounded",
	  statements_of_removed_endpoints_are_bounded },
	{ "withheld endpoints are counted, with the first to return",
	  withheld_endpoints_are_counted_with_the_first_to_return },
	{ "a restart under the same id has fresh state",
	  restart_under_the_same_id_has_fresh_state },
	{ "an unreadable entry removes the endpoint",
	  unreadable_entry_removes_the_endpoint },
	{ "a removed endpoint is leaving from its removal on",
	  removed_endpoint_is_leaving_from_its_removal_on },
	{ "a missing endpoint is removed if the store is available",
	  missing_endpoint_is_removed_if_the_store_is_available },
	{ "endpoints have a grace period after an outage",
	  endpoints_have_a_grace_period_after_an_outage },
	{ "the grace period starts at the return of the store",
	  grace_period_starts_at_the_return_of_the_store },
	{ "a draining endpoint has no grace period",
	  draining_endpoint_has_no_grace_period },
	{ "backoff doubles with each failure to connect",
	  backoff_doubles_with_each_failure_to_connect },
	{ "the failure rate decays", failure_rate_decays },
	{ "entries agree on the endpoint of a shared part",
	  entries_agree_on_the_endpoint_of_a_shared_part },
	{ "spills when waiting costs more than prefill",
	  spills_when_waiting_costs_more_than_prefill },
	{ "intermittent prefill of peers is averaged",
	  intermittent_prefill_of_peers_is_averaged },
	{ "a shared part is routed to where it was sent",
	  shared_part_is_routed_to_where_it_was_sent },
	{ "a failing endpoint is avoided", failing_endpoint_is_avoided },
	{ "an idle endpoint is not overloaded",
	  idle_endpoint_is_not_overloaded },
	{ "few sending peers consider all endpoints",
	  few_sending_peers_consider_all_endpoints },
	{ "a sampled pick returns an endpoint",
	  sampled_pick_returns_an_endpoint },
	{ "long names of versions stay different",
	  long_names_of_versions_stay_different },
	{ "bound requests go to their version only",
	  bound_requests_go_to_their_version_only },
	{ "new streams prefer versions with more endpoints",
	  new_streams_prefer_versions_with_more_endpoints },
	{ "excluded and unusable endpoints are not picked",
	  excluded_and_unusable_endpoints_are_not_picked },
};

UNIT_MAIN("flt", tests)
