/*
 * tab: uthash with our hash function. Included in its place everywhere, so
 * that tables agree on it, and its own one, fifty statements long, stands in
 * no function of ours.
 */
#ifndef TAB_H
#define TAB_H

#include "base/hsh.h"

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)hsh_bytes(key, len, 0))
#include <uthash.h>

#endif
