/* What entries tell each other: encoding, echoes, who counts. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "member/prs.h"
#include "support/unit.h"

static struct gsp_record said, heard;

static void fill(struct gsp_record *r, const char *name, uint32_t seq)
{
	memset(r, 0, sizeof(*r));
	str_copy(r->name, name, GSP_NAME);
	r->boot = 77;
	r->seq = seq;
	r->stamp_ms = 123456;
	r->true_ms = 1780000000000;
	r->taking = true;
	r->cfg_version = 12;
	r->fresh_age_ms = 340;
	r->nr_demands = 1;
	str_copy(r->demands[0].account, "one", GSP_NAME);
	r->demands[0].per_s = 1234.5;
	r->nr_loads = 2;
	r->loads[1] = (struct gsp_load){ 99, 3, 5000 };
	r->nr_tallies = 1;
	r->tallies[0] = (struct gsp_tally){ 21, { 22, 3, 40, 39, 5, 6, 7 } };
	r->nr_rolled_back = 1;
	r->rolled_back[0] = 23;
	r->nr_services = 1;
	r->services[0].reads_per_s = 152000;
	r->services[0].told = (struct svc_told){
		.service = 42,
		.samples = 200,
		.first = { 40, 16.5, 12, 3 },
		.first_off = 20,
		.pace_samples = 90,
		.pace = { 25, 2 },
		.pace_off = 4,
		.run_ms = 1150,
		.run_seen = 50,
	};
	r->nr_counts = 1;
	r->counts[0].source = 5;
	r->counts[0].window = 355;
	r->counts[0].runs = 17;
	str_copy(r->counts[0].account, "two", GSP_NAME);
	r->store_era = 3;
	r->nr_fatal = 1;
	r->fatal[0] = (struct fatal_gossip){
		.content = { 7, 8 },
		.nr_crashes = 2,
		.crashes = { { 11, 1500, 150, false }, { 12, 20, 30, true } },
		.running_at = 13,
	};
}

static void record_survives_the_wire(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&said, "edge-1", 4);
	n = gsp_encode(&said, bytes, sizeof(bytes));
	CU_ASSERT(n > 0 && n < 700);
	CU_ASSERT(gsp_decode(&heard, bytes, n));
	CU_ASSERT_STRING_EQUAL(heard.name, "edge-1");
	CU_ASSERT_EQUAL(heard.fresh_age_ms, 340);
	CU_ASSERT_EQUAL(heard.loads[1].prefill_tokens, 5000);
	CU_ASSERT_DOUBLE_EQUAL(heard.demands[0].per_s, 1234.5, 0.001);
	CU_ASSERT_EQUAL(heard.counts[0].runs, 17);
	CU_ASSERT_EQUAL(heard.counts[0].source, 5);
	CU_ASSERT_EQUAL(heard.nr_services, 1);
	CU_ASSERT_EQUAL(heard.services[0].told.service, 42);
	CU_ASSERT_DOUBLE_EQUAL(heard.services[0].reads_per_s, 152000, 1);
	CU_ASSERT_DOUBLE_EQUAL(heard.services[0].told.first[SVC_READ_MS], 16.5,
			       0.001);
	CU_ASSERT_DOUBLE_EQUAL(heard.services[0].told.run_ms, 1150, 0.01);
	CU_ASSERT_EQUAL(heard.store_era, 3);
	CU_ASSERT_EQUAL(heard.nr_fatal, 1);
	CU_ASSERT(hsh_wide_equal(heard.fatal[0].content,
				 (struct hsh_wide){ 7, 8 }));
	CU_ASSERT_EQUAL(heard.fatal[0].running_at, 13);
	CU_ASSERT_EQUAL(heard.fatal[0].crashes[0].age_ms, 1500);
	CU_ASSERT_EQUAL(heard.fatal[0].crashes[1].weight, 30);
	CU_ASSERT(heard.fatal[0].crashes[1].cleared);
	CU_ASSERT_EQUAL(heard.nr_tallies, 1);
	CU_ASSERT_EQUAL(heard.tallies[0].order, 21);
	CU_ASSERT_EQUAL(heard.tallies[0].row.route, 22);
	CU_ASSERT_EQUAL(heard.tallies[0].row.group, 3);
	CU_ASSERT_EQUAL(heard.tallies[0].row.sent, 40);
	CU_ASSERT_EQUAL(heard.tallies[0].row.answered, 39);
	CU_ASSERT_EQUAL(heard.tallies[0].row.failed, 5);
	CU_ASSERT_EQUAL(heard.tallies[0].row.late, 6);
	CU_ASSERT_EQUAL(heard.tallies[0].row.broken, 7);
	CU_ASSERT_EQUAL(heard.nr_rolled_back, 1);
	CU_ASSERT_EQUAL(heard.rolled_back[0], 23);
}

/* Length of the datagram without the fields of roll-outs. */
static size_t length_before_rollouts(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&said, "edge-1", 4);
	said.nr_tallies = 0;
	said.nr_rolled_back = 0;
	return gsp_encode(&said, bytes, sizeof(bytes)) - 2 * sizeof(uint32_t);
}

