/*
 * ver (version): the store's era and revision combined into one number, so that
 * states of the store compare by age.
 *
 * The store's revision rises with each change. When the store is restored from
 * an older copy, its revision goes back and numbers are used again, but its
 * era, which all its answers carry, rises by one. Compared by revision alone, a
 * change written after the restore would look old, and a condition on a
 * revision could hold by chance. A store that reports no era is in era 0.
 */
#ifndef VER_H
#define VER_H

#include <stdint.h>

/*
 * Bits of the revision. They suffice for 400 changes per second over the
 * lifetime of a fleet.
 */
#define VER_ERA_SHIFT 40

/* The highest era that a version can have. */
#define VER_MAX_ERA (((int64_t)1 << (63 - VER_ERA_SHIFT)) - 1)

/* Returns the version of a revision in an era; 0 ("none") for revision 0. */
static inline int64_t ver_of(int64_t era, int64_t revision)
{
	return revision > 0 ? era << VER_ERA_SHIFT | revision : 0;
}

/* Returns the era of a version. */
static inline int64_t ver_era(int64_t version)
{
	return version >> VER_ERA_SHIFT;
}

/* Returns the store's revision of a version. */
static inline int64_t ver_revision(int64_t version)
{
	return version & (((int64_t)1 << VER_ERA_SHIFT) - 1);
}

#endif
