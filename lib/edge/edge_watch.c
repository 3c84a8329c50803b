/*
 * Watches of the store's keys. They are sent to the store or, by a follower, to
 * another entry (its leader, which need not be the duty holder) that passes on
 * the answers of its own watch.
 */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "base/zip.h"
#include "edge/edge_internal.h"

/*
 * How long the store holds a watch without changes, ms. A stalled watch, or a
 * silent connection, is noticed only after that time.
 *
 * For endpoints it is a third of bounds.drain_ms, the time after which a
 * draining endpoint must get no new requests. The list of endpoints is then at
 * most 1.6 s old if drain_ms is 2 s, and 2 s if it is 3 s; this includes the
 * pause between two watches, MAX_DIRECT_AGE_MS, and the call that a follower
 * then sends to the store itself.
 *
 * The watch of the system keys has the maximum, MAX_WAIT_MS. These keys are
 * less urgent, since gossip also shows which entries are alive.
 */
#define ENDPOINTS_WAIT_DIVISOR 3
#define MIN_ENDPOINTS_WAIT_MS 300
#define MAX_WAIT_MS 2000

/*
 * In a large fleet, something changes at any time, and each watcher's watch
 * returns for it: a watcher collects changes for this part of bounds.drain_ms, at least for
 * MIR_PACE_MS.
 */
#define PACE_DIVISOR 5

/* Not longer than the endpoints of an ordered version take to start. */
#define ROLLOUTS_WAIT_MS 2000

/*
 * A leader answers a follower after this wait at the latest. It counts as lost
 * if its answer takes longer than that by the margin.
 */
#define FOLLOW_WAIT_MS 900
#define FOLLOW_MARGIN_MS 400

/*
 * In a large fleet, a leader may be sending listings: the margin is this part of
 * bounds.drain_ms, between the one above and the maximum.
 */
#define FOLLOW_MARGIN_DIVISOR 6
#define FOLLOW_MARGIN_MAX_MS 800

/*
 * A peer sends a listing after this wait at the latest, to entries that have
 * none: so that it can send it to thirty that start together, one after the
 * other.
 */
#define LIST_WAIT_MS 4000

/* At the first start of the system, calls to the store are spread over this. */
#define FIRST_JITTER_MS 300

/* A hub that starts waits this long for datagrams of the core, ms. */
#define HEAR_CORE_MS 1000

/* After a failure, no listing is requested from a peer for this time. */
#define LIST_RETRY_MS 300

/*
 * How long a follower watches the store directly: after it lost its leader, or
 * after its leader did not have the changes that it needs. The latter takes a
 * single watch.
 */
#define LEADER_LOST_BACKOFF_MS 2000
#define LEADER_BEHIND_BACKOFF_MS 200

/*
 * Followers are served only if the last successful direct call to the store is
 * not older. Else a leader that is cut off from the store would keep its
 * followers without changes, although they can reach the store.
 */
#define MAX_DIRECT_AGE_MS 1300

/*
 * Answers are compressed for followers from this size on; smaller ones fit into
 * a packet anyway. When fifty endpoints start or leave together, the
 * uncompressed changes exceed the feed's bound, and 280 followers would each read
 * them from the store.
 */
#define MIN_PACK_BYTES 1024

/* ---- Watches at the store ---- */

static void watch_failed(struct edge_watch *w, int64_t now)
{
	met_inc(w->en->m.store_failures);
	mir_failed(&w->mirror, now);
}

/*
 * True if the mirror is of an earlier era than the store: starts to read all
 * keys again, during which followers are not served.
 */
static bool check_era(struct edge_watch *w, int64_t now)
{
	const int64_t era = sto_era(w->en->store);

	if (w->era == era)
		return false;
	w->era = era;
	w->resyncing = w->mirror.complete;
	feed_clear(&w->feed);
	snap_drop(&w->snap);
	mir_history_lost(&w->mirror, now);
	return true;
}

static void log_listed(const struct edge_watch *w, int64_t now)
{
	struct edge *en = w->en;

	jlog_begin(en->log, JLOG_INFO, "listed");
	jlog_str(en->log, "keys", w->prefix);
	jlog_str(en->log, "from", w->from_store ? "store" : "peer");
	jlog_int(en->log, "endpoints", (int64_t)en->fleet.count);
	jlog_int(en->log, "entries", (int64_t)en->prs.count);
	jlog_int(en->log, "took_ms", now - w->list_wanted_ms);
	jlog_int(en->log, "since_start_ms", now - en->start_ms);
	jlog_end(en->log);
}

