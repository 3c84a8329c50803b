#include "control/control.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/rnd.h"
#include "control/control_internal.h"

/* Timeout of a call to the local entry. */
#define ENTRY_TIMEOUT_MS 2000

/* Threads of the RPC client. */
#define LINK_THREADS 4

/* ---- Calls to the local entry ---- */

static void fill_head(struct control *c, peer_head *h)
{
	h->mac = mem_dup(c->mac);
	h->name = mem_dup(c->set.name);
	h->boot = c->boot;
}

bool ctl_publish_item(struct control *c, const char *name, uint64_t rev,
		      const char *body, int64_t ttl_ms)
{
	peer_give_args *a = mem_new(sizeof(*a));
	struct err e = ERR_INIT;
	peer_give_reply r;
	const struct link_call call = {
		.address = c->set.peer_address,
		.proc = PEER_GIVE,
		.xdr_args = (xdrproc_t)xdr_peer_give_args,
		.args = a,
		.xdr_result = (xdrproc_t)xdr_peer_give_reply,
		.result_size = sizeof(r),
		.timeout_ms = ENTRY_TIMEOUT_MS,
	};

	fill_head(c, &a->head);
	a->items.items_val = mem_new(sizeof(peer_item));
	a->items.items_len = 1;
	a->items.items_val[0].name = mem_dup(name);
	a->items.items_val[0].rev = rev;
	a->items.items_val[0].ttl_ms = ttl_ms;
	a->items.items_val[0].body.body_val = mem_dup(body);
	a->items.items_val[0].body.body_len = (u_int)strlen(body);
	if (links_call(c->links, &call, &r, &e))
		return false;
	xdr_free((xdrproc_t)xdr_peer_give_reply, &r);
	return true;
}

struct json_object *ctl_query_entry(struct control *c, const char *what)
{
	peer_status_args *a = mem_new(sizeof(*a));
	struct json_object *o;
	struct err e = ERR_INIT;
	peer_text r;
	const struct link_call call = {
		.address = c->set.peer_address,
		.proc = PEER_STATUS,
		.xdr_args = (xdrproc_t)xdr_peer_status_args,
		.args = a,
		.xdr_result = (xdrproc_t)xdr_peer_text,
		.result_size = sizeof(r),
		.timeout_ms = ENTRY_TIMEOUT_MS,
	};

	fill_head(c, &a->head);
	a->what = mem_dup(what);
	if (links_call(c->links, &call, &r, &e))
		return NULL;
	o = jsn_parse(r.text, strlen(r.text));
	xdr_free((xdrproc_t)xdr_peer_text, &r);
	return o;
}

size_t ctl_read_members(struct json_object *o, struct view_member *out,
			int *states, size_t max)
{
	struct json_object *rows = jsn_get(o, "members");
	size_t n = 0, i;

	for (i = 0; i < jsn_len(rows) && n < max; i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		struct view_member *v = &out[n];

		memset(v, 0, sizeof(*v));
		str_copy(v->name, jsn_str(m, "name", ""), sizeof(v->name));
		str_copy(v->zone, jsn_str(m, "zone", ""), sizeof(v->zone));
		str_copy(v->region, jsn_str(m, "region", ""),
			 sizeof(v->region));
		str_copy(v->http, jsn_str(m, "http", ""), sizeof(v->http));
		str_copy(v->peer, jsn_str(m, "peer", ""), sizeof(v->peer));
		v->boot = (uint64_t)jsn_int(m, "boot", 0);
		v->id = view_instance_id(v->name, v->boot);
		states[n++] = (int)jsn_int(m, "state", 3);
	}
	return n;
}

/* ---- Leases ---- */

void ctl_duty_init(struct control *c, struct ctl_duty *d, const char *name)
{
	memset(d, 0, sizeof(*d));
	duty_init(&d->duty, c->set.lease_s * 1000);
	snprintf(d->key, sizeof(d->key), "/marldock/duty/%s", name);
}

static void record_kv_reply(struct control *c)
{
	atomic_store(&c->kv_last_reply_ms, ctl_now(c));
}

/*
 * Creates the duty's key under a new lease. If the reply is lost, the key may
 * exist with this process as its holder, so the key is read before and after
 * the transaction. The fencing token is the key's create revision.
 */
