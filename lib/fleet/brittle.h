/*
 * brittle: how many requests this entry may have at an endpoint that states that
 * it is brittle: one that has to refuse too many requests in a second for want
 * of room falls over.
 *
 * No entry looks for room by trying. The entries that send share the endpoint's
 * slots, by rendezvous hash, without messages. A refusal halves what they share,
 * and nothing is sent there for a while; entries report refusals to each other.
 *
 * Pure functions: no I/O, the clock is passed in. Times are monotonic, in ms.
 */
#ifndef BRITTLE_H
#define BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/* Nothing is sent to a brittle endpoint for this long after a refusal. */
#define BRITTLE_HOLD_MS 1000

/* What one endpoint stated, and how it answered. All zero: not brittle. */
struct brittle {
	bool stated;
	int64_t began_ms;
	int max_refusals;    /* in a second; with one more it falls over */
	int64_t stated_ms;   /* of the newest answer that stated or ended it */
	int64_t answered_ms; /* of the newest answer to this entry; 0: none */
	double factor; /* part of the slots that is used, as of raised_ms */
	int64_t raised_ms;
	int64_t refused_ms; /* last refusal to any entry; 0: none */
	int rank, senders;  /* entries that are preferred; all that send */
};

/* How busy the endpoint is. */
struct brittle_load {
	int slots;
	int running;	  /* requests of this entry */
	double elsewhere; /* as the other entries reported */
};

/*
 * An answer to a request that was sent at `sent_ms` stated it, or did not
 * (`max_refusals` -1). Answers overtake each other: one to an earlier request
 * does not end it. Returns true if it began or ended.
 */
bool brittle_answered(struct brittle *b, int max_refusals, int64_t sent_ms,
		      int64_t now_ms);

/*
 * An endpoint of the same service is brittle, so this one, which has not
 * answered yet, is too. Returns false if it has.
 */
bool brittle_inherit(struct brittle *b, const struct brittle *other,
		     int64_t now_ms);

/* The endpoint refused a request of this entry for want of room. */
void brittle_refused(struct brittle *b, int64_t now_ms);

/* What another entry reported. */
struct brittle_report {
	int max_refusals;   /* -1: not brittle any more */
	int64_t stated_ms;  /* when an answer stated that */
	double factor;	    /* part of the slots that is used */
	int64_t refused_ms; /* last refusal; 0: none */
};

/*
 * Takes over a report, as far as it is newer than what is known here. Returns
 * true if it began or ended.
 */
bool brittle_reported(struct brittle *b, const struct brittle_report *r,
		      int64_t now_ms);

/* Ends it if no answer has stated it to any entry for long. True: it ended. */
bool brittle_expire(struct brittle *b, int64_t now_ms);

/* Sets this entry's place among those that send. */
void brittle_set_rank(struct brittle *b, int rank, int senders);

/* The part of the slots that all entries together use now, 0 to 1. */
double brittle_factor(const struct brittle *b, int64_t now_ms);

/* The requests that this entry may have there at the same time. */
int brittle_share(const struct brittle *b, int slots, int64_t now_ms);

/*
 * The earliest time at which one more request may be sent; at most `now_ms`:
 * now.
 */
int64_t brittle_open_ms(const struct brittle *b, const struct brittle_load *l,
			int64_t now_ms);

#endif