/* The mirror has all keys as of the answer that was just read. */
static void set_complete(struct edge_watch *w, const struct sto_answer *a,
			 int64_t now)
{
	const struct whole_reading t = {
		.asked_ms = a->asked_ms,
		.read_ms = now,
		.stall_began_ms = w->en->stall_began_ms,
		.stall_ended_ms = w->en->stalled_ms,
	};

	w->complete_ms = whole_as_of(&t);
}

/* Applies a page of a listing; the last one completes the mirror. */
static void apply_page(struct edge_watch *w, const struct sto_answer *a,
		       int64_t now)
{
	size_t i;

	for (i = 0; i < a->nr_items; i++) {
		if (a->items[i].value)
			mir_item(&w->mirror, a->items[i].key, a->items[i].value,
				 a->items[i].len, a->items[i].revision);
	}
	mir_page_end(&w->mirror,
		     a->nr_items ? a->items[a->nr_items - 1].key : NULL,
		     a->more, a->revision, now);
	if (a->more)
		return;
	set_complete(w, a, now);
	w->resyncing = false;
	log_listed(w, now);
	w->list_wanted_ms = 0;
	/* The other listing depends on this entry's role. */
	if (w == &w->en->watches[EDGE_WATCH_SYSTEM])
		edge_peer_update_overlay(w->en, now);
	if (w->en->ovl.mesh)
		snap_free(&w->snap);
}

/*
 * Registrations are listed from the store until there are too many for a small
 * fleet. Then only the seeds go on, and the others ask one of these.
 */
static void choose_seeds(struct edge_watch *w, int64_t now)
{
	struct edge *en = w->en;
	char key[CONF_NAME_SIZE + sizeof(EDGE_ENTRY_PREFIX)];

	if (w->mirror.complete || w->seeds_chosen ||
	    en->prs.count < (size_t)en->conf->policy.max_mesh)
		return;
	w->seeds_chosen = true;
	/* Entries that are not listed yet do not count themselves. */
	snprintf(key, sizeof(key), "%s%s", EDGE_ENTRY_PREFIX, en->conf->name);
	w->is_seed = strcmp(key, w->mirror.after) <= 0 &&
		     ovl_is_seed(&en->ovl, &en->prs, FEED_NR_SEEDS);
	edge_peer_update_overlay(en, now);
}

static void on_listed(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;
	const int64_t now = edge_now(w->en);

	if (a->outcome != STO_OK) {
		watch_failed(w, now);
		return;
	}
	/* The first page ever read sets the era. */
	if (!w->mirror.complete && !w->mirror.first_page_rev)
		w->era = a->era;
	if (check_era(w, now))
		return;
	if (!w->mirror.first_page_rev &&
	    w != &w->en->watches[EDGE_WATCH_ROLLOUTS])
		snap_begin(&w->snap);
	edge_snapshot_page(w, a);
	if (!a->more)
		w->from_store = true;
	apply_page(w, a, now);
	if (w == &w->en->watches[EDGE_WATCH_SYSTEM])
		choose_seeds(w, now);
	if (a->more)
		return;
	/* Followers may continue from this listing at once. */
	feed_add(&w->feed, w->mirror.revision, w->mirror.revision, false, "",
		 0);
	edge_serve_followers(w->en, now);
}

static void apply_changes(struct edge_watch *w, const struct sto_answer *a)
{
	size_t i;

	for (i = 0; i < a->nr_items; i++)
		mir_event(&w->mirror, a->items[i].key, a->items[i].value,
			  a->items[i].len, a->items[i].revision);
}

/* Keeps the answer for followers, compressed if that is worth it. */
static void add_to_feed(struct edge_watch *w, const struct sto_answer *a)
{
	BUF_AUTO packed = BUF_INIT;
	const bool any = a->nr_items > 0;

	if (any && a->raw_len >= MIN_PACK_BYTES &&
	    zip_pack(a->raw, a->raw_len, &packed))
		feed_add(&w->feed, w->mirror.revision, a->revision, any,
			 packed.data, packed.len);
	else
		feed_add(&w->feed, w->mirror.revision, a->revision, any, a->raw,
			 a->raw_len);
}

