/*
 * Listings of the store's keys that this entry passes on to entries that start.
 * A watcher uses the listing of its own start as long as its feed has all
 * changes since; then the keys are listed again when an entry wants them: by
 * the first watchers from the store, by the others from these.
 */
#include "edge/edge_internal.h"

/* Delay after a listing that failed, ms. */
#define RETRY_MS 300

/* The first watchers answer within this time, and a margin, ms. */
#define PASS_ON_WAIT_MS 1500
#define PASS_ON_MARGIN_MS 400

/* Listings are sent ahead of the link by no more than this, ms. */
#define MAX_AHEAD_MS 100

void edge_snapshot_page(struct edge_watch *w, const struct sto_answer *a)
{
	snap_add_page(&w->snap, a->raw, a->raw_len,
		      a->nr_items ? a->items[a->nr_items - 1].key : NULL,
		      a->more, a->revision);
}

static bool is_usable(const struct edge_watch *w)
{
	const struct feed_batch *unused;

	return snap_body(&w->snap)->len &&
	       ver_era(w->snap.revision) == w->era &&
	       feed_after(&w->feed, w->snap.revision, &unused) != FEED_GAP;
}

static void request_page(struct edge_watch *w);

static void on_page(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;

	w->snap_pending = false;
	if (a->outcome != STO_OK || ver_era(a->revision) != w->era) {
		snap_abort(&w->snap);
		w->snap_retry_ms = edge_now(w->en) + RETRY_MS;
		return;
	}
	edge_snapshot_page(w, a);
	if (w->snap.listing)
		request_page(w);
	else
		edge_serve_followers(w->en, edge_now(w->en));
}

static void request_page(struct edge_watch *w)
{
	const struct sto_call c = { .kind = STO_LIST,
				    .key = w->prefix,
				    .after = w->snap.after };

	w->snap_pending = true;
	sto_call(w->en->store, &c, on_page, w);
}

static void on_passed_on(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;
	const int64_t now = edge_now(w->en);

	w->snap_pending = false;
	if (a->outcome != STO_OK || ver_era(a->revision) != w->era) {
		w->snap_retry_ms = now + RETRY_MS;
		return;
	}
	snap_adopt(&w->snap, a->raw, a->raw_len, a->revision);
	edge_serve_followers(w->en, now);
}

static void list_again(struct edge_watch *w, int64_t now)
{
	struct edge *en = w->en;
	const struct prs_peer *p;

	if (w->snap_pending || w->mirror.state == MIR_LIST ||
	    now < w->snap_retry_ms)
		return;
	p = ovl_provider(&en->ovl, &en->prs, now);
	if (!p) {
		snap_begin(&w->snap);
		request_page(w);
		return;
	}
	w->snap_pending = true;
	sto_follow(en->store, (unsigned)(w - en->watches), &p->addr,
		   STO_ALL_KEYS, PASS_ON_WAIT_MS, PASS_ON_MARGIN_MS,
		   on_passed_on, w);
}

const struct buf *edge_snapshot_take(struct edge_watch *w, bool any,
				     int64_t now)
{
	struct edge *en = w->en;
	const struct buf *body = snap_body(&w->snap);

	if (any ? !body->len : !is_usable(w)) {
		if (!any)
			list_again(w, now);
		return NULL;
	}
	if (en->listings_sent_ms > now + MAX_AHEAD_MS)
		return NULL;
	if (en->listings_sent_ms < now)
		en->listings_sent_ms = now;
	en->listings_sent_ms +=
		(int64_t)((double)body->len / (en->conf->limits.link_mbps *
					       FEED_BYTES_PER_MS_PER_MBPS));
	return body;
}
