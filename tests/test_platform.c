/* The adapter: what comes off the wire, what goes onto it, bad bytes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"
#include "base/rnd.h"
#include "pf_wire.h"
#include "support/unit.h"

static const char document[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/x/\","
	"\"routeKind\":\"streaming\",\"timeoutMs\":12000,\"goalMs\":1200,"
	"\"priority\":1,\"split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}],\"maxAttempts\":2,"
	"\"affinity\":true,\"resumable\":true,\"gapTargetMs\":500,"
	"\"new\":1},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"prefix\":\"/y/\","
	"\"routeKind\":\"unsafe\",\"timeoutMs\":800,\"service\":\"s2\","
	"\"anonymous\":true}],"
	"\"services\":[{\"name\":\"s1\",\"maxConns\":360,"
	"\"engine\":{\"slots\":64,\"kvCapacity\":500000,\"moves\":true},"
	"\"scaling\":{\"min\":1,\"max\":6,\"bootS\":4.0,\"spotPrice\":0.2,"
	"\"zonePrices\":{\"z1\":1.0,\"z2\":0.8}}},{\"name\":\"s2\"}],"
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400},"
	"\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],"
	"\"priority\":0,\"unit\":\"tokens\",\"uncachedTokens\":200,"
	"\"ratePerS\":1000,\"burst\":500}]}";

static void configuration_is_decoded_once(void)
{
	struct err e = ERR_INIT;
	struct cfg *c =
		pf_wire()->decode_config(document, strlen(document), &e);
	const struct cfg_route *r;
	const struct cfg_account *a;

	CU_ASSERT_PTR_NOT_NULL_FATAL(c);
	r = cfg_route(c, "a.example", "/x/1");
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_EQUAL(r->kind, CFG_STREAM);
	CU_ASSERT_EQUAL(r->objective_ms, 1200);
	CU_ASSERT_EQUAL(r->nr_shares, 2);
	CU_ASSERT_EQUAL(r->max_endpoints, 2);
	CU_ASSERT(r->resumable && r->cached && !r->anonymous);
	r = cfg_route(c, "a.example", "/y/1");
	CU_ASSERT_EQUAL(r->kind, CFG_ONCE);
	CU_ASSERT_EQUAL(r->max_endpoints, 1);
	CU_ASSERT_STRING_EQUAL(r->shares[0].service, "s2");
	CU_ASSERT(r->anonymous);
	CU_ASSERT_EQUAL(cfg_service(c, "s1")->scaling.boot_ms, 4000);
	CU_ASSERT_EQUAL(cfg_service(c, "s1")->scaling.nr_prices, 2);
	CU_ASSERT(cfg_service(c, "s1")->engine.kv_movable);
	CU_ASSERT_FALSE(cfg_service(c, "s2")->has_engine);
	a = cfg_account(c, "k2");
	CU_ASSERT_STRING_EQUAL(a->name, "t1");
	CU_ASSERT(a->rate_in_tokens && a->has_priority);
	CU_ASSERT_EQUAL(c->limits.idle_ms, 400);
	cfg_put(c);
}

/* Guards against numbers that are cut to fewer bits, or overflow in an int. */
static void numbers_of_the_configuration_are_bounded(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a\","
		"\"prefix\":\"/x/\",\"routeKind\":\"streaming\","
		"\"timeoutMs\":1e300,\"goalMs\":-1e300,\"gapTargetMs\":NaN,"
		"\"priority\":4294967296,\"maxAttempts\":9223372036854775807,"
		"\"service\":\"s1\",\"resumable\":true}],"
		"\"services\":[{\"name\":\"s1\",\"maxConns\":4294967297,"
		"\"engine\":{\"slots\":4294967296}}]}";
	struct err e = ERR_INIT;
	struct cfg *c = pf_wire()->decode_config(text, strlen(text), &e);
	const struct cfg_route *r;

	CU_ASSERT_PTR_NOT_NULL(c);
	if (!c)
		return;
	CU_ASSERT_EQUAL_FATAL(c->nr_routes, 1);
	r = &c->routes[0];
	CU_ASSERT_EQUAL(r->timeout_ms, 1000000000);
	CU_ASSERT_EQUAL(r->objective_ms, -1000000000);
	CU_ASSERT_EQUAL(r->gap_ms, 0);
	CU_ASSERT_EQUAL(r->priority, 1000000000);
	CU_ASSERT_EQUAL(r->max_endpoints, 1000000000);
	CU_ASSERT_EQUAL(cfg_service(c, "s1")->max_connections, 1000000000);
	CU_ASSERT_EQUAL(cfg_service(c, "s1")->engine.slots, 1000000000);
	cfg_put(c);
}

static void unreadable_configuration_is_refused(void)
{
	static const char odd[] =
		"{\"version\":1,\"routes\":[{\"routeKind\":\"odd\"}]}";
	static const char *const bad[] = { "", "{", "[]", "null", odd };
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct err e = ERR_INIT;

		CU_ASSERT_PTR_NULL(
			pf_wire()->decode_config(bad[i], strlen(bad[i]), &e));
		CU_ASSERT(err_is_set(&e));
	}
}

static void endpoints_are_decoded(void)
{
	static const char ready[] =
		"{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
		"\"coldLeftMs\":5,\"seqNo\":4}";
	static const char leaving[] =
		"{\"service\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":64,\"state\":\"draining\","
		"\"coldLeftMs\":0,\"seqNo\":4,"
		"\"spot\":true,\"leaves_ms\":2500}";
	struct flt_info info;
	struct err e = ERR_INIT;
	const struct wire *w = pf_wire();

	CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", ready, strlen(ready),
					   &info, &e),
			0);
	CU_ASSERT_STRING_EQUAL(info.id, "i-1");
	CU_ASSERT_FALSE(info.draining);
	CU_ASSERT_EQUAL(info.time_left_ms, -1);
	CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", leaving,
					   strlen(leaving), &info, &e),
			0);
	CU_ASSERT(info.draining && info.reclaimable);
	CU_ASSERT_EQUAL(info.time_left_ms, 2500);
	CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", "{}", 2, &info, &e),
			-1);
	CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", "x", 1, &info, &e),
			-1);
}