static void on_watched(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;
	struct edge *en = w->en;
	const int64_t now = edge_now(en);

	if (check_era(w, now))
		return;
	if (a->outcome == STO_HISTORY_LOST) {
		jlog_begin(en->log, JLOG_WARN, "store_history_lost");
		jlog_str(en->log, "keys", w->prefix);
		jlog_int(en->log, "revision", w->mirror.revision);
		jlog_end(en->log);
		feed_clear(&w->feed);
		snap_drop(&w->snap);
		mir_history_lost(&w->mirror, now);
		return;
	}
	if (a->outcome != STO_OK) {
		watch_failed(w, now);
		return;
	}
	add_to_feed(w, a);
	w->from_store = true;
	apply_changes(w, a);
	mir_watch_end(&w->mirror, a->nr_items, a->revision, now);
	set_complete(w, a, now);
	edge_serve_followers(en, now);
}

/* ---- Watches at another entry ---- */

static void watch_tick(struct edge_watch *w, int64_t now);

static void on_followed(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;
	const int64_t now = edge_now(w->en);

	if (check_era(w, now))
		return;
	if (a->outcome != STO_OK) {
		/*
		 * Watches the store itself, at once: for a single watch if the
		 * leader lacks the changes, else for a while.
		 */
		const bool behind = a->outcome == STO_ABSENT ||
				    a->outcome == STO_HISTORY_LOST;

		w->follow_after_ms = now + (behind ? LEADER_BEHIND_BACKOFF_MS
						   : LEADER_LOST_BACKOFF_MS);
		mir_failed(&w->mirror, now);
		w->mirror.due_ms = now;
		return;
	}
	/* Kept for the case that this entry becomes a leader. */
	feed_add(&w->feed, w->mirror.revision, a->revision, a->nr_items > 0,
		 a->raw, a->raw_len);
	w->from_store = false;
	apply_changes(w, a);
	mir_watch_end(&w->mirror, 0, a->revision, now);
	set_complete(w, a, now);
	/* The next batch may be there: many follow on an old listing. */
	if (a->nr_items)
		watch_tick(w, now);
}

/*
 * A seed's listing tells which entries there are. It may be old, so that all
 * keys are then listed from a watcher.
 */
static void apply_registrations(struct edge_watch *w,
				const struct sto_answer *a, int64_t now)
{
	const size_t len = strlen(EDGE_ENTRY_PREFIX);
	size_t i;

	for (i = 0; i < a->nr_items; i++) {
		if (a->items[i].value &&
		    !strncmp(a->items[i].key, EDGE_ENTRY_PREFIX, len))
			mir_item(&w->mirror, a->items[i].key, a->items[i].value,
				 a->items[i].len, a->items[i].revision);
	}
	w->entries_known = true;
	mir_cancel(&w->mirror, now);
	edge_peer_update_overlay(w->en, now);
}

static bool needs_registrations(const struct edge_watch *w)
{
	return w == &w->en->watches[EDGE_WATCH_SYSTEM] && !w->mirror.complete &&
	       !w->entries_known;
}

static void on_listed_by_peer(void *arg, struct sto_answer *a)
{
	struct edge_watch *w = arg;
	const int64_t now = edge_now(w->en);

	if (a->outcome != STO_OK) {
		w->list_failed_ms = now;
		w->list_attempts++;
		mir_cancel(&w->mirror, now);
		return;
	}
	if (!w->mirror.complete)
		w->era = a->era;
	if (check_era(w, now))
		return;
	snap_adopt(&w->snap, a->raw, a->raw_len, a->revision);
	if (needs_registrations(w)) {
		apply_registrations(w, a, now);
		return;
	}
	w->from_store = false;
	/* Replaces the pages that were listed so far. */
	mir_history_lost(&w->mirror, now);
	apply_page(w, a, now);
	feed_add(&w->feed, w->mirror.revision, w->mirror.revision, false, "",
		 0);
	watch_tick(w, now);
}

