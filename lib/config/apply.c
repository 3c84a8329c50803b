#include "config/apply.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsn.h"
#include "config/doc.h"

/* Attempts to read the outcome back before it is reported as unknown. */
#define READ_BACK_TRIES 3

struct stored {
	bool exists;
	int64_t mod_rev; /* the service's revision of the key */
	int64_t serial;	 /* revision of the document; 0: none */
	char change[40];
	char author[64];
	struct buf text;
};

static void doc_key(char out[KV_KEY_MAX], const char *service)
{
	snprintf(out, KV_KEY_MAX, "/marldock/doc/%s", service);
}

static int read_stored(struct kv *kv, const char *service, struct stored *s,
		       struct err *e)
{
	KV_PAIRS_AUTO p = { 0 };
	JSN_AUTO *o = NULL;
	char key[KV_KEY_MAX];

	memset(s, 0, sizeof(*s));
	doc_key(key, service);
	if (kv->vt->range(kv, key, false, &p, e))
		return -1;
	if (!p.nr)
		return 0;
	o = jsn_parse(p.rows[0].value, p.rows[0].len);
	s->exists = true;
	s->mod_rev = p.rows[0].mod_rev;
	s->serial = jsn_int(o, "serial", 0);
	str_copy(s->change, jsn_str(o, "change", ""), sizeof(s->change));
	str_copy(s->author, jsn_str(o, "author", ""), sizeof(s->author));
	buf_str(&s->text, jsn_str(o, "text", ""));
	return 0;
}

static void print_value(const struct apply_change *c, int64_t serial,
			struct buf *b)
{
	buf_fmt(b, "{\"serial\":%lld,\"change\":", (long long)serial);
	buf_json(b, c->change_id);
	buf_str(b, ",\"author\":");
	buf_json(b, c->author);
	buf_fmt(b, ",\"at_wall_ms\":%lld,\"text\":", (long long)c->at_wall_ms);
	buf_json(b, c->text);
	buf_str(b, "}");
}

static void set_conflict(struct apply_result *out, struct stored *s)
{
	out->outcome = APPLY_CONFLICT;
	out->revision = s->serial;
	buf_free(&out->theirs);
	out->theirs = s->text;
	memset(&s->text, 0, sizeof(s->text));
	str_copy(out->their_author, s->author, sizeof(out->their_author));
}

/* Validates the document, without a call to the service. */
static bool validate_text(const struct apply_change *c, struct err *e)
{
	struct doc *d = doc_parse(c->what, c->text, e);
	bool same;

	if (!d)
		return false;
	same = !strcmp(d->service, c->service);
	if (!same)
		jsn_error_at(c->what, c->text, "service", e,
			     "the document is for service \"%s\", not \"%s\"",
			     d->service, c->service);
	doc_free(d);
	return same;
}

void apply_check(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e)
{
	KV_PAIRS_AUTO hist = { 0 };
	char prefix[KV_KEY_MAX];
	struct stored s;
	size_t i;

	if (read_stored(kv, c->service, &s, e)) {
		out->outcome = APPLY_UNKNOWN;
		return;
	}
	if (s.exists && !strcmp(s.change, c->change_id)) {
		out->outcome = APPLY_ACCEPTED;
		out->revision = s.serial;
		buf_free(&s.text);
		return;
	}
	/* Look in the history: a later change may have replaced this one. */
	snprintf(prefix, sizeof(prefix), "/marldock/hist/%s/", c->service);
	if (kv->vt->range(kv, prefix, true, &hist, e)) {
		out->outcome = APPLY_UNKNOWN;
		buf_free(&s.text);
		return;
	}
	for (i = 0; i < hist.nr; i++) {
		JSN_AUTO *o = jsn_parse(hist.rows[i].value, hist.rows[i].len);

		if (strcmp(jsn_str(o, "change", ""), c->change_id))
			continue;
		out->outcome = APPLY_ACCEPTED;
		out->revision = jsn_int(o, "serial", 0);
		buf_free(&s.text);
		return;
	}
	set_conflict(out, &s);
	err_set(e, ERR_CONFLICT,
		"the change is neither in force nor in the history");
	buf_free(&s.text);
}

