/* Gossip datagrams: encoding and echoes; which peers count as running. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "member/prs.h"
#include "member/rows.h"
#include "store/ver.h"
#include "support/unit.h"

static struct gsp_record outgoing, incoming;

static void fill(struct gsp_record *r, const char *name, uint32_t seq)
{
	memset(r, 0, sizeof(*r));
	str_copy(r->name, name, GSP_NAME_SIZE);
	r->boot = 77;
	r->seq = seq;
	r->stamp_ms = 123456;
	r->true_ms = 1780000000000;
	r->accepting = true;
	r->cfg_version = 12;
	r->cfg_confirmed_age_ms = 340;
	r->nr_demands = 1;
	str_copy(r->demands[0].account, "one", GSP_NAME_SIZE);
	r->demands[0].per_s = 1234.5;
	r->nr_loads = 2;
	r->loads[1] = (struct gsp_load){ 99, 3, 5000 };
	r->nr_tallies = 1;
	r->tallies[0] = (struct gsp_tally){ 21, { 22, 3, 40, 39, 5, 6, 7 } };
	r->nr_rolled_back = 1;
	r->rolled_back[0] = 23;
	r->nr_services = 1;
	r->services[0].prefill_tokens_per_s = 152000;
	r->services[0].estimates = (struct svc_snapshot){
		.service = 42,
		.ttft_samples = 200,
		.ttft = { 40, 16.5, 12, 3 },
		.ttft_error = 20,
		.itl_samples = 90,
		.itl = { 25, 2 },
		.itl_error = 4,
		.run_ms = 1150,
		.run_samples = 50,
	};
	r->nr_counts = 1;
	r->counts[0].source = 5;
	r->counts[0].window = 355;
	r->counts[0].runs = 17;
	str_copy(r->counts[0].account, "two", GSP_NAME_SIZE);
	r->store_era = 3;
	r->nr_fatal = 1;
	r->fatal[0] = (struct fatal_gossip){
		.key = { 7, 8 },
		.nr_crashes = 2,
		.crashes = { { 11, 1500, 150, false }, { 12, 20, 30, true } },
		.running_at = 13,
	};
	r->role = GSP_LEAF;
	r->wants_members = true;
	r->core_requests_per_s = 620;
	r->group = 3;
	r->part = 2;
	r->last_part = true;
	r->nr_members = 1;
	r->members[0] = (struct gsp_member){ 31, 250, true, false };
	r->nr_statements = 1;
	r->statements[0] = (struct gsp_statement){ 41, 0.1, 350, true };
}

static void record_round_trips(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&outgoing, "edge-1", 4);
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT(n > 0 && n < 700);
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT_STRING_EQUAL(incoming.name, "edge-1");
	CU_ASSERT_EQUAL(incoming.cfg_confirmed_age_ms, 340);
	CU_ASSERT_EQUAL(incoming.loads[1].prefill_tokens, 5000);
	CU_ASSERT_DOUBLE_EQUAL(incoming.demands[0].per_s, 1234.5, 0.001);
	CU_ASSERT_EQUAL(incoming.counts[0].runs, 17);
	CU_ASSERT_EQUAL(incoming.counts[0].source, 5);
	CU_ASSERT_EQUAL(incoming.nr_services, 1);
	CU_ASSERT_EQUAL(incoming.services[0].estimates.service, 42);
	CU_ASSERT_DOUBLE_EQUAL(incoming.services[0].prefill_tokens_per_s,
			       152000, 1);
	CU_ASSERT_DOUBLE_EQUAL(
		incoming.services[0].estimates.ttft[SVC_PREFILL_MS], 16.5,
		0.001);
	CU_ASSERT_DOUBLE_EQUAL(incoming.services[0].estimates.run_ms, 1150,
			       0.01);
	CU_ASSERT_EQUAL(incoming.store_era, 3);
	CU_ASSERT_EQUAL(incoming.nr_fatal, 1);
	CU_ASSERT(hsh128_equal(incoming.fatal[0].key, (struct hsh128){ 7, 8 }));
	CU_ASSERT_EQUAL(incoming.fatal[0].running_at, 13);
	CU_ASSERT_EQUAL(incoming.fatal[0].crashes[0].age_ms, 1500);
	CU_ASSERT_EQUAL(incoming.fatal[0].crashes[1].weight, 30);
	CU_ASSERT(incoming.fatal[0].crashes[1].cleared);
	CU_ASSERT_EQUAL(incoming.nr_tallies, 1);
	CU_ASSERT_EQUAL(incoming.tallies[0].order, 21);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.route, 22);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.group, 3);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.sent, 40);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.answered, 39);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.failed, 5);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.late, 6);
	CU_ASSERT_EQUAL(incoming.tallies[0].row.broken, 7);
	CU_ASSERT_EQUAL(incoming.nr_rolled_back, 1);
	CU_ASSERT_EQUAL(incoming.rolled_back[0], 23);
}

static void role_members_and_statements_round_trip(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&outgoing, "edge-1", 4);
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT(incoming.has_role);
	CU_ASSERT_EQUAL(incoming.role, GSP_LEAF);
	CU_ASSERT(incoming.wants_members);
	CU_ASSERT_EQUAL(incoming.group, 3);
	CU_ASSERT_EQUAL(incoming.part, 2);
	CU_ASSERT(incoming.last_part);
	CU_ASSERT_DOUBLE_EQUAL(incoming.core_requests_per_s, 620, 0.001);
	CU_ASSERT_EQUAL(incoming.nr_members, 1);
	CU_ASSERT_EQUAL(incoming.members[0].entry, 31);
	CU_ASSERT_EQUAL(incoming.members[0].age_ms, 250);
	CU_ASSERT(incoming.members[0].accepting);
	CU_ASSERT_FALSE(incoming.members[0].store_ok);
	CU_ASSERT_EQUAL(incoming.nr_statements, 1);
	CU_ASSERT_EQUAL(incoming.statements[0].endpoint, 41);
	CU_ASSERT_EQUAL(incoming.statements[0].per_s, 0.1);
	CU_ASSERT_EQUAL(incoming.statements[0].age_ms, 350);
	CU_ASSERT(incoming.statements[0].leaving);
}

/* Guards against flags that are read before they are decoded (SAN=undefined). */
static void record_is_decoded_over_any_content(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&outgoing, "edge-1", 4);
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	memset(&incoming, 0xee, sizeof(incoming));
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT(incoming.last_part && incoming.wants_members);
	CU_ASSERT(incoming.members[0].accepting);
	CU_ASSERT_FALSE(incoming.members[0].store_ok);
	CU_ASSERT(incoming.statements[0].leaving);
	CU_ASSERT_FALSE(incoming.relays || incoming.cut_off);
}