static int follow_margin(const struct edge *en)
{
	const int ms = (int)en->conf->bounds.drain_ms / FOLLOW_MARGIN_DIVISOR;

	if (en->ovl.mesh || ms < FOLLOW_MARGIN_MS)
		return FOLLOW_MARGIN_MS;
	return ms < FOLLOW_MARGIN_MAX_MS ? ms : FOLLOW_MARGIN_MAX_MS;
}

/* Requests all keys from another entry. */
static void list_from_peer(struct edge_watch *w, const struct prs_peer *p)
{
	struct edge *en = w->en;
	const int wait_ms = w->mirror.complete ? FOLLOW_WAIT_MS : LIST_WAIT_MS;

	sto_follow(en->store, (unsigned)(w - en->watches), &p->addr,
		   needs_registrations(w) ? STO_ANY_LISTING : STO_ALL_KEYS,
		   wait_ms, follow_margin(en), on_listed_by_peer, w);
}

/* Sends the next watch to the leader; false: to be sent to the store. */
static bool follow(struct edge_watch *w, int64_t now)
{
	struct edge *en = w->en;
	const struct prs_peer *p;

	if (w == &en->watches[EDGE_WATCH_ROLLOUTS] ||
	    now < w->follow_after_ms || en->stopping)
		return false;
	p = ovl_leader(&en->ovl, &en->prs, now);
	if (!p)
		return false;
	w->following = true;
	sto_follow(en->store, (unsigned)(w - en->watches), &p->addr,
		   w->mirror.revision, FOLLOW_WAIT_MS, follow_margin(en),
		   on_followed, w);
	return true;
}

bool edge_watch_is_current(const struct edge_watch *w, int64_t now)
{
	const struct edge *en = w->en;

	return !en->stopping && w->mirror.complete && !w->resyncing &&
	       now - sto_direct_success_ms(en->store) <= MAX_DIRECT_AGE_MS &&
	       feed_is_current(w->complete_ms, w->wait_ms,
			       w->mirror.pace_ms - MIR_PACE_MS, now);
}

/* ---- Start and periodic work ---- */

static void open_watch(struct edge *en, enum edge_watch_id id,
		       const char *prefix, int wait_ms)
{
	struct edge_watch *w = &en->watches[id];

	w->en = en;
	w->prefix = prefix;
	w->wait_ms = wait_ms;
	feed_init(&w->feed, edge_max_body(en));
	mir_init(&w->mirror, &edge_mirror_vtable, en);
}

size_t edge_max_body(const struct edge *en)
{
	const double drain_ms = en->conf->bounds.drain_ms;
	const double apply_ms = en->conf->bounds.apply_ms;

	return feed_max_bytes(en->conf->limits.link_mbps,
			      drain_ms < apply_ms ? drain_ms : apply_ms,
			      OVL_ENTRIES_PER_WATCHER);
}

static int endpoints_wait(const struct edge *en)
{
	const int ms = (int)en->conf->bounds.drain_ms / ENDPOINTS_WAIT_DIVISOR;

	if (ms < MIN_ENDPOINTS_WAIT_MS)
		return MIN_ENDPOINTS_WAIT_MS;
	return ms > MAX_WAIT_MS ? MAX_WAIT_MS : ms;
}

void edge_watch_open(struct edge *en)
{
	static_assert(EDGE_CONFIG_LANE < STO_LANES,
		      "each followed watch and the configuration have a lane");

	open_watch(en, EDGE_WATCH_ENDPOINTS, en->wire->endpoint_prefix,
		   endpoints_wait(en));
	open_watch(en, EDGE_WATCH_SYSTEM, EDGE_SYSTEM_PREFIX, MAX_WAIT_MS);
	open_watch(en, EDGE_WATCH_ROLLOUTS, en->wire->rollout_prefix,
		   ROLLOUTS_WAIT_MS);
}

static struct feed_startup startup_of(const struct edge_watch *w, int64_t now)
{
	const struct edge *en = w->en;
	const struct edge_watch *system = &en->watches[EDGE_WATCH_SYSTEM];
	const int64_t jitter = en->conf->first_start
				       ? (int64_t)(en->source % FIRST_JITTER_MS)
				       : 0;

