#include "base/zip.h"

#include <zlib.h>

/*
 * First byte of the zlib format: deflate with a 32 KiB window. It is 'x', with
 * which no JSON text begins.
 */
#define FIRST_BYTE 0x78

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
	MEM_AUTO char *plain = mem_new(max);
	uLongf n = max;

	if (uncompress((Bytef *)plain, &n, (const Bytef *)data, len) != Z_OK)
		return false;
	buf_add(out, plain, n);
	return true;
}
