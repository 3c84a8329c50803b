/*
 * swim: who is alive, by probes between peers (SWIM with a local-health
 * factor). Pure: (state, event, now) -> actions.
 *
 * Each period an entry probes one peer; if no acknowledgement comes it asks
 * a few others to probe for it, then spreads a suspicion. A suspected entry
 * that hears of it refutes with a higher number; otherwise it is declared
 * dead after a bound that grows with the logarithm of the fleet. News travel
 * as deltas on the probes, each a bounded number of times, so the bytes per
 * node do not grow with the fleet.
 *
 * The result is a hint: it decides which entries are listed and probed and
 * what the next view should hold. No safety rule rests on it.
 */
#ifndef SWIM_H
#define SWIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "member/view.h"

enum swim_state {
	SWIM_ALIVE,
	SWIM_LEAVING,
	SWIM_SUSPECT,
	SWIM_DEAD
};

/* What one entry says of another; also the form it travels in. */
struct swim_delta {
	struct view_member member;
	enum swim_state state;
	uint32_t refutations; /* raised only by `who` itself */
};

struct swim_config {
	int64_t period_ms;     /* one probe a period */
	int64_t ack_ms;	       /* wait before others are asked */
	unsigned helpers;      /* how many others are asked */
	unsigned suspect_mult; /* bound = mult * log2(n + 1) * period */
	unsigned spread_mult;  /* a delta travels mult * log2(n + 1) times */
	int64_t keep_dead_ms;  /* the dead are kept so long */
};

/* Sizes that suit loopback, a zone and a region alike. */
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

struct swim *swim_create(const struct view_member *self,
			 const struct swim_config *cfg, uint64_t seed);
void swim_free(struct swim *s);

/* Adds an address to contact when nothing is known of it yet. */
void swim_seed(struct swim *s, const char *peer_address);

/*
 * Called often (a few times a period); returns what to do now. At most one
 * action per call; call again until SWIM_DO_NOTHING.
 */
struct swim_action swim_tick(struct swim *s, int64_t now_ms);

/* `id` answered a probe, directly or through a helper. */
void swim_ack(struct swim *s, uint64_t id, int64_t now_ms);

/*
 * Takes in one delta. Returns true if it changed what is known. A delta that
 * calls this entry suspect or dead is refuted.
 */
bool swim_apply(struct swim *s, const struct swim_delta *d, int64_t now_ms);

/* The same for what is old news to others (a first contact's tale): taken in
 * but not passed on. */
bool swim_apply_quietly(struct swim *s, const struct swim_delta *d,
			int64_t now_ms);

/* Marks this entry as leaving, which is spread like any news. */
void swim_leave(struct swim *s);

/* Takes up to `max` deltas to put on a message. Returns how many. */
size_t swim_take_deltas(struct swim *s, struct swim_delta *out, size_t max);

/* All that is known, this entry included; for a peer that joins. */
size_t swim_snapshot(const struct swim *s, struct swim_delta *out, size_t max);

/* The state of an incarnation; SWIM_DEAD if unknown. */
enum swim_state swim_state_of(const struct swim *s, uint64_t id);

/* What is known of an incarnation; false if nothing is. */
bool swim_lookup(const struct swim *s, uint64_t id, struct swim_delta *out);

/* True if this incarnation was seen alive before or is being probed. */
bool swim_knows(const struct swim *s, uint64_t id);

/* Entries alive or suspect, this one included. */
size_t swim_count(const struct swim *s);

/* Up to `max` random peers that are alive. */
size_t swim_pick(struct swim *s, struct view_member *out, size_t max);

/* Changes whenever the set of alive, leaving or dead entries changes. */
uint64_t swim_epoch(const struct swim *s);

/* When a peer last answered (monotonic ms); -1 if never. */
int64_t swim_last_contact(const struct swim *s);

#endif
