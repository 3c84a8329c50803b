/*
 * The RPC server for peers. It has one thread and replies from memory only, so
 * that no peer waits for another's slow call. Invalid input from a peer is
 * rejected and counted, and never causes a crash.
 */
#include "entry/entry_internal.h"

#include <arpa/inet.h>
#include <rpc/rpc_com.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/pub.h"

#include "base/hsh.h"

/* Maximum size of a message in bytes; a larger one is rejected while read. */
#define MAX_MESSAGE_BYTES (16 * 1024 * 1024)

/*
 * The entry that serves the calls. libtirpc passes no user data to procedures
 * and keeps its tables per process, so there is one per process.
 */
static struct entry *serving;

void marldock_peer_1(struct svc_req *rqstp, SVCXPRT *transp);

/* Verifies the sender's MAC; rejects the call and counts it if wrong. */
static bool check_sender(const peer_head *h, struct svc_req *q)
{
	char text[128], mac[17];

	snprintf(text, sizeof(text), "peer|%s|%llu", h->name,
		 (unsigned long long)h->boot);
	hsh_mac16(serving->set.peer_secret, text, mac);
	if (hsh_equal_secret(mac, h->mac))
		return true;
	met_inc(serving->m.denied);
	svcerr_weakauth(q->rq_xprt);
	return false;
}

/* ---- Membership ---- */

/* Returns the sender's instance id. */
static uint64_t sender_id(const peer_head *h)
{
	return view_instance_id(h->name, h->boot);
}

/* Records the sender of a ping as an alive member. */
static void add_alive_member(const peer_member *who)
{
	struct swim_delta d = { .state = SWIM_ALIVE };

	if (!ent_read_member(who, &d.member))
		return;
	pthread_mutex_lock(&serving->member_lock);
	swim_apply(serving->swim, &d, ent_now(serving));
	pthread_mutex_unlock(&serving->member_lock);
}

/*
 * Appends the sender's own delta to `d`, which has `n` deltas, if this entry
 * considers the sender suspect or dead, so that the sender can refute. Returns
 * the new number of deltas. member_lock is held.
 */
static size_t add_sender_delta(const peer_head *h, struct swim_delta *d,
			       size_t n)
{
	if (!swim_lookup(serving->swim, sender_id(h), &d[n]))
		return n;
	return n + (d[n].state == SWIM_DEAD || d[n].state == SWIM_SUSPECT);
}

bool_t peer_ping_1_svc(peer_ping_args a, peer_ping_reply *r, struct svc_req *q)
{
	MEM_AUTO struct swim_delta *d =
		mem_new((VIEW_MAX_MEMBERS + 1) * sizeof(*d));
	size_t n, i;

	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	add_alive_member(&a.who);
	ent_pull_recent(serving, a.who.peer, a.recent.recent_val,
			a.recent.recent_len);
	n = ent_read_deltas(a.deltas.deltas_val, a.deltas.deltas_len, d,
			    VIEW_MAX_MEMBERS);
	pthread_mutex_lock(&serving->member_lock);
	for (i = 0; i < n; i++)
		swim_apply(serving->swim, &d[i], ent_now(serving));
	n = a.joining ? swim_snapshot(serving->swim, d, VIEW_MAX_MEMBERS)
		      : swim_take_deltas(serving->swim, d, 8);
	n = add_sender_delta(&a.head, d, n);
	r->digest = spread_digest(serving->spread);
	ent_list_recent(serving, &r->recent.recent_val, &r->recent.recent_len);
	pthread_mutex_unlock(&serving->member_lock);
	ent_write_deltas(d, n, &r->deltas.deltas_val, &r->deltas.deltas_len);
	ent_fill_member(&serving->self, &r->who);
	return TRUE;
}

/* Context of an indirect probe on behalf of another entry. */
struct indirect_probe {
	char asker[SET_ADDR_MAX]; /* requested the probe */
	uint64_t target;
};

static void on_indirect_ping(enum err_code why, const void *result, void *arg)
{
	struct indirect_probe *h = arg;

	if (why == ERR_NONE && result) {
		peer_vouch_args *a = mem_new(sizeof(*a));
		struct link_call c;

		ent_fill_head(serving, &a->head);
		a->target = h->target;
		c = ent_prepare_call(h->asker, PEER_VOUCH,
				     (xdrproc_t)xdr_peer_vouch_args, a,
				     (xdrproc_t)xdr_bool, sizeof(bool_t), 1000);
		links_send(serving->links, &c);
	}
	free(h);
}