/* Length of the datagram without what an earlier kind of entry does not tell. */
static size_t earlier_length(void)
{
	char bytes[GSP_MAX_BYTES];

	fill(&said, "edge-1", 4);
	said.nr_fatal = 0;
	said.nr_tallies = 0;
	said.nr_rolled_back = 0;
	return gsp_encode(&said, bytes, sizeof(bytes)) - 3 * sizeof(uint32_t) -
	       sizeof(int64_t);
}

/* Entries of before and after run side by side while the fleet is replaced. */
static void earlier_entries_are_understood(void)
{
	const size_t earlier = earlier_length();
	char bytes[GSP_MAX_BYTES];

	fill(&said, "edge-1", 4);
	CU_ASSERT(gsp_encode(&said, bytes, sizeof(bytes)) > earlier);
	CU_ASSERT(gsp_decode(&heard, bytes, earlier));
	CU_ASSERT_EQUAL(heard.nr_fatal, 0);
	CU_ASSERT_EQUAL(heard.counts[0].runs, 17);
	CU_ASSERT(gsp_decode(&heard, bytes, length_before_rollouts()));
	CU_ASSERT_EQUAL(heard.nr_tallies, 0);
	CU_ASSERT_EQUAL(heard.nr_rolled_back, 0);
	CU_ASSERT(heard.nr_fatal > 0);
}

/* Datagrams that are cut, altered or not ours are refused or decode whole. */
static void bad_bytes_do_no_harm(void)
{
	const size_t earlier = earlier_length();
	const size_t before_rollouts = length_before_rollouts();
	char bytes[GSP_MAX_BYTES], bad[GSP_MAX_BYTES];
	struct rnd rnd;
	size_t n, k;
	int round;

	rnd_seed(&rnd, 9);
	fill(&said, "edge-1", 4);
	n = gsp_encode(&said, bytes, sizeof(bytes));
	for (k = 0; k < n; k += 4)
		CU_ASSERT_EQUAL(gsp_decode(&heard, bytes, k),
				k == earlier || k == before_rollouts);
	for (round = 0; round < 3000; round++) {
		memcpy(bad, bytes, n);
		for (k = 0; k < 1 + rnd_below(&rnd, 4); k++)
			bad[rnd_below(&rnd, (uint32_t)n)] ^=
				(char)(1 << rnd_below(&rnd, 8));
		if (!gsp_decode(&heard, bad, n))
			continue;
		CU_ASSERT(heard.nr_counts <= GSP_COUNTS);
		CU_ASSERT(heard.nr_services <= GSP_SERVICES);
		CU_ASSERT(heard.nr_fatal <= FATAL_MAX_GOSSIP);
		CU_ASSERT(heard.nr_tallies <= GSP_TALLIES);
		CU_ASSERT(heard.nr_rolled_back <= GSP_ROLLED_BACK);
		CU_ASSERT(strlen(heard.name) < GSP_NAME);
	}
	CU_ASSERT_FALSE(gsp_decode(&heard, "", 0));
}

/*
 * Symptom: the number of endpoints ordered was no number. Sequence: one bit
 * of a datagram flips, and a rate in it becomes "not a number". Cause: it was
 * added to the others' rates.
 */
static void rates_that_are_no_numbers_are_refused(void)
{
	char bytes[GSP_MAX_BYTES];
	size_t n;

	fill(&said, "edge-1", 4);
	said.services[0].reads_per_s = NAN;
	n = gsp_encode(&said, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&heard, bytes, n));
	fill(&said, "edge-1", 4);
	said.demands[0].per_s = INFINITY;
	n = gsp_encode(&said, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&heard, bytes, n));
	fill(&said, "edge-1", 4);
	said.services[0].reads_per_s = -1;
	n = gsp_encode(&said, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(gsp_decode(&heard, bytes, n));
}

/* A full record still fits into a datagram, or is not sent. */
static void full_record_is_bounded(void)
{
	char bytes[GSP_MAX_BYTES];
	unsigned i;

	fill(&said, "edge-1", 4);
	said.nr_loads = GSP_LOADS;
	said.nr_counts = GSP_COUNTS;
	said.nr_services = GSP_SERVICES;
	for (i = 0; i < GSP_COUNTS; i++)
		str_copy(said.counts[i].account, "account", GSP_NAME);
	CU_ASSERT(gsp_encode(&said, bytes, sizeof(bytes)) > 0);
	CU_ASSERT_EQUAL(gsp_encode(&said, bytes, 100), 0);
}

static struct prs_peer *registered(struct prs *p, const char *name)
{
	struct prs_info info;

	memset(&info, 0, sizeof(info));
	str_copy(info.name, name, sizeof(info.name));
	str_copy(info.peers, "127.0.0.1:7600", sizeof(info.peers));
	return prs_registered(p, &info, 0);
}