static bool decodes_again(void)
{
	char bytes[GSP_MAX_BYTES];
	const size_t n = gsp_encode(&outgoing, bytes, sizeof(bytes));

	return gsp_decode(&incoming, bytes, n);
}

/*
 * Guards against a datagram that sets an era which no store reaches, so that all
 * answers of the store count as outdated, and against times that overflow.
 */
static void records_out_of_range_are_refused(void)
{
	static const int64_t odd[] = { INT64_MIN, -2, (int64_t)1 << 62,
				       INT64_MAX };
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		fill(&outgoing, "edge-1", 4);
		CU_ASSERT(decodes_again());
		outgoing.store_era = odd[i];
		CU_ASSERT_FALSE(decodes_again());
		fill(&outgoing, "edge-1", 4);
		outgoing.true_ms = odd[i];
		CU_ASSERT_FALSE(decodes_again());
		fill(&outgoing, "edge-1", 4);
		outgoing.cfg_confirmed_age_ms = odd[i];
		CU_ASSERT_FALSE(decodes_again());
		fill(&outgoing, "edge-1", 4);
		outgoing.counts[0].runs = odd[i];
		CU_ASSERT_FALSE(decodes_again());
		fill(&outgoing, "edge-1", 4);
		outgoing.echo_hold_ms = odd[i];
		CU_ASSERT_FALSE(decodes_again());
	}
	fill(&outgoing, "edge-1", 4);
	outgoing.store_era = VER_MAX_ERA;
	outgoing.cfg_confirmed_age_ms = -1;
	CU_ASSERT(decodes_again());
}

/* Guards against a cut entry that is taken for a relay after an upgrade. */
static void relays_and_cuts_round_trip(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n, with;

	fill(&outgoing, "edge-1", 4);
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	outgoing.relays = outgoing.cut_off = true;
	gsp_set_member(outgoing.members_cut_off, 0);
	with = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT(gsp_decode(&incoming, bytes, with));
	CU_ASSERT(incoming.relays);
	CU_ASSERT(incoming.cut_off);
	CU_ASSERT(gsp_has_member(incoming.members_cut_off, 0));
	CU_ASSERT_FALSE(gsp_has_member(incoming.members_relay, 0));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, with - 1));
	/* A datagram of an earlier release. */
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT_FALSE(incoming.relays);
	CU_ASSERT_FALSE(incoming.cut_off);
}

