/*
 * The member thread: probes peers, gossips items (see config/spread.h) and does
 * periodic work. The decisions are made by member/swim and config/spread.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"
#include "base/jsn.h"

/* Maximum wait for a wake-up, and so the interval of the member loop. */
#define TICK_MS 50
#define PROBE_TIMEOUT_MS 1000
/* Timeout of other calls to peers; a multiple for some that transfer items. */
#define PEER_TIMEOUT_MS 1000

/*
 * A new item is offered to three peers in each of two rounds, OFFER_INTERVAL_MS
 * apart. For RECENT_MS its name is also sent with probes, for the few entries
 * that no offer reached. Three rounds to four peers cost twice the bytes and
 * still needed a repair by sync.
 */
#define OFFER_ROUNDS 2
#define OFFER_PEERS 3
#define OFFER_INTERVAL_MS 150
#define RECENT_MS 8000

/*
 * Digests differ while new items spread. A sync starts only if they still
 * differ SYNC_QUIET_MS after the last new item, and then at most every
 * SYNC_INTERVAL_MS.
 */
#define SYNC_QUIET_MS 10000
#define SYNC_INTERVAL_MS 5000

/* Maximum number of deltas in a probe: bounds its size during mass changes. */
#define MAX_DELTAS_PER_PROBE 8

/* An item that came into force recently. Under member_lock. */
struct recent_item {
	struct cds_list_head node;
	char name[SPREAD_NAME_MAX];
	unsigned rounds;  /* offer rounds left */
	int64_t next_ms;  /* not offered before */
	int64_t since_ms; /* when it came into force */
};

/* ---- Conversion to and from wire types ---- */

void ent_fill_member(const struct view_member *m, peer_member *p)
{
	p->name = mem_dup(m->name);
	p->zone = mem_dup(m->zone);
	p->region = mem_dup(m->region);
	p->http = mem_dup(m->http);
	p->peer = mem_dup(m->peer);
	p->boot = m->boot;
}

bool ent_read_member(const peer_member *p, struct view_member *m)
{
	char host[SET_ADDR_MAX];
	int port;

	memset(m, 0, sizeof(*m));
	str_copy(m->name, p->name, sizeof(m->name));
	str_copy(m->zone, p->zone, sizeof(m->zone));
	str_copy(m->region, p->region, sizeof(m->region));
	str_copy(m->http, p->http, sizeof(m->http));
	str_copy(m->peer, p->peer, sizeof(m->peer));
	m->boot = p->boot;
	m->id = view_instance_id(m->name, m->boot);
	return *m->name && !set_split_addr(m->peer, host, &port);
}

void ent_fill_head(struct entry *en, peer_head *h)
{
	h->mac = mem_dup(en->peer_mac);
	h->name = mem_dup(en->self.name);
	h->boot = en->self.boot;
}

struct link_call ent_prepare_call(const char *address, uint32_t proc,
				  xdrproc_t xa, void *args, xdrproc_t xr,
				  size_t size, int64_t timeout_ms)
{
	const struct link_call c = {
		.address = address,
		.proc = proc,
		.xdr_args = xa,
		.args = args,
		.xdr_result = xr,
		.result_size = size,
		.timeout_ms = timeout_ms,
	};

	return c;
}

size_t ent_read_deltas(const peer_delta *rows, size_t n, struct swim_delta *out,
		       size_t max)
{
	size_t k = 0, i;

	for (i = 0; i < n && k < max; i++) {
		if (rows[i].state > SWIM_DEAD ||
		    !ent_read_member(&rows[i].who, &out[k].member))
			continue;
		out[k].state = (enum swim_state)rows[i].state;
		out[k++].refutations = rows[i].refute;
	}
	return k;
}

void ent_write_deltas(const struct swim_delta *d, size_t n, peer_delta **rows,
		      u_int *len)
{
	size_t i;

	*rows = mem_new(n * sizeof(**rows));
	*len = (u_int)n;
	for (i = 0; i < n; i++) {
		ent_fill_member(&d[i].member, &(*rows)[i].who);
		(*rows)[i].state = d[i].state;
		(*rows)[i].refute = d[i].refutations;
	}
}

/* ---- Items ---- */

static void mark_recent(struct entry *en, const char *name, int64_t now)
{
	struct recent_item *f;

	cds_list_for_each_entry(f, &en->recent_items, node) {
		if (!strcmp(f->name, name)) {
			f->rounds = OFFER_ROUNDS;
			f->next_ms = 0;
			f->since_ms = now;
			return;
		}
	}
	f = mem_new(sizeof(*f));
	str_copy(f->name, name, sizeof(f->name));
	f->rounds = OFFER_ROUNDS;
	f->since_ms = now;
	cds_list_add(&f->node, &en->recent_items);
}