enum base_state {
	BASE_UNREADABLE,
	BASE_UNCHANGED,
	BASE_CHANGED
};

/* Compares the stored document with the state that the write is based on. */
static enum base_state compare_base(struct kv *kv, const struct apply_change *c,
				    const struct stored *s, struct err *e)
{
	struct stored now;
	enum base_state b;

	if (read_stored(kv, c->service, &now, e))
		return BASE_UNREADABLE;
	b = now.mod_rev == s->mod_rev ? BASE_UNCHANGED : BASE_CHANGED;
	buf_free(&now.text);
	return b;
}

/*
 * Determines the outcome of a write whose answer was lost; it may have taken
 * effect or still do so. Repeating it is safe: both have the same condition,
 * so at most one of them succeeds.
 */
static void resolve_lost_answer(struct kv *kv, const struct apply_change *c,
				const struct stored *s,
				const struct kv_compare *cmp,
				const struct kv_put *puts, int64_t serial,
				struct apply_result *out, struct err *e)
{
	int i;

	out->outcome = APPLY_UNKNOWN;
	for (i = 0; i < READ_BACK_TRIES; i++) {
		bool done = false;

		switch (compare_base(kv, c, s, e)) {
		case BASE_UNREADABLE:
			continue;
		case BASE_CHANGED:
			/* The condition can no longer hold: final state. */
			apply_check(kv, c, out, e);
			if (out->outcome != APPLY_UNKNOWN)
				return;
			continue;
		case BASE_UNCHANGED:
			break;
		}
		if (!kv->vt->txn(kv, cmp, 1, puts, 2, &done, NULL, e) && done) {
			out->outcome = APPLY_ACCEPTED;
			out->revision = serial;
			return;
		}
	}
	if (out->outcome == APPLY_UNKNOWN)
		err_set(e, ERR_TIMEOUT,
			"the key-value service did not answer; whether change "
			"%s was accepted is unknown. To check again: "
			"marldockctl check %s %s",
			c->change_id, c->service, c->change_id);
}

static bool write_once(struct kv *kv, const struct apply_change *c,
		       const struct stored *s, struct apply_result *out,
		       struct err *e)
{
	char key[KV_KEY_MAX], hist[KV_KEY_MAX];
	const int64_t serial = s->serial + 1;
	const struct kv_compare cmp = { key, s->mod_rev };
	BUF_AUTO value = BUF_INIT;
	struct kv_put puts[2];
	bool done = false;

	doc_key(key, c->service);
	snprintf(hist, sizeof(hist), "/marldock/hist/%s/%08lld", c->service,
		 (long long)serial);
	print_value(c, serial, &value);
	puts[0] = (struct kv_put){ key, value.data, 0 };
	puts[1] = (struct kv_put){ hist, value.data, 0 };
	if (kv->vt->txn(kv, &cmp, 1, puts, 2, &done, NULL, e)) {
		if (e->code == ERR_REFUSED)
			out->outcome = APPLY_NOT_SENT;
		else
			resolve_lost_answer(kv, c, s, &cmp, puts, serial, out,
					    e);
		return true;
	}
	if (!done)
		return false;
	out->outcome = APPLY_ACCEPTED;
	out->revision = serial;
	return true;
}

void apply_write(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e)
{
	struct stored s;

	memset(out, 0, sizeof(*out));
	if (!validate_text(c, e)) {
		out->outcome = APPLY_INVALID;
		return;
	}
	if (read_stored(kv, c->service, &s, e)) {
		out->outcome = APPLY_NOT_SENT;
		return;
	}
	if (c->base_revision >= 0 && s.serial != c->base_revision) {
		set_conflict(out, &s);
		err_set(e, ERR_CONFLICT,
			"you edited revision %lld, but the current revision "
			"is %lld by %s",
			(long long)c->base_revision, (long long)s.serial,
			s.author);
	} else if (s.exists && !strcmp(buf_cstr(&s.text), c->text)) {
		out->outcome = APPLY_UNCHANGED;
		out->revision = s.serial;
	} else if (!write_once(kv, c, &s, out, e)) {
		buf_free(&s.text);
		if (read_stored(kv, c->service, &s, e)) {
			/* Another write came first, but is unreadable. */
			out->outcome = APPLY_CONFLICT;
			return;
		}
		set_conflict(out, &s);
		err_set(e, ERR_CONFLICT,
			"revision %lld by %s was accepted first",
			(long long)s.serial, s.author);
	}
	buf_free(&s.text);
}

