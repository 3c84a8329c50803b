/*
 * shb: shared buffer. Bytes that several holders read and none changes, freed with
 * the last reference. Not thread-safe.
 */
#ifndef SHB_H
#define SHB_H

#include "base/buf.h"

struct shb {
	unsigned refs;
	struct buf bytes;
};

/* Takes the content of `from`, which is left empty. Returns one reference. */
struct shb *shb_new(struct buf *from);

/* Returns `s`, which may be NULL, with one reference more. */
struct shb *shb_ref(struct shb *s);

/* Gives a reference back; `s` may be NULL. */
void shb_put(struct shb *s);

#endif