enum spread_verdict ent_put_item(struct entry *en, const char *name,
				 uint64_t rev, const void *body, size_t len,
				 int64_t ttl_ms)
{
	const int64_t now = ent_now(en);
	enum spread_verdict v;
	char *copy;

	pthread_mutex_lock(&en->member_lock);
	v = spread_put(en->spread, name, rev, body, len,
		       ttl_ms > 0 ? now + ttl_ms : 0);
	if (v == SPREAD_NEW) {
		mark_recent(en, name, now);
		en->last_put_ms = now;
	}
	pthread_mutex_unlock(&en->member_lock);
	switch (v) {
	case SPREAD_NEW:
		met_inc(en->m.items_new);
		copy = mem_dup(name);
		/*
		 * A full ring means that the member thread is far behind. The
		 * item is in the table, but takes effect only with its next
		 * revision or at the next start, hence the alarm.
		 */
		if (!ring_push(en->changed_items, copy)) {
			ent_alarm(en, "items-ring-full", name);
			free(copy);
		}
		break;
	case SPREAD_OLD:
		met_inc(en->m.items_old);
		break;
	case SPREAD_CONFLICT:
		met_inc(en->m.items_conflict);
		ent_alarm(en, "same-revision-two-bodies", name);
		break;
	case SPREAD_INVALID:
		met_inc(en->m.items_invalid);
		break;
	case SPREAD_SAME:
		break;
	}
	return v;
}

void ent_fill_item(const struct spread_item *it, peer_item *p, int64_t now)
{
	p->name = mem_dup(it->name);
	p->rev = it->rev;
	p->ttl_ms = it->expires_ms ? it->expires_ms - now : 0;
	p->body.body_val = mem_new(it->len);
	memcpy(p->body.body_val, it->body, it->len);
	p->body.body_len = (u_int)it->len;
}

/* Sends the items named in `want` to a peer. */
static void send_items(struct entry *en, const char *address,
		       const peer_name *want, size_t n)
{
	peer_give_args *a = mem_new(sizeof(*a));
	const int64_t now = ent_now(en);
	struct link_call c;
	size_t i;

	ent_fill_head(en, &a->head);
	a->items.items_val = mem_new(n * sizeof(peer_item));
	pthread_mutex_lock(&en->member_lock);
	for (i = 0; i < n; i++) {
		const struct spread_item *it =
			spread_get(en->spread, want[i].name);

		if (it)
			ent_fill_item(it,
				      &a->items.items_val[a->items.items_len++],
				      now);
	}
	pthread_mutex_unlock(&en->member_lock);
	c = ent_prepare_call(address, PEER_GIVE, (xdrproc_t)xdr_peer_give_args,
			     a, (xdrproc_t)xdr_peer_give_reply,
			     sizeof(peer_give_reply), 2 * PEER_TIMEOUT_MS);
	links_send(en->links, &c);
}

/* Context of an offer or sync call. */
struct exchange {
	struct entry *en;
	char address[SET_ADDR_MAX];
};

static void on_offer(enum err_code why, const void *result, void *arg)
{
	struct exchange *x = arg;
	const peer_offer_reply *r = result;

	if (why == ERR_NONE && r->wanted.wanted_len)
		send_items(x->en, x->address, r->wanted.wanted_val,
			   r->wanted.wanted_len);
	free(x);
}

static void send_offer(struct entry *en, const char *address,
		       char names[][SPREAD_NAME_MAX], size_t n)
{
	peer_offer_args *a = mem_new(sizeof(*a));
	struct exchange *x = mem_new(sizeof(*x));
	struct link_call c;
	size_t i;

	x->en = en;
	str_copy(x->address, address, sizeof(x->address));
	ent_fill_head(en, &a->head);
	a->names.names_val = mem_new(n * sizeof(peer_name));
	pthread_mutex_lock(&en->member_lock);
	for (i = 0; i < n; i++) {
		const struct spread_item *it = spread_get(en->spread, names[i]);
		peer_name *p;

		if (!it)
			continue;
		p = &a->names.names_val[a->names.names_len++];
		p->name = mem_dup(it->name);
		p->rev = it->rev;
		p->body_hash = it->body_hash;
	}
	pthread_mutex_unlock(&en->member_lock);
	c = ent_prepare_call(address, PEER_OFFER,
			     (xdrproc_t)xdr_peer_offer_args, a,
			     (xdrproc_t)xdr_peer_offer_reply,
			     sizeof(peer_offer_reply), PEER_TIMEOUT_MS);
	c.done = on_offer;
	c.arg = x;
	if (!links_send(en->links, &c))
		free(x);
}

