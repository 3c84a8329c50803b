/*
 * The lease of this entry: its registration in the store and the election of
 * the duty holder are bound to it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * Duration of the lease, and interval between renewals. Short, since look-ups
 * return the address of an entry that has exited until its lease expires. A
 * lease is renewed three times in its duration; the store counts a renewal as a
 * tenth of a read.
 */
#define LEASE_MS 3000
#define RENEW_MS 900

/*
 * The interval of a leaf. No look-up returns its address, so that it does not
 * matter if its registration lapses after a call that failed.
 */
#define RENEW_LEAF_MS 2000

/* Delay after a call that failed. */
#define LEASE_RETRY_MS 250

/* The part of the value of EDGE_DUTY_KEY that names this process. */
static int format_boot(const struct edge *en, char *out, size_t size)
{
	return snprintf(out, size, "%s/%016llx", en->conf->name,
			(unsigned long long)en->boot);
}

static void format_holder(const struct edge *en, char *out, size_t size)
{
	const int len = format_boot(en, out, size);

	snprintf(out + len, size - (size_t)len, "/%lld",
		 (long long)en->lease.id);
}

/* True if the value names this process; *lease: that it states, 0: none. */
static bool names_this_boot(const struct edge *en, const char *value,
			    int64_t *lease)
{
	char own[128];
	const int len = format_boot(en, own, sizeof(own));

	*lease = 0;
	if (strncmp(value, own, (size_t)len) != 0)
		return false;
	if (value[len] == '/')
		*lease = strtoll(value + len + 1, NULL, 10);
	return value[len] == '/' || !value[len];
}

/* Copies the name of the entry that the value of EDGE_DUTY_KEY names. */
static void copy_holder_name(const char *value, char *out, size_t size)
{
	snprintf(out, size, "%.*s", (int)strcspn(value, "/"), value);
}

/* ---- Registration ---- */

static void drop_lease(struct edge *en, int64_t now)
{
	en->lease.id = 0;
	en->lease.expires_ms = 0;
	en->lease.registered = false;
	lead_on_lease_lost(&en->lead, now);
}

void edge_lease_invalidate(struct edge *en, int64_t next_ms)
{
	drop_lease(en, edge_now(en));
	en->lease.next_call_ms = next_ms;
}

/* A random part of the interval, as entries that start together stay in step. */
#define JITTER_DIVISOR 4

static int renew_ms(const struct edge *en)
{
	const int ms = en->ovl.core ? RENEW_MS : RENEW_LEAF_MS;

	return ms - (int)(en->source % (uint64_t)(ms / JITTER_DIVISOR));
}

static void on_registered(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	en->lease.call_in_flight = false;
	if (a->outcome == STO_OK) {
		en->lease.registered = true;
		en->lease.next_call_ms = now + renew_ms(en);
		return;
	}
	if (a->outcome == STO_ABSENT)
		drop_lease(en, now);
	en->lease.next_call_ms = now + LEASE_RETRY_MS;
}

static void write_registration(struct edge *en)
{
	char key[CONF_NAME_SIZE + sizeof(EDGE_ENTRY_PREFIX)];
	BUF_AUTO value = BUF_INIT;
	struct sto_call c = { .kind = STO_WRITE, .nr_rows = 1 };

	snprintf(key, sizeof(key), "%s%s", EDGE_ENTRY_PREFIX, en->conf->name);
	buf_str(&value, "{\"zone\":");
	buf_json(&value, en->conf->zone);
	buf_str(&value, ",\"callers\":");
	buf_json(&value, en->conf->listen.callers);
	buf_str(&value, ",\"peers\":");
	buf_json(&value, en->peer_address);
	buf_str(&value, "}");
	c.rows[0] =
		(struct sto_row){ key, value.data, value.len, en->lease.id };
	en->lease.call_in_flight = true;
	sto_call(en->store, &c, on_registered, en);
}

static void on_granted(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	en->lease.call_in_flight = false;
	en->lease.next_call_ms = now + LEASE_RETRY_MS;
	if (a->outcome != STO_OK || !a->lease)
		return;
	en->lease.id = a->lease;
	en->lease.expires_ms = a->asked_ms + a->ttl_ms;
	en->lease.registered = false;
	lead_on_lease_granted(&en->lead, a->lease);
	en->lease.next_call_ms = now;
}

static void on_renewed(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	en->lease.call_in_flight = false;
	en->lease.next_call_ms = now + LEASE_RETRY_MS;
	if (a->outcome == STO_OK) {
		if (a->asked_ms + LEASE_MS > en->lease.expires_ms)
			en->lease.expires_ms = a->asked_ms + LEASE_MS;
		en->lease.next_call_ms = now + renew_ms(en);
	} else if (a->outcome == STO_ABSENT) {
		jlog_begin(en->log, JLOG_WARN, "lease_lost");
		jlog_int(en->log, "lease", en->lease.id);
		jlog_end(en->log);
		drop_lease(en, now);
		en->lease.next_call_ms = now;
	}
}

