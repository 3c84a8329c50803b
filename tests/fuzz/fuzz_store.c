/*
 * Fuzzes what other programs may leave in the store by seeded mutation: entries
 * of endpoints, and answers of the store that have odd items. Guards against
 * entries that name no endpoint to use, and against an item that hides the
 * others. `fuzz_store N SEED` runs N mutations of each.
 */
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "io/ioc.h"
#include "pf_wire.h"

#define DEFAULT_RUNS 20000
#define DEFAULT_SEED 41

#define ID "i-7f3a91c2"
#define KEY "servers/" ID
#define MAX_ITEMS 12

/* The ranges that the rest of the program relies on. */
#define MAX_SLOTS 100000
#define MAX_START_MS 253402300799999
#define DAY_MS 86400000

static const char *const entries[] = {
	"{\"service\":\"s1\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z1\","
	"\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
	"\"coldLeftMs\":5,\"seqNo\":4,\"born\":1790000000123}",
	"{\"service\":\"s2\",\"address\":\"10.1.0.14:8221\",\"zone\":\"z2\","
	"\"version\":\"v2\",\"slots\":6,\"state\":\"draining\","
	"\"coldLeftMs\":0,\"seqNo\":9,\"spot\":true,\"leaves_ms\":2500}",
};

/* Written over a piece of an entry, or into it. */
static const char *const pieces[] = {
	"0",
	"-1",
	"2147483648",
	"4294967302",
	"9223372036854775807",
	"-9223372036854775808",
	"1000000000000000000000000000000",
	"1e400",
	"NaN",
	"-Infinity",
	"7",
	"\"x\"",
	"null",
	"true",
	"{}",
	"[]",
	"\"\"",
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
	"{\"a\":{\"a\":{\"a\":{\"a\":",
	":0\"",
	":65536\"",
	"0.0.0.0:80",
	"224.0.0.1:80",
	"\\u0000",
	"\\r\\n",
	"\"",
	"\xff",
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
};

static const char *pick_piece(struct rnd *rnd)
{
	return pieces[rnd_below(rnd, sizeof(pieces) / sizeof(pieces[0]))];
}

/* Replaces up to 24 bytes at a place by a piece; at times the rest of a member. */
static void mutate(struct buf *b, struct rnd *rnd)
{
	BUF_AUTO old = BUF_INIT;
	unsigned k = 1 + rnd_below(rnd, 2);
	size_t at, end;

	while (k-- && b->len) {
		buf_reset(&old);
		buf_add(&old, b->data, b->len);
		at = rnd_below(rnd, (uint32_t)old.len);
		end = at + rnd_below(rnd, 24);
		if (rnd_below(rnd, 2)) {
			at += strcspn(old.data + at, ":");
			at += at < old.len;
			end = at + strcspn(old.data + at, ",}");
		}
		if (end > old.len)
			end = old.len;
		buf_reset(b);
		buf_add(b, old.data, at);
		buf_str(b, pick_piece(rnd));
		buf_add(b, old.data + end, old.len - end);
	}
}

/* ---- Entries ---- */

static bool is_name(const char *text)
{
	return memchr(text, '\0', FLT_NAME) != NULL;
}

static bool is_usable(const struct flt_info *info)
{
	struct sockaddr_in addr;

	return !strcmp(info->id, ID) && is_name(info->service) &&
	       *info->service && is_name(info->zone) &&
	       is_name(info->version) &&
	       memchr(info->address, '\0', sizeof(info->address)) &&
	       !ioc_address(info->address, &addr, NULL) && addr.sin_port &&
	       addr.sin_addr.s_addr && info->slots >= 1 &&
	       info->slots <= MAX_SLOTS && info->started_ms >= 0 &&
	       info->started_ms <= MAX_START_MS && info->time_left_ms >= -1 &&
	       info->time_left_ms <= DAY_MS && info->warmup_ms >= 0 &&
	       info->warmup_ms <= DAY_MS;
}

/* Returns 1 for an entry that is accepted but names no endpoint to use. */
static unsigned decode_entry(const char *text, size_t len, unsigned *accepted)
{
	struct err e = ERR_INIT;
	struct flt_info info;

	if (pf_wire()->decode_endpoint(KEY, text, len, &info, &e))
		return !err_is_set(&e) || *info.id || *info.address ||
		       info.slots;
	(*accepted)++;
	if (is_usable(&info))
		return 0;
	printf("  unusable: %.*s\n", (int)len, text);
	return 1;
}

static unsigned run_entries(struct rnd *rnd, long runs, unsigned *accepted)
{
	unsigned wrong = 0;
	long i;

	for (i = 0; i < runs; i++) {
		BUF_AUTO text = BUF_INIT;

		buf_str(&text, entries[i % 2]);
		if (i >= 2)
			mutate(&text, rnd);
		wrong += decode_entry(text.data, text.len, accepted);
	}
	return wrong;
}

/* ---- Answers ---- */

static void put_value(struct buf *out, const char *text, size_t len)
{
	unsigned char *base64 = malloc(len / 3 * 4 + 8);

	EVP_EncodeBlock(base64, (const unsigned char *)text, (int)len);
	buf_fmt(out, "\"%s\"", base64);
	free(base64);
}

static void put_good_item(struct buf *out, unsigned n)
{
	buf_fmt(out, "{\"key\":\"servers/good-%u\",\"value\":", n);
	put_value(out, entries[n % 2], strlen(entries[n % 2]));
	buf_fmt(out, ",\"revision\":%u,\"lease\":0}", n + 1);
}