/*
 * Fills `names` with up to `max` items whose next offer round is due and
 * returns their number. Also removes items without rounds left from the list of
 * recent items after RECENT_MS. member_lock is held.
 */
static size_t due_offers(struct entry *en, char names[][SPREAD_NAME_MAX],
			 size_t max, int64_t now)
{
	struct recent_item *f, *tmp;
	size_t n = 0;

	cds_list_for_each_entry_safe(f, tmp, &en->recent_items, node) {
		if (f->rounds && now >= f->next_ms && n < max) {
			str_copy(names[n++], f->name, SPREAD_NAME_MAX);
			f->next_ms = now + OFFER_INTERVAL_MS;
			f->rounds--;
		}
		if (f->rounds || now - f->since_ms < RECENT_MS)
			continue;
		cds_list_del(&f->node);
		free(f);
	}
	return n;
}

static void send_due_offers(struct entry *en, int64_t now)
{
	char names[64][SPREAD_NAME_MAX];
	struct view_member peers[OFFER_PEERS];
	size_t n, k, i;

	pthread_mutex_lock(&en->member_lock);
	n = due_offers(en, names, 64, now);
	k = n ? swim_pick(en->swim, peers, OFFER_PEERS) : 0;
	pthread_mutex_unlock(&en->member_lock);
	for (i = 0; i < k; i++)
		send_offer(en, peers[i].peer, names, n);
}

/* ---- Sync: repair of a lasting difference ---- */

static void put_items(struct entry *en, const peer_item *items, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		ent_put_item(en, items[i].name, items[i].rev,
			     items[i].body.body_val, items[i].body.body_len,
			     items[i].ttl_ms);
}

static void on_sync(enum err_code why, const void *result, void *arg)
{
	struct exchange *x = arg;
	const peer_sync_reply *r = result;

	if (why == ERR_NONE) {
		put_items(x->en, r->items.items_val, r->items.items_len);
		if (r->wanted.wanted_len)
			send_items(x->en, x->address, r->wanted.wanted_val,
				   r->wanted.wanted_len);
	}
	free(x);
}

/*
 * Returns the names of up to PEER_RECENT items that came into force recently.
 * member_lock is held.
 */
void ent_list_recent(struct entry *en, peer_name **out, u_int *len)
{
	struct recent_item *f;

	*out = mem_new(PEER_RECENT * sizeof(**out));
	*len = 0;
	cds_list_for_each_entry(f, &en->recent_items, node) {
		const struct spread_item *it = spread_get(en->spread, f->name);

		if (*len == PEER_RECENT)
			break;
		if (!it)
			continue;
		(*out)[*len].name = mem_dup(it->name);
		(*out)[(*len)++].rev = it->rev;
	}
}

struct pull {
	struct entry *en;
};

static void on_pull(enum err_code why, const void *result, void *arg)
{
	const peer_give_args *r = result;
	struct pull *p = arg;

	if (why == ERR_NONE)
		put_items(p->en, r->items.items_val, r->items.items_len);
	free(p);
}

void ent_pull_recent(struct entry *en, const char *address,
		     const peer_name *names, size_t n)
{
	peer_offer_args *a = mem_new(sizeof(*a));
	struct link_call c;
	struct pull *p;
	size_t i;

	a->names.names_val = mem_new((n ? n : 1) * sizeof(peer_name));
	pthread_mutex_lock(&en->member_lock);
	for (i = 0; i < n; i++) {
		peer_name *x = &a->names.names_val[a->names.names_len];

		if (names[i].rev <= spread_rev(en->spread, names[i].name))
			continue;
		x->name = mem_dup(names[i].name);
		x->rev = names[i].rev;
		a->names.names_len++;
	}
	pthread_mutex_unlock(&en->member_lock);
	ent_fill_head(en, &a->head);
	if (!a->names.names_len) {
		xdr_free((xdrproc_t)xdr_peer_offer_args, a);
		free(a);
		return;
	}
	p = mem_new(sizeof(*p));
	p->en = en;
	c = ent_prepare_call(address, PEER_PULL, (xdrproc_t)xdr_peer_offer_args,
			     a, (xdrproc_t)xdr_peer_give_args,
			     sizeof(peer_give_args), PEER_TIMEOUT_MS);
	c.done = on_pull;
	c.arg = p;
	if (!links_send(en->links, &c))
		free(p);
}

