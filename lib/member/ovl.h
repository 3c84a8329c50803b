/*
 * ovl (overlay): which entries exchange gossip with each other, so that the
 * datagrams of an entry do not grow with the number of entries.
 *
 * Up to max_mesh entries all exchange datagrams pairwise. Beyond that, a
 * core does: the hubs (the entries that may have to watch the store), the
 * entries that clients are directed to, those that collect usage counts, the
 * duty holder, and any other entry that had requests of clients a while ago.
 * All other entries are leaves: a leaf exchanges datagrams with NR_HUBS hubs,
 * and these report to it which entries of the core are alive.
 *
 * The core is selected by hash from the entries known (rank.h), dead or not, so
 * that entries with the same list select the same core; spare entries make up
 * for dead ones. Entries whose lists differ for a moment still meet: a datagram
 * declares the role of its sender, which is treated accordingly. Senders of
 * releases that declare no role are treated as part of the core.
 *
 * Functions perform no I/O. Times are milliseconds of the caller's monotonic
 * clock.
 */
#ifndef OVL_H
#define OVL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rnd.h"
#include "member/prs.h"
#include "member/rank.h"

/*
 * Default of ovl_self.max_mesh: at this size, datagrams of each entry to each
 * other one cost a small instance a hundredth of a CPU.
 */
#define OVL_MAX_MESH 128

/*
 * Hubs that a leaf exchanges datagrams with: the loss of one, or of a datagram,
 * leaves it connected.
 */
#define OVL_NR_HUBS 2

/* Interval of the datagrams to a peer, if there are many, ms. */
#define OVL_SEND_INTERVAL_MS 600
/* Interval between rounds of gossip, ms. */
#define OVL_ROUND_MS 200

/*
 * Beyond max_mesh entries: time without a datagram after which an entry
 * counts as dead, ms. One in a row may be lost.
 */
#define OVL_ALIVE_MS (PRS_ALIVE_MS + OVL_SEND_INTERVAL_MS)

/*
 * A leaf exchanges datagrams with another hub if one that it sent datagrams to
 * has not sent any for OVL_UNANSWERED_MS, and tries it again after
 * PRS_ASK_AGAIN_MS. One datagram in a row may be lost.
 */
#define OVL_UNANSWERED_MS (2 * OVL_SEND_INTERVAL_MS + OVL_ROUND_MS)

/* This entry. The strings must outlive the overlay. */
struct ovl_self {
	const char *name, *zone;
	uint64_t key;	 /* differs between entries; selects a leaf's hubs */
	size_t max_mesh; /* OVL_MAX_MESH unless set otherwise; the same in all */
};

/* What the selection depends on beside the list of peers. */
struct ovl_input {
	const char *duty_holder; /* name of an entry; "": none */
	double requests_per_s;	 /* of clients, at all entries */
	bool active;		 /* serves clients, by rank or not */
};

struct ovl {
	struct ovl_self self;
	struct rank ranking;		 /* scratch space */
	char duty_holder[GSP_NAME_SIZE]; /* at the last selection */
	size_t nr_serving;		 /* at the last selection */
	bool mesh;			 /* no selection: all are the core */
	bool hub;			 /* this entry may be a hub */
	bool selected;			 /* this entry is in the core by rank */
	bool core;			 /* selected or active */
	int64_t core_since_ms;		 /* valid if `core` */
	int64_t leaf_sent_ms;		 /* last round of a leaf; 0: none */
	unsigned next_core, next_leaf;	 /* first ones of the next round */
};

/* Initializes `o`; ovl_free() frees what it holds, but not `o` itself. */
void ovl_init(struct ovl *o, const struct ovl_self *self);
void ovl_free(struct ovl *o);

/*
 * Selects the core again if peers came or went or `in` changed, and sorts the
 * peers into prs.core and prs.leaves. To be called in each round of gossip.
 * Walks the whole list of peers only for a selection.
 */
void ovl_update(struct ovl *o, struct prs *p, const struct ovl_input *in,
		int64_t now_ms);

/*
 * Sorts in a peer that was just registered, or whose datagram was just
 * received. True if it is a new leaf of this entry, which is to be sent the
 * members at once.
 */
bool ovl_sort_in(const struct ovl *o, struct prs *p, struct prs_peer *peer,
		 int64_t now_ms);

/* ---- Watching the store ---- */

/* One watcher for this many entries. */
#define OVL_ENTRIES_PER_WATCHER 32

/*
 * Returns how many of `n` entries watch the store: at least two, so that the
 * followers of one that is lost can follow another one at once.
 */
size_t ovl_watcher_count(size_t n);

/*
 * This entry's rank, from 0, among the entries that watch the store; -1: it
 * does not watch the store.
 */
int ovl_watch_rank(struct ovl *o, const struct prs *p, int64_t now_ms);

/*
 * The peer whose watches this entry follows; NULL: it watches the store itself.
 */
struct prs_peer *ovl_leader(struct ovl *o, const struct prs *p, int64_t now_ms);

/* The first watchers list keys from the store for the other watchers. */
#define OVL_NR_PROVIDERS 6

/*
 * One of the first OVL_NR_PROVIDERS watchers; NULL: this entry is one of them,
 * or none is known.
 */
struct prs_peer *ovl_provider(struct ovl *o, const struct prs *p,
			      int64_t now_ms);

/* True if datagrams of half of the core arrive, so that ranks are reliable. */
bool ovl_hears_core(const struct prs *p, int64_t now_ms);

/*
 * True if this entry is one of `n` selected among the peers that are known so
 * far and itself.
 */
bool ovl_is_seed(struct ovl *o, const struct prs *p, size_t n);

/* One of `n` peers selected likewise, chosen by `attempt`; NULL: none. */
struct prs_peer *ovl_seed(struct ovl *o, const struct prs *p, size_t n,
			  uint64_t attempt);

/* ---- Rounds of gossip ---- */

/* Time until each of a list of `n` peers was sent a datagram, ms. */
int ovl_send_interval_ms(size_t n);

/*
 * The part of a list of `n` peers that is sent datagrams in this round. `*next`
 * is the index of the first one, and is moved on to that of the next round.
 */
struct ovl_turn {
	size_t n, want, first, i;
};
struct ovl_turn ovl_begin_turn(size_t n, unsigned *next);

/* To be called for each peer of the list in order; true: it is its turn. */
bool ovl_is_turn(struct ovl_turn *t);

/*
 * Selects the hubs that this entry, a leaf, sends datagrams to in this round;
 * the first one is ovl_leader(). While it knows of none that is alive, it tries
 * one at random. Returns their number; 0 also in rounds that are not due.
 */
size_t ovl_leaf_round(struct ovl *o, const struct prs *p, struct rnd *rnd,
		      struct prs_peer *out[OVL_NR_HUBS], int64_t now_ms);

/*
 * Fills in the members that a hub reports to its leaves: the peers of the core
 * from which a datagram arrived in the last PRS_ALIVE_MS, hubs first. Returns
 * how many did not fit.
 */
size_t ovl_fill_members(const struct prs *p, struct gsp_record *r,
			int64_t now_ms);

#endif
