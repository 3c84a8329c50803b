/*
 * zip: compression, for messages that one entry sends to many others.
 */
#ifndef ZIP_H
#define ZIP_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buf.h"

/*
 * Compresses `data` and appends it to `out` in the zlib format. Returns false,
 * with `out` unchanged, if the result would not be shorter.
 */
bool zip_pack(const char *data, size_t len, struct buf *out);

/* True if the bytes may be output of zip_pack; always false for JSON. */
bool zip_is_packed(const char *data, size_t len);

/*
 * Decompresses output of zip_pack and appends it to `out`. Returns false, with
 * `out` unchanged, if it is corrupt or has more than `max` bytes decompressed.
 */
bool zip_unpack(const char *data, size_t len, size_t max, struct buf *out);

#endif
