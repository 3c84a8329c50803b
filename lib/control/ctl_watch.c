/*
 * Watches of the key-value service (operators' documents, membership views) and
 * of the platform (instance list, reclaim notices).
 *
 * Only a few processes per availability zone watch; the other entries receive
 * the items by gossip.
 */
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "control/control_internal.h"

/* Two watchers per availability zone, so that one may be down. */
#define WATCHERS_PER_ZONE 2

/* Interval of reading the instance list, and delay after a failed call. */
#define LIST_INTERVAL_MS 1000
#define RETRY_MS 500

/* Lifetime of an item that reports an instance as gone. */
#define GONE_TTL_MS 120000

/* Lifetime of a reclaim notice's item. */
#define NOTICE_TTL_MS 120000

/*
 * Several watchers receive the same notice at slightly different times. The
 * instance's end time is rounded down to a multiple of this, and its quotient
 * is the item's revision, so that one revision never has two different bodies.
 */
#define NOTICE_ROUND_MS 100

#define MAX_MEMBERS VIEW_MAX_MEMBERS

/* True if this process is one of its zone's watchers, which are selected by
 * rendezvous hashing. */
static bool is_watcher(struct control *c)
{
	MEM_AUTO struct view_member *m = mem_new(MAX_MEMBERS * sizeof(*m));
	MEM_AUTO int *states = mem_new(MAX_MEMBERS * sizeof(*states));
	JSN_AUTO *o = ctl_query_entry(c, "members");
	const size_t n = ctl_read_members(o, m, states, MAX_MEMBERS);
	const uint64_t key = hsh_str(c->set.zone, 31);
	const uint64_t own_score = hsh_rendezvous(key, hsh_str(c->set.name, 0));
	size_t nr_ranked_higher = 0, i;

	for (i = 0; i < n; i++) {
		if (strcmp(m[i].zone, c->set.zone) || states[i] > 1 ||
		    !strcmp(m[i].name, c->set.name))
			continue;
		nr_ranked_higher += hsh_rendezvous(key, hsh_str(m[i].name, 0)) >
				    own_score;
	}
	return nr_ranked_higher < WATCHERS_PER_ZONE;
}

/* ---- Documents and views ---- */

struct watch_state {
	struct control *c;
	int64_t next_rev;   /* first revision not read yet */
	int64_t recheck_ms; /* when to end the watch and call is_watcher() */
};

/*
 * Called when the key-value service holds a lower serial than the document in
 * force, which means that it was restored from an old backup. An accepted
 * document must not revert, so the one in force is written back and an alarm
 * is raised.
 * @p        : the stored document.
 * @in_force : text of the document in force.
 * @serial   : serial of the document in force.
 * @shown    : serial of the stored document.
 */
static void restore_value(struct control *c, const struct kv_pair *p,
			  const char *in_force, int64_t serial, int64_t shown)
{
	const struct kv_compare cmp = { p->key, p->mod_rev };
	const struct kv_put put = { p->key, in_force, 0 };
	struct err e = ERR_INIT;
	bool done = false;

	log_line(LOG_LEVEL_ERROR, "alarm",
		 "alarm=service-went-back key=%s shows=%lld in-force=%lld",
		 p->key, (long long)shown, (long long)serial);
	c->kv->vt->txn(c->kv, &cmp, 1, &put, 1, &done, NULL, &e);
	log_line(LOG_LEVEL_WARN, "config", "key=%s written-back=%s", p->key,
		 done ? "yes" : "no");
}

static void publish_doc(struct control *c, const struct kv_pair *p)
{
	const char *name = p->key + strlen("/marldock/");
	JSN_AUTO *o = jsn_parse(p->value, p->len);
	const int64_t serial = jsn_int(o, "serial", 0);
	JSN_AUTO *known = NULL;
	char what[256];
	int64_t known_serial;

	if (serial <= 0)
		return;
	ctl_publish_item(c, name, (uint64_t)serial, p->value, 0);
	snprintf(what, sizeof(what), "item %.200s", name);
	known = ctl_query_entry(c, what);
	known_serial = jsn_int(known, "serial", 0);
	if (known_serial > serial)
		restore_value(c, p,
			      json_object_to_json_string_ext(
				      known, JSON_C_TO_STRING_PLAIN),
			      known_serial, serial);
}

static void publish_pair(struct control *c, const struct kv_pair *p)
{
	if (!strncmp(p->key, "/marldock/doc/", 14)) {
		publish_doc(c, p);
	} else if (!strcmp(p->key, "/marldock/view")) {
		JSN_AUTO *o = jsn_parse(p->value, p->len);
		char name[64];

		snprintf(name, sizeof(name), "view/%lld",
			 (long long)jsn_int(o, "number", 0));
		ctl_publish_item(c, name, 1, p->value, 0);
	}
}

static bool on_event(const struct kv_event *ev, void *arg)
{
	struct watch_state *w = arg;
	struct control *c = w->c;

	atomic_store(&c->kv_last_reply_ms, ctl_now(c));
	if (ev) {
		if (ev->pair.mod_rev >= w->next_rev)
			w->next_rev = ev->pair.mod_rev + 1;
		if (!ev->deleted)
			publish_pair(c, &ev->pair);
	}
	return !atomic_load(&c->stopping) && ctl_now(c) < w->recheck_ms;
}