/* Pieces of an endpoint's entry. */
#define SERVICE "\"service\":\"s1\","
#define ADDRESS "\"address\":\"10.0.0.1:80\","
#define ZONE "\"zone\":\"z1\","
#define STATE "\"state\":\"ready\","
#define SLOTS "\"slots\":6,"
#define REST "\"version\":\"v1\",\"coldLeftMs\":0,\"seqNo\":4"
#define ENTRY(first, others) "{" first others "}"

/*
 * Symptom: requests were sent to an address that no endpoint had announced.
 * Sequence: something else writes an entry into the list: a field is missing
 * or of another type, the state is one we do not know. Cause: what was
 * missing was filled in, and any unknown state was taken for leaving.
 */
static void entries_of_other_writers_name_no_endpoint(void)
{
	/* Each but the first six is a whole entry with one field wrong. */
	static const char *const bad[] = {
		"[]",
		"null",
		"\"ready\"",
		"",
		"\xff\xfe",
		"{}",
		ENTRY("", ADDRESS ZONE STATE SLOTS REST),
		ENTRY("\"service\":7,", ADDRESS ZONE STATE SLOTS REST),
		ENTRY("\"service\":\"\",", ADDRESS ZONE STATE SLOTS REST),
		ENTRY(SERVICE, ZONE STATE SLOTS REST),
		ENTRY(SERVICE,
		      "\"address\":[\"10.0.0.1:80\"]," ZONE STATE SLOTS REST),
		ENTRY(SERVICE,
		      "\"address\":\"nowhere\"," ZONE STATE SLOTS REST),
		ENTRY(SERVICE, ADDRESS STATE SLOTS REST),
		ENTRY(SERVICE, ADDRESS "\"zone\":{}," STATE SLOTS REST),
		ENTRY(SERVICE, ADDRESS ZONE SLOTS REST),
		ENTRY(SERVICE,
		      ADDRESS ZONE "\"state\":\"warming\"," SLOTS REST),
		ENTRY(SERVICE, ADDRESS ZONE "\"state\":true," SLOTS REST),
		ENTRY(SERVICE, ADDRESS ZONE STATE REST),
		ENTRY(SERVICE, ADDRESS ZONE STATE "\"slots\":\"many\"," REST),
		ENTRY(SERVICE, ADDRESS ZONE STATE "\"slots\":-4," REST),
		ENTRY(SERVICE,
		      ADDRESS ZONE STATE SLOTS "\"coldLeftMs\":0,\"seqNo\":4"),
		ENTRY(SERVICE, ADDRESS ZONE STATE SLOTS
		      "\"version\":\"v1\",\"seqNo\":4"),
		ENTRY(SERVICE, ADDRESS ZONE STATE SLOTS
		      "\"version\":\"v1\",\"coldLeftMs\":0"),
		ENTRY(SERVICE,
		      ADDRESS ZONE STATE SLOTS "\"born\":\"now\"," REST),
		ENTRY(SERVICE, ADDRESS ZONE STATE SLOTS "\"born\":1.5," REST),
	};
	static const char good[] = ENTRY(SERVICE, ADDRESS ZONE STATE SLOTS
					 "\"born\":1790000000123," REST);
	struct flt_info info;
	struct err e = ERR_INIT;
	const struct wire *w = pf_wire();
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", bad[i],
						   strlen(bad[i]), &info, &e),
				-1);
	CU_ASSERT_EQUAL(w->decode_endpoint("servers/i-1", good, strlen(good),
					   &info, &e),
			0);
	CU_ASSERT_EQUAL(info.started_ms, 1790000000123);
}

static int decode_named(const char *id, const char *text, struct flt_info *out)
{
	char key[400];
	struct err e = ERR_INIT;

	snprintf(key, sizeof(key), "servers/%s", id);
	return pf_wire()->decode_endpoint(key, text, strlen(text), out, &e);
}

/* An entry with one more member; of two with one name, the last one counts. */
static int decode_with(const char *member, struct flt_info *out)
{
	BUF_AUTO text = BUF_INIT;

	buf_fmt(&text,
		"{" SERVICE ADDRESS ZONE STATE SLOTS
		"\"born\":1790000000123," REST ",%s}",
		member);
	return decode_named("i-1", text.data, out);
}

#define NAME_OF_63 \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define TENFOLD(x) x x x x x x x x x x

/*
 * Guards against numbers that are cut to fewer bits or overflow where they are
 * added, and against names that are cut to the name of something else.
 */
