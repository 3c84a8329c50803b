/*
 * Snapshots of documents, views and members, and the endpoint tables that are
 * built from the gossiped items. All but the look-ups runs on the member
 * thread.
 */
#include "entry/entry_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/pub.h"

#include "base/hsh.h"
#include "base/jsn.h"

/* Blocks in the prefix index of a model: 16 Ki x 72 B is 1.2 MB. */
#define MAX_PREFIX_BLOCKS 16384

/* Queued requests per model; further ones could not start in time. */
#define MAX_QUEUED 1024

/* Endpoints per model; the target fleet has 2,700 in total. */
#define MAX_ENDPOINTS 4096

/* ---- Reading a snapshot ---- */

const struct ent_snap *ent_snap(const struct entry *en)
{
	return pub_get(en->snap);
}

const struct view *ent_snap_view(const struct ent_snap *s, uint64_t number)
{
	size_t i;

	for (i = s->nr_views; i-- > 0;) {
		if (s->views[i]->number == number)
			return s->views[i];
	}
	return NULL;
}

const struct view *ent_snap_current(const struct ent_snap *s)
{
	return s->nr_views ? s->views[s->nr_views - 1] : NULL;
}

const struct ent_member *ent_snap_member(const struct ent_snap *s, uint64_t id)
{
	size_t lo = 0, hi = s->nr_members;

	while (lo < hi) {
		const size_t mid = (lo + hi) / 2;

		if (s->members[mid].info.id == id)
			return &s->members[mid];
		if (s->members[mid].info.id < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

const struct ent_doc *ent_snap_doc(const struct ent_snap *s,
				   const char *service)
{
	size_t i;

	for (i = 0; i < s->nr_docs; i++) {
		if (!strcmp(s->docs[i]->service, service))
			return s->docs[i];
	}
	return NULL;
}

/*
 * Searches by the hash of the key, so that the time taken reveals nothing about
 * the key. The final comparison takes constant time nevertheless.
 */
const struct ent_account_ref *ent_snap_account(const struct ent_snap *s,
					       const char *bearer)
{
	size_t lo = 0, hi = s->nr_accounts;
	char hex[65];

	hsh_sha256_hex(bearer, hex);
	while (lo < hi) {
		const size_t mid = (lo + hi) / 2;
		const int c = strcmp(hex, s->accounts[mid].key_sha256);

		if (c <= 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	if (lo < s->nr_accounts &&
	    hsh_equal_secret(hex, s->accounts[lo].key_sha256))
		return &s->accounts[lo];
	return NULL;
}

/* ---- Publishing ---- */

static int by_key_hash(const void *a, const void *b)
{
	const struct ent_account_ref *x = a, *y = b;

	return strcmp(x->key_sha256, y->key_sha256);
}

static int by_id(const void *a, const void *b)
{
	const struct ent_member *x = a, *y = b;

	return x->info.id < y->info.id ? -1 : x->info.id > y->info.id;
}

static void add_docs(struct entry *en, struct ent_snap *s)
{
	struct ent_doc *d;
	size_t accounts = 0, n = 0, i;

	cds_list_for_each_entry(d, &en->docs, node) {
		n++;
		accounts += d->doc->nr_accounts;
	}
	s->docs = mem_new(n * sizeof(*s->docs));
	s->accounts = mem_new(accounts * sizeof(*s->accounts));
	cds_list_for_each_entry(d, &en->docs, node) {
		s->docs[s->nr_docs++] = d;
		for (i = 0; i < d->doc->nr_accounts; i++) {
			struct ent_account_ref *r =
				&s->accounts[s->nr_accounts++];

			r->key_sha256 = d->doc->accounts[i].key_sha256;
			r->doc = d;
			r->account = &d->doc->accounts[i];
		}
	}
	if (accounts)
		qsort(s->accounts, accounts, sizeof(*s->accounts), by_key_hash);
}

static void add_members(struct entry *en, struct ent_snap *s)
{
	MEM_AUTO struct swim_delta *all =
		mem_new(VIEW_MAX_MEMBERS * sizeof(*all));
	size_t n, i;

	pthread_mutex_lock(&en->member_lock);
	n = swim_snapshot(en->swim, all, VIEW_MAX_MEMBERS);
	pthread_mutex_unlock(&en->member_lock);
	s->members = mem_new(n * sizeof(*s->members));
	for (i = 0; i < n; i++) {
		s->members[i].info = all[i].member;
		s->members[i].info.id = view_instance_id(all[i].member.name,
							 all[i].member.boot);
		s->members[i].state = all[i].state;
	}
	s->nr_members = n;
	qsort(s->members, n, sizeof(*s->members), by_id);
}

static void free_snap(struct ent_snap *s)
{
	if (!s)
		return;
	free(s->docs);
	free(s->accounts);
	free(s->members);
	free(s);
}

void ent_publish(struct entry *en)
{
	struct ent_snap *s = mem_new(sizeof(*s));
	struct ent_snap *old = en->snap;

	add_docs(en, s);
	add_members(en, s);
	memcpy(s->views, en->views, sizeof(s->views));
	s->nr_views = en->nr_views;
	pub_set(en->snap, s);
	pub_wait();
	free_snap(old);
	met_set(en->m.members, (long long)s->nr_members);
	met_set(en->m.view,
		s->nr_views ? (long long)ent_snap_current(s)->number : 0);
	if (s->nr_docs && s->nr_views)
		atomic_store(&en->ready, true);
}

void ent_state_init(struct entry *en)
{
	CDS_INIT_LIST_HEAD(&en->docs);
	CDS_INIT_LIST_HEAD(&en->insts);
	CDS_INIT_LIST_HEAD(&en->models);
	CDS_INIT_LIST_HEAD(&en->pools);
	CDS_INIT_LIST_HEAD(&en->accounts);
	pthread_mutex_init(&en->list_lock, NULL);
	ent_publish(en);
}

void ent_state_free(struct entry *en)
{
	struct ent_doc *d, *tmp_d;
	struct ent_inst *i, *tmp_i;
	struct ent_model *m, *tmp_m;
	struct ent_pool *p, *tmp_p;
	struct ent_account *a, *tmp_a;
	size_t v;

	free_snap(en->snap);
	cds_list_for_each_entry_safe(d, tmp_d, &en->docs, node) {
		doc_free(d->doc);
		free(d);
	}
	cds_list_for_each_entry_safe(i, tmp_i, &en->insts, node)
		free(i);
	cds_list_for_each_entry_safe(m, tmp_m, &en->models, node) {
		route_free(m->table);
		prefix_free(m->prefix);
		wfq_free(m->queue);
		free(m);
	}
	cds_list_for_each_entry_safe(p, tmp_p, &en->pools, node)
		free(p);
	cds_list_for_each_entry_safe(a, tmp_a, &en->accounts, node) {
		share_keeper_free(a->keeper);
		free(a);
	}
	for (v = 0; v < en->nr_views; v++)
		view_free(en->views[v]);
}

void ent_alarm(struct entry *en, const char *what, const char *detail)
{
	met_inc(en->m.alarms);
	log_line(LOG_LEVEL_ERROR, "alarm", "alarm=%s detail=\"%s\"", what,
		 detail);
}

/* ---- Accounts, models and pools ---- */

struct ent_account *ent_account_get(struct entry *en, const char *service,
				    const char *account, double limit)
{
	char name[2 * DOC_NAME_MAX];
	struct ent_account *a, *found = NULL;
	size_t members;

	snprintf(name, sizeof(name), "%s/%s", service, account);
	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(a, &en->accounts, node) {
		if (!strcmp(a->name, name)) {
			found = a;
			break;
		}
	}
	if (!found) {
		pub_read_lock();
		members = ent_snap(en)->nr_members;
		pub_read_unlock();
		found = mem_new(sizeof(*found));
		str_copy(found->name, name, sizeof(found->name));
		pthread_mutex_init(&found->lock, NULL);
		share_init(&found->share, limit, members, ent_now(en));
		retry_budget_init(&found->retries);
		found->limit = limit;
		cds_list_add(&found->node, &en->accounts);
	}
	pthread_mutex_unlock(&en->list_lock);
	return found;
}

struct ent_model *ent_model_get(struct entry *en, const char *service,
				const char *name, bool create)
{
	struct ent_model *m, *found = NULL;

	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(m, &en->models, node) {
		if (!strcmp(m->service, service) && !strcmp(m->name, name)) {
			found = m;
			break;
		}
	}
	if (!found && create) {
		found = mem_new(sizeof(*found));
		str_copy(found->service, service, sizeof(found->service));
		str_copy(found->name, name, sizeof(found->name));
		pthread_mutex_init(&found->lock, NULL);
		found->table = route_create(en->self.id, MAX_ENDPOINTS);
		found->prefix = prefix_create(MAX_PREFIX_BLOCKS);
		found->queue = wfq_create(WFQ_FAIR, MAX_QUEUED);
		rnd_seed(&found->rnd, rnd_secret());
		found->first_token_ms = 1000;
		found->between_tokens_ms = 50;
		found->recompute_weight = 0.5;
		cds_list_add(&found->node, &en->models);
	}
	pthread_mutex_unlock(&en->list_lock);
	return found;
}

struct ent_pool *ent_pool_get(struct entry *en, const char *service,
			      const char *name, bool create)
{
	struct ent_pool *p, *found = NULL;

	pthread_mutex_lock(&en->list_lock);
	cds_list_for_each_entry(p, &en->pools, node) {
		if (!strcmp(p->service, service) && !strcmp(p->name, name)) {
			found = p;
			break;
		}
	}
	if (!found && create) {
		found = mem_new(sizeof(*found));
		str_copy(found->service, service, sizeof(found->service));
		str_copy(found->name, name, sizeof(found->name));
		pthread_mutex_init(&found->lock, NULL);
		cds_list_add(&found->node, &en->pools);
	}
	pthread_mutex_unlock(&en->list_lock);
	return found;
}

/* ---- Applying items ---- */

/*
 * Returns a copy of the item's body and sets `*rev`; NULL if it is unknown. A
 * copy, so that no lock is held while it is parsed.
 */
static char *item_body(struct entry *en, const char *name, uint64_t *rev)
{
	const struct spread_item *it;
	char *body = NULL;

	pthread_mutex_lock(&en->member_lock);
	it = spread_get(en->spread, name);
	if (it) {
		body = mem_new(it->len + 1);
		memcpy(body, it->body, it->len);
		*rev = it->rev;
	}
	pthread_mutex_unlock(&en->member_lock);
	return body;
}

static void update_models_and_accounts(struct entry *en, const struct doc *d)
{
	size_t i;

	for (i = 0; i < d->nr_models; i++) {
		struct ent_model *m =
			ent_model_get(en, d->service, d->models[i].name, true);

		pthread_mutex_lock(&m->lock);
		str_copy(m->version, d->models[i].version, sizeof(m->version));
		m->first_token_ms = d->first_token_ms;
		m->between_tokens_ms = d->between_tokens_ms;
		m->recompute_weight = d->recompute_weight;
		pthread_mutex_unlock(&m->lock);
	}
	for (i = 0; i < d->nr_accounts; i++) {
		struct ent_account *a =
			ent_account_get(en, d->service, d->accounts[i].name,
					d->accounts[i].tokens_per_s);

		pthread_mutex_lock(&a->lock);
		a->limit = d->accounts[i].tokens_per_s;
		a->share.limit = a->limit;
		if (a->keeper)
			share_keeper_set_limit(a->keeper, a->limit);
		pthread_mutex_unlock(&a->lock);
	}
}

static struct ent_doc *find_doc(struct entry *en, const char *service)
{
	struct ent_doc *d;

	cds_list_for_each_entry(d, &en->docs, node) {
		if (!strcmp(d->service, service))
			return d;
	}
	return NULL;
}

/*
 * Lets the items of all views but the latest expire after twice the life of a
 * key: grants may refer to them for one life, and clocks differ. The latest is
 * kept for peers that join later.
 */
static void expire_old_views(struct entry *en)
{
	const int64_t at = ent_now(en) + 2 * en->set.key_life_ms;
	char name[64];
	size_t i;

	pthread_mutex_lock(&en->member_lock);
	for (i = 0; i + 1 < en->nr_views; i++) {
		snprintf(name, sizeof(name), "view/%llu",
			 (unsigned long long)en->views[i]->number);
		spread_expire_at(en->spread, name, at);
	}
	pthread_mutex_unlock(&en->member_lock);
}

/* Adds a view; drops the oldest if there are ENT_MAX_VIEWS already. */
static void apply_view(struct entry *en, const char *body)
{
	struct err e = ERR_INIT;
	struct view *v = view_parse(body, strlen(body), &e);
	struct view *dropped = NULL;
	size_t i, at;

	if (!v) {
		ent_alarm(en, "view-unreadable", e.text);
		return;
	}
	for (i = 0; i < en->nr_views; i++) {
		if (en->views[i]->number == v->number) {
			view_free(v);
			return;
		}
	}
	if (en->nr_views == ENT_MAX_VIEWS) {
		dropped = en->views[0];
		memmove(en->views, en->views + 1,
			(ENT_MAX_VIEWS - 1) * sizeof(en->views[0]));
		en->nr_views--;
	}
	for (at = en->nr_views; at > 0 && en->views[at - 1]->number > v->number;
	     at--)
		en->views[at] = en->views[at - 1];
	en->views[at] = v;
	en->nr_views++;
	ent_publish(en);
	view_free(dropped);
	expire_old_views(en);
	log_line(LOG_LEVEL_INFO, "member", "view=%llu entries=%zu",
		 (unsigned long long)v->number, v->nr);
}

/*
 * Expected reclaims of an instance per second: one a day in general; one per
 * 30 s in a zone with a notice in the last ALERT_MS, since reclaims come in
 * waves that affect a whole zone.
 */
#define BASE_RECLAIM_RISK (1.0 / 86400.0)
#define ALERT_RECLAIM_RISK (1.0 / 30.0)
#define ALERT_MS 60000

static bool zone_has_alert(const struct entry *en, const char *zone)
{
	size_t i;

	for (i = 0; i < en->nr_alerts; i++) {
		if (!strcmp(en->alerts[i].zone, zone))
			return ent_now(en) < en->alerts[i].until_ms;
	}
	return false;
}

static void fill_endpoint(struct entry *en, const struct ent_inst *in,
			  struct route_endpoint *ep)
{
	const struct cloud_instance *c = &in->info;
	struct ent_doc *d = find_doc(en, c->service);
	const struct doc_class *k = d ? doc_find_class(d->doc, c->class_name)
				      : NULL;

	memset(ep, 0, sizeof(*ep));
	ep->id = in->id;
	str_copy(ep->name, c->id, sizeof(ep->name));
	str_copy(ep->address, c->address, sizeof(ep->address));
	str_copy(ep->zone, c->zone, sizeof(ep->zone));
	ep->reclaimable = c->reclaimable;
	ep->leaving = c->state != CLOUD_RUNNING || in->reclaim_ms;
	ep->tokens_per_s = k ? k->tokens_per_s : 400;
	ep->prefill_per_s = k ? k->prefill_tokens_per_s : 4000;
	ep->slots = k ? k->slots : 8;
	ep->kv_mb_per_s = k ? k->kv_mb_per_s : 0;
	ep->kv_mb_per_token = k ? k->kv_mb_per_token : 0.125;
	if (c->reclaimable)
		ep->risk_per_s = zone_has_alert(en, c->zone)
					 ? ALERT_RECLAIM_RISK
					 : BASE_RECLAIM_RISK;
}

static void update_table(struct entry *en, const struct ent_inst *in)
{
	struct ent_model *m =
		ent_model_get(en, in->info.service, in->info.role, true);
	struct route_endpoint ep, *known;

	fill_endpoint(en, in, &ep);
	pthread_mutex_lock(&m->lock);
	known = route_find(m->table, in->id);
	if (in->info.state == CLOUD_GONE || in->info.state == CLOUD_STARTING) {
		if (known)
			route_remove(m->table, in->id);
	} else {
		/* Keep what the endpoint reported until its next report. */
		if (known) {
			ep.ready = known->ready;
			memcpy(ep.version, known->version, sizeof(ep.version));
		}
		route_put(m->table, &ep);
		route_refresh(m->table);
	}
	pthread_mutex_unlock(&m->lock);
}

static void update_pool(struct entry *en, const struct ent_inst *in)
{
	struct ent_pool *p =
		ent_pool_get(en, in->info.service, in->info.role, true);
	size_t i;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < p->nr && p->rows[i].id != in->id; i++)
		;
	if (in->info.state == CLOUD_GONE) {
		if (i < p->nr)
			p->rows[i] = p->rows[--p->nr];
	} else if (i < ENT_POOL_MAX) {
		if (i == p->nr) {
			memset(&p->rows[i], 0, sizeof(p->rows[i]));
			p->nr++;
		}
		p->rows[i].id = in->id;
		str_copy(p->rows[i].address, in->info.address,
			 sizeof(p->rows[i].address));
		str_copy(p->rows[i].zone, in->info.zone,
			 sizeof(p->rows[i].zone));
		p->rows[i].leaving = in->info.state != CLOUD_RUNNING ||
				     in->reclaim_ms;
	}
	pthread_mutex_unlock(&p->lock);
}

static struct ent_inst *find_inst(struct entry *en, uint64_t id, bool create)
{
	struct ent_inst *in;

	cds_list_for_each_entry(in, &en->insts, node) {
		if (in->id == id)
			return in;
	}
	if (!create)
		return NULL;
	in = mem_new(sizeof(*in));
	in->id = id;
	in->info.state = CLOUD_GONE;
	cds_list_add(&in->node, &en->insts);
	return in;
}

static void update_instance(struct entry *en, const struct ent_inst *in)
{
	if (!strcmp(in->info.kind, "engine"))
		update_table(en, in);
	else if (!strcmp(in->info.kind, "plain"))
		update_pool(en, in);
}

/*
 * Updates the endpoints of a service after a change of its document, which
 * specifies the performance of the machine classes. Endpoints of instances that
 * arrive before the document have default values. Without this update they
 * kept them, at half the real prefill rate, and the few instances that started
 * later got a fifth of all requests.
 */
static void update_service_instances(struct entry *en, const char *service)
{
	struct ent_inst *in;

	cds_list_for_each_entry(in, &en->insts, node) {
		if (!strcmp(in->info.service, service))
			update_instance(en, in);
	}
}

static void apply_doc(struct entry *en, const char *name, const char *body,
		      uint64_t rev)
{
	JSN_AUTO *o = jsn_parse(body, strlen(body));
	struct err e = ERR_INIT;
	struct ent_doc *d, *old;
	struct doc *parsed;

	parsed = doc_parse(name, jsn_str(o, "text", ""), &e);
	if (!parsed) {
		/* Unexpected: documents are validated when accepted. */
		ent_alarm(en, "document-unreadable", e.text);
		return;
	}
	d = mem_new(sizeof(*d));
	str_copy(d->service, parsed->service, sizeof(d->service));
	d->rev = rev;
	d->doc = parsed;
	old = find_doc(en, d->service);
	if (old)
		cds_list_del(&old->node);
	cds_list_add(&d->node, &en->docs);
	update_models_and_accounts(en, parsed);
	ent_publish(en);
	update_service_instances(en, d->service);
	log_line(LOG_LEVEL_INFO, "config",
		 "document=%s revision=%llu in-force=yes", d->service,
		 (unsigned long long)rev);
	if (old) {
		doc_free(old->doc);
		free(old);
	}
}

static void raise_alert(struct entry *en, const char *zone)
{
	struct ent_inst *in;
	size_t i;

	for (i = 0; i < en->nr_alerts; i++) {
		if (!strcmp(en->alerts[i].zone, zone))
			break;
	}
	if (i == ENT_MAX_ALERTS)
		return;
	if (i == en->nr_alerts)
		str_copy(en->alerts[en->nr_alerts++].zone, zone, DOC_NAME_MAX);
	en->alerts[i].until_ms = ent_now(en) + ALERT_MS;
	cds_list_for_each_entry(in, &en->insts, node) {
		if (!strcmp(in->info.zone, zone) && in->info.reclaimable)
			update_instance(en, in);
	}
}

static void start_rescue(struct entry *en, struct ent_inst *in, int64_t end)
{
	in->reclaim_ms = end;
	update_instance(en, in);
	if (in->info.reclaimable)
		raise_alert(en, in->info.zone);
	log_line(LOG_LEVEL_INFO, "reclaim", "instance=%s left_ms=%lld",
		 in->info.id, (long long)(end - ent_now(en)));
	ent_send_command(en, ENT_CMD_RESCUE, NULL, in->id, 0, end);
}

static void apply_instance(struct entry *en, const char *name, const char *body)
{
	const uint64_t id = hsh_str(name + strlen("inst/"), 0);
	JSN_AUTO *o = jsn_parse(body, strlen(body));
	struct ent_inst *in;
	const bool known = find_inst(en, id, false);

	if (!o)
		return;
	in = find_inst(en, id, true);
	cloud_read_instance(o, &in->info);
	/* A notice does not apply to a new instance at the same address. */
	if (in->info.state == CLOUD_STARTING || in->info.state == CLOUD_GONE)
		in->reclaim_ms = 0;
	update_instance(en, in);
	if (known && in->info.state == CLOUD_GONE)
		ent_send_command(en, ENT_CMD_RESCUE, NULL, id, 0, ent_now(en));
	if (in->info.state == CLOUD_GONE) {
		cds_list_del(&in->node);
		free(in);
		return;
	}
	if (in->info.state == CLOUD_LEAVING && !in->reclaim_ms)
		start_rescue(en, in,
			     ent_now(en) + (in->info.end_in_ms > 0
						    ? in->info.end_in_ms
						    : 0));
}

/* A repeated notice, or one for a gone instance, has no effect. */
static void apply_notice(struct entry *en, const char *name, const char *body)
{
	const uint64_t id = hsh_str(name + strlen("notice/"), 0);
	JSN_AUTO *o = jsn_parse(body, strlen(body));
	const int64_t end_wall = jsn_int(o, "end_wall_ms", 0);
	struct ent_inst *in = find_inst(en, id, false);
	const int64_t left = end_wall - clk_wall_ms(en->clk);

	if (!in || in->reclaim_ms || in->info.state == CLOUD_GONE || left <= 0)
		return;
	start_rescue(en, in, ent_now(en) + left);
}

void ent_apply_item(struct entry *en, const char *name)
{
	uint64_t rev = 0;
	MEM_AUTO char *body = item_body(en, name, &rev);

	if (!body)
		return;
	if (!strncmp(name, "doc/", 4))
		apply_doc(en, name, body, rev);
	else if (!strncmp(name, "view/", 5))
		apply_view(en, body);
	else if (!strncmp(name, "inst/", 5))
		apply_instance(en, name, body);
	else if (!strncmp(name, "notice/", 7))
		apply_notice(en, name, body);
}
