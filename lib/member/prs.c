#include "member/prs.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/ioc.h"

void prs_init(struct prs *p)
{
	memset(p, 0, sizeof(*p));
	CDS_INIT_LIST_HEAD(&p->peers);
}

/* uthash's macro expands to some fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct prs_peer *add_peer(struct prs *p, const struct prs_info *info)
{
	struct prs_peer *peer = calloc(1, sizeof(*peer));

	assert(peer);
	peer->info = *info;
	HASH_ADD_KEYPTR(by_name, p->names, peer->info.name,
			strlen(peer->info.name), peer);
	cds_list_add_tail(&peer->node, &p->peers);
	p->count++;
	return peer;
}

static void remove_peer(struct prs *p, struct prs_peer *peer)
{
	/* The table is not empty: it holds this peer. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DELETE(by_name, p->names, peer);
	cds_list_del(&peer->node);
	p->count--;
	free(peer->last);
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
	peer->accepting = r->accepting;
	peer->store_ok = r->store_ok;
	peer->clock_offset_ms = r->true_ms - now_true;
	if (r->with_counts)
		peer->counts_true_ms = r->true_ms;
	if (!peer->last)
		peer->last = malloc(sizeof(*peer->last));
	assert(peer->last);
	gsp_copy(peer->last, r);
	return peer;
}

int64_t prs_config_confirmed_ms(const struct gsp_record *r, uint64_t my_boot)
{
	if (r->cfg_confirmed_age_ms < 0 || r->echo_boot != my_boot || !my_boot)
		return 0;
	return r->echo_stamp_ms + r->echo_hold_ms - r->cfg_confirmed_age_ms;
}

void prs_fill_echo(const struct prs_peer *peer, struct gsp_record *r,
		   int64_t now)
{
	r->echo_boot = peer->boot;
	r->echo_stamp_ms = peer->stamp_ms;
	r->echo_hold_ms = now - peer->received_ms;
}

bool prs_alive(const struct prs_peer *peer, int64_t now)
{
	return peer->received_ms && now - peer->received_ms < PRS_ALIVE_MS;
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