static void entries_out_of_range_name_no_endpoint(void)
{
	static const char *const bad[] = {
		"\"slots\":0",
		"\"slots\":2147483648",
		"\"slots\":4294967296",
		"\"slots\":4294967302",
		"\"slots\":100001",
		"\"slots\":1000000000000000000000000000000",
		"\"slots\":-9223372036854775808",
		"\"slots\":6.5",
		"\"slots\":1e400",
		"\"slots\":NaN",
		"\"born\":0",
		"\"born\":-9223372036854775808",
		"\"born\":9223372036854775807",
		"\"born\":253402300800000",
		"\"address\":\"10.0.0.1:0\"",
		"\"address\":\"10.0.0.1:65536\"",
		"\"address\":\"10.0.0.1:-80\"",
		"\"address\":\"10.0.0.1:99999999999999999999\"",
		"\"address\":\"10.0.0.1: 80\"",
		"\"address\":\"10.0.0.1:+80\"",
		"\"address\":\"10.0.0.1:80x\"",
		"\"address\":\"10.0.0.1:\"",
		"\"address\":\"10.0.0.1:00000000000000000000000080\"",
		"\"address\":\"10.0.0.1:80\\u0000x\"",
		"\"address\":\"10.0.0.256:80\"",
		"\"address\":\"0.0.0.0:80\"",
		"\"address\":\"224.0.0.1:80\"",
		"\"address\":\"255.255.255.255:80\"",
		"\"address\":\"[::1]:80\"",
		("\"service\":\"" NAME_OF_63 "a\""),
		"\"service\":\"s1\\u0000x\"",
		("\"zone\":\"" NAME_OF_63 "a\""),
		"\"zone\":\"z1\\u0000x\"",
		("\"service\":\"" TENFOLD(TENFOLD(NAME_OF_63)) "\""),
		/* Deeper than the limit. */
		("\"more\":" TENFOLD("[[[") "1" TENFOLD("]]]")),
		("\"more\":" TENFOLD(TENFOLD("{\"a\":["))),
	};
	static const char *const fine[] = {
		"\"slots\":1",
		"\"slots\":100000",
		"\"born\":1",
		"\"born\":253402300799999",
		"\"address\":\"10.0.0.1:65535\"",
		"\"address\":\"127.0.0.1:1\"",
		("\"service\":\"" NAME_OF_63 "\""),
		("\"zone\":\"" NAME_OF_63 "\""),
		"\"zone\":\"\"",
		"\"seqNo\":9223372036854775807",
		("\"version\":\"" TENFOLD(NAME_OF_63) "\""),
		("\"more\":" TENFOLD("[[") "1" TENFOLD("]]")),
	};
	struct flt_info info;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		if (decode_with(bad[i], &info) == -1)
			continue;
		fprintf(stderr, "accepted: %.60s\n", bad[i]);
		CU_FAIL("an odd entry names an endpoint");
	}
	for (i = 0; i < sizeof(fine) / sizeof(fine[0]); i++) {
		if (decode_with(fine[i], &info) == 0)
			continue;
		fprintf(stderr, "rejected: %.60s\n", fine[i]);
		CU_FAIL("an entry within the range is rejected");
	}
}

/*
 * Guards against ids that are cut to the id of another endpoint, and those that
 * end the line of the header in which they are sent.
 */
static void ids_that_no_header_can_hold_name_no_endpoint(void)
{
	static const char *const bad[] = {
		"",	      (NAME_OF_63 "a"),
		"i 1",	      "i-1\r\nTenant: forged",
		"i-1\t",      "i-1\x7f",
		"i-\xc3\xa4",
	};
	static const char text[] =
		ENTRY(SERVICE, ADDRESS ZONE STATE SLOTS REST);
	struct flt_info info;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_EQUAL(decode_named(bad[i], text, &info), -1);
		CU_ASSERT_EQUAL(info.id[0], '\0');
	}
	CU_ASSERT_EQUAL(decode_named(NAME_OF_63, text, &info), 0);
	CU_ASSERT_STRING_EQUAL(info.id, NAME_OF_63);
	CU_ASSERT_EQUAL(decode_named("i-7f3a91c2", text, &info), 0);
}

/* Times that choose no endpoint are bounded: the endpoint may be in service. */
static void times_out_of_range_are_bounded(void)
{
	struct flt_info info;

	CU_ASSERT_EQUAL(decode_with("\"leaves_ms\":9223372036854775807", &info),
			0);
	CU_ASSERT_EQUAL(info.time_left_ms, 86400000);
	CU_ASSERT_EQUAL(
		decode_with("\"leaves_ms\":-9223372036854775808", &info), 0);
	CU_ASSERT_EQUAL(info.time_left_ms, 0);
	CU_ASSERT_EQUAL(decode_with("\"leaves_ms\":\"soon\"", &info), 0);
	CU_ASSERT_EQUAL(info.time_left_ms, -1);
	CU_ASSERT_EQUAL(decode_with("\"leaves_ms\":NaN", &info), 0);
	CU_ASSERT_EQUAL(info.time_left_ms, -1);
	CU_ASSERT_EQUAL(decode_with("\"coldLeftMs\":1000000000000000000000000",
				    &info),
			0);
	CU_ASSERT_EQUAL(info.warmup_ms, 86400000);
	CU_ASSERT_EQUAL(decode_with("\"coldLeftMs\":-5", &info), 0);
	CU_ASSERT_EQUAL(info.warmup_ms, 0);
}

/* ---- Requests ---- */

static int no_op_head(struct hparse *p)
{
	(void)p;
	return 0;
}

static void no_op_body(struct hparse *p, const char *data, size_t len)
{
	(void)p;
	(void)data;
	(void)len;
}

static void stop_at_end(struct hparse *p)
{
	p->stop = true;
}

static const struct hparse_vtable parse_vtable = { no_op_head, no_op_body,
						   stop_at_end };

static void parse(struct hparse *p, bool request, const char *text)
{
	size_t used;

	hparse_init(p, request, 0, &parse_vtable, NULL);
	hparse_feed(p, text, strlen(text), &used);
}

