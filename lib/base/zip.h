/*
 * zip: bytes in fewer bytes, for what one entry sends to many others.
 */
#ifndef ZIP_H
#define ZIP_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"

/*
 * Appends `data` to `out` packed, in the zlib format. Returns false, with
 * `out` unchanged, if that would not be shorter.
 */
bool zip_pack(const char *data, size_t len, struct buf *out);

/* True if these bytes may be packed ones; JSON never is. */
bool zip_is_packed(const char *data, size_t len);

/*
 * Appends what was packed to `out`. Returns false, with `out` unchanged, if
 * the bytes are damaged or would be more than `max`.
 */
bool zip_unpack(const char *data, size_t len, size_t max, struct buf *out);

#endif