static void lease_tick(struct edge *en, int64_t now)
{
	struct sto_call c = { .ttl_ms = LEASE_MS, .lease = en->lease.id };

	if (en->lease.call_in_flight || now < en->lease.next_call_ms ||
	    en->stopping)
		return;
	if (en->lease.id && !en->lease.registered) {
		write_registration(en);
		return;
	}
	c.kind = en->lease.id ? STO_LEASE_RENEW : STO_LEASE_GRANT;
	en->lease.call_in_flight = true;
	sto_call(en->store, &c, en->lease.id ? on_renewed : on_granted, en);
}

void edge_lease_resign(struct edge *en)
{
	const struct sto_call c = { .kind = STO_LEASE_END,
				    .lease = en->lease.id };

	lead_on_lease_lost(&en->lead, edge_now(en));
	if (!en->lease.id)
		return;
	en->lease.id = 0;
	en->lease.expires_ms = 0;
	sto_call(en->store, &c, sto_ignore_answer, NULL);
}

/* ---- Election of the duty holder ---- */

static void log_duty(struct edge *en, const struct lead_key *key)
{
	jlog_begin(en->log, JLOG_INFO, "duty");
	jlog_bool(en->log, "holding", en->lead.is_holder);
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_int(en->log, "key", key->revision);
	jlog_int(en->log, "key_lease", key->lease);
	jlog_int(en->log, "lease", en->lease.id);
	jlog_end(en->log);
}

void edge_lease_duty_seen(struct edge *en, const char *value, size_t len,
			  int64_t revision)
{
	const bool was_holder = en->lead.is_holder;
	const int64_t was_stale = en->lead.stale_revision;
	struct lead_key key = { .revision = revision };
	BUF_AUTO text = BUF_INIT;

	buf_add(&text, value, len);
	copy_holder_name(buf_cstr(&text), en->duty_holder,
			 sizeof(en->duty_holder));
	if (names_this_boot(en, buf_cstr(&text), &key.lease))
		key.owner = LEAD_OWNER_SELF;
	else if (!strcmp(en->duty_holder, en->conf->name))
		key.owner = LEAD_OWNER_PREVIOUS_BOOT;
	lead_on_key(&en->lead, &key, edge_now(en));
	if (was_holder != en->lead.is_holder ||
	    (en->lead.stale_revision && was_stale != en->lead.stale_revision))
		log_duty(en, &key);
}

static void on_duty_taken(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const struct lead_key key = { LEAD_OWNER_SELF, en->lead.acquiring_lease,
				      a->revision };

	lead_end_acquire(&en->lead, a->outcome == STO_OK, a->revision,
			 edge_now(en));
	if (a->outcome == STO_OK)
		log_duty(en, &key);
}

void edge_lease_duty_deleted(struct edge *en, int64_t revision)
{
	const bool was_holder = en->lead.is_holder;
	const struct lead_key gone = { .revision = revision };

	en->duty_holder[0] = '\0';
	lead_on_key_deleted(&en->lead, revision, edge_now(en));
	if (was_holder != en->lead.is_holder)
		log_duty(en, &gone);
}

void edge_lease_duty_read(struct edge *en, const struct sto_answer *a)
{
	if (a->outcome == STO_OK && a->nr_items && a->items[0].value)
		edge_lease_duty_seen(en, a->items[0].value, a->items[0].len,
				     a->items[0].revision);
	else if (a->outcome == STO_ABSENT)
		edge_lease_duty_deleted(en, a->revision);
}

static void on_duty_read(void *arg, struct sto_answer *a)
{
	edge_lease_duty_read(arg, a);
}

void edge_lease_read_duty(struct edge *en)
{
	const struct sto_call c = { .kind = STO_GET, .key = EDGE_DUTY_KEY };

	sto_call(en->store, &c, on_duty_read, en);
}

static void duty_tick(struct edge *en, int64_t now)
{
	char holder[128];
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };

	if (!en->conf->cloud.address[0] || !en->lease.registered ||
	    en->stopping || !en->watches[EDGE_WATCH_SYSTEM].mirror.complete)
		return;
	if ((en->lead.key_exists && !en->lead.stale_revision) ||
	    !lead_begin_acquire(&en->lead,
				ovl_watch_rank(&en->ovl, &en->prs, now),
				en->lease.expires_ms, now))
		return;
	format_holder(en, holder, sizeof(holder));
	c.conditions[0] =
		(struct sto_condition){ EDGE_DUTY_KEY,
					lead_expected_revision(&en->lead) };
	c.rows[0] = (struct sto_row){ EDGE_DUTY_KEY, holder, strlen(holder),
				      en->lease.id };
	sto_call(en->store, &c, on_duty_taken, en);
}

void edge_lease_tick(struct edge *en, int64_t now)
{
	lease_tick(en, now);
	duty_tick(en, now);
}