int apply_read(struct kv *kv, const char *service, struct buf *text,
	       int64_t *revision, struct err *e)
{
	struct stored s;

	if (read_stored(kv, service, &s, e))
		return -1;
	*revision = s.serial;
	buf_add(text, buf_cstr(&s.text), s.text.len);
	buf_free(&s.text);
	return 0;
}

void apply_result_free(struct apply_result *r)
{
	buf_free(&r->theirs);
}

const char *apply_outcome_name(enum apply_outcome o)
{
	static const char *const names[] = { "accepted", "unchanged",
					     "conflict", "invalid",
					     "unknown",	 "not-sent" };

	return names[o];
}

/* ---- Difference ---- */

/*
 * Lines of each text that are compared; the rest is ignored. Documents have
 * some hundred lines, for which the table of the longest common subsequence
 * takes some 100 KB.
 */
#define DIFF_MAX_LINES 4000

/* The lines of a text, without line feeds. */
struct lines {
	const char **at;
	size_t *len;
	size_t nr;
};

static void split(const char *text, struct lines *l)
{
	size_t cap = 1, i;
	const char *p;

	for (i = 0; text[i]; i++)
		cap += text[i] == '\n';
	l->at = mem_new(cap * sizeof(*l->at));
	l->len = mem_new(cap * sizeof(*l->len));
	l->nr = 0;
	for (p = text; *p;) {
		const size_t n = strcspn(p, "\n");

		l->at[l->nr] = p;
		l->len[l->nr++] = n;
		p += n + (p[n] == '\n');
	}
}

static bool same(const struct lines *a, size_t i, const struct lines *b,
		 size_t j)
{
	return a->len[i] == b->len[j] && !memcmp(a->at[i], b->at[j], a->len[i]);
}

static void print_line(struct buf *out, char sign, const struct lines *l,
		       size_t i)
{
	buf_fmt(out, "%c%.*s\n", sign, (int)l->len[i], l->at[i]);
}

/*
 * Prints the difference. `t` has b->nr + 1 columns; t[i][j] is the length of
 * the longest common subsequence of the lines of `a` from i on and of `b` from
 * j on.
 */
static void print_differences(const struct lines *a, const struct lines *b,
			      const unsigned short *t, struct buf *out)
{
	const size_t w = b->nr + 1;
	size_t i = 0, j = 0;

	while (i < a->nr || j < b->nr) {
		if (i < a->nr && j < b->nr && same(a, i, b, j)) {
			i++;
			j++;
		} else if (j == b->nr ||
			   (i < a->nr &&
			    t[(i + 1) * w + j] >= t[i * w + j + 1])) {
			print_line(out, '-', a, i++);
		} else {
			print_line(out, '+', b, j++);
		}
	}
}

void apply_diff(const char *a, const char *b, struct buf *out)
{
	struct lines x, y;
	unsigned short *t;
	size_t i, j, w;

	split(a, &x);
	split(b, &y);
	if (x.nr > DIFF_MAX_LINES)
		x.nr = DIFF_MAX_LINES;
	if (y.nr > DIFF_MAX_LINES)
		y.nr = DIFF_MAX_LINES;
	w = y.nr + 1;
	t = mem_new((x.nr + 1) * w * sizeof(*t));
	for (i = x.nr; i-- > 0;) {
		for (j = y.nr; j-- > 0;) {
			const unsigned short down = t[(i + 1) * w + j];
			const unsigned short right = t[i * w + j + 1];

			if (same(&x, i, &y, j))
				t[i * w +
				  j] = (unsigned short)(t[(i + 1) * w + j + 1] +
							1);
			else
				t[i * w + j] = down > right ? down : right;
		}
	}
	print_differences(&x, &y, t, out);
	free(t);
	free(x.at);
	free(x.len);
	free(y.at);
	free(y.len);
}