/*
 * Guards against a load that is taken for another field, or for zero, while
 * entries of two releases run side by side.
 */
static void offered_loads_and_speeds_round_trip(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n, with;

	fill(&outgoing, "edge-1", 4);
	outgoing.relays = true;
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	outgoing.has_capacity = true;
	outgoing.services[0].offered =
		(struct ofd_report){ 12.5, 4096, 19.5, 30 };
	outgoing.nr_speeds = 1;
	outgoing.speeds[0] = (struct gsp_speed){ 51, 1.75, 0.25, 8, 900 };
	outgoing.nr_rollouts = 1;
	outgoing.rollouts[0] = (struct gsp_rollout){ 61, 2, 0.5 };
	with = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT(gsp_decode(&incoming, bytes, with));
	CU_ASSERT(incoming.has_capacity);
	CU_ASSERT_EQUAL(incoming.services[0].offered.requests_per_s, 12.5);
	CU_ASSERT_EQUAL(incoming.services[0].offered.prefill_per_s, 4096);
	CU_ASSERT_EQUAL(incoming.services[0].offered.prefill_ms, 19.5);
	CU_ASSERT_EQUAL(incoming.services[0].offered.samples, 30);
	CU_ASSERT_EQUAL(incoming.nr_speeds, 1);
	CU_ASSERT_EQUAL(incoming.speeds[0].endpoint, 51);
	CU_ASSERT_EQUAL(incoming.speeds[0].time_factor, 1.75);
	CU_ASSERT_EQUAL(incoming.speeds[0].pause_rate, 0.25);
	CU_ASSERT_EQUAL(incoming.speeds[0].samples, 8);
	CU_ASSERT_EQUAL(incoming.speeds[0].age_ms, 900);
	CU_ASSERT_EQUAL(incoming.rollouts[0].order, 61);
	CU_ASSERT_EQUAL(incoming.rollouts[0].stage, 2);
	CU_ASSERT_EQUAL(incoming.rollouts[0].share, 0.5);
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, with - 1));
	/* A datagram of an earlier release. */
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT_FALSE(incoming.has_capacity);
	CU_ASSERT_EQUAL(incoming.nr_speeds, 0);
	/* A NaN would spread to all sums and predictions. */
	outgoing.speeds[0].time_factor = NAN;
	with = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, with));
}

/* Bytes of the role and of what else follows it, without members. */
#define ROLE_BYTES (6 * sizeof(uint32_t) + sizeof(double))

/* Length of the datagram without statements. */
static size_t length_before_statements(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&outgoing, "edge-1", 4);
	outgoing.nr_statements = 0;
	return gsp_encode(&outgoing, bytes, sizeof(bytes));
}

/* Length of the datagram without the role and what follows it. */
static size_t length_before_role(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&outgoing, "edge-1", 4);
	outgoing.nr_members = 0;
	outgoing.nr_statements = 0;
	return gsp_encode(&outgoing, bytes, sizeof(bytes)) - ROLE_BYTES;
}

/* Length of the datagram without the fields from those of roll-outs on. */
static size_t length_before_rollouts(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&outgoing, "edge-1", 4);
	outgoing.nr_tallies = 0;
	outgoing.nr_rolled_back = 0;
	outgoing.nr_members = 0;
	outgoing.nr_statements = 0;
	return gsp_encode(&outgoing, bytes, sizeof(bytes)) - ROLE_BYTES -
	       2 * sizeof(uint32_t);
}

/* Length of the datagram without the fields from the store era on. */
static size_t length_before_era(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&outgoing, "edge-1", 4);
	outgoing.nr_fatal = 0;
	outgoing.nr_tallies = 0;
	outgoing.nr_rolled_back = 0;
	outgoing.nr_members = 0;
	outgoing.nr_statements = 0;
	return gsp_encode(&outgoing, bytes, sizeof(bytes)) - ROLE_BYTES -
	       3 * sizeof(uint32_t) - sizeof(int64_t);
}

