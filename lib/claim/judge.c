#include "claim/judge.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/hsh.h"

/*
 * A grant that was issued further in the future than this, in ms, is refused:
 * the clock of the issuing entry is wrong, and its keys would be stored for too
 * long.
 */
#define MAX_ISSUED_AHEAD_MS 60000

struct vote {
	struct cds_list_head bucket;
	struct cds_list_head age; /* in judge.by_age */
	struct judge_vote v;
	uint64_t hash;
};

/* Judge of a view whose votes this entry has taken over as the reserve. */
struct import {
	struct cds_list_head node;
	uint64_t from;
	uint64_t view;
};

struct judge {
	uint64_t self;
	int64_t key_life_ms;
	size_t max_votes;
	size_t count;
	bool stopped;
	int64_t now_ms; /* highest wall clock time seen; never decreases */
	struct cds_list_head imports;
	struct cds_list_head by_age; /* votes, ascending by issued_ms */
	size_t nr_buckets;
	struct cds_list_head *buckets;
};

struct judge *judge_create(uint64_t self, int64_t key_life_ms, size_t max_votes)
{
	struct judge *j = mem_new(sizeof(*j));
	size_t n = 64, i;

	while (n < max_votes)
		n *= 2;
	j->self = self;
	j->key_life_ms = key_life_ms;
	j->max_votes = max_votes;
	j->nr_buckets = n;
	j->buckets = mem_new(n * sizeof(*j->buckets));
	for (i = 0; i < n; i++)
		CDS_INIT_LIST_HEAD(&j->buckets[i]);
	CDS_INIT_LIST_HEAD(&j->by_age);
	CDS_INIT_LIST_HEAD(&j->imports);
	return j;
}

static void drop_vote(struct judge *j, struct vote *v)
{
	cds_list_del(&v->bucket);
	cds_list_del(&v->age);
	free(v);
	j->count--;
}

void judge_free(struct judge *j)
{
	struct vote *v, *tmp;
	struct import *a, *tmp_a;

	if (!j)
		return;
	cds_list_for_each_entry_safe(v, tmp, &j->by_age, age)
		drop_vote(j, v);
	cds_list_for_each_entry_safe(a, tmp_a, &j->imports, node)
		free(a);
	free(j->buckets);
	free(j);
}

/* ---- Votes ---- */

static uint64_t vote_hash(const char *key, unsigned judge_index)
{
	return hsh_str(key, 100 + judge_index);
}

static struct vote *find_vote(const struct judge *j, const char *key,
			      unsigned judge_index)
{
	const uint64_t hash = vote_hash(key, judge_index);
	struct cds_list_head *head = &j->buckets[hash & (j->nr_buckets - 1)];
	struct vote *v;

	cds_list_for_each_entry(v, head, bucket) {
		if (v->hash == hash && v->v.judge_index == judge_index &&
		    !strcmp(v->v.key, key))
			return v;
	}
	return NULL;
}

/*
 * Keys arrive nearly in the order in which they were issued, so a search from
 * the newest end finds the position in a step or two.
 */
static void insert_by_age(struct judge *j, struct vote *v)
{
	struct cds_list_head *pos = j->by_age.prev;

	while (pos != &j->by_age) {
		struct vote *o = cds_list_entry(pos, struct vote, age);

		if (o->v.issued_ms <= v->v.issued_ms)
			break;
		pos = pos->prev;
	}
	cds_list_add(&v->age, pos);
}

static void add_vote(struct judge *j, const struct judge_vote *jv)
{
	struct vote *v = mem_new(sizeof(*v));

	v->v = *jv;
	v->hash = vote_hash(jv->key, jv->judge_index);
	cds_list_add(&v->bucket, &j->buckets[v->hash & (j->nr_buckets - 1)]);
	insert_by_age(j, v);
	j->count++;
}

static void advance_time(struct judge *j, int64_t wall_ms)
{
	if (wall_ms > j->now_ms)
		j->now_ms = wall_ms;
}

static bool expired(const struct judge *j, int64_t issued_ms)
{
	return j->now_ms > issued_ms + j->key_life_ms;
}

void judge_expire(struct judge *j, int64_t wall_ms)
{
	struct vote *v, *tmp;

	advance_time(j, wall_ms);
	cds_list_for_each_entry_safe(v, tmp, &j->by_age, age) {
		if (!expired(j, v->v.issued_ms))
			break;
		drop_vote(j, v);
	}
}

/* ---- Deciding ---- */

static bool has_imported(const struct judge *j, uint64_t from, uint64_t view)
{
	struct import *a;

	cds_list_for_each_entry(a, &j->imports, node) {
		if (a->from == from && a->view == view)
			return true;
	}
	return false;
}

static bool is_reserve(const struct view *view, const struct view_slot *s,
		       uint64_t id)
{
	return s->has_reserve && view->members[s->reserve].id == id;
}

