/*
 * What the parts of fatal share: its rows (fatal_rows.c), what is told between
 * entries (fatal_told.c), and what follows from an end (fatal.c).
 */
#ifndef FATAL_INTERNAL_H
#define FATAL_INTERNAL_H

#include "request/fatal.h"

/*
 * Weights are hundredths of a power of ten of the chance. An end weighs at
 * most one in a hundred, and one that may be another suspect's little. One in
 * a million convicts: of all requests that met three ends by chance, one in
 * ten thousand has three as unlikely as that.
 */
#define FATAL_WEIGHT_MOST 200
#define FATAL_WEIGHT_SHARED 30
#define FATAL_WEIGHT_CONVICTS 600

/* The row of a content, made on first use. */
struct fatal_row *fatal_get(struct fatal *f, struct hsh128 content,
			    int64_t now_ms);
void fatal_drop(struct fatal *f, struct fatal_row *row);

/* The row has changed: it is told, and the last one to be pushed out. */
void fatal_touch(struct fatal *f, struct fatal_row *row, int64_t now_ms);

/* True if nothing is known of it that matters. */
bool fatal_empty(const struct fatal_row *row);

/* NULL: that endpoint is none of its ends. */
struct fatal_end *fatal_end_at(struct fatal_row *row, uint64_t endpoint);

/* False if it has this end already, or no room for it. */
bool fatal_add_end(struct fatal *f, struct fatal_row *row, uint64_t endpoint,
		   unsigned weight, int64_t at_ms);

/*
 * An end never weighs more again: whatever is told twice, or late, is joined.
 * True if it weighed more.
 */
bool fatal_weigh_less(struct fatal_end *e, unsigned weight);

/*
 * One is convicted: its ends weigh little against those that were there, too.
 * Else who met three requests of this kind, one after the other, would pass
 * for a fourth. They do not count for nothing: two that are guilty would clear
 * each other again and again.
 */
void fatal_explain_others(struct fatal *f, struct fatal_row *by,
			  int64_t now_ms);

/* Tells of an end more. `known`: it was convicted before. */
void fatal_tell_end(struct fatal *f, const struct fatal_row *row, bool known,
		    uint64_t endpoint);

#endif