static void acquire_lease(struct control *c, struct ctl_duty *d)
{
	char ever_held_key[KV_KEY_MAX + 8];
	const struct kv_compare absent[] = { { d->key, 0 },
					     { ever_held_key, 0 } };
	struct kv_put puts[] = { { d->key, c->holder, 0 },
				 { ever_held_key, c->holder, 0 } };
	KV_PAIRS_AUTO current = { 0 };
	struct err e = ERR_INIT;
	bool done = false, never_held = false;

	/* A second key, without a lease, records that the duty has been held.
	 * Only the first holder ever may skip the wait until the lease of a
	 * previous holder has expired. */
	snprintf(ever_held_key, sizeof(ever_held_key), "%s.ever", d->key);

	if (c->kv->vt->range(c->kv, d->key, false, &current, &e)) {
		duty_failed(&d->duty, ctl_now(c));
		return;
	}
	record_kv_reply(c);
	if (current.nr && (strcmp(current.rows[0].value, c->holder) ||
			   current.rows[0].lease != d->lease || !d->lease)) {
		duty_refused(&d->duty, ctl_now(c));
		return;
	}
	if (!current.nr) {
		if (c->kv->vt->lease_grant(c->kv, c->set.lease_s, &d->lease,
					   &e)) {
			duty_failed(&d->duty, ctl_now(c));
			return;
		}
		puts[0].lease = d->lease;
		if (c->kv->vt->txn(c->kv, absent, 2, puts, 2, &never_held, NULL,
				   &e) ||
		    (!never_held && c->kv->vt->txn(c->kv, absent, 1, puts, 1,
						   &done, NULL, &e))) {
			duty_failed(&d->duty, ctl_now(c));
			return;
		}
		done = done || never_held;
		kv_pairs_free(&current);
		if (!done ||
		    c->kv->vt->range(c->kv, d->key, false, &current, &e) ||
		    !current.nr || strcmp(current.rows[0].value, c->holder)) {
			duty_refused(&d->duty, ctl_now(c));
			return;
		}
	}
	duty_acquired(&d->duty, (uint64_t)current.rows[0].create_rev,
		      never_held, ctl_now(c));
	log_line(LOG_LEVEL_INFO, "duty", "duty=%s taken fence=%lld", d->key,
		 (long long)current.rows[0].create_rev);
}

static void renew_lease(struct control *c, struct ctl_duty *d)
{
	struct err e = ERR_INIT;

	if (!c->kv->vt->lease_keep(c->kv, d->lease, &e)) {
		record_kv_reply(c);
		duty_renewed(&d->duty, ctl_now(c));
	} else if (e.code == ERR_NOT_FOUND) {
		log_line(LOG_LEVEL_WARN, "duty", "duty=%s lost", d->key);
		d->lease = 0;
		duty_lost(&d->duty, ctl_now(c));
	} else {
		duty_failed(&d->duty, ctl_now(c));
	}
}

void ctl_duty_step(struct control *c, struct ctl_duty *d)
{
	switch (duty_tick(&d->duty, ctl_now(c))) {
	case DUTY_ACQUIRE:
		acquire_lease(c, d);
		break;
	case DUTY_RENEW:
		renew_lease(c, d);
		break;
	case DUTY_NOTHING:
		break;
	}
}

void ctl_duty_release(struct control *c, struct ctl_duty *d)
{
	struct err e = ERR_INIT;

	if (d->lease)
		c->kv->vt->lease_revoke(c->kv, d->lease, &e);
	d->lease = 0;
}

/* ---- Start and stop ---- */

struct control *control_start(const struct set *s, struct err *e)
{
	struct control *c = mem_new(sizeof(*c));
	const struct {
		pthread_t *t;
		void *(*fn)(void *);
	} rows[] = {
		{ &c->watch_thread, ctl_watch_run },
		{ &c->list_thread, ctl_list_run },
		{ &c->notice_thread, ctl_notice_run },
		{ &c->member_thread, ctl_members_run },
		{ &c->place_thread, ctl_placement_run },
	};
	char text[128];
	size_t i;

	(void)e;
	signal(SIGPIPE, SIG_IGN);
	c->set = *s;
	c->clk = clk_real();
	c->boot = (uint64_t)clk_wall_ms(c->clk);
	snprintf(text, sizeof(text), "peer|%s|%llu", s->name,
		 (unsigned long long)c->boot);
	hsh_mac16(s->peer_secret, text, c->mac);
	snprintf(c->holder, sizeof(c->holder), "%s#%llu", s->name,
		 (unsigned long long)rnd_secret());
	c->hcl = hcl_create();
	c->links = links_create(LINK_THREADS);
	c->kv = kv_etcd_create(c->hcl, s->key_value);
	c->cloud = cloud_http_create(c->hcl, s->cloud);
	ctl_duty_init(c, &c->members, "members");
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (pthread_create(rows[i].t, NULL, rows[i].fn, c))
			abort();
	}
	return c;
}

void control_stop(struct control *c)
{
	atomic_store(&c->stopping, true);
	pthread_join(c->watch_thread, NULL);
	pthread_join(c->list_thread, NULL);
	pthread_join(c->notice_thread, NULL);
	pthread_join(c->member_thread, NULL);
	pthread_join(c->place_thread, NULL);
	ctl_duty_release(c, &c->members);
	ctl_placement_free(c);
	links_free(c->links);
	c->kv->vt->free(c->kv);
	c->cloud->vt->free(c->cloud);
	hcl_free(c->hcl);
	free(c);
}