static void only_newer_words_of_known_entries_count(void)
{
	struct prs p;

	prs_init(&p);
	fill(&said, "edge-1", 4);
	CU_ASSERT_PTR_NULL(prs_heard(&p, &said, 1000, 0));
	registered(&p, "edge-1");
	CU_ASSERT_PTR_NOT_NULL(prs_heard(&p, &said, 1000, 0));
	CU_ASSERT_PTR_NULL(prs_heard(&p, &said, 1001, 0));
	said.seq = 3;
	CU_ASSERT_PTR_NULL(prs_heard(&p, &said, 1002, 0));
	/* Another boot begins anew. */
	said.boot = 78;
	CU_ASSERT_PTR_NOT_NULL(prs_heard(&p, &said, 1003, 0));
	prs_free(&p);
}

/*
 * Symptom: a key that was taken away still worked on an entry that had been
 * frozen. Sequence: a peer's datagram "version 5 is the newest, age 100 ms"
 * arrives, lies unread for six seconds of a freeze, is read, and taken for
 * fresh. Cause: the age was counted from its reading. The echo of our own
 * stamp bounds when it was sent.
 */
static void age_counts_from_our_own_stamp(void)
{
	struct prs p;
	struct prs_peer *peer;

	prs_init(&p);
	peer = registered(&p, "edge-1");
	/* The peer got our stamp of 5000, held it for 50 ms, then wrote. */
	fill(&said, "edge-1", 4);
	said.fresh_age_ms = 100;
	said.echo_boot = 42;
	said.echo_stamp_ms = 5000;
	said.echo_hold_ms = 50;
	CU_ASSERT_EQUAL(prs_confirmed_at(&said, 42), 4950);
	/* Not ours, or of our life before: says nothing. */
	CU_ASSERT_EQUAL(prs_confirmed_at(&said, 43), 0);
	said.fresh_age_ms = -1;
	CU_ASSERT_EQUAL(prs_confirmed_at(&said, 42), 0);
	/* What we echo. */
	fill(&said, "edge-1", 5);
	prs_heard(&p, &said, 9000, 0);
	prs_echo(peer, &heard, 9080);
	CU_ASSERT_EQUAL(heard.echo_boot, 77);
	CU_ASSERT_EQUAL(heard.echo_stamp_ms, 123456);
	CU_ASSERT_EQUAL(heard.echo_hold_ms, 80);
	prs_free(&p);
}

/*
 * An entry whose registration lapsed while the store was away is alive as
 * long as it is heard, and shares the limits while it may be running.
 */
static void heard_entries_outlive_their_registration(void)
{
	struct prs p;
	struct prs_peer *peer;

	prs_init(&p);
	peer = registered(&p, "edge-1");
	registered(&p, "edge-2");
	CU_ASSERT_EQUAL(prs_sharing(&p, 0), 3);
	fill(&said, "edge-1", 4);
	prs_heard(&p, &said, 1000, 0);
	prs_unregistered(&p, "edge-1", 1100);
	prs_unregistered(&p, "edge-2", 1100);
	CU_ASSERT(prs_alive(peer, 1500));
	CU_ASSERT_EQUAL(prs_sharing(&p, 1500), 2);
	CU_ASSERT_FALSE(prs_alive(peer, 1000 + PRS_SILENT_MS));
	prs_forget(&p, 1101 + PRS_FORGET_MS);
	CU_ASSERT_EQUAL(p.count, 0);
	prs_free(&p);
}

/*
 * Symptom: a report of usage lacked the counts of most entries. Sequence: the
 * holder of the duties had just changed, and the others' datagrams did not
 * carry their counts to it yet, but came. Cause: "heard since the window's
 * end" is not "told its counts since then".
 */
static void heard_is_not_told_its_counts(void)
{
	struct prs_peer *peer;
	struct prs p;

	prs_init(&p);
	peer = registered(&p, "edge-1");
	fill(&said, "edge-1", 4);
	said.with_counts = true;
	prs_heard(&p, &said, 1000, 0);
	CU_ASSERT_EQUAL(peer->counted_true_ms, said.true_ms);
	fill(&heard, "edge-1", 5);
	heard.true_ms += 900;
	CU_ASSERT_PTR_NOT_NULL(prs_heard(&p, &heard, 1900, 0));
	CU_ASSERT_EQUAL(peer->counted_true_ms, said.true_ms);
	prs_free(&p);
}

static const struct unit_test tests[] = {
	{ "earlier entries are understood", earlier_entries_are_understood },
	{ "a record survives the wire", record_survives_the_wire },
	{ "bad bytes do no harm", bad_bytes_do_no_harm },
	{ "a full record is bounded", full_record_is_bounded },
	{ "only newer words of known entries count",
	  only_newer_words_of_known_entries_count },
	{ "age counts from our own stamp", age_counts_from_our_own_stamp },
	{ "heard is not told its counts", heard_is_not_told_its_counts },
	{ "heard entries outlive their registration",
	  heard_entries_outlive_their_registration },
	{ "rates that are no numbers are refused",
	  rates_that_are_no_numbers_are_refused },
};

UNIT_MAIN("prs", tests)