/* A member's value: valid JSON, but not what an item has there. */
static const char *odd_member(struct rnd *rnd)
{
	static const char *const odd[] = {
		"null",
		"7",
		"[]",
		"{}",
		"true",
		"\"\"",
		"\"%%%\"",
		"\"===\"",
		"\"bm9kZ\"",
		"-1",
		"1e400",
		"9223372036854775808",
		"[[[[]]]]",
		"\"\\u0000\"",
		"\"bm9kZS0x\\u0000\"",
		"\"servers/good-0\\u0000\"",
	};

	return odd[rnd_below(rnd, sizeof(odd) / sizeof(odd[0]))];
}

static void put_odd_item(struct buf *out, struct rnd *rnd)
{
	BUF_AUTO value = BUF_INIT;

	if (!rnd_below(rnd, 8)) {
		buf_str(out, odd_member(rnd));
		return;
	}
	buf_str(out, "{\"other\":1");
	if (rnd_below(rnd, 8))
		buf_fmt(out, ",\"key\":%s",
			rnd_below(rnd, 4) ? "\"servers/odd\""
					  : odd_member(rnd));
	if (rnd_below(rnd, 2)) {
		buf_fmt(out, ",\"value\":%s", odd_member(rnd));
	} else {
		buf_str(&value, entries[0]);
		mutate(&value, rnd);
		buf_str(out, ",\"value\":");
		put_value(out, value.data, value.len);
	}
	if (rnd_below(rnd, 4))
		buf_fmt(out, ",\"revision\":%s", odd_member(rnd));
	if (!rnd_below(rnd, 4))
		buf_fmt(out, ",\"deleted\":%s", odd_member(rnd));
	buf_str(out, "}");
}

static bool is_good_item(const struct sto_item *it, unsigned n)
{
	const char *text = entries[n % 2];
	char key[32];

	snprintf(key, sizeof(key), "servers/good-%u", n);
	return !strcmp(it->key, key) && it->revision == n + 1 && it->value &&
	       it->len == strlen(text) && !memcmp(it->value, text, it->len);
}

/* The good items of the answer that are found in their order. */
static unsigned count_good(const struct sto_answer *a)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < a->nr_items; i++)
		n += is_good_item(&a->items[i], n);
	return n;
}

/* True if what is there of any answer can be relied on. */
static bool items_are_sound(const struct sto_answer *a)
{
	size_t i;

	for (i = 0; i < a->nr_items; i++) {
		const struct sto_item *it = &a->items[i];

		if (!it->key || !*it->key || strlen(it->key) > 200 ||
		    (!it->value && it->len) ||
		    (it->value && it->value[it->len]))
			return false;
	}
	return true;
}

/* Appends an answer with odd items among good ones; returns the number of these. */
static unsigned put_answer(struct buf *out, struct rnd *rnd, bool watch,
			   unsigned items)
{
	unsigned i, good = 0;

	buf_str(out, watch ? "{\"events\":[" : "{\"items\":[");
	for (i = 0; i < items; i++) {
		if (i)
			buf_str(out, ",");
		if (rnd_below(rnd, 2))
			put_good_item(out, good++);
		else
			put_odd_item(out, rnd);
	}
	buf_fmt(out, "],\"morePages\":false,\"currentRev\":77}");
	return good;
}

static unsigned decode_answer(const struct buf *body, bool watch,
			      unsigned items, unsigned good)
{
	struct sto_answer a;
	unsigned wrong;

	memset(&a, 0, sizeof(a));
	pf_wire()->store->decode(watch ? STO_WATCH : STO_LIST, 200, body->data,
				 body->len, &a);
	wrong = a.outcome != STO_OK || a.revision != 77 ||
		!items_are_sound(&a) || count_good(&a) != good ||
		a.nr_items + a.nr_skipped != items;
	if (wrong)
		printf("  odd item hides others: %.*s\n", (int)body->len,
		       body->data);
	sto_answer_free(&a);
	return wrong;
}

/* An answer that is damaged itself: any outcome, but nothing worse. */
static unsigned decode_damaged(struct buf *body, struct rnd *rnd, long i)
{
	struct sto_answer a;
	unsigned wrong;

	mutate(body, rnd);
	memset(&a, 0, sizeof(a));
	pf_wire()->store->decode((enum sto_kind)(i % STO_KINDS), 200,
				 body->data, body->len, &a);
	wrong = !items_are_sound(&a);
	sto_answer_free(&a);
	return wrong;
}

static unsigned run_answers(struct rnd *rnd, long runs)
{
	unsigned wrong = 0, items, good;
	long i;

	for (i = 0; i < runs; i++) {
		BUF_AUTO body = BUF_INIT;
		const bool watch = i % 2;

		items = rnd_below(rnd, MAX_ITEMS);
		good = put_answer(&body, rnd, watch, items);
		wrong += decode_answer(&body, watch, items, good);
		wrong += decode_damaged(&body, rnd, i);
	}
	return wrong;
}

int main(int argc, char **argv)
{
	const long runs = argc > 1 ? atol(argv[1]) : DEFAULT_RUNS;
	unsigned bad_entries, bad_answers, accepted = 0;
	struct rnd rnd;
	bool mixed;

	rnd_seed(&rnd, argc > 2 ? strtoull(argv[2], NULL, 10) : DEFAULT_SEED);
	bad_entries = run_entries(&rnd, runs, &accepted);
	bad_answers = run_answers(&rnd, runs);
	/* Else the mutations are too strong, or do not reach the fields. */
	mixed = accepted > runs / 20 && accepted < runs - runs / 20;
	printf("  entries accepted: %u of %ld\n", accepted, runs);
	printf("fuzz_store: %d passed, %d failed\n",
	       !bad_entries + !bad_answers + mixed,
	       3 - (!bad_entries + !bad_answers + mixed));
	return bad_entries || bad_answers || !mixed;
}