#define HEAD                                                        \
	"POST /x/1?q=2 HTTP/1.1\r\nHost: A.Example:8080\r\n"        \
	"Attempt-Id: abc123\r\nDeadline-Ms: 12000\r\nModel: m\r\n"  \
	"Token-Count: 17000,120\r\n"                                \
	"Prefix-Hash: 5c1e:9000,91bd:4300,e440:3700\r\n"            \
	"Authorization: Bearer k1\r\nTenant: forged\r\nHold: 9\r\n" \
	"Kv-From: 1.2.3.4:5/6\r\nExpect-Replica: forged\r\n"        \
	"X-Own: 1\r\nConnection: keep-alive, Attempt-Id\r\n"        \
	"Content-Length: 4\r\n\r\nbody"

static void attempt_is_decoded(void)
{
	struct hparse p;
	struct attempt a;
	struct err e = ERR_INIT;

	parse(&p, true, HEAD);
	CU_ASSERT_EQUAL(pf_wire()->decode_request(&p.msg, &a, &e), 0);
	CU_ASSERT_STRING_EQUAL(a.id, "abc123");
	CU_ASSERT_STRING_EQUAL(a.host, "a.example");
	CU_ASSERT_STRING_EQUAL(a.key, "k1");
	CU_ASSERT_EQUAL(a.deadline_ms, 12000);
	CU_ASSERT_EQUAL(a.resume_after, -1);
	CU_ASSERT_EQUAL(a.prompt_tokens, 17000);
	CU_ASSERT_EQUAL(a.prefix_tokens, 13300);
	CU_ASSERT_EQUAL(a.prefix_hash, hsh_bytes("5c1e:9000,91bd:4300", 19, 0));
	hparse_free(&p);
}

/* Decodes a request with this Prefix-Hash. */
static void decode_parts(const char *value, struct attempt *a)
{
	struct err e = ERR_INIT;
	BUF_AUTO head = BUF_INIT;
	struct hparse p;

	buf_fmt(&head,
		"POST /x/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: 2\r\n"
		"Prefix-Hash: %s\r\n\r\n",
		value);
	parse(&p, true, buf_cstr(&head));
	CU_ASSERT_EQUAL(pf_wire()->decode_request(&p.msg, a, &e), 0);
	hparse_free(&p);
}

static void shared_parts_are_decoded_one_by_one(void)
{
	struct attempt a, b;

	decode_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250", &a);
	CU_ASSERT_EQUAL_FATAL(a.nr_parts, 2);
	CU_ASSERT_STRING_EQUAL(a.parts[0].id, "5c1e07a2");
	CU_ASSERT_STRING_EQUAL(a.parts[1].id, "91bd3f06");
	/* The same parts in another place, with another length. */
	decode_parts("aa:1,91bd3f06:7,5c1e07a2:800,e4402b7d:250", &b);
	CU_ASSERT_EQUAL_FATAL(b.nr_parts, 3);
	CU_ASSERT_EQUAL(b.parts[2].hash, a.parts[0].hash);
	CU_ASSERT_EQUAL(b.parts[1].hash, a.parts[1].hash);
	CU_ASSERT_NOT_EQUAL(b.parts[0].hash, a.parts[0].hash);
	decode_parts("e4402b7d:250", &a);
	CU_ASSERT_EQUAL(a.nr_parts, 0);
}

static void unusual_lists_of_parts(void)
{
	static const struct {
		const char *value;
		unsigned parts;
	} all[] = {
		{ ",", 0 },
		{ ",,,", 0 },
		{ ":5,:6,7:1", 0 },
		{ "5c1e,91bd,e440", 2 },
		{ "aa:1,aa:2,b:3", 1 },
		{ "not hex:1,b:2", 1 },
		{ " aa:1 , AA:1,b:2", 1 },
		{ "0aa:1,aa:1,b:2", 1 },
		{ "0:1,00:1,b:2", 1 },
		{ "aa:1:2,b:2", 1 },
		{ "aa:-1,ab:nan,b:2", 2 },
		{ "0123456789abcdef0123456789abcdef:1,b:2", 1 },
	};
	struct attempt a;
	size_t i;

	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		decode_parts(all[i].value, &a);
		CU_ASSERT_EQUAL(a.nr_parts, all[i].parts);
	}
}

/* Of a list that is too long the first and the last shared parts are kept. */
static void long_lists_of_parts_are_bounded(void)
{
	BUF_AUTO list = BUF_INIT;
	struct attempt a;
	int i;

	for (i = 0; i < 700; i++)
		buf_fmt(&list, "%x:1,", 0x1000 + i);
	buf_str(&list, "ffff:1");
	decode_parts(buf_cstr(&list), &a);
	CU_ASSERT_EQUAL(a.nr_parts, ATTEMPT_MAX_PARTS);
	CU_ASSERT_STRING_EQUAL(a.parts[0].id, "1000");
	CU_ASSERT_STRING_EQUAL(a.parts[ATTEMPT_MAX_PARTS / 2 - 1].id, "100f");
	CU_ASSERT_STRING_EQUAL(a.parts[ATTEMPT_MAX_PARTS - 1].id, "12bb");
}

static void continued_stream_is_named(void)
{
	struct err e = ERR_INIT;
	struct hparse p;
	struct attempt a;

	parse(&p, true,
	      "POST /x/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: 2\r\n"
	      "Last-Event-Id: 7\r\nResumes: 1\r\n\r\n");
	CU_ASSERT_EQUAL(pf_wire()->decode_request(&p.msg, &a, &e), 0);
	CU_ASSERT_STRING_EQUAL(a.resumes, "1");
	CU_ASSERT_EQUAL(a.resume_after, 7);
	hparse_free(&p);
}

