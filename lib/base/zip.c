#include "base/zip.h"

#include <zlib.h>

/*
 * First byte of the zlib format: deflate with a 32 KiB window. It is 'x', with
 * which no JSON text begins.
 */
#define FIRST_BYTE 0x78

#define CHUNK_SIZE 16384 /* bytes decompressed at a time */

bool zip_pack(const char *data, size_t len, struct buf *out)
{
	uLongf n = compressBound(len);
	MEM_AUTO char *packed = mem_new(n);

	/*
	 * The fastest level: keys and values repeat, and higher levels save
	 * only 8% more.
	 */
	if (compress2((Bytef *)packed, &n, (const Bytef *)data, len,
		      Z_BEST_SPEED) != Z_OK ||
	    n >= len)
		return false;
	buf_add(out, packed, n);
	return true;
}

bool zip_is_packed(const char *data, size_t len)
{
	return len && (unsigned char)data[0] == FIRST_BYTE;
}

bool zip_unpack(const char *data, size_t len, size_t max, struct buf *out)
{
	BUF_AUTO plain = BUF_INIT;
	char chunk[CHUNK_SIZE];
	z_stream z = { .next_in = (Bytef *)data, .avail_in = (uInt)len };
	int r;

	if (inflateInit(&z) != Z_OK)
		return false;
	do {
		z.next_out = (Bytef *)chunk;
		z.avail_out = sizeof(chunk);
		r = inflate(&z, Z_NO_FLUSH);
		buf_add(&plain, chunk, sizeof(chunk) - z.avail_out);
	} while (r == Z_OK && plain.len <= max);
	inflateEnd(&z);
	if (r != Z_STREAM_END || plain.len > max)
		return false;
	buf_add(out, plain.data, plain.len);
	return true;
}