bool_t peer_help_1_svc(peer_help_args a, bool_t *r, struct svc_req *q)
{
	struct view_member target;
	peer_ping_args *p;
	struct link_call c;
	struct indirect_probe *h;

	if (!check_sender(&a.head, q))
		return FALSE;
	*r = TRUE;
	if (!ent_read_member(&a.target, &target))
		return TRUE;
	h = mem_new(sizeof(*h));
	str_copy(h->asker, a.asker, sizeof(h->asker));
	h->target = target.id;
	p = mem_new(sizeof(*p));
	ent_fill_head(serving, &p->head);
	ent_fill_member(&serving->self, &p->who);
	c = ent_prepare_call(target.peer, PEER_PING,
			     (xdrproc_t)xdr_peer_ping_args, p,
			     (xdrproc_t)xdr_peer_ping_reply,
			     sizeof(peer_ping_reply), 600);
	c.done = on_indirect_ping;
	c.arg = h;
	if (!links_send(serving->links, &c))
		free(h);
	return TRUE;
}

bool_t peer_vouch_1_svc(peer_vouch_args a, bool_t *r, struct svc_req *q)
{
	if (!check_sender(&a.head, q))
		return FALSE;
	pthread_mutex_lock(&serving->member_lock);
	swim_ack(serving->swim, a.target, ent_now(serving));
	pthread_mutex_unlock(&serving->member_lock);
	*r = TRUE;
	return TRUE;
}

/* ---- Requests ---- */

bool_t peer_claim_1_svc(peer_claim_args a, peer_claim_reply *r,
			struct svc_req *q)
{
	struct judge_request claim = {
		.view = a.view,
		.slot = a.slot,
		.judge_index = a.place,
		.claimant = a.claimant,
		.issued_ms = a.birth_ms,
	};
	struct judge_reply reply;

	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	str_copy(claim.key, a.key, sizeof(claim.key));
	reply = ent_judge_decide(serving, &claim);
	r->verdict = reply.verdict;
	r->reason = reply.reason;
	r->taken_by = reply.voted_for;
	if (reply.verdict == JUDGE_VOTE_GRANTED && a.record)
		r->held = ent_store_record(serving, a.record, a.view, a.slot,
					   a.birth_ms);
	return TRUE;
}

bool_t peer_hold_1_svc(peer_hold_args a, bool_t *r, struct svc_req *q)
{
	if (!check_sender(&a.head, q))
		return FALSE;
	*r = ent_become_holder(serving, &a);
	return TRUE;
}

bool_t peer_update_1_svc(peer_update_args a, bool_t *r, struct svc_req *q)
{
	u_int i;

	if (!check_sender(&a.head, q))
		return FALSE;
	*r = TRUE;
	for (i = 0; i < a.updates.updates_len; i++) {
		if (!ent_apply_update(serving, &a.updates.updates_val[i]))
			*r = FALSE;
	}
	return TRUE;
}

bool_t peer_fetch_1_svc(peer_fetch_args a, peer_fetch_reply *r,
			struct svc_req *q)
{
	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	ent_serve_fetch(serving, &a, r);
	/* XDR has no NULL strings. */
	if (!r->finish)
		r->finish = mem_dup("");
	if (!r->model)
		r->model = mem_dup("");
	if (!r->model_version)
		r->model_version = mem_dup("");
	return TRUE;
}

bool_t peer_adopt_1_svc(peer_adopt_args a, bool_t *r, struct svc_req *q)
{
	MEM_AUTO struct judge_vote *v = mem_new(a.votes.votes_len * sizeof(*v));
	u_int i;

	if (!check_sender(&a.head, q))
		return FALSE;
	*r = FALSE;
	for (i = 0; i < a.votes.votes_len; i++) {
		const peer_vote *p = &a.votes.votes_val[i];

		if (p->slot >= VIEW_SLOTS || p->place >= VIEW_JUDGES)
			return TRUE;
		str_copy(v[i].key, p->key, sizeof(v[i].key));
		v[i].claimant = p->claimant;
		v[i].issued_ms = p->birth_ms;
		v[i].view = a.view;
		v[i].slot = (uint16_t)p->slot;
		v[i].judge_index = (uint8_t)p->place;
	}
	pub_read_lock();
	pthread_mutex_lock(&serving->judge_lock);
	*r = judge_import(serving->judge,
			  ent_snap_view(ent_snap(serving), a.view),
			  sender_id(&a.head), v, a.votes.votes_len,
			  clk_wall_ms(serving->clk));
	pthread_mutex_unlock(&serving->judge_lock);
	pub_read_unlock();
	return TRUE;
}