static void wrong_heads_are_refused(void)
{
	static const char *const bad[] = {
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nAttempt-Id: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\nAttempt-Id: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Attempt-Id: 2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Deadline-Ms: soon\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Deadline-Ms: -5\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Token-Count: 1e999,2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Authorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Resumes: 2\r\nResumes: 3\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Resumes:\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Resumes: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n"
		"Resumes: 0123456789012345678901234567890123456789012345678901"
		"2345678901234567890123456789\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct err e = ERR_INIT;
		struct attempt a;
		struct hparse p;

		parse(&p, true, bad[i]);
		CU_ASSERT_EQUAL(pf_wire()->decode_request(&p.msg, &a, &e), -1);
		CU_ASSERT(err_is_set(&e));
		hparse_free(&p);
	}
}

/*
 * What only the system sets is not taken from a caller: an account, a place
 * in an endpoint's memory, the endpoint itself; and the key stays here.
 */
static void forged_headers_do_not_pass(void)
{
	const struct forward f = { "i-7", "t1", 900, 3, 12, NULL };
	BUF_AUTO body = BUF_INIT;
	BUF_AUTO out = BUF_INIT;
	struct hparse p;
	struct attempt a;

	parse(&p, true, HEAD);
	pf_wire()->decode_request(&p.msg, &a, NULL);
	buf_str(&body, "body");
	pf_wire()->encode_request(&p.msg, body.len, &a, &f, &out);
	buf_add(&out, body.data, body.len);
	CU_ASSERT_EQUAL(strncmp(out.data, "POST /x/1?q=2 HTTP/1.1\r\n", 24), 0);
	CU_ASSERT_PTR_NULL(strstr(out.data, "forged"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "Hold"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "Kv-From"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "k1"));
	CU_ASSERT_PTR_NULL(strstr(out.data, "Connection"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Attempt-Id: abc123\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Tenant: t1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Expect-Replica: i-7\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Deadline-Ms: 900\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Last-Event-Id: 12\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "X-Own: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "\r\n\r\nbody"));
	hparse_free(&p);
}

static void answers_are_told_apart(void)
{
	struct attempt a = { .id = "abc" };
	struct hparse p;
	struct reply r;

	parse(&p, false,
	      "HTTP/1.1 200 OK\r\nAttempt-Id: abc\r\nReplica-Seal: s\r\n"
	      "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n");
	pf_wire()->decode_answer(&p.msg, &a, &r);
	CU_ASSERT(r.echoed && r.sealed && r.events);
	CU_ASSERT_FALSE(r.other_attempt || r.not_run || r.misdirected);
	hparse_free(&p);
	parse(&p, false,
	      "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	pf_wire()->decode_answer(&p.msg, &a, &r);
	CU_ASSERT(r.not_run && !r.other_attempt && !r.echoed);
	hparse_free(&p);
	parse(&p, false, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
	pf_wire()->decode_answer(&p.msg, &a, &r);
	CU_ASSERT(r.not_run && r.misdirected);
	hparse_free(&p);
	parse(&p, false,
	      "HTTP/1.1 200 X\r\nAttempt-Id: zz\r\n"
	      "Content-Length: 0\r\n\r\n");
	pf_wire()->decode_answer(&p.msg, &a, &r);
	CU_ASSERT(r.other_attempt && !r.echoed);
	hparse_free(&p);
}

static void decode_status(int status, const char *headers, struct reply *r)
{
	const struct attempt a = { .id = "abc" };
	BUF_AUTO head = BUF_INIT;
	struct hparse p;

	buf_fmt(&head,
		"HTTP/1.1 %d X\r\nAttempt-Id: abc\r\nReplica-Seal: s\r\n"
		"%sContent-Length: 0\r\n\r\n",
		status, headers);
	parse(&p, false, buf_cstr(&head));
	pf_wire()->decode_answer(&p.msg, &a, r);
	hparse_free(&p);
}

static void decode_head(const char *headers, struct reply *r)
{
	decode_status(200, headers, r);
}

static void leaving_is_a_flag(void)
{
	struct reply r;

	decode_head("", &r);
	CU_ASSERT_FALSE(r.leaving);
	decode_head("Server-Leaving: 1\r\n", &r);
	CU_ASSERT(r.leaving);
	CU_ASSERT_STRING_EQUAL(r.malformed, "");
	decode_head("Server-Leaving: 0\r\n", &r);
	CU_ASSERT_FALSE(r.leaving);
	CU_ASSERT_STRING_EQUAL(r.malformed, "");
	decode_head("Server-Leaving: soon\r\n", &r);
	CU_ASSERT_FALSE(r.leaving);
	CU_ASSERT_STRING_EQUAL(r.malformed, "Server-Leaving: soon");
	decode_head("Server-Leaving: 0.5\r\n", &r);
	CU_ASSERT_FALSE(r.leaving);
	CU_ASSERT_NOT_EQUAL(r.malformed[0], '\0');
}

static void waits_are_read_from_refusals_alone(void)
{
	static const char *const wrong[] = {
		"-1",
		"nan",
		"1e300",
		"86400.1",
		"Wed, 21 Oct 2015 07:28:00 GMT",
		"x",
		"",
	};
	struct reply r;
	char header[80];
	size_t i;

	decode_status(503, "", &r);
	CU_ASSERT_EQUAL(r.wait_ms, -1);
	decode_status(503, "Retry-After: 2.5\r\n", &r);
	CU_ASSERT_EQUAL(r.wait_ms, 2500);
	decode_status(503, "Retry-After: 0\r\n", &r);
	CU_ASSERT_EQUAL(r.wait_ms, 0);
	decode_status(200, "Retry-After: 2.5\r\n", &r);
	CU_ASSERT_EQUAL(r.wait_ms, -1);
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		snprintf(header, sizeof(header), "Retry-After: %s\r\n",
			 wrong[i]);
		decode_status(503, header, &r);
		CU_ASSERT_EQUAL(r.wait_ms, -1);
		CU_ASSERT_EQUAL(strncmp(r.malformed, "Retry-After: ", 13), 0);
	}
}

static void limits_that_are_no_positive_number_are_malformed(void)
{
	static const char *const wrong[] = {
		"0",   "0.0", "-1", "nan", "inf", "1e300",	   "0x10",
		"1e2", "2 3", "",   "1,5", "x",	  "9999999999999",
	};
	struct reply r;
	char header[64];
	size_t i;

	decode_head("", &r);
	CU_ASSERT_EQUAL(r.limit_per_s, 0);
	CU_ASSERT_STRING_EQUAL(r.malformed, "");
	decode_head("Server-Limit: 2.5\r\n", &r);
	CU_ASSERT_EQUAL(r.limit_per_s, 2.5);
	CU_ASSERT_STRING_EQUAL(r.malformed, "");
	for (i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		snprintf(header, sizeof(header), "Server-Limit: %s\r\n",
			 wrong[i]);
		decode_head(header, &r);
		CU_ASSERT_EQUAL(r.limit_per_s, -1);
		CU_ASSERT_EQUAL(strncmp(r.malformed, "Server-Limit: ", 14), 0);
	}
	decode_head("Server-Limit: 2\r\nServer-Limit: 3\r\n", &r);
	CU_ASSERT_EQUAL(r.limit_per_s, -1);
	CU_ASSERT_NOT_EQUAL(r.malformed[0], '\0');
}

static void own_answers_say_when_to_come_back(void)
{
	BUF_AUTO out = BUF_INIT;

	pf_wire()->encode_own_answer(503, "abc", "no \"room\"", 250, true,
				     &out);
	CU_ASSERT_EQUAL(strncmp(out.data, "HTTP/1.1 503 ", 13), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Retry-After: 0.250\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Connection: close\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "no \\\"room\\\""));
	buf_reset(&out);
	pf_wire()->encode_own_answer(404, NULL, "no", -1, false, &out);
	CU_ASSERT_PTR_NULL(strstr(out.data, "Retry-After"));
}

static void lookups_are_known_and_answered(void)
{
	const char *const addresses[] = { "1.1.1.1:1", "2.2.2.2:2" };
	BUF_AUTO out = BUF_INIT;
	struct hparse p;

	parse(&p, true, "GET /v1/resolve?name=x HTTP/1.1\r\nHost: a\r\n\r\n");
	CU_ASSERT(pf_wire()->is_lookup(&p.msg));
	CU_ASSERT_FALSE(pf_wire()->is_ready_check(&p.msg));
	hparse_free(&p);
	parse(&p, true, "GET /v1/resolver HTTP/1.1\r\nHost: a\r\n\r\n");
	CU_ASSERT_FALSE(pf_wire()->is_lookup(&p.msg));
	hparse_free(&p);
	pf_wire()->encode_lookup_answer(addresses, 2, 2, &out);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data, "{\"addresses\":[\"1.1.1.1:1\",\"2.2.2.2:2\"],"
				 "\"ttlS\":2}"));
}

