#include "member/view.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"

uint64_t view_instance_id(const char *name, uint64_t boot)
{
	return hsh_str(name, boot);
}

/* ---- The table of slots ---- */

struct ranked {
	uint64_t weight;
	uint16_t index;
};

static bool zone_used(const struct view *v, const struct view_slot *s,
		      uint16_t candidate)
{
	unsigned i;

	for (i = 0; i < s->nr_judges; i++) {
		const struct view_member *m = &v->members[s->judge[i]];

		if (!strcmp(m->zone, v->members[candidate].zone))
			return true;
	}
	return false;
}

static bool is_judge(const struct view_slot *s, uint16_t candidate)
{
	unsigned i;

	for (i = 0; i < s->nr_judges; i++) {
		if (s->judge[i] == candidate)
			return true;
	}
	return false;
}

/*
 * Returns the member of the highest weight that may become the next judge of
 * the slot, or -1.
 */
static int best_for(const struct view *v, const struct view_slot *s,
		    const uint64_t *weights, bool new_zone)
{
	int best = -1;
	size_t i;

	for (i = 0; i < v->nr; i++) {
		if (best >= 0 && weights[i] <= weights[best])
			continue;
		if (is_judge(s, (uint16_t)i))
			continue;
		if (new_zone && zone_used(v, s, (uint16_t)i))
			continue;
		best = (int)i;
	}
	return best;
}

/*
 * Chooses the judges and the reserve of a slot. The reserve is not one of the
 * judges, so that after a handover no instance has the votes of two judges as
 * long as there is another instance.
 */
static void fill_slot(struct view *v, unsigned slot, uint64_t *weights)
{
	struct view_slot *s = &v->slots[slot];
	const uint64_t key = hsh_bytes(&slot, sizeof(slot), 1);
	int pick;
	size_t i;

	for (i = 0; i < v->nr; i++)
		weights[i] = hsh_rendezvous(key, v->members[i].id);
	while (s->nr_judges < VIEW_JUDGES) {
		pick = best_for(v, s, weights, true);
		if (pick < 0)
			pick = best_for(v, s, weights, false);
		if (pick < 0)
			return;
		s->judge[s->nr_judges++] = (uint16_t)pick;
	}
	pick = best_for(v, s, weights, false);
	if (pick < 0)
		return;
	s->reserve = (uint16_t)pick;
	s->has_reserve = true;
}

static int by_name(const void *a, const void *b)
{
	const struct view_member *x = a, *y = b;
	const int c = strcmp(x->name, y->name);

	if (c)
		return c;
	return x->boot > y->boot ? -1 : x->boot < y->boot;
}

struct view *view_create(uint64_t number, const struct view_member *members,
			 size_t nr)
{
	uint64_t weights[VIEW_MAX_MEMBERS];
	struct view *v;
	unsigned slot;
	size_t i, kept = 0;

	if (nr > VIEW_MAX_MEMBERS)
		return NULL;
	v = mem_new(sizeof(*v));
	v->number = number;
	v->members = mem_new(nr * sizeof(*members));
	if (nr)
		memcpy(v->members, members, nr * sizeof(*members));
	qsort(v->members, nr, sizeof(*members), by_name);
	for (i = 0; i < nr; i++) {
		struct view_member *m = &v->members[i];

		if (kept && !strcmp(v->members[kept - 1].name, m->name))
			continue;
		m->id = view_instance_id(m->name, m->boot);
		v->members[kept++] = *m;
	}
	v->nr = kept;
	for (slot = 0; slot < VIEW_SLOTS; slot++)
		fill_slot(v, slot, weights);
	return v;
}

void view_free(struct view *v)
{
	if (!v)
		return;
	free(v->members);
	free(v);
}

/* ---- Look-ups ---- */

const struct view_member *view_find(const struct view *v, uint64_t id)
{
	size_t i;

	for (i = 0; i < v->nr; i++) {
		if (v->members[i].id == id)
			return &v->members[i];
	}
	return NULL;
}

const struct view_member *view_find_name(const struct view *v, const char *name)
{
	size_t lo = 0, hi = v->nr;

	while (lo < hi) {
		const size_t mid = (lo + hi) / 2;
		const int c = strcmp(name, v->members[mid].name);

		if (!c)
			return &v->members[mid];
		if (c < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	return NULL;
}

unsigned view_slot_of(const char *nonce)
{
	return (unsigned)(hsh_str(nonce, 2) % VIEW_SLOTS);
}

bool view_same_members(const struct view *a, const struct view *b)
{
	size_t i;

	if (a->nr != b->nr)
		return false;
	for (i = 0; i < a->nr; i++) {
		if (a->members[i].id != b->members[i].id)
			return false;
	}
	return true;
}

/* ---- JSON ---- */

void view_print(const struct view *v, struct buf *out)
{
	size_t i;

	buf_fmt(out, "{\"number\":%llu,\"members\":[",
		(unsigned long long)v->number);
	for (i = 0; i < v->nr; i++) {
		const struct view_member *m = &v->members[i];

		buf_fmt(out,
			"%s{\"name\":\"%s\",\"boot\":%llu,\"zone\":\"%s\","
			"\"region\":\"%s\",\"http\":\"%s\",\"peer\":\"%s\"}",
			i ? "," : "", m->name, (unsigned long long)m->boot,
			m->zone, m->region, m->http, m->peer);
	}
	buf_str(out, "]}");
}

struct view *view_parse(const char *text, size_t len, struct err *e)
{
	JSN_AUTO *o = jsn_parse(text, len);
	struct json_object *list = jsn_get(o, "members");
	MEM_AUTO struct view_member *ms = NULL;
	const size_t n = jsn_len(list);
	const int64_t number = jsn_int(o, "number", -1);
	struct view *v;
	size_t i;

	if (number < 0 || !list || n > VIEW_MAX_MEMBERS) {
		err_set(e, ERR_INVALID,
			"view: number or members are missing or out of "
			"range");
		return NULL;
	}
	ms = mem_new(n * sizeof(*ms));
	for (i = 0; i < n; i++) {
		struct json_object *m = json_object_array_get_idx(list, i);

		str_copy(ms[i].name, jsn_str(m, "name", ""), VIEW_NAME_MAX);
		str_copy(ms[i].zone, jsn_str(m, "zone", ""), VIEW_NAME_MAX);
		str_copy(ms[i].region, jsn_str(m, "region", ""), VIEW_NAME_MAX);
		str_copy(ms[i].http, jsn_str(m, "http", ""), VIEW_ADDR_MAX);
		str_copy(ms[i].peer, jsn_str(m, "peer", ""), VIEW_ADDR_MAX);
		ms[i].boot = (uint64_t)jsn_int(m, "boot", 0);
		if (!*ms[i].name || !*ms[i].peer) {
			err_set(e, ERR_INVALID,
				"view: member %zu has no name "
				"or address",
				i);
			return NULL;
		}
	}
	v = view_create((uint64_t)number, ms, n);
	assert(v);
	return v;
}