/* Releases run side by side while the fleet is upgraded. */
static void datagrams_of_earlier_releases_decode(void)
{
	const size_t earlier = length_before_era();
	char bytes[GSP_MAX_BYTES];

	fill(&outgoing, "edge-1", 4);
	CU_ASSERT(gsp_encode(&outgoing, bytes, sizeof(bytes)) > earlier);
	CU_ASSERT(gsp_decode(&incoming, bytes, earlier));
	CU_ASSERT_EQUAL(incoming.nr_fatal, 0);
	CU_ASSERT_EQUAL(incoming.counts[0].runs, 17);
	CU_ASSERT(gsp_decode(&incoming, bytes, length_before_rollouts()));
	CU_ASSERT_EQUAL(incoming.nr_tallies, 0);
	CU_ASSERT_EQUAL(incoming.nr_rolled_back, 0);
	CU_ASSERT(incoming.nr_fatal > 0);
	CU_ASSERT(gsp_decode(&incoming, bytes, length_before_role()));
	CU_ASSERT_FALSE(incoming.has_role);
	CU_ASSERT_EQUAL(incoming.role, GSP_CORE);
	CU_ASSERT_EQUAL(incoming.nr_members, 0);
	CU_ASSERT(incoming.nr_rolled_back > 0);
	CU_ASSERT(gsp_decode(&incoming, bytes, length_before_statements()));
	CU_ASSERT(incoming.has_role);
	CU_ASSERT_EQUAL(incoming.nr_statements, 0);
	CU_ASSERT(incoming.nr_members > 0);
}

/*
 * Truncated, altered or foreign datagrams are rejected or decode within the
 * bounds of a record.
 */
static void corrupt_datagrams_are_rejected_or_valid(void)
{
	const size_t earlier = length_before_era();
	const size_t before_rollouts = length_before_rollouts();
	const size_t before_role = length_before_role();
	const size_t before_statements = length_before_statements();
	char bytes[GSP_MAX_BYTES], bad[GSP_MAX_BYTES];
	struct rnd rnd;
	size_t n, k;
	int round;

	rnd_seed(&rnd, 9);
	fill(&outgoing, "edge-1", 4);
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	for (k = 0; k < n; k += 4)
		CU_ASSERT_EQUAL(gsp_decode(&incoming, bytes, k),
				k == earlier || k == before_rollouts ||
					k == before_role ||
					k == before_statements);
	for (round = 0; round < 3000; round++) {
		memcpy(bad, bytes, n);
		for (k = 0; k < 1 + rnd_below(&rnd, 4); k++)
			bad[rnd_below(&rnd, (uint32_t)n)] ^=
				(char)(1 << rnd_below(&rnd, 8));
		if (!gsp_decode(&incoming, bad, n))
			continue;
		CU_ASSERT(incoming.nr_counts <= GSP_MAX_COUNTS);
		CU_ASSERT(incoming.nr_services <= GSP_MAX_SERVICES);
		CU_ASSERT(incoming.nr_fatal <= FATAL_MAX_GOSSIP);
		CU_ASSERT(incoming.nr_tallies <= GSP_MAX_TALLIES);
		CU_ASSERT(incoming.nr_rolled_back <= GSP_MAX_ROLLED_BACK);
		CU_ASSERT(incoming.nr_members <= GSP_MAX_MEMBERS);
		CU_ASSERT(incoming.nr_statements <= GSP_MAX_STATEMENTS);
		CU_ASSERT(strlen(incoming.name) < GSP_NAME_SIZE);
	}
	CU_ASSERT_FALSE(gsp_decode(&incoming, "", 0));
}

/*
 * Guards against a NaN as the number of endpoints to order: a flipped bit in a
 * datagram made a rate NaN, which was added to the other entries' rates.
 */
static void invalid_rates_are_rejected(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&outgoing, "edge-1", 4);
	outgoing.services[0].prefill_tokens_per_s = NAN;
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, n));
	fill(&outgoing, "edge-1", 4);
	outgoing.demands[0].per_s = INFINITY;
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, n));
	fill(&outgoing, "edge-1", 4);
	outgoing.services[0].prefill_tokens_per_s = -1;
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, n));
	fill(&outgoing, "edge-1", 4);
	outgoing.statements[0].per_s = NAN;
	n = gsp_encode(&outgoing, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&incoming, bytes, n));
}

