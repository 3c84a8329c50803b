/*
 * Reads from the store what proves the version of a stream that no entry knows: the
 * record of versions (vrs.h) and, if it has several of the stream's service, the
 * bindings that entries keep there (bnd_log.h). Requests that wait at the same time
 * share a read; it must begin after they arrived.
 */
#include <stdio.h>
#include <string.h>

#include "edge/edge_internal.h"

/* Interval at which reads begin, if the store's limit allows it, ms. */
#define READ_INTERVAL_MS 100

/* Share of the store's reads per second that all senders together may use. */
#define READ_SHARE 0.1

/* Pages of bindings that are read at most. */
#define MAX_PAGES 32

/* ---- Waiting requests ---- */

static bool waits_for(const struct edge_req *r, uint64_t read)
{
	return r->query.active && !r->query.store_over && r->query.read == read;
}

static struct edge_req *find_waiting(struct edge *en, uint64_t read)
{
	struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (waits_for(r, read))
			return r;
	}
	return NULL;
}

static void end_read(struct edge *en)
{
	const uint64_t read = en->recall.read;
	struct edge_req *r;

	en->recall.in_flight = false;
	while ((r = find_waiting(en, read))) {
		r->query.store_over = true;
		edge_bind_recalled(r);
	}
	edge_recall_tick(en, edge_now(en));
}

/* The requests wait for another read, until their time is over. */
static void try_again(struct edge *en)
{
	struct edge_req *r;

	if (!sto_reachable(en->store)) {
		end_read(en);
		return;
	}
	cds_list_for_each_entry(r, &en->requests, node) {
		if (waits_for(r, en->recall.read)) {
			r->query.read++;
			en->recall.wanted = true;
		}
	}
	en->recall.in_flight = false;
}

/* ---- Bindings ---- */

static void read_page(struct edge *en);

static bool is_asked_for(const struct edge *en, struct hsh128 stream)
{
	const struct edge_req *r;

	cds_list_for_each_entry(r, &en->requests, node) {
		if (waits_for(r, en->recall.read) &&
		    hsh128_equal(r->stream, stream))
			return true;
	}
	return false;
}

/* Takes only what is asked for: all of it could push out other bindings. */
static void take_segment(struct edge *en, const struct sto_item *it,
			 int64_t now)
{
	struct bnd_log_row row;
	unsigned i;

	for (i = 0; bnd_log_decode(it->value, it->len, i, &row); i++) {
		if (!is_asked_for(en, row.stream))
			continue;
		bnd_put(&en->bindings, row.stream, row.origin, false, now)
			->recalled = true;
		met_inc(en->m.bindings_recalled);
	}
}

static void on_page(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	size_t i;

	for (i = 0; a->outcome == STO_OK && i < a->nr_items; i++) {
		if (a->items[i].value)
			take_segment(en, &a->items[i], now);
	}
	if (a->outcome != STO_OK) {
		try_again(en);
		return;
	}
	if (!a->more || !a->nr_items || ++en->recall.pages == MAX_PAGES) {
		end_read(en);
		return;
	}
	str_copy(en->recall.after, a->items[a->nr_items - 1].key,
		 sizeof(en->recall.after));
	read_page(en);
}

static void read_page(struct edge *en)
{
	const struct sto_call c = { .kind = STO_LIST,
				    .key = EDGE_BINDING_PREFIX,
				    .after = en->recall.after };

	sto_call(en->store, &c, on_page, en);
}

/* ---- Versions ---- */

static void prove_versions(struct edge_req *r, const struct vrs *read)
{
	const struct vrs_row *row;
	const unsigned n = vrs_count(read, hsh_str(r->service->name, 0), &row);

	r->query.mixed |= n > 1;
	if (n != 1)
		return;
	r->query.proved = true;
	r->query.only_version = row->origin.version;
}

/* Returns false if the answer proves nothing. */
static bool read_record(const struct edge *en, const struct sto_answer *a,
			struct vrs *out)
{
	/* After a restore the record may be an older one. */
	return a->outcome == STO_OK && a->nr_items && a->items[0].value &&
	       a->era == sto_era(en->store) &&
	       edge_era_settled(en, edge_now(en)) &&
	       vrs_decode(a->items[0].value, a->items[0].len, out);
}

static void on_record(void *arg, struct sto_answer *a)
{
	struct edge *en = arg;
	const int64_t now = edge_now(en);
	bool mixed = false;
	struct vrs read;
	struct edge_req *r;
	unsigned i;

	if (!read_record(en, a, &read)) {
		try_again(en);
		return;
	}
	for (i = 0; i < read.nr_rows; i++)
		bnd_listed(&en->bindings, read.rows[i].origin, now);
	cds_list_for_each_entry(r, &en->requests, node) {
		if (!waits_for(r, en->recall.read))
			continue;
		prove_versions(r, &read);
		mixed |= edge_bind_is_mixed(r);
	}
	if (!mixed) {
		end_read(en);
		return;
	}
	en->recall.pages = 0;
	en->recall.after[0] = '\0';
	read_page(en);
}

/* ---- Begin of a read ---- */

static void begin_read(struct edge *en, int64_t now)
{
	const struct sto_call c = { .kind = STO_GET, .key = EDGE_VERSIONS_KEY };

	en->recall.in_flight = true;
	en->recall.wanted = false;
	en->recall.read++;
	en->recall.began_ms = now;
	met_inc(en->m.versions_read);
	sto_call(en->store, &c, on_record, en);
}

void edge_recall_request(struct edge_req *r)
{
	struct edge *en = r->en;

	r->query.read = en->recall.read + 1;
	en->recall.wanted = true;
	edge_recall_tick(en, edge_now(en));
}

static int64_t read_interval_ms(const struct edge *en)
{
	const double ms = edge_store_interval_ms(
		en, en->conf->store.reads_per_s, READ_SHARE);

	return ms > READ_INTERVAL_MS ? (int64_t)ms : READ_INTERVAL_MS;
}

void edge_recall_tick(struct edge *en, int64_t now)
{
	if (en->recall.wanted && !en->recall.in_flight &&
	    now - en->recall.began_ms >= read_interval_ms(en))
		begin_read(en, now);
}
