/*
 * apply: accepting an operator's change of a document.
 *
 * Accepting is one compare-and-swap on the base the operator edited. Each
 * change carries an id of its own inside the value, so that after a lost
 * answer reading back decides whether it was accepted. While that cannot be
 * read, the outcome is unknown, never "failed".
 */
#ifndef APPLY_H
#define APPLY_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "platform/kv.h"

enum apply_outcome {
	APPLY_ACCEPTED,
	APPLY_UNCHANGED, /* the text is in force already */
	APPLY_CONFLICT,	 /* somebody else changed it; see `theirs` */
	APPLY_INVALID,	 /* the document was refused, nothing written */
	APPLY_UNKNOWN,	 /* ask again with apply_check */
	APPLY_NOT_SENT,	 /* the service was not reached, nothing written */
};

struct apply_change {
	char service[48];
	char change_id[40]; /* unique; from the caller */
	char author[64];
	int64_t at_wall_ms;
	/* Revision the operator edited; -1: whatever is there now. */
	int64_t base_revision;
	const char *what; /* name of the text in errors */
	const char *text;
};

struct apply_result {
	enum apply_outcome outcome;
	int64_t revision;  /* accepted, or of `theirs` */
	struct buf theirs; /* the text of the other change */
	char their_author[64];
};

void apply_result_free(struct apply_result *r);

/* Validates and writes. `e` tells why on every outcome but accepted. */
void apply_write(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e);

/* Tells what became of a change whose outcome was unknown. */
void apply_check(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e);

/* The text in the service and its revision (0: none). -1 with an error. */
int apply_read(struct kv *kv, const char *service, struct buf *text,
	       int64_t *revision, struct err *e);

const char *apply_outcome_name(enum apply_outcome o);

/* A line-by-line difference of two texts, as operators know it. */
void apply_diff(const char *a, const char *b, struct buf *out);

#endif