static void add_item_name(const struct spread_item *it, void *arg)
{
	peer_offer_args *a = arg;
	peer_name *p = &a->names.names_val[a->names.names_len++];

	p->name = mem_dup(it->name);
	p->rev = it->rev;
	p->body_hash = it->body_hash;
}

static peer_offer_args *list_item_names(struct entry *en)
{
	peer_offer_args *a = mem_new(sizeof(*a));

	ent_fill_head(en, &a->head);
	pthread_mutex_lock(&en->member_lock);
	a->names.names_val =
		mem_new(spread_count(en->spread) * sizeof(peer_name));
	spread_each(en->spread, add_item_name, a);
	pthread_mutex_unlock(&en->member_lock);
	return a;
}

static void sync_with(struct entry *en, const char *address)
{
	struct exchange *x = mem_new(sizeof(*x));
	struct link_call c;

	x->en = en;
	str_copy(x->address, address, sizeof(x->address));
	c = ent_prepare_call(address, PEER_SYNC, (xdrproc_t)xdr_peer_offer_args,
			     list_item_names(en),
			     (xdrproc_t)xdr_peer_sync_reply,
			     sizeof(peer_sync_reply), 3 * PEER_TIMEOUT_MS);
	c.done = on_sync;
	c.arg = x;
	if (!links_send(en->links, &c))
		free(x);
}

/* ---- Probes ---- */

/* Context of a ping call. */
struct probe {
	struct entry *en;
	char address[SET_ADDR_MAX];
	char asker[SET_ADDR_MAX]; /* requested an indirect probe, or "" */
	bool joining;		  /* first contact */
};

/*
 * Applies received deltas. Returns true if a state changed. The deltas of a
 * first contact (`known_to_others`) are the peer's whole member list, which the
 * other members have already; they are not gossiped further.
 */
static bool apply_deltas(struct entry *en, const peer_delta *rows, size_t n,
			 bool known_to_others)
{
	MEM_AUTO struct swim_delta *d = mem_new(n * sizeof(*d));
	const size_t k = ent_read_deltas(rows, n, d, n);
	const int64_t now = ent_now(en);
	bool changed = false;
	size_t i;

	pthread_mutex_lock(&en->member_lock);
	for (i = 0; i < k; i++)
		changed |= known_to_others
				   ? swim_apply_quietly(en->swim, &d[i], now)
				   : swim_apply(en->swim, &d[i], now);
	pthread_mutex_unlock(&en->member_lock);
	return changed;
}

static void send_vouch(struct entry *en, const char *address, uint64_t target)
{
	peer_vouch_args *a = mem_new(sizeof(*a));
	struct link_call c;

	ent_fill_head(en, &a->head);
	a->target = target;
	c = ent_prepare_call(address, PEER_VOUCH,
			     (xdrproc_t)xdr_peer_vouch_args, a,
			     (xdrproc_t)xdr_bool, sizeof(bool_t),
			     PEER_TIMEOUT_MS);
	links_send(en->links, &c);
}

/*
 * True if a lasting difference to the peer's digest is to be repaired by a sync
 * now. Also moves last_put_ms, so that the next sync starts SYNC_INTERVAL_MS
 * later at the earliest.
 */
static bool wants_sync(struct entry *en, uint64_t digest)
{
	const int64_t now = ent_now(en);
	bool differs;

	pthread_mutex_lock(&en->member_lock);
	differs = digest != spread_digest(en->spread) &&
		  now - en->last_put_ms > SYNC_QUIET_MS;
	if (differs)
		en->last_put_ms = now - SYNC_QUIET_MS + SYNC_INTERVAL_MS;
	pthread_mutex_unlock(&en->member_lock);
	return differs;
}

