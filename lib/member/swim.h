/*
 * swim: failure detection and membership gossip after SWIM, with the local
 * health factor of Lifeguard. Pure state machine: (state, event, now) ->
 * actions; the caller sends the messages.
 *
 * Each period an entry probes one peer. If no acknowledgement arrives, it asks
 * a few other peers to probe the target for it (an indirect probe); if that
 * fails as well, it spreads a suspicion. A suspected entry that learns of the
 * suspicion refutes it with a higher refutation number. Otherwise it is
 * declared dead after a timeout that grows with the logarithm of the fleet's
 * size. State changes are gossiped as deltas on the probes, each a limited
 * number of times, so the bytes per node do not grow with the fleet.
 *
 * The result is a hint: it decides which entries are listed and probed, and
 * what the next view should contain. No safety property depends on it.
 *
 * Times are milliseconds of the caller's monotonic clock.
 */
#ifndef SWIM_H
#define SWIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member/view.h"

/* Ordered by severity: at the same refutation number the higher state wins. */
enum swim_state {
	SWIM_ALIVE,
	SWIM_LEAVING,
	SWIM_SUSPECT,
	SWIM_DEAD
};

/* What one entry claims about another one or itself; sent in messages. */
struct swim_delta {
	struct view_member member;
	enum swim_state state;
	uint32_t refutations; /* raised only by `member` itself */
};

struct swim_config {
	int64_t period_ms; /* one probe per period */
	int64_t ack_ms;	   /* wait for an ack before indirect probes */
	unsigned helpers;  /* peers asked for an indirect probe; at most 4 */
	unsigned suspect_mult; /* timeout = mult * log2(n + 1) * period_ms */
	unsigned spread_mult;  /* a delta is sent mult * log2(n + 1) times */
	int64_t keep_dead_ms;  /* dead peers are remembered this long */
};

/* Values that suit loopback, one zone and a whole region alike. */
struct swim_config swim_default_config(void);

enum swim_action_kind {
	SWIM_DO_NOTHING,
	SWIM_DO_PROBE,		/* probe `target` */
	SWIM_DO_INDIRECT_PROBE, /* ask `helpers` to probe `target` */
};

struct swim_action {
	enum swim_action_kind kind;
	struct view_member target;
	struct view_member helpers[4];
	size_t nr_helpers;
};

struct swim;

/*
 * Creates the state of the entry `self` (copied, like `cfg`). `seed` is for the
 * random probe order. Free it with swim_free(), which accepts NULL.
 */
struct swim *swim_create(const struct view_member *self,
			 const struct swim_config *cfg, uint64_t seed);
void swim_free(struct swim *s);

/*
 * Adds the address of a peer to probe while no peer is known. Ignored if it is
 * this entry's own or if there are 16 already.
 */
void swim_seed(struct swim *s, const char *peer_address);

/*
 * Returns the next action. To be called a few times per period. At most one
 * action per call: call again until SWIM_DO_NOTHING.
 */
struct swim_action swim_tick(struct swim *s, int64_t now_ms);

/* The incarnation `id` acknowledged a probe, directly or through a helper. */
void swim_ack(struct swim *s, uint64_t id, int64_t now_ms);

/*
 * Applies a received delta. Returns true if it changed the state. A delta that
 * calls this entry suspect or dead is refuted.
 */
bool swim_apply(struct swim *s, const struct swim_delta *d, int64_t now_ms);

/*
 * The same without gossiping the change further: for a snapshot received on
 * first contact, which is no news to the other peers.
 */
bool swim_apply_quietly(struct swim *s, const struct swim_delta *d,
			int64_t now_ms);

/* Marks this entry as leaving, which is gossiped like any change. */
void swim_leave(struct swim *s);

/*
 * Writes up to `max` deltas to send with a message, and counts them as sent.
 * Returns their number.
 */
size_t swim_take_deltas(struct swim *s, struct swim_delta *out, size_t max);

/*
 * Writes up to `max` deltas for a peer that joins: the states of this entry and
 * of all peers that are not dead. Returns their number.
 */
size_t swim_snapshot(const struct swim *s, struct swim_delta *out, size_t max);

/* Returns the state of an incarnation; SWIM_DEAD if it is unknown. */
enum swim_state swim_state_of(const struct swim *s, uint64_t id);

/*
 * Writes the state of a peer's incarnation to `out`. Returns false, with `out`
 * untouched, if it is unknown.
 */
bool swim_lookup(const struct swim *s, uint64_t id, struct swim_delta *out);

/* True if the incarnation is this entry's or that of a known peer. */
bool swim_knows(const struct swim *s, uint64_t id);

/* Returns the number of entries that are not dead, this one included. */
size_t swim_count(const struct swim *s);

/* Writes up to `max` random peers that are alive. Returns their number. */
size_t swim_pick(struct swim *s, struct view_member *out, size_t max);

/* Returns a counter that rises with each change of an entry's state. */
uint64_t swim_epoch(const struct swim *s);

/* Returns the time of the last acknowledgement by any peer; -1: none. */
int64_t swim_last_contact(const struct swim *s);

#endif