/* A record with many rows fits; one that does not fit is not encoded. */
static void full_record_is_bounded(void)
{
	char bytes[GSP_MAX_BYTES];
	unsigned i;

	fill(&outgoing, "edge-1", 4);
	outgoing.nr_loads = GSP_MAX_LOADS;
	outgoing.nr_counts = GSP_MAX_COUNTS;
	outgoing.nr_services = GSP_MAX_SERVICES;
	outgoing.nr_statements = GSP_MAX_STATEMENTS;
	for (i = 0; i < GSP_MAX_COUNTS; i++)
		str_copy(outgoing.counts[i].account, "account", GSP_NAME_SIZE);
	CU_ASSERT(gsp_encode(&outgoing, bytes, sizeof(bytes)) > 0);
	CU_ASSERT_EQUAL(gsp_encode(&outgoing, bytes, 100), 0);
}

static struct prs_peer *register_peer(struct prs *p, const char *name)
{
	struct prs_info info;

	memset(&info, 0, sizeof(info));
	str_copy(info.name, name, sizeof(info.name));
	str_copy(info.peer_address, "127.0.0.1:7600",
		 sizeof(info.peer_address));
	return prs_register(p, &info, 0);
}

#define LONG_NAME \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/*
 * Guards against an entry that replaces another one because its name is cut, and
 * against addresses at which nobody can be, which clients would be given.
 */
static void odd_registrations_name_no_entry(void)
{
	static const char good[] =
		"{\"zone\":\"z\",\"callers\":\"10.0.0.1:80\","
		"\"peers\":\"10.0.0.1:81\"}";
	static const char *const bad[] = {
		"",
		"[]",
		"null",
		"{}",
		"{\"zone\":\"z\",\"callers\":\"10.0.0.1:80\"}",
		"{\"zone\":\"z\",\"peers\":\"10.0.0.1:81\"}",
		"{\"zone\":\"z\",\"callers\":7,\"peers\":\"10.0.0.1:81\"}",
		"{\"zone\":\"z\",\"callers\":\"10.0.0.1:0\","
		"\"peers\":\"10.0.0.1:81\"}",
		"{\"zone\":\"z\",\"callers\":\"10.0.0.1:80\","
		"\"peers\":\"10.0.0.1:65536\"}",
		"{\"zone\":\"z\",\"callers\":\"10.0.0.1:80\","
		"\"peers\":\"0.0.0.0:81\"}",
		"{\"zone\":\"" LONG_NAME "\",\"callers\":\"10.0.0.1:80\","
		"\"peers\":\"10.0.0.1:81\"}",
	};
	struct prs_info info;
	size_t i;

	CU_ASSERT(prs_decode("edge-2", good, strlen(good), &info));
	CU_ASSERT_STRING_EQUAL(info.name, "edge-2");
	CU_ASSERT_STRING_EQUAL(info.zone, "z");
	CU_ASSERT_STRING_EQUAL(info.client_address, "10.0.0.1:80");
	CU_ASSERT_STRING_EQUAL(info.peer_address, "10.0.0.1:81");
	CU_ASSERT_FALSE(prs_decode("", good, strlen(good), &info));
	CU_ASSERT_FALSE(prs_decode(LONG_NAME, good, strlen(good), &info));
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_FALSE(
			prs_decode("edge-2", bad[i], strlen(bad[i]), &info));
}

static void only_newer_datagrams_of_known_entries_count(void)
{
	struct prs p;

	prs_init(&p);
	fill(&outgoing, "edge-1", 4);
	CU_ASSERT_PTR_NULL(prs_receive(&p, &outgoing, 1000, 0));
	register_peer(&p, "edge-1");
	CU_ASSERT_PTR_NOT_NULL(prs_receive(&p, &outgoing, 1000, 0));
	CU_ASSERT_PTR_NULL(prs_receive(&p, &outgoing, 1001, 0));
	outgoing.seq = 3;
	CU_ASSERT_PTR_NULL(prs_receive(&p, &outgoing, 1002, 0));
	/* Sequence numbers start again with a new boot. */
	outgoing.boot = 78;
	CU_ASSERT_PTR_NOT_NULL(prs_receive(&p, &outgoing, 1003, 0));
	prs_free(&p);
}

/*
 * Guards against a revoked API key that still works on an entry whose process
 * was frozen. A peer's datagram "version 5 is the newest, confirmed 100 ms ago"
 * stayed in the receive buffer during six seconds of a freeze, and its age was
 * then counted from when it was read. The echo of the receiver's own timestamp
 * bounds when it was sent.
 */