static enum judge_reason check_request(const struct judge *j,
				       const struct view *view,
				       const struct judge_request *request)
{
	const struct view_slot *s;
	uint64_t judge;

	if (request->slot >= VIEW_SLOTS || !*request->key ||
	    request->issued_ms > j->now_ms + MAX_ISSUED_AHEAD_MS ||
	    !request->claimant)
		return JUDGE_BAD_REQUEST;
	if (!view || view->number != request->view)
		return JUDGE_UNKNOWN_VIEW;
	s = &view->slots[request->slot];
	if (request->judge_index >= s->nr_judges)
		return JUDGE_BAD_REQUEST;
	/* Not even own votes are added after judge_stop. */
	if (j->stopped)
		return JUDGE_LEAVING;
	judge = view->members[s->judge[request->judge_index]].id;
	if (judge != j->self && !(is_reserve(view, s, j->self) &&
				  has_imported(j, judge, view->number)))
		return JUDGE_NOT_MINE;
	if (expired(j, request->issued_ms))
		return JUDGE_EXPIRED;
	return JUDGE_OK;
}

static struct judge_reply refuse(enum judge_reason reason)
{
	const struct judge_reply r = { JUDGE_REFUSED, reason, 0 };

	return r;
}

struct judge_reply judge_decide(struct judge *j, const struct view *view,
				const struct judge_request *request,
				int64_t wall_ms)
{
	struct judge_reply r = { JUDGE_VOTE_GRANTED, JUDGE_OK,
				 request->claimant };
	enum judge_reason reason;
	const struct vote *old;
	struct judge_vote v;

	advance_time(j, wall_ms);
	reason = check_request(j, view, request);
	if (reason != JUDGE_OK)
		return refuse(reason);
	old = find_vote(j, request->key, request->judge_index);
	if (old) {
		r.voted_for = old->v.claimant;
		if (old->v.claimant != request->claimant)
			r.verdict = JUDGE_VOTE_TAKEN;
		return r;
	}
	if (j->count >= j->max_votes)
		return refuse(JUDGE_FULL);
	str_copy(v.key, request->key, sizeof(v.key));
	v.claimant = request->claimant;
	v.issued_ms = request->issued_ms;
	v.view = request->view;
	v.slot = (uint16_t)request->slot;
	v.judge_index = (uint8_t)request->judge_index;
	add_vote(j, &v);
	return r;
}

uint64_t judge_peek(const struct judge *j, const char *key,
		    unsigned judge_index)
{
	const struct vote *v = find_vote(j, key, judge_index);

	return v ? v->v.claimant : 0;
}

/* ---- Handover ---- */

void judge_stop(struct judge *j)
{
	j->stopped = true;
}

/*
 * Only this entry's own votes are exported. If the reserve shuts down too, the
 * votes that it has imported have no successor, and requests for them are
 * refused.
 */
struct judge_vote *judge_export(const struct judge *j, const struct view *view,
				uint64_t reserve, size_t *n)
{
	struct judge_vote *out = mem_new(j->count * sizeof(*out));
	struct vote *v;

	assert(j->stopped);
	*n = 0;
	cds_list_for_each_entry(v, &j->by_age, age) {
		const struct view_slot *s = &view->slots[v->v.slot];

		if (v->v.view == view->number &&
		    view->members[s->judge[v->v.judge_index]].id == j->self &&
		    is_reserve(view, s, reserve))
			out[(*n)++] = v->v;
	}
	return out;
}

static bool can_import_vote(const struct judge *j, const struct view *view,
			    uint64_t from, const struct judge_vote *v)
{
	const struct view_slot *s;

	if (v->slot >= VIEW_SLOTS || v->view != view->number)
		return false;
	s = &view->slots[v->slot];
	return v->judge_index < s->nr_judges && is_reserve(view, s, j->self) &&
	       view->members[s->judge[v->judge_index]].id == from &&
	       memchr(v->key, '\0', sizeof(v->key));
}

bool judge_import(struct judge *j, const struct view *view, uint64_t from,
		  const struct judge_vote *votes, size_t n, int64_t wall_ms)
{
	struct import *a;
	size_t i;

	advance_time(j, wall_ms);
	if (!view || j->stopped || from == j->self || !view_find(view, from))
		return false;
	if (has_imported(j, from, view->number))
		return true;
	if (j->count + n > j->max_votes)
		return false;
	for (i = 0; i < n; i++) {
		if (!can_import_vote(j, view, from, &votes[i]))
			return false;
	}
	for (i = 0; i < n; i++) {
		if (!find_vote(j, votes[i].key, votes[i].judge_index))
			add_vote(j, &votes[i]);
	}
	a = mem_new(sizeof(*a));
	a->from = from;
	a->view = view->number;
	cds_list_add(&a->node, &j->imports);
	return true;
}

size_t judge_count(const struct judge *j)
{
	return j->count;
}