/* ---- Items ---- */

/*
 * Sets `*out` to a new array of the `names` whose revision is higher than in
 * this entry's table, and returns their number. member_lock is held.
 */
static u_int list_newer_names(const peer_name *names, u_int n, peer_name **out)
{
	u_int k = 0, i;

	*out = mem_new(n * sizeof(**out));
	for (i = 0; i < n; i++) {
		if (names[i].rev <= spread_rev(serving->spread, names[i].name))
			continue;
		(*out)[k].name = mem_dup(names[i].name);
		(*out)[k].rev = names[i].rev;
		k++;
	}
	return k;
}

bool_t peer_offer_1_svc(peer_offer_args a, peer_offer_reply *r,
			struct svc_req *q)
{
	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	pthread_mutex_lock(&serving->member_lock);
	r->wanted.wanted_len = list_newer_names(
		a.names.names_val, a.names.names_len, &r->wanted.wanted_val);
	pthread_mutex_unlock(&serving->member_lock);
	return TRUE;
}

bool_t peer_give_1_svc(peer_give_args a, peer_give_reply *r, struct svc_req *q)
{
	u_int i;

	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	r->verdicts.verdicts_val = mem_new(a.items.items_len * sizeof(u_int));
	r->verdicts.verdicts_len = a.items.items_len;
	for (i = 0; i < a.items.items_len; i++) {
		const peer_item *it = &a.items.items_val[i];

		r->verdicts.verdicts_val[i] = ent_put_item(
			serving, it->name, it->rev, it->body.body_val,
			it->body.body_len, it->ttl_ms);
	}
	return TRUE;
}

/* Collects the items for a sync reply. */
struct sync_items {
	const peer_offer_args *a;
	peer_sync_reply *r;
	int64_t now;
	size_t room; /* bytes left in the reply */
};

static int compare_item_names(const void *a, const void *b)
{
	const peer_name *x = a, *y = b;

	return strcmp(x->name, y->name);
}

/*
 * Finds a name in the sorted names of the caller. A linear search for each item
 * would take quadratic time.
 */
static const peer_name *find_name(const peer_offer_args *a, const char *name)
{
	const peer_name want = { .name = (char *)name };

	if (!a->names.names_len)
		return NULL;
	return bsearch(&want, a->names.names_val, a->names.names_len,
		       sizeof(want), compare_item_names);
}

/* Adds an item that the caller lacks or has in a lower revision. */
static void add_missing_item(const struct spread_item *it, void *arg)
{
	struct sync_items *l = arg;
	const peer_name *theirs = find_name(l->a, it->name);

	if (theirs && theirs->rev >= it->rev)
		return;
	/*
	 * The message size is limited; the next sync sends the rest. 256 bytes
	 * allow for the fields of an item other than the body.
	 */
	if (it->len + 256 > l->room)
		return;
	l->room -= it->len + 256;
	ent_fill_item(it, &l->r->items.items_val[l->r->items.items_len++],
		      l->now);
}

bool_t peer_sync_1_svc(peer_offer_args a, peer_sync_reply *r, struct svc_req *q)
{
	struct sync_items l = { &a, r, ent_now(serving),
				MAX_MESSAGE_BYTES / 2 };

	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	if (a.names.names_len)
		qsort(a.names.names_val, a.names.names_len, sizeof(peer_name),
		      compare_item_names);
	pthread_mutex_lock(&serving->member_lock);
	r->wanted.wanted_len = list_newer_names(
		a.names.names_val, a.names.names_len, &r->wanted.wanted_val);
	r->items.items_val =
		mem_new(spread_count(serving->spread) * sizeof(peer_item));
	spread_each(serving->spread, add_missing_item, &l);
	pthread_mutex_unlock(&serving->member_lock);
	return TRUE;
}

/* Returns up to PEER_RECENT of the named items that this entry has. */
bool_t peer_pull_1_svc(peer_offer_args a, peer_give_args *r, struct svc_req *q)
{
	u_int i;

	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	ent_fill_head(serving, &r->head);
	r->items.items_val =
		mem_new((a.names.names_len + 1) * sizeof(peer_item));
	pthread_mutex_lock(&serving->member_lock);
	for (i = 0; i < a.names.names_len && i < PEER_RECENT; i++) {
		const struct spread_item *it =
			spread_get(serving->spread, a.names.names_val[i].name);

		if (it)
			ent_fill_item(it,
				      &r->items.items_val[r->items.items_len++],
				      ent_now(serving));
	}
	pthread_mutex_unlock(&serving->member_lock);
	return TRUE;
}