static void on_ping(enum err_code why, const void *result, void *arg)
{
	struct probe *p = arg;
	const peer_ping_reply *r = result;
	struct entry *en = p->en;
	struct swim_delta d;

	if (why != ERR_NONE || !ent_read_member(&r->who, &d.member)) {
		free(p);
		return;
	}
	apply_deltas(en, r->deltas.deltas_val, r->deltas.deltas_len,
		     p->joining);
	d.state = SWIM_ALIVE;
	d.refutations = 0;
	pthread_mutex_lock(&en->member_lock);
	swim_apply(en->swim, &d, ent_now(en));
	swim_ack(en->swim, d.member.id, ent_now(en));
	pthread_mutex_unlock(&en->member_lock);
	if (*p->asker)
		send_vouch(en, p->asker, d.member.id);
	ent_pull_recent(en, p->address, r->recent.recent_val,
			r->recent.recent_len);
	if (wants_sync(en, r->digest))
		sync_with(en, p->address);
	free(p);
}

static void probe(struct entry *en, const struct view_member *target,
		  const char *asker)
{
	struct swim_delta d[MAX_DELTAS_PER_PROBE + 1];
	peer_ping_args *a = mem_new(sizeof(*a));
	struct probe *p = mem_new(sizeof(*p));
	struct link_call c;
	size_t n;

	p->en = en;
	str_copy(p->address, target->peer, sizeof(p->address));
	str_copy(p->asker, asker, sizeof(p->asker));
	p->joining = !*target->name;
	ent_fill_head(en, &a->head);
	ent_fill_member(&en->self, &a->who);
	pthread_mutex_lock(&en->member_lock);
	a->digest = spread_digest(en->spread);
	/*
	 * A target without a name is a seed, the first contact. The peer then
	 * replies with its whole member list.
	 */
	a->joining = !*target->name;
	ent_list_recent(en, &a->recent.recent_val, &a->recent.recent_len);
	n = swim_take_deltas(en->swim, d, MAX_DELTAS_PER_PROBE);
	/* A suspected target gets its own delta, so that it can refute. */
	if (swim_lookup(en->swim, target->id, &d[n]) &&
	    d[n].state == SWIM_SUSPECT)
		n++;
	pthread_mutex_unlock(&en->member_lock);
	ent_write_deltas(d, n, &a->deltas.deltas_val, &a->deltas.deltas_len);
	c = ent_prepare_call(target->peer, PEER_PING,
			     (xdrproc_t)xdr_peer_ping_args, a,
			     (xdrproc_t)xdr_peer_ping_reply,
			     sizeof(peer_ping_reply), PROBE_TIMEOUT_MS);
	c.done = on_ping;
	c.arg = p;
	if (!links_send(en->links, &c))
		free(p);
}

static void request_indirect_probes(struct entry *en,
				    const struct swim_action *act)
{
	size_t i;

	for (i = 0; i < act->nr_helpers; i++) {
		peer_help_args *a = mem_new(sizeof(*a));
		struct link_call c;

		ent_fill_head(en, &a->head);
		a->asker = mem_dup(en->self.peer);
		ent_fill_member(&act->target, &a->target);
		c = ent_prepare_call(act->helpers[i].peer, PEER_HELP,
				     (xdrproc_t)xdr_peer_help_args, a,
				     (xdrproc_t)xdr_bool, sizeof(bool_t),
				     PEER_TIMEOUT_MS);
		links_send(en->links, &c);
	}
}

static void tick_swim(struct entry *en, int64_t now)
{
	struct swim_action a;

	pthread_mutex_lock(&en->member_lock);
	a = swim_tick(en->swim, now);
	pthread_mutex_unlock(&en->member_lock);
	if (a.kind == SWIM_DO_PROBE)
		probe(en, &a.target, "");
	else if (a.kind == SWIM_DO_INDIRECT_PROBE)
		request_indirect_probes(en, &a);
}

/* ---- Start ---- */

/*
 * Reads the documents in force from the key-value service. False if it cannot
 * be reached. An entry that starts must not serve an older document than its
 * peers, so ent_bootstrap() also syncs with the seed peers; the table keeps the
 * higher revision.
 */
static bool load_from_kv(struct entry *en)
{
	KV_PAIRS_AUTO pairs = { 0 };
	struct err e = ERR_INIT;
	size_t i;

	if (en->kv->vt->range(en->kv, "/marldock/doc/", true, &pairs, &e)) {
		log_line(LOG_LEVEL_WARN, "start", "key-value=%s", e.text);
		return false;
	}
	for (i = 0; i < pairs.nr; i++) {
		JSN_AUTO *o = jsn_parse(pairs.rows[i].value, pairs.rows[i].len);
		const int64_t serial = jsn_int(o, "serial", 0);

		if (serial > 0)
			ent_put_item(en,
				     pairs.rows[i].key + strlen("/marldock/"),
				     (uint64_t)serial, pairs.rows[i].value,
				     pairs.rows[i].len, 0);
	}
	return true;
}