/* ---- The store ---- */

static void store_calls_are_encoded(void)
{
	const struct sto_codec *c = pf_wire()->store;
	struct sto_call call = { .kind = STO_WATCH,
				 .key = "a b/",
				 .revision = 41,
				 .wait_ms = 1500 };
	BUF_AUTO out = BUF_INIT;

	c->encode(&call, "store", &out);
	CU_ASSERT_EQUAL(strncmp(out.data,
				"GET /v1/kv-watch?prefix=a%20b/&after=41&"
				"waitMs=1500 HTTP/1.1\r\n",
				61),
			0);
	buf_reset(&out);
	memset(&call, 0, sizeof(call));
	call.kind = STO_WRITE;
	call.nr_conditions = 1;
	call.conditions[0] = (struct sto_condition){ "k", 0 };
	call.nr_rows = 2;
	call.rows[0] = (struct sto_row){ "k", "node-1", 6, 77 };
	call.rows[1] = (struct sto_row){ "old", NULL, 0, 0 };
	c->encode(&call, "store", &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(
		out.data, "{\"expectedRev\":[{\"key\":\"k\",\"revision\":0}],"
			  "\"writes\":[{\"key\":\"k\",\"value\":\"bm9kZS0x\","
			  "\"lease\":77}],\"deletes\":[\"old\"]}"));
}

/*
 * Guards against a listing that fails at each try because the key at the end of a
 * page cannot be sent as it is.
 */
static void keys_of_other_writers_are_encoded(void)
{
	struct sto_call call = { .kind = STO_LIST,
				 .key = "servers/",
				 .after = "servers/a\r\nb\x7f\xc3\xa4\"c%" };
	BUF_AUTO out = BUF_INIT;

	pf_wire()->store->encode(&call, "store", &out);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(buf_cstr(&out),
		       "GET /v1/kv-range?prefix=servers/&after="
		       "servers/a%0D%0Ab%7F%C3%A4%22c%25 HTTP/1.1\r\n"));
}

