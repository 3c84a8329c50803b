/*
 * Internals that the parts of fatal share: the rows (fatal_rows.c), the gossip
 * (fatal_told.c), the evidence (fatal_evidence.c), and the attribution of crashes
 * (fatal.c).
 */
#ifndef FATAL_INTERNAL_H
#define FATAL_INTERNAL_H

#include "request/fatal.h"

/*
 * A weight is -100 * log10(p), where p is the probability that the request met
 * the crash by chance. One crash weighs at most as much as p = 1 %, and as
 * little as p = 50 % if another suspect may have caused it. A total of
 * p = 10^-6 convicts: of all requests that met three crashes by chance, one in
 * ten thousand has three as unlikely as that.
 */
#define FATAL_MAX_WEIGHT 200
#define FATAL_WEIGHT_SHARED 30
#define FATAL_CONVICT_WEIGHT 600

/*
 * Returns the feature's row, owned by `f`; made if there is none. At
 * FATAL_MAX_ROWS this drops another row.
 */
struct fatal_row *fatal_get(struct fatal *f, struct hsh128 key, int64_t now_ms);

/* Sets row->convicted. */
void fatal_set_convicted(struct fatal *f, struct fatal_row *row,
			 bool convicted);

/* Removes and frees the row. */
void fatal_drop(struct fatal *f, struct fatal_row *row);

/* Marks the row as changed: it is gossiped, and evicted last. */
void fatal_touch(struct fatal *f, struct fatal_row *row, int64_t now_ms);

/* True if the row has no crashes, no pending sends and no store record. */
bool fatal_empty(const struct fatal_row *row);

/* The row's crash at that endpoint, or NULL. */
struct fatal_crash *fatal_crash_at(struct fatal_row *row, uint64_t endpoint);

/*
 * Adds a crash, with less weight if a convicted request explains it, in place of
 * the oldest one if there is no room. Returns false if the row has this crash
 * already, or only later ones.
 */
bool fatal_add_crash(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		     unsigned weight, int64_t at_ms);

/*
 * Lowers the crash's weight to `weight`. A weight never rises, so that gossip
 * can be merged repeatedly and late. Returns true if it was higher.
 */
bool fatal_lower_weight(struct fatal_crash *e, unsigned weight);

/*
 * Once `by` is convicted, its crashes weigh little for the other requests that
 * were there. Otherwise a request that met three poison requests, one after
 * the other, would be taken for a fourth. They still weigh something: two
 * poison requests would otherwise clear each other again and again.
 */
void fatal_explain_others(struct fatal *f, struct fatal_row *by,
			  int64_t now_ms);

/*
 * Reports one more crash to the callback, and what it does to the others if it
 * convicts the row. `endpoint` 0: the crash was not observed here.
 */
void fatal_report_crash(struct fatal *f, struct fatal_row *row,
			uint64_t endpoint, int64_t now_ms);

/* True if the row's crashes would convict it if there was no other suspect. */
bool fatal_is_evident(const struct fatal_row *row);

/* True if other entries may not have reported yet what concerns its crashes. */
bool fatal_is_settling(const struct fatal_row *row, int64_t now_ms);

/*
 * True if a request that has the features of `q` (NULL: only this one) is
 * quarantined because of the row.
 */
bool fatal_convicts(const struct fatal *f, const struct fatal_row *row,
		    const struct fatal_request *q, int64_t now_ms);

/* A complete answer to a request with the part arrived. */
void fatal_note_answered(struct fatal *f, struct hsh128 key, int64_t now_ms);

/* When an answer to a request with the part last arrived here; 0: not lately. */
int64_t fatal_answered_ms(struct fatal *f, struct hsh128 key);

/* True if the part was answered, here or elsewhere, after or just before it. */
bool fatal_was_answered(struct fatal *f, struct hsh128 key, int64_t crash_ms);

#endif