static bool read_all(struct control *c, int64_t *next_rev)
{
	KV_PAIRS_AUTO docs = { 0 };
	KV_PAIRS_AUTO view = { 0 };
	struct err e = ERR_INIT;
	size_t i;

	if (c->kv->vt->range(c->kv, "/marldock/doc/", true, &docs, &e) ||
	    c->kv->vt->range(c->kv, "/marldock/view", false, &view, &e))
		return false;
	atomic_store(&c->kv_last_reply_ms, ctl_now(c));
	for (i = 0; i < docs.nr; i++)
		publish_pair(c, &docs.rows[i]);
	for (i = 0; i < view.nr; i++)
		publish_pair(c, &view.rows[i]);
	*next_rev = docs.revision + 1;
	return true;
}

void *ctl_watch_run(void *arg)
{
	struct control *c = arg;
	struct watch_state w = { .c = c };
	bool read = false;

	while (!atomic_load(&c->stopping)) {
		struct err e = ERR_INIT;

		if (!is_watcher(c)) {
			clk_sleep_ms(2 * RETRY_MS);
			read = false;
			continue;
		}
		if (!read)
			read = read_all(c, &w.next_rev);
		w.recheck_ms = ctl_now(c) + 5000;
		if (!read || c->kv->vt->watch(c->kv, "/marldock/", w.next_rev,
					      on_event, &w, &e)) {
			/* After an outage, all keys are read again. */
			read = false;
			clk_sleep_ms(RETRY_MS);
		}
		/* Reports to the entry that the key-value service replies. */
		if (ctl_now(c) - atomic_load(&c->kv_last_reply_ms) < 3000)
			json_object_put(ctl_query_entry(c, "kv-up"));
	}
	return NULL;
}

/* ---- Instances ---- */

/*
 * Publishes an instance's item, unless `known` has the same body or a revision
 * that isn't lower.
 * @version : version of the instance list; the item's revision.
 * @known   : the local entry's items of instances; NULL: publish always.
 */
static void publish_instance(struct control *c, const struct cloud_instance *in,
			     int64_t version, struct json_object *known)
{
	BUF_AUTO body = BUF_INIT;
	char name[96];
	size_t i;

	cloud_print_instance(in, &body);
	snprintf(name, sizeof(name), "inst/%.47s", in->id);
	for (i = 0; i < jsn_len(known); i++) {
		struct json_object *k = json_object_array_get_idx(known, i);
		JSN_AUTO *new_body = NULL;

		if (strcmp(jsn_str(k, "name", ""), name))
			continue;
		new_body = jsn_parse(body.data, body.len);
		/* Unchanged, or the list is not newer than the known item. */
		if (json_object_equal(jsn_get(k, "body"), new_body) ||
		    jsn_int(k, "rev", 0) >= version)
			return;
	}
	ctl_publish_item(c, name, (uint64_t)version, body.data,
			 in->state == CLOUD_GONE ? GONE_TTL_MS : 0);
}

/* Publishes state CLOUD_GONE for known instances that are no longer listed. */
static void publish_missing(struct control *c, const struct cloud_list *list,
			    struct json_object *known)
{
	size_t i, j;

	for (i = 0; i < jsn_len(known); i++) {
		struct json_object *k = json_object_array_get_idx(known, i);
		struct cloud_instance in;

		cloud_read_instance(jsn_get(k, "body"), &in);
		for (j = 0; j < list->nr; j++) {
			if (!strcmp(list->rows[j].id, in.id))
				break;
		}
		if (j < list->nr || in.state == CLOUD_GONE ||
		    jsn_int(k, "rev", 0) >= list->version)
			continue;
		in.state = CLOUD_GONE;
		publish_instance(c, &in, list->version, NULL);
	}
}

static void read_list(struct control *c)
{
	struct cloud_list list = { 0 };
	struct err e = ERR_INIT;
	JSN_AUTO *items = NULL;
	size_t i;

	if (c->cloud->vt->list(c->cloud, &list, &e)) {
		log_line(LOG_LEVEL_WARN, "list", "cloud=%s", e.text);
		return;
	}
	items = ctl_query_entry(c, "items inst/");
	if (items) {
		for (i = 0; i < list.nr; i++)
			publish_instance(c, &list.rows[i], list.version,
					 jsn_get(items, "items"));
		publish_missing(c, &list, jsn_get(items, "items"));
	}
	free(list.rows);
}

void *ctl_list_run(void *arg)
{
	struct control *c = arg;

	while (!atomic_load(&c->stopping)) {
		if (is_watcher(c))
			read_list(c);
		clk_sleep_ms(LIST_INTERVAL_MS);
	}
	return NULL;
}

/* ---- Reclaim notices ---- */

static void publish_notice(struct control *c, const struct cloud_notice *n)
{
	const int64_t end =
		(clk_wall_ms(c->clk) + n->end_in_ms) / NOTICE_ROUND_MS;
	char name[96], body[64];

	snprintf(name, sizeof(name), "notice/%.47s", n->instance);
	snprintf(body, sizeof(body), "{\"end_wall_ms\":%lld}",
		 (long long)(end * NOTICE_ROUND_MS));
	log_line(LOG_LEVEL_INFO, "reclaim", "notice instance=%s end_in_ms=%lld",
		 n->instance, (long long)n->end_in_ms);
	ctl_publish_item(c, name, (uint64_t)end, body, NOTICE_TTL_MS);
}

void *ctl_notice_run(void *arg)
{
	struct control *c = arg;
	struct cloud_notice rows[256];
	int64_t seq = 0;
	size_t n, i;

	while (!atomic_load(&c->stopping)) {
		struct err e = ERR_INIT;

		if (!is_watcher(c) ||
		    c->cloud->vt->notices(c->cloud, &seq, rows, 256, &n, &e)) {
			clk_sleep_ms(RETRY_MS);
			continue;
		}
		for (i = 0; i < n; i++) {
			if (rows[i].end_in_ms > 0)
				publish_notice(c, &rows[i]);
		}
	}
	return NULL;
}