	return (struct feed_startup){
		.since_ms = now - en->start_ms - jitter,
		.first_start = en->conf->first_start,
		.known_entries = en->prs.count,
		.entry_keys = w == system,
		.has_watched = w->watched_store,
		.mesh = en->ovl.mesh,
		.complete = w->mirror.complete,
		.entries_known = system->mirror.complete ||
				 system->entries_known,
		.provider_failed = w->list_failed_ms &&
				   now - w->list_failed_ms < LIST_RETRY_MS,
		.waiting_ms = now - w->list_wanted_ms,
	};
}

/* The entry that passes the listing on; NULL: none, or this one lists itself. */
static const struct prs_peer *provider_of(struct edge_watch *w, bool *self,
					  int64_t now)
{
	struct edge *en = w->en;
	int rank;

	*self = false;
	if (needs_registrations(w)) {
		*self = !w->seeds_chosen || w->is_seed;
		return *self ? NULL
			     : ovl_seed(&en->ovl, &en->prs, FEED_NR_SEEDS,
					w->list_attempts);
	}
	rank = ovl_watch_rank(&en->ovl, &en->prs, now);
	if (rank < 0)
		return ovl_leader(&en->ovl, &en->prs, now);
	if (!en->ovl.hub)
		return NULL;
	if (!ovl_hears_core(&en->prs, now) &&
	    now - w->list_wanted_ms < HEAR_CORE_MS)
		return NULL;
	*self = rank < OVL_NR_PROVIDERS;
	return ovl_provider(&en->ovl, &en->prs, now);
}

/* Where the listing that is due comes from; sets *peer if from there. */
static enum feed_source list_source(struct edge_watch *w,
				    const struct prs_peer **peer, int64_t now)
{
	struct edge *en = w->en;
	struct feed_startup s;

	if (w == &en->watches[EDGE_WATCH_ROLLOUTS])
		return FEED_FROM_STORE;
	if (!w->list_wanted_ms)
		w->list_wanted_ms = now;
	s = startup_of(w, now);
	*peer = provider_of(w, &s.provider, now);
	s.has_provider = *peer != NULL;
	return feed_list_source(&s);
}

static int pace(const struct edge *en)
{
	const int ms = (int)en->conf->bounds.drain_ms / PACE_DIVISOR;

	return en->ovl.mesh || ms < MIR_PACE_MS ? MIR_PACE_MS : ms;
}

static void watch_tick(struct edge_watch *w, int64_t now)
{
	struct sto_call c = { .key = w->prefix };
	enum feed_source source = FEED_FROM_STORE;
	const struct prs_peer *peer = NULL;
	struct feed_startup s;

	/*
	 * An answer to another call may have shown a new era. If a call of this
	 * watch is in flight, its callback checks that.
	 */
	if (!w->mirror.call_pending && w->mirror.complete && !w->resyncing)
		check_era(w, now);
	w->mirror.pace_ms = pace(w->en);
	s = startup_of(w, now);
	if (w->mirror.state == MIR_WATCH && !feed_may_watch(&s))
		return;
	if (w->mirror.state == MIR_LIST && !w->mirror.call_pending)
		source = list_source(w, &peer, now);
	if (source == FEED_WAIT)
		return;

	switch (mir_next(&w->mirror, now)) {
	case MIR_NONE:
		return;
	case MIR_LIST:
		if (source == FEED_FROM_PEER) {
			list_from_peer(w, peer);
			return;
		}
		c.kind = STO_LIST;
		c.after = w->mirror.after;
		break;
	case MIR_WATCH:
		if (follow(w, now))
			return;
		c.kind = STO_WATCH;
		w->watched_store = true;
		w->following = false;
		c.revision = w->mirror.revision;
		/* A peer's listing does not prove that nothing has changed. */
		c.wait_ms = !w->from_store && w->en->watch_rank >= 0
				    ? 0
				    : w->wait_ms;
		break;
	}
	sto_call(w->en->store, &c, c.kind == STO_LIST ? on_listed : on_watched,
		 w);
}

void edge_watch_tick(struct edge *en, int64_t now)
{
	unsigned i;

	for (i = 0; i < EDGE_NR_SHARED_WATCHES; i++)
		watch_tick(&en->watches[i], now);
	if (en->lead.is_holder && en->conf->bounds.exposure_share > 0)
		watch_tick(&en->watches[EDGE_WATCH_ROLLOUTS], now);
}
