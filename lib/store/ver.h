/*
 * ver: versions of what the store holds: era and revision, compared as one
 * number.
 *
 * The store's revision rises with each change, but the store may come back
 * from an older copy: then revisions go back and are given out again, and the
 * era, which all its answers name, rises by one. Compared by revisions alone,
 * what is written then would pass for old, and a condition on a revision could
 * hold by chance. A store that names no era is in era 0.
 */
#ifndef VER_H
#define VER_H

#include <stdint.h>

/* Revisions have room for 400 changes a second in a lifetime of the fleet. */
#define VER_ERA_SHIFT 40

/* 0 stays "none". */
static inline int64_t ver_of(int64_t era, int64_t revision)
{
	return revision > 0 ? era << VER_ERA_SHIFT | revision : 0;
}

static inline int64_t ver_era(int64_t version)
{
	return version >> VER_ERA_SHIFT;
}

static inline int64_t ver_revision(int64_t version)
{
	return version & (((int64_t)1 << VER_ERA_SHIFT) - 1);
}

#endif