static void config_age_counts_from_own_stamp(void)
{
	struct prs p;
	struct prs_peer *peer;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	/* The peer received our stamp of 5000 and replied after 50 ms. */
	fill(&outgoing, "edge-1", 4);
	outgoing.cfg_confirmed_age_ms = 100;
	outgoing.echo_boot = 42;
	outgoing.echo_stamp_ms = 5000;
	outgoing.echo_hold_ms = 50;
	CU_ASSERT_EQUAL(prs_config_confirmed_ms(&outgoing, 42), 4950);
	/* An echo of another process, or of ours before a restart: unknown. */
	CU_ASSERT_EQUAL(prs_config_confirmed_ms(&outgoing, 43), 0);
	outgoing.cfg_confirmed_age_ms = -1;
	CU_ASSERT_EQUAL(prs_config_confirmed_ms(&outgoing, 42), 0);
	/* The echo that we send. */
	fill(&outgoing, "edge-1", 5);
	prs_receive(&p, &outgoing, 9000, 0);
	prs_address(peer, &incoming, 9080);
	CU_ASSERT_EQUAL(incoming.echo_boot, 77);
	CU_ASSERT_EQUAL(incoming.echo_stamp_ms, 123456);
	CU_ASSERT_EQUAL(incoming.echo_hold_ms, 80);
	prs_free(&p);
}

/*
 * An entry whose registration expired while the store was unreachable is alive
 * as long as its datagrams arrive, and shares the limits while it may be
 * running.
 */
static void live_entries_outlive_their_registration(void)
{
	struct prs p;
	struct prs_peer *peer;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	register_peer(&p, "edge-2");
	CU_ASSERT_EQUAL(prs_count_running(&p, 0), 3);
	fill(&outgoing, "edge-1", 4);
	prs_receive(&p, &outgoing, 1000, 0);
	prs_unregister(&p, "edge-1", 1100);
	prs_unregister(&p, "edge-2", 1100);
	CU_ASSERT(prs_alive(peer, 1500));
	CU_ASSERT_EQUAL(prs_count_running(&p, 1500), 2);
	CU_ASSERT_FALSE(prs_alive(peer, 1000 + PRS_ALIVE_MS));
	prs_expire(&p, 1101 + PRS_EXPIRE_MS);
	CU_ASSERT_EQUAL(p.count, 0);
	prs_free(&p);
}

/*
 * Guards against a usage report that lacks the counts of most entries: the duty
 * holder had just changed, and the other entries' datagrams arrived but did not
 * contain counts yet. A datagram since the window's end is no proof that the
 * counts were sent since then.
 */
static void datagram_without_counts_is_no_report(void)
{
	struct prs_peer *peer;
	struct prs p;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	fill(&outgoing, "edge-1", 4);
	outgoing.with_counts = true;
	outgoing.part = 0;
	prs_receive(&p, &outgoing, 1000, 0);
	CU_ASSERT_EQUAL(peer->counts_true_ms, outgoing.true_ms);
	fill(&incoming, "edge-1", 5);
	incoming.true_ms += 900;
	CU_ASSERT_PTR_NOT_NULL(prs_receive(&p, &incoming, 1900, 0));
	CU_ASSERT_EQUAL(peer->counts_true_ms, outgoing.true_ms);
	prs_free(&p);
}

/* ---- State in several datagrams ---- */

#define NR_ACCOUNTS 700
#define NR_WINDOWS 3

static struct rows rows;

static void fill_rows(size_t name_len)
{
	char name[GSP_NAME_SIZE];
	int i, window;

	rows_clear(&rows);
	for (i = 0; i < NR_ACCOUNTS; i++) {
		memset(name, 'x', sizeof(name));
		snprintf(name + name_len - 4, 5, "%04d", i);
		rows_add_demand(&rows, name, i + 1);
		for (window = 0; window < NR_WINDOWS; window++)
			rows_add_count(&rows, 5, window, name, i + 1);
	}
}

/*
 * Sends a group of datagrams to `peer` of `p`, but for number `lost` (-1:
 * none). Returns the sum of the counts that arrived.
 */