static void store_answers_are_decoded(void)
{
	static const char page[] =
		"{\"items\":[{\"key\":\"a\",\"value\":\"bm9kZS0x\","
		"\"revision\":4}],\"morePages\":true,\"currentRev\":530}";
	static const char events[] =
		"{\"events\":[{\"key\":\"a\",\"revision\":9,\"deleted\":true}],"
		"\"currentRev\":9}";
	static const char torn[] = "{\"items\":[{\"key\":\"a\",\"val";
	const struct sto_codec *c = pf_wire()->store;
	struct sto_answer a;

	memset(&a, 0, sizeof(a));
	c->decode(STO_LIST, 200, page, strlen(page), &a);
	CU_ASSERT_EQUAL(a.outcome, STO_OK);
	CU_ASSERT_EQUAL(a.revision, 530);
	CU_ASSERT(a.more);
	CU_ASSERT_EQUAL_FATAL(a.nr_items, 1);
	CU_ASSERT_STRING_EQUAL(a.items[0].value, "node-1");
	CU_ASSERT_EQUAL(a.items[0].len, 6);
	sto_answer_free(&a);
	memset(&a, 0, sizeof(a));
	c->decode(STO_WATCH, 200, events, strlen(events), &a);
	CU_ASSERT_EQUAL_FATAL(a.nr_items, 1);
	CU_ASSERT_PTR_NULL(a.items[0].value);
	sto_answer_free(&a);
	memset(&a, 0, sizeof(a));
	c->decode(STO_LIST, 200, torn, strlen(torn), &a);
	CU_ASSERT_EQUAL(a.outcome, STO_MALFORMED);
	sto_answer_free(&a);
}

/* An answer around items; %s: the items. */
#define PAGE "{\"items\":[%s],\"morePages\":false,\"currentRev\":530}"
#define EVENTS "{\"events\":[%s],\"currentRev\":530}"

/* Items that another writer may cause, each with the key that it has, if any. */
static const struct {
	const char *text, *key;
} odd_items[] = {
	{ "{\"key\":\"servers/odd\",\"revision\":5}", "servers/odd" },
	{ "{\"key\":\"servers/odd\",\"value\":7,\"revision\":5}",
	  "servers/odd" },
	{ "{\"key\":\"servers/odd\",\"value\":null,\"revision\":5}",
	  "servers/odd" },
	{ "{\"key\":\"servers/odd\",\"value\":\"%%%%\",\"revision\":5}",
	  "servers/odd" },
	{ "{\"key\":\"servers/odd\",\"value\":\"bm9kZS0x\\u0000\","
	  "\"revision\":5}",
	  "servers/odd" },
	{ "{\"value\":\"bm9kZS0x\",\"revision\":5}", NULL },
	{ "{\"key\":7,\"value\":\"bm9kZS0x\",\"revision\":5}", NULL },
	{ "{\"key\":\"servers/i-1\\u0000x\",\"value\":\"bm9kZS0x\","
	  "\"revision\":5}",
	  NULL },
	{ "null", NULL },
	{ "7", NULL },
	{ "[]", NULL },
};

/* Decodes an answer that has an odd item between two good ones. */
static void decode_with_odd_item(enum sto_kind kind, const char *odd,
				 struct sto_answer *a)
{
	BUF_AUTO items = BUF_INIT;
	BUF_AUTO body = BUF_INIT;

	buf_fmt(&items,
		"{\"key\":\"servers/i-1\",\"value\":\"bm9kZS0x\","
		"\"revision\":4},%s,{\"key\":\"servers/i-2\","
		"\"value\":\"bm9kZS0x\",\"revision\":6}",
		odd);
	buf_fmt(&body, kind == STO_LIST ? PAGE : EVENTS, items.data);
	memset(a, 0, sizeof(*a));
	pf_wire()->store->decode(kind, 200, body.data, body.len, a);
}

/*
 * Guards against a list that no entry can follow because of one item of another
 * writer. The item's former value does not stay: it was overwritten.
 */
static void odd_item_does_not_hide_the_others(void)
{
	static const enum sto_kind kinds[] = { STO_LIST, STO_WATCH };
	size_t i, k;

	for (i = 0; i < 2 * sizeof(odd_items) / sizeof(odd_items[0]); i++) {
		const char *key = odd_items[i / 2].key;
		struct sto_answer a;

		decode_with_odd_item(kinds[i % 2], odd_items[i / 2].text, &a);
		CU_ASSERT_EQUAL(a.outcome, STO_OK);
		CU_ASSERT_EQUAL(a.revision, 530);
		CU_ASSERT_EQUAL(a.nr_skipped, key ? 0 : 1);
		CU_ASSERT_EQUAL_FATAL(a.nr_items, key ? 3 : 2);
		CU_ASSERT_STRING_EQUAL(a.items[0].key, "servers/i-1");
		k = a.nr_items - 1;
		CU_ASSERT_STRING_EQUAL(a.items[k].key, "servers/i-2");
		CU_ASSERT_STRING_EQUAL(a.items[k].value, "node-1");
		if (key) {
			CU_ASSERT_STRING_EQUAL(a.items[1].key, key);
			CU_ASSERT_PTR_NOT_NULL_FATAL(a.items[1].value);
			CU_ASSERT_EQUAL(a.items[1].len, 0);
		}
		sto_answer_free(&a);
	}
}

/* Without a key there is no next page: the listing would end too early. */
static void page_without_any_key_is_malformed(void)
{
	static const char page[] =
		"{\"items\":[7],\"morePages\":true,\"currentRev\":530}";
	struct sto_answer a;

	memset(&a, 0, sizeof(a));
	pf_wire()->store->decode(STO_LIST, 200, page, strlen(page), &a);
	CU_ASSERT_EQUAL(a.outcome, STO_MALFORMED);
	sto_answer_free(&a);
}

/* Guards against a store that counts as away because a value is unreadable. */
static void unreadable_value_is_an_answer_without_items(void)
{
	static const char item[] =
		"{\"key\":\"k\",\"value\":\"%%%\",\"revision\":4,"
		"\"currentRev\":530}";
	struct sto_answer a;

	memset(&a, 0, sizeof(a));
	pf_wire()->store->decode(STO_GET, 200, item, strlen(item), &a);
	CU_ASSERT_EQUAL(a.outcome, STO_OK);
	CU_ASSERT_EQUAL(a.nr_items, 0);
	sto_answer_free(&a);
}