static bool load_from_peer(struct entry *en, const char *address)
{
	struct link_call c = ent_prepare_call(
		address, PEER_SYNC, (xdrproc_t)xdr_peer_offer_args,
		list_item_names(en), (xdrproc_t)xdr_peer_sync_reply,
		sizeof(peer_sync_reply), PEER_TIMEOUT_MS);
	struct err e = ERR_INIT;
	peer_sync_reply r;

	if (links_call(en->links, &c, &r, &e))
		return false;
	put_items(en, r.items.items_val, r.items.items_len);
	xdr_free((xdrproc_t)xdr_peer_sync_reply, &r);
	return true;
}

bool ent_bootstrap(struct entry *en)
{
	size_t i, peers = 0;
	bool kv;

	for (i = 0; i < en->set.nr_seeds; i++) {
		swim_seed(en->swim, en->set.seeds[i]);
		if (strcmp(en->set.seeds[i], en->peer_address))
			peers += load_from_peer(en, en->set.seeds[i]);
	}
	kv = load_from_kv(en);
	if (kv)
		en->kv_contact_ms = ent_now(en);
	log_line(LOG_LEVEL_INFO, "start", "key-value=%s peers=%zu",
		 kv ? "read" : "down", peers);
	return kv || peers;
}

/*
 * An entry that is partitioned from the key-value service and all peers cannot
 * know whether its documents are still in force. After cut_off_ms without
 * contact it takes no new work.
 */
bool ent_is_cut_off(struct entry *en)
{
	const int64_t now = ent_now(en);
	int64_t last;

	pthread_mutex_lock(&en->member_lock);
	last = swim_last_contact(en->swim);
	if (en->kv_contact_ms > last)
		last = en->kv_contact_ms;
	pthread_mutex_unlock(&en->member_lock);
	return now - last > en->set.cut_off_ms;
}

/* ---- The thread ---- */

static void apply_changed_items(struct entry *en)
{
	char *name;

	while ((name = ring_pop(en->changed_items, 0))) {
		ent_apply_item(en, name);
		free(name);
	}
}

static void handle_member_changes(struct entry *en)
{
	uint64_t epoch;

	pthread_mutex_lock(&en->member_lock);
	epoch = swim_epoch(en->swim);
	pthread_mutex_unlock(&en->member_lock);
	if (epoch == en->seen_epoch)
		return;
	en->seen_epoch = epoch;
	ent_publish(en);
	ent_take_over_from_dead(en);
}

static void run_every_second(struct entry *en, int64_t now)
{
	pthread_mutex_lock(&en->judge_lock);
	judge_expire(en->judge, clk_wall_ms(en->clk));
	met_set(en->m.votes, (long long)judge_count(en->judge));
	pthread_mutex_unlock(&en->judge_lock);
	pthread_mutex_lock(&en->member_lock);
	spread_expire(en->spread, now);
	pthread_mutex_unlock(&en->member_lock);
	ent_req_expire(en);
	ent_share_tick(en);
	met_set(en->m.in_flight, (long long)atomic_load(&en->in_flight));
	met_set(en->m.peer_calls, (long long)links_calls(en->links));
	met_set(en->m.peer_bytes, (long long)links_bytes(en->links));
	met_set(en->m.no_room, (long long)hsv_nr_no_room(en->hsv));
}

/*
 * Repeats the bootstrap while neither the key-value service nor a peer has
 * replied; until then the entry does not serve.
 */
static void retry_bootstrap(struct entry *en)
{
	if (!atomic_load(&en->ready))
		ent_bootstrap(en);
}

void ent_member_free(struct entry *en)
{
	struct recent_item *f, *tmp;

	cds_list_for_each_entry_safe(f, tmp, &en->recent_items, node)
		free(f);
}

void *ent_member_run(void *arg)
{
	struct entry *en = arg;
	int64_t last_second_ms = 0, last_retry_ms = 0;

	ent_bootstrap(en);
	while (!atomic_load(&en->stopping)) {
		const int64_t now = ent_now(en);

		free(ring_pop(en->wake, TICK_MS));
		apply_changed_items(en);
		tick_swim(en, now);
		handle_member_changes(en);
		send_due_offers(en, now);
		if (now - last_second_ms >= 1000) {
			last_second_ms = now;
			run_every_second(en, now);
		}
		if (now - last_retry_ms >= 2000) {
			last_retry_ms = now;
			retry_bootstrap(en);
		}
	}
	return NULL;
}