static int64_t send_group(struct prs *p, uint32_t *seq, int lost)
{
	const struct rows_filter all = { true, true, true };
	struct rows_cursor at = { 0 };
	char bytes[GSP_MAX_BYTES];
	int64_t runs = 0;
	unsigned i;
	size_t n;

	fill(&outgoing, "edge-1", 0);
	outgoing.role = GSP_CORE;
	outgoing.group = *seq + 1;
	outgoing.with_counts = true;
	for (;;) {
		outgoing.seq = ++*seq;
		n = rows_encode(&rows, &all, &at, &outgoing, bytes,
				sizeof(bytes));
		if (!n)
			break;
		if ((int)at.part - 1 == lost)
			continue;
		CU_ASSERT(gsp_decode(&incoming, bytes, n));
		CU_ASSERT_PTR_NOT_NULL(prs_receive(p, &incoming, 1000, 0));
		for (i = 0; i < incoming.nr_counts; i++)
			runs += incoming.counts[i].runs;
	}
	CU_ASSERT_EQUAL(rows_left(&rows, &all, &at), 0);
	CU_ASSERT(at.part <= GSP_MAX_PARTS);
	return runs;
}

#define SUM_OF_RUNS (NR_WINDOWS * NR_ACCOUNTS * (NR_ACCOUNTS + 1) / 2)

/*
 * Guards against demands and usage counts that do not fit into a datagram and
 * were left out.
 */
static void all_rows_arrive_in_parts(void)
{
	static const size_t lengths[] = { 8, GSP_NAME_SIZE - 1 };
	struct prs_peer *peer;
	uint32_t seq = 0;
	struct prs p;
	size_t i, k;
	double sum;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	for (i = 0; i < 2; i++) {
		fill_rows(lengths[i]);
		CU_ASSERT_EQUAL(send_group(&p, &seq, -1), SUM_OF_RUNS);
		CU_ASSERT_EQUAL(peer->nr_demands, NR_ACCOUNTS);
		CU_ASSERT_EQUAL(peer->counts_true_ms, 1780000000000);
		CU_ASSERT_EQUAL(peer->last->nr_loads, 2);
		for (sum = 0, k = 0; k < peer->nr_demands; k++)
			sum += peer->demands[k].per_s;
		CU_ASSERT_DOUBLE_EQUAL(
			sum, NR_ACCOUNTS * (NR_ACCOUNTS + 1) / 2.0, 0.5);
	}
	rows_clear(&rows);
	rows_add_demand(&rows, "other", 1);
	send_group(&p, &seq, -1);
	CU_ASSERT_EQUAL(peer->nr_demands, 1);
	prs_free(&p);
	rows_free(&rows);
}

/* Counts that did not change lately are sent only where they may be missing. */
static void unchanged_counts_are_left_out(void)
{
	const struct rows_filter changed = { true, true, false };
	const struct rows_filter none = { true, false, false };
	const struct rows_filter all = { false, true, true };
	struct rows_cursor at = { 0 };
	char bytes[GSP_MAX_BYTES];
	size_t n;

	rows_clear(&rows);
	rows_add_count(&rows, 5, 1, "new", 3);
	rows_end_changed(&rows);
	rows_add_count(&rows, 5, 1, "old", 4);
	CU_ASSERT_EQUAL(rows_left(&rows, &all, &at), 2);
	CU_ASSERT_EQUAL(rows_left(&rows, &none, &at), 0);
	fill(&outgoing, "edge-1", 1);
	n = rows_encode(&rows, &changed, &at, &outgoing, bytes, sizeof(bytes));
	CU_ASSERT(gsp_decode(&incoming, bytes, n));
	CU_ASSERT_EQUAL(incoming.nr_counts, 1);
	CU_ASSERT_STRING_EQUAL(incoming.counts[0].account, "new");
	CU_ASSERT(incoming.last_part);
	rows_free(&rows);
}

/*
 * Guards against counts that changed while a peer was cut off and were never
 * sent again.
 */
static void a_peer_that_was_cut_off_is_not_up_to_date(void)
{
	struct prs_peer *peer;
	struct prs p;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	CU_ASSERT_FALSE(prs_up_to_date(peer, 1800, 1000));
	fill(&outgoing, "edge-1", 1);
	outgoing.echo_boot = 9;
	outgoing.echo_stamp_ms = 10000;
	prs_acknowledge(peer, &outgoing, 8);
	CU_ASSERT_FALSE(prs_up_to_date(peer, 1800, 10100));
	prs_acknowledge(peer, &outgoing, 9);
	CU_ASSERT(prs_up_to_date(peer, 1800, 10100));
	CU_ASSERT_FALSE(prs_up_to_date(peer, 1800, 11800));
	/* Its datagrams arrive again, but it has received none of ours. */
	prs_acknowledge(peer, &outgoing, 9);
	CU_ASSERT_FALSE(prs_up_to_date(peer, 1800, 16000));
	prs_free(&p);
}