bool_t peer_share_1_svc(peer_share_args a, peer_share_reply *r,
			struct svc_req *q)
{
	if (!check_sender(&a.head, q))
		return FALSE;
	memset(r, 0, sizeof(*r));
	r->keeper = ent_share_serve(serving, a.account, a.view,
				    sender_id(&a.head), a.demand, a.in_use,
				    &r->rate);
	return TRUE;
}

bool_t peer_status_1_svc(peer_status_args a, peer_text *r, struct svc_req *q)
{
	BUF_AUTO b = BUF_INIT;

	if (!check_sender(&a.head, q))
		return FALSE;
	ent_status(serving, a.what, &b);
	r->text = mem_dup(buf_cstr(&b));
	return TRUE;
}

int marldock_peer_1_freeresult(SVCXPRT *t, xdrproc_t xdr, caddr_t result)
{
	(void)t;
	xdr_free(xdr, result);
	return 1;
}

/* ---- Status ---- */

static void status_members(struct entry *en, struct buf *out)
{
	const struct ent_snap *s;
	size_t i;

	pub_read_lock();
	s = ent_snap(en);
	buf_str(out, "{\"members\":[");
	for (i = 0; i < s->nr_members; i++) {
		const struct ent_member *m = &s->members[i];

		buf_fmt(out,
			"%s{\"name\":\"%s\",\"boot\":%llu,\"zone\":\"%s\","
			"\"region\":\"%s\",\"http\":\"%s\",\"peer\":\"%s\","
			"\"state\":%d}",
			i ? "," : "", m->info.name,
			(unsigned long long)m->info.boot, m->info.zone,
			m->info.region, m->info.http, m->info.peer, m->state);
	}
	buf_str(out, "]}");
	pub_read_unlock();
}

static void status_revisions(struct entry *en, struct buf *out)
{
	const struct ent_snap *s;
	size_t i;

	pub_read_lock();
	s = ent_snap(en);
	buf_fmt(out, "{\"name\":\"%s\",\"view\":%llu,\"documents\":{",
		en->self.name,
		s->nr_views ? (unsigned long long)ent_snap_current(s)->number
			    : 0ULL);
	for (i = 0; i < s->nr_docs; i++)
		buf_fmt(out, "%s\"%s\":%llu", i ? "," : "", s->docs[i]->service,
			(unsigned long long)s->docs[i]->rev);
	buf_fmt(out, "},\"draining\":%s,\"in_flight\":%zu}",
		atomic_load(&en->draining) ? "true" : "false",
		atomic_load(&en->in_flight));
	pub_read_unlock();
}

static void status_endpoints(struct entry *en, struct buf *out)
{
	const char *sep = "";
	struct ent_model *m;

	buf_str(out, "{\"endpoints\":[");
	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(m, &en->models, node) {
		struct route_endpoint *const *sub;
		size_t n, i;

		pthread_mutex_lock(&m->lock);
		n = route_subset(m->table, &sub);
		for (i = 0; i < n; i++) {
			buf_fmt(out,
				"%s{\"instance\":\"%s\",\"service\":\"%s\","
				"\"model\":\"%s\",\"version\":\"%s\","
				"\"zone\":\"%s\",\"ready\":%s,\"leaving\":%s,"
				"\"running\":%lld,\"waiting\":%lld,"
				"\"own\":%lld}",
				sep, sub[i]->name, m->service, m->name,
				sub[i]->version, sub[i]->zone,
				sub[i]->ready ? "true" : "false",
				sub[i]->leaving ? "true" : "false",
				(long long)sub[i]->running,
				(long long)sub[i]->waiting,
				(long long)sub[i]->own_open);
			sep = ",";
		}
		pthread_mutex_unlock(&m->lock);
	}
	pthread_mutex_unlock(&en->list_lock);
	buf_str(out, "]}");
}

static void status_explain(struct entry *en, const char *key, struct buf *out)
{
	struct ent_req *rq = ent_req_find(en, key);

	if (!rq) {
		buf_str(out, "{}");
		return;
	}
	pthread_mutex_lock(&rq->lock);
	buf_fmt(out, "{\"entry\":\"%s\",\"role\":\"%s\",\"decisions\":",
		en->self.name, rq->role == ENT_OWNER ? "owner" : "holder");
	buf_json(out, buf_cstr(&rq->log));
	buf_str(out, "}");
	pthread_mutex_unlock(&rq->lock);
	ent_req_put(rq);
}

