/*
 * reach: whether this entry reaches endpoints by connections of its own, or is
 * cut off from all of them and has to relay its requests through another entry.
 *
 * A failed connection alone does not tell a lost link from an endpoint that has
 * exited. So a suspicion starts a check: connections to several endpoints at
 * once. If none is established, the entry is cut off. While it is, it checks
 * at a fixed rate, and is back after a few checks in a row that succeeded; after
 * a cut that came again soon, more of them.
 *
 * Established connections are no evidence: some cuts only affect new ones.
 *
 * Pure functions: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef REACH_H
#define REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Connections of a check. */
#define REACH_PROBES 3

/* Interval of the checks while cut off, ms. */
#define REACH_CHECK_MS 500

/* No request was answered for this long although some wait: suspicious, ms. */
#define REACH_SILENCE_MS 400

enum reach_suspicion {
	/* A connection was not established. */
	REACH_UNREACHED,
	/* An established one was reset or timed out: the endpoint may have
	 * exited. Suspicious if a second endpoint's is lost too. */
	REACH_LOST_CONNECTION,
	/* Nothing was received for REACH_SILENCE_MS. */
	REACH_SILENCE,
};

enum reach_change {
	REACH_UNCHANGED,
	REACH_CUT_OFF, /* no endpoint is reached directly any more */
	REACH_BACK,    /* endpoints are reached directly again */
};

/* All zero: endpoints are reached. */
struct reach {
	bool cut_off;
	int64_t changed_ms;	/* since when; 0: never cut off */
	unsigned good_checks;	/* in a row, while cut off */
	unsigned good_needed;	/* to be back */
	int64_t checked_ms;	/* the last check began; 0: none did */
	unsigned pending;	/* probes of the check in progress */
	unsigned connected;	/* of them */
	bool tentative;		/* one probe, of which a failure is no proof */
	uint64_t lost_endpoint; /* of the last lost connection */
	int64_t lost_ms;
};

/* What to do after a suspicion, or when a check has ended. */
enum reach_step {
	REACH_NOTHING,
	REACH_TRY,   /* check with one probe */
	REACH_CHECK, /* check with REACH_PROBES */
};

/*
 * Something speaks for a cut; `endpoint`: hash of the endpoint concerned.
 * Returns the check to begin now.
 */
enum reach_step reach_suspect(struct reach *r, enum reach_suspicion why,
			      uint64_t endpoint, int64_t now_ms);

/* True if it is time for a check because the entry is cut off. */
bool reach_check_due(const struct reach *r, int64_t now_ms);

/* A check with `probes` connections (at least 1) begins. None is in progress. */
void reach_check_begun(struct reach *r, unsigned probes, bool tentative,
		       int64_t now_ms);

/*
 * A probe of the check ended. `relayed`: there is another way, so that there is
 * no hurry to return to the direct one. *step: the check to begin now.
 */
enum reach_change reach_probed(struct reach *r, bool connected, bool relayed,
			       int64_t now_ms, enum reach_step *step);

#endif