/* Guards against a usage report without the counts of a lost datagram. */
static void a_group_without_a_part_is_not_complete(void)
{
	struct prs_peer *peer;
	uint32_t seq = 0;
	struct prs p;
	int lost;

	prs_init(&p);
	peer = register_peer(&p, "edge-1");
	fill_rows(8);
	for (lost = 0; lost < 20; lost += 19) {
		send_group(&p, &seq, lost);
		CU_ASSERT_EQUAL(peer->counts_true_ms, 0);
	}
	send_group(&p, &seq, -1);
	CU_ASSERT_EQUAL(peer->counts_true_ms, 1780000000000);
	/* Demands of a lost part stay as they were. */
	send_group(&p, &seq, 2);
	CU_ASSERT_EQUAL(peer->nr_demands, NR_ACCOUNTS);
	prs_free(&p);
	rows_free(&rows);
}

/*
 * Guards against entries that stop sending when a roll-out, brittle endpoints
 * and slow ones fill all rows at once.
 */
static void speeds_are_cut_if_a_datagram_is_full(void)
{
	static struct gsp_record r;
	static struct rows none;
	const struct rows_filter filter = { .demands = false };
	struct rows_cursor at = { 0 };
	char bytes[GSP_MAX_BYTES];
	size_t n;

	memset(&r, 0, sizeof(r));
	strcpy(r.name, "e1");
	r.has_role = r.relays = r.has_capacity = true;
	r.nr_loads = GSP_MAX_LOADS;
	r.nr_services = GSP_MAX_SERVICES;
	r.nr_tallies = GSP_MAX_TALLIES;
	r.nr_statements = GSP_MAX_STATEMENTS;
	r.nr_brittle = GSP_MAX_BRITTLE;
	r.nr_speeds = GSP_MAX_SPEEDS;
	n = rows_encode(&none, &filter, &at, &r, bytes, sizeof(bytes));
	CU_ASSERT(n > 0);
	CU_ASSERT_TRUE(gsp_decode(&r, bytes, n));
	CU_ASSERT_EQUAL(r.nr_tallies, GSP_MAX_TALLIES);
	CU_ASSERT_EQUAL(r.nr_brittle, GSP_MAX_BRITTLE);
	CU_ASSERT(r.nr_speeds > 0 && r.nr_speeds < GSP_MAX_SPEEDS);
}

static const struct unit_test tests[] = {
	{ "speeds are cut if a datagram is full",
	  speeds_are_cut_if_a_datagram_is_full },
	{ "all rows arrive in parts", all_rows_arrive_in_parts },
	{ "unchanged counts are left out", unchanged_counts_are_left_out },
	{ "a peer that was cut off is not up to date",
	  a_peer_that_was_cut_off_is_not_up_to_date },
	{ "a group without a part is not complete",
	  a_group_without_a_part_is_not_complete },
	{ "datagrams of earlier releases decode",
	  datagrams_of_earlier_releases_decode },
	{ "odd registrations name no entry", odd_registrations_name_no_entry },
	{ "a record round-trips", record_round_trips },
	{ "role, members and statements round-trip",
	  role_members_and_statements_round_trip },
	{ "records out of range are refused",
	  records_out_of_range_are_refused },
	{ "a record is decoded over any content",
	  record_is_decoded_over_any_content },
	{ "relays and cuts round-trip", relays_and_cuts_round_trip },
	{ "offered loads and speeds round-trip",
	  offered_loads_and_speeds_round_trip },
	{ "corrupt datagrams are rejected or valid",
	  corrupt_datagrams_are_rejected_or_valid },
	{ "a full record is bounded", full_record_is_bounded },
	{ "only newer datagrams of known entries count",
	  only_newer_datagrams_of_known_entries_count },
	{ "config age counts from own stamp",
	  config_age_counts_from_own_stamp },
	{ "a datagram without counts is no report",
	  datagram_without_counts_is_no_report },
	{ "live entries outlive their registration",
	  live_entries_outlive_their_registration },
	{ "invalid rates are rejected", invalid_rates_are_rejected },
};

UNIT_MAIN("prs", tests)
