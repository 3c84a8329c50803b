/*
 * Account limits: asking keepers for shares, and being one.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"

#define ASK_MS 800

/* The account's keeper in a view; O(members), about once a second. */
static const struct view_member *keeper_of(const struct view *v,
					   const char *account)
{
	const uint64_t key = hsh_str(account, 11);
	const struct view_member *best = NULL;
	uint64_t best_weight = 0;
	size_t i;

	for (i = 0; i < v->nr; i++) {
		const uint64_t w = hsh_rendezvous(key, v->members[i].id);

		if (best && w <= best_weight)
			continue;
		best = &v->members[i];
		best_weight = w;
	}
	return best;
}

/* Called with the account's lock held. */
static void follow_view(struct entry *en, struct ent_account *a, bool mine,
			size_t members)
{
	a->share.members = members ? members : 1;
	if (!mine) {
		share_keeper_free(a->keeper);
		a->keeper = NULL;
		return;
	}
	if (!a->keeper)
		a->keeper = share_keeper_create(a->limit, members, ent_now(en));
}

static size_t alive_of(const struct ent_snap *s, const struct view *v)
{
	size_t n = 0, i;

	for (i = 0; i < v->nr; i++) {
		const struct ent_member *m =
			ent_snap_member(s, v->members[i].id);

		n += m && m->state != SWIM_SUSPECT;
	}
	return n;
}

bool ent_share_serve(struct entry *en, const char *account, uint64_t view,
		     uint64_t who, double demand, double in_use, double *rate)
{
	const struct ent_snap *s;
	const struct view *v;
	struct ent_account *a, *found = NULL;
	size_t alive = 0, members = 0;
	bool mine = false;

	pub_read_lock();
	s = ent_snap(en);
	v = ent_snap_current(s);
	/* Both must be in the same view, or two keepers would give. */
	if (v && v->number == view) {
		const struct view_member *k = keeper_of(v, account);

		mine = k && k->id == en->self.id;
		members = v->nr;
		alive = alive_of(s, v);
	}
	pub_read_unlock();
	if (!mine)
		return false;
	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(a, &en->accounts, node) {
		if (!strcmp(a->name, account))
			found = a;
	}
	pthread_mutex_unlock(&en->list_lock);
	if (!found)
		return false;
	pthread_mutex_lock(&found->lock);
	follow_view(en, found, true, members);
	share_keeper_scale(found->keeper, alive, members);
	*rate = share_keeper_request(found->keeper, who, demand, in_use,
				     ent_now(en));
	pthread_mutex_unlock(&found->lock);
	return true;
}

struct asking {
	struct entry *en;
	struct ent_account *a;
	int64_t asked_ms;
};

static void on_share(enum err_code why, const void *result, void *arg)
{
	const peer_share_reply *r = result;
	struct asking *x = arg;

	pthread_mutex_lock(&x->a->lock);
	if (why == ERR_NONE && r->keeper)
		share_update(&x->a->share, r->rate, x->asked_ms);
	else
		x->a->reported_keeper = 0;
	pthread_mutex_unlock(&x->a->lock);
	atomic_store(&x->a->share_pending, false);
	free(x);
}

static void ask_keeper(struct entry *en, struct ent_account *a,
		       const struct view_member *k, uint64_t view,
		       double demand, double in_use)
{
	const int64_t now = ent_now(en);
	peer_share_args *args;
	struct asking *x;
	struct link_call c;
	double rate;

	if (k->id == en->self.id) {
		if (ent_share_serve(en, a->name, view, en->self.id, demand,
				    in_use, &rate)) {
			pthread_mutex_lock(&a->lock);
			share_update(&a->share, rate, now);
			pthread_mutex_unlock(&a->lock);
		}
		return;
	}
	if (atomic_exchange(&a->share_pending, true))
		return;
	args = mem_new(sizeof(*args));
	ent_fill_head(en, &args->head);
	args->account = mem_dup(a->name);
	args->view = view;
	args->demand = demand;
	args->in_use = in_use;
	x = mem_new(sizeof(*x));
	x->en = en;
	x->a = a;
	x->asked_ms = now;
	c = ent_prepare_call(k->peer, PEER_SHARE,
			     (xdrproc_t)xdr_peer_share_args, args,
			     (xdrproc_t)xdr_peer_share_reply,
			     sizeof(peer_share_reply), ASK_MS);
	c.done = on_share;
	c.arg = x;
	if (!links_send(en->links, &c)) {
		atomic_store(&a->share_pending, false);
		free(x);
	}
}

static void tick_account(struct entry *en, struct ent_account *a, bool now)
{
	struct view_member k = { 0 };
	const struct view *v;
	double demand, in_use;
	uint64_t view = 0;
	size_t members = 0;
	bool wants;

	pub_read_lock();
	v = ent_snap_current(ent_snap(en));
	if (v && v->nr) {
		k = *keeper_of(v, a->name);
		view = v->number;
		members = v->nr;
	}
	pub_read_unlock();
	if (!view)
		return;
	pthread_mutex_lock(&a->lock);
	follow_view(en, a, k.id == en->self.id, members);
	/* A new keeper must hear from all before it may give. */
	wants = now || share_is_due(&a->share, ent_now(en)) ||
		a->reported_keeper != k.id;
	a->reported_keeper = k.id;
	demand = a->share.demand;
	in_use = share_in_use(&a->share, ent_now(en));
	pthread_mutex_unlock(&a->lock);
	if (wants)
		ask_keeper(en, a, &k, view, demand, in_use);
}

/* A surge at one entry need not wait for the next round, but two asks are
 * this far apart at least. */
#define URGENT_MS 250

void ent_share_ask_now(struct entry *en, struct ent_account *a, bool empty)
{
	const int64_t now = ent_now(en);
	bool needed;

	pthread_mutex_lock(&a->lock);
	needed = share_in_use(&a->share, now) <= 0 ||
		 (empty &&
		  now - (a->share.valid_ms - SHARE_TTL_MS) >= URGENT_MS);
	pthread_mutex_unlock(&a->lock);
	if (needed)
		tick_account(en, a, true);
}

void ent_share_tick(struct entry *en)
{
	MEM_AUTO struct ent_account **all = NULL;
	struct ent_account *a;
	size_t n = 0, i = 0;

	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(a, &en->accounts, node)
		n++;
	all = mem_new(n * sizeof(*all));
	cds_list_for_each_entry(a, &en->accounts, node)
		all[i++] = a;
	pthread_mutex_unlock(&en->list_lock);
	for (i = 0; i < n; i++)
		tick_account(en, all[i], false);
}
