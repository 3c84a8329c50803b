/*
 * Keeps the bindings of this entry's streams in the store (bnd_log.h), under a
 * lease that ends some time after this process.
 */
#include <stdio.h>
#include <string.h>

#include "edge/edge_internal.h"

/* Longer than the segments are needed after the process has ended. */
#define LEASE_MS (2 * BND_KEEP_MS)
#define RENEW_MS (LEASE_MS / 3)

/* Share of the store's writes per second that all senders together may use. */
#define WRITE_SHARE 0.25

/* Writes that may follow each other without a pause. */
#define BURST 8

/* Delay after a call that failed, ms. */
#define RETRY_MS 300

/* Counts a write against this entry's part of the share. */
static void charge_write(struct edge *en, int64_t now)
{
	const double interval = edge_store_interval_ms(
		en, en->conf->store.writes_per_s, WRITE_SHARE);
	struct edge_binding_log *l = &en->binding_log;

	if (l->next_ms < (double)now - BURST * interval)
		l->next_ms = (double)now - BURST * interval;
	l->next_ms += interval;
}

/* ---- Lease ---- */

static void drop_lease(struct edge *en)
{
	en->binding_log.lease = 0;
	bnd_log_lost(&en->binding_log.log);
}

void edge_bind_log_open(struct edge *en)
{
	bnd_log_init(&en->binding_log.log);
}

void edge_bind_log_restored(struct edge *en)
{
	drop_lease(en);
}

static void on_granted(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);

	en->binding_log.in_flight = false;
	if (a->outcome != STO_OK || !a->lease) {
		en->binding_log.next_ms = (double)(now + RETRY_MS);
		return;
	}
	en->binding_log.lease = a->lease;
	en->binding_log.renew_ms = now + RENEW_MS;
	edge_bind_log_tick(en, now);
}

static void on_renewed(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;

	en->binding_log.in_flight = false;
	if (a->outcome == STO_ABSENT)
		drop_lease(en);
	en->binding_log.renew_ms =
		edge_now(en) + (a->outcome == STO_OK ? RENEW_MS : RETRY_MS);
}

static void call_lease(struct edge *en, enum sto_kind kind, sto_done done)
{
	const struct sto_call c = { .kind = kind,
				    .lease = en->binding_log.lease,
				    .ttl_ms = LEASE_MS };

	en->binding_log.in_flight = true;
	sto_call(en->store, &c, done, en);
}

/* ---- Segments ---- */

static void on_written(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	struct edge_binding_log *l = &en->binding_log;
	const int64_t now = edge_now(en);

	l->in_flight = false;
	if (a->outcome == STO_ABSENT)
		drop_lease(en);
	else if (a->outcome != STO_OK)
		l->next_ms = (double)(now + RETRY_MS);
	else if (l->deleting)
		bnd_log_deleted(&l->log, l->number);
	else if (l->written_under == l->lease)
		bnd_log_written(&l->log, l->number, l->nr_rows);
	/* The rows that came meanwhile go together. */
	edge_bind_log_tick(en, now);
}

static void write_segment(struct edge *en, const struct bnd_log_segment *s)
{
	struct edge_binding_log *l = &en->binding_log;
	char key[sizeof(EDGE_BINDING_PREFIX) + CONF_NAME_SIZE + 32];
	struct sto_call c = { .kind = STO_WRITE, .nr_rows = 1 };
	BUF_AUTO value = BUF_INIT;

	snprintf(key, sizeof(key), "%s%s/%016llx/%u", EDGE_BINDING_PREFIX,
		 en->conf->name, (unsigned long long)en->boot, s->number);
	c.rows[0].key = key;
	if (!s->over) {
		bnd_log_encode(s, &value);
		c.rows[0].value = value.data;
		c.rows[0].len = value.len;
		c.rows[0].lease = l->lease;
	}
	l->number = s->number;
	l->nr_rows = s->nr_rows;
	l->deleting = s->over;
	l->written_under = l->lease;
	l->in_flight = true;
	met_inc(en->m.binding_writes);
	sto_call(en->store, &c, on_written, en);
}

void edge_bind_log_add(struct edge *en, struct bnd_row *row, int64_t now)
{
	if (row->logged)
		return;
	row->logged = true;
	bnd_log_add(&en->binding_log.log, row->stream, row->origin, now);
	edge_bind_log_tick(en, now);
}

void edge_bind_log_tick(struct edge *en, int64_t now)
{
	struct edge_binding_log *l = &en->binding_log;
	const struct bnd_log_segment *due;

	if (l->in_flight || cds_list_empty(&l->log.segments) ||
	    (double)now < l->next_ms)
		return;
	if (l->lease && now >= l->renew_ms) {
		call_lease(en, STO_LEASE_RENEW, on_renewed);
		return;
	}
	due = bnd_log_due(&l->log, now);
	if (!due)
		return;
	if (!l->lease) {
		call_lease(en, STO_LEASE_GRANT, on_granted);
		return;
	}
	charge_write(en, now);
	write_segment(en, due);
}