static void store_outcomes_are_told_apart(void)
{
	static const struct {
		int status;
		enum sto_outcome want;
	} cases[] = {
		{ 404, STO_ABSENT },	   { 412, STO_CONFLICT },
		{ 410, STO_HISTORY_LOST }, { 429, STO_BUSY },
		{ 503, STO_BUSY },	   { 500, STO_MALFORMED },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct sto_answer a;

		memset(&a, 0, sizeof(a));
		pf_wire()->store->decode(STO_GET, cases[i].status, "{}", 2, &a);
		CU_ASSERT_EQUAL(a.outcome, cases[i].want);
		sto_answer_free(&a);
	}
}

/* ---- Duties ---- */

static void duty_calls_are_encoded(void)
{
	const struct usage_total t[] = { { "t1", 12 }, { "t2", 3 } };
	const struct wire_duty d = { "edge-1", 12 };
	BUF_AUTO counts = BUF_INIT;
	BUF_AUTO out = BUF_INIT;

	pf_wire()->encode_usage_counts(t, 2, &counts);
	pf_wire()->encode_usage(&d, 355, counts.data, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "POST /usage HTTP/1.1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "Duty-Holder: edge-1\r\n"
						"Fencing-Token: 12\r\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.data,
		       "{\"windowNo\":355,\"counts\":{\"t1\":12,\"t2\":3}}"));
	buf_reset(&out);
	pf_wire()->encode_scale(&d, "s", "z", true, 4, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(
		out.data, "{\"service\":\"s\",\"zone\":\"z\",\"desired\":4,"
			  "\"spot\":true}"));
}

/* Bytes that are altered at random are decoded or refused, never worse. */
static void altered_bytes_do_no_harm(void)
{
	const struct wire *w = pf_wire();
	struct rnd rnd;
	int round;

	rnd_seed(&rnd, 21);
	for (round = 0; round < 3000; round++) {
		BUF_AUTO text = BUF_INIT;
		struct sto_answer a;
		struct flt_info info;
		struct err e = ERR_INIT;
		struct cfg *c;
		unsigned k;

		buf_add(&text, document, strlen(document));
		for (k = 0; k < 1 + rnd_below(&rnd, 6); k++)
			text.data[rnd_below(&rnd, (uint32_t)text.len)] =
				(char)rnd_below(&rnd, 256);
		c = w->decode_config(text.data, text.len, &e);
		CU_ASSERT(c != NULL || err_is_set(&e));
		cfg_put(c);
		w->decode_endpoint("servers/x", text.data, text.len, &info, &e);
		memset(&a, 0, sizeof(a));
		w->store->decode((enum sto_kind)(round % 7), 200, text.data,
				 text.len, &a);
		sto_answer_free(&a);
	}
}

/* How often the store came back from an older copy; older stores do not say. */
static void era_is_in_the_head(void)
{
	const struct sto_codec *c = pf_wire()->store;
	struct buf head = BUF_INIT;
	struct hmsg m;

	c->put_era(0, &head);
	CU_ASSERT_EQUAL(head.len, 0);
	c->put_era(12, &head);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&head), "Store-Era: 12\r\n");
	buf_free(&head);
	memset(&m, 0, sizeof(m));
	CU_ASSERT_EQUAL(c->era(&m), 0);
}

static const struct unit_test tests[] = {
	{ "the era is in the head", era_is_in_the_head },
	{ "the configuration is decoded once", configuration_is_decoded_once },
	{ "numbers of the configuration are bounded",
	  numbers_of_the_configuration_are_bounded },
	{ "an unreadable configuration is refused",
	  unreadable_configuration_is_refused },
	{ "endpoints are decoded", endpoints_are_decoded },
	{ "entries of other writers name no endpoint",
	  entries_of_other_writers_name_no_endpoint },
	{ "entries out of range name no endpoint",
	  entries_out_of_range_name_no_endpoint },
	{ "ids that no header can hold name no endpoint",
	  ids_that_no_header_can_hold_name_no_endpoint },
	{ "times out of range are bounded", times_out_of_range_are_bounded },
	{ "an attempt is decoded", attempt_is_decoded },
	{ "shared parts are decoded one by one",
	  shared_parts_are_decoded_one_by_one },
	{ "unusual lists of parts", unusual_lists_of_parts },
	{ "long lists of parts are bounded", long_lists_of_parts_are_bounded },
	{ "a continued stream is named", continued_stream_is_named },
	{ "wrong heads are refused", wrong_heads_are_refused },
	{ "forged headers do not pass", forged_headers_do_not_pass },
	{ "answers are told apart", answers_are_told_apart },
	{ "leaving is a flag", leaving_is_a_flag },
	{ "waits are read from refusals alone",
	  waits_are_read_from_refusals_alone },
	{ "limits that are no positive number are malformed",
	  limits_that_are_no_positive_number_are_malformed },
	{ "own answers say when to come back",
	  own_answers_say_when_to_come_back },
	{ "look-ups are known and answered", lookups_are_known_and_answered },
	{ "store calls are encoded", store_calls_are_encoded },
	{ "keys of other writers are encoded",
	  keys_of_other_writers_are_encoded },
	{ "store answers are decoded", store_answers_are_decoded },
	{ "an odd item does not hide the others",
	  odd_item_does_not_hide_the_others },
	{ "a page without any key is malformed",
	  page_without_any_key_is_malformed },
	{ "an unreadable value is an answer without items",
	  unreadable_value_is_an_answer_without_items },
	{ "store outcomes are told apart", store_outcomes_are_told_apart },
	{ "duty calls are encoded", duty_calls_are_encoded },
	{ "altered bytes do no harm", altered_bytes_do_no_harm },
};

UNIT_MAIN("platform", tests)
