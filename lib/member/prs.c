#include "member/prs.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "base/jsn.h"
#include "io/ioc.h"

void prs_init(struct prs *p)
{
	memset(p, 0, sizeof(*p));
	CDS_INIT_LIST_HEAD(&p->peers);
	CDS_INIT_LIST_HEAD(&p->core);
	CDS_INIT_LIST_HEAD(&p->leaves);
}

void prs_set_list(struct prs *p, struct prs_peer *peer, enum prs_list list)
{
	if (peer->list == list)
		return;
	if (peer->list != PRS_NO_LIST)
		cds_list_del(&peer->role_node);
	p->nr_core -= peer->list == PRS_CORE;
	p->nr_leaves -= peer->list == PRS_LEAVES;
	peer->list = list;
	if (list != PRS_NO_LIST)
		cds_list_add_tail(&peer->role_node,
				  list == PRS_CORE ? &p->core : &p->leaves);
	p->nr_core += list == PRS_CORE;
	p->nr_leaves += list == PRS_LEAVES;
}

/* uthash's macros expand to some fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct prs_peer *add_peer(struct prs *p, const struct prs_info *info)
{
	struct prs_peer *peer = calloc(1, sizeof(*peer));

	assert(peer);
	peer->info = *info;
	peer->silence_ms = PRS_ALIVE_MS;
	peer->id = hsh_str(info->name, 0);
	HASH_ADD(by_id, p->ids, id, sizeof(peer->id), peer);
	HASH_ADD_KEYPTR(by_name, p->names, peer->info.name,
			strlen(peer->info.name), peer);
	cds_list_add_tail(&peer->node, &p->peers);
	p->count++;
	p->changed = true;
	return peer;
}

/* NOLINTNEXTLINE(readability-function-size) */
static void remove_peer(struct prs *p, struct prs_peer *peer)
{
	/* The table is not empty: it holds this peer. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_name, p->names, peer);
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_id, p->ids, peer);
	prs_set_list(p, peer, PRS_NO_LIST);
	cds_list_del(&peer->node);
	p->count--;
	p->changed = true;
	free(peer->last);
	free(peer->demands);
	free(peer);
}

void prs_free(struct prs *p)
{
	struct prs_peer *peer, *next;

	cds_list_for_each_entry_safe(peer, next, &p->peers, node) {
		remove_peer(p, peer);
	}
}

struct prs_peer *prs_find(struct prs *p, const char *name)
{
	struct prs_peer *peer;

	HASH_FIND(by_name, p->names, name, strlen(name), peer);
	return peer;
}

/* Copies a name; false if it does not fit. */
static bool copy_name(char *out, const char *name)
{
	str_copy(out, name, GSP_NAME_SIZE);
	return strlen(name) < GSP_NAME_SIZE;
}

static bool copy_address(char *out, const char *text, size_t size)
{
	struct sockaddr_in addr;

	str_copy(out, text, size);
	return strlen(text) < size && !ioc_remote_address(text, &addr, NULL);
}

bool prs_decode(const char *name, const char *text, size_t len,
		struct prs_info *out)
{
	JSN_AUTO *o = jsn_parse(text, len);

	return *name && copy_name(out->name, name) &&
	       copy_name(out->zone, jsn_str(o, "zone", "")) &&
	       copy_address(out->client_address, jsn_str(o, "callers", ""),
			    sizeof(out->client_address)) &&
	       copy_address(out->peer_address, jsn_str(o, "peers", ""),
			    sizeof(out->peer_address));
}

struct prs_peer *prs_register(struct prs *p, const struct prs_info *info,
			      int64_t now)
{
	struct prs_peer *peer = prs_find(p, info->name);
	struct sockaddr_in addr;

	(void)now;
	if (ioc_address(info->peer_address, &addr, NULL))
		return NULL;
	if (!peer)
		peer = add_peer(p, info);
	peer->info = *info;
	peer->addr = addr;
	peer->registered = true;
	peer->unregistered_ms = 0;
	return peer;
}

void prs_unregister(struct prs *p, const char *name, int64_t now)
{
	struct prs_peer *peer = prs_find(p, name);

	if (!peer || !peer->registered)
		return;
	peer->registered = false;
	peer->unregistered_ms = now;
}

static struct prs_demand *add_demand(struct prs_peer *peer, const char *account)
{
	if (peer->nr_demands == peer->max_demands) {
		peer->max_demands = peer->max_demands ? 2 * peer->max_demands
						      : GSP_MAX_DEMANDS;
		peer->demands =
			realloc(peer->demands,
				peer->max_demands * sizeof(peer->demands[0]));
		assert(peer->demands);
	}
	str_copy(peer->demands[peer->nr_demands].account, account,
		 GSP_NAME_SIZE);
	return &peer->demands[peer->nr_demands++];
}

/* `i`: the row where it is likely to be found, as peers keep their order. */
static struct prs_demand *demand_of(struct prs_peer *peer, const char *account,
				    size_t i)
{
	size_t k;

	for (k = 0; k < peer->nr_demands; k++, i++) {
		if (i >= peer->nr_demands)
			i = 0;
		if (!strcmp(peer->demands[i].account, account))
			return &peer->demands[i];
	}
	return add_demand(peer, account);
}

static void merge_demands(struct prs_peer *peer, const struct gsp_record *r)
{
	struct prs_demand *d;
	size_t next = 0;
	unsigned i;

	for (i = 0; i < r->nr_demands; i++) {
		d = demand_of(peer, r->demands[i].account, next);
		d->per_s = r->demands[i].per_s;
		d->group = peer->group;
		next = (size_t)(d - peer->demands) + 1;
	}
}

/* All parts arrived: what none of them had is no longer there. */
static void drop_other_demands(struct prs_peer *peer)
{
	size_t i, kept = 0;

	for (i = 0; i < peer->nr_demands; i++) {
		if (peer->demands[i].group == peer->group)
			peer->demands[kept++] = peer->demands[i];
	}
	peer->nr_demands = kept;
}

/* Releases without roles send a single datagram. */
static void receive_part(struct prs_peer *peer, const struct gsp_record *r)
{
	const uint32_t group = r->has_role ? r->group : r->seq;

	if (group != peer->group) {
		peer->group = group;
		peer->parts = 0;
		peer->nr_parts = 0;
	}
	merge_demands(peer, r);
	peer->parts |= 1ULL << r->part;
	if (r->last_part || !r->has_role)
		peer->nr_parts = (int)r->part + 1;
	if (!peer->nr_parts || peer->parts != ~0ULL >> (64 - peer->nr_parts))
		return;
	drop_other_demands(peer);
	if (r->with_counts)
		peer->counts_true_ms = r->true_ms;
}

struct prs_peer *prs_receive(struct prs *p, const struct gsp_record *r,
			     int64_t now, int64_t now_true)
{
	struct prs_peer *peer = prs_find(p, r->name);

	if (!peer)
		return NULL;
	if (peer->boot == r->boot && r->seq <= peer->seq)
		return NULL;
	if (peer->boot != r->boot)
		peer->boot_seen_ms = now;
	peer->boot = r->boot;
	peer->seq = r->seq;
	peer->stamp_ms = r->stamp_ms;
	peer->received_ms = now;
	peer->unanswered_ms = 0;
	peer->accepting = r->accepting;
	peer->store_ok = r->store_ok;
	peer->relays = r->relays;
	peer->cut_off = r->cut_off;
	peer->has_role = r->has_role;
	peer->role = r->role;
	peer->wants_members = r->wants_members;
	peer->clock_offset_ms = r->true_ms - now_true;
	receive_part(peer, r);
	if (r->role == GSP_LEAF) {
		free(peer->last);
		peer->last = NULL;
		peer->nr_demands = 0;
		return peer;
	}
	if (r->part)
		return peer;
	if (!peer->last)
		peer->last = malloc(sizeof(*peer->last));
	assert(peer->last);
	gsp_copy(peer->last, r);
	return peer;
}

void prs_report_members(struct prs *p, const struct gsp_record *r,
			int64_t sent_ms)
{
	const struct gsp_member *m;
	struct prs_peer *peer;
	unsigned i;

	for (i = 0; i < r->nr_members; i++) {
		m = &r->members[i];
		HASH_FIND(by_id, p->ids, &m->entry, sizeof(m->entry), peer);
		if (!peer || sent_ms - m->age_ms <= peer->reported_ms)
			continue;
		peer->reported_ms = sent_ms - m->age_ms;
		/* Its own datagrams are newer. */
		if (prs_heard(peer, sent_ms))
			continue;
		peer->accepting = m->accepting;
		peer->store_ok = m->store_ok;
		peer->relays = gsp_has_member(r->members_relay, i);
		peer->cut_off = gsp_has_member(r->members_cut_off, i);
	}
}

int64_t prs_sent_ms(const struct gsp_record *r, uint64_t my_boot)
{
	if (r->echo_boot != my_boot || !my_boot)
		return 0;
	return r->echo_stamp_ms + r->echo_hold_ms;
}

int64_t prs_config_confirmed_ms(const struct gsp_record *r, uint64_t my_boot)
{
	const int64_t sent_ms = prs_sent_ms(r, my_boot);

	if (r->cfg_confirmed_age_ms < 0 || !sent_ms)
		return 0;
	return sent_ms - r->cfg_confirmed_age_ms;
}

void prs_address(struct prs_peer *peer, struct gsp_record *r, int64_t now)
{
	if (now - peer->unanswered_ms >= PRS_ASK_AGAIN_MS)
		peer->unanswered_ms = 0;
	if (!peer->unanswered_ms)
		peer->unanswered_ms = now;
	r->echo_boot = peer->boot;
	r->echo_stamp_ms = peer->stamp_ms;
	r->echo_hold_ms = now - peer->received_ms;
}

void prs_acknowledge(struct prs_peer *peer, const struct gsp_record *r,
		     uint64_t my_boot)
{
	if (r->echo_boot == my_boot)
		peer->acked_ms = r->echo_stamp_ms;
}

bool prs_up_to_date(const struct prs_peer *peer, int within_ms, int64_t now)
{
	return peer->acked_ms && now - peer->acked_ms < within_ms;
}

bool prs_heard(const struct prs_peer *peer, int64_t now)
{
	return peer->received_ms && now - peer->received_ms < peer->silence_ms;
}

bool prs_alive(const struct prs_peer *peer, int64_t now)
{
	return prs_heard(peer, now) ||
	       (peer->reported_ms &&
		now - peer->reported_ms < peer->silence_ms + peer->relay_ms);
}

unsigned prs_count_running(const struct prs *p, int64_t now)
{
	const struct prs_peer *peer;
	unsigned n = 1;

	cds_list_for_each_entry(peer, &p->peers, node) {
		if (peer->registered ||
		    (peer->received_ms &&
		     now - peer->received_ms < PRS_EXPIRE_MS))
			n++;
	}
	return n;
}

void prs_expire(struct prs *p, int64_t now)
{
	struct prs_peer *peer, *next;

	cds_list_for_each_entry_safe(peer, next, &p->peers, node) {
		if (peer->registered)
			continue;
		if (now - peer->unregistered_ms > PRS_EXPIRE_MS &&
		    now - peer->received_ms > PRS_EXPIRE_MS)
			remove_peer(p, peer);
	}
}