static void status_item(struct entry *en, const char *name, struct buf *out)
{
	const struct spread_item *it;

	pthread_mutex_lock(&en->member_lock);
	it = spread_get(en->spread, name);
	if (it)
		buf_add(out, it->body, it->len);
	pthread_mutex_unlock(&en->member_lock);
}

/* Prints the items whose names have a prefix. */
struct item_printer {
	const char *prefix;
	struct buf *out;
	const char *sep;
};

static void print_item(const struct spread_item *it, void *arg)
{
	struct item_printer *n = arg;

	if (strncmp(it->name, n->prefix, strlen(n->prefix)))
		return;
	buf_fmt(n->out, "%s{\"name\":", n->sep);
	buf_json(n->out, it->name);
	buf_fmt(n->out, ",\"rev\":%llu,\"body\":", (unsigned long long)it->rev);
	buf_add(n->out, it->body, it->len);
	buf_str(n->out, "}");
	n->sep = ",";
}

/* Prints all items under a prefix for the control process. Bodies are JSON. */
static void status_items(struct entry *en, const char *prefix, struct buf *out)
{
	struct item_printer n = { prefix, out, "" };

	buf_str(out, "{\"items\":[");
	pthread_mutex_lock(&en->member_lock);
	spread_each(en->spread, print_item, &n);
	pthread_mutex_unlock(&en->member_lock);
	buf_str(out, "]}");
}

void ent_status(struct entry *en, const char *what, struct buf *out)
{
	if (!strcmp(what, "members"))
		status_members(en, out);
	else if (!strcmp(what, "revisions"))
		status_revisions(en, out);
	else if (!strcmp(what, "endpoints"))
		status_endpoints(en, out);
	else if (!strncmp(what, "explain ", 8))
		status_explain(en, what + 8, out);
	else if (!strncmp(what, "item ", 5))
		status_item(en, what + 5, out);
	else if (!strncmp(what, "items ", 6))
		status_items(en, what + 6, out);
	else if (!strcmp(what, "kv-up")) {
		pthread_mutex_lock(&en->member_lock);
		en->kv_contact_ms = ent_now(en);
		pthread_mutex_unlock(&en->member_lock);
		buf_str(out, "{}");
	} else if (!strcmp(what, "drain")) {
		entry_drain(en);
		buf_str(out, "{\"draining\":true}");
	} else {
		buf_str(out, "{\"error\":\"no such status\"}");
	}
}

/* ---- The server ---- */

int ent_rpc_open(struct entry *en, struct err *e)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	char host[SET_ADDR_MAX];
	int port, one = 1, max = MAX_MESSAGE_BYTES;
	SVCXPRT *t;

	set_split_addr(en->set.peer_address, host, &port);
	sa.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &sa.sin_addr);
	en->rpc_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(en->rpc_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(en->rpc_fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(en->rpc_fd, 512) ||
	    getsockname(en->rpc_fd, (struct sockaddr *)&sa, &len)) {
		close(en->rpc_fd);
		return err_set(e, ERR_IO, "cannot listen on %s",
			       en->set.peer_address);
	}
	snprintf(en->peer_address, sizeof(en->peer_address), "%.40s:%d", host,
		 ntohs(sa.sin_port));
	/*
	 * With a limit on the record size libtirpc reads without blocking, so
	 * that a peer which stalls within a record doesn't stall the thread.
	 */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max);
	t = svc_vc_create(en->rpc_fd, 0, 0);
	if (!t ||
	    !svc_reg(t, MARLDOCK_PEER, MARLDOCK_PEER_V1, marldock_peer_1, NULL))
		return err_set(e, ERR_IO, "cannot register the peer program");
	serving = en;
	return 0;
}

void *ent_rpc_run(void *arg)
{
	(void)arg;
	svc_run();
	return NULL;
}

void ent_rpc_stop(struct entry *en)
{
	svc_exit();
	/* svc_run() checks for the exit only at the next connection. */
	{
		const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		struct sockaddr_in sa = { .sin_family = AF_INET };
		char host[SET_ADDR_MAX];
		int port;

		set_split_addr(en->peer_address, host, &port);
		sa.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, host, &sa.sin_addr);
		if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
			log_line(LOG_LEVEL_DEBUG, "start", "rpc=stopped");
		close(fd);
	}
}
