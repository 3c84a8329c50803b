/*
 * Rate limits of accounts (see limit/share.h): requests shares from the
 * accounts' keepers, and grants shares for the accounts whose keeper this entry
 * is.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"

/* Timeout of a request for a share. */
#define REQUEST_TIMEOUT_MS 800

/*
 * Returns an account's keeper in a view; NULL if the view is empty. O(members);
 * called about once a second for each account.
 */
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

/*
 * Creates or frees the keeper of the account as this entry becomes its keeper
 * or ceases to be. `members`: number of entries in the view. The account's lock
 * is held.
 */
static void update_keeper(struct entry *en, struct ent_account *a,
			  bool is_keeper, size_t members)
{
	a->share.members = members ? members : 1;
	if (!is_keeper) {
		share_keeper_free(a->keeper);
		a->keeper = NULL;
		return;
	}
	if (!a->keeper)
		a->keeper = share_keeper_create(a->limit, members, ent_now(en));
}

/* Returns the number of the view's members that are not suspect or dead. */
static size_t count_alive(const struct ent_snap *s, const struct view *v)
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
		     uint64_t requester, double demand, double in_use,
		     double *rate)
{
	const struct ent_snap *s;
	const struct view *v;
	struct ent_account *a, *found = NULL;
	size_t alive = 0, members = 0;
	bool is_keeper = false;

	pub_read_lock();
	s = ent_snap(en);
	v = ent_snap_current(s);
	/*
	 * The requester and the keeper must use the same view, or two keepers
	 * could grant shares of the same limit.
	 */
	if (v && v->number == view) {
		const struct view_member *k = keeper_of(v, account);

		is_keeper = k && k->id == en->self.id;
		members = v->nr;
		alive = count_alive(s, v);
	}
	pub_read_unlock();
	if (!is_keeper)
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
	update_keeper(en, found, true, members);
	share_keeper_scale(found->keeper, alive, members);
	*rate = share_keeper_request(found->keeper, requester, demand, in_use,
				     ent_now(en));
	pthread_mutex_unlock(&found->lock);
	return true;
}

/* Context of a request for a share. */
struct share_call {
	struct entry *en;
	struct ent_account *a;
	int64_t asked_ms;
};

static void on_share(enum err_code why, const void *result, void *arg)
{
	const peer_share_reply *r = result;
	struct share_call *call = arg;

	pthread_mutex_lock(&call->a->lock);
	if (why == ERR_NONE && r->keeper)
		share_update(&call->a->share, r->rate, call->asked_ms);
	else
		call->a->reported_keeper = 0;
	pthread_mutex_unlock(&call->a->lock);
	atomic_store(&call->a->share_pending, false);
	free(call);
}

static void request_share(struct entry *en, struct ent_account *a,
			  const struct view_member *k, uint64_t view,
			  double demand, double in_use)
{
	const int64_t now = ent_now(en);
	peer_share_args *args;
	struct share_call *call;
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
	call = mem_new(sizeof(*call));
	call->en = en;
	call->a = a;
	call->asked_ms = now;
	c = ent_prepare_call(k->peer, PEER_SHARE,
			     (xdrproc_t)xdr_peer_share_args, args,
			     (xdrproc_t)xdr_peer_share_reply,
			     sizeof(peer_share_reply), REQUEST_TIMEOUT_MS);
	c.done = on_share;
	c.arg = call;
	if (!links_send(en->links, &c)) {
		atomic_store(&a->share_pending, false);
		free(call);
	}
}

/* Requests a share if one is due, the keeper changed, or `urgent` is set. */
static void refresh_share(struct entry *en, struct ent_account *a, bool urgent)
{
	struct view_member k = { 0 };
	const struct view *v;
	double demand, in_use;
	uint64_t view = 0;
	size_t members = 0;
	bool due;

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
	update_keeper(en, a, k.id == en->self.id, members);
	/*
	 * A new keeper grants nothing until every entry has reported its share
	 * or SHARE_TTL_MS have passed, so every entry reports at once.
	 */
	due = urgent || share_is_due(&a->share, ent_now(en)) ||
	      a->reported_keeper != k.id;
	a->reported_keeper = k.id;
	demand = a->share.demand;
	in_use = share_in_use(&a->share, ent_now(en));
	pthread_mutex_unlock(&a->lock);
	if (due)
		request_share(en, a, &k, view, demand, in_use);
}

/*
 * Minimum interval between requests for a share when the share is used up.
 * These are sent so that a surge of load at one entry need not wait for the
 * next periodic request.
 */
#define MIN_REQUEST_INTERVAL_MS 250

void ent_share_ask_now(struct entry *en, struct ent_account *a, bool empty)
{
	const int64_t now = ent_now(en);
	bool needed;

	pthread_mutex_lock(&a->lock);
	needed = share_in_use(&a->share, now) <= 0 ||
		 (empty && now - (a->share.valid_ms - SHARE_TTL_MS) >=
				   MIN_REQUEST_INTERVAL_MS);
	pthread_mutex_unlock(&a->lock);
	if (needed)
		refresh_share(en, a, true);
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
		refresh_share(en, all[i], false);
}
