/*
 * apply: accepts an operator's change of a service's document, stored in the
 * key-value service.
 *
 * A revision is the number of a service's accepted change, from 1. A change is
 * accepted by one compare-and-swap against the revision that the operator
 * edited. Each change carries a unique id in the stored value, so
 * that reading the value back after a lost answer shows whether the change was
 * accepted. While the value cannot be read, the outcome is unknown; it is
 * never reported as failed.
 */
#ifndef APPLY_H
#define APPLY_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "platform/kv.h"

enum apply_outcome {
	APPLY_ACCEPTED,
	APPLY_UNCHANGED, /* the same text is stored already */
	APPLY_CONFLICT,	 /* changed by another operator; see `theirs` */
	APPLY_INVALID,	 /* validation failed, nothing written */
	APPLY_UNKNOWN,	 /* no answer; call apply_check later */
	APPLY_NOT_SENT,	 /* the service was unreachable, nothing written */
};

struct apply_change {
	char service[48];
	char change_id[40]; /* unique; set by the caller */
	char author[64];    /* the operator */
	int64_t at_wall_ms; /* ms since the Unix epoch */
	/* Revision that the operator edited; -1: any. */
	int64_t base_revision;
	const char *what; /* name of the text in error messages */
	const char *text; /* the document */
};

struct apply_result {
	enum apply_outcome outcome;
	int64_t revision;  /* of the accepted change, or of `theirs` */
	struct buf theirs; /* stored text after a conflict; empty: unreadable */
	char their_author[64];
};

/* Frees the members of `r`, not `r` itself. */
void apply_result_free(struct apply_result *r);

/*
 * Validates a change and writes it. `*out` need not be initialized; free it
 * with apply_result_free. `*e` describes every outcome other than accepted and
 * unchanged.
 */
void apply_write(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e);

/*
 * Determines whether a change was accepted, after APPLY_UNKNOWN, from the
 * stored document and its history: accepted, conflict or still unknown. `*out`
 * must be initialized, by apply_write or with zeros. Only service and
 * change_id of `c` are used.
 */
void apply_check(struct kv *kv, const struct apply_change *c,
		 struct apply_result *out, struct err *e);

/*
 * Appends the stored document of `service` to `text` and sets `*revision` (0:
 * there is no document). Returns 0, or -1 with an error.
 */
int apply_read(struct kv *kv, const char *service, struct buf *text,
	       int64_t *revision, struct err *e);

/* Returns the name of an outcome, a static string. */
const char *apply_outcome_name(enum apply_outcome o);

/*
 * Appends the line-by-line difference of two texts to `out`: removed lines
 * with '-', added lines with '+', no context. Only the first 4000 lines of
 * each text are compared.
 */
void apply_diff(const char *a, const char *b, struct buf *out);

#endif
