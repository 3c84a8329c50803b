/*
 * Membership duty: writes a new view of the entries to the key-value service
 * when the set of live entries changes.
 */
#include <stdlib.h>
#include <string.h>

#include "control/control_internal.h"
#include "member/swim.h"

/* Interval between iterations of the thread. */
#define TICK_MS 400

/* A change must persist for this time before it is written, so that joins and
 * failures are batched into one view. */
#define SETTLE_MS 800

/* A view that differs from the newest one and isn't written yet. */
struct view_proposal {
	struct view *want;
	int64_t since_ms; /* when `want` was first built */
};

/*
 * Builds the next view from the alive entries, plus the suspected entries that
 * are in the last view: a suspicion may be refuted, and each new view has to
 * be transferred to every entry.
 */
static struct view *build_view(struct control *c, const struct view *last)
{
	MEM_AUTO struct view_member *m = mem_new(VIEW_MAX_MEMBERS * sizeof(*m));
	MEM_AUTO int *states = mem_new(VIEW_MAX_MEMBERS * sizeof(*states));
	JSN_AUTO *o = ctl_query_entry(c, "members");
	const size_t n = ctl_read_members(o, m, states, VIEW_MAX_MEMBERS);
	size_t kept = 0, i;

	if (!o)
		return NULL;
	for (i = 0; i < n; i++) {
		const bool keep = states[i] == SWIM_ALIVE ||
				  (states[i] == SWIM_SUSPECT && last &&
				   view_find(last, m[i].id));

		if (keep)
			m[kept++] = m[i];
	}
	return view_create((last ? last->number : 0) + 1, m, kept);
}

/*
 * Returns the newest view: the one in the key-value service, or a newer one
 * that the local entry has. To be freed with view_free().
 * @mod_rev : set to the key's modification revision, or 0 without a key;
 *            write_view() writes only if it is still the same.
 * @ok      : set to false if the key-value service couldn't be read. NULL with
 *            `*ok` true: there is no view yet.
 */
static struct view *newest_view(struct control *c, int64_t *mod_rev, bool *ok)
{
	KV_PAIRS_AUTO p = { 0 };
	JSN_AUTO *items = NULL;
	struct json_object *rows;
	struct view *best = NULL;
	struct err e = ERR_INIT;
	size_t i;

	*ok = !c->kv->vt->range(c->kv, "/marldock/view", false, &p, &e);
	if (!*ok)
		return NULL;
	atomic_store(&c->kv_last_reply_ms, ctl_now(c));
	*mod_rev = p.nr ? p.rows[0].mod_rev : 0;
	if (p.nr)
		best = view_parse(p.rows[0].value, p.rows[0].len, &e);
	items = ctl_query_entry(c, "items view/");
	rows = jsn_get(items, "items");
	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *body =
			jsn_get(json_object_array_get_idx(rows, i), "body");
		const char *text = json_object_to_json_string(body);

		if (best && jsn_int(body, "number", 0) <= (int64_t)best->number)
			continue;
		view_free(best);
		best = view_parse(text, strlen(text), &e);
	}
	return best;
}

static void write_view(struct control *c, const struct view *v, int64_t mod_rev)
{
	const struct kv_compare cmp = { "/marldock/view", mod_rev };
	struct kv_put put = { "/marldock/view", NULL, 0 };
	BUF_AUTO body = BUF_INIT;
	struct err e = ERR_INIT;
	bool done = false;

	view_print(v, &body);
	put.value = body.data;
	if (c->kv->vt->txn(c->kv, &cmp, 1, &put, 1, &done, NULL, &e))
		/* The write may have succeeded; the next round reads the key
		 * again. */
		log_line(LOG_LEVEL_WARN, "member", "view=%llu write=%s",
			 (unsigned long long)v->number, e.text);
	else
		log_line(LOG_LEVEL_INFO, "member", "view=%llu entries=%zu %s",
			 (unsigned long long)v->number, v->nr,
			 done ? "written" : "lost-race");
}

/* Runs one round: writes a view that differs from the newest one, once it has
 * stayed the same for SETTLE_MS. */
static void propose_view(struct control *c, struct view_proposal *p)
{
	struct view *last, *want;
	int64_t mod_rev = 0;
	bool ok;

	last = newest_view(c, &mod_rev, &ok);
	if (!ok)
		return;
	want = build_view(c, last);
	if (!want || !want->nr || (last && view_same_members(want, last))) {
		view_free(p->want);
		p->want = NULL;
	} else if (!p->want || !view_same_members(want, p->want)) {
		view_free(p->want);
		p->want = want;
		want = NULL;
		p->since_ms = ctl_now(c);
	} else if (ctl_now(c) - p->since_ms >= SETTLE_MS &&
		   duty_may_act(&c->members.duty, ctl_now(c))) {
		write_view(c, want, mod_rev);
		view_free(p->want);
		p->want = NULL;
	}
	view_free(want);
	view_free(last);
}

/*
 * Compares a hash of the local entry's member list with the previous one, to
 * save a read of the key-value service in rounds without a change.
 */
static bool members_changed(struct control *c, uint64_t *last_hash)
{
	JSN_AUTO *o = ctl_query_entry(c, "members");
	const char *text =
		o ? json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN)
		  : "";
	const uint64_t h = *text ? view_instance_id(text, 0) : *last_hash;
	const bool differs = h != *last_hash;

	*last_hash = h;
	return differs;
}

/* Interval of the check whether this process is a candidate. Calls in between
 * return false, so a candidate tries for the lease at most once per interval.
 */
#define CANDIDATE_CHECK_MS 2000

static bool is_candidate(struct control *c, int64_t now, int64_t *last_check_ms)
{
	JSN_AUTO *o = NULL;

	if (now - *last_check_ms < CANDIDATE_CHECK_MS)
		return false;
	*last_check_ms = now;
	o = ctl_query_entry(c, "members");
	return o && ctl_is_candidate(c, o, "members");
}

/* For this time after a change, every tick runs a round, so that the new view
 * settles and is written. */
#define ACTIVE_MS 5000

/* Otherwise rounds run at this interval, in case a write was lost without an
 * error. */
#define IDLE_INTERVAL_MS 10000

void *ctl_members_run(void *arg)
{
	struct control *c = arg;
	struct view_proposal p = { 0 };
	int64_t active_until_ms = ctl_now(c) + ACTIVE_MS, next_idle_ms = 0;
	uint64_t last_hash = 0;
	int64_t last_check_ms = 0;

	while (!atomic_load(&c->stopping)) {
		const int64_t now = ctl_now(c);

		if (c->members.duty.fence ||
		    is_candidate(c, now, &last_check_ms))
			ctl_duty_step(c, &c->members);
		if (duty_may_act(&c->members.duty, now)) {
			if (members_changed(c, &last_hash))
				active_until_ms = now + ACTIVE_MS;
			if (now < active_until_ms || now >= next_idle_ms) {
				next_idle_ms = now + IDLE_INTERVAL_MS;
				propose_view(c, &p);
			}
		} else {
			last_hash = 0;
		}
		clk_sleep_ms(TICK_MS);
	}
	view_free(p.want);
	return NULL;
}
