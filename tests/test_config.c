/*
 * Tests of spread (compared with an array) and apply (changes through a
 * key-value service that fails or loses answers).
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rnd.h"
#include "config/apply.h"
#include "config/set.h"
#include "config/spread.h"
#include "support/fake_kv.h"
#include "support/unit.h"

/* ---- Spread ---- */

struct model_item {
	char name[16];
	uint64_t rev;
	char body[16];
};

static void spread_matches_array(void)
{
	struct spread *s = spread_create(), *t = spread_create();
	struct model_item items[40] = { 0 };
	struct rnd rnd;
	unsigned step;

	rnd_seed(&rnd, 3);
	for (step = 0; step < 20000; step++) {
		const unsigned i = rnd_below(&rnd, 40);
		const uint64_t rev = 1 + rnd_below(&rnd, 20);
		char name[16], body[16];
		enum spread_verdict want = SPREAD_NEW, got;

		snprintf(name, sizeof(name), "doc/%u", i);
		snprintf(body, sizeof(body), "b%u", rnd_below(&rnd, 3));
		if (rev < items[i].rev)
			want = SPREAD_OLD;
		else if (rev == items[i].rev)
			want = strcmp(body, items[i].body) ? SPREAD_CONFLICT
							   : SPREAD_SAME;
		got = spread_put(s, name, rev, body, strlen(body), 0);
		CU_ASSERT_EQUAL(got, want);
		if (want == SPREAD_NEW) {
			items[i].rev = rev;
			strcpy(items[i].body, body);
		}
		CU_ASSERT_EQUAL(spread_rev(s, name), items[i].rev);
	}
	/* The digest depends on the content, not on the order of arrival. */
	for (step = 40; step-- > 0;) {
		char name[16];

		snprintf(name, sizeof(name), "doc/%u", step);
		spread_put(t, name, items[step].rev, items[step].body,
			   strlen(items[step].body), 0);
	}
	CU_ASSERT_EQUAL(spread_digest(s), spread_digest(t));
	spread_put(t, "doc/1", 99, "x", 1, 0);
	CU_ASSERT_NOT_EQUAL(spread_digest(s), spread_digest(t));
	spread_free(s);
	spread_free(t);
}

static void spread_expiry(void)
{
	struct spread *s = spread_create();
	const uint64_t empty = spread_digest(s);

	spread_put(s, "notice/i", 1, "x", 1, 500);
	spread_put(s, "doc/a", 1, "x", 1, 0);
	CU_ASSERT_EQUAL(spread_expire(s, 499), 0);
	CU_ASSERT_EQUAL(spread_expire(s, 500), 1);
	CU_ASSERT_PTR_NOT_NULL(spread_get(s, "doc/a"));
	CU_ASSERT_EQUAL(spread_put(s, "", 1, "x", 1, 0), SPREAD_INVALID);
	CU_ASSERT_EQUAL(spread_put(s, "a", 0, "x", 1, 0), SPREAD_INVALID);
	CU_ASSERT_NOT_EQUAL(spread_digest(s), empty);
	spread_free(s);
}

/* ---- Apply ---- */

static char *document(void)
{
	struct err e = ERR_INIT;

	return set_read_file("examples/bayt-tayar.json", 1 << 20, &e);
}

static struct apply_change change(const char *id, int64_t base,
				  const char *text)
{
	struct apply_change c = { .base_revision = base,
				  .what = "t",
				  .text = text };

	strcpy(c.service, "bayt-tayar");
	snprintf(c.change_id, sizeof(c.change_id), "%s", id);
	strcpy(c.author, "me");
	return c;
}

/*
 * Two operators read revision 1 and both apply a change. The second write must
 * not overwrite the first one, which its author has not seen.
 */
static void concurrent_edits_conflict(void)
{
	struct fake_kv *f = fake_kv_create(1, false);
	MEM_AUTO char *text = document();
	struct apply_change c = change("one", 0, text);
	struct apply_result r = { 0 };
	struct err e = ERR_INIT;
	char *at;

	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_ACCEPTED);
	CU_ASSERT_EQUAL(r.revision, 1);
	at = strstr(text, "60000");
	at[0] = '7';
	c = change("two", 1, text);
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_ACCEPTED);
	at[0] = '8';
	c = change("three", 1, text);
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_CONFLICT);
	CU_ASSERT_EQUAL(r.revision, 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf_cstr(&r.theirs), "70000"));
	apply_result_free(&r);
	fake_kv_free(f);
}

/*
 * A write takes effect, but its answer is lost. The change must not be reported
 * as failed; its id in the stored value shows that it was accepted.
 */
static void lost_answer(void)
{
	struct fake_kv *f = fake_kv_create(1, false);
	MEM_AUTO char *text = document();
	struct apply_change c = change("one", 0, text);
	struct apply_result r = { 0 };
	struct err e = ERR_INIT;

	fake_kv_mode(f, FAKE_LOSE);
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_ACCEPTED);
	CU_ASSERT_EQUAL(r.revision, 1);
	/* A later check returns the same outcome. */
	fake_kv_mode(f, FAKE_UP);
	apply_check(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_ACCEPTED);
	c = change("never", 0, text);
	apply_check(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_CONFLICT);
	apply_result_free(&r);
	fake_kv_free(f);
}

static void service_unreachable(void)
{
	struct fake_kv *f = fake_kv_create(1, false);
	MEM_AUTO char *text = document();
	struct apply_change c = change("one", 0, text);
	struct apply_result r = { 0 };
	struct err e = ERR_INIT;

	fake_kv_mode(f, FAKE_DOWN);
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_NOT_SENT);
	CU_ASSERT_EQUAL(fake_kv_writes(f), 0);
	c.text = "{}";
	apply_write(&f->kv, &c, &r, &e);
	/* Validation fails before any call to the service. */
	CU_ASSERT_EQUAL(r.outcome, APPLY_INVALID);
	CU_ASSERT_EQUAL(fake_kv_reads(f), 1);
	apply_result_free(&r);
	fake_kv_free(f);
}

static void unchanged_text(void)
{
	struct fake_kv *f = fake_kv_create(1, false);
	MEM_AUTO char *text = document();
	struct apply_change c = change("one", 0, text);
	struct apply_result r = { 0 };
	struct err e = ERR_INIT;

	apply_write(&f->kv, &c, &r, &e);
	c = change("two", -1, text);
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_UNCHANGED);
	strcpy(c.service, "other");
	apply_write(&f->kv, &c, &r, &e);
	CU_ASSERT_EQUAL(r.outcome, APPLY_INVALID);
	apply_result_free(&r);
	fake_kv_free(f);
}

static void diff_of_lines(void)
{
	BUF_AUTO b = BUF_INIT;

	apply_diff("a\nb\nc\n", "a\nx\nc\nd\n", &b);
	CU_ASSERT_STRING_EQUAL(b.data, "-b\n+x\n+d\n");
	buf_reset(&b);
	apply_diff("a\n", "a\n", &b);
	CU_ASSERT_STRING_EQUAL(buf_cstr(&b), "");
}

static const struct unit_test tests[] = {
	{ "spread matches an array", spread_matches_array },
	{ "items expire", spread_expiry },
	{ "concurrent edits conflict", concurrent_edits_conflict },
	{ "a lost answer is resolved", lost_answer },
	{ "the service is unreachable", service_unreachable },
	{ "unchanged and misdirected text", unchanged_text },
	{ "line-by-line difference", diff_of_lines },
};

UNIT_MAIN("config", tests)
