/*
 * tab: table. uthash with hsh_bytes as its hash function. To be included
 * instead of uthash.h, so that all tables use the same hash. The default hash
 * function of uthash is a macro that adds fifty statements to each function
 * that uses it.
 */
#ifndef TAB_H
#define TAB_H

#include "base/hsh.h"

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)hsh_bytes(key, len, 0))
#include <uthash.h>

#endif
